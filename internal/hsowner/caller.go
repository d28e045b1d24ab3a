package hsowner

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

const (
	// unresponsiveAfterMs is the time for which caller data must be without a
	// reply before the flow counts as unresponsive.
	unresponsiveAfterMs = 1000
	// targetActiveWithinMs is the time within which the target must have sent a
	// packet. Otherwise the whole target may be unresponsive, not only the
	// flow.
	targetActiveWithinMs = 1000
	// divertMarginDivisor is the divisor d of the margin, 1 + flows/d, by which
	// a target with a different owner must have fewer flows to be worth the
	// extra hop.
	divertMarginDivisor = 64
)

// fromCaller handles a caller's packet as owner of first, the first-choice
// target of its flow.
func (c *Core) fromCaller(x *callerPacket, s *hsrank.Service, first uint32, hops uint8) {
	c.handleAsOwner(x, s, c.flows.Get(&x.key, x.hash), first, hops)
}

// handleAsOwner is fromCaller for a flow that was already looked up; f is nil
// if the table has no entry.
func (c *Core) handleAsOwner(x *callerPacket, s *hsrank.Service, f *flow, first uint32, hops uint8) {
	if f == nil || f.phase == phaseRemoteTrial || (x.p.Seg.Opens() && f.replaceable()) {
		c.handleNoEntry(x, s, first, hops)
		return
	}
	c.handleFlowPacket(x, s, f, hops)
}

// replaceable reports whether a SYN may replace f by a new connection.
func (f *flow) replaceable() bool {
	return f.phase == phaseClosed || f.flags&(flagCallerFIN|flagTargetFIN) != 0
}

// handleFlowPacket handles a caller's packet of a flow that has an entry here.
func (c *Core) handleFlowPacket(x *callerPacket, s *hsrank.Service, f *flow, hops uint8) {
	if f.phase == phaseQuerying {
		c.buffer(x)
		return
	}
	if f.phase == phaseTrying {
		c.buffer(x)
		c.deliverDuringTrial(x, f, hops)
		return
	}
	viewIndex := c.targets[f.target].viewIndex
	if !c.targetServes(f, viewIndex) {
		c.refuseTargetGone(x, s, f)
		return
	}
	if x.p.Proto == hsflow.TCP && c.probablyWrongTarget(x, f) {
		c.startRecovery(x, s, f)
		return
	}
	f.updateFromCaller(c.now, x.p.Seg)
	if f.flags&flagTargetSeen != 0 && x.p.Seg.Flags.Has(hspacket.ACK) {
		// probablyWrongTarget has checked the sequence numbers.
		f.flags |= flagVerified
		if f.phase == phaseOpening {
			c.setPhase(f, phaseOpen)
		}
	}
	c.deliver(x, f, hops)
	c.closeByCaller(x, f)
}

func (c *Core) closeByCaller(x *callerPacket, f *flow) {
	if x.p.Seg.Flags.Has(hspacket.RST) || f.bothFIN() {
		c.setPhase(f, phaseClosed)
	}
}

// refuseTargetGone refuses a caller's packet of a flow whose target no longer
// serves the flow's service, since it must not reach another service.
func (c *Core) refuseTargetGone(x *callerPacket, s *hsrank.Service, f *flow) {
	code := hscode.FlowTargetGone
	if s.AddressReassigned {
		code = hscode.FlowAddressMoved
	}
	c.refuse(x, code)
	c.setPhase(f, phaseClosed)
	f.lastPacket = c.now
}

// probablyWrongTarget reports whether the caller is probably connected to
// another target than the flow's.
func (c *Core) probablyWrongTarget(x *callerPacket, f *flow) bool {
	seg := x.p.Seg
	switch {
	case seg.Opens() || seg.Flags.Has(hspacket.RST) || c.ownerOf(f.target) != c.self():
		return false
	case f.phase == phaseOpening && seg.Flags.Has(hspacket.ACK):
		return f.handshakeElsewhere(seg)
	case f.flags&flagResetWithheld != 0:
		return true
	case f.phase == phaseOpen && f.flags&flagVerified == 0 && !f.plausible(seg.Seq, seg.Ack):
		return true
	default:
		return c.unresponsive(f, seg)
	}
}

