package hsctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsmanifest"
)

// faultLine is the JSON output for one fault.
type faultLine struct {
	Code   uint16 `json:"code"`
	Name   string `json:"name"`
	Path   string `json:"path"`
	Detail string `json:"detail"`
	Hint   string `json:"hint"`
}

func runCheck(file string, asJSON bool, stdout, stderr io.Writer) int {
	data, err := readInput(file)
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

func readInput(file string) ([]byte, error) {
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
