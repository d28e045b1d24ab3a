package hsdirect

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPauseGuard checks that packets count as stale for a limited time after a
// pause, and that short gaps do not count as a pause.
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

// TestPauseGuardEmpty checks that a read without a packet ends the stale state
// only if it began after the pause was detected and lasted a whole dataTick. A
// read whose deadline passed during the pause, or was moved, did not look at
// the queue.
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
