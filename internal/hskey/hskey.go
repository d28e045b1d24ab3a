// Package hskey signs and verifies control messages with a shared key. During a
// key rollover, messages are verified with the new and the old key but signed
// with the new one only.
package hskey

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"heatherstack.org/heatherstack/internal/hscode"
)

// MACSize is the size in bytes of a MAC, which is a truncated HMAC-SHA-256.
const MACSize = 16

const minKeySize = 16

// Ring holds the current key and, during a rollover, the old one. It is not
// safe for concurrent use; each task has its own.
type Ring struct {
	// One per key, never empty. The first one signs; all of them verify.
	hmacs []hash.Hash
	// Buffer for the result of mac.
	buf [sha256.Size]byte
}

// NewRing returns a Ring with the given keys in hexadecimal form. The old key
// may be empty. Errors are of type *hscode.Error with the name of the setting
// as path.
func NewRing(key, old string) (*Ring, error) {
	r := &Ring{}
	if err := r.addKey("key", key); err != nil {
		return nil, err
	}
	if old == "" {
		return r, nil
	}
	if err := r.addKey("oldkey", old); err != nil {
		return nil, err
	}
	return r, nil
}

// AppendMAC appends the MAC of msg to dst.
func (r *Ring) AppendMAC(dst, msg []byte) []byte {
	return append(dst, r.mac(r.hmacs[0], msg)...)
}

// Verify reports whether mac is the MAC of msg under one of the keys.
func (r *Ring) Verify(msg, mac []byte) bool {
	for _, h := range r.hmacs {
		if hmac.Equal(r.mac(h, msg), mac) {
			return true
		}
	}
	return false
}

// Open returns the message in an envelope that Seal returned, and whether its
// MAC is valid.
func (r *Ring) Open(envelope []byte) ([]byte, bool) {
	n := len(envelope) - MACSize
	if n < 0 {
		return nil, false
	}
	return envelope[:n], r.Verify(envelope[:n], envelope[n:])
}

// Seal appends the MAC of msg to msg and returns the result.
func (r *Ring) Seal(msg []byte) []byte {
	return r.AppendMAC(msg, msg)
}

func (r *Ring) addKey(setting, text string) error {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return hscode.New(hscode.SettingValue, setting, "want hexadecimal digits")
	}
	if len(raw) < minKeySize {
		return hscode.New(hscode.SettingRange, setting, "has %d bytes, want at least %d", len(raw), minKeySize)
	}
	r.hmacs = append(r.hmacs, hmac.New(sha256.New, raw))
	return nil
}

// mac returns the MAC of msg under the key of h. The result is valid until the
// next call.
func (r *Ring) mac(h hash.Hash, msg []byte) []byte {
	h.Reset()
	h.Write(msg)
	return h.Sum(r.buf[:0])[:MACSize]
}
