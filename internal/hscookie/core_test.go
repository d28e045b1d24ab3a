package hscookie

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
)

const flowLifetime = time.Minute

var (
	epoch     = time.Unix(1_000_000, 0)
	deskAddr  = netip.MustParseAddrPort("198.18.0.1:443")
	vaultAddr = netip.MustParseAddrPort("198.18.0.2:443")
	caller    = netip.MustParseAddrPort("100.64.0.7:40001")
)

func route(at netip.AddrPort, service string, previousServices ...string) hsfeed.Route {
	return hsfeed.Route{Address: at, Shares: []hsfeed.Share{{Service: service, Weight: 1}}, Timeout: 2 * time.Second, PreviousServices: previousServices}
}

func target(id hsfeed.TargetID, service string) hsfeed.TargetRecord {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80)
	return hsfeed.TargetRecord{Target: hsfeed.Target{ID: id, Service: service, Address: addr, Zone: "a", Slots: 3}}
}

func newCore(targets ...hsfeed.TargetRecord) *Core {
	c := New(Config{Placement: hsplace.Config{Zone: "a", Seed: 1}, MaxFlows: 100, MaxFlowLifetime: flowLifetime, StartTime: epoch})
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 1, Routes: []hsfeed.Route{route(deskAddr, "desk"), route(vaultAddr, "vault")}})
	c.SetTargets(epoch, targets)
	return c
}

func openPacket(from, to netip.AddrPort) *Packet { return &Packet{From: from, To: to, Flags: FlagOpen} }

func laterPacket(from, to netip.AddrPort, c Cookie) *Packet {
	return &Packet{From: from, To: to, Flags: FlagAck, Cookie: c}
}

// TestCookieNamesTarget checks that a host which never saw a flow forwards its
// later packets to the target that another host chose for the opening packet.
func TestCookieNamesTarget(t *testing.T) {
	list := []hsfeed.TargetRecord{target(1, "desk"), target(2, "desk"), target(3, "vault")}
	first, second := newCore(list...), newCore(list...)
	v := first.HandlePacket(epoch, openPacket(caller, deskAddr))
	assert.Equal(t, v.Action, Forward)
	assert.Assert(t, v.Cookie != 0)
	w := second.HandlePacket(epoch, laterPacket(caller, deskAddr, v.Cookie))
	assert.Equal(t, w.Target, v.Target)
	assert.Equal(t, w.To, v.To)
}

// TestRetransmissionFollowsFirst checks that a retransmitted opening packet is
// forwarded to the target of the first one, even if that target is full by
// then.
func TestRetransmissionFollowsFirst(t *testing.T) {
	c := newCore(target(1, "desk"), target(2, "desk"))
	v := c.HandlePacket(epoch, openPacket(caller, deskAddr))
	for i := range 20 {
		c.ApplyReport(epoch, "other", []hsplace.Load{{Target: v.Target, Requests: 50 + i}})
	}
	w := c.HandlePacket(epoch.Add(200*time.Millisecond), openPacket(caller, deskAddr))
	assert.Equal(t, w.Target, v.Target)
	assert.Assert(t, !w.Placed)
}

// TestForgedCookie checks that packets with the cookie of another service's
// target, with an unknown cookie, or without one are dropped and not reset: a
// reset could abort a flow that another host can forward.
func TestForgedCookie(t *testing.T) {
	c := newCore(target(1, "desk"), target(3, "vault"))
	for _, cookie := range []Cookie{NewCookie("vault", 3), 12345, 0} {
		v := c.HandlePacket(epoch, laterPacket(caller, deskAddr, cookie))
		assert.Equal(t, v.Action, Drop)
		assert.Equal(t, v.Code, hscode.FlowUnknownCookie)
	}
}

// TestAmbiguousCookie checks that a packet is dropped if two targets of its
// route have its cookie.
func TestAmbiguousCookie(t *testing.T) {
	c := newCore(target(1, "desk"), target(2, "desk"))
	cookie := NewCookie("desk", 1)
	c.targets.byCookie[cookie] = append(c.targets.byCookie[cookie], c.targets.byID[2])
	assert.Equal(t, c.HandlePacket(epoch, laterPacket(caller, deskAddr, cookie)).Code, hscode.FlowUnknownCookie)
}

