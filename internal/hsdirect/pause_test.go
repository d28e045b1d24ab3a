package hsdirect

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPauseDetector checks that packets count as stale for a limited time after
// a pause, and that short gaps do not count as a pause.
func TestPauseDetector(t *testing.T) {
	var d pauseDetector
	now := epoch
	assert.Assert(t, !d.packetRead(now))
	now = now.Add(pauseThreshold / 2)
	assert.Assert(t, !d.packetRead(now))
	now = now.Add(2 * pauseThreshold)
	assert.Assert(t, d.packetRead(now))
	assert.Assert(t, d.packetRead(now.Add(maxStaleTime)))
	assert.Assert(t, !d.packetRead(now.Add(maxStaleTime+1)))
}

// TestPauseDetectorTimeout checks that a read without a packet ends the stale
// state only if it began after the pause was detected and lasted a whole
// dataTickInterval. A read whose deadline passed during the pause, or was
// moved, did not look at the queue.
func TestPauseDetectorTimeout(t *testing.T) {
	began := epoch
	for _, packetFirst := range []bool{false, true} {
		var d pauseDetector
		d.packetRead(epoch)
		now := epoch.Add(2 * pauseThreshold)
		if packetFirst {
			assert.Assert(t, d.packetRead(now))
		}
		assert.Assert(t, d.readTimedOut(now, began), "the read began before the pause")
		now = now.Add(dataTickInterval / 2)
		assert.Assert(t, d.readTimedOut(now, now.Add(-dataTickInterval/2)), "the read was ended early")
		now = now.Add(dataTickInterval)
		assert.Assert(t, !d.readTimedOut(now, now.Add(-dataTickInterval)))
		assert.Assert(t, !d.packetRead(now))
	}
}
