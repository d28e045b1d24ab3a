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
		s := Settings{Force: bound, Drain: bound}.filled()
		assert.Assert(t, s.watchWait() < s.Force, "%v", bound)
		assert.Assert(t, s.lapse() < s.Drain, "%v", bound)
		assert.Assert(t, s.lapse() <= lapseMax, "%v", bound)
		assert.Assert(t, s.Life > 0)
	}
	none := Settings{}.filled()
	assert.Equal(t, none.Drain, defaultDrain)
	assert.Equal(t, (&Settings{Drain: time.Millisecond}).lapse(), time.Duration(0))
}
