// Package hsplace chooses the target for each new flow, or reports that all
// targets of the service are full.
//
// It is designed for requests that occupy one slot of a target for tens of
// milliseconds each, and that arrive through many entry hosts, each of which
// sees only its own part of the load. Callers open a flow for each request, or
// keep flows open and send requests on them with pauses between. The unit of
// load is therefore the request in progress, not the open flow; an idle flow
// counts for the requests that are to be expected on it. The load may reach
// twice the capacity of the targets, which may be starting, draining,
// unresponsive or unreachable.
//
// A Placer performs no I/O and does not read the clock.
package hsplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsbudget"
	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// Config holds the settings of a Placer.
	Config struct {
		// Availability zone of this entry host.
		Zone string
		// Grace period during which a target that is no longer listed still
		// receives new flows: its entry may have expired while the store was
		// unavailable.
		UnlistedGracePeriod time.Duration
		// Seed of the random choice among targets of equal cost.
		Seed uint64
		// See hsdirect.Settings.
		LearnCapacity bool
		// Name of this host, under which its peers know it; see hsbudget.
		Host string
	}

	// Load is the load of one target by the flows of one host.
	Load struct {
		Target hsfeed.TargetID
		// Requests in progress: sent by the caller and not answered yet.
		Requests int
		// Number of requests that are to be expected in progress, at any time,
		// on the host's idle flows to the target.
		Expected float64
	}

	// Choice is the target chosen for a new flow, and the load on which the
	// choice is based.
	Choice struct {
		Target hsfeed.TargetID
		// Requests in progress at the target: those that this host counts, and
		// those that other hosts reported.
		OwnRequests      int
		ReportedRequests int
		// Number of candidate targets of the service, and how many of them are
		// excluded by an ejection.
		PoolSize     int
		EjectedCount int
		// Reason for which no target was chosen, if all are excluded by reasons
		// other than ejections.
		Exclusion Exclusion
		// Number of the other candidates that are in zones to which this host
		// sends no more new flows for now; see ChooseWithin.
		LimitedCount int
	}

	// Placer tracks the load and health of the targets as one entry host knows
	// them, and chooses targets. It is not safe for concurrent use.
	Placer struct {
		cfg     Config
		rng     *rand.Rand
		targets map[hsfeed.TargetID]*target
		// Targets that may receive new flows, by service and sorted by ID.
		pools map[string][]*target
		// Services of the current configuration, by name.
		services map[string]hsfeed.Service
		// This host's part of the flows that targets take during their warm-up
		// time.
		share   *hsbudget.Share
		reports map[string]report
		// By name. Zones are never removed, since there are few.
		zones map[string]*zone
		// Names of the zones that are being evacuated.
		evacuated map[string]bool
		// See SetCutOff.
		cutOff bool
		// True if any zone may be at its limit.
		zonesLimited bool
		// Buffers of candidates.
		eligible   []*target
		ejected    []*target
		lastResort []*target
		pacer      pacer
	}

	target struct {
		record   hsfeed.TargetRecord
		sameZone bool
		// Shared by all targets of the zone.
		zone *zone
		// Load by flows of this host, and the sum of those that other hosts
		// reported.
		own      Load
		reported Load
		// Zero while the target is listed, else the time until which it still
		// receives new flows.
		graceUntil time.Time
		// Time until which the target receives no new flows because another
		// host of this zone has ejected it.
		peerEjectedUntil time.Time
		// End of the warm-up time after the last evacuation of the zone; zero if
		// there was none since the target was listed.
		warmUpAfterEvacuation time.Time
		warmUp
		health
		pace pace
	}

	report struct {
		receivedAt time.Time
		loads      []Load
	}
)

const (
	// otherZonePenalty is added to the utilization of a target in another zone.
	// All slots of targets in this zone are used before other zones, and other
	// zones are used before long queues form at targets in this zone. Flows to
	// other zones cause traffic between zones, and are lost if the network
	// between the zones fails.
	otherZonePenalty = 0.8
	// reportWeight is the weight of requests reported by other hosts in the
	// choice among targets. Such requests have full weight in the decision
	// whether a target is full. The load model (hslab place) shows the effect.
	reportWeight = 0.15
	// minReportedExpected is the smallest number of expected requests that is
	// reported.
	minReportedExpected = 0.01
	// warmUpCapacity is the fraction of a target's slots that counts as its
	// capacity during its warm-up time.
	warmUpCapacity = 0.6
	// ejectionJitterDivisor limits the random extension of the time for which
	// another host's ejection applies: to one half of that time.
	ejectionJitterDivisor = 2
	// reportTimeout is the time for which another host's report is used. In a
	// large zone, every host receives two reports within it.
	reportTimeout = 2500 * time.Millisecond
)

