package hsplace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// Pace is the mean time that a target took for a request, as one host
	// measured it. The time contains the wait in the target's queue.
	Pace struct {
		Target hsfeed.TargetID
		// Above 0 and at most MaxPace; others are ignored.
		Time time.Duration
		// Requests that the mean is based on, older ones with less weight. Above
		// 0; more than maxHeard counts as maxHeard.
		Count float64
	}

	// PaceChange reports that a target was found slow, or no longer is, and the
	// evidence for it.
	PaceChange struct {
		Target hsfeed.TargetID
		Slow   bool
		// Mean time of the target's requests, and of those of a usual target of
		// its service and zone, as this host sees them.
		Time      time.Duration
		Reference time.Duration
		// Requests that the mean is based on, older ones with less weight; 0 if
		// the target is released for lack of recent evidence.
		Count float64
	}

	// evidence is a sum of service times in seconds, with the number of
	// requests. Both decay with paceDecay.
	evidence struct {
		sum   float64
		count float64
	}

	// pace is what a host has learned of a target's service time. It is compared
	// only with that of targets of the same service and zone on the same host.
	pace struct {
		// Evidence of this host's requests and of other hosts, number of this host's
		// requests in it, and the time up to which both have decayed.
		known     evidence
		own       float64
		decayedAt time.Time
		// Service time as a multiple of that of a usual target; 0 stands for 1,
		// which also holds while there is no evidence.
		factor float64
		// Speed at which the factor approaches 1 without evidence, as a multiple of
		// the usual speed; drawn anew whenever the evidence ends. It differs
		// between hosts, so that a few of them probe the target for all.
		relaxing float64
		slow     bool
	}

	// paceGroup names the targets that are compared with one another. If all
	// targets of a zone look slow, its link is, not they.
	paceGroup struct {
		service string
		zone    string
	}

	// recentTimes holds the last service times of a group at this host, in
	// seconds, in the order of a ring.
	recentTimes struct {
		times [referenceSize]float64
		at    [referenceSize]time.Time
		next  int
	}

	// pacer is the part of a Placer that learns service times.
	pacer struct {
		groups map[paceGroup]*recentTimes
		// Time in seconds that a usual target of a group takes for a request, as
		// this host sees it; absent without enough evidence.
		references map[paceGroup]float64
		// Services whose targets differ in pace.
		unequal    map[string]bool
		lastUpdate time.Time
		changes    []PaceChange
		// Buffer of weighted.
		costs []float64
	}
)

