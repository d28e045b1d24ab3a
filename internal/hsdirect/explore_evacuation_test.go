package hsdirect

import (
	"math/rand/v2"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

// evacuationOperator requests evacuations in the exploration and takes them back.
type evacuationOperator struct {
	// Of its own, so that the other changes and disturbances of a seed are as they
	// were without evacuations.
	rng *rand.Rand
	// Mean number of ticks between two changes.
	ticks int
	// Last change by zone, and whether the hosts were undisturbed then.
	changed map[string]zoneChange
	// True once the store has named all zones after the last restore.
	named bool
}

type zoneChange struct {
	at       time.Time
	position hsfeed.Position
	active   bool
	calm     bool
}

// evacuationTime is the time within which a request, or its end, is in force on
// hosts that are in touch with one another and with the store.
const evacuationTime = 2 * time.Second

var exploredZones = []string{"a", "b", "c", "x"}

func newEvacuationOperator(seed uint64) evacuationOperator {
	rng := rand.New(rand.NewPCG(seed, 2))
	return evacuationOperator{rng: rng, ticks: []int{8, 40}[rng.IntN(2)], changed: map[string]zoneChange{}}
}

// changeEvacuations writes or removes a request now and then, some of them only
// for a moment, and compacts the history of the store.
func (x *exploration) changeEvacuations() {
	o := &x.evacuations
	if !x.store.up || o.rng.IntN(o.ticks) != 0 {
		return
	}
	zone := exploredZones[o.rng.IntN(len(exploredZones))]
	_, active := x.store.requests[zone]
	x.setEvacuation(zone, !active)
	switch o.rng.IntN(8) {
	case 0, 1:
		x.setEvacuation(zone, active)
	case 2:
		x.store.compacted = x.store.position.Revision
	}
}

func (x *exploration) setEvacuation(zone string, active bool) {
	o := &x.evacuations
	if _, found := x.store.requests[zone]; found == active {
		return
	}
	x.store.write(x.now, hsfeed.Event{Evacuation: &hsfeed.Evacuation{Zone: zone, Ended: !active}})
	calm := x.now.Sub(x.disturbed) > contactTime && x.cutZone == "" && x.loss == 0
	o.changed[zone] = zoneChange{at: x.now, position: x.store.position, active: active, calm: calm}
	for _, h := range x.hosts {
		delete(h.ceased, zone)
	}
}

// nameZones lets the operator name each zone halfway through the quiet time that
// ends at end, as the documentation requires after a restore: a request that the
// store lost stays in force until then.
func (x *exploration) nameZones(end time.Time) {
	o := &x.evacuations
	left := end.Sub(x.now)
	switch {
	case !o.named && left <= quietTime/2:
		o.named = true
		for _, zone := range exploredZones {
			_, active := x.store.requests[zone]
			x.setEvacuation(zone, !active)
		}
	case o.named && left > quietTime/2-3*TickInterval:
		zone := exploredZones[o.rng.IntN(len(exploredZones))]
		_, active := x.store.requests[zone]
		x.setEvacuation(zone, !active)
	}
}

// checkEvacuations checks that a host which has ended an evacuation, and has seen
// the operator's last removal of the request, does not begin it again.
func (x *exploration) checkEvacuations(h *exploredHost, out *Output) {
	if !out.EvacuationsChanged {
		return
	}
	zones := zoneNames(out.Evacuations)
	for _, zone := range h.evacuated {
		c, p := x.evacuations.changed[zone], h.core.State().Position()
		if !slices.Contains(zones, zone) && !c.active && p.Era == c.position.Era && !c.position.After(p) {
			h.ceased[zone] = true
		}
	}
	for _, zone := range zones {
		if h.ceased[zone] {
			x.fail("%s evacuates zone %s again, which nobody has requested since it ended", h.addr, zone)
		}
	}
	h.evacuated = zones
}

// checkEvacuationLimits checks that a change which was made while the hosts were
// undisturbed is in force.
func (x *exploration) checkEvacuationLimits(h *exploredHost) {
	for _, zone := range exploredZones {
		c := x.evacuations.changed[zone]
		if !c.calm || c.position.Era != x.store.position.Era || x.now.Sub(c.at) <= evacuationTime {
			continue
		}
		_, active := x.store.requests[zone]
		if slices.Contains(h.evacuated, zone) != active {
			x.fail("%s evacuates %v; the request for zone %s was changed to %v %v ago", h.addr, h.evacuated, zone, active, x.now.Sub(c.at))
		}
	}
}
