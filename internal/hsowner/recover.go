package hsowner

import (
	"net/netip"
	"slices"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// recovery is the search for the target of a flow. First, other owners are
// queried; if none answers with a hit, candidates are tried one at a time (TCP
// only). The flow's packets are buffered meanwhile.
type recovery struct {
	key hsflow.Key
	// Buffered packets, oldest first, at most maxBuffered; each has its own
	// copy of the inner packet.
	buffered []hspacket.Packet
	// Targets that may hold the flow, as indices into Core.targets.
	candidates []uint32
	// Bit i is set if candidate i may hold the flow. It is clear if a host that
	// knows all of the candidate's flows does not know this one.
	mayHold uint16
	// Hosts that were queried and have not answered.
	pending []netip.Addr
	// Time in ms at which the current step times out.
	deadline uint32
	// True once the queries were sent a second time.
	resent bool
	// Index into candidates of the candidate under trial.
	current int
	// Bit i is set if candidate i was ruled out during its trial.
	ruledOut uint16
	// Bit i is set if candidate i was unresponsive: it did not answer its
	// trial although it was sending packets.
	unresponsive uint16
	// True if the candidate under trial sent a packet within trialTimeoutMs
	// before its trial.
	targetActive bool
	// Time of the first trial, ms.
	firstTrial uint32
	// True once the recovery has ended and only recoveryList refers to it.
	done bool
}

const (
	// maxRecoveries limits the recoveries in progress.
	maxRecoveries = 65536
	// maxBuffered limits the packets that are buffered per flow.
	maxBuffered = 16
	// queryResendMs is the time after which unanswered queries are sent again.
	queryResendMs = 40
	// queryTimeoutMs is the time after which unanswered queries time out.
	queryTimeoutMs = 120
	// trialTimeoutMs is the time within which a target must answer a trial.
	trialTimeoutMs = 250
	// acceptUnansweredMs is the additional time after which a target is taken
	// to hold the flow if the trial contained only segments that need no answer
	// and did not rule the target out.
	acceptUnansweredMs = 1000
	// trialPeriodMs is the time during which candidates that do not answer are
	// tried repeatedly, long enough to tolerate the loss of single answers.
	trialPeriodMs = 2000
)

// startRecovery starts the recovery of x's flow.
func (c *Core) startRecovery(x *callerPacket, s *hsrank.Service, f *flow) {
	if len(c.recoveries) >= maxRecoveries {
		c.count(hscode.FlowHeldFull)
		c.removeFlow(f, &x.key, x.hash)
		return
	}
	r := &recovery{key: x.key}
	previous := f.target
	c.setPhase(f, phaseQuerying)
	f.lastPacket = c.now
	c.recoveries[x.key] = r
	c.recoveryList = append(c.recoveryList, r)
	c.buffer(x)
	c.startQueries(r, s, x, previous)
}

// startQueries determines the flow's candidates under the current view and
// queries their owners.
func (c *Core) startQueries(r *recovery, s *hsrank.Service, x *callerPacket, previous uint32) {
	r.deadline = c.now + queryTimeoutMs
	r.resent = false
	c.findCandidates(r, s, x, previous)
	c.queryOwners(r, x)
	if len(r.pending) == 0 {
		c.decideAfterQueries(r)
	}
}

// restartRecoveries restarts all recoveries after a change of view, since
// targets, owners and hosts may have changed.
func (c *Core) restartRecoveries() {
	for _, r := range c.recoveryList {
		if r.done || len(r.buffered) == 0 {
			continue
		}
		f := c.flows.Get(&r.key, r.key.Hash())
		s := c.view.Service(r.key.ServiceKey())
		if f == nil || s == nil {
			c.endRefused(r, hscode.FlowNoService)
			continue
		}
		c.setPhase(f, phaseQuerying)
		r.candidates, r.pending = r.candidates[:0], r.pending[:0]
		r.mayHold, r.ruledOut, r.unresponsive = 0, 0, 0
		x := callerPacket{p: &r.buffered[0], key: r.key, hash: r.key.Hash()}
		c.startQueries(r, s, &x, f.target)
	}
}

// findCandidates determines which targets may hold the flow. The target that
// the flow had before, which was wrong or unresponsive, comes last.
func (c *Core) findCandidates(r *recovery, s *hsrank.Service, x *callerPacket, previous uint32) {
	var buf [hsrank.MaxCandidates]int
	for _, t := range c.appendCandidates(s, &x.key, buf[:0]) {
		r.candidates = append(r.candidates, c.targetIndex[t])
	}
	viewIndex := c.targets[previous].viewIndex
	if viewIndex >= 0 && s.HasTarget(viewIndex) && !slices.Contains(r.candidates, previous) && len(r.candidates) < hsrank.MaxCandidates {
		r.candidates = append(r.candidates, previous)
	}
	for i, n := range r.candidates {
		if c.ownerOf(n) != c.self() || !c.knowsAllFlows(n, x.p.Proto) {
			r.mayHold |= 1 << i
		}
	}
}

// buffer buffers a packet of a flow under recovery.
func (c *Core) buffer(x *callerPacket) {
	r := c.recoveries[x.key]
	f := c.flows.Get(&x.key, x.hash)
	if r == nil || f == nil {
		return
	}
	f.updateFromCaller(c.now, x.p.Seg)
	if x.p.Seg.Flags.Has(hspacket.ACK) {
		f.targetNextSeq = x.p.Seg.Ack
		f.flags |= flagTargetSeq
	}
	if len(r.buffered) == maxBuffered {
		c.count(hscode.FlowHeldFull)
		return
	}
	p := *x.p
	p.Inner = slices.Clone(p.Inner)
	r.buffered = append(r.buffered, p)
}

// completeRecovery ends a recovery with the result that target n holds the
// flow. If flush is true, it delivers the buffered packets, which n has not
// received yet.
func (c *Core) completeRecovery(r *recovery, f *flow, n uint32, flush bool) {
	c.Stats.Recovered++
	c.setTarget(f, n, phaseOpen)
	f.unansweredSince = 0
	f.flags &^= flagVerified | flagResetWithheld | flagTargetSeen
	c.endRecovery(r)
	if !flush {
		return
	}
	for i := range r.buffered {
		c.deliver(&callerPacket{p: &r.buffered[i], inner: r.buffered[i].Inner}, f, 0)
	}
}

func (c *Core) endRecovery(r *recovery) {
	r.done = true
	delete(c.recoveries, r.key)
}

// decideAfterQueries takes the next step of a recovery after all queries were
// answered or timed out.
func (c *Core) decideAfterQueries(r *recovery) {
	hash := r.key.Hash()
	f := c.flows.Get(&r.key, hash)
	s := c.view.Service(r.key.ServiceKey())
	if f == nil || s == nil || len(r.candidates) == 0 {
		c.endRefused(r, hscode.FlowNoTarget)
		return
	}
	if s.AddressReassigned {
		c.decideMoved(r, f)
		return
	}
	if r.key.Proto() == hsflow.UDP {
		c.decideUDP(r, s, f)
		return
	}
	c.orderTrials(r)
	r.firstTrial = c.now
	c.startTrial(r, f, 0)
}

// decideMoved ends the recovery of a flow to an address that has moved from
// another service. It starts no trial, which could deliver the flow to the
// wrong service. While an owner that may know a TCP flow cannot be queried, the
// flow is not refused, so that the caller can retransmit.
func (c *Core) decideMoved(r *recovery, f *flow) {
	if r.mayHold != 0 && r.key.Proto() == hsflow.TCP {
		c.endSilently(r, f)
		return
	}
	c.endRefused(r, hscode.FlowAddressMoved)
}

// decideUDP places a UDP flow without a trial. If no candidate may hold the
// flow, it is new; if only one may and it is live, the flow is placed there. If
// several may, or only one that is leaving and must get no new requests, a
// request may reach a second target, so the flow is placed only if the service
// is idempotent.
func (c *Core) decideUDP(r *recovery, s *hsrank.Service, f *flow) {
	var holders []uint32
	for i, n := range r.candidates {
		if r.mayHold&(1<<i) != 0 {
			holders = append(holders, n)
		}
	}
	live := len(holders) > 0 && c.view.Targets[c.targets[holders[0]].viewIndex].Live
	switch {
	case len(holders) == 0 || (s.Idempotent && !live):
		c.openBuffered(r, s, f)
	case live && (len(holders) == 1 || s.Idempotent):
		c.completeRecovery(r, f, holders[0], true)
	default:
		c.endRefused(r, hscode.FlowAmbiguous)
	}
}

// openBuffered places the flow as a new one and delivers its buffered packets.
func (c *Core) openBuffered(r *recovery, s *hsrank.Service, f *flow) {
	hash := r.key.Hash()
	first := c.view.FirstChoice(s, hash)
	if first < 0 || len(r.buffered) == 0 {
		c.endRefused(r, hscode.FlowNoTarget)
		return
	}
	c.endRecovery(r)
	c.removeFlow(f, &r.key, hash)
	n := c.targetIndex[first]
	for i := range r.buffered {
		x := callerPacket{p: &r.buffered[i], key: r.key, hash: hash, inner: r.buffered[i].Inner}
		if opened := c.flows.Get(&x.key, hash); opened != nil {
			c.handleFlowPacket(&x, s, opened, 0)
			continue
		}
		c.openFlow(&x, s, n, 0)
	}
}

// endSilently ends a recovery without a refusal, since a candidate that is
// currently unreachable may hold the flow. The caller's next packet starts
// another recovery.
func (c *Core) endSilently(r *recovery, f *flow) {
	c.count(hscode.FlowUnanswered)
	c.endRecovery(r)
	c.removeFlow(f, &r.key, r.key.Hash())
}

// endRefused ends a recovery and refuses the buffered packets: the flow is
// lost.
func (c *Core) endRefused(r *recovery, code hscode.Code) {
	c.endRecovery(r)
	hash := r.key.Hash()
	if f := c.flows.Get(&r.key, hash); f != nil {
		c.removeFlow(f, &r.key, hash)
	}
	if len(r.buffered) == 0 || c.paused {
		// A view that may be outdated does not justify a refusal.
		c.count(code)
		return
	}
	if r.key.Proto() == hsflow.TCP {
		c.refuse(&callerPacket{p: &r.buffered[len(r.buffered)-1]}, code)
		return
	}
	for i := range r.buffered {
		c.refuse(&callerPacket{p: &r.buffered[i]}, code)
	}
}

// removeFlow removes a flow from the table.
func (c *Core) removeFlow(f *flow, key *hsflow.Key, hash uint64) {
	c.uncountFlow(f)
	c.flows.Remove(key, hash)
}

// stepRecoveries advances the recoveries whose current step has timed out.
func (c *Core) stepRecoveries() {
	kept := c.recoveryList[:0]
	for _, r := range c.recoveryList {
		if !r.done {
			c.stepRecovery(r)
		}
		if !r.done {
			kept = append(kept, r)
		}
	}
	clear(c.recoveryList[len(kept):])
	c.recoveryList = kept
}

func (c *Core) stepRecovery(r *recovery) {
	f := c.flows.Get(&r.key, r.key.Hash())
	if f == nil || c.recoveries[r.key] != r {
		r.done = true
		return
	}
	switch f.phase {
	case phaseQuerying:
		c.stepQuerying(r)
	case phaseTrying:
		c.stepTrying(r, f)
	default:
		c.endRecovery(r)
	}
}
