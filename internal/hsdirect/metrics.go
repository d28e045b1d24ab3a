package hsdirect

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hstask"
)

// metric is one line of the metrics page.
type metric struct {
	name  string
	value string
}

const (
	metricsPath   = "/metrics"
	statusTimeout = time.Second
)

// serveMetrics answers with counters and duration percentiles in the Prometheus
// text format.
func (e *Entry) serveMetrics(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	fromData := make(chan DataStatus, 1)
	e.tellData(ctx, dataMessage{status: fromData})
	data, ok := hstask.Await(ctx, fromData)
	fromControl := make(chan ControlStatus, 1)
	ctl, ok2 := hstask.Ask(ctx, e.toControl, controlMessage{status: fromControl}, fromControl)
	if !ok || !ok2 {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	for _, m := range metrics(&data, &ctl) {
		_, _ = fmt.Fprintf(w, "heatherstack_%s %s\n", m.name, m.value)
	}
}

func metrics(d *DataStatus, c *ControlStatus) []metric {
	s := &d.Stats
	out := []metric{
		number("flow_held", uint64(d.Flows)),
		number("flow_placed", s.Placed),
		number("flow_copies", s.Copies),
		number("flow_adopted", s.Adopted),
		number("flow_expired", s.Expired),
		number("flow_reset", s.Resets),
		number("flow_waited", s.Held),
		number("flow_waiting", uint64(d.Waiting)),
		number("packet_forwarded", s.Forwarded),
		number("target_ejected", d.Ejected),
		number("store_calls", c.Calls),
		number("store_failures", c.Failures),
		number("store_reader", boolean(c.Reader)),
		number("state_revision", c.Revision),
		number("state_version", c.Version),
		number("state_age_ms", uint64(c.Age.Milliseconds())),
		number("target_listed", uint64(c.Targets)),
		number("peer_alive", uint64(c.Alive)),
	}
	out = append(out, percentiles("answer_us", d.Answer)...)
	out = append(out, percentiles("duration_us", d.Flow)...)
	for _, e := range hscode.Table[1:] {
		if n := d.Counts[e.Code] + c.Counts[e.Code]; n > 0 {
			out = append(out, number("code_"+strconv.Itoa(int(e.Code)), n))
		}
	}
	return out
}

func number(name string, n uint64) metric {
	return metric{name: name, value: strconv.FormatUint(n, 10)}
}

func boolean(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func percentiles(name string, h *hdrhistogram.Histogram) []metric {
	out := []metric{number(name+"_count", uint64(h.TotalCount()))}
	for _, q := range []float64{50, 90, 99} {
		out = append(out, metric{
			name:  fmt.Sprintf("%s{quantile=\"%g\"}", name, q/100),
			value: strconv.FormatInt(h.ValueAtQuantile(q), 10),
		})
	}
	return out
}
