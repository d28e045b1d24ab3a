// Package hsctl is the operators' command line. It reads; nothing is changed
// by it.
package hsctl

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of hsctl.
const (
	exitOK = 0
	// exitFaults means faults in what was checked, or nothing found.
	exitFaults = 1
	exitUsage  = 2
)

// Main runs the command hsctl and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("hsctl", "Checks manifests and explains what entry hosts did.")
	app.UsageWriter(stderr).ErrorWriter(stderr)
	check := app.Command("check", "Check a manifest and list all faults.")
	file := check.Arg("file", "Manifest; - reads standard input.").Required().String()
	asJSON := check.Flag("json", "Write one JSON object per fault.").Bool()
	trace, flags := traceCommand(app)
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
	default:
		return exitUsage
	}
}

func traceCommand(app *kingpin.Application) (*kingpin.CmdClause, *traceFlags) {
	f := &traceFlags{}
	c := app.Command("trace", "Join the log lines of several hosts into one timeline.")
	c.Arg("files", "Logs; - reads standard input.").Required().StringsVar(&f.files)
	c.Flag("flow", "Lines of flows whose name, CALLER>CALLED, begins so.").StringVar(&f.flow)
	c.Flag("target", "Lines about a target, by its number.").StringVar(&f.target)
	c.Flag("code", "Lines with a result code; repeat for several.").IntsVar(&f.codes)
	c.Flag("from", "Lines from this time on, such as 2026-01-31T08:15:00Z.").StringVar(&f.from)
	c.Flag("to", "Lines up to this time.").StringVar(&f.to)
	c.Flag("json", "Write the lines as they were.").BoolVar(&f.asJSON)
	return c, f
}
