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
		sent         time.Duration
		workTime     time.Duration
		attemptsLeft int
		done         bool
		// True if the last attempt was refused.
		lastRefused bool
	}

	// attempt is one attempt of a caller, on a flow of its own.
	attempt struct {
		c          *caller
		callerAddr netip.AddrPort
		host       *host
		opened     bool
		ended      bool
	}

	// target is a target of the model.
	target struct {
		sim  *simulation
		id   int
		zone int
		// True if the target is unresponsive during the burst.
		unresponsive bool
		// Number of occupied slots, queued requests, and number of requests
		// that were started.
		busySlots int
		queue     []*attempt
		served    int
	}
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
	sim.lastPort++
	hosts := sim.hostsByZone[c.zone]
	a := &attempt{
		c:          c,
		callerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(c.zone), byte(sim.rng.IntN(250))}), sim.lastPort),
		host:       hosts[sim.rng.IntN(len(hosts))],
	}
	for i, after := range sendTimes {
		sim.schedule(after+oneWayDelay, func() { a.arrive(uint32(i)) })
	}
	sim.schedule(attemptTimeout, a.timeOut)
	if left := sim.cfg.Deadline - (sim.now - c.sent); left > 0 {
		sim.schedule(left, c.fail)
	}
}

// fail ends the request without an answer.
func (c *caller) fail() {
	if c.done {
		return
	}
	c.done = true
	if c.lastRefused {
		c.sim.result.Refused++
		return
	}
	c.sim.result.Failed++
}

// answered ends the request with an answer.
func (c *caller) answered() {
	if c.done {
		return
	}
	c.done = true
	if c.sim.now-c.sent > c.sim.cfg.LatencyObjective {
		c.sim.result.Late++
		return
	}
	c.sim.result.InAim++
	c.sim.windows[c.sent/windowLength].withinObjective++
}

// arrive handles the arrival of an opening packet at the host. retransmissions
// is the number of times that the caller has sent the packet before.
func (a *attempt) arrive(retransmissions uint32) {
	if a.opened || a.ended || a.c.done {
		return
	}
	a.host.packet(a, &hscookie.Packet{From: a.callerAddr, To: serviceAddr, Flags: hscookie.FlagOpen, Retransmits: retransmissions})
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
	t.sim.schedule(2*oneWayDelay, func() {
		if a.opened || a.ended || a.c.done {
			return
		}
		a.opened = true
		a.host.laterPacket(a, t, false)
		t.sim.schedule(oneWayDelay, func() { t.request(a) })
	})
}

// request handles the arrival of the request itself: the target runs, queues or
// refuses it.
func (t *target) request(a *attempt) {
	switch {
	case t.busySlots < t.sim.cfg.Slots:
		t.run(a)
	case len(t.queue) < t.sim.cfg.QueueLimit:
		t.queue = append(t.queue, a)
	default:
		t.sim.schedule(2*oneWayDelay, func() {
			a.host.laterPacket(a, t, true)
			a.end(true)
		})
	}
}

func (t *target) run(a *attempt) {
	t.busySlots++
	t.served++
	t.sim.schedule(a.c.workTime, func() {
		t.busySlots--
		t.sim.schedule(oneWayDelay, func() {
			a.c.answered()
			t.sim.schedule(oneWayDelay, func() { a.host.laterPacket(a, t, true) })
		})
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.run(next)
		}
	})
}
