package hscookie

import (
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsflow"
)

type (
	// StoreStatus is what a host knows about the store. All times are of the
	// local clock. Only AvailableSince and AvailableUntil are compared with one
	// another; an interval that ends before it begins is empty, and a zero time
	// means that nothing is known. Neither permits a reset.
	StoreStatus struct {
		// Era of the published state, compared for equality only, and the time
		// at which this host entered it.
		Era      uint64
		EraSince time.Time
		// The store was available to this host's zone from AvailableSince to
		// AvailableUntil, and this host has all changes up to AvailableUntil.
		AvailableSince time.Time
		AvailableUntil time.Time
	}

	// Evidence is the reason for which a target certainly no longer exists.
	Evidence uint8

	// LostTarget is a target that certainly no longer exists.
	LostTarget struct {
		Target   hsfeed.TargetID
		Address  netip.AddrPort
		Evidence Evidence
		// Target that is listed at the address; 0 unless Evidence is AddressReused.
		Successor hsfeed.TargetID
	}

	// entryHistory is what is known of a target from its entries and from the flows
	// of this host. Stamps and positions come from outside: start times are
	// compared only together with positions of one era, and a start time of 0
	// or less counts as unknown.
	entryHistory struct {
		zone           string
		startUnixMilli int64
		// Position of the last entry, and of the first one that this host
		// received with this start and address.
		position      hsfeed.Position
		firstPosition hsfeed.Position
		// When this host first listed the target with this start and address.
		listedSince time.Time
		// When the entry was removed; zero while the target is listed.
		removedAt time.Time
		// When a caller last acknowledged something new from the target through
		// this host.
		lastProgress time.Time
		// Target that is listed at the same address and proves that this one has
		// ended, provided that the conditions of isReplaced hold; nil if none.
		successor *destination
		// True once the target was appended to Core.LostTargets.
		reported bool
	}

	// losses is the state of the resets of flows whose targets no longer exist.
	losses struct {
		store StoreStatus
		// Targets with a successor, by ID; nil if there are none.
		replaced map[hsfeed.TargetID]*destination
		// Entry of the flow table at which the next scan starts.
		cursor int
		// Flows of replaced targets that are reset next.
		resets []lostFlow
		// Times of the last resets; next is the index of the oldest.
		sent [maxResets]time.Time
		next int
	}

	lostFlow struct {
		key hsflow.Key
		ack uint32
	}
)

// Values of Evidence.
const (
	// NoEvidence means that the target may exist.
	NoEvidence Evidence = iota
	// AddressReused means that a target that started later is listed at the
	// address.
	AddressReused
	// EntryMissing means that the target's entry has been missing for too long
	// while the store was available.
	EntryMissing
)

const (
	// maxResets is the maximum number of resets in resetInterval, so that the
	// callers of many lost flows do not all open new ones at the same time.
	maxResets     = 200
	resetInterval = 50 * time.Millisecond
	// eraSettleTime is the time in a new era of the store after which its
	// entries count as evidence: a target that the copy lacks has announced
	// itself by then; see hsfeed.
	eraSettleTime = 5 * time.Second
	// minMissingTime is the minimum time for which an entry has to be missing:
	// a running target announces itself within two seconds, and the entry needs
	// some time to arrive here.
	minMissingTime = 2300 * time.Millisecond
	// reuseMargin is the time without progress before the successor of a target
	// was listed. An address is reassigned 2 s after its target ended, so that
	// later progress contradicts the successor's entry.
	reuseMargin = time.Second
	// minSilentSends is the number of times that a caller has to send the same
	// data without progress. Two may be due to the loss of a single packet.
	minSilentSends = 3
	// sentUnit is the unit of flow.sentAt.
	sentUnit = 10 * time.Millisecond
	// idleTrackTime is the time without packets after which an idle flow can no
	// longer be reset at once: longer than most pauses between the requests of a
	// caller, and than the time in which an address is reassigned.
	idleTrackTime = 10 * time.Second
)

var evidenceNames = [...]string{NoEvidence: "none", AddressReused: "address reused", EntryMissing: "entry missing"}

// String returns the evidence in words.
func (e Evidence) String() string { return evidenceNames[e] }

// SetStoreStatus replaces what is known about the store.
func (c *Core) SetStoreStatus(s StoreStatus) { c.losses.store = s }

// settled reports whether this host has been in the given era, which is the
// current one, for long enough.
func (s *StoreStatus) settled(now time.Time, era uint64) bool {
	return !s.EraSince.IsZero() && s.Era == era && now.Sub(s.EraSince) >= eraSettleTime
}

