package hssoak

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// target is a simulated target that answers callers directly, as in direct
	// server return (DSR).
	target struct {
		s *soak
		// Does not change, except for entry.Draining; see published.
		entry hsfeed.Target
		conn  *net.UDPConn
		// Orders what the target writes to the store, and protects entry.Draining
		// and removed.
		published sync.Mutex
		// True once the entry was removed for good.
		removed bool
		// Locked by the fault that acts on the target.
		busy sync.Mutex

		mu sync.Mutex
		// True while the target is unresponsive.
		unresponsive bool
		// Tracked flows by the caller's address and port, each with the
		// sequence number of the target's answer to the opening packet.
		flows map[netip.AddrPort]uint32
	}

	// datagram is a packet from a target and the caller that it is sent to.
	datagram struct {
		to     netip.Addr
		header hscookie.Packet
		data   []byte
	}
)

const (
	targetPort = 8080
	// targetSlots is far above the number of concurrent flows, so that no flow
	// is refused because of load.
	targetSlots   = 1000
	maxPacketSize = 2048
)

var services = []string{"desk", "vault"}

// newAddr returns an address that no target has used before.
func (s *soak) newAddr() netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAddr++
	return s.addr(1, s.lastAddr)
}

// addTarget starts a target and publishes its entry.
func (s *soak) addTarget(ctx context.Context, service, zone string, addr netip.Addr) error {
	conn, err := hstask.ListenUDP(netip.AddrPortFrom(addr, targetPort))
	if err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	s.lastID++
	t := &target{s: s, conn: conn, flows: map[netip.AddrPort]uint32{}, entry: hsfeed.Target{
		ID: s.lastID, Service: service, Zone: zone, Address: netip.AddrPortFrom(addr, targetPort),
		Slots: targetSlots, StartUnixMilli: time.Now().UnixMilli(),
	}}
	s.targets = append(s.targets, t)
	s.mu.Unlock()
	s.checker.addTarget(t.entry.ID, service, zone)
	s.g.Go(func() error { return t.run(ctx) })
	t.publish()
	return nil
}

// publish writes the current entry of the target to the store, unless it was
// removed.
func (t *target) publish() {
	t.published.Lock()
	defer t.published.Unlock()
	if t.removed {
		return
	}
	entry := t.entry
	t.s.cfg.Store.Publish(&hsfeed.Event{Target: &entry})
}

// drain announces that the target drains.
func (t *target) drain() {
	t.published.Lock()
	t.entry.Draining = true
	t.published.Unlock()
	t.publish()
}

// remove removes the target's entry from the store.
func (t *target) remove() {
	t.published.Lock()
	defer t.published.Unlock()
	t.removed = true
	t.s.cfg.Store.Publish(&hsfeed.Event{Removed: t.entry.ID})
	t.s.checker.targetEndPublished(t.entry.ID, time.Now())
}

// end closes the target's socket; its flows are lost.
func (t *target) end() {
	t.s.checker.targetEnded(t.entry.ID)
	_ = t.conn.Close()
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	i := slices.Index(t.s.targets, t)
	t.s.targets = slices.Delete(t.s.targets, i, i+1)
}

func (t *target) setUnresponsive(unresponsive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unresponsive = unresponsive
}

// run receives and answers packets until the socket is closed.
func (t *target) run(ctx context.Context) error {
	t.s.g.Go(func() error {
		<-ctx.Done()
		// The socket may be closed already.
		_ = t.conn.Close()
		return nil
	})
	buf := make([]byte, maxPacketSize)
	for {
		n, hostAddr, err := t.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		if out := t.handle(buf[:n], hostAddr.Addr()); out != nil {
			t.send(out)
		}
	}
}

// handle processes a packet that the host at hostAddr forwarded, and returns
// the answer, or nil if there is none.
func (t *target) handle(raw []byte, hostAddr netip.Addr) *datagram {
	var p hscookie.Packet
	id, code := t.s.cfg.Format.DecodeAtTarget(raw, &p)
	if code != hscode.OK {
		t.s.checker.fail("target %x received a packet that cannot be decoded: %s", uint64(t.entry.ID), code)
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unresponsive || id != t.entry.ID {
		return nil
	}
	data := raw[len(raw)-p.DataSize:]
	if !t.s.checker.unaltered(&p, data) {
		t.s.checker.fail("target %x received a packet of %s that differs from the one sent", uint64(id), p.From)
		return nil
	}
	out := &datagram{to: p.From.Addr(), header: hscookie.Packet{From: p.To, To: p.From, Cookie: p.Cookie, Flags: hscookie.FlagAck}}
	seq, tracked := t.flows[p.From]
	switch {
	case p.HasAny(hscookie.FlagOpen):
		t.handleOpening(&p, data, hostAddr, out)
	case !tracked || p.Ack != seq+1:
		t.s.checker.checkUntracked(id, p.From)
		out.header.Flags = hscookie.FlagReset
	case p.HasAny(hscookie.FlagFin | hscookie.FlagReset):
		delete(t.flows, p.From)
		return nil
	default:
		out.header.Ack = p.Seq
		out.data = data
	}
	return out
}

// handleOpening accepts the flow of an opening packet and completes the answer,
// whose data is the target's ID.
func (t *target) handleOpening(p *hscookie.Packet, data []byte, hostAddr netip.Addr, out *datagram) {
	begin := time.UnixMicro(int64(binary.BigEndian.Uint64(data)))
	t.s.checker.checkOpening(t.entry.ID, p, hostAddr, begin, t.s.limitsApply(hostAddr))
	seq, tracked := t.flows[p.From]
	if !tracked {
		seq = rand.Uint32()
		t.flows[p.From] = seq
	}
	out.header.Flags |= hscookie.FlagOpen
	out.header.Seq = seq
	out.data = binary.BigEndian.AppendUint64(nil, uint64(t.entry.ID))
}

func (t *target) send(d *datagram) {
	raw := t.s.cfg.Format.AppendPacket(nil, &d.header, d.data)
	// Send errors count as packet loss, after which the caller retransmits.
	_, _ = t.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(d.to, dataPort))
}
