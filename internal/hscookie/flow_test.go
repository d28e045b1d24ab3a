package hscookie

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
)

// serviceTime is the time from a request to its answer in these tests.
const serviceTime = 40 * time.Millisecond

// keptFlow is a flow on which a caller sends several requests.
type keptFlow struct {
	from   netip.AddrPort
	cookie Cookie
	seq    uint32
	ack    uint32
}

// openKept opens a flow at a host, up to the caller's acknowledgement of the
// target's answer to the opening packet.
func openKept(c *Core, now time.Time, port uint16) *keptFlow {
	f := &keptFlow{from: callerWithPort(port), seq: 100, ack: 5000}
	v := c.HandlePacket(now, openPacket(f.from, deskAddr))
	f.cookie = v.Cookie
	f.acknowledge(c, now)
	return f
}

// send sends a packet with n bytes of data.
func (f *keptFlow) send(c *Core, now time.Time, n int) {
	c.HandlePacket(now, &Packet{
		From: f.from, To: deskAddr, Flags: FlagAck, Cookie: f.cookie,
		Seq: f.seq, Ack: f.ack, DataSize: n,
	})
}

func (f *keptFlow) acknowledge(c *Core, now time.Time) { f.send(c, now, 0) }

func (f *keptFlow) request(c *Core, now time.Time) {
	f.send(c, now, 300)
	f.seq += 300
}

// answered sends the acknowledgement of two packets of the answer.
func (f *keptFlow) answered(c *Core, now time.Time) {
	f.ack += 2400
	f.acknowledge(c, now)
}

func (f *keptFlow) close(c *Core, now time.Time) {
	c.HandlePacket(now, &Packet{From: f.from, To: deskAddr, Flags: FlagAck | FlagFin, Cookie: f.cookie, Seq: f.seq, Ack: f.ack})
}

// requests returns the number of requests in progress that the host counts.
func requests(c *Core) int {
	n := 0
	for _, l := range c.AppendLoads(nil) {
		n += l.Requests
	}
	return n
}

func expected(c *Core) float64 {
	n := 0.0
	for _, l := range c.AppendLoads(nil) {
		n += l.Expected
	}
	return n
}

// TestRequests checks that a flow counts as a request in progress from its
// opening packet to the acknowledgement of the first answer, and again from the
// data of the next request on; not while its caller pauses.
func TestRequests(t *testing.T) {
	c := newCore(target(1, "desk"))
	f := openKept(c, epoch, 1)
	assert.Equal(t, requests(c), 1)
	f.request(c, epoch)
	assert.Equal(t, requests(c), 1)
	f.seq -= 300
	f.request(c, epoch.Add(time.Millisecond))
	assert.Equal(t, requests(c), 1, "a retransmission of the data counts as a second request")
	f.answered(c, epoch.Add(serviceTime))
	assert.Equal(t, requests(c), 0)
	f.answered(c, epoch.Add(serviceTime))
	f.request(c, epoch.Add(time.Second))
	assert.Equal(t, requests(c), 1)
	f.close(c, epoch.Add(time.Second))
	f.acknowledge(c, epoch.Add(time.Second))
	assert.Equal(t, requests(c), 0)
	assert.Equal(t, c.Durations.Service.TotalCount(), int64(1))
	assert.Equal(t, c.Durations.Service.Max()/1000, serviceTime.Milliseconds())
}

// TestMidstreamRequest checks that a flow which moves to another host counts
// there from its next request on, and that the former host stops counting the
// request whose answer it did not see.
func TestMidstreamRequest(t *testing.T) {
	first, second := newCore(target(1, "desk")), newCore(target(1, "desk"))
	f := openKept(first, epoch, 1)
	f.request(first, epoch)
	f.answered(second, epoch.Add(serviceTime))
	assert.Equal(t, requests(second), 0)
	f.request(second, epoch.Add(2*serviceTime))
	assert.Equal(t, requests(second), 1)
	first.Tick(epoch.Add(minRequestTimeout))
	assert.Equal(t, requests(first), 0)
	assert.Equal(t, first.FlowCount(), 1)
	first.Tick(epoch.Add(minRequestTimeout + flowTimeout))
	assert.Equal(t, first.FlowCount(), 0)
}

