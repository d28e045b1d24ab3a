package hsmatrix

import (
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hslab"
)

// Fault is a fault or planned change that a test injects into a scenario.
type Fault struct {
	Name string
	// True for a change that operators plan, which may break no connection.
	Planned bool
	// Time until the fault ends or is detected, whichever is earlier: the time
	// for which it may delay callers.
	Disruption time.Duration
	Inject     func(*Scenario)
}

const (
	// fabricDetectionTime is the time that the fabric takes to notice that a
	// host has stopped or started.
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
	{"none", true, 0, func(*Scenario) {}},
	{"targets-join", true, 0, func(s *Scenario) { s.AddTargets(); s.Publish() }},
	{"targets-half-leave", true, 0, func(s *Scenario) { s.markTargetsLeaving(len(s.Deployment.Targets), 2); s.Publish() }},
	{"targets-replaced", true, 0, replaceTargets},
	{"targets-replaced-one-by-one", true, 0, replaceTargetsOneByOne},
	{"host-joins", true, 0, func(s *Scenario) { s.AddHosts(1); s.Publish(); s.scheduleFabricUpdate() }},
	{"host-leaves", true, 0, func(s *Scenario) { s.leaveHosts(s.Owner()) }},
	{"zone-hosts-replaced", true, 0, func(s *Scenario) {
		old := s.ZoneHosts(s.Owner())
		s.AddHosts(3)
		s.leaveHosts(old...)
	}},
	{"all-hosts-replaced", true, 0, replaceHosts},
	{"building-moves-at-once", true, 0, func(s *Scenario) { replaceTargets(s); replaceHosts(s) }},
	{"manifest-uneven", true, 0, func(s *Scenario) {
		for i, h := range s.Net.Hosts {
			h.ManifestDelay = time.Duration(i) * 150 * time.Millisecond
		}
		replaceTargets(s)
	}},
	{"three-manifests-in-flight", true, 0, publishThreeManifests},
	{"address-moves", true, 0, moveAddress},
	{"host-crash", false, time.Second, func(s *Scenario) { s.crash(s.Owner()) }},
	{"two-hosts-crash", false, time.Second, func(s *Scenario) { s.crash(s.Owner()); s.crash(s.otherHost()) }},
	{"zone-hosts-crash", false, time.Second, func(s *Scenario) { s.crash(s.ZoneHosts(s.Owner())...) }},
	{"host-restarts-empty", false, time.Second, func(s *Scenario) { s.restart(s.Owner()) }},
	{"zone-restarts-empty", false, time.Second, func(s *Scenario) { s.restart(s.ZoneHosts(s.Owner())...) }},
	{"all-hosts-restart-empty", false, time.Second, func(s *Scenario) { s.restart(s.activeHosts()...) }},
	{"host-paused-300ms", false, 300 * time.Millisecond, func(s *Scenario) { s.Owner().Pause(300 * time.Millisecond) }},
	{"host-paused-5s", false, time.Second, func(s *Scenario) { s.pause(s.Owner(), 5*time.Second) }},
	{"zone-cut", false, partitionTime, func(s *Scenario) { s.partitionZone(true) }},
	{"zone-cut-one-way", false, partitionTime, func(s *Scenario) { s.partitionZone(false) }},
	{"loss-20-percent", false, time.Second, func(s *Scenario) { s.Net.LossRate = 0.2; s.Net.After(time.Second, func() { s.Net.LossRate = 0 }) }},
	{"duplicates-and-reordering", false, time.Second, func(s *Scenario) {
		s.Net.DuplicateRate, s.Net.MaxExtraDelay = 0.2, 8*time.Millisecond
		s.Net.After(time.Second, func() { s.Net.DuplicateRate, s.Net.MaxExtraDelay = 0, 0 })
	}},
	{"platform-down-and-host-crash", false, time.Second, func(s *Scenario) { s.Net.PlatformDown = true; s.crash(s.Owner()) }},
	{"crash-during-handover", false, time.Second, func(s *Scenario) {
		owner := s.Owner()
		s.leaveHosts(owner)
		s.Net.After(3*time.Millisecond, func() { s.crash(owner) })
	}},
	{"crash-as-targets-are-replaced", false, time.Second, func(s *Scenario) { replaceTargets(s); s.crash(s.Owner()) }},
}

// moveAddress reassigns the address of the first service to a new service on
// other targets, in the order that operators have to keep: first the old
// service gets a second address, which callers use from then on; once no
// handshake to the old address is under way, the new service gets it.
// Connections that were open to it stay with the targets of the old service.
func moveAddress(s *Scenario) {
	first := &s.Deployment.Services[0]
	if s.addressMoved {
		return
	}
	s.addressMoved = true
	oldAddress := first.Workload.ServiceAddr
	second := *first
	second.Workload.Name = "checkin2"
	second.Workload.ServiceAddr = movedAddress
	s.addService(second)
	for _, c := range s.Net.Clients {
		c.ReplaceServiceAddr(oldAddress, movedAddress)
	}
	s.Net.After(handshakeTime, func() {
		s.Deployment.Services[0].Workload.ServiceAddr = unusedAddress
		other := s.Deployment.Services[3]
		other.Workload.Name = "extra"
		other.Workload.ServiceNumber = uint32(len(s.Deployment.Services) + 1)
		other.Workload.ServiceAddr = oldAddress
		s.addService(other)
	})
}

