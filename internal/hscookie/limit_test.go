package hscookie

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
)

// newLimitedCore returns a core with limits, for one of ten hosts before twenty
// targets in two zones; it started long ago.
func newLimitedCore(learn bool, targets int) *Core {
	c := New(Config{Placement: hsplace.Config{Zone: "a", Seed: 1}, MaxFlows: 10_000, MaxFlowLifetime: flowLifetime, StartTime: epoch.Add(-time.Hour), LimitRequests: learn})
	r := route(deskAddr, "desk")
	r.LatencyObjective = 500 * time.Millisecond
	c.SetHostCount(10)
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 1, Routes: []hsfeed.Route{r}})
	var list []hsfeed.TargetRecord
	for id := range targets {
		rec := target(hsfeed.TargetID(id+1), "desk")
		rec.Zone = string(rune('a' + id%2))
		list = append(list, rec)
	}
	c.SetTargets(epoch, list)
	return c
}

func callerAt(n int) netip.AddrPort { return netip.AddrPortFrom(caller.Addr(), uint16(1000+n)) }

// openMany opens n flows at the same time and returns the verdicts.
func openMany(c *Core, n int) []Verdict {
	out := make([]Verdict, 0, n)
	for i := range n {
		out = append(out, c.HandlePacket(epoch, openPacket(callerAt(i), deskAddr)))
	}
	return out
}

func count(list []Verdict, a Action) int {
	n := 0
	for i := range list {
		if list[i].Action == a {
			n++
		}
	}
	return n
}

// TestLimitHolds checks that flows beyond the limit of requests in progress are
// held, with the reason in the verdict, that what cannot be released in time is
// refused at once, and that a flow is released when another one's request ends.
func TestLimitHolds(t *testing.T) {
	c := newLimitedCore(true, 20)
	list := openMany(c, 40)
	placed := count(list, Forward)
	assert.Assert(t, placed >= 12 && placed < 25, "%d placed", placed)
	last := list[len(list)-1]
	assert.Equal(t, last.Action, Hold)
	assert.Equal(t, last.Limit.Service, "desk")
	assert.Equal(t, last.Limit.InProgress, placed)
	refused := 0
	for _, v, ok := c.Release(epoch); ok; _, v, ok = c.Release(epoch) {
		assert.Equal(t, v.Action, Refuse)
		assert.Equal(t, v.Code, hscode.FlowOverload)
		assert.Equal(t, v.Limit.InProgress, placed)
		refused++
	}
	assert.Assert(t, refused > 0 && c.HeldCount() > 0, "%d refused, %d held", refused, c.HeldCount())
	p := laterPacket(callerAt(0), deskAddr, list[0].Cookie)
	p.Flags |= FlagFin
	c.HandlePacket(epoch.Add(time.Millisecond), p)
	_, v, ok := c.Release(epoch.Add(time.Millisecond))
	assert.Assert(t, ok)
	assert.Equal(t, v.Action, Forward)
	assert.Assert(t, c.Stats.Limited > 0)
}

// TestLimitUnanswered checks that a flow whose opening packet is not answered
// takes no place: with the places taken, targets that do not respond made a host
// refuse flows that others could serve.
func TestLimitUnanswered(t *testing.T) {
	c := newLimitedCore(true, 20)
	openMany(c, 10)
	assert.Equal(t, c.AppendLimits(nil)[0].InProgress, 10)
	c.Tick(epoch.Add(2 * answerTimeout))
	assert.Equal(t, c.AppendLimits(nil)[0].InProgress, 0)
}

// TestLimitEnds checks that no request stays counted once its flow has ended in
// any of the possible ways, also if the targets change in between.
func TestLimitEnds(t *testing.T) {
	c := newLimitedCore(true, 20)
	list := openMany(c, 12)
	for i := range list {
		if list[i].Action != Forward || i%3 == 0 {
			continue
		}
		p := laterPacket(callerAt(i), deskAddr, list[i].Cookie)
		p.DataSize = 100
		c.HandlePacket(epoch.Add(time.Millisecond), p)
		if i%3 == 1 {
			p.Flags |= FlagReset
			c.HandlePacket(epoch.Add(2*time.Millisecond), p)
		}
	}
	c.SetTargets(epoch.Add(3*time.Millisecond), []hsfeed.TargetRecord{target(1, "desk")})
	// Idle flows are kept for idleTrackTime.
	for n := range 300 {
		c.Tick(epoch.Add(time.Duration(n) * 50 * time.Millisecond))
	}
	assert.Equal(t, c.AppendLimits(nil)[0].InProgress, 0)
	assert.Equal(t, c.FlowCount(), 0)
}

// TestWithoutLimits checks that without LimitRequests no flow is held as long as
// targets have room, whatever the number of hosts.
func TestWithoutLimits(t *testing.T) {
	c := newLimitedCore(false, 20)
	assert.Equal(t, count(openMany(c, 40), Forward), 40)
	assert.Equal(t, len(c.AppendLimits(nil)), 0)
}

// BenchmarkChoose measures the choice of a target without and with limits.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{30, 150, 600} {
		for _, learn := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/limits=%t", n, learn), func(b *testing.B) {
				c := newLimitedCore(learn, n)
				for range b.N {
					c.choose(epoch, "desk", math.Inf(1))
				}
			})
		}
	}
}
