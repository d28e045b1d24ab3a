package hsdirect

import (
	"time"

	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
)

// recorder writes log lines about flows, at a bounded rate.
type recorder struct {
	e *Entry
	// Start of the second that lines counts.
	second time.Time
	lines  int
	// Lines left out since the last one that says so.
	dropped uint64
	// Targets and zones left out since the start.
	ejected uint64
}

const (
	// linesPerSecond bounds the lines about flows: a burst of refusals must not
	// cost more than the packets themselves.
	linesPerSecond = 25
	// sampleMask selects one of 64 flows whose placement or wait is logged. All
	// hosts select the same flows.
	sampleMask = 63
)

// flow writes a line about a decision that is remarkable.
func (r *recorder) flow(now time.Time, core *hscookie.Core, p *hscookie.Packet, v *hscookie.Verdict) {
	if !remarkable(p, v) || !r.allow(now) {
		return
	}
	level := log.InfoLevel
	if v.Action == hscookie.Refuse {
		level = log.WarnLevel
	}
	line := r.e.log(level, v.Code).
		Str("flow", p.From.String()+">"+p.To.String()).
		Str("action", v.Action.String()).
		Uint32("copies", p.Copies).
		Uint64("version", core.Version())
	if v.Choice.Pool > 0 {
		line = line.Uint64("target", uint64(v.Choice.Target)).
			Int("own", v.Choice.Own).
			Int("others", v.Choice.Others).
			Int("pool", v.Choice.Pool).
			Int("ejected", v.Choice.Ejected)
	}
	line.Msg("flow decided")
}

// remarkable reports whether a decision gets a line: every refusal and dropped
// opening packet, and of the others those of sampled flows.
func remarkable(p *hscookie.Packet, v *hscookie.Verdict) bool {
	if v.Action == hscookie.Refuse || (v.Action == hscookie.Drop && p.Has(hscookie.Open)) {
		return true
	}
	if !v.Placed && v.Action != hscookie.Hold {
		return false
	}
	key := p.Key()
	return key.Hash()&sampleMask == 0
}

// tick writes a line for each target or zone that was left out, and one about
// lines that were.
func (r *recorder) tick(now time.Time, core *hscookie.Core) {
	for _, ej := range core.Ejections {
		r.ejected++
		if r.allow(now) {
			r.e.log(log.WarnLevel, hscode.FlowUnanswered).
				Uint64("target", uint64(ej.Target)).
				Str("zone", ej.Zone).
				Dur("time", ej.For).
				Msg("left out: opening packets got no answer")
		}
	}
	core.Ejections = core.Ejections[:0]
	if r.dropped > 0 && now.Sub(r.second) >= time.Second {
		r.e.log(log.WarnLevel, hscode.OK).Uint64("lines", r.dropped).Msg("log lines left out")
		r.dropped = 0
	}
}

func (r *recorder) allow(now time.Time) bool {
	if now.Sub(r.second) >= time.Second {
		r.second = now
		r.lines = 0
	}
	r.lines++
	if r.lines > linesPerSecond {
		r.dropped++
		return false
	}
	return true
}
