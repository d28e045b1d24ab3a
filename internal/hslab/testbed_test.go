package hslab

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	minAnswers  = 200
	testTimeout = time.Minute
)

// TestServeAllServices tests the whole path over real sockets: requests to all
// services are answered, each by the right service and only once. It waits for
// a number of answers rather than a fixed time, so that it passes on slow
// machines too.
func TestServeAllServices(t *testing.T) {
	deployment := &Deployment{Pools: DefaultPools(), Services: DefaultServices()}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	bed, err := NewTestbed(ctx, TestbedConfig{Deployment: deployment, Seed: 1, Subnet: ChooseSubnet(0), Scale: 0.1})
	assert.NilError(t, err)
	d := &demo{bed: bed, deployment: deployment, cfg: DemoConfig{Reporter: &JSONReporter{W: t.Output()}, Duration: time.Second}}
	assert.NilError(t, d.startBuildingA(bed.ctx))
	for {
		tallies, _ := bed.sendCommand(commandReport)
		minimum := minAnswers
		for i := range tallies {
			minimum = min(minimum, tallies[i].Answered)
		}
		if minimum > 0 && totalAnswered(tallies) >= minAnswers {
			break
		}
		assert.NilError(t, sleep(bed.ctx, tickInterval))
	}
	_, ranTwice, misrouted := bed.Ledger.Totals()
	assert.Equal(t, ranTwice, 0)
	assert.Equal(t, misrouted, 0)
	tallies, _ := bed.sendCommand(commandReport)
	for i := range tallies {
		assert.Equal(t, tallies[i].Mismatched, 0)
	}
	assert.NilError(t, bed.Close())
}

func totalAnswered(tallies []Tally) int {
	n := 0
	for i := range tallies {
		n += tallies[i].Answered
	}
	return n
}
