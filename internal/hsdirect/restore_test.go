package hsdirect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsfeed"
)

// TestRestoredStoreLosesNoConfiguration guards against ignoring a configuration that gets a revision which another one had before a restore.
func TestRestoredStoreLosesNoConfiguration(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "b", "c")
	c.advanceWithLoads(3 * time.Second)
	for range 4 {
		c.publish()
		c.advanceWithLoads(TickInterval)
	}
	last := c.store.Revision()
	for _, h := range c.hosts {
		assert.Equal(t, h.core.State().Configuration().Version, last)
	}
	for _, zone := range []string{"a", "b", "c"} {
		h := c.reader(zone)
		list := hsfeed.Update{Era: 2, Revision: last - 2, Events: []hsfeed.Event{{Revision: last - 2, Configuration: &hsfeed.Configuration{Version: last - 2}}}}
		c.applyOutput(h, h.core.ApplyStoreUpdate(c.now, &list))
		next := hsfeed.Update{Era: 2, Since: last - 2, Revision: last, Events: []hsfeed.Event{{Revision: last, Configuration: &hsfeed.Configuration{Version: last + 1}}}}
		c.applyOutput(h, h.core.ApplyStoreUpdate(c.now, &next))
	}
	for range 10 {
		for _, h := range c.hosts {
			c.applyOutput(h, h.core.Tick(c.now))
		}
		c.now = c.now.Add(TickInterval)
	}
	for _, h := range c.hosts {
		assert.Equal(t, h.core.State().Configuration().Version, last+1, "host %s", h.addr)
	}
}
