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
		cfg    Config
		roster *hsroster.Roster
		keeper hsmanifest.Keeper
		// Nil until the first manifest.
		view *hsrank.View
		// Time since which the manifest is in force here.
		since time.Time
		// True while no peer has confirmed that the view is current.
		waiting   bool
		waitSince time.Time
		// True if a peer's history was learned since the wait began.
		learned bool
		ticked  time.Time
		fetched time.Time
		leaving bool
		gone    bool
		reader  bool
		out     Output
	}
)

const (
	// TickInterval is the time between ticks.
	TickInterval = 25 * time.Millisecond

	// readersPerZone is the number of hosts per zone that read the platform.
	readersPerZone = 2
	// fetchInterval is the least time between two fetches from peers.
	fetchInterval = 100 * time.Millisecond
	// compareInterval is the least time between a fetch and one that only
	// learns history.
	compareInterval = 300 * time.Millisecond
	// aloneAfter is how many suspicion times a host without word from peers
	// waits before it takes its view for current.
	aloneAfter = 2
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
		waiting:   true,
		waitSince: cfg.Start,
		ticked:    cfg.Start,
		reader:    true,
	}
}

// Reader reports whether this host reads the platform.
func (c *Core) Reader() bool { return c.reader }

// Waiting reports whether new flows are held back.
func (c *Core) Waiting() bool { return c.waiting }

// View returns the view in force, or nil.
func (c *Core) View() *hsrank.View { return c.view }

// Since returns the time since which the manifest is in force here.
func (c *Core) Since() time.Time { return c.since }

// Members returns what membership holds about each host.
func (c *Core) Members() map[string]hsrank.Status { return c.roster.Status() }

// Current returns the manifest in force and its history; both may be nil.
func (c *Core) Current() (*hsmanifest.Manifest, hsmanifest.History) { return c.keeper.Current() }

// Tick lets time pass.
func (c *Core) Tick(now time.Time) Output {
	if now.Sub(c.ticked) > c.cfg.Lease {
		c.wake(now)
	}
	c.ticked = now
	c.apply(now, c.roster.Tick(now))
	alone := now.Sub(c.waitSince) > aloneAfter*c.cfg.Suspect
	if c.waiting && c.view != nil && alone {
		c.resume()
	}
	return c.take()
}

// Paused says that another task noticed that the process had been paused.
func (c *Core) Paused(now time.Time) Output {
	c.wake(now)
	return c.take()
}

// Leave starts the planned stop.
func (c *Core) Leave(now time.Time) Output {
	c.leaving = true
	c.apply(now, c.roster.Leave(now))
	c.rebuild()
	return c.take()
}

// Loads takes the loads of the targets homed here, and whether the data path
// is quiet and whether it holds new flows back.
func (c *Core) Loads(now time.Time, loads []hshome.Load, quiet, paused bool) Output {
	list := make([]*hsschema.Load, 0, min(len(loads), maxLoads))
	for _, l := range loads[:min(len(loads), maxLoads)] {
		list = append(list, &hsschema.Load{Target: uint64(l.Target), Flows: uint32(l.Flows)})
	}
	c.roster.SetLoads(list)
	if paused && !c.waiting {
		c.waiting = true
		c.waitSince = now
	}
	if quiet && c.leaving && !c.gone {
		c.gone = true
		c.apply(now, c.roster.Gone(now))
		c.out.Stopped = true
	}
	return c.take()
}

// Receive takes a heartbeat whose MAC was verified, from an outer address.
func (c *Core) Receive(now time.Time, hb *hsschema.Heartbeat, from netip.Addr) Output {
	if c.view == nil {
		c.bootstrap(now, from)
		return c.take()
	}
	if c.address(hb.GetFrom()) != from {
		c.code(hscode.PeerUnknown)
		return c.take()
	}
	out, code := c.roster.Receive(now, hb)
	c.apply(now, out)
	if code != hscode.OK {
		c.code(code)
		return c.take()
	}
	if len(hb.GetLoads()) > 0 {
		c.input(hshome.Input{Kind: hshome.InLoads, Loads: loadsOf(hb)})
	}
	if c.waiting && c.confirmed(hb) {
		c.resume()
	}
	return c.take()
}

