package hslab

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	// Listener is one service that a simulated target runs.
	Listener struct {
		// The service's number and address.
		ServiceNumber uint32
		Address       netip.AddrPort
		Proto         hsflow.Proto
		Idempotent    bool
		// Time that the target works on one request.
		ProcessingTime time.Duration
	}

	// Server is a simulated target: an operating system's TCP and an
	// application that works on a limited number of requests at a time and
	// answers them.
	Server struct {
		listeners []Listener
		// Maximum number of requests that it works on at a time; at least 1.
		slots    int
		rng      *rand.Rand
		ledger   *Ledger
		sessions map[hsflow.Key]*session
		// The same sessions in the order in which they were accepted.
		list []*session
		// Requests in progress, and requests that wait for a slot.
		running []job
		queue   []job
		// Connections and datagram requests accepted since the start; repeated
		// datagrams count once.
		Accepted int
		// Time of the last one.
		LastAcceptedAt time.Time
		// Packets to send.
		out []hspacket.Spec
		// Datagram requests seen. Like a real application that is not
		// idempotent, the target uses it to answer a repeated request without
		// running it again.
		seenDatagrams map[datagramID]bool
	}

	// session is a TCP connection of the target.
	session struct {
		key      hsflow.Key
		conn     *Conn
		listener *Listener
		// True once the target has closed its end.
		closed bool
		// Requests read and not answered yet.
		unanswered int
		// Time at which the target noticed the end of the connection; zero
		// before.
		endedAt time.Time
	}

	// datagramID identifies a datagram request by flow and request id.
	datagramID struct {
		key hsflow.Key
		id  uint64
	}

	// job is a request that the target works on or that waits for a slot.
	job struct {
		// Time at which the work is finished.
		finishAt time.Time
		frame    frame
		// Nil for a datagram.
		session  *session
		listener *Listener
		// Sender of a datagram.
		caller netip.AddrPort
	}
)

// timeWait is how long a connection that has ended still responds to late
// segments.
const timeWait = time.Second

// NewServer returns a target that runs the services in listeners.
func NewServer(listeners []Listener, slots int, rng *rand.Rand, ledger *Ledger) *Server {
	return &Server{
		listeners:     listeners,
		slots:         slots,
		rng:           rng,
		ledger:        ledger,
		sessions:      map[hsflow.Key]*session{},
		seenDatagrams: map[datagramID]bool{},
	}
}

// AddListener adds a service to those that the target runs.
func (s *Server) AddListener(l Listener) {
	s.listeners = append(s.listeners, l)
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	n := 0
	for _, c := range s.sessions {
		if c.conn.IsOpen() {
			n++
		}
	}
	return n
}

// TakePackets returns the packets that the target has sent since the last call.
func (s *Server) TakePackets() []hspacket.Spec {
	out := s.out
	s.out = nil
	return out
}

// Input handles an IP packet from a caller.
func (s *Server) Input(now time.Time, p *hspacket.Packet) {
	if s.findListener(p) == nil {
		s.ledger.RecordMisdelivered()
	}
	if p.Proto == hsflow.UDP {
		s.inputDatagram(now, p)
		return
	}
	key := p.Key()
	c := s.sessions[key]
	if c != nil && c.conn.Done() && p.Seg.Opens() {
		c = nil
	}
	if c == nil {
		c = s.acceptConn(now, p, key)
	} else {
		c.conn.Input(now, p.Seg, payload(p))
	}
	if c != nil {
		s.readRequests(now, c)
	}
}

// Tick does what is due at now: it finishes requests, runs the timers of
// connections and removes connections that have ended.
func (s *Server) Tick(now time.Time) {
	s.CompleteRequests(now)
	kept := s.list[:0]
	for _, c := range s.list {
		c.conn.Tick(now)
		s.flush(c)
		if s.removeEnded(now, c) {
			continue
		}
		kept = append(kept, c)
	}
	clear(s.list[len(kept):])
	s.list = kept
}

// removeEnded removes a connection timeWait after its end, and reports whether
// the connection is removed or has been replaced by a new one of the same flow.
func (s *Server) removeEnded(now time.Time, c *session) bool {
	if s.sessions[c.key] != c {
		return true
	}
	if !c.conn.Done() {
		return false
	}
	if c.endedAt.IsZero() {
		c.endedAt = now
	}
	if now.Sub(c.endedAt) <= timeWait {
		return false
	}
	delete(s.sessions, c.key)
	return true
}

// acceptConn accepts the connection if the packet is a SYN to a service of the
// target, and refuses it otherwise.
func (s *Server) acceptConn(now time.Time, p *hspacket.Packet, key hsflow.Key) *session {
	l := s.findListener(p)
	if l == nil || !p.Seg.Opens() {
		s.sendReset(p)
		return nil
	}
	c := &session{key: key, conn: accept(now, s.rng, p), listener: l}
	s.sessions[key] = c
	s.list = append(s.list, c)
	s.Accepted++
	s.LastAcceptedAt = now
	return c
}

