package hshome

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// target is the state of a core about one target.
type target struct {
	id hsmanifest.TargetID
	// Index into View.Targets, or -1 while the view does not list it.
	at int
	// Flows in the table that count as open on the target.
	flows int
	// Open flows as last reported by the target's home, if that is another
	// host, plus flows placed there since.
	reported int
	// Time at which this host became the target's home, ms.
	homeSince uint32
	// True if this host has been the target's home since the target joined,
	// and so knows all of its flows.
	complete bool
	// Time of the target's last packet, ms.
	heard uint32
}

const (
	// tcpCompleteAfter is the time in ms after which a new home is taken to
	// have seen packets of all TCP flows that are still in use.
	tcpCompleteAfter = 120_000
	// udpCompleteAfter is the same for UDP. Callers no longer wait for the
	// reply to a request that is older.
	udpCompleteAfter = 10_000
)

// setView replaces the view, records which homes have moved, and restarts the
// handover and all recoveries.
func (c *Core) setView(v *hsrank.View) {
	first := c.view == nil
	old := c.view
	c.view = v
	c.gateway = netip.Addr{}
	c.peer = netip.Addr{}
	for i := range c.targets {
		c.targets[i].at = -1
	}
	c.ofView = make([]uint32, len(v.Targets))
	c.mine = c.mine[:0]
	for i := range v.Targets {
		c.bindTarget(i, old, first)
		if v.Targets[i].Home == v.Self {
			c.mine = append(c.mine, c.ofView[i])
		}
	}
	c.bindServices()
	c.handing = true
	c.handoverAt = 0
	c.restartWaits()
}

// hostNumber returns the index into c.hosts of an address, adding it if needed.
func (c *Core) hostNumber(a netip.Addr) uint16 {
	n, ok := c.byHost[a]
	if !ok {
		n = uint16(len(c.hosts))
		c.hosts = append(c.hosts, a)
		c.byHost[a] = n
	}
	return n
}

func (c *Core) bindTarget(at int, old *hsrank.View, first bool) {
	id := c.view.Targets[at].ID
	n, ok := c.byID[id]
	if !ok {
		n = uint32(len(c.targets))
		c.targets = append(c.targets, target{id: id})
		c.byID[id] = n
	}
	t := &c.targets[n]
	t.at = at
	c.ofView[at] = n
	mine := c.view.Targets[at].Home == c.self()
	was := false
	joined := !first
	if old != nil {
		if o, listed := old.TargetByID(id); listed {
			was = old.Targets[o].Home == old.Self
			joined = false
		}
	}
	if mine && !was {
		t.homeSince = c.now
		t.complete = joined
	}
}

// sure reports whether this host knows all flows of target n.
func (c *Core) sure(n uint32, p hsflow.Proto) bool {
	t := &c.targets[n]
	after := uint32(tcpCompleteAfter)
	if p == hsflow.UDP {
		after = udpCompleteAfter
	}
	return t.complete || c.now-t.homeSince > after
}

// home returns the index into View.Hosts of target n's home, or -1.
func (c *Core) home(n uint32) int {
	at := c.targets[n].at
	if at < 0 {
		return -1
	}
	return c.view.Targets[at].Home
}

// loads records the loads that other homes reported.
func (c *Core) loads(loads []Load) {
	for _, l := range loads {
		if n, ok := c.byID[l.Target]; ok {
			c.targets[n].reported = l.Flows
		}
	}
}

// putSample adds the load of one target homed here to a steering option, taking
// the targets in turn. Packets that are forwarded to other hosts anyway thus
// report loads more often the more traffic there is, at a cost of twelve bytes
// each.
func (c *Core) putSample(s *hspacket.Steer) {
	if len(c.mine) == 0 {
		return
	}
	c.sampleAt++
	t := &c.targets[c.mine[c.sampleAt%len(c.mine)]]
	s.LoadTarget = uint64(t.id)
	s.LoadFlows = uint32(t.flows)
}

// takeSample records the load that a steering option carries.
func (c *Core) takeSample(s *hspacket.Steer) {
	if s.LoadTarget == 0 {
		return
	}
	if n, ok := c.byID[hsmanifest.TargetID(s.LoadTarget)]; ok {
		c.targets[n].reported = int(s.LoadFlows)
	}
}

// Loads appends the loads of the targets homed here to dst.
func (c *Core) Loads(dst []Load) []Load {
	for i := range c.view.Targets {
		if c.view.Targets[i].Home != c.self() {
			continue
		}
		t := &c.targets[c.ofView[i]]
		dst = append(dst, Load{Target: t.id, Flows: t.flows})
	}
	return dst
}

// fill returns the number of open flows of target n as far as known here.
func (c *Core) fill(n uint32) int {
	if c.home(n) == c.self() {
		return c.targets[n].flows
	}
	return c.targets[n].reported
}

// bind sets the flow's target and phase and updates the targets' flow counts.
func (c *Core) bind(f *flow, n uint32, p phase) {
	c.release(f)
	f.target = n
	f.phase = p
	if f.counted() {
		c.targets[n].flows++
	}
}

// setPhase sets the flow's phase and updates its target's flow count.
func (c *Core) setPhase(f *flow, p phase) {
	c.bind(f, f.target, p)
}

// release removes the flow from its target's flow count and clears its phase.
func (c *Core) release(f *flow) {
	if f.counted() {
		c.targets[f.target].flows--
	}
	f.phase = 0
}
