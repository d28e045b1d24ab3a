package hshome

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

// orderTrials moves the candidates that may hold the flow to the front, before
// those whose home has denied it.
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

// try starts the trial of candidate i: it delivers the buffered packets to it.
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

// tryOn delivers a packet that arrived during a trial to the candidate under
// trial.
func (c *Core) tryOn(x *context, f *flow, hops uint8) {
	if c.targets[f.target].at >= 0 {
		c.deliver(x, f, hops)
	}
}

// deniedBy records that the candidate under trial denied the flow and continues
// with the next one.
func (c *Core) deniedBy(w *wait, f *flow) {
	w.denied |= 1 << w.at
	c.next(w, f)
}

// next tries the next candidate that has not denied the flow, or ends the
// recovery if all have denied it or trialTime is over.
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

// noteMute marks the candidate under trial as unresponsive if it did not answer
// its trial but sent packets both shortly before and during it. The target is
// then reachable, so the missing answer means that it does not hold the flow.
func (c *Core) noteMute(w *wait, f *flow) {
	began := w.deadline - tryTimeout
	if c.home(f.target) == c.self() && w.audible && c.targets[f.target].heard > began {
		w.mute |= 1 << w.at
	}
}

// replyInRecovery handles a target's packet of a flow under recovery here.
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
		// An RST, or a reply of an older connection between the same
		// addresses and ports.
		c.count(hscode.FlowTrialReset)
		c.deniedBy(w, f)
	default:
		c.count(hscode.FlowLate)
	}
}

// replyOnLoan handles a target's packet of a flow that another host tries here.
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

// answer sends the result of a trial to the host that tries the flow here.
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

// answerable reports whether a target that holds the flow must answer the
// buffered packets. Segments that only acknowledge need no answer.
func answerable(w *wait) bool {
	for i := range w.held {
		if w.held[i].Seg.Len > 0 || w.held[i].Seg.Flags.Has(hspacket.FIN) {
			return true
		}
	}
	return false
}
