package hsmatrix

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hslab"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	// Scenario is one test run: a simulated network, two users' services under
	// load, and a watched caller whose connection's progress is recorded.
	Scenario struct {
		Net           *Net
		Deployment    *hslab.Deployment
		WatchedClient *hslab.Client
		Tallies       map[string]*hslab.Tally

		seed          uint64
		lastID        uint64
		buildingCount int
		// True once moveAddress has run.
		addressMoved bool
		// Last bytes of the addresses that were assigned last.
		lastHost   byte
		lastTarget byte
		progress   progress
	}

	// progress is what the watched connection has reached, judged by the
	// packets that targets and its caller received.
	progress struct {
		syn, synAck, requestStarted, requestComplete, answerStarted, fin bool
		// Target that received the connection's last packet.
		target netip.Addr
		// Bytes of data that targets received, retransmissions included.
		received int
	}

	// Step is a step of a connection's life, at which a fault is injected.
	Step struct {
		Name string
		// Runs the scenario until its watched connection reaches the step.
		Advance func(*Scenario)
	}
)

const (
	watchedName           = "focus"
	watchedRequestBytes   = 20000
	watchedAnswerBytes    = 20000
	watchedProcessingTime = 20 * time.Millisecond
	settleTime            = 2 * time.Second
	stepTimeout           = 5 * time.Second
	finishTimeout         = 20 * time.Second
)

var watchedAddr = netip.MustParseAddr("10.9.9.9")

// Steps are the steps of a connection's life, in order.
var Steps = []Step{
	{"before-syn", func(*Scenario) {}},
	{"syn-seen", func(s *Scenario) { s.runUntil(func() bool { return s.progress.syn }) }},
	{"syn-ack-seen", func(s *Scenario) { s.runUntil(func() bool { return s.progress.synAck }) }},
	{"request-half", func(s *Scenario) { s.runUntil(func() bool { return s.progress.requestStarted }) }},
	{"in-work", func(s *Scenario) { s.runUntil(func() bool { return s.progress.requestComplete }) }},
	{"answer-half", func(s *Scenario) { s.runUntil(func() bool { return s.progress.answerStarted }) }},
	{"idle", func(s *Scenario) { s.runUntil(func() bool { return s.watchedTally().Answered > 0 }) }},
	{"closing", func(s *Scenario) {
		s.runUntil(func() bool { return s.watchedTally().Answered > 0 })
		s.WatchedClient.Stop()
		s.runUntil(func() bool { return s.progress.fin })
	}},
}

// NewScenario returns a scenario whose hosts and callers have settled, with the
// watched caller about to connect.
func NewScenario(seed uint64) *Scenario {
	s := &Scenario{
		Net:     NewNet(seed),
		Tallies: map[string]*hslab.Tally{},
		seed:    seed,
		Deployment: &hslab.Deployment{
			Pools: []hslab.PoolPlan{
				{Name: "desk", TargetsPerBuilding: 6, Slots: 3, MaxConnections: 2000},
				{Name: "store", TargetsPerBuilding: 3, Slots: 3, MaxConnections: 2000},
			},
			Services: servicePlans(),
		},
	}
	s.Net.OnDelivery = s.recordProgress
	s.startFirstBuilding()
	s.addClients()
	s.Net.Run(settleTime)
	s.addWatchedClient()
	return s
}

// startFirstBuilding starts the first building's targets and entry hosts and
// waits until the hosts have settled.
func (s *Scenario) startFirstBuilding() {
	s.AddTargets()
	s.AddHosts(6)
	s.Publish()
	s.Net.Run(settleTime)
	s.UpdateFabric()
}

func servicePlans() []hslab.ServicePlan {
	list := []hslab.ServicePlan{
		{
			Workload: hslab.Workload{Name: "checkin", Proto: hsflow.TCP, ServiceAddr: netip.MustParseAddrPort("198.51.100.1:443"), RequestSize: 200, AnswerSize: 3000},
			User:     "race", Pool: "desk", ProcessingTime: 2 * time.Millisecond, Callers: 8,
		},
		{
			Workload: hslab.Workload{Name: "lookup", Proto: hsflow.UDP, ServiceAddr: netip.MustParseAddrPort("[2001:db8::1]:53"), Idempotent: true, RequestSize: 40, AnswerSize: 300},
			User:     "race", Pool: "desk", ProcessingTime: time.Millisecond, Callers: 4,
		},
		{
			Workload: hslab.Workload{Name: "punch", Proto: hsflow.UDP, ServiceAddr: netip.MustParseAddrPort("198.51.100.1:54"), RequestSize: 40, AnswerSize: 40},
			User:     "race", Pool: "desk", ProcessingTime: time.Millisecond, Callers: 4,
		},
		{
			Workload: hslab.Workload{Name: "download", Proto: hsflow.TCP, ServiceAddr: netip.MustParseAddrPort("[2001:db8::2]:443"), Idempotent: true, RequestSize: 100, AnswerSize: 9000, RequestsPerConn: 3},
			User:     "lakeshore", Pool: "store", ProcessingTime: 2 * time.Millisecond, Callers: 6,
		},
	}
	for i := range list {
		list[i].Workload.ServiceNumber = uint32(i + 1)
		list[i].Workload.ThinkTime = 200 * time.Millisecond
	}
	return list
}

