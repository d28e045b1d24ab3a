package hscookie

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

func targetIn(zone string, id hsfeed.TargetID) hsfeed.TargetRecord {
	t := target(id, "desk")
	t.Zone = zone
	return t
}

// TestEvacuation guards against new flows in a zone that is being evacuated, and against open flows that do not go on there.
func TestEvacuation(t *testing.T) {
	c := newCore(targetIn("a", 1), targetIn("b", 2))
	open := c.HandlePacket(epoch, openPacket(caller, deskAddr))
	assert.Equal(t, open.Target, hsfeed.TargetID(1))
	c.SetEvacuations(epoch, []string{"a"})
	for port := range uint16(20) {
		assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(port), deskAddr)).Target, hsfeed.TargetID(2))
	}
	assert.Equal(t, c.HandlePacket(epoch, laterPacket(caller, deskAddr, open.Cookie)).Target, hsfeed.TargetID(1))
	assert.DeepEqual(t, c.ZoneLoads(), []ZoneLoad{{Zone: "a", Targets: 1, Flows: 1, Requests: 1}, {Zone: "b", Targets: 1, Flows: 20, Requests: 20}})
	c.SetEvacuations(epoch, []string{"a", "b"})
	v := c.HandlePacket(epoch, openPacket(callerWithPort(100), deskAddr))
	assert.Equal(t, v.Action, Refuse)
	assert.Equal(t, v.Code, hscode.FlowEvacuated)
	c.SetEvacuations(epoch, nil)
	assert.Equal(t, c.HandlePacket(epoch, openPacket(callerWithPort(101), deskAddr)).Action, Forward)
}

// TestEvacuationRetransmission guards against a retransmitted opening packet that arrives in a zone after its evacuation has begun, and against one that opens an answered flow at a second target.
func TestEvacuationRetransmission(t *testing.T) {
	again := func(seq uint32) *Packet {
		p := openPacket(caller, deskAddr)
		p.Seq, p.Retransmits = seq, 1
		return p
	}
	later := epoch.Add(200 * time.Millisecond)
	c := newCore(targetIn("a", 1), targetIn("b", 2))
	first := c.HandlePacket(epoch, openPacket(caller, deskAddr))
	assert.Equal(t, c.HandlePacket(later, again(0)).Target, first.Target)
	c.SetEvacuations(epoch, []string{"a"})
	v := c.HandlePacket(later, again(0))
	assert.Equal(t, v.Target, hsfeed.TargetID(2), "not answered yet")
	assert.Equal(t, c.ZoneLoads()[0].Requests, 0, "the flow has left target 1")
	c.SetEvacuations(epoch, []string{"b"})
	c.HandlePacket(later, laterPacket(caller, deskAddr, v.Cookie))
	v = c.HandlePacket(later, again(0))
	assert.Equal(t, v.Action, Drop, "answered")
	assert.Equal(t, v.Code, hscode.FlowEvacuated)
	assert.Equal(t, c.HandlePacket(later, again(7)).Target, hsfeed.TargetID(1), "a new flow from the same port")
	c.SetEvacuations(epoch, []string{"a", "b"})
	v = c.HandlePacket(later, again(7))
	assert.Equal(t, v.Action, Refuse)
	assert.Equal(t, c.FlowCount(), 0)
}

// TestEvacuationHeldPackets guards against held opening packets that are released to a zone that is being evacuated, and against holding them while no target can take them.
func TestEvacuationHeldPackets(t *testing.T) {
	for name, c := range map[string]struct {
		zones []string
		want  Action
		code  hscode.Code
	}{
		"placed elsewhere": {[]string{"a"}, Forward, hscode.OK},
		"refused at once":  {[]string{"a", "b"}, Refuse, hscode.FlowEvacuated},
	} {
		t.Run(name, func(t *testing.T) {
			core := fullCore(t)
			now := epoch.Add(time.Minute)
			assert.Equal(t, core.HandlePacket(now, openPacket(callerWithPort(9000), deskAddr)).Action, Hold)
			core.SetTargets(now, []hsfeed.TargetRecord{targetIn("a", 1), targetIn("b", 2)})
			core.SetEvacuations(now, c.zones)
			p, v, ok := core.Release(now)
			assert.Assert(t, ok)
			assert.Equal(t, p.From, callerWithPort(9000))
			assert.Equal(t, v.Action, c.want)
			assert.Equal(t, v.Code, c.code)
			if v.Action == Forward {
				assert.Equal(t, v.Target, hsfeed.TargetID(2))
			}
		})
	}
}
