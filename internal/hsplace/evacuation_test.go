package hsplace

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

// TestEvacuatedZone guards against new flows in a zone that is being evacuated, also where the other targets are ejected, and against a wrong reason of refusals.
func TestEvacuatedZone(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "b"))
	p.SetEvacuations(epoch, []string{"a", "nowhere"})
	for range 20 {
		assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(2))
	}
	_, code := p.Choose(epoch, "desk", 1)
	assert.Equal(t, code, hscode.FlowOverload, "the other target is full")
	p.RecordUnanswered(epoch, 2)
	p.RecordUnanswered(epoch, 2)
	assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(2))
	// The answer of a flow that is open in the zone changes nothing.
	p.RecordAnswered(1)
	assert.Equal(t, p.exclusion(epoch, p.targets[1]), Evacuated)
	p.SetEvacuations(epoch, []string{"a", "b"})
	_, code = p.Choose(epoch, "desk", math.Inf(1))
	assert.Equal(t, code, hscode.FlowEvacuated)
	// A zone may be named before its first target is listed.
	p.SetTargets(epoch, []hsfeed.TargetRecord{newRecord(3, "nowhere")})
	p.SetEvacuations(epoch, []string{"nowhere"})
	assert.Equal(t, p.exclusion(epoch, p.targets[3]), Evacuated)
	p.SetEvacuations(epoch, nil)
	_, code = p.Choose(epoch, "desk", math.Inf(1))
	assert.Equal(t, code, hscode.OK)
}

// TestEvacuationOfUnknownZone guards against zones without targets that change placement or use memory.
func TestEvacuationOfUnknownZone(t *testing.T) {
	p, other := newPlacer(newRecord(1, "a"), newRecord(2, "a")), newPlacer(newRecord(1, "a"), newRecord(2, "a"))
	p.SetEvacuations(epoch, []string{"x", "y"})
	for range 50 {
		assert.Equal(t, choose(t, p, epoch), choose(t, other, epoch))
	}
	assert.Equal(t, len(p.zones), 1)
	p.SetTargets(epoch, []hsfeed.TargetRecord{newRecord(3, "x")})
	assert.Equal(t, p.exclusion(epoch, p.targets[3]), Evacuated)
}

// TestWarmUpAfterEvacuation guards against full load on targets that are cold after the end of an evacuation, and against losing that when the list changes.
func TestWarmUpAfterEvacuation(t *testing.T) {
	cold := newRecord(2, "a")
	cold.WarmUp = 30 * time.Second
	list := []hsfeed.TargetRecord{newRecord(1, "a"), cold, newRecord(3, "b")}
	p := newPlacer(list...)
	p.SetServices([]hsfeed.Service{{Name: "desk", WarmUpTime: 10 * time.Second}})
	p.SetEvacuations(epoch, []string{"a"})
	end := epoch.Add(time.Minute)
	p.SetEvacuations(end, nil)
	p.SetEvacuations(end.Add(time.Second), nil)
	p.SetTargets(end.Add(time.Second), list)
	for id, want := range map[hsfeed.TargetID]time.Time{1: end.Add(10 * time.Second), 2: end.Add(30 * time.Second), 3: {}} {
		assert.Equal(t, p.targets[id].record.WarmUpUntil, want, "target %d", id)
	}
	// A target that has started again announces its own warm-up time.
	list[0].StartUnixMilli = 1
	p.SetTargets(end.Add(2*time.Second), list)
	assert.Equal(t, p.targets[1].record.WarmUpUntil, time.Time{})
}

// TestCutOffHost guards against callers who are not served because the only targets
// that they can reach are in a zone that is being evacuated, and against flows there
// while there are others.
func TestCutOffHost(t *testing.T) {
	p := newPlacer(newRecord(1, "a"), newRecord(2, "b"), newRecord(3, "b"), newRecord(4, "c"))
	p.SetEvacuations(epoch, []string{"a", "c"})
	p.SetCutOff(true)
	assert.Equal(t, p.targets[choose(t, p, epoch)].record.Zone, "b")
	p.RecordUnanswered(epoch, 2)
	p.RecordUnanswered(epoch, 3)
	for range 5 {
		assert.Equal(t, choose(t, p, epoch), hsfeed.TargetID(1))
	}
	p.SetCutOff(false)
	assert.Equal(t, p.targets[choose(t, p, epoch)].record.Zone, "b")
}
