package hsfeed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
)

// newRestored returns a replica with the given whole state at revision 50 of era
// 1.
func newRestored(t *testing.T, events ...Event) *Replica {
	t.Helper()
	replica := &Replica{}
	apply(t, replica, Update{Era: 1, Revision: 50, Events: events}, hscode.OK)
	return replica
}

func entry(revision uint64, id TargetID, started int64, draining bool) Event {
	target := newTarget(id, 3)
	target.StartUnixMilli, target.Draining = started, draining
	return Event{Revision: revision, Target: target}
}

// listed returns whether a target is listed, and whether it drains.
func listed(r *Replica, id TargetID) (found, draining bool) {
	for _, record := range r.Targets() {
		if record.ID == id {
			return true, record.Draining
		}
	}
	return false, false
}

// TestRestoredConfiguration guards against a configuration that a restored copy brings back, or one that is ignored because of its revision.
func TestRestoredConfiguration(t *testing.T) {
	replica := newRestored(t, Event{Revision: 40, Configuration: newConfiguration(7, "desk")})
	steps := []struct {
		update Update
		want   uint64
	}{
		{Update{Era: 2, Revision: 30, Events: []Event{{Revision: 30, Configuration: newConfiguration(5, "vault")}}}, 7},
		{Update{Era: 2, Since: 30, Revision: 31, Events: []Event{{Revision: 31, Configuration: newConfiguration(8, "desk")}}}, 8},
		{Update{Era: 1, Since: 50, Revision: 51, Events: []Event{{Revision: 51, Configuration: newConfiguration(6, "vault")}}}, 8},
		{Update{Era: 3, Revision: 20, Events: []Event{{Revision: 12, Configuration: newConfiguration(8, "desk")}}}, 8},
		// The last answer of an earlier era still has a newer configuration.
		{Update{Era: 2, Revision: 90, Events: []Event{{Revision: 90, Configuration: newConfiguration(9, "desk")}}}, 9},
	}
	for i, step := range steps {
		apply(t, replica, step.update, hscode.OK)
		assert.Equal(t, replica.Configuration().Version, step.want, "step %d", i)
	}
	assert.Equal(t, replica.Position(), Position{Era: 3, Revision: 20})
}

// TestRestoredTargets guards against targets that a restored copy resurrects, and targets that it lacks or replaces for longer than needed.
func TestRestoredTargets(t *testing.T) {
	const started = 100
	cases := []struct {
		name   string
		before []Event
		// Change of era 1 that the copy lacks.
		change Event
		copied []Event
		// Change of era 2, if any.
		then         *Event
		now, settled bool
		draining     bool
	}{
		{
			name: "draining target that the copy has as ready", before: []Event{entry(10, 1, started, false)},
			change: entry(51, 1, started, true), copied: []Event{entry(10, 1, started, false)}, now: true, settled: true, draining: true,
		},
		{
			name: "target that had drained and left", before: []Event{entry(10, 1, started, true)},
			change: Event{Revision: 51, Removed: 1}, copied: []Event{entry(10, 1, started, false)},
		},
		{
			name: "target that left and was started again", before: []Event{entry(10, 1, started, true)},
			change: Event{Revision: 51, Removed: 1}, copied: []Event{entry(10, 1, started, false)},
			then: ptr(entry(41, 1, started+1, false)), now: true, settled: true,
		},
		{
			name: "silent target that the store removed", before: []Event{entry(10, 1, started, false)},
			change: Event{Revision: 51, Removed: 1}, copied: []Event{entry(10, 1, started, false)}, settled: true,
		},
		{
			name: "silent target whose entry expires again", before: []Event{entry(10, 1, started, false)},
			change: Event{Revision: 51, Removed: 1}, copied: []Event{entry(10, 1, started, false)}, then: &Event{Revision: 41, Removed: 1},
		},
		{
			name: "target that started since and announces itself", change: entry(51, 1, started, false),
			then: ptr(entry(41, 1, started, false)), now: true, settled: true,
		},
		{name: "target that started since and does not", change: entry(51, 1, started, false)},
		{
			name: "target that was started again since", before: []Event{entry(10, 1, started, false)},
			change: entry(51, 1, started+1, false), copied: []Event{entry(10, 1, started, false)}, now: true, settled: true,
		},
		{
			name: "draining target that leaves in the new era", before: []Event{entry(10, 1, started, true)},
			change: entry(51, 2, started, false), copied: []Event{entry(10, 1, started, false)}, then: &Event{Revision: 41, Removed: 1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			replica := newRestored(t, c.before...)
			apply(t, replica, Update{Era: 1, Since: 50, Revision: 51, Events: []Event{c.change}}, hscode.OK)
			apply(t, replica, Update{Era: 2, Revision: 40, Events: c.copied}, hscode.OK)
			if c.then != nil {
				apply(t, replica, Update{Era: 2, Since: 40, Revision: 41, Events: []Event{*c.then}}, hscode.OK)
			}
			found, draining := listed(replica, 1)
			assert.Equal(t, found, c.now)
			assert.Equal(t, draining, c.draining)
			replica.Tick(epoch.Add(holdTime))
			found, draining = listed(replica, 1)
			assert.Equal(t, found, c.settled)
			assert.Equal(t, draining, c.draining)
		})
	}
}

