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
		accepted chan<- bool
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
		host   *Entry
		core   *hshome.Core
		sender *hssocket.Sender
		ring   *hskey.Ring
		dec    hspacket.Decoder
		pkt    hspacket.Packet
		// Outputs of the step under way; reused.
		outputs []hshome.Output
		input   hshome.Input
		paused  bool
		// Counts before the core exists and of this task's own drops.
		counts map[hscode.Code]uint64
		// Time of the last tick and of the last caller's packet.
		lastTick         time.Time
		lastFabricPacket time.Time
		// Time until which datagrams are taken to have waited in the socket
		// while the process was paused.
		staleUntil time.Time
		lastReport time.Time
		leaving    bool
	}
)

const (
	// reportInterval is the time between load reports to the control task.
	reportInterval = 250 * time.Millisecond
	// idleAfter is the time without packets after which a leaving host goes.
	idleAfter = time.Second
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
		host:             e,
		sender:           hssocket.NewSender(hssocket.NewConn(e.sockets.data)),
		ring:             ring,
		counts:           map[hscode.Code]uint64{},
		paused:           true,
		lastTick:         now,
		lastFabricPacket: now,
	}
	s.loop(ctx)
	return nil
}

func (s *switcher) loop(ctx context.Context) {
	free, full := s.host.sockets.free, s.host.sockets.full
	ticker := time.NewTicker(hshome.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case b := <-full:
			s.handleBatch(time.Now(), b)
			free <- b
		case m := <-s.host.toSwitch:
			s.handleMessage(time.Now(), &m)
		case <-ticker.C:
			s.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// handleBatch takes received datagrams. All outputs are flushed before the buffers
// go back to the reader, since they alias them.
func (s *switcher) handleBatch(now time.Time, b *hssocket.Batch) {
	s.checkPause(now)
	for i := range b.N {
		m := &b.Messages[i]
		end := hssocket.Received + m.N
		from, _ := m.Addr.(*net.UDPAddr)
		s.handleDatagram(now, b.Buffers[i][:end], from.AddrPort().Addr().Unmap())
	}
	s.sender.Flush()
}

func (s *switcher) handleDatagram(now time.Time, buf []byte, from netip.Addr) {
	if s.core == nil {
		return
	}
	code := s.dec.Decode(buf[hssocket.Received:], &s.pkt)
	if code != hscode.OK {
		s.counts[code]++
		return
	}
	if s.pkt.Steer.Kind == hspacket.KindNone {
		s.lastFabricPacket = now
	}
	if s.pkt.Steer.Kind.Control() && !s.authenticated(buf[hssocket.Received:]) {
		return
	}
	if now.Before(s.staleUntil) && s.pkt.Seg.Flags == 0 && !s.pkt.Steer.Kind.Control() {
		s.counts[hscode.FlowTooOld]++
		return
	}
	s.input = hshome.Input{Kind: hshome.InPacket, Packet: &s.pkt, From: from}
	s.step(now, buf)
}

// authenticated reports whether a control message carries the right MAC.
func (s *switcher) authenticated(data []byte) bool {
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
	settings := &s.host.cfg.Settings
	switch o.Kind {
	case hshome.ToTarget, hshome.ToHost:
		s.send(netip.AddrPortFrom(o.Addr, settings.Data), o, buf)
	case hshome.ToCaller:
		s.send(settings.Fabric, o, buf)
	case hshome.Control:
		s.sender.Send(netip.AddrPortFrom(o.Addr, settings.Data), s.ring.Seal(hspacket.AppendControl(nil, &o.Steer)))
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
	s.sender.Send(to, buf[start:])
}

// handOver passes entries to the caller task. Should its queue be full, the
// new home asks for the flows one by one instead.
func (s *switcher) handOver(o *hshome.Output) {
	select {
	case s.host.toClient <- callMessage{to: o.Addr, flows: o.Entries}:
	default:
		s.counts[hscode.PeerHandover]++
	}
}

func (s *switcher) handleMessage(now time.Time, m *switchMessage) {
	if m.status != nil {
		m.status <- s.status()
		return
	}
	if m.accepted != nil {
		m.accepted <- s.core != nil
	}
	s.input = m.input
	switch {
	case m.input.Kind == hshome.InView && s.core == nil:
		cfg := s.host.coreConfig(now)
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
	s.sender.Flush()
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
	s.lastTick = now
	if s.core == nil {
		return
	}
	s.input = hshome.Input{Kind: hshome.InTick}
	s.step(now, nil)
	s.sender.Flush()
	if now.Sub(s.lastReport) >= reportInterval {
		s.lastReport = now
		s.report(now)
	}
}

// checkPause notices that the process did not run for longer than its lease.
// Until the control task says otherwise, no new flow is placed; datagrams that
// waited in the socket are dropped, since their callers have tried again.
func (s *switcher) checkPause(now time.Time) {
	if now.Sub(s.lastTick) <= s.host.cfg.Settings.Lease {
		return
	}
	s.host.log(log.WarnLevel, hscode.ProcessPaused).Dur("gap", now.Sub(s.lastTick)).Msg("process was paused")
	s.counts[hscode.ProcessPaused]++
	s.lastTick = now
	s.staleUntil = now.Add(staleWindow)
	s.setPaused(now, true)
	select {
	case s.host.toControl <- controlMessage{kind: pausedMessage}:
	default:
	}
}

// report tells the control task the loads and whether a planned stop is over.
func (s *switcher) report(now time.Time) {
	idle := s.leaving && s.core.Quiet() && now.Sub(s.lastFabricPacket) > idleAfter
	select {
	case s.host.toControl <- controlMessage{kind: loadMessage, loads: s.core.Loads(nil), idle: idle, paused: s.paused}:
	default:
	}
}

func (s *switcher) status() SwitchStatus {
	st := SwitchStatus{Counts: map[hscode.Code]uint64{}, Paused: s.paused}
	for code, n := range s.counts {
		st.Counts[code] += n
	}
	st.Counts[hscode.ProcessSend] += s.sender.Failed
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
