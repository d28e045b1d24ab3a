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

	// server is a target.
	server struct {
		sim  *simulation
		id   int
		zone int
		// True if the target is unresponsive during the burst.
		unresponsive bool
		// Number of occupied slots, queued requests, and number of requests that
		// were started.
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
	if c.sim.now-c.sent > c.sim.cfg.Aim {
		c.sim.result.Late++
		return
	}
	c.sim.result.InAim++
	c.sim.windows[c.sent/windowLength].withinObjective++
}

// arrive handles the arrival of the opening packet at the host, after a number of
// earlier retransmissions.
func (a *attempt) arrive(retransmissions uint32) {
	if a.opened || a.ended || a.c.done {
		return
	}
	a.host.packet(a, &hscookie.Packet{From: a.callerAddr, To: serviceAddr, Flags: hscookie.Open, Copies: retransmissions})
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
func (s *server) accept(a *attempt) {
	if s.unresponsive && s.sim.inBurst() {
		return
	}
	s.sim.schedule(2*oneWayDelay, func() {
		if a.opened || a.ended || a.c.done {
			return
		}
		a.opened = true
		a.host.laterPacket(a, s, false)
		s.sim.schedule(oneWayDelay, func() { s.request(a) })
	})
}

// request handles the arrival of the request itself: the target runs, queues or
// refuses it.
func (s *server) request(a *attempt) {
	switch {
	case s.busySlots < s.sim.cfg.Slots:
		s.run(a)
	case len(s.queue) < s.sim.cfg.Queue:
		s.queue = append(s.queue, a)
	default:
		s.sim.schedule(2*oneWayDelay, func() {
			a.host.laterPacket(a, s, true)
			a.end(true)
		})
	}
}

func (s *server) run(a *attempt) {
	s.busySlots++
	s.served++
	s.sim.schedule(a.c.workTime, func() {
		s.busySlots--
		s.sim.schedule(oneWayDelay, func() {
			a.c.answered()
			s.sim.schedule(oneWayDelay, func() { a.host.laterPacket(a, s, true) })
		})
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.run(next)
		}
	})
}
