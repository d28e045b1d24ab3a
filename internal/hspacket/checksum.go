package hspacket

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
)

// onesSum returns the 16-bit ones' complement sum of b, with seed as initial
// value. The sum of data that includes its correct checksum is 0xFFFF.
func onesSum(b []byte, seed uint64) uint16 {
	total := seed
	var carry uint64
	for ; len(b) >= 8; b = b[8:] {
		total, carry = bits.Add64(total, binary.BigEndian.Uint64(b), carry)
	}
	var tail [8]byte
	copy(tail[:], b)
	total, carry = bits.Add64(total, binary.BigEndian.Uint64(tail[:]), carry)
	total, carry = bits.Add64(total, 0, carry)
	total += carry
	total = total>>32 + total&0xFFFFFFFF
	total = total>>16&0xFFFF + total>>32 + total&0xFFFF
	total = total>>16 + total&0xFFFF
	total = total>>16 + total&0xFFFF
	return uint16(total)
}

// verifyTransportChecksum verifies the checksum of a TCP segment or UDP
// datagram. Over IPv4, a UDP checksum of zero means that the sender computed
// none.
func verifyTransportChecksum(p hsflow.Proto, src, dst netip.Addr, data []byte) hscode.Code {
	if p == hsflow.UDP && data[6] == 0 && data[7] == 0 {
		if src.Is4() {
			return hscode.OK
		}
		return hscode.PacketChecksum
	}
	seed := uint64(p) + uint64(len(data)) + addrOnesSum(src) + addrOnesSum(dst)
	if onesSum(data, seed) != 0xFFFF {
		return hscode.PacketChecksum
	}
	return hscode.OK
}

// addrOnesSum returns an address's contribution to the checksum of the
// pseudo-header.
func addrOnesSum(a netip.Addr) uint64 {
	if a.Is4() {
		b := a.As4()
		return uint64(binary.BigEndian.Uint32(b[:]))
	}
	b := a.As16()
	return uint64(onesSum(b[:], 0))
}
