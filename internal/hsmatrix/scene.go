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

		seed      uint64
		ids       uint64
		buildings int
		// True once moveAddress has run.
		moved bool
		// Last bytes of the addresses that were assigned last.
		nextHost byte
		nextT    byte
		seen     seen
	}

	// seen is the progress of the watched connection, as seen in the packets
	// that targets and its caller received.
	seen struct {
		syn, synAck, request, work, answer, fin bool
		// Target that received the connection's last packet.
		target netip.Addr
		// Bytes of data that targets received, retransmissions included. The
		// first request is complete at focusRequest.
		bytes int
	}

	// Step is a step of a connection's life, at which a fault is injected.
	Step struct {
		Name string
		// Runs the scene until its watched connection reaches the step.
		Reach func(*Scene)
	}
)

const (
	focusName    = "focus"
	focusRequest = 20000
	focusAnswer  = 20000
	focusWork    = 20 * time.Millisecond
	settle       = 2 * time.Second
	reachLimit   = 5 * time.Second
	endLimit     = 20 * time.Second
)

var focusAddr = netip.MustParseAddr("10.9.9.9")

// Steps are the steps of a connection's life, in order.
var Steps = []Step{
	{"before-syn", func(*Scene) {}},
	{"syn-seen", func(s *Scene) { s.until(func() bool { return s.seen.syn }) }},
	{"syn-ack-seen", func(s *Scene) { s.until(func() bool { return s.seen.synAck }) }},
	{"request-half", func(s *Scene) { s.until(func() bool { return s.seen.request }) }},
	{"in-work", func(s *Scene) { s.until(func() bool { return s.seen.work }) }},
	{"answer-half", func(s *Scene) { s.until(func() bool { return s.seen.answer }) }},
	{"idle", func(s *Scene) { s.until(func() bool { return s.focus().Answered > 0 }) }},
	{"closing", func(s *Scene) {
		s.until(func() bool { return s.focus().Answered > 0 })
		s.Focus.Stop()
		s.until(func() bool { return s.seen.fin })
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
			Services: services(),
		},
	}
	s.N.Watch = s.watch
	s.begin()
	s.addClients()
	s.N.Run(settle)
	s.addFocus()
	return s
}

// begin starts the first building's targets and entry hosts and waits until the
// hosts have settled.
func (s *Scene) begin() {
	s.AddTargets()
	s.AddHosts(6)
	s.Publish()
	s.N.Run(settle)
	s.SprayAll()
}

func services() []hslab.ServicePlan {
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
	s.Estate.AddTargets(s.building(), func() netip.Addr {
		s.nextT++
		return netip.AddrFrom4([4]byte{127, 0, 1, s.nextT})
	})
	for _, t := range s.Estate.Targets[before:] {
		listens := s.Estate.Listens(t.Pool)
		for i := range listens {
			if listens[i].Number == 1 {
				listens[i].Work = focusWork
			}
		}
		s.N.AddServer(t.Address, listens, s.Estate.Slots(t.Pool))
	}
	return before
}

// building returns the name of the next building: a, then b, and so on.
func (s *Scene) building() string {
	s.buildings++
	return string(rune('a' - 1 + s.buildings))
}

// AddHosts adds, starts and returns another building's entry hosts.
func (s *Scene) AddHosts(count int) []*Host {
	before := len(s.Estate.Hosts)
	s.Estate.AddHosts(s.building(), count, func() netip.Addr {
		s.nextHost++
		return netip.AddrFrom4([4]byte{127, 0, 0, s.nextHost})
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
	some := s.N.Hosts[int(s.seed)%len(s.N.Hosts)]
	key, ok := s.Focus.Flow()
	for _, h := range s.N.Hosts {
		if !h.running {
			continue
		}
		if !some.running {
			some = h
		}
		v := h.control.View()
		if v == nil || !ok {
			continue
		}
		t := v.First(v.Service(key.Place()), key.Hash())
		if home := v.Targets[t].Home; home >= 0 && s.N.byHost[v.Hosts[home].Address].running {
			return s.N.byHost[v.Hosts[home].Address]
		}
	}
	return some
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
	h := s.N.byHost[a]
	return h != nil && h.Zone == zone
}

// Finish lets all callers finish and returns the failures, or "ok". Requests of
// the watched caller and of checkin may take no longer than slowest.
func (s *Scene) Finish(slowest time.Duration) string {
	for _, c := range s.N.Clients {
		c.Stop()
	}
	s.N.RunUntil(endLimit, func() bool {
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
	for _, name := range []string{"checkin", "lookup", "punch", "download", focusName} {
		total.Add(s.Tallies[name])
	}
	return s.verdict(total, slowest)
}

func (s *Scene) verdict(t *hslab.Tally, slowest time.Duration) string {
	_, doubled, misrouted := s.N.Ledger.Totals()
	var bad []string
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
			bad = append(bad, fmt.Sprintf("%s %d", c.name, c.n))
		}
	}
	worst := max(s.Tallies["checkin"].Latency.Max(), s.focus().Latency.Max())
	if got := time.Duration(worst) * time.Microsecond; got > slowest {
		bad = append(bad, "slow")
	}
	if s.focus().Answered == 0 {
		bad = append(bad, "unserved")
	}
	if len(bad) == 0 {
		return "ok"
	}
	return strings.Join(bad, ", ")
}

func (s *Scene) focus() *hslab.Tally {
	return s.Tallies[focusName]
}

func (s *Scene) until(done func() bool) {
	s.N.RunUntil(reachLimit, done)
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

func (s *Scene) addFocus() {
	script := s.Estate.Services[0].Script
	script.Request = focusRequest
	script.Answer = focusAnswer
	s.Tallies[focusName] = hslab.NewTally()
	s.Focus = s.addClient(script, focusAddr, focusName, 0)
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
	s.ids++
	return s.ids
}

func clientAddr(service netip.Addr, n int) netip.Addr {
	if service.Is4() {
		return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)})
	}
	return netip.AddrFrom16([16]byte{0x20, 0x01, 0x0d, 0xb8, 0xca, 15: byte(n)})
}

// watch records the progress of the watched connection.
func (s *Scene) watch(to netip.Addr, p *hspacket.Packet) {
	if to == fabric {
		if p.Dst.Addr() == focusAddr {
			s.seen.synAck = s.seen.synAck || p.Seg.Flags.Has(hspacket.SYN)
			s.seen.answer = s.seen.answer || p.Seg.Len > 0
		}
		return
	}
	if p.Src.Addr() != focusAddr {
		return
	}
	s.seen.target = to
	s.seen.syn = s.seen.syn || p.Seg.Flags.Has(hspacket.SYN)
	s.seen.fin = s.seen.fin || p.Seg.Flags.Has(hspacket.FIN)
	s.seen.request = s.seen.request || p.Seg.Len > 0
	s.seen.bytes += p.Seg.Len
	s.seen.work = s.seen.work || s.seen.bytes >= focusRequest
}
