package hsdirect

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// exploration runs the state machines of several hosts in simulated time,
	// with a network that delays, reorders and loses messages, and a store that is
	// restored from copies.
	exploration struct {
		rng   *rand.Rand
		now   time.Time
		store *modelStore
		hosts []*exploredHost
		// Messages under way.
		inFlight []message
		// Zone that is cut off from the others; empty if none.
		cutZone string
		// Time of the last start or end of a cut, of loss, or of an outage.
		disturbed time.Time
		// Share of messages that are lost.
		loss float64
		// Mean number of ticks between two changes of the operator or of a target,
		// and between two disturbances.
		changeTicks  int
		disturbTicks int
		// First violation found; empty if none.
		violation   string
		evacuations evacuationOperator
	}

	// message is a message on its way to a host, or a call of a peer.
	message struct {
		at      time.Time
		from    *exploredHost
		to      *exploredHost
		deliver func()
	}

	exploredHost struct {
		core    *Core
		addr    netip.Addr
		zone    string
		running bool
		// Last start of the process.
		started time.Time
		// Position up to which the reader has read; zero if it has to list.
		seen hsfeed.Position
		// Time before which the reader makes no further call.
		nextCall time.Time
		lists    int
		// Highest version of a configuration of this process, and since when.
		version      uint64
		versionSince time.Time
		// Targets that the host has listed as draining, or removed after it listed
		// them, by their start: these must not become ready again.
		ended map[hsfeed.TargetID]hsfeed.Stamp
		// Zones that the host evacuates, and those whose evacuation it has ended since
		// the operator last took the request back.
		evacuated []string
		ceased    map[string]bool
	}

	// modelStore is the metadata store with the operator and the targets that
	// write to it.
	modelStore struct {
		rng      *rand.Rand
		up       bool
		position hsfeed.Position
		config   hsfeed.Event
		// Time at which config was written.
		configSince time.Time
		entries     map[hsfeed.TargetID]hsfeed.Event
		// Keys of requests for evacuations, by zone.
		requests map[string]hsfeed.Event
		history  []hsfeed.Event
		// Revision up to which the history has been compacted.
		compacted uint64
		copies    []storeCopy
		// Writes that follow later, by their time.
		pending []pendingWrite
		// Truth: the newest configuration and its time, and the targets.
		version uint64
		targets map[hsfeed.TargetID]*modelTarget
		lastID  hsfeed.TargetID
		// Time within which the operator writes again after a restore.
		operatorTime time.Duration
	}

	storeCopy struct {
		at       time.Time
		revision uint64
		config   hsfeed.Event
		entries  map[hsfeed.TargetID]hsfeed.Event
		requests map[string]hsfeed.Event
		history  int
	}

	pendingWrite struct {
		at    time.Time
		write func(now time.Time)
	}

	modelTarget struct {
		stamp hsfeed.Stamp
		// Time at which the store acknowledged that the target drains; zero if it
		// does not.
		draining time.Time
		gone     bool
	}
)

// In the store of the model, as in that of the deployment, live targets have
// written again within rewriteTime after a restore, and the entry of a target
// that is gone expires after expiryTime.
const (
	rewriteTime = 2 * time.Second
	expiryTime  = 3600 * time.Millisecond
	// contactTime is the time without disturbance after which limits apply.
	contactTime   = 4 * time.Second
	applyTime     = defaultApplyDeadline
	maxCopyAge    = 10 * time.Second
	exploredTime  = 40 * time.Second
	quietTime     = 16 * time.Second
	maxDelayTicks = 4
)

var exploredSeeds = flag.Int("exploreseeds", 60, "seeds of the exploration of restored stores")

func newModelStore(rng *rand.Rand) *modelStore {
	return &modelStore{
		rng: rng, up: true, position: hsfeed.Position{Era: 1, Revision: 1},
		entries: map[hsfeed.TargetID]hsfeed.Event{}, targets: map[hsfeed.TargetID]*modelTarget{}, requests: map[string]hsfeed.Event{},
		operatorTime: []time.Duration{rewriteTime, 5 * rewriteTime}[rng.IntN(2)],
	}
}

