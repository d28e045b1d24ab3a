package hscookie

import (
	"bytes"
	"math"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsqueue"
)

// heldPacket is an opening packet that waits until a target can accept its
// flow.
type heldPacket struct {
	packet Packet
	key    hsflow.Key
	hash   uint64
	// Service that the current configuration selects for the flow.
	service string
}

const (
	// maxHeldPackets is the maximum number of held packets at any release rate,
	// and maxHeldPacketSize the maximum size of each in bytes; opening packets
	// usually carry no data. Together they limit the memory to 200 KB.
	maxHeldPackets    = 512
	maxHeldPacketSize = 256
	// maxOnTimeUtilization is the utilization up to which a target receives
	// flows that can still meet their latency objective. Above a utilization of
	// 1, flows queue at the target, which uses a freed slot at once, before any
	// host learns that it is free.
	maxOnTimeUtilization = 2.7
	// maxLateUtilization is the same limit for flows that can no longer meet
	// their objective. They use free slots only: in a target's queue, they
	// would delay flows that can still meet theirs. The load model (hslab
	// place) and simulated bursts show the effect.
	maxLateUtilization = 1.0
	// settleTime is the time after the start during which no packet is held.
	// While hosts restart, routers move flows between them, and every host that
	// forwarded a flow counts it, so that targets appear full when they are
	// not.
	settleTime = 3 * time.Second
	// processingFraction is the fraction of a latency objective that is
	// reserved for processing the request, and must remain when its flow is
	// placed.
	processingFraction = 0.4
	// rateInterval is the time over which the rate of placed flows is measured,
	// and rateWeight the weight of the latest measurement in the moving
	// average. Two measurements adapt the rate to a burst within the time that
	// a caller waits.
	rateInterval = 250 * time.Millisecond
	rateWeight   = 0.5
	// attemptTimeout is the time after which a caller abandons an unanswered
	// attempt, and attemptMargin the part of it that is reserved for forwarding
	// the packet to the target.
	attemptTimeout = 1400 * time.Millisecond
	attemptMargin  = 50 * time.Millisecond
)

// transmitTimes are the times at which a caller sends the opening packet and
// its retransmissions, relative to the first transmission.
var transmitTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// admit places a flow, or holds its opening packet if no target of its service
// can accept it.
func (c *Core) admit(now time.Time, r *knownRoute, h *heldPacket) Verdict {
	v := Verdict{Action: Hold, Code: hscode.FlowOverload}
	if c.held.Find(func(old *heldPacket) bool { return old.key == h.key }) != nil {
		return v
	}
	if c.limits != nil {
		c.limits.AddDemand(h.service)
	}
	it := newItem(now, r, h)
	if c.tryAtOnce(now, &it) {
		if v = c.placeItem(now, &it); v.Action != Hold {
			if c.limits != nil && v.Action == Forward {
				c.held.CountReleased(it.Route, it.Priority)
			}
			return v
		}
		if v.Choice.LimitedCount > 0 && v.Choice.Target == 0 {
			c.Stats.Limited++
		}
	}
	if c.limits != nil && !it.MeetsDeadline(now) {
		return Verdict{Action: Refuse, Code: hscode.FlowOverload, Choice: v.Choice}
	}
	if v.Choice.Exclusion == hsplace.WarmUpLimit && c.countHeld(h.service) >= c.placer.UpcomingFlows(now, it.Deadline, h.service) {
		return c.refuseLimited(v.Choice)
	}
	if len(h.packet.Raw) > maxHeldPacketSize {
		return Verdict{Action: Refuse, Code: hscode.FlowOverload, Choice: v.Choice}
	}
	it.Value.packet.Raw = bytes.Clone(h.packet.Raw)
	c.held.Push(it)
	c.Stats.Held++
	return v
}

