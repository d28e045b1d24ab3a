package hsbudget

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type (
	// exploration runs the shares of several hosts in simulated time, with hosts
	// that start and die, zones and groups of hosts that are cut off from each
	// other, and clocks that are wrong.
	exploration struct {
		rng  *rand.Rand
		now  time.Duration
		opts exploredOptions
		// Hosts that have run, dead ones included.
		hosts []*exploredHost
		// Availability zones that have targets.
		zones []string
		// Time until which the groups of hosts are cut off from each other.
		cutUntil time.Duration
		// Times of the flows that each target got in the last second, and the
		// largest number.
		placed [len(exploredRates)][]time.Duration
		worst  [len(exploredRates)]int
		total  [len(exploredRates)]int
		// First violation found; empty if none.
		violation string
	}

	exploredOptions struct {
		// The seeded fault: only the members that a host hears of now count, and
		// it assumes no others.
		asHeard bool
		// Size in hosts; 0 for a random one.
		hosts int
		// True if nothing is disturbed.
		calm bool
	}

	exploredHost struct {
		name    string
		zone    int
		group   int
		running bool
		// Difference between the host's clock and the simulated time.
		offset     time.Duration
		members    *Members
		share      *Share
		allowances [len(exploredRates)]*Allowance
		// Other hosts that it has heard of, and those of them that answer now.
		known []*exploredHost
		alive map[string]*exploredHost
	}
)

const (
	// Bound of the rule, as in the settings of the deployment.
	exploredOverage = 1.5
	exploredSlack   = 5
	exploredTime    = 20 * time.Second
	exploredStep    = 10 * time.Millisecond
	maxExplored     = 300
	// exploredSeedHosts is the number of hosts that all hosts know from the start.
	exploredSeedHosts = 3
	// wrongClocks is the part of the hosts whose clocks may be wrong by up to
	// maxClockError at a time; those of the others differ by maxClockSkew.
	wrongClocks   = 10
	maxClockError = 5 * time.Second
	maxClockSkew  = 20 * time.Millisecond
)

var (
	exploredRates = [...]float64{0.5, 1, 5, 50}
	exploredSeeds = flag.Int("budgetseeds", 200, "seeds of the exploration of shares")
	exploredZones = []string{"a", "b", "c"}
	exploredEpoch = time.Unix(1_700_000_000, 0)
)

func newExploration(seed uint64, opts exploredOptions) *exploration {
	e := &exploration{rng: rand.New(rand.NewPCG(seed, 7)), opts: opts}
	n := opts.hosts
	if n == 0 {
		n = int(math.Exp(e.rng.Float64() * math.Log(maxExplored+1)))
	}
	e.zones = exploredZones[:min(n, len(exploredZones))]
	together := e.rng.IntN(3) == 0
	for range n {
		e.add()
	}
	if together && !opts.calm {
		return e
	}
	// The hosts have run for minutes and know each other.
	past := e.memberClock().Add(-time.Minute)
	for _, h := range e.hosts {
		for _, other := range e.hosts {
			e.meet(h, other)
		}
	}
	for _, h := range e.hosts {
		h.members.started, h.members.grownAt, h.members.growthBase, h.members.complete = past, past, n, true
	}
	return e
}

func (e *exploration) add() {
	h := &exploredHost{name: fmt.Sprintf("host%d", len(e.hosts)), zone: len(e.hosts) % max(len(e.zones), 1)}
	e.hosts = append(e.hosts, h)
	h.offset = time.Duration(e.rng.Int64N(int64(2*maxClockSkew))) - maxClockSkew
	e.start(h)
}

// start starts the process of a host, without state.
func (e *exploration) start(h *exploredHost) {
	h.running = true
	h.members = NewMembers(e.memberClock(), h.name, exploredZones[h.zone])
	for i := range min(exploredSeedHosts, len(e.hosts)) {
		h.members.AddSeed(e.hosts[i].name)
	}
	h.share = NewShare(h.name)
	h.known, h.alive = nil, map[string]*exploredHost{}
	for i, rate := range exploredRates {
		h.allowances[i] = NewAllowance(uint64(i)+1, rate)
	}
	e.update(h)
}

func (e *exploration) clock(h *exploredHost) time.Time { return exploredEpoch.Add(e.now + h.offset) }

// memberClock is the time that differences are taken of: a clock with a
// monotonic reading, whatever the time of day.
func (e *exploration) memberClock() time.Time { return exploredEpoch.Add(e.now) }

func (e *exploration) connected(a, b *exploredHost) bool {
	return e.now >= e.cutUntil || a.group == b.group
}

// meet lets a host hear of another one, which answers.
func (e *exploration) meet(h, other *exploredHost) {
	if other == h || !other.running || !e.connected(h, other) {
		return
	}
	if h.alive[other.name] == nil {
		h.alive[other.name] = other
		h.known = append(h.known, other)
	}
	h.members.Hear(e.memberClock(), other.name, exploredZones[other.zone])
	h.members.HearCount(e.memberClock(), uint32(other.members.Own()))
}

// gossip exchanges messages between a host and one that it knows, or a seed, and
// lets it hear of some members of that one.
func (e *exploration) gossip(h *exploredHost) {
	other := e.hosts[e.rng.IntN(min(exploredSeedHosts, len(e.hosts)))]
	if len(h.known) > 0 && e.rng.IntN(4) > 0 {
		other = h.known[e.rng.IntN(len(h.known))]
	}
	if other == h || !other.running || !e.connected(h, other) {
		delete(h.alive, other.name)
		return
	}
	e.meet(h, other)
	e.meet(other, h)
	for range min(6, len(other.known)) {
		e.meet(h, other.known[e.rng.IntN(len(other.known))])
	}
}

