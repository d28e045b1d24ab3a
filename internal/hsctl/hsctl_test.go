package hsctl

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestTrace checks how the logs of two hosts are merged: all lines, lines
// selected by flow, target, code or time, no matching line, and invalid
// filters.
func TestTrace(t *testing.T) {
	files := []string{"testdata/a.log", "testdata/b.log"}
	var all strings.Builder
	for _, flags := range [][]string{
		nil,
		{"--flow", "100.66.0.30:1144"},
		{"--target", "0xebaa0e2522"},
		{"--code", "4018", "--code", "4016", "--from", "2026-06-05T15:07:44.3Z"},
		{"--to", "2026-06-05T15:07:44.2Z", "--json"},
		{"--flow", "100.66.0.31"},
		{"--target", "x"},
		{"--from", "noon"},
	} {
		var out, errs bytes.Buffer
		code := Main(append(append([]string{"trace"}, flags...), files...), &out, &errs)
		fmt.Fprintf(&all, "trace %s: exit %d\n%s%s\n", strings.Join(flags, " "), code, out.String(), errs.String())
	}
	golden.Assert(t, all.String(), "trace.golden")
}

// TestUsage checks that an unknown command, a missing argument and an
// unreadable file make hsctl print a message and exit with code 2.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{"nothing"}, {"trace"}, {"zones"}, {"trace", "testdata/none.log"}, {"check", "testdata/none.json"}} {
		var out, errs bytes.Buffer
		assert.Equal(t, Main(args, &out, &errs), exitUsage, "%v", args)
		assert.Assert(t, errs.Len() > 0, "%v", args)
	}
}

// TestZones guards against an unreachable or broken host that hides the others or the exit code, and against sums or evacuations that are wrong, as a table and as JSON.
func TestZones(t *testing.T) {
	pages := map[string]string{
		"h1": `{"host":"h1","zones":[{"zone":"a","flows":4,"requests":1,"evacuation":{"since":"2026-06-05T15:07:45Z"}},{"zone":"b","flows":7,"requests":2}]}`,
		"h2": `{"host":"h2","zones":[{"zone":"a","flows":1,"requests":0,"evacuation":{"since":"2026-06-05T15:07:44Z"}},{"zone":"c","flows":0,"requests":0}]}`,
		"h3": `{"host":"h3","zones":[{"zone":"a","flows":2,"requests":1}]}`,
		"h4": `{`,
		"h5": "",
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{host}/status", func(w http.ResponseWriter, r *http.Request) {
		if page := pages[r.PathValue("host")]; page != "" {
			_, _ = w.Write([]byte(page))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var all strings.Builder
	for _, args := range [][]string{
		{"h3"}, {"h1", "h2"}, {"h1", "h2", "h3"}, {"h4", "h1", "h5"}, {"--json", "h1", "h5", "h3"}, {"--json", "h5"},
	} {
		full := []string{"zones"}
		for _, arg := range args {
			if !strings.HasPrefix(arg, "-") {
				arg = address + "/" + arg
			}
			full = append(full, arg)
		}
		var out, errs bytes.Buffer
		code := Main(full, &out, &errs)
		fmt.Fprintf(&all, "zones %s: exit %d\n%s%s\n", strings.Join(args, " "), code, out.String(), errs.String())
	}
	golden.Assert(t, strings.ReplaceAll(all.String(), address, "HOST:PORT"), "zones.golden")
	server.Close()
	var out, errs bytes.Buffer
	assert.Equal(t, Main([]string{"zones", address}, &out, &errs), exitErrors)
	assert.Assert(t, strings.Contains(errs.String(), address+" is unreachable"), "%s", errs.String())
}
