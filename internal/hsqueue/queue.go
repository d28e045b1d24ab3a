// Package hsqueue holds the opening packets of flows while all targets of their
// service are full, and says which is released next.
//
// It answers more flows than the targets can serve, for some seconds: a burst,
// or all that waited while no entry host ran. Served in the order of arrival,
// every flow would wait for as long as the backlog lasts and miss its latency
// objective. Here a flow that can still meet it goes first, and those that
// cannot are served with what is left, before their callers give up.
package hsqueue

import (
	"slices"
	"time"
)

type (
	// Config holds the settings of a Queue.
	Config struct {
		// Items held at most; at least 1.
		Limit int
	}

	// Item is one opening packet.
	Item[T any] struct {
		// Time at which the caller sent the first copy of the packet.
		Since time.Time
		// Time until which the flow can meet its latency objective.
		Aim time.Time
		// Time at which the caller gives up.
		End time.Time
		// 0 is the most urgent.
		Priority int
		Value    T
	}

	// Queue holds items. It is not safe for concurrent use.
	Queue[T any] struct {
		cfg Config
		// At most cfg.Limit.
		limit int
		items []Item[T]
	}
)

// minLimit is the limit at the lowest rate, so that a few items may wait before
// a rate is known.
const minLimit = 16

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] { return &Queue[T]{cfg: cfg, limit: cfg.Limit} }

// Len returns the number of items held.
func (q *Queue[T]) Len() int { return len(q.items) }

// Clear removes all items.
func (q *Queue[T]) Clear() {
	clear(q.items)
	q.items = q.items[:0]
}

// SetRate takes the number of items that are released in a second. Of more than
// are released before callers give up, some would wait in vain; the limit falls
// to that number.
func (q *Queue[T]) SetRate(perSecond float64, patience time.Duration) {
	q.limit = min(max(int(perSecond*patience.Seconds()), minLimit), q.cfg.Limit)
}

// Push adds an item.
func (q *Queue[T]) Push(it Item[T]) { q.items = append(q.items, it) }

// Excess removes and returns the item that is worth least, if there are more
// than the limit allows.
func (q *Queue[T]) Excess(now time.Time) (Item[T], bool) {
	if len(q.items) <= q.limit {
		return Item[T]{}, false
	}
	worst := 0
	for i := range q.items {
		if before(now, &q.items[worst], &q.items[i]) {
			worst = i
		}
	}
	return q.remove(worst), true
}

// Find returns the item that match accepts, or nil. It stays valid until the
// next call.
func (q *Queue[T]) Find(match func(v *T) bool) *Item[T] {
	for i := range q.items {
		if match(&q.items[i].Value) {
			return &q.items[i]
		}
	}
	return nil
}

// First returns the item that is released next among those that take accepts,
// or nil. It stays valid until the next call.
func (q *Queue[T]) First(now time.Time, take func(it *Item[T]) bool) *Item[T] {
	var best *Item[T]
	for i := range q.items {
		it := &q.items[i]
		if (best == nil || before(now, it, best)) && take(it) {
			best = it
		}
	}
	return best
}

// Remove removes an item that First or Find returned.
func (q *Queue[T]) Remove(it *Item[T]) {
	for i := range q.items {
		if &q.items[i] == it {
			q.remove(i)
			return
		}
	}
}

// Expire removes and returns an item whose caller has given up.
func (q *Queue[T]) Expire(now time.Time) (Item[T], bool) {
	i := slices.IndexFunc(q.items, func(it Item[T]) bool { return !now.Before(it.End) })
	if i < 0 {
		return Item[T]{}, false
	}
	return q.remove(i), true
}

func (q *Queue[T]) remove(i int) Item[T] {
	last := len(q.items) - 1
	it := q.items[i]
	q.items[i] = q.items[last]
	q.items[last] = Item[T]{}
	q.items = q.items[:last]
	return it
}

// InTime reports whether the item can still meet its latency objective.
func (it *Item[T]) InTime(now time.Time) bool { return now.Before(it.Aim) }

// before reports whether a is released before b: what can meet its objective
// first, then by urgency. Among equals that can meet it the newest goes first,
// since the older ones are about to miss it anyway; among the others the oldest,
// since its caller gives up first.
func before[T any](now time.Time, a, b *Item[T]) bool {
	inTime := a.InTime(now)
	if inTime != b.InTime(now) {
		return inTime
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if inTime {
		return a.Since.After(b.Since)
	}
	return a.Since.Before(b.Since)
}