func (e *exploration) update(h *exploredHost) {
	h.members.SetAlive(len(h.alive))
	v, changed := h.members.Update(e.memberClock(), e.zones)
	if e.opts.asHeard {
		v = View{Count: 1}
		for name := range h.alive {
			v.Names = append(v.Names, name)
		}
		h.share.Set(v.Names, len(v.Names)+1)
		return
	}
	if changed {
		h.share.Set(v.Names, v.Count)
	}
}

func (e *exploration) disturb() {
	h := e.hosts[e.rng.IntN(len(e.hosts))]
	switch e.rng.IntN(6) {
	case 0:
		groups := 2 + e.rng.IntN(2)
		byZone := e.rng.IntN(2) == 0
		for _, h := range e.hosts {
			h.group = e.rng.IntN(groups)
			if byZone {
				h.group = h.zone
			}
		}
		e.cutUntil = e.now + time.Duration(e.rng.Int64N(int64(10*time.Second)))
	case 1:
		e.cutUntil = 0
	case 2:
		for range 1 + e.rng.IntN(max(len(e.hosts)/4, 1)) {
			e.hosts[e.rng.IntN(len(e.hosts))].running = false
		}
	case 3:
		for _, h := range e.hosts {
			if !h.running {
				e.start(h)
			}
		}
	case 4:
		for range 1 + e.rng.IntN(max(len(e.hosts)/8, 1)) {
			if len(e.hosts) < maxExplored {
				e.add()
			}
		}
	case 5:
		if e.now > 15*time.Second && e.rng.IntN(4) == 0 {
			for _, h := range e.hosts {
				e.start(h)
			}
			return
		}
		wrong := 0
		for _, h := range e.hosts {
			if h.offset.Abs() > maxClockSkew {
				wrong++
			}
		}
		if wrong < (len(e.hosts)+wrongClocks-1)/wrongClocks || h.offset.Abs() > maxClockSkew {
			h.offset = time.Duration(e.rng.Int64N(int64(2*maxClockError))) - maxClockError
		}
	}
}

// run runs the exploration under demand that uses every allowance, at once or
// after some time.
func (e *exploration) run() string {
	demand := 1 + e.rng.IntN(8)
	if e.opts.calm {
		demand = 1
	}
	next := time.Duration(0)
	for e.now = 0; e.now < exploredTime && e.violation == ""; e.now += exploredStep {
		if e.now%(100*time.Millisecond) == 0 {
			for _, h := range e.hosts {
				if h.running {
					e.gossip(h)
					e.update(h)
				}
			}
		}
		if e.now >= next && !e.opts.calm {
			next = e.now + time.Duration(e.rng.Int64N(int64(2*time.Second)))
			e.disturb()
		}
		for _, h := range e.hosts {
			if h.running && e.rng.IntN(demand) == 0 {
				e.place(h)
			}
		}
	}
	return e.violation
}

func (e *exploration) place(h *exploredHost) {
	now := e.clock(h)
	for i, a := range h.allowances {
		for a.Allows(now, h.share) {
			a.Use(now)
			e.record(i)
		}
	}
}

// record records a flow that is placed on a target now.
func (e *exploration) record(i int) {
	e.placed[i] = append(e.placed[i], e.now)
	for e.placed[i][0] <= e.now-time.Second {
		e.placed[i] = e.placed[i][1:]
	}
	list := e.placed[i]
	e.total[i]++
	e.worst[i] = max(e.worst[i], len(list))
	if bound := exploredRates[i]*exploredOverage + exploredSlack; float64(len(list)) > bound && e.violation == "" {
		e.violation = fmt.Sprintf("rate %g: %d flows in the second before %v, bound %g, %d hosts", exploredRates[i], len(list), e.now, bound, len(e.hosts))
	}
}

// TestExploredShares guards against more flows on a target in warm-up than its
// bound allows, in any second, over all hosts: while hosts start together, die,
// are added or cut off from each other, and some clocks are wrong by seconds.
func TestExploredShares(t *testing.T) {
	const groups = 4
	for group := range groups {
		t.Run(strconv.Itoa(group), func(t *testing.T) {
			t.Parallel()
			var worst [len(exploredRates)]int
			for seed := group; seed < *exploredSeeds; seed += groups {
				e := newExploration(uint64(seed), exploredOptions{})
				assert.Equal(t, e.run(), "", "seed %d", seed)
				for i, n := range e.worst {
					worst[i] = max(worst[i], n)
				}
			}
			t.Logf("flows in the worst second at rates %v: %v", exploredRates, worst)
		})
	}
}

// TestExplorationFindsFault checks that the exploration detects hosts that take
// the shares of those that they do not hear.
func TestExplorationFindsFault(t *testing.T) {
	found := 0
	for seed := range uint64(10) {
		if newExploration(seed, exploredOptions{asHeard: true, hosts: 82}).run() != "" {
			found++
		}
	}
	assert.Assert(t, found > 0)
}

// TestCalmShares checks that hosts that know each other use at least nine tenths
// of a target's rate, and no more than it.
func TestCalmShares(t *testing.T) {
	for _, n := range []int{1, 6, 82, 300} {
		e := newExploration(uint64(n), exploredOptions{calm: true, hosts: n})
		assert.Equal(t, e.run(), "")
		for i, rate := range exploredRates {
			used := float64(e.total[i]) / (rate * exploredTime.Seconds())
			// One slot more than there are in the time, since it need not begin with
			// one.
			assert.Assert(t, used > 0.9 && float64(e.total[i]) <= rate*exploredTime.Seconds()+2, "%d hosts, rate %g: %.2f", n, rate, used)
		}
	}
}
