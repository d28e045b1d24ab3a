package hsdirect

import "time"

// pauseDetector detects that the process was paused, and for how long
// afterwards packets from the socket may be stale: queued there during the
// pause. It reads no clock.
type pauseDetector struct {
	// Time of the last call.
	lastCall time.Time
	// When the pause was detected; zero if packets cannot be stale.
	detectedAt time.Time
}

const (
	// pauseThreshold is the time between two calls above which the process counts
	// as paused. Calls come at least once per dataTickInterval, and a CPU quota
	// may stop the process for a tenth of a second. Callers have retransmitted
	// opening packets that were queued for longer, and another host may have
	// placed the flow.
	pauseThreshold = 400 * time.Millisecond
	// maxStaleTime is the maximum time for which packets count as stale after a
	// pause: reading the packets that arrive in five seconds at the usual rate
	// takes that long on a fifth of a core.
	maxStaleTime = 250 * time.Millisecond
)

// packetRead records that a packet was read and reports whether it may be
// stale.
func (d *pauseDetector) packetRead(now time.Time) bool {
	if !d.lastCall.IsZero() && elapsed(d.lastCall, now) > pauseThreshold {
		d.detectedAt = now
	}
	d.lastCall = now
	if now.Sub(d.detectedAt) > maxStaleTime {
		d.detectedAt = time.Time{}
	}
	return !d.detectedAt.IsZero()
}

// readTimedOut records that a read which began at the given time found no
// packet, and reports whether later packets may be stale. Such a read shows
// that the queue is empty only if it began after the pause was detected and
// lasted a whole dataTickInterval: a read whose deadline had passed may not
// have looked at the queue.
func (d *pauseDetector) readTimedOut(now, began time.Time) bool {
	stale := d.packetRead(now)
	if stale && !began.Before(d.detectedAt) && now.Sub(began) >= dataTickInterval {
		d.detectedAt = time.Time{}
		return false
	}
	return stale
}

// elapsed returns the time between two moments by the monotonic clock, which
// stops while the machine is suspended, or by the wall clock, whichever is
// longer. A step of the wall clock looks like a pause, which costs a few
// retransmissions.
func elapsed(a, b time.Time) time.Duration { return max(b.Sub(a), b.Round(0).Sub(a.Round(0))) }
