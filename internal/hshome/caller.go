package hshome

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

const (
	// silentAfter is the time in ms for which caller data must be without a
	// reply before the flow counts as unresponsive.
	silentAfter = 1000
	// aliveWithin is the time in ms within which the target must have sent a
	// packet, so that only the flow and not the whole target is unresponsive.
	aliveWithin = 1000
	// marginShare is the divisor of the margin, 1 + flows/marginShare, by which
	// a target with a different home must have fewer flows to be worth the
	// extra hop.
	marginShare = 64
)

// fromCaller handles a caller's packet at the home of first, the first-choice
// target of its flow.
func (c *Core) fromCaller(x *context, s *hsrank.Service, first uint32, hops uint8) {
	c.atHome(x, s, c.flows.Get(&x.key, x.hash), first, hops)
}

// atHome is fromCaller for a flow that was already looked up; f is nil if the
// table has no entry.
func (c *Core) atHome(x *context, s *hsrank.Service, f *flow, first uint32, hops uint8) {
	if f == nil || f.phase == lent || (x.p.Seg.Opens() && f.reusable()) {
		c.unknown(x, s, first, hops)
		return
	}
	c.onFlow(x, s, f, hops)
}

// reusable reports whether a SYN may replace f by a new connection.
func (f *flow) reusable() bool {
	return f.phase == closed || f.marks&(finCaller|finTarget) != 0
}

// onFlow handles a caller's packet of a flow that has an entry here.
func (c *Core) onFlow(x *context, s *hsrank.Service, f *flow, hops uint8) {
	if f.phase == asking {
		c.hold(x)
		return
	}
	if f.phase == trying {
		c.hold(x)
		c.tryOn(x, f, hops)
		return
	}
	at := c.targets[f.target].at
	if !c.owned(f, at) {
		c.gone(x, s, f)
		return
	}
	if x.p.Proto == hsflow.TCP && c.doubtful(x, f) {
		c.recover(x, s, f)
		return
	}
	f.noteCaller(c.now, x.p.Seg)
	if f.marks&markHeard != 0 && x.p.Seg.Flags.Has(hspacket.ACK) {
		// doubtful has checked the sequence numbers.
		f.marks |= proven
		if f.phase == opening {
			c.setPhase(f, open)
		}
	}
	c.deliver(x, f, hops)
	c.closeByCaller(x, f)
}

func (c *Core) closeByCaller(x *context, f *flow) {
	if x.p.Seg.Flags.Has(hspacket.RST) || f.ended() {
		c.setPhase(f, closed)
	}
}

// gone handles a caller's packet of a flow whose target no longer serves the
// flow's service. The packet must not reach another service, so it is refused.
func (c *Core) gone(x *context, s *hsrank.Service, f *flow) {
	code := hscode.FlowTargetGone
	if s.Moved {
		code = hscode.FlowAddressMoved
	}
	c.refuse(x, code)
	c.setPhase(f, closed)
	f.seen = c.now
}

// doubtful reports whether the caller is probably connected to another target
// than the flow's.
func (c *Core) doubtful(x *context, f *flow) bool {
	seg := x.p.Seg
	switch {
	case seg.Opens() || seg.Flags.Has(hspacket.RST) || c.home(f.target) != c.self():
		return false
	case f.phase == opening && seg.Flags.Has(hspacket.ACK):
		return f.shookElsewhere(seg)
	case f.marks&doubted != 0:
		return true
	case f.phase == open && f.marks&proven == 0 && !f.plausible(seg.Seq, seg.Ack):
		return true
	default:
		return c.silent(f, seg)
	}
}

// shookElsewhere reports whether the caller completed the handshake with another
// target. A target's SYN-ACK passes through its home on the way to the caller.
// If the caller acknowledges a sequence number that does not follow from a
// SYN-ACK seen here, the SYN-ACK came from another target.
func (f *flow) shookElsewhere(seg hspacket.Segment) bool {
	if f.marks&markHeard == 0 {
		return true
	}
	ahead := seg.Ack - (f.isn + 1)
	return ahead > maxAhead
}

// silent reports whether the flow is unresponsive: the caller's data remains
// unanswered although the target is sending packets.
func (c *Core) silent(f *flow, seg hspacket.Segment) bool {
	if f.phase != open || seg.Len == 0 || f.unanswered == 0 {
		return false
	}
	waited := c.now-f.unanswered > silentAfter
	alive := c.now-c.targets[f.target].heard < aliveWithin
	if !waited || !alive {
		return false
	}
	c.Stats.Silent++
	f.unanswered = c.now
	return true
}

