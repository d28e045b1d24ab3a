package hslab

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"heatherstack.org/heatherstack/internal/hsentry"
)

type (
	// Verdict is the result of an experiment with callers.
	Verdict struct {
		Services []ServiceVerdict
		Total    Tally
		// Requests that ran more than once, and requests and packets that
		// reached the wrong target.
		RanTwice  int
		Misrouted int
		// Removed targets that accepted new flows more than settleTime after
		// the last manifest with leaving targets became current.
		LateTargets int
		// Connections that were open on targets when these were removed.
		Undrained    int
		Propagations []Propagation
		Balance      []Balance
		// Highest ratio in Balance.
		Imbalance float64
		// Status of the entry hosts at the end.
		Hosts []hsentry.Status
	}

	// ServiceVerdict is the result for one service.
	ServiceVerdict struct {
		Name  string
		Tally Tally
	}

	// Propagation is the time that a manifest version took to become current on
	// all hosts.
	Propagation struct {
		Version uint64
		Took    time.Duration
	}

	// Balance describes how evenly open connections are distributed over a
	// pool's targets.
	Balance struct {
		Pool string
		// Open connections on all targets.
		Open int
		// Maximum divided by mean of the open connections per target.
		Ratio float64
	}

	// Reporter writes the progress and the verdict of an experiment. The
	// argument at is the time since the start of the experiment.
	Reporter interface {
		Phase(at time.Duration, name string)
		Progress(at time.Duration, tallies []Tally)
		Propagated(at time.Duration, version uint64, took time.Duration)
		Verdict(v *Verdict)
	}

	// TextReporter writes text for people.
	TextReporter struct {
		W io.Writer
	}

	// JSONReporter writes one JSON object per line.
	JSONReporter struct {
		W io.Writer
	}

	// verdictLine is the last line of a JSON report.
	verdictLine struct {
		Kind      string  `json:"kind"`
		Broken    int     `json:"broken"`
		Lost      int     `json:"lost"`
		Doubled   int     `json:"doubled"`
		Cut       int     `json:"cut"`
		Crossed   int     `json:"crossed"`
		Misrouted int     `json:"misrouted"`
		Opened    int     `json:"opened"`
		Answered  int     `json:"answered"`
		Sent      int     `json:"sent"`
		Refused   int     `json:"refused"`
		Unopened  int     `json:"unopened"`
		Late      int     `json:"late"`
		Undrained int     `json:"undrained"`
		Imbalance float64 `json:"imbalance"`
	}
)

const (
	p50 = 50
	p99 = 99
)

// Passed reports whether callers were served without any violation of the load
// balancer's guarantees.
func (v *Verdict) Passed() bool {
	t := &v.Total
	violations := t.Broken + t.Lost + t.Truncated + t.Mismatched + v.RanTwice + v.Misrouted + v.LateTargets
	return violations == 0 && t.Opened > 0 && t.Answered > 0
}

// fill sets the counts of callers and targets.
func (v *Verdict) fill(plans []ServicePlan, tallies []Tally, ledger *Ledger) {
	v.Total = *NewTally()
	for i := range tallies {
		v.Services = append(v.Services, ServiceVerdict{Name: plans[i].Workload.Name, Tally: tallies[i]})
		v.Total.Add(&tallies[i])
	}
	_, v.RanTwice, v.Misrouted = ledger.Totals()
}

// Phase implements Reporter.
func (r *TextReporter) Phase(at time.Duration, name string) {
	_, _ = fmt.Fprintf(r.W, "%7s  %s\n", seconds(at), name)
}

// Progress implements Reporter.
func (r *TextReporter) Progress(at time.Duration, tallies []Tally) {
	t := NewTally()
	for i := range tallies {
		t.Add(&tallies[i])
	}
	_, _ = fmt.Fprintf(r.W, "%7s  open %d  answered %d  broken %d  refused %d\n", seconds(at), t.Open, t.Answered, t.Broken, t.Refused)
}

// Propagated implements Reporter.
func (r *TextReporter) Propagated(at time.Duration, version uint64, took time.Duration) {
	_, _ = fmt.Fprintf(r.W, "%7s  version %d current on all hosts after %d ms\n", seconds(at), version, took.Milliseconds())
}

