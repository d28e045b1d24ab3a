package hsctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsmanifest"
)

// errorLine is the JSON output for one error in the manifest.
type errorLine struct {
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
	m, errs := hsmanifest.Parse(data)
	for _, e := range errs {
		writeError(stdout, e, asJSON)
	}
	if errs != nil {
		return exitErrors
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

func writeError(w io.Writer, e *hscode.Error, asJSON bool) {
	entry := hscode.Lookup(e.Code)
	if asJSON {
		_ = json.NewEncoder(w).Encode(errorLine{uint16(e.Code), entry.Name, e.Path, e.Detail, entry.Hint})
		return
	}
	_, _ = fmt.Fprintf(w, "%s\n    %s\n", e.Error(), entry.Hint)
}
