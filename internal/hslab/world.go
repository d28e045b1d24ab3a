package hslab

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hsentry"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hssettings"
)

type (
	// WorldConfig configures a World.
	WorldConfig struct {
		Estate *Estate
		Seed   uint64
		// Second byte of the loopback addresses 127.Net.x.y that the World uses.
		Net uint8
		// Factor applied to the number of callers of each service.
		Scale float64
		// Log of the entry hosts; nil discards it.
		Log io.Writer
	}

	// World runs entry hosts and simulated callers, targets, fabric and platform
	// over real sockets on loopback addresses.
	World struct {
		cfg      WorldConfig
		Platform *Platform
		Ledger   *Ledger
		groups   []*callerGroup
		// Socket of the callers' side of the fabric, and its address.
		gateway *net.UDPConn
		fabric  netip.AddrPort
		http    *http.Server
		// Entry hosts over which the fabric distributes packets at random.
		spray atomic.Pointer[[]netip.AddrPort]
		g     *errgroup.Group
		ctx   context.Context
		stop  context.CancelFunc
		// Numbers of the target and entry host addresses assigned last.
		nextT byte
		nextH byte
		// Request id assigned last.
		ids atomic.Uint64

		mu      sync.Mutex
		entries map[string]*runningEntry
		targets map[string]*targetTask
	}

	// runningEntry is an entry host that runs in this process.
	runningEntry struct {
		entry   *hsentry.Entry
		address netip.AddrPort
		// Starts the planned stop.
		leave context.CancelFunc
		// Closed once the entry host has stopped.
		done chan struct{}
	}

	// targetTask runs one simulated target on its own socket.
	targetTask struct {
		w      *World
		conn   *net.UDPConn
		server *Server
		rng    *rand.Rand
		// Copies of the server's counts for other tasks to read. Times are in
		// nanoseconds since the Unix epoch.
		connections atomic.Int64
		acceptedAt  atomic.Int64
		accepted    atomic.Int64
	}
)

const (
	// GenevePort is the UDP port of Geneve.
	GenevePort   = 6081
	controlPort  = 6082
	peerPort     = 6083
	platformPort = 6080
	labKey       = "000102030405060708090a0b0c0d0e0f"
	labTick      = 5 * time.Millisecond
	maxDatagram  = 16 * 1024
	socketBuffer = 4 << 20
	groupCount   = 8
	groupQueue   = 4096
)

// NewWorld starts the simulated platform and opens the fabric's socket.
func NewWorld(ctx context.Context, cfg WorldConfig) (*World, error) {
	ctx, stop := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	w := &World{
		cfg:      cfg,
		Platform: NewPlatform(),
		Ledger:   NewLedger(),
		g:        g,
		ctx:      ctx,
		stop:     stop,
		entries:  map[string]*runningEntry{},
		targets:  map[string]*targetTask{},
	}
	w.spray.Store(&[]netip.AddrPort{})
	w.fabric = netip.AddrPortFrom(w.addr(2, 1), GenevePort)
	var err error
	if w.gateway, err = w.listen(w.fabric); err != nil {
		stop()
		return nil, errors.Trace(err)
	}
	if err := w.servePlatform(); err != nil {
		stop()
		return nil, errors.Trace(err)
	}
	return w, nil
}

// NextTarget returns an unused address for a target.
func (w *World) NextTarget() netip.Addr {
	w.nextT++
	return w.addr(1, w.nextT)
}

// NextHost returns an unused address for an entry host.
func (w *World) NextHost() netip.Addr {
	w.nextH++
	return w.addr(0, w.nextH)
}

// Publish publishes the next manifest of the Estate on the platform.
func (w *World) Publish() (version uint64, err error) {
	data, err := w.cfg.Estate.Manifest()
	if err != nil {
		return 0, errors.Trace(err)
	}
	w.Platform.Publish(data)
	return w.cfg.Estate.Version, nil
}

// Spray sets the entry hosts over which the fabric distributes packets. It ignores
// names of hosts that do not run.
func (w *World) Spray(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := make([]netip.AddrPort, 0, len(names))
	for _, n := range names {
		if e := w.entries[n]; e != nil {
			hosts = append(hosts, e.address)
		}
	}
	w.spray.Store(&hosts)
}

// StartEntry starts an entry host in this process.
func (w *World) StartEntry(m Machine) error {
	values := map[string]string{
		"name":     m.Name,
		"address":  m.Address.String(),
		"zone":     m.Zone,
		"platform": w.PlatformURL(),
		"fabric":   w.fabric.String(),
		"key":      labKey,
		"drain":    "10s",
	}
	set, faults := hssettings.Parse(values)
	if faults != nil {
		return errors.Trace(faults)
	}
	set.Admin = netip.AddrPort{}
	out := w.cfg.Log
	if out == nil {
		out = io.Discard
	}
	e, err := hsentry.New(hsentry.Config{
		Settings: set,
		Boot:     uint64(time.Now().UnixMicro()),
		Logger:   &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}},
	})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, leave := context.WithCancel(w.ctx)
	run := &runningEntry{
		entry:   e,
		address: netip.AddrPortFrom(m.Address, GenevePort),
		leave:   leave,
		done:    make(chan struct{}),
	}
	w.mu.Lock()
	w.entries[m.Name] = run
	w.mu.Unlock()
	w.g.Go(func() error {
		defer close(run.done)
		defer leave()
		return e.Run(ctx)
	})
	return nil
}

// LeaveEntry starts the planned stop of an entry host and returns a channel that
// is closed when the stop is over.
func (w *World) LeaveEntry(name string) <-chan struct{} {
	run := w.take(name)
	run.leave()
	return run.done
}

