package hsentry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscontrol"
	"heatherstack.org/heatherstack/internal/hskey"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsowner"
	"heatherstack.org/heatherstack/internal/hsrank"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	controlKind uint8

	// controlMessage is a message to the control task.
	controlMessage struct {
		kind controlKind
		// For heartbeatMessage: the heartbeat, or nil if its MAC was wrong or it
		// could not be decoded, and the address that sent it.
		heartbeat *hsschema.Heartbeat
		from      netip.Addr
		// For offerMessage. The history is nil if the manifest comes from the
		// platform and not from a peer.
		manifest *hsmanifest.Manifest
		history  hsmanifest.History
		// For loadMessage: open flows of the targets that this host owns.
		loads []hsowner.Load
		// For loadMessage: true if a planned stop can end, because the handover
		// is done and the fabric sends no more packets to this host.
		idle bool
		// For loadMessage: true while the switch task places no new flows.
		paused bool
		// For statusMessage.
		status chan<- ControlStatus
		// For currentMessage.
		current chan<- currentManifest
	}

	// currentManifest is the current manifest with its history.
	currentManifest struct {
		manifest *hsmanifest.Manifest
		history  hsmanifest.History
	}

	// ControlStatus is the control task's part of Status.
	ControlStatus struct {
		Version uint64
		Digest  uint64
		// Time at which this host applied the current manifest.
		AppliedAt time.Time
		Members   map[string]hsrank.MemberStatus
		// True if this host is a reader of its zone: it reads the platform.
		PlatformReader bool
		// True while the view is unconfirmed and no new flows are placed.
		Unconfirmed bool
		// Number of events by result code.
		CodeCounts map[hscode.Code]uint64
		View       *hsrank.View
		// Bytes of heartbeats, including their IP and UDP headers.
		BytesSent     uint64
		BytesReceived uint64
	}

	// controller is the state of the control task.
	controller struct {
		host   *EntryHost
		core   *hscontrol.Core
		ring   *hskey.Ring
		counts map[hscode.Code]uint64
		// Version of the manifest that was logged last.
		loggedVersion uint64
		// As in ControlStatus.
		bytesSent     uint64
		bytesReceived uint64
	}
)

const (
	heartbeatMessage controlKind = iota + 1
	offerMessage
	loadMessage
	pausedMessage
	leaveMessage
	statusMessage
	currentMessage
)

const (
	// ipUDPHeaderSize is the size of an IPv4 and a UDP header in bytes.
	ipUDPHeaderSize = 28
	// controlBufferSize is the maximum size of a control datagram in bytes.
	controlBufferSize = 2048
)