// handshakeElsewhere reports whether the caller completed the handshake with
// another target. A target's SYN-ACK passes through the target's owner on the
// way to the caller. If the caller acknowledges a sequence number that does not
// follow from a SYN-ACK seen here, the SYN-ACK came from another target.
func (f *flow) handshakeElsewhere(seg hspacket.Segment) bool {
	if f.flags&flagTargetSeen == 0 {
		return true
	}
	ahead := seg.Ack - (f.targetISN + 1)
	return ahead > maxAckAhead
}

// unresponsive reports whether the caller's data remains unanswered although
// the target is sending packets.
func (c *Core) unresponsive(f *flow, seg hspacket.Segment) bool {
	if f.phase != phaseOpen || seg.Len == 0 || f.unansweredSince == 0 {
		return false
	}
	waited := c.now-f.unansweredSince > unresponsiveAfterMs
	active := c.now-c.targets[f.target].lastPacket < targetActiveWithinMs
	if !waited || !active {
		return false
	}
	c.Stats.Unresponsive++
	f.unansweredSince = c.now
	return true
}

// handleNoEntry handles a caller's packet of a flow without a usable entry
// here: it opens the flow as new or starts a recovery.
func (c *Core) handleNoEntry(x *callerPacket, s *hsrank.Service, first uint32, hops uint8) {
	switch {
	case x.p.Proto == hsflow.UDP && !c.mustQuery(x, s, first):
		c.openFlow(x, s, first, hops)
	case x.p.Proto == hsflow.UDP:
		if f := c.storeFlow(x, s, first, phaseQuerying); f != nil {
			c.startRecovery(x, s, f)
		}
	case x.p.Seg.Opens():
		c.openFlow(x, s, first, hops)
	case x.p.Seg.Flags.Has(hspacket.RST):
		c.resetAllCandidates(x, s)
	default:
		if f := c.storeFlow(x, s, first, phaseQuerying); f != nil {
			c.startRecovery(x, s, f)
		}
	}
}

// mustQuery reports whether a datagram without a table entry may belong to a
// flow that another host knows, so that other owners have to be queried.
func (c *Core) mustQuery(x *callerPacket, s *hsrank.Service, first uint32) bool {
	if !c.knowsAllFlows(first, x.p.Proto) || s.AddressReassigned {
		return true
	}
	var buf [hsrank.MaxCandidates]int
	candidates := c.view.KnownCandidates(s, x.hash, buf[:0])
	var choicesBuf [hsrank.MaxCandidates]int
	return len(candidates) > len(c.view.Choices(s, x.hash, choicesBuf[:0]))
}

// resetAllCandidates delivers a caller's RST of an unknown flow to every
// candidate. Only the target that holds the connection accepts its sequence
// number; the others ignore the RST.
func (c *Core) resetAllCandidates(x *callerPacket, s *hsrank.Service) {
	var buf [hsrank.MaxCandidates]int
	if s.AddressReassigned {
		return
	}
	for _, t := range c.view.Candidates(s, x.hash, buf[:0]) {
		c.emit(ToTarget, c.view.Targets[t].Address).Inner = x.inner
	}
}

// openFlow places a new flow on the less loaded of its two choices.
func (c *Core) openFlow(x *callerPacket, s *hsrank.Service, first uint32, hops uint8) {
	if c.paused {
		c.count(hscode.FlowPaused)
		return
	}
	n, ok := c.chooseTarget(x, s, first)
	if !ok {
		c.refuse(x, hscode.FlowFull)
		return
	}
	f := c.storeFlow(x, s, n, phaseOpening)
	if f == nil {
		return
	}
	c.Stats.Opened++
	if n != first {
		c.Stats.Diverted++
	}
	if c.ownerOf(n) != c.self() {
		c.targets[n].reportedFlows++
	}
	f.updateFromCaller(c.now, x.p.Seg)
	c.deliver(x, f, hops)
}

