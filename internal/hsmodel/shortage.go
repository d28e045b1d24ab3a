package hsmodel

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
)

type (
	// Shortage describes the load of several routes on one service, and
	// failures, in a large deployment. A host gets a peer's report only every
	// few seconds, as in hsdirect.
	Shortage struct {
		Routes []RouteLoad
		// True if hosts limit their requests in progress.
		LimitRequests bool
		// Number of hosts that each host is told; 0 if it is unknown.
		HostCount int
		// Share of the callers of each zone, and ratio between the callers of
		// two neighboring hosts of a zone; nil and 0 for equal shares.
		ZoneShares []float64
		HostRatio  float64
		// Number of hosts that restart, spread over the burst, each with an
		// outage of restartDuration.
		Restarts int
	}

	// RouteLoad is the load of one route.
	RouteLoad struct {
		Name     string
		Priority int
		// Requests a second, and factor by which the rate is higher in the
		// burst.
		Rate        float64
		BurstFactor float64
		// Share of the requests that are sent on kept flows.
		KeptShare        float64
		LatencyObjective time.Duration
	}

	// Phase is a part of the run, by the time at which a request is sent.
	Phase int

	// Cell counts the outcomes of the requests of one route that callers of one
	// zone sent in one phase. Refused and Rejected are those whose last attempt
	// was refused by a host and rejected by a target.
	Cell struct {
		Asked    int
		InAim    int
		Late     int
		Refused  int
		Rejected int
		Failed   int
	}

	// ShortageResult is the result of a run with a Shortage.
	ShortageResult struct {
		Result
		// By phase, route and zone.
		Cells [phases][][]Cell
		// Number of attempts that hosts refused, that targets rejected, and
		// that targets ran.
		Refusals   int
		Rejections int
		Runs       int
		// Sum of the times between opening packet and refusal by a host.
		RefusalWait time.Duration
	}
)

// Values of Phase.
const (
	Before Phase = iota
	InBurst
	// Recovery is the first recoveryTime after the burst.
	Recovery
	After
	phases
)

const (
	// recoveryTime is the time within which the service has to recover.
	recoveryTime = time.Second
	// restartDuration is the time for which a restarting host does not run.
	restartDuration = 300 * time.Millisecond
	// routeStream is the first of the routes' streams of random numbers, beyond
	// those of the hosts.
	routeStream = 1 << 20
	// zoneRecipients, remoteRecipients and reportedLoads are the limits of
	// reports in hsdirect, which sends to other zones every remoteEvery-th
	// time.
	zoneRecipients   = 3
	remoteRecipients = 4
	remoteEvery      = 5
	reportedLoads    = 12
)

// ShortageConfig returns the configuration of a deployment with 77 hosts and 80
// targets in two of three zones, since one zone is evacuated. One of its three
// routes has 14 times its load for 3 s.
func ShortageConfig(seed uint64, learn bool) Config {
	return Config{
		Seed: seed, Policy: ProductPolicy,
		Hosts: []int{26, 26, 25}, Targets: []int{40, 40, 0},
		Slots: 2, QueueLimit: 8, MeanWorkTime: 50 * time.Millisecond,
		Duration: 13 * time.Second, BurstDuration: 3 * time.Second,
		ReportInterval:   200 * time.Millisecond,
		LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, Retries: 2,
		KeptFlows: 150,
		Shortage: &Shortage{
			LimitRequests: learn, HostCount: 77,
			Routes: []RouteLoad{
				{Name: "purchase", Priority: 1, Rate: 300, BurstFactor: 1, LatencyObjective: 500 * time.Millisecond},
				{Name: "search", Priority: 2, Rate: 400, BurstFactor: 14, LatencyObjective: 500 * time.Millisecond},
				{Name: "status", Priority: 2, Rate: 500, BurstFactor: 1, LatencyObjective: 500 * time.Millisecond},
			},
		},
	}
}