// Offer takes a manifest from the platform, or from a peer with its history.
func (c *Core) Offer(now time.Time, m *hsmanifest.Manifest, h hsmanifest.History) Output {
	before, _ := c.keeper.Current()
	changed, code := c.keeper.Offer(m, h)
	c.learned = c.learned || h != nil
	if code != hscode.OK {
		c.code(code)
	}
	if !changed {
		return c.take()
	}
	manifest, history := c.keeper.Current()
	if manifest == before {
		c.roster.SetHistory(history.Digest())
		c.rebuild()
		return c.take()
	}
	c.since = now
	c.apply(now, c.roster.SetHosts(now, manifest.Hosts))
	c.rebuild()
	c.apply(now, c.roster.SetForce(now, manifest.Version, manifest.Digest, history.Digest()))
	return c.take()
}

// confirmed reports whether a peer's heartbeat shows that the view is current:
// the peer has nothing newer, and either the same history or its history was
// learned since the wait began.
func (c *Core) confirmed(hb *hsschema.Heartbeat) bool {
	manifest, history := c.keeper.Current()
	if hb.GetVersion() > manifest.Version {
		return false
	}
	return c.learned || hb.GetHistory() == history.Digest()
}

// bootstrap fetches a first manifest from the sender of a heartbeat. Peers know
// this host from theirs, so a host that starts empty while the platform is down
// needs no list of peers; the heartbeat's MAC vouches for the sender.
func (c *Core) bootstrap(now time.Time, from netip.Addr) {
	if now.Sub(c.fetched) < fetchInterval {
		return
	}
	c.fetched = now
	c.out.Fetches = append(c.out.Fetches, Fetch{To: from})
}

// wake starts the wait for word from a peer after a pause.
func (c *Core) wake(now time.Time) {
	c.waiting = true
	c.waitSince = now
	c.learned = false
	c.input(hshome.Input{Kind: hshome.InPause})
	c.apply(now, c.roster.Wake(now))
}

func (c *Core) resume() {
	c.waiting = false
	c.input(hshome.Input{Kind: hshome.InResume})
}

// apply takes over what the roster decided.
func (c *Core) apply(now time.Time, out hsroster.Output) {
	for _, s := range out.Sends {
		if to := c.address(s.To); to.IsValid() {
			c.out.Heartbeats = append(c.out.Heartbeats, Heartbeat{To: to, Message: s.Message})
		}
	}
	if out.Changed && c.view != nil {
		c.rebuild()
	}
	switch {
	case out.Newer != "" && now.Sub(c.fetched) >= fetchInterval:
		c.fetch(now, out.Newer)
	case out.Differs != "" && now.Sub(c.fetched) >= compareInterval:
		c.fetch(now, out.Differs)
	}
}

func (c *Core) fetch(now time.Time, from string) {
	manifest, _ := c.keeper.Current()
	to := c.address(from)
	if manifest == nil || !to.IsValid() {
		return
	}
	c.fetched = now
	c.out.Fetches = append(c.out.Fetches, Fetch{To: to, Version: manifest.Version})
}

// rebuild makes a view of the manifest in force and the present members.
func (c *Core) rebuild() {
	manifest, history := c.keeper.Current()
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
	c.input(hshome.Input{Kind: hshome.InView, View: c.view})
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

// address returns the listed address of a host, or an invalid one.
func (c *Core) address(name string) netip.Addr {
	manifest, _ := c.keeper.Current()
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

func (c *Core) input(in hshome.Input) {
	c.out.Inputs = append(c.out.Inputs, in)
}

func (c *Core) code(code hscode.Code) {
	c.out.Codes = append(c.out.Codes, code)
}

func (c *Core) take() Output {
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
