package hsowner

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

// orderTrials moves the candidates that may hold the flow to the front, before
// those whose owner knows that they do not hold it.
func (c *Core) orderTrials(r *recovery) {
	ordered := make([]uint32, 0, len(r.candidates))
	for _, mayHold := range []bool{true, false} {
		for i, n := range r.candidates {
			if (r.mayHold&(1<<i) != 0) == mayHold {
				ordered = append(ordered, n)
			}
		}
	}
	r.candidates = ordered
}

// startTrial starts the trial of candidate i by delivering the buffered packets
// to it.
func (c *Core) startTrial(r *recovery, f *flow, i int) {
	c.Stats.Trials++
	r.current = i
	r.deadline = c.now + trialTimeoutMs
	c.setTarget(f, r.candidates[i], phaseTrying)
	r.targetActive = c.now-c.targets[f.target].lastPacket <= trialTimeoutMs
	if c.targets[f.target].viewIndex < 0 {
		r.deadline = c.now
		return
	}
	for j := range r.buffered {
		c.deliver(&callerPacket{p: &r.buffered[j], inner: r.buffered[j].Inner}, f, 0)
	}
}

// deliverDuringTrial delivers a packet that arrived during a trial to the
// candidate under trial.
func (c *Core) deliverDuringTrial(x *callerPacket, f *flow, hops uint8) {
	if c.targets[f.target].viewIndex >= 0 {
		c.deliver(x, f, hops)
	}
}

// ruleOutCurrent rules out the candidate under trial and continues with the
// next one.
func (c *Core) ruleOutCurrent(r *recovery, f *flow) {
	r.ruledOut |= 1 << r.current
	c.tryNext(r, f)
}

// tryNext tries the next candidate that is not ruled out, or ends the recovery
// if all are ruled out or trialPeriodMs is over.
func (c *Core) tryNext(r *recovery, f *flow) {
	for range r.candidates {
		r.current++
		if r.current == len(r.candidates) {
			r.current = 0
		}
		if r.ruledOut&(1<<r.current) == 0 {
			break
		}
	}
	allBits := uint16(1)<<len(r.candidates) - 1
	switch {
	case r.ruledOut == allBits:
		c.endRefused(r, hscode.FlowDenied)
	case c.now-r.firstTrial < trialPeriodMs:
		c.startTrial(r, f, r.current)
	case r.ruledOut|r.unresponsive == allBits:
		c.endRefused(r, hscode.FlowDenied)
	default:
		c.endSilently(r, f)
	}
}

// noteUnresponsive marks the candidate under trial as unresponsive if it sent
// packets both shortly before and during its trial but none of the flow. The
// target is then reachable, so the missing answer means that it does not hold
// the flow.
func (c *Core) noteUnresponsive(r *recovery, f *flow) {
	trialStart := r.deadline - trialTimeoutMs
	if c.ownerOf(f.target) == c.self() && r.targetActive && c.targets[f.target].lastPacket > trialStart {
		r.unresponsive |= 1 << r.current
	}
}

// handleRecoveryReply handles a target's packet of a flow under recovery here.
func (c *Core) handleRecoveryReply(p *hspacket.Packet, key hsflow.Key, f *flow, n uint32) {
	r := c.recoveries[key]
	if r == nil {
		return
	}
	current := f.phase == phaseTrying && f.target == n
	holds := !p.Seg.Flags.Has(hspacket.RST) && (p.Proto == hsflow.UDP || f.matchesReply(p.Seg))
	switch {
	case holds:
		c.completeRecovery(r, f, n, !current)
		f.flags |= flagVerified
		f.learnFromTarget(c.now, p.Seg)
		c.sendReply()
	case current:
		// An RST, or a reply of an older connection between the same
		// addresses and ports.
		c.count(hscode.FlowTrialReset)
		c.ruleOutCurrent(r, f)
	default:
		c.count(hscode.FlowLate)
	}
}

// handleRemoteTrialReply handles a target's packet of a flow that another host
// tries here.
func (c *Core) handleRemoteTrialReply(p *hspacket.Packet, key hsflow.Key, f *flow, n uint32) {
	host := c.hosts[f.trialHost]
	if f.target != n {
		c.count(hscode.FlowLate)
		return
	}
	answer := hspacket.Steering{Kind: hspacket.KindMiss, Target: uint64(c.targets[n].id), Query: &hspacket.Query{Flow: key}}
	if p.Seg.Flags.Has(hspacket.RST) || !f.matchesReply(p.Seg) {
		c.count(hscode.FlowTrialReset)
		c.removeFlow(f, &key, key.Hash())
		c.sendTrialResult(host, answer)
		return
	}
	c.setPhase(f, phaseOpen)
	f.flags |= flagVerified
	f.learnFromTarget(c.now, p.Seg)
	answer.Kind = hspacket.KindHit
	c.sendTrialResult(host, answer)
	c.sendReply()
}

// sendTrialResult sends the result of a trial to the host that tries the flow
// here.
func (c *Core) sendTrialResult(host netip.Addr, s hspacket.Steering) {
	if _, listed := c.view.HostAt(host); listed {
		c.sendControl(host, s)
	}
}

func (c *Core) stepTrying(r *recovery, f *flow) {
	if c.now < r.deadline {
		return
	}
	if c.targets[f.target].viewIndex < 0 {
		c.ruleOutCurrent(r, f)
		return
	}
	if needsAnswer(r) {
		c.noteUnresponsive(r, f)
		c.tryNext(r, f)
		return
	}
	if c.now-r.deadline >= acceptUnansweredMs {
		c.completeRecovery(r, f, f.target, false)
	}
}

// needsAnswer reports whether a target that holds the flow must answer the
// buffered packets. Segments that only acknowledge need no answer.
func needsAnswer(r *recovery) bool {
	for i := range r.buffered {
		if r.buffered[i].Seg.Len > 0 || r.buffered[i].Seg.Flags.Has(hspacket.FIN) {
			return true
		}
	}
	return false
}
