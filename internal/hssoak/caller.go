package hssoak

import (
	"bytes"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// caller is one client address with several concurrent flows.
	caller struct {
		s    *soak
		addr netip.Addr
		conn *net.UDPConn
		mu   sync.Mutex
		// Channels that take the answers for each flow, by the flow's source
		// port.
		answers  map[uint16]chan answer
		lastPort uint16
	}

	answer struct {
		p    hscookie.Packet
		data []byte
		// Address of the sender: a target, or an entry host that reset the
		// flow.
		sender netip.Addr
	}

	// callerFlow is one flow of a caller.
	callerFlow struct {
		c    *caller
		from netip.AddrPort
		to   netip.AddrPort
		// Data of every packet except the final one: the time at which the
		// caller started to open the flow, in Unix microseconds.
		data    []byte
		answers chan answer
		// Cookie of the last answer.
		cookie hscookie.Cookie
		// Acknowledgment number for the target's answer to the opening packet.
		ack uint32
		// Number of the current request.
		seq uint32
	}
)

const (
	flowsPerCaller = 8
	answerBuffer   = 16
	// openTimeout is the time without an answer after which a caller abandons
	// the attempt to open a flow.
	openTimeout = 1400 * time.Millisecond
	// retryInterval is the time without an answer after which a request is
	// repeated.
	retryInterval = 200 * time.Millisecond
	// stallTimeout is the time without an answer after which an open flow
	// counts as lost. It is longer than any injected pause of processes plus
	// the time that routers need to detect one.
	stallTimeout = 15 * time.Second
	maxRequests  = 12
	maxThinkTime = 400 * time.Millisecond
	firstPort    = 20000
)

// openingTimes are the times at which a caller sends the opening packet and its
// retransmissions, and the end of the attempt.
var openingTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, openTimeout}

func (s *soak) addCaller(ctx context.Context, i int) error {
	c := &caller{s: s, addr: s.addr(2, byte(i+1)), answers: map[uint16]chan answer{}, lastPort: firstPort}
	var err error
	if c.conn, err = hstask.ListenUDP(netip.AddrPortFrom(c.addr, dataPort)); err != nil {
		return errors.Trace(err)
	}
	s.g.Go(func() error {
		<-ctx.Done()
		return c.conn.Close()
	})
	s.g.Go(func() error { return c.receive(ctx) })
	for range flowsPerCaller {
		rng := rand.New(rand.NewPCG(s.cfg.Seed, s.randUint64()))
		s.g.Go(func() error {
			for ctx.Err() == nil {
				c.runFlow(ctx, rng)
				hstask.Sleep(ctx, time.Duration(rng.Int64N(int64(maxThinkTime))))
			}
			return nil
		})
	}
	return nil
}

// receive passes answers on to their flows. It drops answers for unknown flows
// and for flows whose channel is full, as a network may do.
func (c *caller) receive(ctx context.Context) error {
	buf := make([]byte, maxPacketSize)
	for {
		n, sender, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		a := answer{sender: sender.Addr()}
		if code := c.s.cfg.Format.Decode(buf[:n], &a.p); code != hscode.OK {
			c.s.checker.fail("caller %s received a packet that cannot be decoded: %s", c.addr, code)
			continue
		}
		a.data = bytes.Clone(buf[n-a.p.DataSize : n])
		c.mu.Lock()
		in := c.answers[a.p.To.Port()]
		c.mu.Unlock()
		select {
		case in <- a:
		default:
		}
	}
}

// runFlow opens a flow, sends a random number of requests on it and closes it.
func (c *caller) runFlow(ctx context.Context, rng *rand.Rand) {
	to := c.s.route(rng)
	c.mu.Lock()
	c.lastPort++
	f := &callerFlow{c: c, from: netip.AddrPortFrom(c.addr, c.lastPort), to: to, answers: make(chan answer, answerBuffer)}
	c.answers[c.lastPort] = f.answers
	c.mu.Unlock()
	f.data = binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixMicro()))
	c.s.checker.addFlow(f.from, to, f.data)
	defer c.s.checker.removeFlow(f.from)
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.answers, f.from.Port())
	}()
	if !f.open(ctx) {
		return
	}
	for range 1 + rng.IntN(maxRequests) {
		if !f.request(ctx) {
			return
		}
		hstask.Sleep(ctx, time.Duration(rng.Int64N(int64(maxThinkTime))))
	}
	f.send(hscookie.FlagAck|hscookie.FlagFin, nil)
}

