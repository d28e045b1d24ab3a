// Package hsowner is the decision core of the data path. It decides where each
// packet goes, in two roles: as ingress (the entry host that the fabric
// delivered the packet to) and as owner (the entry host that is responsible for
// a target and sees all packets of the target's flows).
//
// A Core does no I/O, reads no clock and starts no goroutine: it takes typed
// inputs with their time stamps and appends typed outputs. Its flow table is a
// cache. The authoritative state of a TCP connection is in the target that
// holds it. A Core that has lost entries restores them in one of three ways:
// from the replies of targets, by querying other owners, or by trial, which
// means delivering packets to one candidate target after the other.
//
// The table of an owner can also hold redirect entries: flows whose
// first-choice target this host owns, but which were placed on, or found at, a
// target with another owner. Packets of such a flow are forwarded to that
// owner.
package hsowner

import (
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

type (
	// InputKind is the type of an Input.
	InputKind uint8

	// OutputKind is the type of an Output.
	OutputKind uint8

	// Input is one event for a Core.
	Input struct {
		Kind InputKind
		// For InPacket. Step does not retain the packet's memory.
		Packet *hspacket.Packet
		// For InPacket: outer source address.
		From netip.Addr
		// For InView.
		View *hsrank.View
		// For InLoads: the loads of targets, as counted by their owners.
		Loads []Load
		// For InHandover: flows handed over by a previous owner.
		Entries []FlowEntry
	}

	// Output is one action that the process must carry out.
	Output struct {
		Kind OutputKind
		// Address of the target or entry host; unset for ToCaller.
		Addr netip.Addr
		// Steering option, for ToHost and ControlToHost.
		Steering hspacket.Steering
		// The inner packet; nil means the inner packet of the input.
		Inner []byte
		// For HandoverToHost.
		Entries []FlowEntry
	}

	// Load is the number of open flows of one target, as counted by its owner.
	Load struct {
		Target hsmanifest.TargetID
		// Open flows.
		Flows int
	}

	// FlowEntry is one flow as a previous owner hands it over to the new one.
	FlowEntry struct {
		Flow   hsflow.Key
		Target hsmanifest.TargetID
		// Initial sequence number of the target.
		TargetISN uint32
		// Next sequence number expected from the caller.
		CallerNextSeq uint32
		// Next sequence number expected from the target.
		TargetNextSeq uint32
	}

	// Config holds the settings of a Core.
	Config struct {
		// Boot number of the process, lower 32 bits.
		BootNumber uint32
		// Maximum number of flows in the table; at least 1.
		MaxFlows int
		// Time after which an open TCP flow is removed.
		IdleTimeout time.Duration
		// Time zero: the Core keeps times in ms since Epoch.
		Epoch time.Time
		// Initial view.
		View *hsrank.View
	}

	// Core is the decision core of one entry host. It is not safe for
	// concurrent use.
	Core struct {
		cfg   Config
		view  *hsrank.View
		flows *hsflow.Table[flow]
		// Recoveries in progress, by flow. At most maxRecoveries.
		recoveries map[hsflow.Key]*recovery
		// The same recoveries in the order in which they began. May contain
		// finished ones until the next tick.
		recoveryList []*recovery
		// Targets that flows refer to by index; never shrinks.
		targets []target
		byID    map[hsmanifest.TargetID]uint32
		// Addresses of entry hosts that flows refer to by index; never shrinks.
		hosts  []netip.Addr
		byHost map[netip.Addr]uint16
		// Names of services that flows refer to by index; never shrinks. A flow
		// stays with its service even after the service's address has moved to
		// another service.
		services  []string
		byService map[string]uint16
		// Index into View.Services for each element of services, or -1 if the
		// view does not list it.
		serviceIndex []int
		// Index into targets for each element of View.Targets.
		targetIndex []uint32
		// Targets that this host owns, as indices into targets, and the
		// round-robin counter that selects the one whose load is sent next.
		ownedTargets []uint32
		loadCursor   int
		// True while the view may be outdated; no new flows are placed then.
		paused bool
		// Last outer source address that was not a target's: the fabric's
		// gateway. Cached to skip the lookup, since most packets come from it.
		gateway netip.Addr
		// Listed host that sent the last steering option, cached for the same
		// reason.
		peer netip.Addr
		// The input's packet, if it is a caller's; reused to avoid allocations.
		callerPacket callerPacket
		// Time of the current input, in ms since cfg.Epoch.
		now uint32
		out []Output
		// Positions of the idle sweep and of the handover in the flow table,
		// whether a handover is in progress, and its entries by address of the
		// new owner.
		sweepCursor     int
		handoverCursor  int
		handoverActive  bool
		handoverBatches map[netip.Addr][]FlowEntry

		// Number of packets dropped, refused or not passed on, by code.
		CodeCounts map[hscode.Code]uint64
		Stats      Stats
	}

	// Stats counts the actions of a Core.
	Stats struct {
		// New flows placed.
		Opened uint64
		// New flows placed on their second choice.
		Diverted uint64
		// Packets sent to other entry hosts.
		Forwarded uint64
		// Callers' packets sent to targets.
		Delivered uint64
		// Targets' packets sent to callers.
		Replies uint64
		// Queries sent.
		Queries uint64
		// Hits sent in answer to queries.
		HitsSent uint64
		// Trials started.
		Trials uint64
		// Flows whose target was found again.
		Recovered uint64
		// Flows found to be unresponsive.
		Unresponsive uint64
		// Entries handed over to new owners.
		HandoverSent uint64
		// Entries accepted from previous owners.
		HandoverReceived uint64
		// RSTs sent to callers.
		ResetsSent uint64
	}
)

// Inputs of a Core.
const (
	// InPacket is a packet from a data socket.
	InPacket InputKind = iota + 1
	// InTick advances time-outs and background work; due every TickInterval.
	InTick
	// InView replaces the view.
	InView
	// InLoads carries the loads of targets that peers own.
	InLoads
	// InHandover carries flows handed over by a previous owner.
	InHandover
	// InPause reports that the view may be outdated.
	InPause
	// InResume reports that the view is current.
	InResume
)

// Outputs of a Core.
const (
	// ToTarget delivers an inner packet to a target.
	ToTarget OutputKind = iota + 1
	// ToHost forwards an inner packet to another entry host.
	ToHost
	// ToCaller sends an inner packet out through the fabric.
	ToCaller
	// ControlToHost sends a query, hit or miss to another entry host.
	ControlToHost
	// HandoverToHost sends flow entries to another entry host, which is the new
	// owner of their targets.
	HandoverToHost
)

// TickInterval is the time between ticks.
const TickInterval = 10 * time.Millisecond

// maxHops limits how often entry hosts forward one packet.
const maxHops = 4

// New returns a Core without flows.
func New(cfg Config) *Core {
	c := &Core{
		cfg:             cfg,
		flows:           hsflow.NewTable[flow](),
		recoveries:      map[hsflow.Key]*recovery{},
		byID:            map[hsmanifest.TargetID]uint32{},
		byHost:          map[netip.Addr]uint16{},
		byService:       map[string]uint16{},
		handoverBatches: map[netip.Addr][]FlowEntry{},
		CodeCounts:      map[hscode.Code]uint64{},
	}
	c.setView(cfg.View)
	return c
}

// Step processes one input and appends the resulting outputs to out.
func (c *Core) Step(now time.Time, in *Input, out []Output) []Output {
	c.now = uint32(now.Sub(c.cfg.Epoch) / time.Millisecond)
	c.out = out
	switch in.Kind {
	case InPacket:
		c.handlePacket(in.Packet, in.From)
	case InTick:
		c.tick()
	case InView:
		c.setView(in.View)
	case InLoads:
		c.recordLoads(in.Loads)
	case InHandover:
		c.storeEntries(in.Entries)
	case InPause:
		c.paused = true
	case InResume:
		c.paused = false
	}
	out = c.out
	c.out = nil
	return out
}

// Flows returns the number of flows in the table.
func (c *Core) Flows() int {
	return c.flows.Len()
}

// HandoverDone reports whether the handover after the last change of view is
// done.
func (c *Core) HandoverDone() bool {
	return !c.handoverActive
}

// count increments the counter of a code.
func (c *Core) count(code hscode.Code) {
	c.CodeCounts[code]++
}

// emit appends an output and returns a pointer for the caller to fill in, which
// saves a copy of the struct for each packet.
func (c *Core) emit(kind OutputKind, to netip.Addr) *Output {
	c.out = append(c.out, Output{Kind: kind, Addr: to})
	return &c.out[len(c.out)-1]
}

func (c *Core) self() int {
	return c.view.Self
}
