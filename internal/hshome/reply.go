package hshome

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// fromTarget takes a packet that target at sent, as the target's home.
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

// mayReply reports whether target at may speak for s's address, to the caller
// of f if that is not nil.
func (c *Core) mayReply(s *hsrank.Service, f *flow, at int) bool {
	return s.Serves(at) || (f != nil && c.owned(f, at)) || (f == nil && c.holder(s, at) != nil)
}

// adopt learns a flow from a reply: the target that sends it holds it. An RST
// says the opposite and is swallowed; the caller's next packet finds out.
func (c *Core) adopt(p *hspacket.Packet, key hsflow.Key, s *hsrank.Service, n uint32) {
	if p.Seg.Flags.Has(hspacket.RST) {
		c.count(hscode.FlowTrialReset)
		return
	}
	if c.flows.Len() < c.cfg.MaxFlows {
		f := c.flows.Put(&key, key.Hash())
		*f = newFlow(c.now, p.Proto)
		c.join(f, s)
		// The caller's ACK decides about a SYN-ACK; see doubtful.
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

// learn updates a flow whose caller's numbers are known only from what the
// target acknowledges.
func (f *flow) learn(now uint32, s hspacket.Segment) {
	f.noteReply(now, s)
	if f.marks&markCaller == 0 && s.Flags.Has(hspacket.ACK) {
		f.caller = s.Ack
		f.marks |= markCaller
	}
}

// replyOnFlow takes a reply of a flow whose target is settled.
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
		// After a SYN-ACK, the caller's ACK decides; see doubtful.
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

// trusted reports whether a target's RST speaks about the caller's connection:
// the connection is proven, or the RST answers the SYN itself. Any other RST
// may only mean that the flow is with another target.
func (c *Core) trusted(f *flow, s hspacket.Segment) bool {
	if f.marks&proven != 0 || f.phase == closed {
		return true
	}
	return f.phase == opening && s.Flags.Has(hspacket.ACK) && s.Ack == f.caller
}

// rebind moves a flow to the target that provably holds it: the segment agrees
// with the connection's sequence numbers in both directions.
func (c *Core) rebind(p *hspacket.Packet, f *flow, n uint32) bool {
	if f.phase != open || p.Seg.Flags.Has(hspacket.RST) || !f.answers(p.Seg) {
		return false
	}
	c.bind(f, n, open)
	f.marks |= proven
	f.marks &^= doubted
	return true
}

// reply sends the input's packet to the caller.
func (c *Core) reply() {
	c.Stats.Replies++
	c.emit(ToCaller, netip.Addr{})
}
