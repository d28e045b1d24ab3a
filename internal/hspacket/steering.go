package hspacket

import (
	"encoding/binary"

	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// Kind is the kind of a message between entry hosts. The numbers are part
	// of the protocol and never reused. Several kinds refer to the owner of a
	// target: the entry host that handles all packets of the target's flows.
	Kind uint8

	// Steering is the steering option: the Geneve option that entry hosts add
	// to the packets and control messages that they send to one another. The
	// zero value stands for a packet without the option, which came from the
	// fabric.
	Steering struct {
		Kind Kind
		// Number of times that an entry host has forwarded the packet to
		// another one.
		Hops uint8
		// For KindMiss: 1 if the sender has owned each of its targets among the
		// candidates long enough to know all of their flows, so that its answer
		// proves that none of these targets holds the flow; else 0.
		Authoritative uint8
		// Lower 32 bits of the sender's boot number.
		Boot uint32
		// Identity of the target that the message is about.
		Target uint64
		// A target that the sender owns, and the number of its open flows; zero
		// if the message carries no load.
		LoadTarget uint64
		LoadFlows  uint32
		// Body of a query, hit or miss; nil for other kinds.
		Query *Query
	}

	// Query is the body of a query, hit or miss. It identifies the flow.
	Query struct {
		Flow hsflow.Key
		// For KindQuery: sequence and acknowledgement number of the caller's
		// segment.
		Seq uint32
		Ack uint32
	}
)

const (
	// KindNone is the kind of packets without a steering option, which come
	// from the fabric.
	KindNone Kind = 0
	// KindForwardRanked forwards a caller's packet to the owner of the target
	// that ranks first for its flow.
	KindForwardRanked Kind = 1
	// KindForwardTracked forwards a caller's packet to the owner of the target
	// that the sender knows to hold the flow.
	KindForwardTracked Kind = 2
	// KindReply forwards a target's packet to the target's owner.
	KindReply Kind = 3
	// KindQuery is a query, which asks whether the receiver knows the target
	// that holds a flow.
	KindQuery Kind = 4
	// KindHit answers a query or a trial: Steering.Target holds the flow.
	KindHit Kind = 5
	// KindMiss answers a query: the sender does not know the flow. As the
	// answer to a trial it means that Steering.Target does not hold the flow.
	KindMiss Kind = 6
	// KindTrial is a trial: it forwards a caller's packet to the owner of a
	// target that may hold the flow. The sender waits for a hit or miss.
	KindTrial Kind = 7
)

const (
	// Class and type of the steering option. The class is in the range for
	// experimental use; the type includes criticalTypeBit.
	steeringClass     = 0xFF48
	steeringType      = 0x81
	steeringDataSize  = 28
	loadTargetOffset  = 16
	loadFlowsOffset   = 24
	controlDataSize   = steeringDataSize + hsflow.KeySize + 8
	flowOffset        = steeringDataSize
	seqOffset         = flowOffset + hsflow.KeySize
	ackOffset         = seqOffset + 4
	optionHeaderSize  = 4
	baseHeaderSize    = 8
	etherTypeIPv4     = 0x0800
	etherTypeIPv6     = 0x86DD
	controlFlag       = 0x80
	criticalFlag      = 0x40
	lengthUnit        = 4
	criticalTypeBit   = 0x80
	optionsLengthMask = 0x3F
	optionLengthMask  = 0x1F
)

const (
	// Headroom is the number of bytes that must be free in front of an inner
	// packet for the tunnel header.
	Headroom = baseHeaderSize + optionHeaderSize + steeringDataSize
	// ControlSize is the size in bytes of a query, hit or miss without its MAC.
	ControlSize = baseHeaderSize + optionHeaderSize + controlDataSize
)

// IsControl reports whether messages of this kind are control messages, which
// carry a Query in place of a packet.
func (k Kind) IsControl() bool {
	return k == KindQuery || k == KindHit || k == KindMiss
}

