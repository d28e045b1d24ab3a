// Package hscontrol is the control core of an entry host: it joins membership
// and manifest into views, decides whether this host reads the platform, and
// holds new flows back while the view may be old.
//
// A Core does no I/O and reads no clock. Every method takes the time and
// returns what has to be done.
package hscontrol

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hshome"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsrank"
	"heatherstack.org/heatherstack/internal/hsroster"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// Config holds the settings of a Core.
	Config struct {
		// Name of this entry host.
		Self string
		// Boot number; rises with each start.
		Boot uint64
		// Interval between membership probes.
		Probe time.Duration
		// Time from suspicion to death.
		Suspect time.Duration
		// Clock gap after which the process counts as paused.
		Lease time.Duration
		// Time of the start.
		Start time.Time
	}

	// Heartbeat is a message to send to a peer.
	Heartbeat struct {
		To      netip.Addr
		Message *hsschema.Heartbeat
	}

	// Fetch asks for a peer's manifest of at least a version, with its history.
	Fetch struct {
		To      netip.Addr
		Version uint64
	}

	// Output is what one step wants done, in the order of the fields.
	Output struct {
		// Inputs of the decision core of the data path.
		Inputs     []hshome.Input
		Heartbeats []Heartbeat
		Fetches    []Fetch
		// True if Core.Reader changed.
		Reader bool
		// True once a planned stop is over.
		Stopped bool
		// Codes of what was dropped or refused.
		Codes []hscode.Code
	}

	// Core is the control core of one entry host. It is not safe for
	// concurrent use.
	Core struct {
		cfg      Config
		roster   *hsroster.Roster
		selector hsmanifest.Keeper
		// Nil until the first manifest.
		view *hsrank.View
		// Time manifestSince which the manifest is in force here.
		manifestSince time.Time
		// True while no peer has confirmed that the view is current.
		unconfirmed      bool
		unconfirmedSince time.Time
		// True if a peer's history was historyLearned since the wait began.
		historyLearned bool
		lastTick       time.Time
		lastFetch      time.Time
		leaving        bool
		stopped        bool
		reader         bool
		out            Output
	}
)

const (
	// TickInterval is the time between ticks.
	TickInterval = 25 * time.Millisecond

	// readersPerZone is the number of hosts per zone that read the platform.
	readersPerZone = 2
	// minFetchInterval is the least time between two fetches from peers.
	minFetchInterval = 100 * time.Millisecond
	// minHistoryFetchInterval is the least time between a fetch and one that only
	// learns history.
	minHistoryFetchInterval = 300 * time.Millisecond
	// confirmTimeouts is how many suspicion times a host without word from peers
	// waits before it takes its view for current.
	confirmTimeouts = 2
	// maxLoads bounds the loads of one heartbeat.
	maxLoads = 32
)

// New returns a core without manifest. It reads the platform until it knows
// its zone's hosts.
func New(cfg Config) *Core {
	return &Core{
		cfg: cfg,
		roster: hsroster.New(hsroster.Config{
			Self:    cfg.Self,
			Boot:    cfg.Boot,
			Probe:   cfg.Probe,
			Suspect: cfg.Suspect,
			Seed:    xxhash.Sum64String(cfg.Self),
		}),
		unconfirmed:      true,
		unconfirmedSince: cfg.Start,
		lastTick:         cfg.Start,
		reader:           true,
	}
}

// Reader reports whether this host reads the platform.
func (c *Core) Reader() bool { return c.reader }

// Waiting reports whether new flows are held back.
func (c *Core) Waiting() bool { return c.unconfirmed }

// View returns the view in force, or nil.
func (c *Core) View() *hsrank.View { return c.view }

// Since returns the time since which the manifest is in force here.
func (c *Core) Since() time.Time { return c.manifestSince }

// Members returns what membership holds about each host.
func (c *Core) Members() map[string]hsrank.Status { return c.roster.Status() }

// Current returns the manifest in force and its history; both may be nil.
func (c *Core) Current() (*hsmanifest.Manifest, hsmanifest.History) { return c.selector.Current() }

// Tick lets time pass.
func (c *Core) Tick(now time.Time) Output {
	if now.Sub(c.lastTick) > c.cfg.Lease {
		c.handlePause(now)
	}
	c.lastTick = now
	c.applyRoster(now, c.roster.Tick(now))
	timedOut := now.Sub(c.unconfirmedSince) > confirmTimeouts*c.cfg.Suspect
	if c.unconfirmed && c.view != nil && timedOut {
		c.resume()
	}
	return c.takeOutput()
}

// Paused says that another task noticed that the process had been paused.
func (c *Core) Paused(now time.Time) Output {
	c.handlePause(now)
	return c.takeOutput()
}

// Leave starts the planned stop.
func (c *Core) Leave(now time.Time) Output {
	c.leaving = true
	c.applyRoster(now, c.roster.Leave(now))
	c.rebuildView()
	return c.takeOutput()
}

