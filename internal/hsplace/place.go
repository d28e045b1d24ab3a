// Package hsplace decides which target takes a new flow, and when none may.
//
// It answers requests that each occupy one slot of a target for tens of
// milliseconds, opened by callers that reach many entry hosts, each of which
// sees only its own part: up to twice what the targets can serve, with targets
// that start, drain, fall silent or cannot be reached.
//
// A Placer does no I/O and reads no clock.
package hsplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// Config holds the settings of a Placer.
	Config struct {
		// Availability zone of this entry host.
		Zone string
		// Time for which a target that is not listed any more still takes new
		// flows: its entry may have lapsed while the store was away.
		Lapse time.Duration
		// Seed of the choice among equal targets.
		Seed uint64
	}

	// Load is what one host has open at one target.
	Load struct {
		Target hsfeed.TargetID
		Flows  int
	}

	// Choice is the target of a new flow and what decided for it.
	Choice struct {
		Target hsfeed.TargetID
		// Open flows at the target as this host counts them and as others
		// reported them.
		Own    int
		Others int
		// Targets that take new flows, and how many of them are ejected.
		Pool    int
		Ejected int
	}

	// Placer holds what one entry host knows of the targets' load. It is not
	// safe for concurrent use.
	Placer struct {
		cfg     Config
		rng     *rand.Rand
		targets map[hsfeed.TargetID]*target
		// Targets that take new flows, by service.
		pools   map[string][]*target
		reports map[string]report
		// By name; never removed, since there are few.
		zones map[string]*zone
	}

	target struct {
		entry hsfeed.Entry
		near  bool
		// Shared by all targets of the zone.
		zone *zone
		// Open flows that this host placed or forwards.
		own int
		// Open flows that other hosts reported.
		others int
		// Zero while the target is listed, else the time until which it takes
		// new flows all the same.
		until time.Time
		// Time until which the target is left out since a host of this zone
		// leaves it out.
		avoid time.Time
		evidence
	}

	report struct {
		at    time.Time
		loads []Load
	}
)

const (
	// farPenalty is added to the utilization of a target in another zone, so
	// that near ones are filled up to their last slot, and far ones are used
	// before near ones queue for long. Far targets cost bytes between zones and
	// are lost when the zones are cut off from each other.
	farPenalty = 0.8
	// reportWeight is the weight of the flows that others reported in the choice
	// among targets; in the decision whether a target is full they count whole.
	// The model of the load, hslab place, shows what it does.
	reportWeight = 0.15
	// coldSlots is the part of its slots that a target counts for while it is
	// slow after its start.
	coldSlots = 0.6
	// avoidSpread is the part by which the times differ for which hosts leave a
	// target out on another's word: one half.
	avoidSpread = 2
	// reportLife is the time for which another host's report counts: the time in
	// which a member of a large zone gets its turn twice.
	reportLife = 2500 * time.Millisecond
)

// New returns a placer without targets.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		targets: map[hsfeed.TargetID]*target{},
		pools:   map[string][]*target{},
		reports: map[string]report{},
		zones:   map[string]*zone{},
	}
}

// SetTargets takes the listed targets. What is known of those listed before
// stays, unless they have started again. One that is not listed any more without
// having announced its end takes new flows for a while: its entry may have lapsed
// while the store was away, and is back soon if the target lives.
func (p *Placer) SetTargets(now time.Time, list []hsfeed.Entry) {
	targets := make(map[hsfeed.TargetID]*target, len(list))
	for _, e := range list {
		t := p.targets[e.ID]
		if t == nil || t.entry.Born != e.Born {
			t = &target{}
		}
		t.entry = e
		t.near = e.Zone == p.cfg.Zone
		t.zone = p.zone(e.Zone)
		t.until = time.Time{}
		targets[e.ID] = t
	}
	for id, t := range p.targets {
		if targets[id] != nil || t.entry.Draining {
			continue
		}
		if t.until.IsZero() {
			t.until = now.Add(p.cfg.Lapse)
		}
		targets[id] = t
	}
	p.targets = targets
	p.removeLapsed(now)
	p.rebuild()
}

// removeLapsed forgets targets that did not come back, and reports whether
// there were any.
func (p *Placer) removeLapsed(now time.Time) bool {
	before := len(p.targets)
	for id, t := range p.targets {
		if !t.until.IsZero() && !now.Before(t.until) {
			delete(p.targets, id)
		}
	}
	return len(p.targets) < before
}

