package hsplace

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

// gracePeriod is the grace period for targets that are no longer listed.
const gracePeriod = 2 * time.Second

var epoch = time.Unix(1_000_000, 0)

func newRecord(id hsfeed.TargetID, zone string) hsfeed.TargetRecord {
	return hsfeed.TargetRecord{Target: hsfeed.Target{ID: id, Service: "desk", Zone: zone, Slots: 3}}
}

func newPlacer(list ...hsfeed.TargetRecord) *Placer {
	p := New(Config{Zone: "a", UnlistedGracePeriod: gracePeriod, Seed: 1})
	p.SetTargets(epoch, list)
	return p
}

func choose(t *testing.T, p *Placer, now time.Time) hsfeed.TargetID {
	t.Helper()
	ch, code := p.Choose(now, "desk", math.Inf(1))
	assert.Equal(t, code, hscode.OK)
	p.AddRequest(ch.Target)
	return ch.Target
}

// TestOwnZoneFirst checks that all slots of targets in this zone are used
// before targets in other zones, which are used before flows queue in this
// zone.
func TestOwnZoneFirst(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "a"), newRecord(3, "b"))
	flows := map[hsfeed.TargetID]int{}
	for range 6 {
		flows[choose(t, p, epoch)]++
	}
	assert.DeepEqual(t, flows, map[hsfeed.TargetID]int{1: 3, 2: 3})
	assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(3))
}

// TestReports checks that reported flows decide between targets at which this
// host has equally many flows, that they have full weight for the utilization
// limit, and that they count until their report expires.
func TestReports(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "a"))
	p.ApplyReport(epoch, "h2", []Load{{Target: 1, Requests: 5}, {Target: 2, Requests: 3}})
	_, code := p.Choose(epoch, "desk", 1)
	assert.Equal(t, code, hscode.FlowOverload)
	assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(2))
	assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(1))
	p.Tick(epoch.Add(2 * reportTimeout))
	_, code = p.Choose(epoch, "desk", 1)
	assert.Equal(t, code, hscode.OK)
}

// TestFreeSlotIsUsed checks that FlowOverload is returned only if no target has
// room: a target with few requests of this host may be full by those of others,
// while another one has a free slot.
func TestFreeSlotIsUsed(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "a"))
	p.ApplyReport(epoch, "h2", []Load{{Target: 1, Requests: 5}})
	p.AddRequest(2)
	p.AddRequest(2)
	ch, code := p.Choose(epoch, "desk", 1)
	assert.Equal(t, code, hscode.OK)
	assert.Equal(t, ch.Target, hsfeed.TargetID(2))
	p.AddRequest(2)
	_, code = p.Choose(epoch, "desk", 1)
	assert.Equal(t, code, hscode.FlowOverload)
}

// TestWarmUp checks that a target that has just started receives fewer flows.
func TestWarmUp(t *testing.T) {
	warmingUp := newRecord(1, "a")
	warmingUp.WarmUpUntil = epoch.Add(time.Second)
	p := newPlacer(warmingUp, newRecord(2, "a"))
	got := map[hsfeed.TargetID]int{}
	for range 8 {
		got[choose(t, p, epoch)]++
	}
	assert.DeepEqual(t, got, map[hsfeed.TargetID]int{1: 3, 2: 5})
}

// TestDraining checks that a draining target receives no new flows: Choose
// returns FlowNoTarget if the service has no other target.
func TestDraining(t *testing.T) {
	draining := newRecord(1, "a")
	draining.Draining = true
	p := newPlacer(draining)
	_, code := p.Choose(epoch, "desk", math.Inf(1))
	assert.Equal(t, code, hscode.FlowNoTarget)
}

// TestEjection checks that a target is ejected after two unanswered opening
// packets, that one flow at a time probes it after the ejection, and that it
// receives flows again once a probe is answered.
func TestEjection(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "a"))
	assert.Equal(t, len(p.RecordUnanswered(epoch, 1)), 0)
	assert.DeepEqual(t, p.RecordUnanswered(epoch, 1), []Ejection{{Target: 1, Zone: "a", Duration: minEjection}})
	for range 5 {
		assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(2))
	}
	later := epoch.Add(minEjection)
	assert.Equal(t, choose(t, p, later), hsfeed.TargetID(1))
	assert.Equal(t, choose(t, p, later), hsfeed.TargetID(2))
	assert.DeepEqual(t, p.RecordUnanswered(later, 1), []Ejection{{Target: 1, Zone: "a", Duration: 2 * minEjection}})
	later = later.Add(2 * minEjection)
	assert.Equal(t, choose(t, p, later), hsfeed.TargetID(1))
	p.RecordAnswered(1)
	assert.Equal(t, choose(t, p, later), hsfeed.TargetID(1))
}

// TestAllEjected checks that flows are still placed if all targets of a service
// are ejected: the cause may be in this host.
func TestAllEjected(t *testing.T) {
	p := newPlacer(newRecord(1, "a"))
	p.RecordUnanswered(epoch, 1)
	p.RecordUnanswered(epoch, 1)
	assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(1))
}