// New returns a placer without targets.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		targets: map[hsfeed.TargetID]*target{},
		pools:   map[string][]*target{},
		share:   hsbudget.NewShare(cfg.Host),
		reports: map[string]report{},
		zones:   map[string]*zone{},
		pacer:   newPacer(),
	}
}

// SetServices replaces the services of the configuration.
func (p *Placer) SetServices(list []hsfeed.Service) {
	services := make(map[string]hsfeed.Service, len(list))
	for _, s := range list {
		services[s.Name] = s
	}
	p.services = services
	p.setWarmUps()
}

// SetTargets replaces the list of targets. The load and health of targets that
// were listed before are kept, unless the target has restarted. A target that
// is no longer listed but was not draining receives new flows for a grace
// period: its entry may have expired while the store was unavailable, and will
// return soon if the target is running.
func (p *Placer) SetTargets(now time.Time, list []hsfeed.TargetRecord) {
	targets := make(map[hsfeed.TargetID]*target, len(list))
	for _, record := range list {
		t := p.targets[record.ID]
		if t == nil || t.record.StartUnixMilli != record.StartUnixMilli {
			t = &target{}
		}
		if record.Target != t.record.Target {
			t.pace = pace{}
		}
		t.record = record
		t.sameZone = record.Zone == p.cfg.Zone
		t.zone = p.zone(record.Zone)
		t.extendWarmUp()
		t.graceUntil = time.Time{}
		targets[record.ID] = t
	}
	for id, t := range p.targets {
		if targets[id] != nil || t.record.Draining {
			continue
		}
		if t.graceUntil.IsZero() {
			t.graceUntil = now.Add(p.cfg.UnlistedGracePeriod)
		}
		targets[id] = t
	}
	p.targets = targets
	p.removeUnlisted(now)
	p.rebuildPools()
}

// removeUnlisted removes targets whose grace period has ended, and reports
// whether there were any.
func (p *Placer) removeUnlisted(now time.Time) bool {
	before := len(p.targets)
	for id, t := range p.targets {
		if !t.graceUntil.IsZero() && !now.Before(t.graceUntil) {
			delete(p.targets, id)
		}
	}
	return len(p.targets) < before
}

// rebuildPools recomputes the pools and the reported loads of all targets.
func (p *Placer) rebuildPools() {
	clear(p.pools)
	for _, t := range p.targets {
		if !t.record.Draining {
			p.pools[t.record.Service] = append(p.pools[t.record.Service], t)
		}
	}
	for _, pool := range p.pools {
		slices.SortFunc(pool, func(a, b *target) int { return cmp.Compare(a.record.ID, b.record.ID) })
	}
	p.setWarmUps()
	p.sumReports()
}

func (p *Placer) zone(name string) *zone {
	z := p.zones[name]
	if z == nil {
		z = &zone{evacuated: p.evacuated[name]}
		p.zones[name] = z
	}
	return z
}

// AddRequest adds a request in progress of a flow of this host to a target.
func (p *Placer) AddRequest(id hsfeed.TargetID) {
	if t := p.targets[id]; t != nil {
		t.own.Requests++
	}
}

// RemoveRequest removes a request in progress of a flow of this host from a
// target.
func (p *Placer) RemoveRequest(id hsfeed.TargetID) {
	if t := p.targets[id]; t != nil && t.own.Requests > 0 {
		t.own.Requests--
	}
}

// AddExpected adds n to the number of requests that are expected on this host's
// idle flows to a target; n may be negative.
func (p *Placer) AddExpected(id hsfeed.TargetID, n float64) {
	if t := p.targets[id]; t != nil {
		t.own.Expected = max(t.own.Expected+n, 0)
	}
}

// AppendLoads appends this host's load of each target to dst, without targets
// that have none.
func (p *Placer) AppendLoads(dst []Load) []Load {
	for id, t := range p.targets {
		if l := t.own; l.Requests > 0 || l.Expected >= minReportedExpected {
			l.Target = id
			dst = append(dst, l)
		}
	}
	return dst
}

