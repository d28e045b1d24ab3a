package main

import (
	"encoding/binary"
	"hash/crc32"

	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/platform"
)

// Offsets of the header fields that the ends of a flow write beside those that
// platform.Format encodes.
const (
	offsetFlags  = 8
	offsetPad    = 9
	offsetSum    = 10
	offsetCookie = 28
	headerSize   = 32
	idSize       = 8
	bounced      = 0x80
	sumKey       = 0x5eed1234
)

// encode returns a packet with its keyed sum.
func encode(p *hscookie.Packet, data []byte) []byte {
	raw := platform.Format{}.AppendPacket(nil, p, data)
	binary.LittleEndian.PutUint32(raw[offsetSum:], keyedSum(raw))
	return raw
}

// keyedSum covers all of a packet except the cookie, the padding, the flag that
// hosts may set, and the sum itself.
func keyedSum(raw []byte) uint32 {
	covered := append([]byte(nil), raw...)
	covered[offsetFlags] &^= bounced
	covered[offsetPad] = 0
	clear(covered[offsetSum : offsetSum+4])
	clear(covered[offsetCookie:headerSize])
	return crc32.ChecksumIEEE(covered) ^ sumKey
}

// isGenuine reports whether the sender of a packet wrote it so.
func isGenuine(raw []byte) bool {
	return len(raw) >= headerSize && binary.LittleEndian.Uint32(raw[offsetSum:]) == keyedSum(raw)
}
