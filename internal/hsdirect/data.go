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

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
)

type (
	// dataMessage is a message to the data task. Only the fields that are set
	// apply.
	dataMessage struct {
		configuration *hsfeed.Configuration
		targets       []hsfeed.Entry
		targetsSet    bool
		report        *Report
		status        chan<- DataStatus
	}

	// DataStatus is the data task's part of the metrics.
	DataStatus struct {
		Flows int
		// Ejections of targets and zones since the start.
		Ejected uint64
		// Opening packets that are held until a target has room.
		Waiting int
		Stats   hscookie.Stats
		Counts  map[hscode.Code]uint64
		// Durations in microseconds: from a flow's opening packet to the caller's
		// next packet, and of whole flows.
		Answer *hdrhistogram.Histogram
		Flow   *hdrhistogram.Histogram
	}

	// dataTask is the state of the data task.
	dataTask struct {
		e      *Entry
		core   *hscookie.Core
		pkt    hscookie.Packet
		out    []byte
		ticked time.Time
		told   time.Time
		// Ejected targets in the last load report, sorted.
		ejected []hsfeed.TargetID
		counts  map[hscode.Code]uint64
		rec     recorder
		guard   pauseGuard
		// When the current read deadline was set.
		armed time.Time
		// True while packets from the socket may be stale: queued while the process
		// was paused.
		waited bool
	}
)

const (
	// dataTick is the time between two ticks of the core: the time after which an
	// opening packet counts as unanswered. Packets between ticks also advance the
	// core.
	dataTick = 50 * time.Millisecond
	// maxPacket is the size of the receive buffer in bytes, larger than any packet
	// from a caller.
	maxPacket = 2048
	// maxFlows limits the flows that are counted: nine times one host's share in
	// the largest planned deployment.
	maxFlows = 65536
)

func (e *Entry) runData(ctx context.Context) error {
	d := &dataTask{
		e: e,
		core: hscookie.New(hscookie.Config{
			Place: hsplace.Config{
				Zone:  e.cfg.Settings.Zone,
				Lapse: e.cfg.Settings.lapse(),
				Seed:  xxhash.Sum64String(e.cfg.Settings.Name) ^ e.cfg.Boot,
			},
			MaxFlows: maxFlows,
			Life:     e.cfg.Settings.Life,
			Start:    e.started,
		}),
		counts: map[hscode.Code]uint64{},
		rec:    recorder{e: e},
	}
	d.loop(ctx)
	return nil
}

// loop reads packets one at a time. Whoever sends a message to the task also
// ends the read in progress, so that the message is handled at once.
func (d *dataTask) loop(ctx context.Context) {
	conn := d.e.sockets.data
	buf := make([]byte, maxPacket)
	d.arm()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(d.ticked) >= dataTick {
			d.tick(now)
		}
		d.messages(now)
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			now = time.Now()
			d.notePause(d.guard.packet(now))
			d.packet(now, buf[:n])
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			d.notePause(d.guard.empty(time.Now(), d.armed))
			d.arm()
		default:
			d.counts[hscode.ProcessSocket]++
		}
	}
}

// notePause records whether packets from the socket may be stale. When it
// detects a pause of the process, it drops the held opening packets; packet
// drops the opening packets that were queued in the socket. Their callers have
// retransmitted them since, and other hosts may have placed the flows on other
// targets: forwarding the old packets too would send the callers' packets to a
// second target.
func (d *dataTask) notePause(waited bool) {
	if waited && !d.waited {
		d.e.log(log.WarnLevel, hscode.ProcessPaused).
			Int("held", d.core.HeldPackets()).
			Msg("process was paused; opening packets that waited are dropped")
		d.core.DropHeld()
	}
	d.waited = waited
}

// arm sets the deadline of the next reads.
func (d *dataTask) arm() {
	d.armed = time.Now()
	if err := d.e.sockets.data.SetReadDeadline(d.armed.Add(dataTick)); err != nil {
		d.counts[hscode.ProcessSocket]++
	}
}

func (d *dataTask) tick(now time.Time) {
	d.ticked = now
	d.core.Tick(now)
	d.release(now)
	d.rec.tick(now, d.core)
	ejected := d.core.Ejected(now, nil)
	news := !slices.Equal(ejected, d.ejected)
	if now.Sub(d.told) >= TickInterval || news {
		d.told = now
		d.ejected = ejected
		d.tellLoads(news)
	}
}

