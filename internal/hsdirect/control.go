package hsdirect

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsschema"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// controlMessage is a message to the control task. Only the fields that are
	// set apply.
	controlMessage struct {
		heartbeat *hsschema.Heartbeat
		from      netip.Addr
		// Update read from the store or, if peer is set, received from a peer.
		update *hsfeed.Update
		peer   bool
		// Whether the store is available; valid if contactSet.
		answers    bool
		contactSet bool
		loads      *Loads
		leave      bool
		seeds      []netip.Addr
		// Follow call of a peer: the changes after revision since are sent to follow.
		since  uint64
		follow chan<- *hsschema.Update
		status chan<- ControlStatus
	}

	// ControlStatus is the control task's part of the metrics.
	ControlStatus struct {
		Revision uint64
		Version  uint64
		// Time since a configuration or target list was last applied.
		Age     time.Duration
		Targets int
		// Peers that are considered alive.
		Alive  int
		Reader bool
		// Calls to the store, and how many of them failed.
		Calls    uint64
		Failures uint64
		Counts   map[hscode.Code]uint64
	}

	// controller is the state of the control task.
	controller struct {
		e      *Entry
		core   *Core
		counts map[hscode.Code]uint64
		// When a configuration or target list was last applied.
		updated time.Time
	}
)

// maxHeartbeat is the size of the receive buffer in bytes, larger than any
// heartbeat.
const maxHeartbeat = 4096

// runInbox reads heartbeats and passes them to the control task. It drops them
// while that task's queue is full; the protocol tolerates lost heartbeats.
func (e *Entry) runInbox(ctx context.Context) error {
	buf := make([]byte, maxHeartbeat)
	for {
		n, from, err := e.sockets.peer.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			e.log(log.WarnLevel, hscode.ProcessSocket).Err(err).Msg("cannot read from the heartbeat socket")
			hstask.Sleep(ctx, TickInterval)
			continue
		}
		hb := &hsschema.Heartbeat{}
		if proto.Unmarshal(buf[:n], hb) != nil {
			e.log(log.WarnLevel, hscode.PeerMessage).Str("from", from.String()).Msg("cannot decode heartbeat")
			continue
		}
		select {
		case e.toControl <- controlMessage{heartbeat: hb, from: from.Addr().Unmap()}:
		default:
		}
	}
}

func (e *Entry) runControl(ctx context.Context) error {
	set := &e.cfg.Settings
	c := &controller{
		e: e,
		core: NewCore(CoreConfig{
			Self:  set.Data.Addr(),
			Zone:  set.Zone,
			Boot:  e.cfg.Boot,
			Seeds: set.Seeds,
		}),
		counts: map[hscode.Code]uint64{},
	}
	c.carryOut(ctx, c.core.Start(time.Now()))
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-e.toControl:
			c.message(ctx, time.Now(), &m)
		case <-ticker.C:
			c.carryOut(ctx, c.core.Tick(time.Now()))
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *controller) message(ctx context.Context, now time.Time, m *controlMessage) {
	switch {
	case m.heartbeat != nil:
		c.carryOut(ctx, c.core.Receive(now, m.heartbeat, m.from))
	case m.update != nil && m.peer:
		c.carryOut(ctx, c.core.FromPeer(now, m.update))
	case m.update != nil:
		c.carryOut(ctx, c.core.FromStore(now, m.update))
	case m.contactSet:
		c.carryOut(ctx, c.core.Contact(now, m.answers))
	case m.loads != nil:
		c.carryOut(ctx, c.core.Loads(now, m.loads))
	case m.leave:
		c.carryOut(ctx, c.core.Leave(now))
	case m.seeds != nil:
		c.carryOut(ctx, c.core.Seed(now, m.seeds))
	case m.status != nil:
		m.status <- c.status(now)
	case m.follow != nil:
		m.follow <- c.since(m.since)
	}
}

func (c *controller) status(now time.Time) ControlStatus {
	k := c.core.Keeper()
	st := ControlStatus{
		Revision: k.Revision(),
		Age:      now.Sub(c.updated),
		Targets:  len(k.Targets()),
		Reader:   c.core.Reader(),
		Calls:    c.e.calls.Load(),
		Failures: c.e.failures.Load(),
		Counts:   maps.Clone(c.counts),
	}
	if cfg := k.Configuration(); cfg != nil {
		st.Version = cfg.Version
	}
	for _, p := range c.core.Peers() {
		if p.Alive {
			st.Alive++
		}
	}
	return st
}

func (c *controller) since(revision uint64) *hsschema.Update {
	u, ok := c.core.Keeper().Since(revision)
	if !ok {
		return nil
	}
	return hsfeed.Pack(&u)
}

// carryOut performs the actions that the core returned.
func (c *controller) carryOut(ctx context.Context, out Output) {
	if out.Configuration != nil || out.TargetsChanged || out.Report != nil {
		c.e.tellData(ctx, dataMessage{
			configuration: out.Configuration,
			targets:       out.Targets,
			targetsSet:    out.TargetsChanged,
			report:        out.Report,
		})
	}
	c.logChanges(&out)
	c.sendAll(out.Sends)
	for _, f := range out.Fetches {
		select {
		case c.e.toFetcher <- f:
		default:
			c.counts[hscode.PeerFetch]++
		}
	}
	if out.Reader || out.Relist {
		c.tellReader(out.Relist)
	}
	for _, code := range out.Codes {
		c.counts[code]++
	}
}

func (c *controller) logChanges(out *Output) {
	if out.Configuration != nil || out.TargetsChanged {
		c.updated = time.Now()
	}
	revision := c.core.Keeper().Revision()
	if out.Configuration != nil {
		c.e.log(log.InfoLevel, hscode.OK).
			Uint64("version", out.Configuration.Version).
			Uint64("revision", revision).
			Int("routes", len(out.Configuration.Routes)).
			Msg("configuration applied")
	}
	if out.TargetsChanged {
		c.e.log(log.InfoLevel, hscode.OK).Uint64("revision", revision).Int("targets", len(out.Targets)).Msg("target list applied")
	}
	if out.Relist {
		c.e.log(log.WarnLevel, hscode.PlatformRead).Uint64("revision", revision).Msg("peers have a change that the store did not deliver to this host; listing the store again")
	}
	if out.Reader {
		c.e.log(log.InfoLevel, hscode.OK).Bool("reader", c.core.Reader()).Msg("store reader role changed")
	}
}

// tellReader tells the reader task whether to read the store and whether to
// list it again. The channel holds one message; a newer message replaces an
// unread one and keeps its request to list.
func (c *controller) tellReader(again bool) {
	select {
	case old := <-c.e.toReader:
		again = again || old.again
	default:
	}
	c.e.toReader <- readerMessage{read: c.core.Reader(), again: again}
}

// sendAll sends heartbeats. A message for several peers is encoded once.
func (c *controller) sendAll(sends []Send) {
	var (
		last *hsschema.Heartbeat
		data []byte
		err  error
	)
	for _, s := range sends {
		if s.Message != last {
			last = s.Message
			data, err = proto.Marshal(last)
		}
		if err != nil {
			c.counts[hscode.PeerMessage]++
			continue
		}
		to := netip.AddrPortFrom(s.To, c.e.cfg.Settings.Peer)
		if _, err := c.e.sockets.peer.WriteToUDPAddrPort(data, to); err != nil {
			c.counts[hscode.ProcessSend]++
		}
	}
}
