package hsdirect

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsschema"
)

// storeHost is a core with at most one peer in its zone, which has a lower rank.
type storeHost struct {
	core *Core
	peer netip.Addr
	now  time.Time
	// Status that the data task was last given.
	status hscookie.StoreStatus
	sent   int
}

const detectionTime = 3 * time.Second

func newStoreHost() *storeHost {
	self, peer := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	if electionRank(self.String()) < electionRank(peer.String()) {
		self, peer = peer, self
	}
	return &storeHost{now: epoch, peer: peer, core: NewCore(CoreConfig{
		Self: self, Zone: "a", Boot: 1, StoreDetectionTime: detectionTime, LearnCapacity: true,
	})}
}

func (h *storeHost) apply(out Output) {
	if out.Store != nil {
		h.status = *out.Store
		h.sent++
	}
}

// run advances the time by d. At every tick, the host gets an answer from the
// store if watch is set, and a heartbeat if hb returns one.
func (h *storeHost) run(d time.Duration, watch bool, hb func() *hsschema.Heartbeat) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(TickInterval)
		h.apply(h.core.Tick(h.now))
		if watch {
			p := h.core.State().Position()
			h.apply(h.core.ApplyStoreUpdate(h.now, &hsfeed.Update{Era: p.Era, Since: p.Revision, Revision: p.Revision}))
		}
		if hb != nil {
			h.apply(h.core.Receive(h.now, hb(), h.peer))
		}
	}
}

func (h *storeHost) list(era, revision uint64) {
	h.apply(h.core.ApplyStoreUpdate(h.now, &hsfeed.Update{Era: era, Revision: revision, Events: []hsfeed.Event{{
		Revision: revision, Target: &hsfeed.Target{ID: 1, Service: "desk", Slots: 1},
	}}}))
}

// heartbeat returns a function that returns heartbeats of the peer.
func (h *storeHost) heartbeat(refused bool, revision uint64) func() *hsschema.Heartbeat {
	return func() *hsschema.Heartbeat {
		return &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_LOADS, From: h.peer.String(), Boot: 1, Zone: "a", Refused: refused, Era: 1, Version: revision}
	}
}

// known returns the duration of the interval in which the store is known to have
// been available.
func (h *storeHost) known() time.Duration {
	if h.status.AvailableSince.IsZero() {
		return -1
	}
	return h.status.AvailableUntil.Sub(h.status.AvailableSince)
}

// TestStoreStatusOfReader guards against an outage of the store, or a pause of
// the process, that the interval of a reader passes over.
func TestStoreStatusOfReader(t *testing.T) {
	h := newStoreHost()
	h.run(time.Second, false, nil)
	h.list(1, 5)
	assert.Equal(t, h.known(), time.Duration(-1), "a list may be of a stale page")
	assert.Equal(t, h.status.EraSince, h.now)
	h.run(4*time.Second, true, nil)
	assert.Assert(t, h.known() >= 3500*time.Millisecond, "%v", h.known())
	h.apply(h.core.SetStoreAvailable(h.now, false))
	assert.Equal(t, h.known(), time.Duration(-1))
	h.run(time.Second, false, nil)
	back := h.now
	h.apply(h.core.SetStoreAvailable(h.now, true))
	h.run(2*time.Second, true, nil)
	assert.Assert(t, h.status.AvailableSince.After(back))
	h.now = h.now.Add(10 * time.Second)
	resumed := h.now
	h.run(time.Second, true, nil)
	assert.Assert(t, !h.status.AvailableSince.Before(resumed), "the process was paused")
	h.list(2, 3)
	assert.Equal(t, h.status.Era, uint64(2))
	assert.Equal(t, h.status.EraSince, h.now)
}

// TestStoreStatusFromPeer guards against a host that takes the store for
// available while the reader of its zone has not noticed an outage yet, reports
// one, is silent, or has changes that this host lacks.
func TestStoreStatusFromPeer(t *testing.T) {
	h := newStoreHost()
	h.list(1, 5)
	h.run(6*time.Second, false, h.heartbeat(false, 5))
	assert.Assert(t, !h.core.IsReader())
	assert.Assert(t, !h.status.AvailableUntil.After(h.now.Add(-detectionTime)))
	assert.Assert(t, h.known() >= 2*time.Second && h.known() <= 3*time.Second, "%v", h.known())
	until := h.status.AvailableUntil
	h.run(2*time.Second, false, h.heartbeat(false, 6))
	assert.Equal(t, h.status.AvailableUntil, until, "the peer has a change that this host lacks")
	h.run(TickInterval, false, h.heartbeat(true, 5))
	assert.Equal(t, h.known(), time.Duration(-1), "the store is unavailable to the peer")
	h.run(time.Second, false, h.heartbeat(true, 5))
	assert.Assert(t, h.core.IsReader())
	h.run(6*time.Second, false, h.heartbeat(false, 5))
	assert.Assert(t, h.known() >= 0)
	h.run(2*time.Second, false, nil)
	assert.Assert(t, h.core.IsReader())
	assert.Equal(t, h.known(), time.Duration(-1), "the peer is silent")
}

// TestStoreStatusAfterPauseOfReader guards against a reader that was paused during
// an outage of the store, and then sends heartbeats as if nothing had happened.
func TestStoreStatusAfterPauseOfReader(t *testing.T) {
	for _, pause := range []time.Duration{detectionTime - 4*TickInterval, detectionTime + 4*TickInterval} {
		h := newStoreHost()
		h.list(1, 5)
		h.run(6*time.Second, false, h.heartbeat(false, 5))
		since := h.status.AvailableSince
		// Without ticks there is no election: in a large zone, silence does not yet
		// cost the peer its role.
		for range int(pause / TickInterval) {
			h.now = h.now.Add(TickInterval)
			h.core.checkCallGap(h.now)
		}
		h.apply(h.core.Receive(h.now, h.heartbeat(false, 5)(), h.peer))
		assert.Equal(t, h.status.AvailableSince.Equal(since), pause < detectionTime)
	}
}

// TestStoreStatusIsRare guards against a message to the data task for each
// heartbeat, and against any if the feature is not active.
func TestStoreStatusIsRare(t *testing.T) {
	h := newStoreHost()
	h.list(1, 5)
	h.sent = 0
	h.run(10*time.Second, true, nil)
	assert.Assert(t, h.sent > 15 && h.sent <= 25, "%d messages in 10 s", h.sent)
	h = newStoreHost()
	h.core.cfg.LearnCapacity = false
	h.list(1, 5)
	h.run(10*time.Second, true, nil)
	assert.Equal(t, h.sent, 0)
}
