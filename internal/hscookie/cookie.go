// Package hscookie steers flows whose targets answer callers directly. Every
// packet carries a connection cookie, which both ends repeat: the host that
// forwards a flow's opening packet writes the target's cookie there, and every
// later packet names its target at whatever entry host it arrives. No host
// needs to remember a flow; what it remembers serves to count load.
//
// A Core does no I/O and reads no clock.
package hscookie

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

// Cookie names a target among those of a service. 0 names none.
type Cookie uint32

// NewCookie returns the cookie of a target. All hosts agree on it, and a target
// keeps it as long as it keeps its identity.
func NewCookie(service string, id hsfeed.TargetID) Cookie {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(id))
	h := xxhash.Sum64(raw[:]) ^ xxhash.Sum64String(service)
	return Cookie(max(1, uint32(h^h>>32)))
}