// write appends a change to the history.
func (s *modelStore) write(now time.Time, ev hsfeed.Event) {
	s.position.Revision++
	ev.Revision = s.position.Revision
	switch {
	case ev.Configuration != nil:
		s.config, s.configSince = ev, now
	case ev.Target != nil:
		s.entries[ev.Target.ID] = ev
	case ev.Evacuation != nil && ev.Evacuation.Ended:
		delete(s.requests, ev.Evacuation.Zone)
	case ev.Evacuation != nil:
		ev.Evacuation.Requested = ev.Revision
		s.requests[ev.Evacuation.Zone] = ev
	default:
		delete(s.entries, ev.Removed)
	}
	s.history = append(s.history, ev)
	s.copyState(now)
}

func (s *modelStore) copyState(now time.Time) {
	entries := make(map[hsfeed.TargetID]hsfeed.Event, len(s.entries))
	for id, ev := range s.entries {
		entries[id] = ev
	}
	s.copies = append(s.copies, storeCopy{at: now, revision: s.position.Revision, config: s.config, entries: entries, requests: maps.Clone(s.requests), history: len(s.history)})
}

func (s *modelStore) publish(now time.Time) {
	s.version += 1 + s.rng.Uint64N(3)
	s.write(now, hsfeed.Event{Configuration: &hsfeed.Configuration{Version: s.version}})
}

// announce writes the entry of a target unless the store has the same.
func (s *modelStore) announce(now time.Time, id hsfeed.TargetID) {
	t := s.targets[id]
	if t.gone {
		return
	}
	t.stamp.Draining = !t.draining.IsZero()
	old := s.entries[id].Target
	if old != nil && old.Stamp() == t.stamp {
		return
	}
	s.write(now, hsfeed.Event{Target: &hsfeed.Target{
		ID: id, Service: "desk", Zone: "a", Slots: 2, StartUnixMilli: t.stamp.StartUnixMilli, Draining: t.stamp.Draining,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(id)}), 80),
	}})
}

// change makes a random change of the operator or of a target.
func (s *modelStore) change(now time.Time) {
	id := 1 + hsfeed.TargetID(s.rng.Uint64N(uint64(s.lastID)))
	t := s.targets[id]
	switch s.rng.IntN(6) {
	case 0, 1:
		s.publish(now)
	case 2:
		s.start(now)
	case 3:
		if !t.gone && t.draining.IsZero() {
			t.draining = now
			s.announce(now, id)
		}
	case 4:
		if !t.gone && !t.draining.IsZero() {
			t.gone = true
			s.remove(now, id)
		}
	default:
		// A crash: the entry expires.
		if !t.gone {
			t.gone = true
			s.later(now.Add(expiryTime), func(now time.Time) { s.remove(now, id) })
		}
	}
}

// start starts a target.
func (s *modelStore) start(now time.Time) {
	s.lastID++
	s.targets[s.lastID] = &modelTarget{stamp: hsfeed.Stamp{StartUnixMilli: now.UnixMilli()}}
	s.announce(now, s.lastID)
}

func (s *modelStore) remove(now time.Time, id hsfeed.TargetID) {
	if _, ok := s.entries[id]; ok {
		s.write(now, hsfeed.Event{Removed: id})
	}
}

func (s *modelStore) later(at time.Time, write func(now time.Time)) {
	s.pending = append(s.pending, pendingWrite{at: at, write: write})
}

// restore replaces the content by a copy. The operator and the targets write
// again what is lacking, and the entries of targets that are gone expire.
func (s *modelStore) restore(now time.Time) {
	age := time.Duration(s.rng.Int64N(int64(maxCopyAge)))
	i := len(s.copies) - 1
	for i > 0 && now.Sub(s.copies[i].at) < age {
		i--
	}
	c := s.copies[i]
	s.copies = s.copies[:i+1]
	s.position = hsfeed.Position{Era: s.position.Era + 1 + s.rng.Uint64N(2), Revision: c.revision}
	s.config, s.history = c.config, slices.Clone(s.history[:c.history])
	s.requests, s.compacted = maps.Clone(c.requests), min(s.compacted, c.revision)
	s.entries = map[hsfeed.TargetID]hsfeed.Event{}
	for id, ev := range c.entries {
		s.entries[id] = ev
	}
	wait := func(limit time.Duration) time.Time { return now.Add(time.Duration(s.rng.Int64N(int64(limit)))) }
	s.later(wait(s.operatorTime), func(now time.Time) {
		if s.config.Configuration == nil || s.config.Configuration.Version != s.version {
			s.write(now, hsfeed.Event{Configuration: &hsfeed.Configuration{Version: s.version}})
		}
	})
	for id := hsfeed.TargetID(1); id <= s.lastID; id++ {
		if s.targets[id].gone {
			s.later(now.Add(expiryTime), func(now time.Time) { s.remove(now, id) })
			continue
		}
		s.later(wait(rewriteTime), func(now time.Time) { s.announce(now, id) })
	}
}

