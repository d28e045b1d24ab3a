package hscookie

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hslimit"
)

type (
	// flow is the state that a host keeps to track a flow. Times are relative
	// to the start of the host.
	flow struct {
		target    hsfeed.TargetID
		firstSeen time.Duration
		lastSeen  time.Duration
		// Start of the request in progress, or of the pause since the last one.
		since time.Duration
		// Start of a request that has taken too long to count as in progress and
		// whose answer may still come; 0 if there is none.
		overdueSince time.Duration
		// Sequence number of the opening packet; valid if opened.
		openSeq uint32
		// Highest acknowledgement number of the caller; valid if ackKnown.
		ack uint32
		// Sequence number after the caller's last data; valid if dataKnown.
		dataEnd uint32
		// Requests that are expected on the flow at any time, as counted at its
		// target. Zero unless the flow is idle.
		expected float32
		// Sequence number after the data that sends counts.
		sentEnd uint32
		// True if the opening packet passed this host.
		opened    bool
		ackKnown  bool
		dataKnown bool
		// True until the caller's first packet after the opening one.
		unanswered bool
		// True once the caller has closed the flow. From then on the flow does
		// not count as load of its target, even if further packets arrive.
		closed bool
		// True while a request of the flow is in progress and counts as load of
		// the target: from the opening packet or the request's data to the
		// first acknowledgement of the answer.
		busy bool
		// True if the data of the request in progress has passed this host.
		requestSeen bool
		// True if the flow is kept only in order to reset it; see Core.park.
		parked bool
		// Number of times that the caller sent the same data without progress, at
		// most minSilentSends. This and sentAt are only tracked with
		// Config.LearnCapacity.
		sends uint8
		// When the caller first sent that data, in units of sentUnit. The number
		// wraps after 11 minutes, so that a longer silence counts as a shorter one.
		sentAt uint16
		// True while the request in progress is the first one of the flow.
		opening bool
		// Limit that counts the request in progress; nil if there is none.
		pool *hslimit.Pool
	}

	// pauses measures how often callers send a further request on an idle flow
	// of a route.
	pauses struct {
		// Total duration of pauses, and number of them that a request ended.
		// Both are halved at maxPauses.
		duration time.Duration
		requests float64
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
	// requestFactor, times the average service time, is the time without
	// packets after which a request no longer counts as in progress: its answer
	// may be acknowledged through another host.
	requestFactor = 3
	// minRequestTimeout and maxRequestTimeout limit the resulting time.
	minRequestTimeout = 150 * time.Millisecond
	maxRequestTimeout = time.Second
	// serviceTimeWeight is the weight of a request in the moving average of the
	// service time.
	serviceTimeWeight = 1.0 / 64
	// maxPauses is the total duration of pauses of a route's flows that is
	// remembered, so that a change of the callers' behavior shows soon.
	maxPauses = 2 * time.Minute
	// maxSweepEntries is the maximum number of entries visited in one sweep, so
	// that a sweep takes well under a millisecond.
	maxSweepEntries = 4096
)

// addOpenedFlow starts to track the flow of an opening packet; see addFlow.
func (c *Core) addOpenedFlow(now time.Time, p *Packet, key *hsflow.Key, hash uint64, id hsfeed.TargetID) *flow {
	f := c.addFlow(now, key, hash, id)
	if f == nil {
		return nil
	}
	f.opened = true
	f.openSeq = p.Seq
	f.unanswered = true
	f.opening = true
	c.startRequest(f, f.firstSeen)
	c.unanswered.push(openingFlow{key: *key, hash: hash, openedAt: now})
	return f
}

// addFlow starts to track a flow. It returns nil if the maximum number of flows
// is tracked.
func (c *Core) addFlow(now time.Time, key *hsflow.Key, hash uint64, id hsfeed.TargetID) *flow {
	if old := c.flows.Get(key, hash); old != nil {
		c.removeFlow(key, hash, old)
	}
	if c.flows.Len() >= c.cfg.MaxFlows {
		return nil
	}
	at := c.uptime(now)
	f := c.flows.GetOrCreate(key, hash)
	*f = flow{target: id, lastSeen: at, firstSeen: at, since: at}
	return f
}

// uptime returns the time since the start of the host.
func (c *Core) uptime(now time.Time) time.Duration { return now.Sub(c.cfg.StartTime) }

// trackPacket updates the state of a flow of route r for a later packet, which
// is forwarded to d.
func (c *Core) trackPacket(now time.Time, p *Packet, r *knownRoute, d *destination, key *hsflow.Key, hash uint64) {
	f := c.tracked(key, hash)
	ends := p.HasAny(FlagFin | FlagReset)
	if f == nil {
		if ends {
			c.flows.Remove(key, hash)
			return
		}
		c.dropHeldOf(key)
		if f = c.addFlow(now, key, hash, d.id); f == nil {
			return
		}
		c.Stats.MidstreamFlows++
	}
	at := c.uptime(now)
	f.lastSeen = at
	answered := f.unanswered && f.target == d.id
	if f.unanswered {
		f.unanswered = false
		if f.target == d.id {
			c.placer.RecordAnswered(d.id)
			recordDuration(c.Durations.Answer, at-f.firstSeen)
		}
	}
	if f.closed {
		return
	}
	if c.cfg.LearnCapacity {
		c.trackProgress(now, p, f, d, answered)
	}
	if f.target != d.id {
		c.removeLoad(f)
		f.target = d.id
	}
	c.trackRequest(p, r, f, at)
	if ends {
		f.closed = true
		r.pauses.add(f.pause(at), false)
		c.removeLoad(f)
		recordDuration(c.Durations.Flow, at-f.firstSeen)
	}
}

// trackRequest updates the request in progress of a flow for a later packet. A
// request ends when the caller acknowledges the first data of the answer, and
// one begins with data that the caller has not sent before.
func (c *Core) trackRequest(p *Packet, r *knownRoute, f *flow, at time.Duration) {
	if p.HasAny(FlagAck) {
		if f.ackKnown && isAfter(p.Ack, f.ack) {
			c.endRequest(f, r, at)
		}
		if !f.ackKnown || isAfter(p.Ack, f.ack) {
			f.ack = p.Ack
			f.ackKnown = true
		}
	}
	end := p.Seq + uint32(p.DataSize)
	if p.DataSize == 0 || (f.dataKnown && !isAfter(end, f.dataEnd)) {
		return
	}
	if f.dataKnown && !f.busy {
		r.pauses.add(f.pause(at), true)
	}
	f.dataEnd = end
	f.dataKnown = true
	if !f.requestSeen || !f.busy {
		c.startRequest(f, at)
		f.requestSeen = true
	}
}

// isAfter reports whether sequence number a is after b.
func isAfter(a, b uint32) bool { return int32(a-b) > 0 }

// startRequest counts a request in progress: from the opening packet on, which
// a request follows, and again from the request's data.
func (c *Core) startRequest(f *flow, at time.Duration) {
	if !f.busy {
		c.removeLoad(f)
		f.busy = true
		c.placer.AddRequest(f.target)
		if d := c.targets.byID[f.target]; c.limits != nil && d != nil && d.pool != nil {
			f.pool = d.pool
			f.pool.Begin(f.opening)
		}
	}
	f.requestSeen = false
	f.overdueSince = 0
	f.since = at
}

// endRequest ends the request in progress, if there is one. The flow then
// counts for the requests that are to be expected on it.
func (c *Core) endRequest(f *flow, r *knownRoute, at time.Duration) {
	if f.overdueSince != 0 {
		c.placer.RecordService(c.cfg.StartTime.Add(at), f.target, at-f.overdueSince)
		f.overdueSince = 0
	}
	if !f.busy {
		return
	}
	if f.requestSeen {
		c.placer.RecordService(c.cfg.StartTime.Add(at), f.target, at-f.since)
		c.avgServiceTime += time.Duration(serviceTimeWeight * float64(at-f.since-c.avgServiceTime))
		recordDuration(c.Durations.Service, at-f.since)
		if f.pool != nil {
			f.pool.Record(c.cfg.StartTime.Add(at), at-f.since, &r.calm)
		}
	}
	c.removeLoad(f)
	f.since = at
	f.expected = float32(r.pauses.expectedRequests(c.avgServiceTime))
	c.placer.AddExpected(f.target, float64(f.expected))
}

// recordDuration adds a duration to a histogram. A duration beyond the
// histogram's range is recorded as the upper limit.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range, so RecordValue returns no error.
	_ = h.RecordValue(min(d.Microseconds(), maxRecordedDuration.Microseconds()))
}

