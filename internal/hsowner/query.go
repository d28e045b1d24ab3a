package hsowner

import (
	"net/netip"
	"slices"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// queryOwners sends a query to the current and the previous owner of each
// candidate.
func (c *Core) queryOwners(r *recovery, x *callerPacket) {
	for _, n := range r.candidates {
		t := &c.view.Targets[c.targets[n].viewIndex]
		for _, h := range []int{t.Owner, t.PreviousOwner} {
			if h < 0 || h == c.self() || !c.view.Hosts[h].Alive {
				continue
			}
			addr := c.view.Hosts[h].Address
			if slices.Contains(r.pending, addr) {
				continue
			}
			r.pending = append(r.pending, addr)
			c.sendQuery(addr, r, x.p.Seg)
		}
	}
}

func (c *Core) sendQuery(host netip.Addr, r *recovery, seg hspacket.Segment) {
	c.Stats.Queries++
	c.sendControl(host, hspacket.Steering{
		Kind:  hspacket.KindQuery,
		Query: &hspacket.Query{Flow: r.key, Seq: seg.Seq, Ack: seg.Ack},
	})
}

func (c *Core) sendControl(host netip.Addr, s hspacket.Steering) {
	s.Boot = c.cfg.BootNumber
	c.emit(ControlToHost, host).Steering = s
}

// handleQuery answers a query from a peer with a hit or a miss.
func (c *Core) handleQuery(p *hspacket.Packet, sender netip.Addr) {
	key := p.Steering.Query.Flow
	f := c.flows.Get(&key, key.Hash())
	s := c.view.Service(key.ServiceKey())
	if s != nil && f != nil && c.isHit(f, p) {
		c.Stats.HitsSent++
		c.sendControl(sender, hspacket.Steering{Kind: hspacket.KindHit, Target: uint64(c.targets[f.target].id), Query: &hspacket.Query{Flow: key}})
		return
	}
	answer := hspacket.Steering{Kind: hspacket.KindMiss, Query: &hspacket.Query{Flow: key}}
	if f == nil && s != nil && c.knowsAllFlowsOfCandidates(s, &key) {
		answer.Authoritative = 1
	}
	c.sendControl(sender, answer)
}

// isHit reports whether the table entry f justifies a hit in answer to the
// query p. Only the current or previous owner of the target may answer with a
// hit. A redirect entry only repeats what a peer reported, and the sender
// queries the owner of its target as well.
func (c *Core) isHit(f *flow, p *hspacket.Packet) bool {
	if f.phase != phaseOpen && f.phase != phaseOpening {
		return false
	}
	viewIndex := c.targets[f.target].viewIndex
	if !c.targetServes(f, viewIndex) {
		return false
	}
	t := &c.view.Targets[viewIndex]
	if t.Owner != c.self() && t.PreviousOwner != c.self() {
		return false
	}
	if p.Steering.Query.Flow.Proto() == hsflow.UDP {
		return true
	}
	return f.flags&flagTargetSeen != 0 && f.plausible(p.Steering.Query.Seq, p.Steering.Query.Ack)
}

// knowsAllFlowsOfCandidates reports whether this host knows all flows of those
// candidates of which it is the current or previous owner, so that a missing
// entry proves that none of them holds the flow.
func (c *Core) knowsAllFlowsOfCandidates(s *hsrank.Service, key *hsflow.Key) bool {
	var buf [hsrank.MaxCandidates]int
	for _, t := range c.appendCandidates(s, key, buf[:0]) {
		v := &c.view.Targets[t]
		if v.Owner != c.self() && v.PreviousOwner != c.self() {
			continue
		}
		if !c.knowsAllFlows(c.targetIndex[t], key.Proto()) {
			return false
		}
	}
	return true
}

// handleHit handles a hit: the sender reports the target that holds the flow.
func (c *Core) handleHit(p *hspacket.Packet) {
	key := p.Steering.Query.Flow
	s := c.view.Service(key.ServiceKey())
	viewIndex, ok := c.view.TargetByID(hsmanifest.TargetID(p.Steering.Target))
	f := c.flows.Get(&key, key.Hash())
	if s == nil || !ok || f == nil {
		return
	}
	service := c.serviceForTarget(s, viewIndex)
	if service == nil {
		return
	}
	n := c.targetIndex[viewIndex]
	c.setService(f, service)
	if r := c.recoveries[key]; r != nil {
		underTrial := f.phase == phaseTrying && f.target == n
		c.completeRecovery(r, f, n, !underTrial)
		return
	}
	if f.targetKnown() && f.target != n && c.ownerOf(f.target) != c.self() {
		c.setTarget(f, n, phaseOpen)
	}
}

// handleMiss handles a miss: either the sender does not know the flow, or a
// target that the sender owns rejected or did not answer the flow.
func (c *Core) handleMiss(p *hspacket.Packet, sender netip.Addr) {
	hash := p.Steering.Query.Flow.Hash()
	r := c.recoveries[p.Steering.Query.Flow]
	f := c.flows.Get(&p.Steering.Query.Flow, hash)
	if f == nil {
		return
	}
	byTarget := hsmanifest.TargetID(p.Steering.Target) == c.targets[f.target].id
	if r == nil {
		// The redirect entry is wrong; the next packet starts a recovery.
		if byTarget && c.ownerOf(f.target) != c.self() {
			c.removeFlow(f, &p.Steering.Query.Flow, hash)
		}
		return
	}
	if f.phase == phaseTrying {
		if byTarget {
			c.ruleOutCurrent(r, f)
		}
		return
	}
	i := slices.Index(r.pending, sender)
	if i < 0 {
		return
	}
	r.pending = slices.Delete(r.pending, i, i+1)
	if p.Steering.Authoritative != 0 {
		c.excludeTargetsOf(r, sender)
	}
	if len(r.pending) == 0 {
		c.decideAfterQueries(r)
	}
}

// excludeTargetsOf marks the candidates whose current or previous owner is the
// host at addr as not holding the flow, since that host knows all of their
// flows and answered with a miss.
func (c *Core) excludeTargetsOf(r *recovery, addr netip.Addr) {
	host, ok := c.view.HostAt(addr)
	if !ok {
		return
	}
	for i, n := range r.candidates {
		viewIndex := c.targets[n].viewIndex
		if viewIndex < 0 {
			continue
		}
		if t := &c.view.Targets[viewIndex]; t.Owner == host || t.PreviousOwner == host {
			r.mayHold &^= 1 << i
		}
	}
}

func (c *Core) stepQuerying(r *recovery) {
	if c.now >= r.deadline {
		c.decideAfterQueries(r)
		return
	}
	if r.resent || c.now+queryTimeoutMs < r.deadline+queryResendMs || len(r.buffered) == 0 {
		return
	}
	r.resent = true
	for _, h := range r.pending {
		c.sendQuery(h, r, r.buffered[0].Seg)
	}
}
