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
	// targetSet holds the entries of targets, and what is known about those that were
	// removed. Not all entries are listed; see listed.
	//
	// The entry that a new era of the store lists may be a copy from before a
	// change that this host knows: the target drains, was removed or was started
	// again. See overrides and overridesRemoval for the rules that decide between
	// the two.
	targetSet struct {
		records entryMap[TargetRecord]
		// Entries that were removed and not written since; at most maxRemovals.
		removals entryMap[removal]
		// Entries of the current era that have no effect because of what is known
		// from earlier eras, but will have after holdTime; empty from then on.
		held entryMap[TargetRecord]
		// Services that the current configuration names; nil before the first one.
		services map[string]bool
		// Time at which this host entered the current era.
		eraSince time.Time
		// Time of the last removal of old entries of removals.
		lastSweep time.Time
		// XOR of the digests of the IDs; see digestOf.
		digest uint64
	}

	// removal is the knowledge that an entry was removed.
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

// setServices sets the services that the current configuration names, and records
// in ch whether the listed targets may have changed.
func (s *targetSet) setServices(c *Configuration, ch *Change) {
	services := c.serviceNames()
	if !maps.Equal(services, s.services) {
		s.services = services
		ch.Targets = true
	}
}

// listed returns the entry that counts among those of an ID, or nil if there is
// none: the one of the latest start among those whose service the configuration
// names. An entry of another service may be that of a program that is no target;
// it proves nothing about the targets that are listed. The order of names decides
// between equal ones, so that hosts with the same state agree. All entries count
// before the first configuration.
func (s *targetSet) listed(id TargetID) *TargetRecord {
	var best *TargetRecord
	entries := s.records.byID[id]
	for i := range entries {
		e := &entries[i].value
		if s.names(e.Service) && (best == nil || e.StartUnixMilli > best.StartUnixMilli) {
			best = e
		}
	}
	return best
}

// names reports whether the current configuration names a service.
func (s *targetSet) names(service string) bool { return s.services == nil || s.services[service] }

// sorted returns the listed targets in the order of their IDs.
func (s *targetSet) sorted() []TargetRecord {
	out := make([]TargetRecord, 0, len(s.records.byID))
	for _, id := range s.records.ids() {
		if record := s.listed(id); record != nil {
			out = append(out, *record)
		}
	}
	return out
}

// unlisted returns the entries that are not listed, in the order of their IDs and
// names.
func (s *targetSet) unlisted() []UnlistedEntry {
	var out []UnlistedEntry
	for id, entries := range s.records.byID {
		record := s.listed(id)
		for _, e := range entries {
			if record != nil && e.name == record.Name {
				continue
			}
			unlisted := UnlistedEntry{Name: e.name, ID: id, Service: e.value.Service}
			if s.names(unlisted.Service) {
				unlisted.Listed = record.Name
			}
			out = append(out, unlisted)
		}
	}
	slices.SortFunc(out, func(a, b UnlistedEntry) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), compareNames(a.Name, b.Name))
	})
	return out
}

