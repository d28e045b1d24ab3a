// Package hscontrol implements the control state machine of an entry host. It
// builds a view from the membership and the manifest, decides whether this host
// reads the platform, and stops the data path from placing new flows while the
// view may be out of date.
//
// A Core does no I/O and reads no clock: methods that change its state take the
// current time and return the actions for the caller.
package hscontrol

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsowner"
	"heatherstack.org/heatherstack/internal/hsrank"
	"heatherstack.org/heatherstack/internal/hsroster"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// Config holds the settings of a Core.
	Config struct {
		// Name of this entry host.
		Self string
		// Boot number of this process; each start uses a higher one.
		Boot uint64
		// Interval between membership probes.
		ProbeInterval time.Duration
		// Time after which a suspected member that has not answered is declared
		// dead.
		SuspectTimeout time.Duration
		// Time between two ticks above which the process counts as paused.
		PauseThreshold time.Duration
		// Time at which the process started.
		StartTime time.Time
	}

	// Heartbeat is a membership message to send to a peer.
	Heartbeat struct {
		To      netip.Addr
		Message *hsschema.Heartbeat
	}

	// Fetch is a request for a peer's current manifest and its history. The
	// peer answers only if its manifest has at least this version.
	Fetch struct {
		To         netip.Addr
		MinVersion uint64
	}

	// Output holds the actions that result from one call. The caller carries
	// them out in the order of the fields.
	Output struct {
		// Inputs for the hsowner.Core of the data path.
		Inputs     []hsowner.Input
		Heartbeats []Heartbeat
		Fetches    []Fetch
		// True if this host became a reader of the platform or ceased to be one.
		ReaderChanged bool
		// True in the output that ends a planned stop.
		Stopped bool
		// Codes of messages and manifests that were dropped or in conflict.
		Codes []hscode.Code
	}

	// Core is the control state machine of one entry host. It is not safe for
	// concurrent use.
	Core struct {
		cfg      Config
		roster   *hsroster.Roster
		selector hsmanifest.Selector
		// Nil until the first manifest.
		view *hsrank.View
		// Time at which this host applied the current manifest.
		manifestAppliedAt time.Time
		// True after a start or a pause of this process, until a peer confirms
		// that the view is up to date or no peer did so in time (see
		// confirmTimeouts). No new flows are placed meanwhile.
		unconfirmed      bool
		unconfirmedSince time.Time
		// True if a peer's history was received since the view became
		// unconfirmed.
		historyReceived bool
		lastTick        time.Time
		lastFetch       time.Time
		leaving         bool
		stopped         bool
		reader          bool
		out             Output
	}
)

const (
	// TickInterval is the interval at which the caller calls Core.Tick.
	TickInterval = 25 * time.Millisecond

	// readersPerZone is the number of hosts per zone that read the platform.
	readersPerZone = 2
	// minFetchInterval is the minimum time between two fetches from peers.
	minFetchInterval = 100 * time.Millisecond
	// minHistoryFetchInterval is the minimum time between any fetch and a later
	// one that only compares histories of the same manifest.
	minHistoryFetchInterval = 300 * time.Millisecond
	// confirmTimeouts is the time, in multiples of Config.SuspectTimeout, after
	// which a host treats its view as up to date although no peer has confirmed
	// it.
	confirmTimeouts = 2
	// maxLoads is the maximum number of loads in one heartbeat.
	maxLoads = 32
)

// New returns a core without a manifest. Its host reads the platform until a
// manifest lists the hosts of its zone, among which readers are elected.
func New(cfg Config) *Core {
	return &Core{
		cfg: cfg,
		roster: hsroster.New(hsroster.Config{
			Self:           cfg.Self,
			Boot:           cfg.Boot,
			ProbeInterval:  cfg.ProbeInterval,
			SuspectTimeout: cfg.SuspectTimeout,
			RandomSeed:     xxhash.Sum64String(cfg.Self),
		}),
		unconfirmed:      true,
		unconfirmedSince: cfg.StartTime,
		lastTick:         cfg.StartTime,
		reader:           true,
	}
}

// IsReader reports whether this host reads the platform.
func (c *Core) IsReader() bool { return c.reader }

// Unconfirmed reports whether this host places no new flows because, since a
// start or a pause of this process, no peer has confirmed that the view is up
// to date.
func (c *Core) Unconfirmed() bool { return c.unconfirmed }

// View returns the current view, or nil before the first manifest.
func (c *Core) View() *hsrank.View { return c.view }

// ManifestAppliedAt returns the time at which this host applied the current
// manifest.
func (c *Core) ManifestAppliedAt() time.Time { return c.manifestAppliedAt }

