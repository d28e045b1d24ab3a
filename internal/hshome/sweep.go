package hshome

import (
	"net/netip"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsflow"
)

const (
	// walkStep is the number of table entries that one tick visits.
	walkStep = 8192
	// batchMax limits the entries of one handover message.
	batchMax = 512

	closedIdle    = 5 * time.Second
	openingIdle   = 10 * time.Second
	lentIdle      = 10 * time.Second
	udpIdle       = time.Minute
	exceptionIdle = 5 * time.Minute
	halfOpenIdle  = 10 * time.Minute
)

// tick advances recoveries, hands over flows whose home has moved and removes
// idle flows.
func (c *Core) tick() {
	c.stepWaits()
	if c.handing {
		c.handOver()
	}
	c.sweepAt = c.flows.Walk(c.sweepAt, walkStep, c.expire)
}

// expire removes the flow if it has been idle for too long.
func (c *Core) expire(key *hsflow.Key, f *flow) {
	idle := time.Duration(c.now-f.seen) * time.Millisecond
	if idle <= c.idleLimit(key, f) {
		return
	}
	k := *key
	c.drop(f, &k, k.Hash())
}

func (c *Core) idleLimit(key *hsflow.Key, f *flow) time.Duration {
	switch {
	case f.phase == closed:
		return closedIdle
	case f.phase == opening:
		return openingIdle
	case f.phase != open:
		return lentIdle
	case key.Proto() == hsflow.UDP:
		return udpIdle
	case c.home(f.target) != c.self():
		return exceptionIdle
	case f.marks&(finCaller|finTarget) != 0:
		return halfOpenIdle
	default:
		return c.cfg.Idle
	}
}

// handOver continues the handover: it visits the next part of the table and sends
// the flows whose target was homed here to the target's new home.
func (c *Core) handOver() {
	c.handoverAt = c.flows.Walk(c.handoverAt, walkStep, c.handOne)
	c.handing = c.handoverAt != 0
	hosts := make([]netip.Addr, 0, len(c.batches))
	for h := range c.batches {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, netip.Addr.Compare)
	for _, h := range hosts {
		c.emitBatches(h, c.batches[h])
		delete(c.batches, h)
	}
}

func (c *Core) emitBatches(host netip.Addr, entries []Entry) {
	for len(entries) > 0 {
		n := min(len(entries), batchMax)
		c.Stats.HandedOut += uint64(n)
		c.emit(Handover, host).Entries = entries[:n]
		entries = entries[n:]
	}
}

func (c *Core) handOne(key *hsflow.Key, f *flow) {
	home := c.home(f.target)
	if home == c.self() {
		f.marks &^= handed
		return
	}
	// A flow whose replies were not seen here is a redirect entry: its home
	// knows the flow already.
	if home < 0 || f.phase != open || f.marks&markHeard == 0 || f.marks&handed != 0 {
		return
	}
	f.marks |= handed
	addr := c.view.Hosts[home].Address
	c.batches[addr] = append(c.batches[addr], Entry{
		Flow:   *key,
		Target: c.targets[f.target].id,
		ISN:    f.isn,
		Caller: f.caller,
		Reply:  f.reply,
	})
}

// takeEntries stores flows from a former home. A flow whose target this host
// already knows is not overwritten, since its own entry is newer.
func (c *Core) takeEntries(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		n, ok := c.byID[e.Target]
		if !ok || c.targets[n].at < 0 {
			continue
		}
		c.takeEntry(e, n)
	}
}

func (c *Core) takeEntry(e *Entry, n uint32) {
	s := c.view.Service(e.Flow.Place())
	if s == nil {
		return
	}
	holder := c.holder(s, c.targets[n].at)
	if holder == nil {
		return
	}
	hash := e.Flow.Hash()
	f := c.flows.Get(&e.Flow, hash)
	if f != nil && f.known() {
		return
	}
	c.Stats.HandedIn++
	if w := c.waits[e.Flow]; w != nil && f != nil {
		c.join(f, holder)
		c.settle(w, f, n, true)
		return
	}
	if f == nil && c.flows.Len() >= c.cfg.MaxFlows {
		return
	}
	f = c.flows.Put(&e.Flow, hash)
	c.release(f)
	*f = newFlow(c.now, e.Flow.Proto())
	c.join(f, holder)
	f.isn, f.caller, f.reply = e.ISN, e.Caller, e.Reply
	f.marks |= markCaller | markReply | markHeard | proven
	c.bind(f, n, open)
}
