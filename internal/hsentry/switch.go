package hsentry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hskey"
	"heatherstack.org/heatherstack/internal/hsowner"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hssocket"
)

type (
	// switchMessage is a message to the switch task: an input of the decision
	// core or a request for the task's status.
	switchMessage struct {
		input hsowner.Input
		// If set, the task sends its status and ignores input.
		status chan<- SwitchStatus
		// If set, the task sends whether it has a decision core to process the
		// input.
		accepted chan<- bool
	}

	// SwitchStatus is the switch task's part of Status.
	SwitchStatus struct {
		// Number of tracked flows.
		Flows int
		Stats hsowner.Stats
		// Number of events by result code.
		CodeCounts map[hscode.Code]uint64
		Loads      []hsowner.Load
		// True while no new flows are placed.
		Paused bool
	}

	// switcher is the state of the switch task.
	switcher struct {
		host *EntryHost
		// Nil until the first view.
		core   *hsowner.Core
		sender *hssocket.Sender
		ring   *hskey.Ring
		dec    hspacket.Decoder
		pkt    hspacket.Packet
		// Outputs and input of the current step; reused by the next one.
		outputs []hsowner.Output
		input   hsowner.Input
		// True while no new flows are placed.
		paused bool
		// Number of events that this task itself detected, by result code; the
		// core counts its own.
		counts map[hscode.Code]uint64
		// Time of the last tick or, if that is later, of the last detection of a
		// pause.
		lastTick time.Time
		// Time of the last packet that was not sent by a peer.
		lastFabricPacket time.Time
		// End of the time in which UDP packets are assumed to have been queued in
		// the socket while the process was paused.
		staleUntil time.Time
		lastReport time.Time
		// True if this host cannot own targets in the current view, as during a
		// planned stop.
		leaving bool
	}
)

const (
	// reportInterval is the time between load reports to the control task.
	reportInterval = 250 * time.Millisecond
	// idleAfter is the time without packets from the fabric after which the
	// planned stop of a leaving host may end.
	idleAfter = time.Second
	// staleWindow is the time that the process needs after a pause to read all
	// datagrams that are queued in its socket.
	staleWindow = 50 * time.Millisecond
)

func (e *EntryHost) runDataReader(ctx context.Context) error {
	return hssocket.ReadBatches(ctx, hssocket.NewConn(e.sockets.data), e.sockets.free, e.sockets.full)
}

