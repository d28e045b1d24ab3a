package hsmodel

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsplace"
)

type (
	// PaceConfig makes the targets of a simulation differ in speed, and has the
	// hosts report as those of a large deployment do.
	PaceConfig struct {
		// Ratio of the longest to the shortest service time of the targets, spread
		// evenly on a logarithmic scale in an order without pattern; 1 or less if
		// all targets are alike.
		Spread float64
		// Share of the targets of each zone that are slower from Start to End, and
		// factor by which they are. With Drift, the factor rises for the first
		// half of that time and falls for the second.
		SlowShare  float64
		SlowFactor float64
		Start      time.Duration
		End        time.Duration
		Drift      bool
		// True if a slow target is slow only while more than half of its slots are
		// in use.
		HalfSlots bool
		// Zone of the callers for which the targets are slow, counted from 1; 0 for
		// all.
		ForZone int
		// True if a target that rejects a request answers it with data, so that it
		// looks like a quick answer; otherwise it closes the flow.
		RejectionAnswers bool
		// True if hosts learn, see hsplace.Config.
		Learn bool
		// True if a dispatcher that knows the load and pace of all targets places
		// all flows, in place of the hosts.
		Omniscient bool
		// Delay added to all packets of the first host.
		SlowLink time.Duration
		// Called for the paces that the first host sends, to falsify them.
		Falsify func([]hsplace.Pace) []hsplace.Pace
		// Time at which the first host starts again without state; 0 for never.
		Restart time.Duration
	}

	// PaceCase is a named kind of unequal targets.
	PaceCase struct {
		Name string
		Pace PaceConfig
		// True if 0.7 of the requests use flows that callers keep open.
		Kept bool
	}

	// PaceResult is the result of a simulation with targets of unequal speed.
	PaceResult struct {
		Result
		// Share of the requests answered within the latency objective, without
		// those sent within learnTime after Start, when hosts cannot know yet.
		Settled float64
		// Requests that targets rejected because their queues were full.
		Rejected int
		// 0.99 quantile of the time from a request to its answer.
		P99 time.Duration
		// Requests that arrived at slow targets, as a multiple of their number of
		// targets' share, in each paceBin.
		SlowShares []float64
		// Largest deviation of the arrivals at a target within a window of
		// varianceWindow from its mean, relative to the mean, in steady load
		// after learnTime; see deviation.
		Deviation float64
		// Number of usual targets that hosts found slow.
		FalselySlow int
	}

	// paceState is the state of a simulation with targets of unequal speed.
	paceState struct {
		PaceConfig
		// Factor by which each target is slower at all times, and whether it is
		// slow from Start to End.
		factors []float64
		slow    []bool
		// Requests placed on each target that have not arrived there.
		assigned []int
		// Arrivals at each target by paceBin.
		arrivals [][]int
		rejected int
		// Requests that are counted in PaceResult.Settled, and those of them that
		// were answered within the latency objective.
		settled       int
		settledInTime int
		times         []time.Duration
		falselySlow   int
	}
)

// PaceCases are the compared kinds of unequal targets. The slow ones are so from
// 2 s on, of a run of 8 s, or all the time.
var PaceCases = []PaceCase{
	{Name: "alike"},
	{Name: "step-10x4", Pace: PaceConfig{SlowShare: 0.1, SlowFactor: 4, Start: 2 * time.Second, End: 5 * time.Second}},
	{Name: "step-40x5", Pace: PaceConfig{SlowShare: 0.4, SlowFactor: 5, Start: 2 * time.Second, End: 5 * time.Second}},
	{Name: "slow-30x6", Pace: PaceConfig{SlowShare: 0.3, SlowFactor: 6, End: time.Hour}},
	{Name: "drift-40x5", Pace: PaceConfig{SlowShare: 0.4, SlowFactor: 5, Start: time.Second, End: 7 * time.Second, Drift: true}},
	{Name: "half-30x5", Pace: PaceConfig{SlowShare: 0.3, SlowFactor: 5, End: time.Hour, HalfSlots: true}},
	{Name: "zone-40x5", Pace: PaceConfig{SlowShare: 0.4, SlowFactor: 5, Start: 2 * time.Second, End: 5 * time.Second, ForZone: 1}},
	{Name: "spread-4", Pace: PaceConfig{Spread: 4}},
	{Name: "spread-8", Pace: PaceConfig{Spread: 8}},
	{Name: "kept-40x5", Pace: PaceConfig{SlowShare: 0.4, SlowFactor: 5, Start: 2 * time.Second, End: 5 * time.Second}, Kept: true},
}

