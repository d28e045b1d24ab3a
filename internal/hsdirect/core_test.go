package hsdirect

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// cluster runs cores over a simulated network without delay, in steps of
	// TickInterval. Hosts that are readers read its store.
	cluster struct {
		t     *testing.T
		now   time.Time
		store hsfeed.Replica
		hosts []*clusterHost
		// Reports whether messages from one host to another are lost.
		messageLost func(from, to netip.Addr) bool
		// Number of fetches that hosts made, of invalid events that they report, and
		// of messages of peers that they count as invalid.
		fetches, invalid, rejected int
	}

	clusterHost struct {
		core *Core
		addr netip.Addr
		zone string
		// False while the process is down.
		running bool
		// Whether the store responds to the host, and whether the host's calls fail
		// while it does not; they hang otherwise.
		storeUp       bool
		detectsOutage bool
		// Loads and ejections received from peers.
		reports map[string][]hsplace.Load
		ejected []hsfeed.TargetID
	}
)

var epoch = time.Unix(1_000_000, 0)

func newCluster(t *testing.T, zones ...string) *cluster {
	c := &cluster{t: t, now: epoch, messageLost: func(netip.Addr, netip.Addr) bool { return false }}
	for i, zone := range zones {
		h := &clusterHost{addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), zone: zone, storeUp: true, detectsOutage: true}
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	c.publish()
	return c
}

// start starts a host's process. The first three hosts are the seeds of every
// host.
func (c *cluster) start(h *clusterHost) {
	var seeds []netip.Addr
	for _, s := range c.hosts[:min(3, len(c.hosts))] {
		seeds = append(seeds, s.addr)
	}
	h.running = true
	h.reports = map[string][]hsplace.Load{}
	h.core = NewCore(CoreConfig{
		Self:  h.addr,
		Zone:  h.zone,
		Boot:  uint64(c.now.UnixMicro()),
		Seeds: seeds,
	})
	c.applyOutput(h, h.core.Start(c.now))
}

// publish adds a configuration to the store as a new revision.
func (c *cluster) publish() {
	r := c.store.Revision() + 1
	since := r - 1
	c.store.Apply(c.now, &hsfeed.Update{Era: 1, Since: since, Revision: r, Events: []hsfeed.Event{{
		Revision:      r,
		Configuration: &hsfeed.Configuration{Version: r},
	}}})
}

// advance advances the clock by d. At every tick, each reader reads the store
// and each host runs its periodic work.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(TickInterval)
		for _, h := range c.hosts {
			if h.running {
				c.readStore(h)
				c.applyOutput(h, h.core.Tick(c.now))
			}
		}
	}
}

func (c *cluster) readStore(h *clusterHost) {
	if !h.core.IsReader() {
		return
	}
	if !h.storeUp {
		if h.detectsOutage {
			c.applyOutput(h, h.core.SetStoreAvailable(c.now, false))
		}
		return
	}
	c.applyOutput(h, h.core.SetStoreAvailable(c.now, true))
	if u, ok := c.store.UpdateSince(h.core.State().Position()); ok {
		c.applyOutput(h, h.core.ApplyStoreUpdate(c.now, &u))
	}
}

func (c *cluster) host(a netip.Addr) *clusterHost {
	i := slices.IndexFunc(c.hosts, func(h *clusterHost) bool { return h.addr == a })
	return c.hosts[i]
}

func (c *cluster) applyOutput(h *clusterHost, out Output) {
	h.detectsOutage = h.detectsOutage || out.Relist
	if out.Report != nil {
		h.reports[out.Report.Host] = out.Report.Loads
		h.ejected = append(h.ejected, out.Report.Ejected...)
	}
	for _, m := range out.Heartbeats {
		to := c.host(m.To)
		if !to.running || c.messageLost(h.addr, to.addr) {
			continue
		}
		hb := &hsschema.Heartbeat{}
		data, err := proto.Marshal(m.Message)
		assert.NilError(c.t, err)
		assert.NilError(c.t, proto.Unmarshal(data, hb))
		c.applyOutput(to, to.core.Receive(c.now, hb, h.addr))
	}
	c.invalid += len(out.Invalid)
	for _, code := range out.Codes {
		if code == hscode.PeerMessage {
			c.rejected++
		}
	}
	for _, f := range out.Fetches {
		c.fetches++
		from := c.host(f.From)
		if !from.running || c.messageLost(h.addr, from.addr) || c.messageLost(from.addr, h.addr) {
			continue
		}
		if u, ok := from.core.State().UpdateSince(f.Since); ok {
			decoded := hsfeed.FromProto(hsfeed.ToProto(&u))
			c.applyOutput(h, h.core.ApplyFetchedUpdate(c.now, &f, &decoded))
		}
	}
}

