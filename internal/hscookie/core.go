package hscookie

import (
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsqueue"
)

type (
	// Config holds the settings of a Core.
	Config struct {
		Place hsplace.Config
		// Flows counted at most; more are forwarded without being counted.
		MaxFlows int
		// Time for which packets of open flows go to a target that is not
		// listed any more: the longest life of a flow.
		Life time.Duration
		// Time of the start.
		Start time.Time
	}

	// Action says what becomes of a packet.
	Action uint8

	// Verdict is the decision about one packet.
	Verdict struct {
		Action Action
		// Why the packet was not forwarded at once; OK if it was.
		Code hscode.Code
		// For Forward: where to, whom it is meant for, and the cookie that the
		// packet has to carry.
		To     netip.AddrPort
		Target hsfeed.TargetID
		Cookie Cookie
		// True if the packet opened a flow that this host had not seen.
		Placed bool
		// What decided about an opening packet; zero for others.
		Choice hsplace.Choice
	}

	// Stats counts decisions.
	Stats struct {
		// Opening packets that were sent to a target chosen here, and copies that
		// followed an earlier choice.
		Placed uint64
		Copies uint64
		// Packets sent to targets, opening ones included.
		Forwarded uint64
		Resets    uint64
		// Flows seen first in their middle.
		Adopted uint64
		// Flows forgotten before their caller ended them.
		Expired uint64
		// Opening packets held while their service was full.
		Held uint64
	}

	// Times are durations of flows, in microseconds.
	Times struct {
		// From the opening packet to the caller's next one.
		Answer *hdrhistogram.Histogram
		// From the first packet to the caller's end.
		Flow *hdrhistogram.Histogram
	}

	// Core decides about callers' packets. It is not safe for concurrent use.
	Core struct {
		cfg     Config
		place   *hsplace.Placer
		routes  routes
		targets targets
		flows   *hsflow.Table[flow]
		held    *hsqueue.Queue[held]
		// Flows placed in a second, and when and at which count it was measured.
		rate   float64
		rated  time.Time
		placed uint64
		// Flows whose opening packet has no answer yet, oldest first.
		opening queue
		swept   time.Time
		// Usual time from a flow's first packet to the caller's end of it.
		duration time.Duration
		// Entry of flows at which the next search for quiet ones begins.
		cursor int
		Stats  Stats
		Times  Times
		// What was left out since the caller emptied the list.
		Ejections []hsplace.Ejection
		// Packets by result code, without OK.
		Counts map[hscode.Code]uint64
	}
)

// Actions.
const (
	// Drop gives no answer.
	Drop Action = iota
	// Forward sends the packet to Verdict.To.
	Forward
	// Refuse resets the flow towards the caller.
	Refuse
	// Hold keeps the packet until Core.Release returns it.
	Hold
)

const (
	// longestTime is the longest duration that is told apart from longer ones.
	longestTime = time.Minute
	timeDigits  = 2
)

var actions = [...]string{Drop: "drop", Forward: "forward", Refuse: "refuse", Hold: "hold"}

// String returns the action in one word.
func (a Action) String() string { return actions[a] }

// New returns a core without routes and targets.
func New(cfg Config) *Core {
	return &Core{
		cfg:    cfg,
		place:  hsplace.New(cfg.Place),
		flows:  hsflow.NewTable[flow](),
		held:   hsqueue.New[held](hsqueue.Config{Limit: maxHeld}),
		Counts: map[hscode.Code]uint64{},
		Times:  Times{Answer: newHistogram(), Flow: newHistogram()},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestTime.Microseconds(), timeDigits)
}

// SetConfiguration takes the configuration in force.
func (c *Core) SetConfiguration(now time.Time, cfg *hsfeed.Configuration) {
	c.routes.setConfiguration(now, cfg)
}

// SetTargets takes the listed targets.
func (c *Core) SetTargets(now time.Time, list []hsfeed.Entry) {
	c.targets.setTargets(now, list, c.cfg.Life)
	c.place.SetTargets(now, list)
}

