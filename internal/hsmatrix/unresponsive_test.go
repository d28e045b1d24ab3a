package hsmatrix

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsflow"
)

// resetTimeout is the time within which the caller of an unresponsive flow has
// to get a reset.
const resetTimeout = 8 * time.Second

// TestUnresponsiveFlow checks that the caller of a flow gets a reset, rather
// than no answer at all, once a device in front of the target drops the flow's
// packets for good while the target answers other flows: the target's owner
// first looks for the flow at other targets. Other flows must not break.
func TestUnresponsiveFlow(t *testing.T) {
	s := NewScenario(1)
	s.runUntil(func() bool { return s.watchedTally().Answered > 0 })
	key, ok := s.WatchedClient.Flow()
	assert.Assert(t, ok)
	flowTarget := s.progress.target
	s.Net.DropFlow = func(target netip.Addr, flow hsflow.Key) bool { return target == flowTarget && flow == key }
	reset := s.Net.RunUntil(resetTimeout, func() bool { return s.watchedTally().Broken > 0 })
	assert.Assert(t, reset)
	assert.Assert(t, strings.HasPrefix(s.watchedTally().BreakReasons[0], "reset"), s.watchedTally().BreakReasons[0])
	verdict := s.Finish(resetTimeout)
	assertNoForbiddenFailure(t, verdict)
	assert.Equal(t, verdict, "broken 1, lost 1")
}
