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
	// Scene is one test run: a simulated network, two users' services under
	// load, and a watched caller whose connection's progress is recorded.
	Scene struct {
		N       *Net
		Estate  *hslab.Estate
		Focus   *hslab.Client
		Tallies map[string]*hslab.Tally

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

	// progress is what the watched connection has reached, judged by the packets
	// that targets and its caller received.
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
		// Runs the scene until its watched connection reaches the step.
		Reach func(*Scene)
	}
)

const (
	watchedName         = "focus"
	watchedRequestBytes = 20000
	watchedAnswerBytes  = 20000
	watchedWorkTime     = 20 * time.Millisecond
	settleTime          = 2 * time.Second
	stepTimeout         = 5 * time.Second
	finishTimeout       = 20 * time.Second
)

var watchedAddr = netip.MustParseAddr("10.9.9.9")

// Steps are the steps of a connection's life, in order.
var Steps = []Step{
	{"before-syn", func(*Scene) {}},
	{"syn-seen", func(s *Scene) { s.runUntil(func() bool { return s.progress.syn }) }},
	{"syn-ack-seen", func(s *Scene) { s.runUntil(func() bool { return s.progress.synAck }) }},
	{"request-half", func(s *Scene) { s.runUntil(func() bool { return s.progress.requestStarted }) }},
	{"in-work", func(s *Scene) { s.runUntil(func() bool { return s.progress.requestComplete }) }},
	{"answer-half", func(s *Scene) { s.runUntil(func() bool { return s.progress.answerStarted }) }},
	{"idle", func(s *Scene) { s.runUntil(func() bool { return s.watchedTally().Answered > 0 }) }},
	{"closing", func(s *Scene) {
		s.runUntil(func() bool { return s.watchedTally().Answered > 0 })
		s.Focus.Stop()
		s.runUntil(func() bool { return s.progress.fin })
	}},
}

// NewScene returns a scene whose hosts and callers have settled, with the
// watched caller about to connect.
func NewScene(seed uint64) *Scene {
	s := &Scene{
		N:       NewNet(seed),
		Tallies: map[string]*hslab.Tally{},
		seed:    seed,
		Estate: &hslab.Estate{
			Pools: []hslab.PoolPlan{
				{Name: "desk", Targets: 6, Slots: 3, Connections: 2000},
				{Name: "store", Targets: 3, Slots: 3, Connections: 2000},
			},
			Services: servicePlans(),
		},
	}
	s.N.Watch = s.recordProgress
	s.startFirstBuilding()
	s.addClients()
	s.N.Run(settleTime)
	s.addWatchedClient()
	return s
}

// startFirstBuilding starts the first building's targets and entry hosts and
// waits until the hosts have settled.
func (s *Scene) startFirstBuilding() {
	s.AddTargets()
	s.AddHosts(6)
	s.Publish()
	s.N.Run(settleTime)
	s.SprayAll()
}

func servicePlans() []hslab.ServicePlan {
	list := []hslab.ServicePlan{
		{
			Script: hslab.Script{Name: "checkin", Proto: hsflow.TCP, Service: netip.MustParseAddrPort("198.51.100.1:443"), Request: 200, Answer: 3000},
			User:   "race", Pool: "desk", Work: 2 * time.Millisecond, Callers: 8,
		},
		{
			Script: hslab.Script{Name: "lookup", Proto: hsflow.UDP, Service: netip.MustParseAddrPort("[2001:db8::1]:53"), Idempotent: true, Request: 40, Answer: 300},
			User:   "race", Pool: "desk", Work: time.Millisecond, Callers: 4,
		},
		{
			Script: hslab.Script{Name: "punch", Proto: hsflow.UDP, Service: netip.MustParseAddrPort("198.51.100.1:54"), Request: 40, Answer: 40},
			User:   "race", Pool: "desk", Work: time.Millisecond, Callers: 4,
		},
		{
			Script: hslab.Script{Name: "download", Proto: hsflow.TCP, Service: netip.MustParseAddrPort("[2001:db8::2]:443"), Idempotent: true, Request: 100, Answer: 9000, Requests: 3},
			User:   "lakeshore", Pool: "store", Work: 2 * time.Millisecond, Callers: 6,
		},
	}
	for i := range list {
		list[i].Script.Number = uint32(i + 1)
		list[i].Script.Think = 200 * time.Millisecond
	}
	return list
}

// AddTargets adds and starts another building's targets and returns the number
// of targets that existed before.
func (s *Scene) AddTargets() (before int) {
	before = len(s.Estate.Targets)
	s.Estate.AddTargets(s.nextBuilding(), func() netip.Addr {
		s.lastTarget++
		return netip.AddrFrom4([4]byte{127, 0, 1, s.lastTarget})
	})
	for _, t := range s.Estate.Targets[before:] {
		listens := s.Estate.Listens(t.Pool)
		for i := range listens {
			if listens[i].Number == 1 {
				listens[i].Work = watchedWorkTime
			}
		}
		s.N.AddServer(t.Address, listens, s.Estate.Slots(t.Pool))
	}
	return before
}

// nextBuilding returns the name of another building: a, then b, and so on.
func (s *Scene) nextBuilding() string {
	s.buildingCount++
	return string(rune('a' - 1 + s.buildingCount))
}