// tellLoads sends the open flows and the ejected targets to the control task.
// It drops the report if the queue is full, since the next one replaces it.
func (d *dataTask) tellLoads(news bool) {
	report := &Loads{Flows: d.core.Loads(make([]hsplace.Load, 0, 32)), Ejected: d.ejected, News: news}
	select {
	case d.e.toControl <- controlMessage{loads: report}:
	default:
	}
}

func (d *dataTask) messages(now time.Time) {
	for {
		select {
		case m := <-d.e.toData:
			d.message(now, &m)
		default:
			return
		}
	}
}

func (d *dataTask) message(now time.Time, m *dataMessage) {
	if m.configuration != nil {
		d.core.SetConfiguration(now, m.configuration)
	}
	if m.targetsSet {
		d.core.SetTargets(now, m.targets)
	}
	if m.report != nil {
		d.core.Report(now, m.report.Host, m.report.Loads)
		d.core.Avoid(now, m.report.Avoid, m.report.AvoidFor)
	}
	if m.status != nil {
		m.status <- d.status()
	}
	if !d.e.ready.Load() && d.core.Ready() {
		d.e.ready.Store(true)
		d.e.log(log.InfoLevel, hscode.OK).Dur("after", now.Sub(d.e.started)).Msg("ready")
	}
}

func (d *dataTask) packet(now time.Time, data []byte) {
	if code := d.e.cfg.Codec.Decode(data, &d.pkt); code != hscode.OK {
		d.counts[code]++
		return
	}
	d.e.traffic.Store(int64(now.Sub(d.e.started)))
	if d.waited && d.pkt.Has(hscookie.Open) {
		d.counts[hscode.FlowPaused]++
		return
	}
	d.pkt.Raw = data
	v := d.core.Packet(now, &d.pkt)
	d.carryOut(now, &d.pkt, &v)
	d.release(now)
}

// release acts on the core's decisions about held packets.
func (d *dataTask) release(now time.Time) {
	for p, v, ok := d.core.Release(now); ok; p, v, ok = d.core.Release(now) {
		d.carryOut(now, &p, &v)
	}
}

func (d *dataTask) carryOut(now time.Time, p *hscookie.Packet, v *hscookie.Verdict) {
	d.rec.flow(now, d.core, p, v)
	switch v.Action {
	case hscookie.Forward:
		d.out = d.e.cfg.Codec.AppendToTarget(d.out[:0], p.Raw, v.Target, v.Cookie)
		d.write(v.To)
	case hscookie.Refuse:
		d.out = d.e.cfg.Codec.AppendReset(d.out[:0], p)
		d.write(d.e.cfg.Codec.Caller(p))
	}
}

// write sends d.out. If the socket rejects the packet, it is counted and lost;
// the sender retransmits it.
func (d *dataTask) write(to netip.AddrPort) {
	if _, err := d.e.sockets.data.WriteToUDPAddrPort(d.out, to); err != nil {
		d.counts[hscode.ProcessSend]++
	}
}

func (d *dataTask) status() DataStatus {
	st := DataStatus{
		Flows:   d.core.Flows(),
		Waiting: d.core.HeldPackets(),
		Ejected: d.rec.ejected,
		Stats:   d.core.Stats,
		Counts:  map[hscode.Code]uint64{},
		Answer:  hdrhistogram.Import(d.core.Times.Answer.Export()),
		Flow:    hdrhistogram.Import(d.core.Times.Flow.Export()),
	}
	for code, n := range d.counts {
		st.Counts[code] += n
	}
	for code, n := range d.core.Counts {
		st.Counts[code] += n
	}
	return st
}

// tellData queues a message for the data task and ends the task's current read.
func (e *Entry) tellData(ctx context.Context, m dataMessage) {
	select {
	case e.toData <- m:
	case <-ctx.Done():
		return
	}
	if err := e.sockets.data.SetReadDeadline(time.Now()); err != nil && ctx.Err() == nil {
		e.log(log.WarnLevel, hscode.ProcessSocket).Err(err).Msg("cannot set the read deadline that wakes the data task")
	}
}
