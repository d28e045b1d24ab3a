package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hsdirect"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hshttp"
	"heatherstack.org/heatherstack/internal/hstask"
	"heatherstack.org/heatherstack/platform"
)

type (
	// world is a small deployment on loopback addresses.
	world struct {
		sc      *scenario
		rec     *recorder
		g       *errgroup.Group
		store   *platform.FakeStore
		subnet  byte
		hosts   []*host
		servers []*server
		clients []*client
		lastID  atomic.Uint64
		// True from the time at which results count.
		judging atomic.Bool
		// Counts the requests that clients begin now; nil if they don't count.
		tally atomic.Pointer[tally]

		mu sync.Mutex
		// Open flows by the client's end.
		owners map[netip.AddrPort]*server
	}

	// host is a process of the project.
	host struct {
		zone     string
		settings hsdirect.Settings
		// Program, path of the settings file, and file for the log.
		binary string
		path   string
		log    *os.File
		cmd    *exec.Cmd
		failed atomic.Int32
	}

	// tally counts the requests of clients, and those that were served.
	tally struct {
		sent   atomic.Int64
		served atomic.Int64
	}

	// plainHeader removes the headers of the answers of the store that the pages do
	// not name.
	plainHeader struct{ http.ResponseWriter }
)

const (
	dataPort   = 8172
	readyPort  = 8167
	peerPort   = 7720
	storePort  = 8169
	serverPort = 8080
	slotCount  = 3
	// The second byte of the addresses is one of subnetCount from firstSubnet on.
	firstSubnet = 20
	subnetCount = 200

	storeDelay    = 4 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	maxFailed     = 2
	readyTimeout  = 12 * time.Second
	contactTime   = 5 * time.Second
	drainTime     = 3 * time.Second
	graceTime     = 5 * time.Second
)

// Routes of the two services.
var (
	deskRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	vaultRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

const (
	desk  = "race-desk"
	vault = "cert-vault"
)

// WriteHeader removes the header before the others are sent.
func (w plainHeader) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// addr returns a loopback address. kind is 0 for hosts, 1 for servers, 2 for clients
// and 3 for the store.
func (w *world) addr(kind, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.subnet, kind, n})
}

// start starts the store, the servers, the hosts and the routers' probes.
func (w *world) start(ctx context.Context, binary, folder string) error {
	if err := w.startStore(ctx); err != nil {
		return err
	}
	zones := []string{"bcs-a", "bcs-b", "bcs-c"}
	for n := range byte(9) {
		if err := w.addServer(ctx, desk, zones[n%3], n+1); err != nil {
			return err
		}
	}
	for n := range byte(3) {
		if err := w.addServer(ctx, vault, zones[n%3], n+20); err != nil {
			return err
		}
	}
	w.publish(firstVersion)
	for n, zone := range []string{zones[0], zones[0], zones[1], zones[1], zones[1], zones[2]} {
		if err := w.addHost(ctx, binary, folder, zone, byte(n+1)); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		for n := range byte(4) {
			c, err := w.addClient(ctx, zone, byte(10*i)+n+1)
			if err != nil {
				return err
			}
			w.clients = append(w.clients, c)
		}
	}
	for end := time.Now().Add(readyTimeout); !w.allReady(); hstask.Sleep(ctx, probeInterval) {
		if time.Now().After(end) {
			return errors.New("hosts are not ready")
		}
	}
	return nil
}

// publish writes a configuration with the given routes of race-desk beside the others.
func (w *world) publish(version uint64, added ...netip.AddrPort) {
	c := &hsfeed.Configuration{
		Version: version, IdleTimeout: 15 * time.Second,
		Routes: []hsfeed.Route{newRoute(deskRoute, desk, 1), newRoute(vaultRoute, vault, 2)},
		Services: []hsfeed.Service{
			{Name: desk, HealthPath: "/health", MaxConnections: 2000},
			{Name: vault, HealthPath: "/health", MaxConnections: 2000},
		},
	}
	for _, at := range added {
		c.Routes = append(c.Routes, newRoute(at, desk, 1))
	}
	w.store.Publish(&hsfeed.Event{Configuration: c})
}

func newRoute(at netip.AddrPort, service string, priority int) hsfeed.Route {
	return hsfeed.Route{
		Address: at, Shares: []hsfeed.Share{{Service: service, Weight: 1}},
		Timeout: 5 * time.Second, LatencyObjective: 300 * time.Millisecond, Priority: priority,
	}
}

func (w *world) startStore(ctx context.Context) error {
	l, err := hstask.ListenTCP(netip.AddrPortFrom(w.addr(3, 1), storePort))
	for range subnetCount {
		if err == nil {
			break
		}
		// Another run uses the addresses.
		w.subnet = firstSubnet + (w.subnet+1-firstSubnet)%subnetCount
		l, err = hstask.ListenTCP(netip.AddrPortFrom(w.addr(3, 1), storePort))
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		hstask.Sleep(r.Context(), storeDelay)
		w.store.ServeHTTP(plainHeader{rw}, r)
	})
	w.g.Go(func() error { return hshttp.Serve(ctx, l, handler) })
	return nil
}

