package hslab

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	// Workload describes the requests that a simulated caller sends.
	Workload struct {
		// Name, number and address of the service.
		Name          string
		ServiceNumber uint32
		ServiceAddr   netip.AddrPort
		Proto         hsflow.Proto
		Idempotent    bool
		// Size in bytes of the body of a request and of an answer.
		RequestSize uint32
		AnswerSize  uint32
		// Mean time between an answer and the next request.
		ThinkTime time.Duration
		// Maximum number of requests per connection; zero means no limit.
		RequestsPerConn int
	}

	// Tally counts what the callers of one service saw.
	Tally struct {
		// Connections opened, and those of them that were reset, timed out or
		// were closed by the target.
		Opened int
		Broken int
		// Requests sent, and requests answered correctly.
		Sent     int
		Answered int
		// Connections refused with an RST, and datagrams refused with an ICMP
		// error.
		Refused int
		// Requests that remained without an answer.
		Lost int
		// Requests whose connection broke after a part of the answer.
		Truncated int
		// Answers that do not match the caller's request.
		Mismatched int
		// Refused requests that a target ran nevertheless.
		RefusedButRun int
		// Connections that timed out before they were open.
		ConnectTimeouts int
		// Time from a request to its complete answer, in microseconds.
		Latency *hdrhistogram.Histogram
		// Connections that are open now.
		Open int
		// Why connections broke, each with its flow.
		BreakReasons []string
	}

	// ClientConfig configures a Client.
	ClientConfig struct {
		Workload Workload
		// Address of the caller; the Client chooses the ports.
		Address netip.Addr
		RNG     *rand.Rand
		Tally   *Tally
		// Returns request numbers that are unique in the experiment.
		NextRequestID func() uint64
		// Reports whether a target ran a request; may be nil.
		Ran func(id uint64) bool
	}

	// Client is a simulated caller. It opens connections, sends requests and
	// compares each answer byte for byte with the one expected for its request.
	Client struct {
		cfg  ClientConfig
		conn *Conn
		// Local port used last.
		port uint16
		// Request that awaits its answer; its id is zero if there is none.
		pending frame
		sentAt  time.Time
		// Time of the next retransmission of a datagram, and how often the
		// datagram was sent.
		retransmitAt time.Time
		attempts     int
		// Time of the next action while nothing is pending.
		nextAt time.Time
		// True once the connection is counted as opened.
		countedOpen bool
		// Requests answered on the connection.
		answeredOnConn int
		// True if the caller sends no further requests.
		stopping bool
		// True if the caller opens a new connection after the current request.
		reconnect bool
		// Packets to send.
		out []hspacket.Spec
	}
)

const (
	firstPort                  = 20000
	lastPort                   = 60000
	redialDelay                = 250 * time.Millisecond
	datagramRetransmitInterval = 500 * time.Millisecond
	maxDatagramAttempts        = 8
	// Upper limit of the latency histogram in microseconds.
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
	maxBreakReasons          = 20
)

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{Latency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)}
}

// NewClient returns a caller that sends its first packet at start or later.
func NewClient(cfg ClientConfig, start time.Time) *Client {
	return &Client{cfg: cfg, port: firstPort + uint16(cfg.RNG.IntN(lastPort-firstPort)), nextAt: start}
}

// Stop makes the caller close its connection after the current request and send
// no more.
func (c *Client) Stop() {
	c.stopping = true
}

// Reconnect makes the caller close its connection after the current request and
// open a new one.
func (c *Client) Reconnect() {
	c.reconnect = true
}

// ReplaceServiceAddr makes a caller of the service address old connect to next
// from now on. Callers of other services ignore it.
func (c *Client) ReplaceServiceAddr(old, next netip.AddrPort) {
	if c.cfg.Workload.ServiceAddr == old {
		c.cfg.Workload.ServiceAddr = next
	}
}

// Stopped reports whether the caller has been stopped and has neither a pending
// request nor an open connection.
func (c *Client) Stopped() bool {
	return c.stopping && c.pending.id == 0 && (c.conn == nil || c.conn.Done())
}