// unknown handles a caller's packet of a flow without a usable entry here: it
// opens the flow as new or starts a recovery.
func (c *Core) unknown(x *context, s *hsrank.Service, first uint32, hops uint8) {
	switch {
	case x.p.Proto == hsflow.UDP && !c.mustAsk(x, s, first):
		c.openFlow(x, s, first, hops)
	case x.p.Proto == hsflow.UDP:
		if f := c.put(x, s, first, asking); f != nil {
			c.recover(x, s, f)
		}
	case x.p.Seg.Opens():
		c.openFlow(x, s, first, hops)
	case x.p.Seg.Flags.Has(hspacket.RST):
		c.resetAll(x, s)
	default:
		if f := c.put(x, s, first, asking); f != nil {
			c.recover(x, s, f)
		}
	}
}

// mustAsk reports whether a datagram without a table entry may belong to a flow
// that another host knows, so that other homes have to be queried.
func (c *Core) mustAsk(x *context, s *hsrank.Service, first uint32) bool {
	if !c.sure(first, x.p.Proto) || s.Moved {
		return true
	}
	var room [hsrank.MaxCandidates]int
	cands := c.view.Known(s, x.hash, room[:0])
	var choices [hsrank.MaxCandidates]int
	return len(cands) > len(c.view.Choices(s, x.hash, choices[:0]))
}

// resetAll delivers a caller's RST of an unknown flow to every candidate. Only
// the target that holds the connection accepts its sequence number; the others
// ignore the RST.
func (c *Core) resetAll(x *context, s *hsrank.Service) {
	var room [hsrank.MaxCandidates]int
	if s.Moved {
		return
	}
	for _, t := range c.view.Candidates(s, x.hash, room[:0]) {
		c.emit(ToTarget, c.view.Targets[t].Address).Data = x.data
	}
}

// openFlow places a new flow on the less loaded of its two choices.
func (c *Core) openFlow(x *context, s *hsrank.Service, first uint32, hops uint8) {
	if c.paused {
		c.count(hscode.FlowPaused)
		return
	}
	n, ok := c.choose(x, s, first)
	if !ok {
		c.refuse(x, hscode.FlowFull)
		return
	}
	f := c.put(x, s, n, opening)
	if f == nil {
		return
	}
	c.Stats.Opened++
	if n != first {
		c.Stats.Diverted++
	}
	if c.home(n) != c.self() {
		c.targets[n].reported++
	}
	f.noteCaller(c.now, x.p.Seg)
	c.deliver(x, f, hops)
}

// choose returns the less loaded of a new flow's first two choices, or false if
// that target is full.
func (c *Core) choose(x *context, s *hsrank.Service, first uint32) (uint32, bool) {
	best := first
	var room [hsrank.MaxCandidates]int
	for _, t := range c.view.Choices(s, x.hash, room[:0]) {
		n := c.ofView[t]
		if n == first {
			continue
		}
		if c.emptier(n, first) {
			best = n
		}
		break
	}
	at := c.targets[best].at
	return best, c.fill(best) < c.view.Targets[at].Connections
}

// emptier reports whether a is live and has fewer flows than b in proportion to
// its weight. If a and b have different homes, diverting the flow costs each of
// its packets an extra hop, so a must be less loaded by a margin.
func (c *Core) emptier(a, b uint32) bool {
	ta := &c.view.Targets[c.targets[a].at]
	tb := &c.view.Targets[c.targets[b].at]
	if !tb.Live {
		return ta.Live
	}
	fill := c.fill(a)
	if c.home(a) != c.home(b) {
		fill += 1 + fill/marginShare
	}
	return ta.Live && uint64(fill)*uint64(tb.Weight) < uint64(c.fill(b))*uint64(ta.Weight)
}

// put stores a new entry for the packet's flow to service s, with target n. If
// the table is full, it refuses the packet and returns nil.
func (c *Core) put(x *context, s *hsrank.Service, n uint32, p phase) *flow {
	f := c.flows.Get(&x.key, x.hash)
	if f == nil && c.flows.Len() >= c.cfg.MaxFlows {
		c.refuse(x, hscode.FlowTableFull)
		return nil
	}
	if f != nil {
		c.release(f)
	}
	f = c.flows.Put(&x.key, x.hash)
	*f = newFlow(c.now, x.p.Proto)
	c.join(f, s)
	c.bind(f, n, p)
	return f
}

// deliver sends a caller's packet to the home of the flow's target, or to the
// target itself if it is homed here, has no home, or the hop limit is reached.
func (c *Core) deliver(x *context, f *flow, hops uint8) {
	t := &c.targets[f.target]
	home := c.home(f.target)
	if home < 0 || home == c.self() || hops >= maxHops {
		c.Stats.Delivered++
		c.emit(ToTarget, c.view.Targets[t.at].Address).Data = x.data
		return
	}
	kind := hspacket.KindExact
	if f.phase == trying {
		kind = hspacket.KindTry
	}
	c.forward(home, hspacket.Steer{
		Kind:   kind,
		Hops:   hops + 1,
		Boot:   c.cfg.Boot,
		Target: uint64(t.id),
	}, x.data)
}