// requestTimeout returns the time without packets after which a request no
// longer counts as in progress.
//
// With limits of requests in progress, it is the upper limit: requests that wait
// in the queues of targets must not be forgotten when most are in progress.
func (c *Core) requestTimeout() time.Duration {
	if c.limits != nil {
		return maxRequestTimeout
	}
	return min(max(requestFactor*c.avgServiceTime, minRequestTimeout), maxRequestTimeout)
}

// removeLoad removes the load of a flow from its target.
func (c *Core) removeLoad(f *flow) {
	if f.busy {
		f.busy = false
		c.placer.RemoveRequest(f.target)
		c.leavePool(f)
		f.opening = false
	}
	if f.expected != 0 {
		c.placer.AddExpected(f.target, -float64(f.expected))
		f.expected = 0
	}
}

// leavePool ends the flow's request in progress in its limit, if there is one.
func (c *Core) leavePool(f *flow) {
	if f.pool != nil {
		f.pool.End(f.opening)
		f.pool = nil
	}
}

func (c *Core) removeFlow(key *hsflow.Key, hash uint64, f *flow) {
	c.removeLoad(f)
	c.flows.Remove(key, hash)
}

// isRetransmission reports whether an opening packet repeats the one that opened
// the flow. Otherwise the caller uses the port again for a new flow: the end of
// the old one passed through another host. If the flow's opening packet passed
// through another host, only its retransmissions are taken for what they say
// they are.
func (f *flow) isRetransmission(p *Packet) bool {
	if f.closed {
		return false
	}
	if f.opened {
		return f.openSeq == p.Seq
	}
	return p.Retransmits > 0
}

