// Package hspacket decodes and builds the packets of the data path: IP packets
// of callers and targets, encapsulated in Geneve (RFC 8926) over UDP.
package hspacket

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// Flags are flag bits of a TCP header, at their positions on the wire.
	Flags uint8

	// Segment holds the header fields of a TCP segment that forwarding
	// decisions depend on. For a UDP datagram, all fields but Len are zero.
	Segment struct {
		Flags Flags
		Seq   uint32
		Ack   uint32
		// Size of the payload in bytes.
		Len int
	}

	// Packet is a decoded packet. Inner aliases the buffer from which the
	// packet was decoded.
	Packet struct {
		Steering Steering
		Proto    hsflow.Proto
		Src      netip.AddrPort
		Dst      netip.AddrPort
		Seg      Segment
		// The complete inner IP packet, which entry hosts forward unmodified.
		Inner []byte
	}
)

// Flag bits of a TCP header.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Has reports whether all of the bits in want are set.
func (f Flags) Has(want Flags) bool {
	return f&want == want
}

// Opens reports whether the segment opens a TCP connection: a SYN without ACK.
func (s Segment) Opens() bool {
	return s.Flags&(SYN|ACK|RST|FIN) == SYN
}

// End returns the sequence number that follows the segment, in which SYN and
// FIN count as one byte each.
func (s Segment) End() uint32 {
	end := s.Seq + uint32(s.Len)
	if s.Flags&SYN != 0 {
		end++
	}
	if s.Flags&FIN != 0 {
		end++
	}
	return end
}

// Key returns the flow key of a packet that a caller sent.
func (p *Packet) Key() hsflow.Key {
	return hsflow.NewKey(p.Proto, p.Src, p.Dst)
}

// ReplyKey returns the flow key of a packet that a target sent.
func (p *Packet) ReplyKey() hsflow.Key {
	return hsflow.NewKey(p.Proto, p.Dst, p.Src)
}
