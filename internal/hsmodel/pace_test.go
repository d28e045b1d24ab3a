package hsmodel

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsplace"
)

// findPace returns the case of a name.
func findPace(t *testing.T, name string) PaceCase {
	t.Helper()
	for _, pc := range PaceCases {
		if pc.Name == name {
			return pc
		}
	}
	t.Fatalf("no case %s", name)
	return PaceCase{}
}

func inTime(r *PaceResult) float64 { return share(r.InAim, r.Asked) }

// TestPaceTable checks the goals of hard-load.md on the load model, once hosts can
// know which targets are slow: at least 0.99 of the requests in time where an
// omniscient dispatcher reaches 0.995; and at least ten times fewer rejections
// than before, where 100 or more were rejected and the dispatcher needs none.
func TestPaceTable(t *testing.T) {
	for _, hosts := range []int{6, 102} {
		for i := range PaceCases {
			pc := &PaceCases[i]
			loads := []float64{0.6, 0.9}
			if hosts == 6 {
				loads = append(loads, 0.2)
			}
			for _, load := range loads {
				t.Run(fmt.Sprintf("%s/%d/%g", pc.Name, hosts, load), func(t *testing.T) {
					t.Parallel()
					best := SimulatePace(pc.Config(1, hosts, load, "omniscient"))
					before := SimulatePace(pc.Config(1, hosts, load, "before"))
					r := SimulatePace(pc.Config(1, hosts, load, "pace"))
					if best.Settled >= 0.995 {
						assert.Check(t, r.Settled >= 0.99, "settled %.4f, before %.4f", r.Settled, before.Settled)
					}
					if pc.Pace.SlowShare > 0 && before.Rejected >= 100 && best.Rejected == 0 {
						assert.Check(t, 10*r.Rejected <= before.Rejected, "rejected %d, before %d", r.Rejected, before.Rejected)
					}
				})
			}
		}
	}
}

// TestPaceAlike checks that learning costs at most 0.002 of the requests in time
// where all targets are alike: chance must not look like a slow target.
func TestPaceAlike(t *testing.T) {
	alike := findPace(t, "alike")
	for _, hosts := range []int{6, 102} {
		for _, load := range []float64{0.2, 0.6, 0.9, 1.2} {
			t.Run(fmt.Sprintf("%d/%g", hosts, load), func(t *testing.T) {
				t.Parallel()
				before := SimulatePace(alike.Config(1, hosts, load, "before"))
				r := SimulatePace(alike.Config(1, hosts, load, "pace"))
				assert.Check(t, inTime(&r) >= inTime(&before)-0.002, "%.4f, before %.4f", inTime(&r), inTime(&before))
				if load < 1 {
					assert.Check(t, r.Deviation <= 0.25, "a target's share deviates by %.2f", r.Deviation)
				}
			})
		}
	}
}

// TestPaceStable checks that the share of a target varies by at most a quarter
// around its mean in steady load, with targets that differ: hosts that learn from
// one another must not all move at the same time.
func TestPaceStable(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"spread-4", "spread-8", "slow-30x6"} {
		pc := findPace(t, name)
		for _, hosts := range []int{6, 102} {
			for _, load := range []float64{0.6, 0.9} {
				r := SimulatePace(pc.Config(1, hosts, load, "pace"))
				assert.Check(t, r.Deviation <= 0.25, "%s, %d hosts, load %g: %.2f", name, hosts, load, r.Deviation)
			}
		}
	}
}

// TestPaceTimes checks that slow targets get less than half of their share within
// 1 s of enough evidence, which takes 0.25 s, and more than half within 2 s of
// their recovery, at 10 requests a second a target or a few more.
func TestPaceTimes(t *testing.T) {
	pc := findPace(t, "step-40x5")
	for _, hosts := range []int{6, 102, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			found, released := 0.0, 0.0
			seeds := 2.0
			if hosts > 200 {
				seeds = 1
			}
			for seed := range uint64(seeds) {
				cfg := pc.Config(seed+1, hosts, 0.5, "pace")
				r := SimulatePace(cfg)
				perSecond := int(time.Second / paceBin)
				at := func(d time.Duration) float64 {
					sum := 0.0
					for i := range perSecond / 2 {
						sum += r.SlowShares[int(d/paceBin)+i] / float64(perSecond/2)
					}
					return sum
				}
				found += at(cfg.Pace.Start+time.Second+250*time.Millisecond) / seeds
				released += at(cfg.Pace.End+2*time.Second) / seeds
			}
			assert.Check(t, found < 0.5, "share of the slow targets after 1.25 s: %.2f", found)
			assert.Check(t, released > 0.5, "share of the targets 2 s after their recovery: %.2f", released)
		})
	}
}

// TestPaceFaults checks that faults of a host or its messages do not make usual
// targets slow for others: absurd and repeated paces of one host, a host that
// starts again, and a slow link of one host. At least 0.99 of the requests stay
// in time, apart from those of the host itself.
func TestPaceFaults(t *testing.T) {
	t.Parallel()
	absurd := func([]hsplace.Pace) []hsplace.Pace {
		return []hsplace.Pace{{Target: 1, Time: time.Hour, Count: 9}, {Target: 2, Count: 9}, {Target: 3, Time: hsplace.MaxPace, Count: 1e9}}
	}
	var last []hsplace.Pace
	repeated := func(paces []hsplace.Pace) []hsplace.Pace {
		if len(last) == 0 {
			last = paces
		}
		return last
	}
	slow := findPace(t, "step-40x5").Pace
	for name, pc := range map[string]PaceConfig{
		"absurd":  {Falsify: absurd},
		"repeat":  {Falsify: repeated, SlowShare: slow.SlowShare, SlowFactor: slow.SlowFactor, Start: time.Second, End: 2 * time.Second},
		"restart": {Restart: 3 * time.Second, SlowShare: slow.SlowShare, SlowFactor: slow.SlowFactor, End: time.Hour},
		"link":    {SlowLink: 300 * time.Millisecond},
	} {
		for _, hosts := range []int{6, 102} {
			c := PaceCase{Name: name, Pace: pc}
			r := SimulatePace(c.Config(1, hosts, 0.4, "pace"))
			assert.Check(t, r.Settled >= 0.99, "%s, %d hosts: %.4f", name, hosts, r.Settled)
			if pc.SlowShare == 0 {
				before := SimulatePace(c.Config(1, hosts, 0.4, "before"))
				assert.Check(t, inTime(&r) >= inTime(&before)-0.002, "%s, %d hosts: %.4f, before %.4f", name, hosts, inTime(&r), inTime(&before))
			}
		}
	}
}
