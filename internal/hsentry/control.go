package hsentry

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hshome"
	"heatherstack.org/heatherstack/internal/hskey"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsrank"
	"heatherstack.org/heatherstack/internal/hsroster"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	controlKind uint8

	// controlMessage is a message to the control task.
	controlMessage struct {
		kind controlKind
		// For heartbeatMessage.
		heartbeat *hsschema.Heartbeat
		from      netip.Addr
		// For offerMessage; the history is nil if the platform offered.
		manifest *hsmanifest.Manifest
		history  hsmanifest.History
		// For loadMessage.
		loads  []hshome.Load
		quiet  bool
		paused bool
		// For statusMessage.
		status chan<- ControlStatus
		// For currentMessage.
		current chan<- current
	}

	// current is the manifest in force with its history.
	current struct {
		manifest *hsmanifest.Manifest
		history  hsmanifest.History
	}

	// ControlStatus is what the control task tells the status page.
	ControlStatus struct {
		Version uint64
		Digest  uint64
		// Time since which the version is in force here.
		Since   time.Time
		Members map[string]hsrank.Status
		Reader  bool
		Waiting bool
		Counts  map[hscode.Code]uint64
		View    *hsrank.View
		// Bytes of heartbeats with their IP and UDP headers.
		Sent     uint64
		Received uint64
	}

	// controller is the state of the control task.
	controller struct {
		e      *Entry
		roster *hsroster.Roster
		keeper hsmanifest.Keeper
		// Nil until the first manifest.
		view   *hsrank.View
		since  time.Time
		ring   *hskey.Ring
		counts map[hscode.Code]uint64
		// True while no peer has confirmed that the view is current.
		waiting   bool
		waitSince time.Time
		// True if a peer's history was learned since the wait began.
		learned  bool
		ticked   time.Time
		fetched  time.Time
		leaving  bool
		gone     bool
		reader   bool
		sent     uint64
		received uint64
	}
)

const (
	heartbeatMessage controlKind = iota + 1
	offerMessage
	loadMessage
	pausedMessage
	leaveMessage
	statusMessage
	currentMessage
)

const (
	controlTick = 25 * time.Millisecond
	// readersPerZone is the number of hosts per zone that read the platform.
	readersPerZone = 2
	// fetchInterval is the least time between two fetches from peers.
	fetchInterval = 100 * time.Millisecond
	// compareInterval is the least time between a fetch and one that only
	// learns history.
	compareInterval = 300 * time.Millisecond
	// aloneAfter is how many suspicion times a host without peers waits before
	// it takes its view for current.
	aloneAfter = 2
	maxLoads   = 32
	ipHeaders  = 28
	maxControl = 2048
)

