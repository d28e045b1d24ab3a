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
		una uint32
		nxt uint32
		// Next sequence number expected from the other end.
		rcv uint32
		// Data to send from una on, without the SYN.
		buf []byte
		// True once this end has been closed, and once its FIN was sent.
		closing bool
		finSent bool
		// Out-of-order data by sequence number; at most maxOutOfOrder.
		early map[uint32][]byte
		// Sequence number of the other end's FIN, valid if hasFin.
		earlyFn uint32
		hasFin  bool
		// Time of the next retransmission; zero if nothing is unacknowledged.
		timer time.Time
		rto   time.Duration
		// Retransmissions by timer since the last progress.
		tries   int
		dupAcks int
		// Value of nxt at the first retransmission. While una is below it, each
		// ACK that advances una retransmits the next segment (RFC 6582).
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
	// NoFailure means that the connection is open or was closed in an orderly way.
	NoFailure Failure = iota
	// Refused means that the other end answered the SYN with an RST.
	Refused
	// Aborted means that an RST ended the open connection.
	Aborted
	// TimedOut means that the retransmissions remained without acknowledgement.
	TimedOut
)

const (
	segmentSize   = 1400
	windowSize    = 64 * 1024
	maxOutOfOrder = 128
	rtoMin        = 200 * time.Millisecond
	rtoMax        = time.Second
	maxTries      = 14
	fastAcks      = 3
)

// Dial opens a connection by sending a SYN.
func Dial(now time.Time, rng *rand.Rand, local, remote netip.AddrPort) *Conn {
	c := newConn(rng, local, remote)
	c.state = stateSynSent
	c.transmit(now, hspacket.SYN, c.iss, nil)
	c.nxt = c.iss + 1
	return c
}

// accept returns the connection that the SYN p opens, and sends the SYN-ACK.
func accept(now time.Time, rng *rand.Rand, p *hspacket.Packet) *Conn {
	c := newConn(rng, p.Dst, p.Src)
	c.state = stateSynReceived
	c.rcv = p.Seg.Seq + 1
	c.transmit(now, hspacket.SYN|hspacket.ACK, c.iss, nil)
	c.nxt = c.iss + 1
	return c
}

func newConn(rng *rand.Rand, local, remote netip.AddrPort) *Conn {
	iss := rng.Uint32()
	return &Conn{Local: local, Remote: remote, iss: iss, una: iss, nxt: iss, early: map[uint32][]byte{}, rto: rtoMin}
}

// Open reports whether the handshake is complete and the connection has not
// ended since.
func (c *Conn) Open() bool {
	return c.state == stateOpen
}

// Done reports whether the connection has ended, in an orderly way or not.
func (c *Conn) Done() bool {
	return c.state == stateDone
}

// Write queues data and sends as much of it as the window allows.
func (c *Conn) Write(now time.Time, data []byte) {
	c.buf = append(c.buf, data...)
	c.push(now)
}

// Close sends a FIN after the queued data.
func (c *Conn) Close(now time.Time) {
	c.closing = true
	c.push(now)
}

// Abort ends the connection with an RST.
func (c *Conn) Abort() {
	if c.state != stateDone {
		c.emit(hspacket.RST|hspacket.ACK, c.nxt, nil)
	}
	c.state = stateDone
}

// Take returns the packets that this end has sent since the last call.
func (c *Conn) Take() []hspacket.Spec {
	out := c.out
	c.out = nil
	return out
}

// Input handles a segment from the other end.
func (c *Conn) Input(now time.Time, s hspacket.Segment, payload []byte) {
	switch c.state {
	case stateSynSent:
		c.inSynSent(now, s)
	case stateSynReceived:
		c.inSynReceived(now, s, payload)
	case stateOpen:
		c.inOpen(now, s, payload)
	case stateDone:
		c.inDone(s)
	}
}

