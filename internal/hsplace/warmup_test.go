package hsplace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsbudget"
	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

const warmUpTime = 20 * time.Second

// newLimited returns a placer of the only host whose targets take rate flows a
// second in warm-up.
func newLimited(rate float64, list ...hsfeed.TargetRecord) *Placer {
	p := New(Config{Zone: "a", UnlistedGracePeriod: gracePeriod, Seed: 1, Host: "h1"})
	p.SetMembers(&hsbudget.View{Names: []string{"h1"}, Count: 1})
	p.SetServices([]hsfeed.Service{{Name: "desk", WarmUpTime: warmUpTime, WarmUpRate: rate}})
	p.SetTargets(epoch, list)
	return p
}

func newCold(id hsfeed.TargetID, zone string) hsfeed.TargetRecord {
	r := newRecord(id, zone)
	r.WarmUpUntil = epoch.Add(warmUpTime)
	return r
}

// TestWarmUpLimit guards against more flows on a target in warm-up than its rate,
// against a limit that remains after the warm-up time or after the rate was
// removed, and against a refusal while another target is warm.
func TestWarmUpLimit(t *testing.T) {
	p := newLimited(1, newCold(1, "a"))
	now := epoch
	placed := 0
	for ; now.Before(epoch.Add(warmUpTime)); now = now.Add(10 * time.Millisecond) {
		ch, code := p.Choose(now, "desk", math.Inf(1))
		if code == hscode.OK {
			placed++
			continue
		}
		assert.Equal(t, code, hscode.FlowOverload)
		assert.Equal(t, ch.Exclusion, WarmUpLimit)
	}
	assert.Equal(t, placed, int(warmUpTime/time.Second))
	for range 5 {
		choose(t, p, now)
	}
	p = newLimited(1, newCold(1, "a"))
	choose(t, p, epoch)
	p.SetServices(nil)
	choose(t, p, epoch)
	p = newLimited(1, newCold(1, "a"), newRecord(2, "b"))
	for range 5 {
		choose(t, p, epoch)
	}
	assert.Equal(t, p.LimitedTargets(epoch), 1)
}

// TestLimitIsNotOverridden guards against flows beyond the limit when all other
// targets are ejected, or the target itself is.
func TestLimitIsNotOverridden(t *testing.T) {
	p := newLimited(1, newCold(1, "a"), newRecord(2, "a"))
	for range ejectAfter {
		p.RecordUnanswered(epoch, 1)
		p.RecordUnanswered(epoch, 2)
	}
	flows := map[hsfeed.TargetID]int{}
	for range 20 {
		flows[choose(t, p, epoch)]++
	}
	assert.Assert(t, flows[1] <= 1, "%v", flows)
	p = newLimited(1, newCold(1, "a"))
	choose(t, p, epoch)
	p.RecordUnanswered(epoch, 1)
	p.RecordUnanswered(epoch, 1)
	_, code := p.Choose(epoch, "desk", math.Inf(1))
	assert.Equal(t, code, hscode.FlowOverload)
}

// TestUnknownMembers guards against a host that takes the whole rate before it
// knows how many others there are.
func TestUnknownMembers(t *testing.T) {
	p := New(Config{Zone: "a", Seed: 1, Host: "h1"})
	p.SetServices([]hsfeed.Service{{Name: "desk", WarmUpTime: warmUpTime, WarmUpRate: 1}})
	p.SetTargets(epoch, []hsfeed.TargetRecord{newCold(1, "a")})
	assert.Assert(t, p.UpcomingFlows(epoch, epoch.Add(warmUpTime-1), "desk") <= 1)
}

// TestPlacementWithoutRate guards against any change of placement, or of the
// random choices, for services without a rate, also in warm-up and with a warm-up
// time: the targets of a service with and without one get the same flows.
func TestPlacementWithoutRate(t *testing.T) {
	list := []hsfeed.TargetRecord{newCold(1, "a"), newCold(2, "b"), newRecord(3, "a"), newRecord(4, "a"), newRecord(5, "b")}
	before, after := newPlacer(list...), newLimited(0, list...)
	for i := range 500 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		id := choose(t, before, now)
		assert.Equal(t, choose(t, after, now), id)
		if i > 10 {
			done := hsfeed.TargetID(i%5 + 1)
			before.RemoveRequest(done)
			after.RemoveRequest(done)
		}
	}
}

// TestSlowStart guards against the load of a returned zone in one step: the
// target of this zone gets no flow at first, then more and more of them, while
// its listed warm-up time is over. The end survives a new list of targets.
func TestSlowStart(t *testing.T) {
	p := newLimited(0, newRecord(1, "a"), newRecord(2, "b"), newRecord(3, "b"))
	p.SetEvacuations(epoch, []string{"a"})
	p.SetEvacuations(epoch, nil)
	p.SetTargets(epoch, []hsfeed.TargetRecord{newRecord(1, "a"), newRecord(2, "b"), newRecord(3, "b")})
	flows := func(now time.Time) int {
		n := 0
		var ids []hsfeed.TargetID
		for range 6 {
			ids = append(ids, choose(t, p, now))
		}
		for _, id := range ids {
			if id == 1 {
				n++
			}
			p.RemoveRequest(id)
		}
		return n
	}
	last := 0
	for _, part := range []time.Duration{0, 4, 8, 12, 20} {
		n := flows(epoch.Add(part * time.Second))
		assert.Assert(t, n >= last, "%d flows after %d s, %d before", n, part, last)
		last = n
	}
	assert.Assert(t, flows(epoch) < last/2)
}

// BenchmarkChooseWarmUp compares the path without a limit (rate 0) with targets that
// are all in warm-up with a limit.
func BenchmarkChooseWarmUp(b *testing.B) {
	for _, n := range []int{30, 150, 600} {
		for _, rate := range []float64{0, 50} {
			var list []hsfeed.TargetRecord
			for i := range n {
				r := newCold(hsfeed.TargetID(i+1), string(rune('a'+i%3)))
				if i%2 == 0 {
					r.WarmUpUntil = time.Time{}
				}
				list = append(list, r)
			}
			p := newLimited(rate, list...)
			names := make([]string, 100)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			p.SetMembers(&hsbudget.View{Names: names, Count: len(names) + 1})
			b.Run(fmt.Sprintf("targets=%d/rate=%g", n, rate), func(b *testing.B) {
				for i := range b.N {
					ch, _ := p.Choose(epoch.Add(time.Duration(i)*time.Microsecond), "desk", math.Inf(1))
					p.AddRequest(ch.Target)
					p.RemoveRequest(ch.Target)
				}
			})
		}
	}
}
