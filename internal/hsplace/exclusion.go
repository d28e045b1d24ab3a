package hsplace

import "time"

// Exclusion is the reason for which a target receives no new flows. Placement,
// refusals, log lines and metrics all use Placer.exclusion, so that they agree.
type Exclusion uint8

// Values of Exclusion. Those from Ejected on are ejections.
const (
	// NotExcluded means that the target may receive new flows.
	NotExcluded Exclusion = iota
	// Draining means that the target announced that it drains.
	Draining
	// Evacuated means that the target's zone is being evacuated.
	Evacuated
	// WarmUpLimit means that this host has used its part of the flows that the
	// target takes during its warm-up time.
	WarmUpLimit
	// Ejected means that this host has ejected the target.
	Ejected
	// PeerEjected means that another host of this zone has ejected the target.
	PeerEjected
	// ZoneEjected means that this host has ejected the target's zone.
	ZoneEjected
)

var exclusions = [...]string{
	NotExcluded: "none",
	Draining:    "draining",
	Evacuated:   "evacuated",
	WarmUpLimit: "warm-up limit",
	Ejected:     "ejected",
	PeerEjected: "ejected by a peer",
	ZoneEjected: "zone ejected",
}

// String returns the exclusion in words.
func (e Exclusion) String() string { return exclusions[e] }

// isEjection reports whether the target is excluded because of unanswered
// opening packets. The cause may be in this host: ejections are ignored if they
// leave no other target.
func (e Exclusion) isEjection() bool { return e >= Ejected }

// exclusion returns the reason for which a target receives no new flows now, or
// NotExcluded. Reasons that are not ejections come first.
func (p *Placer) exclusion(now time.Time, t *target) Exclusion {
	switch {
	case t.record.Draining:
		return Draining
	case t.zone.evacuated:
		return Evacuated
	case t.allowance != nil && p.limited(now, t):
		return WarmUpLimit
	case !t.acceptsFlow(now):
		return Ejected
	case !t.zone.acceptsFlow(now):
		return ZoneEjected
	case now.Before(t.peerEjectedUntil):
		return PeerEjected
	}
	return NotExcluded
}
