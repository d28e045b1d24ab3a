package hsmodel

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// served returns the number of requests that were answered, late ones included.
func (c Cell) served() int { return c.InAim + c.Late }

// uneven gives three fifths of the callers to one zone, and every other host
// three times the callers of its neighbor.
func uneven(cfg Config) Config {
	cfg.Shortage.ZoneShares = []float64{0.6, 0.2, 0.2}
	cfg.Shortage.HostRatio = 3
	return cfg
}

// TestShortageBurst checks a burst of 14 times the load of one route: targets
// rejected tens of thousands of requests of all routes, since each host admitted
// what it saw. With limits, fewer than a tenth are rejected, no fewer requests
// are served, the other routes stay above 0.99, and so does every route from one
// second after the burst on.
func TestShortageBurst(t *testing.T) {
	before, limited := bothWays(ShortageConfig(1, true))
	assert.Assert(t, before.Rejections > 20_000, "%d", before.Rejections)
	assert.Assert(t, limited.Rejections*10 < before.Rejections, "%d, before %d", limited.Rejections, before.Rejections)
	b, l := before.Sum(-1, -1), limited.Sum(-1, -1)
	assert.Equal(t, l.Asked, l.InAim+l.Late+l.Refused+l.Rejected+l.Failed)
	assert.Assert(t, l.served() >= b.served(), "%+v, before %+v", l, b)
	for _, route := range []int{0, 2} {
		c := limited.Sum(InBurst, route)
		assert.Assert(t, share(c.served(), c.Asked) > 0.99, "route %d: %+v", route, c)
	}
	for route := range 3 {
		c := limited.Sum(After, route)
		assert.Assert(t, c.InTime() > 0.99, "route %d after the burst: %+v", route, c)
	}
}

// TestShortageBelowCapacity checks that limits refuse nothing that targets could
// take: at 0.5 and 0.9 times the capacity, the fraction answered in time is no
// lower by more than 0.002, also if some hosts have several times the callers of
// others.
func TestShortageBelowCapacity(t *testing.T) {
	for _, load := range []float64{0.5, 0.9} {
		for name, cfg := range map[string]Config{"even": SteadyConfig(1, true, load), "uneven": uneven(SteadyConfig(1, true, load)), "kept": keptFlows(SteadyConfig(1, true, load))} {
			t.Run(fmt.Sprint(name, load), func(t *testing.T) {
				t.Parallel()
				b, l := bothWays(cfg)
				before, limited := b.Sum(-1, -1), l.Sum(-1, -1)
				assert.Assert(t, limited.InTime() >= before.InTime()-0.002, "%+v, before %+v", limited, before)
			})
		}
	}
}

// keptFlows sends half of the requests on kept flows, which cannot be held.
func keptFlows(cfg Config) Config {
	for i := range cfg.Shortage.Routes {
		cfg.Shortage.Routes[i].KeptShare = 0.5
	}
	return cfg
}

// TestShortageOverload checks loads above the capacity: fewer than a tenth of
// the rejections, no fewer requests served, and the urgent route above 0.99
// while it needs at most half of the capacity.
func TestShortageOverload(t *testing.T) {
	for _, load := range []float64{1.2, 2, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			before, limited := bothWays(SteadyConfig(1, true, load))
			assert.Check(t, limited.Rejections*10 < before.Rejections, "%d, before %d", limited.Rejections, before.Rejections)
			b, l := before.Sum(-1, -1), limited.Sum(-1, -1)
			assert.Check(t, l.served() >= b.served(), "%+v, before %+v", l, b)
			if urgent := limited.Sum(InBurst, 0); load <= 2 {
				assert.Check(t, share(urgent.served(), urgent.Asked) > 0.99, "%+v", urgent)
			}
		})
	}
}

// TestShortageMinimumShare checks that a burst of the urgent route beyond the
// capacity leaves a tenth of it to the other routes: with strict priority, they
// got nothing.
func TestShortageMinimumShare(t *testing.T) {
	cfg := ShortageConfig(1, true)
	cfg.Shortage.Routes[0].BurstFactor = 40
	cfg.Shortage.Routes[1].BurstFactor = 1
	r := SimulateShortage(cfg)
	others := r.Sum(InBurst, 1)
	others.add(r.Sum(InBurst, 2))
	capacity := cfg.capacity() * cfg.BurstDuration.Seconds()
	assert.Assert(t, float64(others.served()) >= 0.1*capacity, "%+v of %.0f", others, capacity)
}

// TestShortageUneven checks that in an overload no zone of callers is worse off
// against the others than without limits, if one zone has three fifths of the
// callers.
func TestShortageUneven(t *testing.T) {
	before, limited := bothWays(uneven(SteadyConfig(1, true, 2)))
	assert.Assert(t, worstZone(&limited) >= worstZone(&before), "%.3f, before %.3f", worstZone(&limited), worstZone(&before))
	assert.Assert(t, limited.Rejections*10 < before.Rejections, "%d, before %d", limited.Rejections, before.Rejections)
}

// worstZone returns the fraction served in the burst for the callers of the
// worst zone, in proportion to that of the best one.
func worstZone(r *ShortageResult) float64 {
	lowest, highest := 1.0, 0.0
	for zone := range r.Cells[InBurst][0] {
		var sum Cell
		for route := range r.Cells[InBurst] {
			sum.add(r.Cells[InBurst][route][zone])
		}
		lowest = min(lowest, share(sum.served(), sum.Asked))
		highest = max(highest, share(sum.served(), sum.Asked))
	}
	return lowest / highest
}

// TestShortageFailures checks the burst of TestShortageBurst while hosts
// restart, with host counts that are unknown or wrong by a factor of two, and
// with targets that do not respond: as few rejections, no fewer requests served.
func TestShortageFailures(t *testing.T) {
	for name, change := range map[string]func(c *Config){
		"restarts":      func(c *Config) { c.Shortage.Restarts = 20 },
		"count unknown": func(c *Config) { c.Shortage.HostCount = 0 },
		"count halved":  func(c *Config) { c.Shortage.HostCount = 38 },
		"count doubled": func(c *Config) { c.Shortage.HostCount = 154 },
		"targets":       func(c *Config) { c.UnresponsiveTargets = 8 },
		"kept flows":    func(c *Config) { c.Shortage.Routes[1].KeptShare = 0.5 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := ShortageConfig(1, true)
			change(&cfg)
			before, limited := bothWays(cfg)
			assert.Check(t, limited.Rejections*10 < before.Rejections, "%d, before %d", limited.Rejections, before.Rejections)
			b, l := before.Sum(-1, -1), limited.Sum(-1, -1)
			assert.Check(t, l.served() >= b.served(), "%+v, before %+v", l, b)
			after := limited.Sum(After, -1)
			assert.Check(t, after.InTime() > 0.99, "after the burst: %+v", after)
		})
	}
}

// TestShortageSeed checks that the seed determines the result.
func TestShortageSeed(t *testing.T) {
	assert.DeepEqual(t, SimulateShortage(SteadyConfig(3, true, 2)), SimulateShortage(SteadyConfig(3, true, 2)))
}