// TestUnlistedTargetKeepsFlows checks that packets of open flows are forwarded
// to a target that is no longer listed, until the maximum lifetime of a flow
// has passed, and that new flows are not.
func TestUnlistedTargetKeepsFlows(t *testing.T) {
	c := newCore(target(1, "desk"))
	v := c.HandlePacket(epoch, openPacket(caller, deskAddr))
	c.SetTargets(epoch, []hsfeed.TargetRecord{target(2, "desk")})
	w := c.HandlePacket(epoch, laterPacket(caller, deskAddr, v.Cookie))
	assert.Equal(t, w.Target, hsfeed.TargetID(1))
	other := netip.AddrPortFrom(caller.Addr(), 40002)
	assert.Equal(t, c.HandlePacket(epoch, openPacket(other, deskAddr)).Target, hsfeed.TargetID(2))
	c.SetTargets(epoch.Add(flowLifetime), []hsfeed.TargetRecord{target(2, "desk")})
	assert.Equal(t, c.HandlePacket(epoch.Add(flowLifetime), laterPacket(caller, deskAddr, v.Cookie)).Action, Drop)
}

// TestDisplacedTargetKeepsFlows guards against open flows that are cut when the entry
// of a running target lapses while an entry of another service has its ID.
func TestDisplacedTargetKeepsFlows(t *testing.T) {
	own, other := target(1, "desk"), target(1, "unknown")
	other.Address = netip.MustParseAddrPort("10.0.0.9:80")
	c := newCore(own)
	cookie := c.HandlePacket(epoch, openPacket(caller, deskAddr)).Cookie
	goesOn := func(at time.Time) bool {
		v := c.HandlePacket(at, laterPacket(caller, deskAddr, cookie))
		return v.Action == Forward && v.To == own.Address
	}
	c.SetTargets(epoch, []hsfeed.TargetRecord{other})
	assert.Assert(t, goesOn(epoch))
	assert.Assert(t, c.HandlePacket(epoch, openPacket(callerWithPort(1), deskAddr)).Action != Forward)
	c.SetTargets(epoch, []hsfeed.TargetRecord{own})
	assert.Assert(t, goesOn(epoch))
	assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(2), deskAddr)).To, own.Address)
	c.SetTargets(epoch, []hsfeed.TargetRecord{other})
	c.SetTargets(epoch, nil)
	assert.Assert(t, goesOn(epoch))
	c.SetTargets(epoch.Add(flowLifetime), nil)
	assert.Assert(t, !goesOn(epoch.Add(flowLifetime)))
}

// TestRemovedRoute checks that a removed route accepts no new flows, that an
// open flow can complete its request, and that the flow is reset afterwards.
func TestRemovedRoute(t *testing.T) {
	c := newCore(target(1, "desk"))
	v := c.HandlePacket(epoch, openPacket(caller, deskAddr))
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 2, Routes: []hsfeed.Route{route(vaultAddr, "vault")}})
	other := netip.AddrPortFrom(caller.Addr(), 40002)
	w := c.HandlePacket(epoch, openPacket(other, deskAddr))
	assert.Equal(t, w.Action, Refuse)
	assert.Equal(t, w.Code, hscode.FlowNoService)
	assert.Equal(t, c.HandlePacket(epoch.Add(time.Second), laterPacket(caller, deskAddr, v.Cookie)).Action, Forward)
	assert.Equal(t, c.HandlePacket(epoch.Add(3*time.Second), laterPacket(caller, deskAddr, v.Cookie)).Action, Refuse)
}

// TestChangedService checks that when a route changes to another service, open
// flows stay with the old service and new flows go to the new one.
func TestChangedService(t *testing.T) {
	c := newCore(target(1, "desk"), target(3, "vault"))
	v := c.HandlePacket(epoch, openPacket(caller, deskAddr))
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 2, Routes: []hsfeed.Route{route(deskAddr, "vault", "desk")}})
	assert.Equal(t, c.HandlePacket(epoch, laterPacket(caller, deskAddr, v.Cookie)).Target, hsfeed.TargetID(1))
	other := netip.AddrPortFrom(caller.Addr(), 40002)
	assert.Equal(t, c.HandlePacket(epoch, openPacket(other, deskAddr)).Target, hsfeed.TargetID(3))
}

// TestUnknownRoute checks that for an address without a route, a later packet
// of an untracked flow is dropped and an opening packet is refused.
func TestUnknownRoute(t *testing.T) {
	c := newCore(target(1, "desk"))
	unrouted := netip.MustParseAddrPort("198.18.0.9:443")
	assert.Equal(t, c.HandlePacket(epoch, laterPacket(caller, unrouted, 7)).Action, Drop)
	assert.Equal(t, c.HandlePacket(epoch, openPacket(caller, unrouted)).Action, Refuse)
}

