package hsplace

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

// lapse is the time for which targets that are not listed any more take flows.
const lapse = 2 * time.Second

var epoch = time.Unix(1_000_000, 0)

func entry(id hsfeed.TargetID, zone string) hsfeed.Entry {
	return hsfeed.Entry{Target: hsfeed.Target{ID: id, Service: "desk", Zone: zone, Slots: 3}}
}

func newPlacer(list ...hsfeed.Entry) *Placer {
	p := New(Config{Zone: "a", Lapse: lapse, Seed: 1})
	p.SetTargets(epoch, list)
	return p
}

func choose(t *testing.T, p *Placer, now time.Time) hsfeed.TargetID {
	t.Helper()
	ch, code := p.Choose(now, "desk", math.Inf(1))
	assert.Equal(t, code, hscode.OK)
	p.Open(ch.Target)
	return ch.Target
}

// TestNearFirst checks that the near targets are filled up to their last slot
// before far ones are used, and that far ones are used before near ones queue.
func TestNearFirst(t *testing.T) {
	p := newPlacer(entry(1, "a"), entry(2, "a"), entry(3, "b"))
	near := map[hsfeed.TargetID]int{}
	for range 6 {
		near[choose(t, p, epoch)]++
	}
	assert.DeepEqual(t, near, map[hsfeed.TargetID]int{1: 3, 2: 3})
	assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(3))
}

// TestReports checks that other hosts' flows decide among targets that are equal
// to this host, that they count whole for a limit, and that they count until
// their report is old.
func TestReports(t *testing.T) {
	p := newPlacer(entry(1, "a"), entry(2, "a"))
	p.Report(epoch, "h2", []Load{{Target: 1, Flows: 5}, {Target: 2, Flows: 3}})
	_, code := p.Choose(epoch, "desk", 1)
	assert.Equal(t, code, hscode.FlowOverload)
	assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(2))
	assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(1))
	p.Tick(epoch.Add(2 * reportLife))
	_, code = p.Choose(epoch, "desk", 1)
	assert.Equal(t, code, hscode.OK)
}

// TestCold checks that a target that has just started gets less.
func TestCold(t *testing.T) {
	cold := entry(1, "a")
	cold.ColdUntil = epoch.Add(time.Second)
	p := newPlacer(cold, entry(2, "a"))
	got := map[hsfeed.TargetID]int{}
	for range 8 {
		got[choose(t, p, epoch)]++
	}
	assert.DeepEqual(t, got, map[hsfeed.TargetID]int{1: 3, 2: 5})
}

// TestDraining checks that a draining target takes nothing and that a service
// without others refuses at once.
func TestDraining(t *testing.T) {
	leaving := entry(1, "a")
	leaving.Draining = true
	p := newPlacer(leaving)
	_, code := p.Choose(epoch, "desk", math.Inf(1))
	assert.Equal(t, code, hscode.FlowNoTarget)
}

// TestEjection plays a target that answers nothing: it is left out after two
// opening packets, tried by one flow at a time, and back once that is answered.
func TestEjection(t *testing.T) {
	p := newPlacer(entry(1, "a"), entry(2, "a"))
	assert.Equal(t, len(p.Unanswered(epoch, 1)), 0)
	assert.DeepEqual(t, p.Unanswered(epoch, 1), []Ejection{{Target: 1, Zone: "a", For: ejectMin}})
	for range 5 {
		assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(2))
	}
	later := epoch.Add(ejectMin)
	assert.Equal(t, choose(t, p, later), hsfeed.TargetID(1))
	assert.Equal(t, choose(t, p, later), hsfeed.TargetID(2))
	assert.DeepEqual(t, p.Unanswered(later, 1), []Ejection{{Target: 1, Zone: "a", For: 2 * ejectMin}})
	later = later.Add(2 * ejectMin)
	assert.Equal(t, choose(t, p, later), hsfeed.TargetID(1))
	p.Answered(1)
	assert.Equal(t, choose(t, p, later), hsfeed.TargetID(1))
}

// TestAllEjected checks that a service whose targets are all ejected is still
// served: the evidence may be this host's own trouble.
func TestAllEjected(t *testing.T) {
	p := newPlacer(entry(1, "a"))
	p.Unanswered(epoch, 1)
	p.Unanswered(epoch, 1)
	assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(1))
}

