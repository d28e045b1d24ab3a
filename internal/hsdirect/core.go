package hsdirect

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsroster"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// CoreConfig holds the settings of a Core.
	CoreConfig struct {
		// Address of this host, which is also its name in heartbeats.
		Self netip.Addr
		Zone string
		// Boot number; increases with each start unless the clock was set back.
		Boot uint64
		// Peers to contact first; some may be down or removed.
		Seeds []netip.Addr
	}

	// Send is a heartbeat to a peer.
	Send struct {
		To      netip.Addr
		Message *hsschema.Heartbeat
	}

	// Fetch is a request to a peer for the changes after a revision.
	Fetch struct {
		From  netip.Addr
		Since uint64
	}

	// Output holds the changes and the actions that result from one call of a
	// Core.
	Output struct {
		Sends   []Send
		Fetches []Fetch
		// New configuration; nil if unchanged.
		Configuration *hsfeed.Configuration
		// Valid if TargetsChanged.
		Targets        []hsfeed.Entry
		TargetsChanged bool
		// True if Core.Reader changed.
		Reader bool
		// True if the reader task has to list the store again because the connection
		// to it appears to be dead.
		Relist bool
		// Load report received from a peer; nil if there is none.
		Report *Report
		// Result codes to count.
		Codes []hscode.Code
	}

	// Core combines membership and published state: it decides whether this host
	// reads the store, sends changes to peers, and fetches changes from peers at a
	// higher revision. It does no I/O, reads no clock, and is not safe for
	// concurrent use.
	Core struct {
		cfg    CoreConfig
		self   string
		roster *hsroster.Roster
		keeper hsfeed.Keeper
		reader bool
		// True if the last call to the store failed or the connection to it appears
		// to be dead.
		refused bool
		leaving bool
		fetched time.Time
		// Time since which peers have changes that the store has not delivered to
		// this host although it reads the store; zero if there are none.
		behind time.Time
		// Number of peers in this zone that were alive at the last election.
		nearAlive int
		// Round-robin order of the load reports to peers in this zone and in other
		// zones.
		near turn
		far  turn
		out  Output
	}
)

const (
	// TickInterval is the time between ticks: a fraction of probeInterval and
	// suspectTime.
	TickInterval = 100 * time.Millisecond

	// probeInterval and suspectTime detect a dead peer within two seconds. Faster
	// detection is not needed: missing load reports show within silentAfter that a
	// reader is gone.
	probeInterval = 500 * time.Millisecond
	suspectTime   = 600 * time.Millisecond
	// maxMembers limits the number of peers, since there is no host list that
	// does: several times the number of hosts in a large region.
	maxMembers = 4096
	// fetchInterval is the minimum time between two fetches.
	fetchInterval = 100 * time.Millisecond
	// inlineSize is the largest update, in bytes, that is sent inside a heartbeat;
	// a larger one would not fit into one packet.
	inlineSize = 1100
	// pushMost limits the peers that get an unscheduled message: an update from a
	// reader to peers in other zones, which have readers of their own, or a report
	// of changed ejections to peers in this zone.
	pushMost = 16
)

// NewCore returns a core that knows only the seeds. Its host reads the store
// until it learns of a peer in its zone that has a lower rank.
func NewCore(cfg CoreConfig) *Core {
	self := cfg.Self.String()
	return &Core{
		cfg:  cfg,
		self: self,
		roster: hsroster.New(hsroster.Config{
			Self:    self,
			Boot:    cfg.Boot,
			Probe:   probeInterval,
			Suspect: suspectTime,
			Seed:    xxhash.Sum64String(self),
			Admit:   maxMembers,
			Zone:    cfg.Zone,
		}),
		reader: true,
	}
}

// Reader reports whether this host reads the store.
func (c *Core) Reader() bool { return c.reader }

// Keeper returns the published state.
func (c *Core) Keeper() *hsfeed.Keeper { return &c.keeper }

// Peers returns all known peers, dead ones included.
func (c *Core) Peers() []hsroster.Peer { return c.roster.Peers() }

// Start contacts the seeds.
func (c *Core) Start(now time.Time) Output { return c.Seed(now, c.cfg.Seeds) }

// Seed adds peers that are never removed, even if they are dead.
func (c *Core) Seed(now time.Time, seeds []netip.Addr) Output {
	names := make([]string, len(seeds))
	for i, s := range seeds {
		names[i] = s.String()
	}
	c.apply(now, c.roster.Seed(now, names))
	return c.take()
}

// Tick does the periodic work: it probes peers, checks the connection to the
// store, and decides again which host reads the store. It must be called every
// TickInterval.
func (c *Core) Tick(now time.Time) Output {
	c.apply(now, c.roster.Tick(now))
	c.checkStore(now)
	c.elect(now)
	return c.take()
}

// Leave announces the planned stop to peers and gives up the reader role if a
// peer in the zone can take it over.
func (c *Core) Leave(now time.Time) Output {
	c.leaving = true
	c.apply(now, c.roster.Leave(now))
	c.elect(now)
	return c.take()
}

