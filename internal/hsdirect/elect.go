package hsdirect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hsroster"
)

const (
	// silentAfter is the time without a message after which a member of a small
	// zone no longer keeps this host from reading the store. Its members hear
	// one another's loads several times in it.
	silentAfter = 800 * time.Millisecond
	// silentTurns is the same for a large zone, in turns of the reports: one
	// report may be lost.
	silentTurns = 2
	// behindTime is the time for which the store may tell this host of a change
	// later than others: several times what a slow answer takes.
	behindTime = 300 * time.Millisecond
)

// elect decides whether this host reads the store: the member of the zone with
// the lowest hash does, among those that the store answers.
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

// nearPeers returns the members of this zone that are alive.
func (c *Core) nearPeers() []hsroster.Peer {
	return slices.DeleteFunc(c.roster.Peers(), func(p hsroster.Peer) bool {
		return !p.Alive || p.Zone != c.cfg.Zone
	})
}

// silentTime returns the time without a message after which one of n members of
// the zone no longer keeps this host from reading the store.
func silentTime(n int) time.Duration {
	return max(silentAfter, silentTurns*turnTime(n))
}

// rank orders the members of a zone by how soon they read the store.
func rank(name string) uint64 { return xxhash.Sum64String("reader " + name) }

// checkStore takes the connection to the store for dead if others heard of a
// change there and this host did not. Another host of the zone reads until the
// store answers this one again.
func (c *Core) checkStore(now time.Time) {
	if !c.reader || c.refused || c.behind.IsZero() || now.Sub(c.behind) < behindTime {
		return
	}
	c.behind = time.Time{}
	c.out.Relist = true
	c.refused = true
	c.apply(now, c.roster.SetRefused(now, true))
}
