// Package hskey signs and verifies control messages with a shared key. Two
// keys are accepted while a key is replaced; only the first one signs.
package hskey

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"heatherstack.org/heatherstack/internal/hscode"
)

// MACSize is the size of a MAC in bytes: HMAC-SHA-256, truncated.
const MACSize = 16

const minKeySize = 16

// Ring holds the keys of one task. It is not safe for concurrent use.
type Ring struct {
	// The first one signs, all verify. Never empty.
	macs []hash.Hash
	sum  [sha256.Size]byte
}

// NewRing returns a ring of hexadecimal keys; an empty old key is left out.
// Errors are *hscode.Error with the name of the setting.
func NewRing(key, old string) (*Ring, error) {
	r := &Ring{}
	if err := r.add("key", key); err != nil {
		return nil, err
	}
	if old == "" {
		return r, nil
	}
	if err := r.add("oldkey", old); err != nil {
		return nil, err
	}
	return r, nil
}

// Append appends the MAC of msg to dst.
func (r *Ring) Append(dst, msg []byte) []byte {
	return append(dst, r.mac(r.macs[0], msg)...)
}

// Verify reports whether mac is msg's under one of the keys.
func (r *Ring) Verify(msg, mac []byte) bool {
	for _, h := range r.macs {
		if hmac.Equal(r.mac(h, msg), mac) {
			return true
		}
	}
	return false
}

// Open returns the message inside an envelope that Seal made.
func (r *Ring) Open(envelope []byte) ([]byte, bool) {
	n := len(envelope) - MACSize
	if n < 0 {
		return nil, false
	}
	return envelope[:n], r.Verify(envelope[:n], envelope[n:])
}

// Seal appends msg's MAC to msg.
func (r *Ring) Seal(msg []byte) []byte {
	return r.Append(msg, msg)
}

func (r *Ring) add(setting, text string) error {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return hscode.New(hscode.SettingValue, setting, "want hexadecimal digits")
	}
	if len(raw) < minKeySize {
		return hscode.New(hscode.SettingRange, setting, "has %d bytes, want at least %d", len(raw), minKeySize)
	}
	r.macs = append(r.macs, hmac.New(sha256.New, raw))
	return nil
}

func (r *Ring) mac(h hash.Hash, msg []byte) []byte {
	h.Reset()
	h.Write(msg)
	return h.Sum(r.sum[:0])[:MACSize]
}
