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
	// controlMessage is a message to the control task; unset fields carry
	// nothing.
	controlMessage struct {
		heartbeat *hsschema.Heartbeat
		from      netip.Addr
		// What was read from the store or, if peer is set, from a member.
		update *hsfeed.Update
		peer   bool
		// Whether the store answers, if contactSet.
		answers    bool
		contactSet bool
		loads      *Loads
		leave      bool
		seeds      []netip.Addr
		// Asks for what changed after a revision.
		since  uint64
		follow chan<- *hsschema.Update
		status chan<- ControlStatus
	}

	// ControlStatus is what the control task tells the metrics page.
	ControlStatus struct {
		Revision uint64
		Version  uint64
		// Time since the last update.
		Age     time.Duration
		Targets int
		// Members believed alive.
		Alive  int
		Reader bool
		// Calls of the store, and those that failed.
		Calls    uint64
		Failures uint64
		Counts   map[hscode.Code]uint64
	}

	// controller is the state of the control task.
	controller struct {
		e      *Entry
		core   *Core
		counts map[hscode.Code]uint64
		// Time of the last update.
		updated time.Time
	}
)

// maxHeartbeat is above the largest heartbeat.
const maxHeartbeat = 4096

// runInbox reads heartbeats and passes them on. One that finds the queue full
// is dropped, as the network may do.
func (e *Entry) runInbox(ctx context.Context) error {
	buf := make([]byte, maxHeartbeat)
	for {
		n, from, err := e.sockets.peer.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			e.log(log.WarnLevel, hscode.ProcessSocket).Err(err).Msg("heartbeat not read")
			hstask.Sleep(ctx, TickInterval)
			continue
		}
		hb := &hsschema.Heartbeat{}
		if proto.Unmarshal(buf[:n], hb) != nil {
			e.log(log.WarnLevel, hscode.PeerMessage).Str("from", from.String()).Msg("heartbeat cannot be decoded")
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

// carryOut does what the core wants done.
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
			Msg("configuration in force")
	}
	if out.TargetsChanged {
		c.e.log(log.InfoLevel, hscode.OK).Uint64("revision", revision).Int("targets", len(out.Targets)).Msg("targets in force")
	}
	if out.Relist {
		c.e.log(log.WarnLevel, hscode.PlatformRead).Uint64("revision", revision).Msg("others heard of a change and this host did not; listing the store anew")
	}
	if out.Reader {
		c.e.log(log.InfoLevel, hscode.OK).Bool("reader", c.core.Reader()).Msg("role towards the store changed")
	}
}

// tellReader passes the role on. The channel holds one value; a newer one
// replaces an unread one.
func (c *controller) tellReader(again bool) {
	select {
	case old := <-c.e.toReader:
		again = again || old.again
	default:
	}
	c.e.toReader <- readerMessage{read: c.core.Reader(), again: again}
}

// sendAll sends heartbeats. A message that goes to several members is encoded
// once.
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
