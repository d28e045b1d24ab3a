package hsmatrix

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsflow"
)

// toldWithin is the time within which the caller of a flow that something
// between home and target has forgotten has to be told.
const toldWithin = 8 * time.Second

// TestForgottenFlow checks that a flow that goes silent for good, while its
// target answers others, is looked for and its caller then told, rather than
// left hanging; and that others are untouched.
func TestForgottenFlow(t *testing.T) {
	s := NewScene(1)
	s.until(func() bool { return s.focus().Answered > 0 })
	key, ok := s.Focus.Flow()
	assert.Assert(t, ok)
	held := s.seen.target
	s.N.Forget = func(target netip.Addr, flow hsflow.Key) bool { return target == held && flow == key }
	told := s.N.RunUntil(toldWithin, func() bool { return s.focus().Broken > 0 })
	assert.Assert(t, told)
	assert.Assert(t, strings.HasPrefix(s.focus().BreakReasons[0], "reset"), s.focus().BreakReasons[0])
	verdict := s.Finish(toldWithin)
	assertNever(t, verdict)
	assert.Equal(t, verdict, "broken 1, lost 1")
}
