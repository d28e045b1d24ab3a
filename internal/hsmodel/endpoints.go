package hsmodel

import (
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscookie"
)

type (
	// caller sends one request, in one or more attempts.
	caller struct {
		sim          *simulation
		zone         int
		route        int
		sent         time.Duration
		workTime     time.Duration
		attemptsLeft int
		done         bool
		// True if the last attempt was refused.
		lastRefused bool
		// True if the last attempt was rejected by its target; only in runs
		// with a Shortage.
		lastRejected bool
		// True if the caller uses a kept flow of its zone, if one is idle.
		kept bool
	}

	// attempt is one attempt of a caller, on a flow of its own or on a kept
	// flow.
	attempt struct {
		c *caller
		*flow
		begun  time.Duration
		opened bool
		ended  bool
	}

	// flow is the caller's end of a flow.
	flow struct {
		callerAddr netip.AddrPort
		routeAddr  netip.AddrPort
		host       *host
		// Target of an open flow.
		target *target
		// Sequence number after the data sent, and acknowledgement number.
		seq uint32
		ack uint32
		// True if the flow stays open for further requests after an answer.
		kept bool
	}

	// target is a target of the model.
	target struct {
		sim  *simulation
		id   int
		zone int
		// True if the target is unresponsive during the burst.
		unresponsive bool
		// True once the target has been released: it closes each flow after its
		// answer and gets no new ones.
		left bool
		// Number of occupied slots, queued requests, and number of requests
		// that were started.
		busySlots int
		queue     []*attempt
		served    int
		cold
	}
)

const (
	// requestSize and answerSize are the sizes in bytes of a request and of the
	// part of an answer that the caller acknowledges first.
	requestSize = 300
	answerSize  = 2400
	// rejectionSize is the size in bytes of a rejection by a target.
	rejectionSize = 120
	// retransmissionTime is the time after which the data of a request that did
	// not arrive is sent again; it doubles each time.
	retransmissionTime = 200 * time.Millisecond
)

var (
	sendTimes      = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	attemptTimeout = 1400 * time.Millisecond
	serviceAddr    = netip.MustParseAddrPort("198.18.0.1:443")
)

// startAttempt begins the next attempt, or ends the request if none is left or
// the deadline has passed.
func (c *caller) startAttempt() {
	if c.done {
		return
	}
	if c.attemptsLeft == 0 || c.sim.now-c.sent >= c.sim.cfg.Deadline {
		c.fail()
		return
	}
	c.attemptsLeft--
	sim := c.sim
	if left := sim.cfg.Deadline - (sim.now - c.sent); left > 0 {
		sim.schedule(left, c.fail)
	}
	if f := sim.takeIdleFlow(c); f != nil {
		a := &attempt{c: c, flow: f, opened: true, begun: sim.now}
		a.sendRequest(retransmissionTime)
		return
	}
	sim.lastPort++
	a := &attempt{c: c, begun: sim.now, flow: &flow{
		routeAddr:  routeAddr(c.route),
		callerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(c.zone), byte(sim.rng.IntN(250))}), sim.lastPort),
		host:       sim.drawHost(c.zone),
		kept:       c.kept && sim.keptFlows[c.pool()] < sim.cfg.KeptFlows,
	}}
	for i, after := range sendTimes {
		sim.schedule(after+oneWayDelay, func() { a.arrive(uint32(i)) })
	}
	sim.schedule(attemptTimeout, a.timeOut)
}

// takeIdleFlow returns an idle kept flow for a caller that uses kept flows, or
// nil if there is none, or if the zone has fewer kept flows than configured.
// Flows to targets that have left were closed by these.
func (sim *simulation) takeIdleFlow(c *caller) *flow {
	if !c.kept || sim.keptFlows[c.pool()] < sim.cfg.KeptFlows {
		return nil
	}
	idle := &sim.idleFlows[c.pool()]
	for len(*idle) > 0 {
		i := sim.rng.IntN(len(*idle))
		f := (*idle)[i]
		(*idle)[i] = (*idle)[len(*idle)-1]
		*idle = (*idle)[:len(*idle)-1]
		if !f.target.left {
			return f
		}
		sim.keptFlows[c.pool()]--
	}
	return nil
}