// SteadyConfig returns the deployment of ShortageConfig under a load of all
// routes that is the given multiple of the targets' capacity for 3 s, and at
// most half of the capacity before and after.
func SteadyConfig(seed uint64, learn bool, load float64) Config {
	cfg := ShortageConfig(seed, learn)
	cfg.Duration = 12 * time.Second
	cfg.BurstDuration = 3 * time.Second
	calm := min(load, 0.5)
	scale := calm * cfg.capacity() / 1200
	for i := range cfg.Shortage.Routes {
		cfg.Shortage.Routes[i].Rate *= scale
		cfg.Shortage.Routes[i].BurstFactor = load / calm
	}
	return cfg
}

// capacity returns the requests a second that the targets can serve.
func (c Config) capacity() float64 {
	n := 0
	for _, targets := range c.Targets {
		n += targets
	}
	return float64(n*c.Slots) / c.MeanWorkTime.Seconds()
}

// SimulateShortage runs a simulation of a configuration with a Shortage.
func SimulateShortage(cfg Config) ShortageResult {
	sim := newSimulation(cfg)
	sim.shortage = &ShortageResult{}
	for p := range sim.shortage.Cells {
		for range cfg.Shortage.Routes {
			sim.shortage.Cells[p] = append(sim.shortage.Cells[p], make([]Cell, len(cfg.Hosts)))
		}
	}
	for i := range cfg.Shortage.Routes {
		// Runs with the same seed have the same callers, whatever happens to
		// their requests.
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(routeStream+i)))
		sim.schedule(0, func() { sim.startRouteRequest(i, rng) })
	}
	for i := range cfg.Shortage.Restarts {
		h := sim.hosts[i*len(sim.hosts)/cfg.Shortage.Restarts]
		at := (cfg.Duration-cfg.BurstDuration)/2 + time.Duration(i+1)*cfg.BurstDuration/time.Duration(cfg.Shortage.Restarts+1)
		sim.schedule(at, h.stop)
		sim.schedule(at+restartDuration, h.start)
	}
	sim.run()
	r := *sim.shortage
	r.Result = sim.summarize()
	for _, t := range sim.targets {
		r.Runs += t.served
	}
	return r
}

// Sum adds up the cells of a phase and route over the zones; -1 stands for all
// phases or routes.
func (r *ShortageResult) Sum(phase Phase, route int) Cell {
	var sum Cell
	for p := range r.Cells {
		for i := range r.Cells[p] {
			if (phase >= 0 && Phase(p) != phase) || (route >= 0 && i != route) {
				continue
			}
			for _, c := range r.Cells[p][i] {
				sum.add(c)
			}
		}
	}
	return sum
}

func (c *Cell) add(o Cell) {
	c.Asked += o.Asked
	c.InAim += o.InAim
	c.Late += o.Late
	c.Refused += o.Refused
	c.Rejected += o.Rejected
	c.Failed += o.Failed
}

// InTime returns the fraction of requests that were answered within the
// objective.
func (c Cell) InTime() float64 { return float64(c.InAim) / float64(max(c.Asked, 1)) }

// startRouteRequest creates the caller of a request of a route and schedules the
// route's next request.
func (sim *simulation) startRouteRequest(route int, rng *rand.Rand) {
	if sim.now >= sim.cfg.Duration {
		return
	}
	load := &sim.cfg.Shortage.Routes[route]
	c := &caller{
		sim: sim, route: route, sent: sim.now, attemptsLeft: sim.cfg.Retries + 1,
		zone: sim.drawZone(rng), kept: rng.Float64() < load.KeptShare,
	}
	c.workTime = time.Duration(float64(sim.cfg.MeanWorkTime) * math.Exp(workSigma*rng.NormFloat64()-workSigma*workSigma/2))
	sim.result.Asked++
	sim.windows[sim.now/windowLength].sent++
	c.cell().Asked++
	c.startAttempt()
	rate := load.Rate
	if sim.inBurst() {
		rate *= load.BurstFactor
	}
	sim.schedule(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() { sim.startRouteRequest(route, rng) })
}

func (sim *simulation) drawZone(rng *rand.Rand) int {
	shares := sim.cfg.Shortage.ZoneShares
	if shares == nil {
		return rng.IntN(len(sim.hostsByZone))
	}
	x := rng.Float64()
	for z, s := range shares[:len(shares)-1] {
		if x < s {
			return z
		}
		x -= s
	}
	return len(shares) - 1
}

