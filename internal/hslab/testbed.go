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
	// TestbedConfig configures a Testbed.
	TestbedConfig struct {
		Deployment *Deployment
		Seed       uint64
		// Second byte of the loopback addresses, 127.N.x.y.
		Subnet uint8
		// Factor applied to the number of callers of each service.
		Scale float64
		// Log of the entry hosts; nil discards it.
		Log io.Writer
	}

	// Testbed runs entry hosts and simulated callers, targets, fabric and
	// platform over real sockets on loopback addresses.
	Testbed struct {
		cfg          TestbedConfig
		Platform     *Platform
		Ledger       *Ledger
		callerGroups []*callerGroup
		// Socket of the callers' side of the fabric, and its address.
		fabricConn *net.UDPConn
		fabricAddr netip.AddrPort
		http       *http.Server
		// Entry hosts over which the fabric distributes packets at random.
		nextHops atomic.Pointer[[]netip.AddrPort]
		g        *errgroup.Group
		ctx      context.Context
		stop     context.CancelFunc
		// Numbers of the target and entry host addresses assigned last.
		lastTarget byte
		lastHost   byte
		// Request id assigned last.
		lastRequestID atomic.Uint64

		mu      sync.Mutex
		entries map[string]*runningEntry
		targets map[string]*targetTask
	}

	// runningEntry is an entry host that runs in this process.
	runningEntry struct {
		entry   *hsentry.EntryHost
		address netip.AddrPort
		// Starts the planned stop.
		stop context.CancelFunc
		// Closed once the entry host has stopped.
		done chan struct{}
	}

	// targetTask runs one simulated target on its own socket.
	targetTask struct {
		bed    *Testbed
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
	GenevePort       = 6081
	controlPort      = 6082
	peerPort         = 6083
	platformPort     = 6080
	testKey          = "000102030405060708090a0b0c0d0e0f"
	tickInterval     = 5 * time.Millisecond
	maxDatagram      = 16 * 1024
	socketBuffer     = 4 << 20
	callerGroupCount = 8
	callerQueueSize  = 4096
)

// NewTestbed starts the simulated platform and opens the fabric's socket.
func NewTestbed(ctx context.Context, cfg TestbedConfig) (*Testbed, error) {
	ctx, stop := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	bed := &Testbed{
		cfg:      cfg,
		Platform: NewPlatform(),
		Ledger:   NewLedger(),
		g:        g,
		ctx:      ctx,
		stop:     stop,
		entries:  map[string]*runningEntry{},
		targets:  map[string]*targetTask{},
	}
	bed.nextHops.Store(&[]netip.AddrPort{})
	bed.fabricAddr = netip.AddrPortFrom(bed.addr(2, 1), GenevePort)
	var err error
	if bed.fabricConn, err = bed.listen(bed.fabricAddr); err != nil {
		stop()
		return nil, errors.Trace(err)
	}
	if err := bed.servePlatform(); err != nil {
		stop()
		return nil, errors.Trace(err)
	}
	return bed, nil
}

// NextTargetAddr returns an unused address for a target.
func (bed *Testbed) NextTargetAddr() netip.Addr {
	bed.lastTarget++
	return bed.addr(1, bed.lastTarget)
}

// NextHostAddr returns an unused address for an entry host.
func (bed *Testbed) NextHostAddr() netip.Addr {
	bed.lastHost++
	return bed.addr(0, bed.lastHost)
}

// Publish publishes the next manifest on the platform.
func (bed *Testbed) Publish() (version uint64, err error) {
	data, err := bed.cfg.Deployment.Manifest()
	if err != nil {
		return 0, errors.Trace(err)
	}
	bed.Platform.Publish(data)
	return bed.cfg.Deployment.Version, nil
}

// SetNextHops sets the entry hosts over which the fabric distributes packets.
// It ignores names of hosts that do not run.
func (bed *Testbed) SetNextHops(names ...string) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	hosts := make([]netip.AddrPort, 0, len(names))
	for _, n := range names {
		if e := bed.entries[n]; e != nil {
			hosts = append(hosts, e.address)
		}
	}
	bed.nextHops.Store(&hosts)
}

// StartEntry starts an entry host in this process.
func (bed *Testbed) StartEntry(m Machine) error {
	values := map[string]string{
		"name":     m.Name,
		"address":  m.Address.String(),
		"zone":     m.Zone,
		"platform": bed.PlatformURL(),
		"fabric":   bed.fabricAddr.String(),
		"key":      testKey,
		"drain":    "10s",
	}
	set, faults := hssettings.Parse(values)
	if faults != nil {
		return errors.Trace(faults)
	}
	set.AdminAddr = netip.AddrPort{}
	out := bed.cfg.Log
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
	ctx, stop := context.WithCancel(bed.ctx)
	run := &runningEntry{
		entry:   e,
		address: netip.AddrPortFrom(m.Address, GenevePort),
		stop:    stop,
		done:    make(chan struct{}),
	}
	bed.mu.Lock()
	bed.entries[m.Name] = run
	bed.mu.Unlock()
	bed.g.Go(func() error {
		defer close(run.done)
		defer stop()
		return e.Run(ctx)
	})
	return nil
}

// StopEntry starts the planned stop of an entry host and returns a channel that
// is closed when the stop is over.
func (bed *Testbed) StopEntry(name string) <-chan struct{} {
	run := bed.removeEntry(name)
	run.stop()
	return run.done
}

// removeEntry removes an entry host from the running ones and returns it.
func (bed *Testbed) removeEntry(name string) *runningEntry {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	run := bed.entries[name]
	delete(bed.entries, name)
	return run
}

