package hsdirect

import (
	"context"
	"net"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hsbudget"
	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hslimit"
	"heatherstack.org/heatherstack/internal/hsplace"
)

type (
	// dataMessage is a message to the data task. Only the fields that are set
	// apply.
	dataMessage struct {
		configuration *hsfeed.Configuration
		targets       []hsfeed.TargetRecord
		targetsSet    bool
		// Zones that are being evacuated; valid if evacuatedSet.
		evacuated    []string
		evacuatedSet bool
		report       *PeerReport
		statusReply  chan<- DataStatus
		zonesReply   chan<- []hscookie.ZoneLoad
		store        *hscookie.StoreStatus
		// Whether this host is cut off; valid if cutOffSet.
		cutOff    bool
		cutOffSet bool
		members   *hsbudget.View
		// Number of entry hosts that are alive; 0 if unchanged.
		hostCount int
	}

	// DataStatus is the data task's part of the metrics.
	DataStatus struct {
		Flows int
		// Ejections of targets and zones since the start.
		Ejections uint64
		// Targets found no longer to exist since the start.
		LostTargets uint64
		// Targets that are slow now, and findings of slow targets since the start.
		SlowTargets int
		SlowFound   uint64
		// Opening packets that are held until a target has room.
		HeldPackets int
		// Targets in warm-up whose new flows are limited.
		LimitedTargets int
		Stats          hscookie.Stats
		CodeCounts     map[hscode.Code]uint64
		// Durations in microseconds: from a flow's opening packet to the caller's
		// next packet, from a request to its answer, and of whole flows.
		AnswerTimes   *hdrhistogram.Histogram
		ServiceTimes  *hdrhistogram.Histogram
		FlowDurations *hdrhistogram.Histogram
		// Limits of requests in progress; empty without
		// Settings.LimitRequests.
		Limits []hslimit.State
	}

	// dataTask is the state of the data task.
	dataTask struct {
		e          *EntryHost
		core       *hscookie.Core
		pkt        hscookie.Packet
		sendBuf    []byte
		lastTick   time.Time
		lastReport time.Time
		// Ejected targets in the last load report, sorted.
		lastEjected []hsfeed.TargetID
		counts      map[hscode.Code]uint64
		flowLog     flowLogger
		pauses      pauseDetector
		// When the current read deadline was set.
		deadlineSetAt time.Time
		// True while packets from the socket may be stale: queued while the process
		// was paused.
		stale bool
	}
)

const (
	// dataTickInterval is the time between two ticks of the core. It equals the
	// time after which an opening packet counts as unanswered; the core also
	// checks for such packets whenever it handles a packet.
	dataTickInterval = 50 * time.Millisecond
	// maxPacketSize is the size of the receive buffer in bytes, larger than any
	// packet from a caller.
	maxPacketSize = 2048
	// maxFlows limits the number of tracked flows: nine times one host's share in
	// the largest planned deployment.
	maxFlows = 65536
)

func (e *EntryHost) runData(ctx context.Context) error {
	d := &dataTask{
		e: e,
		core: hscookie.New(hscookie.Config{
			Placement: hsplace.Config{
				Zone:                e.cfg.Settings.Zone,
				UnlistedGracePeriod: e.cfg.Settings.unlistedGracePeriod(),
				Seed:                xxhash.Sum64String(e.cfg.Settings.Name) ^ e.cfg.Boot,
				LearnCapacity:       e.cfg.Settings.LearnCapacity,
				Host:                e.cfg.Settings.DataAddr.Addr().String(),
			},
			MaxFlows:        maxFlows,
			MaxFlowLifetime: e.cfg.Settings.MaxFlowLifetime,
			StartTime:       e.started,
			LearnCapacity:   e.cfg.Settings.LearnCapacity,
			LimitRequests:   e.cfg.Settings.LimitRequests,
		}),
		counts:  map[hscode.Code]uint64{},
		flowLog: flowLogger{e: e},
	}
	d.loop(ctx)
	return nil
}

