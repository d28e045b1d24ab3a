package hsdirect

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// world runs cores over a simulated network without delay, in steps of
	// TickInterval. Hosts that are readers read its store.
	world struct {
		t     *testing.T
		now   time.Time
		store hsfeed.Keeper
		hosts []*worldHost
		// Reports whether messages from one host to another are lost.
		cut func(from, to netip.Addr) bool
	}

	worldHost struct {
		core *Core
		addr netip.Addr
		zone string
		// False while the process is down.
		up bool
		// Whether the store responds to the host, and whether the host's calls fail
		// while it does not; they hang otherwise.
		served  bool
		noticed bool
		reports map[string][]hsplace.Load
		avoid   []hsfeed.TargetID
	}
)

var epoch = time.Unix(1_000_000, 0)

func newWorld(t *testing.T, zones ...string) *world {
	w := &world{t: t, now: epoch, cut: func(netip.Addr, netip.Addr) bool { return false }}
	for i, zone := range zones {
		h := &worldHost{addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), zone: zone, served: true, noticed: true}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	w.publish()
	return w
}

// start starts a host's process. The first three hosts are the seeds of all.
func (w *world) start(h *worldHost) {
	var seeds []netip.Addr
	for _, s := range w.hosts[:min(3, len(w.hosts))] {
		seeds = append(seeds, s.addr)
	}
	h.up = true
	h.reports = map[string][]hsplace.Load{}
	h.core = NewCore(CoreConfig{
		Self:  h.addr,
		Zone:  h.zone,
		Boot:  uint64(w.now.UnixMicro()),
		Seeds: seeds,
	})
	w.carryOut(h, h.core.Start(w.now))
}

// publish adds a configuration to the store as a new revision.
func (w *world) publish() {
	r := w.store.Revision() + 1
	since := r - 1
	w.store.Apply(w.now, &hsfeed.Update{Since: since, Revision: r, Events: []hsfeed.Event{{
		Revision:      r,
		Configuration: &hsfeed.Configuration{Version: r},
	}}})
}

// run advances the time; readers read the store at every tick.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(TickInterval)
		for _, h := range w.hosts {
			if h.up {
				w.read(h)
				w.carryOut(h, h.core.Tick(w.now))
			}
		}
	}
}

func (w *world) read(h *worldHost) {
	if !h.core.Reader() {
		return
	}
	if !h.served {
		if h.noticed {
			w.carryOut(h, h.core.Contact(w.now, false))
		}
		return
	}
	w.carryOut(h, h.core.Contact(w.now, true))
	if u, ok := w.store.Since(h.core.Keeper().Revision()); ok {
		w.carryOut(h, h.core.FromStore(w.now, &u))
	}
}

func (w *world) host(a netip.Addr) *worldHost {
	i := slices.IndexFunc(w.hosts, func(h *worldHost) bool { return h.addr == a })
	return w.hosts[i]
}

func (w *world) carryOut(h *worldHost, out Output) {
	h.noticed = h.noticed || out.Relist
	if out.Report != nil {
		h.reports[out.Report.Host] = out.Report.Loads
		h.avoid = append(h.avoid, out.Report.Avoid...)
	}
	for _, s := range out.Sends {
		to := w.host(s.To)
		if !to.up || w.cut(h.addr, to.addr) {
			continue
		}
		hb := &hsschema.Heartbeat{}
		data, err := proto.Marshal(s.Message)
		assert.NilError(w.t, err)
		assert.NilError(w.t, proto.Unmarshal(data, hb))
		w.carryOut(to, to.core.Receive(w.now, hb, h.addr))
	}
	for _, f := range out.Fetches {
		from := w.host(f.From)
		if !from.up || w.cut(h.addr, from.addr) || w.cut(from.addr, h.addr) {
			continue
		}
		if u, ok := from.core.Keeper().Since(f.Since); ok {
			w.carryOut(h, h.core.FromPeer(w.now, &u))
		}
	}
}

// readers returns how many hosts in a zone read the store.
func (w *world) readers(zone string) int {
	n := 0
	for _, h := range w.hosts {
		if h.up && h.zone == zone && h.core.Reader() {
			n++
		}
	}
	return n
}

// current reports whether all running hosts have the latest revision.
func (w *world) current() bool {
	for _, h := range w.hosts {
		if h.up && h.core.Keeper().Revision() != w.store.Revision() {
			return false
		}
	}
	return true
}

func (w *world) reader(zone string) *worldHost {
	i := slices.IndexFunc(w.hosts, func(h *worldHost) bool { return h.up && h.zone == zone && h.core.Reader() })
	return w.hosts[i]
}

