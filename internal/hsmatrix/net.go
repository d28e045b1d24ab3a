// Package hsmatrix joins the real decision cores by a small in-memory queue
// under a test clock, and proves the promises of the product under faults.
package hsmatrix

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hshome"
	"heatherstack.org/heatherstack/internal/hslab"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	// Net is the queue between callers, entry hosts and targets. Time passes
	// only as events are taken from it; equal seeds give equal runs.
	Net struct {
		Now     time.Time
		RNG     *rand.Rand
		Hosts   []*Host
		Servers map[netip.Addr]*hslab.Server
		Clients []*hslab.Client
		Ledger  *hslab.Ledger
		// Entry hosts that the fabric sprays packets over.
		Spray []*Host
		// Reports whether packets from one address to another are lost.
		Cut func(from, to netip.Addr) bool
		// Chances of loss and duplication of each packet, and the longest
		// additional delay, on all links.
		Loss  float64
		Twice float64
		Delay time.Duration
		// Manifest on the platform, and whether it can be read.
		Published    *hsmanifest.Manifest
		PlatformDown bool
		// Reports whether something in front of a target drops a flow's packets
		// in both directions; may be nil.
		Forget func(target netip.Addr, flow hsflow.Key) bool
		// Sees each IP packet that reaches a target or a caller.
		Watch func(to netip.Addr, p *hspacket.Packet)
		// Sees every message that arrives; for diagnosis.
		Trace func(what string, from, to netip.Addr, steer hspacket.Steer, p *hspacket.Packet)
		// Loses all handovers.
		NoHandover bool
		// Makes the data path's core of hosts; nil means hshome.
		Make func(cfg hshome.Config) Decider
		// Packets that the fabric handed to entry hosts, and that these
		// forwarded to one another, with the bytes of the latter.
		Sprayed        int
		Forwarded      int
		ForwardedBytes int

		byCaller map[netip.Addr]*hslab.Client
		byHost   map[netip.Addr]*Host
		events   queue
		seq      uint64
		dec      hspacket.Decoder
		boots    uint64
	}

	// message is what travels between addresses.
	message struct {
		from  netip.Addr
		to    netip.Addr
		inner []byte
		steer hspacket.Steer
	}

	event struct {
		at  time.Time
		seq uint64
		run func()
	}

	queue []event
)

const (
	linkDelay   = time.Millisecond
	standTick   = 5 * time.Millisecond
	platformLag = 5 * time.Millisecond
	// udpHeaders is the size of the outer IPv4 and UDP headers.
	udpHeaders = 28
)

var (
	fabric = netip.MustParseAddr("127.0.2.1")
	epoch  = time.Unix(1_000_000, 0)
)

// NewNet returns an empty net.
func NewNet(seed uint64) *Net {
	n := &Net{
		Now:      epoch,
		RNG:      rand.New(rand.NewPCG(seed, 7)),
		Servers:  map[netip.Addr]*hslab.Server{},
		Ledger:   hslab.NewLedger(),
		byCaller: map[netip.Addr]*hslab.Client{},
		byHost:   map[netip.Addr]*Host{},
		Cut:      func(_, _ netip.Addr) bool { return false },
	}
	n.After(standTick, n.tickStands)
	return n
}

// After runs f after d.
func (n *Net) After(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.events, event{at: n.Now.Add(d), seq: n.seq, run: f})
}

// Run lets time pass.
func (n *Net) Run(d time.Duration) {
	end := n.Now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		n.step()
	}
	n.Now = end
}

// RunUntil lets time pass until done, but for at most limit, and reports
// whether it was done.
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

// step takes the next event.
func (n *Net) step() {
	e := n.events[0]
	heap.Pop(&n.events)
	n.Now = e.at
	e.run()
}

// AddClient adds a caller.
func (n *Net) AddClient(cfg hslab.ClientConfig, start time.Duration) *hslab.Client {
	c := hslab.NewClient(cfg, n.Now.Add(start))
	n.Clients = append(n.Clients, c)
	n.byCaller[cfg.Address] = c
	return c
}

// AddServer adds a target.
func (n *Net) AddServer(a netip.Addr, listens []hslab.Listener, slots int) {
	n.Servers[a] = hslab.NewServer(listens, slots, n.RNG, n.Ledger)
}

// Publish puts a manifest on the platform. Hosts that read it get it after a
// short time and their own lag.
func (n *Net) Publish(m *hsmanifest.Manifest) {
	n.Published = m
	for _, h := range n.Hosts {
		h.readPlatform()
	}
}

