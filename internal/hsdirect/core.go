package hsdirect

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hsbudget"
	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
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
		// Pause of the reader task between two calls to the store.
		WatchInterval time.Duration
		// Longest time until a reader notices that the store is unavailable.
		StoreDetectionTime time.Duration
		// See Settings.
		LearnCapacity bool
	}

	// Heartbeat is a message to be sent to a peer.
	Heartbeat struct {
		To      netip.Addr
		Message *hsschema.Heartbeat
	}

	// Fetch is a request to a peer for the changes after a position, or for the
	// whole state if the revision of the position is 0.
	Fetch struct {
		From  netip.Addr
		Since hsfeed.Position
		// Digest of the peer's state, if the fetch is made because the states differ
		// at the same position; 0 otherwise.
		Digest uint64
	}

	// Output is the result of one call of a Core: what changed, and the messages
	// and fetches that the caller has to carry out.
	Output struct {
		Heartbeats []Heartbeat
		Fetches    []Fetch
		// New configuration; nil if unchanged.
		Configuration *hsfeed.Configuration
		// New target list; valid if TargetsChanged.
		Targets        []hsfeed.TargetRecord
		TargetsChanged bool
		// Evacuations in force; valid if EvacuationsChanged.
		Evacuations        []hsfeed.EvacuationRecord
		EvacuationsChanged bool
		// Whether this host is cut off from everything outside its zone, which is
		// being evacuated; valid if CutOffChanged.
		CutOff        bool
		CutOffChanged bool
		// True if the result of Core.IsReader changed.
		ReaderChanged bool
		// True if the reader task has to list the store again because the connection
		// to the store appears to be dead.
		Relist bool
		// Load report received from a peer; nil if there is none.
		Report *PeerReport
		// Changed status of the store; nil if unchanged.
		Store *hscookie.StoreStatus
		// Entry hosts that share the rates of targets in warm-up; nil if unchanged.
		Members *hsbudget.View
		// Number of entry hosts that are alive, this one included; 0 if unchanged.
		HostCount int
		// Result codes to count.
		Codes []hscode.Code
		// Entries of the store, or events of a peer, that are not used, to log: invalid
		// ones, see hsfeed.Update, and those of Replica.UnlistedEntries.
		Invalid hscode.Errors
	}

	// Core holds the list of peers and the published state. It decides whether
	// this host reads the store, to which peers it sends changes, and when it
	// fetches changes from a peer at a higher revision. It does no I/O: the caller
	// carries out each Output. It reads no clock and is not safe for concurrent
	// use.
	Core struct {
		cfg    CoreConfig
		self   string
		roster *hsroster.Roster
		state  hsfeed.Replica
		reader bool
		// True if the last call to the store failed or the connection to it appears
		// to be dead.
		storeUnavailable bool
		leaving          bool
		isolation        isolation
		lastFetch        time.Time
		// When a peer delivered the first change that this host, as a reader, has not
		// received from the store; zero if there is none.
		storeBehindSince time.Time
		// Number of peers in this zone that were alive at the last election.
		zonePeersAlive int
		// Round-robin order of the load reports to peers in this zone and in other
		// zones.
		zoneReports   roundRobin
		remoteReports roundRobin
		// Number of reports in this zone that could have carried paces.
		paceRound int
		// Position that this host last relayed for each root; see relayReceived.
		relayed map[string]hsfeed.Position
		// Root and position of an update that was announced to this host and that it
		// relays once it has fetched it; zero if there is none.
		awaitedRoot     string
		awaitedPosition hsfeed.Position
		// Digests of peers' states at the position of this host's state that have
		// nothing to add to it, although they differ from it; see compareState.
		merged map[uint64]bool
		// When merged was last cleared.
		mergedSince time.Time
		store       storeTracker
		// Entry hosts heard of in the last minutes, dead ones included.
		members *hsbudget.Members
		// Availability zones of the listed targets, sorted.
		targetZones []string
		// Valid entries that are not listed.
		unlisted map[hsfeed.UnlistedEntry]bool
		// When the peers that are alive were last added to members, and number of
		// hosts that were alive then.
		peersHeardAt time.Time
		hostCount    int
		out          Output
	}
)

