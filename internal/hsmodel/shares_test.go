package hsmodel

import (
	"flag"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var manyHosts = flag.Bool("manyhosts", false, "compare shares of 300 hosts too")

func shareHosts() []int {
	if *manyHosts {
		return []int{82, 300}
	}
	return []int{82}
}

// TestSharePolicies guards against flows above the bound with the product's way
// to divide the rate of cold targets, whether or not the hosts agree. Run with -v, it writes the table of all policies.
func TestSharePolicies(t *testing.T) {
	var table strings.Builder
	WriteShareHeader(&table)
	for _, hosts := range shareHosts() {
		for _, rate := range []float64{1, 5} {
			for trouble := range Troubles {
				for i, p := range SharePolicies {
					const targets = 30
					cfg := ShareConfig{
						Seed: 1, Policy: p, Trouble: Trouble(trouble), Hosts: hosts, Targets: targets,
						Rate: rate, Demand: 10 * rate * targets, Duration: 15 * time.Second,
					}
					r := SimulateShares(cfg)
					WriteShareRow(&table, &cfg, &r)
					if i == len(SharePolicies)-1 {
						assert.Equal(t, r.Violations, 0, "%+v", r)
					}
				}
			}
		}
	}
	t.Log("\n" + table.String())
}