// loadsTick sends the load reports of all hosts, as the data task does.
func (w *world) loadsTick() {
	for _, h := range w.hosts {
		if h.up {
			w.carryOut(h, h.core.Loads(w.now, &Loads{Flows: []hsplace.Load{{Target: 1, Flows: 2}}}))
		}
	}
}

// runWithLoads is run with load reports, which also show which hosts are alive.
func (w *world) runWithLoads(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(TickInterval)
		w.loadsTick()
	}
}

// TestOneReaderPerZone checks that hosts discover one another from three seeds,
// that one host per zone reads the store, and that all hosts have each revision
// within two ticks.
func TestOneReaderPerZone(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b", "b", "c", "c", "a")
	w.runWithLoads(3 * time.Second)
	for _, zone := range []string{"a", "b", "c"} {
		assert.Equal(t, w.readers(zone), 1, zone)
	}
	for range 20 {
		w.publish()
		w.run(2 * TickInterval)
		assert.Assert(t, w.current())
	}
	for _, h := range w.hosts {
		assert.Equal(t, len(h.core.Peers()), len(w.hosts)-1)
	}
}

// TestReaderStays checks that a large zone keeps a single reader although its
// members seldom hear from one another, since load reports take turns.
func TestReaderStays(t *testing.T) {
	zones := make([]string, 0, 33)
	for range 30 {
		zones = append(zones, "big")
	}
	w := newWorld(t, append(zones, "b", "b", "c")...)
	w.runWithLoads(6 * time.Second)
	reader := w.reader("big")
	for range 100 {
		w.runWithLoads(TickInterval)
		assert.Equal(t, w.readers("big"), 1)
		assert.Equal(t, w.reader("big"), reader)
	}
	reader.up = false
	w.runWithLoads(3 * time.Second)
	assert.Equal(t, w.readers("big"), 1)
}

// TestReaderTrouble checks that another host of the zone takes over within a
// second after the reader was killed, lost the store, or was cut off: the other
// hosts get a change that is published then.
func TestReaderTrouble(t *testing.T) {
	troubles := map[string]func(w *world, h *worldHost){
		"killed":  func(_ *world, h *worldHost) { h.up = false },
		"refused": func(_ *world, h *worldHost) { h.served = false },
		"cut off": func(w *world, h *worldHost) {
			h.served = false
			w.cut = func(from, to netip.Addr) bool { return from == h.addr || to == h.addr }
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "a", "a", "a", "a")
			w.runWithLoads(3 * time.Second)
			assert.Equal(t, w.readers("a"), 1)
			old := w.reader("a")
			trouble(w, old)
			w.publish()
			w.runWithLoads(time.Second)
			for _, h := range w.hosts {
				if h != old {
					assert.Equal(t, h.core.Keeper().Revision(), w.store.Revision())
				}
			}
		})
	}
}

// TestRefusedInSilence checks that a zone gets configurations from other zones
// while its reader's calls to the store hang without an error.
func TestRefusedInSilence(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b")
	w.runWithLoads(3 * time.Second)
	h := w.reader("a")
	h.served, h.noticed = false, false
	w.publish()
	w.runWithLoads(3 * TickInterval)
	assert.Assert(t, w.current())
}

// TestSilentStore checks that a reader which gets a change from peers, but not
// from the store, treats its connection to the store as dead, so that another
// host of its zone reads the store within a second after the change.
func TestSilentStore(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b")
	w.runWithLoads(3 * time.Second)
	h := w.reader("a")
	h.served, h.noticed = false, false
	w.publish()
	w.runWithLoads(time.Second)
	assert.Assert(t, h.noticed)
	for _, other := range w.hosts {
		if other != h && other.zone == "a" {
			assert.Assert(t, other.core.Reader())
		}
	}
	h.served = true
	w.runWithLoads(time.Second)
	assert.Equal(t, w.readers("a"), 1)
}

// TestZoneCut checks that a zone which is cut off from the other zones, but not
// from the store, stays up to date, and that all hosts see one another as alive
// after the partition has healed.
func TestZoneCut(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b", "c")
	w.runWithLoads(3 * time.Second)
	w.cut = func(from, to netip.Addr) bool { return w.host(from).zone != w.host(to).zone }
	w.runWithLoads(4 * time.Second)
	for range 5 {
		w.publish()
		w.runWithLoads(2 * TickInterval)
		assert.Assert(t, w.current())
	}
	w.cut = func(netip.Addr, netip.Addr) bool { return false }
	w.runWithLoads(3 * time.Second)
	for _, h := range w.hosts {
		for _, p := range h.core.Peers() {
			assert.Assert(t, p.Alive, "%s considers %s dead", h.addr, p.Name)
		}
	}
}

