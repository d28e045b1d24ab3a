package hsmodel

import (
	"fmt"
	"io"
)

// WriteHeader writes the header of a table of results.
func WriteHeader(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-12s %6s %7s %7s %7s %8s %7s %6s %10s\n",
		"policy", "burst", "asked", "in aim", "late", "refused", "failed", "worst", "imbalance")
}

// WriteRow writes one result as a row of the table. Outcomes are shares of all
// requests.
func WriteRow(w io.Writer, burst float64, r *Result) {
	part := func(n int) float64 { return float64(n) / float64(max(r.Asked, 1)) }
	_, _ = fmt.Fprintf(w, "%-12s %6.1f %7d %7.3f %7.3f %8.3f %7.3f %6.3f %10.2f\n",
		r.Policy, burst, r.Asked, part(r.InAim), part(r.Late), part(r.Refused), part(r.Failed), r.Worst, r.Imbalance)
}