// PacePolicies are the compared policies with targets of unequal speed.
var PacePolicies = []string{"before", "pace", "omniscient"}

const (
	// paceBin is the time in which arrivals are counted.
	paceBin = 250 * time.Millisecond
	// learnTime is the time after which steady load is judged, and
	// varianceWindow the time over which the share of a target is taken.
	learnTime      = 2 * time.Second
	varianceWindow = 2 * time.Second
	// reportedPaces is the number of paces in every second report; the others
	// carry one less.
	reportedPaces = 2
)

// UnequalConfig returns the configuration of a service with 30 targets in three
// zones, or half as many as hosts if these are more, at the given multiple of
// the targets' capacity. By default, 40 % of the targets are 5 times slower
// from 3 to 6 s.
func UnequalConfig(seed uint64, hosts int, load float64, pc PaceConfig) Config {
	perZone := max(10, hosts/6)
	cfg := Config{
		Seed: seed, Policy: ProductPolicy,
		Hosts: []int{hosts / 3, hosts / 3, hosts / 3}, Targets: []int{perZone, perZone, perZone},
		Slots: 2, QueueLimit: 8, MeanWorkTime: 50 * time.Millisecond,
		Duration: 8 * time.Second, BurstFactor: 1,
		ReportInterval:   200 * time.Millisecond,
		LatencyObjective: 750 * time.Millisecond, Deadline: 4 * time.Second, Retries: 3,
		Pace: &pc,
	}
	capacity := 0.0
	factors, slow := pc.assign(cfg.Targets)
	for i, f := range factors {
		if slow[i] && !pc.HalfSlots {
			f *= pc.SlowFactor
		}
		capacity += float64(cfg.Slots) / (cfg.MeanWorkTime.Seconds() * f)
	}
	cfg.Rate = load * capacity
	return cfg
}

// Config returns the configuration of a case under one of PacePolicies.
func (pc *PaceCase) Config(seed uint64, hosts int, load float64, policy string) Config {
	p := pc.Pace
	p.RejectionAnswers = true
	p.Learn = policy == "pace"
	p.Omniscient = policy == "omniscient"
	cfg := UnequalConfig(seed, hosts, load, p)
	if pc.Kept {
		cfg.KeptShare = 0.7
		cfg.KeptFlows = int(cfg.Rate / 5)
	}
	return cfg
}

// assign returns the factor of each target, with mean speed 1, and whether it is
// slow.
func (pc *PaceConfig) assign(targets []int) ([]float64, []bool) {
	var factors []float64
	var slow []bool
	for _, n := range targets {
		for i := range n {
			f := 1.0
			if pc.Spread > 1 {
				f = math.Pow(pc.Spread, float64(i*7%n)/float64(max(n-1, 1)))
			}
			factors = append(factors, f)
			slow = append(slow, float64(i*3%n) < pc.SlowShare*float64(n))
		}
	}
	speed := 0.0
	for _, f := range factors {
		speed += 1 / f / float64(len(factors))
	}
	for i := range factors {
		factors[i] *= speed
	}
	return factors, slow
}

// SimulatePace runs a simulation of a configuration with Pace.
func SimulatePace(cfg Config) PaceResult {
	sim := newSimulation(cfg)
	sim.schedule(0, sim.startRequest)
	sim.run()
	r := PaceResult{Result: sim.summarize()}
	ps := sim.pace
	r.Rejected, r.FalselySlow = ps.rejected, ps.falselySlow
	slices.Sort(ps.times)
	if n := len(ps.times); n > 0 {
		r.P99 = ps.times[n*99/100]
	}
	r.Settled = float64(ps.settledInTime) / float64(max(ps.settled, 1))
	r.SlowShares = ps.slowShares()
	r.Deviation = ps.deviation(cfg.Duration)
	return r
}