const (
	// TickInterval is the time between ticks: a fraction of probeInterval and
	// suspectTimeout.
	TickInterval = 100 * time.Millisecond

	// With probeInterval and suspectTimeout, a dead peer is detected within two
	// seconds. Faster detection is not needed: in a small zone, missing load
	// reports show within minSilenceTimeout that a reader is dead.
	probeInterval  = 500 * time.Millisecond
	suspectTimeout = 600 * time.Millisecond
	// maxPeers limits the number of peers, since any host that sends a heartbeat
	// becomes a peer. It is several times the number of hosts in a large region.
	maxPeers = 4096
	// minFetchInterval is the minimum time between two fetches.
	minFetchInterval = 100 * time.Millisecond
	// peersHeardInterval is the time between two records of the peers that are
	// alive. Peers that die are remembered for minutes.
	peersHeardInterval = 500 * time.Millisecond
	// mergedTime is the maximum time for which a peer's state that had nothing to
	// add is not fetched again.
	mergedTime = 10 * time.Second
	// maxInlineUpdateSize is the largest update, in bytes, that is sent inside a
	// heartbeat; a larger one would not fit into one packet.
	maxInlineUpdateSize = 1100
	// maxPushPeers limits the peers in this zone that get an unscheduled report of
	// changed ejections.
	maxPushPeers = 16
)

// NewCore returns a core that knows only the seeds. Its host reads the store
// until it learns of a peer in its zone that has a lower rank.
func NewCore(cfg CoreConfig) *Core {
	self := cfg.Self.String()
	return &Core{
		cfg:  cfg,
		self: self,
		roster: hsroster.New(hsroster.Config{
			Self:           self,
			Boot:           cfg.Boot,
			ProbeInterval:  probeInterval,
			SuspectTimeout: suspectTimeout,
			RandomSeed:     xxhash.Sum64String(self),
			MaxMembers:     maxPeers,
			Zone:           cfg.Zone,
		}),
		reader:  true,
		relayed: map[string]hsfeed.Position{},
		merged:  map[uint64]bool{},
	}
}

// IsReader reports whether this host reads the store.
func (c *Core) IsReader() bool { return c.reader }

// State returns the published state.
func (c *Core) State() *hsfeed.Replica { return &c.state }

// Peers returns all known peers, dead ones included.
func (c *Core) Peers() []hsroster.Peer { return c.roster.Peers() }

// MemberCount returns the number of entry hosts heard of in the last minutes, this
// host included.
func (c *Core) MemberCount() int {
	if c.members == nil {
		return 1
	}
	return c.members.Own()
}

// Start contacts the seeds.
func (c *Core) Start(now time.Time) Output {
	c.members = hsbudget.NewMembers(now, c.self, c.cfg.Zone)
	for _, s := range c.cfg.Seeds {
		c.members.AddSeed(s.String())
	}
	return c.AddSeeds(now, c.cfg.Seeds)
}

// AddSeeds adds peers that are never removed, even if they are dead.
func (c *Core) AddSeeds(now time.Time, seeds []netip.Addr) Output {
	names := make([]string, len(seeds))
	for i, s := range seeds {
		names[i] = s.String()
	}
	c.applyRosterOutput(c.roster.AddSeeds(now, names))
	return c.takeOutput()
}

// Tick does the periodic work: it probes peers, checks the connection to the
// store, and decides again whether this host reads the store. It must be called
// every TickInterval.
func (c *Core) Tick(now time.Time) Output {
	c.checkCallGap(now)
	c.applyRosterOutput(c.roster.Tick(now))
	c.checkStoreLag(now)
	c.elect(now)
	c.checkIsolation(now)
	c.applyChange(c.state.Tick(now))
	if now.Sub(c.mergedSince) >= mergedTime {
		clear(c.merged)
		c.mergedSince = now
	}
	c.updateMembers(now)
	return c.takeOutput()
}

// updateMembers records which peers are alive and passes on the members if they
// or their number changed. Members outlive the peers of the roster, which drops
// dead ones: a host whose peers are dead or cut off must not take their shares.
func (c *Core) updateMembers(now time.Time) {
	if c.members == nil {
		return
	}
	if now.Sub(c.peersHeardAt) >= peersHeardInterval {
		c.peersHeardAt = now
		alive := 0
		for _, p := range c.roster.Peers() {
			if p.Alive {
				alive++
				c.members.Hear(p.LastHeard, p.Name, p.Zone)
			}
		}
		c.members.SetAlive(alive)
		if alive+1 != c.hostCount {
			c.hostCount = alive + 1
			c.out.HostCount = c.hostCount
		}
	}
	if v, changed := c.members.Update(now, c.targetZones); changed {
		c.out.Members = &v
	}
	c.roster.SetHostCount(uint32(c.members.Own()))
}

