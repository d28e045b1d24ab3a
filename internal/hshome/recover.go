package hshome

import (
	"net/netip"
	"slices"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// wait is the recovery of a flow whose target is unknown. First, other homes are
// queried; if none claims the flow, TCP candidates are tried one at a time. The
// flow's packets are buffered meanwhile.
type wait struct {
	key hsflow.Key
	// Buffered packets, oldest first, at most maxHeld; each has its own copy
	// of the inner packet.
	held []hspacket.Packet
	// Targets that may hold the flow, as indices into Core.targets.
	cands []uint32
	// Bit i is set if candidate i may hold the flow: no host that knows all
	// of the candidate's flows has denied it.
	unsure uint16
	// Hosts that were queried and have not answered.
	pending []netip.Addr
	// Time in ms at which the current step times out.
	deadline uint32
	// True once the queries were sent a second time.
	resent bool
	// Index into cands of the candidate under trial.
	at int
	// Bit i is set if candidate i was tried and denied the flow.
	denied uint16
	// Bit i is set if candidate i was unresponsive: it did not answer its
	// trial although it was sending packets.
	mute uint16
	// True if the candidate under trial sent a packet within tryTimeout
	// before its trial.
	audible bool
	// Time of the first trial, ms.
	tried uint32
	// True once the recovery has ended and only waitList refers to it.
	done bool
}

const (
	// maxWaits limits the recoveries in progress.
	maxWaits = 65536
	// maxHeld limits the packets that are buffered per flow.
	maxHeld = 16
	// askAgain is the time in ms after which unanswered queries are sent again.
	askAgain = 40
	// askTimeout is the time in ms after which unanswered queries time out.
	askTimeout = 120
	// tryTimeout is the time in ms within which a target must answer a trial.
	tryTimeout = 250
	// quietTimeout is the additional time in ms after which a target is taken
	// to hold the flow if the trial contained only segments that need no answer
	// and the target did not deny them.
	quietTimeout = 1000
	// trialTime is the time in ms during which candidates that do not answer
	// are tried repeatedly, long enough to tolerate the loss of single answers.
	trialTime = 2000
)

// recover starts the recovery of x's flow.
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

// begin determines the flow's candidates under the current view and queries
// their homes.
func (c *Core) begin(w *wait, s *hsrank.Service, x *context, previous uint32) {
	w.deadline = c.now + askTimeout
	w.resent = false
	c.candidates(w, s, x, previous)
	c.ask(w, x)
	if len(w.pending) == 0 {
		c.decide(w)
	}
}

// restartWaits restarts all recoveries after a change of view, since targets,
// homes and hosts may have changed.
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

// candidates determines which targets may hold the flow. The target that the
// flow had before, which was wrong or unresponsive, comes last.
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

// hold buffers a packet of a flow under recovery.
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

// settle ends a recovery with the result that target n holds the flow. If flush
// is true, it delivers the buffered packets, which n has not received yet.
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

// decide takes the next step of a recovery after all queries were answered or
// timed out.
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

// decideMoved ends the recovery of a flow to an address that has moved from
// another service. A trial could deliver the flow to the wrong service. As long
// as a candidate may still hold a TCP flow, the flow is not refused, so the caller
// can retransmit.
func (c *Core) decideMoved(w *wait, f *flow) {
	if w.unsure != 0 && w.key.Proto() == hsflow.TCP {
		c.abandon(w, f)
		return
	}
	c.giveUp(w, hscode.FlowAddressMoved)
}

// decideUDP places a UDP flow without a trial. If no candidate may hold the flow,
// it is new; if only one may and it is live, the flow is placed there. If several
// may, or one that is leaving and must get no new requests, the flow may reach a
// second target, so it is placed only for an idempotent service.
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

// openHeld places the flow as a new one and delivers its buffered packets.
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

// abandon ends a recovery without a refusal, since a candidate that is currently
// unreachable may hold the flow. The caller's next packet starts another
// recovery.
func (c *Core) abandon(w *wait, f *flow) {
	c.count(hscode.FlowUnanswered)
	c.finish(w)
	c.drop(f, &w.key, w.key.Hash())
}

// giveUp ends a recovery with a refusal: the flow is lost.
func (c *Core) giveUp(w *wait, code hscode.Code) {
	c.finish(w)
	hash := w.key.Hash()
	if f := c.flows.Get(&w.key, hash); f != nil {
		c.drop(f, &w.key, hash)
	}
	if len(w.held) == 0 || c.paused {
		// A view that may be outdated does not justify a refusal.
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

// drop removes a flow from the table.
func (c *Core) drop(f *flow, key *hsflow.Key, hash uint64) {
	c.release(f)
	c.flows.Remove(key, hash)
}

// stepWaits advances the recoveries whose current step has timed out.
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
