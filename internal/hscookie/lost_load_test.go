package hscookie

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
)

type (
	// lostLoad plays the load of a day on which a quarter of the targets stop
	// responding at once: kept flows with pauses of seconds, and callers that
	// open a flow for each request.
	lostLoad struct {
		rng     *rand.Rand
		now     time.Time
		hosts   []*loadHost
		callers []*loadCaller
		dead    map[hsfeed.TargetID]bool
		// Targets as the store lists them, and the changes to come.
		entries  []hsfeed.TargetRecord
		revision uint64
		reuseAt  map[hsfeed.TargetID]time.Time
		nextID   hsfeed.TargetID
		sent     int
		lost     int
	}

	loadHost struct {
		core      *Core
		nextRead  time.Time
		seen      uint64
		detection time.Duration
	}

	loadCaller struct {
		addr netip.AddrPort
		host *loadHost
		// True if the caller keeps its flow open for further requests.
		keeps  bool
		target hsfeed.TargetID
		cookie Cookie
		seq    uint32
		ack    uint32
		// Request that is not answered yet.
		pending    bool
		idempotent bool
		sentAt     time.Time
		deadline   time.Time
		// True until the flow's opening packet is answered.
		opening  bool
		sends    int
		nextTry  time.Time
		answerAt time.Time
		nextAt   time.Time
	}
)

const (
	loadStep    = 10 * time.Millisecond
	loadTargets = 120
	loadCallers = 1500
	stopAfter   = 8 * time.Second
	// Requests that are sent within countTime after the targets stop are counted,
	// as on the played day, and each is followed to its deadline.
	countTime = 10 * time.Second
	loadEnd   = stopAfter + countTime + 10*time.Second
	// nonIdempotentShare is the share of callers whose requests are not repeated.
	nonIdempotentShare = 0.1
)

// loadDeadlines are the times after which callers give up a request: 2 to 10 s.
var loadDeadlines = []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second}

func newLostLoad(seed uint64, learn bool) *lostLoad {
	x := &lostLoad{
		rng: rand.New(rand.NewPCG(seed, 3)), now: epoch, dead: map[hsfeed.TargetID]bool{}, reuseAt: map[hsfeed.TargetID]time.Time{}, nextID: 1,
	}
	for i := range loadTargets {
		x.list(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80))
	}
	for i := range 3 {
		h := &loadHost{detection: time.Duration(min(i, 1)) * 3 * time.Second, core: New(Config{
			Placement: hsplace.Config{Zone: "a", Seed: seed + uint64(i), UnlistedGracePeriod: gracePeriod, LearnCapacity: learn},
			MaxFlows:  65536, MaxFlowLifetime: flowLifetime, StartTime: epoch.Add(-time.Minute), LearnCapacity: learn,
		})}
		h.core.SetConfiguration(x.now, &hsfeed.Configuration{Version: 1, Routes: []hsfeed.Route{route(deskAddr, "desk")}})
		x.hosts = append(x.hosts, h)
	}
	for i := range loadCallers {
		x.callers = append(x.callers, &loadCaller{
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1000), host: x.hosts[i%3],
			keeps: i%5 > 0, idempotent: x.rng.Float64() >= nonIdempotentShare, nextAt: epoch.Add(x.duration(0, 4*time.Second)),
		})
	}
	return x
}

func (x *lostLoad) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(x.rng.Int64N(int64(high-low)+1))
}

func (x *lostLoad) list(at netip.AddrPort) {
	x.revision++
	x.entries = append(x.entries, hsfeed.TargetRecord{Position: hsfeed.Position{Era: 1, Revision: x.revision}, Target: hsfeed.Target{
		ID: x.nextID, Service: "desk", Address: at, Zone: "a", Slots: 2, StartUnixMilli: x.now.UnixMilli(),
	}})
	x.nextID++
}

// stepStore lets a quarter of the targets stop, other targets take their
// addresses 2 to 3 s later, and their entries lapse after 3.6 s.
func (x *lostLoad) stepStore() {
	stopped := x.now.Sub(epoch) - stopAfter
	if stopped == 0 {
		for i := 0; i < loadTargets; i += 4 {
			x.dead[x.entries[i].ID] = true
			x.reuseAt[x.entries[i].ID] = x.now.Add(x.duration(2*time.Second, 3*time.Second))
		}
	}
	for _, e := range x.entries {
		if at, ok := x.reuseAt[e.ID]; ok && !x.now.Before(at) {
			delete(x.reuseAt, e.ID)
			x.list(e.Address)
		}
	}
	if stopped == entryLifetime {
		kept := x.entries[:0:0]
		for _, e := range x.entries {
			if !x.dead[e.ID] {
				kept = append(kept, e)
			}
		}
		x.entries = kept
		x.revision++
	}
}

// stepHost lets a host learn of changes in batches, as a reader that pauses
// between two calls of a slow store.
func (x *lostLoad) stepHost(h *loadHost) {
	if !x.now.Before(h.nextRead) {
		h.nextRead = x.now.Add(x.duration(400*time.Millisecond, 700*time.Millisecond))
		if h.seen != x.revision {
			h.seen = x.revision
			h.core.SetTargets(x.now, x.entries)
		}
		start := epoch.Add(-time.Minute)
		h.core.SetStoreStatus(StoreStatus{Era: 1, EraSince: start, AvailableSince: start, AvailableUntil: x.now.Add(-h.detection)})
	}
	if x.now.Sub(epoch)%(50*time.Millisecond) != 0 {
		return
	}
	h.core.Tick(x.now)
	for p, v, ok := h.core.NextReset(); ok; p, v, ok = h.core.NextReset() {
		for _, c := range x.callers {
			if c.addr == p.From && v.Action == Refuse {
				x.fail(c)
			}
		}
	}
}