// tryAtOnce reports whether a new flow may be placed before those that are held.
// With limits of requests in progress, the queue decides who is next whenever
// flows to the service are held.
func (c *Core) tryAtOnce(now time.Time, it *hsqueue.Item[heldPacket]) bool {
	if c.limits != nil {
		return c.held.CountHeld(it.Route.Service) == 0
	}
	return c.held.Len() == 0 || it.MeetsDeadline(now)
}

func newItem(now time.Time, r *knownRoute, h *heldPacket) hsqueue.Item[heldPacket] {
	firstSent := now.Add(-transmitTimes[min(int(h.packet.Retransmits), len(transmitTimes)-1)])
	maxWait := r.LatencyObjective - time.Duration(processingFraction*float64(r.LatencyObjective))
	return hsqueue.Item[heldPacket]{
		FirstSent: firstSent,
		Deadline:  firstSent.Add(maxWait),
		AbandonAt: firstSent.Add(attemptTimeout - attemptMargin),
		Priority:  r.Priority,
		Route:     hsqueue.Route{Service: h.service, Address: h.packet.To},
		Value:     *h,
	}
}

// maxUtilization returns the utilization up to which a target may receive an
// item's flow.
func (c *Core) maxUtilization(now time.Time, it *hsqueue.Item[heldPacket]) float64 {
	switch {
	case now.Sub(c.cfg.StartTime) < settleTime:
		return math.Inf(1)
	case it.MeetsDeadline(now):
		return maxOnTimeUtilization
	default:
		return maxLateUtilization
	}
}

// placeItem places the flow of an item. It returns Hold if all targets of the
// service are full.
func (c *Core) placeItem(now time.Time, it *hsqueue.Item[heldPacket]) Verdict {
	limit := c.maxUtilization(now, it)
	h := &it.Value
	ch, code := c.choose(now, h.service, limit)
	switch code {
	case hscode.OK:
	case hscode.FlowOverload:
		return Verdict{Action: Hold, Code: code, Choice: ch}
	default:
		return Verdict{Action: Refuse, Code: code, Choice: ch}
	}
	d := c.targets.byID[ch.Target]
	if c.addOpenedFlow(now, &h.packet, &h.key, h.hash, ch.Target) == nil {
		c.placer.DeferProbe(now, ch.Target)
	}
	c.Stats.Placed++
	return Verdict{Action: Forward, To: d.address, Target: ch.Target, Cookie: d.cookie, Placed: true, Choice: ch}
}

// choose chooses the target of a new flow among those in zones for which this
// host's requests in progress are below their limit.
func (c *Core) choose(now time.Time, service string, maxUtilization float64) (hsplace.Choice, hscode.Code) {
	if c.limits == nil {
		return c.placer.Choose(now, service, maxUtilization)
	}
	limit := c.limits.Service(service)
	allows := func(zone string) bool { return limit.Allows(now, zone) }
	ch, code := c.placer.ChooseWithin(now, service, maxUtilization, allows)
	if code == hscode.FlowOverload && maxUtilization > maxLateUtilization && ch.Target != 0 {
		return c.placer.ChooseWithin(now, service, math.Inf(1), allows)
	}
	return ch, code
}

// Release removes and returns the next held packet that can be forwarded or is
// refused, with its verdict, and false if there is none.
func (c *Core) Release(now time.Time) (Packet, Verdict, bool) {
	if it, ok := c.held.RemoveExcess(now); ok {
		v := c.withLimit(Verdict{Action: Refuse, Code: hscode.FlowOverload}, it.Value.service)
		return it.Value.packet, c.countVerdict(v), true
	}
	if c.held.Len() == 0 {
		return Packet{}, Verdict{}, false
	}
	full := map[string]bool{}
	for {
		it := c.held.Next(now, func(it *hsqueue.Item[heldPacket]) bool {
			return !full[it.Value.service] || (c.limits != nil && !it.MeetsDeadline(now))
		})
		if it == nil {
			return Packet{}, Verdict{}, false
		}
		v := c.decideHeld(now, it)
		if v.Action == Hold && c.limits != nil && !it.MeetsDeadline(now) {
			// The flow would only get a place after those that can still meet
			// their objective, while its caller waits.
			v.Action = Refuse
		}
		if v.Action == Hold {
			full[it.Value.service] = true
			if limited, ok := c.removeLimited(now, it, &v); ok {
				return limited.Value.packet, c.countVerdict(c.refuseLimited(v.Choice)), true
			}
			continue
		}
		p := it.Value.packet
		v = c.withLimit(v, it.Value.service)
		if c.limits != nil && v.Action == Forward {
			c.held.RemoveReleased(it)
		} else {
			c.held.Remove(it)
		}
		return p, c.countVerdict(v), true
	}
}

