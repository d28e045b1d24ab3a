package hsowner

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// fromTarget handles a packet from a target, as the target's owner.
func (c *Core) fromTarget(p *hspacket.Packet, viewIndex int) {
	key := p.ReplyKey()
	s := c.view.Service(key.ServiceKey())
	hash := key.Hash()
	f := c.flows.Get(&key, hash)
	if s == nil || !c.mayReply(s, f, viewIndex) {
		c.count(hscode.FlowForeign)
		return
	}
	n := c.targetIndex[viewIndex]
	c.targets[n].lastPacket = c.now
	if f == nil {
		c.createFromReply(p, key, c.serviceForTarget(s, viewIndex), n)
		return
	}
	switch f.phase {
	case phaseTrying, phaseQuerying:
		c.handleRecoveryReply(p, key, f, n)
	case phaseRemoteTrial:
		c.handleRemoteTrialReply(p, key, f, n)
	default:
		c.handleFlowReply(p, f, n)
	}
}

// mayReply reports whether a target may send packets from s's address: to the
// caller of f if f is not nil, otherwise to any caller.
func (c *Core) mayReply(s *hsrank.Service, f *flow, viewIndex int) bool {
	return s.HasTarget(viewIndex) || (f != nil && c.targetServes(f, viewIndex)) || (f == nil && c.serviceForTarget(s, viewIndex) != nil)
}

// createFromReply creates the entry of a flow from a reply, which shows that
// its sender holds the flow. An RST shows the opposite and is dropped; the
// caller's next packet starts a recovery.
func (c *Core) createFromReply(p *hspacket.Packet, key hsflow.Key, s *hsrank.Service, n uint32) {
	if p.Seg.Flags.Has(hspacket.RST) {
		c.count(hscode.FlowTrialReset)
		return
	}
	if c.flows.Len() < c.cfg.MaxFlows {
		f := c.flows.GetOrCreate(&key, key.Hash())
		*f = newFlow(c.now, p.Proto)
		c.setService(f, s)
		// After a SYN-ACK, the caller's ACK shows whether this target holds
		// the flow; see probablyWrongTarget.
		initial := phaseOpen
		if p.Seg.Flags.Has(hspacket.SYN) {
			initial = phaseOpening
		}
		c.setTarget(f, n, initial)
		c.Stats.Recovered++
		f.learnFromTarget(c.now, p.Seg)
	}
	c.sendReply()
}

// learnFromTarget updates the flow with a target's segment. If the flow has no
// sequence number of the caller yet, it takes the one that the target
// acknowledges.
func (f *flow) learnFromTarget(now uint32, s hspacket.Segment) {
	f.updateFromTarget(now, s)
	if f.flags&flagCallerSeq == 0 && s.Flags.Has(hspacket.ACK) {
		f.callerNextSeq = s.Ack
		f.flags |= flagCallerSeq
	}
}

// handleFlowReply handles a target's packet of a flow whose target is known.
func (c *Core) handleFlowReply(p *hspacket.Packet, f *flow, n uint32) {
	if f.target != n && !c.switchTarget(p, f, n) {
		c.count(hscode.FlowLate)
		return
	}
	if p.Proto == hsflow.TCP && p.Seg.Flags.Has(hspacket.RST) && !c.resetApplies(f, p.Seg) {
		c.count(hscode.FlowTrialReset)
		f.flags |= flagResetWithheld
		return
	}
	if f.matchesReply(p.Seg) {
		f.flags |= flagVerified
	}
	if f.phase == phaseOpening && !p.Seg.Flags.Has(hspacket.SYN) {
		// After a SYN-ACK, only the caller's ACK opens the flow; see
		// probablyWrongTarget.
		c.setPhase(f, phaseOpen)
	}
	if p.Proto == hsflow.UDP {
		c.setPhase(f, phaseOpen)
	}
	f.updateFromTarget(c.now, p.Seg)
	if p.Seg.Flags.Has(hspacket.RST) || f.bothFIN() {
		c.setPhase(f, phaseClosed)
	}
	c.sendReply()
}

// resetApplies reports whether a target's RST applies to the caller's
// connection: either the flow is verified or closed, or the RST answers the
// SYN. Any other RST may only mean that another target holds the flow.
func (c *Core) resetApplies(f *flow, s hspacket.Segment) bool {
	if f.flags&flagVerified != 0 || f.phase == phaseClosed {
		return true
	}
	return f.phase == phaseOpening && s.Flags.Has(hspacket.ACK) && s.Ack == f.callerNextSeq
}

// switchTarget moves an open flow to target n if the segment shows that n holds
// it: its sequence numbers agree with the connection's in both directions.
func (c *Core) switchTarget(p *hspacket.Packet, f *flow, n uint32) bool {
	if f.phase != phaseOpen || p.Seg.Flags.Has(hspacket.RST) || !f.matchesReply(p.Seg) {
		return false
	}
	c.setTarget(f, n, phaseOpen)
	f.flags |= flagVerified
	f.flags &^= flagResetWithheld
	return true
}

// sendReply outputs the input's packet to the caller.
func (c *Core) sendReply() {
	c.Stats.Replies++
	c.emit(ToCaller, netip.Addr{})
}
