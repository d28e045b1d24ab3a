package hsdirect

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsschema"
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

// TestRelayAfterRestore guards against updates of a new era that are not relayed because their revisions are lower than those relayed before.
func TestRelayAfterRestore(t *testing.T) {
	c := relayCluster(t, 14)
	reader := c.reader("a")
	r := c.store.Revision()
	for _, u := range []hsfeed.Update{
		{Era: 2, Revision: 1, Events: []hsfeed.Event{{Revision: 1, Configuration: &hsfeed.Configuration{Version: 1}}}},
		{Era: 2, Since: 1, Revision: 2, Events: []hsfeed.Event{{Revision: 2, Configuration: &hsfeed.Configuration{Version: r + 1}}}},
	} {
		c.applyOutput(reader, reader.core.ApplyStoreUpdate(c.now, &u))
		for _, h := range c.hosts {
			assert.Equal(t, h.core.State().Position(), u.Position(), "host %s", h.addr)
		}
	}
}

// TestHeartbeatsAfterRestore guards against hosts that miss all updates of a new era and take the lower revisions in heartbeats for older ones.
func TestHeartbeatsAfterRestore(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "b")
	c.advanceWithLoads(3 * time.Second)
	for range 3 {
		c.publish()
	}
	c.advanceWithLoads(time.Second)
	reader := c.reader("a")
	for _, h := range c.hosts {
		h.storeUp = h == reader
	}
	u := hsfeed.Update{Era: 2, Revision: 1, Events: []hsfeed.Event{{Revision: 1, Configuration: &hsfeed.Configuration{Version: 99}}}}
	reader.core.ApplyStoreUpdate(c.now, &u)
	c.store = hsfeed.Replica{}
	c.store.Apply(c.now, &u)
	c.advanceWithLoads(2 * time.Second)
	for _, h := range c.hosts {
		assert.Equal(t, h.core.State().Configuration().Version, uint64(99), "host %s", h.addr)
		assert.Equal(t, h.core.State().Position(), u.Position(), "host %s", h.addr)
	}
}

// TestMergeWithStartedHost guards against a host that starts after a restore and keeps the configuration of the copy, which its peers know to be old.
func TestMergeWithStartedHost(t *testing.T) {
	c := newCluster(t, "a", "a", "b")
	c.advanceWithLoads(3 * time.Second)
	for range 3 {
		c.publish()
		c.advanceWithLoads(TickInterval)
	}
	last := c.store.Revision()
	copied := hsfeed.Update{Era: 2, Revision: 2, Events: []hsfeed.Event{{Revision: 2, Configuration: &hsfeed.Configuration{Version: 2}}}}
	c.store = hsfeed.Replica{}
	c.store.Apply(c.now, &copied)
	for _, h := range c.hosts {
		c.applyOutput(h, h.core.ApplyStoreUpdate(c.now, &copied))
	}
	late := c.hosts[2]
	c.messageLost = func(from, to netip.Addr) bool { return from == late.addr || to == late.addr }
	c.start(late)
	c.applyOutput(late, late.core.ApplyStoreUpdate(c.now, &copied))
	assert.Equal(t, late.core.State().Configuration().Version, uint64(2))
	c.messageLost = func(netip.Addr, netip.Addr) bool { return false }
	c.advanceWithLoads(time.Second)
	for _, h := range c.hosts {
		assert.Equal(t, h.core.State().Configuration().Version, last, "host %s", h.addr)
	}
}

// restoredStore is in era 1 for the first call of Watch and in era 2 from then on, or in a new era at each call if it flaps.
type restoredStore struct {
	flaps   bool
	lists   int
	watches int
}

// List implements Store.
func (s *restoredStore) List(context.Context) (hsfeed.Update, error) {
	s.lists++
	return hsfeed.Update{Era: uint64(s.lists), Revision: 5}, nil
}