// rebuild makes the pools anew.
func (p *Placer) rebuild() {
	clear(p.pools)
	for _, t := range p.targets {
		if !t.entry.Draining {
			p.pools[t.entry.Service] = append(p.pools[t.entry.Service], t)
		}
	}
	for _, pool := range p.pools {
		slices.SortFunc(pool, func(a, b *target) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	}
	p.countOthers()
}

func (p *Placer) zone(name string) *zone {
	z := p.zones[name]
	if z == nil {
		z = &zone{}
		p.zones[name] = z
	}
	return z
}

// Open notes a flow at a target.
func (p *Placer) Open(id hsfeed.TargetID) {
	if t := p.targets[id]; t != nil {
		t.own++
	}
}

// Close notes the end of a flow at a target.
func (p *Placer) Close(id hsfeed.TargetID) {
	if t := p.targets[id]; t != nil && t.own > 0 {
		t.own--
	}
}

// Loads appends this host's open flows to dst, without targets that have none.
func (p *Placer) Loads(dst []Load) []Load {
	for id, t := range p.targets {
		if t.own > 0 {
			dst = append(dst, Load{Target: id, Flows: t.own})
		}
	}
	return dst
}

// Report takes another host's open flows, which replace its earlier report.
func (p *Placer) Report(now time.Time, host string, loads []Load) {
	p.reports[host] = report{at: now, loads: loads}
	p.countOthers()
}

// Avoid takes the targets that another host of this zone leaves out. They are
// left out here for a time, and for up to half as much again, which differs from
// host to host: so that one flow tries a target again, and not one of each host.
func (p *Placer) Avoid(now time.Time, ids []hsfeed.TargetID, d time.Duration) {
	until := now.Add(d + time.Duration(p.rng.Int64N(int64(d/avoidSpread)+1)))
	for _, id := range ids {
		if t := p.targets[id]; t != nil && t.avoid.Before(until) {
			t.avoid = until
		}
	}
}

// Ejected appends the targets that this host leaves out on its own evidence.
func (p *Placer) Ejected(now time.Time, dst []hsfeed.TargetID) []hsfeed.TargetID {
	for id, t := range p.targets {
		if !t.usable(now) {
			dst = append(dst, id)
		}
	}
	slices.Sort(dst)
	return dst
}

// Tick forgets reports that are too old to count and targets that did not come
// back.
func (p *Placer) Tick(now time.Time) {
	if p.removeLapsed(now) {
		p.rebuild()
	}
	expired := false
	for host, r := range p.reports {
		if now.Sub(r.at) > reportLife {
			delete(p.reports, host)
			expired = true
		}
	}
	if expired {
		p.countOthers()
	}
}

// Choose returns the target for a new flow of a service, or FlowOverload if even
// the best one would be utilized above most.
func (p *Placer) Choose(now time.Time, service string, most float64) (Choice, hscode.Code) {
	pool := p.pools[service]
	if len(pool) == 0 {
		return Choice{}, hscode.FlowNoTarget
	}
	best, ejected := p.cheapest(now, pool)
	ch := Choice{Target: best.entry.ID, Own: best.own, Others: best.others, Pool: len(pool), Ejected: ejected}
	if best.load(now) > most {
		return ch, hscode.FlowOverload
	}
	best.chosen(now)
	best.zone.chosen(now)
	return ch, hscode.OK
}

// cheapest returns the target of least cost, at random among equals, and the
// number of those left out because they are ejected. If all are, none is left
// out: the evidence may be this host's own trouble.
func (p *Placer) cheapest(now time.Time, pool []*target) (*target, int) {
	ejected := 0
	for _, t := range pool {
		if !t.takes(now) {
			ejected++
		}
	}
	var best *target
	least := 0.0
	equal := 0
	for _, t := range pool {
		if ejected < len(pool) && !t.takes(now) {
			continue
		}
		c := t.cost(now)
		switch {
		case best == nil || c < least:
			best, least, equal = t, c, 1
		case c == least:
			equal++
			if p.rng.IntN(equal) == 0 {
				best = t
			}
		}
	}
	return best, ejected
}

// takes reports whether neither the target nor its zone is left out.
func (t *target) takes(now time.Time) bool {
	return t.usable(now) && t.zone.usable(now) && !now.Before(t.avoid)
}

// cost is the utilization that the target would have with one more flow, as this
// host sees it, and a penalty for its distance. What others reported counts
// little: by the time that it is used most of those flows have ended, and all
// hosts would send theirs to the same targets.
func (t *target) cost(now time.Time) float64 {
	c := t.utilization(now, float64(t.own)+reportWeight*float64(t.others))
	if !t.near {
		c += farPenalty
	}
	return c
}

// load is the utilization that the target would have with one more flow.
func (t *target) load(now time.Time) float64 {
	return t.utilization(now, float64(t.own+t.others))
}

// utilization is the part of the target's slots that open flows and one more
// would take.
func (t *target) utilization(now time.Time, open float64) float64 {
	slots := float64(t.entry.Slots)
	if now.Before(t.entry.ColdUntil) {
		slots *= coldSlots
	}
	return (open + 1) / slots
}

func (p *Placer) countOthers() {
	for _, t := range p.targets {
		t.others = 0
	}
	for _, r := range p.reports {
		for _, l := range r.loads {
			if t := p.targets[l.Target]; t != nil {
				t.others += l.Flows
			}
		}
	}
}