// AddTargets adds and starts another building's targets and returns the number
// of targets that existed before.
func (s *Scenario) AddTargets() (before int) {
	before = len(s.Deployment.Targets)
	s.Deployment.AddTargets(s.nextBuilding(), func() netip.Addr {
		s.lastTarget++
		return netip.AddrFrom4([4]byte{127, 0, 1, s.lastTarget})
	})
	for _, t := range s.Deployment.Targets[before:] {
		listeners := s.Deployment.Listeners(t.Pool)
		for i := range listeners {
			if listeners[i].ServiceNumber == 1 {
				listeners[i].ProcessingTime = watchedProcessingTime
			}
		}
		s.Net.AddServer(t.Address, listeners, s.Deployment.Slots(t.Pool))
	}
	return before
}

// nextBuilding returns the name of another building: a, then b, and so on.
func (s *Scenario) nextBuilding() string {
	s.buildingCount++
	return string(rune('a' - 1 + s.buildingCount))
}

// AddHosts adds, starts and returns another building's entry hosts.
func (s *Scenario) AddHosts(count int) []*Host {
	before := len(s.Deployment.Hosts)
	s.Deployment.AddHosts(s.nextBuilding(), count, func() netip.Addr {
		s.lastHost++
		return netip.AddrFrom4([4]byte{127, 0, 0, s.lastHost})
	})
	var out []*Host
	for _, h := range s.Deployment.Hosts[before:] {
		out = append(out, s.Net.AddHost(h.Name, h.Zone, h.Address))
	}
	return out
}

// Publish publishes the next version of the manifest.
func (s *Scenario) Publish() {
	data, err := s.Deployment.Manifest()
	if err != nil {
		panic(err)
	}
	m, faults := hsmanifest.Parse(data)
	if faults != nil {
		panic(faults)
	}
	s.Net.Publish(m)
}

// UpdateFabric makes the fabric send packets to all hosts that are ready and
// not leaving, as its health checks do.
func (s *Scenario) UpdateFabric() {
	s.Net.FabricHosts = nil
	for _, h := range s.Net.Hosts {
		if h.Ready() && !h.leaving {
			s.Net.FabricHosts = append(s.Net.FabricHosts, h)
		}
	}
}

// Owner returns the owner of the target that ranks first for the watched flow,
// or another running host if there is no such flow or its owner is not running.
func (s *Scenario) Owner() *Host {
	fallback := s.Net.Hosts[int(s.seed)%len(s.Net.Hosts)]
	key, ok := s.WatchedClient.Flow()
	for _, h := range s.Net.Hosts {
		if !h.running {
			continue
		}
		if !fallback.running {
			fallback = h
		}
		v := h.control.View()
		if v == nil || !ok {
			continue
		}
		t := v.FirstChoice(v.Service(key.ServiceKey()), key.Hash())
		if owner := v.Targets[t].Owner; owner >= 0 && s.Net.hostByAddr[v.Hosts[owner].Address].running {
			return s.Net.hostByAddr[v.Hosts[owner].Address]
		}
	}
	return fallback
}

// ZoneHosts returns the running hosts in h's zone.
func (s *Scenario) ZoneHosts(h *Host) []*Host {
	var out []*Host
	for _, o := range s.Net.Hosts {
		if o.Zone == h.Zone && o.running {
			out = append(out, o)
		}
	}
	return out
}

// InZone reports whether a is the address of a target or entry host in zone.
func (s *Scenario) InZone(a netip.Addr, zone string) bool {
	for _, m := range s.Deployment.Targets {
		if m.Address == a {
			return m.Zone == zone
		}
	}
	h := s.Net.hostByAddr[a]
	return h != nil && h.Zone == zone
}

