// Package hsfeed replicates the published state of a direct server return (DSR)
// deployment: the current configuration and the targets that announced
// themselves. The store gives every change a revision number. Hosts get the
// changes from the store or from one another; all hosts at the same revision
// hold the same state.
package hsfeed

import (
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
)

type (
	// TargetID identifies a target. A target that restarts may keep its ID; its
	// start time then differs.
	TargetID uint64

	// Target is a server that announced itself in the store.
	Target struct {
		ID      TargetID
		Service string
		Address netip.AddrPort
		Zone    string
		// Maximum number of concurrent requests; at least 1.
		Slots    int
		Draining bool
		// Warm-up time: the target is slow for this long after the announcement.
		WarmUp time.Duration
		// Start time of the target in Unix milliseconds; 0 if unknown. It is
		// higher after a restart under the same ID.
		StartUnixMilli int64
	}

	// Share is the part of a route's new flows that goes to one service.
	Share struct {
		Service string
		// Relative to the weights of the route's other shares; at least 1.
		Weight uint32
	}

	// Route is an address and port that callers connect to.
	Route struct {
		Address netip.AddrPort
		// Never empty. More than one element if new flows are split between
		// services.
		Shares []Share
		// Request timeout of the route.
		Timeout time.Duration
		// Latency objective of the route's requests.
		LatencyObjective time.Duration
		// 0 is the most urgent.
		Priority int
		// True if a request may be run twice without harm.
		Idempotent bool
		// Services that the route had in earlier configurations and no longer
		// has, sorted. Their targets may still hold open flows.
		PreviousServices []string
	}

	// Service holds the settings that all targets of one service share.
	Service struct {
		Name string
		// URL path of the health check.
		HealthPath string
		// Maximum number of open connections per target.
		MaxConnections int
	}

	// Configuration defines which services new flows are sent to. It is
	// immutable.
	Configuration struct {
		Version  uint64
		Routes   []Route
		Services []Service
		// Time after which an idle flow may be removed; 0 if not limited.
		IdleTimeout time.Duration
	}

	// Event is one change of the published state. Exactly one of the fields
	// after Revision is set.
	Event struct {
		Revision      uint64
		Configuration *Configuration
		// A new or changed announcement.
		Target *Target
		// ID of a target that is no longer listed.
		Removed TargetID
	}

	// Update holds the changes between two revisions, or the whole state.
	Update struct {
		// Era of the store, which rises each time the store loses changes because
		// it was restored from a copy; 0 if unknown.
		Era uint64
		// Revision after which the changes begin; 0 if the events are the whole
		// state.
		Since uint64
		// Revision of the state after the update.
		Revision uint64
		// Changes in ascending order of revisions. The events of a whole state
		// are in any order, and some may have a higher revision than the update,
		// since the store lists its items page by page while they change.
		Events []Event
		// Items of the store that could not be decoded. Not sent to other hosts.
		Errors hscode.Errors
	}

	// TargetRecord is a listed target.
	TargetRecord struct {
		Target
		// Revision of the target's announcement.
		Revision uint64
		// End of the target's warm-up time, by the local clock.
		WarmUpUntil time.Time
	}
)
