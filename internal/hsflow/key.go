// Package hsflow identifies flows and stores what a host holds about them.
package hsflow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

type (
	// Proto is an IP protocol number.
	Proto uint8

	// Key identifies a flow by protocol, caller and service. It is the same
	// for both directions. Layout: caller address 16 bytes, service address 16
	// bytes, caller port 2, service port 2, protocol 1, zero 3. IPv4 addresses
	// are stored in their IPv6-mapped form, so a key never depends on the
	// form that an address was written in.
	Key [KeySize]byte

	// Place is a service's address, port and protocol: the part of a key that
	// is the same for all flows of a service.
	Place [placeSize]byte
)

const (
	// KeySize is the size of a key in bytes.
	KeySize = 40

	placeSize = 19

	// TCP is protocol 6.
	TCP Proto = 6
	// UDP is protocol 17.
	UDP Proto = 17
)

// NewKey returns the key of a flow from caller to service.
func NewKey(p Proto, caller, service netip.AddrPort) Key {
	var k Key
	src := as16(caller.Addr())
	dst := as16(service.Addr())
	copy(k[0:16], src[:])
	copy(k[16:32], dst[:])
	binary.BigEndian.PutUint16(k[32:34], caller.Port())
	binary.BigEndian.PutUint16(k[34:36], service.Port())
	k[36] = byte(p)
	return k
}

// Hash returns a hash of the key that all hosts agree on.
func (k *Key) Hash() uint64 {
	return xxhash.Sum64(k[:])
}

// Proto returns the flow's protocol.
func (k *Key) Proto() Proto {
	return Proto(k[36])
}

// Caller returns the caller's address and port.
func (k *Key) Caller() netip.AddrPort {
	return addrPort(k[0:16], k[32:34])
}

// Service returns the service's address and port.
func (k *Key) Service() netip.AddrPort {
	return addrPort(k[16:32], k[34:36])
}

// Place returns where the flow's service is.
func (k *Key) Place() Place {
	var p Place
	copy(p[0:16], k[16:32])
	copy(p[16:19], k[34:37])
	return p
}

// NewPlace returns the place of a service.
func NewPlace(p Proto, service netip.AddrPort) Place {
	k := NewKey(p, netip.AddrPort{}, service)
	return k.Place()
}

// String returns the flow as "tcp caller > service".
func (k *Key) String() string {
	return fmt.Sprintf("%s %s > %s", k.Proto(), k.Caller(), k.Service())
}

// String returns tcp, udp or the number.
func (p Proto) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	default:
		return fmt.Sprintf("proto-%d", uint8(p))
	}
}

// ParseProto returns the protocol named tcp or udp.
func ParseProto(s string) (Proto, bool) {
	switch s {
	case "tcp":
		return TCP, true
	case "udp":
		return UDP, true
	default:
		return 0, false
	}
}

// as16 is Addr.As16 for an address that may be unset.
func as16(a netip.Addr) [16]byte {
	if !a.IsValid() {
		return [16]byte{}
	}
	return a.As16()
}

func addrPort(addr, port []byte) netip.AddrPort {
	a := netip.AddrFrom16([16]byte(addr)).Unmap()
	return netip.AddrPortFrom(a, binary.BigEndian.Uint16(port))
}
