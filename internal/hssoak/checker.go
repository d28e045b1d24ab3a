package hssoak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// Report is the result of a run.
	Report struct {
		Seed uint64
		// Flows that were opened, that were refused, and whose opening packets
		// were not answered.
		Opened   int
		Refused  int
		Unopened int
		// Requests answered within flows.
		Answered int
		// Process starts, restarts included.
		ProcessStarts int
		// The first maxViolations violations of the guarantees.
		Violations []string
	}

	// checker records the actual state of flows, targets and routes, and checks
	// the guarantees against it.
	checker struct {
		slack   time.Duration
		started time.Time

		mu      sync.Mutex
		flows   map[netip.AddrPort]*flowState
		targets map[hsfeed.TargetID]*targetState
		routes  map[netip.AddrPort]*routeState
		// Times at which the store acknowledged the requests for evacuations that
		// are in force, by zone; zero for others.
		evacuatedSince map[string]time.Time

		rep Report
		// Time of the last start or end of a store disturbance for all hosts.
		storeDisturbed time.Time
		// True once the recovery time is over.
		recovered bool
		// Flows that callers tried to open after the recovery time on routes
		// that were not dropped, and those of them that opened.
		attempted int
		opened    int
	}

	flowState struct {
		to netip.AddrPort
		// Target that accepted the flow; 0 until its answer has reached the
		// caller.
		owner hsfeed.TargetID
		// True once a packet of the flow, other than an opening packet, reached
		// a target that does not track the flow.
		untracked bool
		// True if the flow is counted in attempted: it is expected to open.
		counted bool
		begin   time.Time
		// Data of every packet of the flow except the final one, which has
		// none.
		data []byte
		// Opening packets that reached a target, as text for violations.
		openings []string
	}

	targetState struct {
		service string
		zone    string
		// False once the target has lost its flows.
		alive bool
		// Time at which the store acknowledged that the target drains or is
		// removed; zero before.
		endPublished time.Time
	}

	routeState struct {
		service string
		// Time at which the configuration that added the route was published.
		since time.Time
		// Time at which the configuration that dropped the route was published;
		// zero before.
		dropped time.Time
	}
)

const (
	maxViolations = 20
	// The next three are the values of the deployments that hsdirect is built
	// for. applyDeadline is the time within which entry hosts apply a published
	// configuration. drainTime is the time for which a target accepts new flows
	// after its end was published. gracePeriod is the time after a disturbance
	// of an entry host or of the store during which these limits are not
	// checked.
	applyDeadline = 3 * time.Second
	drainTime     = 3 * time.Second
	gracePeriod   = 4 * time.Second
	// MaxRecoveryTime is the maximum time after the last fault until all flows
	// have to be served again.
	MaxRecoveryTime = 12 * time.Second
	// minOpenShare is the minimum share of flows that have to open after the
	// recovery time. It is below 1 because loopback may drop datagrams while
	// the machine is busy.
	minOpenShare = 0.99
)

func newChecker(slack time.Duration) *checker {
	return &checker{
		slack:   slack,
		started: time.Now(),
		flows:   map[netip.AddrPort]*flowState{},
		targets: map[hsfeed.TargetID]*targetState{},
		routes:  map[netip.AddrPort]*routeState{},

		evacuatedSince: map[string]time.Time{},
	}
}

// failLocked is like fail, but needs mu to be locked already.
func (c *checker) failLocked(format string, args ...any) {
	if len(c.rep.Violations) < maxViolations {
		at := fmt.Sprintf("%8.3f ", time.Since(c.started).Seconds())
		c.rep.Violations = append(c.rep.Violations, at+fmt.Sprintf(format, args...))
	}
}

// fail records a violation.
func (c *checker) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(format, args...)
}

// setRoutes records the routes of a configuration that was published.
func (c *checker) setRoutes(routes []hsfeed.Route, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[netip.AddrPort]bool{}
	for i := range routes {
		listed[routes[i].Address] = true
		if c.routes[routes[i].Address] == nil {
			c.routes[routes[i].Address] = &routeState{service: routes[i].Shares[0].Service, since: now}
		}
	}
	for addr, r := range c.routes {
		if !listed[addr] && r.dropped.IsZero() {
			r.dropped = now
		}
	}
}

// randomRoute returns a random route out of all that were ever published.
func (c *checker) randomRoute(rng *rand.Rand) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]netip.AddrPort, 0, len(c.routes))
	for addr := range c.routes {
		all = append(all, addr)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all[rng.IntN(len(all))]
}

func (c *checker) addTarget(id hsfeed.TargetID, service, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[id] = &targetState{service: service, zone: zone, alive: true}
}

// targetEndPublished records that the store acknowledged that a target drains
// or is removed. Only the first call for a target counts.
func (c *checker) targetEndPublished(id hsfeed.TargetID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.targets[id]; t.endPublished.IsZero() {
		t.endPublished = now
	}
}

// targetEnded records that a target ended and lost its flows.
func (c *checker) targetEnded(id hsfeed.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[id].alive = false
}

