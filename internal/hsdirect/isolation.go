package hsdirect

import (
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

// isolation decides whether a host whose zone is being evacuated is cut off from
// everything outside the zone. The zone's targets are then the only ones that its
// callers can reach, so that they receive new flows in spite of the evacuation.
type isolation struct {
	// When a host of another zone was last heard; zero if never. A host that has
	// heard none is not taken for cut off: there may be no other zones.
	lastRemote time.Time
	// True while the host checks whether it reaches the store, because no other zone
	// is heard.
	checking bool
	// Since when the store has been unavailable to the host during the check; zero if
	// it is available.
	unavailableSince time.Time
	// True if a call to the store has failed during the check.
	callFailed bool
	// Last result given to the data task.
	cutOff bool
}

const (
	// remoteSilence is the time without a message from another zone after which a
	// host checks whether it is cut off. In any deployment, a host receives several
	// messages a second from other zones.
	remoteSilence = time.Second
	// storeCheckTime is the time for which the store has to be unavailable if no
	// failure of a call was reported, as on a host that read the store before: the
	// time limits of a connection and of an answer, after which a call has failed.
	storeCheckTime = 1200 * time.Millisecond
)

// isolated reports whether the zone of this host is being evacuated and no other
// zone has been heard for remoteSilence.
func (c *Core) isolated(now time.Time) bool {
	return !c.isolation.lastRemote.IsZero() && now.Sub(c.isolation.lastRemote) >= remoteSilence && c.zoneEvacuated()
}

func (c *Core) zoneEvacuated() bool {
	return slices.ContainsFunc(c.state.Evacuations(), func(e hsfeed.EvacuationRecord) bool { return e.Zone == c.cfg.Zone })
}

// checkIsolation determines whether this host is cut off. Each host of an
// isolated zone calls the store itself: that a peer cannot reach the store says
// nothing about this host, which has to apply the evacuation for as long as it
// can.
func (c *Core) checkIsolation(now time.Time) {
	i := &c.isolation
	isolated := c.isolated(now)
	if isolated && !i.checking && c.reader && !c.storeUnavailable {
		c.treatStoreAsUnavailable(now)
	}
	i.checking = isolated
	switch {
	case !isolated || !c.reader || !c.storeUnavailable:
		i.unavailableSince, i.callFailed = time.Time{}, false
	case i.unavailableSince.IsZero():
		i.unavailableSince = now
	}
	cutOff := !i.unavailableSince.IsZero() && (i.callFailed || now.Sub(i.unavailableSince) >= storeCheckTime)
	if cutOff != i.cutOff {
		i.cutOff = cutOff
		c.out.CutOff = cutOff
		c.out.CutOffChanged = true
	}
}
