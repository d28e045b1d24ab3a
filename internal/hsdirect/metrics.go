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
func (e *EntryHost) serveMetrics(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	fromData := make(chan DataStatus, 1)
	e.notifyData(ctx, dataMessage{statusReply: fromData})
	data, dataOK := hstask.Await(ctx, fromData)
	fromControl := make(chan ControlStatus, 1)
	control, controlOK := hstask.Call(ctx, e.toControl, controlMessage{statusReply: fromControl}, fromControl)
	if !dataOK || !controlOK {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	for _, m := range collectMetrics(&data, &control) {
		_, _ = fmt.Fprintf(w, "heatherstack_%s %s\n", m.name, m.value)
	}
}

func collectMetrics(d *DataStatus, c *ControlStatus) []metric {
	s := &d.Stats
	out := []metric{
		uintMetric("flow_held", uint64(d.Flows)),
		uintMetric("flow_placed", s.Placed),
		uintMetric("flow_copies", s.Retransmits),
		uintMetric("flow_moved", s.Moved),
		uintMetric("flow_adopted", s.MidstreamFlows),
		uintMetric("flow_expired", s.Expired),
		uintMetric("flow_reset", s.Resets),
		uintMetric("flow_reset_reused", s.ReusedResets),
		uintMetric("flow_reset_missing", s.MissingResets),
		uintMetric("flow_waited", s.Held),
		uintMetric("flow_refused_warmup", s.WarmUpRefused),
		uintMetric("flow_limited", s.Limited),
		uintMetric("flow_waiting", uint64(d.HeldPackets)),
		uintMetric("packet_forwarded", s.Forwarded),
		uintMetric("target_ejected", d.Ejections),
		uintMetric("target_limited", uint64(d.LimitedTargets)),
		uintMetric("target_slow", uint64(d.SlowTargets)),
		uintMetric("target_slow_found", d.SlowFound),
		uintMetric("store_calls", c.StoreCalls),
		uintMetric("store_failures", c.StoreFailures),
		uintMetric("store_reader", boolToUint(c.StoreReader)),
		uintMetric("store_era", c.Store.Era),
		uintMetric("store_revision", c.Store.Revision),
		uintMetric("state_era", c.State.Era),
		uintMetric("state_revision", c.State.Revision),
		uintMetric("state_version", c.ConfigurationVersion),
		uintMetric("state_age_ms", uint64(c.StateAge.Milliseconds())),
		uintMetric("target_lost", d.LostTargets),
		uintMetric("target_listed", uint64(c.Targets)),
		uintMetric("zone_evacuated", uint64(len(c.Evacuations))),
		uintMetric("zone_evacuations", c.EvacuationCount),
		uintMetric("peer_alive", uint64(c.AlivePeers)),
		uintMetric("peer_members", uint64(c.Members)),
	}
	out = append(out, percentiles("answer_us", d.AnswerTimes)...)
	out = append(out, percentiles("service_us", d.ServiceTimes)...)
	out = append(out, percentiles("duration_us", d.FlowDurations)...)
	for _, l := range d.Limits {
		label := fmt.Sprintf("{service=%q}", l.Service)
		out = append(out,
			uintMetric("limit_progress"+label, uint64(max(l.InProgress, 0))),
			uintMetric("limit_requests"+label, uint64(l.Limit)),
			uintMetric("limit_ratio_percent"+label, uint64(100*l.Ratio)),
		)
	}
	for _, e := range hscode.Table[1:] {
		if n := d.CodeCounts[e.Code] + c.CodeCounts[e.Code]; n > 0 {
			out = append(out, uintMetric("code_"+strconv.Itoa(int(e.Code)), n))
		}
	}
	return out
}

func uintMetric(name string, n uint64) metric {
	return metric{name: name, value: strconv.FormatUint(n, 10)}
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func percentiles(name string, h *hdrhistogram.Histogram) []metric {
	out := []metric{uintMetric(name+"_count", uint64(h.TotalCount()))}
	for _, q := range []float64{50, 90, 99} {
		out = append(out, metric{
			name:  fmt.Sprintf("%s{quantile=\"%g\"}", name, q/100),
			value: strconv.FormatInt(h.ValueAtQuantile(q), 10),
		})
	}
	return out
}
