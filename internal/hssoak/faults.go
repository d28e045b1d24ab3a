package hssoak

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	// minFaultTime and maxFaultTime are the minimum and maximum duration of a
	// fault.
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 5 * time.Second
	// maxDownTime is the maximum time until a killed process is restarted.
	maxDownTime = 2 * time.Second
	// seriesCount is the number of configurations in a series, and
	// seriesInterval the time between two of them.
	seriesCount    = 6
	seriesInterval = 250 * time.Millisecond
	// expiryTime is the time after a target's crash at which its entry is
	// removed: three announcement intervals.
	expiryTime = 3600 * time.Millisecond
	// maxCopies is the number of copies of the store that are kept; the oldest is
	// some eight seconds old.
	maxCopies = 12
	// rewriteTime is the maximum time after a restore of the store until targets
	// and the operator have written again what it lost.
	rewriteTime = 2 * time.Second
	// reuseDelay is the time between the end of a target and the reuse of its
	// address by another one.
	reuseDelay = 2 * time.Second
	// minTargets is the minimum number of running targets of a service: faults
	// affect a target only while its service has more.
	minTargets = 2
)

var (
	faults = []fault{
		{"kill", kill(1)},
		{"pause", onHost("pause %s", pause)},
		{"planned stop", onHost("planned stop of %s", stop)},
		{"kill several", kill(math.MaxInt)},
		{"settings signal", onHost("settings signal to %s", reloadSettings)},
		{"store disturbance for one host", disturbStoreForOne},
		{"store disturbance for all hosts", disturbStoreForAll},
		{"store drops its history", func(_ context.Context, s *soak, _ *rand.Rand) { s.cfg.Store.DropHistory() }},
		{"store restored from a copy", restoreStore},
		{"configuration", func(_ context.Context, s *soak, _ *rand.Rand) { s.publishConfiguration() }},
		{"series of configurations", publishSeries},
		{"drain and reuse", onTarget("drain target %x", drain)},
		{"crash", onTarget("crash target %x", crash)},
		{"dark", onTarget("make target %x unresponsive", makeUnresponsive)},
	}

	baseRoutes = []netip.AddrPort{
		netip.MustParseAddrPort("198.18.0.1:8443"),
		netip.MustParseAddrPort("198.18.0.2:8080"),
	}
)

// acquireHost locks and returns a host that no other fault acts on, or nil if
// there is none. The fault has to unlock it.
func (s *soak) acquireHost(rng *rand.Rand) *host {
	for _, i := range rng.Perm(len(s.hosts)) {
		if s.hosts[i].busy.TryLock() {
			return s.hosts[i]
		}
	}
	return nil
}

// acquireTarget locks and returns a target that no other fault acts on and
// whose service has more than minTargets targets, or nil if there is none. The
// fault has to unlock it.
func (s *soak) acquireTarget(rng *rand.Rand) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, t := range s.targets {
		counts[t.entry.Service]++
	}
	for _, i := range rng.Perm(len(s.targets)) {
		t := s.targets[i]
		if counts[t.entry.Service] > minTargets && t.busy.TryLock() {
			return t
		}
	}
	return nil
}

// sleepFaultTime waits for the random duration of a fault.
func sleepFaultTime(ctx context.Context, rng *rand.Rand) {
	hstask.Sleep(ctx, randDuration(rng, minFaultTime, maxFaultTime))
}

// onHost returns a fault that locks a host, traces its name and calls do on it.
func onHost(format string, do func(ctx context.Context, h *host, rng *rand.Rand)) func(context.Context, *soak, *rand.Rand) {
	return func(ctx context.Context, s *soak, rng *rand.Rand) {
		h := s.acquireHost(rng)
		if h == nil {
			return
		}
		defer h.busy.Unlock()
		s.trace(format, h.settings.Name)
		do(ctx, h, rng)
	}
}

// onTarget returns a fault that locks a target, traces its ID and calls do on
// it.
func onTarget(format string, do func(ctx context.Context, t *target, rng *rand.Rand)) func(context.Context, *soak, *rand.Rand) {
	return func(ctx context.Context, s *soak, rng *rand.Rand) {
		t := s.acquireTarget(rng)
		if t == nil {
			return
		}
		defer t.busy.Unlock()
		s.trace(format, uint64(t.entry.ID))
		do(ctx, t, rng)
	}
}

func (h *host) restart(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := h.start(); err != nil {
		h.s.checker.fail("process of %s failed to start: %v", h.settings.Name, err)
	}
}

// kill returns a fault that kills the processes of at most limit hosts at once,
// and of no more than half of all hosts, and restarts them.
func kill(limit int) func(context.Context, *soak, *rand.Rand) {
	return func(ctx context.Context, s *soak, rng *rand.Rand) {
		var hosts []*host
		for range min(limit, len(s.hosts)/2) {
			if h := s.acquireHost(rng); h != nil {
				hosts = append(hosts, h)
			}
		}
		for _, h := range hosts {
			s.trace("kill %s", h.settings.Name)
			h.kill()
		}
		hstask.Sleep(ctx, randDuration(rng, minFaultTime, maxDownTime))
		for _, h := range hosts {
			h.restart(ctx)
			h.busy.Unlock()
		}
	}
}

func pause(ctx context.Context, h *host, rng *rand.Rand) {
	h.signal(syscall.SIGSTOP)
	sleepFaultTime(ctx, rng)
	h.signal(syscall.SIGCONT)
}

func stop(ctx context.Context, h *host, _ *rand.Rand) {
	h.terminate(ctx)
	h.restart(ctx)
}

func reloadSettings(_ context.Context, h *host, _ *rand.Rand) { h.signal(syscall.SIGHUP) }

