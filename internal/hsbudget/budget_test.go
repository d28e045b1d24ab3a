package hsbudget

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var zones = []string{"a", "b", "c"}

// TestOwnershipIsShared guards against slots with two owners or none among hosts
// that know each other, and against shares that do not add up to the whole when
// each knows another half of the members.
func TestOwnershipIsShared(t *testing.T) {
	const hosts, slots = 20, 5000
	names := make([]string, hosts)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	partial := 0
	for slot := range int64(slots) {
		owners := 0
		for i, name := range names {
			s := NewShare(name)
			s.Set(names, hosts)
			if s.owns(7, slot) {
				owners++
			}
			known := append(append([]string{}, names[i:]...), names[:i]...)[:hosts/2]
			s.Set(known, hosts)
			if s.owns(7, slot) {
				partial++
			}
		}
		assert.Equal(t, owners, 1)
	}
	assert.Assert(t, math.Abs(float64(partial)/slots-1) < 0.05, "%d", partial)
}

// TestRates guards against a slot length of zero, an overflow, or a mean above
// the rate at the limits of the rate, and against a limit where there is none.
func TestRates(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN()} {
		assert.Assert(t, NewAllowance(1, rate) == nil)
	}
	for _, rate := range []float64{1e-9, 0.3, 1, 3, 7, 50, 333, 1e6, 1e300, math.Inf(1)} {
		a := NewAllowance(1, rate)
		mean := float64(a.slotFlows) / time.Duration(a.slotLength).Seconds()
		assert.Assert(t, a.slotLength >= int64(minSlotLength) && mean <= a.Rate()*1.0001, "%g", rate)
	}
}

// TestClockJumps guards against a host that places more than its clock's slots
// allow when its clock goes back, repeats a time or jumps far ahead, and against
// one that stops placing flows then.
func TestClockJumps(t *testing.T) {
	s := NewShare("h")
	s.Set(nil, 1)
	a := NewAllowance(1, 1)
	now := time.Unix(1_700_000_000, 0)
	use := func() int {
		n := 0
		for a.Allows(now, s) {
			a.Use(now)
			n++
		}
		return n
	}
	assert.Equal(t, use(), 1)
	assert.Equal(t, use(), 0)
	placed := 0
	for range 100 {
		now = now.Add(-time.Hour)
		placed += use()
	}
	assert.Assert(t, placed <= tokenSlots, "%d", placed)
	now = time.Unix(-5, 0)
	use()
	now = now.Add(time.Second)
	use()
	for range 10 {
		now = now.Add(time.Second)
		assert.Equal(t, use(), 1)
	}
}

// TestUpcoming guards against a number of upcoming flows that the host then may
// not place, or that it exceeds.
func TestUpcoming(t *testing.T) {
	s := NewShare("h")
	s.Set([]string{"i", "j", "k"}, 6)
	a := NewAllowance(9, 5)
	now := time.Unix(1_700_000_000, 0)
	for range 20 {
		want := a.Upcoming(now, now.Add(3*time.Second-time.Nanosecond), s)
		got := 0
		for end := now.Add(3 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for a.Allows(now, s) {
				a.Use(now)
				got++
			}
		}
		assert.Equal(t, got, want)
	}
	assert.Equal(t, a.Upcoming(now, now.Add(-time.Second), s), 0)
}

// TestMemberCounts guards against a count that follows an absurd or outdated
// number of a peer, forgets a dead host early or never, or takes the share of
// hosts that have not been heard of yet.
func TestMemberCounts(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := NewMembers(now, "h", "a")
	count := func() int {
		v, _ := m.Update(now, []string{"a"})
		return v.Count
	}
	m.Hear(now, "i", "a")
	m.SetAlive(1)
	assert.Equal(t, count(), unsettledCount)
	now = now.Add(2 * settleTime)
	count()
	now = now.Add(2 * settleTime)
	assert.Equal(t, count(), 2)
	v, changed := m.Update(now, zones)
	assert.Assert(t, changed)
	assert.Equal(t, len(v.Names), 2)
	now = now.Add(2 * settleTime)
	v, _ = m.Update(now, zones)
	assert.Equal(t, v.Count, 6)
	m.HearCount(now, 1)
	m.HearCount(now, 0)
	m.HearCount(now, math.MaxUint32)
	assert.Equal(t, count(), MaxCount)
	now = now.Add(10 * time.Second)
	count()
	now = now.Add(settleTime)
	assert.Equal(t, count(), 2)
	m.Hear(now.Add(-time.Hour), "i", "a")
	now = now.Add(memberTime - time.Minute)
	assert.Equal(t, m.Own(), 2)
	now = now.Add(time.Minute)
	count()
	assert.Equal(t, m.Own(), 1)
}

// TestSilentSeed guards against a host that starts while it is cut off and takes
// the whole rate once it has settled.
func TestSilentSeed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := NewMembers(now, "h", "a")
	m.AddSeed("s")
	now = now.Add(2 * settleTime)
	m.Update(now, []string{"a"})
	now = now.Add(settleTime)
	v, _ := m.Update(now, []string{"a"})
	assert.Equal(t, v.Count, isolatedCount)
	m.Hear(now, "s", "a")
	m.SetAlive(1)
	m.Update(now, []string{"a"})
	v, _ = m.Update(now.Add(settleTime), []string{"a"})
	assert.Equal(t, v.Count, 2)
}

// TestCutAfterStart guards against a host that is cut off right after its start
// and takes the few members that it has heard of for all.
func TestCutAfterStart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := NewMembers(now, "h", "a")
	for i := range 10 {
		m.Hear(now, fmt.Sprint(i), "a")
	}
	update := func(after time.Duration, alive int) int {
		now = now.Add(after)
		m.SetAlive(alive)
		v, _ := m.Update(now, []string{"a"})
		return v.Count
	}
	update(0, 10)
	assert.Equal(t, update(2*settleTime, 5), isolatedCount)
	// Once it has had contact with all, it keeps counting them.
	assert.Equal(t, update(time.Second, 10), 11)
	assert.Equal(t, update(time.Second, 5), 11)
}

// TestMemberLimit guards against unlimited memory when forged hosts send
// heartbeats.
func TestMemberLimit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := NewMembers(now, "h", "a")
	for i := range 2 * MaxCount {
		m.Hear(now, fmt.Sprint(i), "a")
	}
	v, _ := m.Update(now, zones)
	assert.Equal(t, len(v.Names), MaxCount)
	assert.Equal(t, v.Count, MaxCount)
}