// ApplyReport applies another host's report of its loads, which replaces the
// host's earlier report.
func (p *Placer) ApplyReport(now time.Time, host string, loads []Load) {
	p.reports[host] = report{receivedAt: now, loads: loads}
	p.sumReports()
}

// ApplyEjections excludes targets that another host of this zone has ejected
// from new flows, for the time d and a random extension of up to half of d. The
// extension keeps the hosts from all sending new flows to a target at the same
// time, so that a single flow probes it.
func (p *Placer) ApplyEjections(now time.Time, ids []hsfeed.TargetID, d time.Duration) {
	until := now.Add(d + time.Duration(p.rng.Int64N(int64(d/ejectionJitterDivisor)+1)))
	for _, id := range ids {
		if t := p.targets[id]; t != nil && t.peerEjectedUntil.Before(until) {
			t.peerEjectedUntil = until
		}
	}
}

// AppendEjected appends the targets that this host itself has ejected or is
// probing to dst, sorted by ID. Ejections by other hosts and of zones are not
// included.
func (p *Placer) AppendEjected(now time.Time, dst []hsfeed.TargetID) []hsfeed.TargetID {
	for id, t := range p.targets {
		if !t.acceptsFlow(now) {
			dst = append(dst, id)
		}
	}
	slices.Sort(dst)
	return dst
}

// Tick removes expired reports, and targets whose grace period has ended.
func (p *Placer) Tick(now time.Time) {
	if p.removeUnlisted(now) {
		p.rebuildPools()
	}
	expired := false
	for host, r := range p.reports {
		if now.Sub(r.receivedAt) > reportTimeout {
			delete(p.reports, host)
			expired = true
		}
	}
	if expired {
		p.sumReports()
	}
	p.updatePaces(now)
}

// Choose returns the target for a new flow of a service, or FlowOverload if the
// utilization of all targets would exceed maxUtilization, as far as this host
// knows their load.
func (p *Placer) Choose(now time.Time, service string, maxUtilization float64) (Choice, hscode.Code) {
	if p.zonesLimited {
		p.zonesLimited = false
		for _, z := range p.zones {
			z.atLimit = false
		}
	}
	return p.choose(now, service, maxUtilization)
}

// ChooseWithin returns the target for a new flow like Choose, among those in
// zones for which allows returns true. It returns FlowOverload if all targets
// that are not excluded are in other zones.
func (p *Placer) ChooseWithin(now time.Time, service string, maxUtilization float64, allows func(zone string) bool) (Choice, hscode.Code) {
	for name, z := range p.zones {
		z.atLimit = !allows(name)
		p.zonesLimited = p.zonesLimited || z.atLimit
	}
	return p.choose(now, service, maxUtilization)
}

func (p *Placer) choose(now time.Time, service string, maxUtilization float64) (Choice, hscode.Code) {
	pool := p.pools[service]
	if len(pool) == 0 {
		return Choice{}, hscode.FlowNoTarget
	}
	candidates, ejected, limited := p.candidates(now, pool)
	if len(candidates) == 0 && limited > 0 {
		return Choice{PoolSize: len(pool), EjectedCount: ejected, LimitedCount: limited}, hscode.FlowOverload
	}
	if len(candidates) == 0 {
		return p.allExcluded(now, pool)
	}
	best := p.cheapest(now, service, candidates)
	if best.totalUtilization(now) > maxUtilization {
		best = p.lowest(candidates, func(t *target) float64 { return t.totalUtilization(now) })
	}
	ch := Choice{
		Target:           best.record.ID,
		OwnRequests:      best.own.Requests,
		ReportedRequests: best.reported.Requests,
		PoolSize:         len(pool),
		EjectedCount:     ejected,
		LimitedCount:     limited,
	}
	if best.totalUtilization(now) > maxUtilization {
		return ch, hscode.FlowOverload
	}
	best.recordPlaced(now)
	best.zone.recordPlaced(now)
	best.useAllowance(now)
	return ch, hscode.OK
}

