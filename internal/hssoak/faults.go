package hssoak

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
)

// fault is one kind of fault that a run injects.
type fault struct {
	name string
	run  func(ctx context.Context, s *soak, rng *rand.Rand)
}

const (
	// troubleMin and troubleMax are the minimum and maximum duration of a fault.
	troubleMin = 300 * time.Millisecond
	troubleMax = 5 * time.Second
	// downMost is the maximum time until a killed process is restarted.
	downMost = 2 * time.Second
	// stormCount is the number of configurations in a series, and stormGap the
	// time between two of them.
	stormCount = 6
	stormGap   = 250 * time.Millisecond
	// lapseTime is the time after a target's crash at which its entry is removed:
	// three announcement intervals.
	lapseTime = 3600 * time.Millisecond
	// reuseTime is the time between the end of a target and the reuse of its
	// address by another one.
	reuseTime = 2 * time.Second
	// targetsLeast is the minimum number of running targets of a service: faults
	// affect a target only while its service has more.
	targetsLeast = 2
)

var (
	faults = []fault{
		{"kill", kill(1)},
		{"pause", onHost("pause %s", pause)},
		{"planned stop", onHost("planned stop of %s", stop)},
		{"kill several", kill(math.MaxInt)},
		{"settings signal", onHost("settings signal to %s", hangUp)},
		{"store disturbance for one host", storeAwayForOne},
		{"store disturbance for all hosts", storeAwayForAll},
		{"store drops its history", func(_ context.Context, s *soak, _ *rand.Rand) { s.cfg.Store.Forget() }},
		{"configuration", func(_ context.Context, s *soak, _ *rand.Rand) { s.publishConfiguration() }},
		{"series of configurations", storm},
		{"drain and reuse", onTarget("drain target %x", drain)},
		{"crash", onTarget("crash target %x", crash)},
		{"dark", onTarget("make target %x unresponsive", dark)},
	}

	baseRoutes = []netip.AddrPort{
		netip.MustParseAddrPort("198.18.0.1:8443"),
		netip.MustParseAddrPort("198.18.0.2:8080"),
	}
)

// take locks and returns a host that no other fault acts on, or nil if there is
// none. The caller unlocks it.
func (s *soak) take(rng *rand.Rand) *host {
	for _, i := range rng.Perm(len(s.hosts)) {
		if s.hosts[i].busy.TryLock() {
			return s.hosts[i]
		}
	}
	return nil
}

// takeTarget locks and returns a target that no other fault acts on and whose
// service has more than targetsLeast targets, or nil if there is none. The caller
// unlocks it.
func (s *soak) takeTarget(rng *rand.Rand) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := map[string]int{}
	for _, t := range s.targets {
		left[t.entry.Service]++
	}
	for _, i := range rng.Perm(len(s.targets)) {
		t := s.targets[i]
		if left[t.entry.Service] > targetsLeast && t.busy.TryLock() {
			return t
		}
	}
	return nil
}

// trouble waits for the random duration of a fault.
func trouble(ctx context.Context, rng *rand.Rand) {
	hstask.Sleep(ctx, between(rng, troubleMin, troubleMax))
}

// onHost returns a fault that locks a host, traces its name and calls do on it.
func onHost(trace string, do func(ctx context.Context, h *host, rng *rand.Rand)) func(context.Context, *soak, *rand.Rand) {
	return func(ctx context.Context, s *soak, rng *rand.Rand) {
		h := s.take(rng)
		if h == nil {
			return
		}
		defer h.busy.Unlock()
		s.trace(trace, h.settings.Name)
		do(ctx, h, rng)
	}
}

// onTarget returns a fault that locks a target, traces its identity and calls do
// on it.
func onTarget(trace string, do func(ctx context.Context, t *target, rng *rand.Rand)) func(context.Context, *soak, *rand.Rand) {
	return func(ctx context.Context, s *soak, rng *rand.Rand) {
		t := s.takeTarget(rng)
		if t == nil {
			return
		}
		defer t.busy.Unlock()
		s.trace(trace, uint64(t.entry.ID))
		do(ctx, t, rng)
	}
}

func (h *host) restart(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := h.start(); err != nil {
		h.s.ledger.fail("process of %s failed to start: %v", h.settings.Name, err)
	}
}

// kill returns a fault that kills the processes of up to most hosts at once, but
// of no more than half of all hosts, and restarts them.
func kill(most int) func(context.Context, *soak, *rand.Rand) {
	return func(ctx context.Context, s *soak, rng *rand.Rand) {
		var taken []*host
		for range min(most, len(s.hosts)/2) {
			if h := s.take(rng); h != nil {
				taken = append(taken, h)
			}
		}
		for _, h := range taken {
			s.trace("kill %s", h.settings.Name)
			h.kill()
		}
		hstask.Sleep(ctx, between(rng, troubleMin, downMost))
		for _, h := range taken {
			h.restart(ctx)
			h.busy.Unlock()
		}
	}
}