// runControlReader verifies heartbeats and passes them on.
func (e *Entry) runControlReader(ctx context.Context) error {
	ring, err := hskey.NewRing(e.cfg.Settings.Key, e.cfg.Settings.OldKey)
	if err != nil {
		return errors.Trace(err)
	}
	buf := make([]byte, maxControl)
	for {
		n, from, err := e.sockets.control.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		hb := &hsschema.Heartbeat{}
		msg, genuine := ring.Open(buf[:n])
		if !genuine || proto.Unmarshal(msg, hb) != nil {
			hb = nil
		}
		m := controlMessage{kind: heartbeatMessage, heartbeat: hb, from: from.Addr().Unmap()}
		select {
		case e.toControl <- m:
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Entry) runControl(ctx context.Context) error {
	ring, err := hskey.NewRing(e.cfg.Settings.Key, e.cfg.Settings.OldKey)
	if err != nil {
		return errors.Trace(err)
	}
	set := e.cfg.Settings
	now := time.Now()
	c := &controller{
		e: e,
		roster: hsroster.New(hsroster.Config{
			Self:    set.Name,
			Boot:    e.cfg.Boot,
			Probe:   set.Probe,
			Suspect: set.Suspect,
			Seed:    xxhash.Sum64String(set.Name),
		}),
		ring:      ring,
		counts:    map[hscode.Code]uint64{},
		waiting:   true,
		waitSince: now,
		ticked:    now,
		reader:    true,
	}
	c.loop(ctx)
	return nil
}

func (c *controller) loop(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.e.toControl:
			c.message(ctx, time.Now(), &m)
		case <-ticker.C:
			c.tick(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (c *controller) message(ctx context.Context, now time.Time, m *controlMessage) {
	switch m.kind {
	case heartbeatMessage:
		c.heartbeat(ctx, now, m)
	case offerMessage:
		c.offer(ctx, now, m)
	case loadMessage:
		c.load(now, m)
		c.endStop(ctx, now, m.quiet)
	case pausedMessage:
		c.wake(ctx, now)
	case leaveMessage:
		c.leaving = true
		c.apply(ctx, now, c.roster.Leave(now))
		c.rebuild(ctx)
	case statusMessage:
		m.status <- c.status()
	case currentMessage:
		manifest, history := c.keeper.Current()
		m.current <- current{manifest: manifest, history: history}
	}
}

func (c *controller) tick(ctx context.Context, now time.Time) {
	if now.Sub(c.ticked) > c.e.cfg.Settings.Lease {
		c.wake(ctx, now)
	}
	c.ticked = now
	c.apply(ctx, now, c.roster.Tick(now))
	alone := now.Sub(c.waitSince) > aloneAfter*c.e.cfg.Settings.Suspect
	if c.waiting && c.view != nil && alone {
		c.resume(ctx)
	}
}

// wake starts the wait for word from a peer after a pause.
func (c *controller) wake(ctx context.Context, now time.Time) {
	c.waiting = true
	c.waitSince = now
	c.learned = false
	c.toSwitch(ctx, hshome.Input{Kind: hshome.InPause})
	c.apply(ctx, now, c.roster.Wake(now))
}

func (c *controller) resume(ctx context.Context) {
	c.waiting = false
	c.toSwitch(ctx, hshome.Input{Kind: hshome.InResume})
}

func (c *controller) heartbeat(ctx context.Context, now time.Time, m *controlMessage) {
	hb := m.heartbeat
	if hb == nil {
		c.counts[hscode.PeerMAC]++
		return
	}
	c.received += uint64(proto.Size(hb) + hskey.MACSize + ipHeaders)
	if c.view == nil || c.address(hb.GetFrom()) != m.from {
		c.counts[hscode.PeerUnknown]++
		return
	}
	out, code := c.roster.Receive(now, hb)
	c.apply(ctx, now, out)
	if code != hscode.OK {
		c.counts[code]++
		return
	}
	if len(hb.GetLoads()) > 0 {
		c.toSwitch(ctx, hshome.Input{Kind: hshome.InLoads, Loads: loadsOf(hb)})
	}
	if c.waiting && c.confirmed(hb) {
		c.resume(ctx)
	}
}

// confirmed reports whether a peer's heartbeat shows that the view is current:
// the peer has nothing newer, and either the same history or its history was
// learned since the wait began.
func (c *controller) confirmed(hb *hsschema.Heartbeat) bool {
	manifest, history := c.keeper.Current()
	if hb.GetVersion() > manifest.Version {
		return false
	}
	return c.learned || hb.GetHistory() == history.Digest()
}

// offer takes a manifest from the platform or a peer.
func (c *controller) offer(ctx context.Context, now time.Time, m *controlMessage) {
	before, _ := c.keeper.Current()
	changed, code := c.keeper.Offer(m.manifest, m.history)
	c.learned = c.learned || m.history != nil
	if code != hscode.OK {
		c.counts[code]++
		c.e.log(log.WarnLevel, code).Uint64("version", m.manifest.Version).Msg(hscode.Lookup(code).Text)
	}
	if !changed {
		return
	}
	manifest, history := c.keeper.Current()
	if manifest == before {
		c.roster.SetHistory(history.Digest())
		c.rebuild(ctx)
		return
	}
	c.since = now
	out := c.roster.SetHosts(now, manifest.Hosts)
	c.apply(ctx, now, out)
	c.rebuild(ctx)
	c.apply(ctx, now, c.roster.SetForce(now, manifest.Version, manifest.Digest, history.Digest()))
	c.e.log(log.InfoLevel, hscode.OK).Uint64("version", manifest.Version).Msg("manifest in force")
}

func (c *controller) load(now time.Time, m *controlMessage) {
	loads := make([]*hsschema.Load, 0, min(len(m.loads), maxLoads))
	for _, l := range m.loads[:min(len(m.loads), maxLoads)] {
		loads = append(loads, &hsschema.Load{Target: uint64(l.Target), Flows: uint32(l.Flows)})
	}
	c.roster.SetLoads(loads)
	if m.paused && !c.waiting {
		c.waiting = true
		c.waitSince = now
	}
}

// endStop says goodbye and ends a planned stop once the switch task is quiet.
func (c *controller) endStop(ctx context.Context, now time.Time, quiet bool) {
	if !quiet || !c.leaving || c.gone {
		return
	}
	c.gone = true
	c.apply(ctx, now, c.roster.Gone(now))
	close(c.e.stopped)
}

// apply carries out what the roster decided.
func (c *controller) apply(ctx context.Context, now time.Time, out hsroster.Output) {
	for _, s := range out.Sends {
		c.send(s)
	}
	if out.Changed && c.view != nil {
		c.rebuild(ctx)
	}
	switch {
	case out.Newer != "" && now.Sub(c.fetched) >= fetchInterval:
		c.fetched = now
		c.fetch(out.Newer)
	case out.Differs != "" && now.Sub(c.fetched) >= compareInterval:
		c.fetched = now
		c.fetch(out.Differs)
	}
}

func (c *controller) fetch(from string) {
	manifest, _ := c.keeper.Current()
	to := c.address(from)
	if manifest == nil || !to.IsValid() {
		return
	}
	select {
	case c.e.toCaller <- callMessage{to: to, version: manifest.Version, fetch: true}:
	default:
		c.counts[hscode.PeerFetch]++
	}
}

// rebuild makes a view of the manifest in force and the present members.
func (c *controller) rebuild(ctx context.Context) {
	manifest, history := c.keeper.Current()
	if manifest == nil {
		return
	}
	c.view = hsrank.NewView(hsrank.Config{
		Manifest: manifest,
		History:  history,
		Self:     c.e.cfg.Settings.Name,
		Members:  c.roster.Status(),
		Before:   c.view,
	})
	c.toSwitch(ctx, hshome.Input{Kind: hshome.InView, View: c.view})
	c.electReader()
}

// electReader decides whether this host reads the platform: the few hosts of
// its zone with the highest rendezvous score do.
func (c *controller) electReader() {
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
	reader := slices.Contains(names[:min(len(names), readersPerZone)], c.e.cfg.Settings.Name)
	if reader == c.reader {
		return
	}
	c.reader = reader
	// The channel holds one value; a newer decision replaces an unread one.
	select {
	case <-c.e.toPlatform:
	default:
	}
	c.e.toPlatform <- reader
}

func (c *controller) send(s hsroster.Send) {
	to := c.address(s.To)
	if !to.IsValid() {
		return
	}
	data, err := proto.Marshal(s.Message)
	if err != nil {
		c.counts[hscode.PeerMessage]++
		return
	}
	data = c.ring.Seal(data)
	c.sent += uint64(len(data) + ipHeaders)
	port := c.e.cfg.Settings.Control
	if _, err := c.e.sockets.control.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, port)); err != nil {
		c.counts[hscode.ProcessSend]++
	}
}

// address returns the listed address of a host, or an invalid one.
func (c *controller) address(name string) netip.Addr {
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

func (c *controller) toSwitch(ctx context.Context, in hshome.Input) {
	select {
	case c.e.toSwitch <- switchMessage{input: in}:
	case <-ctx.Done():
	}
}

func (c *controller) status() ControlStatus {
	st := ControlStatus{
		Since:    c.since,
		Members:  c.roster.Status(),
		Reader:   c.reader,
		Waiting:  c.waiting,
		Counts:   map[hscode.Code]uint64{},
		View:     c.view,
		Sent:     c.sent,
		Received: c.received,
	}
	if manifest, _ := c.keeper.Current(); manifest != nil {
		st.Version = manifest.Version
		st.Digest = manifest.Digest
	}
	for code, n := range c.counts {
		st.Counts[code] = n
	}
	return st
}

func loadsOf(hb *hsschema.Heartbeat) []hshome.Load {
	out := make([]hshome.Load, 0, len(hb.GetLoads()))
	for _, l := range hb.GetLoads() {
		out = append(out, hshome.Load{Target: hsmanifest.TargetID(l.GetTarget()), Flows: int(l.GetFlows())})
	}
	return out
}