func (s *modelStore) tick(now time.Time) {
	if !s.up {
		return
	}
	due := s.pending
	s.pending = nil
	for _, w := range due {
		if w.at.After(now) {
			s.pending = append(s.pending, w)
			continue
		}
		w.write(now)
	}
}

func (s *modelStore) list() hsfeed.Update {
	u := hsfeed.Update{Era: s.position.Era, Revision: s.position.Revision}
	if s.config.Configuration != nil {
		u.Events = append(u.Events, s.config)
	}
	for _, ev := range s.entries {
		u.Events = append(u.Events, ev)
	}
	for _, zone := range slices.Sorted(maps.Keys(s.requests)) {
		u.Events = append(u.Events, s.requests[zone])
	}
	return u
}

// watch returns the changes after a position, or false if it does not have them.
func (s *modelStore) watch(after hsfeed.Position) (hsfeed.Update, bool) {
	if after.Era != s.position.Era || after.Revision > s.position.Revision || after.Revision < s.compacted {
		return hsfeed.Update{}, false
	}
	u := hsfeed.Update{Era: s.position.Era, Since: after.Revision, Revision: s.position.Revision}
	for _, ev := range s.history {
		if ev.Revision > after.Revision {
			u.Events = append(u.Events, ev)
		}
	}
	return u, true
}

func newExploration(seed uint64) *exploration {
	rng := rand.New(rand.NewPCG(seed, 1))
	x := &exploration{rng: rng, now: epoch, store: newModelStore(rng), changeTicks: []int{6, 30, 90}[rng.IntN(3)], disturbTicks: []int{12, 50}[rng.IntN(2)]}
	x.evacuations = newEvacuationOperator(seed)
	zones := 1 + rng.IntN(3)
	for range 4 {
		x.store.start(x.now)
	}
	x.store.publish(x.now)
	for i := range 5 + rng.IntN(3) {
		h := &exploredHost{addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), zone: string(rune('a' + i%zones))}
		x.hosts = append(x.hosts, h)
	}
	for _, h := range x.hosts {
		x.start(h)
	}
	return x
}

func (x *exploration) start(h *exploredHost) {
	seeds := []netip.Addr{x.hosts[0].addr, x.hosts[1].addr, x.hosts[2].addr}
	*h = exploredHost{addr: h.addr, zone: h.zone, running: true, started: x.now, ended: map[hsfeed.TargetID]hsfeed.Stamp{}, ceased: map[string]bool{}}
	h.core = NewCore(CoreConfig{Self: h.addr, Zone: h.zone, Boot: uint64(x.now.UnixMicro()), Seeds: seeds})
	x.apply(h, h.core.Start(x.now))
}

func (x *exploration) host(a netip.Addr) *exploredHost {
	i := slices.IndexFunc(x.hosts, func(h *exploredHost) bool { return h.addr == a })
	return x.hosts[i]
}

// send delivers a message after a random delay, unless it is lost.
func (x *exploration) send(from, to *exploredHost, deliver func()) {
	if x.rng.Float64() < x.loss {
		return
	}
	delay := time.Duration(x.rng.IntN(maxDelayTicks)) * TickInterval
	x.inFlight = append(x.inFlight, message{at: x.now.Add(delay), from: from, to: to, deliver: deliver})
}

func (x *exploration) cut(from, to *exploredHost) bool {
	return x.cutZone != "" && from.zone != to.zone && (from.zone == x.cutZone || to.zone == x.cutZone)
}

