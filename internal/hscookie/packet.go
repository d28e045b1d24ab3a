package hscookie

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// Flags are the flags of a packet that matter for steering.
	Flags uint8

	// Packet is the head of a caller's packet.
	Packet struct {
		// Caller and the address that it called.
		From netip.AddrPort
		To   netip.AddrPort
		// Flags that are set.
		Flags  Flags
		Cookie Cookie
		Seq    uint32
		Ack    uint32
		// Copies of the opening packet that the caller sent before; only if
		// Open is set.
		Copies uint32
		// Bytes of data.
		Size int
		// The packet as it arrived. It aliases the receive buffer unless the
		// packet is held.
		Raw []byte
	}
)

// Flags of a packet.
const (
	// Open is set on the packet that opens a flow, and on its copies.
	Open Flags = 1 << iota
	// Ack is set if Packet.Ack counts.
	Ack
	// Fin is set on a packet that ends the caller's data.
	Fin
	// Reset is set on a packet that ends the flow at once.
	Reset
)

// Has reports whether one of the flags in f is set.
func (p *Packet) Has(f Flags) bool { return p.Flags&f != 0 }

// Key returns the key of the packet's flow.
func (p *Packet) Key() hsflow.Key { return hsflow.NewKey(hsflow.TCP, p.From, p.To) }
