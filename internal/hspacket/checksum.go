package hspacket

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
)

// sum returns the ones' complement sum of b, started at seed. Over data that
// includes a right checksum it is 0xFFFF.
func sum(b []byte, seed uint64) uint16 {
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

// checkTransport verifies the checksum of a TCP segment or UDP datagram. A
// zero UDP checksum over IPv4 means that the sender computed none.
func checkTransport(p hsflow.Proto, src, dst netip.Addr, data []byte) hscode.Code {
	if p == hsflow.UDP && data[6] == 0 && data[7] == 0 {
		if src.Is4() {
			return hscode.OK
		}
		return hscode.PacketChecksum
	}
	seed := uint64(p) + uint64(len(data)) + addrSum(src) + addrSum(dst)
	if sum(data, seed) != 0xFFFF {
		return hscode.PacketChecksum
	}
	return hscode.OK
}

func addrSum(a netip.Addr) uint64 {
	if a.Is4() {
		b := a.As4()
		return uint64(binary.BigEndian.Uint32(b[:]))
	}
	b := a.As16()
	return uint64(sum(b[:], 0))
}
