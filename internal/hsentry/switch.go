package hsentry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hshome"
	"heatherstack.org/heatherstack/internal/hskey"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hssocket"
)

type (
	// switchMessage is a message to the switch task: an input of the core, or
	// a question.
	switchMessage struct {
		input hshome.Input
		// If set, the task answers with its status instead.
		status chan<- SwitchStatus
		// If set, the task says whether it could take the input.
		taken chan<- bool
	}

	// SwitchStatus is what the switch task tells the status page.
	SwitchStatus struct {
		Flows  int
		Stats  hshome.Stats
		Counts map[hscode.Code]uint64
		Loads  []hshome.Load
		// True while no new flow is placed.
		Paused bool
	}

	// switcher is the state of the switch task.
	switcher struct {
		e    *Entry
		core *hshome.Core
		out  *hssocket.Sender
		ring *hskey.Ring
		dec  hspacket.Decoder
		pkt  hspacket.Packet
		// Outputs of the step under way; reused.
		outputs []hshome.Output
		input   hshome.Input
		paused  bool
		// Counts before the core exists and of this task's own drops.
		counts map[hscode.Code]uint64
		// Time of the last tick and of the last caller's packet.
		ticked  time.Time
		traffic time.Time
		// Time until which datagrams are taken to have waited in the socket
		// while the process was paused.
		stale    time.Time
		reported time.Time
		leaving  bool
	}
)

const (
	// reportInterval is the time between load reports to the control task.
	reportInterval = 250 * time.Millisecond
	// quietAfter is the time without packets after which a leaving host goes.
	quietAfter = time.Second
	// staleWindow is the time that a woken process needs to empty its socket.
	staleWindow = 50 * time.Millisecond
)

func (e *Entry) runReader(ctx context.Context) error {
	return hssocket.Read(ctx, hssocket.NewConn(e.sockets.data), e.sockets.free, e.sockets.full)
}

func (e *Entry) runSwitch(ctx context.Context) error {
	ring, err := hskey.NewRing(e.cfg.Settings.Key, e.cfg.Settings.OldKey)
	if err != nil {
		return errors.Trace(err)
	}
	now := time.Now()
	s := &switcher{
		e:       e,
		out:     hssocket.NewSender(hssocket.NewConn(e.sockets.data)),
		ring:    ring,
		counts:  map[hscode.Code]uint64{},
		paused:  true,
		ticked:  now,
		traffic: now,
	}
	s.loop(ctx)
	return nil
}

