package main

import (
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
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
	"heatherstack.org/heatherstack/platform"
)

type (
	// server is a server that answers clients directly and registers itself in the
	// store.
	server struct {
		w     *world
		entry hsfeed.Target
		conn  *net.UDPConn
		slots chan struct{}

		mu    sync.Mutex
		flows map[netip.AddrPort]*serverFlow
		// When the store acknowledged that the server drains; zero before.
		drainAcked time.Time
		ended      bool
		left       bool
	}

	serverFlow struct {
		s    *server
		from netip.AddrPort
		to   netip.AddrPort
		isn  uint32
		// Next sequence number of the server, next one expected of the client, and
		// last cookie received.
		seq    uint32
		next   uint32
		cookie hscookie.Cookie
		open   bool
		closed bool
		// Data that the client has not acknowledged yet, and its sequence number.
		unacked    []byte
		unackedSeq uint32
	}
)

const (
	beatInterval    = 1200 * time.Millisecond
	retransmitFirst = 200 * time.Millisecond
	retransmitMax   = 1600 * time.Millisecond
	maxRetransmits  = 8
	maxPacket       = 2048
)

func (w *world) addServer(ctx context.Context, service, zone string, n byte) error {
	addr := netip.AddrPortFrom(w.addr(1, n), serverPort)
	conn, err := hstask.ListenUDP(addr)
	if err != nil {
		return fmt.Errorf("server: %w", err)
	}
	s := &server{w: w, conn: conn, slots: make(chan struct{}, slotCount), flows: map[netip.AddrPort]*serverFlow{}, entry: hsfeed.Target{
		ID: hsfeed.TargetID(0x7f3a0000 + uint64(n)), Service: service, Zone: zone, Address: addr,
		Slots: slotCount, StartUnixMilli: time.Now().UnixMilli(),
	}}
	w.servers = append(w.servers, s)
	w.g.Go(func() error {
		<-ctx.Done()
		_ = conn.Close()
		return nil
	})
	w.g.Go(func() error {
		s.receive(ctx)
		return nil
	})
	s.beat()
	w.g.Go(func() error {
		for ctx.Err() == nil && !s.hasEnded() {
			hstask.Sleep(ctx, beatInterval)
			s.beat()
		}
		return nil
	})
	return nil
}

func (s *server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// beat writes the server's entry. The store makes no revision if nothing changed.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.left {
		return
	}
	entry := s.entry
	s.w.store.Publish(&hsfeed.Event{Target: &entry})
}

// drain reports that the server drains. It keeps serving.
func (s *server) drain() {
	s.mu.Lock()
	s.entry.Draining = true
	s.mu.Unlock()
	s.beat()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainAcked = time.Now()
	s.w.rec.line("drain", "%s: the store has accepted that it drains", s.name())
}

// end removes the server's entry and ends the server; its flows are lost.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left, s.ended = true, true
	s.w.store.Publish(&hsfeed.Event{Removed: s.entry.ID})
	_ = s.conn.Close()
	s.w.rec.line("end", "%s has ended", s.name())
}

func (s *server) name() string {
	return fmt.Sprintf("server %x of %s at %s", uint64(s.entry.ID), s.entry.Service, s.entry.Address)
}

func (s *server) receive(ctx context.Context) {
	buf := make([]byte, maxPacket)
	for ctx.Err() == nil {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		s.handle(ctx, buf[:n])
	}
}

// handle processes a packet that a host has forwarded. One that names another server
// is ignored.
func (s *server) handle(ctx context.Context, raw []byte) {
	var p hscookie.Packet
	id, code := platform.Format{}.DecodeAtTarget(raw, &p)
	if code != hscode.OK || !isGenuine(raw[idSize:]) {
		s.w.rec.violation("%s received a packet that its sender did not write so", s.name())
		return
	}
	if id != 0 && id != s.entry.ID {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.From]
	if p.HasAny(hscookie.FlagOpen) {
		s.handleOpening(&p, f)
		return
	}
	if f == nil || (!f.open && p.Ack != f.isn+1) || (f.closed && p.DataSize > 0) {
		s.send(&hscookie.Packet{From: p.To, To: p.From, Flags: hscookie.FlagReset, Seq: p.Ack, Cookie: p.Cookie}, nil)
		return
	}
	if !f.open {
		f.open = true
		s.w.flowOpened(s, f)
	}
	f.cookie = p.Cookie
	f.handle(ctx, &p, raw[len(raw)-p.DataSize:])
}

