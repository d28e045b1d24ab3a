package hshome

import (
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	phase uint8
	marks uint16

	// flow is what a host holds about one flow.
	flow struct {
		// Index into Core.targets.
		target uint32
		phase  phase
		marks  marks
		// Host that lent the flow for a trial, as index into Core.hosts; valid
		// in phase lent.
		via uint16
		// Index into Core.services of the service that it was opened to.
		service uint16
		// Initial sequence number of the target; valid with markHeard.
		isn uint32
		// Next sequence number expected of the caller; valid with markCaller.
		caller uint32
		// Next sequence number expected of the target; valid with markReply.
		reply uint32
		// Time of the last packet in either direction, ms.
		seen uint32
		// Time of the first caller data that no reply acknowledged, ms; zero if
		// none.
		unanswered uint32
		// Sequence number of that data.
		waitSeq uint32
	}

	// context is a caller's packet on its way through the core.
	context struct {
		p    *hspacket.Packet
		key  hsflow.Key
		hash uint64
		// Inner packet if it is not the input's own.
		data []byte
	}
)

// Phases of a flow.
const (
	// opening: the first packet was delivered, no reply was seen.
	opening phase = iota + 1
	// open: the target is known to hold the flow.
	open
	// asking: other homes are being asked.
	asking
	// trying: candidates are being tried one at a time.
	trying
	// lent: another host tries the flow on a target of this home.
	lent
	// closed: both sides ended it, or one reset it.
	closed
)

const (
	// markCaller: caller is valid.
	markCaller marks = 1 << iota
	// markReply: reply is valid, from the target's segments or from what the
	// caller acknowledged.
	markReply
	// markHeard: isn and reply are from the target's own segments.
	markHeard
	// finCaller: the caller ended its direction.
	finCaller
	// finTarget: the target ended its direction.
	finTarget
	// handed: the new home has been sent the flow.
	handed
	// datagrams: the flow is UDP.
	datagrams
	// proven: caller and target were seen to agree on sequence numbers, so the
	// target holds the caller's connection.
	proven
	// audible: the target was heard shortly before the packet that stands
	// unanswered.
	audible
	// doubted: the target answered an RST before the flow was proven.
	doubted
)

const (
	// nearWindow bounds how far apart sequence numbers of one connection are
	// taken to be. Two unrelated connections agree on both numbers with a
	// chance of 4e-6.
	nearWindow = 1 << 22
	// maxAhead bounds what a caller may acknowledge beyond what its home saw.
	maxAhead = 1 << 22
)

// newFlow returns a flow without a target.
func newFlow(now uint32, p hsflow.Proto) flow {
	f := flow{seen: now}
	if p == hsflow.UDP {
		f.marks = datagrams
	}
	return f
}

// counted reports whether the flow counts as open on its target. Nothing ends
// a UDP flow, so it counts until its first answer.
func (f *flow) counted() bool {
	if f.marks&datagrams != 0 {
		return f.phase == opening
	}
	return f.phase == opening || f.phase == open || f.phase == lent
}

// known reports whether the flow's target is settled.
func (f *flow) known() bool {
	return f.phase == opening || f.phase == open || f.phase == closed
}

// near reports whether two sequence numbers can be of one connection.
func near(a, b uint32) bool {
	d := int32(a - b)
	return d > -nearWindow && d < nearWindow
}

// after reports whether sequence number a follows b.
func after(a, b uint32) bool {
	return int32(a-b) > 0
}

// noteCaller updates the flow from a caller's segment.
func (f *flow) noteCaller(now uint32, s hspacket.Segment) {
	f.seen = now
	end := s.End()
	if f.marks&markCaller == 0 || after(end, f.caller) {
		f.caller = end
		f.marks |= markCaller
	}
	if s.Flags.Has(hspacket.FIN) {
		f.marks |= finCaller
	}
	if s.Len > 0 && f.unanswered == 0 {
		f.unanswered = now
		f.waitSeq = s.Seq
	}
}

// noteReply updates the flow from a target's segment.
func (f *flow) noteReply(now uint32, s hspacket.Segment) {
	f.seen = now
	// A target that only sends its own data again has not heard the caller.
	if f.marks&datagrams != 0 || (s.Flags.Has(hspacket.ACK) && after(s.Ack, f.waitSeq)) {
		f.unanswered = 0
	}
	end := s.End()
	if s.Flags.Has(hspacket.SYN) {
		f.isn = s.Seq
	}
	if f.marks&markReply == 0 || after(end, f.reply) {
		f.reply = end
		f.marks |= markReply
	}
	f.marks |= markHeard
	if s.Flags.Has(hspacket.FIN) {
		f.marks |= finTarget
	}
}

// ended reports whether both directions were closed.
func (f *flow) ended() bool {
	return f.marks&(finCaller|finTarget) == finCaller|finTarget
}

// plausible reports whether a caller's segment can belong to the connection
// that the flow records. Unknown numbers speak against nothing.
func (f *flow) plausible(seq, ack uint32) bool {
	if f.marks&markCaller != 0 && !near(seq, f.caller) {
		return false
	}
	return f.marks&markReply == 0 || near(ack, f.reply)
}

// answers reports whether a target's segment answers the connection that the
// flow records; both numbers must be known and agree.
func (f *flow) answers(s hspacket.Segment) bool {
	both := markCaller | markReply
	if f.marks&both != both {
		return false
	}
	return near(s.Seq, f.reply) && near(s.Ack, f.caller)
}