// Finish lets all callers finish and returns the failures, or "ok". Requests of
// the watched caller and of checkin may take no longer than latencyLimit.
func (s *Scenario) Finish(latencyLimit time.Duration) string {
	for _, c := range s.Net.Clients {
		c.Stop()
	}
	s.Net.RunUntil(finishTimeout, func() bool {
		for _, c := range s.Net.Clients {
			if !c.Stopped() {
				return false
			}
		}
		return true
	})
	total := hslab.NewTally()
	for _, c := range s.Net.Clients {
		c.DropPending()
	}
	for _, name := range []string{"checkin", "lookup", "punch", "download", watchedName} {
		total.Add(s.Tallies[name])
	}
	return s.verdict(total, latencyLimit)
}

func (s *Scenario) verdict(t *hslab.Tally, latencyLimit time.Duration) string {
	_, ranTwice, misrouted := s.Net.Ledger.Totals()
	var failures []string
	for _, c := range []struct {
		name string
		n    int
	}{
		{"broken", t.Broken},
		{"lost", t.Lost},
		{"cut", t.Truncated},
		{"crossed", t.Mismatched},
		{"doubled", ranTwice},
		{"misrouted", misrouted},
		{"refused-but-run", t.RefusedButRun},
		{"unopened", t.ConnectTimeouts},
	} {
		if c.n > 0 {
			failures = append(failures, fmt.Sprintf("%s %d", c.name, c.n))
		}
	}
	longest := max(s.Tallies["checkin"].Latency.Max(), s.watchedTally().Latency.Max())
	if got := time.Duration(longest) * time.Microsecond; got > latencyLimit {
		failures = append(failures, "slow")
	}
	if s.watchedTally().Answered == 0 {
		failures = append(failures, "unserved")
	}
	if len(failures) == 0 {
		return "ok"
	}
	return strings.Join(failures, ", ")
}

func (s *Scenario) watchedTally() *hslab.Tally {
	return s.Tallies[watchedName]
}

func (s *Scenario) runUntil(done func() bool) {
	s.Net.RunUntil(stepTimeout, done)
}

func (s *Scenario) addClients() {
	n := 0
	for _, p := range s.Deployment.Services {
		s.Tallies[p.Workload.Name] = hslab.NewTally()
		for range p.Callers {
			n++
			s.addClient(p.Workload, clientAddr(p.Workload.ServiceAddr.Addr(), n), p.Workload.Name, time.Duration(n)*10*time.Millisecond)
		}
	}
}

func (s *Scenario) addWatchedClient() {
	workload := s.Deployment.Services[0].Workload
	workload.RequestSize = watchedRequestBytes
	workload.AnswerSize = watchedAnswerBytes
	s.Tallies[watchedName] = hslab.NewTally()
	s.WatchedClient = s.addClient(workload, watchedAddr, watchedName, 0)
}

func (s *Scenario) addClient(workload hslab.Workload, a netip.Addr, tally string, start time.Duration) *hslab.Client {
	return s.Net.AddClient(hslab.ClientConfig{
		Workload:      workload,
		Address:       a,
		RNG:           s.Net.RNG,
		Tally:         s.Tallies[tally],
		NextRequestID: s.nextID,
		Ran:           s.Net.Ledger.Ran,
	}, start)
}

func (s *Scenario) nextID() uint64 {
	s.lastID++
	return s.lastID
}

func clientAddr(service netip.Addr, n int) netip.Addr {
	if service.Is4() {
		return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)})
	}
	return netip.AddrFrom16([16]byte{0x20, 0x01, 0x0d, 0xb8, 0xca, 15: byte(n)})
}

// recordProgress records the progress of the watched connection.
func (s *Scenario) recordProgress(to netip.Addr, p *hspacket.Packet) {
	if to == fabricAddr {
		if p.Dst.Addr() == watchedAddr {
			s.progress.synAck = s.progress.synAck || p.Seg.Flags.Has(hspacket.SYN)
			s.progress.answerStarted = s.progress.answerStarted || p.Seg.Len > 0
		}
		return
	}
	if p.Src.Addr() != watchedAddr {
		return
	}
	s.progress.target = to
	s.progress.syn = s.progress.syn || p.Seg.Flags.Has(hspacket.SYN)
	s.progress.fin = s.progress.fin || p.Seg.Flags.Has(hspacket.FIN)
	s.progress.requestStarted = s.progress.requestStarted || p.Seg.Len > 0
	s.progress.received += p.Seg.Len
	s.progress.requestComplete = s.progress.requestComplete || s.progress.received >= watchedRequestBytes
}
