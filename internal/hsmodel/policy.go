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
		sim   *simulation
		index int
		zone  int
		rng   *rand.Rand
		// False while the host does not run.
		running bool
		// The real core; nil for other policies.
		core *hscookie.Core
		// For other policies: number of open flows by target, and target by
		// flow.
		// Released targets are counted as full.
		openFlows    []int
		targetByFlow map[netip.AddrPort]int
		// Attempts by the caller's address, to find those whose held packets
		// the core releases.
		attempts map[netip.AddrPort]*attempt
		// Number of rounds of reports, and the last recipients.
		reports        int
		zonePosition   int
		remotePosition int
	}
)

// releasedLoad is the number of open flows that a simple policy counts at a
// released target, so that it chooses another one.
const releasedLoad = 1 << 30

// ejectionReportLifetime is the time for which a host's report of an ejected
// target is valid, as in zones of three hosts.
const ejectionReportLifetime = 450 * time.Millisecond

// Policies are the compared policies; the last one is ProductPolicy.
var Policies = []Policy{
	{Name: "random", Choose: func(rng *rand.Rand, _ uint64, open []int) int {
		return firstPresent(open, rng.IntN(len(open)))
	}},
	{Name: "hash", Choose: func(_ *rand.Rand, hash uint64, open []int) int {
		return firstPresent(open, int(hash%uint64(len(open))))
	}},
	{Name: "two-choices", Choose: twoChoices},
	{Name: "least-open", Choose: leastOpen},
	ProductPolicy,
}

// ProductPolicy places flows by the real core.
var ProductPolicy = Policy{Name: "product"}

// firstPresent returns the first target from i on that has not been released.
func firstPresent(open []int, i int) int {
	for open[i] >= releasedLoad {
		i = (i + 1) % len(open)
	}
	return i
}

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

func newHost(sim *simulation, n, zone int) *host {
	h := &host{
		sim: sim, index: n, zone: zone,
		rng: rand.New(rand.NewPCG(sim.cfg.Seed, uint64(n)+2)),
	}
	h.reset(-initialUptime)
	return h
}

// stop stops the host's process; its state is lost.
func (h *host) stop() { h.running = false }

// start starts the process again.
func (h *host) start() { h.reset(h.sim.now) }

// reset gives the host the state that it has if it was started at the given
// time and has had no flows.
func (h *host) reset(since time.Duration) {
	sim := h.sim
	h.running = true
	h.attempts = map[netip.AddrPort]*attempt{}
	if sim.cfg.Policy.Choose != nil {
		h.openFlows = nil
		h.targetByFlow = map[netip.AddrPort]int{}
		h.targetsChanged()
		return
	}
	h.zonePosition, h.remotePosition = h.index, h.index
	cfg := hscookie.Config{
		Placement:       hsplace.Config{Zone: zoneName(h.zone), Seed: sim.cfg.Seed + uint64(h.index), Host: hostName(h.index)},
		MaxFlows:        1 << 16,
		MaxFlowLifetime: time.Minute,
		StartTime:       clockTime(since),
	}
	switch {
	case sim.cfg.Shortage != nil:
		cfg.LimitRequests = sim.cfg.Shortage.LimitRequests
	case sim.pace != nil:
		cfg.LearnCapacity = sim.pace.Learn
	}
	cfg.Placement.LearnCapacity = cfg.LearnCapacity
	h.core = hscookie.New(cfg)
	if s := sim.cfg.Shortage; s != nil {
		h.core.SetHostCount(s.HostCount)
	}
	h.core.SetConfiguration(clockTime(0), sim.configuration())
	h.core.SetMembers(sim.members())
	h.targetsChanged()
}

// targetsChanged tells the host of the present targets.
func (h *host) targetsChanged() {
	if h.core == nil {
		for range len(h.sim.targets) - len(h.openFlows) {
			h.openFlows = append(h.openFlows, 0)
		}
		for i, t := range h.sim.targets {
			if t.left {
				h.openFlows[i] = releasedLoad
			}
		}
		return
	}
	records := make([]hsfeed.TargetRecord, 0, len(h.sim.targets))
	for _, t := range h.sim.targets {
		if t.absent {
			continue
		}
		records = append(records, hsfeed.TargetRecord{Target: hsfeed.Target{
			ID: hsfeed.TargetID(t.id), Service: "desk", Zone: zoneName(t.zone), Slots: h.sim.cfg.Slots, Draining: t.left,
		}, WarmUpUntil: clockTime(t.until)})
	}
	h.core.SetTargets(clockTime(h.sim.now), records)
}

