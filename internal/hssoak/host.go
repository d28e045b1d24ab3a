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

// host is one hsdirect process with its proxy in front of the store.
type host struct {
	s        *soak
	settings hsdirect.Settings
	path     string
	log      *os.File
	proxy    *proxy

	// Held by the fault that has the process in its hands.
	busy sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// Closed when the present process has ended.
	ended chan struct{}
	// True while the run wants the process to end.
	ending bool
	// Time of the last trouble that was made for the process.
	trouble time.Time
	misses  int
}

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// missesMost is the number of misses in a row after which routers send
	// nothing more to a host.
	missesMost = 2
	// stopLimit is the time limit of a planned stop in the settings, and
	// stopSlack what a busy machine may add to it.
	stopLimit = 5 * time.Second
	stopSlack = 3 * time.Second
)

func (s *soak) newHost(ctx context.Context, i int) (*host, error) {
	addr := s.addr(0, byte(i+1))
	store := netip.AddrPortFrom(s.addr(3, byte(i+1)), storePort)
	p, err := newProxy(ctx, s.g, store, netip.AddrPortFrom(s.addr(4, 1), storePort))
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := &host{s: s, proxy: p, trouble: time.Now()}
	h.settings = hsdirect.Settings{
		Name: "h" + addr.String(), Zone: zoneName(i % zoneCount),
		Data: netip.AddrPortFrom(addr, dataPort), Ready: netip.AddrPortFrom(addr, readyPort), Peer: peerPort,
		Seeds: []netip.Addr{s.addr(0, 1), s.addr(0, 2), s.addr(0, 3)},
		Store: store, Stop: stopLimit, Life: time.Minute, Force: forceBound, Drain: drainBound,
	}
	h.path = filepath.Join(s.cfg.Folder, h.settings.Name+".json")
	if err := os.WriteFile(h.path, s.cfg.Format.Settings(&h.settings), 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	h.log, err = os.Create(filepath.Join(s.cfg.Folder, h.settings.Name+".log"))
	return h, errors.Trace(err)
}

// start starts the process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(h.s.cfg.Binary)
	cmd.Env = append(os.Environ(), h.s.cfg.Format.SettingsVariable()+"="+h.path)
	cmd.Stdout = h.log
	cmd.Stderr = h.log
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	h.cmd = cmd
	h.ended = make(chan struct{})
	h.ending = false
	h.trouble = time.Now()
	h.s.ledger.processStarted()
	ended := h.ended
	h.s.g.Go(func() error {
		// How it ended is read from the process's state.
		_ = cmd.Wait()
		h.noteEnd()
		close(ended)
		return nil
	})
	return nil
}

// noteEnd checks that the process did not end by itself.
func (h *host) noteEnd() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ending {
		h.s.ledger.fail("process of %s ended by itself: %s", h.settings.Name, h.cmd.ProcessState)
	}
}

// signal sends a signal to the process, which is noted as trouble.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trouble = time.Now()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		h.ending = true
	}
	if h.cmd != nil {
		// A process that has ended already is noted elsewhere.
		_ = h.cmd.Process.Signal(sig)
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// terminate stops the process as planned and checks that it ends in time and
// without an error.
func (h *host) terminate(ctx context.Context) {
	h.signal(syscall.SIGTERM)
	h.mu.Lock()
	ended, cmd := h.ended, h.cmd
	h.mu.Unlock()
	limit := time.NewTimer(stopLimit + stopSlack + h.s.cfg.Slack)
	defer limit.Stop()
	select {
	case <-ended:
		if code := cmd.ProcessState.ExitCode(); code != 0 {
			h.s.ledger.fail("planned stop of %s ended with %s", h.settings.Name, cmd.ProcessState)
		}
	case <-limit.C:
		h.s.ledger.fail("planned stop of %s did not end within its limit", h.settings.Name)
		h.kill()
	case <-ctx.Done():
	}
}

// calm reports whether nothing was done to the process for the time after which
// bounds hold for it.
func (h *host) calm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.trouble) >= contactTime
}

// inTouch reports whether bounds hold for the host at an address: nothing was
// done to its process lately, and the store answers it or some other host that
// nothing was done to.
func (s *soak) inTouch(at netip.Addr) bool {
	served, found := false, false
	for _, h := range s.hosts {
		calm := h.calm()
		served = served || (calm && h.proxy.calm())
		found = found || (calm && h.settings.Data.Addr() == at)
	}
	return served && found
}

// inRotation reports whether routers send packets to the host.
func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.misses < missesMost
}

// probe asks for readiness as routers do.
func (h *host) probe(ctx context.Context) error {
	c := &http.Client{Timeout: probeTimeout}
	url := "http://" + h.settings.Ready.String() + h.s.cfg.Format.ReadyPath()
	for ctx.Err() == nil {
		ready := false
		if res, err := c.Get(url); err == nil {
			ready = res.StatusCode == http.StatusOK
			_ = res.Body.Close()
		}
		h.mu.Lock()
		h.misses++
		if ready {
			h.misses = 0
		}
		h.mu.Unlock()
		hstask.Sleep(ctx, probeInterval)
	}
	return nil
}
