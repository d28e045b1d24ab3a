package hshome

import (
	"net/netip"
	"slices"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
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