// chooseTarget returns the less loaded of a new flow's first two choices, or
// false if that target is full.
func (c *Core) chooseTarget(x *callerPacket, s *hsrank.Service, first uint32) (uint32, bool) {
	best := first
	var buf [hsrank.MaxCandidates]int
	for _, t := range c.view.Choices(s, x.hash, buf[:0]) {
		n := c.targetIndex[t]
		if n == first {
			continue
		}
		if c.lessLoaded(n, first) {
			best = n
		}
		break
	}
	viewIndex := c.targets[best].viewIndex
	return best, c.openFlowCount(best) < c.view.Targets[viewIndex].MaxConnections
}

// lessLoaded reports whether a is live and has fewer flows than b in proportion
// to its weight, or is live while b is not. If a and b have different owners,
// diverting the flow costs each of its packets an extra hop, so a must be less
// loaded by a margin.
func (c *Core) lessLoaded(a, b uint32) bool {
	ta := &c.view.Targets[c.targets[a].viewIndex]
	tb := &c.view.Targets[c.targets[b].viewIndex]
	if !tb.Live {
		return ta.Live
	}
	flows := c.openFlowCount(a)
	if c.ownerOf(a) != c.ownerOf(b) {
		flows += 1 + flows/divertMarginDivisor
	}
	return ta.Live && uint64(flows)*uint64(tb.Weight) < uint64(c.openFlowCount(b))*uint64(ta.Weight)
}

// storeFlow stores a new entry for the packet's flow to service s, with target
// n. If the table is full, it refuses the packet and returns nil.
func (c *Core) storeFlow(x *callerPacket, s *hsrank.Service, n uint32, p phase) *flow {
	f := c.flows.Get(&x.key, x.hash)
	if f == nil && c.flows.Len() >= c.cfg.MaxFlows {
		c.refuse(x, hscode.FlowTableFull)
		return nil
	}
	if f != nil {
		c.uncountFlow(f)
	}
	f = c.flows.GetOrCreate(&x.key, x.hash)
	*f = newFlow(c.now, x.p.Proto)
	c.setService(f, s)
	c.setTarget(f, n, p)
	return f
}

// deliver sends a caller's packet to the owner of the flow's target. If this
// host owns the target, no host owns it, or the hop limit is reached, it sends
// the packet to the target itself.
func (c *Core) deliver(x *callerPacket, f *flow, hops uint8) {
	t := &c.targets[f.target]
	owner := c.ownerOf(f.target)
	if owner < 0 || owner == c.self() || hops >= maxHops {
		c.Stats.Delivered++
		c.emit(ToTarget, c.view.Targets[t.viewIndex].Address).Inner = x.inner
		return
	}
	kind := hspacket.KindForwardTracked
	if f.phase == phaseTrying {
		kind = hspacket.KindTrial
	}
	c.forward(owner, hspacket.Steering{
		Kind:   kind,
		Hops:   hops + 1,
		Boot:   c.cfg.BootNumber,
		Target: uint64(t.id),
	}, x.inner)
}

// handleForwardTracked handles a caller's packet from a peer that has a
// redirect entry for the flow, or that tries the flow on a target that this
// host owns.
func (c *Core) handleForwardTracked(p *hspacket.Packet, sender netip.Addr) {
	x := c.newCallerPacket(p)
	s := c.view.Service(x.key.ServiceKey())
	viewIndex, ok := c.view.TargetByID(hsmanifest.TargetID(p.Steering.Target))
	f := c.flows.Get(&x.key, x.hash)
	if s == nil || !ok || (!s.HasTarget(viewIndex) && (f == nil || !c.targetServes(f, viewIndex))) {
		c.count(hscode.FlowForeign)
		return
	}
	n := c.targetIndex[viewIndex]
	if f != nil && f.targetKnown() && (!p.Seg.Opens() || !f.replaceable()) && !c.redirectRefuted(f, n, p, sender) {
		if f.target != n || p.Steering.Kind == hspacket.KindTrial {
			c.sendCorrection(x, f, sender)
		}
		c.handleFlowPacket(x, s, f, p.Steering.Hops)
		return
	}
	if f == nil || f.phase != phaseRemoteTrial || f.target != n {
		f = c.storeForPeer(x, s, n, sender)
	}
	if f != nil {
		c.deliverForPeer(x, f, sender)
	}
}

