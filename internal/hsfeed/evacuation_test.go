package hsfeed

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherstack.org/heatherstack/internal/hscode"
)

func evacuate(revision uint64, zone string) Event {
	return Event{Revision: revision, Evacuation: &Evacuation{Zone: zone, Requested: revision}}
}

func endEvacuation(revision uint64, zone string) Event {
	return Event{Revision: revision, Evacuation: &Evacuation{Zone: zone, Ended: true}}
}

// changeOf returns the update that a watch of an era delivers for one change.
func changeOf(era uint64, ev Event) Update {
	return Update{Era: era, Since: ev.Revision - 1, Revision: ev.Revision, Events: []Event{ev}}
}

func evacuatedZones(r *Replica) []string {
	zones := []string{}
	for _, e := range r.Evacuations() {
		zones = append(zones, e.Zone)
	}
	return zones
}

// TestEvacuations guards against a request that is missed, that ends too early, or that a restored copy brings back, in each case of the page.
func TestEvacuations(t *testing.T) {
	listOf := func(era, revision uint64, events ...Event) Update {
		return Update{Era: era, Revision: revision, Events: events}
	}
	cases := []struct {
		name string
		// All hosts start with an empty list at revision 50 of era 1.
		updates []Update
		want    []string
	}{
		{"several zones", []Update{changeOf(1, evacuate(51, "a")), changeOf(1, evacuate(52, "b"))}, []string{"a", "b"}},
		{"written and removed in quick succession", []Update{
			{Era: 1, Since: 50, Revision: 52, Events: []Event{evacuate(51, "a"), endEvacuation(52, "a")}},
		}, []string{}},
		{"removed and written in quick succession", []Update{
			{Era: 1, Since: 50, Revision: 53, Events: []Event{evacuate(51, "a"), endEvacuation(52, "a"), evacuate(53, "a")}},
		}, []string{"a"}},
		{"late peer", []Update{changeOf(1, evacuate(51, "a")), changeOf(1, endEvacuation(52, "a")), changeOf(1, evacuate(51, "a"))}, []string{}},
		{"stale page before the removal", []Update{listOf(1, 60, evacuate(51, "a"), endEvacuation(58, "a"))}, []string{}},
		{"removed while this host was cut off", []Update{changeOf(1, evacuate(51, "a")), listOf(1, 60)}, []string{}},
		{"written while this host was cut off", []Update{listOf(1, 60, evacuate(55, "a"))}, []string{"a"}},
		{"written between two pages of a list", []Update{listOf(1, 60, evacuate(61, "a")), listOf(1, 61, evacuate(61, "a"))}, []string{"a"}},
		{"in force, and the copy has it", []Update{changeOf(1, evacuate(51, "a")), listOf(2, 70, evacuate(51, "a"))}, []string{"a"}},
		{"in force, and the copy lacks it", []Update{changeOf(1, evacuate(51, "a")), listOf(2, 40)}, []string{"a"}},
		{"in force, and the copy lacks it in a second list", []Update{
			changeOf(1, evacuate(51, "a")), listOf(2, 40), listOf(2, 45),
		}, []string{"a"}},
		{"in force, removed in the new era", []Update{
			changeOf(1, evacuate(51, "a")), listOf(2, 40, evacuate(30, "a")), changeOf(2, endEvacuation(41, "a")),
		}, []string{}},
		{"in force, removed in the new era by a list", []Update{
			changeOf(1, evacuate(51, "a")), listOf(2, 40, evacuate(30, "a")), listOf(2, 45),
		}, []string{}},
		{"ended, and the copy has it", []Update{
			changeOf(1, evacuate(51, "a")), changeOf(1, endEvacuation(52, "a")), listOf(2, 51, evacuate(51, "a")),
		}, []string{}},
		{"ended, and the copy has an older request", []Update{
			changeOf(1, evacuate(51, "a")), changeOf(1, endEvacuation(52, "a")), listOf(2, 40, evacuate(30, "a")),
		}, []string{}},
		{"ended, and a list of the new era has a later request", []Update{
			{Era: 1, Since: 50, Revision: 60, Events: []Event{evacuate(51, "a"), endEvacuation(60, "a")}}, listOf(2, 55, evacuate(55, "a")),
		}, []string{"a"}},
		{"ended, and a watch of the new era has a request with a lower revision", []Update{
			changeOf(1, evacuate(51, "a")), changeOf(1, endEvacuation(52, "a")), listOf(2, 40), changeOf(2, evacuate(41, "a")),
		}, []string{"a"}},
		{"ended in the new era, as a peer knows", []Update{
			changeOf(1, evacuate(51, "a")), listOf(2, 45, endEvacuation(41, "a")),
		}, []string{}},
		{"requested in the new era, and a peer knows only the end of the earlier request", []Update{
			changeOf(1, evacuate(51, "a")), changeOf(1, endEvacuation(52, "a")), listOf(2, 40), changeOf(2, evacuate(41, "a")),
			listOf(2, 41, Event{Era: 1, Revision: 52, Evacuation: &Evacuation{Zone: "a", Ended: true, Requested: 51}}),
		}, []string{"a"}},
		{"answer of the earlier era after the restore", []Update{
			changeOf(1, evacuate(51, "a")), changeOf(1, endEvacuation(52, "a")), listOf(2, 40), changeOf(1, evacuate(53, "a")),
		}, []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			replica := newRestored(t)
			for _, u := range c.updates {
				decoded := FromProto(ToProto(&u))
				assert.Equal(t, len(decoded.Errors), 0, "%v", decoded.Errors)
				apply(t, replica, decoded, hscode.OK)
			}
			assert.DeepEqual(t, evacuatedZones(replica), c.want)
			// A host that starts gets the state from this one alone.
			started := &Replica{}
			u, ok := replica.UpdateSince(Position{})
			assert.Assert(t, ok)
			apply(t, started, u, hscode.OK)
			assert.DeepEqual(t, evacuatedZones(started), c.want)
			assert.Equal(t, started.Digest(), replica.Digest())
		})
	}
}