// Members returns the membership status of each host, by name.
func (c *Core) Members() map[string]hsrank.MemberStatus { return c.roster.Status() }

// CurrentManifest returns the current manifest and its history, or nil for both
// before the first manifest.
func (c *Core) CurrentManifest() (*hsmanifest.Manifest, hsmanifest.History) {
	return c.selector.Current()
}

// Tick checks for a pause of this process and runs the timers of the membership
// protocol. Call it every TickInterval.
func (c *Core) Tick(now time.Time) Output {
	if now.Sub(c.lastTick) > c.cfg.PauseThreshold {
		c.handlePause(now)
	}
	c.lastTick = now
	c.applyRoster(now, c.roster.Tick(now))
	timedOut := now.Sub(c.unconfirmedSince) > confirmTimeouts*c.cfg.SuspectTimeout
	if c.unconfirmed && c.view != nil && timedOut {
		c.resume()
	}
	return c.takeOutput()
}

// ReportPause handles a pause of this process that another task detected.
func (c *Core) ReportPause(now time.Time) Output {
	c.handlePause(now)
	return c.takeOutput()
}

// Leave starts the planned stop of this host.
func (c *Core) Leave(now time.Time) Output {
	c.leaving = true
	c.applyRoster(now, c.roster.Leave(now))
	c.rebuildView()
	return c.takeOutput()
}

// UpdateDataPath handles a report from the data path: the loads of the targets
// that this host owns, whether the data path is idle, so that a planned stop
// can end, and whether it has stopped placing new flows after a pause.
func (c *Core) UpdateDataPath(now time.Time, loads []hsowner.Load, idle, paused bool) Output {
	list := make([]*hsschema.Load, 0, min(len(loads), maxLoads))
	for _, l := range loads[:min(len(loads), maxLoads)] {
		list = append(list, &hsschema.Load{Target: uint64(l.Target), Flows: uint32(l.Flows)})
	}
	c.roster.SetLoads(list)
	if paused && !c.unconfirmed {
		c.unconfirmed = true
		c.unconfirmedSince = now
	}
	if idle && c.leaving && !c.stopped {
		c.stopped = true
		c.applyRoster(now, c.roster.AnnounceExit(now))
		c.out.Stopped = true
	}
	return c.takeOutput()
}

// Receive handles a heartbeat with the source address from; the caller has
// verified its MAC.
func (c *Core) Receive(now time.Time, hb *hsschema.Heartbeat, from netip.Addr) Output {
	if c.view == nil {
		c.bootstrap(now, from)
		return c.takeOutput()
	}
	if c.hostAddress(hb.GetFrom()) != from {
		c.addCode(hscode.PeerUnknown)
		return c.takeOutput()
	}
	out, code := c.roster.Receive(now, hb)
	c.applyRoster(now, out)
	if code != hscode.OK {
		c.addCode(code)
		return c.takeOutput()
	}
	if len(hb.GetLoads()) > 0 {
		c.addInput(hsowner.Input{Kind: hsowner.InLoads, Loads: loadsOf(hb)})
	}
	if c.unconfirmed && c.confirmsView(hb) {
		c.resume()
	}
	return c.takeOutput()
}

// Offer handles a manifest from the platform, for which h is nil, or from a
// peer together with the peer's history.
func (c *Core) Offer(now time.Time, m *hsmanifest.Manifest, h hsmanifest.History) Output {
	before, _ := c.selector.Current()
	changed, code := c.selector.Offer(m, h)
	c.historyReceived = c.historyReceived || h != nil
	if code != hscode.OK {
		c.addCode(code)
	}
	if !changed {
		return c.takeOutput()
	}
	manifest, history := c.selector.Current()
	if manifest == before {
		c.roster.SetHistoryDigest(history.Digest())
		c.rebuildView()
		return c.takeOutput()
	}
	c.manifestAppliedAt = now
	c.applyRoster(now, c.roster.SetHosts(now, manifest.Hosts))
	c.rebuildView()
	c.applyRoster(now, c.roster.SetManifest(now, manifest.Version, manifest.Digest, history.Digest()))
	return c.takeOutput()
}

// confirmsView reports whether a peer's heartbeat shows that the view is up to
// date: the peer has no newer manifest version, and it has the same history or
// a peer's history was received since the view became unconfirmed.
func (c *Core) confirmsView(hb *hsschema.Heartbeat) bool {
	manifest, history := c.selector.Current()
	if hb.GetVersion() > manifest.Version {
		return false
	}
	return c.historyReceived || hb.GetHistory() == history.Digest()
}

