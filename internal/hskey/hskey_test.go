package hskey

import (
	"testing"

	"gotest.tools/v3/assert"
)

const (
	oldKey = "000102030405060708090a0b0c0d0e0f"
	newKey = "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"
)

// TestRollover checks that a host with both keys accepts messages that are
// signed with the old key, and that hosts with only the new key accept its
// messages. A message that is signed with another key, modified or too short is
// refused.
func TestRollover(t *testing.T) {
	before, err := NewRing(oldKey, "")
	assert.NilError(t, err)
	during, err := NewRing(newKey, oldKey)
	assert.NilError(t, err)
	after, err := NewRing(newKey, "")
	assert.NilError(t, err)

	envelope := before.Seal([]byte("message"))
	msg, ok := during.Open(envelope)
	assert.Assert(t, ok)
	assert.Equal(t, string(msg), "message")
	_, ok = after.Open(envelope)
	assert.Assert(t, !ok)
	_, ok = after.Open(during.Seal([]byte("message")))
	assert.Assert(t, ok)
	envelope[0] ^= 1
	_, ok = before.Open(envelope)
	assert.Assert(t, !ok)
	_, ok = before.Open([]byte("short"))
	assert.Assert(t, !ok)
}
