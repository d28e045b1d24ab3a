package hsentry

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hshttp"
	"heatherstack.org/heatherstack/internal/hsrank"
	"heatherstack.org/heatherstack/internal/hstask"
)

// Status is the document that GET /status serves. The names of its fields are
// the keys of the JSON object.
type Status struct {
	Name string
	Zone string
	Boot uint64
	// Version of the current manifest; 0 if there is none yet.
	Version uint64
	// Digest of the current manifest, hexadecimal.
	Digest string
	// Time at which this host applied the current manifest.
	Since time.Time
	// True if this host is a reader of its zone: it reads the platform.
	Reader bool
	// True while this host places no new flows.
	Paused bool
	// Number of tracked flows.
	Flows   int
	Members map[string]hsrank.MemberStatus
	// Number of open flows by target name, for the targets that this host owns.
	Homes    map[string]int
	Counters map[string]uint64
}

// Names of the counters that hslab reads to measure the control overhead. Both
// count bytes of heartbeats.
const (
	CounterControlBytesSent     = "control_sent"
	CounterControlBytesReceived = "control_received"
)

const statusTimeout = time.Second

func (e *EntryHost) runAdmin(ctx context.Context) error {
	if e.sockets.admin == nil {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", e.serveStatus)
	mux.HandleFunc("GET /debug/vars", e.serveVars)
	mux.HandleFunc("GET /ready", e.serveReady)
	return hshttp.Serve(ctx, e.sockets.admin, mux)
}

// Status combines the status of the switch and control tasks. It returns false
// if they do not answer within statusTimeout, for example because the process
// is paused or stopping.
func (e *EntryHost) Status(ctx context.Context) (Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	fromSwitch := make(chan SwitchStatus, 1)
	sw, ok := hstask.Call(ctx, e.toSwitch, switchMessage{status: fromSwitch}, fromSwitch)
	if !ok {
		return Status{}, false
	}
	fromControl := make(chan ControlStatus, 1)
	ctl, ok := hstask.Call(ctx, e.toControl, controlMessage{kind: statusMessage, status: fromControl}, fromControl)
	if !ok {
		return Status{}, false
	}
	return e.mergeStatus(&sw, &ctl), true
}

func (e *EntryHost) mergeStatus(sw *SwitchStatus, ctl *ControlStatus) Status {
	st := Status{
		Name:     e.cfg.Settings.Name,
		Zone:     e.cfg.Settings.Zone,
		Boot:     e.cfg.Boot,
		Version:  ctl.Version,
		Digest:   fmt.Sprintf("%016x", ctl.Digest),
		Since:    ctl.AppliedAt,
		Reader:   ctl.PlatformReader,
		Paused:   sw.Paused,
		Flows:    sw.Flows,
		Members:  ctl.Members,
		Homes:    map[string]int{},
		Counters: counters(sw, ctl),
	}
	if ctl.View == nil {
		return st
	}
	for _, l := range sw.Loads {
		if n, ok := ctl.View.TargetByID(l.Target); ok {
			st.Homes[ctl.View.Manifest.Targets[n].Name] = l.Flows
		}
	}
	return st
}

func counters(sw *SwitchStatus, ctl *ControlStatus) map[string]uint64 {
	s := &sw.Stats
	out := map[string]uint64{
		"flow_opened":               s.Opened,
		"flow_diverted":             s.Diverted,
		"flow_recovered":            s.Recovered,
		"flow_silent":               s.Unresponsive,
		"flow_reset":                s.ResetsSent,
		"packet_forwarded":          s.Forwarded,
		"packet_delivered":          s.Delivered,
		"packet_replied":            s.Replies,
		"ask_sent":                  s.Queries,
		"ask_claimed":               s.HitsSent,
		"trial_started":             s.Trials,
		"handover_out":              s.HandoverSent,
		"handover_in":               s.HandoverReceived,
		CounterControlBytesSent:     ctl.BytesSent,
		CounterControlBytesReceived: ctl.BytesReceived,
	}
	for _, counts := range []map[hscode.Code]uint64{sw.CodeCounts, ctl.CodeCounts} {
		for code, n := range counts {
			out[fmt.Sprintf("code_%d", uint16(code))] += n
		}
	}
	return out
}

func (e *EntryHost) serveStatus(w http.ResponseWriter, r *http.Request) {
	st, ok := e.Status(r.Context())
	if !ok {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(st)
}

// serveReady answers 200 if the fabric may send packets to this host: it has a
// manifest, its view is confirmed, and no planned stop is in progress.
func (e *EntryHost) serveReady(w http.ResponseWriter, r *http.Request) {
	st, ok := e.Status(r.Context())
	leaving := st.Members[e.cfg.Settings.Name].Leaving
	if !ok || st.Version == 0 || st.Paused || leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// serveVars serves the counters in the JSON format of expvar, together with the
// variables that expvar itself publishes.
func (e *EntryHost) serveVars(w http.ResponseWriter, r *http.Request) {
	st, ok := e.Status(r.Context())
	if !ok {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	vars := new(expvar.Map).Init()
	for name, n := range st.Counters {
		v := new(expvar.Int)
		v.Set(int64(n))
		vars.Set(name, v)
	}
	flows := new(expvar.Int)
	flows.Set(int64(st.Flows))
	vars.Set("flow_held", flows)
	version := new(expvar.Int)
	version.Set(int64(st.Version))
	vars.Set("manifest_version", version)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"heatherstack\": %s", vars.String())
	expvar.Do(func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
	})
	_, _ = fmt.Fprintln(w, "}")
}
