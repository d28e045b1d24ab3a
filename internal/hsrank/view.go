package hsrank

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
)

type (
	// View holds everything that the selection of targets depends on. It is
	// immutable.
	View struct {
		Manifest *hsmanifest.Manifest
		History  hsmanifest.History
		// Names of all availability zones, sorted.
		Zones []string
		// In the order of Manifest.Targets.
		Targets []Target
		// In the order of Manifest.Hosts.
		Hosts []Host
		// In the order of Manifest.Services.
		Services []Service
		// Index of this host in Hosts, or -1 if the manifest does not list it.
		Self int

		byID         map[hsmanifest.TargetID]int
		byTarget     map[[16]byte]int
		byHost       map[[16]byte]int
		byServiceKey map[hsflow.ServiceKey]int
		// By index into Zones: true if an entry host of the zone is believed
		// alive. Also true if the manifest lists no entry host in the zone,
		// since nothing then indicates that its targets cannot be reached.
		reachable []bool
	}

	// Target is a target of the manifest with its owner.
	Target struct {
		ID      hsmanifest.TargetID
		Address netip.Addr
		// Index into View.Zones.
		Zone int
		// True if the target takes new flows, false if it is leaving.
		Live bool
		// Maximum number of open connections.
		MaxConnections int
		// Maximum number of concurrent requests.
		Slots  int
		Weight uint32
		// Index into View.Hosts of the owner, or -1 if no entry host is alive.
		Owner int
		// Index into View.Hosts of the previous owner, or -1 if there is none
		// or the manifest no longer lists it.
		PreviousOwner int
	}

	// Host is an entry host of the manifest with its membership status.
	Host struct {
		Name    string
		Address netip.Addr
		// Index into View.Zones.
		Zone int
		// True if the host is believed alive, leaving or not.
		Alive bool
		// True if the host may own targets: it is alive, and neither its
		// membership status nor the manifest says that it is leaving.
		CanOwn bool
	}

	// Service is a service of the manifest with the placement history of its
	// flows.
	Service struct {
		Name    string
		Proto   hsflow.Proto
		Address netip.AddrPort
		// True if a request may be run twice without harm.
		Idempotent bool
		// Index into View.Services of the service that had the address before,
		// or -1 if there was none or the manifest no longer lists it.
		PreviousService int
		// True if the address belonged to another service before, whether or
		// not the manifest still lists that service.
		AddressReassigned bool

		// Newest first.
		generations []generation
		// Indices into View.Targets, in ascending order.
		targets []int
	}

	// MemberStatus is the membership status of one entry host.
	MemberStatus struct {
		Alive   bool
		Leaving bool
	}

	// Config holds the inputs of a view.
	Config struct {
		Manifest *hsmanifest.Manifest
		History  hsmanifest.History
		// Name of this entry host.
		Self string
		// By name of the entry host. Hosts that are missing here count as dead.
		Members map[string]MemberStatus
		// View that the new one replaces, or nil.
		Previous *View
	}
)

// NewView returns the view for the inputs in cfg.
func NewView(cfg Config) *View {
	m := cfg.Manifest
	v := &View{
		Manifest:     m,
		History:      cfg.History,
		Self:         -1,
		byID:         make(map[hsmanifest.TargetID]int, len(m.Targets)),
		byTarget:     make(map[[16]byte]int, len(m.Targets)),
		byHost:       make(map[[16]byte]int, len(m.Hosts)),
		byServiceKey: make(map[hsflow.ServiceKey]int, len(m.Services)),
	}
	v.setZones()
	v.setHosts(cfg)
	v.setTargets()
	v.assignOwners(cfg.Previous)
	v.setServices(cfg.Previous)
	return v
}

// Service returns the service with an address, port and protocol, or nil.
func (v *View) Service(key hsflow.ServiceKey) *Service {
	n, ok := v.byServiceKey[key]
	if !ok {
		return nil
	}
	return &v.Services[n]
}

// TargetAt returns the index into v.Targets of the target with an address.
func (v *View) TargetAt(a netip.Addr) (int, bool) {
	n, ok := v.byTarget[a.As16()]
	return n, ok
}

// TargetByID returns the index into v.Targets of the target with an ID.
func (v *View) TargetByID(id hsmanifest.TargetID) (int, bool) {
	n, ok := v.byID[id]
	return n, ok
}

// HostAt returns the index into v.Hosts of the entry host with an address.
func (v *View) HostAt(a netip.Addr) (int, bool) {
	n, ok := v.byHost[a.As16()]
	return n, ok
}

// HasTarget reports whether the manifest lists the target for the service, live
// or leaving.
func (s *Service) HasTarget(target int) bool {
	_, ok := slices.BinarySearch(s.targets, target)
	return ok
}

// Choices appends to dst the targets that a new flow may be placed on, in the
// order of their rank. Targets that are leaving or in an unreachable zone are
// left out, unless all of them are.
func (v *View) Choices(s *Service, hash uint64, dst []int) []int {
	if len(s.generations) == 0 || s.generations[0].assumed {
		return dst
	}
	ranked := s.generations[0].rankTargets(hash, dst)
	usable := dst
	for _, t := range ranked[len(dst):] {
		if v.Targets[t].Live && v.reachable[v.Targets[t].Zone] {
			usable = append(usable, t)
		}
	}
	if len(usable) == len(dst) {
		return ranked
	}
	return usable
}

