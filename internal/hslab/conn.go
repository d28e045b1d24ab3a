// Package hslab simulates the surroundings of the load balancer, which are
// callers, targets, the network fabric and the platform, and runs experiments
// with them. The logic of simulated callers and targets is free of I/O, so that
// tests drive it with a test clock and experiments over real sockets.
package hslab

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	connState uint8

	// Conn is one end of a TCP connection. It implements the parts of an
	// operating system's TCP that matter here: handshake, retransmission,
	// reordering, checks of sequence numbers (RFC 9293, RFC 5961), orderly and
	// abortive close. There is no congestion control, and the window is fixed.
	Conn struct {
		Local  netip.AddrPort
		Remote netip.AddrPort
		// Bytes received in order and not read yet.
		Received []byte
		// True after the other end's FIN and all data before it were received.
		RemoteClosed bool
		// Set when the connection ended without an orderly close.
		Failure Failure

		state connState
		// Initial sequence number of this end.
		iss uint32
		// First unacknowledged and next sequence number to send.
		sndUna uint32
		sndNxt uint32
		// Next sequence number expected from the other end.
		rcvNxt uint32
		// Data to send from sndUna on, without the SYN.
		sendBuf []byte
		// True once this end has been closed, and once its FIN was sent.
		closing bool
		finSent bool
		// Out-of-order data by sequence number; at most maxOutOfOrder.
		outOfOrder map[uint32][]byte
		// Sequence number of the other end's FIN, valid if finReceived.
		finSeq      uint32
		finReceived bool
		// Time of the next retransmission; zero if nothing is unacknowledged.
		timer time.Time
		rto   time.Duration
		// Retransmissions by timer since the last progress.
		retransmissions int
		dupAcks         int
		// Value of sndNxt at the first retransmission. While sndUna is below
		// it, each ACK that advances sndUna retransmits the next segment
		// (RFC 6582).
		recoverTo  uint32
		recovering bool
		// Packets to send.
		out []hspacket.Spec
	}

	// Failure says how a connection ended.
	Failure uint8
)

const (
	stateSynSent connState = iota + 1
	stateSynReceived
	stateOpen
	stateDone
)

// Failures of a connection.
const (
	// NoFailure means that the connection is open or was closed in an orderly
	// way.
	NoFailure Failure = iota
	// Refused means that the other end answered the SYN with an RST.
	Refused
	// Aborted means that an RST ended the open connection.
	Aborted
	// TimedOut means that maxRetransmissions retransmissions in a row were not
	// acknowledged.
	TimedOut
)

const (
	maxSegmentSize     = 1400
	windowSize         = 64 * 1024
	maxOutOfOrder      = 128
	minRTO             = 200 * time.Millisecond
	maxRTO             = time.Second
	maxRetransmissions = 14
	dupAckThreshold    = 3
)

// Dial opens a connection by sending a SYN.
func Dial(now time.Time, rng *rand.Rand, local, remote netip.AddrPort) *Conn {
	c := newConn(rng, local, remote)
	c.state = stateSynSent
	c.sendWithTimer(now, hspacket.SYN, c.iss, nil)
	c.sndNxt = c.iss + 1
	return c
}

// accept returns the connection that the SYN p opens, and sends the SYN-ACK.
func accept(now time.Time, rng *rand.Rand, p *hspacket.Packet) *Conn {
	c := newConn(rng, p.Dst, p.Src)
	c.state = stateSynReceived
	c.rcvNxt = p.Seg.Seq + 1
	c.sendWithTimer(now, hspacket.SYN|hspacket.ACK, c.iss, nil)
	c.sndNxt = c.iss + 1
	return c
}

func newConn(rng *rand.Rand, local, remote netip.AddrPort) *Conn {
	iss := rng.Uint32()
	return &Conn{Local: local, Remote: remote, iss: iss, sndUna: iss, sndNxt: iss, outOfOrder: map[uint32][]byte{}, rto: minRTO}
}

// IsOpen reports whether the handshake is complete and the connection has not
// ended since.
func (c *Conn) IsOpen() bool {
	return c.state == stateOpen
}

// Done reports whether the connection has ended, in an orderly way or not.
func (c *Conn) Done() bool {
	return c.state == stateDone
}

// Write queues data and sends as much of it as the window allows.
func (c *Conn) Write(now time.Time, data []byte) {
	c.sendBuf = append(c.sendBuf, data...)
	c.sendQueued(now)
}

// Close sends a FIN after the queued data.
func (c *Conn) Close(now time.Time) {
	c.closing = true
	c.sendQueued(now)
}

// Abort ends the connection with an RST.
func (c *Conn) Abort() {
	if c.state != stateDone {
		c.send(hspacket.RST|hspacket.ACK, c.sndNxt, nil)
	}
	c.state = stateDone
}

