package hslab

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	// Listen is one service that a stand-in target runs.
	Listen struct {
		Number     uint32
		Address    netip.AddrPort
		Proto      hsflow.Proto
		Idempotent bool
		// Time that one request takes.
		Work time.Duration
	}

	// Server is a stand-in target: an operating system's TCP and an
	// application that answers requests, a few at a time.
	Server struct {
		listens []Listen
		// Requests that it works on at a time; at least 1.
		slots  int
		rng    *rand.Rand
		ledger *Ledger
		conns  map[hsflow.Key]*session
		// The same in the order in which they were accepted.
		list  []*session
		jobs  []job
		queue []job
		// Connections accepted since the start.
		Accepted int
		// Time of the last one.
		AcceptedAt time.Time
		out        []hspacket.Spec
		// Datagram requests seen, by flow and id, as such applications keep
		// them to answer a repeated request without running it again.
		seen map[datagram]bool
	}

	session struct {
		key    hsflow.Key
		conn   *Conn
		listen *Listen
		closed bool
		// Requests read and not answered yet.
		open int
		// Time of the end, for removal.
		doneAt time.Time
	}

	datagram struct {
		key hsflow.Key
		id  uint64
	}

	job struct {
		done time.Time
		f    frame
		// Nil for a datagram.
		session *session
		listen  *Listen
		caller  netip.AddrPort
	}
)

// lingerTime is how long an ended connection answers late segments.
const lingerTime = time.Second

// NewServer returns a target that runs listens.
func NewServer(listens []Listen, slots int, rng *rand.Rand, ledger *Ledger) *Server {
	return &Server{
		listens: listens,
		slots:   slots,
		rng:     rng,
		ledger:  ledger,
		conns:   map[hsflow.Key]*session{},
		seen:    map[datagram]bool{},
	}
}

// Listen lets the target run another service.
func (s *Server) Listen(l Listen) {
	s.listens = append(s.listens, l)
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	n := 0
	for _, c := range s.conns {
		if c.conn.Open() {
			n++
		}
	}
	return n
}

// Take returns the packets to send since the last call.
func (s *Server) Take() []hspacket.Spec {
	out := s.out
	s.out = nil
	return out
}

// Input takes an IP packet from a caller.
func (s *Server) Input(now time.Time, p *hspacket.Packet) {
	if s.find(p) == nil {
		s.ledger.Stray()
	}
	if p.Proto == hsflow.UDP {
		s.datagram(now, p)
		return
	}
	key := p.Key()
	c := s.conns[key]
	if c != nil && c.conn.Done() && p.Seg.Opens() {
		c = nil
	}
	if c == nil {
		c = s.open(now, p, key)
	} else {
		c.conn.Input(now, p.Seg, payload(p))
	}
	if c != nil {
		s.serve(now, c)
	}
}

// Tick lets time pass.
func (s *Server) Tick(now time.Time) {
	s.Work(now)
	kept := s.list[:0]
	for _, c := range s.list {
		c.conn.Tick(now)
		s.flush(c)
		if s.forget(now, c) {
			continue
		}
		kept = append(kept, c)
	}
	clear(s.list[len(kept):])
	s.list = kept
}

// forget removes a connection some time after its end and reports whether it
// is gone.
func (s *Server) forget(now time.Time, c *session) bool {
	if s.conns[c.key] != c {
		return true
	}
	if !c.conn.Done() {
		return false
	}
	if c.doneAt.IsZero() {
		c.doneAt = now
	}
	if now.Sub(c.doneAt) <= lingerTime {
		return false
	}
	delete(s.conns, c.key)
	return true
}

func (s *Server) open(now time.Time, p *hspacket.Packet, key hsflow.Key) *session {
	l := s.find(p)
	if l == nil || !p.Seg.Opens() {
		s.refuse(p)
		return nil
	}
	c := &session{key: key, conn: accept(now, s.rng, p), listen: l}
	s.conns[key] = c
	s.list = append(s.list, c)
	s.Accepted++
	s.AcceptedAt = now
	return c
}

