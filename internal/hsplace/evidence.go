package hsplace

import (
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

// evidence is what opening packets tell about one target.
type evidence struct {
	// Opening packets in a row that got no answer.
	unanswered int
	// Time until which the target gets no new flow; zero if not ejected.
	until time.Time
	// Duration of the present or last ejection.
	ejection time.Duration
	// True while a single flow tries the target after an ejection.
	trial bool
}

const (
	// ejectAfter is the number of opening packets without answer, with none
	// answered in between, after which a target is ejected. One may be a lost
	// packet.
	ejectAfter = 2
	// ejectMin and ejectMax bound an ejection. The first is above the time
	// that a packet takes to be answered by far; the second is the longest
	// that a target which has come back may be left out.
	ejectMin = 400 * time.Millisecond
	ejectMax = 1600 * time.Millisecond
)

// Answered notes that a target answered an opening packet.
func (p *Placer) Answered(id hsfeed.TargetID) {
	if t := p.targets[id]; t != nil {
		t.evidence = evidence{}
	}
}

// Unanswered notes that a target left an opening packet without answer. It
// reports whether the target is ejected for it.
func (p *Placer) Unanswered(now time.Time, id hsfeed.TargetID) bool {
	t := p.targets[id]
	if t == nil {
		return false
	}
	t.unanswered++
	if now.Before(t.until) || (t.unanswered < ejectAfter && !t.trial) {
		return false
	}
	t.ejection = min(max(2*t.ejection, ejectMin), ejectMax)
	t.until = now.Add(t.ejection)
	t.trial = false
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
