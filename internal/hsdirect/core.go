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
		// Address of this host, which is also its name among the members.
		Self netip.Addr
		Zone string
		// Boot number; rises with each start unless the clock was set back.
		Boot uint64
		// Members to ask first; some may be down or gone.
		Seeds []netip.Addr
	}

	// Send is a heartbeat to a member.
	Send struct {
		To      netip.Addr
		Message *hsschema.Heartbeat
	}

	// Fetch asks a member for what changed after a revision.
	Fetch struct {
		From  netip.Addr
		Since uint64
	}

	// Output is what one step wants done.
	Output struct {
		Sends   []Send
		Fetches []Fetch
		// Nil if unchanged.
		Configuration *hsfeed.Configuration
		// Valid if TargetsChanged.
		Targets        []hsfeed.Entry
		TargetsChanged bool
		// True if Core.Reader changed.
		Reader bool
		// True if the connection to the store is taken for dead: the reader task
		// has to list anew.
		Relist bool
		// Nil if none arrived.
		Report *Report
		Codes  []hscode.Code
	}

	// Core joins membership and published state: it decides whether this host
	// reads the store, tells members what changed and asks those that know
	// more. It does no I/O, reads no clock, and is not safe for concurrent use.
	Core struct {
		cfg    CoreConfig
		self   string
		roster *hsroster.Roster
		keeper hsfeed.Keeper
		reader bool
		// True if the last call of the store failed.
		refused bool
		leaving bool
		fetched time.Time
		// Time since which members know of changes that the store has not told
		// this host, which reads it; zero if there are none.
		behind time.Time
		// Other members of this zone that were alive at the last tick.
		nearAlive int
		// Reports of loads to members of this zone and of others.
		near turn
		far  turn
		out  Output
	}
)

const (
	// TickInterval is the time between ticks: a fraction of each time limit below.
	TickInterval = 100 * time.Millisecond

	// probeInterval and suspectTime find a dead member within two seconds.
	// Sooner is not needed: loads show within silentAfter that a reader is gone.
	probeInterval = 500 * time.Millisecond
	suspectTime   = 600 * time.Millisecond
	// maxMembers bounds the members that are admitted without a host list:
	// several times the hosts of a large region.
	maxMembers = 4096
	// fetchInterval is the least time between two fetches.
	fetchInterval = 100 * time.Millisecond
	// inlineSize is the size of an update, in bytes, up to which it is sent
	// inside a heartbeat; a larger one would not fit into one packet.
	inlineSize = 1100
	// pushMost bounds the members outside the zone that a reader sends updates
	// to, whose zones have readers of their own, and the members of the zone
	// that are told at once of a target that does not answer.
	pushMost = 16
)

// NewCore returns a core that knows the seeds only. It reads the store until
// it hears of a member of its zone that does.
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

// Peers returns the members.
func (c *Core) Peers() []hsroster.Peer { return c.roster.Peers() }

// Start asks the seeds.
func (c *Core) Start(now time.Time) Output { return c.Seed(now, c.cfg.Seeds) }

// Seed takes members that stay listed for good.
func (c *Core) Seed(now time.Time, seeds []netip.Addr) Output {
	names := make([]string, len(seeds))
	for i, s := range seeds {
		names[i] = s.String()
	}
	c.apply(now, c.roster.Seed(now, names))
	return c.take()
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) Output {
	c.apply(now, c.roster.Tick(now))
	c.checkStore(now)
	c.elect(now)
	return c.take()
}

// Leave starts the planned stop.
func (c *Core) Leave(now time.Time) Output {
	c.leaving = true
	c.apply(now, c.roster.Leave(now))
	c.elect(now)
	return c.take()
}

// Receive takes a heartbeat from an address.
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

// FromStore takes what this host read from the store.
func (c *Core) FromStore(now time.Time, u *hsfeed.Update) Output {
	since := c.keeper.Revision()
	c.behind = time.Time{}
	c.update(now, u)
	if c.keeper.Revision() > since {
		c.push(since)
	}
	return c.take()
}

// FromPeer takes what a member answered to a fetch.
func (c *Core) FromPeer(now time.Time, u *hsfeed.Update) Output {
	c.fromPeer(now, u)
	return c.take()
}

func (c *Core) fromPeer(now time.Time, u *hsfeed.Update) hscode.Code {
	before := c.keeper.Revision()
	code := c.update(now, u)
	if c.reader && before > 0 && c.keeper.Revision() > before && c.behind.IsZero() {
		c.behind = now
	}
	return code
}

// Contact notes whether the store answers this host.
func (c *Core) Contact(now time.Time, answers bool) Output {
	c.refused = !answers
	c.apply(now, c.roster.SetRefused(now, c.refused))
	return c.take()
}

// pushed takes an update that a member sent without being asked.
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

// push tells members what changed since a revision. A change that is too large
// is announced, and they ask for it.
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

// apply takes over what the roster decided.
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
