// Package hsflow defines the key that identifies a flow, and the hash table in
// which a host stores the state of its flows.
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
	// are stored as IPv4-mapped IPv6 addresses, so both forms of an IPv4
	// address give the same key.
	Key [KeySize]byte

	// ServiceKey identifies a service by address, port and protocol: the part
	// of a key that is the same for all flows of the service.
	ServiceKey [serviceKeySize]byte
)

const (
	// KeySize is the size of a key in bytes.
	KeySize = 40

	serviceKeySize = 19

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

// Hash returns a hash of the key. It is the same on all hosts.
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

// ServiceKey returns the address, port and protocol of the flow's service.
func (k *Key) ServiceKey() ServiceKey {
	var sk ServiceKey
	copy(sk[0:16], k[16:32])
	copy(sk[16:19], k[34:37])
	return sk
}

// NewServiceKey returns the key of the service with a protocol, address and
// port.
func NewServiceKey(p Proto, service netip.AddrPort) ServiceKey {
	k := NewKey(p, netip.AddrPort{}, service)
	return k.ServiceKey()
}

// String returns the flow in the form "tcp caller > service".
func (k *Key) String() string {
	return fmt.Sprintf("%s %s > %s", k.Proto(), k.Caller(), k.Service())
}

// String returns tcp, udp or, for another protocol, proto- and its number.
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

// ParseProto returns the protocol with the name tcp or udp, and false for any
// other name.
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

// as16 returns a.As16(), or zeros for an address that is not set, for which
// As16 would panic.
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
