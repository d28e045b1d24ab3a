package hsdirect

import (
	"math"
	"time"

	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsplace"
)

// flowLogger logs decisions about flows, and ejections, at a limited rate.
type flowLogger struct {
	e *EntryHost
	// Start of the second in which lines are counted.
	secondStart time.Time
	lines       int
	// Lines dropped since the last line that reports dropped lines.
	dropped uint64
	// Ejections of targets and zones since the start.
	ejections uint64
	// Targets found no longer to exist since the start.
	lostTargets uint64
	// Findings of slow targets since the start.
	slowFound uint64
}

const (
	// maxLinesPerSecond limits the log lines about flows: logging a burst of
	// refused flows must not cost more than processing their packets.
	maxLinesPerSecond = 25
	// sampleMask selects one in 64 flows, whose opening packets are logged.
	// All hosts select the same flows.
	sampleMask = 63
)

// logDecision logs a decision if it is selected and the rate limit permits.
func (l *flowLogger) logDecision(now time.Time, core *hscookie.Core, p *hscookie.Packet, v *hscookie.Verdict) {
	if !shouldLog(p, v) || !l.allow(now) {
		return
	}
	level := log.InfoLevel
	if v.Action == hscookie.Refuse {
		level = log.WarnLevel
	}
	line := l.e.log(level, v.Code).
		Str("flow", p.From.String()+">"+p.To.String()).
		Str("action", v.Action.String()).
		Uint32("copies", p.Retransmits).
		Uint64("version", core.ConfigurationVersion())
	if v.Action == hscookie.Forward {
		line = line.Uint64("target", uint64(v.Target)).Bool("placed", v.Placed)
	}
	if v.Choice.PoolSize > 0 {
		if v.Action != hscookie.Forward {
			line = line.Uint64("target", uint64(v.Choice.Target))
		}
		line = line.
			Int("own", v.Choice.OwnRequests).
			Int("others", v.Choice.ReportedRequests).
			Int("pool", v.Choice.PoolSize).
			Int("ejected", v.Choice.EjectedCount)
	}
	if v.Choice.Exclusion != hsplace.NotExcluded {
		line = line.Str("excluded", v.Choice.Exclusion.String())
	}
	if s := &v.Limit; s.Service != "" {
		line = line.Str("service", s.Service).
			Int("progress", s.InProgress).
			Float64("limit", roundTenth(s.Limit)).
			Float64("ratio", roundTenth(s.Ratio)).
			Int("limited", v.Choice.LimitedCount)
	}
	line.Msg("flow decision")
}

// roundTenth rounds to one decimal digit.
func roundTenth(x float64) float64 { return math.Round(10*x) / 10 }

// shouldLog reports whether a decision is selected for logging: every refusal
// and every dropped opening packet, and what happens to the other opening packets
// of sampled flows.
func shouldLog(p *hscookie.Packet, v *hscookie.Verdict) bool {
	if v.Action == hscookie.Refuse || (v.Action == hscookie.Drop && p.HasAny(hscookie.FlagOpen)) {
		return true
	}
	if !p.HasAny(hscookie.FlagOpen) {
		return false
	}
	key := p.Key()
	return key.Hash()&sampleMask == 0
}

// tick logs each new ejection of a target or zone, each lost target, the targets
// that were found slow or no longer are, and the number of lines that
// the rate limit dropped.
func (l *flowLogger) tick(now time.Time, core *hscookie.Core) {
	for _, ej := range core.Ejections {
		l.ejections++
		if l.allow(now) {
			l.e.log(log.WarnLevel, hscode.FlowUnanswered).
				Uint64("target", uint64(ej.Target)).
				Str("zone", ej.Zone).
				Dur("for", ej.Duration).
				Msg("ejected: opening packets were not answered")
		}
	}
	core.Ejections = core.Ejections[:0]
	for _, lost := range core.LostTargets {
		l.lostTargets++
		if l.allow(now) {
			l.e.log(log.WarnLevel, hscode.FlowTargetLost).
				Uint64("target", uint64(lost.Target)).
				Str("evidence", lost.Evidence.String()).
				Uint64("successor", uint64(lost.Successor)).
				Str("address", lost.Address.String()).
				Msg("target no longer exists; resetting its flows")
		}
	}
	core.LostTargets = core.LostTargets[:0]
	for i := range core.PaceChanges {
		l.logPaceChange(now, &core.PaceChanges[i])
	}
	core.PaceChanges = core.PaceChanges[:0]
	if l.dropped > 0 && now.Sub(l.secondStart) >= time.Second {
		l.e.log(log.WarnLevel, hscode.OK).Uint64("lines", l.dropped).Msg("log lines dropped by the rate limit")
		l.dropped = 0
	}
}

// logPaceChange counts and logs a target that was found slow, or no longer is,
// with the evidence.
func (l *flowLogger) logPaceChange(now time.Time, change *hsplace.PaceChange) {
	text := "target is no longer slow"
	if change.Slow {
		l.slowFound++
		text = "target is slow"
	}
	if l.allow(now) {
		l.e.log(log.InfoLevel, hscode.OK).
			Uint64("target", uint64(change.Target)).
			Dur("takes", change.Time).
			Dur("usual", change.Reference).
			Float64("requests", change.Count).
			Msg(text)
	}
}

func (l *flowLogger) allow(now time.Time) bool {
	if now.Sub(l.secondStart) >= time.Second {
		l.secondStart = now
		l.lines = 0
	}
	l.lines++
	if l.lines > maxLinesPerSecond {
		l.dropped++
		return false
	}
	return true
}
