package hsowner

import (
	"net/netip"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsflow"
)

const (
	// entriesPerTick is the number of table entries that one tick visits.
	entriesPerTick = 8192
	// maxHandoverEntries limits the entries of one handover message.
	maxHandoverEntries = 512

	closedIdleTimeout     = 5 * time.Second
	openingIdleTimeout    = 10 * time.Second
	recoveryIdleTimeout   = 10 * time.Second
	udpIdleTimeout        = time.Minute
	redirectIdleTimeout   = 5 * time.Minute
	halfClosedIdleTimeout = 10 * time.Minute
)

// tick advances recoveries, hands over flows whose target has a new owner and
// removes idle flows.
func (c *Core) tick() {
	c.stepRecoveries()
	if c.handoverActive {
		c.handOver()
	}
	c.sweepCursor = c.flows.Scan(c.sweepCursor, entriesPerTick, c.removeIfIdle)
}

// removeIfIdle removes the flow if it has been idle for too long.
func (c *Core) removeIfIdle(key *hsflow.Key, f *flow) {
	idle := time.Duration(c.now-f.lastPacket) * time.Millisecond
	if idle <= c.idleTimeout(key, f) {
		return
	}
	k := *key
	c.removeFlow(f, &k, k.Hash())
}

func (c *Core) idleTimeout(key *hsflow.Key, f *flow) time.Duration {
	switch {
	case f.phase == phaseClosed:
		return closedIdleTimeout
	case f.phase == phaseOpening:
		return openingIdleTimeout
	case f.phase != phaseOpen:
		return recoveryIdleTimeout
	case key.Proto() == hsflow.UDP:
		return udpIdleTimeout
	case c.ownerOf(f.target) != c.self():
		return redirectIdleTimeout
	case f.flags&(flagCallerFIN|flagTargetFIN) != 0:
		return halfClosedIdleTimeout
	default:
		return c.cfg.IdleTimeout
	}
}

// handOver continues the handover: it visits the next part of the table and
// sends the flows whose target this host owned to the target's new owner.
func (c *Core) handOver() {
	c.handoverCursor = c.flows.Scan(c.handoverCursor, entriesPerTick, c.handOverFlow)
	c.handoverActive = c.handoverCursor != 0
	hosts := make([]netip.Addr, 0, len(c.handoverBatches))
	for h := range c.handoverBatches {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, netip.Addr.Compare)
	for _, h := range hosts {
		c.emitBatches(h, c.handoverBatches[h])
		delete(c.handoverBatches, h)
	}
}

func (c *Core) emitBatches(host netip.Addr, entries []FlowEntry) {
	for len(entries) > 0 {
		n := min(len(entries), maxHandoverEntries)
		c.Stats.HandoverSent += uint64(n)
		c.emit(HandoverToHost, host).Entries = entries[:n]
		entries = entries[n:]
	}
}

func (c *Core) handOverFlow(key *hsflow.Key, f *flow) {
	owner := c.ownerOf(f.target)
	if owner == c.self() {
		f.flags &^= flagHandedOver
		return
	}
	// A flow whose replies were not seen here is a redirect entry: the target's
	// owner knows the flow already.
	if owner < 0 || f.phase != phaseOpen || f.flags&flagTargetSeen == 0 || f.flags&flagHandedOver != 0 {
		return
	}
	f.flags |= flagHandedOver
	addr := c.view.Hosts[owner].Address
	c.handoverBatches[addr] = append(c.handoverBatches[addr], FlowEntry{
		Flow:          *key,
		Target:        c.targets[f.target].id,
		TargetISN:     f.targetISN,
		CallerNextSeq: f.callerNextSeq,
		TargetNextSeq: f.targetNextSeq,
	})
}

// storeEntries stores flows from a previous owner. A flow whose target this
// host already knows is not overwritten, since its own entry is newer.
func (c *Core) storeEntries(entries []FlowEntry) {
	for i := range entries {
		e := &entries[i]
		n, ok := c.byID[e.Target]
		if !ok || c.targets[n].viewIndex < 0 {
			continue
		}
		c.storeEntry(e, n)
	}
}

func (c *Core) storeEntry(e *FlowEntry, n uint32) {
	s := c.view.Service(e.Flow.ServiceKey())
	if s == nil {
		return
	}
	service := c.serviceForTarget(s, c.targets[n].viewIndex)
	if service == nil {
		return
	}
	hash := e.Flow.Hash()
	f := c.flows.Get(&e.Flow, hash)
	if f != nil && f.targetKnown() {
		return
	}
	c.Stats.HandoverReceived++
	if r := c.recoveries[e.Flow]; r != nil && f != nil {
		c.setService(f, service)
		c.completeRecovery(r, f, n, true)
		return
	}
	if f == nil && c.flows.Len() >= c.cfg.MaxFlows {
		return
	}
	f = c.flows.GetOrCreate(&e.Flow, hash)
	c.uncountFlow(f)
	*f = newFlow(c.now, e.Flow.Proto())
	c.setService(f, service)
	f.targetISN, f.callerNextSeq, f.targetNextSeq = e.TargetISN, e.CallerNextSeq, e.TargetNextSeq
	f.flags |= flagCallerSeq | flagTargetSeq | flagTargetSeen | flagVerified
	c.setTarget(f, n, phaseOpen)
}
