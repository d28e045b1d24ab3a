package hshome

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

// orderTrials puts the candidates that no home vouched for first.
func (c *Core) orderTrials(w *wait) {
	ordered := make([]uint32, 0, len(w.cands))
	for _, unsure := range []bool{true, false} {
		for i, n := range w.cands {
			if (w.unsure&(1<<i) != 0) == unsure {
				ordered = append(ordered, n)
			}
		}
	}
	w.cands = ordered
}

// try delivers the held packets to candidate i.
func (c *Core) try(w *wait, f *flow, i int) {
	c.Stats.Trials++
	w.at = i
	w.deadline = c.now + tryTimeout
	c.bind(f, w.cands[i], trying)
	w.audible = c.now-c.targets[f.target].heard <= tryTimeout
	if c.targets[f.target].at < 0 {
		w.deadline = c.now
		return
	}
	for j := range w.held {
		c.deliver(&context{p: &w.held[j], data: w.held[j].Inner}, f, 0)
	}
}

// tryOn delivers a further packet to the candidate under trial.
func (c *Core) tryOn(x *context, f *flow, hops uint8) {
	if c.targets[f.target].at >= 0 {
		c.deliver(x, f, hops)
	}
}

// deniedBy goes on after the candidate under trial denied the flow.
func (c *Core) deniedBy(w *wait, f *flow) {
	w.denied |= 1 << w.at
	c.next(w, f)
}

// next tries the next candidate that has not denied the flow.
func (c *Core) next(w *wait, f *flow) {
	for range w.cands {
		w.at++
		if w.at == len(w.cands) {
			w.at = 0
		}
		if w.denied&(1<<w.at) == 0 {
			break
		}
	}
	all := uint16(1)<<len(w.cands) - 1
	switch {
	case w.denied == all:
		c.giveUp(w, hscode.FlowDenied)
	case c.now-w.tried < trialTime:
		c.try(w, f, w.at)
	case w.denied|w.mute == all:
		c.giveUp(w, hscode.FlowDenied)
	default:
		c.abandon(w, f)
	}
}

// noteMute notes that the candidate under trial did not answer, if it sent
// something to others shortly before and meanwhile: then the flow is lost and
// not the way to the target.
func (c *Core) noteMute(w *wait, f *flow) {
	began := w.deadline - tryTimeout
	if c.home(f.target) == c.self() && w.audible && c.targets[f.target].heard > began {
		w.mute |= 1 << w.at
	}
}

// replyInRecovery takes a target's packet of a flow under recovery here.
func (c *Core) replyInRecovery(p *hspacket.Packet, key hsflow.Key, f *flow, n uint32) {
	w := c.waits[key]
	if w == nil {
		return
	}
	current := f.phase == trying && f.target == n
	holds := !p.Seg.Flags.Has(hspacket.RST) && (p.Proto == hsflow.UDP || f.answers(p.Seg))
	switch {
	case holds:
		c.settle(w, f, n, !current)
		f.marks |= proven
		f.learn(c.now, p.Seg)
		c.reply()
	case current:
		// An RST, or the answer of an older connection of the same addresses.
		c.count(hscode.FlowTrialReset)
		c.deniedBy(w, f)
	default:
		c.count(hscode.FlowLate)
	}
}

// replyOnLoan takes a target's packet of a flow that another host tries here.
func (c *Core) replyOnLoan(p *hspacket.Packet, key hsflow.Key, f *flow, n uint32) {
	via := c.hosts[f.via]
	if f.target != n {
		c.count(hscode.FlowLate)
		return
	}
	answer := hspacket.Steer{Kind: hspacket.KindDeny, Target: uint64(c.targets[n].id), Query: &hspacket.Query{Flow: key}}
	if p.Seg.Flags.Has(hspacket.RST) || !f.answers(p.Seg) {
		c.count(hscode.FlowTrialReset)
		c.drop(f, &key, key.Hash())
		c.answer(via, answer)
		return
	}
	c.setPhase(f, open)
	f.marks |= proven
	f.learn(c.now, p.Seg)
	answer.Kind = hspacket.KindClaim
	c.answer(via, answer)
	c.reply()
}

// answer tells the host that tries a flow here how the target answered.
func (c *Core) answer(via netip.Addr, s hspacket.Steer) {
	if _, listed := c.view.HostAt(via); listed {
		c.control(via, s)
	}
}

func (c *Core) stepTrying(w *wait, f *flow) {
	if c.now < w.deadline {
		return
	}
	if c.targets[f.target].at < 0 {
		c.deniedBy(w, f)
		return
	}
	if answerable(w) {
		c.noteMute(w, f)
		c.next(w, f)
		return
	}
	if c.now-w.deadline >= quietTimeout {
		c.settle(w, f, f.target, false)
	}
}

// answerable reports whether a target that holds the flow must answer what was
// delivered: bare acknowledgements need no answer.
func answerable(w *wait) bool {
	for i := range w.held {
		if w.held[i].Seg.Len > 0 || w.held[i].Seg.Flags.Has(hspacket.FIN) {
			return true
		}
	}
	return false
}
