package hsfeed

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// targetSet holds the listed targets, and what is known about those that were
	// removed.
	//
	// The entry that a new era of the store lists may be a copy from before a
	// change that this host knows: the target drains, was removed or was started
	// again. See overrides and overridesRemoval for the rules that decide between
	// the two.
	targetSet struct {
		records map[TargetID]TargetRecord
		// Targets that were removed and not listed since; at most maxRemovals.
		removals map[TargetID]removal
		// Entries of the current era that have no effect because of what is known
		// from earlier eras, but will have after holdTime; empty from then on.
		held map[TargetID]TargetRecord
		// Time at which this host entered the current era.
		eraSince time.Time
		// Time of the last removal of old entries of removals.
		lastSweep time.Time
		// XOR of the digests of records.
		digest uint64
	}

	// removal is the knowledge that a target was removed.
	removal struct {
		// Position at which the target was no longer listed.
		position Position
		// Stamp of the last entry; zero if unknown.
		stamp Stamp
		at    time.Time
	}
)

const (
	// holdTime is the time after which a later era is believed over an earlier
	// one: longer than the silence after which the store removes the entry of a
	// target, and in which a live target announces itself again.
	holdTime = 5 * time.Second
	// removalTime is the time for which a removal is known: longer than the age
	// of a copy that the store may be restored from.
	removalTime = 2 * time.Minute
	// warmUpPrecision is the time that has to pass before an entry is sent with its
	// remaining warm-up time. Entries that are relayed at once arrive unchanged, so
	// that hosts agree on them.
	warmUpPrecision = time.Second
	// maxRemovals limits the known removals; further ones are not recorded.
	maxRemovals   = 1 << 14
	sweepInterval = time.Second
)

// overrides reports whether an entry of a target at position p takes effect if
// another entry, at position q, is known. Within an era the store's revisions
// decide. Across eras, a target that drains does so until its end, and its last
// start counts until this host has been in the current era for holdTime.
func (s *targetSet) overrides(now time.Time, p Position, stamp Stamp, q Position, old Stamp) bool {
	switch {
	case p.Era == q.Era:
	case stamp.StartUnixMilli == old.StartUnixMilli && stamp.Draining != old.Draining:
		return stamp.Draining
	case stamp.StartUnixMilli != old.StartUnixMilli && !s.settled(now):
		return stamp.StartUnixMilli > old.StartUnixMilli
	}
	return p.After(q)
}

// overridesRemoval reports whether an entry takes effect although its target is
// known to have been removed. Across eras, a target that was removed while it
// drained takes no flows again. One that was removed otherwise may be alive: the
// store removes silent targets.
func (s *targetSet) overridesRemoval(now time.Time, record *TargetRecord, gone *removal) bool {
	switch {
	case record.Position.Era == gone.position.Era || record.StartUnixMilli != gone.stamp.StartUnixMilli:
		return s.overrides(now, record.Position, record.Stamp(), gone.position, gone.stamp)
	case !record.Draining && (gone.stamp.Draining || !s.settled(now)):
		return false
	}
	return record.Position.After(gone.position)
}

// settled reports whether this host has been in the current era for holdTime.
func (s *targetSet) settled(now time.Time) bool { return now.Sub(s.eraSince) >= holdTime }

func (s *targetSet) sorted() []TargetRecord { return sortedRecords(s.records) }

func sortedRecords(records map[TargetID]TargetRecord) []TargetRecord {
	return slices.SortedFunc(maps.Values(records), func(a, b TargetRecord) int { return cmp.Compare(a.ID, b.ID) })
}

// appendEvents appends the events that describe the set in the given era to dst:
// the listed targets, the held entries, and the removals of earlier eras.
// Applied in this order, they have the same effect at another host as here.
func (s *targetSet) appendEvents(dst []Event, era uint64) []Event {
	for _, record := range slices.Concat(s.sorted(), sortedRecords(s.held)) {
		dst = append(dst, Event{Era: record.Position.Era, Revision: record.Position.Revision, Target: &record.Target})
	}
	for _, id := range slices.Sorted(maps.Keys(s.removals)) {
		if r := s.removals[id]; r.position.Era != era {
			dst = append(dst, Event{Era: r.position.Era, Revision: r.position.Revision, Removed: id, RemovedStamp: r.stamp})
		}
	}
	return dst
}

// withRemainingWarmUp returns the event for another host: if this host has known
// the target's entry for some time, the entry has the warm-up time that remains,
// so that it does not start again there. Only the time that has passed here is
// used, not the clock of another machine. The remaining time is never longer than
// the announced one.
func (s *targetSet) withRemainingWarmUp(now time.Time, ev Event) Event {
	if ev.Target == nil || ev.Target.WarmUp == 0 {
		return ev
	}
	record, ok := s.records[ev.Target.ID]
	remaining := max(record.WarmUpUntil.Sub(now), 0)
	if !ok || record.StartUnixMilli != ev.Target.StartUnixMilli || record.WarmUp != ev.Target.WarmUp || ev.Target.WarmUp-remaining < warmUpPrecision {
		return ev
	}
	entry := *ev.Target
	entry.WarmUp = remaining
	ev.Target = &entry
	return ev
}

// enterEra records that this host has entered another era of the store.
func (s *targetSet) enterEra(now time.Time) {
	s.eraSince = now
	s.held = nil
}

// replace applies a whole state at position p: targets that it does not contain
// are removed.
func (s *targetSet) replace(now time.Time, p Position, events []Event, ch *Change) {
	listed := make(map[TargetID]bool, len(events))
	for i := range events {
		if events[i].Target != nil {
			listed[events[i].Target.ID] = true
		}
	}
	s.merge(now, p.Era, events, ch)
	for id, record := range s.records {
		if !listed[id] {
			s.remove(id, removal{position: p, stamp: record.Stamp(), at: now}, ch)
		}
	}
	maps.DeleteFunc(s.held, func(id TargetID, _ TargetRecord) bool { return !listed[id] })
}

