package hspacket

import (
	"encoding/binary"

	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// Kind numbers the steering messages between entry hosts. Numbers are part
	// of the protocol and never reused.
	Kind uint8

	// Steer is the steering word that entry hosts put into a Geneve option.
	// The zero value means that a packet came from the fabric.
	Steer struct {
		Kind Kind
		// Number of times that entry hosts forwarded the packet.
		Hops uint8
		// For KindDeny: one if the sender has been the target's home for so
		// long that it knows all of its flows.
		Sure uint8
		// Boot number of the sender, lower 32 bits.
		Boot uint32
		// Identity of the target that the message is about.
		Target uint64
		// A target homed at the sender and its open flows; zero if none.
		LoadTarget uint64
		LoadFlows  uint32
		// What an ask, claim or deny is about; nil for other kinds.
		Query *Query
	}

	// Query is the body of an ask, claim or deny.
	Query struct {
		Flow hsflow.Key
		// For KindAsk: numbers of the caller's segment.
		Seq uint32
		Ack uint32
	}
)

const (
	// KindNone marks packets from the fabric.
	KindNone Kind = 0
	// KindForward passes a caller's packet to the home of its first-ranked target.
	KindForward Kind = 1
	// KindExact passes a caller's packet to the home of the target that holds the flow.
	KindExact Kind = 2
	// KindReply passes a target's packet to the target's home.
	KindReply Kind = 3
	// KindAsk asks the receiver whether it knows a flow.
	KindAsk Kind = 4
	// KindClaim answers an ask: the flow belongs to the named target.
	KindClaim Kind = 5
	// KindDeny answers an ask: the flow is not known.
	KindDeny Kind = 6
	// KindTry is KindExact of a sender that does not know whether the target
	// holds the flow and waits for a claim or deny.
	KindTry Kind = 7
)

const (
	steerClass    = 0xFF48
	steerType     = 0x81
	steerData     = 28
	loadAt        = 16
	loadFlowsAt   = 24
	controlData   = steerData + hsflow.KeySize + 8
	flowAt        = steerData
	seqAt         = flowAt + hsflow.KeySize
	ackAt         = seqAt + 4
	optionHeader  = 4
	baseHeader    = 8
	etherIPv4     = 0x0800
	etherIPv6     = 0x86DD
	flagControl   = 0x80
	flagCritical  = 0x40
	optionUnit    = 4
	criticalType  = 0x80
	lengthMask    = 0x3F
	optLengthMask = 0x1F
)

const (
	// Headroom is the space that must be free in front of an inner packet.
	Headroom = baseHeader + optionHeader + steerData
	// ControlSize is the size of an ask, claim or deny without its MAC.
	ControlSize = baseHeader + optionHeader + controlData
)

// Control reports whether messages of the kind carry no packet.
func (k Kind) Control() bool {
	return k == KindAsk || k == KindClaim || k == KindDeny
}

// Prepend writes the tunnel header into buf so that it ends at inner, the
// offset of the inner packet, and returns the offset where it starts.
func Prepend(buf []byte, inner int, s *Steer) int {
	ether := uint16(etherIPv4)
	if buf[inner]>>4 == 6 {
		ether = etherIPv6
	}
	if s.Kind == KindNone {
		start := inner - baseHeader
		putBase(buf[start:], 0, 0, ether)
		return start
	}
	start := inner - Headroom
	putBase(buf[start:], optionHeader+steerData, flagCritical, ether)
	putSteer(buf[start+baseHeader:], s, steerData)
	return start
}

// AppendControl appends an ask, claim or deny, which must have a query, to dst.
func AppendControl(dst []byte, s *Steer) []byte {
	var b [ControlSize]byte
	putBase(b[:], optionHeader+controlData, flagControl|flagCritical, etherIPv4)
	putSteer(b[baseHeader:], s, controlData)
	d := b[baseHeader+optionHeader:]
	copy(d[flowAt:], s.Query.Flow[:])
	binary.BigEndian.PutUint32(d[seqAt:], s.Query.Seq)
	binary.BigEndian.PutUint32(d[ackAt:], s.Query.Ack)
	return append(dst, b[:]...)
}

func putBase(b []byte, optionBytes int, flags byte, ether uint16) {
	b[0] = byte(optionBytes / optionUnit)
	b[1] = flags
	binary.BigEndian.PutUint16(b[2:], ether)
	binary.BigEndian.PutUint32(b[4:], 0)
}

func putSteer(b []byte, s *Steer, size int) {
	binary.BigEndian.PutUint16(b[0:], steerClass)
	b[2] = steerType
	b[3] = byte(size / optionUnit)
	d := b[optionHeader:]
	d[0] = byte(s.Kind)
	d[1] = s.Hops
	d[2] = s.Sure
	d[3] = 0
	binary.BigEndian.PutUint32(d[4:], s.Boot)
	binary.BigEndian.PutUint64(d[8:], s.Target)
	binary.BigEndian.PutUint64(d[loadAt:], s.LoadTarget)
	binary.BigEndian.PutUint32(d[loadFlowsAt:], s.LoadFlows)
}

func parseSteer(d []byte, s *Steer) bool {
	if len(d) != steerData && len(d) != controlData {
		return false
	}
	s.Kind = Kind(d[0])
	s.Hops = d[1]
	s.Sure = d[2]
	s.Boot = binary.BigEndian.Uint32(d[4:])
	s.Target = binary.BigEndian.Uint64(d[8:])
	s.LoadTarget = binary.BigEndian.Uint64(d[loadAt:])
	s.LoadFlows = binary.BigEndian.Uint32(d[loadFlowsAt:])
	if s.Kind == KindNone || s.Kind > KindTry {
		return false
	}
	if s.Kind.Control() != (len(d) == controlData) {
		return false
	}
	if s.Kind.Control() {
		s.Query = &Query{
			Flow: hsflow.Key(d[flowAt:seqAt]),
			Seq:  binary.BigEndian.Uint32(d[seqAt:]),
			Ack:  binary.BigEndian.Uint32(d[ackAt:]),
		}
	}
	return true
}
