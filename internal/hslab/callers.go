package hslab

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	commandKind uint8

	// command tells a caller task what to do.
	command struct {
		kind commandKind
		// Receives the task's report once the command is carried out.
		reply chan<- taskReport
	}

	// taskReport is a caller task's reply to a command.
	taskReport struct {
		// Counts so far, indexed by service number - 1.
		tallies []Tally
		// True if all callers of the task have stopped.
		allStopped bool
	}

	// callerGroup is a caller task. It runs a part of the callers and owns
	// their tallies.
	callerGroup struct {
		bed     *Testbed
		clients map[netip.Addr]*Client
		// The same callers in a fixed order.
		list []*Client
		// Indexed by service number - 1.
		tallies  []*Tally
		rng      *rand.Rand
		packets  chan []byte
		commands chan command
	}
)

const (
	commandReport commandKind = iota + 1
	commandReconnect
	commandStop
	commandDropPending
)

// IP protocol numbers, and offsets of the destination address in an IP header.
const (
	protoICMPv4   = 1
	protoICMPv6   = 58
	ipv4DstOffset = 16
	ipv6DstOffset = 24
)

// StartCallers starts all callers, each at a random time within spread.
func (bed *Testbed) StartCallers(spread time.Duration) {
	plans := bed.cfg.Deployment.Services
	for i := range callerGroupCount {
		g := &callerGroup{
			bed:      bed,
			clients:  map[netip.Addr]*Client{},
			rng:      rand.New(rand.NewPCG(bed.cfg.Seed, uint64(i)+100)),
			packets:  make(chan []byte, callerQueueSize),
			commands: make(chan command),
		}
		for range plans {
			g.tallies = append(g.tallies, NewTally())
		}
		bed.callerGroups = append(bed.callerGroups, g)
	}
	n := 0
	now := time.Now()
	for s, plan := range plans {
		for range int(float64(plan.Callers) * bed.cfg.Scale) {
			g := bed.callerGroups[n%callerGroupCount]
			g.add(s, plan, n, now.Add(time.Duration(g.rng.Int64N(int64(spread)))))
			n++
		}
	}
	bed.g.Go(bed.runFabric)
	for _, g := range bed.callerGroups {
		bed.g.Go(g.run)
	}
}

func (g *callerGroup) add(service int, plan ServicePlan, n int, start time.Time) {
	c := NewClient(ClientConfig{
		Workload:      plan.Workload,
		Address:       callerAddr(plan.Workload.ServiceAddr.Addr().Is4(), n),
		RNG:           g.rng,
		Tally:         g.tallies[service],
		NextRequestID: func() uint64 { return g.bed.lastRequestID.Add(1) },
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

// runFabric receives packets from entry hosts and passes each to the task of
// the caller that it is addressed to. Packets for a task whose queue is full
// are dropped.
func (bed *Testbed) runFabric() error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := bed.fabricConn.ReadFromUDPAddrPort(buf)
		if bed.ctx.Err() != nil {
			return nil
		}
		// Packets to callers have an eight-byte Geneve header without options.
		const header = 8
		if err != nil || n < header+ipv6DstOffset+16 && n < header+ipv4DstOffset+4 {
			continue
		}
		inner := append([]byte(nil), buf[header:n]...)
		g := bed.callerGroups[callerNumber(InnerDst(inner))%callerGroupCount]
		select {
		case g.packets <- inner:
		default:
		}
	}
}

// InnerDst returns the destination address of an IP packet without a tunnel
// header.
func InnerDst(inner []byte) netip.Addr {
	b := inner[ipv4DstOffset : ipv4DstOffset+4]
	if inner[0]>>4 == 6 {
		b = inner[ipv6DstOffset : ipv6DstOffset+16]
	}
	a, _ := netip.AddrFromSlice(b)
	return a
}

func (g *callerGroup) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var dec hspacket.Decoder
	for {
		select {
		case inner := <-g.packets:
			g.inputPacket(time.Now(), &dec, inner)
		case now := <-ticker.C:
			for _, c := range g.list {
				c.Tick(now)
				g.flush(c)
			}
		case cmd := <-g.commands:
			g.execute(cmd)
		case <-g.bed.ctx.Done():
			return nil
		}
	}
}

func (g *callerGroup) inputPacket(now time.Time, dec *hspacket.Decoder, inner []byte) {
	c := g.clients[InnerDst(inner)]
	if c == nil {
		return
	}
	var p hspacket.Packet
	if dec.DecodeInner(inner, &p) == hscode.OK {
		c.Input(now, &p)
	} else if isICMP(inner) {
		c.InputUnreachable(now)
	}
	g.flush(c)
}

func isICMP(inner []byte) bool {
	return inner[0]>>4 == 4 && inner[9] == protoICMPv4 || inner[0]>>4 == 6 && inner[6] == protoICMPv6
}

func (g *callerGroup) flush(c *Client) {
	for _, s := range c.TakePackets() {
		g.bed.sendToEntry(g.rng, g.bed.fabricConn, s)
	}
}

func (g *callerGroup) execute(cmd command) {
	allStopped := true
	for _, c := range g.list {
		switch cmd.kind {
		case commandReconnect:
			c.Reconnect()
		case commandStop:
			c.Stop()
		case commandDropPending:
			c.DropPending()
		case commandReport:
		}
		allStopped = allStopped && c.Stopped()
	}
	r := taskReport{allStopped: allStopped}
	for _, t := range g.tallies {
		r.tallies = append(r.tallies, t.Copy())
	}
	cmd.reply <- r
}

// sendCommand sends a command to all caller tasks and adds up their reports.
func (bed *Testbed) sendCommand(kind commandKind) (tallies []Tally, allStopped bool) {
	allStopped = true
	for range bed.cfg.Deployment.Services {
		tallies = append(tallies, *NewTally())
	}
	for _, g := range bed.callerGroups {
		reply := make(chan taskReport, 1)
		select {
		case g.commands <- command{kind: kind, reply: reply}:
		case <-bed.ctx.Done():
			return tallies, allStopped
		}
		r := <-reply
		allStopped = allStopped && r.allStopped
		for i := range tallies {
			tallies[i].Add(&r.tallies[i])
		}
	}
	return tallies, allStopped
}
