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
		// Flows that were opened, that were refused, and whose opening packets were
		// not answered.
		Opened   int
		Refused  int
		Unopened int
		// Requests answered within flows.
		Answered int
		// Process starts, restarts included.
		Starts int
		// Violations of the guarantees, the first maxBroken of them.
		Broken []string
	}

	// ledger records the actual state of flows, targets and routes, and checks the
	// guarantees against it.
	ledger struct {
		slack   time.Duration
		started time.Time

		mu      sync.Mutex
		flows   map[netip.AddrPort]*flow
		targets map[hsfeed.TargetID]*targetState
		routes  map[netip.AddrPort]*routeState
		rep     Report
		// Time of the last start or end of a store disturbance for all hosts.
		storeTrouble time.Time
		// True once the recovery time is over.
		recovered bool
		// Flows that were attempted since then on routes in force, and those of them
		// that opened.
		tried  int
		opened int
	}

	flow struct {
		to netip.AddrPort
		// Target that accepted the flow; 0 until its answer has reached the caller.
		owner hsfeed.TargetID
		// True once a target received a packet of the flow that it does not track.
		denied bool
		// True if the flow is counted in tried: it is expected to open.
		counted bool
		begun   time.Time
		// Data of every packet of the flow except the final one, which has none.
		data []byte
		// Opening packets that reached a target, as text for violations.
		placed []string
	}

	targetState struct {
		service string
		// False once the target has lost its flows.
		alive bool
		// Time at which the store acknowledged that the target drains or is removed;
		// zero before.
		ended time.Time
	}

	routeState struct {
		service string
		// Time at which the configuration that added the route was published.
		since time.Time
		// Time at which the configuration that dropped the route was published; zero
		// before.
		dropped time.Time
	}
)

const (
	maxBroken = 20
	// The next three are those of the deployments that the program is built for:
	// forceBound is the time within which entry hosts apply a published
	// configuration, drainBound the time for which a target accepts new flows after
	// its end was published, and contactTime the time after a disturbance of an
	// entry host or of the store during which these limits are not checked.
	forceBound  = 3 * time.Second
	drainBound  = 3 * time.Second
	contactTime = 4 * time.Second
	// RecoverBound is the maximum time after the last fault until all flows have
	// to be served again.
	RecoverBound = 12 * time.Second
	// openShare is the minimum share of flows that have to open after the recovery
	// time. It is below 1 because loopback may drop datagrams while the machine is
	// busy.
	openShare = 0.99
)

func newLedger(slack time.Duration) *ledger {
	return &ledger{
		slack:   slack,
		started: time.Now(),
		flows:   map[netip.AddrPort]*flow{},
		targets: map[hsfeed.TargetID]*targetState{},
		routes:  map[netip.AddrPort]*routeState{},
	}
}

// failLocked is like fail. The caller holds the lock.
func (l *ledger) failLocked(format string, args ...any) {
	if len(l.rep.Broken) < maxBroken {
		at := fmt.Sprintf("%8.3f ", time.Since(l.started).Seconds())
		l.rep.Broken = append(l.rep.Broken, at+fmt.Sprintf(format, args...))
	}
}

// fail records a violation.
func (l *ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failLocked(format, args...)
}

// setRoutes records the routes of a configuration that was published.
func (l *ledger) setRoutes(routes []hsfeed.Route, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[netip.AddrPort]bool{}
	for i := range routes {
		listed[routes[i].At] = true
		if l.routes[routes[i].At] == nil {
			l.routes[routes[i].At] = &routeState{service: routes[i].Shares[0].Service, since: now}
		}
	}
	for at, r := range l.routes {
		if !listed[at] && r.dropped.IsZero() {
			r.dropped = now
		}
	}
}

// someRoute returns a random route out of all that were ever published.
func (l *ledger) someRoute(rng *rand.Rand) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]netip.AddrPort, 0, len(l.routes))
	for at := range l.routes {
		all = append(all, at)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all[rng.IntN(len(all))]
}

func (l *ledger) addTarget(id hsfeed.TargetID, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[id] = &targetState{service: service, alive: true}
}

// endTarget records that the store acknowledged that a target drains or is
// removed. Only the first call for a target counts.
func (l *ledger) endTarget(id hsfeed.TargetID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t.ended.IsZero() {
		t.ended = now
	}
}

// killTarget records that a target lost its flows.
func (l *ledger) killTarget(id hsfeed.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[id].alive = false
}

