package hshome

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// fromTarget handles a packet from target at, as the target's home.
func (c *Core) fromTarget(p *hspacket.Packet, at int) {
	key := p.ReplyKey()
	s := c.view.Service(key.Place())
	hash := key.Hash()
	f := c.flows.Get(&key, hash)
	if s == nil || !c.mayReply(s, f, at) {
		c.count(hscode.FlowForeign)
		return
	}
	n := c.ofView[at]
	c.targets[n].heard = c.now
	if f == nil {
		c.adopt(p, key, c.holder(s, at), n)
		return
	}
	switch f.phase {
	case trying, asking:
		c.replyInRecovery(p, key, f, n)
	case lent:
		c.replyOnLoan(p, key, f, n)
	default:
		c.replyOnFlow(p, f, n)
	}
}

// mayReply reports whether target at may send packets from s's address: to the
// caller of f if f is not nil, otherwise to any caller.
func (c *Core) mayReply(s *hsrank.Service, f *flow, at int) bool {
	return s.Serves(at) || (f != nil && c.owned(f, at)) || (f == nil && c.holder(s, at) != nil)
}

// adopt creates the entry of a flow from a reply, which shows that its sender
// holds the flow. An RST shows the opposite and is dropped; the caller's next
// packet starts a recovery.
func (c *Core) adopt(p *hspacket.Packet, key hsflow.Key, s *hsrank.Service, n uint32) {
	if p.Seg.Flags.Has(hspacket.RST) {
		c.count(hscode.FlowTrialReset)
		return
	}
	if c.flows.Len() < c.cfg.MaxFlows {
		f := c.flows.Put(&key, key.Hash())
		*f = newFlow(c.now, p.Proto)
		c.join(f, s)
		// After a SYN-ACK, the caller's ACK shows whether this target holds
		// the flow; see doubtful.
		as := open
		if p.Seg.Flags.Has(hspacket.SYN) {
			as = opening
		}
		c.bind(f, n, as)
		c.Stats.Recovered++
		f.learn(c.now, p.Seg)
	}
	c.reply()
}

// learn updates the flow with a target's segment. If the flow has no sequence
// number of the caller yet, it takes the one that the target acknowledges.
func (f *flow) learn(now uint32, s hspacket.Segment) {
	f.noteReply(now, s)
	if f.marks&markCaller == 0 && s.Flags.Has(hspacket.ACK) {
		f.caller = s.Ack
		f.marks |= markCaller
	}
}

// replyOnFlow handles a target's packet of a flow whose target is known.
func (c *Core) replyOnFlow(p *hspacket.Packet, f *flow, n uint32) {
	if f.target != n && !c.rebind(p, f, n) {
		c.count(hscode.FlowLate)
		return
	}
	if p.Proto == hsflow.TCP && p.Seg.Flags.Has(hspacket.RST) && !c.trusted(f, p.Seg) {
		c.count(hscode.FlowTrialReset)
		f.marks |= doubted
		return
	}
	if f.answers(p.Seg) {
		f.marks |= proven
	}
	if f.phase == opening && !p.Seg.Flags.Has(hspacket.SYN) {
		// After a SYN-ACK, only the caller's ACK opens the flow; see doubtful.
		c.setPhase(f, open)
	}
	if p.Proto == hsflow.UDP {
		c.setPhase(f, open)
	}
	f.noteReply(c.now, p.Seg)
	if p.Seg.Flags.Has(hspacket.RST) || f.ended() {
		c.setPhase(f, closed)
	}
	c.reply()
}

// trusted reports whether a target's RST applies to the caller's connection:
// either the flow is proven or closed, or the RST answers the SYN. Any other RST
// may only mean that another target holds the flow.
func (c *Core) trusted(f *flow, s hspacket.Segment) bool {
	if f.marks&proven != 0 || f.phase == closed {
		return true
	}
	return f.phase == opening && s.Flags.Has(hspacket.ACK) && s.Ack == f.caller
}

// rebind moves an open flow to target n if the segment shows that n holds it:
// its sequence numbers agree with the connection's in both directions.
func (c *Core) rebind(p *hspacket.Packet, f *flow, n uint32) bool {
	if f.phase != open || p.Seg.Flags.Has(hspacket.RST) || !f.answers(p.Seg) {
		return false
	}
	c.bind(f, n, open)
	f.marks |= proven
	f.marks &^= doubted
	return true
}

// reply outputs the input's packet to the caller.
func (c *Core) reply() {
	c.Stats.Replies++
	c.emit(ToCaller, netip.Addr{})
}
