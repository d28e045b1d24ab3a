// Package hslimit limits the requests in progress that one entry host has at
// the targets of a service, so that many hosts, each of which sees only its own
// small part of the load, together admit no more than the targets can queue.
//
// It is designed for a service of tens to hundreds of targets behind 1 to 300
// hosts, for a load of up to four times the capacity of the targets, and for
// bursts that begin within milliseconds, while a host hears from each of its
// peers only every few seconds. Requests take tens of milliseconds; hosts may
// have unequal shares of the callers, and some of the requests arrive on open
// flows, which cannot be held.
//
// Each host decides on its own. It has a limit for the targets of a service in
// each zone, and compares the time in service with the time seen in calm: the
// ratio rises when requests queue at the targets, and is the same for all hosts
// since they share the targets. The limit grows in proportion to the host's own
// demand, and shrinks in proportion to itself and to the queueing that it sees.
// All hosts therefore approach the same ratio of limit to demand, whatever their
// share of the callers. The limit has bounds that follow from the host's equal
// share of the slots. The lower one keeps a host whose calm time is wrong from
// starving; the upper one holds from the first moment of a burst, when no answer
// has shown the queueing yet.
//
// A target that is full rejects a request at once, which a host cannot tell
// from an answer. Answers that are much quicker than in calm are therefore no
// evidence of free capacity.
//
// A Limiter performs no I/O and does not read the clock.
package hslimit

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

type (
	// Key names a pool: the targets of a service in a zone.
	Key struct {
		Service string
		Zone    string
	}

	// Limiter holds the limits of one host. It is not safe for concurrent use.
	Limiter struct {
		// 0 if it is unknown.
		hostCount int
		rng       *rand.Rand
		pools     map[Key]*Pool
		services  map[string]*Service
		// The values of services, in the order in which they were added.
		list      []*Service
		adaptedAt time.Time
	}

	// State describes a service for log lines and metrics.
	State struct {
		Service string
		// This host's requests in progress at the service, and its limit.
		InProgress int
		Limit      float64
		// Largest ratio of the time in service to that in calm of the pools.
		Ratio float64
	}

	// Service is the state that the pools of a service share.
	Service struct {
		name  string
		pools []*Pool
		// Requests since the last adaptation, whether they were admitted or not,
		// and moving average of their number per second.
		requests int
		demand   float64
		// Moving average of the calm times of the requests that ended.
		calmTime time.Duration
		// Requests in progress on new flows, in all pools.
		opening int
	}

	// Pool is the limit for one pool.
	Pool struct {
		service *Service
		zone    string
		// Slots of the pool's targets; 0 once the pool has no targets.
		slots int
		// Requests in progress of this host. More than limit if requests arrive
		// on open flows.
		inProgress int
		limit      float64
		// The limit as a whole number, rounded at random in each adaptation, so
		// that the hosts together use small limits in full.
		places int
		// Times until which the places of possible rejections stay taken, in
		// ascending order except where the ratio fell in between.
		takenUntil []time.Time
		// Sum and number of the ratios of time in service to calm time since
		// the last adaptation, and their moving average; at least 1.
		ratioSum   float64
		ratioCount int
		ratio      float64
		// Requests that were started since the last adaptation, and per second
		// as a moving average.
		started int
		rate    float64
	}
)