// appendEvents appends the events that describe the set in the given era to dst:
// the entries, the held ones, and the removals of earlier eras. Applied in this
// order, they have the same effect at another host as here.
func (s *targetSet) appendEvents(dst []Event, era uint64) []Event {
	for _, entries := range []*entryMap[TargetRecord]{&s.records, &s.held} {
		for _, e := range entries.all() {
			record := e.value
			dst = append(dst, Event{Era: record.Position.Era, Revision: record.Position.Revision, Target: &record.Target})
		}
	}
	for id, e := range s.removals.all() {
		if r := e.value; r.position.Era != era {
			dst = append(dst, Event{Era: r.position.Era, Revision: r.position.Revision, Removed: id, RemovedName: e.name, RemovedStamp: r.stamp})
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
	record, ok := s.records.get(ev.Target.ID, ev.Target.Name)
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
	s.held = entryMap[TargetRecord]{}
}

// replace applies a whole state at position p: entries that it does not contain
// are removed.
func (s *targetSet) replace(now time.Time, p Position, events []Event, ch *Change) {
	var listed entryMap[struct{}]
	for i := range events {
		if t := events[i].Target; t != nil {
			listed.set(t.ID, t.Name, struct{}{})
		}
	}
	s.merge(now, p.Era, events, ch)
	for id, e := range s.records.all() {
		if listed.find(id, e.name) < 0 {
			s.remove(id, e.name, removal{position: p, stamp: e.value.Stamp(), at: now}, ch)
		}
	}
	s.held.removeFunc(func(id TargetID, name string, _ TargetRecord) bool { return listed.find(id, name) < 0 })
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
		record := TargetRecord{Target: *ev.Target, Position: p, WarmUpUntil: now.Add(ev.Target.WarmUp)}
		record.Name = s.nameOf(record.ID, record.Name)
		s.applyEntry(now, era, record, ch)
	default:
		gone := removal{position: p, stamp: ev.RemovedStamp, at: now}
		s.applyRemoval(now, era, ev.Removed, s.nameOf(ev.Removed, ev.RemovedName), gone, ch)
	}
}

// nameOf returns the name of the entry that an event of a peer means, which may
// have sent none.
func (s *targetSet) nameOf(id TargetID, name string) string {
	return s.removals.name(id, s.held.name(id, s.records.name(id, name)))
}

func (s *targetSet) applyEntry(now time.Time, era uint64, record TargetRecord, ch *Change) {
	old, known := s.records.get(record.ID, record.Name)
	gone, removed := s.removals.get(record.ID, record.Name)
	switch {
	case known && !s.overrides(now, record.Position, record.Stamp(), old.Position, old.Stamp()):
		s.hold(era, record, old.Position, old.Stamp())
		return
	case !known && removed && !s.overridesRemoval(now, &record, &gone):
		s.hold(era, record, gone.position, gone.stamp)
		return
	case known && old.Target == record.Target:
		old.Position = record.Position
		s.records.set(record.ID, record.Name, old)
		return
	case known:
		s.hold(era, old, record.Position, record.Stamp())
	}
	s.list(record, ch)
}

// hold keeps an entry of the current era that does not take effect because of
// what is known from an earlier era, at position q, unless it never will: the
// target drains.
func (s *targetSet) hold(era uint64, record TargetRecord, q Position, known Stamp) {
	final := known.Draining && known.StartUnixMilli == record.StartUnixMilli
	held, _ := s.held.get(record.ID, record.Name)
	if final || record.Position.Era != era || q.Era == era || !record.Position.After(held.Position) {
		return
	}
	s.held.set(record.ID, record.Name, record)
}

func (s *targetSet) applyRemoval(now time.Time, era uint64, id TargetID, name string, gone removal, ch *Change) {
	if h, ok := s.held.get(id, name); ok && gone.position.Era == era && gone.position.After(h.Position) {
		s.held.remove(id, name)
	}
	old, known := s.records.get(id, name)
	if !known {
		s.recordRemoval(now, id, name, gone)
		return
	}
	if gone.position.Era >= old.Position.Era {
		if gone.position.After(old.Position) {
			gone.stamp = old.Stamp()
			s.remove(id, name, gone, ch)
		}
		return
	}
	if gone.stamp != (Stamp{}) && !s.overridesRemoval(now, &old, &gone) {
		s.remove(id, name, gone, ch)
		s.hold(era, old, gone.position, gone.stamp)
	}
}

// recordRemoval records the removal of an entry that is not known, unless a
// removal of the same or a later entry is known.
func (s *targetSet) recordRemoval(now time.Time, id TargetID, name string, gone removal) {
	known, ok := s.removals.get(id, name)
	if gone.stamp == (Stamp{}) {
		// Zero if none is known.
		gone.stamp = known.stamp
	}
	if gone.stamp == (Stamp{}) || (ok && !s.overrides(now, gone.position, gone.stamp, known.position, known.stamp)) {
		return
	}
	s.addRemoval(id, name, gone)
}

func (s *targetSet) addRemoval(id TargetID, name string, gone removal) {
	if s.removals.count < maxRemovals {
		s.removals.set(id, name, gone)
	}
}

func (s *targetSet) list(record TargetRecord, ch *Change) {
	s.digest ^= s.digestOf(record.ID)
	s.records.set(record.ID, record.Name, record)
	s.digest ^= s.digestOf(record.ID)
	s.removals.remove(record.ID, record.Name)
	if h, ok := s.held.get(record.ID, record.Name); ok && !h.Position.After(record.Position) {
		s.held.remove(record.ID, record.Name)
	}
	ch.Targets = true
	ch.EventCount++
}

func (s *targetSet) remove(id TargetID, name string, gone removal, ch *Change) {
	s.digest ^= s.digestOf(id)
	s.records.remove(id, name)
	s.digest ^= s.digestOf(id)
	s.addRemoval(id, name, gone)
	ch.Targets = true
	ch.EventCount++
}

// digestOf returns a digest of the entries of an ID. Only if there are several, it
// depends on their names, which hosts of the previous release do not know.
func (s *targetSet) digestOf(id TargetID) uint64 {
	entries := s.records.byID[id]
	if len(entries) == 1 {
		return entries[0].value.digest()
	}
	digest := uint64(0)
	for i := range entries {
		b := binary.LittleEndian.AppendUint64([]byte(entries[i].name), entries[i].value.digest())
		digest ^= xxhash.Sum64(b)
	}
	return digest
}

// tick lets the held entries take effect once this host has been in the current
// era for holdTime, and drops removals that are no longer needed.
func (s *targetSet) tick(now time.Time, era uint64, ch *Change) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	s.removals.removeFunc(func(_ TargetID, _ string, r removal) bool {
		return now.Sub(r.at) >= removalTime || (s.settled(now) && r.position.Era != era && !r.stamp.Draining)
	})
	if !s.settled(now) {
		return
	}
	for _, e := range s.held.all() {
		s.list(e.value, ch)
	}
	s.held = entryMap[TargetRecord]{}
}

// digest returns a digest of the entry, without its name and the warm-up time.
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
