package hsmodel

import (
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscookie"
)

type (
	// caller sends one request, in one or more attempts.
	caller struct {
		w     *world
		zone  int
		sent  time.Duration
		work  time.Duration
		tries int
		done  bool
		// True if the last attempt was refused.
		refused bool
	}

	// attempt is one attempt of a caller, on a flow of its own.
	attempt struct {
		c      *caller
		from   netip.AddrPort
		host   *host
		opened bool
		over   bool
	}

	// server is a target.
	server struct {
		w    *world
		id   int
		zone int
		// True if the target is unresponsive during the burst.
		dark bool
		// Number of occupied slots, queued requests, and number of requests run
		// since the start.
		busy int
		line []*attempt
		ran  int
	}
)

var (
	copyTimes   = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	attemptTime = 1400 * time.Millisecond
	called      = netip.MustParseAddrPort("198.18.0.1:443")
)

// try begins the next attempt, or ends the request if none is left or the
// deadline has passed.
func (c *caller) try() {
	if c.done {
		return
	}
	if c.tries == 0 || c.w.now-c.sent >= c.w.cfg.Deadline {
		c.fail()
		return
	}
	c.tries--
	w := c.w
	w.port++
	hosts := w.zones[c.zone]
	a := &attempt{
		c:    c,
		from: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(c.zone), byte(w.rng.IntN(250))}), w.port),
		host: hosts[w.rng.IntN(len(hosts))],
	}
	for i, after := range copyTimes {
		w.at(after+oneWay, func() { a.open(uint32(i)) })
	}
	w.at(attemptTime, a.giveUp)
	if left := w.cfg.Deadline - (w.now - c.sent); left > 0 {
		w.at(left, c.fail)
	}
}

// fail ends the request without an answer.
func (c *caller) fail() {
	if c.done {
		return
	}
	c.done = true
	if c.refused {
		c.w.result.Refused++
		return
	}
	c.w.result.Failed++
}

// answered ends the request with an answer.
func (c *caller) answered() {
	if c.done {
		return
	}
	c.done = true
	if c.w.now-c.sent > c.w.cfg.Aim {
		c.w.result.Late++
		return
	}
	c.w.result.InAim++
	c.w.windows[c.sent/windowTime].inAim++
}

// open handles the arrival of the opening packet, or of a retransmission, at the
// host.
func (a *attempt) open(copies uint32) {
	if a.opened || a.over || a.c.done {
		return
	}
	a.host.packet(a, &hscookie.Packet{From: a.from, To: called, Flags: hscookie.Open, Copies: copies})
}

func (a *attempt) giveUp() {
	if !a.opened {
		a.end(false)
	}
}

// end ends an attempt without an answer and begins the next one.
func (a *attempt) end(refused bool) {
	if a.over || a.c.done {
		return
	}
	a.over = true
	a.c.refused = refused
	a.c.try()
}

// accept handles the arrival of the opening packet at the target.
func (s *server) accept(a *attempt) {
	if s.dark && s.w.bursting() {
		return
	}
	s.w.at(2*oneWay, func() {
		if a.opened || a.over || a.c.done {
			return
		}
		a.opened = true
		a.host.later(a, s, false)
		s.w.at(oneWay, func() { s.request(a) })
	})
}

// request handles the arrival of the request itself: the target runs, queues or
// refuses it.
func (s *server) request(a *attempt) {
	switch {
	case s.busy < s.w.cfg.Slots:
		s.run(a)
	case len(s.line) < s.w.cfg.Queue:
		s.line = append(s.line, a)
	default:
		s.w.at(2*oneWay, func() {
			a.host.later(a, s, true)
			a.end(true)
		})
	}
}

func (s *server) run(a *attempt) {
	s.busy++
	s.ran++
	s.w.at(a.c.work, func() {
		s.busy--
		s.w.at(oneWay, func() {
			a.c.answered()
			s.w.at(oneWay, func() { a.host.later(a, s, true) })
		})
		if len(s.line) > 0 {
			next := s.line[0]
			s.line = s.line[1:]
			s.run(next)
		}
	})
}