// readerCount returns how many hosts in a zone read the store.
func (c *cluster) readerCount(zone string) int {
	n := 0
	for _, h := range c.hosts {
		if h.running && h.zone == zone && h.core.IsReader() {
			n++
		}
	}
	return n
}

// upToDate reports whether all running hosts have the latest revision.
func (c *cluster) upToDate() bool {
	for _, h := range c.hosts {
		if h.running && h.core.State().Revision() != c.store.Revision() {
			return false
		}
	}
	return true
}

func (c *cluster) reader(zone string) *clusterHost {
	i := slices.IndexFunc(c.hosts, func(h *clusterHost) bool { return h.running && h.zone == zone && h.core.IsReader() })
	return c.hosts[i]
}

// reportLoads sends the load reports of all hosts, as the data task does.
func (c *cluster) reportLoads() {
	for _, h := range c.hosts {
		if h.running {
			c.applyOutput(h, h.core.ReportLoads(c.now, &LocalReport{Loads: []hsplace.Load{{Target: 1, Requests: 2}}}))
		}
	}
}

// advanceWithLoads is advance with load reports, which also show which hosts
// are alive.
func (c *cluster) advanceWithLoads(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.advance(TickInterval)
		c.reportLoads()
	}
}

// TestOneReaderPerZone checks that hosts discover one another from three seeds,
// that one host per zone reads the store, and that all hosts have each revision
// within two ticks.
func TestOneReaderPerZone(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "b", "b", "c", "c", "a")
	c.advanceWithLoads(3 * time.Second)
	for _, zone := range []string{"a", "b", "c"} {
		assert.Equal(t, c.readerCount(zone), 1, zone)
	}
	for range 20 {
		c.publish()
		c.advance(2 * TickInterval)
		assert.Assert(t, c.upToDate())
	}
	for _, h := range c.hosts {
		assert.Equal(t, len(h.core.Peers()), len(c.hosts)-1)
	}
}

// TestReaderStays checks that a large zone keeps a single reader although its
// hosts seldom hear from one another, since each load report goes to only a few
// of them.
func TestReaderStays(t *testing.T) {
	zones := make([]string, 0, 33)
	for range 30 {
		zones = append(zones, "big")
	}
	c := newCluster(t, append(zones, "b", "b", "c")...)
	c.advanceWithLoads(6 * time.Second)
	reader := c.reader("big")
	for range 100 {
		c.advanceWithLoads(TickInterval)
		assert.Equal(t, c.readerCount("big"), 1)
		assert.Equal(t, c.reader("big"), reader)
	}
	reader.running = false
	c.advanceWithLoads(3 * time.Second)
	assert.Equal(t, c.readerCount("big"), 1)
}

// TestReaderFailover checks that another host of the zone takes over within a
// second after the reader was killed, lost the store, or was cut off: the other
// hosts get a change that is published then.
func TestReaderFailover(t *testing.T) {
	failures := map[string]func(c *cluster, h *clusterHost){
		"killed":  func(_ *cluster, h *clusterHost) { h.running = false },
		"refused": func(_ *cluster, h *clusterHost) { h.storeUp = false },
		"cut off": func(c *cluster, h *clusterHost) {
			h.storeUp = false
			c.messageLost = func(from, to netip.Addr) bool { return from == h.addr || to == h.addr }
		},
	}
	for name, inject := range failures {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "a", "a", "a")
			c.advanceWithLoads(3 * time.Second)
			assert.Equal(t, c.readerCount("a"), 1)
			old := c.reader("a")
			inject(c, old)
			c.publish()
			c.advanceWithLoads(time.Second)
			for _, h := range c.hosts {
				if h != old {
					assert.Equal(t, h.core.State().Revision(), c.store.Revision())
				}
			}
		})
	}
}

