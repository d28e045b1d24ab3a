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
	// world runs cores over a network without delay in steps of a tick. Its
	// store is a keeper that hosts read while they are readers.
	world struct {
		t     *testing.T
		now   time.Time
		store hsfeed.Keeper
		hosts []*worldHost
		// Lost messages by the hosts at their ends.
		cut func(from, to netip.Addr) bool
	}

	worldHost struct {
		core *Core
		addr netip.Addr
		zone string
		// False while the process does not run.
		up bool
		// False while the store does not answer the host, and whether the host
		// notices that.
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

// start starts a host's process; the first three hosts are everyone's seeds.
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

// publish adds a revision to the store.
func (w *world) publish() {
	r := w.store.Revision() + 1
	since := r - 1
	w.store.Apply(w.now, &hsfeed.Update{Since: since, Revision: r, Events: []hsfeed.Event{{
		Revision:      r,
		Configuration: &hsfeed.Configuration{Version: r},
	}}})
}

// run lets time pass; readers read at every tick.
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

// readers returns how many hosts of a zone read the store.
func (w *world) readers(zone string) int {
	n := 0
	for _, h := range w.hosts {
		if h.up && h.zone == zone && h.core.Reader() {
			n++
		}
	}
	return n
}

// current reports whether all hosts that run hold the newest revision.
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

// loadsTick makes all hosts report loads, as the data task does.
func (w *world) loadsTick() {
	for _, h := range w.hosts {
		if h.up {
			w.carryOut(h, h.core.Loads(w.now, &Loads{Flows: []hsplace.Load{{Target: 1, Flows: 2}}}))
		}
	}
}

// runWithLoads is run with reports of loads, which also show who is alive.
func (w *world) runWithLoads(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(TickInterval)
		w.loadsTick()
	}
}

// TestOneReaderPerZone checks that hosts find one another from three seeds, one
// of a zone reads, and all hold each revision within a tick.
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

// TestReaderStays checks that a reader stays the only one in zones whose members
// hear from one another seldom, since reports of loads take turns.
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

// TestReaderTrouble checks that another host of the zone reads within a second
// of the moment at which the reader was killed, was refused, or was cut off.
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

// TestRefusedInSilence checks that a zone whose reader hears nothing from the
// store, and does not notice, has each configuration from the other zones.
func TestRefusedInSilence(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b")
	w.runWithLoads(3 * time.Second)
	h := w.reader("a")
	h.served, h.noticed = false, false
	w.publish()
	w.runWithLoads(3 * TickInterval)
	assert.Assert(t, w.current())
}

// TestSilentStore checks that a reader which hears of a change from others, and
// not from the store, takes its connection for dead: another host of its zone
// reads within a second of the change.
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

// TestZoneCut checks that a zone that is cut off from the others, but not from
// the store, follows it, and that both sides agree after the cut.
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
			assert.Assert(t, p.Alive, "%s takes %s for dead", h.addr, p.Name)
		}
	}
}

// TestStoreDownForStarters checks that a host which starts while the store is
// down has the state from its peers, and that of two seeds one may be gone.
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

// TestAllRestart checks that hosts that start again all at once, with clocks
// that were set back, find one another again.
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

// TestReportsArrive checks that loads reach all hosts.
func TestReportsArrive(t *testing.T) {
	w := newWorld(t, "a", "a", "b")
	w.runWithLoads(time.Second)
	for _, h := range w.hosts {
		assert.Equal(t, len(h.reports), len(w.hosts)-1)
	}
}

// TestEjectedToldInLargeZone checks that a host's word that a target does not
// answer reaches all members of a zone whose members get reports in turn, and
// holds there until the next one.
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
		// Open flows of 65 new ones a second that last 60 ms each.
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
	assert.Assert(t, sent/seconds < 3000, "%d bytes a second", sent/seconds)
}

// TestEjectedTold checks that a target which a host leaves out is told to its
// zone at once, and to no other, which may reach the target.
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