// PrependHeader writes the tunnel header in front of the inner packet that
// starts at buf[inner], and returns the offset at which the header starts. The
// header has no steering option if s.Kind is KindNone.
func PrependHeader(buf []byte, inner int, s *Steering) int {
	etherType := uint16(etherTypeIPv4)
	if buf[inner]>>4 == 6 {
		etherType = etherTypeIPv6
	}
	if s.Kind == KindNone {
		start := inner - baseHeaderSize
		encodeBaseHeader(buf[start:], 0, 0, etherType)
		return start
	}
	start := inner - Headroom
	encodeBaseHeader(buf[start:], optionHeaderSize+steeringDataSize, criticalFlag, etherType)
	encodeSteering(buf[start+baseHeaderSize:], s, steeringDataSize)
	return start
}

// AppendControl appends a query, hit or miss to dst. s.Query must not be nil.
func AppendControl(dst []byte, s *Steering) []byte {
	var b [ControlSize]byte
	encodeBaseHeader(b[:], optionHeaderSize+controlDataSize, controlFlag|criticalFlag, etherTypeIPv4)
	encodeSteering(b[baseHeaderSize:], s, controlDataSize)
	d := b[baseHeaderSize+optionHeaderSize:]
	copy(d[flowOffset:], s.Query.Flow[:])
	binary.BigEndian.PutUint32(d[seqOffset:], s.Query.Seq)
	binary.BigEndian.PutUint32(d[ackOffset:], s.Query.Ack)
	return append(dst, b[:]...)
}

// encodeBaseHeader writes the fixed part of the Geneve header.
func encodeBaseHeader(b []byte, optionBytes int, flags byte, etherType uint16) {
	b[0] = byte(optionBytes / lengthUnit)
	b[1] = flags
	binary.BigEndian.PutUint16(b[2:], etherType)
	binary.BigEndian.PutUint32(b[4:], 0)
}

// encodeSteering writes the header of the steering option and the fields that
// all kinds have. size is the size in bytes of the option's data.
func encodeSteering(b []byte, s *Steering, size int) {
	binary.BigEndian.PutUint16(b[0:], steeringClass)
	b[2] = steeringType
	b[3] = byte(size / lengthUnit)
	d := b[optionHeaderSize:]
	d[0] = byte(s.Kind)
	d[1] = s.Hops
	d[2] = s.Authoritative
	d[3] = 0
	binary.BigEndian.PutUint32(d[4:], s.Boot)
	binary.BigEndian.PutUint64(d[8:], s.Target)
	binary.BigEndian.PutUint64(d[loadTargetOffset:], s.LoadTarget)
	binary.BigEndian.PutUint32(d[loadFlowsOffset:], s.LoadFlows)
}

// decodeSteering decodes the data of a steering option. It reports whether the
// option is valid: of a known kind and of the size that the kind has.
func decodeSteering(d []byte, s *Steering) bool {
	if len(d) != steeringDataSize && len(d) != controlDataSize {
		return false
	}
	s.Kind = Kind(d[0])
	s.Hops = d[1]
	s.Authoritative = d[2]
	s.Boot = binary.BigEndian.Uint32(d[4:])
	s.Target = binary.BigEndian.Uint64(d[8:])
	s.LoadTarget = binary.BigEndian.Uint64(d[loadTargetOffset:])
	s.LoadFlows = binary.BigEndian.Uint32(d[loadFlowsOffset:])
	if s.Kind == KindNone || s.Kind > KindTrial {
		return false
	}
	if s.Kind.IsControl() != (len(d) == controlDataSize) {
		return false
	}
	if s.Kind.IsControl() {
		s.Query = &Query{
			Flow: hsflow.Key(d[flowOffset:seqOffset]),
			Seq:  binary.BigEndian.Uint32(d[seqOffset:]),
			Ack:  binary.BigEndian.Uint32(d[ackOffset:]),
		}
	}
	return true
}
