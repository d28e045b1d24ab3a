package hsmatrix

import (
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hslab"
)

// Fault is a fault or planned change that a test injects into a scene.
type Fault struct {
	Name string
	// True for a change that operators plan, which may break no connection.
	Planned bool
	// Time until the fault ends or is detected, whichever is earlier: the time
	// for which it may delay callers.
	Down time.Duration
	Run  func(*Scene)
}

const (
	// fabricDetectionTime is the time that the fabric takes to notice that a host
	// has stopped or started.
	fabricDetectionTime = time.Second
	partitionTime       = 2 * time.Second
	// handshakeTime is the time after which no handshake is under way to an
	// address that callers use no longer.
	handshakeTime = 3500 * time.Millisecond
)

// When the first service's address is reassigned, callers use movedAddress
// instead, and the service's original entry in the manifest gets unusedAddress.
var (
	movedAddress  = netip.MustParseAddrPort("198.51.100.99:443")
	unusedAddress = netip.MustParseAddrPort("198.51.100.98:443")
)

// Faults are all faults, planned changes first.
var Faults = []Fault{
	{"none", true, 0, func(*Scene) {}},
	{"targets-join", true, 0, func(s *Scene) { s.AddTargets(); s.Publish() }},
	{"targets-half-leave", true, 0, func(s *Scene) { s.markTargetsLeaving(len(s.Estate.Targets), 2); s.Publish() }},
	{"targets-replaced", true, 0, replaceTargets},
	{"targets-replaced-one-by-one", true, 0, replaceTargetsOneByOne},
	{"host-joins", true, 0, func(s *Scene) { s.AddHosts(1); s.Publish(); s.scheduleFabricUpdate() }},
	{"host-leaves", true, 0, func(s *Scene) { s.leaveHosts(s.Home()) }},
	{"zone-hosts-replaced", true, 0, func(s *Scene) {
		old := s.ZoneOf(s.Home())
		s.AddHosts(3)
		s.leaveHosts(old...)
	}},
	{"all-hosts-replaced", true, 0, replaceHosts},
	{"building-moves-at-once", true, 0, func(s *Scene) { replaceTargets(s); replaceHosts(s) }},
	{"manifest-uneven", true, 0, func(s *Scene) {
		for i, h := range s.N.Hosts {
			h.Lag = time.Duration(i) * 150 * time.Millisecond
		}
		replaceTargets(s)
	}},
	{"three-manifests-in-flight", true, 0, publishThreeManifests},
	{"address-moves", true, 0, moveAddress},
	{"host-crash", false, time.Second, func(s *Scene) { s.crash(s.Home()) }},
	{"two-hosts-crash", false, time.Second, func(s *Scene) { s.crash(s.Home()); s.crash(s.otherHost()) }},
	{"zone-hosts-crash", false, time.Second, func(s *Scene) { s.crash(s.ZoneOf(s.Home())...) }},
	{"host-restarts-empty", false, time.Second, func(s *Scene) { s.restart(s.Home()) }},
	{"zone-restarts-empty", false, time.Second, func(s *Scene) { s.restart(s.ZoneOf(s.Home())...) }},
	{"all-hosts-restart-empty", false, time.Second, func(s *Scene) { s.restart(s.activeHosts()...) }},
	{"host-paused-300ms", false, 300 * time.Millisecond, func(s *Scene) { s.Home().Freeze(300 * time.Millisecond) }},
	{"host-paused-5s", false, time.Second, func(s *Scene) { s.pause(s.Home(), 5*time.Second) }},
	{"zone-cut", false, partitionTime, func(s *Scene) { s.partitionZone(true) }},
	{"zone-cut-one-way", false, partitionTime, func(s *Scene) { s.partitionZone(false) }},
	{"loss-20-percent", false, time.Second, func(s *Scene) { s.N.Loss = 0.2; s.N.After(time.Second, func() { s.N.Loss = 0 }) }},
	{"duplicates-and-reordering", false, time.Second, func(s *Scene) {
		s.N.Twice, s.N.Delay = 0.2, 8*time.Millisecond
		s.N.After(time.Second, func() { s.N.Twice, s.N.Delay = 0, 0 })
	}},
	{"platform-down-and-host-crash", false, time.Second, func(s *Scene) { s.N.PlatformDown = true; s.crash(s.Home()) }},
	{"crash-during-handover", false, time.Second, func(s *Scene) {
		home := s.Home()
		s.leaveHosts(home)
		s.N.After(3*time.Millisecond, func() { s.crash(home) })
	}},
	{"crash-as-targets-are-replaced", false, time.Second, func(s *Scene) { replaceTargets(s); s.crash(s.Home()) }},
}

// moveAddress reassigns the address of the first service to a new service on
// other targets, in the order that operators have to keep: first the old service
// gets a second address, which callers use from then on; once no handshake to
// the old address is under way, the new service gets it. Connections that were
// open to it stay with the targets of the old service.
func moveAddress(s *Scene) {
	first := &s.Estate.Services[0]
	if s.addressMoved {
		return
	}
	s.addressMoved = true
	oldAddress := first.Script.Service
	second := *first
	second.Script.Name = "checkin2"
	second.Script.Service = movedAddress
	s.addService(second)
	for _, c := range s.N.Clients {
		c.Retarget(oldAddress, movedAddress)
	}
	s.N.After(handshakeTime, func() {
		s.Estate.Services[0].Script.Service = unusedAddress
		other := s.Estate.Services[3]
		other.Script.Name = "extra"
		other.Script.Number = uint32(len(s.Estate.Services) + 1)
		other.Script.Service = oldAddress
		s.addService(other)
	})
}

