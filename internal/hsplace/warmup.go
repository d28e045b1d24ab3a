package hsplace

import (
	"math"
	"time"

	"heatherstack.org/heatherstack/internal/hsbudget"
)

// warmUp is the state of a target that concerns its warm-up time.
type warmUp struct {
	// Flows that this host may place on the target during its warm-up time; nil
	// if they are not limited.
	allowance *hsbudget.Allowance
	// Time over which the cost of the target falls during its warm-up time: the
	// warm-up time of its service. 0 for targets that are not limited and whose
	// zone was not evacuated: these have the capacity warmUpCapacity until their
	// warm-up time ends.
	slowStart time.Duration
}

// slowStartPenalty is added to the cost of a target whose warm-up time begins,
// and falls to 0 by its end. It is above otherZonePenalty by half of a target's
// slots: a target of this zone that has just become cold gets flows once the
// targets of other zones are half full. The load model (hsmodel, zone return)
// shows the effect.
const slowStartPenalty = 1.3

// SetMembers sets the entry hosts that share the flows of targets in warm-up.
func (p *Placer) SetMembers(v *hsbudget.View) { p.share.Set(v.Names, v.Count) }

// UpcomingFlows returns the number of flows that this host may place on a
// service's targets in warm-up from now until the given time, or a large number
// if a target is not limited for all of that time. Nothing is placed on targets
// that are excluded for other reasons.
func (p *Placer) UpcomingFlows(now, until time.Time, service string) int {
	n := 0
	for _, t := range p.pools[service] {
		switch e := p.exclusion(now, t); {
		case e != NotExcluded && e != WarmUpLimit:
		case t.allowance == nil || until.After(t.record.WarmUpUntil):
			return math.MaxInt32
		default:
			n += t.allowance.Upcoming(now, until, p.share)
		}
	}
	return n
}

// LimitedTargets returns the number of targets whose new flows are limited now.
func (p *Placer) LimitedTargets(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if t.allowance != nil && now.Before(t.record.WarmUpUntil) {
			n++
		}
	}
	return n
}

// limited reports whether the target is in warm-up and this host has used its
// part of the flows that the target takes.
func (p *Placer) limited(now time.Time, t *target) bool {
	return now.Before(t.record.WarmUpUntil) && !t.allowance.Allows(now, p.share)
}

// useAllowance records that a flow is placed on the target.
func (t *target) useAllowance(now time.Time) {
	if t.allowance != nil && now.Before(t.record.WarmUpUntil) {
		t.allowance.Use(now)
	}
}

// setWarmUps applies the services' warm-up times and rates to all targets. The
// allowance of a target whose rate is unchanged is kept.
func (p *Placer) setWarmUps() {
	for _, t := range p.targets {
		s := p.services[t.record.Service]
		if next := hsbudget.NewAllowance(uint64(t.record.ID), s.WarmUpRate); next == nil || t.allowance == nil || next.Rate() != t.allowance.Rate() {
			t.allowance = next
		}
		t.slowStart = 0
		if t.allowance != nil || !t.warmUpAfterEvacuation.IsZero() {
			t.slowStart = s.WarmUpTime
		}
	}
}

// coldness returns the part of the time slowStart that remains of the target's
// warm-up time.
func (t *target) coldness(now time.Time) float64 {
	remaining := t.record.WarmUpUntil.Sub(now)
	return min(max(remaining.Seconds()/t.slowStart.Seconds(), 0), 1)
}
