package hscookie

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

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
		// True while the flow counts as load of its target.
		counted bool
		// Time of the flow's first packet here.
		since time.Time
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
	// quietTime is the time without packets after which a flow is forgotten. Its
	// packets may go through another host by then.
	quietTime = 2 * time.Second
	// sweepInterval is the time between two searches for quiet flows.
	sweepInterval = 50 * time.Millisecond
	// idleFactor is how many times the usual duration of a flow one may be
	// silent and still count as load: its caller says nothing while the request
	// waits and runs.
	idleFactor = 2
	// idleMin and idleMax bound the time that follows from it.
	idleMin = 150 * time.Millisecond
	idleMax = time.Second
	// durationWeight is the weight of one more flow in the usual duration.
	durationWeight = 1.0 / 64
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
	*f = flow{target: id, seen: now, since: now, opening: isOpening}
	c.count(f)
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
			record(c.Times.Answer, now.Sub(f.since))
		}
	}
	if f.closed {
		return
	}
	if f.target != d.id {
		c.uncount(f)
		f.target = d.id
	}
	if ends {
		f.closed = true
		c.uncount(f)
		c.learn(now.Sub(f.since))
		record(c.Times.Flow, now.Sub(f.since))
		return
	}
	c.count(f)
}

// record takes a duration; one beyond the histogram's range counts as longest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range, so that there is no error.
	_ = h.RecordValue(min(d.Microseconds(), longestTime.Microseconds()))
}

// learn takes the duration of a flow that ended.
func (c *Core) learn(d time.Duration) {
	c.duration += time.Duration(durationWeight * float64(d-c.duration))
}

// idle returns the time without packets after which a flow is not load any
// more.
func (c *Core) idle() time.Duration {
	return min(max(idleFactor*c.duration, idleMin), idleMax)
}

func (c *Core) count(f *flow) {
	if !f.counted {
		f.counted = true
		c.place.Open(f.target)
	}
}

func (c *Core) uncount(f *flow) {
	if f.counted {
		f.counted = false
		c.place.Close(f.target)
	}
}

func (c *Core) remove(key *hsflow.Key, hash uint64, f *flow) {
	c.uncount(f)
	c.flows.Remove(key, hash)
}

// stepOpening counts opening packets that were left without answer.
func (c *Core) stepOpening(now time.Time) {
	for o := c.opening.first(); o != nil && now.Sub(o.at) >= answerTime; o = c.opening.first() {
		f := c.flows.Get(&o.key, o.hash)
		if f != nil && f.opening {
			c.Ejections = append(c.Ejections, c.place.Unanswered(now, f.target)...)
		}
		c.opening.pop()
	}
}

// sweep forgets flows that are quiet, and no longer counts those that have been
// silent for longer than a request takes.
func (c *Core) sweep(now time.Time) {
	idle := c.idle()
	c.cursor = c.flows.Walk(c.cursor, sweepEntries, func(key *hsflow.Key, f *flow) {
		age := now.Sub(f.seen)
		if age >= idle {
			c.uncount(f)
		}
		if age < quietTime {
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