func (x *exploration) deliverMessages() {
	due := x.inFlight
	x.inFlight = nil
	for _, m := range due {
		switch {
		case m.at.After(x.now):
			x.inFlight = append(x.inFlight, m)
		case m.to.running && !x.cut(m.from, m.to):
			m.deliver()
		}
	}
}

// apply carries out the output of a host's core and checks what it changed.
func (x *exploration) apply(h *exploredHost, out Output) {
	for _, m := range out.Heartbeats {
		to := x.host(m.To)
		data, _ := proto.Marshal(m.Message)
		x.send(h, to, func() {
			hb := &hsschema.Heartbeat{}
			if proto.Unmarshal(data, hb) == nil {
				x.apply(to, to.core.Receive(x.now, hb, h.addr))
			}
		})
	}
	for _, f := range out.Fetches {
		peer := x.host(f.From)
		core := h.core
		x.send(h, peer, func() {
			u, ok := peer.core.State().UpdateSince(f.Since)
			if !ok {
				return
			}
			x.send(peer, h, func() {
				if decoded := hsfeed.FromProto(hsfeed.ToProto(&u)); h.core == core {
					x.apply(h, core.ApplyFetchedUpdate(x.now, &f, &decoded))
				}
			})
		})
	}
	if out.Relist {
		h.seen = hsfeed.Position{}
	}
	x.checkChanges(h, &out)
}

// checkChanges checks that what a host has put in force does not come back
// older.
func (x *exploration) checkChanges(h *exploredHost, out *Output) {
	if c := out.Configuration; c != nil {
		if c.Version < h.version {
			x.fail("%s went back from version %d to %d", h.addr, h.version, c.Version)
		}
		h.version, h.versionSince = c.Version, x.now
	}
	x.checkEvacuations(h, out)
	if !out.TargetsChanged {
		return
	}
	for i := range out.Targets {
		t := &out.Targets[i]
		stamp, ended := h.ended[t.ID]
		if t.Draining {
			h.ended[t.ID] = t.Stamp()
		} else if ended && stamp.StartUnixMilli == t.StartUnixMilli && !x.store.targets[t.ID].draining.IsZero() {
			x.fail("%s lists target %d as ready, which it knew to drain", h.addr, t.ID)
		}
	}
}

// undisturbed reports whether time limits apply to a host.
func (x *exploration) undisturbed(h *exploredHost) bool {
	return h.running && x.now.Sub(h.started) > contactTime && x.now.Sub(x.disturbed) > contactTime &&
		x.cutZone == "" && x.loss == 0 && x.store.up
}

// checkLimits checks what has to be in force on a host by now.
func (x *exploration) checkLimits(h *exploredHost) {
	if !x.undisturbed(h) {
		return
	}
	x.checkEvacuationLimits(h)
	s := x.store
	if c := s.config.Configuration; c != nil && x.now.Sub(s.configSince) > applyTime && h.version < c.Version {
		x.fail("%s is at version %d, %d was published %v ago", h.addr, h.version, c.Version, x.now.Sub(s.configSince))
	}
	for _, other := range x.hosts {
		if x.undisturbed(other) && x.now.Sub(other.versionSince) > applyTime && h.version < other.version {
			x.fail("%s is at version %d, %s has had %d for %v", h.addr, h.version, other.addr, other.version, x.now.Sub(other.versionSince))
		}
	}
	for _, record := range h.core.State().Targets() {
		t := s.targets[record.ID]
		if !record.Draining && !t.draining.IsZero() && x.now.Sub(t.draining) > defaultDrainTime {
			x.fail("%s lists target %d as ready, which drains since %v", h.addr, record.ID, x.now.Sub(t.draining))
		}
	}
}

func (x *exploration) fail(format string, args ...any) {
	if x.violation == "" {
		x.violation = fmt.Sprintf("after %v, era %d: %s", x.now.Sub(epoch), x.store.position.Era, fmt.Sprintf(format, args...))
	}
}

