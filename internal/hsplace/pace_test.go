package hsplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

// usualTime is the service time of a usual target, and slowTime that of a slow
// one.
const (
	usualTime = 50 * time.Millisecond
	slowTime  = 5 * usualTime
)

// newLearning returns a placer that learns, with n targets in its zone, from 1 on,
// and as many in zone b.
func newLearning(n int) *Placer {
	var list []hsfeed.TargetRecord
	for i := range n {
		list = append(list, newRecord(hsfeed.TargetID(i+1), "a"), newRecord(hsfeed.TargetID(n+i+1), "b"))
	}
	p := New(Config{Zone: "a", UnlistedGracePeriod: gracePeriod, Seed: 1, LearnCapacity: true})
	p.SetTargets(epoch, list)
	return p
}

// serve records a request to each target every 100 ms for the time d, with the
// time that takes returns for the target; 0 for no request.
func serve(p *Placer, now time.Time, d time.Duration, takes func(id hsfeed.TargetID) time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for id := range hsfeed.TargetID(len(p.targets)) {
			if t := takes(id + 1); t != 0 {
				p.RecordService(now, id+1, t)
			}
		}
		p.Tick(now)
	}
	return now
}

func usual(hsfeed.TargetID) time.Duration { return usualTime }

// oneSlow makes target 1 slow.
func oneSlow(id hsfeed.TargetID) time.Duration {
	if id == 1 {
		return slowTime
	}
	return usualTime
}

// firstShare returns the share of 1,000 flows that target 1 gets of an idle
// service.
func firstShare(p *Placer, now time.Time) float64 {
	n := 0
	for range 1000 {
		if ch, _ := p.Choose(now, "desk", math.Inf(1)); ch.Target == 1 {
			n++
		}
	}
	return float64(n) / 1000
}

// TestSlowTarget checks that a target is found slow within 1 s at 10 requests a
// second, that it then gets few flows but some, and that it is released within
// 2 s of its recovery, each with one report.
func TestSlowTarget(t *testing.T) {
	p := newLearning(6)
	now := serve(p, epoch, 2*time.Second, usual)
	assert.Equal(t, len(p.TakePaceChanges()), 0)
	now = serve(p, now, time.Second, oneSlow)
	found := p.TakePaceChanges()
	assert.Equal(t, len(found), 1)
	assert.Assert(t, found[0].Target == 1 && found[0].Slow && found[0].Count >= minEvidence && found[0].Reference == usualTime, "%+v", found)
	assert.Assert(t, firstShare(p, now) < 0.02)
	assert.Equal(t, p.SlowCount(), 1)
	now = serve(p, now, 2*time.Second, usual)
	released := p.TakePaceChanges()
	assert.Assert(t, len(released) == 1 && released[0].Target == 1 && !released[0].Slow, "%+v", released)
	assert.Assert(t, firstShare(p, now) > 0.1)
}

// TestPaceProbes checks that a slow target from which no evidence arrives gets
// flows again, so that its recovery can show.
func TestPaceProbes(t *testing.T) {
	p := newLearning(6)
	now := serve(p, epoch, 2*time.Second, oneSlow)
	assert.Assert(t, p.PaceFactor(1) > 3)
	now = serve(p, now, 6*time.Second, func(id hsfeed.TargetID) time.Duration {
		if id == 1 {
			return 0
		}
		return usualTime
	})
	assert.Assert(t, firstShare(p, now) > 0.1)
}

// TestSlowZone checks that targets are not taken for slow if all targets of their
// zone, or all targets that this host sees, are slow: the link is.
func TestSlowZone(t *testing.T) {
	p := newLearning(6)
	now := serve(p, epoch, 2*time.Second, func(id hsfeed.TargetID) time.Duration {
		switch {
		case id > 9:
			return 0
		case id > 6:
			return slowTime
		}
		return usualTime
	})
	assert.Equal(t, len(p.TakePaceChanges()), 0)
	for id := range hsfeed.TargetID(12) {
		assert.Equal(t, p.PaceFactor(id+1), 1.0)
	}
	serve(p, now, 5*time.Second, func(hsfeed.TargetID) time.Duration { return slowTime })
	assert.Equal(t, p.SlowCount(), 0)
}

