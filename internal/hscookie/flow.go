package hscookie

import (
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// flow is what a host holds of a flow in order to count it.
	flow struct {
		target hsfeed.TargetID
		seen   time.Time
		// True until the caller's first packet after the opening one.
		opening bool
		// True once the caller ended the flow. It is not counted any more, and
		// its late packets do not count it again.
		closed bool
	}

	// queue holds opening flows in the order of their opening.
	queue struct {
		items []opening
		head  int
	}

	opening struct {
		key  hsflow.Key
		hash uint64
		at   time.Time
	}
)

const (
	// answerTime is the time after which an opening packet counts as
	// unanswered: many times the longest way to a target and back to the
	// caller, and a quarter of the time after which the caller sends a copy.
	answerTime = 50 * time.Millisecond
	// quietTime is the time without packets after which a flow is not counted
	// any more. A caller sends again after 200 ms at most while it waits for
	// its request to be taken, but is silent while the request runs.
	quietTime = 2 * time.Second
	// sweepInterval is the time between two searches for quiet flows.
	sweepInterval = 250 * time.Millisecond
	// sweepEntries bounds the entries looked at in one search, so that it takes
	// well under a millisecond.
	sweepEntries = 4096
)

// add starts to count a flow.
func (c *Core) add(now time.Time, key *hsflow.Key, hash uint64, id hsfeed.TargetID, isOpening bool) {
	if old := c.flows.Get(key, hash); old != nil {
		c.remove(key, hash, old)
	}
	if c.flows.Len() >= c.cfg.MaxFlows {
		return
	}
	f := c.flows.Put(key, hash)
	*f = flow{target: id, seen: now, opening: isOpening}
	c.place.Open(id)
	if isOpening {
		c.opening.push(opening{key: *key, hash: hash, at: now})
	}
}

// follow notes a packet of an open flow.
func (c *Core) follow(now time.Time, p *Packet, d *destination, key *hsflow.Key, hash uint64) {
	f := c.flows.Get(key, hash)
	ends := p.Has(Fin | Reset)
	if f == nil {
		if ends {
			return
		}
		c.add(now, key, hash, d.id, false)
		c.Stats.Adopted++
		return
	}
	f.seen = now
	if f.opening {
		f.opening = false
		if f.target == d.id {
			c.place.Answered(d.id)
		}
	}
	if f.target != d.id && !f.closed {
		c.place.Close(f.target)
		c.place.Open(d.id)
		f.target = d.id
	}
	if ends && !f.closed {
		f.closed = true
		c.place.Close(f.target)
	}
}

func (c *Core) remove(key *hsflow.Key, hash uint64, f *flow) {
	if !f.closed {
		c.place.Close(f.target)
	}
	c.flows.Remove(key, hash)
}

// stepOpening counts opening packets that were left without answer.
func (c *Core) stepOpening(now time.Time) {
	for o := c.opening.first(); o != nil && now.Sub(o.at) >= answerTime; o = c.opening.first() {
		f := c.flows.Get(&o.key, o.hash)
		if f != nil && f.opening && c.place.Unanswered(now, f.target) {
			c.Stats.Ejected++
		}
		c.opening.pop()
	}
}

// sweep forgets flows that are quiet.
func (c *Core) sweep(now time.Time) {
	c.cursor = c.flows.Walk(c.cursor, sweepEntries, func(key *hsflow.Key, f *flow) {
		if now.Sub(f.seen) < quietTime {
			return
		}
		if !f.closed {
			c.Stats.Expired++
		}
		c.remove(key, key.Hash(), f)
	})
}
func (q *queue) push(o opening) { q.items = append(q.items, o) }

// first returns the oldest flow, or nil.
func (q *queue) first() *opening {
	if q.head == len(q.items) {
		return nil
	}
	return &q.items[q.head]
}

// pop removes the oldest flow. The memory is used again once all are gone.
func (q *queue) pop() {
	q.head++
	if q.head == len(q.items) {
		q.items = q.items[:0]
		q.head = 0
	}
}
