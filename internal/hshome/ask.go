package hshome

import (
	"net/netip"
	"slices"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// ask sends a query to the current and the previous home of each candidate.
func (c *Core) ask(w *wait, x *context) {
	for _, n := range w.cands {
		t := &c.view.Targets[c.targets[n].at]
		for _, h := range []int{t.Home, t.Before} {
			if h < 0 || h == c.self() || !c.view.Hosts[h].Alive {
				continue
			}
			addr := c.view.Hosts[h].Address
			if slices.Contains(w.pending, addr) {
				continue
			}
			w.pending = append(w.pending, addr)
			c.sendAsk(addr, w, x.p.Seg)
		}
	}
}

func (c *Core) sendAsk(host netip.Addr, w *wait, seg hspacket.Segment) {
	c.Stats.Asks++
	c.control(host, hspacket.Steer{
		Kind:  hspacket.KindAsk,
		Query: &hspacket.Query{Flow: w.key, Seq: seg.Seq, Ack: seg.Ack},
	})
}

func (c *Core) control(host netip.Addr, s hspacket.Steer) {
	s.Boot = c.cfg.Boot
	c.emit(Control, host).Steer = s
}

// asked answers a query from another host with a claim or a denial.
func (c *Core) asked(p *hspacket.Packet, via netip.Addr) {
	key := p.Steer.Query.Flow
	f := c.flows.Get(&key, key.Hash())
	s := c.view.Service(key.Place())
	if s != nil && f != nil && c.claims(f, p) {
		c.Stats.Claims++
		c.control(via, hspacket.Steer{Kind: hspacket.KindClaim, Target: uint64(c.targets[f.target].id), Query: &hspacket.Query{Flow: key}})
		return
	}
	answer := hspacket.Steer{Kind: hspacket.KindDeny, Query: &hspacket.Query{Flow: key}}
	if f == nil && s != nil && c.sureOfAll(s, &key) {
		answer.Sure = 1
	}
	c.control(via, answer)
}

// claims reports whether the table entry f justifies a claim in answer to the
// query p. Only the current or previous home of the target may claim the flow.
// A redirect entry is second-hand knowledge, and the sender queries the home of
// its target as well.
func (c *Core) claims(f *flow, p *hspacket.Packet) bool {
	if f.phase != open && f.phase != opening {
		return false
	}
	at := c.targets[f.target].at
	if !c.owned(f, at) {
		return false
	}
	t := &c.view.Targets[at]
	if t.Home != c.self() && t.Before != c.self() {
		return false
	}
	if p.Steer.Query.Flow.Proto() == hsflow.UDP {
		return true
	}
	return f.marks&markHeard != 0 && f.plausible(p.Steer.Query.Seq, p.Steer.Query.Ack)
}

// sureOfAll reports whether this host knows all flows of those candidates that
// are or were homed here, so that a missing entry proves that none of them holds
// the flow.
func (c *Core) sureOfAll(s *hsrank.Service, key *hsflow.Key) bool {
	var room [hsrank.MaxCandidates]int
	for _, t := range c.possible(s, key, room[:0]) {
		v := &c.view.Targets[t]
		if v.Home != c.self() && v.Before != c.self() {
			continue
		}
		if !c.sure(c.ofView[t], key.Proto()) {
			return false
		}
	}
	return true
}

// claimed handles a claim: the sender says that the flow belongs to a target.
func (c *Core) claimed(p *hspacket.Packet) {
	key := p.Steer.Query.Flow
	s := c.view.Service(key.Place())
	at, ok := c.view.TargetByID(hsmanifest.TargetID(p.Steer.Target))
	f := c.flows.Get(&key, key.Hash())
	if s == nil || !ok || f == nil {
		return
	}
	holder := c.holder(s, at)
	if holder == nil {
		return
	}
	n := c.ofView[at]
	c.join(f, holder)
	if w := c.waits[key]; w != nil {
		tried := f.phase == trying && f.target == n
		c.settle(w, f, n, !tried)
		return
	}
	if f.known() && f.target != n && c.home(f.target) != c.self() {
		c.bind(f, n, open)
	}
}

// denied handles a denial: either the sender does not know the flow, or a target
// homed at the sender rejected or did not answer the flow.
func (c *Core) denied(p *hspacket.Packet, via netip.Addr) {
	hash := p.Steer.Query.Flow.Hash()
	w := c.waits[p.Steer.Query.Flow]
	f := c.flows.Get(&p.Steer.Query.Flow, hash)
	if f == nil {
		return
	}
	byTarget := hsmanifest.TargetID(p.Steer.Target) == c.targets[f.target].id
	if w == nil {
		// The redirect entry is wrong; the next packet starts a recovery.
		if byTarget && c.home(f.target) != c.self() {
			c.drop(f, &p.Steer.Query.Flow, hash)
		}
		return
	}
	if f.phase == trying {
		if byTarget {
			c.deniedBy(w, f)
		}
		return
	}
	i := slices.Index(w.pending, via)
	if i < 0 {
		return
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	if p.Steer.Sure != 0 {
		c.exclude(w, via)
	}
	if len(w.pending) == 0 {
		c.decide(w)
	}
}

// exclude marks the candidates that are or were homed at addr as not holding the
// flow, since that host knows all of their flows and denied this one.
func (c *Core) exclude(w *wait, addr netip.Addr) {
	host, ok := c.view.HostAt(addr)
	if !ok {
		return
	}
	for i, n := range w.cands {
		at := c.targets[n].at
		if at < 0 {
			continue
		}
		if t := &c.view.Targets[at]; t.Home == host || t.Before == host {
			w.unsure &^= 1 << i
		}
	}
}

func (c *Core) stepAsking(w *wait) {
	if c.now >= w.deadline {
		c.decide(w)
		return
	}
	if w.resent || c.now+askTimeout < w.deadline+askAgain || len(w.held) == 0 {
		return
	}
	w.resent = true
	for _, h := range w.pending {
		c.sendAsk(h, w, w.held[0].Seg)
	}
}