// open sends the opening packet and its retransmissions until the flow is
// accepted or refused, and reports whether a target accepted it.
func (f *callerFlow) open(ctx context.Context) bool {
	begin := time.Now()
	for i := range len(openingTimes) - 1 {
		f.sendOpening(uint32(i))
		a, ok := f.await(ctx, time.Until(begin.Add(openingTimes[i+1])))
		if !ok {
			continue
		}
		if a.p.HasAny(hscookie.FlagReset) {
			f.c.s.checker.checkRefusal(f.from, f.to, begin, f.c.s.limitsApply(a.sender))
			return false
		}
		f.ack = a.p.Seq + 1
		f.cookie = a.p.Cookie
		f.c.s.checker.flowOpened(f.from, hsfeed.TargetID(binary.BigEndian.Uint64(a.data)))
		return true
	}
	if ctx.Err() == nil {
		f.c.s.checker.flowUnopened()
	}
	return false
}

// request sends a request, repeats it until it is answered, and reports whether
// it was. It stops when the flow is reset or stallTimeout is over.
func (f *callerFlow) request(ctx context.Context) bool {
	f.seq++
	for begin := time.Now(); time.Since(begin) < stallTimeout && ctx.Err() == nil; {
		f.send(hscookie.FlagAck, f.data)
		for {
			a, ok := f.await(ctx, retryInterval)
			if !ok {
				break
			}
			f.cookie = a.p.Cookie
			if a.p.HasAny(hscookie.FlagReset) {
				f.c.s.checker.checkLoss(f.from, "was reset")
				return false
			}
			if a.p.Ack == f.seq && !a.p.HasAny(hscookie.FlagOpen) {
				f.c.s.checker.requestAnswered()
				return true
			}
		}
	}
	if ctx.Err() == nil {
		f.c.s.checker.checkLoss(f.from, "received no answer")
	}
	return false
}

func (f *callerFlow) await(ctx context.Context, d time.Duration) (answer, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case a := <-f.answers:
		return a, true
	case <-t.C:
	case <-ctx.Done():
	}
	return answer{}, false
}

func (f *callerFlow) sendOpening(retransmissions uint32) {
	f.write(&hscookie.Packet{From: f.from, To: f.to, Flags: hscookie.FlagOpen, Ack: retransmissions}, f.data)
}

func (f *callerFlow) send(flags hscookie.Flags, data []byte) {
	f.write(&hscookie.Packet{From: f.from, To: f.to, Flags: flags, Seq: f.seq, Ack: f.ack, Cookie: f.cookie}, data)
}

// write sends a packet to the host that routers select for the flow, if any is
// in rotation. Send errors count as packet loss, after which the caller
// retransmits.
func (f *callerFlow) write(p *hscookie.Packet, data []byte) {
	addr, ok := f.c.s.selectHost(f.from)
	if !ok {
		return
	}
	raw := f.c.s.cfg.Format.AppendPacket(nil, p, data)
	_, _ = f.c.conn.WriteToUDPAddrPort(raw, addr)
}

// selectHost returns the data address of the host that routers select for a
// flow: by a hash modulo the number of hosts in rotation, so that nearly all
// flows move to another host whenever one joins or leaves. It returns false if
// no host is in rotation.
func (s *soak) selectHost(from netip.AddrPort) (netip.AddrPort, bool) {
	var addrs []netip.AddrPort
	for _, h := range s.hosts {
		if h.inRotation() {
			addrs = append(addrs, h.settings.DataAddr)
		}
	}
	if len(addrs) == 0 {
		return netip.AddrPort{}, false
	}
	hash := uint64(from.Port())*2654435761 + uint64(from.Addr().As4()[3])*40503
	return addrs[hash>>4%uint64(len(addrs))], true
}
