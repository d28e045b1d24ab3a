// Package hsmanifest holds the declared state of services, targets and entry
// hosts, checks it, and decides which version is in force.
package hsmanifest

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// Class ranks services by how urgent their requests are; lower is more urgent.
	Class uint8

	// State says whether a target or an entry host takes new work.
	State uint8

	// TargetID identifies a target by name and address, so a name that moves
	// to another machine is another target.
	TargetID uint64

	// Manifest is a checked manifest. It is immutable.
	Manifest struct {
		// At least 1.
		Version uint64
		// Digest of the JSON form.
		Digest uint64
		Users  []string
		// Sorted by name, as are Targets and Hosts.
		Services []Service
		Targets  []Target
		Hosts    []Host
		// The JSON form that was parsed.
		Source []byte
	}

	// Service is one address, port and protocol that callers connect to.
	Service struct {
		Name       string
		User       string
		Address    netip.AddrPort
		Proto      hsflow.Proto
		Class      Class
		Idempotent bool
		// Indices into Manifest.Targets, rising, without repeats.
		Targets []int
	}

	// Target is a server that runs services.
	Target struct {
		ID      TargetID
		Name    string
		Address netip.Addr
		Zone    string
		// At least 1.
		Slots int
		// At least 1.
		Connections int
		// At least 1.
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

// String returns the class as it stands in a manifest.
func (c Class) String() string {
	return classNames[c]
}

// String returns the state as it stands in a manifest.
func (s State) String() string {
	return stateNames[s]
}
