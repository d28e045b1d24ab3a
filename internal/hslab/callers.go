package hslab

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	orderKind uint8

	// order is a command to a caller task.
	order struct {
		kind orderKind
		// Receives the task's report once the command is carried out.
		reply chan<- report
	}

	// report is a caller task's reply to a command.
	report struct {
		// Counts so far, indexed by service number - 1.
		tallies []Tally
		// True if all callers of the task have stopped.
		idle bool
	}

	// callerGroup is a caller task. It runs a part of the callers and owns their
	// tallies.
	callerGroup struct {
		w       *World
		clients map[netip.Addr]*Client
		// The same callers in a fixed order.
		list []*Client
		// Indexed by service number - 1.
		tallies []*Tally
		rng     *rand.Rand
		packets chan []byte
		orders  chan order
	}
)

const (
	orderReport orderKind = iota + 1
	orderRecycle
	orderStop
	orderFinish
)

// IP protocol numbers, and offsets of the destination address in an IP header.
const (
	protoICMP4 = 1
	protoICMP6 = 58
	ip4Dst     = 16
	ip6Dst     = 24
)

// StartCallers starts all callers, each at a random time within spread.
func (w *World) StartCallers(spread time.Duration) {
	plans := w.cfg.Estate.Services
	for i := range groupCount {
		g := &callerGroup{
			w:       w,
			clients: map[netip.Addr]*Client{},
			rng:     rand.New(rand.NewPCG(w.cfg.Seed, uint64(i)+100)),
			packets: make(chan []byte, groupQueue),
			orders:  make(chan order),
		}
		for range plans {
			g.tallies = append(g.tallies, NewTally())
		}
		w.groups = append(w.groups, g)
	}
	n := 0
	now := time.Now()
	for s, plan := range plans {
		for range int(float64(plan.Callers) * w.cfg.Scale) {
			g := w.groups[n%groupCount]
			g.add(s, plan, n, now.Add(time.Duration(g.rng.Int64N(int64(spread)))))
			n++
		}
	}
	w.g.Go(w.runGateway)
	for _, g := range w.groups {
		w.g.Go(g.run)
	}
}

func (g *callerGroup) add(service int, plan ServicePlan, n int, start time.Time) {
	c := NewClient(ClientConfig{
		Script:  plan.Script,
		Address: callerAddr(plan.Script.Service.Addr().Is4(), n),
		RNG:     g.rng,
		Tally:   g.tallies[service],
		NextID:  func() uint64 { return g.w.ids.Add(1) },
	}, start)
	g.clients[c.cfg.Address] = c
	g.list = append(g.list, c)
}

// callerAddr returns the address of caller n.
func callerAddr(v4 bool, n int) netip.Addr {
	if v4 {
		return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
	}
	return netip.AddrFrom16([16]byte{0x20, 0x01, 0x0d, 0xb8, 0xca, 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)})
}

// callerNumber is the inverse of callerAddr.
func callerNumber(a netip.Addr) int {
	b := a.AsSlice()
	b = b[len(b)-3:]
	return int(b[0])<<16 | int(b[1])<<8 | int(b[2])
}

// runGateway receives packets from entry hosts and passes each to the task of
// the caller that it is addressed to. Packets for a task whose queue is full are
// dropped.
func (w *World) runGateway() error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := w.gateway.ReadFromUDPAddrPort(buf)
		if w.ctx.Err() != nil {
			return nil
		}
		// Packets to callers have an eight-byte Geneve header without options.
		const header = 8
		if err != nil || n < header+ip6Dst+16 && n < header+ip4Dst+4 {
			continue
		}
		inner := append([]byte(nil), buf[header:n]...)
		g := w.groups[callerNumber(InnerDst(inner))%groupCount]
		select {
		case g.packets <- inner:
		default:
		}
	}
}

// InnerDst returns the destination address of an IP packet without a tunnel
// header.
func InnerDst(inner []byte) netip.Addr {
	b := inner[ip4Dst : ip4Dst+4]
	if inner[0]>>4 == 6 {
		b = inner[ip6Dst : ip6Dst+16]
	}
	a, _ := netip.AddrFromSlice(b)
	return a
}

func (g *callerGroup) run() error {
	ticker := time.NewTicker(labTick)
	defer ticker.Stop()
	var dec hspacket.Decoder
	for {
		select {
		case inner := <-g.packets:
			g.packet(time.Now(), &dec, inner)
		case now := <-ticker.C:
			for _, c := range g.list {
				c.Tick(now)
				g.flush(c)
			}
		case o := <-g.orders:
			g.order(o)
		case <-g.w.ctx.Done():
			return nil
		}
	}
}

func (g *callerGroup) packet(now time.Time, dec *hspacket.Decoder, inner []byte) {
	c := g.clients[InnerDst(inner)]
	if c == nil {
		return
	}
	var p hspacket.Packet
	if dec.DecodeInner(inner, &p) == hscode.OK {
		c.Input(now, &p)
	} else if isICMP(inner) {
		c.Unreachable(now)
	}
	g.flush(c)
}

func isICMP(inner []byte) bool {
	return inner[0]>>4 == 4 && inner[9] == protoICMP4 || inner[0]>>4 == 6 && inner[6] == protoICMP6
}

func (g *callerGroup) flush(c *Client) {
	for _, s := range c.Take() {
		g.w.toEntry(g.rng, g.w.gateway, s)
	}
}

func (g *callerGroup) order(o order) {
	idle := true
	for _, c := range g.list {
		switch o.kind {
		case orderRecycle:
			c.Recycle()
		case orderStop:
			c.Stop()
		case orderFinish:
			c.Finish()
		case orderReport:
		}
		idle = idle && c.Idle()
	}
	r := report{idle: idle}
	for _, t := range g.tallies {
		r.tallies = append(r.tallies, t.Copy())
	}
	o.reply <- r
}

// tell sends a command to all caller tasks and adds up their reports.
func (w *World) tell(kind orderKind) (tallies []Tally, idle bool) {
	idle = true
	for range w.cfg.Estate.Services {
		tallies = append(tallies, *NewTally())
	}
	for _, g := range w.groups {
		reply := make(chan report, 1)
		select {
		case g.orders <- order{kind: kind, reply: reply}:
		case <-w.ctx.Done():
			return tallies, idle
		}
		r := <-reply
		idle = idle && r.idle
		for i := range tallies {
			tallies[i].Add(&r.tallies[i])
		}
	}
	return tallies, idle
}