// TestFewObservations checks that one slow request of this host, and one report
// of a peer, each find no target slow.
func TestFewObservations(t *testing.T) {
	p := newLearning(6)
	now := serve(p, epoch, 2*time.Second, func(id hsfeed.TargetID) time.Duration {
		if id == 1 {
			return 0
		}
		return usualTime
	})
	p.RecordService(now, 1, slowTime)
	p.ApplyPaces(now, []Pace{{Target: 2, Time: slowTime, Count: 1}})
	p.Tick(now.Add(paceInterval))
	assert.Equal(t, len(p.TakePaceChanges()), 0)
}

// TestQuickRejections checks that a target that rejects nine of ten requests at
// once does not look faster than one that serves all: it would get the more
// flows, the more it rejects.
func TestQuickRejections(t *testing.T) {
	p := newLearning(6)
	n := 0
	now := serve(p, epoch, 3*time.Second, func(id hsfeed.TargetID) time.Duration {
		if id == 1 {
			if n++; n%10 != 0 {
				return 2 * time.Millisecond
			}
		}
		return usualTime
	})
	assert.Assert(t, firstShare(p, now) < 0.2)
	now = serve(p, now, time.Second, func(id hsfeed.TargetID) time.Duration {
		if id == 1 {
			if n++; n%2 != 0 {
				return 2 * time.Millisecond
			}
			return slowTime
		}
		return usualTime
	})
	assert.Assert(t, firstShare(p, now) < 0.05)
}

// TestAbsurdPaces checks that times of 0 or above a minute, counts that are no
// positive number and unknown targets change nothing, that a huge count counts as
// maxHeard, and that a report that repeats counts once.
func TestAbsurdPaces(t *testing.T) {
	p := newLearning(6)
	now := serve(p, epoch, 2*time.Second, func(id hsfeed.TargetID) time.Duration {
		if id <= 2 {
			return 0
		}
		return usualTime
	})
	p.ApplyPaces(now, []Pace{
		{Target: 1, Count: 5},
		{Target: 1, Time: MaxPace + 1, Count: 5},
		{Target: 1, Time: -1, Count: 5},
		{Target: 1, Time: slowTime},
		{Target: 1, Time: slowTime, Count: math.NaN()},
		{Target: 99, Time: slowTime, Count: 5},
	})
	assert.Equal(t, p.targets[1].pace.known.count, 0.0)
	for range 10 {
		p.ApplyPaces(now, []Pace{{Target: 1, Time: MaxPace, Count: math.Inf(1)}, {Target: 2, Time: slowTime, Count: 1}})
	}
	assert.Equal(t, p.targets[1].pace.known.count, maxHeard)
	assert.Assert(t, p.targets[1].pace.known.mean() <= maxFactor*usualTime.Seconds()*1.001)
	assert.Equal(t, p.targets[2].pace.known.count, 1.0)
}

// TestPaceExpires checks that evidence older than paceTimeout is dropped, and that
// a clock that is set back changes nothing.
func TestPaceExpires(t *testing.T) {
	p := newLearning(6)
	now := serve(p, epoch, 2*time.Second, oneSlow)
	before := p.targets[1].pace.known
	p.targets[1].pace.decay(now.Add(-time.Hour))
	assert.Equal(t, p.targets[1].pace.known, before)
	p.targets[1].pace.decay(now.Add(-time.Hour).Add(paceTimeout))
	assert.Equal(t, p.targets[1].pace.known, evidence{})
}

// TestPaceForgotten checks that learning begins anew for a target that starts
// again under the same ID, and for one whose entry changes.
func TestPaceForgotten(t *testing.T) {
	for _, change := range []func(r *hsfeed.TargetRecord){
		func(r *hsfeed.TargetRecord) { r.StartUnixMilli = 7 },
		func(r *hsfeed.TargetRecord) { r.Slots = 4 },
	} {
		p := newLearning(6)
		now := serve(p, epoch, 2*time.Second, oneSlow)
		var list []hsfeed.TargetRecord
		for id := range hsfeed.TargetID(12) {
			r := p.targets[id+1].record
			if id == 0 {
				change(&r)
			}
			list = append(list, r)
		}
		p.SetTargets(now, list)
		assert.Equal(t, p.PaceFactor(1), 1.0)
		assert.Equal(t, p.targets[1].pace, pace{})
	}
}

