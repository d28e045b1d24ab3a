package hsmodel

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"heatherstack.org/heatherstack/internal/hsbudget"
)

type (
	// ShareConfig describes hosts that divide the rate of targets in warm-up while
	// they disagree about their members or the time.
	ShareConfig struct {
		Seed    uint64
		Policy  SharePolicy
		Trouble Trouble
		Hosts   int
		Targets int
		// New flows a second that a target takes, and flows a second that callers
		// open at all hosts together.
		Rate     float64
		Demand   float64
		Duration time.Duration
	}

	// SharePolicy is a way to divide the rate of a target.
	SharePolicy struct {
		Name string
		// new returns what a host may place on a target.
		new func(h *shareHost, target int) allowance
	}

	// Trouble is the reason for which hosts disagree.
	Trouble uint8

	// ShareResult counts flows. Violations is the number of flows above the bound
	// of their target, rate x 1.5 + 5 in any second.
	ShareResult struct {
		Asked      int
		Placed     int
		Refused    int
		Violations int
		// Largest number of flows on a target in a second.
		WorstSecond int
		// Placed flows as a part of what the targets take.
		Used float64
	}

	// allowance is what a host may place on a target. take reports whether a flow
	// may be placed, and records it.
	allowance interface {
		take(now time.Duration) bool
	}

	// shareHost is a host of the model.
	shareHost struct {
		cfg   *ShareConfig
		index int
		// Names of all hosts.
		names []string
		rng   *rand.Rand
		// Error of the host's clock.
		offset     time.Duration
		members    *hsbudget.Members
		share      *hsbudget.Share
		allowances []allowance
	}

	// bucket is a token bucket with a rate that follows the view of its host.
	bucket struct {
		rate   func(now time.Duration) float64
		tokens float64
		since  time.Duration
	}

	// coin accepts flows at random, so that the mean is the host's part.
	coin struct {
		h       *shareHost
		arrived float64
		since   time.Duration
	}

	slots struct {
		h *shareHost
		a *hsbudget.Allowance
	}
)

// Values of Trouble.
const (
	// Calm means that all hosts know each other.
	Calm Trouble = iota
	// Cut means that three zones are cut off from each other from troubleStart on.
	Cut
	// Start means that all hosts start together and learn of each other within
	// troubleStart.
	Start
	// WrongClocks means that the clocks of a tenth of the hosts are wrong by up to
	// maxClockError.
	WrongClocks
)

const (
	troubleStart  = 5 * time.Second
	maxClockError = 5 * time.Second
	// learnInterval is the time between two updates of the members.
	learnInterval = 500 * time.Millisecond
	// assignedHosts is the number of hosts that the policy "assigned" lets place
	// flows on a target.
	assignedHosts = 3
	shareOverage  = 1.5
	shareSlack    = 5
)

// Troubles are the names of the values of Trouble.
var Troubles = [...]string{Calm: "calm", Cut: "cut", Start: "start", WrongClocks: "clocks"}

// SharePolicies are the compared policies; the last one is that of the product.
var SharePolicies = []SharePolicy{
	{Name: "assigned", new: func(h *shareHost, target int) allowance {
		return newBucket(h, func(now time.Duration) float64 {
			n := h.alive(now)
			rank := (h.groupIndex(now) + target*7) % n
			if rank >= assignedHosts {
				return 0
			}
			return h.cfg.Rate / float64(min(assignedHosts, n))
		})
	}},
	{Name: "equal", new: func(h *shareHost, _ int) allowance {
		return newBucket(h, func(now time.Duration) float64 { return h.cfg.Rate / float64(h.alive(now)) })
	}},
	{Name: "largest", new: func(h *shareHost, _ int) allowance {
		return newBucket(h, func(now time.Duration) float64 { return h.cfg.Rate / float64(h.largest(now)) })
	}},
	{Name: "random", new: func(h *shareHost, _ int) allowance { return &coin{h: h} }},
	{Name: "slots", new: func(h *shareHost, target int) allowance {
		return &slots{h: h, a: hsbudget.NewAllowance(uint64(target), h.cfg.Rate)}
	}},
}

// alive returns the number of hosts that the host takes for alive.
func (h *shareHost) alive(now time.Duration) int {
	switch n := h.cfg.Hosts; {
	case h.cfg.Trouble == Cut && now >= troubleStart:
		return max((n+2)/3, 1)
	case h.cfg.Trouble == Start && now < troubleStart:
		return 1 + int(float64(n-1)*now.Seconds()/troubleStart.Seconds())
	default:
		return n
	}
}

// groupIndex returns the place of the host among those that it takes for alive.
func (h *shareHost) groupIndex(now time.Duration) int {
	if h.cfg.Trouble == Cut && now >= troubleStart {
		return h.index / 3
	}
	return h.index % h.alive(now)
}

// largest returns the largest number of hosts that the host has heard of.
func (h *shareHost) largest(now time.Duration) int {
	if h.cfg.Trouble == Start {
		return min(h.alive(now)*2, h.cfg.Hosts)
	}
	return h.cfg.Hosts
}

