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
	// Script is what a stand-in caller does.
	Script struct {
		Name       string
		Number     uint32
		Service    netip.AddrPort
		Proto      hsflow.Proto
		Idempotent bool
		// Bytes of a request's and an answer's body.
		Request uint32
		Answer  uint32
		// Mean time between an answer and the next request.
		Think time.Duration
		// Requests per connection; zero for a connection that stays open.
		Requests int
	}

	// Tally counts what the callers of one service saw.
	Tally struct {
		Opened   int
		Broken   int
		Sent     int
		Answered int
		Refused  int
		Lost     int
		Cut      int
		Crossed  int
		// Refused requests that ran all the same.
		RefusedRun int
		// Connections that the caller could not open for want of any answer.
		Unopened int
		// Time from request to whole answer, in microseconds.
		Latency *hdrhistogram.Histogram
		// Connections that are open now.
		Open int
		// Why connections broke, for diagnosis.
		Notes []string
	}

	// ClientConfig holds what a Client is made of.
	ClientConfig struct {
		Script Script
		// Address of the caller; ports are chosen from it.
		Address netip.Addr
		RNG     *rand.Rand
		Tally   *Tally
		// Returns request numbers that are unique in the experiment.
		NextID func() uint64
		// Reports whether a request ran; may be nil.
		Ran func(id uint64) bool
	}

	// Client is a stand-in caller. It opens connections, sends requests and
	// checks each answer byte for byte against its own request.
	Client struct {
		cfg  ClientConfig
		conn *Conn
		// Next local port.
		port uint16
		// Request without an answer; id zero if there is none.
		pending frame
		sentAt  time.Time
		retryAt time.Time
		tries   int
		// Time of the next action while nothing is pending.
		nextAt  time.Time
		counted bool
		done    int
		// No further requests are sent.
		stopping bool
		// The connection is replaced after the present request.
		recycle bool
		out     []hspacket.Spec
	}
)

const (
	firstPort     = 20000
	lastPort      = 60000
	redialAfter   = 250 * time.Millisecond
	datagramRetry = 500 * time.Millisecond
	datagramTries = 8
	latencyMax    = 60_000_000
	latencyDigits = 3
	maxNotes      = 20
)

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{Latency: hdrhistogram.New(1, latencyMax, latencyDigits)}
}

// NewClient returns a caller that begins at start.
func NewClient(cfg ClientConfig, start time.Time) *Client {
	return &Client{cfg: cfg, port: firstPort + uint16(cfg.RNG.IntN(lastPort-firstPort)), nextAt: start}
}

// Stop lets the caller finish its request and close its connection.
func (c *Client) Stop() {
	c.stopping = true
}

// Recycle makes the caller close its connection after the present request and
// open another one.
func (c *Client) Recycle() {
	c.recycle = true
}

// Retarget makes the caller dial another address from now on, if it dials old.
func (c *Client) Retarget(old, next netip.AddrPort) {
	if c.cfg.Script.Service == old {
		c.cfg.Script.Service = next
	}
}

// Idle reports whether a stopped caller has finished.
func (c *Client) Idle() bool {
	return c.stopping && c.pending.id == 0 && (c.conn == nil || c.conn.Done())
}

// Finish counts what is still unanswered as lost.
func (c *Client) Finish() {
	if c.pending.id != 0 {
		c.cfg.Tally.Lost++
		c.pending = frame{}
	}
}

// Take returns the packets to send since the last call.
func (c *Client) Take() []hspacket.Spec {
	out := c.out
	c.out = nil
	if c.conn != nil {
		out = append(out, c.conn.Take()...)
	}
	return out
}

// Input takes an IP packet to the caller.
func (c *Client) Input(now time.Time, p *hspacket.Packet) {
	if p.Proto == hsflow.UDP {
		c.datagram(now, p)
		return
	}
	if c.conn == nil || c.conn.Local != p.Dst || c.conn.Remote != p.Src {
		return
	}
	c.conn.Input(now, p.Seg, payload(p))
	c.progress(now)
}

// Unreachable takes an ICMP error about a datagram that the caller sent.
func (c *Client) Unreachable(now time.Time) {
	if c.cfg.Script.Proto != hsflow.UDP || c.pending.id == 0 {
		return
	}
	c.cfg.Tally.Refused++
	if c.cfg.Ran != nil && c.cfg.Ran(c.pending.id) {
		c.cfg.Tally.RefusedRun++
	}
	c.pending = frame{}
	c.nextAt = now.Add(redialAfter)
}

// Flow returns the flow of the present connection.
func (c *Client) Flow() (hsflow.Key, bool) {
	if c.conn == nil {
		return hsflow.Key{}, false
	}
	return hsflow.NewKey(hsflow.TCP, c.conn.Local, c.conn.Remote), true
}