func pause(ctx context.Context, h *host, rng *rand.Rand) {
	h.signal(syscall.SIGSTOP)
	trouble(ctx, rng)
	h.signal(syscall.SIGCONT)
}

func stop(ctx context.Context, h *host, _ *rand.Rand) {
	h.terminate(ctx)
	h.restart(ctx)
}

func hangUp(_ context.Context, h *host, _ *rand.Rand) { h.signal(syscall.SIGHUP) }

func storeAwayForOne(ctx context.Context, s *soak, rng *rand.Rand) {
	h := s.hosts[rng.IntN(len(s.hosts))]
	m := refuse + mode(rng.IntN(int(slow)))
	s.trace("store connections of %s: %s", h.settings.Name, modeNames[m])
	h.proxy.set(m)
	trouble(ctx, rng)
	h.proxy.set(pass)
}

func storeAwayForAll(ctx context.Context, s *soak, rng *rand.Rand) {
	m := refuse + mode(rng.IntN(int(slow)))
	s.trace("store connections of all hosts: %s", modeNames[m])
	for _, h := range s.hosts {
		h.proxy.set(m)
	}
	s.ledger.setStoreTrouble()
	trouble(ctx, rng)
	for _, h := range s.hosts {
		h.proxy.set(pass)
	}
	s.ledger.setStoreTrouble()
}

func storm(ctx context.Context, s *soak, _ *rand.Rand) {
	for range stormCount {
		s.publishConfiguration()
		hstask.Sleep(ctx, stormGap)
	}
}

// publishConfiguration publishes the next configuration, which adds a route and
// drops the one that the previous configuration added.
func (s *soak) publishConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.rng.Uint64N(3)
	extra := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + s.version>>8), byte(s.version)}), 443)
	c := &hsfeed.Configuration{Version: s.version, Idle: time.Minute}
	for i, at := range append(append([]netip.AddrPort(nil), baseRoutes...), extra) {
		c.Routes = append(c.Routes, hsfeed.Route{
			At: at, Shares: []hsfeed.Share{{Service: services[i%len(services)], Weight: 1}},
			Timeout: 2 * time.Second, Aim: 250 * time.Millisecond, Priority: 1,
		})
	}
	s.cfg.Store.Publish(&hsfeed.Event{Configuration: c})
	s.ledger.setRoutes(c.Routes, time.Now())
}

// route returns a route for a new flow. A quarter of the flows take any route that
// was ever published, including dropped ones.
func (s *soak) route(rng *rand.Rand) netip.AddrPort {
	if rng.IntN(4) > 0 {
		return baseRoutes[rng.IntN(len(baseRoutes))]
	}
	return s.ledger.someRoute(rng)
}

// drain replaces a target: it starts a new one, announces that the old one drains,
// lets it serve for the drain time, ends it, and then gives its address to a new
// target of the other service.
func drain(ctx context.Context, t *target, rng *rand.Rand) {
	s := t.s
	s.addOrFail(ctx, t.entry.Service, t.entry.Zone, s.newAddr())
	t.entry.Draining = true
	t.publish()
	s.ledger.endTarget(t.entry.ID, time.Now())
	hstask.Sleep(ctx, drainBound+between(rng, troubleMin, 3*time.Second))
	t.remove()
	t.end()
	hstask.Sleep(ctx, reuseTime)
	other := services[0]
	if t.entry.Service == other {
		other = services[1]
	}
	s.addOrFail(ctx, other, t.entry.Zone, t.entry.Address.Addr())
}

func (s *soak) addOrFail(ctx context.Context, service, zone string, at netip.Addr) {
	if ctx.Err() != nil {
		return
	}
	if err := s.addTarget(ctx, service, zone, at); err != nil {
		s.ledger.fail("target at %s failed to start: %v", at, err)
	}
}

// crash ends a target without an announcement, removes its entry when it expires,
// and starts a new target at another address.
func crash(ctx context.Context, t *target, _ *rand.Rand) {
	t.end()
	hstask.Sleep(ctx, lapseTime)
	t.remove()
	t.s.addOrFail(ctx, t.entry.Service, t.entry.Zone, t.s.newAddr())
}

// dark makes a target unresponsive for a time. It keeps its flows.
func dark(ctx context.Context, t *target, rng *rand.Rand) {
	t.setDark(true)
	trouble(ctx, rng)
	t.setDark(false)
}
