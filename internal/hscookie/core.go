package hscookie

import (
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherstack.org/heatherstack/internal/hsbudget"
	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hslimit"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsqueue"
)

type (
	// Config holds the settings of a Core.
	Config struct {
		Placement hsplace.Config
		// Maximum number of tracked flows; further flows are forwarded without
		// being tracked.
		MaxFlows int
		// Time for which packets of open flows are still forwarded to a target
		// that is no longer listed: the maximum lifetime of a flow.
		MaxFlowLifetime time.Duration
		// Time at which the host started.
		StartTime time.Time
		// See hsdirect.Settings.
		LearnCapacity bool
		LimitRequests bool
	}

	// Action is what the host does with a packet.
	Action uint8

	// Verdict is the decision about one packet.
	Verdict struct {
		Action Action
		// Reason for which the packet was not forwarded immediately; OK if it
		// was.
		Code hscode.Code
		// For Forward: the address to send the packet to, the target at that
		// address, and the cookie to write into the packet.
		To     netip.AddrPort
		Target hsfeed.TargetID
		Cookie Cookie
		// True if the target was chosen for this packet, which opens a new
		// flow.
		Placed bool
		// For an opening packet that had to be placed: the chosen target and
		// the load on which the choice is based. Zero for others.
		Choice hsplace.Choice
		// For an opening packet that was held or refused: this host's limit of
		// requests in progress at the service. Zero without
		// Config.LimitRequests.
		Limit hslimit.State
	}

	// Stats counts decisions.
	Stats struct {
		// Opening packets for which this host chose a target, retransmissions that
		// were forwarded to the target chosen before, and those that it may not get
		// any more.
		Placed      uint64
		Retransmits uint64
		Moved       uint64
		// Packets forwarded to targets, including opening packets.
		Forwarded uint64
		Resets    uint64
		// Flows whose first packet at this host was not an opening packet.
		MidstreamFlows uint64
		// Flows that timed out before their caller closed them.
		Expired uint64
		// Opening packets held while their service was full, without
		// retransmissions of held ones.
		Held uint64
		// Flows that were reset because a later target is listed at their
		// target's address, and because their target's entry is missing.
		ReusedResets  uint64
		MissingResets uint64
		// Opening packets refused because all targets of their service are in
		// warm-up and take no more flows from this host in time.
		WarmUpRefused uint64
		// Opening packets that arrived while this host's limits of requests in
		// progress were reached at all targets of their service.
		Limited uint64
	}

	// Durations holds histograms of durations in microseconds.
	Durations struct {
		// From the opening packet to the caller's next packet.
		Answer *hdrhistogram.Histogram
		// From the flow's first packet to the one with which the caller closes
		// it.
		Flow *hdrhistogram.Histogram
		// From the data of a request to the acknowledgement of the first data
		// of its answer.
		Service *hdrhistogram.Histogram
	}

	// Core decides how callers' packets are handled. It is not safe for
	// concurrent use.
	Core struct {
		cfg     Config
		placer  *hsplace.Placer
		routes  routes
		targets targets
		flows   *hsflow.Table[flow]
		held    *hsqueue.Queue[heldPacket]
		// Nil unless Config.LimitRequests.
		limits *hslimit.Limiter
		// Flows placed per second, and the time and Stats.Placed at the last
		// measurement.
		rate                float64
		rateMeasuredAt      time.Time
		placedAtMeasurement uint64
		// Flows whose opening packet may still be unanswered, oldest first.
		unanswered openingQueue
		lastSweep  time.Time
		// Moving average of the time from the data of a request to the
		// acknowledgement of the first data of its answer.
		avgServiceTime time.Duration
		// Entry of the flow table at which the next sweep starts.
		sweepCursor int
		losses      losses
		Stats       Stats
		Durations   Durations
		// Ejections since the code that uses the Core last cleared the list.
		Ejections []hsplace.Ejection
		// Targets found no longer to exist since the code that uses the Core last
		// cleared the list.
		LostTargets []LostTarget
		// Targets that were found slow, or no longer are, likewise.
		PaceChanges []hsplace.PaceChange
		// Number of packets by result code, without OK.
		CodeCounts map[hscode.Code]uint64
	}
)

// Values of Action.
const (
	// Drop discards the packet without an answer.
	Drop Action = iota
	// Forward sends the packet to Verdict.To.
	Forward
	// Refuse sends a reset to the caller.
	Refuse
	// Hold keeps the packet until Core.Release returns it.
	Hold
)

const (
	// maxRecordedDuration is the upper limit of the histograms. Longer
	// durations are recorded with this value.
	maxRecordedDuration = time.Minute
	// histogramDigits is the number of significant decimal digits in the
	// histograms.
	histogramDigits = 2
)

var actions = [...]string{Drop: "drop", Forward: "forward", Refuse: "refuse", Hold: "hold"}

// String returns the name of the action.
func (a Action) String() string { return actions[a] }