// DropPending abandons the pending request, if any, and counts it as lost.
func (c *Client) DropPending() {
	if c.pending.id != 0 {
		c.cfg.Tally.Lost++
		c.pending = frame{}
	}
}

// TakePackets returns the packets that the caller has sent since the last call.
func (c *Client) TakePackets() []hspacket.Spec {
	out := c.out
	c.out = nil
	if c.conn != nil {
		out = append(out, c.conn.TakePackets()...)
	}
	return out
}

// Input handles an IP packet addressed to the caller.
func (c *Client) Input(now time.Time, p *hspacket.Packet) {
	if p.Proto == hsflow.UDP {
		c.inputDatagram(now, p)
		return
	}
	if c.conn == nil || c.conn.Local != p.Dst || c.conn.Remote != p.Src {
		return
	}
	c.conn.Input(now, p.Seg, payload(p))
	c.checkConn(now)
}

// InputUnreachable handles an ICMP error about the caller's datagram: the
// pending request counts as refused.
func (c *Client) InputUnreachable(now time.Time) {
	if c.cfg.Workload.Proto != hsflow.UDP || c.pending.id == 0 {
		return
	}
	c.cfg.Tally.Refused++
	if c.cfg.Ran != nil && c.cfg.Ran(c.pending.id) {
		c.cfg.Tally.RefusedButRun++
	}
	c.pending = frame{}
	c.nextAt = now.Add(redialDelay)
}

// Flow returns the flow of the current connection; false if there is none.
func (c *Client) Flow() (hsflow.Key, bool) {
	if c.conn == nil {
		return hsflow.Key{}, false
	}
	return hsflow.NewKey(hsflow.TCP, c.conn.Local, c.conn.Remote), true
}

// Tick does what is due at now: retransmissions, new connections and requests.
func (c *Client) Tick(now time.Time) {
	if c.cfg.Workload.Proto == hsflow.UDP {
		c.tickDatagram(now)
		return
	}
	if c.conn != nil {
		c.conn.Tick(now)
		c.checkConn(now)
	}
	if now.Before(c.nextAt) || c.pending.id != 0 {
		return
	}
	switch {
	case c.conn == nil && !c.stopping:
		c.dial(now)
	case c.conn == nil || !c.conn.IsOpen():
	case c.stopping || c.reconnect || c.requestLimitReached():
		c.conn.Close(now)
	default:
		c.send(now)
	}
}

// requestLimitReached reports whether the connection has reached the limit of
// requests per connection.
func (c *Client) requestLimitReached() bool {
	return c.cfg.Workload.RequestsPerConn > 0 && c.answeredOnConn >= c.cfg.Workload.RequestsPerConn
}

func (c *Client) dial(now time.Time) {
	c.conn = Dial(now, c.cfg.RNG, c.nextLocal(), c.cfg.Workload.ServiceAddr)
	c.countedOpen = false
	c.reconnect = false
	c.answeredOnConn = 0
}

func (c *Client) nextLocal() netip.AddrPort {
	c.port++
	if c.port >= lastPort {
		c.port = firstPort
	}
	return netip.AddrPortFrom(c.cfg.Address, c.port)
}

func (c *Client) newRequest(now time.Time) {
	workload := &c.cfg.Workload
	c.pending = frame{id: c.cfg.NextRequestID(), service: workload.ServiceNumber, bodySize: workload.RequestSize, answerSize: workload.AnswerSize}
	c.sentAt = now
	c.cfg.Tally.Sent++
}

func (c *Client) send(now time.Time) {
	c.newRequest(now)
	c.conn.Write(now, request(c.pending))
}

// checkConn acts on changes of the connection's state after a packet or a
// timer.
func (c *Client) checkConn(now time.Time) {
	if c.conn.IsOpen() && !c.countedOpen {
		c.countedOpen = true
		c.cfg.Tally.Opened++
		c.cfg.Tally.Open++
	}
	if c.pending.id != 0 {
		c.readAnswer(now)
	}
	if c.conn.RemoteClosed && !c.conn.closing {
		c.countBroken("closed by target")
		c.conn.Abort()
	}
	if c.conn.Done() {
		c.connEnded(now)
	}
}