func newBucket(h *shareHost, rate func(now time.Duration) float64) *bucket {
	return &bucket{rate: rate, tokens: h.rng.Float64()}
}

func (b *bucket) take(now time.Duration) bool {
	b.tokens = min(b.tokens+b.rate(now)*(now-b.since).Seconds(), 1)
	b.since = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (c *coin) take(now time.Duration) bool {
	// Moving average of the arrivals a second.
	const weight = 0.2
	if gap := (now - c.since).Seconds(); gap > 0 {
		c.arrived += weight * (1/gap - c.arrived)
	}
	c.since = now
	return c.h.rng.Float64() < c.h.cfg.Rate/float64(c.h.alive(now))/max(c.arrived, 1e-3)
}

func (s *slots) take(now time.Duration) bool {
	clock := clockTime(now + s.h.offset)
	if !s.a.Allows(clock, s.h.share) {
		return false
	}
	s.a.Use(clock)
	return true
}

// SimulateShares runs a simulation.
func SimulateShares(cfg ShareConfig) ShareResult {
	rng := rand.New(rand.NewPCG(cfg.Seed, 3))
	hosts := make([]*shareHost, cfg.Hosts)
	names := make([]string, cfg.Hosts)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	for i := range hosts {
		h := &shareHost{cfg: &cfg, index: i, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i)+10)), names: names, share: hsbudget.NewShare(names[i])}
		h.members = hsbudget.NewMembers(clockTime(0), names[i], zoneName(i%3))
		if cfg.Trouble == WrongClocks && i%10 == 0 {
			h.offset = time.Duration(rng.Int64N(int64(2*maxClockError))) - maxClockError
		}
		for target := range cfg.Targets {
			h.allowances = append(h.allowances, cfg.Policy.new(h, target))
		}
		hosts[i] = h
	}
	for _, h := range hosts {
		h.learn(-time.Minute)
	}
	var r ShareResult
	placed := make([][]time.Duration, cfg.Targets)
	lastLearn := -time.Second
	for now := time.Duration(0); now < cfg.Duration; now += time.Duration(rng.ExpFloat64() / cfg.Demand * float64(time.Second)) {
		if now-lastLearn >= learnInterval {
			lastLearn = now
			for _, h := range hosts {
				h.learn(now)
			}
		}
		r.Asked++
		target := hosts[rng.IntN(cfg.Hosts)].place(now)
		if target < 0 {
			r.Refused++
			continue
		}
		r.Placed++
		placed[target] = append(placed[target], now)
		for placed[target][0] <= now-time.Second {
			placed[target] = placed[target][1:]
		}
		list := placed[target]
		r.WorstSecond = max(r.WorstSecond, len(list))
		if float64(len(list)) > cfg.Rate*shareOverage+shareSlack {
			r.Violations++
		}
	}
	r.Used = float64(r.Placed) / (cfg.Rate * float64(cfg.Targets) * cfg.Duration.Seconds())
	return r
}

// learn updates the members that the host has heard of: all of them a minute
// before the run, unless the hosts start together.
func (h *shareHost) learn(now time.Duration) {
	n := h.alive(max(now, 0))
	if h.cfg.Trouble == Start && now < 0 {
		n = 1
	}
	step := 1
	if h.cfg.Trouble == Cut && now >= troubleStart {
		step = 3
	}
	if now < 0 && h.cfg.Trouble != Start {
		h.members = hsbudget.NewMembers(clockTime(now), h.names[h.index], zoneName(h.index%3))
	}
	for i := range n {
		other := (h.index + i*step) % h.cfg.Hosts
		h.members.Hear(clockTime(now), h.names[other], zoneName(other%3))
	}
	h.members.SetAlive(n - 1)
	if h.cfg.Trouble == Start {
		h.members.HearCount(clockTime(now), uint32(h.largest(max(now, 0))))
	}
	if v, changed := h.members.Update(clockTime(now), nil); changed {
		h.share.Set(v.Names, v.Count)
	}
}

// place places a flow on the first target that permits it, in random order, and
// returns the target, or -1.
func (h *shareHost) place(now time.Duration) int {
	for _, target := range h.rng.Perm(len(h.allowances)) {
		if h.allowances[target].take(now) {
			return target
		}
	}
	return -1
}

// WriteShareHeader writes the header of a table of share results.
func WriteShareHeader(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-9s %-7s %5s %5s %7s %6s %7s %10s %6s\n",
		"policy", "trouble", "hosts", "rate", "asked", "used", "refused", "violations", "worst")
}

// WriteShareRow writes one result as a row of the table.
func WriteShareRow(w io.Writer, cfg *ShareConfig, r *ShareResult) {
	_, _ = fmt.Fprintf(w, "%-9s %-7s %5d %5g %7d %6.3f %7.3f %10d %6d\n", cfg.Policy.Name, Troubles[cfg.Trouble],
		cfg.Hosts, cfg.Rate, r.Asked, r.Used, float64(r.Refused)/float64(max(r.Asked, 1)), r.Violations, r.WorstSecond)
}
