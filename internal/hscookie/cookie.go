// Package hscookie forwards packets of flows whose targets answer callers
// directly (direct server return). Every packet carries a connection cookie:
// the host that forwards a flow's opening packet writes the target's cookie
// into it, and target and caller echo the cookie in all later packets. Any
// entry host can therefore forward them without per-flow state; hosts track
// flows in order to measure the load of the targets.
//
// A Core performs no I/O and does not read the clock.
package hscookie

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

// Cookie identifies a target among those of a service. 0 identifies none.
type Cookie uint32

// NewCookie returns the cookie of a target. All hosts compute the same cookie,
// which changes only if the target's identity does.
func NewCookie(service string, id hsfeed.TargetID) Cookie {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(id))
	h := xxhash.Sum64(raw[:]) ^ xxhash.Sum64String(service)
	return Cookie(max(1, uint32(h^h>>32)))
}
