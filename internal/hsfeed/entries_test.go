package hsfeed

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
)

// named returns an event with an entry of target 1.
func named(revision uint64, name, service string, started int64) Event {
	target := newTarget(1, 3)
	target.Name, target.Service, target.StartUnixMilli = name, service, started
	return Event{Revision: revision, Target: target}
}

// TestEntriesOfOneTarget guards against an entry that replaces or removes that of a
// running target because both have the same ID. Each state is reached by changes
// in the order of the store, and by whole states of the store and of a peer.
func TestEntriesOfOneTarget(t *testing.T) {
	configuration := func(revision uint64, service string) Event {
		return Event{Revision: revision, Configuration: newConfiguration(revision, service)}
	}
	removed := func(revision uint64, name string) Event {
		return Event{Revision: revision, Removed: 1, RemovedName: name}
	}
	for name, c := range map[string]struct {
		events []Event
		// Entries that the store has in the end, by their index in events.
		left []int
		// Name of the entry that is listed, empty if none.
		want string
	}{
		"invalid entry":                {[]Event{configuration(1, "desk"), named(2, "i-1", "desk", 7), removed(3, "old-1")}, []int{0, 1}, "i-1"},
		"entry of another service":     {[]Event{configuration(1, "desk"), named(2, "i-1", "desk", 7), named(3, "old-1", "unknown", 8)}, []int{0, 1, 2}, "i-1"},
		"target's entry comes later":   {[]Event{configuration(1, "desk"), named(2, "old-1", "unknown", 8), named(3, "i-1", "desk", 7)}, []int{0, 1, 2}, "i-1"},
		"target's entry is removed":    {[]Event{configuration(1, "desk"), named(2, "old-1", "desk", 6), named(3, "i-1", "desk", 7), removed(4, "i-1")}, []int{0, 1}, "old-1"},
		"only another service is left": {[]Event{configuration(1, "desk"), named(2, "old-1", "unknown", 8), named(3, "i-1", "desk", 7), removed(4, "i-1")}, []int{0, 1}, ""},
		"other entry is removed":       {[]Event{configuration(1, "desk"), named(2, "old-1", "desk", 8), named(3, "i-1", "desk", 7), removed(4, "old-1")}, []int{0, 2}, "i-1"},
		"earlier start":                {[]Event{configuration(1, "desk"), named(2, "a-1", "desk", 6), named(3, "i-1", "desk", 7)}, []int{0, 1, 2}, "i-1"},
		"same start":                   {[]Event{configuration(1, "desk"), named(2, "old-1", "desk", 7), named(3, "i-1", "desk", 7)}, []int{0, 1, 2}, "i-1"},
		"service is named later":       {[]Event{named(2, "i-1", "desk", 7), named(3, "old-1", "vault", 8), configuration(4, "desk")}, []int{0, 1, 2}, "i-1"},
		"service changes":              {[]Event{configuration(1, "desk"), named(2, "i-1", "desk", 7), named(3, "i-1", "vault", 7), named(4, "old-1", "desk", 6)}, []int{0, 2, 3}, "old-1"},
		"removed without a name":       {[]Event{configuration(1, "desk"), named(2, "i-1", "desk", 7), removed(3, "")}, []int{0}, ""},
		"name is learned":              {[]Event{configuration(1, "desk"), named(2, "", "desk", 7), named(3, "i-1", "desk", 7)}, []int{0, 2}, "i-1"},
		"name is kept":                 {[]Event{configuration(1, "desk"), named(2, "i-1", "desk", 7), named(3, "", "desk", 8)}, []int{0, 1}, "i-1"},
	} {
		t.Run(name, func(t *testing.T) {
			changes, list, peer := &Replica{}, &Replica{}, &Replica{}
			u := Update{Revision: 9}
			for _, i := range c.left {
				u.Events = append(u.Events, c.events[i])
			}
			apply(t, list, u, hscode.OK)
			apply(t, changes, Update{Revision: 1, Events: []Event{{Revision: 1, Removed: 9}}}, hscode.OK)
			for _, ev := range c.events {
				apply(t, changes, Update{Since: ev.Revision - 1, Revision: ev.Revision, Events: []Event{ev}}, hscode.OK)
			}
			state, _ := changes.UpdateSince(Position{})
			apply(t, peer, overWire(t, &state), hscode.OK)
			for source, replica := range map[string]*Replica{"changes": changes, "list": list, "peer": peer} {
				targets := replica.Targets()
				if c.want == "" {
					assert.Equal(t, len(targets), 0, source)
					continue
				}
				assert.Equal(t, len(targets), 1, source)
				assert.Equal(t, targets[0].Name, c.want, source)
			}
			assert.Equal(t, changes.Digest(), peer.Digest())
		})
	}
}

// TestChangeOfUnlistedEntry guards against hosts that take their states for equal
// although one of them lacks an entry that is not listed now.
func TestChangeOfUnlistedEntry(t *testing.T) {
	events := []Event{{Revision: 1, Configuration: newConfiguration(1, "desk")}, named(2, "i-1", "desk", 7)}
	one, both := &Replica{}, &Replica{}
	apply(t, one, Update{Revision: 2, Events: events}, hscode.OK)
	apply(t, both, Update{Revision: 2, Events: events}, hscode.OK)
	apply(t, both, Update{Since: 2, Revision: 3, Events: []Event{named(3, "old-1", "unknown", 8)}}, hscode.OK)
	assert.Equal(t, both.Targets()[0].Name, "i-1")
	assert.Equal(t, both.UnlistedEntries()[0].Name, "old-1")
	assert.Assert(t, !one.Adopt(epoch, both.Position(), both.Digest()))
	// The configuration now names the other service only.
	ch := apply(t, both, Update{Since: 3, Revision: 4, Events: []Event{{Revision: 4, Configuration: &Configuration{Version: 2, Services: []Service{{Name: "unknown"}}}}}}, hscode.OK)
	assert.Assert(t, ch.Targets)
	assert.Equal(t, both.Targets()[0].Name, "old-1")
}

// TestRestoredEntriesOfOneTarget guards against the removal of an entry, known from
// before a restore of the store, that keeps another entry of the same ID away.
func TestRestoredEntriesOfOneTarget(t *testing.T) {
	replica := newRestored(t, Event{Revision: 1, Configuration: newConfiguration(1, "desk")}, named(10, "i-1", "desk", 7), named(11, "old-1", "desk", 7))
	gone := named(51, "old-1", "desk", 7)
	gone.Target.Draining = true
	apply(t, replica, Update{Era: 1, Since: 50, Revision: 52, Events: []Event{gone, {Revision: 52, Removed: 1, RemovedName: "old-1"}}}, hscode.OK)
	apply(t, replica, Update{Era: 2, Revision: 20, Events: []Event{named(10, "i-1", "desk", 7), named(11, "old-1", "desk", 7)}}, hscode.OK)
	assert.Equal(t, len(replica.Targets()), 1)
	assert.Equal(t, replica.Targets()[0].Name, "i-1")
	assert.Equal(t, len(replica.UnlistedEntries()), 0, "the removed entry drained")
}