// TestKeptFlowsLeaveRoom checks that open flows without requests do not keep
// new flows from being placed. Counted as load, they made targets appear full,
// so that opening packets were held and refused while slots were free.
func TestKeptFlowsLeaveRoom(t *testing.T) {
	c := fullCore(t)
	for port := uint16(1); port <= 8; port++ {
		p := laterPacket(callerWithPort(port), deskAddr, NewCookie("desk", 1))
		p.Ack = 7
		c.HandlePacket(epoch, p)
		p.Ack = 9
		c.HandlePacket(epoch, p)
	}
	assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(100), deskAddr)).Action, Forward)
}

// TestExpectedRequests checks that idle flows count for the requests that are
// to be expected on them, learned from the callers' pauses: a flow with a
// request of 40 ms every 400 ms counts for a tenth of a request. Flows that
// close after one request count for nothing.
func TestExpectedRequests(t *testing.T) {
	c := newCore(target(1, "desk"))
	f := openKept(c, epoch, 1)
	now := epoch
	for range 400 {
		f.request(c, now)
		f.answered(c, now.Add(serviceTime))
		now = now.Add(10 * serviceTime)
	}
	assert.Assert(t, expected(c) > 0.08 && expected(c) < 0.12, "%v", expected(c))
	f.request(c, now)
	assert.Equal(t, expected(c), 0.0)
	f.close(c, now)

	c = newCore(target(1, "desk"))
	for port := range uint16(50) {
		f := openKept(c, now, 1000+port)
		f.request(c, now)
		f.answered(c, now.Add(serviceTime))
		assert.Equal(t, expected(c), 0.0)
		f.close(c, now.Add(serviceTime))
	}
}

// TestExpectedRequestsChoice checks that of two targets without requests in
// progress, the one with fewer idle flows gets a new flow: the requests of idle
// flows reach their target without being placed.
func TestExpectedRequestsChoice(t *testing.T) {
	c := newCore(target(1, "desk"), target(2, "desk"))
	f := openKept(c, epoch, 1)
	now := epoch
	for range 100 {
		f.request(c, now)
		f.answered(c, now.Add(serviceTime))
		now = now.Add(10 * serviceTime)
	}
	v := c.HandlePacket(now, openPacket(callerWithPort(2), deskAddr))
	assert.Assert(t, v.Cookie != f.cookie)
}

// TestPausesSurviveConfiguration checks that what was learned about a route's
// callers is kept when a new configuration still has the route.
func TestPausesSurviveConfiguration(t *testing.T) {
	c := newCore(target(1, "desk"))
	c.routes.byAddress[deskAddr].pauses.add(time.Second, true)
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 2, Routes: []hsfeed.Route{route(deskAddr, "desk")}})
	assert.Equal(t, c.routes.byAddress[deskAddr].pauses.requests, 1.0)
}

// TestOpeningQueueMemory checks that the memory of the queue of opening packets
// follows the number of those in it, under a load that never empties it.
func TestOpeningQueueMemory(t *testing.T) {
	var q openingQueue
	inUse := 50
	for range inUse {
		q.push(openingFlow{})
	}
	for range 100_000 {
		q.push(openingFlow{})
		q.pop()
	}
	assert.Equal(t, len(q.items)-q.head, inUse)
	assert.Assert(t, cap(q.items) <= 8*inUse, "%d", cap(q.items))
}

// TestProbeWhileTableFull checks that a target is probed again if the flow that
// probed it could not be tracked, since the answer to that flow is not noticed.
func TestProbeWhileTableFull(t *testing.T) {
	c := newCore(target(1, "desk"), target(2, "desk"))
	now := epoch
	for range 2 {
		c.placer.RecordUnanswered(now, 1)
	}
	now = now.Add(hsplace.MaxEjection)
	c.cfg.MaxFlows = 0
	for port := range uint16(8) {
		c.HandlePacket(now, openPacket(callerWithPort(1000+port), deskAddr))
	}
	c.cfg.MaxFlows = 100
	now = now.Add(hsplace.MaxEjection)
	toFirst := 0
	for port := range uint16(20) {
		v := c.HandlePacket(now, openPacket(callerWithPort(2000+port), deskAddr))
		if v.Target == 1 {
			toFirst++
			c.HandlePacket(now, laterPacket(callerWithPort(2000+port), deskAddr, v.Cookie))
		}
	}
	assert.Equal(t, toFirst, 3, "flows that use the slots of the target")
}

