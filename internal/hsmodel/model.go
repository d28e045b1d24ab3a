// Package hsmodel simulates some seconds of load to compare policies that place
// new flows, in simulated time and without sockets, and counts the outcomes of
// callers' requests. Entry hosts run the real core of direct server return (DSR)
// or a simpler policy; each sees its own packets and what the others report.
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
		Slots int
		Queue int
		// Mean time that a request occupies a slot.
		Work time.Duration
		// Requests a second, evenly over the zones.
		Rate float64
		// Length of the load, factor by which the rate is higher during the burst
		// in its middle, and length of the burst.
		Length time.Duration
		Burst  float64
		For    time.Duration
		// Number of targets that are unresponsive during the burst.
		Dark int
		// Length of an outage of all hosts in the middle of the load, 0 for none,
		// and the time within which they then start, without state.
		Outage time.Duration
		Start  time.Duration
		// Time between two reports of a host to the others; 0 for no reports.
		Report time.Duration
		// Latency objective, and time after which a caller abandons its request.
		Aim      time.Duration
		Deadline time.Duration
		// Attempts after the first one.
		Retries int
	}

	// Result counts the outcomes of requests. Its fields are written out as JSON
	// under their own names.
	Result struct {
		Policy  string
		Asked   int
		InAim   int
		Late    int
		Refused int
		Failed  int
		// Share of requests answered within the latency objective, of those sent
		// in the worst two seconds.
		Worst float64
		// Ratio of the maximum to the mean of requests that a target ran.
		Imbalance float64
	}

	// event is something that happens at a time.
	event struct {
		at  time.Duration
		seq int
		do  func()
	}

	events []event

	// world is the state of one simulation.
	world struct {
		cfg     Config
		rng     *rand.Rand
		now     time.Duration
		seq     int
		queue   events
		zones   [][]*host
		hosts   []*host
		targets []*server
		port    uint16
		windows []window
		result  Result
	}

	// window counts the requests that callers sent in one windowTime, and those
	// of them that were answered within the latency objective.
	window struct {
		asked int
		inAim int
	}
)

const (
	// oneWay is the delay of a packet between any two of callers, hosts and
	// targets.
	oneWay = time.Millisecond
	// windowTime is the length of the windows of which Result.Worst is the worst.
	windowTime = 2 * time.Second
	// workSpread is the standard deviation of the logarithm of a request's work.
	workSpread = 0.5
	// tickTime is the time between two ticks of a host.
	tickTime = 50 * time.Millisecond
	// startSpread is the time within which hosts start after an outage, as in
	// rehearsed incidents.
	startSpread = 400 * time.Millisecond
	// warmUp is the time for which hosts have been running at the first request.
	warmUp = 10 * time.Second
)

// RaceDesk returns the configuration of a check-in service with six hosts in
// three zones, under its usual load, which for a third of the time is burst times
// as high.
func RaceDesk(seed uint64, burst float64, p Policy) Config {
	return Config{
		Seed: seed, Policy: p,
		Hosts: []int{2, 3, 1}, Targets: []int{5, 5, 4},
		Slots: 3, Queue: 12, Work: 59 * time.Millisecond,
		Rate: 375, Length: 18 * time.Second, Burst: burst, For: 6 * time.Second,
		Report: 200 * time.Millisecond,
		Aim:    250 * time.Millisecond, Deadline: 1500 * time.Millisecond, Retries: 2,
	}
}

// WithOutage returns the configuration with an outage of all hosts in the middle
// of the load.
func (c Config) WithOutage(d time.Duration) Config {
	c.Outage = d
	c.Start = startSpread
	return c
}

// Play runs a simulation.
func Play(cfg Config) Result {
	w := &world{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		windows: make([]window, int(cfg.Length/windowTime)+1),
		result:  Result{Policy: cfg.Policy.Name},
	}
	w.build()
	w.stopHosts()
	w.at(0, w.arrive)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event) //nolint:forcetypeassert // the heap holds events only
		w.now = e.at
		e.do()
	}
	return w.sum()
}

func (w *world) build() {
	for zone, n := range w.cfg.Targets {
		for range n {
			w.targets = append(w.targets, &server{w: w, id: len(w.targets) + 1, zone: zone})
		}
	}
	for i := range w.cfg.Dark {
		w.targets[i*len(w.targets)/max(w.cfg.Dark, 1)].dark = true
	}
	for zone, n := range w.cfg.Hosts {
		var list []*host
		for range n {
			h := newHost(w, len(w.hosts), zone)
			list = append(list, h)
			w.hosts = append(w.hosts, h)
		}
		w.zones = append(w.zones, list)
	}
	for _, h := range w.hosts {
		w.at(0, h.tick)
		if w.cfg.Report > 0 {
			w.at(time.Duration(h.n)*time.Millisecond, h.report)
		}
	}
}

// stopHosts schedules the outage of all hosts.
func (w *world) stopHosts() {
	if w.cfg.Outage == 0 {
		return
	}
	begin := (w.cfg.Length - w.cfg.Outage) / 2
	for _, h := range w.hosts {
		w.at(begin, h.stop)
		w.at(begin+w.cfg.Outage+time.Duration(w.rng.Int64N(int64(w.cfg.Start))), h.start)
	}
}

// arrive creates the caller of a request and schedules the next one.
func (w *world) arrive() {
	if w.now >= w.cfg.Length {
		return
	}
	c := &caller{w: w, zone: w.rng.IntN(len(w.zones)), sent: w.now, tries: w.cfg.Retries + 1}
	c.work = time.Duration(float64(w.cfg.Work) * math.Exp(workSpread*w.rng.NormFloat64()-workSpread*workSpread/2))
	w.result.Asked++
	w.windows[w.now/windowTime].asked++
	c.try()
	rate := w.cfg.Rate
	if w.bursting() {
		rate *= w.cfg.Burst
	}
	w.at(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), w.arrive)
}

// bursting reports whether the burst is under way.
func (w *world) bursting() bool {
	begin := (w.cfg.Length - w.cfg.For) / 2
	return w.now >= begin && w.now < begin+w.cfg.For
}

// running reports whether a request may still be unfinished.
func (w *world) running() bool { return w.now < w.cfg.Length+w.cfg.Deadline }

// at schedules an event.
func (w *world) at(after time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + after, seq: w.seq, do: do})
}

func (w *world) sum() Result {
	r := w.result
	r.Worst = 1
	for _, win := range w.windows {
		if win.asked > 0 {
			r.Worst = min(r.Worst, float64(win.inAim)/float64(win.asked))
		}
	}
	most, total := 0, 0
	for _, s := range w.targets {
		most = max(most, s.ran)
		total += s.ran
	}
	r.Imbalance = float64(most*len(w.targets)) / float64(max(total, 1))
	return r
}

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // only events are pushed

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return out
}