// sendReset answers a segment of an unknown connection with an RST, as an
// operating system does.
func (s *Server) sendReset(p *hspacket.Packet) {
	if p.Seg.Flags.Has(hspacket.RST) {
		return
	}
	seg := hspacket.Segment{Flags: hspacket.RST | hspacket.ACK, Ack: p.Seg.End()}
	if p.Seg.Flags.Has(hspacket.ACK) {
		seg = hspacket.Segment{Flags: hspacket.RST, Seq: p.Seg.Ack}
	}
	s.out = append(s.out, hspacket.Spec{Proto: hsflow.TCP, Src: p.Dst, Dst: p.Src, Seg: seg})
}

// findListener returns the service at the packet's destination, or nil.
func (s *Server) findListener(p *hspacket.Packet) *Listener {
	for i := range s.listeners {
		if s.listeners[i].Address == p.Dst && s.listeners[i].Proto == p.Proto {
			return &s.listeners[i]
		}
	}
	return nil
}

// readRequests reads the complete requests that a connection has received and
// starts them.
func (s *Server) readRequests(now time.Time, c *session) {
	for {
		f, complete, valid := parseFrame(c.conn.Received)
		if !complete {
			break
		}
		if !valid {
			c.conn.Abort()
			break
		}
		end := frameSize + int(f.bodySize)
		if len(c.conn.Received) < end {
			break
		}
		correct := isRequest(f, c.conn.Received[:end]) && f.service == c.listener.ServiceNumber
		c.conn.Received = c.conn.Received[end:]
		s.ledger.RecordRun(f.id, c.listener.Idempotent, correct)
		c.unanswered++
		s.start(now, job{frame: f, session: c, listener: c.listener})
	}
	s.closeIfDone(now, c)
	s.flush(c)
}

// closeIfDone closes the target's end of a connection after the caller has
// closed the other and all requests are answered.
func (s *Server) closeIfDone(now time.Time, c *session) {
	if c.conn.RemoteClosed && c.unanswered == 0 && !c.closed {
		c.closed = true
		c.conn.Close(now)
	}
}

func (s *Server) inputDatagram(now time.Time, p *hspacket.Packet) {
	l := s.findListener(p)
	f, complete, valid := parseFrame(payload(p))
	if l == nil || !complete || !valid {
		return
	}
	d := datagramID{p.Key(), f.id}
	if !s.seenDatagrams[d] || l.Idempotent {
		s.ledger.RecordRun(f.id, l.Idempotent, f.service == l.ServiceNumber)
	}
	if !s.seenDatagrams[d] {
		s.Accepted++
		s.LastAcceptedAt = now
	}
	s.seenDatagrams[d] = true
	s.start(now, job{frame: f, listener: l, caller: p.Src})
}

// start begins to work on a request if a slot is free, and queues it otherwise.
func (s *Server) start(now time.Time, j job) {
	if len(s.running) >= s.slots {
		s.queue = append(s.queue, j)
		return
	}
	j.finishAt = now.Add(j.listener.ProcessingTime)
	s.running = append(s.running, j)
}

// NextCompletion returns the time at which the next request is finished, or
// limit, whichever is earlier.
func (s *Server) NextCompletion(limit time.Time) time.Time {
	for i := range s.running {
		if s.running[i].finishAt.Before(limit) {
			limit = s.running[i].finishAt
		}
	}
	return limit
}

// CompleteRequests answers the requests that are finished at now and starts
// queued ones in the free slots.
func (s *Server) CompleteRequests(now time.Time) {
	var unfinished []job
	for _, j := range s.running {
		if now.Before(j.finishAt) {
			unfinished = append(unfinished, j)
			continue
		}
		s.answer(now, &j)
	}
	s.running = unfinished
	for len(s.queue) > 0 && len(s.running) < s.slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.start(now, j)
	}
}

func (s *Server) answer(now time.Time, j *job) {
	data := answer(j.frame)
	if j.session == nil {
		s.out = append(s.out, hspacket.Spec{Proto: hsflow.UDP, Src: j.listener.Address, Dst: j.caller, Payload: data})
		return
	}
	j.session.unanswered--
	j.session.conn.Write(now, data)
	s.closeIfDone(now, j.session)
	s.flush(j.session)
}

func (s *Server) flush(c *session) {
	s.out = append(s.out, c.conn.TakePackets()...)
}

// payload returns the TCP or UDP payload of a packet.
func payload(p *hspacket.Packet) []byte {
	return p.Inner[len(p.Inner)-p.Seg.Len:]
}