// TestHeldPacketSize checks that an opening packet with much data is refused
// instead of being held: held packets would take any amount of memory.
func TestHeldPacketSize(t *testing.T) {
	c := fullCore(t)
	p := openPacket(callerWithPort(100), deskAddr)
	p.Raw = make([]byte, maxHeldPacketSize+1)
	assert.Equal(t, c.HandlePacket(epoch, p).Action, Refuse)
	p = openPacket(callerWithPort(101), deskAddr)
	p.Raw = make([]byte, maxHeldPacketSize)
	for range 3 {
		assert.Equal(t, c.HandlePacket(epoch, p).Action, Hold)
	}
	assert.Equal(t, c.Stats.Held, uint64(1))
}

// TestPortUsedAgain checks that an opening packet on a port that was in use a
// moment ago opens a new flow: it is placed anew and does not go to the target
// of the old flow, which is draining by now. A retransmission still does.
func TestPortUsedAgain(t *testing.T) {
	c := newCore(target(1, "desk"))
	first := openPacket(callerWithPort(1), deskAddr)
	first.Seq = 100
	assert.Equal(t, c.HandlePacket(epoch, first).Target, hsfeed.TargetID(1))
	c.HandlePacket(epoch, laterPacket(callerWithPort(1), deskAddr, NewCookie("desk", 1)))
	draining := target(1, "desk")
	draining.Draining = true
	c.SetTargets(epoch, []hsfeed.TargetRecord{draining, target(2, "desk")})
	now := epoch.Add(time.Second)
	assert.Equal(t, c.HandlePacket(now, first).Target, hsfeed.TargetID(1))
	second := openPacket(callerWithPort(1), deskAddr)
	second.Seq = 70_000
	assert.Equal(t, c.HandlePacket(now, second).Target, hsfeed.TargetID(2))
	assert.Equal(t, requests(c), 1)
}

// TestRetransmissionAfterMove checks that a retransmitted opening packet which
// arrives at another host than the first one, after later packets of the flow,
// goes to the flow's target and is not placed a second time.
func TestRetransmissionAfterMove(t *testing.T) {
	c := newCore(target(1, "desk"), target(2, "desk"))
	for id := hsfeed.TargetID(1); id <= 2; id++ {
		from := callerWithPort(uint16(id))
		c.HandlePacket(epoch, laterPacket(from, deskAddr, NewCookie("desk", id)))
		p := openPacket(from, deskAddr)
		p.Retransmits = 1
		v := c.HandlePacket(epoch, p)
		assert.Equal(t, v.Target, id)
		assert.Assert(t, !v.Placed)
	}
}

// TestEjectedTargetKeepsFlows checks that packets of open flows are still
// forwarded to a target that does not answer opening packets: it may only be
// slow, and its requests may be running.
func TestEjectedTargetKeepsFlows(t *testing.T) {
	c := newCore(target(1, "desk"), target(2, "desk"))
	f := openKept(c, epoch, 1)
	id := hsfeed.TargetID(1)
	if f.cookie == NewCookie("desk", 2) {
		id = 2
	}
	for range 4 {
		c.placer.RecordUnanswered(epoch, id)
	}
	assert.DeepEqual(t, c.AppendEjected(epoch, nil), []hsfeed.TargetID{id})
	v := c.HandlePacket(epoch, laterPacket(f.from, deskAddr, f.cookie))
	assert.Equal(t, v.Action, Forward)
	assert.Equal(t, v.Target, id)
}

// TestStuckRequest checks that a request that never ends, and one that ends long
// after it stopped counting as in progress, are evidence of a slow target, and
// that neither is without LearnCapacity.
func TestStuckRequest(t *testing.T) {
	for _, learn := range []bool{false, true} {
		list := []hsfeed.TargetRecord{target(1, "desk"), target(2, "desk"), target(3, "desk")}
		c := New(Config{
			MaxFlows: 1000, MaxFlowLifetime: time.Minute, StartTime: epoch.Add(-time.Minute),
			Placement: hsplace.Config{LearnCapacity: learn}, LearnCapacity: learn,
		})
		c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 1, Routes: []hsfeed.Route{route(deskAddr, "desk")}})
		c.SetTargets(epoch, list)
		now := epoch
		for i := range 40 {
			f := openKept(c, now, uint16(i+1))
			f.request(c, now)
			if f.cookie == NewCookie("desk", 1) {
				continue
			}
			now = now.Add(serviceTime)
			f.answered(c, now)
			c.Tick(now)
		}
		c.Tick(now.Add(200 * time.Millisecond))
		c.Tick(now.Add(400 * time.Millisecond))
		assert.Equal(t, c.placer.PaceFactor(1) > 2, learn)
		assert.Equal(t, c.placer.PaceFactor(2), 1.0)
	}
}