// TestBeforeConfiguration checks that a host without a configuration drops
// opening packets instead of refusing them, so that a retransmission can be
// placed once the host is ready.
func TestBeforeConfiguration(t *testing.T) {
	c := New(Config{MaxFlows: 10, MaxFlowLifetime: flowLifetime})
	assert.Equal(t, c.HandlePacket(epoch, openPacket(caller, deskAddr)).Action, Drop)
	assert.Assert(t, !c.Ready())
}

// TestFlowLimit checks that flows beyond the maximum number of tracked flows
// are still forwarded.
func TestFlowLimit(t *testing.T) {
	c := newCore(target(1, "desk"))
	for port := range 200 {
		from := netip.AddrPortFrom(caller.Addr(), uint16(1000+port))
		assert.Equal(t, c.HandlePacket(epoch, openPacket(from, deskAddr)).Action, Forward)
	}
	assert.Equal(t, c.FlowCount(), 100)
}

// TestSplitRoute checks that new flows of a split route are distributed over
// its services by weight.
func TestSplitRoute(t *testing.T) {
	split := route(deskAddr, "desk")
	split.Shares = []hsfeed.Share{{Service: "desk", Weight: 9}, {Service: "vault", Weight: 1}}
	r := knownRoute{Route: split}
	counts := map[string]int{}
	for hash := range uint64(1000) {
		counts[r.serviceFor(hash)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"desk": 900, "vault": 100})
}

// fullCore returns a core past its settling time with one full target: all
// slots are in use, and as many flows are queued as the utilization limit
// allows.
func fullCore(t *testing.T) *Core {
	t.Helper()
	c := newCore(target(1, "desk"))
	c.cfg.StartTime = epoch.Add(-time.Minute)
	r := route(deskAddr, "desk")
	r.LatencyObjective = 250 * time.Millisecond
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 2, Routes: []hsfeed.Route{r}})
	for port := uint16(1); port <= 8; port++ {
		assert.Equal(t, c.HandlePacket(epoch, openPacket(netip.AddrPortFrom(caller.Addr(), port), deskAddr)).Action, Forward)
	}
	return c
}

func callerWithPort(port uint16) netip.AddrPort { return netip.AddrPortFrom(caller.Addr(), port) }

func closeFlow(c *Core, now time.Time, port uint16) {
	p := laterPacket(callerWithPort(port), deskAddr, NewCookie("desk", 1))
	p.Flags |= FlagFin
	c.HandlePacket(now, p)
}

// TestHold checks that opening packets for a full target are held, and released
// as flows end: first those that can still meet their objective, newest first,
// then the retransmission of an older packet, which cannot.
func TestHold(t *testing.T) {
	c := fullCore(t)
	old := openPacket(callerWithPort(100), deskAddr)
	old.Retransmits = 2
	old.Raw = []byte{1}
	assert.Equal(t, c.HandlePacket(epoch, old).Action, Hold)
	old.Raw[0] = 9
	for port := uint16(101); port <= 102; port++ {
		now := epoch.Add(time.Duration(port-100) * time.Millisecond)
		assert.Equal(t, c.HandlePacket(now, openPacket(callerWithPort(port), deskAddr)).Action, Hold)
	}
	_, _, ok := c.Release(epoch.Add(5 * time.Millisecond))
	assert.Assert(t, !ok)
	now := epoch.Add(40 * time.Millisecond)
	order := []uint16{102, 101}
	for i, want := range order {
		closeFlow(c, now, uint16(i+1))
		p, v, ok := c.Release(now)
		assert.Assert(t, ok)
		assert.Equal(t, v.Action, Forward)
		assert.Equal(t, p.From.Port(), want)
	}
	for port := uint16(3); port <= 7; port++ {
		closeFlow(c, now, port)
	}
	_, _, ok = c.Release(now)
	assert.Assert(t, !ok, "a late flow was placed without a free slot")
	closeFlow(c, now, 8)
	p, v, ok := c.Release(now)
	assert.Assert(t, ok)
	assert.Equal(t, v.Action, Forward)
	assert.Equal(t, p.From.Port(), uint16(100))
	assert.DeepEqual(t, p.Raw, []byte{1})
}