// merge applies events that may be known already.
func (s *targetSet) merge(now time.Time, era uint64, events []Event, ch *Change) {
	for i := range events {
		s.apply(now, era, &events[i], ch)
	}
}

// apply applies an event and records in ch what it changed. era is the current
// era.
func (s *targetSet) apply(now time.Time, era uint64, ev *Event, ch *Change) {
	p := Position{Era: cmp.Or(ev.Era, era), Revision: ev.Revision}
	switch {
	case ev.Configuration != nil, ev.Evacuation != nil:
	case ev.Target != nil:
		s.applyEntry(now, era, TargetRecord{Target: *ev.Target, Position: p, WarmUpUntil: now.Add(ev.Target.WarmUp)}, ch)
	default:
		s.applyRemoval(now, era, ev.Removed, removal{position: p, stamp: ev.RemovedStamp, at: now}, ch)
	}
}

func (s *targetSet) applyEntry(now time.Time, era uint64, record TargetRecord, ch *Change) {
	old, listed := s.records[record.ID]
	gone, removed := s.removals[record.ID]
	switch {
	case listed && !s.overrides(now, record.Position, record.Stamp(), old.Position, old.Stamp()):
		s.hold(era, record, old.Position, old.Stamp())
		return
	case !listed && removed && !s.overridesRemoval(now, &record, &gone):
		s.hold(era, record, gone.position, gone.stamp)
		return
	case listed && old.Target == record.Target:
		old.Position = record.Position
		s.records[record.ID] = old
		return
	case listed:
		s.hold(era, old, record.Position, record.Stamp())
	}
	s.list(record, ch)
}

// hold keeps an entry of the current era that does not take effect because of
// what is known from an earlier era, at position q, unless it never will: the
// target drains.
func (s *targetSet) hold(era uint64, record TargetRecord, q Position, known Stamp) {
	final := known.Draining && known.StartUnixMilli == record.StartUnixMilli
	if final || record.Position.Era != era || q.Era == era || !record.Position.After(s.held[record.ID].Position) {
		return
	}
	if s.held == nil {
		s.held = map[TargetID]TargetRecord{}
	}
	s.held[record.ID] = record
}

func (s *targetSet) applyRemoval(now time.Time, era uint64, id TargetID, gone removal, ch *Change) {
	if h, ok := s.held[id]; ok && gone.position.Era == era && gone.position.After(h.Position) {
		delete(s.held, id)
	}
	old, listed := s.records[id]
	if !listed {
		s.recordRemoval(now, id, gone)
		return
	}
	if gone.position.Era >= old.Position.Era {
		if gone.position.After(old.Position) {
			gone.stamp = old.Stamp()
			s.remove(id, gone, ch)
		}
		return
	}
	if gone.stamp != (Stamp{}) && !s.overridesRemoval(now, &old, &gone) {
		s.remove(id, gone, ch)
		s.hold(era, old, gone.position, gone.stamp)
	}
}

// recordRemoval records the removal of a target that is not listed, unless a
// removal of the same or a later entry is known.
func (s *targetSet) recordRemoval(now time.Time, id TargetID, gone removal) {
	known, ok := s.removals[id]
	if gone.stamp == (Stamp{}) {
		// Zero if none is known.
		gone.stamp = known.stamp
	}
	if gone.stamp == (Stamp{}) || (ok && !s.overrides(now, gone.position, gone.stamp, known.position, known.stamp)) {
		return
	}
	s.addRemoval(id, gone)
}

func (s *targetSet) addRemoval(id TargetID, gone removal) {
	if s.removals == nil {
		s.removals = map[TargetID]removal{}
	}
	if len(s.removals) < maxRemovals {
		s.removals[id] = gone
	}
}

func (s *targetSet) list(record TargetRecord, ch *Change) {
	if s.records == nil {
		s.records = map[TargetID]TargetRecord{}
	}
	if old, ok := s.records[record.ID]; ok {
		s.digest ^= old.digest()
	}
	s.records[record.ID] = record
	s.digest ^= record.digest()
	delete(s.removals, record.ID)
	if h, ok := s.held[record.ID]; ok && !h.Position.After(record.Position) {
		delete(s.held, record.ID)
	}
	ch.Targets = true
	ch.EventCount++
}

func (s *targetSet) remove(id TargetID, gone removal, ch *Change) {
	record := s.records[id]
	s.digest ^= record.digest()
	delete(s.records, id)
	s.addRemoval(id, gone)
	ch.Targets = true
	ch.EventCount++
}

// tick lets the held entries take effect once this host has been in the current
// era for holdTime, and drops removals that are no longer needed.
func (s *targetSet) tick(now time.Time, era uint64, ch *Change) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	maps.DeleteFunc(s.removals, func(_ TargetID, r removal) bool {
		return now.Sub(r.at) >= removalTime || (s.settled(now) && r.position.Era != era && !r.stamp.Draining)
	})
	if !s.settled(now) {
		return
	}
	for _, record := range s.held {
		s.list(record, ch)
	}
	s.held = nil
}

// digest returns a digest of the entry, without the warm-up time.
func (t *Target) digest() uint64 {
	var b []byte
	for _, text := range []string{t.Service, t.Zone, t.Address.String()} {
		b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
	}
	for _, n := range []uint64{uint64(t.ID), uint64(t.Slots), uint64(t.StartUnixMilli)} {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	if t.Draining {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// digest returns a digest of the configuration's version, or 0 for nil.
func (c *Configuration) digest() uint64 {
	if c == nil {
		return 0
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte("configuration"), c.Version))
}
