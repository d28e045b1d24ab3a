package hssoak

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"heatherstack.org/heatherstack/internal/hsdirect"
	"heatherstack.org/heatherstack/internal/hstask"
)

// host is one hsdirect process and the proxy through which it reaches the
// store.
type host struct {
	s            *soak
	binary       string
	settings     hsdirect.Settings
	settingsPath string
	log          *os.File
	proxy        *proxy

	// Locked by the fault that acts on the process.
	busy sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// Closed when the current process has exited.
	exited chan struct{}
	// True once the run has sent the current process a signal that ends it.
	stopping bool
	// Time at which the process was last started, and at which it was last started or
	// sent a signal.
	started   time.Time
	disturbed time.Time
	// Number of consecutive readiness checks that failed.
	failedProbes int
}

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed readiness checks
	// after which routers stop sending packets to a host.
	maxFailedProbes = 2
	// stopTimeout is the time limit of a planned stop in the settings, and
	// stopSlack the additional time allowed for delays of a busy machine.
	stopTimeout = 5 * time.Second
	stopSlack   = 3 * time.Second
)

func (s *soak) newHost(ctx context.Context, i int) (*host, error) {
	addr := s.addr(0, byte(i+1))
	store := netip.AddrPortFrom(s.addr(3, byte(i+1)), storePort)
	p, err := newProxy(ctx, s.g, store, netip.AddrPortFrom(s.addr(4, 1), storePort))
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := &host{s: s, binary: s.cfg.Binary, proxy: p, disturbed: time.Now()}
	if i == 0 && s.cfg.FirstBinary != "" {
		h.binary = s.cfg.FirstBinary
	}
	h.settings = hsdirect.Settings{
		Name: "h" + addr.String(), Zone: zoneName(i % zoneCount),
		DataAddr: netip.AddrPortFrom(addr, dataPort), ReadyAddr: netip.AddrPortFrom(addr, readyPort), PeerPort: peerPort,
		Seeds:     []netip.Addr{s.addr(0, 1), s.addr(0, 2), s.addr(0, 3)},
		StoreAddr: store, StopTimeout: stopTimeout, MaxFlowLifetime: time.Minute, ApplyDeadline: applyDeadline, DrainTime: drainTime,
		EvacuationDeadline: evacuationDeadline,
	}
	h.settingsPath = filepath.Join(s.cfg.Folder, h.settings.Name+".json")
	if err := os.WriteFile(h.settingsPath, s.cfg.Format.Settings(&h.settings), 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	h.log, err = os.Create(filepath.Join(s.cfg.Folder, h.settings.Name+".log"))
	return h, errors.Trace(err)
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(h.binary)
	cmd.Env = append(os.Environ(), h.s.cfg.Format.SettingsVariable()+"="+h.settingsPath)
	cmd.Stdout = h.log
	cmd.Stderr = h.log
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	h.cmd = cmd
	h.exited = make(chan struct{})
	h.stopping = false
	h.started = time.Now()
	h.disturbed = h.started
	h.s.checker.processStarted()
	exited := h.exited
	h.s.g.Go(func() error {
		// The process state has the exit status.
		_ = cmd.Wait()
		h.checkExit()
		close(exited)
		return nil
	})
	return nil
}

// checkExit records a violation if the process exited although the run sent it
// no signal that ends it.
func (h *host) checkExit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopping {
		h.s.checker.fail("process of %s exited unexpectedly: %s", h.settings.Name, h.cmd.ProcessState)
	}
}

// signal sends a signal to the process and records the time as a disturbance.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = time.Now()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		h.stopping = true
	}
	if h.cmd != nil {
		// checkExit reports a process that has exited already.
		_ = h.cmd.Process.Signal(sig)
	}
}

// kill kills the process and waits until it has exited.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// terminate performs a planned stop of the process and checks that it exits
// within the time limit and with status 0.
func (h *host) terminate(ctx context.Context) {
	h.signal(syscall.SIGTERM)
	h.mu.Lock()
	exited, cmd, age := h.exited, h.cmd, time.Since(h.started)
	h.mu.Unlock()
	limit := time.NewTimer(stopTimeout + stopSlack + h.s.cfg.Slack)
	defer limit.Stop()
	select {
	case <-exited:
		if code := cmd.ProcessState.ExitCode(); code != 0 {
			h.s.checker.fail("planned stop of %s, %v after its start, ended with %s", h.settings.Name, age, cmd.ProcessState)
		}
	case <-limit.C:
		h.s.checker.fail("planned stop of %s exceeded its time limit", h.settings.Name)
		h.kill()
	case <-ctx.Done():
	}
}

// undisturbed reports whether the process was neither started nor sent a signal
// within the last gracePeriod.
func (h *host) undisturbed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.disturbed) >= gracePeriod
}

// limitsApply reports whether the time limits apply to the host at an address:
// its process is undisturbed, and at least one host, the same or another, has
// both an undisturbed process and undisturbed connections to the store.
func (s *soak) limitsApply(addr netip.Addr) bool {
	storeReachable, hostUndisturbed := false, false
	for _, h := range s.hosts {
		undisturbed := h.undisturbed()
		storeReachable = storeReachable || (undisturbed && h.proxy.undisturbed())
		hostUndisturbed = hostUndisturbed || (undisturbed && h.settings.DataAddr.Addr() == addr)
	}
	return storeReachable && hostUndisturbed
}

// inRotation reports whether routers send packets to the host.
func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failedProbes < maxFailedProbes
}

// probe checks the readiness of the host at intervals, as routers do.
func (h *host) probe(ctx context.Context) error {
	c := &http.Client{Timeout: probeTimeout}
	url := "http://" + h.settings.ReadyAddr.String() + h.s.cfg.Format.ReadyPath()
	for ctx.Err() == nil {
		ready := false
		if res, err := c.Get(url); err == nil {
			ready = res.StatusCode == http.StatusOK
			_ = res.Body.Close()
		}
		h.mu.Lock()
		h.failedProbes++
		if ready {
			h.failedProbes = 0
		}
		h.mu.Unlock()
		hstask.Sleep(ctx, probeInterval)
	}
	return nil
}
