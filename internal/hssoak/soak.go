// Package hssoak is a soak test: it runs real hsdirect processes on loopback,
// injects faults from outside them, and checks meanwhile what callers and
// targets observe. Signals kill, pause, stop and restart processes; proxies cut
// off or slow down the connections to the store; the store drops its history, or
// is restored from a copy; targets drain, crash, become unresponsive and hand
// their addresses to other targets; new configurations are published, some in
// quick succession; zones are evacuated; and another program leaves invalid
// entries among those of the targets.
package hssoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsdirect"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hshttp"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// Format encodes and decodes the formats of the deployment: the settings of
	// an entry host and the packets of callers and targets.
	Format interface {
		SettingsVariable() string
		Settings(s *hsdirect.Settings) []byte
		ReadyPath() string
		Decode(data []byte, p *hscookie.Packet) hscode.Code
		DecodeAtTarget(data []byte, p *hscookie.Packet) (hsfeed.TargetID, hscode.Code)
		AppendPacket(dst []byte, p *hscookie.Packet, data []byte) []byte
	}

	// Store is a test double of the metadata store.
	Store interface {
		http.Handler
		Publish(ev *hsfeed.Event) uint64
		// PublishInvalid writes an invalid entry under a target's key, or under the
		// target's name if it has one, and returns what is wrong with it.
		PublishInvalid(t *hsfeed.Target, rng *rand.Rand) string
		DropHistory()
		// Copy copies the content; the returned function restores the copy.
		Copy() (restore func())
	}

	// FaultSet is the set of faults that a run injects.
	FaultSet int

	// Config configures a run.
	Config struct {
		Format Format
		Store  Store
		// Path of the hsdirect executable.
		Binary string
		// Path of the executable of the first host; empty if it is Binary. A test of
		// the checks gives one with a fault.
		FirstBinary string
		// Faults that are injected until the end.
		Faults FaultSet
		// Folder for settings files and logs.
		Folder string
		// Second byte of the loopback addresses in use.
		Subnet byte
		Seed   uint64
		// Time during which faults are injected.
		Duration time.Duration
		// Entry hosts and targets in each of the three zones.
		HostsPerZone   int
		TargetsPerZone int
		Callers        int
		// Time after the last fault within which all flows have to be served
		// again.
		RecoveryTime time.Duration
		// Added to the time limits that are checked, for delays on a busy
		// machine.
		Slack time.Duration
		// Receives a line for each fault; nil for no trace.
		Trace io.Writer
	}

	// soak is the state of a run.
	soak struct {
		cfg     Config
		checker *checker
		g       *errgroup.Group

		// Complete before targets and callers start, which read it without a
		// lock.
		hosts []*host

		mu      sync.Mutex
		rng     *rand.Rand
		targets []*target
		// Highest target ID in use, and the last byte of the latest address
		// that newAddr returned.
		lastID   hsfeed.TargetID
		lastAddr byte
		version  uint64
		// Current configuration.
		configuration *hsfeed.Configuration
		// Zones that were ever evacuated, and whether they are now.
		evacuated map[string]bool
		// Functions that restore the latest copies of the store, oldest first.
		copies []func()
	}
)

// Sets of faults.
const (
	AllFaults FaultSet = iota
	// Zones are evacuated, and nothing else.
	Evacuations
	// Another program leaves invalid entries in the store, and nothing else.
	InvalidEntries
)

const (
	zoneCount = 3
	dataPort  = 8172
	readyPort = 8167
	peerPort  = 7720
	storePort = 8169
	// settleTime is the time for processes to start and discover one another
	// before the first fault.
	settleTime = 2 * time.Second
	// checkTime is the time after the recovery time in which minOpenShare of
	// the new flows have to open.
	checkTime = 3 * time.Second
	// minFaultInterval and maxFaultInterval are the minimum and maximum time
	// between the starts of two faults.
	minFaultInterval = 200 * time.Millisecond
	maxFaultInterval = 1200 * time.Millisecond
)

// Run performs a soak test and returns its report. An error means that the run
// itself failed; violations of the guarantees are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{cfg: cfg, checker: newChecker(cfg.Slack), rng: rand.New(rand.NewPCG(cfg.Seed, 1)), evacuated: map[string]bool{}}
	s.g, runCtx = errgroup.WithContext(runCtx)
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, errors.Trace(err)
	}
	err := s.start(runCtx)
	if err == nil {
		s.injectFaults(runCtx)
		s.finish(runCtx)
		err = ctx.Err()
	}
	cancel()
	s.killAll()
	if waitErr := s.g.Wait(); err == nil && !errors.Is(waitErr, context.Canceled) {
		err = waitErr
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	return s.checker.report(cfg.Seed), nil
}

