// Package hsfeed holds the published state of a direct-return deployment: the
// configuration in force and the targets that announce themselves. The store
// numbers every change with a revision; hosts read it there or from one
// another, and all that are at the same revision hold the same state.
package hsfeed

import (
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
)

type (
	// TargetID identifies one incarnation of a target.
	TargetID uint64

	// Target is a server that announced itself.
	Target struct {
		ID      TargetID
		Service string
		Address netip.AddrPort
		Zone    string
		// Requests that the target runs at a time; at least 1.
		Slots    int
		Draining bool
		// Time for which the target stays slow after the announcement.
		Cold time.Duration
		// Unix milliseconds of the target's start; 0 if unknown. A target that
		// starts again under its identity has a higher one.
		Born int64
	}

	// Share is the part of a route's new flows that a service takes.
	Share struct {
		Service string
		// At least 1.
		Weight uint32
	}

	// Route is an address and port that callers connect to.
	Route struct {
		At netip.AddrPort
		// Never empty; one entry unless the route is split.
		Shares []Share
		// Time after which a request of the route is given up.
		Timeout time.Duration
		// Latency objective of the route's requests.
		Aim time.Duration
		// 0 is the most urgent.
		Priority   int
		Idempotent bool
		// Services that earlier configurations named here, sorted. Open flows
		// may still belong to their targets.
		Earlier []string
	}

	// Service is what the targets of one service have in common.
	Service struct {
		Name string
		// Path of the health check.
		Health string
		// Connections that one target holds at most.
		Connections int
	}

	// Configuration says where new flows may go. It is immutable.
	Configuration struct {
		Version  uint64
		Routes   []Route
		Services []Service
		// Time after which an idle flow may be forgotten; 0 if not limited.
		Idle time.Duration
	}

	// Event is one change. Exactly one of the last three fields is set.
	Event struct {
		Revision      uint64
		Configuration *Configuration
		Target        *Target
		Gone          TargetID
	}

	// Update is what changed between two revisions, or the whole state.
	Update struct {
		// Revision that the events follow on; 0 if they are the whole state.
		Since uint64
		// Revision of the state after the update.
		Revision uint64
		// In rising order of revisions. Those of a whole state are in any order,
		// and some may be later than Revision, since the store lists its items
		// page by page while they change.
		Events []Event
		// Items of the store that could not be read; not passed on to members.
		Faults hscode.Faults
	}

	// Entry is a target with the revision and time of its announcement.
	Entry struct {
		Target
		Revision uint64
		// Time until which the target is slow, by the local clock.
		ColdUntil time.Time
	}
)
