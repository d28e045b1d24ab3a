package hsqueue

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// routeItem returns an item of one of the routes of a service, which can meet
// its objective for 150 ms.
func routeItem(route byte, sent, priority int) Item[string] {
	it := item(sent, priority, string(rune('a'+route)))
	it.Route = Route{Service: "desk", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, route}), 443)}
	return it
}

// releases releases n items and returns the number by name. Each is replaced by
// a new one of the same route.
func releases(q *Queue[string], n int) map[string]int {
	out := map[string]int{}
	for range n {
		it := q.Next(ms(0), func(*Item[string]) bool { return true })
		out[it.Value]++
		again := *it
		q.RemoveReleased(it)
		q.Push(again)
	}
	return out
}

// TestEvenTurns checks that a route with many items gets no more releases than
// the others of its priority, and that one that begins to hold items, or did not
// have to wait before, is neither behind nor ahead.
func TestEvenTurns(t *testing.T) {
	q := New[string](Config{MaxItems: 100, Even: true})
	for range 50 {
		q.CountReleased(routeItem(2, 0, 2).Route, 2)
	}
	for range 30 {
		q.Push(routeItem(0, 0, 2))
	}
	q.Push(routeItem(1, 0, 2))
	assert.DeepEqual(t, releases(q, 40), map[string]int{"a": 20, "b": 20})
	q.Push(routeItem(3, 0, 2))
	got := releases(q, 30)
	assert.Assert(t, got["a"] >= 9 && got["b"] >= 9 && got["d"] >= 9, "%v", got)
}

// TestEvenPriority checks that an urgent route goes first, while a less urgent
// one gets a tenth of the releases.
func TestEvenPriority(t *testing.T) {
	q := New[string](Config{MaxItems: 100, Even: true})
	q.Push(routeItem(0, 0, 1))
	q.Push(routeItem(1, 0, 2))
	got := releases(q, 1000)
	assert.Assert(t, got["b"] >= 99 && got["b"] <= 101, "%v", got)
}

// TestEvenInTime checks that an item that can meet its objective goes before one
// that can't, whatever their routes.
func TestEvenInTime(t *testing.T) {
	q := New[string](Config{MaxItems: 100, Even: true})
	q.Push(routeItem(0, -1000, 0))
	q.Push(routeItem(1, 0, 2))
	assert.Equal(t, q.Next(ms(0), func(*Item[string]) bool { return true }).Value, "b")
}

// TestEvenExcess checks that the newest item of a route that holds more than can
// be released in time is removed at once, and that the items of a route with few
// requests stay.
func TestEvenExcess(t *testing.T) {
	q := New[string](Config{MaxItems: 1000, Even: true})
	for n := range 100 {
		q.Push(routeItem(0, n, 2))
	}
	for range 100 {
		q.CountReleased(routeItem(0, 0, 2).Route, 2)
	}
	q.MeasureRates(time.Second)
	q.Push(routeItem(1, 0, 2))
	q.Push(routeItem(1, 0, 2))
	out, ok := q.RemoveExcess(ms(0))
	assert.Assert(t, ok)
	assert.Equal(t, out.FirstSent, ms(99))
	for ok {
		out, ok = q.RemoveExcess(ms(0))
		assert.Assert(t, !ok || out.Value == "a")
	}
	assert.Equal(t, q.CountHeld("desk"), 2+minHeld)
}

// TestEvenMaximum checks that the configured maximum applies to all routes
// together.
func TestEvenMaximum(t *testing.T) {
	q := New[string](Config{MaxItems: 2, Even: true})
	q.Push(routeItem(0, 0, 2))
	q.Push(routeItem(0, 1, 2))
	q.Push(routeItem(1, 0, 2))
	out, ok := q.RemoveExcess(ms(0))
	assert.Assert(t, ok)
	assert.Equal(t, out.Value, "a")
}