// start starts the store, targets, entry hosts and callers.
func (s *soak) start(ctx context.Context) error {
	l, err := hstask.ListenTCP(netip.AddrPortFrom(s.addr(4, 1), storePort))
	if err != nil {
		return errors.Trace(err)
	}
	s.g.Go(func() error { return hshttp.Serve(ctx, l, s.cfg.Store) })
	for i := range zoneCount * s.cfg.HostsPerZone {
		h, err := s.newHost(ctx, i)
		if err != nil {
			return errors.Trace(err)
		}
		s.hosts = append(s.hosts, h)
	}
	for i := range zoneCount * s.cfg.TargetsPerZone {
		if err := s.addTarget(ctx, services[i%len(services)], zoneName(i%zoneCount), s.newAddr()); err != nil {
			return errors.Trace(err)
		}
	}
	if err := s.startInvalidTargets(ctx); err != nil {
		return errors.Trace(err)
	}
	s.publishConfiguration()
	s.copyStore()
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return errors.Trace(err)
		}
		s.g.Go(func() error { return h.probe(ctx) })
	}
	for i := range s.cfg.Callers {
		if err := s.addCaller(ctx, i); err != nil {
			return errors.Trace(err)
		}
	}
	hstask.Sleep(ctx, settleTime)
	return errors.Trace(ctx.Err())
}

// injectFaults starts random faults for the configured duration and waits until
// the last of them is over. Faults may overlap.
func (s *soak) injectFaults(ctx context.Context) {
	var running errgroup.Group
	// The plan has its own generator, so that it depends on the seed alone and
	// not on other random draws of the run.
	plan := rand.New(rand.NewPCG(s.cfg.Seed, 2))
	end := time.Now().Add(s.cfg.Duration)
	if s.cfg.Faults != InvalidEntries {
		running.Go(func() error {
			s.evacuateZones(ctx, end)
			return nil
		})
	}
	if s.cfg.Faults != Evacuations {
		running.Go(func() error {
			s.leaveInvalidEntries(ctx, end)
			return nil
		})
		running.Go(func() error {
			s.leaveSimilarEntries(ctx, end)
			return nil
		})
	}
	for time.Now().Before(end) && ctx.Err() == nil && s.cfg.Faults == AllFaults {
		s.copyStore()
		f := faults[plan.IntN(len(faults))]
		rng := rand.New(rand.NewPCG(s.cfg.Seed, plan.Uint64()))
		interval := randDuration(rng, minFaultInterval, maxFaultInterval)
		s.trace("%s", f.name)
		running.Go(func() error {
			f.run(ctx, s, rng)
			return nil
		})
		hstask.Sleep(ctx, interval)
	}
	// Faults return no error.
	_ = running.Wait()
}

// finish restores the store once more and publishes a configuration, with no
// later changes that would hide a configuration which was ignored. Each target gets
// an invalid entry of another name. It checks that flows are served again after the
// recovery time and that planned stops of all processes succeed.
func (s *soak) finish(ctx context.Context) {
	restoreStore(ctx, s, rand.New(rand.NewPCG(s.cfg.Seed, 3)))
	if s.cfg.Faults != Evacuations {
		s.leaveAllSimilarEntries()
	}
	s.publishConfiguration()
	hstask.Sleep(ctx, s.cfg.RecoveryTime)
	s.checker.setRecovered()
	hstask.Sleep(ctx, checkTime)
	s.checker.checkRecovered()
	var stops errgroup.Group
	for _, h := range s.hosts {
		stops.Go(func() error {
			h.terminate(ctx)
			return nil
		})
	}
	// terminate records failures as violations and returns no error.
	_ = stops.Wait()
}

func (s *soak) killAll() {
	for _, h := range s.hosts {
		h.kill()
	}
}

func (s *soak) trace(format string, args ...any) {
	if s.cfg.Trace != nil {
		// The trace is informational, so a failed write does not fail the run.
		_, _ = fmt.Fprintf(s.cfg.Trace, "%8.3f %s\n", time.Since(s.checker.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// addr returns a loopback address. kind is 0 for entry hosts, 1 for targets, 2
// for callers, 3 for the proxies, 4 for the store and 5 for invalid entries.
func (s *soak) addr(kind, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.cfg.Subnet, kind, n})
}

func (s *soak) randUint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Uint64()
}

func zoneName(i int) string { return string(rune('a' + i)) }

func randDuration(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(rng.Int64N(int64(hi-lo)))
}
