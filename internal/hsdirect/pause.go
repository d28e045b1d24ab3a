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
	// waitedMost bounds the time in which packets that waited are read: ten
	// times what thousands of them take.
	waitedMost = 100 * time.Millisecond
)

// note takes the time of a packet, or of a read that found none, and reports
// whether what is read now may have waited.
func (g *pauseGuard) note(now time.Time, empty bool) bool {
	paused := !g.last.IsZero() && gap(g.last, now) > pauseGap
	g.last = now
	switch {
	case paused:
		// A read whose time limit passed during the pause did not look.
		g.since = now
	case empty || now.Sub(g.since) > waitedMost:
		g.since = time.Time{}
	}
	return !g.since.IsZero()
}

// gap returns the time between two moments by the steady clock, which does not
// count while the machine is suspended, or by the time of day, whichever is more.
// A step of the time of day looks like a pause, which costs a few copies.
func gap(a, b time.Time) time.Duration { return max(b.Sub(a), b.Round(0).Sub(a.Round(0))) }
