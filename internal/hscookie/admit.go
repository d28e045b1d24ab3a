package hscookie

import (
	"bytes"
	"math"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsqueue"
)

// held is an opening packet that waits for a free slot.
type held struct {
	packet Packet
	key    hsflow.Key
	hash   uint64
	// Service that takes the flow by the configuration in force.
	service string
}

const (
	// maxHeld bounds the packets held, whatever the rate at which they are
	// released, and so their memory to about 100 KB.
	maxHeld = 512
	// fullLoad is the utilization of a target up to which a flow is placed that
	// can still meet its objective; what is above 1 waits at the target, so that
	// no slot is idle while a host learns that it is free.
	fullLoad = 2.7
	// lateLoad is the same for a flow that cannot: it takes a free slot and no
	// place in a target's queue, where those that can would wait behind it. The
	// model of the load, hslab place, and played bursts show what it does.
	lateLoad = 1.0
	// settleTime is the time after the start for which nothing is held. While
	// hosts return, the routers move flows between them, and a flow counts at
	// each host that it passed; targets that look full are not.
	settleTime = 3 * time.Second
	// workShare is the part of a latency objective that the request itself may
	// take, and that has to be left when it is placed.
	workShare = 0.4
	// rateInterval is the time over which the rate of placed flows is measured,
	// and rateWeight the weight of the newest measurement: two follow a burst
	// within the time that a caller waits.
	rateInterval = 250 * time.Millisecond
	rateWeight   = 0.5
	// attemptTime is the time after which a caller ends an attempt that was not
	// answered, and attemptMargin what the way to the target takes of it.
	attemptTime   = 1400 * time.Millisecond
	attemptMargin = 50 * time.Millisecond
)

// copyTimes are the times after the opening packet at which a caller sends its
// copies.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// admit places a flow, or holds its opening packet while its service is full.
func (c *Core) admit(now time.Time, r *knownRoute, h *held) Verdict {
	v := Verdict{Action: Hold, Code: hscode.FlowOverload}
	if c.held.Find(func(old *held) bool { return old.key == h.key }) != nil {
		return v
	}
	it := newItem(now, r, h)
	if c.held.Len() == 0 || it.InTime(now) {
		if v = c.placeItem(now, &it); v.Action != Hold {
			return v
		}
	}
	it.Value.packet.Raw = bytes.Clone(h.packet.Raw)
	c.held.Push(it)
	return v
}

func newItem(now time.Time, r *knownRoute, h *held) hsqueue.Item[held] {
	since := now.Add(-copyTimes[min(int(h.packet.Copies), len(copyTimes)-1)])
	aim := r.Aim - time.Duration(workShare*float64(r.Aim))
	return hsqueue.Item[held]{
		Since:    since,
		Aim:      since.Add(aim),
		End:      since.Add(attemptTime - attemptMargin),
		Priority: r.Priority,
		Value:    *h,
	}
}

// limit returns the utilization of a target up to which an item is placed.
func (c *Core) limit(now time.Time, it *hsqueue.Item[held]) float64 {
	switch {
	case now.Sub(c.cfg.Start) < settleTime:
		return math.Inf(1)
	case it.InTime(now):
		return fullLoad
	default:
		return lateLoad
	}
}

// placeItem places the flow of one item, or answers Hold.
func (c *Core) placeItem(now time.Time, it *hsqueue.Item[held]) Verdict {
	most := c.limit(now, it)
	h := &it.Value
	ch, code := c.place.Choose(now, h.service, most)
	switch code {
	case hscode.OK:
	case hscode.FlowOverload:
		return Verdict{Action: Hold, Code: code, Choice: ch}
	default:
		return Verdict{Action: Refuse, Code: code, Choice: ch}
	}
	d := c.targets.byID[ch.Target]
	c.add(now, &h.key, h.hash, ch.Target, true)
	c.Stats.Placed++
	return Verdict{Action: Forward, To: d.address, Target: ch.Target, Cookie: d.cookie, Placed: true, Choice: ch}
}

// Release returns the next held packet that is decided, and false if none is.
func (c *Core) Release(now time.Time) (Packet, Verdict, bool) {
	if it, ok := c.held.Excess(now); ok {
		return it.Value.packet, c.note(Verdict{Action: Refuse, Code: hscode.FlowOverload}), true
	}
	if c.held.Len() == 0 {
		return Packet{}, Verdict{}, false
	}
	full := map[string]bool{}
	for {
		it := c.held.First(now, func(it *hsqueue.Item[held]) bool { return !full[it.Value.service] })
		if it == nil {
			return Packet{}, Verdict{}, false
		}
		v := c.again(now, it)
		if v.Action == Hold {
			full[it.Value.service] = true
			continue
		}
		p := it.Value.packet
		c.held.Remove(it)
		return p, c.note(v), true
	}
}

// again decides about a held item by the configuration in force now.
func (c *Core) again(now time.Time, it *hsqueue.Item[held]) Verdict {
	r := c.routes.byPlace[it.Value.packet.To]
	if r == nil || !r.until.IsZero() {
		return Verdict{Action: Refuse, Code: hscode.FlowNoService}
	}
	it.Value.service = r.service(it.Value.hash)
	return c.placeItem(now, it)
}

// learnRate measures how many flows this host places in a second, which while
// packets wait is what its share of the targets can serve.
func (c *Core) learnRate(now time.Time) {
	span := now.Sub(c.rated)
	if span < rateInterval {
		return
	}
	placed := float64(c.Stats.Placed-c.placed) / span.Seconds()
	c.rate += rateWeight * (placed - c.rate)
	c.rated = now
	c.placed = c.Stats.Placed
	c.held.SetRate(c.rate, attemptTime-attemptMargin)
}

// DropHeld forgets all held packets. Their callers send copies.
func (c *Core) DropHeld() {
	c.Counts[hscode.FlowPaused] += uint64(c.held.Len())
	c.held.Clear()
}

// expire forgets held packets whose callers have given up the attempt.
func (c *Core) expire(now time.Time) {
	for _, ok := c.held.Expire(now); ok; _, ok = c.held.Expire(now) {
		c.Counts[hscode.FlowOverload]++
	}
}
