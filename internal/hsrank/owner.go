package hsrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// assignOwners assigns an owner to every target. Targets of a zone are assigned
// in the order of their IDs: each goes to the host with the highest rendezvous
// score among those with capacity left. The capacity of a host is the number of
// targets divided by the number of hosts, rounded up.
//
// Example: 5 targets on hosts a and b give each host a capacity of 3. If the
// first four targets all have their highest score for a, the fourth goes to b.
func (v *View) assignOwners(previous *View) {
	byZone := make([][]int, len(v.Zones))
	for i := range v.Targets {
		zone := v.Targets[i].Zone
		byZone[zone] = append(byZone[zone], i)
	}
	for zone, targets := range byZone {
		v.assignTargets(targets, v.eligibleOwners(zone))
	}
	if previous != nil {
		v.setPreviousOwners(previous)
	}
}

// eligibleOwners returns the hosts that may own a zone's targets. Hosts that
// are alive and not leaving are preferred to leaving ones; among either, those
// of the zone are preferred to those of all zones.
func (v *View) eligibleOwners(zone int) []int {
	for _, accepts := range []func(*Host) bool{
		func(h *Host) bool { return h.CanOwn && h.Zone == zone },
		func(h *Host) bool { return h.CanOwn },
		func(h *Host) bool { return h.Alive && h.Zone == zone },
		func(h *Host) bool { return h.Alive },
	} {
		var out []int
		for i := range v.Hosts {
			if accepts(&v.Hosts[i]) {
				out = append(out, i)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// assignTargets distributes targets over hosts, which become their owners.
func (v *View) assignTargets(targets, hosts []int) {
	if len(hosts) == 0 {
		return
	}
	slices.SortFunc(targets, func(a, b int) int { return cmp.Compare(v.Targets[a].ID, v.Targets[b].ID) })
	seeds := make([]uint64, len(hosts))
	for i, h := range hosts {
		seeds[i] = xxhash.Sum64String(v.Hosts[h].Name)
	}
	capacity := (len(targets) + len(hosts) - 1) / len(hosts)
	assigned := make([]int, len(hosts))
	for _, t := range targets {
		best := -1
		var bestHash uint64
		for i := range hosts {
			h := mix(uint64(v.Targets[t].ID), seeds[i])
			if assigned[i] < capacity && (best < 0 || h > bestHash) {
				best = i
				bestHash = h
			}
		}
		assigned[best]++
		v.Targets[t].Owner = hosts[best]
	}
}

// setPreviousOwners records the previous owner of each target whose owner
// changed.
func (v *View) setPreviousOwners(old *View) {
	for i := range v.Targets {
		t := &v.Targets[i]
		oldTarget, ok := old.byID[t.ID]
		if !ok || old.Targets[oldTarget].Owner < 0 {
			continue
		}
		oldOwner := &old.Hosts[old.Targets[oldTarget].Owner]
		n, listed := v.byHost[oldOwner.Address.As16()]
		if listed && n != t.Owner {
			t.PreviousOwner = n
			continue
		}
		// If the owner did not change, the previous owner recorded by the old
		// view is kept: that host may still hold flows if another view follows
		// soon after the change of owner.
		if prevOwner := old.Targets[oldTarget].PreviousOwner; prevOwner >= 0 {
			if m, ok := v.byHost[old.Hosts[prevOwner].Address.As16()]; ok && m != t.Owner {
				t.PreviousOwner = m
			}
		}
	}
}
