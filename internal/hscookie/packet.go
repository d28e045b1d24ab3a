package hscookie

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// Flags are the flags of a packet that affect how it is handled.
	Flags uint8

	// Packet is the decoded header of a caller's packet.
	Packet struct {
		// Address of the caller, and the address that it connects to.
		From netip.AddrPort
		To   netip.AddrPort
		// Flags that are set.
		Flags  Flags
		Cookie Cookie
		Seq    uint32
		Ack    uint32
		// Number of times that the caller has sent the opening packet before; 0
		// for other packets.
		Retransmits uint32
		// Length of the data in bytes.
		DataSize int
		// Complete packet as received. It aliases the receive buffer unless the
		// packet is held.
		Raw []byte
	}
)

// Flags of a packet.
const (
	// FlagOpen is set on the packet that opens a flow, and on its
	// retransmissions.
	FlagOpen Flags = 1 << iota
	// FlagAck is set if the acknowledgement number of the packet is valid.
	FlagAck
	// FlagFin is set on the packet that marks the end of the caller's data.
	FlagFin
	// FlagReset is set on a packet that aborts the flow.
	FlagReset
)

// HasAny reports whether at least one of the flags in f is set.
func (p *Packet) HasAny(f Flags) bool { return p.Flags&f != 0 }

// Key returns the key of the packet's flow.
func (p *Packet) Key() hsflow.Key { return hsflow.NewKey(hsflow.TCP, p.From, p.To) }