// exact handles a caller's packet from a host that has a redirect entry for the
// flow, or that tries the flow on a target homed here.
func (c *Core) exact(p *hspacket.Packet, via netip.Addr) {
	x := c.newContext(p)
	s := c.view.Service(x.key.Place())
	at, ok := c.view.TargetByID(hsmanifest.TargetID(p.Steer.Target))
	f := c.flows.Get(&x.key, x.hash)
	if s == nil || !ok || (!s.Serves(at) && (f == nil || !c.owned(f, at))) {
		c.count(hscode.FlowForeign)
		return
	}
	n := c.ofView[at]
	if f != nil && f.known() && (!p.Seg.Opens() || !f.reusable()) && !c.refuted(f, n, p, via) {
		if f.target != n || p.Steer.Kind == hspacket.KindTry {
			c.correct(x, f, via)
		}
		c.onFlow(x, s, f, p.Steer.Hops)
		return
	}
	if f == nil || f.phase != lent || f.target != n {
		f = c.takeExact(x, s, n, via)
	}
	if f != nil {
		c.onLoan(x, f, via)
	}
}

// onLoan delivers a packet of a flow that another host placed or tries on a
// target homed here. If the flow is unresponsive, it sends that host a denial
// instead.
func (c *Core) onLoan(x *context, f *flow, via netip.Addr) {
	if c.muteOnLoan(f) {
		f.unanswered = 0
		c.answer(via, hspacket.Steer{
			Kind:   hspacket.KindDeny,
			Target: x.p.Steer.Target,
			Query:  &hspacket.Query{Flow: x.key},
		})
		return
	}
	c.noteAudible(f)
	f.noteCaller(c.now, x.p.Seg)
	if x.p.Seg.Flags.Has(hspacket.ACK) && f.marks&markReply == 0 {
		f.reply = x.p.Seg.Ack
		f.marks |= markReply
	}
	c.deliver(x, f, x.p.Steer.Hops)
}

// noteAudible records, before a packet is delivered, whether the flow's target
// has sent a packet within the last tryTimeout. If it has not, the target may be
// unreachable: a missing answer then proves nothing, and data that was delivered
// before does not count as unanswered.
func (c *Core) noteAudible(f *flow) {
	if f.unanswered != 0 && f.marks&audible != 0 {
		return
	}
	f.unanswered = 0
	f.marks &^= audible
	if c.now-c.targets[f.target].heard <= tryTimeout {
		f.marks |= audible
	}
}

// muteOnLoan reports whether a flow that another host tries here is
// unresponsive: it got no answer although its target was sending packets. Only
// the target's home can see this.
func (c *Core) muteOnLoan(f *flow) bool {
	if f.phase != lent || f.marks&audible == 0 || f.unanswered == 0 {
		return false
	}
	heard := c.targets[f.target].heard
	return c.now-f.unanswered >= silentAfter && heard > f.unanswered && c.now-heard <= tryTimeout
}

// refuted reports whether a packet for target n shows that the redirect entry
// held here is wrong: the packet is from the home of the entry's target, or it
// is a trial, whose sender has already queried that home.
func (c *Core) refuted(f *flow, n uint32, p *hspacket.Packet, via netip.Addr) bool {
	home := c.home(f.target)
	if f.target == n || home < 0 || home == c.self() {
		return false
	}
	return p.Steer.Kind == hspacket.KindTry || c.view.Hosts[home].Address == via
}

// takeExact stores a flow that another host has placed or tries on target n. It
// ends a recovery of the flow in progress here, since the other host is at least
// as far with its own.
func (c *Core) takeExact(x *context, s *hsrank.Service, n uint32, via netip.Addr) *flow {
	p := lent
	if x.p.Seg.Opens() || x.p.Proto == hsflow.UDP {
		p = opening
	}
	w := c.waits[x.key]
	f := c.put(x, s, n, p)
	if f == nil {
		return nil
	}
	f.via = c.hostNumber(via)
	if w != nil {
		c.finish(w)
		for i := range w.held {
			f.noteCaller(c.now, w.held[i].Seg)
			c.deliver(&context{p: &w.held[i], data: w.held[i].Inner}, f, 0)
		}
	}
	return f
}

// correct sends a claim with the flow's target to a host whose redirect entry is
// outdated or which is trying the flow.
func (c *Core) correct(x *context, f *flow, via netip.Addr) {
	c.control(via, hspacket.Steer{Kind: hspacket.KindClaim, Target: uint64(c.targets[f.target].id), Query: &hspacket.Query{Flow: x.key}})
}
