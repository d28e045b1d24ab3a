package hslab

import "github.com/HdrHistogram/hdrhistogram-go"

// Copy returns a deep copy of t.
func (t *Tally) Copy() Tally {
	c := *t
	c.Latency = hdrhistogram.Import(t.Latency.Export())
	c.BreakReasons = append([]string(nil), t.BreakReasons...)
	return c
}

// Add adds other's counts to t.
func (t *Tally) Add(other *Tally) {
	t.Opened += other.Opened
	t.Broken += other.Broken
	t.Sent += other.Sent
	t.Answered += other.Answered
	t.Refused += other.Refused
	t.Lost += other.Lost
	t.Truncated += other.Truncated
	t.Mismatched += other.Mismatched
	t.ConnectTimeouts += other.ConnectTimeouts
	t.RefusedButRun += other.RefusedButRun
	t.Open += other.Open
	t.Latency.Merge(other.Latency)
	t.BreakReasons = append(t.BreakReasons, other.BreakReasons...)
}
