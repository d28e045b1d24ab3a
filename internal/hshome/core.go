// Package hshome is the decision core of the data path. It says where each
// packet goes, as ingress (the host that the fabric chose) and as home (the
// host that sees all packets of its targets).
//
// A Core does no I/O, reads no clock and starts no goroutine: it takes typed
// inputs with the time they happened at and appends typed outputs. What it
// holds is a cache. The authority on a TCP connection is the target that holds
// it; a Core that lost its entries finds them again from replies, from other
// homes, or by trial.
package hshome

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
	// InputKind numbers the inputs of a Core.
	InputKind uint8

	// OutputKind numbers the outputs of a Core.
	OutputKind uint8

	// Input is one event.
	Input struct {
		Kind InputKind
		// For InPacket. The packet's memory is not kept after Step.
		Packet *hspacket.Packet
		// For InPacket: outer source address.
		From netip.Addr
		// For InView.
		View *hsrank.View
		// For InLoads: what homes counted on their targets.
		Loads []Load
		// For InEntries: flows from an old home.
		Entries []Entry
	}

	// Output is one effect for the owner of the sockets to carry out.
	Output struct {
		Kind OutputKind
		// Target, entry host, or unset for ToCaller.
		Addr netip.Addr
		// For ToHost and Control.
		Steer hspacket.Steer
		// The inner packet; nil means that of the input.
		Data []byte
		// For Handover.
		Entries []Entry
	}

	// Load is the fill of one target as its home counts it.
	Load struct {
		Target hsmanifest.TargetID
		// Open flows.
		Flows int
	}

	// Entry is one flow as handed from an old home to a new one.
	Entry struct {
		Flow   hsflow.Key
		Target hsmanifest.TargetID
		// Initial sequence number of the target.
		ISN uint32
		// Next sequence number expected of the caller.
		Caller uint32
		// Next sequence number expected of the target.
		Reply uint32
	}

	// Config holds the settings of a Core.
	Config struct {
		// Boot number of the process, lower 32 bits.
		Boot uint32
		// Flows held at most; at least 1.
		MaxFlows int
		// Idle time after which a TCP flow is forgotten.
		Idle time.Duration
		// Time that all later inputs are measured from.
		Start time.Time
		// First view.
		View *hsrank.View
	}

	// Core is the decision core of one entry host. It is not safe for
	// concurrent use.
	Core struct {
		cfg   Config
		view  *hsrank.View
		flows *hsflow.Table[flow]
		// Flows under recovery, by key. At most maxWaits.
		waits map[hsflow.Key]*wait
		// The same in the order in which they began; may hold finished ones.
		waitList []*wait
		// Targets that flows refer to by index; never shrinks while they do.
		targets []target
		byID    map[hsmanifest.TargetID]uint32
		// Addresses of entry hosts that flows refer to by index; never shrinks.
		hosts  []netip.Addr
		byHost map[netip.Addr]uint16
		// Names of services that flows refer to by index; never shrinks. A flow
		// belongs to its service even if the address is another's by now.
		services  []string
		byService map[string]uint16
		// Index into View.Services for each of services, or -1.
		serviceAt []int
		// Index into targets for each target of the view.
		ofView []uint32
		// Targets homed here, as indices into targets, and the one whose load
		// was sent last.
		mine     []uint32
		sampleAt int
		// True while the process may be acting on an old view.
		paused bool
		// Last outer source that was no target: the fabric's gateway. Most
		// packets come from it, so its check is not repeated.
		gateway netip.Addr
		// Listed host that sent the last steering word, for the same reason.
		peer netip.Addr
		// Context of the input's packet.
		context context
		// Milliseconds since cfg.Start of the input under way.
		now uint32
		out []Output
		// Cursors of the walks in progress.
		sweepAt    int
		handoverAt int
		handing    bool
		batches    map[netip.Addr][]Entry

		// Number of packets dropped, refused or swallowed, by code.
		Counts map[hscode.Code]uint64
		Stats  Stats
	}

	// Stats counts what a Core did.
	Stats struct {
		Opened    uint64
		Diverted  uint64
		Forwarded uint64
		Delivered uint64
		Replies   uint64
		Asks      uint64
		Claims    uint64
		Trials    uint64
		Recovered uint64
		Silent    uint64
		HandedOut uint64
		HandedIn  uint64
		Resets    uint64
	}
)

// Inputs of a Core.
const (
	// InPacket is a packet from a data socket.
	InPacket InputKind = iota + 1
	// InTick lets time pass; due every TickInterval.
	InTick
	// InView brings a new view into force.
	InView
	// InLoads carries loads of targets homed elsewhere.
	InLoads
	// InEntries carries flows of an old home.
	InEntries
	// InPause says that the view may be old.
	InPause
	// InResume says that the view is current.
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
	// Control sends an ask, claim or deny to another entry host.
	Control
	// Handover hands entries to another entry host.
	Handover
)

// TickInterval is the time between ticks.
const TickInterval = 10 * time.Millisecond

// maxHops bounds how often entry hosts forward one packet.
const maxHops = 4

// New returns a core without flows.
func New(cfg Config) *Core {
	c := &Core{
		cfg:       cfg,
		flows:     hsflow.NewTable[flow](),
		waits:     map[hsflow.Key]*wait{},
		byID:      map[hsmanifest.TargetID]uint32{},
		byHost:    map[netip.Addr]uint16{},
		byService: map[string]uint16{},
		batches:   map[netip.Addr][]Entry{},
		Counts:    map[hscode.Code]uint64{},
	}
	c.setView(cfg.View)
	return c
}

// Step takes one input and appends its effects to out.
func (c *Core) Step(now time.Time, in *Input, out []Output) []Output {
	c.now = uint32(now.Sub(c.cfg.Start) / time.Millisecond)
	c.out = out
	switch in.Kind {
	case InPacket:
		c.packet(in.Packet, in.From)
	case InTick:
		c.tick()
	case InView:
		c.setView(in.View)
	case InLoads:
		c.loads(in.Loads)
	case InEntries:
		c.takeEntries(in.Entries)
	case InPause:
		c.paused = true
	case InResume:
		c.paused = false
	}
	out = c.out
	c.out = nil
	return out
}

// Flows returns the number of flows held.
func (c *Core) Flows() int {
	return c.flows.Len()
}

// Quiet reports whether nothing is left to hand over.
func (c *Core) Quiet() bool {
	return !c.handing
}

// count notes an event by its code.
func (c *Core) count(code hscode.Code) {
	c.Counts[code]++
}

// emit appends an output and returns it to be filled in, which spares the
// packet path a copy of the whole struct.
func (c *Core) emit(kind OutputKind, to netip.Addr) *Output {
	c.out = append(c.out, Output{Kind: kind, Addr: to})
	return &c.out[len(c.out)-1]
}

func (c *Core) self() int {
	return c.view.Self
}