// TestUpdateFromOtherZones checks that a zone gets configurations from other
// zones while its reader's calls to the store hang without an error.
func TestUpdateFromOtherZones(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "b")
	c.advanceWithLoads(3 * time.Second)
	h := c.reader("a")
	h.storeUp, h.detectsOutage = false, false
	c.publish()
	c.advanceWithLoads(3 * TickInterval)
	assert.Assert(t, c.upToDate())
}

// TestSilentStore checks that a reader which gets a change from peers, but not
// from the store, treats its connection to the store as dead, so that another
// host of its zone reads the store within a second after the change.
func TestSilentStore(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "b")
	c.advanceWithLoads(3 * time.Second)
	h := c.reader("a")
	h.storeUp, h.detectsOutage = false, false
	c.publish()
	c.advanceWithLoads(time.Second)
	assert.Assert(t, h.detectsOutage)
	for _, other := range c.hosts {
		if other != h && other.zone == "a" {
			assert.Assert(t, other.core.IsReader())
		}
	}
	h.storeUp = true
	c.advanceWithLoads(time.Second)
	assert.Equal(t, c.readerCount("a"), 1)
}

// TestZoneCut checks that a zone which is cut off from the other zones, but not
// from the store, stays up to date, and that all hosts see one another as alive
// after the partition has healed.
func TestZoneCut(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "b", "c")
	c.advanceWithLoads(3 * time.Second)
	c.messageLost = func(from, to netip.Addr) bool { return c.host(from).zone != c.host(to).zone }
	c.advanceWithLoads(4 * time.Second)
	for range 5 {
		c.publish()
		c.advanceWithLoads(2 * TickInterval)
		assert.Assert(t, c.upToDate())
	}
	c.messageLost = func(netip.Addr, netip.Addr) bool { return false }
	c.advanceWithLoads(3 * time.Second)
	for _, h := range c.hosts {
		for _, p := range h.core.Peers() {
			assert.Assert(t, p.Alive, "%s considers %s dead", h.addr, p.Name)
		}
	}
}

// TestStartWithStoreDown checks that a host which starts while the store and
// one of its seeds are down gets the state from its peers.
func TestStartWithStoreDown(t *testing.T) {
	c := newCluster(t, "a", "b", "b", "a")
	c.advanceWithLoads(3 * time.Second)
	for _, h := range c.hosts {
		h.storeUp = false
	}
	c.hosts[0].running = false
	late := c.hosts[3]
	c.start(late)
	c.advanceWithLoads(time.Second)
	assert.Equal(t, late.core.State().Revision(), c.store.Revision())
}

// TestAllRestart checks that hosts which all restart at once, with clocks that
// were set back, discover one another again.
func TestAllRestart(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "b")
	c.advanceWithLoads(3 * time.Second)
	for _, h := range c.hosts {
		boot := h.core.cfg.Boot
		c.start(h)
		h.core.cfg.Boot = boot
	}
	c.advanceWithLoads(4 * time.Second)
	for _, h := range c.hosts {
		assert.Equal(t, len(h.core.Peers()), len(c.hosts)-1)
		for _, p := range h.core.Peers() {
			assert.Assert(t, p.Alive)
		}
	}
}

// TestReportsArrive checks that load reports reach all hosts.
func TestReportsArrive(t *testing.T) {
	c := newCluster(t, "a", "a", "b")
	c.advanceWithLoads(time.Second)
	for _, h := range c.hosts {
		assert.Equal(t, len(h.reports), len(c.hosts)-1)
	}
}

// TestEjectionReachesLargeZone checks that a host's ejection of a target
// reaches all hosts of a large zone, which receive load reports in turns, and
// reaches each of them again before it expires there.
func TestEjectionReachesLargeZone(t *testing.T) {
	zones := make([]string, 0, 30)
	for range 30 {
		zones = append(zones, "big")
	}
	c := newCluster(t, zones...)
	c.advanceWithLoads(6 * time.Second)
	h := c.hosts[0]
	lastReport := map[netip.Addr]time.Time{}
	for step := range 40 {
		c.advance(TickInterval)
		for _, other := range c.hosts {
			other.ejected = nil
		}
		c.applyOutput(h, h.core.ReportLoads(c.now, &LocalReport{Ejected: []hsfeed.TargetID{7}, EjectionsChanged: step == 0 || step == 1}))
		for _, other := range c.hosts[1:] {
			if len(other.ejected) > 0 {
				lastReport[other.addr] = c.now
			}
			if step > 1 {
				assert.Assert(t, c.now.Sub(lastReport[other.addr]) < peerEjectionDuration(len(c.hosts))*3/2, "%s did not receive the ejection in time, after %d steps", other.addr, step)
			}
		}
	}
}