func (e *EntryHost) runSwitch(ctx context.Context) error {
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
	ticker := time.NewTicker(hsowner.TickInterval)
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

// handleBatch processes received datagrams. Outputs alias the buffers of the
// batch, so all of them are flushed before the batch goes back to the reader.
func (s *switcher) handleBatch(now time.Time, b *hssocket.Batch) {
	s.checkPause(now)
	for i := range b.N {
		m := &b.Messages[i]
		end := hssocket.DatagramOffset + m.N
		from, _ := m.Addr.(*net.UDPAddr)
		s.handleDatagram(now, b.Buffers[i][:end], from.AddrPort().Addr().Unmap())
	}
	s.sender.Flush()
}

// handleDatagram decodes a datagram and passes it to the core. The datagram
// starts at offset hssocket.DatagramOffset of buf.
func (s *switcher) handleDatagram(now time.Time, buf []byte, from netip.Addr) {
	if s.core == nil {
		return
	}
	code := s.dec.Decode(buf[hssocket.DatagramOffset:], &s.pkt)
	if code != hscode.OK {
		s.counts[code]++
		return
	}
	if s.pkt.Steering.Kind == hspacket.KindNone {
		s.lastFabricPacket = now
	}
	if s.pkt.Steering.Kind.IsControl() && !s.authenticated(buf[hssocket.DatagramOffset:]) {
		return
	}
	if now.Before(s.staleUntil) && s.pkt.Seg.Flags == 0 && !s.pkt.Steering.Kind.IsControl() {
		s.counts[hscode.FlowTooOld]++
		return
	}
	s.input = hsowner.Input{Kind: hsowner.InPacket, Packet: &s.pkt, From: from}
	s.step(now, buf)
}

// authenticated reports whether a control message ends with a valid MAC, and
// counts one that does not.
func (s *switcher) authenticated(data []byte) bool {
	n := len(data) - len(s.pkt.Inner)
	if s.ring.Verify(data[:n], data[n:]) {
		return true
	}
	s.counts[hscode.PeerMAC]++
	return false
}

// step runs the core on s.input and executes its outputs. buf holds the
// datagram of the input and ends with the inner packet; it is nil if the input
// is not a packet.
func (s *switcher) step(now time.Time, buf []byte) {
	s.outputs = s.core.Step(now, &s.input, s.outputs[:0])
	for i := range s.outputs {
		s.carryOut(&s.outputs[i], buf)
	}
}

func (s *switcher) carryOut(o *hsowner.Output, buf []byte) {
	settings := &s.host.cfg.Settings
	switch o.Kind {
	case hsowner.ToTarget, hsowner.ToHost:
		s.send(netip.AddrPortFrom(o.Addr, settings.DataPort), o, buf)
	case hsowner.ToCaller:
		s.send(settings.FabricGateway, o, buf)
	case hsowner.ControlToHost:
		s.sender.Send(netip.AddrPortFrom(o.Addr, settings.DataPort), s.ring.Seal(hspacket.AppendControl(nil, &o.Steering)))
	case hsowner.HandoverToHost:
		s.handOver(o)
	}
}

// send queues a packet with a tunnel header. The header is written into buf in
// front of the inner packet; for the rare packet that the core itself supplies,
// send allocates a buffer.
func (s *switcher) send(to netip.AddrPort, o *hsowner.Output, buf []byte) {
	at := len(buf) - len(s.pkt.Inner)
	if o.Inner != nil {
		buf = make([]byte, hspacket.Headroom+len(o.Inner))
		at = hspacket.Headroom
		copy(buf[at:], o.Inner)
	}
	start := hspacket.PrependHeader(buf, at, &o.Steering)
	s.sender.Send(to, buf[start:])
}

// handOver passes flows to the client task. If its queue is full, they are not
// handed over; the new owner then queries this host for each flow.
func (s *switcher) handOver(o *hsowner.Output) {
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
	case m.input.Kind == hsowner.InView && s.core == nil:
		cfg := s.host.coreConfig(now)
		cfg.View = m.input.View
		s.core = hsowner.New(cfg)
		s.setPaused(now, s.paused)
	case s.core == nil:
	case m.input.Kind == hsowner.InPause || m.input.Kind == hsowner.InResume:
		s.setPaused(now, m.input.Kind == hsowner.InPause)
	default:
		s.step(now, nil)
	}
	if v := m.input.View; v != nil {
		s.leaving = v.Self >= 0 && !v.Hosts[v.Self].CanOwn
	}
	s.sender.Flush()
}

func (s *switcher) setPaused(now time.Time, paused bool) {
	s.paused = paused
	if s.core == nil {
		return
	}
	s.input = hsowner.Input{Kind: hsowner.InResume}
	if paused {
		s.input.Kind = hsowner.InPause
	}
	s.step(now, nil)
}

func (s *switcher) tick(now time.Time) {
	s.checkPause(now)
	s.lastTick = now
	if s.core == nil {
		return
	}
	s.input = hsowner.Input{Kind: hsowner.InTick}
	s.step(now, nil)
	s.sender.Flush()
	if now.Sub(s.lastReport) >= reportInterval {
		s.lastReport = now
		s.report(now)
	}
}

// checkPause detects that the process did not run for longer than the setting
// PauseThreshold. It then stops the core from placing new flows until the
// control task confirms the view. For staleWindow, UDP packets count as queued
// in the socket during the pause and are dropped, since their callers have
// retried.
func (s *switcher) checkPause(now time.Time) {
	if now.Sub(s.lastTick) <= s.host.cfg.Settings.PauseThreshold {
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

// report sends the control task the loads and whether a planned stop can end.
func (s *switcher) report(now time.Time) {
	idle := s.leaving && s.core.HandoverDone() && now.Sub(s.lastFabricPacket) > idleAfter
	select {
	case s.host.toControl <- controlMessage{kind: loadMessage, loads: s.core.Loads(nil), idle: idle, paused: s.paused}:
	default:
	}
}

func (s *switcher) status() SwitchStatus {
	st := SwitchStatus{CodeCounts: map[hscode.Code]uint64{}, Paused: s.paused}
	for code, n := range s.counts {
		st.CodeCounts[code] += n
	}
	st.CodeCounts[hscode.ProcessSend] += s.sender.Failed
	if s.core == nil {
		return st
	}
	for code, n := range s.core.CodeCounts {
		st.CodeCounts[code] += n
	}
	st.Flows = s.core.Flows()
	st.Stats = s.core.Stats
	st.Loads = s.core.Loads(nil)
	return st
}