// deliverForPeer delivers a packet of a flow that a peer placed or tries on a
// target that this host owns. If a flow on trial is unresponsive, it sends the
// peer a miss instead.
func (c *Core) deliverForPeer(x *callerPacket, f *flow, sender netip.Addr) {
	if c.remoteTrialUnresponsive(f) {
		f.unansweredSince = 0
		c.sendTrialResult(sender, hspacket.Steering{
			Kind:   hspacket.KindMiss,
			Target: x.p.Steering.Target,
			Query:  &hspacket.Query{Flow: x.key},
		})
		return
	}
	c.noteTargetActive(f)
	f.updateFromCaller(c.now, x.p.Seg)
	if x.p.Seg.Flags.Has(hspacket.ACK) && f.flags&flagTargetSeq == 0 {
		f.targetNextSeq = x.p.Seg.Ack
		f.flags |= flagTargetSeq
	}
	c.deliver(x, f, x.p.Steering.Hops)
}

// noteTargetActive records, before a packet is delivered, whether the flow's
// target has sent a packet within the last trialTimeoutMs. If it has not, the
// target may be unreachable and a missing answer proves nothing: the next
// packet then restarts the wait for an answer.
func (c *Core) noteTargetActive(f *flow) {
	if f.unansweredSince != 0 && f.flags&flagTargetActive != 0 {
		return
	}
	f.unansweredSince = 0
	f.flags &^= flagTargetActive
	if c.now-c.targets[f.target].lastPacket <= trialTimeoutMs {
		f.flags |= flagTargetActive
	}
}

// remoteTrialUnresponsive reports whether a flow that another host tries here
// is unresponsive: it got no answer although its target was sending packets.
// Only the target's owner can see this.
func (c *Core) remoteTrialUnresponsive(f *flow) bool {
	if f.phase != phaseRemoteTrial || f.flags&flagTargetActive == 0 || f.unansweredSince == 0 {
		return false
	}
	lastPacket := c.targets[f.target].lastPacket
	return c.now-f.unansweredSince >= unresponsiveAfterMs && lastPacket > f.unansweredSince && c.now-lastPacket <= trialTimeoutMs
}

// redirectRefuted reports whether a packet for target n shows that the redirect
// entry held here is wrong: the packet is from the owner of the entry's target,
// or it is a trial, whose sender has already queried that owner.
func (c *Core) redirectRefuted(f *flow, n uint32, p *hspacket.Packet, sender netip.Addr) bool {
	owner := c.ownerOf(f.target)
	if f.target == n || owner < 0 || owner == c.self() {
		return false
	}
	return p.Steering.Kind == hspacket.KindTrial || c.view.Hosts[owner].Address == sender
}

// storeForPeer stores a flow that a peer has placed or tries on target n. If
// this host is recovering the flow, it ends that recovery, since the peer's
// recovery has come at least as far.
func (c *Core) storeForPeer(x *callerPacket, s *hsrank.Service, n uint32, sender netip.Addr) *flow {
	p := phaseRemoteTrial
	if x.p.Seg.Opens() || x.p.Proto == hsflow.UDP {
		p = phaseOpening
	}
	r := c.recoveries[x.key]
	f := c.storeFlow(x, s, n, p)
	if f == nil {
		return nil
	}
	f.trialHost = c.hostIndex(sender)
	if r != nil {
		c.endRecovery(r)
		for i := range r.buffered {
			f.updateFromCaller(c.now, r.buffered[i].Seg)
			c.deliver(&callerPacket{p: &r.buffered[i], inner: r.buffered[i].Inner}, f, 0)
		}
	}
	return f
}

// sendCorrection sends a hit with the flow's target to a peer whose redirect
// entry is outdated or which is trying the flow.
func (c *Core) sendCorrection(x *callerPacket, f *flow, sender netip.Addr) {
	c.sendControl(sender, hspacket.Steering{Kind: hspacket.KindHit, Target: uint64(c.targets[f.target].id), Query: &hspacket.Query{Flow: x.key}})
}
