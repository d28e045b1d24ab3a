package hsqueue

import (
	"net/netip"
	"slices"
	"time"
)

type (
	// Route identifies the route of an item and the service for whose targets
	// the item waits.
	Route struct {
		Service string
		Address netip.AddrPort
	}

	// level is the state of the routes of one service and priority.
	level struct {
		// Turn of the last release.
		turn int
	}

	levelKey struct {
		service  string
		priority int
	}

	// route is the state of one route of a queue with Config.Even.
	route struct {
		Route
		priority int
		held     int
		// Shared by the routes of the same service and priority.
		level *level
		// Turn in which the route's next item is released: the route with the
		// lowest turn is next, and each release takes a turn. A route that had
		// no items does not have earlier turns than the level.
		turn int
		// Releases that the route's priority is owed as its minimum share.
		owed float64
		// Items that were released without being held or from the queue since
		// the last measurement, and moving average of their number per second.
		released int
		rate     float64
	}
)

const (
	// minShare is the share of the releases that the routes of a less urgent
	// priority get while they hold items. With strict priority, they would get
	// none during a long burst of an urgent route.
	minShare = 0.1
	// waitFraction is the fraction of the time until an item's deadline that
	// may pass until it is released, which bounds the number of items that a
	// route holds. With 0.5, more requests were late in the load model, and
	// those that were refused waited longer.
	waitFraction = 0.3
	// minHeld is the number of items that a route may hold at any rate, and
	// minHeldBelowShare the same for one that is released less often than its
	// turns allow: its few requests are released soon, and would otherwise be
	// refused where they happen to arrive together.
	minHeld           = 2
	minHeldBelowShare = 6
	// routeRateWeight is the weight of the latest measurement of a route's
	// rate.
	routeRateWeight = 0.5
	// maxIdleRoutes is the number of routes from which on routes without items
	// are forgotten when rates are measured.
	maxIdleRoutes = 64
)

// CountReleased counts a release of a route, of an item or of a flow that did
// not have to wait.
func (q *Queue[T]) CountReleased(key Route, priority int) {
	r := q.route(key, priority)
	r.turn = max(r.turn, r.level.turn)
	r.release()
}

// release counts a release of the route.
func (r *route) release() {
	r.released++
	r.level.turn = r.turn
	r.turn++
}

// CountHeld returns the number of items that wait for a service's targets.
func (q *Queue[T]) CountHeld(service string) int {
	n := 0
	for _, r := range q.routeList {
		if r.Service == service {
			n += r.held
		}
	}
	return n
}

// MeasureRates measures the rates at which routes are released, given the time
// since the last measurement.
func (q *Queue[T]) MeasureRates(elapsed time.Duration) {
	for _, r := range q.routeList {
		r.rate += routeRateWeight * (float64(r.released)/elapsed.Seconds() - r.rate)
		r.released = 0
	}
	if len(q.routeList) <= maxIdleRoutes {
		return
	}
	q.routeList = slices.DeleteFunc(q.routeList, func(r *route) bool {
		if r.held == 0 {
			delete(q.routes, r.Route)
		}
		return r.held == 0
	})
}

func (q *Queue[T]) route(key Route, priority int) *route {
	r := q.routes[key]
	if r == nil {
		r = &route{Route: key}
		q.routes[key] = r
		q.routeList = append(q.routeList, r)
	}
	if r.level == nil || r.priority != priority {
		r.priority = priority
		at := levelKey{service: key.Service, priority: priority}
		if q.levels[at] == nil {
			q.levels[at] = &level{}
		}
		r.level = q.levels[at]
		r.turn = r.level.turn
	}
	return r
}

// startHolding enters an item into the state of its route.
func (q *Queue[T]) startHolding(it *Item[T]) {
	r := q.route(it.Route, it.Priority)
	it.route = r
	if r.held == 0 {
		r.owed = 0
		r.turn = max(r.turn, r.level.turn)
	}
	r.held++
}

// RemoveReleased removes an item that was released, given the pointer that Next
// returned, and counts the release in the turns of the routes.
func (q *Queue[T]) RemoveReleased(it *Item[T]) {
	r := it.route
	r.release()
	if r.owed >= 1 {
		r.owed--
	}
	for _, o := range q.routeList {
		if o.held > 0 && o.Service == r.Service && o.priority > r.priority {
			o.owed += minShare / (1 - minShare)
		}
	}
	q.Remove(it)
}

// evenBefore reports whether a is released before b: items that can still meet
// their objective first, then those of a route whose priority is owed its
// minimum share, then those of more urgent priority, then those of the route
// whose turn it is. Of the same route, the oldest goes first: routes hold few
// items, so that those that are held can meet their objective.
func evenBefore[T any](now time.Time, a, b *Item[T]) bool {
	inTime := a.MeetsDeadline(now)
	if inTime != b.MeetsDeadline(now) {
		return inTime
	}
	if owed := a.route.owed >= 1; owed != (b.route.owed >= 1) {
		return owed
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.route != b.route && a.route.turn != b.route.turn {
		return a.route.turn < b.route.turn
	}
	return a.FirstSent.Before(b.FirstSent)
}

// removeExcessEven removes and returns the newest item of a route that holds
// more than can be released in time, or, if there are more items than the
// configured limit, of the route that holds most.
func (q *Queue[T]) removeExcessEven() (Item[T], bool) {
	var most *route
	for i := range q.items {
		it := &q.items[i]
		wait := it.Deadline.Sub(it.FirstSent).Seconds() * waitFraction
		if r := it.route; r.held > q.maxHeld(r, wait) {
			return q.removeNewest(r), true
		}
		if most == nil || it.route.held > most.held {
			most = it.route
		}
	}
	if len(q.items) <= q.cfg.MaxItems {
		return Item[T]{}, false
	}
	return q.removeNewest(most), true
}

// maxHeld returns the number of items that a route may hold if they may wait for
// the given number of seconds. They are released at the rate of the route's
// earlier releases, or at its share of the releases of routes that are not more
// urgent, if that is higher.
func (q *Queue[T]) maxHeld(r *route, wait float64) int {
	peers, rate := 0, 0.0
	for _, o := range q.routeList {
		if o.Service != r.Service || o.priority < r.priority {
			continue
		}
		rate += o.rate
		if o.level == r.level && (o.held > 0 || o == r) {
			peers++
		}
	}
	if share := rate / float64(peers); r.rate < share {
		return max(int(share*wait), minHeldBelowShare)
	}
	return max(int(r.rate*wait), minHeld)
}

func (q *Queue[T]) removeNewest(r *route) Item[T] {
	newest := -1
	for i := range q.items {
		if q.items[i].route == r && (newest < 0 || q.items[i].FirstSent.After(q.items[newest].FirstSent)) {
			newest = i
		}
	}
	return q.removeAt(newest)
}
