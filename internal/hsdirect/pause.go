package hsdirect

import "time"

// pauseGuard detects that the process was paused, and for how long afterwards
// packets from the socket may be stale: queued there during the pause. It reads
// no clock.
type pauseGuard struct {
	// Time of the last call.
	last time.Time
	// When the pause was detected; zero if packets cannot be stale.
	since time.Time
}

const (
	// pauseGap is the time between two calls above which the process counts as
	// paused. Calls come at least once per dataTick, and a CPU quota may stop the
	// process for a tenth of a second. Callers have retransmitted opening packets
	// that were queued for longer, and another host may have placed the flow.
	pauseGap = 400 * time.Millisecond
	// waitedMost is the maximum time for which packets count as stale after a
	// pause: reading the packets of five seconds at the usual rate takes that long
	// on a fifth of a core.
	waitedMost = 250 * time.Millisecond
)

// packet records that a packet was read and reports whether it may be stale.
func (g *pauseGuard) packet(now time.Time) bool {
	if !g.last.IsZero() && gap(g.last, now) > pauseGap {
		g.since = now
	}
	g.last = now
	if now.Sub(g.since) > waitedMost {
		g.since = time.Time{}
	}
	return !g.since.IsZero()
}

// empty records that a read which began at the given time found no packet, and
// reports whether later packets may be stale. Such a read shows that the queue
// is empty only if it began after the pause was detected and lasted a whole
// dataTick: a read whose deadline had passed may not have looked at the queue.
func (g *pauseGuard) empty(now, began time.Time) bool {
	waited := g.packet(now)
	if waited && !began.Before(g.since) && now.Sub(began) >= dataTick {
		g.since = time.Time{}
		return false
	}
	return waited
}

// gap returns the time between two moments by the monotonic clock, which stops
// while the machine is suspended, or by the wall clock, whichever is longer. A
// step of the wall clock looks like a pause, which costs a few retransmissions.
func gap(a, b time.Time) time.Duration { return max(b.Sub(a), b.Round(0).Sub(a.Round(0))) }
