package hsdirect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hsroster"
)

const (
	// minSilenceTimeout is the time without a message after which a peer in a
	// small zone no longer counts as a possible reader. In this time, peers of a
	// small zone receive several load reports from one another.
	minSilenceTimeout = 800 * time.Millisecond
	// silenceRounds is the same limit for a large zone, in rounds of load reports:
	// one report may be lost.
	silenceRounds = 2
	// storeLagMargin is the maximum delay with which a call to the store may
	// deliver a change that a peer already has: several times the duration of a
	// slow response.
	storeLagMargin = 300 * time.Millisecond
)

// elect decides whether this host reads the store. It does, unless a peer in
// its zone has a lower rank, the store is available to that peer, and the peer
// was heard from within silenceTimeout. During its planned stop, this host
// leaves the role to such a peer of any rank. A host that may be cut off reads the
// store in any case; see isolation.
func (c *Core) elect(now time.Time) {
	peers := c.aliveZonePeers()
	c.zonePeersAlive = len(peers)
	timeout := silenceTimeout(c.zonePeersAlive)
	isolated := c.isolated(now)
	reader := true
	for _, p := range peers {
		eligible := !p.StoreUnavailable && now.Sub(p.LastHeard) < timeout
		if eligible && !isolated && (c.leaving || electionRank(p.Name) < electionRank(c.self)) {
			reader = false
			break
		}
	}
	c.trackSource(now, peers, timeout, reader)
	if reader == c.reader {
		return
	}
	c.reader = reader
	c.storeBehindSince = time.Time{}
	c.out.ReaderChanged = true
	c.applyRosterOutput(c.roster.SetStoreUnavailable(now, c.storeUnavailable && reader))
}

// aliveZonePeers returns the peers in this zone that are alive.
func (c *Core) aliveZonePeers() []hsroster.Peer {
	return slices.DeleteFunc(c.alivePeers(), func(p hsroster.Peer) bool { return p.Zone != c.cfg.Zone })
}

// silenceTimeout returns the time without a message after which one of n peers
// in the zone no longer counts as a possible reader.
func silenceTimeout(n int) time.Duration {
	return max(minSilenceTimeout, silenceRounds*roundTime(n))
}

// electionRank returns a host's rank in the election: the host with the lowest
// rank in a zone reads the store.
func electionRank(name string) uint64 { return xxhash.Sum64String("reader " + name) }

// checkStoreLag treats the connection to the store as dead if the store does
// not deliver a change to this host within storeLagMargin after a peer did, and
// after the pause that the reader task makes between two calls. Another host of
// the zone then reads the store until the store responds to this host again.
func (c *Core) checkStoreLag(now time.Time) {
	if !c.reader || c.storeUnavailable || c.storeBehindSince.IsZero() || now.Sub(c.storeBehindSince) < c.cfg.WatchInterval+storeLagMargin {
		return
	}
	c.treatStoreAsUnavailable(now)
}

// treatStoreAsUnavailable lets the reader task abort the call in progress and list
// the store; the store counts as unavailable until that succeeds.
func (c *Core) treatStoreAsUnavailable(now time.Time) {
	c.storeBehindSince = time.Time{}
	c.out.Relist = true
	c.storeUnavailable = true
	c.applyRosterOutput(c.roster.SetStoreUnavailable(now, true))
}