// checkOpening checks an opening packet that reached a target through the host
// at hostAddr. begin is the time at which the caller started to open the flow,
// and limitsApply is true if the time limits apply to the host. Within
// gracePeriod of a store disturbance, checkOpening does not check the time
// limits.
func (c *checker) checkOpening(id hsfeed.TargetID, p *hscookie.Packet, hostAddr netip.Addr, begin time.Time, limitsApply bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	from, to := p.From, p.To
	if f := c.flows[from]; f != nil {
		f.openings = append(f.openings, fmt.Sprintf("opening packet %d through %s to target %x after %v", p.Retransmits, hostAddr, uint64(id), now.Sub(f.begin)))
	}
	t, r := c.targets[id], c.routes[to]
	if r == nil || r.service != t.service {
		c.failLocked("flow %s>%s reached target %x of service %s", from, to, uint64(id), t.service)
		return
	}
	if !limitsApply || now.Sub(c.storeDisturbed) < gracePeriod {
		return
	}
	c.checkEvacuationLocked(t.zone, fmt.Sprintf("%s>%s through %s", from, to, hostAddr), now)
	if !t.endPublished.IsZero() && now.Sub(t.endPublished) > drainTime+c.slack {
		c.failLocked("flow %s>%s reached target %x %v after its end was published", from, to, uint64(id), now.Sub(t.endPublished))
	}
	if !r.dropped.IsZero() && !begin.IsZero() && begin.Sub(r.dropped) > applyDeadline+c.slack {
		c.failLocked("flow %s>%s was placed %v after its route was dropped", from, to, begin.Sub(r.dropped))
	}
}

// unaltered reports whether a packet reached a target as its caller sent it. If
// the caller has ended the flow, the data it sent is no longer known, and
// unaltered returns true.
func (c *checker) unaltered(p *hscookie.Packet, data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.From]
	switch {
	case f == nil:
		return true
	case p.To != f.to:
		return false
	case p.HasAny(hscookie.FlagFin):
		return len(data) == 0
	default:
		return bytes.Equal(data, f.data)
	}
}

// checkUntracked checks a packet, other than an opening packet, that reached a
// target which does not track its flow.
func (c *checker) checkUntracked(id hsfeed.TargetID, from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[from]
	if f == nil {
		return
	}
	f.untracked = true
	if f.owner == 0 || f.owner == id || !c.targets[f.owner].alive {
		return
	}
	c.failLocked("packet of flow %s>%s reached target %x, but target %x tracks the flow; %v", from, f.to, uint64(id), uint64(f.owner), f.openings)
}

// addFlow records a flow that a caller is about to open.
func (c *checker) addFlow(from, to netip.AddrPort, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flows[from] = &flowState{to: to, begin: time.Now(), data: data, counted: c.recovered && c.routes[to].dropped.IsZero()}
	if c.flows[from].counted {
		c.attempted++
	}
}

// flowOpened records that a target accepted a flow.
func (c *checker) flowOpened(from netip.AddrPort, owner hsfeed.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[from]
	f.owner = owner
	c.rep.Opened++
	if f.counted {
		c.opened++
	}
}

// flowUnopened records that a caller abandoned the attempt to open a flow.
func (c *checker) flowUnopened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Unopened++
}

// checkRefusal checks the refusal of a flow. begin is the time at which the
// caller started to open it, and limitsApply is true if the time limits apply
// to the host that refused it. A refusal is allowed if the route was dropped,
// if it was published at most applyDeadline before begin, if the limits do not
// apply, or within gracePeriod of a store disturbance.
func (c *checker) checkRefusal(from, to netip.AddrPort, begin time.Time, limitsApply bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Refused++
	r := c.routes[to]
	if !limitsApply || !r.dropped.IsZero() || time.Since(c.storeDisturbed) < gracePeriod {
		return
	}
	if begin.Sub(r.since) > applyDeadline+c.slack {
		c.failLocked("flow %s>%s was refused %v after its route was published", from, to, begin.Sub(r.since))
	}
}

func (c *checker) requestAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Answered++
}

func (c *checker) processStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.ProcessStarts++
}

// checkLoss checks the loss of an open flow, which is allowed if its target
// ended, if its route was dropped, or if a target received one of its packets
// without tracking it, which checkUntracked has checked already.
func (c *checker) checkLoss(from netip.AddrPort, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[from]
	route := c.routes[f.to]
	if f.untracked || !c.targets[f.owner].alive || !route.dropped.IsZero() {
		return
	}
	c.failLocked("open flow %s>%s %s although its target %x still runs", from, f.to, how, uint64(f.owner))
}

func (c *checker) removeFlow(from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, from)
}

// endedTargets returns the targets that have ended.
func (c *checker) endedTargets() []hsfeed.TargetID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []hsfeed.TargetID
	for id, t := range c.targets {
		if !t.alive {
			out = append(out, id)
		}
	}
	return out
}

func (c *checker) setStoreDisturbed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDisturbed = time.Now()
}

func (c *checker) setRecovered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recovered = true
}

// checkRecovered checks that enough flows opened after the recovery time.
func (c *checker) checkRecovered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	minOpened := minOpenShare*float64(c.attempted) - float64(c.pendingFlows())
	if c.slack > 0 {
		// On a machine that needs slack, callers may abandon their attempts
		// before the hosts get to run, so one opened flow is enough.
		minOpened = 1
	}
	if c.opened == 0 || float64(c.opened) < minOpened {
		c.failLocked("only %d of %d flows opened after the recovery time", c.opened, c.attempted)
	}
}

// pendingFlows returns the number of counted flows that have not opened yet. It
// needs mu to be locked already.
func (c *checker) pendingFlows() int {
	n := 0
	for _, f := range c.flows {
		if f.counted && f.owner == 0 {
			n++
		}
	}
	return n
}

func (c *checker) report(seed uint64) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rep
	r.Seed = seed
	return &r
}
