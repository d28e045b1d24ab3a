package hsfeed

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherstack.org/heatherstack/internal/hscode"
)

var (
	epoch     = time.Unix(1_000_000, 0)
	routeAddr = netip.MustParseAddrPort("198.18.0.1:443")
)

func newConfiguration(version uint64, service string) *Configuration {
	return &Configuration{Version: version, Routes: []Route{{
		Address: routeAddr,
		Shares:  []Share{{Service: service, Weight: 1}},
		Timeout: time.Second,
	}}}
}

func newTarget(id TargetID, slots int) *Target {
	return &Target{ID: id, Service: "desk", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", Slots: slots}
}

func apply(t *testing.T, replica *Replica, u Update, want hscode.Code) Change {
	t.Helper()
	ch, code := replica.Apply(epoch, &u)
	assert.Equal(t, code, want)
	return ch
}

// TestReplicaNeverGoesBack checks that an update to an older or the same
// revision changes nothing if its configuration has a lower version.
func TestReplicaNeverGoesBack(t *testing.T) {
	replica := &Replica{}
	apply(t, replica, Update{Revision: 10, Events: []Event{{Revision: 9, Configuration: newConfiguration(2, "desk")}}}, hscode.OK)
	apply(t, replica, Update{Revision: 8, Events: []Event{{Revision: 4, Configuration: newConfiguration(1, "vault")}}}, hscode.OK)
	apply(t, replica, Update{Since: 3, Revision: 10, Events: []Event{{Revision: 4, Configuration: newConfiguration(1, "vault")}}}, hscode.OK)
	assert.Equal(t, replica.Configuration().Version, uint64(2))
	assert.Equal(t, replica.Revision(), uint64(10))
}

// TestReplicaGap checks that an update is not applied if changes before it have
// not been received, since these would be lost.
func TestReplicaGap(t *testing.T) {
	replica := &Replica{}
	apply(t, replica, Update{Revision: 10, Events: []Event{{Revision: 9, Target: newTarget(1, 3)}}}, hscode.OK)
	apply(t, replica, Update{Since: 12, Revision: 13, Events: []Event{{Revision: 13, Removed: 1}}}, hscode.PeerGap)
	assert.Equal(t, len(replica.Targets()), 1)
	ch := apply(t, replica, Update{Since: 9, Revision: 13, Events: []Event{{Revision: 13, Removed: 1}}}, hscode.OK)
	assert.Assert(t, ch.Targets)
	assert.Equal(t, len(replica.Targets()), 0)
}

// TestReplicaUnchangedState checks that a host at an earlier position does not
// have to fetch the state when the same whole state is listed again: it moves to
// the later position, since the digests are equal, and applies the changes after
// it. A whole state with a target removed is applied, and has another digest.
func TestReplicaUnchangedState(t *testing.T) {
	replica, other := &Replica{}, &Replica{}
	events := []Event{{Revision: 4, Configuration: newConfiguration(1, "desk")}, {Revision: 5, Target: newTarget(1, 3)}}
	apply(t, replica, Update{Revision: 7, Events: events}, hscode.OK)
	apply(t, other, Update{Revision: 7, Events: events}, hscode.OK)
	assert.Equal(t, apply(t, replica, Update{Revision: 30, Events: events}, hscode.OK), Change{})
	assert.Assert(t, other.Adopt(epoch, replica.Position(), replica.Digest()))
	assert.Assert(t, !other.Adopt(epoch, replica.Position(), replica.Digest()))
	assert.Equal(t, other.Position(), replica.Position())
	apply(t, replica, Update{Revision: 31, Events: events[:1]}, hscode.OK)
	assert.Equal(t, replica.Revision(), uint64(31))
	assert.Equal(t, len(replica.Targets()), 0)
	assert.Assert(t, !other.Adopt(epoch, replica.Position(), replica.Digest()))
	apply(t, other, Update{Since: 30, Revision: 31, Events: []Event{{Revision: 31, Removed: 1}}}, hscode.OK)
	assert.Equal(t, other.Digest(), replica.Digest())
}

// TestReplicaPreviousServices checks that a route keeps a list of its previous
// services, so that open flows of their targets are not interrupted.
func TestReplicaPreviousServices(t *testing.T) {
	replica := &Replica{}
	for i, service := range []string{"desk", "vault", "desk", "press"} {
		v := uint64(i + 1)
		apply(t, replica, Update{Since: v, Revision: v + 1, Events: []Event{{Revision: v + 1, Configuration: newConfiguration(v, service)}}}, wantCode(i))
		if i == 0 {
			apply(t, replica, Update{Revision: 2, Events: []Event{{Revision: 2, Configuration: newConfiguration(v, service)}}}, hscode.OK)
		}
	}
	assert.DeepEqual(t, replica.Configuration().Routes[0].PreviousServices, []string{"desk", "vault"})
}

// wantCode returns the expected code of the n-th incremental update, counted
// from 0. The first is refused because the state before it is missing.
func wantCode(n int) hscode.Code {
	if n == 0 {
		return hscode.PeerGap
	}
	return hscode.OK
}

// TestReplicasConverge applies random changes to a replica that stands for the
// store. Other replicas get them at different times as protobuf messages, as
// whole states or as changes, from the store or from one another. It checks
// that replicas at the same revision hold the same state, and that no revision
// ever decreases.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &Replica{}
		store.Apply(epoch, &Update{Revision: 1, Events: []Event{{Revision: 1, Configuration: newConfiguration(1, "desk")}}})
		replicas := []*Replica{{}, {}, {}}
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 10, 80).Draw(t, "steps")
		for _, step := range steps {
			replica := replicas[step%len(replicas)]
			before := replica.Revision()
			switch step / 25 {
			case 0, 1:
				applyChange(store, step)
			case 2:
				catchUp(t, store, replica)
			case 3:
				catchUp(t, replicas[(step+1)%len(replicas)], replica)
			}
			assert.Assert(t, replica.Revision() >= before)
		}
		for _, replica := range replicas {
			catchUp(t, store, replica)
			assert.Equal(t, replica.Revision(), store.Revision())
			assert.Assert(t, slices.EqualFunc(replica.Targets(), store.Targets(), sameTarget))
			assert.Equal(t, replica.Configuration().Version, store.Configuration().Version)
			assert.DeepEqual(t, evacuatedZones(replica), evacuatedZones(store))
			assert.Equal(t, replica.Digest(), store.Digest())
			assert.Assert(t, slices.Equal(replica.UnlistedEntries(), store.UnlistedEntries()))
		}
	})
}