// packet handles the arrival of an opening packet.
func (h *host) packet(a *attempt, p *hscookie.Packet) {
	if !h.running {
		return
	}
	h.attempts[a.callerAddr] = a
	if ps := h.sim.pace; ps != nil && ps.Omniscient {
		t := ps.choose(h.sim, h.zone)
		h.sim.schedule(oneWayDelay, func() { t.accept(a) })
		return
	}
	if h.core == nil {
		h.place(a, p)
		return
	}
	v := h.core.HandlePacket(clockTime(h.sim.now), p)
	h.carryOut(a, &v)
	h.releaseHeld()
}

// place handles an opening packet by a simple policy.
func (h *host) place(a *attempt, p *hscookie.Packet) {
	i, ok := h.targetByFlow[a.callerAddr]
	if !ok {
		key := p.Key()
		i = h.sim.cfg.Policy.Choose(h.rng, key.Hash(), h.openFlows)
		h.targetByFlow[a.callerAddr] = i
		h.openFlows[i]++
	}
	t := h.sim.targets[i]
	h.sim.schedule(oneWayDelay, func() { t.accept(a) })
}

func (h *host) carryOut(a *attempt, v *hscookie.Verdict) {
	switch v.Action {
	case hscookie.Forward:
		t := h.sim.targets[v.Target-1]
		h.sim.schedule(oneWayDelay, func() { t.accept(a) })
	case hscookie.Refuse:
		h.sim.schedule(oneWayDelay, func() {
			a.refused()
			a.end(true)
		})
	}
}

// laterPacket handles the arrival of a flow's packet after the opening one, with
// the given size of data; ends is true for the flow's last packet.
func (h *host) laterPacket(a *attempt, t *target, size int, ends bool) {
	if !h.running {
		return
	}
	if h.core == nil {
		if i, ok := h.targetByFlow[a.callerAddr]; ok && ends {
			h.openFlows[i]--
			delete(h.targetByFlow, a.callerAddr)
		}
		return
	}
	p := hscookie.Packet{
		From: a.callerAddr, To: a.routeAddr, Flags: hscookie.FlagAck, Cookie: hscookie.NewCookie("desk", hsfeed.TargetID(t.id)),
		Seq: a.seq, Ack: a.ack, DataSize: size,
	}
	if ends {
		p.Flags |= hscookie.FlagFin
		delete(h.attempts, a.callerAddr)
	}
	h.core.HandlePacket(clockTime(h.sim.now), &p)
	h.releaseHeld()
}

// releaseHeld carries out the verdicts on held packets that the core releases.
func (h *host) releaseHeld() {
	for p, v, ok := h.core.Release(clockTime(h.sim.now)); ok; p, v, ok = h.core.Release(clockTime(h.sim.now)) {
		if a := h.attempts[p.From]; a != nil {
			h.carryOut(a, &v)
		}
	}
}

func (h *host) tick() {
	if h.running && h.core != nil {
		h.core.Tick(clockTime(h.sim.now))
		h.releaseHeld()
		h.countFalselySlow()
	}
	if h.sim.active() {
		h.sim.schedule(tickInterval, h.tick)
	}
}

// report sends the number of open flows by target to the other hosts, and the
// ejected targets to those of the same zone.
func (h *host) report() {
	if h.core == nil {
		return
	}
	if h.sim.active() {
		h.sim.schedule(h.sim.cfg.ReportInterval, h.report)
	}
	if !h.running {
		return
	}
	if h.sim.pace != nil {
		h.reportRound()
		return
	}
	now := clockTime(h.sim.now)
	loads := h.core.AppendLoads(nil)
	ejected := h.core.AppendEjected(now, nil)
	if h.sim.cfg.Shortage != nil {
		h.reportInTurn(now, loads)
		return
	}
	for _, other := range h.sim.hosts {
		if other == h {
			continue
		}
		other.core.ApplyReport(now, zoneName(h.index), loads)
		if other.zone == h.zone {
			other.core.ApplyEjections(now, ejected, ejectionReportLifetime)
		}
	}
}

func zoneName(n int) string { return string(rune('a' + n)) }

// clockTime converts simulated time to clock time.
func clockTime(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
