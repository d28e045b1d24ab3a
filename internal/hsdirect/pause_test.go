package hsdirect

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPauseGuard checks that packets count as having waited from the end of a
// pause for a bounded time, and that short gaps are no pause.
func TestPauseGuard(t *testing.T) {
	var g pauseGuard
	now := epoch
	assert.Assert(t, !g.packet(now))
	now = now.Add(pauseGap / 2)
	assert.Assert(t, !g.packet(now))
	now = now.Add(2 * pauseGap)
	assert.Assert(t, g.packet(now))
	assert.Assert(t, g.packet(now.Add(waitedMost)))
	assert.Assert(t, !g.packet(now.Add(waitedMost+1)))
}

// TestPauseGuardEmpty checks that a read which found nothing ends the state only
// if it began after the pause was noticed and waited for its whole time: one
// whose time limit passed during the pause, or was moved, did not look.
func TestPauseGuardEmpty(t *testing.T) {
	began := epoch
	for _, packetFirst := range []bool{false, true} {
		var g pauseGuard
		g.packet(epoch)
		now := epoch.Add(2 * pauseGap)
		if packetFirst {
			assert.Assert(t, g.packet(now))
		}
		assert.Assert(t, g.empty(now, began), "the read began before the pause")
		now = now.Add(dataTick / 2)
		assert.Assert(t, g.empty(now, now.Add(-dataTick/2)), "the read was ended early")
		now = now.Add(dataTick)
		assert.Assert(t, !g.empty(now, now.Add(-dataTick)))
		assert.Assert(t, !g.packet(now))
	}
}