// drawHost returns the host to which the routers send a new flow of a zone's
// callers.
func (sim *simulation) drawHost(zone int) *host {
	hosts := sim.hostsByZone[zone]
	i := sim.rng.IntN(len(hosts))
	if sim.cfg.Shortage == nil {
		return hosts[i]
	}
	// Every other host of a zone has HostRatio times the callers.
	if ratio := sim.cfg.Shortage.HostRatio; ratio > 1 && i%2 == 1 && sim.rng.Float64() < (ratio-1)/(ratio+1) {
		i--
	}
	for range hosts {
		if hosts[i].running {
			break
		}
		i = (i + 1) % len(hosts)
	}
	return hosts[i]
}

// objective returns the latency objective of the caller's route.
func (c *caller) objective() time.Duration {
	if s := c.sim.cfg.Shortage; s != nil {
		return s.Routes[c.route].LatencyObjective
	}
	return c.sim.cfg.LatencyObjective
}

// cell returns the counts for the caller's request. It is a cell of no result if
// the run has no Shortage.
func (c *caller) cell() *Cell {
	sim := c.sim
	if sim.shortage == nil {
		return &Cell{}
	}
	end := (sim.cfg.Duration + sim.cfg.BurstDuration) / 2
	phase := InBurst
	switch {
	case c.sent < end-sim.cfg.BurstDuration:
		phase = Before
	case c.sent >= end+recoveryTime:
		phase = After
	case c.sent >= end:
		phase = Recovery
	}
	return &sim.shortage.Cells[phase][c.route][c.zone]
}

// pool returns the index of the caller's kept flows, by zone and route.
func (c *caller) pool() int { return c.route*len(c.sim.cfg.Hosts) + c.zone }

// rejected handles the arrival of a target's rejection at the caller of a run
// with a Shortage: the rejection is acknowledged like an answer.
func (a *attempt) rejected() {
	if s := a.c.sim.shortage; s != nil {
		s.Rejections++
		a.ack += rejectionSize
		a.c.lastRejected = true
	}
}

// refused counts the refusal of an attempt by a host.
func (a *attempt) refused() {
	if s := a.c.sim.shortage; s != nil && !a.ended && !a.c.done {
		s.Refusals++
		s.RefusalWait += a.c.sim.now - a.begun
		a.c.lastRejected = false
	}
}

// routeAddr returns the address of a route.
func routeAddr(route int) netip.AddrPort {
	addr := serviceAddr.Addr().As4()
	addr[3] += byte(route)
	return netip.AddrPortFrom(netip.AddrFrom4(addr), serviceAddr.Port())
}

// configuration returns the routes that the hosts are configured with.
func (sim *simulation) configuration() *hsfeed.Configuration {
	loads := []RouteLoad{{LatencyObjective: sim.cfg.LatencyObjective}}
	if sim.cfg.Shortage != nil {
		loads = sim.cfg.Shortage.Routes
	}
	cfg := &hsfeed.Configuration{Version: 1, Services: sim.cfg.Cold.services()}
	for i, l := range loads {
		cfg.Routes = append(cfg.Routes, hsfeed.Route{
			Address: routeAddr(i), Shares: []hsfeed.Share{{Service: "desk", Weight: 1}},
			LatencyObjective: l.LatencyObjective, Timeout: sim.cfg.Deadline, Priority: l.Priority,
		})
	}
	return cfg
}

// reportInTurn sends the host's report to the peers whose turn it is.
func (h *host) reportInTurn(now time.Time, loads []hsplace.Load) {
	slices.SortFunc(loads, func(a, b hsplace.Load) int {
		return cmp.Or(cmp.Compare(float64(b.Requests)+b.Expected, float64(a.Requests)+a.Expected), cmp.Compare(a.Target, b.Target))
	})
	loads = loads[:min(len(loads), reportedLoads)]
	h.reports++
	for zone, peers := range h.sim.hostsByZone {
		n := zoneRecipients
		if zone != h.zone {
			if h.reports%remoteEvery != 0 {
				continue
			}
			n = remoteRecipients / 2
		}
		for i := range n {
			if other := peers[(h.index+h.reports*n+i)%len(peers)]; other != h && other.running {
				other.core.ApplyReport(now, strconv.Itoa(h.index), loads)
			}
		}
	}
}