// TestChangesOfAnotherEra guards against changes that are applied to the state of another era because their revisions fit.
func TestChangesOfAnotherEra(t *testing.T) {
	replica := newRestored(t, entry(10, 1, 100, false))
	apply(t, replica, Update{Era: 2, Since: 50, Revision: 51, Events: []Event{{Revision: 51, Removed: 1}}}, hscode.PeerGap)
	apply(t, replica, Update{Era: 2, Since: 20, Revision: 21, Events: []Event{{Revision: 21, Removed: 1}}}, hscode.PeerGap)
	found, _ := listed(replica, 1)
	assert.Assert(t, found)
	u, ok := replica.UpdateSince(Position{Era: 2, Revision: 10})
	assert.Assert(t, !ok, "%v", u)
	apply(t, replica, Update{Era: 2, Revision: 21}, hscode.OK)
	u, ok = replica.UpdateSince(Position{Era: 1, Revision: 50})
	assert.Assert(t, ok)
	assert.Equal(t, u.Since, uint64(0))
}

// TestAdoptWithHeldEntries guards against a host that skips the removal of an entry that it holds, and lists the target later.
func TestAdoptWithHeldEntries(t *testing.T) {
	replica := newRestored(t, entry(10, 1, 100, false))
	apply(t, replica, Update{Era: 1, Since: 50, Revision: 51, Events: []Event{{Revision: 51, Removed: 1}}}, hscode.OK)
	apply(t, replica, Update{Era: 2, Revision: 40, Events: []Event{entry(10, 1, 100, false)}}, hscode.OK)
	assert.Assert(t, !replica.Adopt(epoch, Position{Era: 2, Revision: 41}, replica.Digest()), "an empty state")
	apply(t, replica, Update{Era: 2, Since: 40, Revision: 41, Events: []Event{entry(41, 2, 100, false)}}, hscode.OK)
	assert.Assert(t, !replica.Adopt(epoch, Position{Era: 2, Revision: 42}, replica.Digest()))
	apply(t, replica, Update{Era: 2, Since: 41, Revision: 42, Events: []Event{{Revision: 42, Removed: 1}}}, hscode.OK)
	assert.Assert(t, replica.Adopt(epoch, Position{Era: 2, Revision: 43}, replica.Digest()))
	replica.Tick(epoch.Add(holdTime))
	found, _ := listed(replica, 1)
	assert.Assert(t, !found)
}

func ptr[T any](v T) *T { return &v }

// TestRestoredStatesMerge guards against hosts at one position that keep different states because only one of them knows what the store lost.
func TestRestoredStatesMerge(t *testing.T) {
	const started = 100
	before := []Event{
		{Revision: 40, Configuration: newConfiguration(7, "desk")},
		entry(10, 1, started, true), entry(11, 2, started, false), entry(12, 3, started, true),
	}
	copied := Update{Era: 2, Revision: 30, Events: []Event{
		{Revision: 5, Configuration: newConfiguration(4, "desk")},
		entry(10, 1, started, false), entry(11, 2, started, false), entry(12, 3, started, false),
	}}
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		old := newRestored(t, before...)
		apply(t, old, Update{Era: 1, Since: 50, Revision: 51, Events: []Event{{Revision: 51, Removed: 3}}}, hscode.OK)
		started := &Replica{}
		hosts := []*Replica{old, started}
		for _, h := range hosts {
			apply(t, h, copied, hscode.OK)
		}
		assert.Equal(t, old.Position(), started.Position())
		assert.Assert(t, old.Digest() != started.Digest())
		for _, i := range order {
			u, ok := hosts[1-i].UpdateSince(Position{})
			assert.Assert(t, ok)
			assert.Equal(t, u.Digest(), hosts[1-i].Digest())
			decoded := FromProto(ToProto(&u))
			assert.Equal(t, len(decoded.Errors), 0, "%v", decoded.Errors)
			apply(t, hosts[i], decoded, hscode.OK)
		}
		assert.Equal(t, old.Digest(), started.Digest())
		assert.Equal(t, started.Configuration().Version, uint64(7))
		_, draining := listed(started, 1)
		assert.Assert(t, draining)
		found, _ := listed(started, 3)
		assert.Assert(t, !found)
	}
}

// TestSettledRemovals checks that removals are known for removalTime, and no more of them than the limit.
func TestSettledRemovals(t *testing.T) {
	replica := newRestored(t)
	events := make([]Event, 0, 2*(maxRemovals+10))
	revision := uint64(50)
	for id := range TargetID(maxRemovals + 10) {
		events = append(events, entry(revision+1, id+1, 1, false), Event{Revision: revision + 2, Removed: id + 1})
		revision += 2
	}
	apply(t, replica, Update{Era: 1, Since: 50, Revision: revision, Events: events}, hscode.OK)
	assert.Equal(t, replica.targets.removals.count, maxRemovals)
	replica.Tick(epoch.Add(removalTime - time.Millisecond))
	assert.Equal(t, replica.targets.removals.count, maxRemovals)
	replica.Tick(epoch.Add(removalTime + sweepInterval))
	assert.Equal(t, replica.targets.removals.count, 0)
}