// Report takes another host's open flows.
func (c *Core) Report(now time.Time, host string, loads []hsplace.Load) {
	c.place.Report(now, host, loads)
}

// Avoid takes the targets that another host of this zone leaves out, and for how
// long its word holds.
func (c *Core) Avoid(now time.Time, ids []hsfeed.TargetID, d time.Duration) {
	c.place.Avoid(now, ids, d)
}

// Ejected appends the targets that this host leaves out to dst.
func (c *Core) Ejected(now time.Time, dst []hsfeed.TargetID) []hsfeed.TargetID {
	return c.place.Ejected(now, dst)
}

// Loads appends this host's open flows by target to dst.
func (c *Core) Loads(dst []hsplace.Load) []hsplace.Load { return c.place.Loads(dst) }

// Version returns the version of the configuration in force.
func (c *Core) Version() uint64 { return c.routes.version }

// HeldPackets returns the number of opening packets that wait.
func (c *Core) HeldPackets() int { return c.held.Len() }

// Flows returns the number of flows that are counted.
func (c *Core) Flows() int { return c.flows.Len() }

// Ready reports whether the core can place flows.
func (c *Core) Ready() bool {
	return len(c.routes.byPlace) > 0 && len(c.targets.byID) > 0
}

// Packet decides about a caller's packet. A packet that is held is the head
// only; it has no data.
func (c *Core) Packet(now time.Time, p *Packet) Verdict {
	return c.note(c.decide(now, p))
}

func (c *Core) note(v Verdict) Verdict {
	switch v.Action {
	case Forward:
		c.Stats.Forwarded++
		return v
	case Hold:
		c.Stats.Held++
		return v
	case Refuse:
		c.Stats.Resets++
	}
	c.Counts[v.Code]++
	return v
}

func (c *Core) decide(now time.Time, p *Packet) Verdict {
	c.stepOpening(now)
	r := c.routes.byPlace[p.To]
	key := p.Key()
	hash := key.Hash()
	if p.Has(Open) {
		return c.open(now, p, r, &key, hash)
	}
	if r == nil || (!r.until.IsZero() && now.After(r.until)) {
		return c.ended(p, &key, hash)
	}
	d := c.targets.find(r, p.Cookie)
	if d == nil {
		return Verdict{Code: hscode.FlowUnknownCookie}
	}
	c.follow(now, p, d, &key, hash)
	return Verdict{Action: Forward, To: d.address, Target: d.id, Cookie: p.Cookie}
}

// ended answers a packet of a flow whose route is not in force. Only a flow
// that was seen here is reset: another host may know a route that this one has
// not heard of yet.
func (c *Core) ended(p *Packet, key *hsflow.Key, hash uint64) Verdict {
	f := c.flows.Get(key, hash)
	if f == nil || p.Has(Reset) {
		return Verdict{Code: hscode.FlowNoService}
	}
	c.remove(key, hash, f)
	return Verdict{Action: Refuse, Code: hscode.FlowNoService}
}

func (c *Core) open(now time.Time, p *Packet, r *knownRoute, key *hsflow.Key, hash uint64) Verdict {
	if r == nil || !r.until.IsZero() {
		if c.routes.version == 0 {
			return Verdict{Code: hscode.FlowNoService}
		}
		return Verdict{Action: Refuse, Code: hscode.FlowNoService}
	}
	if f := c.flows.Get(key, hash); f != nil && !f.closed {
		if d := c.targets.byID[f.target]; d != nil && r.had(d.service) {
			c.Stats.Copies++
			f.seen = now
			c.count(f)
			return Verdict{Action: Forward, To: d.address, Target: d.id, Cookie: d.cookie}
		}
	}
	if len(c.targets.byID) == 0 {
		return Verdict{Code: hscode.FlowNoTarget}
	}
	h := held{packet: *p, key: *key, hash: hash, service: r.service(hash)}
	return c.admit(now, r, &h)
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) {
	c.stepOpening(now)
	c.place.Tick(now)
	c.expire(now)
	c.learnRate(now)
	if now.Sub(c.swept) >= sweepInterval {
		c.swept = now
		c.sweep(now)
	}
}
