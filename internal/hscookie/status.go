package hscookie

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"heatherstack.org/heatherstack/internal/hsflow"
)

// ZoneLoad is what runs in one zone, as this host sees it.
type ZoneLoad struct {
	Zone string
	// Listed targets, including those that drain.
	Targets int
	// Tracked flows that their caller has not closed. A flow without packets for
	// flowTimeout is not tracked.
	Flows int
	// Requests in progress.
	Requests int
}

// ZoneLoads returns the load of each zone that has targets or tracked flows, in
// the order of their names. It visits all tracked flows, which takes some
// milliseconds at most.
func (c *Core) ZoneLoads() []ZoneLoad {
	loads := map[string]*ZoneLoad{}
	load := func(zone string) *ZoneLoad {
		if loads[zone] == nil {
			loads[zone] = &ZoneLoad{Zone: zone}
		}
		return loads[zone]
	}
	for _, d := range c.targets.byID {
		if d.keepUntil.IsZero() {
			load(d.zone).Targets++
		}
	}
	c.flows.Scan(0, math.MaxInt, func(_ *hsflow.Key, f *flow) {
		d := c.targets.byID[f.target]
		if d == nil || f.closed {
			return
		}
		l := load(d.zone)
		l.Flows++
		if f.busy {
			l.Requests++
		}
	})
	out := make([]ZoneLoad, 0, len(loads))
	for _, l := range slices.SortedFunc(maps.Values(loads), func(a, b *ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) }) {
		out = append(out, *l)
	}
	return out
}
