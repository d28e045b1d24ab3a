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

// WriteShortage plays a configuration with a Shortage without and with limits of
// requests in progress, and writes a table of the outcomes of the requests sent
// in the burst, by route and zone. Outcomes are shares of the requests asked.
func WriteShortage(w io.Writer, name string, cfg Config) {
	before, limited := bothWays(cfg)
	_, _ = fmt.Fprintf(w, "%s: rejections by targets %d before, %d with limits; refusals by hosts %d and %d\n",
		name, before.Rejections, limited.Rejections, before.Refusals, limited.Refusals)
	_, _ = fmt.Fprintf(w, "%-10s %4s %-6s %7s %7s %7s %8s %8s %7s\n",
		"route", "zone", "limits", "asked", "in aim", "late", "refused", "rejected", "failed")
	for i, route := range cfg.Shortage.Routes {
		for zone := range cfg.Hosts {
			writeCell(w, route.Name, zone, "no", &before.Cells[InBurst][i][zone])
			writeCell(w, route.Name, zone, "yes", &limited.Cells[InBurst][i][zone])
		}
	}
}

func writeCell(w io.Writer, route string, zone int, limits string, c *Cell) {
	part := func(n int) float64 { return float64(n) / float64(max(c.Asked, 1)) }
	_, _ = fmt.Fprintf(w, "%-10s %4s %-6s %7d %7.3f %7.3f %8.3f %8.3f %7.3f\n",
		route, zoneName(zone), limits, c.Asked, part(c.InAim), part(c.Late), part(c.Refused), part(c.Rejected), part(c.Failed))
}

// bothWays runs a configuration without and with limits.
func bothWays(cfg Config) (before, limited ShortageResult) {
	run := func(learn bool) ShortageResult {
		s := *cfg.Shortage
		s.LimitRequests = learn
		own := cfg
		own.Shortage = &s
		return SimulateShortage(own)
	}
	return run(false), run(true)
}
