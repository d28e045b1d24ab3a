package hsplace

import (
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// evidence is the health of a target or of a whole availability zone, as
	// observed from the answers to opening packets.
	evidence struct {
		// Number of consecutive opening packets without an answer.
		unanswered int
		// End of the present or last ejection, until which no new flow is
		// placed; zero if there was none since the last answer.
		until time.Time
		// Duration of that ejection.
		ejection time.Duration
		// True while a single flow probes the target or zone after an ejection.
		trial bool
	}

	// Ejection reports that a target, or a whole zone, receives no new flows
	// for a time.
	Ejection struct {
		// 0 if the whole zone is ejected.
		Target hsfeed.TargetID
		Zone   string
		For    time.Duration
	}

	// zone is the observed health of an availability zone. If opening packets
	// to several targets of another zone are not answered, the zone counts as
	// unreachable.
	zone struct {
		evidence
		// Target of the last unanswered opening packet. A further unanswered
		// packet to the same target is no evidence about the zone.
		last hsfeed.TargetID
	}
)

const (
	// ejectAfter is the number of consecutive unanswered opening packets after
	// which a target is ejected. A single one may be due to packet loss.
	ejectAfter = 2
	// ejectMin is the shortest ejection. It is far longer than the time until
	// an opening packet is answered.
	ejectMin = 400 * time.Millisecond
	// EjectMax is the longest ejection, and therefore the longest time for
	// which a recovered target may still receive no new flows.
	EjectMax = 1600 * time.Millisecond
)

// Answered records that a target answered an opening packet. This ends the
// ejection of the target and of its zone.
func (p *Placer) Answered(id hsfeed.TargetID) {
	if t := p.targets[id]; t != nil {
		t.evidence = evidence{}
		t.avoid = time.Time{}
		*t.zone = zone{}
	}
}

// Unanswered records that a target did not answer an opening packet, and
// returns the resulting ejections. This host's own zone is never ejected as a
// whole: if its targets cannot be reached, the fault is in this host.
func (p *Placer) Unanswered(now time.Time, id hsfeed.TargetID) []Ejection {
	t := p.targets[id]
	if t == nil {
		return nil
	}
	var out []Ejection
	if t.unansweredAt(now) {
		out = append(out, Ejection{Target: id, Zone: t.entry.Zone, For: t.ejection})
	}
	z := t.zone
	if t.near || z.last == id {
		return out
	}
	z.last = id
	if z.unansweredAt(now) {
		out = append(out, Ejection{Zone: t.entry.Zone, For: z.ejection})
	}
	return out
}

// unansweredAt records an unanswered opening packet and reports whether this
// leads to an ejection.
func (e *evidence) unansweredAt(now time.Time) bool {
	e.unanswered++
	if now.Before(e.until) || (e.unanswered < ejectAfter && !e.trial) {
		return false
	}
	e.ejection = min(max(2*e.ejection, ejectMin), EjectMax)
	e.until = now.Add(e.ejection)
	e.trial = false
	return true
}

// usable reports whether a new flow may be placed. After an ejection, a single
// flow is placed as a probe.
func (e *evidence) usable(now time.Time) bool {
	return !now.Before(e.until) && !e.trial
}

// chosen records that a new flow is placed; the first one after an ejection is
// the probe.
func (e *evidence) chosen(now time.Time) {
	if !e.until.IsZero() && !now.Before(e.until) {
		e.trial = true
	}
}
