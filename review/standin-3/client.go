package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hstask"
	"heatherstack.org/heatherstack/platform"
)

type (
	// client is one client address with its flows.
	client struct {
		w    *world
		zone string
		addr netip.Addr
		conn *net.UDPConn

		mu       sync.Mutex
		lastPort uint16
		// Channels that take the answers, by the flow's port.
		answers map[uint16]chan answer
	}

	answer struct {
		p      hscookie.Packet
		data   []byte
		sender netip.AddrPort
	}

	clientFlow struct {
		c    *client
		from netip.AddrPort
		to   netip.AddrPort
		in   chan answer
		// Next sequence number, that of the server, and last cookie received.
		seq    uint32
		ack    uint32
		cookie hscookie.Cookie
		// Address of the server that has accepted the flow, or of the host that has
		// refused it.
		server  netip.AddrPort
		refused bool
	}
)

const (
	openTimeout = 1400 * time.Millisecond
	firstPort   = 20000
	inBuffer    = 32
	// resetWindow is the distance from the last acknowledgement up to which a reset
	// counts on an open flow.
	resetWindow = 76800
)

// openingTimes are the times at which a client sends the opening packet and its
// copies, and the end of the attempt.
var openingTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, openTimeout}

func (w *world) addClient(ctx context.Context, zone string, n byte) (*client, error) {
	c := &client{w: w, zone: zone, addr: w.addr(2, n), lastPort: firstPort, answers: map[uint16]chan answer{}}
	var err error
	if c.conn, err = hstask.ListenUDP(netip.AddrPortFrom(c.addr, dataPort)); err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	w.g.Go(func() error {
		<-ctx.Done()
		_ = c.conn.Close()
		return nil
	})
	w.g.Go(func() error {
		c.receive()
		return nil
	})
	return c, nil
}

// receive passes answers to their flows.
func (c *client) receive() {
	buf := make([]byte, maxPacket)
	for {
		n, sender, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		a := answer{sender: sender}
		if code := (platform.Format{}).Decode(buf[:n], &a.p); code != hscode.OK {
			c.w.rec.violation("client %s received bytes that are no packet", c.addr)
			continue
		}
		if !c.w.isHost(sender) && !isGenuine(buf[:n]) {
			c.w.rec.violation("client %s received a packet that its sender did not write so", c.addr)
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

// newFlow returns a flow from a port that was not used before.
func (c *client) newFlow(to netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastPort++
	f := &clientFlow{c: c, from: netip.AddrPortFrom(c.addr, c.lastPort), to: to, in: make(chan answer, inBuffer), seq: rand.Uint32()}
	c.answers[c.lastPort] = f.in
	return f
}

func (f *clientFlow) String() string { return fmt.Sprintf("flow %s>%s", f.from, f.to) }

// open opens the flow and reports whether a server has accepted it.
func (f *clientFlow) open(ctx context.Context) bool {
	begin := time.Now()
	f.c.w.rec.line("opening", "%s", f)
	for i := range len(openingTimes) - 1 {
		f.write(&hscookie.Packet{From: f.from, To: f.to, Flags: hscookie.FlagOpen, Seq: f.seq, Ack: uint32(i)}, nil)
		a, ok := f.await(ctx, time.Until(begin.Add(openingTimes[i+1])))
		if !ok {
			continue
		}
		if a.p.HasAny(hscookie.FlagReset) {
			f.refused, f.server = true, a.sender
			f.c.w.rec.line("unopened", "%s was refused by %s", f, a.sender)
			return false
		}
		f.seq, f.ack, f.cookie, f.server = f.seq+1, a.p.Seq+1, a.p.Cookie, a.sender
		f.write(f.packet(hscookie.FlagAck), nil)
		f.c.w.rec.line("opened", "%s at %s, %.3f s after its first packet", f, f.server, time.Since(begin).Seconds())
		return true
	}
	f.c.w.rec.line("unopened", "%s: no answer", f)
	return false
}

func (f *clientFlow) packet(flags hscookie.Flags) *hscookie.Packet {
	return &hscookie.Packet{From: f.from, To: f.to, Flags: flags, Seq: f.seq, Ack: f.ack, Cookie: f.cookie}
}

// request sends a request and waits for the answer until the deadline. It reports
// whether the flow can be used again.
func (f *clientFlow) request(ctx context.Context, deadline time.Duration) bool {
	w := f.c.w
	id := w.newRequestID()
	body := "check-in " + id
	data := []byte(fmt.Sprintf("POST /check-in HTTP/1.1\r\nHost: desk\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
	w.rec.line("sent", "%s: request %s", f, id)
	begin, wait := time.Now(), retransmitFirst
	for sent := false; time.Since(begin) < deadline && ctx.Err() == nil; wait = min(2*wait, retransmitMax) {
		if !sent {
			f.write(f.packet(hscookie.FlagAck), data)
		}
		for end := time.Now().Add(min(wait, deadline-time.Since(begin))); time.Now().Before(end); {
			a, ok := f.await(ctx, time.Until(end))
			if !ok {
				break
			}
			if a.p.HasAny(hscookie.FlagReset) {
				if !f.accepts(&a) {
					continue
				}
				w.flowReset(f, &a, id)
				return false
			}
			f.cookie = a.p.Cookie
			sent = sent || a.p.Ack == f.seq+uint32(len(data))
			if len(a.data) == 0 || a.p.Seq != f.ack {
				continue
			}
			f.ack += uint32(len(a.data))
			f.seq += uint32(len(data))
			f.write(f.packet(hscookie.FlagAck), nil)
			if !strings.Contains(string(a.data), "Request-Id: "+id+"\r\n") {
				w.rec.violation("%s: answer to request %s belongs to another one", f, id)
				return false
			}
			w.rec.line("answered", "%s: request %s", f, id)
			return !a.p.HasAny(hscookie.FlagFin)
		}
	}
	if ctx.Err() == nil {
		w.requestLost(f, id, "no answer until the deadline")
	}
	return false
}

// rest waits between two requests, and reports whether the flow is still open.
func (f *clientFlow) rest(ctx context.Context, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		a, ok := f.await(ctx, time.Until(end))
		switch {
		case ok && a.p.HasAny(hscookie.FlagReset) && f.accepts(&a):
			f.c.w.flowReset(f, &a, "")
			return false
		case ok && len(a.data) > 0:
			// The acknowledgement was lost.
			f.write(f.packet(hscookie.FlagAck), nil)
		}
	}
	return ctx.Err() == nil
}

// accepts reports whether a reset is near the last acknowledgement of the open flow.
func (f *clientFlow) accepts(a *answer) bool {
	d := int32(a.p.Seq - f.ack)
	return d >= -resetWindow && d <= resetWindow
}

func (f *clientFlow) close() { f.write(f.packet(hscookie.FlagAck|hscookie.FlagFin), nil) }

func (f *clientFlow) await(ctx context.Context, d time.Duration) (answer, bool) {
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

// write sends a packet to the host that the routers of the client's zone select.
func (f *clientFlow) write(p *hscookie.Packet, data []byte) {
	if to, ok := f.c.w.route(f.c.zone, f.from, f.to); ok {
		_, _ = f.c.conn.WriteToUDPAddrPort(encode(p, data), to)
	}
}