func disturbStoreForOne(ctx context.Context, s *soak, rng *rand.Rand) {
	h := s.hosts[rng.IntN(len(s.hosts))]
	m := modeRefuse + mode(rng.IntN(int(modeSlow)))
	s.trace("store connections of %s: %s", h.settings.Name, modeNames[m])
	h.proxy.setMode(m)
	sleepFaultTime(ctx, rng)
	h.proxy.setMode(modePass)
}

func disturbStoreForAll(ctx context.Context, s *soak, rng *rand.Rand) {
	m := modeRefuse + mode(rng.IntN(int(modeSlow)))
	s.trace("store connections of all hosts: %s", modeNames[m])
	s.setStoreModes(m)
	sleepFaultTime(ctx, rng)
	s.setStoreModes(modePass)
}

func publishSeries(ctx context.Context, s *soak, _ *rand.Rand) {
	for range seriesCount {
		s.publishConfiguration()
		hstask.Sleep(ctx, seriesInterval)
	}
}

// publishConfiguration publishes the next configuration, which adds a route and
// drops the one that the previous configuration added.
func (s *soak) publishConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.rng.Uint64N(3)
	extra := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + s.version>>8), byte(s.version)}), 443)
	c := &hsfeed.Configuration{Version: s.version, IdleTimeout: time.Minute}
	for i, addr := range append(append([]netip.AddrPort(nil), baseRoutes...), extra) {
		c.Routes = append(c.Routes, hsfeed.Route{
			Address: addr, Shares: []hsfeed.Share{{Service: services[i%len(services)], Weight: 1}},
			Timeout: 2 * time.Second, LatencyObjective: 250 * time.Millisecond, Priority: 1,
		})
	}
	s.configuration = c
	s.cfg.Store.Publish(&hsfeed.Event{Configuration: c})
	s.checker.setRoutes(c.Routes, time.Now())
}

// copyStore copies the store and keeps the last maxCopies copies.
func (s *soak) copyStore() {
	restore := s.cfg.Store.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, restore)
	if len(s.copies) > maxCopies {
		s.copies = s.copies[1:]
	}
}

// restoreStore makes the store unavailable and restores it from a copy. The
// operator and the targets write again what is lost, and the entries of targets
// that have ended expire again. Newer copies than the one that is restored are
// lost too.
func restoreStore(ctx context.Context, s *soak, rng *rand.Rand) {
	s.setStoreModes(modeRefuse)
	hstask.Sleep(ctx, randDuration(rng, minFaultTime, rewriteTime))
	s.mu.Lock()
	i := rng.IntN(len(s.copies))
	s.trace("restore copy %d of %d", i, len(s.copies))
	s.copies[i]()
	s.copies = s.copies[:i+1]
	s.mu.Unlock()
	s.setStoreModes(modePass)
	hstask.Sleep(ctx, randDuration(rng, 0, rewriteTime))
	s.mu.Lock()
	s.cfg.Store.Publish(&hsfeed.Event{Configuration: s.configuration})
	targets := slices.Clone(s.targets)
	s.mu.Unlock()
	for _, t := range targets {
		t.publish()
	}
	s.rewriteEvacuations(false)
	s.checker.setStoreDisturbed()
	hstask.Sleep(ctx, expiryTime)
	s.rewriteEvacuations(true)
	for _, id := range s.checker.endedTargets() {
		s.cfg.Store.Publish(&hsfeed.Event{Removed: id})
	}
}

// setStoreModes sets the mode of all hosts' connections to the store.
func (s *soak) setStoreModes(m mode) {
	for _, h := range s.hosts {
		h.proxy.setMode(m)
	}
	s.checker.setStoreDisturbed()
}

// route returns a route for a new flow. A quarter of the flows take any route
// that was ever published, including dropped ones.
func (s *soak) route(rng *rand.Rand) netip.AddrPort {
	if rng.IntN(4) > 0 {
		return baseRoutes[rng.IntN(len(baseRoutes))]
	}
	return s.checker.randomRoute(rng)
}

// drain replaces a target: it starts a new one, announces that the old one
// drains, lets it serve for the drain time, ends it, and then gives its address
// to a new target of the other service.
func drain(ctx context.Context, t *target, rng *rand.Rand) {
	s := t.s
	s.addOrFail(ctx, t.entry.Service, t.entry.Zone, s.newAddr())
	t.drain()
	s.checker.targetEndPublished(t.entry.ID, time.Now())
	hstask.Sleep(ctx, drainTime+randDuration(rng, minFaultTime, 3*time.Second))
	t.remove()
	t.end()
	hstask.Sleep(ctx, reuseDelay)
	other := services[0]
	if t.entry.Service == other {
		other = services[1]
	}
	s.addOrFail(ctx, other, t.entry.Zone, t.entry.Address.Addr())
}

func (s *soak) addOrFail(ctx context.Context, service, zone string, addr netip.Addr) {
	if ctx.Err() != nil {
		return
	}
	if err := s.addTarget(ctx, service, zone, addr); err != nil {
		s.checker.fail("target at %s failed to start: %v", addr, err)
	}
}

// crash ends a target without an announcement, removes its entry when it
// expires, and starts a new target at another address.
func crash(ctx context.Context, t *target, _ *rand.Rand) {
	t.end()
	hstask.Sleep(ctx, expiryTime)
	t.remove()
	t.s.addOrFail(ctx, t.entry.Service, t.entry.Zone, t.s.newAddr())
}

// makeUnresponsive makes a target unresponsive for a time. The target keeps its
// flows.
func makeUnresponsive(ctx context.Context, t *target, rng *rand.Rand) {
	t.setUnresponsive(true)
	sleepFaultTime(ctx, rng)
	t.setUnresponsive(false)
}