// TestControlBudget checks that a host sends less than 3 KB/s, headers
// included, in a deployment of eight hosts under usual load.
func TestControlBudget(t *testing.T) {
	c := newCluster(t, "a", "a", "a", "b", "b", "b", "c", "c")
	c.advanceWithLoads(3 * time.Second)
	sent := 0
	seconds := 4
	for range seconds * int(time.Second/TickInterval) {
		c.now = c.now.Add(TickInterval)
		h := c.hosts[0]
		// The requests in progress of 65 requests per second that take 60 ms each.
		loads := make([]hsplace.Load, 4)
		for i := range loads {
			loads[i] = hsplace.Load{Target: hsfeed.TargetID(1<<40 + i), Requests: 2}
		}
		for _, out := range []Output{h.core.Tick(c.now), h.core.ReportLoads(c.now, &LocalReport{Loads: loads})} {
			for _, m := range out.Heartbeats {
				sent += proto.Size(m.Message) + 28
			}
			c.applyOutput(h, out)
		}
	}
	assert.Assert(t, sent/seconds < 3000, "%d bytes per second", sent/seconds)
}

// TestEjectionReachesZone checks that a host's ejection of a target is sent at
// once to all hosts of its zone and to no host of another zone, which may reach
// the target.
func TestEjectionReachesZone(t *testing.T) {
	c := newCluster(t, "a", "a", "a", "b")
	c.advanceWithLoads(time.Second)
	h := c.hosts[0]
	c.applyOutput(h, h.core.ReportLoads(c.now, &LocalReport{Ejected: []hsfeed.TargetID{7}, EjectionsChanged: true}))
	for _, other := range c.hosts[1:] {
		reported := slices.Contains(other.ejected, 7)
		assert.Equal(t, reported, other.zone == "a", other.addr)
	}
}

// TestSeedsStartLast checks that hosts find one another within seconds if all
// start at the same time and the seeds a moment later, so that the first pings
// to them are lost. Hosts that know no other host of their zone each read the
// store.
func TestSeedsStartLast(t *testing.T) {
	zones := []string{"a", "b", "c"}
	for range 7 {
		zones = append(zones, "a", "b", "c", "d", "e")
	}
	for ticks := range 6 {
		c := newCluster(t, zones...)
		for _, h := range c.hosts {
			h.running = false
		}
		for _, h := range c.hosts[3:] {
			c.start(h)
		}
		c.advance(time.Duration(ticks) * TickInterval)
		for _, h := range c.hosts[:3] {
			c.start(h)
		}
		c.advanceWithLoads(4 * time.Second)
		for _, zone := range []string{"a", "b", "c", "d", "e"} {
			assert.Equal(t, c.readerCount(zone), 1, "zone %s, seeds start after %d ticks", zone, ticks)
		}
	}
}

// TestPushSkipsDeadPeers checks that a change is sent to as many live hosts of
// another zone as are its contacts, although many of its hosts are dead.
func TestPushSkipsDeadPeers(t *testing.T) {
	zones := []string{"a"}
	for range 20 {
		zones = append(zones, "b")
	}
	c := newCluster(t, zones...)
	c.advanceWithLoads(4 * time.Second)
	reader := c.hosts[0]
	for _, p := range reader.core.Peers()[:16] {
		c.host(netip.MustParseAddr(p.Name)).running = false
	}
	c.advanceWithLoads(20 * time.Second)
	u := hsfeed.Update{Since: c.store.Revision(), Revision: c.store.Revision() + 1, Events: []hsfeed.Event{{Revision: c.store.Revision() + 1, Removed: 9}}}
	pushed := 0
	for _, m := range reader.core.ApplyStoreUpdate(c.now, &u).Heartbeats {
		if m.Message.GetKind() == hsschema.Heartbeat_KIND_UPDATE && c.host(m.To).running {
			pushed++
		}
	}
	assert.Equal(t, pushed, maxRemoteContacts)
}