func (s *switcher) loop(ctx context.Context) {
	free, full := s.e.sockets.free, s.e.sockets.full
	ticker := time.NewTicker(hshome.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case b := <-full:
			s.batch(time.Now(), b)
			free <- b
		case m := <-s.e.toSwitch:
			s.message(time.Now(), &m)
		case <-ticker.C:
			s.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// batch takes received datagrams. All outputs are flushed before the buffers
// go back to the reader, since they alias them.
func (s *switcher) batch(now time.Time, b *hssocket.Batch) {
	s.checkPause(now)
	for i := range b.N {
		m := &b.Messages[i]
		end := hssocket.Received + m.N
		from, _ := m.Addr.(*net.UDPAddr)
		s.datagram(now, b.Buffers[i][:end], from.AddrPort().Addr().Unmap())
	}
	s.out.Flush()
}

func (s *switcher) datagram(now time.Time, buf []byte, from netip.Addr) {
	if s.core == nil {
		return
	}
	code := s.dec.Decode(buf[hssocket.Received:], &s.pkt)
	if code != hscode.OK {
		s.counts[code]++
		return
	}
	if s.pkt.Steer.Kind == hspacket.KindNone {
		s.traffic = now
	}
	if s.pkt.Steer.Kind.Control() && !s.genuine(buf[hssocket.Received:]) {
		return
	}
	if now.Before(s.stale) && s.pkt.Seg.Flags == 0 && !s.pkt.Steer.Kind.Control() {
		s.counts[hscode.FlowTooOld]++
		return
	}
	s.input = hshome.Input{Kind: hshome.InPacket, Packet: &s.pkt, From: from}
	s.step(now, buf)
}

// genuine reports whether a control message carries the right MAC.
func (s *switcher) genuine(data []byte) bool {
	n := len(data) - len(s.pkt.Inner)
	if s.ring.Verify(data[:n], data[n:]) {
		return true
	}
	s.counts[hscode.PeerMAC]++
	return false
}

// step runs the core on s.input. buf holds the datagram of the input, whose
// inner packet stands at its end; nil if the input is no packet.
func (s *switcher) step(now time.Time, buf []byte) {
	s.outputs = s.core.Step(now, &s.input, s.outputs[:0])
	for i := range s.outputs {
		s.carryOut(&s.outputs[i], buf)
	}
}

func (s *switcher) carryOut(o *hshome.Output, buf []byte) {
	set := &s.e.cfg.Settings
	switch o.Kind {
	case hshome.ToTarget, hshome.ToHost:
		s.send(netip.AddrPortFrom(o.Addr, set.Data), o, buf)
	case hshome.ToCaller:
		s.send(set.Fabric, o, buf)
	case hshome.Control:
		s.out.Send(netip.AddrPortFrom(o.Addr, set.Data), s.ring.Seal(hspacket.AppendControl(nil, &o.Steer)))
	case hshome.Handover:
		s.handOver(o)
	}
}

// send writes the tunnel header in front of the inner packet. A packet of the
// core's own gets a buffer of its own; that is rare.
func (s *switcher) send(to netip.AddrPort, o *hshome.Output, buf []byte) {
	at := len(buf) - len(s.pkt.Inner)
	if o.Data != nil {
		buf = make([]byte, hspacket.Headroom+len(o.Data))
		at = hspacket.Headroom
		copy(buf[at:], o.Data)
	}
	start := hspacket.Prepend(buf, at, &o.Steer)
	s.out.Send(to, buf[start:])
}

// handOver passes entries to the caller task. Should its queue be full, the
// new home asks for the flows one by one instead.
func (s *switcher) handOver(o *hshome.Output) {
	select {
	case s.e.toCaller <- callMessage{to: o.Addr, entries: o.Entries}:
	default:
		s.counts[hscode.PeerHandover]++
	}
}

func (s *switcher) message(now time.Time, m *switchMessage) {
	if m.status != nil {
		m.status <- s.status()
		return
	}
	if m.taken != nil {
		m.taken <- s.core != nil
	}
	s.input = m.input
	switch {
	case m.input.Kind == hshome.InView && s.core == nil:
		cfg := s.e.core(now)
		cfg.View = m.input.View
		s.core = hshome.New(cfg)
		s.setPaused(now, s.paused)
	case s.core == nil:
	case m.input.Kind == hshome.InPause || m.input.Kind == hshome.InResume:
		s.setPaused(now, m.input.Kind == hshome.InPause)
	default:
		s.step(now, nil)
	}
	if v := m.input.View; v != nil {
		s.leaving = v.Self >= 0 && !v.Hosts[v.Self].Takes
	}
	s.out.Flush()
}

func (s *switcher) setPaused(now time.Time, paused bool) {
	s.paused = paused
	if s.core == nil {
		return
	}
	s.input = hshome.Input{Kind: hshome.InResume}
	if paused {
		s.input.Kind = hshome.InPause
	}
	s.step(now, nil)
}

func (s *switcher) tick(now time.Time) {
	s.checkPause(now)
	s.ticked = now
	if s.core == nil {
		return
	}
	s.input = hshome.Input{Kind: hshome.InTick}
	s.step(now, nil)
	s.out.Flush()
	if now.Sub(s.reported) >= reportInterval {
		s.reported = now
		s.report(now)
	}
}

// checkPause notices that the process did not run for longer than its lease.
// Until the control task says otherwise, no new flow is placed; datagrams that
// waited in the socket are dropped, since their callers have tried again.
func (s *switcher) checkPause(now time.Time) {
	if now.Sub(s.ticked) <= s.e.cfg.Settings.Lease {
		return
	}
	s.e.log(log.WarnLevel, hscode.ProcessPaused).Dur("gap", now.Sub(s.ticked)).Msg("process was paused")
	s.counts[hscode.ProcessPaused]++
	s.ticked = now
	s.stale = now.Add(staleWindow)
	s.setPaused(now, true)
	select {
	case s.e.toControl <- controlMessage{kind: pausedMessage}:
	default:
	}
}

// report tells the control task the loads and whether a planned stop is over.
func (s *switcher) report(now time.Time) {
	quiet := s.leaving && s.core.Quiet() && now.Sub(s.traffic) > quietAfter
	select {
	case s.e.toControl <- controlMessage{kind: loadMessage, loads: s.core.Loads(nil), quiet: quiet, paused: s.paused}:
	default:
	}
}

func (s *switcher) status() SwitchStatus {
	st := SwitchStatus{Counts: map[hscode.Code]uint64{}, Paused: s.paused}
	for code, n := range s.counts {
		st.Counts[code] += n
	}
	st.Counts[hscode.ProcessSend] += s.out.Failed
	if s.core == nil {
		return st
	}
	for code, n := range s.core.Counts {
		st.Counts[code] += n
	}
	st.Flows = s.core.Flows()
	st.Stats = s.core.Stats
	st.Loads = s.core.Loads(nil)
	return st
}