// TestAppendPaces checks that a host reports the slow target, and no usual one,
// and that a peer that has no request of its own there learns from it.
func TestAppendPaces(t *testing.T) {
	p, peer := newLearning(6), newLearning(6)
	now := serve(p, epoch, 2*time.Second, oneSlow)
	serve(peer, epoch, 2*time.Second, func(id hsfeed.TargetID) time.Duration {
		if id == 1 {
			return 0
		}
		return usualTime
	})
	paces := p.AppendPaces(now, nil, 5)
	assert.Equal(t, len(paces), 1)
	assert.Equal(t, paces[0].Target, hsfeed.TargetID(1))
	peer.ApplyPaces(now, paces)
	peer.Tick(now)
	assert.Assert(t, firstShare(peer, now) < 0.02)
}

// TestPaceEcho checks that two hosts that only repeat each other's reports forget
// them: evidence that returns to its sender must not count again.
func TestPaceEcho(t *testing.T) {
	a, b := newLearning(6), newLearning(6)
	now := serve(a, epoch, 2*time.Second, oneSlow)
	serve(b, epoch, 2*time.Second, oneSlow)
	withoutFirst := func(id hsfeed.TargetID) time.Duration {
		if id == 1 {
			return 0
		}
		return usualTime
	}
	for range 50 {
		a.ApplyPaces(now, b.AppendPaces(now, nil, 3))
		b.ApplyPaces(now, a.AppendPaces(now, nil, 3))
		serve(a, now, 100*time.Millisecond, withoutFirst)
		now = serve(b, now, 100*time.Millisecond, withoutFirst)
	}
	assert.Assert(t, a.targets[1].pace.known.count < minReported)
	assert.Assert(t, b.targets[1].pace.known.count < minReported)
}

// TestPaceNeverRefuses checks on random states that a placer that learns refuses
// a flow only if each target that takes flows is full by the count of requests,
// which pace does not change.
func TestPaceNeverRefuses(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for range 200 {
		p := newLearning(4)
		now := epoch
		for range 30 {
			now = serve(p, now, 100*time.Millisecond, func(hsfeed.TargetID) time.Duration {
				return time.Duration(rng.Int64N(int64(time.Second)))
			})
			p.ApplyPaces(now, []Pace{{Target: hsfeed.TargetID(rng.IntN(9)), Time: time.Duration(rng.Int64N(int64(time.Second))), Count: 3}})
			p.AddRequest(hsfeed.TargetID(rng.IntN(8) + 1))
			free := false
			for _, t := range p.targets {
				free = free || t.totalUtilization(now) <= 1
			}
			_, code := p.Choose(now, "desk", 1)
			assert.Equal(t, code == hscode.OK, free)
			if !free {
				refused++
			}
		}
	}
	assert.Assert(t, refused > 0)
}

// TestPaceOff checks that without LearnCapacity, service times and paces change no
// choice: flow for flow, the same targets are chosen as without them.
func TestPaceOff(t *testing.T) {
	p, plain := newPlacer(newRecord(1, "a"), newRecord(2, "a"), newRecord(3, "a")), newPlacer(newRecord(1, "a"), newRecord(2, "a"), newRecord(3, "a"))
	now := epoch
	for range 300 {
		now = serve(p, now, 100*time.Millisecond, oneSlow)
		p.ApplyPaces(now, []Pace{{Target: 2, Time: slowTime, Count: 5}})
		assert.Equal(t, len(p.AppendPaces(now, nil, 5)), 0)
		plain.Tick(now)
		id := choose(t, p, now)
		assert.Equal(t, id, choose(t, plain, now))
		if now.UnixMilli()%300 != 0 {
			p.RemoveRequest(id)
			plain.RemoveRequest(id)
		}
	}
	assert.Equal(t, p.targets[1].pace, pace{})
}

// BenchmarkChoose measures the choice of a target with fixed shares, and with
// learned paces that differ.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{30, 150, 600} {
		for _, learn := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/learn=%t", n, learn), func(b *testing.B) {
				p := newLearning(n / 2)
				p.cfg.LearnCapacity = learn
				now := serve(p, epoch, 2*time.Second, func(id hsfeed.TargetID) time.Duration {
					if id%3 == 0 {
						return slowTime
					}
					return usualTime
				})
				for b.Loop() {
					_, _ = p.Choose(now, "desk", 1)
				}
			})
		}
	}
}