// tookOpening checks an opening packet that reached a target through the host at
// via. sent is the time at which the flow was begun, and calm whether the time
// limits apply to the host.
func (l *ledger) tookOpening(id hsfeed.TargetID, p *hscookie.Packet, via netip.Addr, sent time.Time, calm bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	from, to := p.From, p.To
	if f := l.flows[from]; f != nil {
		f.placed = append(f.placed, fmt.Sprintf("opening packet %d through %s to target %x after %v", p.Copies, via, uint64(id), now.Sub(f.begun)))
	}
	t, r := l.targets[id], l.routes[to]
	if r == nil || r.service != t.service {
		l.failLocked("flow %s>%s reached target %x of service %s", from, to, uint64(id), t.service)
		return
	}
	if !calm || now.Sub(l.storeTrouble) < contactTime {
		return
	}
	if !t.ended.IsZero() && now.Sub(t.ended) > drainBound+l.slack {
		l.failLocked("flow %s>%s reached target %x %v after its end was published", from, to, uint64(id), now.Sub(t.ended))
	}
	if !r.dropped.IsZero() && !sent.IsZero() && sent.Sub(r.dropped) > forceBound+l.slack {
		l.failLocked("flow %s>%s was placed %v after its route was dropped", from, to, sent.Sub(r.dropped))
	}
}

// sentSo reports whether a packet reached a target as its caller sent it. It
// returns true if the caller has ended the flow, whose data is not known then.
func (l *ledger) sentSo(p *hscookie.Packet, data []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flows[p.From]
	switch {
	case f == nil:
		return true
	case p.To != f.to:
		return false
	case p.Has(hscookie.Fin):
		return len(data) == 0
	default:
		return bytes.Equal(data, f.data)
	}
}

// tookForeign checks a packet, other than an opening packet, that reached a target
// which does not track its flow.
func (l *ledger) tookForeign(id hsfeed.TargetID, from netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flows[from]
	if f == nil {
		return
	}
	f.denied = true
	if f.owner == 0 || f.owner == id || !l.targets[f.owner].alive {
		return
	}
	l.failLocked("packet of flow %s>%s reached target %x, but target %x tracks the flow; %v", from, f.to, uint64(id), uint64(f.owner), f.placed)
}

// begun records a flow that a caller is about to open.
func (l *ledger) begun(from, to netip.AddrPort, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows[from] = &flow{to: to, begun: time.Now(), data: data, counted: l.recovered && l.routes[to].dropped.IsZero()}
	if l.flows[from].counted {
		l.tried++
	}
}

// open records that a target accepted a flow.
func (l *ledger) open(from netip.AddrPort, owner hsfeed.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flows[from]
	f.owner = owner
	l.rep.Opened++
	if f.counted {
		l.opened++
	}
}

// unopened records that a caller abandoned the attempt to open a flow.
func (l *ledger) unopened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rep.Unopened++
}

// refused checks the refusal of a flow, which is allowed if its route was dropped
// or was published no longer than forceBound before the flow was begun, and also
// while the time limits do not apply. calm reports whether they apply to the host
// that refused the flow.
func (l *ledger) refused(from, to netip.AddrPort, sent time.Time, calm bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rep.Refused++
	r := l.routes[to]
	if !calm || !r.dropped.IsZero() || time.Since(l.storeTrouble) < contactTime {
		return
	}
	if sent.Sub(r.since) > forceBound+l.slack {
		l.failLocked("flow %s>%s was refused %v after its route was published", from, to, sent.Sub(r.since))
	}
}

func (l *ledger) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rep.Answered++
}

func (l *ledger) processStarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rep.Starts++
}

// lost checks the loss of an open flow, which is allowed if its target lost its
// flows, if its route was dropped, or if a target received one of its packets
// without tracking it, which tookForeign has checked already.
func (l *ledger) lost(from netip.AddrPort, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flows[from]
	route := l.routes[f.to]
	if f.denied || !l.targets[f.owner].alive || !route.dropped.IsZero() {
		return
	}
	l.failLocked("open flow %s>%s %s although its target %x still runs", from, f.to, how, uint64(f.owner))
}

func (l *ledger) done(from netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.flows, from)
}

func (l *ledger) setStoreTrouble() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeTrouble = time.Now()
}

func (l *ledger) setRecovered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recovered = true
}

// checkRecovered checks that enough flows opened after the recovery time.
func (l *ledger) checkRecovered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	least := openShare*float64(l.tried) - float64(l.underWay())
	if l.slack > 0 {
		// On a machine that needs slack, callers may abandon their attempts before
		// the hosts get to run, so one opened flow is enough.
		least = 1
	}
	if l.opened == 0 || float64(l.opened) < least {
		l.failLocked("only %d of %d flows opened after the recovery time", l.opened, l.tried)
	}
}

// underWay returns the number of counted flows that have not opened yet. The
// caller holds the lock.
func (l *ledger) underWay() int {
	n := 0
	for _, f := range l.flows {
		if f.counted && f.owner == 0 {
			n++
		}
	}
	return n
}

func (l *ledger) report(seed uint64) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rep
	r.Seed = seed
	return &r
}
