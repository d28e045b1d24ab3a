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
	// Report is what a run saw.
	Report struct {
		Seed uint64
		// Flows that opened, that were refused, and that did not open.
		Opened   int
		Refused  int
		Unopened int
		// Requests answered within flows.
		Answered int
		// Processes started and ended by the run.
		Starts int
		// Promises that were broken, at most maxBroken.
		Broken []string
	}

	// ledger knows the truth that promises are checked against.
	ledger struct {
		slack   time.Duration
		started time.Time

		mu      sync.Mutex
		flows   map[netip.AddrPort]*flow
		targets map[hsfeed.TargetID]*targetState
		routes  map[netip.AddrPort]*routeState
		rep     Report
		// Time of the last trouble with the store itself.
		storeTrouble time.Time
		// True once everything has to be served again.
		recovered bool
		// Flows tried and opened since.
		tried  int
		opened int
	}

	flow struct {
		to netip.AddrPort
		// 0 until the caller took a target's answer.
		owner hsfeed.TargetID
		// True once a target said that it does not hold the flow.
		denied bool
		// True if the flow counts in tried: it has to open.
		counted bool
		begun   time.Time
		// Data of the flow's packets but the last, which has none.
		data []byte
		// Which opening packets reached which targets, for the report.
		placed []string
	}

	targetState struct {
		service string
		alive   bool
		// Zero until the store acknowledged that the target drains or is gone.
		ended time.Time
	}

	routeState struct {
		service string
		// Time of the configuration that added the route.
		since time.Time
		// Zero while the route is in force.
		dropped time.Time
	}
)

const (
	maxBroken = 20
	// forceBound, drainBound and contactTime are those of the deployments that
	// the program is built for.
	forceBound  = 3 * time.Second
	drainBound  = 3 * time.Second
	contactTime = 4 * time.Second
	// RecoverBound is the time after the last fault in which everything has to
	// be served again.
	RecoverBound = 12 * time.Second
	// openShare is the part of the flows that has to open once all faults are
	// over. Datagrams on loopback may be lost while the machine is busy.
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

// failLocked is fail for callers that hold the lock.
func (l *ledger) failLocked(format string, args ...any) {
	if len(l.rep.Broken) < maxBroken {
		at := fmt.Sprintf("%8.3f ", time.Since(l.started).Seconds())
		l.rep.Broken = append(l.rep.Broken, at+fmt.Sprintf(format, args...))
	}
}

// fail notes a broken promise.
func (l *ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failLocked(format, args...)
}

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

// someRoute returns a route that is or was in force.
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

// endTarget notes that the store acknowledged a target's end.
func (l *ledger) endTarget(id hsfeed.TargetID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t.ended.IsZero() {
		t.ended = now
	}
}

// killTarget notes that a target lost its flows.
func (l *ledger) killTarget(id hsfeed.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[id].alive = false
}

// tookOpening checks an opening packet that reached a target by way of a host.
func (l *ledger) tookOpening(id hsfeed.TargetID, p *hscookie.Packet, via netip.Addr, sent time.Time, calm bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	from, to := p.From, p.To
	if f := l.flows[from]; f != nil {
		f.placed = append(f.placed, fmt.Sprintf("copy %d by %s to %x after %v", p.Copies, via, uint64(id), now.Sub(f.begun)))
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

// sentSo reports whether a packet reached a target as its caller sent it. One of
// a flow that its caller has ended cannot be told any more.
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

// tookForeign checks a later packet at a target that does not hold its flow.
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
	l.failLocked("packet of flow %s>%s reached target %x, which does not hold it; %x does; %v", from, f.to, uint64(id), uint64(f.owner), f.placed)
}

// begun notes a flow that a caller tries to open.
func (l *ledger) begun(from, to netip.AddrPort, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows[from] = &flow{to: to, begun: time.Now(), data: data, counted: l.recovered && l.routes[to].dropped.IsZero()}
	if l.flows[from].counted {
		l.tried++
	}
}

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

func (l *ledger) unopened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rep.Unopened++
}

// refused checks the refusal of a flow: its route has to be dropped, or new.
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

// lost checks the loss of an open flow.
func (l *ledger) lost(from netip.AddrPort, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flows[from]
	route := l.routes[f.to]
	if f.denied || !l.targets[f.owner].alive || !route.dropped.IsZero() {
		return
	}
	l.failLocked("open flow %s>%s %s though its target %x lives", from, f.to, how, uint64(f.owner))
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

func (l *ledger) checkRecovered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	least := openShare*float64(l.tried) - float64(l.underWay())
	if l.slack > 0 {
		// On a machine that needs slack, callers may give up sooner than hosts run.
		least = 1
	}
	if l.opened == 0 || float64(l.opened) < least {
		l.failLocked("only %d of %d flows opened after all faults were over", l.opened, l.tried)
	}
}

// underWay returns the number of flows that may still open. The caller holds the
// lock.
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
