// Package hsmatrix connects the real decision cores of entry hosts through a
// simulated network with a simulated clock, and tests that the load balancer
// keeps its guarantees under faults.
package hsmatrix

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hslab"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsowner"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	// Net simulates the network between callers, entry hosts and targets. Time
	// advances only from event to event; equal seeds give equal runs.
	Net struct {
		Now     time.Time
		RNG     *rand.Rand
		Hosts   []*Host
		Servers map[netip.Addr]*hslab.Server
		Clients []*hslab.Client
		Ledger  *hslab.Ledger
		// Entry hosts among which the fabric chooses at random for each packet.
		FabricHosts []*Host
		// Reports whether a partition blocks packets from one address to
		// another.
		Blocked func(from, to netip.Addr) bool
		// Probabilities that a packet is lost or duplicated, and the maximum
		// delay added to the usual one, on all links.
		LossRate      float64
		DuplicateRate float64
		MaxExtraDelay time.Duration
		// Manifest on the platform, and whether the platform is unreachable.
		Published    *hsmanifest.Manifest
		PlatformDown bool
		// Reports whether a device in front of a target drops a flow's packets
		// in both directions; may be nil.
		DropFlow func(target netip.Addr, flow hsflow.Key) bool
		// Called for each IP packet that reaches a target or a caller; for a
		// caller, to is the fabric's address. May be nil.
		OnDelivery func(to netip.Addr, p *hspacket.Packet)
		// Called for every message that arrives, for diagnosis; may be nil.
		// p is nil if the message holds no valid IP packet.
		Trace func(kind string, from, to netip.Addr, steering hspacket.Steering, p *hspacket.Packet)
		// True if all handovers between hosts are lost.
		NoHandover bool
		// Creates a host's core of the data path; nil means hsowner.New.
		NewCore func(cfg hsowner.Config) Decider
		// Packets that the fabric sent to entry hosts, packets that entry hosts
		// sent to one another, and the bytes of the latter with tunnel headers.
		FabricPackets  int
		Forwarded      int
		ForwardedBytes int

		clientByAddr map[netip.Addr]*hslab.Client
		hostByAddr   map[netip.Addr]*Host
		events       eventQueue
		seq          uint64
		dec          hspacket.Decoder
		lastBoot     uint64
	}

	// message is an IP packet in its tunnel, or a control message of a host.
	message struct {
		from     netip.Addr
		to       netip.Addr
		inner    []byte
		steering hspacket.Steering
	}

	event struct {
		at  time.Time
		seq uint64
		run func()
	}

	eventQueue []event
)

const (
	linkDelay            = time.Millisecond
	endpointTickInterval = 5 * time.Millisecond
	platformDelay        = 5 * time.Millisecond
	// udpHeaderBytes is the size of the outer IPv4 and UDP headers.
	udpHeaderBytes = 28
)

var (
	fabricAddr = netip.MustParseAddr("127.0.2.1")
	epoch      = time.Unix(1_000_000, 0)
)

// NewNet returns a network without hosts, targets and callers.
func NewNet(seed uint64) *Net {
	n := &Net{
		Now:          epoch,
		RNG:          rand.New(rand.NewPCG(seed, 7)),
		Servers:      map[netip.Addr]*hslab.Server{},
		Ledger:       hslab.NewLedger(),
		clientByAddr: map[netip.Addr]*hslab.Client{},
		hostByAddr:   map[netip.Addr]*Host{},
		Blocked:      func(_, _ netip.Addr) bool { return false },
	}
	n.After(endpointTickInterval, n.tickEndpoints)
	return n
}

// After runs f after d.
func (n *Net) After(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.events, event{at: n.Now.Add(d), seq: n.seq, run: f})
}

// Run runs the events of the next d and advances the time by d.
func (n *Net) Run(d time.Duration) {
	end := n.Now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		n.step()
	}
	n.Now = end
}

// RunUntil runs events until done returns true, but only those of the next
// limit, and reports whether done returned true.
func (n *Net) RunUntil(limit time.Duration, done func() bool) bool {
	end := n.Now.Add(limit)
	for !done() {
		if len(n.events) == 0 || n.events[0].at.After(end) {
			return false
		}
		n.step()
	}
	return true
}

// step advances the time to the next event and runs it.
func (n *Net) step() {
	e := n.events[0]
	heap.Pop(&n.events)
	n.Now = e.at
	e.run()
}

// AddClient adds a caller that sends its first packet after start or later.
func (n *Net) AddClient(cfg hslab.ClientConfig, start time.Duration) *hslab.Client {
	c := hslab.NewClient(cfg, n.Now.Add(start))
	n.Clients = append(n.Clients, c)
	n.clientByAddr[cfg.Address] = c
	return c
}

// AddServer adds a target.
func (n *Net) AddServer(a netip.Addr, listeners []hslab.Listener, slots int) {
	n.Servers[a] = hslab.NewServer(listeners, slots, n.RNG, n.Ledger)
}

// Publish puts a manifest on the platform. Hosts that read the platform get it
// after platformDelay and their own additional delay.
func (n *Net) Publish(m *hsmanifest.Manifest) {
	n.Published = m
	for _, h := range n.Hosts {
		h.readPlatform()
	}
}