// Receive processes a heartbeat that arrived from the given address.
func (c *Core) Receive(now time.Time, hb *hsschema.Heartbeat, from netip.Addr) Output {
	if hb.GetFrom() != from.String() {
		c.code(hscode.PeerUnknown)
		return c.take()
	}
	out, code := c.roster.Receive(now, hb)
	if code != hscode.OK {
		c.code(code)
		return c.take()
	}
	switch hb.GetKind() {
	case hsschema.Heartbeat_KIND_UPDATE:
		if hb.GetUpdate() != nil {
			c.pushed(now, hb, from)
			out.Newer = ""
		}
	case hsschema.Heartbeat_KIND_LOADS:
		c.out.Report = &Report{Host: hb.GetFrom(), Loads: loadsOf(hb)}
		if hb.GetZone() == c.cfg.Zone {
			c.out.Report.Avoid = ejectedOf(hb)
			c.out.Report.AvoidFor = avoidTime(c.nearAlive)
		}
	}
	c.apply(now, out)
	return c.take()
}

// FromStore applies an update read from the store and sends the changes to
// peers.
func (c *Core) FromStore(now time.Time, u *hsfeed.Update) Output {
	since := c.keeper.Revision()
	c.behind = time.Time{}
	c.update(now, u)
	if c.keeper.Revision() > since {
		c.push(since)
	}
	return c.take()
}

// FromPeer applies a peer's response to a fetch.
func (c *Core) FromPeer(now time.Time, u *hsfeed.Update) Output {
	c.fromPeer(now, u)
	return c.take()
}

// fromPeer applies an update from a peer. If this host is a reader, the store
// has to deliver the same changes; checkStore checks that.
func (c *Core) fromPeer(now time.Time, u *hsfeed.Update) hscode.Code {
	before := c.keeper.Revision()
	code := c.update(now, u)
	if c.reader && before > 0 && c.keeper.Revision() > before && c.behind.IsZero() {
		c.behind = now
	}
	return code
}

// Contact records whether the store is available to this host and tells peers
// if that changed.
func (c *Core) Contact(now time.Time, answers bool) Output {
	c.refused = !answers
	c.apply(now, c.roster.SetRefused(now, c.refused))
	return c.take()
}

// pushed applies an update that a peer sent without a request. If earlier
// changes are missing here, it fetches them from that peer.
func (c *Core) pushed(now time.Time, hb *hsschema.Heartbeat, from netip.Addr) {
	u, ok := hsfeed.Unpack(hb.GetUpdate())
	if !ok {
		c.code(hscode.PeerMessage)
		return
	}
	if code := c.fromPeer(now, &u); code == hscode.PeerGap {
		c.fetch(now, from)
	}
}

func (c *Core) update(now time.Time, u *hsfeed.Update) hscode.Code {
	ch, code := c.keeper.Apply(now, u)
	if code != hscode.OK {
		c.code(code)
		return code
	}
	if ch.Configuration {
		c.out.Configuration = c.keeper.Configuration()
	}
	if ch.Targets {
		c.out.Targets = c.keeper.Targets()
		c.out.TargetsChanged = true
	}
	c.roster.SetVersion(c.keeper.Revision())
	return code
}

// push sends the changes after a revision to peers. If they are too large for a
// heartbeat, it only announces the new revision, and peers fetch the changes.
func (c *Core) push(since uint64) {
	u, ok := c.keeper.Since(since)
	if !ok {
		return
	}
	hb := c.roster.Message(hsschema.Heartbeat_KIND_UPDATE)
	hb.Update = hsfeed.Pack(&u)
	if proto.Size(hb.Update) > inlineSize {
		hb.Update = nil
	}
	far := 0
	for _, p := range c.roster.Peers() {
		if p.Zone != c.cfg.Zone {
			far++
		}
		if p.Alive && (p.Zone == c.cfg.Zone || far <= pushMost) {
			c.send(p.Name, hb)
		}
	}
}

// apply adds the heartbeats and the fetch that the roster requests to the
// output.
func (c *Core) apply(now time.Time, out hsroster.Output) {
	for _, s := range out.Sends {
		c.send(s.To, s.Message)
	}
	if out.Newer != "" {
		if from, err := netip.ParseAddr(out.Newer); err == nil {
			c.fetch(now, from)
		}
	}
}

func (c *Core) fetch(now time.Time, from netip.Addr) {
	if now.Sub(c.fetched) < fetchInterval {
		return
	}
	c.fetched = now
	c.out.Fetches = append(c.out.Fetches, Fetch{From: from, Since: c.keeper.Revision()})
}

func (c *Core) send(to string, hb *hsschema.Heartbeat) {
	addr, err := netip.ParseAddr(to)
	if err != nil {
		c.code(hscode.PeerMessage)
		return
	}
	c.out.Sends = append(c.out.Sends, Send{To: addr, Message: hb})
}

func (c *Core) code(code hscode.Code) { c.out.Codes = append(c.out.Codes, code) }

func (c *Core) take() Output {
	out := c.out
	c.out = Output{}
	return out
}
