package hscookie

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

// repeated returns the n-th retransmission of the opening packet of caller.
func repeated(n uint32) *Packet {
	p := openPacket(caller, deskAddr)
	p.Retransmits = n
	return p
}

func configuration(version uint64, routes ...hsfeed.Route) *hsfeed.Configuration {
	return &hsfeed.Configuration{Version: version, Routes: routes}
}

// TestRetransmissionAfterRouteChange guards against a retransmitted opening packet
// that opens a flow at a service which the route no longer leads to, because the
// first packet was sent there.
func TestRetransmissionAfterRouteChange(t *testing.T) {
	split := route(deskAddr, "vault")
	split.Shares = append(split.Shares, hsfeed.Share{Service: "desk", Weight: 1})
	for name, c := range map[string]struct {
		// Configurations that follow one another before the retransmissions.
		changes []hsfeed.Route
		// Target of the retransmissions; 0 if they are refused.
		want hsfeed.TargetID
	}{
		"other service":       {[]hsfeed.Route{route(deskAddr, "vault", "desk")}, 3},
		"first service again": {[]hsfeed.Route{route(deskAddr, "vault", "desk"), route(deskAddr, "desk", "vault")}, 1},
		"third service":       {[]hsfeed.Route{route(deskAddr, "vault", "desk"), route(deskAddr, "press", "desk", "vault")}, 4},
		"removed":             {[]hsfeed.Route{route(vaultAddr, "vault")}, 0},
		"added again":         {[]hsfeed.Route{route(vaultAddr, "vault"), route(deskAddr, "vault")}, 3},
		"share of a split":    {[]hsfeed.Route{split}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			core := newCore(target(1, "desk"), target(3, "vault"), target(4, "press"))
			other := newCore(target(1, "desk"), target(3, "vault"), target(4, "press"))
			assert.Equal(t, core.HandlePacket(epoch, repeated(0)).Target, hsfeed.TargetID(1))
			for i, r := range c.changes {
				core.SetConfiguration(epoch, configuration(uint64(2+i), r))
				other.SetConfiguration(epoch, configuration(uint64(2+i), r))
			}
			for n := range uint32(2) {
				v := core.HandlePacket(epoch.Add(transmitTimes[n+1]), repeated(n+1))
				assert.Equal(t, v.Target, c.want)
				assert.Equal(t, v.Action == Refuse, c.want == 0)
			}
			if c.want != 0 {
				assert.Equal(t, requests(core), 1, "the flow counts at one target only")
			}
			// A host that has not seen the first packet never chooses a service of an
			// earlier configuration.
			v := other.HandlePacket(epoch, repeated(1))
			d := other.targets.byID[v.Target]
			assert.Assert(t, (v.Action == Refuse) == (c.want == 0) && (d == nil || other.routes.byAddress[deskAddr].leadsTo(d.service)))
		})
	}
}

// TestRetransmissionOfOpenFlow guards against a delayed opening packet that opens an
// answered flow a second time after its route has changed or its zone is being
// evacuated, at the host of the first packet or at another one. The flow goes on.
func TestRetransmissionOfOpenFlow(t *testing.T) {
	elsewhere := target(3, "vault")
	elsewhere.Zone = "b"
	for name, change := range map[string]func(c *Core) hscode.Code{
		"route changed": func(c *Core) hscode.Code {
			c.SetConfiguration(epoch, configuration(2, route(deskAddr, "vault", "desk")))
			return hscode.FlowAlreadyOpen
		},
		"zone evacuated": func(c *Core) hscode.Code {
			c.SetEvacuations(epoch, []string{"a"})
			return hscode.FlowEvacuated
		},
	} {
		for _, first := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, first packet %t", name, first), func(t *testing.T) {
				c := newCore(target(1, "desk"), elsewhere)
				if first {
					c.HandlePacket(epoch, repeated(0))
				}
				cookie := NewCookie("desk", 1)
				c.HandlePacket(epoch, laterPacket(caller, deskAddr, cookie))
				want := change(c)
				v := c.HandlePacket(epoch.Add(transmitTimes[1]), repeated(1))
				assert.Equal(t, v.Action, Drop)
				assert.Equal(t, v.Code, want)
				assert.Equal(t, c.HandlePacket(epoch.Add(time.Second), laterPacket(caller, deskAddr, cookie)).Target, hsfeed.TargetID(1))
			})
		}
	}
}

// TestHeldPacketOfOpenFlow guards against a held opening packet that opens a flow at a
// second target, after later packets of the flow have shown that it is open.
func TestHeldPacketOfOpenFlow(t *testing.T) {
	c := fullCore(t)
	assert.Equal(t, c.HandlePacket(epoch, repeated(0)).Action, Hold)
	assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(9), deskAddr)).Action, Hold)
	now := epoch.Add(transmitTimes[1])
	// A copy that went through another host was answered.
	c.HandlePacket(now, laterPacket(caller, deskAddr, NewCookie("desk", 1)))
	c.SetTargets(now, []hsfeed.TargetRecord{target(1, "desk"), target(2, "desk")})
	p, v, ok := c.Release(now)
	assert.Assert(t, ok)
	assert.Equal(t, p.From, callerWithPort(9), "packets of other flows are released")
	assert.Equal(t, v.Action, Forward)
	_, _, ok = c.Release(now)
	assert.Assert(t, !ok)
	assert.Equal(t, c.CodeCounts[hscode.FlowAlreadyOpen], uint64(1))
}

// TestHeldRetransmissionAfterRouteChange guards against a retransmitted opening packet
// that is held for the new service, and goes to the previous one when it is sent
// again or released.
func TestHeldRetransmissionAfterRouteChange(t *testing.T) {
	c := newCore(target(1, "desk"), target(3, "vault"))
	c.cfg.StartTime = epoch.Add(-time.Minute)
	changed := route(deskAddr, "vault", "desk")
	changed.LatencyObjective = 250 * time.Millisecond
	assert.Equal(t, c.HandlePacket(epoch, repeated(0)).Target, hsfeed.TargetID(1))
	c.SetConfiguration(epoch, configuration(2, changed))
	for port := uint16(1); port <= 8; port++ {
		assert.Equal(t, c.HandlePacket(epoch.Add(transmitTimes[1]), openPacket(callerWithPort(port), deskAddr)).Target, hsfeed.TargetID(3))
	}
	assert.Equal(t, c.HandlePacket(epoch.Add(transmitTimes[1]), repeated(1)).Action, Hold)
	now := epoch.Add(transmitTimes[2])
	assert.Equal(t, c.HandlePacket(now, repeated(2)).Action, Hold)
	c.SetTargets(now, []hsfeed.TargetRecord{target(1, "desk"), target(3, "vault"), target(5, "vault")})
	p, v, ok := c.Release(now)
	assert.Assert(t, ok)
	assert.Equal(t, p.From, caller)
	assert.Equal(t, v.Target, hsfeed.TargetID(5))
	_, _, ok = c.Release(now)
	assert.Assert(t, !ok)
}
