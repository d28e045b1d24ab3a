package hskey

import (
	"testing"

	"gotest.tools/v3/assert"
)

const (
	first  = "000102030405060708090a0b0c0d0e0f"
	second = "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"
)

// TestRollover checks that hosts in the middle of a key's replacement accept
// one another, and a stranger's key is refused.
func TestRollover(t *testing.T) {
	before, err := NewRing(first, "")
	assert.NilError(t, err)
	during, err := NewRing(second, first)
	assert.NilError(t, err)
	after, err := NewRing(second, "")
	assert.NilError(t, err)

	old := before.Seal([]byte("message"))
	msg, ok := during.Open(old)
	assert.Assert(t, ok)
	assert.Equal(t, string(msg), "message")
	_, ok = after.Open(old)
	assert.Assert(t, !ok)
	_, ok = after.Open(during.Seal([]byte("message")))
	assert.Assert(t, ok)
	old[0] ^= 1
	_, ok = before.Open(old)
	assert.Assert(t, !ok)
	_, ok = before.Open([]byte("short"))
	assert.Assert(t, !ok)
}