// New returns a core without routes and targets.
func New(cfg Config) *Core {
	c := &Core{
		cfg:        cfg,
		placer:     hsplace.New(cfg.Placement),
		flows:      hsflow.NewTable[flow](),
		held:       hsqueue.New[heldPacket](hsqueue.Config{MaxItems: maxHeldPackets, Even: cfg.LimitRequests}),
		CodeCounts: map[hscode.Code]uint64{},
		Durations:  Durations{Answer: newHistogram(), Flow: newHistogram(), Service: newHistogram()},
	}
	if cfg.LimitRequests {
		c.limits = hslimit.New(cfg.Placement.Seed)
	}
	return c
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedDuration.Microseconds(), histogramDigits)
}

// SetConfiguration replaces the current configuration.
func (c *Core) SetConfiguration(now time.Time, cfg *hsfeed.Configuration) {
	c.routes.setConfiguration(now, cfg)
	c.placer.SetServices(cfg.Services)
}

// SetTargets replaces the list of targets.
func (c *Core) SetTargets(now time.Time, list []hsfeed.TargetRecord) {
	c.targets.setTargets(now, list, c.cfg.MaxFlowLifetime)
	if c.cfg.LearnCapacity {
		c.losses.replaced = c.targets.findReplaced()
	}
	c.placer.SetTargets(now, list)
	if c.limits == nil {
		return
	}
	slots := map[hslimit.Key]int{}
	for i := range list {
		if r := &list[i]; !r.Draining {
			slots[hslimit.Key{Service: r.Service, Zone: r.Zone}] += r.Slots
		}
	}
	c.limits.SetSlots(slots)
	c.targets.setPools(list, c.limits)
}

// SetHostCount sets the number of hosts of the deployment, 0 if it is unknown.
// It is used with Config.LimitRequests only.
func (c *Core) SetHostCount(n int) {
	if c.limits != nil {
		c.limits.SetHostCount(n)
	}
}

// AppendLimits appends the state of this host's limits of requests in progress
// to dst, by service in the order in which they became known. There are none
// without Config.LimitRequests.
func (c *Core) AppendLimits(dst []hslimit.State) []hslimit.State {
	if c.limits == nil {
		return dst
	}
	return c.limits.AppendStates(dst)
}

// withLimit adds the state of the service's limit to the verdict on a held or
// refused opening packet.
func (c *Core) withLimit(v Verdict, service string) Verdict {
	if c.limits != nil && (v.Action == Hold || v.Action == Refuse) {
		v.Limit = c.limits.State(service)
	}
	return v
}

// SetEvacuations replaces the zones that are being evacuated. Their targets
// receive no new flows; packets of open flows are forwarded as before.
func (c *Core) SetEvacuations(now time.Time, zones []string) { c.placer.SetEvacuations(now, zones) }

// SetCutOff sets whether this host is cut off from everything outside its zone.
func (c *Core) SetCutOff(cutOff bool) { c.placer.SetCutOff(cutOff) }

// SetMembers sets the entry hosts that share the flows of targets in warm-up.
func (c *Core) SetMembers(v *hsbudget.View) { c.placer.SetMembers(v) }

// LimitedTargets returns the number of targets whose new flows are limited now.
func (c *Core) LimitedTargets(now time.Time) int { return c.placer.LimitedTargets(now) }

// ApplyReport applies another host's report of its loads, which replaces the
// host's earlier report.
func (c *Core) ApplyReport(now time.Time, host string, loads []hsplace.Load) {
	c.placer.ApplyReport(now, host, loads)
}

// ApplyEjections excludes targets that another host of this zone has ejected
// from new flows, for at least the time d.
func (c *Core) ApplyEjections(now time.Time, ids []hsfeed.TargetID, d time.Duration) {
	c.placer.ApplyEjections(now, ids, d)
}

// AppendEjected appends the targets that this host has ejected to dst.
func (c *Core) AppendEjected(now time.Time, dst []hsfeed.TargetID) []hsfeed.TargetID {
	return c.placer.AppendEjected(now, dst)
}

// AppendLoads appends this host's load of each target to dst.
func (c *Core) AppendLoads(dst []hsplace.Load) []hsplace.Load { return c.placer.AppendLoads(dst) }

// ApplyPaces applies the paces that another host of this zone knows.
func (c *Core) ApplyPaces(now time.Time, paces []hsplace.Pace) { c.placer.ApplyPaces(now, paces) }

// AppendPaces appends up to limit paces that this host knows to dst.
func (c *Core) AppendPaces(now time.Time, dst []hsplace.Pace, limit int) []hsplace.Pace {
	return c.placer.AppendPaces(now, dst, limit)
}

// SlowCount returns the number of targets that are slow now.
func (c *Core) SlowCount() int { return c.placer.SlowCount() }

// ConfigurationVersion returns the version of the current configuration.
func (c *Core) ConfigurationVersion() uint64 { return c.routes.version }

// HeldCount returns the number of held opening packets.
func (c *Core) HeldCount() int { return c.held.Len() }

// FlowCount returns the number of tracked flows.
func (c *Core) FlowCount() int { return c.flows.Len() }

