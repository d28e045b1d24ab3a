// Package hsmanifest parses and validates the manifest, which declares
// services, targets and entry hosts, and selects the current version among
// those offered.
package hsmanifest

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// Class ranks services by how urgent their requests are; lower is more urgent.
	Class uint8

	// State determines whether a target takes new flows, or whether an entry
	// host can own targets.
	State uint8

	// TargetID identifies a target by name and address: a target with the same
	// name at another address is a different target.
	TargetID uint64

	// Manifest is a valid manifest. It is immutable.
	Manifest struct {
		// At least 1.
		Version uint64
		// Hash of the JSON text.
		Digest uint64
		Users  []string
		// Sorted by name, as are Targets and Hosts.
		Services []Service
		Targets  []Target
		Hosts    []Host
		// The JSON text that was parsed.
		JSON []byte
	}

	// Service is one address, port and protocol that callers connect to.
	Service struct {
		Name       string
		User       string
		Address    netip.AddrPort
		Proto      hsflow.Proto
		Class      Class
		Idempotent bool
		// Indices into Manifest.Targets, ascending, without duplicates.
		Targets []int
	}

	// Target is a server that runs services.
	Target struct {
		ID      TargetID
		Name    string
		Address netip.Addr
		Zone    string
		// Number of requests that the target runs at a time; at least 1.
		Slots int
		// Maximum number of connections; at least 1.
		MaxConnections int
		// Relative share of new flows; at least 1.
		Weight uint32
		State  State
	}

	// Host is an entry host.
	Host struct {
		Name    string
		Address netip.Addr
		Zone    string
		State   State
	}
)

// Classes from the most to the least urgent.
const (
	Urgent Class = iota
	Normal
	Deferrable
)

// States of targets and entry hosts.
const (
	Live State = iota
	Leaving
)

var (
	classNames = []string{"urgent", "normal", "deferrable"}
	stateNames = []string{"live", "leaving"}
)

// NewTargetID returns the identity of the target name at address.
func NewTargetID(name string, address netip.Addr) TargetID {
	return TargetID(xxhash.Sum64String(name + "@" + address.String()))
}

// String returns the name of the class in a manifest.
func (c Class) String() string {
	return classNames[c]
}

// String returns the name of the state in a manifest.
func (s State) String() string {
	return stateNames[s]
}
