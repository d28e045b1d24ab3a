package hsmatrix

import (
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hslab"
	"heatherstack.org/heatherstack/internal/hsowner"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

type (
	// Policy is a way to keep connections at their target.
	Policy struct {
		Name string
		// Creates a host's core of the data path; nil means hsowner.New.
		NewCore func(cfg hsowner.Config) Decider
		// True if the previous owner of a target hands over no flows, so that
		// the new owner queries other hosts about each flow.
		NoHandover bool
	}

	// Comparison is the result of one policy. All policies get the same seed,
	// changes and faults.
	Comparison struct {
		Policy string `json:"policy"`
		// Connections that callers opened, and that broke.
		Opened int `json:"opened"`
		Broken int `json:"broken"`
		// Broken connections by event.
		ByEvent  map[string]int `json:"byEvent"`
		Lost     int            `json:"lost"`
		RanTwice int            `json:"doubled"`
		// Ratio of the maximum to the mean of open connections per target, once
		// all callers are connected.
		Imbalance float64 `json:"imbalance"`
		// Packets between entry hosts per packet from the fabric, before the
		// first change.
		HopsPerPacket float64 `json:"hops"`
		// Traffic between entry hosts in bytes per second and host, with tunnel
		// headers, before the first change.
		BytesPerSecond float64 `json:"bytes"`
		// Longest time from a request to its answer in seconds.
		MaxLatency float64 `json:"slowest"`
		// Queries sent, trials made, and flows handed over, by all hosts in the
		// whole run.
		Queries    uint64 `json:"asks"`
		Trials     uint64 `json:"trials"`
		HandedOver uint64 `json:"handed"`
	}

	// hashCore is the baseline: it chooses among the live targets by the flow's
	// hash, with or without a table of the flows that this host has seen.
	hashCore struct {
		view *hsrank.View
		// Nil without a table.
		table map[hsflow.Key]netip.Addr
	}
)

const (
	compareCallers   = 1500
	compareThinkTime = time.Second
	connectTime      = 6 * time.Second
	steadyTime       = 4 * time.Second
	eventInterval    = 8 * time.Second
)

// Policies are the compared policies: choice by hash, choice by hash with a
// flow table, owners without handover, and owners with handover.
var Policies = []Policy{
	{Name: "hash", NewCore: func(cfg hsowner.Config) Decider { return &hashCore{view: cfg.View} }},
	{Name: "table", NewCore: func(cfg hsowner.Config) Decider {
		return &hashCore{view: cfg.View, table: map[hsflow.Key]netip.Addr{}}
	}},
	{Name: "lazy", NoHandover: true},
	{Name: "homes"},
}

// Compare runs one policy through target changes, a rolling replacement of all
// entry hosts, a move to another building, a manifest that hosts get at
// different times, and a crash of two hosts.
func Compare(seed uint64, p Policy) Comparison {
	s := newCompareScenario(seed, p)
	out := Comparison{Policy: p.Name, ByEvent: map[string]int{}}
	s.Net.Run(connectTime)
	out.Imbalance = s.imbalance()
	s.measureForwarding(&out)
	broken := 0
	for _, e := range []struct {
		name string
		run  func()
	}{
		{"targets-join", func() { s.AddTargets(); s.Publish() }},
		{"targets-leave", func() { s.markTargetsLeaving(len(s.Deployment.Targets), 2); s.Publish() }},
		{"hosts-replaced", func() { replaceHosts(s) }},
		{"move", func() { replaceTargets(s); replaceHosts(s) }},
		{"uneven", func() { s.delayManifests(); replaceTargets(s) }},
		{"two-crash", func() { s.crash(s.Owner()); s.crash(s.otherHost()) }},
	} {
		e.run()
		s.Net.Run(eventInterval)
		out.ByEvent[e.name] = s.watchedTally().Broken - broken
		broken = s.watchedTally().Broken
	}
	s.Net.Run(steadyTime)
	t := s.watchedTally()
	_, out.RanTwice, _ = s.Net.Ledger.Totals()
	out.Opened, out.Broken, out.Lost = t.Opened, t.Broken, t.Lost
	for _, h := range s.Net.Hosts {
		if core := h.Core(); core != nil {
			out.Queries += core.Stats.Queries
			out.Trials += core.Stats.Trials
			out.HandedOver += core.Stats.HandoverReceived
		}
	}
	out.MaxLatency = float64(t.Latency.Max()) / float64(time.Second/time.Microsecond)
	return out
}

func newCompareScenario(seed uint64, p Policy) *Scenario {
	s := &Scenario{
		Net:     NewNet(seed),
		Tallies: map[string]*hslab.Tally{watchedName: hslab.NewTally()},
		seed:    seed,
		Deployment: &hslab.Deployment{
			Pools:    []hslab.PoolPlan{{Name: "desk", TargetsPerBuilding: 15, Slots: 3, MaxConnections: 2000}},
			Services: servicePlans()[:1],
		},
	}
	s.Net.NewCore = p.NewCore
	s.Net.NoHandover = p.NoHandover
	s.startFirstBuilding()
	workload := s.Deployment.Services[0].Workload
	workload.ThinkTime = compareThinkTime
	for i := range compareCallers {
		a := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		s.WatchedClient = s.addClient(workload, a, watchedName, time.Duration(i)*2*time.Millisecond)
	}
	return s
}

// measureForwarding measures the traffic between entry hosts while nothing
// changes.
func (s *Scenario) measureForwarding(out *Comparison) {
	fabricPackets, forwarded, forwardedBytes := s.Net.FabricPackets, s.Net.Forwarded, s.Net.ForwardedBytes
	s.Net.Run(steadyTime)
	out.HopsPerPacket = float64(s.Net.Forwarded-forwarded) / float64(s.Net.FabricPackets-fabricPackets)
	out.BytesPerSecond = float64(s.Net.ForwardedBytes-forwardedBytes) / steadyTime.Seconds() / float64(len(s.Net.Hosts))
}

// imbalance returns the ratio of the maximum to the mean of open connections
// per target.
func (s *Scenario) imbalance() float64 {
	largest, total := 0, 0
	for _, t := range s.Deployment.Targets {
		open := s.Net.Servers[t.Address].Connections()
		largest = max(largest, open)
		total += open
	}
	return float64(largest) * float64(len(s.Deployment.Targets)) / float64(max(total, 1))
}

// delayManifests makes manifests reach the hosts at different times.
func (s *Scenario) delayManifests() {
	for i, h := range s.activeHosts() {
		h.ManifestDelay = time.Duration(i) * 150 * time.Millisecond
	}
}

// Step implements Decider.
func (c *hashCore) Step(_ time.Time, in *hsowner.Input, out []hsowner.Output) []hsowner.Output {
	switch in.Kind {
	case hsowner.InView:
		c.view = in.View
	case hsowner.InPacket:
		return c.packet(in.Packet, in.From, out)
	}
	return out
}

func (c *hashCore) packet(p *hspacket.Packet, from netip.Addr, out []hsowner.Output) []hsowner.Output {
	if _, reply := c.view.TargetAt(from); reply {
		return append(out, hsowner.Output{Kind: hsowner.ToCaller})
	}
	key := p.Key()
	s := c.view.Service(key.ServiceKey())
	if s == nil {
		return out
	}
	if to, ok := c.table[key]; ok && !p.Seg.Opens() {
		return append(out, hsowner.Output{Kind: hsowner.ToTarget, Addr: to})
	}
	first := c.view.FirstChoice(s, key.Hash())
	if first < 0 {
		return out
	}
	to := c.view.Targets[first].Address
	if c.table != nil {
		c.table[key] = to
	}
	return append(out, hsowner.Output{Kind: hsowner.ToTarget, Addr: to})
}
