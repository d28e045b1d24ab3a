// Package hsqueue holds the opening packets of flows while all targets of their
// service are full, and determines the order in which they are released.
//
// It is designed for overload that lasts some seconds: a burst, or the flows
// that waited while no entry host was running. In order of arrival, every flow
// would wait as long as there is a backlog and miss its latency objective. The
// queue therefore releases flows that can still meet their objective first. The
// others get the remaining capacity, until their callers abandon the attempt.
//
// With Config.Even, it is also designed for a long burst of one of several
// routes: those of the same priority are released in turn, and a route holds no
// more items than can be released in time.
package hsqueue

import (
	"slices"
	"time"
)

type (
	// Config holds the settings of a Queue.
	Config struct {
		// Maximum number of items; at least 1.
		MaxItems int
		// True to release evenly among the routes of the same priority, with a
		// minimum share for less urgent ones, and to hold no more items of a
		// route than can be released in time.
		Even bool
	}

	// Item is one opening packet.
	Item[T any] struct {
		// Time at which the caller first sent the packet.
		FirstSent time.Time
		// Time until which the flow has to be released to meet its latency
		// objective.
		Deadline time.Time
		// Time at which the caller abandons the attempt.
		AbandonAt time.Time
		// 0 is the most urgent.
		Priority int
		// Used with Config.Even.
		Route Route
		Value T
		route *route
	}

	// Queue holds items. It is not safe for concurrent use.
	Queue[T any] struct {
		cfg Config
		// Current maximum number of items; at most the configured one.
		currentLimit int
		items        []Item[T]
		// Empty unless Config.Even.
		routes map[Route]*route
		levels map[levelKey]*level
		// The values of routes, in the order in which they were added.
		routeList []*route
	}
)

// minLimit is the lower bound of the current limit, so that a few items may
// wait before a release rate is known.
const minLimit = 16

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] {
	return &Queue[T]{cfg: cfg, currentLimit: cfg.MaxItems, routes: map[Route]*route{}, levels: map[levelKey]*level{}}
}

// Len returns the number of items held.
func (q *Queue[T]) Len() int { return len(q.items) }

// Clear removes all items.
func (q *Queue[T]) Clear() {
	clear(q.routes)
	clear(q.levels)
	q.routeList = nil
	clear(q.items)
	q.items = q.items[:0]
}

// SetReleaseRate sets the current limit to the number of items that can be
// released before their callers abandon the attempt, given the rate of releases
// per second and the time for which a caller waits. Further items could not be
// released in time. The limit stays between minLimit and the configured
// maximum.
func (q *Queue[T]) SetReleaseRate(perSecond float64, maxWait time.Duration) {
	q.currentLimit = min(max(int(perSecond*maxWait.Seconds()), minLimit), q.cfg.MaxItems)
}

// Push adds an item.
func (q *Queue[T]) Push(it Item[T]) {
	if q.cfg.Even {
		q.startHolding(&it)
	}
	q.items = append(q.items, it)
}

// RemoveExcess removes and returns the item that would be released last, if
// there are more items than the current limit allows. With Config.Even, it is
// the newest item of a route that holds too many.
func (q *Queue[T]) RemoveExcess(now time.Time) (Item[T], bool) {
	if q.cfg.Even {
		return q.removeExcessEven()
	}
	if len(q.items) <= q.currentLimit {
		return Item[T]{}, false
	}
	return q.RemoveLast(now, func(*T) bool { return true })
}

// RemoveLast removes and returns the item that would be released last among those
// for which match returns true, and false if there is none.
func (q *Queue[T]) RemoveLast(now time.Time, match func(v *T) bool) (Item[T], bool) {
	last := -1
	for i := range q.items {
		if match(&q.items[i].Value) && (last < 0 || releasedBefore(now, &q.items[last], &q.items[i])) {
			last = i
		}
	}
	if last < 0 {
		return Item[T]{}, false
	}
	return q.removeAt(last), true
}

// Count returns the number of items for which match returns true.
func (q *Queue[T]) Count(match func(v *T) bool) int {
	n := 0
	for i := range q.items {
		if match(&q.items[i].Value) {
			n++
		}
	}
	return n
}

// Find returns the first item for which match returns true, or nil. The pointer
// is valid until items are added or removed.
func (q *Queue[T]) Find(match func(v *T) bool) *Item[T] {
	for i := range q.items {
		if match(&q.items[i].Value) {
			return &q.items[i]
		}
	}
	return nil
}

// Next returns the item to release next among those for which accept returns
// true, or nil. The pointer is valid until items are added or removed.
func (q *Queue[T]) Next(now time.Time, accept func(it *Item[T]) bool) *Item[T] {
	before := releasedBefore[T]
	if q.cfg.Even {
		before = evenBefore[T]
	}
	var next *Item[T]
	for i := range q.items {
		it := &q.items[i]
		if (next == nil || before(now, it, next)) && accept(it) {
			next = it
		}
	}
	return next
}

// Remove removes an item, given the pointer that Find or Next returned.
func (q *Queue[T]) Remove(it *Item[T]) {
	for i := range q.items {
		if &q.items[i] == it {
			q.removeAt(i)
			return
		}
	}
}

// RemoveExpired removes and returns an item whose caller has abandoned the
// attempt.
func (q *Queue[T]) RemoveExpired(now time.Time) (Item[T], bool) {
	i := slices.IndexFunc(q.items, func(it Item[T]) bool { return !now.Before(it.AbandonAt) })
	if i < 0 {
		return Item[T]{}, false
	}
	return q.removeAt(i), true
}

func (q *Queue[T]) removeAt(i int) Item[T] {
	last := len(q.items) - 1
	it := q.items[i]
	if it.route != nil {
		it.route.held--
	}
	q.items[i] = q.items[last]
	q.items[last] = Item[T]{}
	q.items = q.items[:last]
	return it
}

// MeetsDeadline reports whether the item can still meet its latency objective.
func (it *Item[T]) MeetsDeadline(now time.Time) bool { return now.Before(it.Deadline) }

// releasedBefore reports whether a is released before b. Items that can still
// meet their objective go first, then those of more urgent priority. Among
// items of equal priority that can meet their objective, the newest goes first,
// since the older ones are about to miss theirs anyway; among the others the
// oldest goes first, since its caller abandons the attempt first.
func releasedBefore[T any](now time.Time, a, b *Item[T]) bool {
	inTime := a.MeetsDeadline(now)
	if inTime != b.MeetsDeadline(now) {
		return inTime
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if inTime {
		return a.FirstSent.After(b.FirstSent)
	}
	return a.FirstSent.Before(b.FirstSent)
}
