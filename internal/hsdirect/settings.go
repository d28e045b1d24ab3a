package hsdirect

import (
	"net/netip"
	"time"
)

type (
	// Settings holds the settings of one entry host.
	Settings struct {
		Name string
		Zone string
		// Address and port of the socket for callers' packets.
		DataAddr netip.AddrPort
		// Address and port of the readiness check.
		ReadyAddr netip.AddrPort
		// Port for heartbeats (UDP) and calls (TCP) between entry hosts; the same on
		// all of them.
		PeerPort uint16
		// Entry hosts to contact first; some may be down or removed.
		Seeds []netip.Addr
		// Address and port of the store.
		StoreAddr netip.AddrPort
		// Time limit of a planned stop.
		StopTimeout time.Duration
		// Maximum lifetime of a flow; 0 means defaultFlowLifetime.
		MaxFlowLifetime time.Duration
		// Time within which a published configuration has to be applied; 0 means
		// defaultApplyDeadline, and a shorter EvacuationDeadline applies instead.
		ApplyDeadline time.Duration
		// Time for which a target keeps serving after it announced that it drains or
		// is no longer listed; 0 means defaultDrainTime.
		DrainTime time.Duration
		// Time within which the evacuation of a zone has to be applied; 0 if the
		// deployment gives none.
		EvacuationDeadline time.Duration
		// The limit of new flows for a target during its warm-up time, in any
		// second, is its rate times WarmUpOverage plus WarmUpSlack; 0 if the
		// deployment gives none.
		WarmUpOverage float64
		WarmUpSlack   float64
		// True if targets differ in speed or fail in ways that their entries do not
		// show, so that the host has to learn their capacity from their answers.
		LearnCapacity bool
		// True if the host limits its requests in progress by service and zone of
		// targets. Set by a flag.
		LimitRequests bool
	}
)

const (
	// defaultFlowLifetime, defaultApplyDeadline and defaultDrainTime apply where
	// the deployment gives no value; they are the values of the first deployments
	// of this program.
	defaultFlowLifetime  = time.Minute
	defaultApplyDeadline = 3 * time.Second
	defaultDrainTime     = 3 * time.Second
	// applyMargin is the part of Settings.ApplyDeadline that is reserved for
	// listing the store again after a watch that returned nothing: the timeout of
	// a call and some tens of milliseconds.
	applyMargin = time.Second
	// watchIntervalDivisor and minWatchInterval determine the time between calls
	// while the store changes.
	watchIntervalDivisor = 6
	minWatchInterval     = 250 * time.Millisecond
	// minWatchWait is the minimum duration of a watch; it limits the rate of calls
	// while the store is idle.
	minWatchWait = 500 * time.Millisecond
	// drainMargin is the part of Settings.DrainTime that is reserved for a new
	// flow's packets in transit, and for the time by which some hosts learn of a
	// change later than others.
	drainMargin = 700 * time.Millisecond
	// maxUnlistedGracePeriod is the maximum grace period. If a target's entry
	// expired during an outage of the store and the target is running, the entry
	// is listed again within this time: two seconds and the delay to this host.
	maxUnlistedGracePeriod = 2300 * time.Millisecond
)

// withDefaults returns the settings with defaults in place of missing values.
func (s Settings) withDefaults() Settings {
	s.MaxFlowLifetime = orDefault(s.MaxFlowLifetime, defaultFlowLifetime)
	s.ApplyDeadline = orDefault(s.ApplyDeadline, defaultApplyDeadline)
	s.ApplyDeadline = min(s.ApplyDeadline, orDefault(s.EvacuationDeadline, s.ApplyDeadline))
	s.DrainTime = orDefault(s.DrainTime, defaultDrainTime)
	return s
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// watchInterval returns the minimum time from a call that returned changes to
// the next call, so that a series of changes costs few calls: a change may wait
// for a sixth of ApplyDeadline.
func (s *Settings) watchInterval() time.Duration {
	return max(s.ApplyDeadline/watchIntervalDivisor, minWatchInterval)
}

// watchWait returns the duration of a watch. If the connection went dead after
// a watch that returned changes, the next one ends after this time, early
// enough to apply a configuration within ApplyDeadline.
func (s *Settings) watchWait() time.Duration {
	return max(s.ApplyDeadline-s.watchInterval()-applyMargin, minWatchWait)
}

// storeDetectionTime returns the longest time until a reader notices that the
// store is unavailable: the pause between two calls, the duration of a watch and
// the timeout of a call.
func (s *Settings) storeDetectionTime() time.Duration {
	return s.watchInterval() + s.watchWait() + applyMargin
}

// unlistedGracePeriod returns the grace period: the time for which a target
// that is no longer listed still takes new flows, unless it announced that it
// drains.
func (s *Settings) unlistedGracePeriod() time.Duration {
	return min(max(s.DrainTime-drainMargin, 0), maxUnlistedGracePeriod)
}
