package hsfeed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Evacuation requests that a zone takes no new flows, or ends such a request.
	Evacuation struct {
		Zone string
		// True if the request was taken back.
		Ended bool
		// Revision of the key when it was last written; 0 if unknown. A host that saw
		// a request end and a later one with a lower revision, which happens after the
		// store was restored, raises the revision of the later one above that of the
		// ended one. Comparing it orders the requests for one zone across eras; it
		// says nothing about other zones.
		Requested uint64
	}

	// EvacuationRecord is a request for an evacuation that is in force.
	EvacuationRecord struct {
		Zone string
		// Position of the latest change that named the zone. Its era is below the
		// current one if the store of the current era has not named the zone yet.
		Position Position
		// See Evacuation.
		Requested uint64
		// Time at which this host learned of the request, by the local clock.
		Since time.Time
	}

	// evacuationSet holds the requests for evacuations that are in force, and those
	// that have ended: a host that starts after a restore of the store needs the
	// latter to tell a request that the copy brings back from a new one.
	evacuationSet struct {
		zones map[string]evacuation
		// Number of ended requests in zones; at most maxEndedEvacuations.
		endedCount int
		// XOR of the digests of the zones that are being evacuated.
		digest uint64
	}

	// evacuation is the latest known request for one zone.
	evacuation struct {
		EvacuationRecord
		ended bool
	}
)

// maxEndedEvacuations limits the ended requests that are kept. One that ends
// beyond the limit is forgotten, and a restored store may bring it back until it
// is taken back again.
const maxEndedEvacuations = 256

// overrides reports whether e takes effect if the request k for the same zone is
// known. Within an era the store's revisions decide. Across eras, a request with
// a revision that is not above that of the known one is the same or an older one,
// which a copy brought back, unless e was written in its own era for certain. The
// removal of a key ends what is known from earlier eras.
func (e *evacuation) overrides(k *evacuation, written bool) bool {
	switch {
	case e.Position.Era == k.Position.Era || e.ended == k.ended:
		return e.Position.After(k.Position)
	case e.ended && e.Position.Era < k.Position.Era:
		return e.Requested != 0 && e.Requested >= k.Requested
	case e.ended:
		return true
	default:
		return e.Position.Era > k.Position.Era && (written || e.Requested > k.Requested)
	}
}

// raiseRequested sets the revision of a request to at least that of another one
// for the same zone which it has replaced, and above it if that one has ended.
func (e *evacuation) raiseRequested(other *evacuation) {
	if !e.ended && other.ended && other.Requested >= e.Requested && other.Requested < math.MaxUint64 {
		e.Requested = other.Requested + 1
	}
	e.Requested = max(e.Requested, other.Requested)
}

// apply applies an event of the given era, unless the event's own era is known,
// and records in ch whether the zones in force changed. written is true if the
// event is a change of its era and not an item of a list, which may be a copy.
func (s *evacuationSet) apply(now time.Time, era uint64, ev *Event, written bool, ch *Change) {
	if ev.Evacuation == nil {
		return
	}
	next := evacuation{ended: ev.Evacuation.Ended, EvacuationRecord: EvacuationRecord{
		Zone:      ev.Evacuation.Zone,
		Position:  Position{Era: cmp.Or(ev.Era, era), Revision: ev.Revision},
		Requested: ev.Evacuation.Requested,
		Since:     now,
	}}
	if !next.ended {
		next.Requested = cmp.Or(next.Requested, ev.Revision)
	}
	known, ok := s.zones[next.Zone]
	if !ok {
		s.set(&next, ch)
		return
	}
	if !next.overrides(&known, written) {
		next, known = known, next
	}
	next.raiseRequested(&known)
	if old := s.zones[next.Zone]; old.ended == next.ended {
		next.Since = old.Since
	}
	s.set(&next, ch)
}

// set records the state of a zone. An ended request beyond the limit is not kept.
func (s *evacuationSet) set(e *evacuation, ch *Change) {
	if s.zones == nil {
		s.zones = map[string]evacuation{}
	}
	old, known := s.zones[e.Zone]
	wasActive := known && !old.ended
	if wasActive == e.ended {
		s.digest ^= zoneDigest(e.Zone)
		ch.Evacuations = true
		ch.EventCount++
	}
	if known && old.ended {
		s.endedCount--
	}
	switch {
	case !e.ended:
	case s.endedCount >= maxEndedEvacuations:
		delete(s.zones, e.Zone)
		return
	default:
		s.endedCount++
	}
	s.zones[e.Zone] = *e
}

// merge applies the events of a whole state.
func (s *evacuationSet) merge(now time.Time, era uint64, events []Event, ch *Change) {
	for i := range events {
		s.apply(now, era, &events[i], false, ch)
	}
}

// replace applies a whole state at position p. It ends the requests of the same
// era that it does not contain. Those of an earlier era stay in force: the store
// may have lost them.
func (s *evacuationSet) replace(now time.Time, p Position, events []Event, ch *Change) {
	s.merge(now, p.Era, events, ch)
	named := map[string]bool{}
	for i := range events {
		if e := events[i].Evacuation; e != nil {
			named[e.Zone] = true
		}
	}
	for zone, e := range s.zones {
		if !e.ended && !named[zone] && e.Position.Era == p.Era && p.After(e.Position) {
			e.ended, e.Position = true, p
			s.set(&e, ch)
		}
	}
}

// active returns the requests in force in the order of their zones.
func (s *evacuationSet) active() []EvacuationRecord {
	var out []EvacuationRecord
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		if e := s.zones[zone]; !e.ended {
			out = append(out, e.EvacuationRecord)
		}
	}
	return out
}

// appendEvents appends the events that describe the set to dst, ended requests
// included.
func (s *evacuationSet) appendEvents(dst []Event) []Event {
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		e := s.zones[zone]
		dst = append(dst, Event{
			Era: e.Position.Era, Revision: e.Position.Revision,
			Evacuation: &Evacuation{Zone: zone, Ended: e.ended, Requested: e.Requested},
		})
	}
	return dst
}

func zoneDigest(zone string) uint64 { return xxhash.Sum64String("evacuation " + zone) }
