package hshome

import (
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	phase uint8
	marks uint16

	// flow is the table entry of one flow.
	flow struct {
		// Index into Core.targets.
		target uint32
		phase  phase
		marks  marks
		// Host that tries the flow here, as index into Core.hosts; valid in
		// phase lent.
		via uint16
		// Service that the flow was opened to, as index into Core.services.
		service uint16
		// Initial sequence number of the target; valid with markHeard.
		isn uint32
		// Next sequence number expected from the caller; valid with markCaller.
		caller uint32
		// Next sequence number expected from the target; valid with markReply.
		reply uint32
		// Time of the last packet in either direction, ms.
		seen uint32
		// Time of the first caller data that no reply has acknowledged, ms; zero
		// if there is none.
		unanswered uint32
		// Sequence number of that data.
		waitSeq uint32
	}

	// context is a caller's packet that the core is processing.
	context struct {
		p    *hspacket.Packet
		key  hsflow.Key
		hash uint64
		// Inner packet; nil means the inner packet of the input.
		data []byte
	}
)

// Phases of a flow.
const (
	// opening: the first packet was delivered. For TCP, the handshake is not
	// complete; for UDP, no reply has been seen.
	opening phase = iota + 1
	// open: the target is known to hold the flow.
	open
	// asking: recovery; other homes are being queried.
	asking
	// trying: recovery; candidates are being tried one at a time.
	trying
	// lent: another host tries the flow on a target homed here.
	lent
	// closed: both sides sent a FIN, one side sent an RST, or the target no
	// longer serves the service.
	closed
)

const (
	// markCaller: caller is valid.
	markCaller marks = 1 << iota
	// markReply: reply is valid, learned from the target's segments or from
	// the caller's acknowledgements.
	markReply
	// markHeard: isn and reply were learned from the target's own segments.
	markHeard
	// finCaller: the caller sent a FIN.
	finCaller
	// finTarget: the target sent a FIN.
	finTarget
	// handed: the flow was handed over to its new home.
	handed
	// datagrams: the flow is UDP.
	datagrams
	// proven: the sequence numbers of caller and target agree, so the target
	// holds the caller's connection.
	proven
	// audible: the target sent a packet shortly before the unanswered data
	// was delivered to it.
	audible
	// doubted: the target answered with an RST before the flow was proven.
	doubted
)

const (
	// nearWindow is the distance in bytes below which two sequence numbers are
	// taken to be of the same connection. The numbers of two unrelated
	// connections are this close in both directions with a probability of 4e-6.
	nearWindow = 1 << 22
	// maxAhead is the number of bytes after the target's SYN that the caller
	// may acknowledge beyond what the home has seen.
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

// counted reports whether the flow counts towards its target's open flows. UDP
// has no end of flow, so a UDP flow counts until its first reply.
func (f *flow) counted() bool {
	if f.marks&datagrams != 0 {
		return f.phase == opening
	}
	return f.phase == opening || f.phase == open || f.phase == lent
}

// known reports whether the flow's target is known, so that packets need no
// recovery or trial.
func (f *flow) known() bool {
	return f.phase == opening || f.phase == open || f.phase == closed
}

// near reports whether two sequence numbers may be of the same connection.
func near(a, b uint32) bool {
	d := int32(a - b)
	return d > -nearWindow && d < nearWindow
}

// after reports whether sequence number a follows b.
func after(a, b uint32) bool {
	return int32(a-b) > 0
}

// noteCaller updates the flow with a caller's segment.
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

// noteReply updates the flow with a target's segment.
func (f *flow) noteReply(now uint32, s hspacket.Segment) {
	f.seen = now
	// A target that only retransmits its own data has not received the
	// caller's.
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

// ended reports whether both sides have sent a FIN.
func (f *flow) ended() bool {
	return f.marks&(finCaller|finTarget) == finCaller|finTarget
}

// plausible reports whether a caller's segment may belong to the connection that
// the flow records. Numbers that the flow has not recorded are not compared.
func (f *flow) plausible(seq, ack uint32) bool {
	if f.marks&markCaller != 0 && !near(seq, f.caller) {
		return false
	}
	return f.marks&markReply == 0 || near(ack, f.reply)
}

// answers reports whether a target's segment belongs to the connection that the
// flow records: both sequence numbers must be recorded and agree.
func (f *flow) answers(s hspacket.Segment) bool {
	both := markCaller | markReply
	if f.marks&both != both {
		return false
	}
	return near(s.Seq, f.reply) && near(s.Ack, f.caller)
}
