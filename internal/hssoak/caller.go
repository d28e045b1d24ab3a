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
		// Channels that take the answers for each flow, by the flow's source port.
		flows map[uint16]chan answer
		port  uint16
	}

	answer struct {
		p    hscookie.Packet
		data []byte
		// Address of the sender: a target, or an entry host that reset the flow.
		via netip.Addr
	}

	// call is one flow of a caller.
	call struct {
		c    *caller
		from netip.AddrPort
		to   netip.AddrPort
		// Data of every packet except the final one: the time at which the flow was
		// begun, in Unix microseconds.
		opening []byte
		in      chan answer
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
	answersHeld    = 16
	// openTime is the time without an answer after which a caller abandons the
	// attempt to open a flow.
	openTime = 1400 * time.Millisecond
	// resendTime is the time without an answer after which a request is repeated.
	resendTime = 200 * time.Millisecond
	// stallTime is the time without an answer after which an open flow counts as
	// lost. It is longer than any injected pause of processes plus the time that
	// routers need to detect one.
	stallTime   = 15 * time.Second
	requestsMax = 12
	thinkMax    = 400 * time.Millisecond
	firstPort   = 20000
)

// copyTimes are the times at which a caller sends the opening packet and its
// retransmissions, and the end of the attempt.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, openTime}

func (s *soak) addCaller(ctx context.Context, i int) error {
	c := &caller{s: s, addr: s.addr(2, byte(i+1)), flows: map[uint16]chan answer{}, port: firstPort}
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
		rng := rand.New(rand.NewPCG(s.cfg.Seed, s.uint64()))
		s.g.Go(func() error {
			for ctx.Err() == nil {
				c.call(ctx, rng)
				hstask.Sleep(ctx, time.Duration(rng.Int64N(int64(thinkMax))))
			}
			return nil
		})
	}
	return nil
}

// receive passes answers on to their flows. It drops answers for unknown flows
// and for flows whose channel is full, as a network may do.
func (c *caller) receive(ctx context.Context) error {
	buf := make([]byte, packetLimit)
	for {
		n, via, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		a := answer{via: via.Addr()}
		if code := c.s.cfg.Format.Decode(buf[:n], &a.p); code != hscode.OK {
			c.s.ledger.fail("caller %s received a packet that cannot be decoded: %s", c.addr, code)
			continue
		}
		a.data = bytes.Clone(buf[n-a.p.Size : n])
		c.mu.Lock()
		in := c.flows[a.p.To.Port()]
		c.mu.Unlock()
		select {
		case in <- a:
		default:
		}
	}
}

// call opens a flow, sends a random number of requests on it and closes it.
func (c *caller) call(ctx context.Context, rng *rand.Rand) {
	to := c.s.route(rng)
	c.mu.Lock()
	c.port++
	f := &call{c: c, from: netip.AddrPortFrom(c.addr, c.port), to: to, in: make(chan answer, answersHeld)}
	c.flows[c.port] = f.in
	c.mu.Unlock()
	f.opening = binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixMicro()))
	c.s.ledger.begun(f.from, to, f.opening)
	defer c.s.ledger.done(f.from)
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.flows, f.from.Port())
	}()
	if !f.open(ctx) {
		return
	}
	for range 1 + rng.IntN(requestsMax) {
		if !f.request(ctx) {
			return
		}
		hstask.Sleep(ctx, time.Duration(rng.Int64N(int64(thinkMax))))
	}
	f.send(hscookie.Ack|hscookie.Fin, nil)
}

// open sends the opening packet and its retransmissions until the flow is
// accepted or refused, and reports whether a target accepted it.
func (f *call) open(ctx context.Context) bool {
	begin := time.Now()
	for i := range len(copyTimes) - 1 {
		f.sendOpening(uint32(i))
		a, ok := f.await(ctx, time.Until(begin.Add(copyTimes[i+1])))
		if !ok {
			continue
		}
		if a.p.Has(hscookie.Reset) {
			f.c.s.ledger.refused(f.from, f.to, begin, f.c.s.inTouch(a.via))
			return false
		}
		f.ack = a.p.Seq + 1
		f.cookie = a.p.Cookie
		f.c.s.ledger.open(f.from, hsfeed.TargetID(binary.BigEndian.Uint64(a.data)))
		return true
	}
	if ctx.Err() == nil {
		f.c.s.ledger.unopened()
	}
	return false
}

// request sends a request, repeats it until it is answered, and reports whether
// it was. It stops when the flow is reset or stallTime is over.
func (f *call) request(ctx context.Context) bool {
	f.seq++
	for begin := time.Now(); time.Since(begin) < stallTime && ctx.Err() == nil; {
		f.send(hscookie.Ack, f.opening)
		for {
			a, ok := f.await(ctx, resendTime)
			if !ok {
				break
			}
			f.cookie = a.p.Cookie
			if a.p.Has(hscookie.Reset) {
				f.c.s.ledger.lost(f.from, "was reset")
				return false
			}
			if a.p.Ack == f.seq && !a.p.Has(hscookie.Open) {
				f.c.s.ledger.answered()
				return true
			}
		}
	}
	if ctx.Err() == nil {
		f.c.s.ledger.lost(f.from, "received no answer")
	}
	return false
}

func (f *call) await(ctx context.Context, d time.Duration) (answer, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case a := <-f.in:
		return a, true
	case <-t.C:
	case <-ctx.Done():
	}
	return answer{}, false
}

func (f *call) sendOpening(copies uint32) {
	f.write(&hscookie.Packet{From: f.from, To: f.to, Flags: hscookie.Open, Ack: copies}, f.opening)
}

func (f *call) send(flags hscookie.Flags, data []byte) {
	f.write(&hscookie.Packet{From: f.from, To: f.to, Flags: flags, Seq: f.seq, Ack: f.ack, Cookie: f.cookie}, data)
}

// write sends a packet to the host that routers select for the flow, if any is in
// rotation. Send errors count as packet loss, after which the caller retransmits.
func (f *call) write(p *hscookie.Packet, data []byte) {
	at, ok := f.c.s.pick(f.from)
	if !ok {
		return
	}
	raw := f.c.s.cfg.Format.AppendPacket(nil, p, data)
	_, _ = f.c.conn.WriteToUDPAddrPort(raw, at)
}

// pick returns the data address of the host that routers select for a flow: by a
// hash modulo the number of hosts in rotation, so that nearly all flows move to
// another host whenever one joins or leaves. It returns false if no host is in
// rotation.
func (s *soak) pick(from netip.AddrPort) (netip.AddrPort, bool) {
	var in []netip.AddrPort
	for _, h := range s.hosts {
		if h.inRotation() {
			in = append(in, h.settings.Data)
		}
	}
	if len(in) == 0 {
		return netip.AddrPort{}, false
	}
	hash := uint64(from.Port())*2654435761 + uint64(from.Addr().As4()[3])*40503
	return in[hash>>4%uint64(len(in))], true
}