// TestRegainedReaderRole checks that a host which loses the reader role while
// the store lags behind a peer, and regains the role later, does not take the
// store for unavailable at once.
func TestRegainedReaderRole(t *testing.T) {
	c := newCluster(t, "a", "a", "b")
	c.advanceWithLoads(3 * time.Second)
	old := c.reader("a")
	old.storeUp, old.detectsOutage = false, false
	c.publish()
	c.advanceWithLoads(TickInterval)
	assert.Assert(t, !old.core.storeBehindSince.IsZero())
	c.applyOutput(old, old.core.SetStoreAvailable(c.now, false))
	other := c.hosts[0]
	if other == old {
		other = c.hosts[1]
	}
	old.core.leaving = true
	c.applyOutput(old, old.core.Tick(c.now))
	assert.Assert(t, !old.core.IsReader())
	old.core.leaving = false
	other.running = false
	c.advanceWithLoads(2 * time.Second)
	assert.Assert(t, old.core.IsReader())
	assert.Assert(t, old.core.storeBehindSince.IsZero())
}

// TestEjectionLine checks that the log line of an ejection has each key once, so
// that tools can read it.
func TestEjectionLine(t *testing.T) {
	var b strings.Builder
	e := &EntryHost{cfg: Config{Logger: &log.Logger{Writer: &log.IOWriter{Writer: &b}}}}
	l := &flowLogger{e: e}
	l.tick(epoch, &hscookie.Core{Ejections: []hsplace.Ejection{{Target: 7, Zone: "a", Duration: time.Second}}})
	keys := regexp.MustCompile(`"[a-z]+":`).FindAllString(b.String(), -1)
	slices.Sort(keys)
	assert.Equal(t, len(slices.Compact(slices.Clone(keys))), len(keys), "%v", keys)
	assert.Assert(t, slices.Contains(keys, `"for":`))
}

// TestLostTargetLine checks that the log line of a target that no longer exists
// says why, once, and that it is counted.
func TestLostTargetLine(t *testing.T) {
	var b strings.Builder
	e := &EntryHost{cfg: Config{Logger: &log.Logger{Writer: &log.IOWriter{Writer: &b}}}}
	l := &flowLogger{e: e}
	core := &hscookie.Core{LostTargets: []hscookie.LostTarget{{Target: 7, Successor: 9, Evidence: hscookie.AddressReused}}}
	l.tick(epoch, core)
	l.tick(epoch.Add(time.Second), core)
	assert.Equal(t, strings.Count(b.String(), "\n"), 1, b.String())
	for _, part := range []string{`"code":4020`, `"target":7`, `"successor":9`, `"evidence":"address reused"`} {
		assert.Assert(t, strings.Contains(b.String(), part), b.String())
	}
	assert.Equal(t, l.lostTargets, uint64(1))
}

// BenchmarkTick measures the periodic work of a host that knows 294 others: a
// tick and a load report.
func BenchmarkTick(b *testing.B) {
	core := NewCore(CoreConfig{Self: netip.MustParseAddr("10.0.0.1"), Zone: "a", Boot: 1})
	for i := range 294 {
		from := netip.AddrFrom4([4]byte{10, 1, byte(i / 100), byte(i%100 + 1)})
		core.Receive(epoch, &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_LOADS, From: from.String(), Boot: 1, Zone: string(rune('a' + i%5))}, from)
	}
	report := &LocalReport{Loads: []hsplace.Load{{Target: 1, Requests: 2}}}
	now := epoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		core.Tick(now)
		core.ReportLoads(now, report)
	}
}

// TestReaderPause checks that a reader which pauses between two calls to the
// store does not take the store for unavailable when a peer delivers a change
// in the pause, and that it does once the pause is over.
func TestReaderPause(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advanceWithLoads(3 * time.Second)
	h := c.hosts[0]
	h.core.cfg.WatchInterval = time.Second
	h.storeUp, h.detectsOutage = false, false
	c.publish()
	c.advanceWithLoads(time.Second)
	assert.Equal(t, h.core.State().Revision(), c.store.Revision())
	assert.Assert(t, !h.core.storeUnavailable)
	c.advanceWithLoads(storeLagMargin + 2*TickInterval)
	assert.Assert(t, h.core.storeUnavailable)
}