// Watch implements Store.
func (s *restoredStore) Watch(_ context.Context, after hsfeed.Position, _ time.Duration) (hsfeed.Update, error) {
	s.watches++
	if s.flaps || after.Era == 1 {
		return hsfeed.Update{}, hscode.New(hscode.PlatformHistory, "test", "restored")
	}
	return hsfeed.Update{Era: after.Era, Since: after.Revision, Revision: after.Revision}, nil
}

// TestReaderListsOncePerRestore guards against a reader that keeps its place in the store across a restore, or lists the store again and again.
func TestReaderListsOncePerRestore(t *testing.T) {
	store := &restoredStore{}
	e := &EntryHost{cfg: Config{Store: store, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}, toControl: make(chan controlMessage, 1000)}
	r := &storeReader{e: e, backoff: minBackoff, storeAvailable: true}
	for range 6 {
		r.step(t.Context())
	}
	assert.Equal(t, store.lists, 2)
	assert.Equal(t, r.seen, hsfeed.Position{Era: 2, Revision: 5})

	store.flaps = true
	begin := time.Now()
	before := store.lists
	for range 8 {
		r.step(t.Context())
	}
	limit := 2 + int(time.Since(begin)/(minBackoff/2))
	assert.Assert(t, store.lists-before <= limit, "%d lists, expected at most %d", store.lists-before, limit)
}

// TestRelistByNewReader guards against a store that counts as unavailable for good
// although it answers: the control task asks a host for a list together with the
// reader role, and waits for the report that a call has succeeded.
func TestRelistByNewReader(t *testing.T) {
	available := make(chan struct{})
	close(available)
	store := &fakeStore{available: available, state: hsfeed.Update{Revision: 5}}
	for _, idle := range []bool{false, true} {
		e := &EntryHost{
			cfg:      Config{Store: store, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}},
			toReader: make(chan readerMessage), toControl: make(chan controlMessage, 1000),
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		var g errgroup.Group
		g.Go(func() error { return e.runReader(ctx) })
		if idle {
			e.toReader <- readerMessage{}
		}
		e.toReader <- readerMessage{read: true, relist: true}
		reported := false
		for !reported && ctx.Err() == nil {
			select {
			case m := <-e.toControl:
				reported = m.storeAvailableSet && m.storeAvailable
			case <-ctx.Done():
			}
		}
		cancel()
		assert.NilError(t, g.Wait())
		assert.Assert(t, reported, "idle before: %t", idle)
	}
}

// TestPeerWithoutEra guards against a host that ignores changes of peers of the previous version, which send no era, or fetches from them again and again.
func TestPeerWithoutEra(t *testing.T) {
	core := NewCore(CoreConfig{Self: netip.MustParseAddr("10.0.0.1"), Zone: "a", Boot: 1})
	list := hsfeed.Update{Era: 3, Revision: 10, Events: []hsfeed.Event{{Revision: 4, Configuration: &hsfeed.Configuration{Version: 4}}}}
	core.ApplyStoreUpdate(epoch, &list)
	peer := netip.MustParseAddr("10.0.0.2")
	hb := &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_UPDATE, From: peer.String(), Boot: 1, Zone: "a", Version: 11, Update: &hsschema.Update{
		Since: 10, Revision: 11, Events: []*hsschema.Event{{Revision: 11, Change: &hsschema.Event_Configuration{Configuration: &hsschema.Configuration{Version: 5}}}},
	}}
	out := core.Receive(epoch, hb, peer)
	assert.Equal(t, out.Configuration.Version, uint64(5))
	assert.Equal(t, core.State().Position(), hsfeed.Position{Era: 3, Revision: 11})
	for i := range 20 {
		now := epoch.Add(time.Duration(i+1) * time.Second)
		ping := &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_PING, From: peer.String(), Boot: 1, Zone: "a", Version: 11}
		assert.Equal(t, len(core.Receive(now, ping, peer).Fetches), 0)
	}
}
