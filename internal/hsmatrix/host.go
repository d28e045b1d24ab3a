package hsmatrix

import (
	"net/netip"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscontrol"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsowner"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// Decider is the decision core of the data path, or a baseline that it is
	// compared with.
	Decider interface {
		Step(now time.Time, in *hsowner.Input, out []hsowner.Output) []hsowner.Output
	}

	// Host is a simulated entry host. It connects the two real cores, those of
	// hscontrol and hsowner, as the tasks of hsentry do.
	Host struct {
		Name string
		Addr netip.Addr
		Zone string
		// Additional delay until this host sees a change on the platform.
		ManifestDelay time.Duration

		n       *Net
		control *hscontrol.Core
		core    Decider
		// Incremented by each start and crash, so that timers from before do
		// nothing.
		runID   int
		running bool
		paused  bool
		// Messages that arrived while the process was paused.
		backlog  []func()
		lastTick time.Time
		// Time until which datagrams are dropped, since they may have waited in
		// the socket while the process was paused.
		dropDatagramsUntil time.Time
		// Time of the last packet from the fabric.
		lastTraffic time.Time
		leaving     bool
		// True once a planned stop is complete.
		Stopped bool
	}
)

const (
	probeInterval   = 250 * time.Millisecond
	suspectTimeout  = 400 * time.Millisecond
	lease           = time.Second
	reportInterval  = 250 * time.Millisecond
	idleAfter       = time.Second
	flowIdleTimeout = 2 * time.Hour
	maxFlows        = 1_000_000
	maxBacklog      = 4096
)

// AddHost adds and starts an entry host.
func (n *Net) AddHost(name, zone string, a netip.Addr) *Host {
	h := &Host{Name: name, Addr: a, Zone: zone, n: n}
	n.Hosts = append(n.Hosts, h)
	n.hostByAddr[a] = h
	h.Start()
	return h
}

// Start starts the host without state, with a new boot number.
func (h *Host) Start() {
	h.n.lastBoot++
	h.runID++
	h.running = true
	h.paused = false
	h.leaving = false
	h.Stopped = false
	h.core = nil
	h.backlog = nil
	h.lastTick = h.n.Now
	h.lastTraffic = h.n.Now
	h.control = hscontrol.New(hscontrol.Config{
		Self:           h.Name,
		Boot:           h.n.lastBoot,
		ProbeInterval:  probeInterval,
		SuspectTimeout: suspectTimeout,
		PauseThreshold: lease,
		StartTime:      h.n.Now,
	})
	h.every(hsowner.TickInterval, h.tickCore)
	h.every(hscontrol.TickInterval, func() { h.apply(h.control.Tick(h.n.Now)) })
	h.every(reportInterval, h.reportLoads)
	h.readPlatform()
}

// Crash stops the host at once.
func (h *Host) Crash() {
	h.running = false
	h.runID++
}

// Pause pauses the process for d, while its sockets go on receiving.
func (h *Host) Pause(d time.Duration) {
	h.paused = true
	runID := h.runID
	h.n.After(d, func() {
		if h.runID == runID {
			h.resume()
		}
	})
}

// Leave starts the planned stop.
func (h *Host) Leave() {
	h.leaving = true
	h.apply(h.control.Leave(h.n.Now))
}

// Version returns the version of the host's current manifest, or zero.
func (h *Host) Version() uint64 {
	if m, _ := h.control.CurrentManifest(); m != nil && h.running {
		return m.Version
	}
	return 0
}

// Ready reports whether the host answers the fabric's health check.
func (h *Host) Ready() bool {
	return h.running && h.core != nil && !h.control.Unconfirmed()
}

// Core returns the hsowner core, or nil if the host has no core yet or runs a
// baseline.
func (h *Host) Core() *hsowner.Core {
	core, _ := h.core.(*hsowner.Core)
	return core
}

func (h *Host) every(d time.Duration, f func()) {
	runID := h.runID
	var again func()
	again = func() {
		if h.runID != runID {
			return
		}
		if !h.paused {
			f()
		}
		h.n.After(d, again)
	}
	h.n.After(d, again)
}