const (
	// MaxPace is the longest service time that is used; more is a fault of a
	// clock or a peer.
	MaxPace = time.Minute
	// paceTimeout is the time without requests after which evidence is dropped,
	// whatever its weight was.
	paceTimeout = 2500 * time.Millisecond
	// paceInterval is the time between two updates of the factors.
	paceInterval = 100 * time.Millisecond
	// paceDecay is the time in which evidence loses all but 1/e of its weight:
	// a target that has recovered is released within 2 s.
	paceDecay = 900 * time.Millisecond
	// minEvidence is the number of requests from which on a target is reported as
	// slow, minRenewal the number that keeps a factor from returning to 1, and
	// shrinkage the weight of the factor 1 against the requests, as a number of
	// requests.
	minEvidence = 3.0
	minRenewal  = 0.7
	shrinkage   = 0.3
	// maxHeard limits the number of requests that evidence of other hosts counts
	// for, and heardPerOwn is the fraction of the evidence that remains after a
	// request of this host that contradicts it.
	maxHeard    = 3.0
	heardPerOwn = 0.5
	// referenceSize and referenceTime limit the requests of this host from which
	// the reference of a group is computed, by number and age, and minReference is
	// the least number. A host of a large deployment has few requests a second.
	referenceSize = 24
	referenceTime = 5 * time.Second
	minReference  = 6
	// quickAnswer is the fraction of the reference below which an answer carries
	// no service time: the target has rejected the request. The fastest target
	// of a spread of 1 to 8 takes more than a fifth of the median.
	quickAnswer = 0.125
	// minFactor and maxFactor limit the factor of a target, and neutralBelow and
	// neutralAbove are the limits between which it counts as 1.
	minFactor    = 0.25
	maxFactor    = 16.0
	neutralBelow = 0.7
	neutralAbove = 1.5
	// minReported is the smallest number of requests for which a pace is reported.
	minReported = 0.3
	// reportAbove is the ratio from which on the pace of a usual target is
	// reported: smaller ones are mostly chance.
	reportAbove = 2.2
	// slowFrom and slowUntil are the factors at which a target is reported as
	// slow and as usual again.
	slowFrom  = 2.0
	slowUntil = 1.8
	// relaxTime is the time in which a factor without sufficient evidence
	// approaches 1, all but 1/e of its logarithm. The flows that the target then
	// gets are the probes.
	relaxTime = 2000 * time.Millisecond
	// contradiction is the fraction of a target's factor below which the ratio of
	// its times contradicts it; the factor then falls releaseSpeed times as fast.
	contradiction = 0.6
	releaseSpeed  = 8
	// minRelaxing and maxRelaxing limit pace.relaxing.
	minRelaxing = 0.4
	maxRelaxing = 3.0
	// costTolerance is the multiple of the lowest cost up to which targets of other
	// zones share the flows of a service with unequal targets. Choosing only the lowest
	// would send the flows of all hosts to the same targets.
	costTolerance = 1.5
)

func newPacer() pacer {
	return pacer{
		groups:     map[paceGroup]*recentTimes{},
		references: map[paceGroup]float64{},
		unequal:    map[string]bool{},
	}
}

// RecordService records the time from a request to the first data of its
// answer, or the time for which it has been in progress if that is far longer
// than usual.
func (p *Placer) RecordService(now time.Time, id hsfeed.TargetID, d time.Duration) {
	t := p.targets[id]
	if !p.cfg.LearnCapacity || t == nil || d <= 0 || d > MaxPace {
		return
	}
	t.pace.decay(now)
	s, group := d.Seconds(), t.paceGroup()
	if ref := p.pacer.references[group]; ref > 0 {
		if s < quickAnswer*ref {
			return
		}
		s = min(s, maxFactor*ref)
	}
	if m := t.pace.known.mean(); s > 2*m || s < m/2 {
		t.pace.known.scale(heardPerOwn)
	}
	t.pace.known.add(s, 1)
	t.pace.own++
	r := p.pacer.groups[group]
	if r == nil {
		r = &recentTimes{}
		p.pacer.groups[group] = r
	}
	r.add(now, s)
}

// PaceFactor returns the service time of a target as a multiple of that of a
// usual target of its service and zone, at least 1.
func (p *Placer) PaceFactor(id hsfeed.TargetID) float64 {
	t := p.targets[id]
	if t == nil {
		return 1
	}
	return max(t.pace.multiple(), 1)
}

// SlowCount returns the number of targets that are slow now.
func (p *Placer) SlowCount() int {
	n := 0
	for _, t := range p.targets {
		if t.pace.slow {
			n++
		}
	}
	return n
}

// ApplyPaces applies the paces that another host of this zone knows. What was
// heard before is averaged with them, and the larger count applies: a pace that
// returns to its sender adds nothing, and evidence without new requests decays on
// all hosts alike.
func (p *Placer) ApplyPaces(now time.Time, paces []Pace) {
	if !p.cfg.LearnCapacity {
		return
	}
	for _, pc := range paces {
		t := p.targets[pc.Target]
		if t == nil || pc.Time <= 0 || pc.Time > MaxPace || !(pc.Count > 0) {
			continue
		}
		ref := p.pacer.references[t.paceGroup()]
		if ref == 0 {
			continue
		}
		s := min(max(pc.Time.Seconds(), minFactor*ref), maxFactor*ref)
		t.pace.decay(now)
		t.pace.known.merge(s, min(pc.Count, maxHeard))
	}
}