// TestStoreDownForStarters checks that a host which starts while the store and
// one of its seeds are down gets the state from its peers.
func TestStoreDownForStarters(t *testing.T) {
	w := newWorld(t, "a", "b", "b", "a")
	w.runWithLoads(3 * time.Second)
	for _, h := range w.hosts {
		h.served = false
	}
	w.hosts[0].up = false
	late := w.hosts[3]
	w.start(late)
	w.runWithLoads(time.Second)
	assert.Equal(t, late.core.Keeper().Revision(), w.store.Revision())
}

// TestAllRestart checks that hosts which all restart at once, with clocks that
// were set back, discover one another again.
func TestAllRestart(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b")
	w.runWithLoads(3 * time.Second)
	for _, h := range w.hosts {
		boot := h.core.cfg.Boot
		w.start(h)
		h.core.cfg.Boot = boot
	}
	w.runWithLoads(4 * time.Second)
	for _, h := range w.hosts {
		assert.Equal(t, len(h.core.Peers()), len(w.hosts)-1)
		for _, p := range h.core.Peers() {
			assert.Assert(t, p.Alive)
		}
	}
}

// TestReportsArrive checks that load reports reach all hosts.
func TestReportsArrive(t *testing.T) {
	w := newWorld(t, "a", "a", "b")
	w.runWithLoads(time.Second)
	for _, h := range w.hosts {
		assert.Equal(t, len(h.reports), len(w.hosts)-1)
	}
}

// TestEjectedToldInLargeZone checks that a host's ejection of a target reaches
// all hosts of a large zone, which receive load reports in turns, and reaches
// each of them again before it expires there.
func TestEjectedToldInLargeZone(t *testing.T) {
	zones := make([]string, 0, 30)
	for range 30 {
		zones = append(zones, "big")
	}
	w := newWorld(t, zones...)
	w.runWithLoads(6 * time.Second)
	h := w.hosts[0]
	told := map[netip.Addr]time.Time{}
	for step := range 40 {
		w.run(TickInterval)
		for _, other := range w.hosts {
			other.avoid = nil
		}
		w.carryOut(h, h.core.Loads(w.now, &Loads{Ejected: []hsfeed.TargetID{7}, News: step == 0 || step == 1}))
		for _, other := range w.hosts[1:] {
			if len(other.avoid) > 0 {
				told[other.addr] = w.now
			}
			if step > 1 {
				assert.Assert(t, w.now.Sub(told[other.addr]) < avoidTime(len(w.hosts))*3/2, "%s after %d steps", other.addr, step)
			}
		}
	}
}

// TestControlBudget checks that a host sends less than 3 KB/s, headers
// included, in a deployment of eight hosts under usual load.
func TestControlBudget(t *testing.T) {
	w := newWorld(t, "a", "a", "a", "b", "b", "b", "c", "c")
	w.runWithLoads(3 * time.Second)
	sent := 0
	seconds := 4
	for range seconds * int(time.Second/TickInterval) {
		w.now = w.now.Add(TickInterval)
		h := w.hosts[0]
		// The open flows of 65 new flows per second that last 60 ms each.
		loads := make([]hsplace.Load, 4)
		for i := range loads {
			loads[i] = hsplace.Load{Target: hsfeed.TargetID(1<<40 + i), Flows: 2}
		}
		for _, out := range []Output{h.core.Tick(w.now), h.core.Loads(w.now, &Loads{Flows: loads})} {
			for _, s := range out.Sends {
				sent += proto.Size(s.Message) + 28
			}
			w.carryOut(h, out)
		}
	}
	assert.Assert(t, sent/seconds < 3000, "%d bytes per second", sent/seconds)
}

// TestEjectedTold checks that a host's ejection of a target is sent at once to
// all hosts of its zone and to no host of another zone, which may reach the
// target.
func TestEjectedTold(t *testing.T) {
	w := newWorld(t, "a", "a", "a", "b")
	w.runWithLoads(time.Second)
	h := w.hosts[0]
	w.carryOut(h, h.core.Loads(w.now, &Loads{Ejected: []hsfeed.TargetID{7}, News: true}))
	for _, other := range w.hosts[1:] {
		told := slices.Contains(other.avoid, 7)
		assert.Equal(t, told, other.zone == "a", other.addr)
	}
}