// TestHeldRetransmission checks that the retransmission of a held packet is not
// held as a second packet, and that a held packet is dropped once its caller
// has abandoned the attempt.
func TestHeldRetransmission(t *testing.T) {
	c := fullCore(t)
	for retransmits := range uint32(2) {
		p := openPacket(callerWithPort(100), deskAddr)
		p.Retransmits = retransmits
		now := epoch.Add(transmitTimes[retransmits])
		for port := uint16(1); port <= 8; port++ {
			c.HandlePacket(now, laterPacket(callerWithPort(port), deskAddr, NewCookie("desk", 1)))
		}
		assert.Equal(t, c.HandlePacket(now, p).Action, Hold)
	}
	assert.Equal(t, c.held.Len(), 1)
	c.dropAbandoned(epoch.Add(attemptTimeout))
	assert.Equal(t, c.held.Len(), 0)
}

// TestHeldFull checks that if more packets are held than allowed, the one that
// would be released last is refused.
func TestHeldFull(t *testing.T) {
	c := fullCore(t)
	late := openPacket(callerWithPort(100), deskAddr)
	late.Retransmits = 2
	assert.Equal(t, c.HandlePacket(epoch, late).Action, Hold)
	for port := range uint16(maxHeldPackets) {
		assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(1000+port), deskAddr)).Action, Hold)
	}
	p, v, ok := c.Release(epoch)
	assert.Assert(t, ok)
	assert.Equal(t, v.Action, Refuse)
	assert.Equal(t, v.Code, hscode.FlowOverload)
	assert.Equal(t, p.From.Port(), uint16(100))
}

// TestNoHoldAfterStart checks that no packet is held shortly after the start.
// When all hosts restart, several of them count the same flows, so that targets
// appear full.
func TestNoHoldAfterStart(t *testing.T) {
	c := newCore(target(1, "desk"))
	for port := range uint16(50) {
		v := c.HandlePacket(epoch.Add(time.Second), openPacket(callerWithPort(1000+port), deskAddr))
		assert.Equal(t, v.Action, Forward)
	}
}

// TestHeldRetransmissionInTime checks that a retransmission which can still
// meet its objective is not placed while the first packet is held: the flow
// would be placed twice.
func TestHeldRetransmissionInTime(t *testing.T) {
	c := fullCore(t)
	r := route(deskAddr, "desk")
	r.LatencyObjective = 5 * time.Second
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 3, Routes: []hsfeed.Route{r}})
	assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(100), deskAddr)).Action, Hold)
	now := epoch.Add(200 * time.Millisecond)
	for port := uint16(1); port <= 8; port++ {
		closeFlow(c, now, port)
	}
	second := openPacket(callerWithPort(100), deskAddr)
	second.Retransmits = 1
	placed := 0
	if c.HandlePacket(now, second).Action == Forward {
		placed++
	}
	for _, v, ok := c.Release(now); ok; _, v, ok = c.Release(now) {
		if v.Action == Forward {
			placed++
		}
	}
	assert.Equal(t, placed, 1)
}

// TestDropHeld checks that packets which were held before a pause of the
// process are not placed after it.
func TestDropHeld(t *testing.T) {
	c := fullCore(t)
	assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(100), deskAddr)).Action, Hold)
	c.DropHeld()
	c.SetTargets(epoch, []hsfeed.TargetRecord{target(1, "desk"), target(3, "desk")})
	_, _, ok := c.Release(epoch)
	assert.Assert(t, !ok)
	assert.Equal(t, c.HeldCount(), 0)
	assert.Equal(t, c.CodeCounts[hscode.FlowPaused], uint64(1))
}

// TestHeldRouteChanges checks that a held packet is handled under the
// configuration that is current at its release.
func TestHeldRouteChanges(t *testing.T) {
	c := fullCore(t)
	c.SetTargets(epoch, []hsfeed.TargetRecord{target(1, "desk"), target(3, "vault")})
	assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(100), deskAddr)).Action, Hold)
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 3, Routes: []hsfeed.Route{route(deskAddr, "vault", "desk")}})
	_, v, ok := c.Release(epoch)
	assert.Assert(t, ok)
	assert.Equal(t, v.Target, hsfeed.TargetID(3))
	c = fullCore(t)
	assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(100), deskAddr)).Action, Hold)
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 3, Routes: []hsfeed.Route{route(vaultAddr, "vault")}})
	_, v, ok = c.Release(epoch)
	assert.Assert(t, ok)
	assert.Equal(t, v.Action, Refuse)
	assert.Equal(t, v.Code, hscode.FlowNoService)
}
