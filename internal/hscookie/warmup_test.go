package hscookie

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsbudget"
	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
)

// newColdCore returns the core of one of two hosts whose only target takes a flow
// a second.
func newColdCore(latencyObjective time.Duration) *Core {
	c := New(Config{Placement: hsplace.Config{Zone: "a", Seed: 1, Host: "h1"}, MaxFlows: 100, MaxFlowLifetime: flowLifetime, StartTime: epoch.Add(-time.Minute)})
	r := route(deskAddr, "desk")
	r.LatencyObjective = latencyObjective
	c.SetConfiguration(epoch, &hsfeed.Configuration{
		Version: 1, Routes: []hsfeed.Route{r}, Services: []hsfeed.Service{{Name: "desk", WarmUpTime: time.Minute, WarmUpRate: 1}},
	})
	cold := target(1, "desk")
	cold.WarmUpUntil = epoch.Add(time.Minute)
	c.SetTargets(epoch, []hsfeed.TargetRecord{cold})
	c.SetMembers(&hsbudget.View{Names: []string{"h1", "h2"}, Count: 2})
	return c
}

// TestLimitedFlowsAreRefusedAtOnce guards against callers that wait until they
// abandon the attempt because all targets are limited: each opening packet is
// placed or refused by the time at which it could still meet its objective, and
// the target gets no more than half of its rate from one of two hosts.
func TestLimitedFlowsAreRefusedAtOnce(t *testing.T) {
	const objective = time.Second
	c := newColdCore(objective)
	placed, refused, held := 0, 0, map[uint16]time.Time{}
	finish := func(now time.Time, p *Packet, v *Verdict) {
		if since, ok := held[p.From.Port()]; ok {
			assert.Assert(t, now.Sub(since) <= objective)
		}
		delete(held, p.From.Port())
		if v.Action == Refuse {
			assert.Equal(t, v.Code, hscode.FlowOverload)
			assert.Equal(t, v.Choice.Exclusion, hsplace.WarmUpLimit)
			refused++
			return
		}
		assert.Equal(t, v.Action, Forward)
		placed++
	}
	const seconds, interval = 40, 20 * time.Millisecond
	for i := range int(seconds * time.Second / interval) {
		now := epoch.Add(time.Duration(i) * interval)
		p := openPacket(callerWithPort(uint16(i+1)), deskAddr)
		if v := c.HandlePacket(now, p); v.Action == Hold {
			held[uint16(i+1)] = now
			assert.Assert(t, c.HeldCount() <= 2)
		} else {
			finish(now, p, &v)
		}
		c.Tick(now)
		for p, v, ok := c.Release(now); ok; p, v, ok = c.Release(now) {
			finish(now, &p, &v)
		}
		for _, since := range held {
			assert.Assert(t, now.Sub(since) <= objective)
		}
	}
	assert.Assert(t, placed >= seconds/4 && placed <= 3*seconds/4, "%d", placed)
	assert.Equal(t, c.Stats.WarmUpRefused, uint64(refused))
	assert.Equal(t, c.CodeCounts[hscode.FlowOverload], uint64(refused))
}

// TestRetransmissionOfLimitedFlow guards against a retransmission that is refused
// or uses the allowance: it goes to the target of its flow.
func TestRetransmissionOfLimitedFlow(t *testing.T) {
	c := newColdCore(time.Second)
	c.SetMembers(&hsbudget.View{Names: []string{"h1"}, Count: 1})
	p := openPacket(caller, deskAddr)
	assert.Equal(t, c.HandlePacket(epoch, p).Action, Forward)
	for i := range 2 {
		v := c.HandlePacket(epoch.Add(time.Duration(i+1)*200*time.Millisecond), p)
		assert.Equal(t, v.Action, Forward)
		assert.Assert(t, !v.Placed)
	}
	assert.Equal(t, c.HandlePacket(epoch.Add(time.Second), openPacket(callerWithPort(9), deskAddr)).Action, Forward)
}
