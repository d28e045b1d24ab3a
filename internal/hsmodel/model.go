// Package hsmodel simulates some seconds of load to compare policies that place
// new flows, in simulated time and without sockets, and counts the outcomes of
// callers' requests. Entry hosts run the real core of direct server return
// (DSR) or a simpler policy; each sees its own packets and what the others
// report.
//
// Callers, targets and routers behave as those that hsdirect serves: a caller
// retransmits its opening packet after 200 and 600 ms and abandons the attempt
// after 1.4 s; a target runs a few requests at a time, queues some more and
// refuses the rest.
package hsmodel

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Config describes a simulated load, the deployment under it, and a policy.
	Config struct {
		Seed   uint64
		Policy Policy
		// Hosts and targets per availability zone; same length.
		Hosts   []int
		Targets []int
		// Slots of a target, and requests that it queues beyond them.
		Slots      int
		QueueLimit int
		// Mean time that a request occupies a slot.
		MeanWorkTime time.Duration
		// Requests a second, evenly over the zones.
		Rate float64
		// Time that the load lasts, factor by which the rate is higher during
		// the burst in its middle, and time that the burst lasts.
		Duration      time.Duration
		BurstFactor   float64
		BurstDuration time.Duration
		// Number of targets that are unresponsive during the burst.
		UnresponsiveTargets int
		// Duration of an outage of all hosts in the middle of the load, 0 for
		// none, and the time after it within which they start again, without
		// state.
		OutageDuration time.Duration
		StartSpread    time.Duration
		// Time between two reports of a host to the others; 0 for no reports.
		ReportInterval time.Duration
		// Latency objective of a request, and time after which a caller
		// abandons the request.
		LatencyObjective time.Duration
		Deadline         time.Duration
		// Attempts after the first one.
		Retries int
		// Share of the requests whose callers keep flows open, and number of such
		// flows per zone. A request opens a flow until its zone has that many, and
		// is then sent on an idle one if there is one.
		KeptShare float64
		KeptFlows int
		// Number of targets that are released in the middle of the load, one
		// every second, and replaced by new ones; their kept flows are closed.
		ReleasedTargets int
		// True if the routers change in the middle of the load, which moves all
		// kept flows to other hosts.
		RouterChange bool
		Cold         ColdConfig
		// Several routes in a large deployment, instead of Rate and KeptShare;
		// nil for one route. Used by SimulateShortage.
		Shortage *Shortage
		// Differences in speed of the targets; nil if they are alike.
		Pace *PaceConfig
	}

	// Result counts the outcomes of requests: Asked is the number of requests,
	// InAim and Late are those answered within and after the latency objective,
	// Refused those whose last attempt was refused, and Failed all others. The
	// fields are written out as JSON under their own names.
	Result struct {
		Policy  string
		Asked   int
		InAim   int
		Late    int
		Refused int
		Failed  int
		// Share of requests answered within the latency objective, of those
		// sent in the worst window of two seconds.
		Worst float64
		// Ratio of the maximum to the mean number of requests that a target
		// ran.
		Imbalance float64
		// Opening packets above the bound of their target in warm-up.
		ColdViolations int `json:",omitempty"`
		// Flows on targets in warm-up, as a part of what they take.
		ColdUsed float64 `json:",omitempty"`
	}

	// event is an action that is scheduled for a time; seq orders events of the
	// same time.
	event struct {
		at  time.Duration
		seq int
		do  func()
	}

	eventQueue []event

	// simulation is the state of one run.
	simulation struct {
		cfg         Config
		rng         *rand.Rand
		now         time.Duration
		lastSeq     int
		events      eventQueue
		hostsByZone [][]*host
		hosts       []*host
		targets     []*target
		// Kept flows without a request in progress, by route and zone.
		idleFlows [][]*flow
		// Number of open kept flows by route and zone.
		keptFlows []int
		lastPort  uint16
		windows   []window
		result    Result
		// Nil unless the configuration has a Shortage.
		shortage *ShortageResult
		// Nil unless the targets differ in speed.
		pace *paceState
	}

	// window counts the requests that callers sent in one windowLength, and
	// those of them that were answered within the latency objective.
	window struct {
		sent            int
		withinObjective int
	}
)

