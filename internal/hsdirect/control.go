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
	// controlMessage is a message to the control task. It carries one event or
	// request; the fields of all others are zero.
	controlMessage struct {
		heartbeat *hsschema.Heartbeat
		from      netip.Addr
		// Update read from the store or, if fetch is set, a peer's response to it.
		update *hsfeed.Update
		fetch  *Fetch
		// Whether the store is available; valid if storeAvailableSet.
		storeAvailable    bool
		storeAvailableSet bool
		localReport       *LocalReport
		leave             bool
		seeds             []netip.Addr
		// Follow call from a peer: the changes after position since are sent to
		// followReply.
		since       hsfeed.Position
		followReply chan<- *hsschema.Update
		statusReply chan<- ControlStatus
	}

	// ControlStatus is the control task's part of the metrics.
	ControlStatus struct {
		State                hsfeed.Position
		ConfigurationVersion uint64
		// Position of the store in its last response to this host.
		Store hsfeed.Position
		// Time since a configuration, target list or evacuation was last applied.
		StateAge time.Duration
		Targets  int
		// Evacuations in force, and number of those that started since the start.
		Evacuations     []hsfeed.EvacuationRecord
		EvacuationCount uint64
		// Peers that are considered alive.
		AlivePeers int
		// Entry hosts heard of in the last minutes, this host included.
		Members     int
		StoreReader bool
		// Calls to the store, and how many of them failed.
		StoreCalls    uint64
		StoreFailures uint64
		CodeCounts    map[hscode.Code]uint64
	}

	// controller is the state of the control task.
	controller struct {
		e      *EntryHost
		core   *Core
		counts map[hscode.Code]uint64
		// When a configuration, target list or evacuation was last applied.
		lastUpdate time.Time
		// Position of the store in its last response to this host.
		answered hsfeed.Position
		// Evacuations in force by zone, and number of those that started since the
		// start.
		evacuations     map[string]hsfeed.EvacuationRecord
		evacuationCount uint64
		// Era for which the evacuations were last compared with the store.
		comparedEra uint64
	}
)

const (
	// maxHeartbeatSize is the size of the receive buffer in bytes, larger than any
	// heartbeat.
	maxHeartbeatSize = 4096
	// maxInvalidLines is the number of invalid entries of one update that are
	// logged one by one.
	maxInvalidLines = 16
)

