package hsmatrix

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsflow"
)

// toldWithin is the time within which the caller of an unresponsive flow has to
// get a reset.
const toldWithin = 8 * time.Second

// TestForgottenFlow checks that the caller of a flow gets a reset, rather than no
// answer at all, once a device in front of the target drops the flow's packets for
// good while the target answers other flows: the home first looks for the flow at
// other targets. Other flows must not break.
func TestForgottenFlow(t *testing.T) {
	s := NewScene(1)
	s.until(func() bool { return s.focus().Answered > 0 })
	key, ok := s.Focus.Flow()
	assert.Assert(t, ok)
	held := s.seen.target
	s.N.Forget = func(target netip.Addr, flow hsflow.Key) bool { return target == held && flow == key }
	told := s.N.RunUntil(toldWithin, func() bool { return s.focus().Broken > 0 })
	assert.Assert(t, told)
	assert.Assert(t, strings.HasPrefix(s.focus().Notes[0], "reset"), s.focus().Notes[0])
	verdict := s.Finish(toldWithin)
	assertNever(t, verdict)
	assert.Equal(t, verdict, "broken 1, lost 1")
}
