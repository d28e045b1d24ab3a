package hsctl

import (
	"bytes"
	"fmt"
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
	for _, args := range [][]string{{"nothing"}, {"trace"}, {"trace", "testdata/none.log"}, {"check", "testdata/none.json"}} {
		var out, errs bytes.Buffer
		assert.Equal(t, Main(args, &out, &errs), exitUsage, "%v", args)
		assert.Assert(t, errs.Len() > 0, "%v", args)
	}
}