// pause returns the time for which the flow has been idle, or 0 if a request is
// in progress.
func (f *flow) pause(at time.Duration) time.Duration {
	if f.busy || f.closed {
		return 0
	}
	return at - f.since
}

// add adds a pause of a flow; isEnded is true if a request ended it, and false
// if the flow did.
func (p *pauses) add(d time.Duration, isEnded bool) {
	p.duration += d
	if isEnded {
		p.requests++
	}
	if p.duration > maxPauses {
		p.duration /= 2
		p.requests /= 2
	}
}

// expectedRequests returns the number of requests in progress, between 0 and 1,
// that is to be expected on an idle flow: the rate at which requests end pauses
// times the service time of a request, as a share of both states.
func (p *pauses) expectedRequests(serviceTime time.Duration) float64 {
	if p.duration <= 0 {
		return 0
	}
	n := p.requests * float64(serviceTime) / float64(p.duration)
	return n / (1 + n)
}

// reportUnanswered reports opening packets that have not been answered in time
// to the placer, and adds the resulting ejections to Core.Ejections.
func (c *Core) reportUnanswered(now time.Time) {
	for o := c.unanswered.first(); o != nil && now.Sub(o.openedAt) >= answerTimeout; o = c.unanswered.first() {
		f := c.flows.Get(&o.key, o.hash)
		if f != nil && f.unanswered {
			// No request reached the target: it takes no place of the limit.
			c.leavePool(f)
			c.Ejections = append(c.Ejections, c.placer.RecordUnanswered(now, f.target)...)
		}
		c.unanswered.pop()
	}
}

// sweep stops tracking flows that had no packets for flowTimeout. A request
// without packets for the shorter requestTimeout no longer counts as in
// progress.
func (c *Core) sweep(now time.Time) {
	at := c.uptime(now)
	timeout := c.requestTimeout()
	c.sweepCursor = c.flows.Scan(c.sweepCursor, maxSweepEntries, func(key *hsflow.Key, f *flow) {
		age := at - f.lastSeen
		if age >= timeout && f.busy && age >= c.overdueAge(f.target, timeout) {
			c.recordOverdue(now, f, at)
			c.removeLoad(f)
			f.since = at
		}
		if age < flowTimeout || (f.parked && age < idleTrackTime) {
			return
		}
		if f.parked {
			c.removeFlow(key, key.Hash(), f)
			return
		}
		if !f.closed {
			c.Stats.Expired++
		}
		if r := c.routes.byAddress[key.Service()]; r != nil {
			r.pauses.add(f.pause(at), false)
		}
		if !c.park(f) {
			c.removeFlow(key, key.Hash(), f)
		}
	})
}

// overdueAge returns the time without packets after which a request to a target
// no longer counts as in progress: the longer, the slower the target is.
func (c *Core) overdueAge(id hsfeed.TargetID, timeout time.Duration) time.Duration {
	return min(time.Duration(float64(timeout)*c.placer.PaceFactor(id)), max(timeout, flowTimeout))
}

// recordOverdue records the time for which a request has been in progress that
// no longer counts as such: a target that is stuck never ends its requests.
func (c *Core) recordOverdue(now time.Time, f *flow, at time.Duration) {
	if !c.cfg.LearnCapacity || !f.requestSeen || f.closed {
		return
	}
	c.placer.RecordService(now, f.target, at-f.since)
	f.overdueSince = f.since
}

func (q *openingQueue) push(o openingFlow) { q.items = append(q.items, o) }

// first returns the oldest flow, or nil.
func (q *openingQueue) first() *openingFlow {
	if q.head == len(q.items) {
		return nil
	}
	return &q.items[q.head]
}

// pop removes the oldest flow. It moves the others to the front once they are
// the smaller part of the memory in use.
func (q *openingQueue) pop() {
	q.head++
	if q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		q.items = q.items[:n]
		q.head = 0
	}
}