func (c *Client) readAnswer(now time.Time) {
	received := c.conn.Received
	f, complete, valid := parseFrame(received)
	if !complete && valid {
		return
	}
	if !valid || f.id != c.pending.id || f.bodySize != c.pending.answerSize {
		c.rejectAnswer()
		return
	}
	end := frameSize + int(f.bodySize)
	if len(received) < end {
		return
	}
	if !bytes.Equal(received[:end], answer(c.pending)) {
		c.rejectAnswer()
		return
	}
	c.conn.Received = received[end:]
	c.completeRequest(now)
}

// rejectAnswer counts an answer that does not match the request and resets the
// connection.
func (c *Client) rejectAnswer() {
	c.cfg.Tally.Mismatched++
	c.pending = frame{}
	c.conn.Abort()
}

func (c *Client) completeRequest(now time.Time) {
	t := c.cfg.Tally
	t.Answered++
	_ = t.Latency.RecordValue(max(1, now.Sub(c.sentAt).Microseconds()))
	c.pending = frame{}
	c.answeredOnConn++
	c.nextAt = now.Add(c.thinkTime())
}

// thinkTime returns a random think time with the configured mean.
func (c *Client) thinkTime() time.Duration {
	if c.cfg.Workload.ThinkTime <= 0 {
		return 0
	}
	return c.cfg.Workload.ThinkTime/2 + time.Duration(c.cfg.RNG.Int64N(int64(c.cfg.Workload.ThinkTime)))
}

// connEnded counts how the connection ended and schedules the next one.
func (c *Client) connEnded(now time.Time) {
	t := c.cfg.Tally
	switch c.conn.Failure {
	case Refused:
		t.Refused++
	case Aborted, TimedOut:
		if c.countedOpen {
			c.countBroken(failureNames[c.conn.Failure])
		} else {
			t.ConnectTimeouts++
		}
	case NoFailure:
	}
	if c.countedOpen {
		t.Open--
	}
	c.out = append(c.out, c.conn.TakePackets()...)
	c.conn = nil
	c.nextAt = now.Add(redialDelay)
}

var failureNames = map[Failure]string{Aborted: "reset", TimedOut: "timed out"}

// countBroken counts an open connection that was reset, timed out or was closed
// by the target. Its pending request counts as lost or, if a part of the answer
// has arrived, as truncated.
func (c *Client) countBroken(why string) {
	t := c.cfg.Tally
	t.Broken++
	if len(t.BreakReasons) < maxBreakReasons {
		key := hsflow.NewKey(hsflow.TCP, c.conn.Local, c.conn.Remote)
		t.BreakReasons = append(t.BreakReasons, why+": "+key.String())
	}
	if c.pending.id == 0 {
		return
	}
	if len(c.conn.Received) > 0 {
		t.Truncated++
	} else {
		t.Lost++
	}
	c.pending = frame{}
}

func (c *Client) tickDatagram(now time.Time) {
	if c.pending.id == 0 {
		if !c.stopping && !now.Before(c.nextAt) {
			c.newRequest(now)
			c.port = c.nextLocal().Port()
			c.attempts = 0
			c.sendDatagram(now)
		}
		return
	}
	if now.Before(c.retransmitAt) {
		return
	}
	if c.attempts >= maxDatagramAttempts {
		c.DropPending()
		c.nextAt = now.Add(redialDelay)
		return
	}
	c.sendDatagram(now)
}

func (c *Client) sendDatagram(now time.Time) {
	c.attempts++
	c.retransmitAt = now.Add(datagramRetransmitInterval)
	c.out = append(c.out, hspacket.Spec{
		Proto:   hsflow.UDP,
		Src:     netip.AddrPortFrom(c.cfg.Address, c.port),
		Dst:     c.cfg.Workload.ServiceAddr,
		Payload: request(c.pending),
	})
}

func (c *Client) inputDatagram(now time.Time, p *hspacket.Packet) {
	if c.pending.id == 0 || p.Dst.Port() != c.port {
		return
	}
	if !bytes.Equal(payload(p), answer(c.pending)) {
		c.cfg.Tally.Mismatched++
		return
	}
	c.completeRequest(now)
}