// addService starts another service on its pool's targets and publishes it.
func (s *Scene) addService(p hslab.ServicePlan) {
	s.Estate.Services = append(s.Estate.Services, p)
	for _, t := range s.Estate.Targets {
		if t.Pool != p.Pool {
			continue
		}
		s.N.Servers[t.Address].Listen(hslab.Listen{
			Number:     p.Script.Number,
			Address:    p.Script.Service,
			Proto:      p.Script.Proto,
			Idempotent: p.Script.Idempotent,
			Work:       p.Work,
		})
	}
	s.Publish()
}

// markTargetsLeaving marks one of every stride targets among the first count as
// leaving, beginning with the first.
func (s *Scene) markTargetsLeaving(count, stride int) {
	for i := 0; i < count; i += stride {
		s.Estate.Targets[i].Leaving = true
	}
}

func replaceTargets(s *Scene) {
	oldCount := s.AddTargets()
	s.markTargetsLeaving(oldCount, 1)
	s.Publish()
}

func replaceTargetsOneByOne(s *Scene) {
	oldCount := s.AddTargets()
	s.Publish()
	for i := range oldCount {
		s.N.After(time.Duration(i)*100*time.Millisecond, func() {
			s.Estate.Targets[i].Leaving = true
			s.Publish()
		})
	}
}

func replaceHosts(s *Scene) {
	old := s.activeHosts()
	s.AddHosts(6)
	s.Publish()
	s.scheduleFabricUpdate()
	for i, h := range old {
		s.N.After(2*time.Second+time.Duration(i)*50*time.Millisecond, func() { s.leaveOnceReplaced(h) })
	}
}

// leaveOnceReplaced starts the planned stop of a host as operators do: only
// after a host that stays is ready and has the current manifest.
func (s *Scene) leaveOnceReplaced(old *Host) {
	for _, h := range s.activeHosts() {
		if h != old && h.Ready() && h.Version() == s.Estate.Version {
			s.leaveHosts(old)
			return
		}
	}
	s.N.After(fabricDetectionTime, func() { s.leaveOnceReplaced(old) })
}

// publishThreeManifests publishes three manifests within 20 ms, while the hosts
// of one zone are three versions behind.
func publishThreeManifests(s *Scene) {
	for _, h := range s.ZoneOf(s.Home()) {
		h.Lag = 400 * time.Millisecond
	}
	oldCount := s.AddTargets()
	s.Publish()
	s.N.After(10*time.Millisecond, func() { s.markTargetsLeaving(oldCount, 2); s.Publish() })
	s.N.After(20*time.Millisecond, func() { s.markTargetsLeaving(oldCount, 1); s.Publish() })
}

// leaveHosts starts planned stops of hosts and publishes a manifest in which
// they are leaving.
func (s *Scene) leaveHosts(hosts ...*Host) {
	for _, h := range hosts {
		for i := range s.Estate.Hosts {
			if s.Estate.Hosts[i].Name == h.Name {
				s.Estate.Hosts[i].Leaving = true
			}
		}
		if h.running {
			h.Leave()
		}
	}
	s.Publish()
	s.scheduleFabricUpdate()
}

// activeHosts returns the hosts that run and are not leaving.
func (s *Scene) activeHosts() []*Host {
	var out []*Host
	for _, h := range s.N.Hosts {
		if h.running && !h.leaving {
			out = append(out, h)
		}
	}
	return out
}

// crash stops hosts at once; the fabric notices it after fabricDetectionTime.
func (s *Scene) crash(hosts ...*Host) {
	for _, h := range hosts {
		h.Crash()
	}
	s.scheduleFabricUpdate()
}

// restart crashes hosts and starts them again at once, without state. The
// fabric does not notice.
func (s *Scene) restart(hosts ...*Host) {
	for _, h := range hosts {
		h.Crash()
		h.Start()
	}
}

// pause pauses a host for d. The fabric notices the start and the end of the
// pause fabricDetectionTime after each.
func (s *Scene) pause(h *Host, d time.Duration) {
	h.Freeze(d)
	s.N.After(fabricDetectionTime, func() {
		s.SprayAll()
		for i, o := range s.N.Spray {
			if o == h {
				s.N.Spray = append(s.N.Spray[:i:i], s.N.Spray[i+1:]...)
				break
			}
		}
	})
	s.N.After(d+fabricDetectionTime, s.SprayAll)
}

// partitionZone blocks packets between the home's zone and the other zones, in
// both directions or only towards it, for partitionTime. No host can read the
// platform meanwhile.
func (s *Scene) partitionZone(bothWays bool) {
	zone := s.Home().Zone
	s.N.PlatformDown = true
	s.N.Cut = func(from, to netip.Addr) bool {
		if from == fabricAddr || to == fabricAddr {
			return false
		}
		fromInside, toInside := s.InZone(from, zone), s.InZone(to, zone)
		return fromInside != toInside && (bothWays || toInside)
	}
	s.N.After(partitionTime, func() {
		s.N.PlatformDown = false
		s.N.Cut = func(_, _ netip.Addr) bool { return false }
		for _, h := range s.N.Hosts {
			h.readPlatform()
		}
	})
}

// otherHost returns a running host that is not the home.
func (s *Scene) otherHost() *Host {
	home := s.Home()
	for _, h := range s.N.Hosts {
		if h != home && h.running {
			return h
		}
	}
	return home
}

func (s *Scene) scheduleFabricUpdate() {
	s.N.After(fabricDetectionTime, s.SprayAll)
}