// resume ends a pause and handles the messages that arrived during it.
func (h *Host) resume() {
	h.paused = false
	backlog := h.backlog
	h.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// runOrDefer runs f now, or at the end of the pause if the process is paused. A
// host that does not run, or whose backlog is full, drops f.
func (h *Host) runOrDefer(f func()) {
	switch {
	case !h.running:
	case !h.paused:
		f()
	case len(h.backlog) < maxBacklog:
		h.backlog = append(h.backlog, f)
	}
}

func (h *Host) receive(m message) {
	h.runOrDefer(func() { h.handlePacket(m) })
}

func (h *Host) handlePacket(m message) {
	h.checkPause()
	if h.core == nil {
		return
	}
	p := hspacket.Packet{Steering: m.steering}
	if !m.steering.Kind.IsControl() {
		if h.n.dec.DecodeInner(m.inner, &p) != hscode.OK {
			return
		}
		if h.n.Now.Before(h.dropDatagramsUntil) && p.Seg.Flags == 0 {
			return
		}
	}
	if m.steering.Kind == hspacket.KindNone {
		h.lastTraffic = h.n.Now
	}
	h.step(&hsowner.Input{Kind: hsowner.InPacket, Packet: &p, From: m.from}, m.inner)
}

func (h *Host) step(in *hsowner.Input, inner []byte) {
	if !h.running || h.core == nil {
		return
	}
	h.n.carryOut(h, h.core.Step(h.n.Now, in, nil), inner)
}

// checkPause does what the switch task of hsentry does if its last tick is
// longer ago than the lease.
func (h *Host) checkPause() {
	if h.n.Now.Sub(h.lastTick) <= lease {
		return
	}
	h.lastTick = h.n.Now
	h.dropDatagramsUntil = h.n.Now.Add(time.Millisecond)
	h.step(&hsowner.Input{Kind: hsowner.InPause}, nil)
	h.apply(h.control.ReportPause(h.n.Now))
}

func (h *Host) tickCore() {
	h.checkPause()
	h.lastTick = h.n.Now
	h.step(&hsowner.Input{Kind: hsowner.InTick}, nil)
}

func (h *Host) reportLoads() {
	if h.core == nil {
		return
	}
	idle := h.leaving && h.n.Now.Sub(h.lastTraffic) > idleAfter
	var loads []hsowner.Load
	if core := h.Core(); core != nil {
		idle = idle && core.HandoverDone()
		loads = core.Loads(nil)
	}
	h.apply(h.control.UpdateDataPath(h.n.Now, loads, idle, h.control.Unconfirmed()))
}

// apply carries out an output of the control core.
func (h *Host) apply(out hscontrol.Output) {
	for i := range out.Inputs {
		h.applyInput(&out.Inputs[i])
	}
	for _, hb := range out.Heartbeats {
		h.sendHeartbeat(hb)
	}
	for _, f := range out.Fetches {
		h.fetch(f)
	}
	if out.ReaderChanged {
		h.readPlatform()
	}
	if out.Stopped {
		h.Crash()
		h.Stopped = true
	}
}

func (h *Host) applyInput(in *hsowner.Input) {
	if in.Kind == hsowner.InView && h.core == nil {
		cfg := hsowner.Config{MaxFlows: maxFlows, IdleTimeout: flowIdleTimeout, Epoch: h.n.Now, View: in.View}
		if h.n.NewCore != nil {
			h.core = h.n.NewCore(cfg)
		} else {
			h.core = hsowner.New(cfg)
		}
		if h.control.Unconfirmed() {
			h.step(&hsowner.Input{Kind: hsowner.InPause}, nil)
		}
		return
	}
	h.step(in, nil)
}

func (h *Host) sendHeartbeat(hb hscontrol.Heartbeat) {
	n := h.n
	if n.Blocked(h.Addr, hb.To) || n.RNG.Float64() < n.LossRate {
		return
	}
	n.After(linkDelay, func() {
		if peer := n.hostByAddr[hb.To]; peer != nil {
			peer.receiveHeartbeat(hb.Message, h.Addr)
		}
	})
}

func (h *Host) receiveHeartbeat(m *hsschema.Heartbeat, from netip.Addr) {
	h.runOrDefer(func() { h.apply(h.control.Receive(h.n.Now, m, from)) })
}

// fetch models the call that fetches a peer's manifest. There is no answer if
// the peer is stopped, paused or unreachable, or has no such version.
func (h *Host) fetch(f hscontrol.Fetch) {
	n := h.n
	n.After(2*linkDelay, func() {
		peer := n.hostByAddr[f.To]
		if peer == nil || !peer.running || peer.paused || n.Blocked(h.Addr, f.To) || n.Blocked(f.To, h.Addr) {
			return
		}
		m, history := peer.control.CurrentManifest()
		if m != nil && m.Version >= f.MinVersion {
			h.offer(m, history)
		}
	})
}

func (h *Host) offer(m *hsmanifest.Manifest, history hsmanifest.History) {
	h.runOrDefer(func() { h.apply(h.control.Offer(h.n.Now, m, history)) })
}

// readPlatform reads the platform's manifest after platformDelay and this
// host's own delay, if the host is then one of its zone's readers. It is called
// at each publication, and when the host starts, becomes a reader, or can reach
// the platform again.
func (h *Host) readPlatform() {
	runID := h.runID
	h.n.After(platformDelay+h.ManifestDelay, func() {
		if h.runID != runID || h.n.Published == nil || h.n.PlatformDown || !h.control.IsReader() {
			return
		}
		h.offer(h.n.Published, nil)
	})
}

func sortedAddrs[V any](m map[netip.Addr]V) []netip.Addr {
	out := make([]netip.Addr, 0, len(m))
	for a := range m {
		out = append(out, a)
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return out
}