func (s *server) handleOpening(p *hscookie.Packet, f *serverFlow) {
	if f == nil || f.to != p.To {
		isn := rand.Uint32()
		f = &serverFlow{s: s, from: p.From, to: p.To, isn: isn, seq: isn + 1, next: p.Seq + 1}
		s.flows[p.From] = f
	}
	if f.open {
		return
	}
	f.cookie = p.Cookie
	s.send(&hscookie.Packet{From: f.to, To: f.from, Flags: hscookie.FlagOpen | hscookie.FlagAck, Seq: f.isn, Ack: f.next, Cookie: f.cookie}, nil)
}

// handle processes a later packet of the flow. s.mu has to be locked.
func (f *serverFlow) handle(ctx context.Context, p *hscookie.Packet, data []byte) {
	if p.HasAny(hscookie.FlagReset) {
		delete(f.s.flows, f.from)
		return
	}
	if len(f.unacked) > 0 && p.Ack == f.unackedSeq+uint32(len(f.unacked)) {
		f.unacked = nil
	}
	switch {
	case p.HasAny(hscookie.FlagFin):
		f.closed = true
		f.ack(hscookie.FlagFin)
	case len(data) > 0 && p.Seq == f.next:
		f.next += uint32(len(data))
		f.ack(0)
		request := string(data)
		f.s.w.g.Go(func() error {
			f.run(ctx, request)
			return nil
		})
	case len(data) > 0:
		f.ack(0)
	}
}

func (f *serverFlow) ack(flags hscookie.Flags) {
	f.s.send(&hscookie.Packet{From: f.to, To: f.from, Flags: hscookie.FlagAck | flags, Seq: f.seq, Ack: f.next, Cookie: f.cookie}, nil)
}

// run runs a request in one of the server's slots and answers it.
func (f *serverFlow) run(ctx context.Context, request string) {
	f.s.slots <- struct{}{}
	defer func() { <-f.s.slots }()
	id := requestID(request)
	f.s.w.requestRun(f.s, f.to, id)
	hstask.Sleep(ctx, f.s.w.sc.work)
	body := "done " + id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %x\r\nContent-Length: %d\r\n\r\n%s", id, uint64(f.s.entry.ID), len(body), body)
	f.s.mu.Lock()
	f.unacked, f.unackedSeq = []byte(answer), f.seq
	f.seq += uint32(len(answer))
	seq := f.unackedSeq
	f.s.mu.Unlock()
	wait := retransmitFirst
	for range maxRetransmits {
		f.s.mu.Lock()
		flags := hscookie.FlagAck
		if f.s.entry.Draining {
			flags |= hscookie.FlagFin
		}
		done := len(f.unacked) == 0 || f.unackedSeq != seq || f.s.ended
		if !done {
			f.s.send(&hscookie.Packet{From: f.to, To: f.from, Flags: flags, Seq: seq, Ack: f.next, Cookie: f.cookie}, f.unacked)
		}
		f.s.mu.Unlock()
		if done || ctx.Err() != nil {
			return
		}
		hstask.Sleep(ctx, wait)
		wait = min(2*wait, retransmitMax)
	}
}

// send sends a packet to the client. A lost one is sent again by its sender.
func (s *server) send(p *hscookie.Packet, data []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(encode(p, data), netip.AddrPortFrom(p.To.Addr(), dataPort))
}

// requestID returns the identity of a request, or an empty string.
func requestID(request string) string {
	_, rest, _ := strings.Cut(request, "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
