package hslab

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	// Listen is one service that a simulated target runs.
	Listen struct {
		// Number and address of the service.
		Number     uint32
		Address    netip.AddrPort
		Proto      hsflow.Proto
		Idempotent bool
		// Time that the target works on one request.
		Work time.Duration
	}

	// Server is a simulated target: an operating system's TCP and an application
	// that works on a limited number of requests at a time and answers them.
	Server struct {
		listens []Listen
		// Maximum number of requests that it works on at a time; at least 1.
		slots  int
		rng    *rand.Rand
		ledger *Ledger
		conns  map[hsflow.Key]*session
		// The same sessions in the order in which they were accepted.
		list []*session
		// Requests in progress, and requests that wait for a slot.
		jobs  []job
		queue []job
		// Connections and datagram requests accepted since the start; repeated
		// datagrams count once.
		Accepted int
		// Time of the last one.
		AcceptedAt time.Time
		// Packets to send.
		out []hspacket.Spec
		// Datagram requests seen, by flow and id. Like real applications that are
		// not idempotent, the target uses it to answer a repeated request without
		// running it again.
		seen map[datagram]bool
	}

	// session is a TCP connection of the target.
	session struct {
		key    hsflow.Key
		conn   *Conn
		listen *Listen
		// True once the target has closed its end.
		closed bool
		// Requests read and not answered yet.
		open int
		// Time at which the target noticed the end of the connection; zero before.
		doneAt time.Time
	}

	// datagram identifies a datagram request.
	datagram struct {
		key hsflow.Key
		id  uint64
	}

	// job is a request that the target works on or that waits for a slot.
	job struct {
		// Time at which the work is finished.
		done time.Time
		f    frame
		// Nil for a datagram.
		session *session
		listen  *Listen
		// Sender of a datagram.
		caller netip.AddrPort
	}
)

// lingerTime is how long a connection that has ended still responds to late
// segments.
const lingerTime = time.Second

// NewServer returns a target that runs the services listens.
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

// Listen adds a service to those that the target runs.
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

// Take returns the packets that the target has sent since the last call.
func (s *Server) Take() []hspacket.Spec {
	out := s.out
	s.out = nil
	return out
}

// Input handles an IP packet from a caller.
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

// Tick does what is due at now: it finishes requests, runs the timers of
// connections and removes connections that have ended.
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

// forget removes a connection lingerTime after its end, and reports whether the
// connection is removed or has been replaced by a new one of the same flow.
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

// open accepts the connection if the packet is a SYN to a service of the target,
// and refuses it otherwise.
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

// refuse answers a segment of an unknown connection with an RST, as an operating
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

// find returns the service at the packet's destination, or nil.
func (s *Server) find(p *hspacket.Packet) *Listen {
	for i := range s.listens {
		if s.listens[i].Address == p.Dst && s.listens[i].Proto == p.Proto {
			return &s.listens[i]
		}
	}
	return nil
}

// serve reads the complete requests that a connection has received and starts
// them.
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

// closeIfDone closes the target's end of a connection after the caller has closed
// the other and all requests are answered.
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

// start begins to work on a request if a slot is free, and queues it otherwise.
func (s *Server) start(now time.Time, j job) {
	if len(s.jobs) >= s.slots {
		s.queue = append(s.queue, j)
		return
	}
	j.done = now.Add(j.listen.Work)
	s.jobs = append(s.jobs, j)
}

// Next returns the time at which the next request is finished, or limit if that
// is earlier.
func (s *Server) Next(limit time.Time) time.Time {
	for i := range s.jobs {
		if s.jobs[i].done.Before(limit) {
			limit = s.jobs[i].done
		}
	}
	return limit
}

// Work answers the requests that are finished at now and starts queued ones in
// the free slots.
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

// payload returns the TCP or UDP payload of a packet.
func payload(p *hspacket.Packet) []byte {
	return p.Inner[len(p.Inner)-p.Seg.Len:]
}
