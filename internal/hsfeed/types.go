// Package hsfeed replicates the published state of a direct server return (DSR)
// deployment: the current configuration and the targets that announced
// themselves. The store gives every change a revision number. Hosts get the
// changes from the store or from one another.
//
// A store that is restored from a copy loses changes and uses their revisions
// again, in a new era. Numbers of the store therefore order changes within one
// era only. What lasts beyond an era is ordered by its writer's own numbers: a
// configuration by its version, the entries of a target by their Stamp. Requests
// for evacuations have no such number; see evacuationSet.
package hsfeed

import (
	"cmp"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
)

type (
	// TargetID identifies a target. A target that restarts may keep its ID; its
	// start time then differs. Several entries in the store may have the same ID,
	// although only one of them is the target's.
	TargetID uint64

	// Position is a point in the history of the store.
	Position struct {
		// Era of the store; 0 if unknown.
		Era uint64
		// Increases with each change within an era. 0 before the first change.
		Revision uint64
	}

	// Stamp is the part of a target's entry by which its entries are ordered
	// across eras.
	Stamp struct {
		StartUnixMilli int64
		Draining       bool
	}

	// Target is a server that announced itself in the store. Check tells whether
	// an entry is valid; hosts do not use invalid ones.
	Target struct {
		ID TargetID
		// Name of the entry in the store, at most MaxNameSize bytes; empty if
		// unknown. It tells entries apart that have the same ID.
		Name string
		// Names of 1 to MaxNameSize bytes, as Zone.
		Service string
		// Unicast address and port.
		Address netip.AddrPort
		Zone    string
		// Maximum number of concurrent requests: 1 to MaxSlots.
		Slots int
		// A target that drains takes no new flows until it is started again.
		Draining bool
		// Warm-up time: the target is slow for this long after the announcement. 0 to
		// MaxDuration.
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
		// Time for which a target is slow after an evacuation of its zone; 0 if
		// unknown.
		WarmUpTime time.Duration
		// New flows a second that a target takes during its warm-up time, from
		// all hosts together; 0 if not limited.
		WarmUpRate float64
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
		// Era of Revision; 0 if it is the era of the update.
		Era           uint64
		Revision      uint64
		Configuration *Configuration
		// A new or changed announcement.
		Target *Target
		// ID of a target that is no longer listed.
		Removed TargetID
		// Name of the entry that was removed; empty if unknown, see Target.Name.
		RemovedName string
		// Stamp of the entry that was removed; zero if unknown.
		RemovedStamp Stamp
		// A request for an evacuation, or its end.
		Evacuation *Evacuation
	}

	// Update holds the changes between two revisions, or the whole state.
	Update struct {
		// Era of Since and Revision; 0 if unknown.
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
		// Items of the store, or events of a peer, that are invalid. Not sent to
		// other hosts.
		Errors hscode.Errors
	}

	// TargetRecord is a listed target.
	TargetRecord struct {
		Target
		// Position of the target's announcement.
		Position Position
		// End of the target's warm-up time, by the local clock.
		WarmUpUntil time.Time
	}

	// UnlistedEntry is a valid entry that is not used: the configuration does not
	// name its service, or another entry has its ID.
	UnlistedEntry struct {
		Name    string
		ID      TargetID
		Service string
		// Name of the other entry; empty if the configuration does not name the
		// service.
		Listed string
	}
)

// Compare returns -1, 0 or 1 if p is before q, equal to q or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Stamp returns the stamp of the entry.
func (t *Target) Stamp() Stamp { return Stamp{StartUnixMilli: t.StartUnixMilli, Draining: t.Draining} }
