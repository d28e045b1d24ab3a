package hslab

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	enough   = 200
	patience = time.Minute
)

// TestWorldServes tests the whole path over real sockets: requests to all
// services are answered, each by the right service and only once. It waits for a
// number of answers rather than a fixed time, so that it passes on slow machines
// too.
func TestWorldServes(t *testing.T) {
	estate := &Estate{Pools: Pools(), Services: Services()}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	w, err := NewWorld(ctx, WorldConfig{Estate: estate, Seed: 1, Net: NetByte(0), Scale: 0.1})
	assert.NilError(t, err)
	d := &demo{w: w, estate: estate, cfg: DemoConfig{Report: &JSONReporter{W: t.Output()}, Duration: time.Second}}
	assert.NilError(t, d.begin(w.ctx))
	for {
		tallies, _ := w.tell(orderReport)
		least := enough
		for i := range tallies {
			least = min(least, tallies[i].Answered)
		}
		if least > 0 && total(tallies) >= enough {
			break
		}
		assert.NilError(t, pause(w.ctx, labTick))
	}
	_, doubled, misrouted := w.Ledger.Totals()
	assert.Equal(t, doubled, 0)
	assert.Equal(t, misrouted, 0)
	tallies, _ := w.tell(orderReport)
	for i := range tallies {
		assert.Equal(t, tallies[i].Crossed, 0)
	}
	assert.NilError(t, w.Close())
}

func total(tallies []Tally) int {
	n := 0
	for i := range tallies {
		n += tallies[i].Answered
	}
	return n
}