// allExcluded returns the result for a new flow if all targets of a pool are
// excluded by reasons other than ejections.
func (p *Placer) allExcluded(now time.Time, pool []*target) (Choice, hscode.Code) {
	for _, t := range pool {
		if p.exclusion(now, t) == WarmUpLimit {
			return Choice{PoolSize: len(pool), Exclusion: WarmUpLimit}, hscode.FlowOverload
		}
	}
	return Choice{PoolSize: len(pool), Exclusion: Evacuated}, hscode.FlowEvacuated
}

// candidates returns the targets of a pool that are not excluded and not in a
// zone at its limit, and the number of ejected ones and of those in such zones.
// If ejections leave no target, it returns the evacuated ones of this zone if the
// host is cut off, else the ejected ones: the cause may then be in this host. The
// result is valid until the next call.
func (p *Placer) candidates(now time.Time, pool []*target) (list []*target, ejected, limited int) {
	p.eligible, p.ejected, p.lastResort = p.eligible[:0], p.ejected[:0], p.lastResort[:0]
	for _, t := range pool {
		switch e := p.exclusion(now, t); {
		case t.zone.atLimit && (e == NotExcluded || e.isEjection()):
			if e == NotExcluded {
				limited++
			}
		case e == NotExcluded:
			p.eligible = append(p.eligible, t)
		case e.isEjection():
			p.ejected = append(p.ejected, t)
		case e == Evacuated && p.cutOff && t.sameZone:
			p.lastResort = append(p.lastResort, t)
		}
	}
	switch {
	case len(p.eligible) > 0 || limited > 0:
		return p.eligible, len(p.ejected), limited
	case len(p.lastResort) > 0:
		return p.lastResort, len(p.ejected), 0
	}
	return p.ejected, len(p.ejected), 0
}

// cheapest returns the target for a new flow, without regard to the limit of
// utilization. Targets that differ in pace share the flows by their cost, while
// slots are free; a request that will queue goes where it waits least.
func (p *Placer) cheapest(now time.Time, service string, candidates []*target) *target {
	if p.pacer.unequal[service] {
		if best := p.weighted(now, candidates); best.totalUtilization(now) <= 1 {
			return best
		}
	}
	return p.lowest(candidates, func(t *target) float64 { return t.cost(now) })
}

// lowest returns the target with the lowest value, chosen at random among
// equals.
func (p *Placer) lowest(list []*target, value func(t *target) float64) *target {
	var best *target
	lowest := 0.0
	ties := 0
	for _, t := range list {
		v := value(t)
		switch {
		case best == nil || v < lowest:
			best, lowest, ties = t, v, 1
		case v == lowest:
			ties++
			if p.rng.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// cost returns the utilization that the target would have with one more
// request, plus a penalty if it is in another zone. Requests reported by other
// hosts have a low weight: most of them have ended by the time that the report
// is used, and with full weight all hosts would choose the same targets. The
// utilization counts in time at a usual target; the request itself is no cheaper
// on a fast target, which would get the flows of all hosts otherwise.
func (t *target) cost(now time.Time) float64 {
	load := float64(t.own.Requests) + t.own.Expected + reportWeight*(float64(t.reported.Requests)+t.reported.Expected)
	if f := t.pace.factor; f != 0 {
		load = load*f + max(f, 1) - 1
	}
	c := t.utilization(now, load)
	if !t.sameZone {
		c += otherZonePenalty
	}
	if t.slowStart > 0 {
		c += slowStartPenalty * t.coldness(now)
	}
	return c
}

// totalUtilization returns the utilization that the target would have with one
// more request, with full weight for requests reported by other hosts. Expected
// requests are no evidence that a slot is in use.
func (t *target) totalUtilization(now time.Time) float64 {
	return t.utilization(now, float64(t.own.Requests+t.reported.Requests))
}

// utilization returns the fraction of the target's slots that the given load
// and one more request would occupy; above 1, requests queue at the target.
func (t *target) utilization(now time.Time, load float64) float64 {
	slots := float64(t.record.Slots)
	if now.Before(t.record.WarmUpUntil) {
		slots *= warmUpCapacity
	}
	return (load + 1) / slots
}

func (p *Placer) sumReports() {
	for _, t := range p.targets {
		t.reported = Load{}
	}
	for _, r := range p.reports {
		for _, l := range r.loads {
			if t := p.targets[l.Target]; t != nil {
				t.reported.Requests += l.Requests
				t.reported.Expected += l.Expected
			}
		}
	}
}
