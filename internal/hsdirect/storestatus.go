package hsdirect

import (
	"time"

	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsroster"
	"heatherstack.org/heatherstack/internal/hsschema"
)

// storeTracker determines since when and until when the store has been available
// to this host's zone without interruption.
type storeTracker struct {
	// Host through which this host knows: itself or the peer that reads the store
	// for the zone; empty if there is none.
	source string
	// Interval in which the store was available; zero if unknown.
	since time.Time
	until time.Time
	// Last heartbeat of a peer that prolonged the interval.
	lastConfirm time.Time
	// Last call of the Core.
	lastCall time.Time
	// Status that the data task was last given.
	sent hscookie.StoreStatus
}

const (
	// maxCallGap is the time between two calls of a Core above which the process
	// counts as paused: several times TickInterval. Heartbeats that were queued
	// meanwhile say nothing about the time at which they are read.
	maxCallGap = 500 * time.Millisecond
	// storeStatusInterval is the minimum time between two messages to the data
	// task that only prolong the time for which the store was available.
	storeStatusInterval = 400 * time.Millisecond
)

// checkCallGap ends the known interval if the process was paused.
func (c *Core) checkCallGap(now time.Time) {
	if !c.store.lastCall.IsZero() && now.Sub(c.store.lastCall) > maxCallGap {
		c.store.interrupt()
	}
	c.store.lastCall = now
}

// trackSource determines the host through which this host knows whether the store
// is available: itself if it reads the store, else the eligible peer with the
// lowest rank. reader is this host's role. A change ends the known interval.
func (c *Core) trackSource(now time.Time, peers []hsroster.Peer, timeout time.Duration, reader bool) {
	source := ""
	if reader && !c.storeUnavailable {
		source = c.self
	}
	for _, p := range peers {
		eligible := source != c.self && !p.StoreUnavailable && now.Sub(p.LastHeard) < timeout
		if eligible && (source == "" || electionRank(p.Name) < electionRank(source)) {
			source = p.Name
		}
	}
	if source != c.store.source {
		c.store.source = source
		c.store.interrupt()
	}
}

// confirmByPeer prolongs the interval by a heartbeat of the zone's reader, if
// this host's state is not behind the reader's. The reader notices an outage
// within CoreConfig.StoreDetectionTime. If it was not heard from for longer than
// that, it may have been paused, and the interval begins again. In zones of more
// than about 45 hosts, most hosts hear from the reader too rarely to know of any
// interval.
func (c *Core) confirmByPeer(now time.Time, hb *hsschema.Heartbeat) {
	switch {
	case hb.GetFrom() != c.store.source:
	case hb.GetRefused() || hb.GetLeaving() || hb.GetGone():
		c.store.interrupt()
	case !c.peerPosition(hb.GetEra(), hb.GetVersion()).After(c.state.Position()):
		if now.Sub(c.store.lastConfirm) > c.cfg.StoreDetectionTime {
			c.store.interrupt()
		}
		c.store.lastConfirm = now
		c.store.confirm(now, now.Add(-c.cfg.StoreDetectionTime))
	}
}

// confirm prolongs the interval to the time until; now begins it if there is
// none.
func (s *storeTracker) confirm(now, until time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
	if until.After(s.until) {
		s.until = until
	}
}

func (s *storeTracker) interrupt() { s.since, s.until = time.Time{}, time.Time{} }

// addStoreStatus adds the status of the store to the output if the data task has
// to know of a change. The status precedes or accompanies the targets of an era.
func (c *Core) addStoreStatus() {
	if !c.cfg.LearnCapacity {
		return
	}
	st := hscookie.StoreStatus{
		Era: c.state.Position().Era, EraSince: c.state.EraSince(),
		AvailableSince: c.store.since, AvailableUntil: c.store.until,
	}
	sent := &c.store.sent
	prolonged := *sent
	prolonged.AvailableUntil = st.AvailableUntil
	if st == *sent || (st == prolonged && st.AvailableUntil.Sub(sent.AvailableUntil) < storeStatusInterval) {
		return
	}
	*sent = st
	c.out.Store = &st
}