// Loads takes the loads of the targets homed here, and whether the data path
// is quiet and whether it holds new flows back.
func (c *Core) Loads(now time.Time, loads []hshome.Load, quiet, paused bool) Output {
	list := make([]*hsschema.Load, 0, min(len(loads), maxLoads))
	for _, l := range loads[:min(len(loads), maxLoads)] {
		list = append(list, &hsschema.Load{Target: uint64(l.Target), Flows: uint32(l.Flows)})
	}
	c.roster.SetLoads(list)
	if paused && !c.unconfirmed {
		c.unconfirmed = true
		c.unconfirmedSince = now
	}
	if quiet && c.leaving && !c.stopped {
		c.stopped = true
		c.applyRoster(now, c.roster.Gone(now))
		c.out.Stopped = true
	}
	return c.takeOutput()
}

// Receive takes a heartbeat whose MAC was verified, from an outer address.
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
		c.addInput(hshome.Input{Kind: hshome.InLoads, Loads: loadsOf(hb)})
	}
	if c.unconfirmed && c.confirmsView(hb) {
		c.resume()
	}
	return c.takeOutput()
}

// Offer takes a manifest from the platform, or from a peer with its history.
func (c *Core) Offer(now time.Time, m *hsmanifest.Manifest, h hsmanifest.History) Output {
	before, _ := c.selector.Current()
	changed, code := c.selector.Offer(m, h)
	c.historyLearned = c.historyLearned || h != nil
	if code != hscode.OK {
		c.addCode(code)
	}
	if !changed {
		return c.takeOutput()
	}
	manifest, history := c.selector.Current()
	if manifest == before {
		c.roster.SetHistory(history.Digest())
		c.rebuildView()
		return c.takeOutput()
	}
	c.manifestSince = now
	c.applyRoster(now, c.roster.SetHosts(now, manifest.Hosts))
	c.rebuildView()
	c.applyRoster(now, c.roster.SetForce(now, manifest.Version, manifest.Digest, history.Digest()))
	return c.takeOutput()
}

// confirmsView reports whether a peer's heartbeat shows that the view is current:
// the peer has nothing newer, and either the same history or its history was
// learned since the wait began.
func (c *Core) confirmsView(hb *hsschema.Heartbeat) bool {
	manifest, history := c.selector.Current()
	if hb.GetVersion() > manifest.Version {
		return false
	}
	return c.historyLearned || hb.GetHistory() == history.Digest()
}

// bootstrap fetches a first manifest from the sender of a heartbeat. Peers know
// this host from theirs, so a host that starts empty while the platform is down
// needs no list of peers; the heartbeat's MAC vouches for the sender.
func (c *Core) bootstrap(now time.Time, from netip.Addr) {
	if now.Sub(c.lastFetch) < minFetchInterval {
		return
	}
	c.lastFetch = now
	c.out.Fetches = append(c.out.Fetches, Fetch{To: from})
}

// handlePause starts the wait for word from a peer after a pause.
func (c *Core) handlePause(now time.Time) {
	c.unconfirmed = true
	c.unconfirmedSince = now
	c.historyLearned = false
	c.addInput(hshome.Input{Kind: hshome.InPause})
	c.applyRoster(now, c.roster.Wake(now))
}

func (c *Core) resume() {
	c.unconfirmed = false
	c.addInput(hshome.Input{Kind: hshome.InResume})
}

// applyRoster takes over what the roster decided.
func (c *Core) applyRoster(now time.Time, out hsroster.Output) {
	for _, s := range out.Sends {
		if to := c.hostAddress(s.To); to.IsValid() {
			c.out.Heartbeats = append(c.out.Heartbeats, Heartbeat{To: to, Message: s.Message})
		}
	}
	if out.Changed && c.view != nil {
		c.rebuildView()
	}
	switch {
	case out.Newer != "" && now.Sub(c.lastFetch) >= minFetchInterval:
		c.fetch(now, out.Newer)
	case out.Differs != "" && now.Sub(c.lastFetch) >= minHistoryFetchInterval:
		c.fetch(now, out.Differs)
	}
}

func (c *Core) fetch(now time.Time, from string) {
	manifest, _ := c.selector.Current()
	to := c.hostAddress(from)
	if manifest == nil || !to.IsValid() {
		return
	}
	c.lastFetch = now
	c.out.Fetches = append(c.out.Fetches, Fetch{To: to, Version: manifest.Version})
}

// rebuildView makes a view of the manifest in force and the present members.
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
		Before:   c.view,
	})
	c.addInput(hshome.Input{Kind: hshome.InView, View: c.view})
	c.electReader()
}

// electReader decides whether this host reads the platform: the few hosts of
// its zone with the lowest hashes do.
func (c *Core) electReader() {
	if c.view.Self < 0 {
		return
	}
	zone := c.view.Hosts[c.view.Self].Zone
	var names []string
	for i := range c.view.Hosts {
		if h := &c.view.Hosts[i]; h.Zone == zone && h.Takes {
			names = append(names, h.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String("reader "+a), xxhash.Sum64String("reader "+b))
	})
	reader := slices.Contains(names[:min(len(names), readersPerZone)], c.cfg.Self)
	if reader != c.reader {
		c.reader = reader
		c.out.Reader = true
	}
}

// hostAddress returns the listed hostAddress of a host, or an invalid one.
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

func (c *Core) addInput(in hshome.Input) {
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

func loadsOf(hb *hsschema.Heartbeat) []hshome.Load {
	out := make([]hshome.Load, 0, len(hb.GetLoads()))
	for _, l := range hb.GetLoads() {
		out = append(out, hshome.Load{Target: hsmanifest.TargetID(l.GetTarget()), Flows: int(l.GetFlows())})
	}
	return out
}
