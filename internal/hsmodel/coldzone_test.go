package hsmodel

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowStartOnly is a rate that limits nothing; it makes the cost of cold targets
// fall over their warm-up time, as after an evacuation.
const slowStartOnly = 1e6

// checkZoneReturn checks that no window of two seconds has less than 0.99 of its
// requests answered within the objective when a zone returns cold under a burst.
func checkZoneReturn(t *testing.T, cfg Config) {
	t.Helper()
	r := Simulate(cfg)
	t.Logf("rate %g: %+v", cfg.Cold.Rate, r)
	assert.Assert(t, r.Worst >= 0.99, "%+v", r)
	assert.Equal(t, r.ColdViolations, 0, "%+v", r)
}

// TestZoneReturn guards against callers that are not served because hosts use the
// cold targets of a zone as soon as it returns.
func TestZoneReturn(t *testing.T) {
	for seed := range uint64(2) {
		for _, rate := range []float64{slowStartOnly, 5} {
			cfg := ZoneReturnConfig(seed+1, 2.2, rate)
			cfg.Hosts = []int{4, 4, 4}
			checkZoneReturn(t, cfg)
		}
	}
	cfg := ZoneReturnConfig(1, 2.2, slowStartOnly)
	cfg.MeanWorkTime = 12 * time.Millisecond
	checkZoneReturn(t, cfg)
}

// TestZoneReturnManyHosts guards against the same with 77 hosts, of which each
// sees a small part of the load, near the capacity of the two other zones.
func TestZoneReturnManyHosts(t *testing.T) {
	checkZoneReturn(t, ZoneReturnConfig(1, 2.2, slowStartOnly))
}

// TestAllCold guards against callers that wait until they give up, and against
// more flows than the bound, when all targets of a service are cold at once.
func TestAllCold(t *testing.T) {
	cfg := ZoneReturnConfig(1, 1, 1)
	cfg.Cold.Targets = 120
	cfg.Cold.ReturnAt = 0
	cfg.Cold.WarmUpTime = 2 * cfg.Duration
	cfg.Cold.Slowness = 1
	r := Simulate(cfg)
	t.Logf("%+v", r)
	assert.Equal(t, r.ColdViolations, 0, "%+v", r)
	assert.Equal(t, r.Failed, 0, "%+v", r)
}