// Verdict implements Reporter.
func (r *TextReporter) Verdict(v *Verdict) {
	w := tabwriter.NewWriter(r.W, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "\nservice\topened\tbroken\tsent\tanswered\trefused\tlost\tcut\tcrossed\tp50 ms\tp99 ms\tmax ms\t")
	for i := range v.Services {
		writeServiceRow(w, v.Services[i].Name, &v.Services[i].Tally)
	}
	writeServiceRow(w, "all", &v.Total)
	_ = w.Flush()
	_, _ = fmt.Fprintf(r.W, "\ndoubled %d, misrouted %d, leaving targets that accepted new flows %d, connections open on removed targets %d\n",
		v.RanTwice, v.Misrouted, v.LateTargets, v.Undrained)
	for _, b := range v.Balance {
		_, _ = fmt.Fprintf(r.W, "imbalance of %s: %.2f with %d connections\n", b.Pool, b.Ratio, b.Open)
	}
	for _, reason := range v.Total.BreakReasons[:min(len(v.Total.BreakReasons), maxBreakReasons)] {
		_, _ = fmt.Fprintln(r.W, "broken:", reason)
	}
	if v.Passed() {
		_, _ = fmt.Fprintln(r.W, "PASSED: all guarantees held")
	} else {
		_, _ = fmt.Fprintln(r.W, "FAILED: a guarantee was violated")
	}
}

func writeServiceRow(w io.Writer, name string, t *Tally) {
	ms := func(q float64) float64 { return float64(t.Latency.ValueAtQuantile(q)) / 1000 }
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", name,
		t.Opened, t.Broken, t.Sent, t.Answered, t.Refused, t.Lost, t.Truncated, t.Mismatched,
		ms(p50), ms(p99), float64(t.Latency.Max())/1000)
}

// Phase implements Reporter.
func (r *JSONReporter) Phase(at time.Duration, name string) {
	r.writeLine(struct {
		Kind string  `json:"kind"`
		At   float64 `json:"at"`
		Name string  `json:"name"`
	}{"phase", at.Seconds(), name})
}

// Progress implements Reporter.
func (r *JSONReporter) Progress(at time.Duration, tallies []Tally) {
	t := NewTally()
	for i := range tallies {
		t.Add(&tallies[i])
	}
	r.writeLine(struct {
		Kind     string  `json:"kind"`
		At       float64 `json:"at"`
		Open     int     `json:"open"`
		Answered int     `json:"answered"`
		Broken   int     `json:"broken"`
		Refused  int     `json:"refused"`
	}{"progress", at.Seconds(), t.Open, t.Answered, t.Broken, t.Refused})
}

// Propagated implements Reporter.
func (r *JSONReporter) Propagated(at time.Duration, version uint64, took time.Duration) {
	r.writeLine(struct {
		Kind    string  `json:"kind"`
		At      float64 `json:"at"`
		Version uint64  `json:"version"`
		Took    float64 `json:"took"`
	}{"force", at.Seconds(), version, took.Seconds()})
}

// Verdict implements Reporter.
func (r *JSONReporter) Verdict(v *Verdict) {
	for i := range v.Services {
		t := &v.Services[i].Tally
		r.writeLine(struct {
			Kind     string `json:"kind"`
			Name     string `json:"name"`
			Answered int    `json:"answered"`
			P50      int64  `json:"p50"`
			P99      int64  `json:"p99"`
			Max      int64  `json:"max"`
		}{"service", v.Services[i].Name, t.Answered, t.Latency.ValueAtQuantile(p50), t.Latency.ValueAtQuantile(p99), t.Latency.Max()})
	}
	t := &v.Total
	r.writeLine(verdictLine{
		Kind: "verdict", Broken: t.Broken, Lost: t.Lost, Doubled: v.RanTwice, Cut: t.Truncated, Crossed: t.Mismatched,
		Misrouted: v.Misrouted, Opened: t.Opened, Answered: t.Answered, Sent: t.Sent, Refused: t.Refused,
		Unopened: t.ConnectTimeouts, Late: v.LateTargets, Undrained: v.Undrained, Imbalance: v.Imbalance,
	})
}

func (r *JSONReporter) writeLine(v any) {
	_ = json.NewEncoder(r.W).Encode(v)
}