// AppendPaces appends up to limit paces to dst, of targets that differ from the
// others or did so before, preferably those with more evidence and with requests
// of this host. The choice is random, so that the hosts of a zone do not all report the same targets.
func (p *Placer) AppendPaces(now time.Time, dst []Pace, limit int) []Pace {
	if !p.cfg.LearnCapacity {
		return dst
	}
	type scored struct {
		pace  Pace
		score float64
	}
	var list []scored
	for id, t := range p.targets {
		ref := p.pacer.references[t.paceGroup()]
		t.pace.decay(now)
		e := t.pace.known
		if ref == 0 || e.count < minReported {
			continue
		}
		ratio, known := e.mean()/ref, t.pace.multiple()
		if known <= 1 && ratio < reportAbove {
			continue
		}
		score := (math.Abs(math.Log(ratio/known)) + max(math.Log(ratio), 0)) * e.count
		if t.pace.own > minReported {
			score *= 2
		}
		score *= score
		list = append(list, scored{score: score, pace: Pace{Target: id, Time: time.Duration(e.mean() * float64(time.Second)), Count: e.count}})
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(a.pace.Target, b.pace.Target) })
	for i := range list {
		list[i].score *= p.rng.Float64()
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	for _, s := range list[:min(len(list), limit)] {
		dst = append(dst, s.pace)
	}
	return dst
}

// TakePaceChanges returns the changes since the last call.
func (p *Placer) TakePaceChanges() []PaceChange {
	out := p.pacer.changes
	p.pacer.changes = nil
	return out
}

// updatePaces computes the factors of all targets anew.
func (p *Placer) updatePaces(now time.Time) {
	elapsed := now.Sub(p.pacer.lastUpdate)
	if !p.cfg.LearnCapacity || (elapsed >= 0 && elapsed < paceInterval) {
		return
	}
	p.pacer.lastUpdate = now
	for g, r := range p.pacer.groups {
		if ref, ok := r.median(now); ok {
			p.pacer.references[g] = ref
			continue
		}
		delete(p.pacer.references, g)
		if now.Sub(r.newest()) > referenceTime {
			delete(p.pacer.groups, g)
		}
	}
	clear(p.pacer.unequal)
	keep := math.Exp(-float64(min(max(elapsed, 0), time.Second)) / float64(relaxTime))
	for _, service := range slices.Sorted(maps.Keys(p.pools)) {
		for _, t := range p.pools[service] {
			p.updatePace(now, t, keep)
		}
	}
}

// updatePace computes the factor of a target anew. A factor without evidence
// keeps the given fraction of its logarithm.
func (p *Placer) updatePace(now time.Time, t *target, keep float64) {
	t.pace.decay(now)
	ref := p.pacer.references[t.paceGroup()]
	e := t.pace.known
	if e.count >= minRenewal || t.pace.relaxing == 0 {
		u := p.rng.Float64()
		t.pace.relaxing = minRelaxing + (maxRelaxing-minRelaxing)*u*u*u
	}
	t.pace.update(e, ref, keep)
	f := t.pace.multiple()
	if f != 1 {
		p.pacer.unequal[t.record.Service] = true
	}
	if (!t.pace.slow && f >= slowFrom && e.count >= minEvidence) || (t.pace.slow && f <= slowUntil) {
		t.pace.slow = !t.pace.slow
		p.pacer.changes = append(p.pacer.changes, PaceChange{
			Target: t.record.ID, Slow: t.pace.slow, Count: e.count,
			Time: time.Duration(e.mean() * float64(time.Second)), Reference: time.Duration(ref * float64(time.Second)),
		})
	}
}

func (r *recentTimes) add(now time.Time, seconds float64) {
	r.times[r.next], r.at[r.next] = seconds, now
	r.next = (r.next + 1) % referenceSize
}

