package hsrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// homes assigns a home to every target. Targets of a zone are assigned in the
// order of their IDs: each goes to the host with the highest rendezvous score
// among those with capacity left. The capacity of a host is the number of
// targets divided by the number of hosts, rounded up.
//
// Example: 5 targets on hosts a and b give each host a capacity of 3. If the
// first four targets all have their highest score for a, the fourth goes to b.
func (v *View) homes(before *View) {
	byZone := make([][]int, len(v.Zones))
	for i := range v.Targets {
		zone := v.Targets[i].Zone
		byZone[zone] = append(byZone[zone], i)
	}
	for zone, targets := range byZone {
		v.assign(targets, v.takers(zone))
	}
	if before != nil {
		v.previous(before)
	}
}

// takers returns the hosts that may be homes of a zone's targets: those of the
// zone that accept homes; if there are none, those of all zones. If no host
// accepts homes, hosts that are alive but leaving are used, again those of the
// zone first.
func (v *View) takers(zone int) []int {
	for _, fits := range []func(*Host) bool{
		func(h *Host) bool { return h.Takes && h.Zone == zone },
		func(h *Host) bool { return h.Takes },
		func(h *Host) bool { return h.Alive && h.Zone == zone },
		func(h *Host) bool { return h.Alive },
	} {
		var out []int
		for i := range v.Hosts {
			if fits(&v.Hosts[i]) {
				out = append(out, i)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// assign distributes targets over hosts and sets their homes.
func (v *View) assign(targets, hosts []int) {
	if len(hosts) == 0 {
		return
	}
	slices.SortFunc(targets, func(a, b int) int { return cmp.Compare(v.Targets[a].ID, v.Targets[b].ID) })
	seeds := make([]uint64, len(hosts))
	for i, h := range hosts {
		seeds[i] = xxhash.Sum64String(v.Hosts[h].Name)
	}
	room := (len(targets) + len(hosts) - 1) / len(hosts)
	taken := make([]int, len(hosts))
	for _, t := range targets {
		best := -1
		var bestHash uint64
		for i := range hosts {
			h := mix(uint64(v.Targets[t].ID), seeds[i])
			if taken[i] < room && (best < 0 || h > bestHash) {
				best = i
				bestHash = h
			}
		}
		taken[best]++
		v.Targets[t].Home = hosts[best]
	}
}

// previous records the previous home of each target whose home changed.
func (v *View) previous(before *View) {
	for i := range v.Targets {
		t := &v.Targets[i]
		old, ok := before.byID[t.ID]
		if !ok || before.Targets[old].Home < 0 {
			continue
		}
		host := &before.Hosts[before.Targets[old].Home]
		n, listed := v.byHost[host.Address.As16()]
		if listed && n != t.Home {
			t.Before = n
			continue
		}
		// If the home did not change, the previous home recorded by an earlier
		// view is kept: that host may still hold flows if another view follows
		// soon after the move.
		if earlier := before.Targets[old].Before; earlier >= 0 {
			if m, ok := v.byHost[before.Hosts[earlier].Address.As16()]; ok && m != t.Home {
				t.Before = m
			}
		}
	}
}