// Leave announces the planned stop to peers and gives up the reader role if a
// peer in the zone can take it over.
func (c *Core) Leave(now time.Time) Output {
	c.leaving = true
	c.applyRosterOutput(c.roster.Leave(now))
	c.elect(now)
	return c.takeOutput()
}

// Receive processes a heartbeat that arrived from the given address.
func (c *Core) Receive(now time.Time, hb *hsschema.Heartbeat, from netip.Addr) Output {
	c.checkCallGap(now)
	if hb.GetFrom() != from.String() {
		c.countCode(hscode.PeerUnknown)
		return c.takeOutput()
	}
	out, code := c.roster.Receive(now, hb)
	if code != hscode.OK {
		c.countCode(code)
		return c.takeOutput()
	}
	if zone := hb.GetZone(); zone != "" && zone != c.cfg.Zone {
		c.isolation.lastRemote = now
		c.checkIsolation(now)
	}
	c.compareState(now, &out, hb, from)
	if c.members != nil {
		c.members.HearCount(now, hb.GetHosts())
	}
	switch hb.GetKind() {
	case hsschema.Heartbeat_KIND_UPDATE:
		if hb.GetUpdate() != nil {
			c.applyPush(now, hb, from)
		}
		c.relayReceived(hb)
	case hsschema.Heartbeat_KIND_LOADS:
		c.out.Report = &PeerReport{Host: hb.GetFrom(), Loads: decodeLoads(hb)}
		if hb.GetZone() == c.cfg.Zone {
			c.out.Report.Ejected = decodeEjected(hb)
			c.out.Report.Paces = decodePaces(hb)
			c.out.Report.EjectionDuration = peerEjectionDuration(c.zonePeersAlive)
		}
	}
	c.confirmByPeer(now, hb)
	c.applyRosterOutput(out)
	return c.takeOutput()
}

// compareState compares the state of the sender of a heartbeat with the one here,
// and fetches what this host lacks. The sender may have what this host lacks
// although both are at the same position: after the store was restored, one of
// the two may know what the store has lost. compareState does nothing if the
// heartbeat itself carries an update.
func (c *Core) compareState(now time.Time, out *hsroster.Output, hb *hsschema.Heartbeat, from netip.Addr) {
	digest := hb.GetHistory()
	switch {
	case hb.GetUpdate() != nil:
	case out.NewerPeer != "" && c.state.Adopt(now, c.peerPosition(hb.GetEra(), hb.GetVersion()), digest):
		c.announceState()
	case out.NewerPeer != "" && c.state.Position().Era == 0 && hb.GetEra() != 0:
		c.requestFetch(now, Fetch{From: from})
	case out.NewerPeer != "":
		c.requestFetch(now, Fetch{From: from, Since: c.state.Position()})
	case out.DivergentPeer != "" && digest != 0 && !c.merged[digest]:
		c.requestFetch(now, Fetch{From: from, Digest: digest})
	}
}

// ApplyStoreUpdate applies an update read from the store and sends the changes
// to peers.
func (c *Core) ApplyStoreUpdate(now time.Time, u *hsfeed.Update) Output {
	since := c.state.Position()
	c.storeBehindSince = time.Time{}
	c.checkCallGap(now)
	c.applyUpdate(now, u)
	if c.state.Position().After(since) {
		c.pushChanges(since)
	}
	// A list may be of a stale page; a watch is answered by the current state.
	if u.Since > 0 && c.store.source == c.self {
		c.store.confirm(now, now)
	}
	return c.takeOutput()
}

// ApplyFetchedUpdate applies a peer's response to a fetch.
func (c *Core) ApplyFetchedUpdate(now time.Time, f *Fetch, u *hsfeed.Update) Output {
	c.applyPeerUpdate(now, u)
	if u.Since == 0 && c.peerPosition(u.Era, u.Revision) == c.state.Position() {
		c.merged[u.Digest()] = true
		if len(u.Errors) > 0 {
			// The peer's digest covers the invalid events, so that the states will
			// differ until the peer no longer has them.
			c.merged[f.Digest] = true
		}
	}
	c.relayFetched()
	return c.takeOutput()
}

// applyPeerUpdate applies an update from a peer. If this host is a reader, the
// store has to deliver the same changes soon; see checkStoreLag.
func (c *Core) applyPeerUpdate(now time.Time, u *hsfeed.Update) hscode.Code {
	before := c.state.Position()
	code := c.applyUpdate(now, u)
	if c.reader && before.Revision > 0 && c.state.Position().After(before) && c.storeBehindSince.IsZero() {
		c.storeBehindSince = now
	}
	return code
}