// Tick lets time pass.
func (c *Client) Tick(now time.Time) {
	if c.cfg.Script.Proto == hsflow.UDP {
		c.tickDatagram(now)
		return
	}
	if c.conn != nil {
		c.conn.Tick(now)
		c.progress(now)
	}
	if now.Before(c.nextAt) || c.pending.id != 0 {
		return
	}
	switch {
	case c.conn == nil && !c.stopping:
		c.dial(now)
	case c.conn == nil || !c.conn.Open():
	case c.stopping || c.recycle || c.worn():
		c.conn.Close(now)
	default:
		c.send(now)
	}
}

func (c *Client) worn() bool {
	return c.cfg.Script.Requests > 0 && c.done >= c.cfg.Script.Requests
}

func (c *Client) dial(now time.Time) {
	c.conn = Dial(now, c.cfg.RNG, c.nextLocal(), c.cfg.Script.Service)
	c.counted = false
	c.recycle = false
	c.done = 0
}

func (c *Client) nextLocal() netip.AddrPort {
	c.port++
	if c.port >= lastPort {
		c.port = firstPort
	}
	return netip.AddrPortFrom(c.cfg.Address, c.port)
}

func (c *Client) newRequest(now time.Time) {
	s := &c.cfg.Script
	c.pending = frame{id: c.cfg.NextID(), service: s.Number, size: s.Request, answer: s.Answer}
	c.sentAt = now
	c.cfg.Tally.Sent++
}

func (c *Client) send(now time.Time) {
	c.newRequest(now)
	c.conn.Write(now, request(c.pending))
}

// progress looks at what the last event did to the connection.
func (c *Client) progress(now time.Time) {
	if c.conn.Open() && !c.counted {
		c.counted = true
		c.cfg.Tally.Opened++
		c.cfg.Tally.Open++
	}
	if c.pending.id != 0 {
		c.readAnswer(now)
	}
	if c.conn.RemoteClosed && !c.conn.closing {
		c.broken("closed by target")
		c.conn.Abort()
	}
	if c.conn.Done() {
		c.ended(now)
	}
}

func (c *Client) readAnswer(now time.Time) {
	got := c.conn.Received
	f, ok, good := parseFrame(got)
	if !ok && good {
		return
	}
	if !good || f.id != c.pending.id || f.size != c.pending.answer {
		c.cross()
		return
	}
	end := frameSize + int(f.size)
	if len(got) < end {
		return
	}
	if !bytes.Equal(got[:end], answer(c.pending)) {
		c.cross()
		return
	}
	c.conn.Received = got[end:]
	c.answered(now)
}

func (c *Client) cross() {
	c.cfg.Tally.Crossed++
	c.pending = frame{}
	c.conn.Abort()
}

func (c *Client) answered(now time.Time) {
	t := c.cfg.Tally
	t.Answered++
	_ = t.Latency.RecordValue(max(1, now.Sub(c.sentAt).Microseconds()))
	c.pending = frame{}
	c.done++
	c.nextAt = now.Add(c.pause())
}

func (c *Client) pause() time.Duration {
	if c.cfg.Script.Think <= 0 {
		return 0
	}
	return c.cfg.Script.Think/2 + time.Duration(c.cfg.RNG.Int64N(int64(c.cfg.Script.Think)))
}

// ended takes note of how a connection ended.
func (c *Client) ended(now time.Time) {
	t := c.cfg.Tally
	switch c.conn.Failure {
	case Refused:
		t.Refused++
	case Aborted, TimedOut:
		if c.counted {
			c.broken(failureNames[c.conn.Failure])
		} else {
			t.Unopened++
		}
	case NoFailure:
	}
	if c.counted {
		t.Open--
	}
	c.out = append(c.out, c.conn.Take()...)
	c.conn = nil
	c.nextAt = now.Add(redialAfter)
}

var failureNames = map[Failure]string{Aborted: "reset", TimedOut: "timed out"}

// broken counts an established connection that ended without the caller's wish.
func (c *Client) broken(why string) {
	t := c.cfg.Tally
	t.Broken++
	if len(t.Notes) < maxNotes {
		key := hsflow.NewKey(hsflow.TCP, c.conn.Local, c.conn.Remote)
		t.Notes = append(t.Notes, why+": "+key.String())
	}
	if c.pending.id == 0 {
		return
	}
	if len(c.conn.Received) > 0 {
		t.Cut++
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
			c.tries = 0
			c.sendDatagram(now)
		}
		return
	}
	if now.Before(c.retryAt) {
		return
	}
	if c.tries >= datagramTries {
		c.Finish()
		c.nextAt = now.Add(redialAfter)
		return
	}
	c.sendDatagram(now)
}

func (c *Client) sendDatagram(now time.Time) {
	c.tries++
	c.retryAt = now.Add(datagramRetry)
	c.out = append(c.out, hspacket.Spec{
		Proto:   hsflow.UDP,
		Src:     netip.AddrPortFrom(c.cfg.Address, c.port),
		Dst:     c.cfg.Script.Service,
		Payload: request(c.pending),
	})
}

func (c *Client) datagram(now time.Time, p *hspacket.Packet) {
	if c.pending.id == 0 || p.Dst.Port() != c.port {
		return
	}
	if !bytes.Equal(payload(p), answer(c.pending)) {
		c.cfg.Tally.Crossed++
		return
	}
	c.answered(now)
}
