package hslimit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	epoch = time.Unix(1_000_000, 0)
	desk  = Key{Service: "desk", Zone: "a"}
)

const work = 50 * time.Millisecond

// load plays requests of a host that wants rate requests a second, each with the
// given time in service, and returns the pool's places at the end and the
// number of requests that were not admitted.
func load(l *Limiter, from time.Time, d time.Duration, rate float64, inService time.Duration, calm *CalmTime) (places, refused int) {
	p := l.Pool(desk)
	ends := map[int]int{}
	wanted := 0.0
	for ms := range int(d.Milliseconds()) {
		now := from.Add(time.Duration(ms) * time.Millisecond)
		for range ends[ms] {
			p.Record(now, inService, calm)
			p.End(true)
		}
		for wanted += rate / 1000; wanted >= 1; wanted-- {
			l.AddDemand("desk")
			if l.Service("desk").Allows(now, "a") {
				p.Begin(true)
				ends[ms+int(inService.Milliseconds())]++
			} else {
				refused++
			}
		}
		if ms%50 == 0 {
			l.Tick(now)
		}
	}
	for _, n := range ends {
		for ; n > 0 && p.inProgress > 0; n-- {
			p.End(true)
		}
	}
	return p.places, refused
}

func newLimiter(hosts int) *Limiter {
	l := New(1)
	l.SetHostCount(hosts)
	l.SetSlots(map[Key]int{desk: 40})
	return l
}

// TestLimitFollowsTime checks that the limit falls while requests queue, stays
// above the lower bound, and that all requests are admitted again from a second
// after the shortage on.
func TestLimitFollowsTime(t *testing.T) {
	l, calm := newLimiter(10), &CalmTime{}
	before, _ := load(l, epoch, 5*time.Second, 60, work, calm)
	assert.Assert(t, before >= 8, "%d places in calm", before)
	during, _ := load(l, epoch.Add(5*time.Second), 2*time.Second, 400, 6*work, calm)
	assert.Assert(t, during >= 4 && during < before, "%d places, %d in calm", during, before)
	load(l, epoch.Add(7*time.Second), time.Second, 60, work, calm)
	_, refused := load(l, epoch.Add(8*time.Second), time.Second, 60, work, calm)
	assert.Equal(t, refused, 0)
}

// TestRejectionsTakePlaces checks that a host does not use a place again at once
// after an answer that is as quick as a rejection: with the place free, a full
// target rejected several requests for each that it took.
func TestRejectionsTakePlaces(t *testing.T) {
	l, calm := newLimiter(10), &CalmTime{}
	load(l, epoch, 3*time.Second, 60, work, calm)
	now := epoch.Add(3 * time.Second)
	p := l.Pool(desk)
	for p.inProgress > 0 {
		p.End(true)
	}
	admitted := 0
	for ; admitted < 100 && l.Service("desk").Allows(now, "a"); admitted++ {
		p.Begin(false)
		p.service.opening = 1
		p.Record(now, 2*time.Millisecond, calm)
		p.End(false)
	}
	assert.Equal(t, admitted, p.places)
	assert.Assert(t, l.Service("desk").Allows(now.Add(work), "a"))
}

// TestKeptFlows checks that requests on open flows leave less for new flows, and
// that one new flow is admitted all the same.
func TestKeptFlows(t *testing.T) {
	l := newLimiter(10)
	p := l.Pool(desk)
	for range 2 * p.places {
		p.Begin(false)
	}
	assert.Assert(t, l.Service("desk").Allows(epoch, "a"))
	p.Begin(true)
	assert.Assert(t, !l.Service("desk").Allows(epoch, "a"))
	p.End(true)
	assert.Assert(t, l.Service("desk").Allows(epoch, "a"))
}

// TestHostCount checks the bounds for host counts that are absent or absurd.
func TestHostCount(t *testing.T) {
	for _, c := range []struct {
		hosts int
		share float64
	}{{0, unknownShare}, {-3, unknownShare}, {1, 40}, {77, 40.0 / 77}, {math.MaxInt, 0}} {
		l := newLimiter(c.hosts)
		share, upper := l.bounds(l.Pool(desk))
		assert.Assert(t, math.Abs(share-c.share) < 1e-9 && upper >= share, "%d hosts: %f to %f", c.hosts, share, upper)
		assert.Assert(t, l.Service("desk").Allows(epoch, "a"), "the first request is always admitted")
	}
}

// TestClockJump checks that clocks that go backwards or far ahead leave a limit
// within its bounds.
func TestClockJump(t *testing.T) {
	l, calm := newLimiter(10), &CalmTime{}
	load(l, epoch, time.Second, 60, work, calm)
	for _, now := range []time.Time{epoch.Add(-time.Hour), epoch.Add(1000 * time.Hour), epoch} {
		l.Tick(now)
		p := l.Pool(desk)
		lower, upper := l.bounds(p)
		assert.Assert(t, p.limit >= lower && p.limit <= upper, "%f, not within %f to %f", p.limit, lower, upper)
	}
}

// TestPoolWithoutTargets checks that requests that are in progress when the
// targets of a pool vanish are still counted when they end.
func TestPoolWithoutTargets(t *testing.T) {
	l := newLimiter(10)
	p := l.Pool(desk)
	p.Begin(true)
	l.SetSlots(nil)
	l.Tick(epoch)
	l.SetSlots(map[Key]int{desk: 40})
	p.End(true)
	assert.Equal(t, l.State("desk").InProgress, 0)
}

// TestCalmTime checks that neither rejections nor a shortage change the calm
// time much, and that a service that has become much faster is noticed.
func TestCalmTime(t *testing.T) {
	c := &CalmTime{}
	for _, ms := range []time.Duration{1, 50, 52, 1, 48, 50, 51, 49} {
		c.record(ms*time.Millisecond, 1)
	}
	assert.Assert(t, c.value >= 48*time.Millisecond && c.value <= 52*time.Millisecond, "%s", c.value)
	start := c.value
	for range 50 {
		_, ok := c.record(2*time.Millisecond, 3)
		assert.Assert(t, !ok)
		c.record(4*start, 4)
	}
	assert.Assert(t, c.value > start*9/10 && c.value < start*11/10, "%s after the shortage", c.value)
	for range 3000 {
		c.record(start/10, 1)
	}
	assert.Assert(t, c.value < start/2, "%s", c.value)
	for _, d := range []time.Duration{0, -time.Second} {
		_, ok := c.record(d, 1)
		assert.Assert(t, !ok)
	}
}