// TakePackets returns the packets that this end has sent since the last call.
func (c *Conn) TakePackets() []hspacket.Spec {
	out := c.out
	c.out = nil
	return out
}

// Input handles a segment from the other end.
func (c *Conn) Input(now time.Time, s hspacket.Segment, payload []byte) {
	switch c.state {
	case stateSynSent:
		c.inputSynSent(now, s)
	case stateSynReceived:
		c.inputSynReceived(now, s, payload)
	case stateOpen:
		c.inputOpen(now, s, payload)
	case stateDone:
		c.inputDone(s)
	}
}

// Tick retransmits if the retransmission timer has expired at now, and ends the
// connection after maxRetransmissions retransmissions in a row.
func (c *Conn) Tick(now time.Time) {
	if c.state == stateDone || c.timer.IsZero() || now.Before(c.timer) {
		return
	}
	c.retransmissions++
	if c.retransmissions > maxRetransmissions {
		c.fail(TimedOut)
		return
	}
	c.rto = min(2*c.rto, maxRTO)
	c.retransmit(now)
}

func (c *Conn) inputSynSent(now time.Time, s hspacket.Segment) {
	if s.Flags.Has(hspacket.ACK) && s.Ack != c.iss+1 {
		if !s.Flags.Has(hspacket.RST) {
			c.sendSegment(hspacket.Segment{Flags: hspacket.RST, Seq: s.Ack}, nil)
		}
		return
	}
	if s.Flags.Has(hspacket.RST) {
		if s.Flags.Has(hspacket.ACK) {
			c.fail(Refused)
		}
		return
	}
	if !s.Flags.Has(hspacket.SYN | hspacket.ACK) {
		return
	}
	c.rcvNxt = s.Seq + 1
	c.sndUna = s.Ack
	c.establish(now)
	c.sendAck()
	c.sendQueued(now)
}

func (c *Conn) inputSynReceived(now time.Time, s hspacket.Segment, payload []byte) {
	if s.Flags.Has(hspacket.RST) {
		if s.Seq == c.rcvNxt {
			c.state = stateDone
		}
		return
	}
	if s.Flags.Has(hspacket.SYN) {
		c.send(hspacket.SYN|hspacket.ACK, c.iss, nil)
		return
	}
	if !s.Flags.Has(hspacket.ACK) {
		return
	}
	if s.Ack != c.iss+1 {
		c.sendSegment(hspacket.Segment{Flags: hspacket.RST, Seq: s.Ack}, nil)
		return
	}
	c.sndUna = s.Ack
	c.establish(now)
	c.inputOpen(now, s, payload)
}

func (c *Conn) establish(now time.Time) {
	c.state = stateOpen
	c.retransmissions = 0
	c.rto = minRTO
	c.timer = time.Time{}
	c.sendQueued(now)
}

func (c *Conn) inputOpen(now time.Time, s hspacket.Segment, payload []byte) {
	offset := int32(s.Seq - c.rcvNxt)
	inWindow := offset < windowSize && offset > -windowSize
	if s.Flags.Has(hspacket.RST) {
		switch {
		case offset == 0:
			c.fail(Aborted)
		case inWindow && offset > 0:
			c.sendAck()
		}
		return
	}
	if s.Flags.Has(hspacket.SYN) || !inWindow {
		c.sendAck()
		return
	}
	if int32(s.Ack-c.sndNxt) > 0 || int32(s.Ack-c.sndUna) < -windowSize {
		c.sendAck()
		return
	}
	c.handleAck(now, s)
	c.receiveData(s, payload)
	c.finishIfClosed()
}

// inputDone acknowledges segments that arrive after an orderly close, so that
// the other end can close too.
func (c *Conn) inputDone(s hspacket.Segment) {
	if c.Failure != NoFailure || s.Flags.Has(hspacket.RST) {
		return
	}
	if s.Flags.Has(hspacket.FIN) || s.Len > 0 {
		c.sendAck()
	}
}

// handleAck handles the acknowledgement number of a segment. After
// dupAckThreshold duplicate ACKs it retransmits the first unacknowledged
// segment.
func (c *Conn) handleAck(now time.Time, s hspacket.Segment) {
	n := int32(s.Ack - c.sndUna)
	if n == 0 && s.Len == 0 && len(c.sendBuf) > 0 && !s.Flags.Has(hspacket.FIN) {
		c.dupAcks++
		if c.dupAcks == dupAckThreshold {
			c.retransmit(now)
		}
	}
	if n <= 0 {
		return
	}
	c.dupAcks = 0
	c.sndUna = s.Ack
	c.sendBuf = c.sendBuf[min(int(n), len(c.sendBuf)):]
	c.retransmissions = 0
	c.rto = minRTO
	c.timer = time.Time{}
	if c.sndNxt != c.sndUna {
		c.timer = now.Add(c.rto)
	}
	if c.recovering && int32(c.recoverTo-c.sndUna) > 0 {
		c.retransmit(now)
	} else {
		c.recovering = false
	}
	c.sendQueued(now)
}

