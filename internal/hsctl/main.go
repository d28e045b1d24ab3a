// Package hsctl implements the operators' command line. It only reads files,
// standard input and the status pages of entry hosts; no command changes
// anything.
package hsctl

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of hsctl.
const (
	exitOK = 0
	// exitErrors means that the manifest has errors, that no log line matched,
	// or that a host was unreachable.
	exitErrors = 1
	// exitUsage means invalid arguments or an input that cannot be read.
	exitUsage = 2
)

// Main runs the command hsctl and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("hsctl", "Checks manifests, merges the logs of entry hosts and shows the state of zones.")
	app.UsageWriter(stderr).ErrorWriter(stderr)
	check := app.Command("check", "Check a manifest and list all faults.")
	file := check.Arg("file", "Manifest; - reads standard input.").Required().String()
	asJSON := check.Flag("json", "Write one JSON object per fault.").Bool()
	trace, flags := traceCommand(app)
	zones, zonesFlags := zonesCommand(app)
	command, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "hsctl:", err)
		return exitUsage
	}
	switch command {
	case check.FullCommand():
		return runCheck(*file, *asJSON, stdout, stderr)
	case trace.FullCommand():
		return runTrace(flags, stdout, stderr)
	case zones.FullCommand():
		return runZones(zonesFlags, stdout, stderr)
	default:
		return exitUsage
	}
}

func zonesCommand(app *kingpin.Application) (*kingpin.CmdClause, *zonesFlags) {
	f := &zonesFlags{}
	c := app.Command("zones", "Show which zones are being evacuated, and what still runs in each zone.")
	c.Arg("hosts", "Addresses of hosts, HOST:PORT, that serve their metrics.").Required().StringsVar(&f.hosts)
	c.Flag("json", "Write one JSON object.").BoolVar(&f.asJSON)
	return c, f
}

func traceCommand(app *kingpin.Application) (*kingpin.CmdClause, *traceFlags) {
	f := &traceFlags{}
	c := app.Command("trace", "Merge the log lines of several hosts in the order of time.")
	c.Arg("files", "Log files; - reads standard input.").Required().StringsVar(&f.files)
	c.Flag("flow", "Only lines of flows whose name, CALLER>CALLED, starts with this text.").StringVar(&f.flow)
	c.Flag("target", "Only lines about the target with this ID.").StringVar(&f.target)
	c.Flag("code", "Only lines with this result code; repeat for several.").IntsVar(&f.codes)
	c.Flag("from", "Only lines from this time on, such as 2026-01-31T08:15:00Z.").StringVar(&f.from)
	c.Flag("to", "Only lines up to this time.").StringVar(&f.to)
	c.Flag("json", "Write the original JSON of each line.").BoolVar(&f.asJSON)
	return c, f
}