// TestRestart checks that the load of a target is reset when the target
// restarts.
func TestRestart(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "a"))
	for range 4 {
		choose(t, p, epoch)
	}
	restarted := newRecord(1, "a")
	restarted.StartUnixMilli = 5
	p.SetTargets(epoch, []hsfeed.TargetRecord{restarted, newRecord(2, "a")})
	assert.DeepEqual(t, p.AppendLoads(nil), []Load{{Target: 2, Requests: 2}})
}

// TestZone checks that another zone is ejected after unanswered opening packets
// to two of its targets, that a single flow probes the zone afterwards, and
// that one answer ends the ejection. Two unanswered packets to the same target
// do not eject its zone.
func TestZone(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "b"), newRecord(3, "b"), newRecord(4, "b"), newRecord(5, "c"))
	p.RecordUnanswered(epoch, 5)
	p.RecordUnanswered(epoch, 5)
	p.RecordUnanswered(epoch, 2)
	assert.DeepEqual(t, p.RecordUnanswered(epoch, 3), []Ejection{{Zone: "b", Duration: minEjection}})
	ch, _ := p.Choose(epoch, "desk", math.Inf(1))
	assert.Equal(t, ch.EjectedCount, 4)
	assert.Equal(t, ch.Target, hsfeed.TargetID(1))
	later := epoch.Add(minEjection)
	for range 6 {
		p.AddRequest(1)
	}
	chosen := map[hsfeed.TargetID]bool{}
	for range 6 {
		chosen[choose(t, p, later)] = true
	}
	assert.Equal(t, len(chosen), 3, "got targets %v, want the one in zone a, one in zone b and the one in zone c", chosen)
	p.RecordAnswered(2)
	ch, _ = p.Choose(later, "desk", math.Inf(1))
	assert.Equal(t, ch.EjectedCount, 1)
}

// TestZoneProbe checks that a zone is probed again after a probe that went to
// the target of the last unanswered packet failed: without it, the zone stayed
// under probe and got no flow for good.
func TestZoneProbe(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "b"), newRecord(3, "b"))
	p.RecordUnanswered(epoch, 2)
	p.RecordUnanswered(epoch, 3)
	now := epoch.Add(minEjection)
	p.zone("b").recordPlaced(now)
	assert.DeepEqual(t, p.RecordUnanswered(now, 3)[1:], []Ejection{{Zone: "b", Duration: 2 * minEjection}})
	now = now.Add(MaxEjection)
	assert.Assert(t, p.zone("b").acceptsFlow(now))
}

// TestOwnZone checks that this host's own zone is never ejected as a whole.
func TestOwnZone(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "a"), newRecord(3, "a"))
	p.RecordUnanswered(epoch, 1)
	p.RecordUnanswered(epoch, 2)
	ch, _ := p.Choose(epoch, "desk", math.Inf(1))
	assert.Equal(t, ch.EjectedCount, 0)
}

// TestMaxUtilization checks that Choose returns FlowOverload if even the best
// target would exceed the utilization limit.
func TestMaxUtilization(t *testing.T) {
	p := newPlacer(newRecord(1, "a"))
	for range 3 {
		choose(t, p, epoch)
	}
	_, code := p.Choose(epoch, "desk", 1)
	assert.Equal(t, code, hscode.FlowOverload)
	_, code = p.Choose(epoch, "desk", 1.34)
	assert.Equal(t, code, hscode.OK)
}

// TestApplyEjections checks that a target which another host of the zone has
// ejected receives no new flows for the given time, without a probe afterwards.
func TestApplyEjections(t *testing.T) {
	p, other := newPlacer(newRecord(1, "a"), newRecord(2, "a")), newPlacer(newRecord(1, "a"), newRecord(2, "a"))
	other.RecordUnanswered(epoch, 1)
	other.RecordUnanswered(epoch, 1)
	ejected := other.AppendEjected(epoch, nil)
	assert.DeepEqual(t, ejected, []hsfeed.TargetID{1})
	p.ApplyEjections(epoch, ejected, time.Second)
	for range 5 {
		assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(2))
	}
	assert.Equal(t, len(p.AppendEjected(epoch, nil)), 0)
	p.ApplyEjections(epoch, ejected, time.Millisecond)
	assert.Equal(t, choose(t, p, epoch.Add(time.Second-1)), hsfeed.TargetID(2), "a later ejection of shorter duration ended the longer one")
	assert.Equal(t, choose(t, p, epoch.Add(time.Second+time.Second/ejectionJitterDivisor)), hsfeed.TargetID(1))
}

// TestUnlistedGracePeriod checks that targets whose entries expire, for example
// while the store is unavailable, receive new flows for a time and are removed
// unless they are listed again. A draining target is removed as soon as it is
// no longer listed.
func TestUnlistedGracePeriod(t *testing.T) {
	draining := newRecord(3, "a")
	draining.Draining = true
	p := newPlacer(newRecord(1, "a"), newRecord(2, "a"), draining)
	p.SetTargets(epoch, nil)
	got := map[hsfeed.TargetID]bool{}
	for range 4 {
		got[choose(t, p, epoch)] = true
	}
	assert.DeepEqual(t, got, map[hsfeed.TargetID]bool{1: true, 2: true})
	p.SetTargets(epoch.Add(time.Second), []hsfeed.TargetRecord{newRecord(1, "a")})
	late := epoch.Add(gracePeriod)
	p.Tick(late)
	for range 4 {
		assert.Equal(t, choose(t, p, late), hsfeed.TargetID(1))
	}
}