const (
	// oneWayDelay is the delay of a packet between any two of callers, hosts
	// and targets.
	oneWayDelay = time.Millisecond
	// windowLength is the length of the windows that Result.Worst compares.
	windowLength = 2 * time.Second
	// workSigma is the standard deviation of the logarithm of a request's work.
	workSigma = 0.5
	// tickInterval is the time between two ticks of a host.
	tickInterval = 50 * time.Millisecond
	// startSpread is the time within which hosts start after an outage, as in
	// incident drills.
	startSpread = 400 * time.Millisecond
	// initialUptime is the time for which hosts have been running at the first
	// request.
	initialUptime = 10 * time.Second
)

// CheckInConfig returns the configuration of a check-in service with six hosts
// in three zones, under its usual load, which is burst times as high in the
// middle third of the run.
func CheckInConfig(seed uint64, burst float64, p Policy) Config {
	return Config{
		Seed: seed, Policy: p,
		Hosts: []int{2, 3, 1}, Targets: []int{5, 5, 4},
		Slots: 3, QueueLimit: 12, MeanWorkTime: 59 * time.Millisecond,
		Rate: 375, Duration: 18 * time.Second, BurstFactor: burst, BurstDuration: 6 * time.Second,
		ReportInterval:   200 * time.Millisecond,
		LatencyObjective: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond, Retries: 2,
	}
}

// KeptFlowsConfig returns the configuration of a service at half of its targets'
// capacity that gets most of its requests over flows that callers keep open, and
// the others on a flow each. Targets are released and the routers change in the
// middle of the run.
func KeptFlowsConfig(seed uint64, burst float64, p Policy) Config {
	cfg := CheckInConfig(seed, burst, p)
	cfg.Slots = 2
	cfg.MeanWorkTime = 30 * time.Millisecond
	cfg.LatencyObjective = 150 * time.Millisecond
	cfg.Deadline = 2500 * time.Millisecond
	cfg.Rate = 470
	cfg.KeptShare = 0.7
	cfg.KeptFlows = 100
	cfg.ReleasedTargets = 5
	cfg.RouterChange = true
	return cfg
}

// WithOutage returns the configuration with an outage of all hosts for the time
// d in the middle of the load.
func (c Config) WithOutage(d time.Duration) Config {
	c.OutageDuration = d
	c.StartSpread = startSpread
	return c
}

// Simulate runs a simulation.
func Simulate(cfg Config) Result {
	sim := newSimulation(cfg)
	sim.schedule(0, sim.startRequest)
	sim.run()
	return sim.summarize()
}

func newSimulation(cfg Config) *simulation {
	sim := &simulation{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		windows: make([]window, int(cfg.Duration/windowLength)+1),
		result:  Result{Policy: cfg.Policy.Name},
		pace:    newPaceState(&cfg),
	}
	sim.build()
	sim.scheduleReturn()
	sim.scheduleOutage()
	sim.schedulePlannedWork()
	return sim
}

// run handles all events in order of time.
func (sim *simulation) run() {
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event) //nolint:forcetypeassert // the heap holds events only
		sim.now = e.at
		e.do()
	}
}

func (sim *simulation) build() {
	for zone, n := range sim.cfg.Targets {
		for range n {
			sim.targets = append(sim.targets, &target{sim: sim, id: len(sim.targets) + 1, zone: zone})
		}
	}
	for i := range sim.cfg.UnresponsiveTargets {
		sim.targets[i*len(sim.targets)/max(sim.cfg.UnresponsiveTargets, 1)].unresponsive = true
	}
	pools := len(sim.cfg.Hosts)
	if sim.cfg.Shortage != nil {
		pools *= len(sim.cfg.Shortage.Routes)
	}
	sim.idleFlows = make([][]*flow, pools)
	sim.keptFlows = make([]int, pools)
	for zone, n := range sim.cfg.Hosts {
		var list []*host
		for range n {
			h := newHost(sim, len(sim.hosts), zone)
			list = append(list, h)
			sim.hosts = append(sim.hosts, h)
		}
		sim.hostsByZone = append(sim.hostsByZone, list)
	}
	for _, h := range sim.hosts {
		sim.schedule(0, h.tick)
		if sim.cfg.ReportInterval > 0 {
			sim.schedule(time.Duration(h.index)*time.Millisecond, h.report)
		}
		if sim.pace != nil && sim.pace.Restart > 0 && h.index == 0 {
			sim.schedule(sim.pace.Restart, h.start)
		}
	}
}

