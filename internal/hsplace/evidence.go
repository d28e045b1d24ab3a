package hsplace

import (
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// evidence is what opening packets tell about a target, or about all of an
	// availability zone.
	evidence struct {
		// Opening packets in a row that got no answer.
		unanswered int
		// Time until which there is no new flow; zero if not ejected.
		until time.Time
		// Duration of the present or last ejection.
		ejection time.Duration
		// True while a single flow tries again after an ejection.
		trial bool
	}

	// Ejection says that a target, or a whole zone, is left out for a time.
	Ejection struct {
		// 0 if it is the zone.
		Target hsfeed.TargetID
		Zone   string
		For    time.Duration
	}

	// zone is what opening packets tell about another availability zone: if
	// several of its targets in a row do not answer, the zone cannot be reached.
	zone struct {
		evidence
		// Target that left the last opening packet without answer. Another one
		// of the same target says nothing of the zone.
		last hsfeed.TargetID
	}
)

const (
	// ejectAfter is the number of opening packets without answer, with none
	// answered in between, after which a target is ejected. One may be a lost
	// packet.
	ejectAfter = 2
	// ejectMin is the shortest ejection: above the time that a packet takes to
	// be answered by far.
	ejectMin = 400 * time.Millisecond
	// EjectMax is the longest ejection, and so the longest that a target which
	// has come back may be left out.
	EjectMax = 1600 * time.Millisecond
)

// Answered notes that a target answered an opening packet.
func (p *Placer) Answered(id hsfeed.TargetID) {
	if t := p.targets[id]; t != nil {
		t.evidence = evidence{}
		t.avoid = time.Time{}
		*t.zone = zone{}
	}
}

// Unanswered notes that a target left an opening packet without answer. It
// returns the ejections that follow. This host's own zone is never ejected
// whole: what it cannot reach there is its own fault.
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

// unansweredAt notes an opening packet without answer and reports whether that
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

// usable reports whether the target may take a new flow. After an ejection a
// single one tries it.
func (e *evidence) usable(now time.Time) bool {
	return !now.Before(e.until) && !e.trial
}

// chosen notes that the target takes a new flow.
func (e *evidence) chosen(now time.Time) {
	if !e.until.IsZero() && !now.Before(e.until) {
		e.trial = true
	}
}
