package hsmodel

import (
	"strconv"
	"time"

	"heatherstack.org/heatherstack/internal/hsbudget"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// ColdConfig describes targets that are missing at first and return cold, all
	// at once.
	ColdConfig struct {
		// Number of targets that return: the first ones; 0 for none.
		Targets  int
		ReturnAt time.Duration
		// Time for which a target is cold after its return, and factor by which
		// requests take longer on it in that time.
		WarmUpTime time.Duration
		Slowness   float64
		// Rate of the service; 0 if it has none.
		Rate float64
	}

	// cold is the state of a target that returns.
	cold struct {
		// True until the target returns.
		absent bool
		// End of its warm-up time; before 0 if it was never cold.
		until time.Duration
		// Times of the opening packets of the last second, and number of all in the
		// warm-up time.
		opened []time.Duration
		total  int
	}
)

// ZoneReturnConfig returns the configuration of a service with 120 targets and 77
// hosts in three zones, of which one returns cold after an evacuation, while the
// load is burst times the usual one.
func ZoneReturnConfig(seed uint64, burst, rate float64) Config {
	return Config{
		Seed: seed, Policy: ProductPolicy,
		Hosts: []int{26, 26, 25}, Targets: []int{40, 40, 40},
		Slots: 2, QueueLimit: 8, MeanWorkTime: 20 * time.Millisecond,
		Rate: 1800, Duration: 14 * time.Second, BurstFactor: burst, BurstDuration: 10 * time.Second,
		ReportInterval:   200 * time.Millisecond,
		LatencyObjective: 250 * time.Millisecond, Deadline: 2 * time.Second, Retries: 2,
		Cold: ColdConfig{Targets: 40, ReturnAt: 4 * time.Second, WarmUpTime: 5 * time.Second, Slowness: 4, Rate: rate},
	}
}

func (c *ColdConfig) services() []hsfeed.Service {
	if c.Targets == 0 {
		return nil
	}
	return []hsfeed.Service{{Name: "desk", WarmUpTime: c.WarmUpTime, WarmUpRate: c.Rate}}
}

func hostName(n int) string { return strconv.Itoa(n) }

// members returns the members of hosts that know each other.
func (sim *simulation) members() *hsbudget.View {
	v := &hsbudget.View{}
	for _, n := range sim.cfg.Hosts {
		v.Count += n
	}
	for i := range v.Count {
		v.Names = append(v.Names, hostName(i))
	}
	return v
}

// scheduleReturn schedules the return of the targets that are missing.
func (sim *simulation) scheduleReturn() {
	c := &sim.cfg.Cold
	if c.Targets == 0 {
		return
	}
	for _, t := range sim.targets[:c.Targets] {
		t.absent = true
	}
	for _, h := range sim.hosts {
		h.targetsChanged()
	}
	sim.schedule(c.ReturnAt, func() {
		for _, t := range sim.targets[:c.Targets] {
			t.absent = false
			t.until = sim.now + c.WarmUpTime
		}
		for _, h := range sim.hosts {
			h.targetsChanged()
		}
	})
}

// isCold reports whether the target is in its warm-up time.
func (t *target) isCold() bool { return t.sim.now < t.until }

// coldWorkTime returns the time that a request occupies a slot, given the time when
// the target is warm.
func (t *target) coldWorkTime(d time.Duration) time.Duration {
	if t.isCold() {
		return time.Duration(float64(d) * t.sim.cfg.Cold.Slowness)
	}
	return d
}

// countOpening counts an opening packet.
func (t *target) countOpening() {
	if !t.isCold() {
		return
	}
	t.total++
	t.opened = append(t.opened, t.sim.now)
	for t.opened[0] <= t.sim.now-time.Second {
		t.opened = t.opened[1:]
	}
	if rate := t.sim.cfg.Cold.Rate; rate > 0 && float64(len(t.opened)) > rate*shareOverage+shareSlack {
		t.sim.result.ColdViolations++
	}
}

// summarizeCold adds the flows on cold targets to the result.
func (sim *simulation) summarizeCold(r *Result) {
	c := &sim.cfg.Cold
	if c.Rate == 0 {
		return
	}
	for _, t := range sim.targets[:c.Targets] {
		r.ColdUsed += float64(t.total) / (c.Rate * c.WarmUpTime.Seconds() * float64(c.Targets))
	}
}