// SetStoreAvailable records whether the store is available to this host and
// tells peers if that changed.
func (c *Core) SetStoreAvailable(now time.Time, available bool) Output {
	c.storeUnavailable = !available
	c.isolation.callFailed = !available && c.isolation.checking
	c.checkIsolation(now)
	if !available && c.store.source == c.self {
		c.store.interrupt()
	}
	c.applyRosterOutput(c.roster.SetStoreUnavailable(now, c.storeUnavailable))
	return c.takeOutput()
}

// applyPush applies an update that a peer sent without a request. If earlier
// changes are missing here, it fetches them from that peer.
func (c *Core) applyPush(now time.Time, hb *hsschema.Heartbeat, from netip.Addr) {
	u := hsfeed.FromProto(hb.GetUpdate())
	if code := c.applyPeerUpdate(now, &u); code == hscode.PeerGap {
		c.requestFetch(now, Fetch{From: from, Since: c.state.Position()})
	}
}

func (c *Core) applyUpdate(now time.Time, u *hsfeed.Update) hscode.Code {
	for _, err := range u.Errors {
		c.countCode(err.Code)
	}
	c.out.Invalid = append(c.out.Invalid, u.Errors...)
	ch, code := c.state.Apply(now, u)
	if code != hscode.OK {
		c.countCode(code)
	}
	c.applyChange(ch)
	return code
}

func (c *Core) applyChange(ch hsfeed.Change) {
	if ch.Configuration {
		c.out.Configuration = c.state.Configuration()
	}
	if ch.Targets {
		c.out.Targets = c.state.Targets()
		c.out.TargetsChanged = true
		c.targetZones = zonesOf(c.out.Targets)
		c.reportUnlisted()
	}
	if ch.Evacuations {
		c.out.Evacuations = c.state.Evacuations()
		c.out.EvacuationsChanged = true
	}
	if ch != (hsfeed.Change{}) {
		clear(c.merged)
	}
	c.announceState()
}

// reportUnlisted reports valid entries that are not listed, and were not reported
// before.
func (c *Core) reportUnlisted() {
	reported := c.unlisted
	c.unlisted = nil
	for _, e := range c.state.UnlistedEntries() {
		if c.unlisted == nil {
			c.unlisted = map[hsfeed.UnlistedEntry]bool{}
		}
		c.unlisted[e] = true
		if reported[e] {
			continue
		}
		err := hscode.New(hscode.PlatformService, e.Name, "service %.32q is not in the configuration", e.Service)
		if e.Listed != "" {
			err = hscode.New(hscode.PlatformDuplicate, e.Name, "target ID %x is that of %.64q", uint64(e.ID), e.Listed)
		}
		c.countCode(err.Code)
		c.out.Invalid = append(c.out.Invalid, err)
	}
}

// zonesOf returns the availability zones of targets, sorted.
func zonesOf(targets []hsfeed.TargetRecord) []string {
	zones := map[string]bool{}
	for i := range targets {
		zones[targets[i].Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// announceState lets heartbeats carry the position and digest of the state.
func (c *Core) announceState() {
	p := c.state.Position()
	c.roster.SetState(p.Era, p.Revision, c.state.Digest())
}

// peerPosition returns the position that a peer means by an era and a revision.
// Peers that do not know the era count as in the same one as this host.
func (c *Core) peerPosition(era, revision uint64) hsfeed.Position {
	return hsfeed.Position{Era: cmp.Or(era, c.state.Position().Era), Revision: revision}
}

// applyRosterOutput adds to the output the heartbeats that the roster wants to
// send.
func (c *Core) applyRosterOutput(out hsroster.Output) {
	for _, h := range out.Heartbeats {
		c.send(h.To, h.Message)
	}
}

func (c *Core) requestFetch(now time.Time, f Fetch) {
	if now.Sub(c.lastFetch) < minFetchInterval {
		return
	}
	c.lastFetch = now
	c.out.Fetches = append(c.out.Fetches, f)
}

func (c *Core) send(to string, hb *hsschema.Heartbeat) {
	addr, err := netip.ParseAddr(to)
	if err != nil {
		c.countCode(hscode.PeerMessage)
		return
	}
	c.out.Heartbeats = append(c.out.Heartbeats, Heartbeat{To: addr, Message: hb})
}

func (c *Core) countCode(code hscode.Code) { c.out.Codes = append(c.out.Codes, code) }

func (c *Core) takeOutput() Output {
	c.addStoreStatus()
	out := c.out
	c.out = Output{}
	return out
}
