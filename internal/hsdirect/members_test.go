package hsdirect

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsbudget"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsschema"
)

// TestMembersOutliveDeadPeers guards against a host that takes the share of peers
// that died or are cut off: it counts them for ten minutes, although the roster
// drops them after one, and it passes the members on only when they change.
func TestMembersOutliveDeadPeers(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "b", "c", "c")
	c.advanceWithLoads(20 * time.Second)
	h := c.hosts[0]
	v, changed := h.core.members.Update(c.now, nil)
	assert.Assert(t, !changed)
	assert.Equal(t, len(v.Names), 6)
	assert.Equal(t, v.Count, 6)
	for _, other := range c.hosts[1:] {
		other.running = false
	}
	c.advance(5 * time.Minute)
	assert.Equal(t, h.core.MemberCount(), 6)
	c.advance(6 * time.Minute)
	assert.Equal(t, h.core.MemberCount(), 1)
}

// TestMemberCountOfPeer guards against a host that does not use the count of a
// peer that has heard of more hosts, and against heartbeats without the count.
func TestMemberCountOfPeer(t *testing.T) {
	c := newCluster(t, "a", "a", "a")
	c.advanceWithLoads(20 * time.Second)
	var hb *hsschema.Heartbeat
	for range 20 {
		c.now = c.now.Add(TickInterval)
		for _, m := range c.hosts[0].core.Tick(c.now).Heartbeats {
			hb = m.Message
		}
	}
	assert.Equal(t, hb.GetHosts(), uint32(3))
	views := func(hosts uint32) []*hsbudget.View {
		hb.Hosts = hosts
		c.hosts[1].core.Receive(c.now, hb, c.hosts[0].addr)
		var out []*hsbudget.View
		for range 40 {
			c.now = c.now.Add(TickInterval)
			if v := c.hosts[1].core.Tick(c.now).Members; v != nil {
				out = append(out, v)
			}
		}
		return out
	}
	assert.Equal(t, len(views(2)), 0)
	grown := views(70)
	assert.Equal(t, len(grown), 2)
	assert.Equal(t, grown[1].Count, 70)
	assert.Equal(t, len(grown[1].Names), 3)
}

// TestBytesOfMemberCounts guards against more than 0.5 KB/s in addition for a host
// among 300: the count is the only addition to its heartbeats and load reports.
func TestBytesOfMemberCounts(t *testing.T) {
	const hosts, seconds = 300, 3
	c := &cluster{t: t, now: epoch, messageLost: func(netip.Addr, netip.Addr) bool { return false }}
	for i := range hosts {
		h := &clusterHost{addr: netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), zone: fmt.Sprint(i % 3), storeUp: true, detectsOutage: true}
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	c.publish()
	c.advance(5 * time.Second)
	added := 0
	for range seconds * int(time.Second/TickInterval) {
		c.now = c.now.Add(TickInterval)
		for i, h := range c.hosts {
			for _, out := range []Output{h.core.Tick(c.now), h.core.ReportLoads(c.now, &LocalReport{Loads: []hsplace.Load{{Target: 1, Requests: 2}}})} {
				if i == 5 {
					added += bytesOfCounts(out.Heartbeats)
				}
				c.applyOutput(h, out)
			}
		}
	}
	t.Logf("%d bytes a second", added/seconds)
	assert.Assert(t, added/seconds < 500, "%d bytes a second", added/seconds)
}

// bytesOfCounts returns the bytes that the member counts of heartbeats take.
func bytesOfCounts(list []Heartbeat) int {
	n := 0
	for _, m := range list {
		without := proto.CloneOf(m.Message)
		without.Hosts = 0
		n += proto.Size(m.Message) - proto.Size(without)
	}
	return n
}
