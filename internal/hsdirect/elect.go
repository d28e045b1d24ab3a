package hsdirect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hsroster"
)

const (
	// silentAfter is the time without a message after which a peer in a small zone
	// no longer counts as a possible reader. In this time, peers of a small zone
	// receive several load reports from one another.
	silentAfter = 800 * time.Millisecond
	// silentTurns is the same limit for a large zone, in rounds of load reports:
	// one report may be lost.
	silentTurns = 2
	// behindTime is the maximum delay with which the store may deliver a change
	// that a peer already has: several times the duration of a slow response.
	behindTime = 300 * time.Millisecond
)

// elect decides whether this host reads the store. In each zone, the host with
// the lowest rank does, among those to which the store is available. A host in
// its planned stop leaves the role to any such peer.
func (c *Core) elect(now time.Time) {
	near := c.nearPeers()
	c.nearAlive = len(near)
	silent := silentTime(c.nearAlive)
	reader := true
	for _, p := range near {
		able := !p.Refused && now.Sub(p.Heard) < silent
		if able && (c.leaving || rank(p.Name) < rank(c.self)) {
			reader = false
			break
		}
	}
	if reader == c.reader {
		return
	}
	c.reader = reader
	c.out.Reader = true
	c.apply(now, c.roster.SetRefused(now, c.refused && reader))
}

// nearPeers returns the peers in this zone that are alive.
func (c *Core) nearPeers() []hsroster.Peer {
	return slices.DeleteFunc(c.roster.Peers(), func(p hsroster.Peer) bool {
		return !p.Alive || p.Zone != c.cfg.Zone
	})
}

// silentTime returns the time without a message after which one of n peers in
// the zone no longer counts as a possible reader.
func silentTime(n int) time.Duration {
	return max(silentAfter, silentTurns*turnTime(n))
}

// rank returns a host's rank in the election; the lowest in a zone reads the
// store.
func rank(name string) uint64 { return xxhash.Sum64String("reader " + name) }

// checkStore treats the connection to the store as dead if peers have received
// a change from the store and this host has not within behindTime. Another host
// of the zone then reads the store until the store responds to this host again.
func (c *Core) checkStore(now time.Time) {
	if !c.reader || c.refused || c.behind.IsZero() || now.Sub(c.behind) < behindTime {
		return
	}
	c.behind = time.Time{}
	c.out.Relist = true
	c.refused = true
	c.apply(now, c.roster.SetRefused(now, true))
}