// scheduleOutage schedules the outage of all hosts.
func (sim *simulation) scheduleOutage() {
	if sim.cfg.OutageDuration == 0 {
		return
	}
	begin := (sim.cfg.Duration - sim.cfg.OutageDuration) / 2
	for _, h := range sim.hosts {
		sim.schedule(begin, h.stop)
		sim.schedule(begin+sim.cfg.OutageDuration+time.Duration(sim.rng.Int64N(int64(sim.cfg.StartSpread))), h.start)
	}
}

// schedulePlannedWork schedules the release of targets and the change of the
// routers.
func (sim *simulation) schedulePlannedWork() {
	middle := sim.cfg.Duration / 2
	for i := range sim.cfg.ReleasedTargets {
		sim.schedule(middle+time.Duration(i)*time.Second, func() { sim.release(sim.targets[i]) })
	}
	if sim.cfg.RouterChange {
		sim.schedule(middle, sim.changeRouters)
	}
}

// release replaces a target by a new one in the same zone.
func (sim *simulation) release(old *target) {
	old.left = true
	sim.targets = append(sim.targets, &target{sim: sim, id: len(sim.targets) + 1, zone: old.zone})
	for _, h := range sim.hosts {
		h.targetsChanged()
	}
}

// changeRouters moves all idle kept flows to hosts chosen at random.
func (sim *simulation) changeRouters() {
	for i, flows := range sim.idleFlows {
		zone := i % len(sim.hostsByZone)
		for _, f := range flows {
			f.host = sim.hostsByZone[zone][sim.rng.IntN(len(sim.hostsByZone[zone]))]
		}
	}
}

// startRequest creates the caller of a request and schedules the next request.
func (sim *simulation) startRequest() {
	if sim.now >= sim.cfg.Duration {
		return
	}
	c := &caller{sim: sim, zone: sim.rng.IntN(len(sim.hostsByZone)), sent: sim.now, attemptsLeft: sim.cfg.Retries + 1}
	c.kept = sim.cfg.KeptShare > 0 && sim.rng.Float64() < sim.cfg.KeptShare
	c.workTime = time.Duration(float64(sim.cfg.MeanWorkTime) * math.Exp(workSigma*sim.rng.NormFloat64()-workSigma*workSigma/2))
	sim.result.Asked++
	sim.pace.sent(sim.now)
	sim.windows[sim.now/windowLength].sent++
	c.startAttempt()
	rate := sim.cfg.Rate
	if sim.inBurst() {
		rate *= sim.cfg.BurstFactor
	}
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), sim.startRequest)
}

// inBurst reports whether the burst is under way.
func (sim *simulation) inBurst() bool {
	begin := (sim.cfg.Duration - sim.cfg.BurstDuration) / 2
	return sim.now >= begin && sim.now < begin+sim.cfg.BurstDuration
}

// active reports whether a request may still be unfinished.
func (sim *simulation) active() bool { return sim.now < sim.cfg.Duration+sim.cfg.Deadline }

// schedule schedules do to run after the given delay.
func (sim *simulation) schedule(after time.Duration, do func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{at: sim.now + after, seq: sim.lastSeq, do: do})
}

func (sim *simulation) summarize() Result {
	r := sim.result
	r.Worst = 1
	for _, win := range sim.windows {
		if win.sent > 0 {
			r.Worst = min(r.Worst, float64(win.withinObjective)/float64(win.sent))
		}
	}
	maximum, total := 0, 0
	for _, t := range sim.targets {
		maximum = max(maximum, t.served)
		total += t.served
	}
	sim.summarizeCold(&r)
	r.Imbalance = float64(maximum*len(sim.targets)) / float64(max(total, 1))
	return r
}

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // only events are pushed

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return out
}
