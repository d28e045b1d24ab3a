package hsmatrix

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	// recovery is the time within which a connection whose target lives has to
	// go on after a fault's end or detection.
	recovery = 2 * time.Second
	// afterFault is how long callers go on after the fault.
	afterFault = 4 * time.Second
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
	return uint64(i*len(Steps) + j + 1 + 1000*k)
}

func TestMatrix(t *testing.T) {
	verdicts := make([][]string, len(Faults))
	t.Run("cells", func(t *testing.T) {
		for i, f := range Faults {
			verdicts[i] = make([]string, len(Steps))
			for j, step := range Steps {
				t.Run(f.Name+"/"+step.Name, func(t *testing.T) {
					t.Parallel()
					for k := range *seeds {
						seed := cellSeed(i, j, k)
						v := runCell(seed, step, f)
						assert.Check(t, v == "ok", "seed %d: %s", seed, v)
						if k == 0 {
							verdicts[i][j] = v
						}
					}
				})
			}
		}
	})
	golden.Assert(t, table(verdicts), "matrix.golden")
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