// runControlReader reads datagrams from the control socket, verifies their MAC
// and passes the heartbeats to the control task. Invalid datagrams are passed
// as nil, so that the control task counts them.
func (e *EntryHost) runControlReader(ctx context.Context) error {
	ring, err := hskey.NewRing(e.cfg.Settings.Key, e.cfg.Settings.OldKey)
	if err != nil {
		return errors.Trace(err)
	}
	buf := make([]byte, controlBufferSize)
	for {
		n, from, err := e.sockets.control.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		hb := &hsschema.Heartbeat{}
		msg, valid := ring.Open(buf[:n])
		if !valid || proto.Unmarshal(msg, hb) != nil {
			hb = nil
		}
		m := controlMessage{kind: heartbeatMessage, heartbeat: hb, from: from.Addr().Unmap()}
		select {
		case e.toControl <- m:
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *EntryHost) runControl(ctx context.Context) error {
	ring, err := hskey.NewRing(e.cfg.Settings.Key, e.cfg.Settings.OldKey)
	if err != nil {
		return errors.Trace(err)
	}
	c := &controller{
		host: e,
		core: hscontrol.New(hscontrol.Config{
			Self:           e.cfg.Settings.Name,
			Boot:           e.cfg.Boot,
			ProbeInterval:  e.cfg.Settings.ProbeInterval,
			SuspectTimeout: e.cfg.Settings.SuspectTimeout,
			PauseThreshold: e.cfg.Settings.PauseThreshold,
			StartTime:      time.Now(),
		}),
		ring:   ring,
		counts: map[hscode.Code]uint64{},
	}
	c.loop(ctx)
	return nil
}

func (c *controller) loop(ctx context.Context) {
	ticker := time.NewTicker(hscontrol.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.host.toControl:
			c.handleMessage(ctx, time.Now(), &m)
		case <-ticker.C:
			c.carryOut(ctx, c.core.Tick(time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

func (c *controller) handleMessage(ctx context.Context, now time.Time, m *controlMessage) {
	switch m.kind {
	case heartbeatMessage:
		c.handleHeartbeat(ctx, now, m)
	case offerMessage:
		c.carryOut(ctx, c.core.Offer(now, m.manifest, m.history))
		c.logManifest()
	case loadMessage:
		c.carryOut(ctx, c.core.UpdateDataPath(now, m.loads, m.idle, m.paused))
	case pausedMessage:
		c.carryOut(ctx, c.core.ReportPause(now))
	case leaveMessage:
		c.carryOut(ctx, c.core.Leave(now))
	case statusMessage:
		m.status <- c.status()
	case currentMessage:
		manifest, history := c.core.CurrentManifest()
		m.current <- currentManifest{manifest: manifest, history: history}
	}
}

func (c *controller) handleHeartbeat(ctx context.Context, now time.Time, m *controlMessage) {
	if m.heartbeat == nil {
		c.counts[hscode.PeerMAC]++
		return
	}
	c.bytesReceived += uint64(proto.Size(m.heartbeat) + hskey.MACSize + ipUDPHeaderSize)
	c.carryOut(ctx, c.core.Receive(now, m.heartbeat, m.from))
}

// logManifest logs the version of the current manifest if it has changed.
func (c *controller) logManifest() {
	manifest, _ := c.core.CurrentManifest()
	if manifest == nil || manifest.Version == c.loggedVersion {
		return
	}
	c.loggedVersion = manifest.Version
	c.host.log(log.InfoLevel, hscode.OK).Uint64("version", manifest.Version).Msg("manifest applied")
}

// carryOut executes an output of the control core.
func (c *controller) carryOut(ctx context.Context, out hscontrol.Output) {
	for _, in := range out.Inputs {
		select {
		case c.host.toSwitch <- switchMessage{input: in}:
		case <-ctx.Done():
		}
	}
	for _, h := range out.Heartbeats {
		c.send(h)
	}
	for _, f := range out.Fetches {
		select {
		case c.host.toClient <- callMessage{to: f.To, version: f.MinVersion, fetch: true}:
		default:
			c.counts[hscode.PeerFetch]++
		}
	}
	if out.ReaderChanged {
		c.notifyPlatform()
	}
	if out.Stopped {
		close(c.host.stopped)
	}
	for _, code := range out.Codes {
		c.counts[code]++
	}
}

// notifyPlatform tells the platform task whether this host is a reader of its
// zone. The channel holds one value; a new value replaces one that was not
// received.
func (c *controller) notifyPlatform() {
	select {
	case <-c.host.toPlatform:
	default:
	}
	c.host.toPlatform <- c.core.IsReader()
}

func (c *controller) send(h hscontrol.Heartbeat) {
	data, err := proto.Marshal(h.Message)
	if err != nil {
		c.counts[hscode.PeerMessage]++
		return
	}
	data = c.ring.Seal(data)
	c.bytesSent += uint64(len(data) + ipUDPHeaderSize)
	to := netip.AddrPortFrom(h.To, c.host.cfg.Settings.ControlPort)
	if _, err := c.host.sockets.control.WriteToUDPAddrPort(data, to); err != nil {
		c.counts[hscode.ProcessSend]++
	}
}

func (c *controller) status() ControlStatus {
	st := ControlStatus{
		AppliedAt:      c.core.ManifestAppliedAt(),
		Members:        c.core.Members(),
		PlatformReader: c.core.IsReader(),
		Unconfirmed:    c.core.Unconfirmed(),
		CodeCounts:     map[hscode.Code]uint64{},
		View:           c.core.View(),
		BytesSent:      c.bytesSent,
		BytesReceived:  c.bytesReceived,
	}
	if manifest, _ := c.core.CurrentManifest(); manifest != nil {
		st.Version = manifest.Version
		st.Digest = manifest.Digest
	}
	for code, n := range c.counts {
		st.CodeCounts[code] = n
	}
	return st
}