// bootstrap fetches the first manifest from the sender of a heartbeat. Peers
// send heartbeats to this host because their manifest lists it. A host that
// starts without a manifest while the platform is down therefore needs no list
// of peers; the heartbeat's MAC authenticates the sender.
func (c *Core) bootstrap(now time.Time, from netip.Addr) {
	if now.Sub(c.lastFetch) < minFetchInterval {
		return
	}
	c.lastFetch = now
	c.out.Fetches = append(c.out.Fetches, Fetch{To: from})
}

// handlePause marks the view as unconfirmed after a pause of this process and
// stops the data path from placing new flows until the view is confirmed.
func (c *Core) handlePause(now time.Time) {
	c.unconfirmed = true
	c.unconfirmedSince = now
	c.historyReceived = false
	c.addInput(hsowner.Input{Kind: hsowner.InPause})
	c.applyRoster(now, c.roster.ResumeAfterPause(now))
}

// resume marks the view as confirmed and lets the data path place new flows.
func (c *Core) resume() {
	c.unconfirmed = false
	c.addInput(hsowner.Input{Kind: hsowner.InResume})
}

// applyRoster acts on the output of the roster: it sends heartbeats, rebuilds
// the view if the membership changed, and fetches from a peer that has a newer
// manifest or another history.
func (c *Core) applyRoster(now time.Time, out hsroster.Output) {
	for _, h := range out.Heartbeats {
		if to := c.hostAddress(h.To); to.IsValid() {
			c.out.Heartbeats = append(c.out.Heartbeats, Heartbeat{To: to, Message: h.Message})
		}
	}
	if out.MembershipChanged && c.view != nil {
		c.rebuildView()
	}
	switch {
	case out.NewerPeer != "" && now.Sub(c.lastFetch) >= minFetchInterval:
		c.fetch(now, out.NewerPeer)
	case out.DivergentPeer != "" && now.Sub(c.lastFetch) >= minHistoryFetchInterval:
		c.fetch(now, out.DivergentPeer)
	}
}

func (c *Core) fetch(now time.Time, from string) {
	manifest, _ := c.selector.Current()
	to := c.hostAddress(from)
	if manifest == nil || !to.IsValid() {
		return
	}
	c.lastFetch = now
	c.out.Fetches = append(c.out.Fetches, Fetch{To: to, MinVersion: manifest.Version})
}

// rebuildView builds the view from the current manifest and membership and
// passes it to the data path.
func (c *Core) rebuildView() {
	manifest, history := c.selector.Current()
	if manifest == nil {
		return
	}
	c.view = hsrank.NewView(hsrank.Config{
		Manifest: manifest,
		History:  history,
		Self:     c.cfg.Self,
		Members:  c.roster.Status(),
		Previous: c.view,
	})
	c.addInput(hsowner.Input{Kind: hsowner.InView, View: c.view})
	c.electReader()
}

// electReader decides whether this host reads the platform. The readers of a
// zone are the readersPerZone hosts with the lowest name hashes among those
// that can own targets.
func (c *Core) electReader() {
	if c.view.Self < 0 {
		return
	}
	zone := c.view.Hosts[c.view.Self].Zone
	var names []string
	for i := range c.view.Hosts {
		if h := &c.view.Hosts[i]; h.Zone == zone && h.CanOwn {
			names = append(names, h.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String("reader "+a), xxhash.Sum64String("reader "+b))
	})
	reader := slices.Contains(names[:min(len(names), readersPerZone)], c.cfg.Self)
	if reader != c.reader {
		c.reader = reader
		c.out.ReaderChanged = true
	}
}

// hostAddress returns the address of a host in the current manifest, or the
// zero Addr if the manifest does not list the host.
func (c *Core) hostAddress(name string) netip.Addr {
	manifest, _ := c.selector.Current()
	if manifest == nil {
		return netip.Addr{}
	}
	i, ok := slices.BinarySearchFunc(manifest.Hosts, name, func(h hsmanifest.Host, n string) int {
		return cmp.Compare(h.Name, n)
	})
	if !ok {
		return netip.Addr{}
	}
	return manifest.Hosts[i].Address
}

func (c *Core) addInput(in hsowner.Input) {
	c.out.Inputs = append(c.out.Inputs, in)
}

func (c *Core) addCode(code hscode.Code) {
	c.out.Codes = append(c.out.Codes, code)
}

func (c *Core) takeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

func loadsOf(hb *hsschema.Heartbeat) []hsowner.Load {
	out := make([]hsowner.Load, 0, len(hb.GetLoads()))
	for _, l := range hb.GetLoads() {
		out = append(out, hsowner.Load{Target: hsmanifest.TargetID(l.GetTarget()), Flows: int(l.GetFlows())})
	}
	return out
}