// Ready reports whether the core can place flows.
func (c *Core) Ready() bool {
	return len(c.routes.byAddress) > 0 && len(c.targets.byID) > 0
}

// HandlePacket decides how a caller's packet is handled. It copies the received
// bytes if the packet is held.
func (c *Core) HandlePacket(now time.Time, p *Packet) Verdict {
	return c.countVerdict(c.decide(now, p))
}

func (c *Core) countVerdict(v Verdict) Verdict {
	switch v.Action {
	case Forward:
		c.Stats.Forwarded++
		return v
	case Hold:
		return v
	case Refuse:
		c.Stats.Resets++
	}
	c.CodeCounts[v.Code]++
	return v
}

func (c *Core) decide(now time.Time, p *Packet) Verdict {
	c.reportUnanswered(now)
	r := c.routes.byAddress[p.To]
	key := p.Key()
	hash := key.Hash()
	if p.HasAny(FlagOpen) {
		return c.decideOpening(now, p, r, &key, hash)
	}
	if r == nil || (!r.keepUntil.IsZero() && now.After(r.keepUntil)) {
		return c.decideUnrouted(p, &key, hash)
	}
	d := c.targets.find(r, p.Cookie)
	if d == nil {
		return Verdict{Code: hscode.FlowUnknownCookie}
	}
	c.trackPacket(now, p, r, d, &key, hash)
	if c.cfg.LearnCapacity && c.resetLost(now, p, d, &key, hash) {
		return Verdict{Action: Refuse, Code: hscode.FlowTargetLost}
	}
	return Verdict{Action: Forward, To: d.address, Target: d.id, Cookie: p.Cookie}
}

// decideUnrouted decides how a later packet of a flow is handled if no route
// exists for it. Only a tracked flow is reset: for others, another host may
// know a route that this host has not received yet.
func (c *Core) decideUnrouted(p *Packet, key *hsflow.Key, hash uint64) Verdict {
	f := c.tracked(key, hash)
	if f == nil || p.HasAny(FlagReset) {
		return Verdict{Code: hscode.FlowNoService}
	}
	c.removeFlow(key, hash, f)
	return Verdict{Action: Refuse, Code: hscode.FlowNoService}
}

func (c *Core) decideOpening(now time.Time, p *Packet, r *knownRoute, key *hsflow.Key, hash uint64) Verdict {
	if r == nil || !r.keepUntil.IsZero() {
		if c.routes.version == 0 {
			return Verdict{Code: hscode.FlowNoService}
		}
		return Verdict{Action: Refuse, Code: hscode.FlowNoService}
	}
	if c.cfg.LearnCapacity {
		c.removeEarlier(p, key, hash)
	}
	if f := c.flows.Get(key, hash); f != nil && f.isRetransmission(p) {
		d := c.targets.byID[f.target]
		code := c.checkOpening(now, r, d)
		switch {
		case code == hscode.OK:
			c.Stats.Retransmits++
			f.lastSeen = c.uptime(now)
			if f.unanswered {
				c.startRequest(f, f.lastSeen)
			}
			return Verdict{Action: Forward, To: d.address, Target: d.id, Cookie: d.cookie}
		case !f.unanswered && code != hscode.FlowTargetGone:
			// The caller has had its answer, maybe through another host: the packet
			// was delayed on its way. It must neither arrive at the target nor open
			// the flow at a second one.
			return Verdict{Code: code}
		default:
			c.Stats.Moved++
			c.removeFlow(key, hash, f)
		}
	}
	if len(c.targets.byID) == 0 {
		return Verdict{Code: hscode.FlowNoTarget}
	}
	h := heldPacket{packet: *p, key: *key, hash: hash, service: r.serviceFor(hash)}
	return c.withLimit(c.admit(now, r, &h), h.service)
}

// checkOpening returns OK if a further opening packet of a flow may be sent to
// target d, which was chosen earlier and may be nil, or else the reason why not.
// It has to be handled as the current configuration says: an open flow may stay at
// a previous service of its route, but none may be opened there.
func (c *Core) checkOpening(now time.Time, r *knownRoute, d *destination) hscode.Code {
	switch {
	case d == nil, c.isReplaced(now, d):
		return hscode.FlowTargetGone
	case !r.leadsTo(d.service):
		return hscode.FlowAlreadyOpen
	case c.placer.IsEvacuated(d.zone):
		return hscode.FlowEvacuated
	}
	return hscode.OK
}

// Tick does the work that depends on time: it handles unanswered opening
// packets, removes expired reports, targets, held packets and flows, and
// measures the rate of placed flows.
func (c *Core) Tick(now time.Time) {
	c.reportUnanswered(now)
	c.placer.Tick(now)
	c.PaceChanges = append(c.PaceChanges, c.placer.TakePaceChanges()...)
	c.dropAbandoned(now)
	c.measureRate(now)
	c.findLostFlows(now)
	if c.limits != nil {
		c.limits.Tick(now)
	}
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		c.sweep(now)
	}
}
