// Package hsctl is the operators' command line. It reads; nothing is changed
// by it.
package hsctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsmanifest"
)

// faultLine is one fault in JSON output.
type faultLine struct {
	Code   uint16 `json:"code"`
	Name   string `json:"name"`
	Path   string `json:"path"`
	Detail string `json:"detail"`
	Hint   string `json:"hint"`
}

// Exit codes of hsctl.
const (
	exitOK     = 0
	exitFaults = 1
	exitUsage  = 2
)

// Main runs the command hsctl and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("hsctl", "Checks and explains manifests.")
	app.UsageWriter(stderr).ErrorWriter(stderr)
	check := app.Command("check", "Check a manifest and list all faults.")
	file := check.Arg("file", "Manifest; - reads standard input.").Required().String()
	asJSON := check.Flag("json", "Write one JSON object per fault.").Bool()
	command, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "hsctl:", err)
		return exitUsage
	}
	if command != check.FullCommand() {
		return exitUsage
	}
	return runCheck(*file, *asJSON, stdout, stderr)
}

func runCheck(file string, asJSON bool, stdout, stderr io.Writer) int {
	data, err := read(file)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "hsctl:", err)
		return exitUsage
	}
	m, faults := hsmanifest.Parse(data)
	for _, f := range faults {
		writeFault(stdout, f, asJSON)
	}
	if faults != nil {
		return exitFaults
	}
	if !asJSON {
		_, _ = fmt.Fprintf(stdout, "version %d: %d services, %d targets, %d entry hosts: no faults\n",
			m.Version, len(m.Services), len(m.Targets), len(m.Hosts))
	}
	return exitOK
}

func read(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func writeFault(w io.Writer, f *hscode.Error, asJSON bool) {
	entry := hscode.Lookup(f.Code)
	if asJSON {
		_ = json.NewEncoder(w).Encode(faultLine{uint16(f.Code), entry.Name, f.Path, f.Detail, entry.Hint})
		return
	}
	_, _ = fmt.Fprintf(w, "%s\n    %s\n", f.Error(), entry.Hint)
}