func (w *world) addHost(ctx context.Context, binary, folder, zone string, n byte) error {
	addr := w.addr(0, n)
	h := &host{zone: zone, settings: hsdirect.Settings{
		Name: "edge-" + strconv.Itoa(int(n)), Zone: zone,
		DataAddr: netip.AddrPortFrom(addr, dataPort), ReadyAddr: netip.AddrPortFrom(addr, readyPort), PeerPort: peerPort,
		Seeds:     []netip.Addr{w.addr(0, 1), w.addr(0, 3), w.addr(0, 6)},
		StoreAddr: netip.AddrPortFrom(w.addr(3, 1), storePort), StopTimeout: graceTime, MaxFlowLifetime: time.Minute,
		ApplyDeadline: w.sc.bound, DrainTime: w.sc.bound,
	}}
	var fields map[string]any
	if err := json.Unmarshal(platform.Format{}.Settings(&h.settings), &fields); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	fields["contracts"] = w.sc.contracts
	data, err := json.Marshal(fields)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	path := filepath.Join(folder, h.settings.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	log, err := os.Create(filepath.Join(folder, h.settings.Name+".log"))
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	h.binary, h.path, h.log = binary, path, log
	if err := h.start(); err != nil {
		return err
	}
	h.failed.Store(maxFailed)
	w.hosts = append(w.hosts, h)
	w.g.Go(func() error {
		h.probe(ctx)
		return nil
	})
	return nil
}

// start starts the process of the host.
func (h *host) start() error {
	h.cmd = exec.Command(h.binary)
	h.cmd.Env = append(os.Environ(), platform.Format{}.SettingsVariable()+"="+h.path)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	// The process ends with the one that started it.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return fmt.Errorf("host: %w", err)
	}
	return nil
}

// kill kills the process of the host.
func (h *host) kill() {
	_ = h.cmd.Process.Kill()
	// A killed process returns an error.
	_ = h.cmd.Wait()
}

// probe checks the readiness of the host, as the routers do.
func (h *host) probe(ctx context.Context) {
	c := &http.Client{Timeout: probeInterval}
	url := "http://" + h.settings.ReadyAddr.String() + platform.Format{}.ReadyPath()
	for ctx.Err() == nil {
		if res, err := c.Get(url); err != nil {
			h.failed.Add(1)
		} else {
			if h.failed.Add(1); res.StatusCode == http.StatusOK {
				h.failed.Store(0)
			}
			_ = res.Body.Close()
		}
		hstask.Sleep(ctx, probeInterval)
	}
}

func (h *host) inRotation() bool { return h.failed.Load() < maxFailed }

func (w *world) allReady() bool {
	for _, h := range w.hosts {
		if !h.inRotation() {
			return false
		}
	}
	return true
}

func (w *world) isHost(a netip.AddrPort) bool {
	return a.Addr().As4()[2] == 0
}

// route returns the host that the routers of a zone select for a flow: by a hash
// modulo the number of hosts in rotation.
func (w *world) route(zone string, from, to netip.AddrPort) (netip.AddrPort, bool) {
	var local, all []netip.AddrPort
	for _, h := range w.hosts {
		if !h.inRotation() {
			continue
		}
		all = append(all, h.settings.DataAddr)
		if h.zone == zone {
			local = append(local, h.settings.DataAddr)
		}
	}
	if len(local) == 0 {
		local = all
	}
	if len(local) == 0 {
		return netip.AddrPort{}, false
	}
	hash := (uint64(from.Port())*2654435761 + uint64(from.Addr().As4()[3])*40503 + uint64(to.Addr().As4()[3])*97) >> 4
	return local[hash%uint64(len(local))], true
}

func (w *world) newRequestID() string { return fmt.Sprintf("q-%d", w.lastID.Add(1)) }

// flowOpened records the server that has the end of a flow's handshake.
func (w *world) flowOpened(s *server, f *serverFlow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owners[f.from] = s
	if w.sc.judgeOpened != nil {
		w.sc.judgeOpened(w, s, f)
	}
}

// requestRun records a request that a server began to work on.
func (w *world) requestRun(s *server, to netip.AddrPort, id string) {
	w.rec.line("run", "%s: request %s", s.name(), id)
	service := desk
	if to == vaultRoute {
		service = vault
	}
	if service != s.entry.Service {
		w.rec.violation("ROUTE: request %s to %s, a route of %s only, was run by %s", id, to, service, s.name())
	}
}

// flowReset records that a client's open flow was reset, while it waited for the
// answer to a request if id is not empty.
func (w *world) flowReset(f *clientFlow, a *answer, id string) {
	w.rec.line("reset", "%s at %s: reset by %s", f, f.server, a.sender)
	if id != "" {
		w.requestLost(f, id, "the flow was reset")
	}
	w.mu.Lock()
	s := w.owners[f.from]
	w.mu.Unlock()
	if !w.judging.Load() || s == nil || s.hasEnded() || a.sender == s.entry.Address {
		return
	}
	w.rec.violation("FLOW: %s was reset by %s although %s lives and holds it", f, a.sender, s.name())
}

func (w *world) requestLost(f *clientFlow, id, why string) {
	w.rec.line("lost", "%s at %s: request %s was not answered: %s", f, f.server, id, why)
}

// stop ends all hosts.
func (w *world) stop() {
	for _, h := range w.hosts {
		h.kill()
	}
}