// loop reads packets one at a time and handles messages between them. When
// notifyData queues a message, it ends the read in progress, so that the
// message is handled at once.
func (d *dataTask) loop(ctx context.Context) {
	conn := d.e.sockets.data
	buf := make([]byte, maxPacketSize)
	d.setReadDeadline()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(d.lastTick) >= dataTickInterval {
			d.tick(now)
		}
		d.handleMessages(now)
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			now = time.Now()
			d.handlePause(d.pauses.packetRead(now))
			d.handlePacket(now, buf[:n])
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			d.handlePause(d.pauses.readTimedOut(time.Now(), d.deadlineSetAt))
			d.setReadDeadline()
		default:
			d.counts[hscode.ProcessSocket]++
		}
	}
}

// handlePause records whether packets from the socket may be stale. When it
// detects a pause of the process, it drops the held opening packets;
// handlePacket drops the opening packets that were queued in the socket. Their
// callers have retransmitted them since, and other hosts may have placed the
// flows on other targets: forwarding the old packets too would send the
// callers' packets to a second target.
func (d *dataTask) handlePause(stale bool) {
	if stale && !d.stale {
		d.e.log(log.WarnLevel, hscode.ProcessPaused).
			Int("held", d.core.HeldCount()).
			Msg("process was paused; dropping held and queued opening packets")
		d.core.DropHeld()
	}
	d.stale = stale
}

// setReadDeadline sets the read deadline to one tick from now.
func (d *dataTask) setReadDeadline() {
	d.deadlineSetAt = time.Now()
	if err := d.e.sockets.data.SetReadDeadline(d.deadlineSetAt.Add(dataTickInterval)); err != nil {
		d.counts[hscode.ProcessSocket]++
	}
}

func (d *dataTask) tick(now time.Time) {
	d.lastTick = now
	d.core.Tick(now)
	d.processReleased(now)
	for p, v, ok := d.core.NextReset(); ok; p, v, ok = d.core.NextReset() {
		d.applyVerdict(now, &p, &v)
	}
	d.flowLog.tick(now, d.core)
	ejected := d.core.AppendEjected(now, nil)
	changed := !slices.Equal(ejected, d.lastEjected)
	if now.Sub(d.lastReport) >= TickInterval || changed {
		d.lastReport = now
		d.lastEjected = ejected
		d.reportLoads(now, changed)
	}
}

// reportLoads sends the loads, the ejected targets and the paces to the control task.
// It drops the report if the queue is full, since the next one replaces it.
func (d *dataTask) reportLoads(now time.Time, changed bool) {
	report := &LocalReport{
		Loads:            d.core.AppendLoads(make([]hsplace.Load, 0, 32)),
		Ejected:          d.lastEjected,
		Paces:            d.core.AppendPaces(now, nil, maxReportedPaces*maxZoneRecipients),
		EjectionsChanged: changed,
	}
	select {
	case d.e.toControl <- controlMessage{localReport: report}:
	default:
	}
}

func (d *dataTask) handleMessages(now time.Time) {
	for {
		select {
		case m := <-d.e.toData:
			d.handleMessage(now, &m)
		default:
			return
		}
	}
}

func (d *dataTask) handleMessage(now time.Time, m *dataMessage) {
	if m.configuration != nil {
		d.core.SetConfiguration(now, m.configuration)
	}
	if m.store != nil {
		d.core.SetStoreStatus(*m.store)
	}
	if m.targetsSet {
		d.core.SetTargets(now, m.targets)
	}
	if m.cutOffSet {
		d.core.SetCutOff(m.cutOff)
		d.processReleased(now)
	}
	if m.evacuatedSet {
		d.core.SetEvacuations(now, m.evacuated)
		d.processReleased(now)
	}
	if m.report != nil {
		d.core.ApplyReport(now, m.report.Host, m.report.Loads)
		d.core.ApplyEjections(now, m.report.Ejected, m.report.EjectionDuration)
		d.core.ApplyPaces(now, m.report.Paces)
	}
	if m.hostCount > 0 {
		d.core.SetHostCount(m.hostCount)
	}
	if m.members != nil {
		d.core.SetMembers(m.members)
	}
	if m.statusReply != nil {
		m.statusReply <- d.status(now)
	}
	if m.zonesReply != nil {
		m.zonesReply <- d.core.ZoneLoads()
	}
	if !d.e.ready.Load() && d.core.Ready() {
		d.e.ready.Store(true)
		d.e.log(log.InfoLevel, hscode.OK).Dur("after", now.Sub(d.e.started)).Msg("ready")
	}
}

