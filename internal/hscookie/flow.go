package hscookie

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// flow is the state that a host keeps to track a flow.
	flow struct {
		target hsfeed.TargetID
		seen   time.Time
		// True until the caller's first packet after the opening one.
		opening bool
		// True once the caller has closed the flow. From then on the flow is not
		// load of its target, whatever packets of it still arrive.
		closed bool
		// True while the flow counts as load of its target.
		counted bool
		// Time of the flow's first packet at this host.
		since time.Time
	}

	// queue holds the flows whose opening packet may be unanswered, in the order
	// of the opening packets.
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
	// unanswered: many times the longest transit time to a target and back to
	// the caller, and a quarter of the caller's first retransmission interval.
	answerTime = 50 * time.Millisecond
	// quietTime is the time without packets after which a flow is no longer
	// tracked: its packets may pass through another host by then.
	quietTime = 2 * time.Second
	// sweepInterval is the time between two sweeps for idle flows.
	sweepInterval = 50 * time.Millisecond
	// idleFactor, times the average duration of flows, is the time without
	// packets for which a flow still counts as load: its caller sends nothing
	// while the request waits and runs.
	idleFactor = 2
	// idleMin and idleMax limit the resulting time.
	idleMin = 150 * time.Millisecond
	idleMax = time.Second
	// durationWeight is the weight of a closed flow in the moving average of the
	// duration of flows.
	durationWeight = 1.0 / 64
	// sweepEntries is the maximum number of entries visited in one sweep, so that
	// a sweep takes well under a millisecond.
	sweepEntries = 4096
)

// add starts to track a flow, unless the maximum number of flows is tracked.
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

// follow updates the state of a flow for a later packet, which is forwarded to d.
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

// record adds a duration to a histogram. A duration beyond the histogram's range
// is recorded as the upper limit.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range, so RecordValue returns no error.
	_ = h.RecordValue(min(d.Microseconds(), longestTime.Microseconds()))
}

// learn adds the duration of a closed flow to the moving average.
func (c *Core) learn(d time.Duration) {
	c.duration += time.Duration(durationWeight * float64(d-c.duration))
}

// idle returns the time without packets after which a flow no longer counts as
// load.
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

// stepOpening reports opening packets that have not been answered in time to the
// placer, and adds the resulting ejections to Core.Ejections.
func (c *Core) stepOpening(now time.Time) {
	for o := c.opening.first(); o != nil && now.Sub(o.at) >= answerTime; o = c.opening.first() {
		f := c.flows.Get(&o.key, o.hash)
		if f != nil && f.opening {
			c.Ejections = append(c.Ejections, c.place.Unanswered(now, f.target)...)
		}
		c.opening.pop()
	}
}

// sweep stops tracking flows without packets for quietTime. Flows without packets
// for longer than a request takes no longer count as load.
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

// pop removes the oldest flow. The memory is reused once the queue is empty.
func (q *queue) pop() {
	q.head++
	if q.head == len(q.items) {
		q.items = q.items[:0]
		q.head = 0
	}
}
