// Package hspacket decodes and writes the packets of the data path: IP packets
// of callers and targets inside Geneve (RFC 8926) over UDP.
package hspacket

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// Flags are the flag bits of a TCP header as on the wire.
	Flags uint8

	// Segment holds what the decisions need of a TCP segment or datagram. All
	// fields but Len are zero for UDP.
	Segment struct {
		Flags Flags
		Seq   uint32
		Ack   uint32
		// Payload bytes.
		Len int
	}

	// Packet is one decoded packet. Inner aliases the buffer it was decoded
	// from.
	Packet struct {
		Steer Steer
		Proto hsflow.Proto
		Src   netip.AddrPort
		Dst   netip.AddrPort
		Seg   Segment
		// The whole inner IP packet, never modified on its way.
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

// Opens reports whether the segment is the first of a TCP connection.
func (s Segment) Opens() bool {
	return s.Flags&(SYN|ACK|RST|FIN) == SYN
}

// End returns the sequence number that follows the segment.
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

// Key returns the flow of a packet that came from a caller.
func (p *Packet) Key() hsflow.Key {
	return hsflow.NewKey(p.Proto, p.Src, p.Dst)
}

// ReplyKey returns the flow of a packet that came from a target.
func (p *Packet) ReplyKey() hsflow.Key {
	return hsflow.NewKey(p.Proto, p.Dst, p.Src)
}
