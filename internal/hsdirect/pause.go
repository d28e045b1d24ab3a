package hsdirect

import "time"

// pauseGuard notices that the process did not run for a while, and for how long
// after that packets from the socket may have waited there. It reads no clock.
type pauseGuard struct {
	// Time of the last call.
	last time.Time
	// Zero unless packets may have waited, else when that was noticed.
	since time.Time
}

const (
	// pauseGap is the time without a call after which the process counts as
	// paused. It is called once per dataTick, and a quota of the processor may
	// stop it for a tenth of a second. Opening packets that waited for longer
	// have been copied, and another host may have placed the flow.
	pauseGap = 400 * time.Millisecond
	// waitedMost bounds the time in which packets that waited are read: those of
	// five seconds at the usual rate, on a fifth of a core.
	waitedMost = 250 * time.Millisecond
)

// packet takes the time at which a packet was read and reports whether it may
// have waited.
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

// empty takes the time at which a read ended that found nothing, and the one at
// which it began. A read that began before the pause was noticed, or that was
// ended early, says nothing: it may not have looked.
func (g *pauseGuard) empty(now, began time.Time) bool {
	waited := g.packet(now)
	if waited && !began.Before(g.since) && now.Sub(began) >= dataTick {
		g.since = time.Time{}
		return false
	}
	return waited
}

// gap returns the time between two moments by the steady clock, which does not
// count while the machine is suspended, or by the time of day, whichever is more.
// A step of the time of day looks like a pause, which costs a few copies.
func gap(a, b time.Time) time.Duration { return max(b.Sub(a), b.Round(0).Sub(a.Round(0))) }