func newPaceState(cfg *Config) *paceState {
	if cfg.Pace == nil {
		return nil
	}
	ps := &paceState{PaceConfig: *cfg.Pace}
	ps.factors, ps.slow = ps.assign(cfg.Targets)
	ps.assigned = make([]int, len(ps.factors))
	for range int(cfg.Duration/paceBin) + 1 {
		ps.arrivals = append(ps.arrivals, make([]int, len(ps.factors)))
	}
	return ps
}

// factor returns the factor by which a target is slower now for callers of a
// zone.
func (ps *paceState) factor(t *target, zone int) float64 {
	f := ps.factors[t.id-1]
	now := t.sim.now
	if !ps.slow[t.id-1] || now < ps.Start || now >= ps.End || (ps.ForZone != 0 && zone != ps.ForZone-1) {
		return f
	}
	if ps.HalfSlots && 2*t.busySlots <= t.sim.cfg.Slots {
		return f
	}
	if !ps.Drift {
		return f * ps.SlowFactor
	}
	half := (ps.End - ps.Start) / 2
	part := 1 - math.Abs(float64(now-ps.Start-half))/float64(half)
	return f * (1 + (ps.SlowFactor-1)*part)
}

// workTime returns the time that a request occupies a slot of the target.
func (t *target) workTime(a *attempt) time.Duration {
	if t.sim.pace == nil {
		return t.coldWorkTime(a.c.workTime)
	}
	return time.Duration(float64(a.c.workTime) * t.sim.pace.factor(t, a.c.zone))
}

// arrived counts a request that arrives at a target.
func (ps *paceState) arrived(t *target) {
	if ps == nil {
		return
	}
	ps.assigned[t.id-1] = max(ps.assigned[t.id-1]-1, 0)
	if bin := int(t.sim.now / paceBin); bin < len(ps.arrivals) {
		ps.arrivals[bin][t.id-1]++
	}
}

// answered counts a request that was sent at a time and answered now.
func (ps *paceState) answered(sent, now, objective time.Duration) {
	if ps == nil {
		return
	}
	ps.times = append(ps.times, now-sent)
	if ps.isSettled(sent) && now-sent <= objective {
		ps.settledInTime++
	}
}

// sent counts a request that is sent now.
func (ps *paceState) sent(now time.Duration) {
	if ps != nil && ps.isSettled(now) {
		ps.settled++
	}
}

func (ps *paceState) isSettled(at time.Duration) bool {
	return at < ps.Start || at >= ps.Start+learnTime
}

// choose returns the target with the shortest expected time for a request.
func (ps *paceState) choose(sim *simulation, zone int) *target {
	var best *target
	lowest, ties := 0.0, 0
	for _, t := range sim.targets {
		waiting := float64(t.busySlots+len(t.queue)+ps.assigned[t.id-1]+1) / float64(sim.cfg.Slots)
		c := max(waiting, 1) * ps.factor(t, zone)
		switch {
		case best == nil || c < lowest:
			best, lowest, ties = t, c, 1
		case c == lowest:
			ties++
			if sim.rng.IntN(ties) == 0 {
				best = t
			}
		}
	}
	ps.assigned[best.id-1]++
	return best
}

