package hssoak

import (
	"context"
	"math/rand/v2"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
)

const (
	// evacuationDeadline is the time after the store acknowledged a request, and
	// after a disturbance of the store, from which on no opening packet may arrive
	// in the zone.
	evacuationDeadline = 5 * time.Second
	// minEvacuation and maxEvacuation are the minimum and maximum duration of an
	// evacuation: most last longer than evacuationDeadline.
	minEvacuation = 4 * time.Second
	maxEvacuation = 12 * time.Second
	// maxEvacuationPause is the maximum time between two evacuations.
	maxEvacuationPause = 2 * time.Second
)

// evacuateZones evacuates one zone after the other until the given time, beside
// the other faults. It has a generator of its own, so that the plan of the other
// faults depends on the seed as before.
func (s *soak) evacuateZones(ctx context.Context, end time.Time) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 4))
	for time.Now().Before(end) && ctx.Err() == nil {
		zone := zoneName(rng.IntN(zoneCount))
		s.trace("evacuate zone %s", zone)
		s.setEvacuation(zone, true)
		hstask.Sleep(ctx, randDuration(rng, minEvacuation, maxEvacuation))
		s.trace("end evacuation of zone %s", zone)
		s.setEvacuation(zone, false)
		hstask.Sleep(ctx, randDuration(rng, 0, maxEvacuationPause))
	}
}

// setEvacuation writes or removes the request for the evacuation of a zone.
func (s *soak) setEvacuation(zone string, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated[zone] = active
	if !active {
		s.checker.setEvacuation(zone, time.Time{})
	}
	s.cfg.Store.Publish(&hsfeed.Event{Evacuation: &hsfeed.Evacuation{Zone: zone, Ended: !active}})
	if active {
		s.checker.setEvacuation(zone, time.Now())
	}
}

// rewriteEvacuations does what the operator does after the store was restored: it
// writes each request that was ever made, and calls itself later with last set to
// remove those that have ended.
func (s *soak) rewriteEvacuations(last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for zone, active := range s.evacuated {
		if last && active {
			continue
		}
		s.cfg.Store.Publish(&hsfeed.Event{Evacuation: &hsfeed.Evacuation{Zone: zone, Ended: last}})
	}
}

// setEvacuation records that the store acknowledged a request for the evacuation
// of a zone, or that the request is about to be removed if since is zero.
func (c *checker) setEvacuation(zone string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuatedSince[zone] = since
}

// checkEvacuationLocked checks an opening packet that reached a target of a zone
// through a host to which the time limits apply. mu has to be locked.
func (c *checker) checkEvacuationLocked(zone, flow string, now time.Time) {
	since := c.evacuatedSince[zone]
	if since.IsZero() || now.Sub(c.storeDisturbed) < evacuationDeadline {
		return
	}
	if late := now.Sub(since); late > evacuationDeadline+c.slack {
		c.failLocked("flow %s reached zone %s %v after its evacuation was requested", flow, zone, late)
	}
}
