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
	// dataMessage tells the data task what changed; unset fields did not.
	dataMessage struct {
		configuration *hsfeed.Configuration
		targets       []hsfeed.Entry
		targetsSet    bool
		report        *Report
		status        chan<- DataStatus
	}

	// DataStatus is what the data task tells the metrics page.
	DataStatus struct {
		Flows int
		// Targets and zones left out so far.
		Ejected uint64
		// Opening packets that wait.
		Waiting int
		Stats   hscookie.Stats
		Counts  map[hscode.Code]uint64
		// Durations in microseconds.
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
		// Targets left out, as last told; sorted.
		ejected []hsfeed.TargetID
		counts  map[hscode.Code]uint64
		rec     recorder
		guard   pauseGuard
		// Time at which the present read's time limit was set.
		armed time.Time
		// True while what is read may have waited for the process.
		waited bool
	}
)

const (
	// dataTick is the time between two ticks of the core: the time after which an
	// opening packet counts as unanswered. Packets move the core in between.
	dataTick = 50 * time.Millisecond
	// maxPacket is above the largest packet of a caller.
	maxPacket = 2048
	// maxFlows bounds the flows that are counted: nine times a host's share at the
	// size to grow to.
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

// loop reads packets one at a time. A message to the task ends the read that it
// waits in, so that it is taken at once.
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

// notePause notices a pause of the process. Opening packets that waited
// meanwhile, in the socket or here, have been copied since, and other hosts may
// have placed their flows on other targets: a second answer would lead the
// callers' packets there.
func (d *dataTask) notePause(waited bool) {
	if waited && !d.waited {
		d.e.log(log.WarnLevel, hscode.ProcessPaused).
			Int("held", d.core.HeldPackets()).
			Msg("process was paused; opening packets that waited are dropped")
		d.core.DropHeld()
	}
	d.waited = waited
}

// arm sets the time by which the next read ends.
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

// tellLoads passes the open flows and the targets left out on. A full queue
// means that the next report is as good.
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

// release carries out what was decided about held packets.
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

// write sends d.out. A packet that the socket refuses is counted; its sender
// sends it again.
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

// tellData passes a message to the data task and wakes it.
func (e *Entry) tellData(ctx context.Context, m dataMessage) {
	select {
	case e.toData <- m:
	case <-ctx.Done():
		return
	}
	if err := e.sockets.data.SetReadDeadline(time.Now()); err != nil && ctx.Err() == nil {
		e.log(log.WarnLevel, hscode.ProcessSocket).Err(err).Msg("data task was not woken")
	}
}
