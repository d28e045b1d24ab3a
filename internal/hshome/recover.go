package hshome

import (
	"net/netip"
	"slices"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// wait is a flow under recovery: first other homes are asked whether they know
// it, then, for TCP, candidates are tried one at a time. Its packets wait.
type wait struct {
	key hsflow.Key
	// At most maxHeld, oldest first; their memory is the wait's own.
	held []hspacket.Packet
	// Targets that may hold the flow, as indices into Core.targets.
	cands []uint32
	// Bit i: candidate i may hold the flow without any home knowing.
	unsure uint16
	// Hosts that were asked and have not answered.
	pending []netip.Addr
	// Time in ms at which the current step is given up.
	deadline uint32
	// True once the asks were sent again.
	resent bool
	// Candidate under trial.
	at int
	// Bit i: candidate i was tried and denied the flow.
	denied uint16
	// Bit i: candidate i was silent about the flow while it answered others.
	mute uint16
	// True if the candidate under trial was heard shortly before the trial.
	audible bool
	// Time of the first trial, ms.
	tried uint32
	// True once the wait is over and stands in waitList only.
	done bool
}

const (
	// maxWaits bounds the flows under recovery.
	maxWaits = 65536
	// maxHeld bounds the packets that wait per flow.
	maxHeld = 16
	// askAgain is the time in ms after which unanswered asks are sent again.
	askAgain = 40
	// askTimeout is the time in ms after which unanswered asks are given up.
	askTimeout = 120
	// tryTimeout is the time in ms that a target gets to answer a trial.
	tryTimeout = 250
	// quietTimeout is the time in ms after which a target that did not deny
	// segments that need no answer is taken to hold the flow.
	quietTimeout = 1000
	// trialTime is the time in ms for which silent candidates are tried again
	// and again, long enough for single answers to be lost.
	trialTime = 2000
)

// recover starts to look for the target that holds x's flow.
func (c *Core) recover(x *context, s *hsrank.Service, f *flow) {
	if len(c.waits) >= maxWaits {
		c.count(hscode.FlowHeldFull)
		c.drop(f, &x.key, x.hash)
		return
	}
	w := &wait{key: x.key}
	previous := f.target
	c.setPhase(f, asking)
	f.seen = c.now
	c.waits[x.key] = w
	c.waitList = append(c.waitList, w)
	c.hold(x)
	c.begin(w, s, x, previous)
}

// begin asks for the flow under the present view.
func (c *Core) begin(w *wait, s *hsrank.Service, x *context, previous uint32) {
	w.deadline = c.now + askTimeout
	w.resent = false
	c.candidates(w, s, x, previous)
	c.ask(w, x)
	if len(w.pending) == 0 {
		c.decide(w)
	}
}

// restartWaits begins all recoveries anew after a change of view, since
// targets, homes and hosts may be others now.
func (c *Core) restartWaits() {
	for _, w := range c.waitList {
		if w.done || len(w.held) == 0 {
			continue
		}
		f := c.flows.Get(&w.key, w.key.Hash())
		s := c.view.Service(w.key.Place())
		if f == nil || s == nil {
			c.giveUp(w, hscode.FlowNoService)
			continue
		}
		c.setPhase(f, asking)
		w.cands, w.pending = w.cands[:0], w.pending[:0]
		w.unsure, w.denied, w.mute = 0, 0, 0
		x := context{p: &w.held[0], key: w.key, hash: w.key.Hash()}
		c.begin(w, s, &x, f.target)
	}
}

// candidates notes which targets may hold the flow. The one that was wrongly
// or silently in use stands last.
func (c *Core) candidates(w *wait, s *hsrank.Service, x *context, previous uint32) {
	var room [hsrank.MaxCandidates]int
	for _, t := range c.possible(s, &x.key, room[:0]) {
		w.cands = append(w.cands, c.ofView[t])
	}
	at := c.targets[previous].at
	if at >= 0 && s.Serves(at) && !slices.Contains(w.cands, previous) && len(w.cands) < hsrank.MaxCandidates {
		w.cands = append(w.cands, previous)
	}
	for i, n := range w.cands {
		if c.home(n) != c.self() || !c.sure(n, x.p.Proto) {
			w.unsure |= 1 << i
		}
	}
}

// ask asks the homes of all candidates, and hosts that were their homes before.
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
	c.emit(Output{Kind: Control, Addr: host, Steer: s})
}

// hold keeps a packet of a flow under recovery.
func (c *Core) hold(x *context) {
	w := c.waits[x.key]
	f := c.flows.Get(&x.key, x.hash)
	if w == nil || f == nil {
		return
	}
	f.noteCaller(c.now, x.p.Seg)
	if x.p.Seg.Flags.Has(hspacket.ACK) {
		f.reply = x.p.Seg.Ack
		f.marks |= markReply
	}
	if len(w.held) == maxHeld {
		c.count(hscode.FlowHeldFull)
		return
	}
	p := *x.p
	p.Inner = slices.Clone(p.Inner)
	w.held = append(w.held, p)
}

// asked answers another home's ask.
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

// claims reports whether the flow held here answers an ask. Only a host that
// is or was the target's home knows; an exception is hearsay, and its target's
// home is asked as well.
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

// sureOfAll reports whether every flow of the candidates that are or were
// homed here would be known here.
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

// claimed takes the answer that a flow belongs to a target.
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