// fail ends a caller's flow. The caller repeats the request on a new flow, from a
// new port, unless the request must not be repeated.
func (x *lostLoad) fail(c *loadCaller) {
	opened := c.target != 0 && !c.opening
	c.addr = netip.AddrPortFrom(c.addr.Addr(), c.addr.Port()+1)
	c.target, c.cookie, c.opening, c.answerAt, c.sends = 0, 0, false, time.Time{}, 0
	if !c.pending {
		return
	}
	if (opened && !c.idempotent) || !x.now.Before(c.deadline) {
		x.endRequest(c, false)
		return
	}
	c.nextTry = x.now.Add(20 * time.Millisecond)
}

func (x *lostLoad) endRequest(c *loadCaller, served bool) {
	c.pending = false
	if sent := c.sentAt.Sub(epoch) - stopAfter; !served && sent >= -time.Second && sent < countTime {
		x.lost++
	}
	c.nextAt = x.now.Add(x.duration(time.Second, 6*time.Second))
}

func (x *lostLoad) stepCaller(c *loadCaller) {
	switch {
	case !c.pending:
		if x.now.Before(c.nextAt) {
			return
		}
		x.sent++
		c.pending, c.sends, c.sentAt = true, 0, x.now
		c.deadline = x.now.Add(loadDeadlines[x.rng.IntN(len(loadDeadlines))])
		c.seq += 300
		x.transmit(c)
	case !c.answerAt.IsZero() && !x.now.Before(c.answerAt):
		x.receive(c)
	case !x.now.Before(c.deadline):
		x.send(c, &Packet{Flags: FlagAck | FlagReset, Seq: c.seq, Ack: c.ack})
		x.fail(c)
	case c.answerAt.IsZero() && !x.now.Before(c.nextTry):
		x.transmit(c)
	}
}

// transmit sends the opening packet of a flow at 0, 200 and 600 ms, and gives the
// attempt up after 1.4 s, or sends the request.
func (x *lostLoad) transmit(c *loadCaller) {
	if c.target == 0 || c.opening {
		if c.sends == 3 {
			x.fail(c)
			return
		}
		c.opening = true
		p := &Packet{Flags: FlagOpen, Seq: 7, Retransmits: uint32(c.sends)}
		c.nextTry = x.now.Add([]time.Duration{200, 400, 800}[c.sends] * time.Millisecond)
		c.sends++
		x.send(c, p)
		return
	}
	c.nextTry = x.now.Add(min(200*time.Millisecond<<c.sends, 1600*time.Millisecond))
	c.sends++
	x.send(c, &Packet{Flags: FlagAck, Seq: c.seq - 300, Ack: c.ack, DataSize: 300})
}

func (x *lostLoad) send(c *loadCaller, p *Packet) {
	p.From, p.To, p.Cookie = c.addr, deskAddr, c.cookie
	v := c.host.core.HandlePacket(x.now, p)
	switch {
	case p.HasAny(FlagReset):
	case v.Action == Refuse:
		x.fail(c)
	case v.Action == Forward:
		if p.HasAny(FlagOpen) {
			c.target, c.cookie = v.Target, v.Cookie
		}
		if c.pending && !x.dead[v.Target] && c.answerAt.IsZero() {
			c.answerAt = x.now.Add(x.duration(30*time.Millisecond, 100*time.Millisecond))
			if c.opening {
				c.answerAt = x.now.Add(loadStep)
			}
		}
	}
}

// receive handles the answer to the opening packet, or to the request, unless the
// target has stopped since.
func (x *lostLoad) receive(c *loadCaller) {
	c.answerAt = time.Time{}
	if x.dead[c.target] {
		return
	}
	if c.opening {
		c.opening, c.sends = false, 0
		x.send(c, &Packet{Flags: FlagAck, Seq: c.seq - 300, Ack: c.ack})
		x.transmit(c)
		return
	}
	c.ack += 1200
	x.endRequest(c, true)
	if c.keeps {
		x.send(c, &Packet{Flags: FlagAck, Seq: c.seq, Ack: c.ack})
		return
	}
	x.send(c, &Packet{Flags: FlagAck | FlagFin, Seq: c.seq, Ack: c.ack})
	x.fail(c)
}

// run returns the number of requests that were lost.
func (x *lostLoad) run() int {
	for ; x.now.Sub(epoch) < loadEnd; x.now = x.now.Add(loadStep) {
		x.stepStore()
		for _, h := range x.hosts {
			x.stepHost(h)
		}
		for _, c := range x.callers {
			x.stepCaller(c)
		}
	}
	return x.lost
}

// TestLostTargetLoad guards against requests that are lost on open flows whose
// targets are gone. The goal for a played day is from 705 to below 150.
func TestLostTargetLoad(t *testing.T) {
	for seed := range uint64(3) {
		before, after := newLostLoad(seed, false), newLostLoad(seed, true)
		lostBefore, lostAfter := before.run(), after.run()
		replaced, missing := uint64(0), uint64(0)
		for _, h := range after.hosts {
			replaced += h.core.Stats.ReusedResets
			missing += h.core.Stats.MissingResets
		}
		t.Logf("seed %d: %d of %d requests lost without, %d of %d with resets (%d for a reused address, %d for a missing entry)",
			seed, lostBefore, before.sent, lostAfter, after.sent, replaced, missing)
		assert.Assert(t, lostBefore > 100)
		assert.Assert(t, lostAfter*705 < lostBefore*150, "%d of %d", lostAfter, lostBefore)
	}
}