// addService starts another service on its pool's targets and publishes it.
func (s *Scenario) addService(p hslab.ServicePlan) {
	s.Deployment.Services = append(s.Deployment.Services, p)
	for _, t := range s.Deployment.Targets {
		if t.Pool != p.Pool {
			continue
		}
		s.Net.Servers[t.Address].AddListener(hslab.Listener{
			ServiceNumber:  p.Workload.ServiceNumber,
			Address:        p.Workload.ServiceAddr,
			Proto:          p.Workload.Proto,
			Idempotent:     p.Workload.Idempotent,
			ProcessingTime: p.ProcessingTime,
		})
	}
	s.Publish()
}

// markTargetsLeaving marks one of every stride targets among the first count as
// leaving, beginning with the first.
func (s *Scenario) markTargetsLeaving(count, stride int) {
	for i := 0; i < count; i += stride {
		s.Deployment.Targets[i].Leaving = true
	}
}

func replaceTargets(s *Scenario) {
	oldCount := s.AddTargets()
	s.markTargetsLeaving(oldCount, 1)
	s.Publish()
}

func replaceTargetsOneByOne(s *Scenario) {
	oldCount := s.AddTargets()
	s.Publish()
	for i := range oldCount {
		s.Net.After(time.Duration(i)*100*time.Millisecond, func() {
			s.Deployment.Targets[i].Leaving = true
			s.Publish()
		})
	}
}

func replaceHosts(s *Scenario) {
	old := s.activeHosts()
	s.AddHosts(6)
	s.Publish()
	s.scheduleFabricUpdate()
	for i, h := range old {
		s.Net.After(2*time.Second+time.Duration(i)*50*time.Millisecond, func() { s.leaveOnceReplaced(h) })
	}
}

// leaveOnceReplaced starts the planned stop of a host as operators do: only
// after a host that stays is ready and has the current manifest.
func (s *Scenario) leaveOnceReplaced(old *Host) {
	for _, h := range s.activeHosts() {
		if h != old && h.Ready() && h.Version() == s.Deployment.Version {
			s.leaveHosts(old)
			return
		}
	}
	s.Net.After(fabricDetectionTime, func() { s.leaveOnceReplaced(old) })
}

// publishThreeManifests publishes three manifests within 20 ms, while the hosts
// of one zone are three versions behind.
func publishThreeManifests(s *Scenario) {
	for _, h := range s.ZoneHosts(s.Owner()) {
		h.ManifestDelay = 400 * time.Millisecond
	}
	oldCount := s.AddTargets()
	s.Publish()
	s.Net.After(10*time.Millisecond, func() { s.markTargetsLeaving(oldCount, 2); s.Publish() })
	s.Net.After(20*time.Millisecond, func() { s.markTargetsLeaving(oldCount, 1); s.Publish() })
}

// leaveHosts starts planned stops of hosts and publishes a manifest in which
// they are leaving.
func (s *Scenario) leaveHosts(hosts ...*Host) {
	for _, h := range hosts {
		for i := range s.Deployment.Hosts {
			if s.Deployment.Hosts[i].Name == h.Name {
				s.Deployment.Hosts[i].Leaving = true
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
func (s *Scenario) activeHosts() []*Host {
	var out []*Host
	for _, h := range s.Net.Hosts {
		if h.running && !h.leaving {
			out = append(out, h)
		}
	}
	return out
}

// crash stops hosts at once; the fabric notices it after fabricDetectionTime.
func (s *Scenario) crash(hosts ...*Host) {
	for _, h := range hosts {
		h.Crash()
	}
	s.scheduleFabricUpdate()
}

// restart crashes hosts and starts them again at once, without state. The
// fabric does not notice.
func (s *Scenario) restart(hosts ...*Host) {
	for _, h := range hosts {
		h.Crash()
		h.Start()
	}
}

// pause pauses a host for d. The fabric notices the start and the end of the
// pause fabricDetectionTime after each.
func (s *Scenario) pause(h *Host, d time.Duration) {
	h.Pause(d)
	s.Net.After(fabricDetectionTime, func() {
		s.UpdateFabric()
		for i, o := range s.Net.FabricHosts {
			if o == h {
				s.Net.FabricHosts = append(s.Net.FabricHosts[:i:i], s.Net.FabricHosts[i+1:]...)
				break
			}
		}
	})
	s.Net.After(d+fabricDetectionTime, s.UpdateFabric)
}

// partitionZone blocks packets between the zone of the host that Owner returns
// and the other zones, in both directions or only towards that zone, for
// partitionTime. No host can read the platform meanwhile.
func (s *Scenario) partitionZone(bothWays bool) {
	zone := s.Owner().Zone
	s.Net.PlatformDown = true
	s.Net.Blocked = func(from, to netip.Addr) bool {
		if from == fabricAddr || to == fabricAddr {
			return false
		}
		fromInside, toInside := s.InZone(from, zone), s.InZone(to, zone)
		return fromInside != toInside && (bothWays || toInside)
	}
	s.Net.After(partitionTime, func() {
		s.Net.PlatformDown = false
		s.Net.Blocked = func(_, _ netip.Addr) bool { return false }
		for _, h := range s.Net.Hosts {
			h.readPlatform()
		}
	})
}

// otherHost returns a running host other than the one that Owner returns.
func (s *Scenario) otherHost() *Host {
	owner := s.Owner()
	for _, h := range s.Net.Hosts {
		if h != owner && h.running {
			return h
		}
	}
	return owner
}

func (s *Scenario) scheduleFabricUpdate() {
	s.Net.After(fabricDetectionTime, s.UpdateFabric)
}
