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
		target   hsfeed.TargetID
		lastSeen time.Time
		// True until the caller's first packet after the opening one.
		unanswered bool
		// True once the caller has closed the flow. From then on the flow does
		// not count as load of its target, even if further packets arrive.
		closed bool
		// True while the flow counts as load of its target.
		counted bool
		// Time of the flow's first packet at this host.
		firstSeen time.Time
	}

	// openingQueue holds the flows whose opening packet may be unanswered, in
	// the order of the opening packets.
	openingQueue struct {
		items []openingFlow
		head  int
	}

	openingFlow struct {
		key      hsflow.Key
		hash     uint64
		openedAt time.Time
	}
)

const (
	// answerTimeout is the time after which an opening packet counts as
	// unanswered: many times the longest transit time to a target and back to
	// the caller, and a quarter of the caller's first retransmission interval.
	answerTimeout = 50 * time.Millisecond
	// flowTimeout is the time without packets after which a flow is no longer
	// tracked: its packets may pass through another host by then.
	flowTimeout = 2 * time.Second
	// sweepInterval is the time between two sweeps for idle flows.
	sweepInterval = 50 * time.Millisecond
	// idleFactor, times the average duration of flows, is the time without
	// packets for which a flow still counts as load: its caller sends nothing
	// while the request waits and runs.
	idleFactor = 2
	// minIdleTimeout and maxIdleTimeout limit the resulting time.
	minIdleTimeout = 150 * time.Millisecond
	maxIdleTimeout = time.Second
	// durationWeight is the weight of a closed flow in the moving average of
	// the duration of flows.
	durationWeight = 1.0 / 64
	// maxSweepEntries is the maximum number of entries visited in one sweep, so
	// that a sweep takes well under a millisecond.
	maxSweepEntries = 4096
)

// addFlow starts to track a flow, unless the maximum number of flows is
// tracked.
func (c *Core) addFlow(now time.Time, key *hsflow.Key, hash uint64, id hsfeed.TargetID, isOpening bool) {
	if old := c.flows.Get(key, hash); old != nil {
		c.removeFlow(key, hash, old)
	}
	if c.flows.Len() >= c.cfg.MaxFlows {
		return
	}
	f := c.flows.GetOrCreate(key, hash)
	*f = flow{target: id, lastSeen: now, firstSeen: now, unanswered: isOpening}
	c.addLoad(f)
	if isOpening {
		c.unanswered.push(openingFlow{key: *key, hash: hash, openedAt: now})
	}
}

// trackPacket updates the state of a flow for a later packet, which is
// forwarded to d.
func (c *Core) trackPacket(now time.Time, p *Packet, d *destination, key *hsflow.Key, hash uint64) {
	f := c.flows.Get(key, hash)
	ends := p.HasAny(FlagFin | FlagReset)
	if f == nil {
		if ends {
			return
		}
		c.addFlow(now, key, hash, d.id, false)
		c.Stats.MidstreamFlows++
		return
	}
	f.lastSeen = now
	if f.unanswered {
		f.unanswered = false
		if f.target == d.id {
			c.placer.RecordAnswered(d.id)
			recordDuration(c.Durations.Answer, now.Sub(f.firstSeen))
		}
	}
	if f.closed {
		return
	}
	if f.target != d.id {
		c.removeLoad(f)
		f.target = d.id
	}
	if ends {
		f.closed = true
		c.removeLoad(f)
		c.updateAvgDuration(now.Sub(f.firstSeen))
		recordDuration(c.Durations.Flow, now.Sub(f.firstSeen))
		return
	}
	c.addLoad(f)
}

// recordDuration adds a duration to a histogram. A duration beyond the
// histogram's range is recorded as the upper limit.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range, so RecordValue returns no error.
	_ = h.RecordValue(min(d.Microseconds(), maxRecordedDuration.Microseconds()))
}

// updateAvgDuration adds the duration of a closed flow to the moving average.
func (c *Core) updateAvgDuration(d time.Duration) {
	c.avgDuration += time.Duration(durationWeight * float64(d-c.avgDuration))
}

// idleTimeout returns the time without packets after which a flow no longer
// counts as load.
func (c *Core) idleTimeout() time.Duration {
	return min(max(idleFactor*c.avgDuration, minIdleTimeout), maxIdleTimeout)
}

func (c *Core) addLoad(f *flow) {
	if !f.counted {
		f.counted = true
		c.placer.AddFlow(f.target)
	}
}

func (c *Core) removeLoad(f *flow) {
	if f.counted {
		f.counted = false
		c.placer.RemoveFlow(f.target)
	}
}

func (c *Core) removeFlow(key *hsflow.Key, hash uint64, f *flow) {
	c.removeLoad(f)
	c.flows.Remove(key, hash)
}

// reportUnanswered reports opening packets that have not been answered in time
// to the placer, and adds the resulting ejections to Core.Ejections.
func (c *Core) reportUnanswered(now time.Time) {
	for o := c.unanswered.first(); o != nil && now.Sub(o.openedAt) >= answerTimeout; o = c.unanswered.first() {
		f := c.flows.Get(&o.key, o.hash)
		if f != nil && f.unanswered {
			c.Ejections = append(c.Ejections, c.placer.RecordUnanswered(now, f.target)...)
		}
		c.unanswered.pop()
	}
}

// sweep stops tracking flows that had no packets for flowTimeout. Flows that
// had none for the shorter idleTimeout remain tracked but do not count as load.
func (c *Core) sweep(now time.Time) {
	idle := c.idleTimeout()
	c.sweepCursor = c.flows.Scan(c.sweepCursor, maxSweepEntries, func(key *hsflow.Key, f *flow) {
		age := now.Sub(f.lastSeen)
		if age >= idle {
			c.removeLoad(f)
		}
		if age < flowTimeout {
			return
		}
		if !f.closed {
			c.Stats.Expired++
		}
		c.removeFlow(key, key.Hash(), f)
	})
}

func (q *openingQueue) push(o openingFlow) { q.items = append(q.items, o) }

// first returns the oldest flow, or nil.
func (q *openingQueue) first() *openingFlow {
	if q.head == len(q.items) {
		return nil
	}
	return &q.items[q.head]
}

// pop removes the oldest flow. The memory is reused once the queue is empty.
func (q *openingQueue) pop() {
	q.head++
	if q.head == len(q.items) {
		q.items = q.items[:0]
		q.head = 0
	}
}
