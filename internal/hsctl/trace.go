package hsctl

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"heatherstack.org/heatherstack/internal/hscode"
)

type (
	// traceFlags select log lines. A flag with its zero value selects all
	// lines.
	traceFlags struct {
		files []string
		flow  string
		// Target ID: decimal, or hexadecimal with the prefix 0x.
		target string
		codes  []int
		from   string
		to     string
		asJSON bool
	}

	// filter is the parsed form of traceFlags.
	filter struct {
		flow   string
		target uint64
		codes  []int
		from   time.Time
		to     time.Time
	}

	// line is one log line of an entry host.
	line struct {
		Time    time.Time   `json:"time"`
		Host    string      `json:"host"`
		Code    hscode.Code `json:"code"`
		Flow    string      `json:"flow"`
		Target  uint64      `json:"target"`
		Message string      `json:"message"`
		// Original JSON of the line.
		raw string
	}
)

// maxLine is the maximum length of a log line in bytes; a longer one is an
// error.
const maxLine = 1 << 20

// fixedFields are the fields that the text form of a line does not list by
// name: time, host, code and message are always printed, level and boot never.
var fixedFields = []string{"time", "level", "host", "boot", "code", "message"}

// runTrace merges the log lines of several hosts in the order of time. Lines
// that are not JSON are counted and skipped.
func runTrace(f *traceFlags, stdout, stderr io.Writer) int {
	want, err := f.parse()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "hsctl:", err)
		return exitUsage
	}
	var lines []line
	invalid := 0
	for _, name := range f.files {
		got, skipped, err := readLog(name, want)
		if err != nil {
			_, _ = fmt.Fprintln(stderr, "hsctl:", err)
			return exitUsage
		}
		lines = append(lines, got...)
		invalid += skipped
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	for i := range lines {
		lines[i].write(stdout, f.asJSON)
	}
	if invalid > 0 {
		_, _ = fmt.Fprintf(stderr, "hsctl: %d lines are not log lines\n", invalid)
	}
	if len(lines) == 0 {
		return exitErrors
	}
	return exitOK
}

func (f *traceFlags) parse() (*filter, error) {
	out := &filter{flow: f.flow, codes: f.codes}
	var err error
	if f.target != "" {
		if out.target, err = strconv.ParseUint(f.target, 0, 64); err != nil {
			return nil, errors.Errorf("--target %q is not a number", f.target)
		}
	}
	if out.from, err = parseTime(f.from); err != nil {
		return nil, errors.Trace(err)
	}
	out.to, err = parseTime(f.to)
	return out, errors.Trace(err)
}

func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, errors.Errorf("%q is not a time such as 2026-01-31T08:15:00.25Z", text)
	}
	return t, nil
}

// readLog returns the selected lines of a file and the number of lines that are
// not log lines.
func readLog(name string, want *filter) (lines []line, invalid int, err error) {
	r := io.Reader(os.Stdin)
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, errors.Trace(err)
		}
		// The file was only read, so an error of Close does not matter.
		defer func() { _ = file.Close() }()
		r = file
	}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l, ok := parseLine(s.Text())
		switch {
		case !ok:
			invalid++
		case want.matches(&l):
			lines = append(lines, l)
		}
	}
	return lines, invalid, errors.Annotate(s.Err(), name)
}

// parseLine parses a log line. A prefix that a log collector added before the
// JSON is ignored.
func parseLine(text string) (line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return line{}, false
	}
	l := line{raw: text[at:]}
	if json.Unmarshal([]byte(l.raw), &l) != nil || l.Time.IsZero() {
		return line{}, false
	}
	return l, true
}

// matches reports whether the filter selects a line. The name of a flow is
// CALLER>CALLED, each with its port; the filter may be any prefix of it, such
// as the caller's address.
func (f *filter) matches(l *line) bool {
	switch {
	case f.flow != "" && !strings.HasPrefix(l.Flow, f.flow):
		return false
	case f.target != 0 && l.Target != f.target:
		return false
	case len(f.codes) > 0 && !slices.Contains(f.codes, int(l.Code)):
		return false
	case !f.from.IsZero() && l.Time.Before(f.from):
		return false
	default:
		return f.to.IsZero() || !l.Time.After(f.to)
	}
}

// write writes a line as text, with its other fields sorted by name, or as the
// original JSON.
func (l *line) write(w io.Writer, asJSON bool) {
	if asJSON {
		_, _ = fmt.Fprintln(w, l.raw)
		return
	}
	var fields map[string]json.RawMessage
	// parseLine has decoded the same JSON, so there is no error.
	_ = json.Unmarshal([]byte(l.raw), &fields)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-16s %s: %s", l.Time.UTC().Format("15:04:05.000"), l.Host, l.Code, l.Message)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(fixedFields, name) {
			fmt.Fprintf(&b, " %s=%s", name, strings.Trim(string(fields[name]), `"`))
		}
	}
	_, _ = fmt.Fprintln(w, b.String())
}
