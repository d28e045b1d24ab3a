package hsdirect

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutOff counts the hosts of a zone that take themselves for cut off.
func (c *cluster) cutOff(zone string) int {
	n := 0
	for _, h := range c.hosts {
		if h.zone == zone && h.core.isolation.cutOff {
			n++
		}
	}
	return n
}

// isolate cuts a zone off from the others, and from the store if store is true.
func (c *cluster) isolate(zone string, store bool) {
	c.messageLost = func(from, to netip.Addr) bool { return (c.host(from).zone == zone) != (c.host(to).zone == zone) }
	for _, h := range c.hosts {
		h.storeUp = h.zone != zone || !store
		// A call that waits for changes hangs until the host lists the store again.
		// Calls of hosts that begin to read it fail.
		h.detectsOutage = h.storeUp || !h.core.IsReader()
	}
}

// TestIsolatedEvacuatedZone guards against callers of a zone that is being
// evacuated who are not served while the zone is cut off from all others and
// from the store, and against flows there once a message from outside arrives.
func TestIsolatedEvacuatedZone(t *testing.T) {
	c := newCluster(t, "a", "a", "a", "b", "b", "c")
	c.evacuate("a", false)
	c.advanceWithLoads(3 * time.Second)
	assert.Equal(t, c.cutOff("a"), 0)
	c.isolate("a", true)
	c.advanceWithLoads(remoteSilence + storeCheckTime + 3*TickInterval)
	assert.Equal(t, c.cutOff("a"), 3)
	assert.Equal(t, c.cutOff("b")+c.cutOff("c"), 0)
	c.messageLost = func(netip.Addr, netip.Addr) bool { return false }
	c.advanceWithLoads(6 * TickInterval)
	assert.Equal(t, c.cutOff("a"), 0)
}

// TestEvacuationHoldsWhileStoreAnswers guards against new flows in a zone that is
// being evacuated while a host of the zone still reaches the store, or another
// zone: such a host has to apply the evacuation.
func TestEvacuationHoldsWhileStoreAnswers(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "c")
	c.evacuate("a", false)
	c.advanceWithLoads(3 * time.Second)
	c.isolate("a", false)
	for range 100 {
		c.advanceWithLoads(TickInterval)
		assert.Equal(t, c.cutOff("a"), 0)
	}
	c.messageLost = func(netip.Addr, netip.Addr) bool { return false }
	c.advanceWithLoads(2 * time.Second)
	c.isolate("b", true)
	c.hosts[0].storeUp, c.hosts[0].detectsOutage = false, true
	c.hosts[1].storeUp, c.hosts[1].detectsOutage = false, true
	for range 100 {
		c.advanceWithLoads(TickInterval)
		assert.Equal(t, c.cutOff("a")+c.cutOff("b"), 0)
	}
}