// refuseLimited returns the verdict on an opening packet whose service has only
// targets in warm-up that take no more flows from this host in time.
func (c *Core) refuseLimited(ch hsplace.Choice) Verdict {
	c.Stats.WarmUpRefused++
	return Verdict{Action: Refuse, Code: hscode.FlowOverload, Choice: ch}
}

// removeLimited removes a held packet of the service of it, the next item of that
// service, if the limits of the targets in warm-up, which led to the verdict v,
// leave fewer flows for this host than it holds. Later arrivals may have used
// what the packet waited for.
func (c *Core) removeLimited(now time.Time, it *hsqueue.Item[heldPacket], v *Verdict) (hsqueue.Item[heldPacket], bool) {
	service := it.Value.service
	if v.Choice.Exclusion != hsplace.WarmUpLimit || c.countHeld(service) <= c.placer.UpcomingFlows(now, it.Deadline, service) {
		return hsqueue.Item[heldPacket]{}, false
	}
	return c.held.RemoveLast(now, func(h *heldPacket) bool { return h.service == service })
}

// countHeld returns the number of held packets of a service.
func (c *Core) countHeld(service string) int {
	return c.held.Count(func(h *heldPacket) bool { return h.service == service })
}

// decideHeld decides how a held item is handled under the current
// configuration.
func (c *Core) decideHeld(now time.Time, it *hsqueue.Item[heldPacket]) Verdict {
	r := c.routes.byAddress[it.Value.packet.To]
	if r == nil || !r.keepUntil.IsZero() {
		return Verdict{Action: Refuse, Code: hscode.FlowNoService}
	}
	it.Value.service = r.serviceFor(it.Value.hash)
	return c.placeItem(now, it)
}

// measureRate measures the number of flows that this host places per second.
// While packets are held, this is the rate that the host's share of the targets
// can serve.
func (c *Core) measureRate(now time.Time) {
	elapsed := now.Sub(c.rateMeasuredAt)
	if elapsed < rateInterval {
		return
	}
	sample := float64(c.Stats.Placed-c.placedAtMeasurement) / elapsed.Seconds()
	c.rate += rateWeight * (sample - c.rate)
	c.rateMeasuredAt = now
	c.placedAtMeasurement = c.Stats.Placed
	c.held.SetReleaseRate(c.rate, attemptTimeout-attemptMargin)
	if c.limits != nil {
		c.held.MeasureRates(elapsed)
	}
}

// DropHeld drops all held packets. Their callers retransmit them.
func (c *Core) DropHeld() {
	c.CodeCounts[hscode.FlowPaused] += uint64(c.held.Len())
	c.held.Clear()
}

// dropHeldOf drops the held opening packet of a flow that is open: one that was sent
// again has opened it, through another host or at an earlier target. Released, the
// held one would open it at a second target.
func (c *Core) dropHeldOf(key *hsflow.Key) {
	if it := c.held.Find(func(h *heldPacket) bool { return h.key == *key }); it != nil {
		c.CodeCounts[hscode.FlowAlreadyOpen]++
		c.held.Remove(it)
	}
}

// dropAbandoned drops held packets whose callers have abandoned the attempt.
func (c *Core) dropAbandoned(now time.Time) {
	for _, ok := c.held.RemoveExpired(now); ok; _, ok = c.held.RemoveExpired(now) {
		c.CodeCounts[hscode.FlowOverload]++
	}
}