// sameTarget reports whether two entries are equal apart from the end of the
// warm-up time, which depends on the local clock.
func sameTarget(a, b TargetRecord) bool {
	a.WarmUpUntil = b.WarmUpUntil
	return a == b
}

// applyChange applies an event to the store: a configuration, an announcement, a
// removal, or the start or end of an evacuation, depending on step. Targets have up
// to three entries of different names.
func applyChange(store *Replica, step int) {
	r := store.Revision() + 1
	ev := Event{Revision: r}
	name := fmt.Sprintf("%s-%d", []string{"i", "old", "x"}[step%3], step%7+1)
	switch step % 5 {
	case 0:
		ev.Configuration = newConfiguration(r, "desk")
	case 1:
		ev.Target = newTarget(TargetID(step%7+1), int(r))
		ev.Target.Name, ev.Target.Service = name, []string{"desk", "unknown"}[step%2]
	case 2, 3:
		ev.Evacuation = &Evacuation{Zone: string(rune('a' + step%7/3)), Ended: step%5 == 3}
	default:
		ev.Removed, ev.RemovedName = TargetID(step%7+1), name
	}
	store.Apply(epoch, &Update{Since: r - 1, Revision: r, Events: []Event{ev}})
}

// catchUp applies to dst the changes that it lacks compared to src, encoded and
// decoded as a protobuf message.
func catchUp(t *rapid.T, src, dst *Replica) {
	u, ok := src.UpdateSince(dst.Position())
	if !ok {
		return
	}
	decoded := FromProto(ToProto(&u))
	assert.Equal(t, len(decoded.Errors), 0, "%v", decoded.Errors)
	_, code := dst.Apply(epoch, &decoded)
	assert.Equal(t, code, hscode.OK)
}

// TestWarmUpOfLateHost guards against a warm-up time that starts again at a host
// that gets a target's entry late, as a whole state or as changes, also from a
// host that got it late itself, and against an entry that is listed anew when it
// arrives with the remaining time.
func TestWarmUpOfLateHost(t *testing.T) {
	const warmUp = 10 * time.Second
	entry := newTarget(1, 2)
	entry.WarmUp = warmUp
	first := &Replica{}
	apply(t, first, Update{Revision: 1, Events: []Event{{Revision: 1, Configuration: newConfiguration(1, "desk")}}}, hscode.OK)
	apply(t, first, Update{Since: 1, Revision: 2, Events: []Event{{Revision: 2, Target: entry}}}, hscode.OK)
	for _, since := range []Position{{}, {Revision: 1}} {
		from, now := first, epoch
		for range 3 {
			now = now.Add(4 * time.Second)
			from.Tick(now)
			u, ok := from.UpdateSince(since)
			assert.Assert(t, ok)
			decoded := FromProto(ToProto(&u))
			assert.Equal(t, len(decoded.Errors), 0, "%v", decoded.Errors)
			to := &Replica{}
			apply(t, to, Update{Revision: 1, Events: []Event{{Revision: 1, Configuration: newConfiguration(1, "desk")}}}, hscode.OK)
			_, code := to.Apply(now, &decoded)
			assert.Equal(t, code, hscode.OK)
			until := to.Targets()[0].WarmUpUntil
			assert.Assert(t, !until.After(epoch.Add(warmUp)) || !until.After(now), "%v", until)
			assert.Equal(t, to.Digest(), first.Digest())
			from = to
		}
	}
	// A clock that went back must not lengthen the time.
	first.Tick(epoch.Add(-time.Hour))
	u, _ := first.UpdateSince(Position{})
	for _, ev := range u.Events {
		assert.Assert(t, ev.Target == nil || ev.Target.WarmUp == warmUp)
	}
}