// isMissing reports whether an entry that was removed at the given time has been
// missing for longer than d, with the store available and its era settled all the
// while.
func (s *StoreStatus) isMissing(removedAt time.Time, d time.Duration) bool {
	if removedAt.IsZero() || s.EraSince.IsZero() || s.AvailableSince.IsZero() {
		return false
	}
	from := later(removedAt, later(s.EraSince.Add(eraSettleTime), s.AvailableSince))
	return s.AvailableUntil.After(from.Add(d))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newHistory returns what is known of a target after an entry of it was
// received. old is what was known before; nil if nothing.
func newHistory(now time.Time, entry *hsfeed.TargetRecord, old *destination) entryHistory {
	h := entryHistory{
		zone:           entry.Zone,
		startUnixMilli: entry.StartUnixMilli,
		position:       entry.Position,
		firstPosition:  entry.Position,
		listedSince:    now,
	}
	if old != nil && old.startUnixMilli == entry.StartUnixMilli && old.address == entry.Address {
		h.firstPosition, h.listedSince = old.firstPosition, old.listedSince
		h.lastProgress, h.reported = old.lastProgress, old.reported
	}
	return h
}

// findReplaced sets the successor of each target, and returns the targets that
// have one.
func (t *targets) findReplaced() map[hsfeed.TargetID]*destination {
	byAddress := make(map[netip.AddrPort][]*destination, len(t.byID))
	for _, d := range t.byID {
		byAddress[d.address] = append(byAddress[d.address], d)
	}
	var replaced map[hsfeed.TargetID]*destination
	for id, d := range t.byID {
		d.successor = nil
		for _, s := range byAddress[d.address] {
			if d.isReplacedBy(s) && (d.successor == nil || s.listedSince.Before(d.successor.listedSince)) {
				d.successor = s
			}
		}
		if d.successor == nil {
			continue
		}
		if replaced == nil {
			replaced = map[hsfeed.TargetID]*destination{}
		}
		replaced[id] = d
	}
	return replaced
}

// isReplacedBy reports whether the entries of two targets say that d had ended when
// s started. Start times alone do not: they come from the clocks of different
// targets. This host must have listed d first, and the store must have received
// the first entry of s after the last one of d, within one era.
func (d *destination) isReplacedBy(s *destination) bool {
	return s.address == d.address && s.removedAt.IsZero() &&
		d.startUnixMilli > 0 && s.startUnixMilli > d.startUnixMilli &&
		s.firstPosition.Era == d.position.Era && s.firstPosition.After(d.position) &&
		s.listedSince.After(d.listedSince)
}

// isReplaced reports whether another target at the address proves that d no
// longer exists.
func (c *Core) isReplaced(now time.Time, d *destination) bool {
	s := d.successor
	return s != nil && c.losses.store.settled(now, d.position.Era) &&
		d.lastProgress.Before(s.listedSince.Add(-reuseMargin))
}

// evidence returns the evidence that target d of flow f no longer exists; f is
// nil if the flow is not tracked. A missing entry counts only if the flow and
// all others of this host to the target are silent, and the silence cannot be
// due to the target's zone. The silence has to last as long as the entry has to
// be missing: a running target may have lost its link to the store some time ago,
// and the link to this host for a moment.
func (c *Core) evidence(now time.Time, d *destination, f *flow) Evidence {
	switch {
	case c.isReplaced(now, d):
		return AddressReused
	case f == nil || f.sends < minSilentSends || c.silence(now, f) <= c.missingTime():
		return NoEvidence
	case d.lastProgress.After(d.removedAt) || c.placer.ZoneUnanswered(d.zone):
		return NoEvidence
	case !c.losses.store.isMissing(d.removedAt, c.missingTime()):
		return NoEvidence
	}
	return EntryMissing
}

// resetLost decides whether a later packet of a flow to target d is answered
// with a reset because the target no longer exists. Packets with which a caller
// ends the flow are not: a reset would have no effect.
func (c *Core) resetLost(now time.Time, p *Packet, d *destination, key *hsflow.Key, hash uint64) bool {
	f := c.flows.Get(key, hash)
	if p.HasAny(FlagFin|FlagReset) || !p.HasAny(FlagAck) || (f != nil && f.closed) {
		return false
	}
	e := c.evidence(now, d, f)
	if e == NoEvidence || (e == EntryMissing && p.DataSize == 0) || !c.losses.mayReset(now) {
		return false
	}
	c.losses.recordReset(now)
	c.countLost(e)
	c.reportLost(d, e)
	if f != nil {
		c.removeFlow(key, hash, f)
	}
	return true
}

// reportLost adds a target to Core.LostTargets, once.
func (c *Core) reportLost(d *destination, e Evidence) {
	if d.reported {
		return
	}
	d.reported = true
	lost := LostTarget{Target: d.id, Address: d.address, Evidence: e}
	if e == AddressReused {
		lost.Successor = d.successor.id
	}
	c.LostTargets = append(c.LostTargets, lost)
}

func (c *Core) countLost(e Evidence) {
	if e == AddressReused {
		c.Stats.ReusedResets++
		return
	}
	c.Stats.MissingResets++
}

// trackProgress records progress of a flow to target d, and counts how often its
// caller sent the same data without progress. answered is true for the caller's
// first packet after the opening one. If a caller sends several packets again,
// the one with the lowest sequence number counts.
func (c *Core) trackProgress(now time.Time, p *Packet, f *flow, d *destination, answered bool) {
	if f.target != d.id {
		f.sends = 0
	}
	if p.HasAny(FlagAck) && !p.HasAny(FlagReset) && (answered || (f.ackKnown && isAfter(p.Ack, f.ack))) {
		d.lastProgress = now
		f.sends = 0
	}
	if p.DataSize == 0 {
		return
	}
	end := p.Seq + uint32(p.DataSize)
	switch {
	case f.sends == 0, f.sends == 1 && isAfter(end, f.sentEnd):
		f.sentEnd, f.sends, f.sentAt = end, 1, c.sentUnits(now)
	case end == f.sentEnd:
		f.sends = min(f.sends+1, minSilentSends)
	case isAfter(f.sentEnd, end):
		f.sentEnd, f.sends = end, 2
	}
}

// silence returns the time since the caller first sent the data that it has been
// sending again without progress.
func (c *Core) silence(now time.Time, f *flow) time.Duration {
	return time.Duration(c.sentUnits(now)-f.sentAt) * sentUnit
}

func (c *Core) sentUnits(now time.Time) uint16 { return uint16(c.uptime(now) / sentUnit) }

// missingTime returns the time for which an entry has to be missing, and a flow
// silent.
func (c *Core) missingTime() time.Duration {
	return max(c.cfg.Placement.UnlistedGracePeriod, minMissingTime)
}

// park keeps an idle flow for a reset, without its load, and reports whether it
// did. A parked flow counts as not tracked in all other respects. At most half
// of the table is used for parked flows.
func (c *Core) park(f *flow) bool {
	if !c.cfg.LearnCapacity || f.closed || f.unanswered || !f.ackKnown || c.flows.Len() > c.cfg.MaxFlows/2 {
		return false
	}
	c.removeLoad(f)
	f.parked = true
	return true
}

// removeEarlier removes the flow that used the addresses of an opening packet
// before, unless the packet is a retransmission: the caller has closed that flow,
// which must not be reset any more.
func (c *Core) removeEarlier(p *Packet, key *hsflow.Key, hash uint64) {
	if f := c.flows.Get(key, hash); f != nil && (f.parked || !f.isRetransmission(p)) {
		c.removeFlow(key, hash, f)
	}
}

// tracked returns the state of a flow, or nil if it is not tracked.
func (c *Core) tracked(key *hsflow.Key, hash uint64) *flow {
	if f := c.flows.Get(key, hash); f != nil && !f.parked {
		return f
	}
	return nil
}

// findLostFlows selects flows of replaced targets for a reset, as many as
// may be reset now, and reports targets that are new among the replaced ones.
func (c *Core) findLostFlows(now time.Time) {
	if len(c.losses.replaced) == 0 {
		return
	}
	for _, d := range c.losses.replaced {
		if c.isReplaced(now, d) {
			c.reportLost(d, AddressReused)
		}
	}
	c.losses.cursor = c.flows.Scan(c.losses.cursor, maxSweepEntries, func(key *hsflow.Key, f *flow) {
		d := c.losses.replaced[f.target]
		if d == nil || f.closed || f.unanswered || !f.ackKnown || !c.isReplaced(now, d) || !c.losses.mayReset(now) {
			return
		}
		c.losses.recordReset(now)
		c.losses.resets = append(c.losses.resets, lostFlow{key: *key, ack: f.ack})
		c.removeFlow(key, key.Hash(), f)
	})
}

// NextReset returns a packet that stands for a flow whose target no longer
// exists, with the verdict to reset the flow, and false if there is none. The
// packet has the addresses and the acknowledgement of the flow only.
func (c *Core) NextReset() (Packet, Verdict, bool) {
	last := len(c.losses.resets) - 1
	if last < 0 {
		return Packet{}, Verdict{}, false
	}
	f := c.losses.resets[last]
	c.losses.resets = c.losses.resets[:last]
	c.countLost(AddressReused)
	p := Packet{From: f.key.Caller(), To: f.key.Service(), Flags: FlagAck, Ack: f.ack}
	return p, c.countVerdict(Verdict{Action: Refuse, Code: hscode.FlowTargetLost}), true
}

// mayReset reports whether a further reset keeps the limit.
func (l *losses) mayReset(now time.Time) bool {
	oldest := l.sent[l.next]
	return oldest.IsZero() || now.Sub(oldest) >= resetInterval
}

func (l *losses) recordReset(now time.Time) {
	l.sent[l.next] = now
	l.next = (l.next + 1) % maxResets
}