const (
	// adaptInterval is the time between two adaptations of the limits. At 40
	// requests a second, a host has four samples in it, and the limit follows a
	// burst within two adaptations.
	adaptInterval = 100 * time.Millisecond
	// growth and decrease are the changes of a limit in one adaptation: growth
	// times the demand, and decrease times the limit and the square of the
	// excess of the ratio over freeRatio. In the load model, the ratio settles
	// at 2.5 at 1.2 times the capacity and below 4 at 4 times, where retries
	// raise the demand to ten times; queues of targets are full at 5. A linear
	// excess filled them, and a cubic one made hosts whose calm times differ by
	// a tenth differ in their limits by half.
	growth    = 0.1
	decrease  = 0.1
	freeRatio = 1.5
	// maxDecrease is the largest decrease of a limit in one adaptation, as a
	// fraction. The answers seen after a decrease are those to requests that
	// were placed before it.
	maxDecrease = 0.3
	// minFactor times a host's share of the slots is the lower bound of its
	// limit, if its demand is as high. If all hosts are at it, each slot has one
	// running and one queued request.
	minFactor = 2.0
	// maxFactor times a host's share of the slots or its usage is the upper
	// bound of its limit. With 2 slots and 8 queued requests for each target, a
	// factor of 4 leaves a fifth for an uneven choice of targets.
	maxFactor = 3.0
	// initialFactor is used instead while the calm time is unknown, so that the
	// first answers do not come from targets with long queues.
	initialFactor = 2.5
	// unknownShare is the assumed share of a pool's slots if the number of hosts
	// is unknown.
	unknownShare = 2.0
	// ratioWeight and demandWeight are the weights of the latest values in
	// moving averages.
	ratioWeight  = 0.5
	demandWeight = 0.3
	// maxRatio limits the weight of one slow answer.
	maxRatio = 8.0
	// congestedRatio is the ratio above which a pool's times are no evidence
	// about calm.
	congestedRatio = 1.5
	// calmWeight is the weight of a request in the moving average of calm times.
	calmWeight = 1.0 / 16
	// maxTaken is the largest number of places of a pool that stay taken after
	// possible rejections.
	maxTaken = 256
	// idleDecay moves the ratio of a pool without answers towards 1, so that
	// the pool is tried again.
	idleDecay = 0.1
)

// New returns a limiter without pools. The seed should differ among hosts.
func New(seed uint64) *Limiter {
	return &Limiter{rng: rand.New(rand.NewPCG(seed, 0)), pools: map[Key]*Pool{}, services: map[string]*Service{}}
}

// SetHostCount sets the number of hosts that share the targets, 0 if it is
// unknown. A negative number counts as unknown. If it is wrong, the bounds of
// the limits are wrong by the same factor, while the limits between them adapt.
func (l *Limiter) SetHostCount(n int) { l.hostCount = max(n, 0) }