// Tick retransmits if the retransmission timer has expired at now, and ends the
// connection after maxTries retransmissions in a row.
func (c *Conn) Tick(now time.Time) {
	if c.state == stateDone || c.timer.IsZero() || now.Before(c.timer) {
		return
	}
	c.tries++
	if c.tries > maxTries {
		c.fail(TimedOut)
		return
	}
	c.rto = min(2*c.rto, rtoMax)
	c.resend(now)
}

func (c *Conn) inSynSent(now time.Time, s hspacket.Segment) {
	if s.Flags.Has(hspacket.ACK) && s.Ack != c.iss+1 {
		if !s.Flags.Has(hspacket.RST) {
			c.emitRaw(hspacket.Segment{Flags: hspacket.RST, Seq: s.Ack}, nil)
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
	c.rcv = s.Seq + 1
	c.una = s.Ack
	c.establish(now)
	c.ack()
	c.push(now)
}

func (c *Conn) inSynReceived(now time.Time, s hspacket.Segment, payload []byte) {
	if s.Flags.Has(hspacket.RST) {
		if s.Seq == c.rcv {
			c.state = stateDone
		}
		return
	}
	if s.Flags.Has(hspacket.SYN) {
		c.emit(hspacket.SYN|hspacket.ACK, c.iss, nil)
		return
	}
	if !s.Flags.Has(hspacket.ACK) {
		return
	}
	if s.Ack != c.iss+1 {
		c.emitRaw(hspacket.Segment{Flags: hspacket.RST, Seq: s.Ack}, nil)
		return
	}
	c.una = s.Ack
	c.establish(now)
	c.inOpen(now, s, payload)
}

func (c *Conn) establish(now time.Time) {
	c.state = stateOpen
	c.tries = 0
	c.rto = rtoMin
	c.timer = time.Time{}
	c.push(now)
}

func (c *Conn) inOpen(now time.Time, s hspacket.Segment, payload []byte) {
	offset := int32(s.Seq - c.rcv)
	inWindow := offset < windowSize && offset > -windowSize
	if s.Flags.Has(hspacket.RST) {
		switch {
		case offset == 0:
			c.fail(Aborted)
		case inWindow && offset > 0:
			c.ack()
		}
		return
	}
	if s.Flags.Has(hspacket.SYN) || !inWindow {
		c.ack()
		return
	}
	if int32(s.Ack-c.nxt) > 0 || int32(s.Ack-c.una) < -windowSize {
		c.ack()
		return
	}
	c.acked(now, s)
	c.takeData(s, payload)
	c.finishIfClosed()
}

// inDone acknowledges segments that arrive after an orderly close, so that the
// other end can close too.
func (c *Conn) inDone(s hspacket.Segment) {
	if c.Failure != NoFailure || s.Flags.Has(hspacket.RST) {
		return
	}
	if s.Flags.Has(hspacket.FIN) || s.Len > 0 {
		c.ack()
	}
}

// acked handles the acknowledgement number of a segment. After fastAcks
// duplicate ACKs it retransmits the first unacknowledged segment.
func (c *Conn) acked(now time.Time, s hspacket.Segment) {
	n := int32(s.Ack - c.una)
	if n == 0 && s.Len == 0 && len(c.buf) > 0 && !s.Flags.Has(hspacket.FIN) {
		c.dupAcks++
		if c.dupAcks == fastAcks {
			c.resend(now)
		}
	}
	if n <= 0 {
		return
	}
	c.dupAcks = 0
	c.una = s.Ack
	c.buf = c.buf[min(int(n), len(c.buf)):]
	c.tries = 0
	c.rto = rtoMin
	c.timer = time.Time{}
	if c.nxt != c.una {
		c.timer = now.Add(c.rto)
	}
	if c.recovering && int32(c.recoverTo-c.una) > 0 {
		c.resend(now)
	} else {
		c.recovering = false
	}
	c.push(now)
}

func (c *Conn) takeData(s hspacket.Segment, payload []byte) {
	if s.Flags.Has(hspacket.FIN) {
		c.hasFin = true
		c.earlyFn = s.Seq + uint32(s.Len)
	}
	if len(payload) > 0 && len(c.early) < maxOutOfOrder {
		c.early[s.Seq] = append([]byte(nil), payload...)
	}
	c.drain()
	if c.hasFin && c.rcv == c.earlyFn && !c.RemoteClosed {
		c.rcv++
		c.RemoteClosed = true
	}
	if len(payload) > 0 || s.Flags.Has(hspacket.FIN) {
		c.ack()
	}
}

// drain appends data to Received that has become contiguous with it.
func (c *Conn) drain() {
	for moved := true; moved; {
		moved = false
		for seq, data := range c.early {
			skip := int32(c.rcv - seq)
			if skip < 0 {
				continue
			}
			delete(c.early, seq)
			if int(skip) < len(data) {
				c.Received = append(c.Received, data[skip:]...)
				c.rcv = seq + uint32(len(data))
				moved = true
			}
		}
	}
}

func (c *Conn) finishIfClosed() {
	if c.finSent && c.RemoteClosed && c.una == c.nxt {
		c.state = stateDone
	}
}

// push sends queued data as far as the window allows, and the FIN after the last
// of it if this end has been closed.
func (c *Conn) push(now time.Time) {
	if c.state != stateOpen {
		return
	}
	for !c.finSent {
		sent := int(c.nxt - c.una)
		rest := len(c.buf) - sent
		if rest == 0 || sent >= windowSize {
			break
		}
		n := min(rest, segmentSize)
		c.transmit(now, hspacket.ACK|hspacket.PSH, c.nxt, c.buf[sent:sent+n])
		c.nxt += uint32(n)
	}
	if c.closing && !c.finSent && int(c.nxt-c.una) == len(c.buf) {
		c.finSent = true
		c.transmit(now, hspacket.FIN|hspacket.ACK, c.nxt, nil)
		c.nxt++
	}
}

// resend retransmits the first unacknowledged segment.
func (c *Conn) resend(now time.Time) {
	if !c.recovering {
		c.recovering = true
		c.recoverTo = c.nxt
	}
	switch {
	case c.state == stateSynSent:
		c.transmit(now, hspacket.SYN, c.iss, nil)
	case c.state == stateSynReceived:
		c.transmit(now, hspacket.SYN|hspacket.ACK, c.iss, nil)
	case len(c.buf) > 0:
		n := min(len(c.buf), segmentSize, int(c.nxt-c.una))
		c.transmit(now, hspacket.ACK|hspacket.PSH, c.una, c.buf[:n])
	case c.finSent:
		c.transmit(now, hspacket.FIN|hspacket.ACK, c.una, nil)
	}
	c.timer = now.Add(c.rto)
}

func (c *Conn) fail(f Failure) {
	c.state = stateDone
	c.Failure = f
}

func (c *Conn) ack() {
	c.emit(hspacket.ACK, c.nxt, nil)
}

// transmit sends a segment and starts the retransmission timer if it is not
// running.
func (c *Conn) transmit(now time.Time, f hspacket.Flags, seq uint32, payload []byte) {
	c.emit(f, seq, payload)
	if c.timer.IsZero() {
		c.timer = now.Add(c.rto)
	}
}

// emit sends a segment once, with the current acknowledgement number if f has
// the ACK bit.
func (c *Conn) emit(f hspacket.Flags, seq uint32, payload []byte) {
	s := hspacket.Segment{Flags: f, Seq: seq}
	if f.Has(hspacket.ACK) {
		s.Ack = c.rcv
	}
	c.emitRaw(s, payload)
}

func (c *Conn) emitRaw(s hspacket.Segment, payload []byte) {
	c.out = append(c.out, hspacket.Spec{
		Proto:   hsflow.TCP,
		Src:     c.Local,
		Dst:     c.Remote,
		Seg:     s,
		Payload: append([]byte(nil), payload...),
	})
}
