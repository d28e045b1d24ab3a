package hscookie

import (
	"net/netip"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// routes are the routes of the configuration in force and those that it
	// dropped lately.
	routes struct {
		version uint64
		byPlace map[netip.AddrPort]*knownRoute
	}

	knownRoute struct {
		hsfeed.Route
		// Zero while the route is in force, else the time until which open
		// flows of it go on.
		until time.Time
	}

	// targets are the listed targets and those that went lately.
	targets struct {
		byID     map[hsfeed.TargetID]*destination
		byCookie map[Cookie][]*destination
	}

	// destination is where packets of a target go.
	destination struct {
		id      hsfeed.TargetID
		service string
		address netip.AddrPort
		cookie  Cookie
		// Zero while the target is listed, else the time until which packets
		// of open flows still go there.
		until time.Time
	}
)

// setConfiguration replaces the routes. Dropped ones stay for as long as a
// request of theirs may take, so that one under way is not broken off.
func (r *routes) setConfiguration(now time.Time, c *hsfeed.Configuration) {
	next := make(map[netip.AddrPort]*knownRoute, len(c.Routes))
	for i := range c.Routes {
		next[c.Routes[i].At] = &knownRoute{Route: c.Routes[i]}
	}
	for at, old := range r.byPlace {
		if next[at] != nil {
			continue
		}
		if old.until.IsZero() {
			old.until = now.Add(old.Timeout)
		}
		if now.Before(old.until) {
			next[at] = old
		}
	}
	r.version = c.Version
	r.byPlace = next
}

// setTargets replaces the listed targets. Those that went stay for life, since
// an entry may lapse while its target lives; their identity in front of each
// packet keeps others at the same address from taking it for theirs.
func (t *targets) setTargets(now time.Time, list []hsfeed.Entry, life time.Duration) {
	byID := make(map[hsfeed.TargetID]*destination, len(list))
	for i := range list {
		e := &list[i]
		byID[e.ID] = &destination{
			id:      e.ID,
			service: e.Service,
			address: e.Address,
			cookie:  NewCookie(e.Service, e.ID),
		}
	}
	for id, old := range t.byID {
		if byID[id] != nil {
			continue
		}
		if old.until.IsZero() {
			old.until = now.Add(life)
		}
		if now.Before(old.until) {
			byID[id] = old
		}
	}
	t.byID = byID
	t.byCookie = make(map[Cookie][]*destination, len(byID))
	for _, d := range byID {
		t.byCookie[d.cookie] = append(t.byCookie[d.cookie], d)
	}
}

// find returns the target that a cookie names on a route, or nil if there is
// none or if it could be several.
func (t *targets) find(r *knownRoute, c Cookie) *destination {
	var found *destination
	for _, d := range t.byCookie[c] {
		if !r.had(d.service) {
			continue
		}
		if found != nil {
			return nil
		}
		found = d
	}
	return found
}

// had reports whether the route leads or led to a service.
func (r *knownRoute) had(service string) bool {
	for i := range r.Shares {
		if r.Shares[i].Service == service {
			return true
		}
	}
	return slices.Contains(r.Earlier, service)
}

// service returns the service that takes a new flow. All hosts choose the same
// for one flow.
func (r *knownRoute) service(hash uint64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := uint64(0)
	for i := range r.Shares {
		total += uint64(r.Shares[i].Weight)
	}
	at := hash % total
	for i := range r.Shares {
		w := uint64(r.Shares[i].Weight)
		if at < w {
			return r.Shares[i].Service
		}
		at -= w
	}
	return r.Shares[0].Service
}