// refuse answers a segment of a connection that is not held, as an operating
// system does.
func (s *Server) refuse(p *hspacket.Packet) {
	if p.Seg.Flags.Has(hspacket.RST) {
		return
	}
	seg := hspacket.Segment{Flags: hspacket.RST | hspacket.ACK, Ack: p.Seg.End()}
	if p.Seg.Flags.Has(hspacket.ACK) {
		seg = hspacket.Segment{Flags: hspacket.RST, Seq: p.Seg.Ack}
	}
	s.out = append(s.out, hspacket.Spec{Proto: hsflow.TCP, Src: p.Dst, Dst: p.Src, Seg: seg})
}

func (s *Server) find(p *hspacket.Packet) *Listen {
	for i := range s.listens {
		if s.listens[i].Address == p.Dst && s.listens[i].Proto == p.Proto {
			return &s.listens[i]
		}
	}
	return nil
}

// serve reads complete requests from a connection.
func (s *Server) serve(now time.Time, c *session) {
	for {
		f, ok, good := parseFrame(c.conn.Received)
		if !ok {
			break
		}
		if !good {
			c.conn.Abort()
			break
		}
		end := frameSize + int(f.size)
		if len(c.conn.Received) < end {
			break
		}
		right := isRequest(f, c.conn.Received[:end]) && f.service == c.listen.Number
		c.conn.Received = c.conn.Received[end:]
		s.ledger.Run(f.id, c.listen.Idempotent, right)
		c.open++
		s.start(now, job{f: f, session: c, listen: c.listen})
	}
	s.closeIfDone(now, c)
	s.flush(c)
}

func (s *Server) closeIfDone(now time.Time, c *session) {
	if c.conn.RemoteClosed && c.open == 0 && !c.closed {
		c.closed = true
		c.conn.Close(now)
	}
}

func (s *Server) datagram(now time.Time, p *hspacket.Packet) {
	l := s.find(p)
	f, ok, good := parseFrame(payload(p))
	if l == nil || !ok || !good {
		return
	}
	d := datagram{p.Key(), f.id}
	if !s.seen[d] || l.Idempotent {
		s.ledger.Run(f.id, l.Idempotent, f.service == l.Number)
	}
	if !s.seen[d] {
		s.Accepted++
		s.AcceptedAt = now
	}
	s.seen[d] = true
	s.start(now, job{f: f, listen: l, caller: p.Src})
}

// start works on a request if a slot is free, else queues it.
func (s *Server) start(now time.Time, j job) {
	if len(s.jobs) >= s.slots {
		s.queue = append(s.queue, j)
		return
	}
	j.done = now.Add(j.listen.Work)
	s.jobs = append(s.jobs, j)
}

// Next returns the time at which the next request is finished, if that is
// before limit.
func (s *Server) Next(limit time.Time) time.Time {
	for i := range s.jobs {
		if s.jobs[i].done.Before(limit) {
			limit = s.jobs[i].done
		}
	}
	return limit
}

// Work answers the requests that are finished and starts those that wait.
func (s *Server) Work(now time.Time) {
	var busy []job
	for _, j := range s.jobs {
		if now.Before(j.done) {
			busy = append(busy, j)
			continue
		}
		s.answer(now, &j)
	}
	s.jobs = busy
	for len(s.queue) > 0 && len(s.jobs) < s.slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.start(now, j)
	}
}

func (s *Server) answer(now time.Time, j *job) {
	data := answer(j.f)
	if j.session == nil {
		s.out = append(s.out, hspacket.Spec{Proto: hsflow.UDP, Src: j.listen.Address, Dst: j.caller, Payload: data})
		return
	}
	j.session.open--
	j.session.conn.Write(now, data)
	s.closeIfDone(now, j.session)
	s.flush(j.session)
}

func (s *Server) flush(c *session) {
	s.out = append(s.out, c.conn.Take()...)
}

func payload(p *hspacket.Packet) []byte {
	return p.Inner[len(p.Inner)-p.Seg.Len:]
}
