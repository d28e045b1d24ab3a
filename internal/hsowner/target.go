package hsowner

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// target is the state that a Core keeps about one target.
type target struct {
	id hsmanifest.TargetID
	// Index into View.Targets, or -1 while the view does not list it.
	viewIndex int
	// Flows in the table that count as open on the target.
	openFlows int
	// Open flows as last reported by the target's owner, if that is another
	// host, plus flows that this host has placed on the target since.
	reportedFlows int
	// Time at which this host became the target's owner, ms.
	ownedSince uint32
	// True if this host has been the target's owner since the target joined,
	// and so knows all of its flows.
	ownedSinceJoin bool
	// Time of the target's last packet, ms.
	lastPacket uint32
}

const (
	// tcpCompleteAfterMs is the time after which a new owner is taken to have
	// seen packets of all TCP flows that are still in use.
	tcpCompleteAfterMs = 120_000
	// udpCompleteAfterMs is the same for UDP. Callers no longer wait for the
	// reply to a request that is older.
	udpCompleteAfterMs = 10_000
)

// setView replaces the view, records which targets this host owns now, and
// restarts the handover and all recoveries.
func (c *Core) setView(v *hsrank.View) {
	first := c.view == nil
	old := c.view
	c.view = v
	c.gateway = netip.Addr{}
	c.peer = netip.Addr{}
	for i := range c.targets {
		c.targets[i].viewIndex = -1
	}
	c.targetIndex = make([]uint32, len(v.Targets))
	c.ownedTargets = c.ownedTargets[:0]
	for i := range v.Targets {
		c.indexTarget(i, old, first)
		if v.Targets[i].Owner == v.Self {
			c.ownedTargets = append(c.ownedTargets, c.targetIndex[i])
		}
	}
	c.indexServices()
	c.handoverActive = true
	c.handoverCursor = 0
	c.restartRecoveries()
}

// hostIndex returns the index into c.hosts of an address, adding it if needed.
func (c *Core) hostIndex(a netip.Addr) uint16 {
	n, ok := c.byHost[a]
	if !ok {
		n = uint16(len(c.hosts))
		c.hosts = append(c.hosts, a)
		c.byHost[a] = n
	}
	return n
}

func (c *Core) indexTarget(viewIndex int, old *hsrank.View, first bool) {
	id := c.view.Targets[viewIndex].ID
	n, ok := c.byID[id]
	if !ok {
		n = uint32(len(c.targets))
		c.targets = append(c.targets, target{id: id})
		c.byID[id] = n
	}
	t := &c.targets[n]
	t.viewIndex = viewIndex
	c.targetIndex[viewIndex] = n
	ownedHere := c.view.Targets[viewIndex].Owner == c.self()
	wasOwnedHere := false
	joined := !first
	if old != nil {
		if o, listed := old.TargetByID(id); listed {
			wasOwnedHere = old.Targets[o].Owner == old.Self
			joined = false
		}
	}
	if ownedHere && !wasOwnedHere {
		t.ownedSince = c.now
		t.ownedSinceJoin = joined
	}
}

// knowsAllFlows reports whether this host knows all flows of target n.
func (c *Core) knowsAllFlows(n uint32, p hsflow.Proto) bool {
	t := &c.targets[n]
	after := uint32(tcpCompleteAfterMs)
	if p == hsflow.UDP {
		after = udpCompleteAfterMs
	}
	return t.ownedSinceJoin || c.now-t.ownedSince > after
}

// ownerOf returns the index into View.Hosts of target n's owner, or -1.
func (c *Core) ownerOf(n uint32) int {
	viewIndex := c.targets[n].viewIndex
	if viewIndex < 0 {
		return -1
	}
	return c.view.Targets[viewIndex].Owner
}

// recordLoads records the loads that other owners reported.
func (c *Core) recordLoads(loads []Load) {
	for _, l := range loads {
		if n, ok := c.byID[l.Target]; ok {
			c.targets[n].reportedFlows = l.Flows
		}
	}
}

// attachLoad adds the load of one target that this host owns to a steering
// option, taking the targets in turn. Packets that are forwarded to other hosts
// anyway thus report loads more often the more traffic there is, at a cost of
// twelve bytes each.
func (c *Core) attachLoad(s *hspacket.Steering) {
	if len(c.ownedTargets) == 0 {
		return
	}
	c.loadCursor++
	t := &c.targets[c.ownedTargets[c.loadCursor%len(c.ownedTargets)]]
	s.LoadTarget = uint64(t.id)
	s.LoadFlows = uint32(t.openFlows)
}

// recordLoad records the load that a steering option carries.
func (c *Core) recordLoad(s *hspacket.Steering) {
	if s.LoadTarget == 0 {
		return
	}
	if n, ok := c.byID[hsmanifest.TargetID(s.LoadTarget)]; ok {
		c.targets[n].reportedFlows = int(s.LoadFlows)
	}
}

// Loads appends the loads of the targets that this host owns to dst.
func (c *Core) Loads(dst []Load) []Load {
	for i := range c.view.Targets {
		if c.view.Targets[i].Owner != c.self() {
			continue
		}
		t := &c.targets[c.targetIndex[i]]
		dst = append(dst, Load{Target: t.id, Flows: t.openFlows})
	}
	return dst
}

// openFlowCount returns the number of open flows of target n as far as known
// here.
func (c *Core) openFlowCount(n uint32) int {
	if c.ownerOf(n) == c.self() {
		return c.targets[n].openFlows
	}
	return c.targets[n].reportedFlows
}

// setTarget sets the flow's target and phase and updates the targets' flow
// counts.
func (c *Core) setTarget(f *flow, n uint32, p phase) {
	c.uncountFlow(f)
	f.target = n
	f.phase = p
	if f.countsAsOpen() {
		c.targets[n].openFlows++
	}
}

// setPhase sets the flow's phase and updates its target's flow count.
func (c *Core) setPhase(f *flow, p phase) {
	c.setTarget(f, f.target, p)
}

// uncountFlow removes the flow from its target's flow count and clears its
// phase.
func (c *Core) uncountFlow(f *flow) {
	if f.countsAsOpen() {
		c.targets[f.target].openFlows--
	}
	f.phase = 0
}