// newest returns the time of the last request.
func (r *recentTimes) newest() time.Time { return r.at[(r.next+referenceSize-1)%referenceSize] }

// median returns the median of the times that are not too old, and false if they
// are too few.
func (r *recentTimes) median(now time.Time) (float64, bool) {
	var buf [referenceSize]float64
	list := buf[:0]
	for i, s := range r.times {
		if age := now.Sub(r.at[i]); s > 0 && age >= 0 && age <= referenceTime {
			list = append(list, s)
		}
	}
	if len(list) < minReference {
		return 0, false
	}
	slices.Sort(list)
	return list[len(list)/2], true
}

// update computes the factor from the evidence: the ratio of the times, nearer to
// 1 the fewer requests there are. Without enough evidence, the factor keeps the
// given fraction of its logarithm.
func (c *pace) update(e evidence, ref, keep float64) {
	if ref == 0 || e.count < minRenewal {
		c.setFactor(math.Pow(c.multiple(), math.Pow(keep, c.relaxing)))
		return
	}
	ratio := min(max(e.mean()/ref, minFactor), maxFactor)
	f := math.Pow(ratio, e.count/(e.count+shrinkage))
	switch {
	case c.factor <= f:
	case ratio < c.factor*contradiction:
		f = max(f, math.Pow(c.factor, math.Pow(keep, releaseSpeed)))
	default:
		f = max(f, math.Pow(c.factor, keep))
	}
	c.setFactor(f)
}

func (c *pace) setFactor(f float64) {
	if f > neutralBelow && f < neutralAbove {
		f = 0
	}
	c.factor = f
}

func (c *pace) multiple() float64 {
	if c.factor == 0 {
		return 1
	}
	return c.factor
}

// decay reduces the weight of evidence by the time that has passed. A clock that
// was set back does not change it.
func (c *pace) decay(now time.Time) {
	elapsed := now.Sub(c.decayedAt)
	c.decayedAt = now
	if elapsed <= 0 {
		return
	}
	k := 0.0
	if elapsed < paceTimeout {
		k = math.Exp(-float64(elapsed) / float64(paceDecay))
	}
	c.known.scale(k)
	c.own *= k
}

func (e *evidence) add(seconds, count float64) {
	e.sum += seconds * count
	e.count += count
}

func (e *evidence) scale(k float64) {
	e.sum *= k
	e.count *= k
}

// merge averages evidence with that of another host. The count becomes the larger
// of both. Times far below those known so far replace them: a slow target answers
// few requests as quickly as that, and a target that has recovered is known as slow
// to more hosts.
func (e *evidence) merge(seconds, count float64) {
	if seconds < contradiction*e.mean() {
		*e = evidence{sum: seconds * count, count: count}
		return
	}
	mean := (e.sum + seconds*count) / (e.count + count)
	e.count = max(e.count, count)
	e.sum = mean * e.count
}

func (e evidence) mean() float64 {
	if e.count <= 0 {
		return 0
	}
	return e.sum / e.count
}

func (t *target) paceGroup() paceGroup {
	return paceGroup{service: t.record.Service, zone: t.record.Zone}
}

// weighted returns one of the targets whose cost is near the lowest, with a
// probability that follows cost and speed.
func (p *Placer) weighted(now time.Time, list []*target) *target {
	costs := p.pacer.costs[:0]
	lowest := math.Inf(1)
	for _, t := range list {
		c := t.cost(now)
		costs = append(costs, c)
		lowest = min(lowest, c)
	}
	p.pacer.costs = costs
	total := 0.0
	for i, t := range list {
		w := 0.0
		if c := costs[i]; t.sameZone || c <= costTolerance*lowest {
			r := lowest / c
			w = r * r * r * r / min(t.pace.multiple(), 1)
		}
		total += w
		costs[i] = total
	}
	x := p.rng.Float64() * total
	for i, sum := range costs {
		if x < sum {
			return list[i]
		}
	}
	return list[len(list)-1]
}
