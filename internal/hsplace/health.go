package hsplace

import (
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// health is the reachability of a target or of a whole availability zone,
	// as observed from the answers to opening packets.
	health struct {
		// Number of consecutive opening packets without an answer.
		consecutiveUnanswered int
		// End of the present or last ejection, until which no new flow is
		// placed; zero if there was none since the last answer.
		ejectedUntil time.Time
		// Duration of that ejection.
		ejectionTime time.Duration
		// True while a single flow probes the target or zone after an ejection.
		probing bool
	}

	// Ejection reports that a target, or a whole zone, receives no new flows
	// for a time.
	Ejection struct {
		// 0 if the whole zone is ejected.
		Target   hsfeed.TargetID
		Zone     string
		Duration time.Duration
	}

	// zone is the state of an availability zone: its observed health, and whether
	// the operator evacuates it. If opening packets
	// to several targets of another zone are not answered, the zone counts as
	// unreachable.
	zone struct {
		health
		// Target of the last unanswered opening packet. A further unanswered
		// packet to the same target is no evidence about the zone.
		lastUnanswered hsfeed.TargetID
		evacuated      bool
		// True if this host sends no new flows of the service to the zone, as of
		// the current choice.
		atLimit bool
	}
)

const (
	// ejectAfter is the number of consecutive unanswered opening packets after
	// which a target is ejected. A single one may be due to packet loss.
	ejectAfter = 2
	// minEjection is the shortest ejection. It is far longer than the time
	// until an opening packet is answered.
	minEjection = 400 * time.Millisecond
	// MaxEjection is the longest ejection, and therefore the longest time for
	// which a recovered target may still receive no new flows.
	MaxEjection = 1600 * time.Millisecond
)

// RecordAnswered records that a target answered an opening packet. This ends
// the ejection of the target and of its zone.
func (p *Placer) RecordAnswered(id hsfeed.TargetID) {
	if t := p.targets[id]; t != nil {
		t.health = health{}
		t.peerEjectedUntil = time.Time{}
		*t.zone = zone{evacuated: t.zone.evacuated}
	}
}

// ZoneUnanswered reports whether a zone was ejected and no target of it has
// answered since.
func (p *Placer) ZoneUnanswered(name string) bool {
	z := p.zones[name]
	return z != nil && !z.ejectedUntil.IsZero()
}

// RecordUnanswered records that a target did not answer an opening packet, and
// returns the resulting ejections. This host's own zone is never ejected as a
// whole: if its targets cannot be reached, the fault is in this host.
func (p *Placer) RecordUnanswered(now time.Time, id hsfeed.TargetID) []Ejection {
	t := p.targets[id]
	if t == nil {
		return nil
	}
	var out []Ejection
	if t.recordUnanswered(now) {
		out = append(out, Ejection{Target: id, Zone: t.record.Zone, Duration: t.ejectionTime})
	}
	z := t.zone
	if t.sameZone || (z.lastUnanswered == id && !z.probing) {
		return out
	}
	z.lastUnanswered = id
	if z.recordUnanswered(now) {
		out = append(out, Ejection{Zone: t.record.Zone, Duration: z.ejectionTime})
	}
	return out
}

// DeferProbe records that the flow which was just placed on a target is not
// tracked, so that its answer will not be noticed. If the flow was the probe of
// the target or its zone, another one follows after minEjection.
func (p *Placer) DeferProbe(now time.Time, id hsfeed.TargetID) {
	if t := p.targets[id]; t != nil {
		t.deferProbe(now)
		t.zone.deferProbe(now)
	}
}

func (h *health) deferProbe(now time.Time) {
	if h.probing {
		h.probing = false
		h.ejectedUntil = now.Add(minEjection)
	}
}

// recordUnanswered records an unanswered opening packet and reports whether
// this leads to an ejection.
func (h *health) recordUnanswered(now time.Time) bool {
	h.consecutiveUnanswered++
	if now.Before(h.ejectedUntil) || (h.consecutiveUnanswered < ejectAfter && !h.probing) {
		return false
	}
	h.ejectionTime = min(max(2*h.ejectionTime, minEjection), MaxEjection)
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.probing = false
	return true
}

// acceptsFlow reports whether a new flow may be placed. After an ejection, a
// single flow is placed as a probe.
func (h *health) acceptsFlow(now time.Time) bool {
	return !now.Before(h.ejectedUntil) && !h.probing
}

// recordPlaced records that a new flow is placed; the first one after an
// ejection is the probe.
func (h *health) recordPlaced(now time.Time) {
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}