// EntryStatuses returns the status of the entry hosts that run and are not in a
// planned stop.
func (bed *Testbed) EntryStatuses(ctx context.Context) []hsentry.Status {
	bed.mu.Lock()
	var list []*hsentry.EntryHost
	for _, run := range bed.entries {
		list = append(list, run.entry)
	}
	bed.mu.Unlock()
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
func (bed *Testbed) AwaitVersion(ctx context.Context, version uint64) (time.Duration, error) {
	start := time.Now()
	for {
		allCurrent := true
		for _, st := range bed.EntryStatuses(ctx) {
			allCurrent = allCurrent && st.Version >= version && !st.Paused
		}
		if allCurrent {
			return time.Since(start), nil
		}
		if err := sleep(ctx, tickInterval); err != nil {
			return 0, err
		}
	}
}

// StartTarget starts a simulated target.
func (bed *Testbed) StartTarget(m Machine) error {
	conn, err := bed.listen(netip.AddrPortFrom(m.Address, GenevePort))
	if err != nil {
		return errors.Trace(err)
	}
	seed := bed.cfg.Seed + uint64(m.Address.As4()[3])<<8
	rng := rand.New(rand.NewPCG(seed, 1))
	t := &targetTask{
		bed:    bed,
		conn:   conn,
		rng:    rng,
		server: NewServer(bed.cfg.Deployment.Listeners(m.Pool), bed.cfg.Deployment.Slots(m.Pool), rng, bed.Ledger),
	}
	bed.mu.Lock()
	bed.targets[m.Name] = t
	bed.mu.Unlock()
	bed.g.Go(t.run)
	return nil
}

// Close kills the entry hosts, stops all tasks and waits for their end.
func (bed *Testbed) Close() error {
	bed.mu.Lock()
	for _, run := range bed.entries {
		run.entry.Kill()
	}
	bed.mu.Unlock()
	bed.stop()
	_ = bed.fabricConn.Close()
	_ = bed.http.Close()
	return errors.Trace(bed.g.Wait())
}

// PlatformURL returns the URL of the manifest on the simulated platform.
func (bed *Testbed) PlatformURL() string {
	return "http://" + netip.AddrPortFrom(bed.addr(2, 2), platformPort).String() + "/manifest"
}

func (bed *Testbed) servePlatform() error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(bed.addr(2, 2), platformPort).String())
	if err != nil {
		return errors.Trace(err)
	}
	bed.http = &http.Server{Handler: bed.Platform, ReadHeaderTimeout: time.Second}
	bed.g.Go(func() error {
		if err := bed.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Trace(err)
		}
		return nil
	})
	return nil
}

// addr returns loopback address n of a kind: 0 for entry hosts, 1 for targets,
// 2 for fabric and platform.
func (bed *Testbed) addr(kind, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, bed.cfg.Subnet, kind, n})
}

func (bed *Testbed) listen(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Trace(err)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// sendToEntry sends a packet from conn to a random entry host, as the fabric
// does.
func (bed *Testbed) sendToEntry(rng *rand.Rand, conn *net.UDPConn, s hspacket.Spec) {
	hosts := *bed.nextHops.Load()
	inner, err := hspacket.Build(s)
	if err != nil || len(hosts) == 0 {
		return
	}
	buf := make([]byte, hspacket.Headroom+len(inner))
	copy(buf[hspacket.Headroom:], inner)
	start := hspacket.PrependHeader(buf, hspacket.Headroom, &hspacket.Steering{})
	_, _ = conn.WriteToUDPAddrPort(buf[start:], hosts[rng.IntN(len(hosts))])
}

func (t *targetTask) run() error {
	defer func() { _ = t.conn.Close() }()
	buf := make([]byte, maxDatagram)
	var dec hspacket.Decoder
	var p hspacket.Packet
	lastTick := time.Now()
	for t.bed.ctx.Err() == nil {
		_ = t.conn.SetReadDeadline(t.server.NextCompletion(lastTick.Add(tickInterval)))
		n, _, err := t.conn.ReadFromUDPAddrPort(buf)
		now := time.Now()
		if err == nil && dec.Decode(buf[:n], &p) == 0 {
			t.server.Input(now, &p)
		}
		t.server.CompleteRequests(now)
		if now.Sub(lastTick) >= tickInterval {
			lastTick = now
			t.server.Tick(now)
			t.publishCounts()
		}
		for _, s := range t.server.TakePackets() {
			t.bed.sendToEntry(t.rng, t.conn, s)
		}
	}
	return nil
}

// publishCounts copies the server's counts for other tasks.
func (t *targetTask) publishCounts() {
	t.connections.Store(int64(t.server.Connections()))
	t.acceptedAt.Store(t.server.LastAcceptedAt.UnixNano())
	t.accepted.Store(int64(t.server.Accepted))
}

// sleep waits for d, or returns an error if ctx ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// SetNextHopMachines sets the entry hosts over which the fabric distributes
// packets, for hosts that run as separate processes.
func (bed *Testbed) SetNextHopMachines(hosts []Machine) {
	list := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, netip.AddrPortFrom(h.Address, GenevePort))
	}
	bed.nextHops.Store(&list)
}

// ChooseSubnet returns the second byte of the loopback addresses: n if it is
// not zero, and else a number derived from the process id, so that concurrent
// processes rarely use the same addresses.
func ChooseSubnet(n uint8) uint8 {
	const first, choice = 16, 200
	if n != 0 {
		return n
	}
	return uint8(first + os.Getpid()%choice)
}