func (c *Conn) receiveData(s hspacket.Segment, payload []byte) {
	if s.Flags.Has(hspacket.FIN) {
		c.finReceived = true
		c.finSeq = s.Seq + uint32(s.Len)
	}
	if len(payload) > 0 && len(c.outOfOrder) < maxOutOfOrder {
		c.outOfOrder[s.Seq] = append([]byte(nil), payload...)
	}
	c.deliverInOrder()
	if c.finReceived && c.rcvNxt == c.finSeq && !c.RemoteClosed {
		c.rcvNxt++
		c.RemoteClosed = true
	}
	if len(payload) > 0 || s.Flags.Has(hspacket.FIN) {
		c.sendAck()
	}
}

// deliverInOrder appends data to Received that has become contiguous with it.
func (c *Conn) deliverInOrder() {
	for moved := true; moved; {
		moved = false
		for seq, data := range c.outOfOrder {
			skip := int32(c.rcvNxt - seq)
			if skip < 0 {
				continue
			}
			delete(c.outOfOrder, seq)
			if int(skip) < len(data) {
				c.Received = append(c.Received, data[skip:]...)
				c.rcvNxt = seq + uint32(len(data))
				moved = true
			}
		}
	}
}

func (c *Conn) finishIfClosed() {
	if c.finSent && c.RemoteClosed && c.sndUna == c.sndNxt {
		c.state = stateDone
	}
}

// sendQueued sends queued data as far as the window allows, and the FIN after
// the last of it if this end has been closed.
func (c *Conn) sendQueued(now time.Time) {
	if c.state != stateOpen {
		return
	}
	for !c.finSent {
		sent := int(c.sndNxt - c.sndUna)
		rest := len(c.sendBuf) - sent
		if rest == 0 || sent >= windowSize {
			break
		}
		n := min(rest, maxSegmentSize)
		c.sendWithTimer(now, hspacket.ACK|hspacket.PSH, c.sndNxt, c.sendBuf[sent:sent+n])
		c.sndNxt += uint32(n)
	}
	if c.closing && !c.finSent && int(c.sndNxt-c.sndUna) == len(c.sendBuf) {
		c.finSent = true
		c.sendWithTimer(now, hspacket.FIN|hspacket.ACK, c.sndNxt, nil)
		c.sndNxt++
	}
}

// retransmit sends the first unacknowledged segment again.
func (c *Conn) retransmit(now time.Time) {
	if !c.recovering {
		c.recovering = true
		c.recoverTo = c.sndNxt
	}
	switch {
	case c.state == stateSynSent:
		c.sendWithTimer(now, hspacket.SYN, c.iss, nil)
	case c.state == stateSynReceived:
		c.sendWithTimer(now, hspacket.SYN|hspacket.ACK, c.iss, nil)
	case len(c.sendBuf) > 0:
		n := min(len(c.sendBuf), maxSegmentSize, int(c.sndNxt-c.sndUna))
		c.sendWithTimer(now, hspacket.ACK|hspacket.PSH, c.sndUna, c.sendBuf[:n])
	case c.finSent:
		c.sendWithTimer(now, hspacket.FIN|hspacket.ACK, c.sndUna, nil)
	}
	c.timer = now.Add(c.rto)
}

func (c *Conn) fail(f Failure) {
	c.state = stateDone
	c.Failure = f
}

func (c *Conn) sendAck() {
	c.send(hspacket.ACK, c.sndNxt, nil)
}

// sendWithTimer sends a segment and starts the retransmission timer if it is
// not running.
func (c *Conn) sendWithTimer(now time.Time, f hspacket.Flags, seq uint32, payload []byte) {
	c.send(f, seq, payload)
	if c.timer.IsZero() {
		c.timer = now.Add(c.rto)
	}
}

// send sends a segment once, with the current acknowledgement number if f has
// the ACK bit.
func (c *Conn) send(f hspacket.Flags, seq uint32, payload []byte) {
	s := hspacket.Segment{Flags: f, Seq: seq}
	if f.Has(hspacket.ACK) {
		s.Ack = c.rcvNxt
	}
	c.sendSegment(s, payload)
}

func (c *Conn) sendSegment(s hspacket.Segment, payload []byte) {
	c.out = append(c.out, hspacket.Spec{
		Proto:   hsflow.TCP,
		Src:     c.Local,
		Dst:     c.Remote,
		Seg:     s,
		Payload: append([]byte(nil), payload...),
	})
}