// take removes an entry host from the running ones and returns it.
func (w *World) take(name string) *runningEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := w.entries[name]
	delete(w.entries, name)
	return run
}

// Entries returns the status of the entry hosts that run and are not in a planned
// stop.
func (w *World) Entries(ctx context.Context) []hsentry.Status {
	w.mu.Lock()
	var list []*hsentry.Entry
	for _, run := range w.entries {
		list = append(list, run.entry)
	}
	w.mu.Unlock()
	var out []hsentry.Status
	for _, e := range list {
		if st, ok := e.Status(ctx); ok {
			out = append(out, st)
		}
	}
	return out
}

// AwaitVersion waits until the manifest of all running entry hosts has at least
// the version and all of them place new flows, and returns how long that took.
func (w *World) AwaitVersion(ctx context.Context, version uint64) (time.Duration, error) {
	start := time.Now()
	for {
		all := true
		for _, st := range w.Entries(ctx) {
			all = all && st.Version >= version && !st.Paused
		}
		if all {
			return time.Since(start), nil
		}
		if err := pause(ctx, labTick); err != nil {
			return 0, err
		}
	}
}

// StartTarget starts a simulated target.
func (w *World) StartTarget(m Machine) error {
	conn, err := w.listen(netip.AddrPortFrom(m.Address, GenevePort))
	if err != nil {
		return errors.Trace(err)
	}
	seed := w.cfg.Seed + uint64(m.Address.As4()[3])<<8
	rng := rand.New(rand.NewPCG(seed, 1))
	t := &targetTask{
		w:      w,
		conn:   conn,
		rng:    rng,
		server: NewServer(w.cfg.Estate.Listens(m.Pool), w.cfg.Estate.Slots(m.Pool), rng, w.Ledger),
	}
	w.mu.Lock()
	w.targets[m.Name] = t
	w.mu.Unlock()
	w.g.Go(t.run)
	return nil
}

// Close kills the entry hosts, stops all tasks and waits for their end.
func (w *World) Close() error {
	w.mu.Lock()
	for _, run := range w.entries {
		run.entry.Kill()
	}
	w.mu.Unlock()
	w.stop()
	_ = w.gateway.Close()
	_ = w.http.Close()
	return errors.Trace(w.g.Wait())
}

// PlatformURL returns the URL of the manifest on the simulated platform.
func (w *World) PlatformURL() string {
	return "http://" + netip.AddrPortFrom(w.addr(2, 2), platformPort).String() + "/manifest"
}

func (w *World) servePlatform() error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(w.addr(2, 2), platformPort).String())
	if err != nil {
		return errors.Trace(err)
	}
	w.http = &http.Server{Handler: w.Platform, ReadHeaderTimeout: time.Second}
	w.g.Go(func() error {
		if err := w.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Trace(err)
		}
		return nil
	})
	return nil
}

// addr returns loopback address n of a kind: 0 for entry hosts, 1 for targets, 2
// for fabric and platform.
func (w *World) addr(kind, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.cfg.Net, kind, n})
}

func (w *World) listen(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Trace(err)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// toEntry sends a packet from conn to a random entry host, as the fabric does.
func (w *World) toEntry(rng *rand.Rand, conn *net.UDPConn, s hspacket.Spec) {
	hosts := *w.spray.Load()
	inner, err := hspacket.Write(s)
	if err != nil || len(hosts) == 0 {
		return
	}
	buf := make([]byte, hspacket.Headroom+len(inner))
	copy(buf[hspacket.Headroom:], inner)
	start := hspacket.Prepend(buf, hspacket.Headroom, &hspacket.Steer{})
	_, _ = conn.WriteToUDPAddrPort(buf[start:], hosts[rng.IntN(len(hosts))])
}

func (t *targetTask) run() error {
	defer func() { _ = t.conn.Close() }()
	buf := make([]byte, maxDatagram)
	var dec hspacket.Decoder
	var p hspacket.Packet
	ticked := time.Now()
	for t.w.ctx.Err() == nil {
		_ = t.conn.SetReadDeadline(t.server.Next(ticked.Add(labTick)))
		n, _, err := t.conn.ReadFromUDPAddrPort(buf)
		now := time.Now()
		if err == nil && dec.Decode(buf[:n], &p) == 0 {
			t.server.Input(now, &p)
		}
		t.server.Work(now)
		if now.Sub(ticked) >= labTick {
			ticked = now
			t.server.Tick(now)
			t.publish()
		}
		for _, s := range t.server.Take() {
			t.w.toEntry(t.rng, t.conn, s)
		}
	}
	return nil
}

// publish copies the server's counts for other tasks.
func (t *targetTask) publish() {
	t.connections.Store(int64(t.server.Connections()))
	t.acceptedAt.Store(t.server.AcceptedAt.UnixNano())
	t.accepted.Store(int64(t.server.Accepted))
}

// pause waits for d, or returns an error if ctx ends before.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// SprayMachines does the same as Spray for entry hosts that run as separate
// processes.
func (w *World) SprayMachines(hosts []Machine) {
	list := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, netip.AddrPortFrom(h.Address, GenevePort))
	}
	w.spray.Store(&list)
}

// NetByte returns a value for WorldConfig.Net: n if it is not zero, and else one
// derived from the process id, so that concurrent processes rarely share addresses.
func NetByte(n uint8) uint8 {
	const first, choice = 16, 200
	if n != 0 {
		return n
	}
	return uint8(first + os.Getpid()%choice)
}
