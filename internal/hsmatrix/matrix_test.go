package hsmatrix

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

const (
	// recovery is the time within which a connection whose target lives has to
	// go on after a fault's end or detection.
	recovery = 2 * time.Second
	// afterFault is how long callers go on after the fault.
	afterFault = 4 * time.Second
	// seedStride is the distance between the seeds of one cell.
	seedStride = 1000
)

// runCell runs one fault, or two at once, at one step.
func runCell(seed uint64, step Step, faults ...Fault) string {
	s := NewScene(seed)
	step.Reach(s)
	slowest := recovery
	var longest time.Duration
	for _, f := range faults {
		longest = max(longest, f.Down)
		f.Run(s)
	}
	s.N.Run(longest + afterFault)
	return s.Finish(slowest + longest)
}

// seeds is the number of seeds that each cell runs with.
var seeds = flag.Int("seeds", 1, "seeds per cell of the matrix")

// cellSeed returns the kth seed of a cell.
func cellSeed(i, j, k int) uint64 {
	return uint64(i*len(Steps) + j + 1 + seedStride*k)
}

func TestMatrix(t *testing.T) {
	verdicts := make([][]string, len(Faults))
	t.Run("cells", func(t *testing.T) {
		for i, f := range Faults {
			verdicts[i] = make([]string, len(Steps))
			for j, step := range Steps {
				t.Run(f.Name+"/"+step.Name, func(t *testing.T) {
					t.Parallel()
					verdicts[i][j] = runSeeds(t, cellSeed(i, j, 0), step, f)
				})
			}
		}
	})
	golden.Assert(t, table(verdicts), "matrix.golden")
}

// TestPairs runs each pair of faults at once, at a step that differs from pair
// to pair.
func TestPairs(t *testing.T) {
	n := len(Faults)
	verdicts := make([]string, n*n)
	t.Run("cells", func(t *testing.T) {
		for i := range n {
			for j := i + 1; j < n; j++ {
				step := Steps[(i+j)%len(Steps)]
				t.Run(Faults[i].Name+"+"+Faults[j].Name, func(t *testing.T) {
					t.Parallel()
					verdicts[i*n+j] = runSeeds(t, uint64(100_000+i*n+j), step, Faults[i], Faults[j])
				})
			}
		}
	})
	golden.Assert(t, pairTable(verdicts), "pairs.golden")
}

// TestSequences runs random sequences of faults at random moments. Whatever
// happens, nothing may reach the wrong service, run twice, be answered by
// another's answer, or run after it was refused; and planned changes alone may
// not break a connection.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewScene(rapid.Uint64Range(1, 1<<32).Draw(t, "seed"))
		planned := true
		for range rapid.IntRange(1, 3).Draw(t, "faults") {
			f := rapid.SampledFrom(Faults).Draw(t, "fault")
			planned = planned && f.Planned
			s.N.Run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond)
			f.Run(s)
		}
		s.N.Run(afterFault)
		v := s.Finish(endLimit)
		for _, never := range []string{"misrouted", "doubled", "crossed", "refused-but-run"} {
			assert.Check(t, !strings.Contains(v, never), v)
		}
		if planned {
			assert.Check(t, v == "ok", v)
		}
	})
}

// runSeeds runs a cell with all seeds and returns the verdict of the first.
func runSeeds(t *testing.T, first uint64, step Step, faults ...Fault) string {
	t.Helper()
	verdict := ""
	for k := range *seeds {
		seed := first + uint64(seedStride*k)
		v := runCell(seed, step, faults...)
		assert.Check(t, v == "ok", "seed %d: %s", seed, v)
		if k == 0 {
			verdict = v
		}
	}
	return verdict
}

func pairTable(verdicts []string) string {
	var b strings.Builder
	n := len(Faults)
	for i := range n {
		for j := i + 1; j < n; j++ {
			step := Steps[(i+j)%len(Steps)].Name
			fmt.Fprintf(&b, "%-30s  %-30s  %-12s  %s\n", Faults[i].Name, Faults[j].Name, step, verdicts[i*n+j])
		}
	}
	return b.String()
}

func table(verdicts [][]string) string {
	var b strings.Builder
	for i, f := range Faults {
		kind := "unplanned"
		if f.Planned {
			kind = "planned"
		}
		for j, step := range Steps {
			fmt.Fprintf(&b, "%-9s  %-30s  %-12s  %s\n", kind, f.Name, step.Name, verdicts[i][j])
		}
	}
	return b.String()
}