// SetSlots replaces the slots of all pools. A pool that is not listed has no
// slots; it is kept, since requests may be in progress there.
func (l *Limiter) SetSlots(slots map[Key]int) {
	for _, p := range l.pools {
		p.slots = 0
	}
	keys := slices.SortedFunc(maps.Keys(slots), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	for _, k := range keys {
		p := l.pools[k]
		if p == nil {
			s := l.services[k.Service]
			if s == nil {
				s = &Service{name: k.Service}
				l.services[k.Service] = s
				l.list = append(l.list, s)
			}
			p = &Pool{service: s, zone: k.Zone, ratio: 1}
			s.pools = append(s.pools, p)
			l.pools[k] = p
		}
		fresh := p.slots == 0 && p.limit == 0
		p.slots = slots[k]
		if _, upper := l.bounds(p); fresh {
			p.limit = upper
			p.places = int(p.limit + l.rng.Float64())
		}
	}
}

// Pool returns a pool, or nil if it has never had slots. It stays valid.
func (l *Limiter) Pool(k Key) *Pool { return l.pools[k] }

// AddDemand counts a request to a service that needs to be admitted.
func (l *Limiter) AddDemand(name string) {
	if s := l.services[name]; s != nil {
		s.requests++
	}
}

// Service returns the limits of a service, or nil if it has never had targets.
func (l *Limiter) Service(name string) *Service { return l.services[name] }

// Allows reports whether another request on a new flow may be sent to a
// zone's targets.
// Requests on open flows may use the whole limit; one request on a new flow is
// allowed all the same, so that callers without open flows do not starve.
func (s *Service) Allows(now time.Time, zone string) bool {
	if s == nil || s.opening == 0 {
		return true
	}
	for _, p := range s.pools {
		if p.zone == zone {
			return p.inProgress+p.taken(now) < p.places
		}
	}
	return true
}

// taken returns the number of places that are taken after possible rejections.
func (p *Pool) taken(now time.Time) int {
	n := 0
	for n < len(p.takenUntil) && !now.Before(p.takenUntil[n]) {
		n++
	}
	p.takenUntil = p.takenUntil[:copy(p.takenUntil, p.takenUntil[n:])]
	return len(p.takenUntil)
}

// State returns the state of a service.
func (l *Limiter) State(name string) State {
	if s := l.services[name]; s != nil {
		return s.state()
	}
	return State{}
}

// AppendStates appends the states of all services to dst.
func (l *Limiter) AppendStates(dst []State) []State {
	for _, s := range l.list {
		dst = append(dst, s.state())
	}
	return dst
}

func (s *Service) state() State {
	st := State{Service: s.name}
	for _, p := range s.pools {
		if p.slots > 0 {
			st.InProgress += p.inProgress
			st.Limit += p.limit
			st.Ratio = max(st.Ratio, p.ratio)
		}
	}
	return st
}

// Begin counts a request in progress; opening is true if it is the first one of
// its flow. Others were not admitted, and count as demand here.
func (p *Pool) Begin(opening bool) {
	p.inProgress++
	p.started++
	if opening {
		p.service.opening++
		return
	}
	p.service.requests++
}

// End ends a request for which Begin was called.
func (p *Pool) End(opening bool) {
	p.inProgress--
	if opening {
		p.service.opening--
	}
}

// Record records the time in service d of a request of a route with the given
// calm time. The place of a request that may have been rejected stays taken for
// as long as an answer takes now: otherwise a host would use each place many
// times while targets reject its requests.
func (p *Pool) Record(now time.Time, d time.Duration, calm *CalmTime) {
	ratio, ok := calm.record(d, p.ratio)
	if !ok {
		if usual := time.Duration(p.ratio * float64(calm.value)); d < usual && len(p.takenUntil) < maxTaken {
			p.takenUntil = append(p.takenUntil, now.Add(usual-d))
		}
		return
	}
	p.ratioSum += min(ratio, maxRatio)
	p.ratioCount++
	s := p.service
	if s.calmTime == 0 {
		s.calmTime = calm.value
	}
	s.calmTime += time.Duration(calmWeight * float64(calm.value-s.calmTime))
}

// Tick adapts the limits. It has to be called several times in adaptInterval.
func (l *Limiter) Tick(now time.Time) {
	elapsed := now.Sub(l.adaptedAt)
	if elapsed >= 0 && elapsed < adaptInterval {
		return
	}
	l.adaptedAt = now
	// After a pause of the process or a jump of the clock, the counts are no
	// rates of this interval.
	seconds := min(max(elapsed, adaptInterval), 2*adaptInterval).Seconds()
	for _, s := range l.list {
		s.demand += demandWeight * (float64(s.requests)/seconds - s.demand)
		s.requests = 0
		for _, p := range s.pools {
			l.adapt(p, seconds)
		}
	}
}

func (l *Limiter) adapt(p *Pool, seconds float64) {
	p.rate += demandWeight * (float64(p.started)/seconds - p.rate)
	p.started = 0
	if p.ratioCount > 0 {
		p.ratio += ratioWeight * (max(p.ratioSum/float64(p.ratioCount), 1) - p.ratio)
		p.ratioSum, p.ratioCount = 0, 0
	} else {
		p.ratio += idleDecay * (1 - p.ratio)
	}
	calm := p.service.calmTime.Seconds()
	excess := max(p.ratio-freeRatio, 0)
	p.limit += growth*p.service.demand*calm - min(decrease*excess*excess, maxDecrease)*p.limit
	lower, upper := l.bounds(p)
	p.limit = min(max(p.limit, lower), upper)
	p.places = int(p.limit + l.rng.Float64())
}

// bounds returns the bounds of a pool's limit.
func (l *Limiter) bounds(p *Pool) (lower, upper float64) {
	share := min(unknownShare, float64(p.slots))
	if l.hostCount > 0 {
		share = float64(p.slots) / float64(l.hostCount)
	}
	if p.service.calmTime == 0 {
		return share, initialFactor * share
	}
	calm := p.service.calmTime.Seconds()
	lower = min(minFactor*share, max(share, p.service.demand*calm))
	return lower, maxFactor * max(share, p.rate*calm)
}