// runHeartbeats reads heartbeats and passes them to the control task. It drops
// them while that task's queue is full; the protocol tolerates lost heartbeats.
func (e *EntryHost) runHeartbeats(ctx context.Context) error {
	buf := make([]byte, maxHeartbeatSize)
	for {
		n, from, err := e.sockets.heartbeat.ReadFromUDPAddrPort(buf)
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

func (e *EntryHost) runControl(ctx context.Context) error {
	settings := &e.cfg.Settings
	c := &controller{
		e: e,
		core: NewCore(CoreConfig{
			Self:               settings.DataAddr.Addr(),
			Zone:               settings.Zone,
			Boot:               e.cfg.Boot,
			Seeds:              settings.Seeds,
			WatchInterval:      settings.watchInterval(),
			StoreDetectionTime: settings.storeDetectionTime(),
			LearnCapacity:      settings.LearnCapacity,
		}),
		counts: map[hscode.Code]uint64{},
	}
	c.applyOutput(ctx, c.core.Start(time.Now()))
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-e.toControl:
			c.handleMessage(ctx, time.Now(), &m)
		case <-ticker.C:
			c.applyOutput(ctx, c.core.Tick(time.Now()))
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *controller) handleMessage(ctx context.Context, now time.Time, m *controlMessage) {
	switch {
	case m.heartbeat != nil:
		c.applyOutput(ctx, c.core.Receive(now, m.heartbeat, m.from))
	case m.update != nil && m.fetch != nil:
		c.applyOutput(ctx, c.core.ApplyFetchedUpdate(now, m.fetch, m.update))
	case m.update != nil:
		c.logStoreUpdate(m.update)
		c.applyOutput(ctx, c.core.ApplyStoreUpdate(now, m.update))
	case m.storeAvailableSet:
		c.applyOutput(ctx, c.core.SetStoreAvailable(now, m.storeAvailable))
	case m.localReport != nil:
		c.applyOutput(ctx, c.core.ReportLoads(now, m.localReport))
	case m.leave:
		c.applyOutput(ctx, c.core.Leave(now))
	case m.seeds != nil:
		c.applyOutput(ctx, c.core.AddSeeds(now, m.seeds))
	case m.statusReply != nil:
		m.statusReply <- c.status(now)
	case m.followReply != nil:
		m.followReply <- c.updateSince(m.since)
	}
}

// logStoreUpdate logs a change of the store's era, and what the store has that
// is older than the state of this host.
func (c *controller) logStoreUpdate(u *hsfeed.Update) {
	state := c.core.State()
	if before := c.answered; u.Era != before.Era {
		c.e.log(log.InfoLevel, hscode.OK).
			Uint64("before", before.Era).Uint64("era", u.Era).Uint64("revision", u.Revision).
			Uint64("state", state.Revision()).
			Msg("era of the store changed")
	}
	c.answered = u.Position()
	for i := range u.Events {
		stored, current := u.Events[i].Configuration, state.Configuration()
		if stored == nil || current == nil || stored.Version >= current.Version {
			continue
		}
		c.counts[hscode.PlatformOlder]++
		c.e.log(log.WarnLevel, hscode.PlatformOlder).
			Uint64("era", u.Era).Uint64("revision", u.Events[i].Revision).
			Uint64("version", stored.Version).Uint64("current", current.Version).
			Msg("the store has an older configuration; keeping the current one")
	}
}

func (c *controller) status(now time.Time) ControlStatus {
	state := c.core.State()
	st := ControlStatus{
		State:         state.Position(),
		StateAge:      now.Sub(c.lastUpdate),
		Targets:       len(state.Targets()),
		Store:         c.answered,
		Evacuations:   state.Evacuations(),
		StoreReader:   c.core.IsReader(),
		StoreCalls:    c.e.storeCalls.Load(),
		StoreFailures: c.e.storeFailures.Load(),
		CodeCounts:    maps.Clone(c.counts),

		EvacuationCount: c.evacuationCount,
	}
	st.Members = c.core.MemberCount()
	if cfg := state.Configuration(); cfg != nil {
		st.ConfigurationVersion = cfg.Version
	}
	for _, p := range c.core.Peers() {
		if p.Alive {
			st.AlivePeers++
		}
	}
	return st
}

func (c *controller) updateSince(p hsfeed.Position) *hsschema.Update {
	u, ok := c.core.State().UpdateSince(p)
	if !ok {
		return nil
	}
	return hsfeed.ToProto(&u)
}

// applyOutput performs the actions that the core returned.
func (c *controller) applyOutput(ctx context.Context, out Output) {
	if out.Configuration != nil || out.TargetsChanged || out.EvacuationsChanged || out.Report != nil || out.Store != nil || out.CutOffChanged || out.Members != nil || out.HostCount > 0 {
		c.e.notifyData(ctx, dataMessage{
			configuration: out.Configuration,
			targets:       out.Targets,
			targetsSet:    out.TargetsChanged,
			evacuated:     zoneNames(out.Evacuations),
			evacuatedSet:  out.EvacuationsChanged,
			report:        out.Report,
			store:         out.Store,
			cutOff:        out.CutOff,
			cutOffSet:     out.CutOffChanged,
			members:       out.Members,
			hostCount:     out.HostCount,
		})
	}
	c.logChanges(&out)
	c.logEvacuations(time.Now(), &out)
	c.sendHeartbeats(out.Heartbeats)
	for _, f := range out.Fetches {
		select {
		case c.e.toFetcher <- f:
		default:
			c.counts[hscode.PeerFetch]++
		}
	}
	if out.ReaderChanged || out.Relist {
		c.notifyReader(out.Relist)
	}
	c.logInvalid(out.Invalid)
	for _, code := range out.Codes {
		c.counts[code]++
	}
}

// logInvalid logs what is not used of one update.
func (c *controller) logInvalid(errs hscode.Errors) {
	for i, err := range errs {
		field, message := "key", "ignoring invalid entry in the store"
		switch err.Code {
		case hscode.PeerMessage:
			field, message = "event", "ignoring invalid event of a peer"
		case hscode.PlatformDuplicate:
			field, message = "name", "ignoring entry in the store whose target ID another entry has"
		case hscode.PlatformService:
			field, message = "name", "ignoring entry in the store of a service that the configuration does not name"
		}
		line := c.e.log(log.WarnLevel, err.Code)
		if i == maxInvalidLines {
			line.Int("more", len(errs)-i).Msg(message)
			return
		}
		line.Str(field, err.Path).Str("detail", err.Detail).Msg(message)
	}
}

// logChanges logs the changes in out, without those of evacuations, and records
// when a change of the published state was last applied.
func (c *controller) logChanges(out *Output) {
	if out.Configuration != nil || out.TargetsChanged || out.EvacuationsChanged {
		c.lastUpdate = time.Now()
	}
	revision := c.core.State().Revision()
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
	if out.CutOffChanged {
		c.e.log(log.WarnLevel, hscode.OK).Bool("cutoff", out.CutOff).
			Msg("reachability of other zones and the store changed while this zone is being evacuated")
	}
	if out.ReaderChanged {
		c.e.log(log.InfoLevel, hscode.OK).Bool("reader", c.core.IsReader()).Msg("store reader role changed")
	}
}

// notifyReader tells the reader task whether to read the store and whether to
// list it again. The channel holds one message; a newer message replaces an
// unread one and keeps its request to list.
func (c *controller) notifyReader(relist bool) {
	select {
	case old := <-c.e.toReader:
		relist = relist || old.relist
	default:
	}
	c.e.toReader <- readerMessage{read: c.core.IsReader(), relist: relist}
}

// sendHeartbeats sends heartbeats. A message that goes to several peers in
// succession is encoded once.
func (c *controller) sendHeartbeats(heartbeats []Heartbeat) {
	var (
		last *hsschema.Heartbeat
		data []byte
		err  error
	)
	for _, h := range heartbeats {
		if h.Message != last {
			last = h.Message
			data, err = proto.Marshal(last)
		}
		if err != nil {
			c.counts[hscode.PeerMessage]++
			continue
		}
		to := netip.AddrPortFrom(h.To, c.e.cfg.Settings.PeerPort)
		if _, err := c.e.sockets.heartbeat.WriteToUDPAddrPort(data, to); err != nil {
			c.counts[hscode.ProcessSend]++
		}
	}
}