func (d *dataTask) handlePacket(now time.Time, data []byte) {
	if code := d.e.cfg.Codec.Decode(data, &d.pkt); code != hscode.OK {
		d.counts[code]++
		return
	}
	d.e.lastPacket.Store(int64(now.Sub(d.e.started)))
	if d.stale && d.pkt.HasAny(hscookie.FlagOpen) {
		d.counts[hscode.FlowPaused]++
		return
	}
	d.pkt.Raw = data
	v := d.core.HandlePacket(now, &d.pkt)
	d.applyVerdict(now, &d.pkt, &v)
	d.processReleased(now)
}

// processReleased acts on the core's decisions about held packets.
func (d *dataTask) processReleased(now time.Time) {
	for p, v, ok := d.core.Release(now); ok; p, v, ok = d.core.Release(now) {
		d.applyVerdict(now, &p, &v)
	}
}

func (d *dataTask) applyVerdict(now time.Time, p *hscookie.Packet, v *hscookie.Verdict) {
	d.flowLog.logDecision(now, d.core, p, v)
	switch v.Action {
	case hscookie.Forward:
		d.sendBuf = d.e.cfg.Codec.AppendForTarget(d.sendBuf[:0], p.Raw, v.Target, v.Cookie)
		d.write(v.To)
	case hscookie.Refuse:
		d.sendBuf = d.e.cfg.Codec.AppendReset(d.sendBuf[:0], p)
		d.write(d.e.cfg.Codec.CallerAddr(p))
	}
}

// write sends d.sendBuf. If the socket rejects the packet, it is counted and
// lost; the sender retransmits it.
func (d *dataTask) write(to netip.AddrPort) {
	if _, err := d.e.sockets.data.WriteToUDPAddrPort(d.sendBuf, to); err != nil {
		d.counts[hscode.ProcessSend]++
	}
}

func (d *dataTask) status(now time.Time) DataStatus {
	st := DataStatus{
		LostTargets:    d.flowLog.lostTargets,
		Flows:          d.core.FlowCount(),
		HeldPackets:    d.core.HeldCount(),
		LimitedTargets: d.core.LimitedTargets(now),
		Ejections:      d.flowLog.ejections,
		SlowTargets:    d.core.SlowCount(),
		SlowFound:      d.flowLog.slowFound,
		Stats:          d.core.Stats,
		CodeCounts:     map[hscode.Code]uint64{},
		AnswerTimes:    hdrhistogram.Import(d.core.Durations.Answer.Export()),
		ServiceTimes:   hdrhistogram.Import(d.core.Durations.Service.Export()),
		FlowDurations:  hdrhistogram.Import(d.core.Durations.Flow.Export()),
		Limits:         d.core.AppendLimits(nil),
	}
	for code, n := range d.counts {
		st.CodeCounts[code] += n
	}
	for code, n := range d.core.CodeCounts {
		st.CodeCounts[code] += n
	}
	return st
}

// notifyData queues a message for the data task and ends the task's current
// read, so that the task handles the message at once.
func (e *EntryHost) notifyData(ctx context.Context, m dataMessage) {
	select {
	case e.toData <- m:
	case <-ctx.Done():
		return
	}
	if err := e.sockets.data.SetReadDeadline(time.Now()); err != nil && ctx.Err() == nil {
		e.log(log.WarnLevel, hscode.ProcessSocket).Err(err).Msg("cannot set the read deadline that wakes the data task")
	}
}