// FirstChoice returns the first target that Choices would append, or -1 if
// there is none. It is faster than Choices.
func (v *View) FirstChoice(s *Service, hash uint64) int {
	if len(s.generations) == 0 || s.generations[0].assumed {
		return -1
	}
	g := &s.generations[0]
	best := g.topZone(hash, v.reachable)
	if best >= 0 {
		if t := g.zones[best].top(hash, -1); v.Targets[t].Live {
			return t
		}
	}
	var buf [MaxCandidates]int
	if all := v.Choices(s, hash, buf[:0]); len(all) > 0 {
		return all[0]
	}
	return -1
}

// Candidates appends to dst the targets that may hold an existing flow, in the
// order in which they are queried: the candidates from recorded generations,
// then all members of the assumed generation, which covers the time before
// them.
func (v *View) Candidates(s *Service, hash uint64, dst []int) []int {
	dst = v.KnownCandidates(s, hash, dst)
	for i := range s.generations {
		if s.generations[i].assumed {
			dst = s.generations[i].rankAll(hash, dst)
		}
	}
	return dst
}

// KnownCandidates appends to dst the candidates from recorded generations,
// newest first. The two targets that a new flow was placed between in each
// generation come first, so that likely candidates are not dropped when there
// are many generations. Lower ranks follow: flows were placed on them only
// while a zone could not be reached.
func (v *View) KnownCandidates(s *Service, hash uint64, dst []int) []int {
	for _, depth := range []int{placementChoices, MaxCandidates} {
		for i := range s.generations {
			if !s.generations[i].assumed {
				dst = s.generations[i].topTargets(hash, depth, dst)
			}
		}
	}
	return dst
}

func (v *View) setZones() {
	for _, t := range v.Manifest.Targets {
		v.Zones = append(v.Zones, t.Zone)
	}
	for _, h := range v.Manifest.Hosts {
		v.Zones = append(v.Zones, h.Zone)
	}
	slices.Sort(v.Zones)
	v.Zones = slices.Compact(v.Zones)
}

func (v *View) zoneIndex(name string) int {
	n, _ := slices.BinarySearch(v.Zones, name)
	return n
}

func (v *View) setHosts(cfg Config) {
	listed := make([]bool, len(v.Zones))
	v.reachable = make([]bool, len(v.Zones))
	for i, h := range v.Manifest.Hosts {
		s := cfg.Members[h.Name]
		out := Host{
			Name:    h.Name,
			Address: h.Address,
			Zone:    v.zoneIndex(h.Zone),
			Alive:   s.Alive,
			CanOwn:  s.Alive && !s.Leaving && h.State == hsmanifest.Live,
		}
		if h.Name == cfg.Self {
			v.Self = i
		}
		listed[out.Zone] = true
		v.reachable[out.Zone] = v.reachable[out.Zone] || out.Alive
		v.byHost[h.Address.As16()] = i
		v.Hosts = append(v.Hosts, out)
	}
	for zone := range v.reachable {
		v.reachable[zone] = v.reachable[zone] || !listed[zone]
	}
}

func (v *View) setTargets() {
	for i, t := range v.Manifest.Targets {
		v.Targets = append(v.Targets, Target{
			ID:             t.ID,
			Address:        t.Address,
			Zone:           v.zoneIndex(t.Zone),
			Live:           t.State == hsmanifest.Live,
			MaxConnections: t.MaxConnections,
			Slots:          t.Slots,
			Weight:         t.Weight,
			Owner:          -1,
			PreviousOwner:  -1,
		})
		v.byID[t.ID] = i
		v.byTarget[t.Address.As16()] = i
	}
}

func (v *View) setServices(previous *View) {
	for i := range v.Manifest.Services {
		s := &v.Manifest.Services[i]
		out := Service{
			Name:       s.Name,
			Proto:      s.Proto,
			Address:    s.Address,
			Idempotent: s.Idempotent,
			targets:    s.Targets,
		}
		out.PreviousService = -1
		key := hsflow.NewServiceKey(s.Proto, s.Address)
		gens := v.History[s.Name]
		for i := range gens {
			out.generations = append(out.generations, newGeneration(v, &gens[i]))
		}
		if previous != nil {
			if old := previous.Service(key); old != nil {
				out.AddressReassigned = old.AddressReassigned || old.Name != s.Name
				out.PreviousService = v.previousService(previous, old, s.Name)
			}
		}
		v.byServiceKey[key] = i
		v.Services = append(v.Services, out)
	}
}

// previousService returns the index into v.Services of the service that had an
// address, port and protocol before the service with the given name, or -1 if
// there was none or the manifest no longer lists it. old is the service that
// has them in the previous view.
func (v *View) previousService(previous *View, old *Service, name string) int {
	previousName := old.Name
	if previousName == name {
		if old.PreviousService < 0 {
			return -1
		}
		previousName = previous.Services[old.PreviousService].Name
	}
	return slices.IndexFunc(v.Manifest.Services, func(s hsmanifest.Service) bool { return s.Name == previousName })
}

func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}
