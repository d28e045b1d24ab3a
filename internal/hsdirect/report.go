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
	// Report is a peer's load report: its open flows and, if it is in this zone,
	// the targets that it has ejected.
	Report struct {
		Host  string
		Loads []hsplace.Load
		Avoid []hsfeed.TargetID
		// Time for which this host avoids those targets too.
		AvoidFor time.Duration
	}

	// Loads is this host's load report: its open flows and the targets that it has
	// ejected.
	Loads struct {
		Flows   []hsplace.Load
		Ejected []hsfeed.TargetID
		// True if the ejected targets changed; peers in this zone are then notified
		// at once.
		News bool
	}

	// turn is the round-robin state of the reports to a group of peers.
	turn struct {
		// Time of the last periodic report.
		at time.Time
		// Number of recipients so far; selects the next one.
		n int
	}
)

const (
	// nearInterval and farInterval are the times between two load reports to peers
	// in this zone and in other zones. In the load model, a burst of 2.4 times the
	// usual load requires the first; the second only prevents hosts from
	// overloading another zone's targets.
	nearInterval = 200 * time.Millisecond
	farInterval  = time.Second
	// nearMost and farMost limit the recipients of one report. In a larger
	// deployment peers take turns, so that the cost of reports per host does not
	// grow.
	nearMost = 3
	farMost  = 4
	// loadsMost and ejectedMost limit the targets listed in one report.
	loadsMost   = 12
	ejectedMost = 32
	// avoidTurns is the time for which a host avoids a target that a peer ejected,
	// in rounds of that peer's reports: one report may be lost. avoidMin is the
	// lower limit, which applies in a small zone; the upper limit, the longest
	// ejection, applies in a large one.
	avoidTurns = 2
	avoidMin   = 450 * time.Millisecond
)

// turnTime returns the duration of a round of reports, in which each of n peers
// in the zone gets one.
func turnTime(n int) time.Duration {
	return time.Duration((n+nearMost-1)/nearMost) * nearInterval
}

// avoidTime returns the time for which a host with n peers in its zone avoids a
// target that one of them ejected.
func avoidTime(n int) time.Duration {
	return min(max(avoidTurns*turnTime(n), avoidMin), hsplace.EjectMax)
}

// Loads sends this host's load report to the peers whose turn it is. If the
// ejected targets changed, up to pushMost peers in this zone get it at once.
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

// next returns up to most members whose turn it is, or none if the interval
// since the last report has not passed.
func (t *turn) next(now time.Time, interval time.Duration, members []string, most int) []string {
	if now.Sub(t.at) < interval || len(members) == 0 {
		return nil
	}
	t.at = now
	return t.take(members, most)
}

// take returns up to most members in round-robin order.
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
