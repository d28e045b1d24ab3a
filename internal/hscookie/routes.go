package hscookie

import (
	"net/netip"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hslimit"
)

type (
	// routes holds the routes of the current configuration, and those that were
	// removed from the configuration recently.
	routes struct {
		version   uint64
		byAddress map[netip.AddrPort]*knownRoute
	}

	knownRoute struct {
		hsfeed.Route
		// Zero while the configuration contains the route, else the time until
		// which its open flows are still forwarded.
		keepUntil time.Time
		pauses    pauses
		// Time in service of the route's requests in calm.
		calm hslimit.CalmTime
	}

	// targets holds the listed targets, and those that were removed from the
	// list recently.
	targets struct {
		byID map[hsfeed.TargetID]*destination
		// Targets that were removed from the list recently, and whose ID another
		// target in byID has now. Their cookies differ from that target's.
		displaced []*destination
		// The targets of byID and displaced.
		byCookie map[Cookie][]*destination
	}

	// destination holds what is needed to forward packets to a target.
	destination struct {
		id      hsfeed.TargetID
		service string
		zone    string
		address netip.AddrPort
		cookie  Cookie
		// Zero while the target is listed, else the time until which packets of
		// open flows are still forwarded to it.
		keepUntil time.Time
		entryHistory
		// Limit of requests in progress; nil unless Config.LimitRequests.
		pool *hslimit.Pool
	}
)

// setConfiguration replaces the routes. A removed route is kept for its request
// timeout, so that requests in progress are not interrupted.
func (r *routes) setConfiguration(now time.Time, c *hsfeed.Configuration) {
	next := make(map[netip.AddrPort]*knownRoute, len(c.Routes))
	for i := range c.Routes {
		next[c.Routes[i].Address] = &knownRoute{Route: c.Routes[i]}
	}
	for at, old := range r.byAddress {
		if r := next[at]; r != nil {
			r.pauses = old.pauses
			r.calm = old.calm
			continue
		}
		if old.keepUntil.IsZero() {
			old.keepUntil = now.Add(old.Timeout)
		}
		if now.Before(old.keepUntil) {
			next[at] = old
		}
	}
	r.version = c.Version
	r.byAddress = next
}

// setTargets replaces the listed targets. Targets that are no longer listed are
// kept for maxLifetime, since the store's entry of a running target may expire.
// Packets to a target are prefixed with its identity: if another target has
// taken over its address, that target ignores them.
func (t *targets) setTargets(now time.Time, list []hsfeed.TargetRecord, maxLifetime time.Duration) {
	byID := make(map[hsfeed.TargetID]*destination, len(list))
	for i := range list {
		record := &list[i]
		cookie := NewCookie(record.Service, record.ID)
		byID[record.ID] = &destination{
			id:      record.ID,
			service: record.Service,
			zone:    record.Zone,
			address: record.Address,
			cookie:  cookie,

			entryHistory: newHistory(now, record, t.known(record.ID, cookie)),
		}
	}
	var displaced []*destination
	keep := func(old *destination) {
		d := byID[old.id]
		if d != nil && d.cookie == old.cookie {
			return
		}
		if old.keepUntil.IsZero() {
			old.keepUntil = now.Add(maxLifetime)
			old.removedAt = now
		}
		switch {
		case !now.Before(old.keepUntil):
		case d == nil:
			byID[old.id] = old
		default:
			displaced = append(displaced, old)
		}
	}
	for _, old := range t.byID {
		keep(old)
	}
	for _, old := range t.displaced {
		keep(old)
	}
	t.byID = byID
	t.displaced = displaced
	t.byCookie = make(map[Cookie][]*destination, len(byID))
	for _, d := range byID {
		t.byCookie[d.cookie] = append(t.byCookie[d.cookie], d)
	}
	for _, d := range displaced {
		t.byCookie[d.cookie] = append(t.byCookie[d.cookie], d)
	}
}

// known returns the target with an ID and a cookie, or nil.
func (t *targets) known(id hsfeed.TargetID, c Cookie) *destination {
	for _, d := range t.byCookie[c] {
		if d.id == id {
			return d
		}
	}
	return nil
}

// setPools sets the limits that apply to the listed targets.
func (t *targets) setPools(list []hsfeed.TargetRecord, limits *hslimit.Limiter) {
	for i := range list {
		r := &list[i]
		t.byID[r.ID].pool = limits.Pool(hslimit.Key{Service: r.Service, Zone: r.Zone})
	}
}

// find returns the target that a cookie identifies on a route, or nil if no
// target or more than one has this cookie.
func (t *targets) find(r *knownRoute, c Cookie) *destination {
	var found *destination
	for _, d := range t.byCookie[c] {
		if !r.hasService(d.service) {
			continue
		}
		if found != nil {
			return nil
		}
		found = d
	}
	return found
}

// leadsTo reports whether new flows of the route may go to a service.
func (r *knownRoute) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s hsfeed.Share) bool { return s.Service == service })
}

// hasService reports whether open flows of the route may be at a service: the route
// leads to it, or did so in an earlier configuration.
func (r *knownRoute) hasService(service string) bool {
	return r.leadsTo(service) || slices.Contains(r.PreviousServices, service)
}

// serviceFor returns the service for a new flow with the given hash. All hosts
// choose the same service for the same flow.
func (r *knownRoute) serviceFor(hash uint64) string {
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