// reportRound sends one round of reports of a host as hsdirect does: to a few
// hosts in turn, with the targets of highest load.
func (h *host) reportRound() {
	now := clockTime(h.sim.now)
	loads := h.core.AppendLoads(nil)
	slices.SortFunc(loads, func(a, b hsplace.Load) int {
		return cmp.Or(cmp.Compare(float64(b.Requests)+b.Expected, float64(a.Requests)+a.Expected), cmp.Compare(a.Target, b.Target))
	})
	loads = loads[:min(len(loads), reportedLoads)]
	recipients := max(min(zoneRecipients, len(h.sim.hostsByZone[h.zone])-1), 1)
	paces := h.core.AppendPaces(now, nil, (reportedPaces-h.reports%2)*zoneRecipients/recipients)
	if f := h.sim.pace.Falsify; f != nil && h.index == 0 {
		paces = f(paces)
	}
	ejected := h.core.AppendEjected(now, nil)
	mates := h.sim.hostsByZone[h.zone]
	for range min(zoneRecipients, len(mates)-1) {
		h.zonePosition++
		if mates[h.zonePosition%len(mates)] == h {
			h.zonePosition++
		}
		other := mates[h.zonePosition%len(mates)]
		h.sim.schedule(oneWayDelay, func() {
			then := clockTime(h.sim.now)
			other.core.ApplyReport(then, zoneName(h.index), loads)
			other.core.ApplyEjections(then, ejected, ejectionReportLifetime)
			if len(paces) > 0 {
				other.core.ApplyPaces(then, paces)
			}
		})
	}
	if h.reports%remoteEvery == 0 {
		for range remoteRecipients {
			h.remotePosition++
			other := h.sim.hosts[h.remotePosition%len(h.sim.hosts)]
			if other.zone != h.zone {
				h.sim.schedule(oneWayDelay, func() { other.core.ApplyReport(clockTime(h.sim.now), zoneName(h.index), loads) })
			}
		}
	}
	h.reports++
}

// countFalselySlow counts the usual targets that the host has found slow.
func (h *host) countFalselySlow() {
	ps := h.sim.pace
	if ps == nil {
		return
	}
	for _, c := range h.core.PaceChanges {
		if c.Slow && ps.Spread <= 1 && !ps.slow[c.Target-1] {
			ps.falselySlow++
		}
	}
	h.core.PaceChanges = h.core.PaceChanges[:0]
}

// slowShares returns the arrivals at slow targets in each bin as a multiple of
// what they would get of equal shares.
func (ps *paceState) slowShares() []float64 {
	var out []float64
	slowTargets := 0
	for _, s := range ps.slow {
		if s {
			slowTargets++
		}
	}
	for _, bin := range ps.arrivals {
		slow, total := 0, 0
		for i, n := range bin {
			total += n
			if ps.slow[i] {
				slow += n
			}
		}
		out = append(out, float64(slow*len(ps.slow))/float64(max(total*slowTargets, 1)))
	}
	return out
}

// deviation returns the mean over the targets of the standard deviation of a
// target's share of the arrivals in windows of varianceWindow from its mean,
// beyond what random arrivals of the same number have, relative to the mean.
func (ps *paceState) deviation(duration time.Duration) float64 {
	per := int(varianceWindow / paceBin)
	first, last := int(learnTime/paceBin), int(duration/paceBin)
	sum, weight := 0.0, 0.0
	for i := range ps.factors {
		var counts []float64
		mean := 0.0
		for b := first; b+per <= last; b += per {
			n := 0
			for k := range per {
				n += ps.arrivals[b+k][i]
			}
			counts = append(counts, float64(n))
			mean += float64(n)
		}
		mean /= float64(max(len(counts), 1))
		variance := 0.0
		for _, n := range counts {
			variance += (n - mean) * (n - mean) / float64(max(len(counts)-1, 1))
		}
		if mean > 0 {
			sum += math.Sqrt(max(variance-mean, 0)) / mean * mean
			weight += mean
		}
	}
	return sum / max(weight, 1)
}

// WritePaceHeader writes the header of a table of results with targets of
// unequal speed.
func WritePaceHeader(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-12s %-12s %6s %5s %7s %7s %7s %8s %8s %6s %7s %9s\n",
		"case", "policy", "hosts", "load", "asked", "in aim", "settled", "refused", "rejected", "p99 ms", "worst", "deviation")
}

// WritePaceRow writes one result as a row of the table. Outcomes are shares of
// all requests; rejected is a number.
func WritePaceRow(w io.Writer, name, policy string, hosts int, load float64, r *PaceResult) {
	part := func(n int) float64 { return float64(n) / float64(max(r.Asked, 1)) }
	_, _ = fmt.Fprintf(w, "%-12s %-12s %6d %5.1f %7d %7.4f %7.4f %8.4f %8d %6d %7.3f %9.2f\n",
		name, policy, hosts, load, r.Asked, part(r.InAim), r.Settled, part(r.Refused), r.Rejected, r.P99.Milliseconds(), r.Worst, r.Deviation)
}