// read does what the reader task does: see storeReader.
func (x *exploration) read(h *exploredHost) {
	if !h.core.IsReader() {
		h.seen = hsfeed.Position{}
		return
	}
	if x.now.Before(h.nextCall) {
		return
	}
	if !x.store.up {
		h.nextCall = x.now.Add(time.Duration(1+x.rng.IntN(8)) * TickInterval)
		x.apply(h, h.core.SetStoreAvailable(x.now, false))
		return
	}
	if h.seen == (hsfeed.Position{}) {
		h.lists++
		u := x.store.list()
		h.seen = u.Position()
		x.apply(h, h.core.SetStoreAvailable(x.now, true))
		x.apply(h, h.core.ApplyStoreUpdate(x.now, &u))
		return
	}
	u, ok := x.store.watch(h.seen)
	if !ok {
		h.seen = hsfeed.Position{}
		return
	}
	x.apply(h, h.core.SetStoreAvailable(x.now, true))
	if len(u.Events) > 0 {
		h.seen = u.Position()
		h.nextCall = x.now.Add(defaultApplyDeadline / watchIntervalDivisor)
		x.apply(h, h.core.ApplyStoreUpdate(x.now, &u))
	}
}

// disturb starts or ends a random disturbance.
func (x *exploration) disturb() {
	switch x.rng.IntN(9) {
	case 0, 1:
		x.store.up = false
		x.store.restore(x.now)
	case 2:
		x.store.up = false
	case 3, 4:
		x.store.up = true
	case 5:
		x.cutZone = []string{"", "a", "b", "c"}[x.rng.IntN(4)]
	case 6:
		x.loss = []float64{0, 0.1, 0.4}[x.rng.IntN(3)]
	default:
		x.start(x.hosts[x.rng.IntN(len(x.hosts))])
		return
	}
	x.disturbed = x.now
}

func (x *exploration) step() {
	x.now = x.now.Add(TickInterval)
	x.store.tick(x.now)
	x.deliverMessages()
	for _, h := range x.hosts {
		x.read(h)
		x.apply(h, h.core.Tick(x.now))
		x.apply(h, h.core.ReportLoads(x.now, &LocalReport{Loads: []hsplace.Load{{Target: 1, Requests: 2}}}))
		x.checkLimits(h)
	}
}

// run disturbs the hosts for exploredTime, restores the store once more while
// one of them starts again, and then checks that all of them arrive at the
// content of the store.
func (x *exploration) run() {
	for x.now.Before(epoch.Add(exploredTime)) && x.violation == "" {
		if x.rng.IntN(x.disturbTicks) == 0 {
			x.disturb()
		}
		if x.store.up && x.rng.IntN(x.changeTicks) == 0 {
			x.store.change(x.now)
		}
		x.changeEvacuations()
		x.step()
	}
	x.cutZone, x.loss, x.store.up, x.disturbed = "", 0, true, x.now
	if x.rng.IntN(2) == 0 {
		x.store.publish(x.now)
		x.step()
		x.store.restore(x.now)
		x.start(x.hosts[x.rng.IntN(len(x.hosts))])
	}
	lists := x.totalLists()
	for end := x.now.Add(quietTime); x.now.Before(end) && x.violation == ""; {
		x.nameZones(end)
		x.step()
	}
	if n := x.totalLists() - lists; n > 2*len(x.hosts) {
		x.fail("%d lists of the store in the quiet time", n)
	}
	want := &hsfeed.Replica{}
	list := x.store.list()
	_, code := want.Apply(x.now, &list)
	for _, h := range x.hosts {
		if got := h.core.State(); code != hscode.OK || got.Digest() != want.Digest() || got.Position().Era != x.store.position.Era || h.version != x.store.version {
			x.fail("%s ends at %+v, version %d, %d targets; the store at %+v, version %d, %d targets", h.addr, got.Position(),
				h.version, len(got.Targets()), x.store.position, x.store.version, len(want.Targets()))
		}
	}
}

func (x *exploration) totalLists() int {
	n := 0
	for _, h := range x.hosts {
		n += h.lists
	}
	return n
}

// TestRestoredStoreExploration guards against hosts that go back, stay behind or differ from one another after restores of the store.
func TestRestoredStoreExploration(t *testing.T) {
	for seed := range uint64(*exploredSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			x := newExploration(seed)
			x.run()
			assert.Equal(t, x.violation, "")
		})
	}
}