// sendRequest sends the data of a request on an open flow through the flow's
// host, again after the given time if the host does not run.
func (a *attempt) sendRequest(retryAfter time.Duration) {
	if a.ended || a.c.done {
		return
	}
	if !a.host.running {
		a.c.sim.schedule(retryAfter, func() { a.sendRequest(2 * retryAfter) })
		return
	}
	t := a.target
	a.host.laterPacket(a, t, requestSize, false)
	a.seq += requestSize
	t.sim.schedule(2*oneWayDelay+a.linkDelay(), func() { t.request(a) })
}

// received handles the arrival of the answer: the caller acknowledges it, and
// closes the flow unless it keeps it.
func (a *attempt) received(t *target) {
	a.ack += answerSize
	a.c.answered()
	keep := a.kept && !t.left
	t.sim.schedule(oneWayDelay+a.linkDelay(), func() {
		a.host.laterPacket(a, t, 0, !keep)
		switch {
		case keep:
			t.sim.idleFlows[a.c.pool()] = append(t.sim.idleFlows[a.c.pool()], a.flow)
		case a.kept:
			t.sim.keptFlows[a.c.pool()]--
		}
	})
}

// fail ends the request without an answer.
func (c *caller) fail() {
	if c.done {
		return
	}
	c.done = true
	switch {
	case !c.lastRefused:
		c.sim.result.Failed++
		c.cell().Failed++
	case c.lastRejected:
		c.sim.result.Refused++
		c.cell().Rejected++
	default:
		c.sim.result.Refused++
		c.cell().Refused++
	}
}

// answered ends the request with an answer.
func (c *caller) answered() {
	if c.done {
		return
	}
	c.done = true
	c.sim.pace.answered(c.sent, c.sim.now, c.sim.cfg.LatencyObjective)
	if c.sim.now-c.sent > c.objective() {
		c.sim.result.Late++
		c.cell().Late++
		return
	}
	c.sim.result.InAim++
	c.cell().InAim++
	c.sim.windows[c.sent/windowLength].withinObjective++
}

// arrive handles the arrival of an opening packet at the host. retransmissions
// is the number of times that the caller has sent the packet before.
func (a *attempt) arrive(retransmissions uint32) {
	if a.opened || a.ended || a.c.done {
		return
	}
	a.host.packet(a, &hscookie.Packet{From: a.callerAddr, To: a.routeAddr, Flags: hscookie.FlagOpen, Retransmits: retransmissions})
}

func (a *attempt) timeOut() {
	if !a.opened {
		a.end(false)
	}
}

// end ends an attempt without an answer and begins the next one.
func (a *attempt) end(refused bool) {
	if a.ended || a.c.done {
		return
	}
	a.ended = true
	a.c.lastRefused = refused
	a.c.startAttempt()
}

// accept handles the arrival of the opening packet at the target.
func (t *target) accept(a *attempt) {
	if t.unresponsive && t.sim.inBurst() {
		return
	}
	t.countOpening()
	t.sim.schedule(2*oneWayDelay, func() {
		if a.opened || a.ended || a.c.done {
			return
		}
		a.opened = true
		a.target = t
		if a.kept {
			t.sim.keptFlows[a.c.pool()]++
		}
		a.sendRequest(retransmissionTime)
	})
}

// request handles the arrival of the request itself: the target runs, queues or
// refuses it.
func (t *target) request(a *attempt) {
	t.sim.pace.arrived(t)
	switch {
	case t.busySlots < t.sim.cfg.Slots:
		t.run(a)
	case len(t.queue) < t.sim.cfg.QueueLimit:
		t.queue = append(t.queue, a)
	default:
		if t.sim.pace != nil {
			t.sim.pace.rejected++
		}
		t.sim.schedule(2*oneWayDelay+a.linkDelay(), func() {
			a.rejected()
			if t.sim.pace != nil && t.sim.pace.RejectionAnswers {
				a.ack += rejectionSize
			}
			a.host.laterPacket(a, t, 0, true)
			if a.kept {
				t.sim.keptFlows[a.c.pool()]--
			}
			a.end(true)
		})
	}
}

// linkDelay returns the delay that a slow link of the attempt's host adds.
func (a *attempt) linkDelay() time.Duration {
	if ps := a.c.sim.pace; ps != nil && a.host.index == 0 {
		return ps.SlowLink
	}
	return 0
}

func (t *target) run(a *attempt) {
	t.busySlots++
	t.served++
	t.sim.schedule(t.workTime(a), func() {
		t.busySlots--
		t.sim.schedule(oneWayDelay, func() { a.received(t) })
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.run(next)
		}
	})
}