// AddHosts adds, starts and returns another building's entry hosts.
func (s *Scene) AddHosts(count int) []*Host {
	before := len(s.Estate.Hosts)
	s.Estate.AddHosts(s.nextBuilding(), count, func() netip.Addr {
		s.lastHost++
		return netip.AddrFrom4([4]byte{127, 0, 0, s.lastHost})
	})
	var out []*Host
	for _, h := range s.Estate.Hosts[before:] {
		out = append(out, s.N.AddHost(h.Name, h.Zone, h.Address))
	}
	return out
}

// Publish publishes the next version of the manifest.
func (s *Scene) Publish() {
	data, err := s.Estate.Manifest()
	if err != nil {
		panic(err)
	}
	m, faults := hsmanifest.Parse(data)
	if faults != nil {
		panic(faults)
	}
	s.N.Publish(m)
}

// SprayAll makes the fabric send packets to all hosts that are ready and not
// leaving, as its health checks do.
func (s *Scene) SprayAll() {
	s.N.Spray = nil
	for _, h := range s.N.Hosts {
		if h.Ready() && !h.leaving {
			s.N.Spray = append(s.N.Spray, h)
		}
	}
}

// Home returns the home host of the target that ranks first for the watched
// flow, or another running host if there is no flow or its home does not run.
func (s *Scene) Home() *Host {
	fallback := s.N.Hosts[int(s.seed)%len(s.N.Hosts)]
	key, ok := s.Focus.Flow()
	for _, h := range s.N.Hosts {
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
		t := v.First(v.Service(key.Place()), key.Hash())
		if home := v.Targets[t].Home; home >= 0 && s.N.hostByAddr[v.Hosts[home].Address].running {
			return s.N.hostByAddr[v.Hosts[home].Address]
		}
	}
	return fallback
}

// ZoneOf returns the running hosts in h's zone.
func (s *Scene) ZoneOf(h *Host) []*Host {
	var out []*Host
	for _, o := range s.N.Hosts {
		if o.Zone == h.Zone && o.running {
			out = append(out, o)
		}
	}
	return out
}

// InZone reports whether a is the address of a target or entry host in zone.
func (s *Scene) InZone(a netip.Addr, zone string) bool {
	for _, m := range s.Estate.Targets {
		if m.Address == a {
			return m.Zone == zone
		}
	}
	h := s.N.hostByAddr[a]
	return h != nil && h.Zone == zone
}

// Finish lets all callers finish and returns the failures, or "ok". Requests of
// the watched caller and of checkin may take no longer than slowest.
func (s *Scene) Finish(slowest time.Duration) string {
	for _, c := range s.N.Clients {
		c.Stop()
	}
	s.N.RunUntil(finishTimeout, func() bool {
		for _, c := range s.N.Clients {
			if !c.Idle() {
				return false
			}
		}
		return true
	})
	total := hslab.NewTally()
	for _, c := range s.N.Clients {
		c.Finish()
	}
	for _, name := range []string{"checkin", "lookup", "punch", "download", watchedName} {
		total.Add(s.Tallies[name])
	}
	return s.verdict(total, slowest)
}

func (s *Scene) verdict(t *hslab.Tally, slowest time.Duration) string {
	_, doubled, misrouted := s.N.Ledger.Totals()
	var failures []string
	for _, c := range []struct {
		name string
		n    int
	}{
		{"broken", t.Broken},
		{"lost", t.Lost},
		{"cut", t.Cut},
		{"crossed", t.Crossed},
		{"doubled", doubled},
		{"misrouted", misrouted},
		{"refused-but-run", t.RefusedRun},
		{"unopened", t.Unopened},
	} {
		if c.n > 0 {
			failures = append(failures, fmt.Sprintf("%s %d", c.name, c.n))
		}
	}
	longest := max(s.Tallies["checkin"].Latency.Max(), s.watchedTally().Latency.Max())
	if got := time.Duration(longest) * time.Microsecond; got > slowest {
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

func (s *Scene) watchedTally() *hslab.Tally {
	return s.Tallies[watchedName]
}

func (s *Scene) runUntil(done func() bool) {
	s.N.RunUntil(stepTimeout, done)
}

func (s *Scene) addClients() {
	n := 0
	for _, p := range s.Estate.Services {
		s.Tallies[p.Script.Name] = hslab.NewTally()
		for range p.Callers {
			n++
			s.addClient(p.Script, clientAddr(p.Script.Service.Addr(), n), p.Script.Name, time.Duration(n)*10*time.Millisecond)
		}
	}
}

func (s *Scene) addWatchedClient() {
	script := s.Estate.Services[0].Script
	script.Request = watchedRequestBytes
	script.Answer = watchedAnswerBytes
	s.Tallies[watchedName] = hslab.NewTally()
	s.Focus = s.addClient(script, watchedAddr, watchedName, 0)
}

func (s *Scene) addClient(script hslab.Script, a netip.Addr, tally string, start time.Duration) *hslab.Client {
	return s.N.AddClient(hslab.ClientConfig{
		Script:  script,
		Address: a,
		RNG:     s.N.RNG,
		Tally:   s.Tallies[tally],
		NextID:  s.nextID,
		Ran:     s.N.Ledger.Ran,
	}, start)
}

func (s *Scene) nextID() uint64 {
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
func (s *Scene) recordProgress(to netip.Addr, p *hspacket.Packet) {
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