// TestEvacuationDigest guards against hosts that differ in the zones being evacuated without noticing, and against a digest that hosts of the previous version do not share outside evacuations.
func TestEvacuationDigest(t *testing.T) {
	replica := newRestored(t, entry(10, 1, 100, false))
	before := replica.Digest()
	ch := apply(t, replica, changeOf(1, evacuate(51, "a")), hscode.OK)
	assert.Assert(t, ch.Evacuations && !ch.Targets)
	during := replica.Digest()
	assert.Assert(t, during != before)
	assert.Equal(t, apply(t, replica, changeOf(1, evacuate(52, "a")), hscode.OK), Change{}, "written again")
	assert.Equal(t, replica.Digest(), during)
	assert.Assert(t, !replica.Adopt(epoch, Position{Era: 2, Revision: 60}, during), "the era in which the zone is named would be lost")
	assert.Assert(t, apply(t, replica, changeOf(1, endEvacuation(53, "a")), hscode.OK).Evacuations)
	assert.Equal(t, replica.Digest(), before)
}

// TestEvacuationOfPeer guards against a host that accepts an invalid request of a peer, or that an absurd revision keeps from ending a request.
func TestEvacuationOfPeer(t *testing.T) {
	unnamed := changeOf(1, evacuate(51, ""))
	decoded := FromProto(ToProto(&unnamed))
	assert.Equal(t, len(decoded.Errors), 1)
	assert.Equal(t, len(decoded.Events), 0)
	replica := newRestored(t)
	huge := evacuate(51, "a")
	huge.Evacuation.Requested = math.MaxUint64
	apply(t, replica, changeOf(1, huge), hscode.OK)
	apply(t, replica, changeOf(1, endEvacuation(52, "a")), hscode.OK)
	assert.DeepEqual(t, evacuatedZones(replica), []string{})
	apply(t, replica, changeOf(1, evacuate(53, "a")), hscode.OK)
	assert.DeepEqual(t, evacuatedZones(replica), []string{"a"})
}

// TestEndedEvacuationsLimit guards against memory that grows with the names of zones, and against a request beyond the limit that cannot be taken back.
func TestEndedEvacuationsLimit(t *testing.T) {
	replica := newRestored(t)
	revision := uint64(50)
	for i := range 2 * maxEndedEvacuations {
		zone := fmt.Sprint("z", i)
		apply(t, replica, changeOf(1, evacuate(revision+1, zone)), hscode.OK)
		apply(t, replica, changeOf(1, endEvacuation(revision+2, zone)), hscode.OK)
		revision += 2
	}
	assert.Equal(t, len(replica.evacuations.zones), maxEndedEvacuations)
	assert.DeepEqual(t, evacuatedZones(replica), []string{})
	apply(t, replica, changeOf(1, evacuate(revision+1, "z0")), hscode.OK)
	assert.DeepEqual(t, evacuatedZones(replica), []string{"z0"})
}

// TestEvacuationsMerge guards against hosts that keep different requests after restores because they merged each other's states in another order.
func TestEvacuationsMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Each host has seen a part of era 1, and lists the same copy.
		written := rapid.Uint64Range(51, 54).Draw(t, "written")
		copied := rapid.Uint64Range(45, 56).Draw(t, "copied")
		var hosts []*Replica
		for i := range 3 {
			h := &Replica{}
			if rapid.Bool().Draw(t, "old") {
				h.Apply(epoch, &Update{Era: 1, Revision: 50})
				h.Apply(epoch, &Update{Era: 1, Since: 50, Revision: written, Events: []Event{evacuate(written, "a")}})
				if i == 0 {
					h.Apply(epoch, &Update{Era: 1, Since: written, Revision: 60, Events: []Event{endEvacuation(60, "a")}})
				}
			}
			h.Apply(epoch, &Update{Era: 2, Revision: 57, Events: []Event{evacuate(copied, "a")}})
			hosts = append(hosts, h)
		}
		ended := false
		for _, h := range hosts {
			ended = ended || len(h.Evacuations()) == 0
		}
		order := rapid.SliceOfN(rapid.IntRange(0, 8), 0, 9).Draw(t, "order")
		for _, n := range append(order, 1, 2, 3, 5, 6, 7) {
			if from, to := hosts[n/3], hosts[n%3]; from != to {
				u, _ := from.UpdateSince(Position{})
				to.Apply(epoch, &u)
			}
		}
		for _, h := range hosts {
			assert.Equal(t, len(h.Evacuations()) == 0, ended, "copied %d, written %d", copied, written)
		}
	})
}