// TestLogIsBounded checks that the log stays within its limit, and that a host
// gets the whole state if it is further behind than the log reaches back.
func TestLogIsBounded(t *testing.T) {
	replica := &Replica{}
	apply(t, replica, Update{Revision: 1, Events: []Event{{Revision: 1, Configuration: newConfiguration(1, "desk")}}}, hscode.OK)
	for r := uint64(2); r < maxLog+100; r++ {
		apply(t, replica, Update{Since: r - 1, Revision: r, Events: []Event{{Revision: r, Target: newTarget(1, int(r))}}}, hscode.OK)
	}
	assert.Assert(t, len(replica.log) <= maxLog && len(replica.log) > maxLog-logDropCount, "%d", len(replica.log))
	u, ok := replica.UpdateSince(Position{Revision: 5})
	assert.Assert(t, ok)
	assert.Equal(t, u.Since, uint64(0))
	u, ok = replica.UpdateSince(Position{Revision: maxLog + 90})
	assert.Assert(t, ok)
	assert.Equal(t, len(u.Events), 9)
}

// TestManyAnnouncements checks that a host gets each announcement once while
// 3,000 targets announce themselves and it fetches the changes after every 300.
func TestManyAnnouncements(t *testing.T) {
	from, to := &Replica{}, &Replica{}
	apply(t, from, Update{Revision: 1, Events: []Event{{Revision: 1, Configuration: newConfiguration(1, "desk")}}}, hscode.OK)
	got := 0
	const targets, step = 3000, 300
	for r := uint64(2); r < targets+2; r++ {
		apply(t, from, Update{Since: r - 1, Revision: r, Events: []Event{{Revision: r, Target: newTarget(TargetID(r), int(r))}}}, hscode.OK)
		if r%step != 1 {
			continue
		}
		u, ok := from.UpdateSince(to.Position())
		assert.Assert(t, ok)
		got += len(u.Events)
		apply(t, to, u, hscode.OK)
	}
	u, ok := from.UpdateSince(Position{Revision: 5})
	assert.Assert(t, ok)
	assert.Equal(t, u.Since, uint64(5), "a host that is 3,000 changes behind gets the changes, not the whole state")
	assert.Equal(t, got, targets+1)
}

// TestLogKeepsOneConfiguration checks that a host that is behind gets only the
// newest configuration, with all previous services of its routes.
func TestLogKeepsOneConfiguration(t *testing.T) {
	replica := &Replica{}
	apply(t, replica, Update{Revision: 1, Events: []Event{{Revision: 1, Configuration: newConfiguration(1, "desk")}}}, hscode.OK)
	for i, service := range []string{"vault", "press"} {
		r := uint64(i + 2)
		apply(t, replica, Update{Since: r - 1, Revision: r, Events: []Event{{Revision: r, Configuration: newConfiguration(r, service)}}}, hscode.OK)
	}
	u, ok := replica.UpdateSince(Position{Revision: 1})
	assert.Assert(t, ok)
	assert.Equal(t, len(u.Events), 1)
	assert.DeepEqual(t, u.Events[0].Configuration.Routes[0].PreviousServices, []string{"desk", "vault"})
}

// TestReplicaAfterUpdateWithoutChanges checks that changes are applied after an
// update that contained nothing new. Such updates occur because the store also
// gives revisions to changes of unrelated keys.
func TestReplicaAfterUpdateWithoutChanges(t *testing.T) {
	events := []Event{{Revision: 5, Target: newTarget(1, 3)}}
	updates := map[string]Update{
		"same whole state":          {Revision: 30, Events: events},
		"no changes":                {Since: 7, Revision: 30},
		"removal of unknown target": {Since: 7, Revision: 30, Events: []Event{{Revision: 29, Removed: 9}}},
	}
	for name, u := range updates {
		replica := &Replica{}
		apply(t, replica, Update{Revision: 7, Events: events}, hscode.OK)
		apply(t, replica, u, hscode.OK)
		ch := apply(t, replica, Update{Since: 30, Revision: 31, Events: []Event{{Revision: 31, Target: newTarget(2, 3)}}}, hscode.OK)
		assert.Assert(t, ch.Targets, name)
		assert.Equal(t, replica.Revision(), uint64(31), name)
		changes, ok := replica.UpdateSince(Position{Revision: 7})
		assert.Assert(t, ok, name)
		assert.Equal(t, len(changes.Events) > 0, true, name)
	}
}
