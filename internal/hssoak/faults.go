package hssoak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
)

// fault is one kind of trouble.
type fault struct {
	name string
	run  func(ctx context.Context, s *soak, rng *rand.Rand)
}

const (
	// Bounds of the time for which processes and the store are in trouble.
	troubleMin = 300 * time.Millisecond
	troubleMax = 5 * time.Second
	// stormCount and stormGap are those of a series of configurations.
	stormCount = 6
	stormGap   = 250 * time.Millisecond
	// lapseTime is the time after which the entry of a target that fell silent
	// is removed: three of its announcements.
	lapseTime = 3600 * time.Millisecond
	// reuseTime is the time after which a target's address is used again.
	reuseTime = 2 * time.Second
	// targetsLeast is the number of targets of a service that are left alone.
	targetsLeast = 2
)

var (
	faults = []fault{
		{"kill", kill},
		{"pause", pause},
		{"planned stop", stop},
		{"kill several", killSeveral},
		{"settings signal", hangUp},
		{"store away for one", storeAwayForOne},
		{"store away for all", storeAwayForAll},
		{"store forgets", func(_ context.Context, s *soak, _ *rand.Rand) { s.cfg.Store.Forget() }},
		{"configuration", func(_ context.Context, s *soak, _ *rand.Rand) { s.publishConfiguration() }},
		{"configurations in a row", storm},
		{"drain and reuse", drain},
		{"crash", crash},
		{"dark", dark},
	}

	baseRoutes = []netip.AddrPort{
		netip.MustParseAddrPort("198.18.0.1:8443"),
		netip.MustParseAddrPort("198.18.0.2:8080"),
	}
)

// take returns a host that no other fault has in its hands, or nil. The caller
// unlocks it.
func (s *soak) take(rng *rand.Rand) *host {
	for _, i := range rng.Perm(len(s.hosts)) {
		if s.hosts[i].busy.TryLock() {
			return s.hosts[i]
		}
	}
	return nil
}

// takeTarget returns a target that no other fault has in its hands, of a service
// that has enough others, or nil. The caller unlocks it.
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

func trouble(ctx context.Context, rng *rand.Rand) {
	hstask.Sleep(ctx, between(rng, troubleMin, troubleMax))
}

func kill(ctx context.Context, s *soak, rng *rand.Rand) {
	h := s.take(rng)
	if h == nil {
		return
	}
	defer h.busy.Unlock()
	s.trace("kill %s", h.settings.Name)
	h.kill()
	hstask.Sleep(ctx, between(rng, troubleMin, 2*time.Second))
	h.restart(ctx)
}

func (h *host) restart(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := h.start(); err != nil {
		h.s.ledger.fail("%s does not start: %v", h.settings.Name, err)
	}
}

func killSeveral(ctx context.Context, s *soak, rng *rand.Rand) {
	var taken []*host
	for range len(s.hosts) / 2 {
		if h := s.take(rng); h != nil {
			taken = append(taken, h)
		}
	}
	for _, h := range taken {
		s.trace("kill %s", h.settings.Name)
		h.kill()
	}
	hstask.Sleep(ctx, between(rng, troubleMin, 2*time.Second))
	for _, h := range taken {
		h.restart(ctx)
		h.busy.Unlock()
	}
}

func pause(ctx context.Context, s *soak, rng *rand.Rand) {
	h := s.take(rng)
	if h == nil {
		return
	}
	defer h.busy.Unlock()
	s.trace("pause %s", h.settings.Name)
	h.signal(syscall.SIGSTOP)
	trouble(ctx, rng)
	h.signal(syscall.SIGCONT)
}

func stop(ctx context.Context, s *soak, rng *rand.Rand) {
	h := s.take(rng)
	if h == nil {
		return
	}
	defer h.busy.Unlock()
	s.trace("planned stop of %s", h.settings.Name)
	h.terminate(ctx)
	h.restart(ctx)
}

func hangUp(_ context.Context, s *soak, rng *rand.Rand) {
	if h := s.take(rng); h != nil {
		defer h.busy.Unlock()
		h.signal(syscall.SIGHUP)
	}
}

func storeAwayForOne(ctx context.Context, s *soak, rng *rand.Rand) {
	h := s.hosts[rng.IntN(len(s.hosts))]
	m := refuse + mode(rng.IntN(int(slow)))
	s.trace("store of %s: %s", h.settings.Name, modeNames[m])
	h.proxy.set(m)
	trouble(ctx, rng)
	h.proxy.set(pass)
}

func storeAwayForAll(ctx context.Context, s *soak, rng *rand.Rand) {
	m := refuse + mode(rng.IntN(int(slow)))
	s.trace("store of all: %s", modeNames[m])
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
// drops the one that the configuration before added.
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

// route returns a route for a new flow; some flows try one that was dropped.
func (s *soak) route(rng *rand.Rand) netip.AddrPort {
	if rng.IntN(4) > 0 {
		return baseRoutes[rng.IntN(len(baseRoutes))]
	}
	return s.ledger.someRoute(rng)
}

// drain replaces a target: another one starts, the old one announces its end,
// goes on serving, ends, and its address goes to a target of another service.
func drain(ctx context.Context, s *soak, rng *rand.Rand) {
	t := s.takeTarget(rng)
	if t == nil {
		return
	}
	s.trace("drain target %x", uint64(t.entry.ID))
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
		s.ledger.fail("target at %s does not start: %v", at, err)
	}
}

// crash ends a target, whose entry lapses, and starts another one.
func crash(ctx context.Context, s *soak, rng *rand.Rand) {
	t := s.takeTarget(rng)
	if t == nil {
		return
	}
	s.trace("crash target %x", uint64(t.entry.ID))
	t.end()
	hstask.Sleep(ctx, lapseTime)
	t.remove()
	s.addOrFail(ctx, t.entry.Service, t.entry.Zone, s.newAddr())
}

// dark silences a target, which keeps its flows.
func dark(ctx context.Context, s *soak, rng *rand.Rand) {
	t := s.takeTarget(rng)
	if t == nil {
		return
	}
	defer t.busy.Unlock()
	s.trace("silence target %x", uint64(t.entry.ID))
	t.setDark(true)
	trouble(ctx, rng)
	t.setDark(false)
}
