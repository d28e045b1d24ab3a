package hsmodel

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
)

type (
	// Policy is a way to place new flows. Choose is nil for the real core.
	Policy struct {
		Name string
		// Choose returns the index of a target. open holds the number of open
		// flows that the host counts at each target.
		Choose func(rng *rand.Rand, hash uint64, open []int) int
	}

	// host is an entry host of the model.
	host struct {
		w    *world
		n    int
		zone int
		rng  *rand.Rand
		// False while the host does not run.
		up bool
		// The real core; nil for other policies.
		core *hscookie.Core
		// For other policies: number of open flows by target, and target by flow.
		open  []int
		flows map[netip.AddrPort]int
		// Attempts by the caller's address, to find those whose buffered packets
		// the core releases.
		attempts map[netip.AddrPort]*attempt
	}
)

// avoidTime is the time for which a host's report of an ejected target holds, as
// in zones of three hosts.
const avoidTime = 450 * time.Millisecond

// Policies are the compared policies; the last one is the product's.
var Policies = []Policy{
	{Name: "random", Choose: func(rng *rand.Rand, _ uint64, open []int) int { return rng.IntN(len(open)) }},
	{Name: "hash", Choose: func(_ *rand.Rand, hash uint64, open []int) int { return int(hash % uint64(len(open))) }},
	{Name: "two-choices", Choose: twoChoices},
	{Name: "least-open", Choose: leastOpen},
	Product,
}

// Product is the real core.
var Product = Policy{Name: "product"}

func twoChoices(rng *rand.Rand, _ uint64, open []int) int {
	a, b := rng.IntN(len(open)), rng.IntN(len(open))
	if open[b] < open[a] {
		return b
	}
	return a
}

// leastOpen chooses the target with the fewest open flows from this host, at
// random among equals.
func leastOpen(rng *rand.Rand, _ uint64, open []int) int {
	best, equal := 0, 0
	for i, n := range open {
		switch {
		case n < open[best] || equal == 0:
			best, equal = i, 1
		case n == open[best]:
			equal++
			if rng.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

func newHost(w *world, n, zone int) *host {
	h := &host{
		w: w, n: n, zone: zone,
		rng: rand.New(rand.NewPCG(w.cfg.Seed, uint64(n)+2)),
	}
	h.begin(-warmUp)
	return h
}

// stop stops the host's process; its state is lost.
func (h *host) stop() { h.up = false }

// start starts the process again.
func (h *host) start() { h.begin(h.w.now) }

// begin makes the host one that has been running without flows since a time.
func (h *host) begin(since time.Duration) {
	w := h.w
	h.up = true
	h.attempts = map[netip.AddrPort]*attempt{}
	if w.cfg.Policy.Choose != nil {
		h.open = make([]int, len(w.targets))
		h.flows = map[netip.AddrPort]int{}
		return
	}
	h.core = hscookie.New(hscookie.Config{
		Place:    hsplace.Config{Zone: zoneName(h.zone), Seed: w.cfg.Seed + uint64(h.n)},
		MaxFlows: 1 << 16,
		Life:     time.Minute,
		Start:    clock(since),
	})
	h.core.SetConfiguration(clock(0), &hsfeed.Configuration{Version: 1, Routes: []hsfeed.Route{{
		At: called, Shares: []hsfeed.Share{{Service: "desk", Weight: 1}}, Aim: w.cfg.Aim, Timeout: w.cfg.Deadline,
	}}})
	entries := make([]hsfeed.Entry, 0, len(w.targets))
	for _, s := range w.targets {
		entries = append(entries, hsfeed.Entry{Target: hsfeed.Target{
			ID: hsfeed.TargetID(s.id), Service: "desk", Zone: zoneName(s.zone), Slots: w.cfg.Slots,
		}})
	}
	h.core.SetTargets(clock(0), entries)
}

// packet handles the arrival of an opening packet.
func (h *host) packet(a *attempt, p *hscookie.Packet) {
	if !h.up {
		return
	}
	h.attempts[a.from] = a
	if h.core == nil {
		h.place(a, p)
		return
	}
	v := h.core.Packet(clock(h.w.now), p)
	h.carryOut(a, &v)
	h.release()
}

// place handles an opening packet by a simple policy.
func (h *host) place(a *attempt, p *hscookie.Packet) {
	i, ok := h.flows[a.from]
	if !ok {
		key := p.Key()
		i = h.w.cfg.Policy.Choose(h.rng, key.Hash(), h.open)
		h.flows[a.from] = i
		h.open[i]++
	}
	s := h.w.targets[i]
	h.w.at(oneWay, func() { s.accept(a) })
}

func (h *host) carryOut(a *attempt, v *hscookie.Verdict) {
	switch v.Action {
	case hscookie.Forward:
		s := h.w.targets[v.Target-1]
		h.w.at(oneWay, func() { s.accept(a) })
	case hscookie.Refuse:
		h.w.at(oneWay, func() { a.end(true) })
	}
}

// later handles the arrival of a flow's packet after the opening one; ends says
// that it is the flow's last.
func (h *host) later(a *attempt, s *server, ends bool) {
	if !h.up {
		return
	}
	if h.core == nil {
		if i, ok := h.flows[a.from]; ok && ends {
			h.open[i]--
			delete(h.flows, a.from)
		}
		return
	}
	id := hsfeed.TargetID(s.id)
	p := hscookie.Packet{From: a.from, To: called, Flags: hscookie.Ack, Cookie: hscookie.NewCookie("desk", id)}
	if ends {
		p.Flags |= hscookie.Fin
		delete(h.attempts, a.from)
	}
	h.core.Packet(clock(h.w.now), &p)
	h.release()
}

func (h *host) release() {
	for p, v, ok := h.core.Release(clock(h.w.now)); ok; p, v, ok = h.core.Release(clock(h.w.now)) {
		if a := h.attempts[p.From]; a != nil {
			h.carryOut(a, &v)
		}
	}
}

func (h *host) tick() {
	if h.up && h.core != nil {
		h.core.Tick(clock(h.w.now))
		h.release()
	}
	if h.w.running() {
		h.w.at(tickTime, h.tick)
	}
}

// report sends the number of open flows by target to the other hosts, and the
// ejected targets to those of the same zone.
func (h *host) report() {
	if h.core == nil {
		return
	}
	if h.w.running() {
		h.w.at(h.w.cfg.Report, h.report)
	}
	if !h.up {
		return
	}
	now := clock(h.w.now)
	loads := h.core.Loads(nil)
	ejected := h.core.Ejected(now, nil)
	for _, other := range h.w.hosts {
		if other == h {
			continue
		}
		other.core.Report(now, zoneName(h.n), loads)
		if other.zone == h.zone {
			other.core.Avoid(now, ejected, avoidTime)
		}
	}
}

func zoneName(n int) string { return string(rune('a' + n)) }

// clock converts simulated time to clock time.
func clock(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