// TestRestartNextToStalePeer checks that a host which restarts next to a peer
// with an older state ends with the store's state, and never goes back: the
// peer was cut off from the store and from all other hosts, and still has a
// target that has left.
func TestRestartNextToStalePeer(t *testing.T) {
	c := newCluster(t, "a", "a", "b")
	c.advanceWithLoads(3 * time.Second)
	stale, restarted := c.hosts[0], c.hosts[1]
	stale.storeUp = false
	c.messageLost = func(from, to netip.Addr) bool { return from == stale.addr || to == stale.addr }
	old := stale.core.State().Revision()
	for range 3 {
		c.publish()
	}
	c.advanceWithLoads(time.Second)
	assert.Equal(t, stale.core.State().Revision(), old)
	c.messageLost = func(from, to netip.Addr) bool {
		other := c.hosts[2].addr
		return from == other || to == other
	}
	c.start(restarted)
	last := uint64(0)
	for range 20 {
		c.advanceWithLoads(TickInterval)
		now := restarted.core.State().Revision()
		assert.Assert(t, now >= last, "%d after %d", now, last)
		last = now
	}
	assert.Equal(t, last, c.store.Revision())
}

// TestPaceBudget checks that the paces that a host of a zone of 100 sends take at
// most 0.5 KB/s, that peers in its zone receive them as they were sent, and that
// no other zone does: a target may be slow for one zone only.
func TestPaceBudget(t *testing.T) {
	core := NewCore(CoreConfig{Self: netip.MustParseAddr("10.0.0.1"), Zone: "a", Boot: 1})
	now := epoch
	zones := map[netip.Addr]string{}
	paces := []hsplace.Pace{
		{Target: 1 << 40, Time: 250 * time.Millisecond, Count: 2.5},
		{Target: 2 << 40, Time: hsplace.MaxPace, Count: 9},
		{Target: 3 << 40, Time: time.Second, Count: 1},
	}
	sent, carried := 0, 0
	const seconds = 10
	for step := range seconds * int(time.Second/TickInterval) {
		now = now.Add(TickInterval)
		if step%5 == 0 {
			for i := range 299 {
				from := netip.AddrFrom4([4]byte{10, 1, byte(i / 100), byte(i%100 + 1)})
				zones[from] = string(rune('a' + i%3))
				core.Receive(now, &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_LOADS, From: from.String(), Boot: 1, Zone: zones[from]}, from)
			}
		}
		for _, m := range core.ReportLoads(now, &LocalReport{Paces: paces}).Heartbeats {
			if len(m.Message.GetPaces()) == 0 {
				continue
			}
			assert.Equal(t, zones[m.To], "a")
			assert.DeepEqual(t, decodePaces(m.Message), paces[:len(m.Message.GetPaces())])
			carried++
			size := proto.Size(m.Message)
			m.Message = proto.Clone(m.Message).(*hsschema.Heartbeat) //nolint:forcetypeassert // a clone has the same type
			m.Message.Paces = nil
			sent += size - proto.Size(m.Message)
		}
	}
	assert.Assert(t, carried > seconds)
	assert.Assert(t, sent/seconds <= 512, "%d bytes per second", sent/seconds)
}

// TestForeignPaces checks that the paces of a host of another zone are ignored,
// and that no more are taken from a message than a report holds.
func TestForeignPaces(t *testing.T) {
	core := NewCore(CoreConfig{Self: netip.MustParseAddr("10.0.0.1"), Zone: "a", Boot: 1})
	from := netip.MustParseAddr("10.0.0.2")
	hb := &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_LOADS, From: from.String(), Boot: 1, Zone: "b"}
	for range 1000 {
		hb.Paces = append(hb.Paces, &hsschema.Pace{Target: 1, Time: 1, Count: 1})
	}
	assert.Equal(t, len(core.Receive(epoch, hb, from).Report.Paces), 0)
	hb.Zone = "a"
	assert.Equal(t, len(core.Receive(epoch, hb, from).Report.Paces), maxReportedPaces*maxZoneRecipients)
}