// TestRestart checks that what is known of a target ends with its process.
func TestRestart(t *testing.T) {
	p := newPlacer(entry(1, "a"), entry(2, "a"))
	for range 4 {
		choose(t, p, epoch)
	}
	again := entry(1, "a")
	again.Born = 5
	p.SetTargets(epoch, []hsfeed.Entry{again, entry(2, "a")})
	assert.DeepEqual(t, p.Loads(nil), []Load{{Target: 2, Flows: 2}})
}

// TestZone plays a zone that cannot be reached: two of its targets without
// answer leave out all of it, a single flow tries it again, and one answer
// brings it back. Two packets to one target say nothing of its zone.
func TestZone(t *testing.T) {
	p := newPlacer(entry(1, "a"), entry(2, "b"), entry(3, "b"), entry(4, "b"), entry(5, "c"))
	p.Unanswered(epoch, 5)
	p.Unanswered(epoch, 5)
	p.Unanswered(epoch, 2)
	assert.DeepEqual(t, p.Unanswered(epoch, 3), []Ejection{{Zone: "b", For: ejectMin}})
	ch, _ := p.Choose(epoch, "desk", math.Inf(1))
	assert.Equal(t, ch.Ejected, 4)
	assert.Equal(t, ch.Target, hsfeed.TargetID(1))
	later := epoch.Add(ejectMin)
	for range 6 {
		p.Open(1)
	}
	tried := map[hsfeed.TargetID]bool{}
	for range 6 {
		tried[choose(t, p, later)] = true
	}
	assert.Equal(t, len(tried), 3, "own target, one of b, the one of c: %v", tried)
	p.Answered(2)
	ch, _ = p.Choose(later, "desk", math.Inf(1))
	assert.Equal(t, ch.Ejected, 1)
}

// TestOwnZone checks that this host's own zone is never left out whole.
func TestOwnZone(t *testing.T) {
	p := newPlacer(entry(1, "a"), entry(2, "a"), entry(3, "a"))
	p.Unanswered(epoch, 1)
	p.Unanswered(epoch, 2)
	ch, _ := p.Choose(epoch, "desk", math.Inf(1))
	assert.Equal(t, ch.Ejected, 0)
}

// TestMost checks that a service whose best target is too full is overloaded.
func TestMost(t *testing.T) {
	p := newPlacer(entry(1, "a"))
	for range 3 {
		choose(t, p, epoch)
	}
	_, code := p.Choose(epoch, "desk", 1)
	assert.Equal(t, code, hscode.FlowOverload)
	_, code = p.Choose(epoch, "desk", 1.34)
	assert.Equal(t, code, hscode.OK)
}

// TestAvoid checks that a target which another host of the zone leaves out is
// left out here for as long as that host says so, without a flow that tries it.
func TestAvoid(t *testing.T) {
	p, other := newPlacer(entry(1, "a"), entry(2, "a")), newPlacer(entry(1, "a"), entry(2, "a"))
	other.Unanswered(epoch, 1)
	other.Unanswered(epoch, 1)
	told := other.Ejected(epoch, nil)
	assert.DeepEqual(t, told, []hsfeed.TargetID{1})
	p.Avoid(epoch, told, time.Second)
	for range 5 {
		assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(2))
	}
	assert.Equal(t, len(p.Ejected(epoch, nil)), 0)
	p.Avoid(epoch, told, time.Millisecond)
	assert.Equal(t, choose(t, p, epoch.Add(time.Second-1)), hsfeed.TargetID(2), "a shorter word does not end a longer one")
	assert.Equal(t, choose(t, p, epoch.Add(time.Second+time.Second/avoidSpread)), hsfeed.TargetID(1))
}

// TestLapse plays entries that lapse while the store is away: the targets go on
// taking flows for a while, and those that are not back by then are gone. A
// target that announced its end takes none as soon as it is not listed.
func TestLapse(t *testing.T) {
	leaving := entry(3, "a")
	leaving.Draining = true
	p := newPlacer(entry(1, "a"), entry(2, "a"), leaving)
	p.SetTargets(epoch, nil)
	got := map[hsfeed.TargetID]bool{}
	for range 4 {
		got[choose(t, p, epoch)] = true
	}
	assert.DeepEqual(t, got, map[hsfeed.TargetID]bool{1: true, 2: true})
	p.SetTargets(epoch.Add(time.Second), []hsfeed.Entry{entry(1, "a")})
	late := epoch.Add(lapse)
	p.Tick(late)
	for range 4 {
		assert.Equal(t, choose(t, p, late), hsfeed.TargetID(1))
	}
}
