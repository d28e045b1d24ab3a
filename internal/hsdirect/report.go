package hsdirect

import (
	"cmp"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// Report is what another host has open, and the targets that it leaves out
	// if it is of the same zone.
	Report struct {
		Host  string
		Loads []hsplace.Load
		Avoid []hsfeed.TargetID
		// Time for which the other host's word that they do not answer holds.
		AvoidFor time.Duration
	}

	// Loads is what this host has open and leaves out.
	Loads struct {
		Flows   []hsplace.Load
		Ejected []hsfeed.TargetID
		// True if the targets left out changed, so that this zone's members are
		// told at once.
		News bool
	}

	// turn is the state of reports to one group of members.
	turn struct {
		// Time of the last report.
		at time.Time
		// Number of reports so far; says whose turn it is.
		n int
	}
)

const (
	// nearInterval and farInterval are the times between two reports of loads
	// to members of this zone and of others. The model of a burst that is 2.4
	// times the usual load needs the first; the second only guards against
	// filling another zone's targets.
	nearInterval = 200 * time.Millisecond
	farInterval  = time.Second
	// nearMost and farMost bound the members that get a report at a time. In a
	// larger deployment they take turns, so that reports cost a host the same.
	nearMost = 3
	farMost  = 4
	// loadsMost and ejectedMost bound the targets in a report.
	loadsMost   = 12
	ejectedMost = 32
	// avoidTurns is the time for which a host's word that a target does not
	// answer holds, in turns of its reports: one may be lost. avoidMin is it in
	// a small zone; in a large one it is the longest ejection.
	avoidTurns = 2
	avoidMin   = 450 * time.Millisecond
)

// turnTime returns the time in which each of n members of the zone gets a
// report.
func turnTime(n int) time.Duration {
	return time.Duration((n+nearMost-1)/nearMost) * nearInterval
}

// avoidTime returns the time for which a host's word that a target does not
// answer holds, among n other members of its zone.
func avoidTime(n int) time.Duration {
	return min(max(avoidTurns*turnTime(n), avoidMin), hsplace.EjectMax)
}

// Loads takes this host's open flows and tells members of them.
func (c *Core) Loads(now time.Time, loads *Loads) Output {
	var near, far []string
	for _, p := range c.roster.Peers() {
		switch {
		case !p.Alive:
		case p.Zone == c.cfg.Zone:
			near = append(near, p.Name)
		default:
			far = append(far, p.Name)
		}
	}
	due := c.near.next(now, nearInterval, near, nearMost)
	if loads.News {
		due = c.near.take(near, pushMost)
	}
	due = append(due, c.far.next(now, farInterval, far, farMost)...)
	if len(due) == 0 {
		return c.take()
	}
	hb := c.roster.Message(hsschema.Heartbeat_KIND_LOADS)
	flows := loads.Flows
	slices.SortFunc(flows, func(a, b hsplace.Load) int { return cmp.Compare(b.Flows, a.Flows) })
	for _, l := range flows[:min(len(flows), loadsMost)] {
		hb.Loads = append(hb.Loads, &hsschema.Load{Target: uint64(l.Target), Flows: uint32(l.Flows)})
	}
	for _, id := range loads.Ejected[:min(len(loads.Ejected), ejectedMost)] {
		hb.Ejected = append(hb.Ejected, uint64(id))
	}
	for _, name := range due {
		c.send(name, hb)
	}
	return c.take()
}

// next returns the members whose turn it is, up to most of them, if an interval
// has passed.
func (t *turn) next(now time.Time, interval time.Duration, members []string, most int) []string {
	if now.Sub(t.at) < interval || len(members) == 0 {
		return nil
	}
	t.at = now
	return t.take(members, most)
}

// take returns the next members in turn, up to most of them.
func (t *turn) take(members []string, most int) []string {
	due := make([]string, 0, most)
	for range min(most, len(members)) {
		due = append(due, members[t.n%len(members)])
		t.n++
	}
	return due
}

func loadsOf(hb *hsschema.Heartbeat) []hsplace.Load {
	out := make([]hsplace.Load, 0, len(hb.GetLoads()))
	for _, l := range hb.GetLoads() {
		out = append(out, hsplace.Load{Target: hsfeed.TargetID(l.GetTarget()), Flows: int(l.GetFlows())})
	}
	slices.SortFunc(out, func(a, b hsplace.Load) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

func ejectedOf(hb *hsschema.Heartbeat) []hsfeed.TargetID {
	out := make([]hsfeed.TargetID, 0, len(hb.GetEjected()))
	for _, id := range hb.GetEjected() {
		out = append(out, hsfeed.TargetID(id))
	}
	return out
}
