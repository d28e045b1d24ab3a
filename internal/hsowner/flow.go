package hsowner

import (
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	phase     uint8
	flowFlags uint16

	// flow is the table entry of one flow.
	flow struct {
		// Index into Core.targets.
		target uint32
		phase  phase
		flags  flowFlags
		// Host that tries the flow here, as index into Core.hosts; valid in
		// phaseRemoteTrial.
		trialHost uint16
		// Service that the flow was opened to, as index into Core.services.
		service uint16
		// Initial sequence number of the target; valid with flagTargetSeen.
		targetISN uint32
		// Next sequence number expected from the caller; valid with
		// flagCallerSeq.
		callerNextSeq uint32
		// Next sequence number expected from the target; valid with
		// flagTargetSeq.
		targetNextSeq uint32
		// Time of the last packet in either direction, ms.
		lastPacket uint32
		// Time of the first caller data that no reply has acknowledged, ms;
		// zero if there is none.
		unansweredSince uint32
		// Sequence number of that data.
		unansweredSeq uint32
	}

	// callerPacket is a caller's packet that the core is processing.
	callerPacket struct {
		p    *hspacket.Packet
		key  hsflow.Key
		hash uint64
		// Inner packet; nil means the inner packet of the input.
		inner []byte
	}
)

// Phases of a flow.
const (
	// phaseOpening: the first packet was delivered. For TCP, the handshake is
	// not complete; for UDP, no reply has been seen.
	phaseOpening phase = iota + 1
	// phaseOpen: the target is known to hold the flow.
	phaseOpen
	// phaseQuerying: recovery; other owners are being queried.
	phaseQuerying
	// phaseTrying: recovery; candidates are being tried one at a time.
	phaseTrying
	// phaseRemoteTrial: a peer tries the flow on a target that this host owns.
	phaseRemoteTrial
	// phaseClosed: both sides sent a FIN, one side sent an RST, or the target
	// no longer serves the service.
	phaseClosed
)

const (
	// flagCallerSeq: callerNextSeq is valid.
	flagCallerSeq flowFlags = 1 << iota
	// flagTargetSeq: targetNextSeq is valid, learned from the target's segments
	// or from the caller's acknowledgements.
	flagTargetSeq
	// flagTargetSeen: targetISN and targetNextSeq were learned from the
	// target's own segments.
	flagTargetSeen
	// flagCallerFIN: the caller sent a FIN.
	flagCallerFIN
	// flagTargetFIN: the target sent a FIN.
	flagTargetFIN
	// flagHandedOver: the flow was handed over to its target's new owner.
	flagHandedOver
	// flagUDP: the flow is UDP.
	flagUDP
	// flagVerified: the sequence numbers of caller and target agree, so the
	// target holds the caller's connection.
	flagVerified
	// flagTargetActive: the target sent a packet shortly before the unanswered
	// data was delivered to it.
	flagTargetActive
	// flagResetWithheld: the target answered with an RST before the flow was
	// verified, and the RST was not passed on to the caller.
	flagResetWithheld
)

const (
	// maxSeqDistance is the distance in bytes below which two sequence numbers
	// are taken to be of the same connection. The numbers of two unrelated
	// connections are this close in both directions with a probability of 4e-6.
	maxSeqDistance = 1 << 22
	// maxAckAhead limits how many bytes beyond the target's SYN the caller may
	// acknowledge during the handshake, including data that the target's owner
	// has not seen.
	maxAckAhead = 1 << 22
)

// newFlow returns a flow without a target.
func newFlow(now uint32, p hsflow.Proto) flow {
	f := flow{lastPacket: now}
	if p == hsflow.UDP {
		f.flags = flagUDP
	}
	return f
}

// countsAsOpen reports whether the flow counts towards its target's open flows.
// Nothing marks the end of a UDP flow, so it counts until its first reply.
func (f *flow) countsAsOpen() bool {
	if f.flags&flagUDP != 0 {
		return f.phase == phaseOpening
	}
	return f.phase == phaseOpening || f.phase == phaseOpen || f.phase == phaseRemoteTrial
}

// targetKnown reports whether the flow's target is known, so that its packets
// need no recovery or trial.
func (f *flow) targetKnown() bool {
	return f.phase == phaseOpening || f.phase == phaseOpen || f.phase == phaseClosed
}

// seqNear reports whether two sequence numbers may be of the same connection.
func seqNear(a, b uint32) bool {
	d := int32(a - b)
	return d > -maxSeqDistance && d < maxSeqDistance
}

// seqAfter reports whether sequence number a follows b.
func seqAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// updateFromCaller updates the flow with a caller's segment.
func (f *flow) updateFromCaller(now uint32, s hspacket.Segment) {
	f.lastPacket = now
	end := s.End()
	if f.flags&flagCallerSeq == 0 || seqAfter(end, f.callerNextSeq) {
		f.callerNextSeq = end
		f.flags |= flagCallerSeq
	}
	if s.Flags.Has(hspacket.FIN) {
		f.flags |= flagCallerFIN
	}
	if s.Len > 0 && f.unansweredSince == 0 {
		f.unansweredSince = now
		f.unansweredSeq = s.Seq
	}
}

// updateFromTarget updates the flow with a target's segment.
func (f *flow) updateFromTarget(now uint32, s hspacket.Segment) {
	f.lastPacket = now
	// A target that only retransmits its own data has not received the
	// caller's.
	if f.flags&flagUDP != 0 || (s.Flags.Has(hspacket.ACK) && seqAfter(s.Ack, f.unansweredSeq)) {
		f.unansweredSince = 0
	}
	end := s.End()
	if s.Flags.Has(hspacket.SYN) {
		f.targetISN = s.Seq
	}
	if f.flags&flagTargetSeq == 0 || seqAfter(end, f.targetNextSeq) {
		f.targetNextSeq = end
		f.flags |= flagTargetSeq
	}
	f.flags |= flagTargetSeen
	if s.Flags.Has(hspacket.FIN) {
		f.flags |= flagTargetFIN
	}
}

// bothFIN reports whether both sides have sent a FIN.
func (f *flow) bothFIN() bool {
	return f.flags&(flagCallerFIN|flagTargetFIN) == flagCallerFIN|flagTargetFIN
}

// plausible reports whether a caller's segment may belong to the connection
// that the flow records. Numbers that the flow has not recorded are not
// compared.
func (f *flow) plausible(seq, ack uint32) bool {
	if f.flags&flagCallerSeq != 0 && !seqNear(seq, f.callerNextSeq) {
		return false
	}
	return f.flags&flagTargetSeq == 0 || seqNear(ack, f.targetNextSeq)
}

// matchesReply reports whether a target's segment belongs to the connection
// that the flow records: both sequence numbers must be recorded and agree.
func (f *flow) matchesReply(s hspacket.Segment) bool {
	both := flagCallerSeq | flagTargetSeq
	if f.flags&both != both {
		return false
	}
	return seqNear(s.Seq, f.targetNextSeq) && seqNear(s.Ack, f.callerNextSeq)
}