// send passes a message through a link.
func (n *Net) send(m message) {
	if n.Cut(m.from, m.to) || n.RNG.Float64() < n.Loss {
		return
	}
	copies := 1
	if n.RNG.Float64() < n.Twice {
		copies = 2
	}
	for range copies {
		delay := linkDelay + time.Duration(n.RNG.Int64N(int64(n.Delay)+int64(linkDelay)/4))
		n.After(delay, func() { n.arrive(m) })
	}
}

func (n *Net) arrive(m message) {
	n.trace(m)
	if h := n.byHost[m.to]; h != nil {
		h.receive(m)
		return
	}
	var p hspacket.Packet
	code := n.dec.DecodeInner(m.inner, &p)
	if m.to == fabric {
		n.toCaller(m, code, &p)
		return
	}
	s := n.Servers[m.to]
	if s == nil || code != hscode.OK || n.forgotten(m.to, p.Key()) {
		return
	}
	if n.Watch != nil {
		n.Watch(m.to, &p)
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
		n.Trace("control", m.from, m.to, m.steer, nil)
		return
	}
	n.Trace("packet", m.from, m.to, m.steer, &p)
}

func (n *Net) toCaller(m message, code hscode.Code, p *hspacket.Packet) {
	c := n.byCaller[hslab.InnerDst(m.inner)]
	if c == nil {
		return
	}
	if code == hscode.OK {
		if n.Watch != nil {
			n.Watch(fabric, p)
		}
		c.Input(n.Now, p)
	} else {
		c.InputUnreachable(n.Now)
	}
	n.flushClient(c)
}

// tickStands lets the stand-ins' time pass, in a fixed order.
func (n *Net) tickStands() {
	for _, c := range n.Clients {
		c.Tick(n.Now)
		n.flushClient(c)
	}
	for _, a := range sortedAddrs(n.Servers) {
		n.Servers[a].Tick(n.Now)
		n.flushServer(a, n.Servers[a])
	}
	n.After(standTick, n.tickStands)
}

func (n *Net) flushClient(c *hslab.Client) {
	for _, s := range c.TakePackets() {
		n.sprayOut(fabric, s)
	}
}

func (n *Net) flushServer(a netip.Addr, s *hslab.Server) {
	for _, spec := range s.TakePackets() {
		if !n.forgotten(a, hsflow.NewKey(spec.Proto, spec.Dst, spec.Src)) {
			n.sprayOut(a, spec)
		}
	}
}

func (n *Net) forgotten(target netip.Addr, flow hsflow.Key) bool {
	return n.Forget != nil && n.Forget(target, flow)
}

// sprayOut hands a packet to any entry host, as the fabric does.
func (n *Net) sprayOut(from netip.Addr, s hspacket.Spec) {
	inner, err := hspacket.Write(s)
	if err != nil || len(n.Spray) == 0 {
		return
	}
	n.Sprayed++
	h := n.Spray[n.RNG.IntN(len(n.Spray))]
	n.send(message{from: from, to: h.Addr, inner: inner})
}

// carryOut does what a host's decision core wants done.
func (n *Net) carryOut(h *Host, out []hshome.Output, inner []byte) {
	for i := range out {
		o := &out[i]
		data := o.Data
		if data == nil {
			data = inner
		}
		m := message{from: h.Addr, to: o.Addr, inner: data}
		switch o.Kind {
		case hshome.ToTarget:
			n.send(m)
		case hshome.ToHost, hshome.Control:
			n.Forwarded++
			n.ForwardedBytes += len(m.inner) + hspacket.Headroom + udpHeaders
			m.steer = o.Steer
			n.send(m)
		case hshome.ToCaller:
			m.to = fabric
			n.send(m)
		case hshome.Handover:
			n.handOver(h, o)
		}
	}
}

// handOver models the call between hosts: it arrives whole or not at all.
func (n *Net) handOver(h *Host, o *hshome.Output) {
	entries := append([]hshome.Entry(nil), o.Entries...)
	to := o.Addr
	n.After(3*linkDelay, func() {
		peer := n.byHost[to]
		if peer == nil || n.NoHandover || n.Cut(h.Addr, to) || n.Cut(to, h.Addr) {
			return
		}
		peer.step(&hshome.Input{Kind: hshome.InEntries, Entries: entries}, nil)
	})
}

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