// denied takes the answer that a host does not know a flow, or that a target
// that it is home of denied a trial.
func (c *Core) denied(p *hspacket.Packet, via netip.Addr) {
	hash := p.Steer.Query.Flow.Hash()
	w := c.waits[p.Steer.Query.Flow]
	f := c.flows.Get(&p.Steer.Query.Flow, hash)
	if f == nil {
		return
	}
	byTarget := hsmanifest.TargetID(p.Steer.Target) == c.targets[f.target].id
	if w == nil {
		// The exception held here is wrong; the next packet starts a recovery.
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

// exclude notes that host would know a flow of the targets it is or was home of.
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

// settle ends a recovery: target n holds the flow. Held packets follow if they
// have not been delivered to it yet.
func (c *Core) settle(w *wait, f *flow, n uint32, flush bool) {
	c.Stats.Recovered++
	c.bind(f, n, open)
	f.unanswered = 0
	f.marks &^= proven | doubted | markHeard
	c.finish(w)
	if !flush {
		return
	}
	for i := range w.held {
		c.deliver(&context{p: &w.held[i], data: w.held[i].Inner}, f, 0)
	}
}

func (c *Core) finish(w *wait) {
	w.done = true
	delete(c.waits, w.key)
}

// decide goes on after all asks were answered or given up.
func (c *Core) decide(w *wait) {
	hash := w.key.Hash()
	f := c.flows.Get(&w.key, hash)
	s := c.view.Service(w.key.Place())
	if f == nil || s == nil || len(w.cands) == 0 {
		c.giveUp(w, hscode.FlowNoTarget)
		return
	}
	if s.Moved {
		c.decideMoved(w, f)
		return
	}
	if w.key.Proto() == hsflow.UDP {
		c.decideUDP(w, s, f)
		return
	}
	c.orderTrials(w)
	w.tried = c.now
	c.try(w, f, 0)
}

// decideMoved ends the recovery of a flow to an address that another service
// had. A trial could deliver it to the wrong service. While a home that may know
// it cannot be asked, the caller is told nothing and may try again.
func (c *Core) decideMoved(w *wait, f *flow) {
	if w.unsure != 0 && w.key.Proto() == hsflow.TCP {
		c.abandon(w, f)
		return
	}
	c.giveUp(w, hscode.FlowAddressMoved)
}

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

// decideUDP places a datagram's flow without trial. If no candidate can hold
// it, it is new; if one live target can, it is placed there. If several can, or
// one that is leaving and must get no new work, only an idempotent service
// takes the risk.
func (c *Core) decideUDP(w *wait, s *hsrank.Service, f *flow) {
	var possible []uint32
	for i, n := range w.cands {
		if w.unsure&(1<<i) != 0 {
			possible = append(possible, n)
		}
	}
	live := len(possible) > 0 && c.view.Targets[c.targets[possible[0]].at].Live
	switch {
	case len(possible) == 0 || (s.Idempotent && !live):
		c.openHeld(w, s, f)
	case live && (len(possible) == 1 || s.Idempotent):
		c.settle(w, f, possible[0], true)
	default:
		c.giveUp(w, hscode.FlowAmbiguous)
	}
}

// openHeld places the flow as a new one.
func (c *Core) openHeld(w *wait, s *hsrank.Service, f *flow) {
	hash := w.key.Hash()
	first := c.view.First(s, hash)
	if first < 0 || len(w.held) == 0 {
		c.giveUp(w, hscode.FlowNoTarget)
		return
	}
	c.finish(w)
	c.drop(f, &w.key, hash)
	n := c.ofView[first]
	for i := range w.held {
		x := context{p: &w.held[i], key: w.key, hash: hash, data: w.held[i].Inner}
		if opened := c.flows.Get(&x.key, hash); opened != nil {
			c.onFlow(&x, s, opened, 0)
			continue
		}
		c.openFlow(&x, s, n, 0)
	}
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

// abandon ends a recovery without telling the caller anything, since a
// candidate that cannot be reached now may hold the flow. The caller's next
// packet begins another one.
func (c *Core) abandon(w *wait, f *flow) {
	c.count(hscode.FlowUnanswered)
	c.finish(w)
	c.drop(f, &w.key, w.key.Hash())
}

// giveUp tells the caller that the flow is lost.
func (c *Core) giveUp(w *wait, code hscode.Code) {
	c.finish(w)
	hash := w.key.Hash()
	if f := c.flows.Get(&w.key, hash); f != nil {
		c.drop(f, &w.key, hash)
	}
	if len(w.held) == 0 || c.paused {
		// A view that may be old is no ground to tell the caller anything.
		c.count(code)
		return
	}
	if w.key.Proto() == hsflow.TCP {
		c.refuse(&context{p: &w.held[len(w.held)-1]}, code)
		return
	}
	for i := range w.held {
		c.refuse(&context{p: &w.held[i]}, code)
	}
}

// drop forgets a flow.
func (c *Core) drop(f *flow, key *hsflow.Key, hash uint64) {
	c.release(f)
	c.flows.Remove(key, hash)
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

// stepWaits moves recoveries on whose time is up.
func (c *Core) stepWaits() {
	kept := c.waitList[:0]
	for _, w := range c.waitList {
		if !w.done {
			c.stepWait(w)
		}
		if !w.done {
			kept = append(kept, w)
		}
	}
	clear(c.waitList[len(kept):])
	c.waitList = kept
}

func (c *Core) stepWait(w *wait) {
	f := c.flows.Get(&w.key, w.key.Hash())
	if f == nil || c.waits[w.key] != w {
		w.done = true
		return
	}
	switch f.phase {
	case asking:
		c.stepAsking(w)
	case trying:
		c.stepTrying(w, f)
	default:
		c.finish(w)
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