// send sends a message over a link, which may lose, duplicate or delay it.
func (n *Net) send(m message) {
	if n.Blocked(m.from, m.to) || n.RNG.Float64() < n.LossRate {
		return
	}
	copies := 1
	if n.RNG.Float64() < n.DuplicateRate {
		copies = 2
	}
	for range copies {
		delay := linkDelay + time.Duration(n.RNG.Int64N(int64(n.MaxExtraDelay)+int64(linkDelay)/4))
		n.After(delay, func() { n.deliver(m) })
	}
}

func (n *Net) deliver(m message) {
	n.trace(m)
	if h := n.hostByAddr[m.to]; h != nil {
		h.receive(m)
		return
	}
	var p hspacket.Packet
	code := n.dec.DecodeInner(m.inner, &p)
	if m.to == fabricAddr {
		n.deliverToCaller(m, code, &p)
		return
	}
	s := n.Servers[m.to]
	if s == nil || code != hscode.OK || n.dropsFlow(m.to, p.Key()) {
		return
	}
	if n.OnDelivery != nil {
		n.OnDelivery(m.to, &p)
	}
	s.Input(n.Now, &p)
	n.flushServer(m.to, s)
}

func (n *Net) trace(m message) {
	if n.Trace == nil {
		return
	}
	var p hspacket.Packet
	if m.inner == nil || n.dec.DecodeInner(m.inner, &p) != hscode.OK {
		n.Trace("control", m.from, m.to, m.steering, nil)
		return
	}
	n.Trace("packet", m.from, m.to, m.steering, &p)
}

func (n *Net) deliverToCaller(m message, code hscode.Code, p *hspacket.Packet) {
	c := n.clientByAddr[hslab.InnerDst(m.inner)]
	if c == nil {
		return
	}
	if code == hscode.OK {
		if n.OnDelivery != nil {
			n.OnDelivery(fabricAddr, p)
		}
		c.Input(n.Now, p)
	} else {
		c.InputUnreachable(n.Now)
	}
	n.flushClient(c)
}

// tickEndpoints ticks callers and targets in a fixed order, so that equal seeds
// give equal runs.
func (n *Net) tickEndpoints() {
	for _, c := range n.Clients {
		c.Tick(n.Now)
		n.flushClient(c)
	}
	for _, a := range sortedAddrs(n.Servers) {
		n.Servers[a].Tick(n.Now)
		n.flushServer(a, n.Servers[a])
	}
	n.After(endpointTickInterval, n.tickEndpoints)
}

func (n *Net) flushClient(c *hslab.Client) {
	for _, s := range c.TakePackets() {
		n.sendToEntry(fabricAddr, s)
	}
}

func (n *Net) flushServer(a netip.Addr, s *hslab.Server) {
	for _, spec := range s.TakePackets() {
		if !n.dropsFlow(a, hsflow.NewKey(spec.Proto, spec.Dst, spec.Src)) {
			n.sendToEntry(a, spec)
		}
	}
}

func (n *Net) dropsFlow(target netip.Addr, flow hsflow.Key) bool {
	return n.DropFlow != nil && n.DropFlow(target, flow)
}

// sendToEntry sends a packet to a random entry host, as the fabric does.
func (n *Net) sendToEntry(from netip.Addr, s hspacket.Spec) {
	inner, err := hspacket.Build(s)
	if err != nil || len(n.FabricHosts) == 0 {
		return
	}
	n.FabricPackets++
	h := n.FabricHosts[n.RNG.IntN(len(n.FabricHosts))]
	n.send(message{from: from, to: h.Addr, inner: inner})
}

// carryOut carries out the outputs of a host's decision core. An output without
// a packet of its own sends inner, the packet of the core's input.
func (n *Net) carryOut(h *Host, out []hsowner.Output, inner []byte) {
	for i := range out {
		o := &out[i]
		data := o.Inner
		if data == nil {
			data = inner
		}
		m := message{from: h.Addr, to: o.Addr, inner: data}
		switch o.Kind {
		case hsowner.ToTarget:
			n.send(m)
		case hsowner.ToHost, hsowner.ControlToHost:
			n.Forwarded++
			n.ForwardedBytes += len(m.inner) + hspacket.Headroom + udpHeaderBytes
			m.steering = o.Steering
			n.send(m)
		case hsowner.ToCaller:
			m.to = fabricAddr
			n.send(m)
		case hsowner.HandoverToHost:
			n.handOver(h, o)
		}
	}
}

// handOver models the call that hands flows over to another host: either all
// entries arrive or none.
func (n *Net) handOver(h *Host, o *hsowner.Output) {
	entries := append([]hsowner.FlowEntry(nil), o.Entries...)
	to := o.Addr
	n.After(3*linkDelay, func() {
		peer := n.hostByAddr[to]
		if peer == nil || n.NoHandover || n.Blocked(h.Addr, to) || n.Blocked(to, h.Addr) {
			return
		}
		peer.step(&hsowner.Input{Kind: hsowner.InHandover, Entries: entries}, nil)
	})
}

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
