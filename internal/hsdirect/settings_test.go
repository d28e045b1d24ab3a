package hsdirect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBounds checks that the derived times stay below the settings from which
// they are computed, for missing, short and long values.
func TestBounds(t *testing.T) {
	for _, bound := range []time.Duration{0, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, time.Minute} {
		s := Settings{ApplyDeadline: bound, DrainTime: bound}.withDefaults()
		assert.Assert(t, s.watchWait() < s.ApplyDeadline, "%v", bound)
		if s.ApplyDeadline >= defaultApplyDeadline {
			assert.Assert(t, s.watchInterval()+s.watchWait()+applyMargin <= s.ApplyDeadline, "%v", bound)
		}
		assert.Assert(t, s.unlistedGracePeriod() < s.DrainTime, "%v", bound)
		assert.Assert(t, s.unlistedGracePeriod() <= maxUnlistedGracePeriod, "%v", bound)
		assert.Assert(t, s.MaxFlowLifetime > 0)
	}
	none := Settings{}.withDefaults()
	assert.Equal(t, none.DrainTime, defaultDrainTime)
	assert.Equal(t, (&Settings{DrainTime: time.Millisecond}).unlistedGracePeriod(), time.Duration(0))
}
