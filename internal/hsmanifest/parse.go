package hsmanifest

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	checker struct {
		faults  hscode.Faults
		users   map[string]bool
		targets map[string]int
	}
)

// MaxSize is the largest value in bytes that the platform holds.
const MaxSize = 1 << 20

const (
	maxNumber  = 1 << 20
	maxPort    = 1<<16 - 1
	maxNameLen = 64
)

// Parse reads the JSON form of a manifest and checks all of it. All hosts come
// to the same verdict, since it depends on nothing but data.
func Parse(data []byte) (*Manifest, hscode.Faults) {
	if len(data) > MaxSize {
		return nil, hscode.Faults{hscode.New(hscode.ManifestSize, "$", "has %d bytes, want at most %d", len(data), MaxSize)}
	}
	raw := &hsschema.Manifest{}
	if err := protojson.Unmarshal(data, raw); err != nil {
		return nil, hscode.Faults{hscode.New(hscode.ManifestSyntax, "$", "%s", plain(err))}
	}
	c := &checker{users: map[string]bool{}, targets: map[string]int{}}
	m := c.manifest(raw)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	m.Source = data
	m.Digest = xxhash.Sum64(data)
	return m, nil
}

// plain returns err's text with the non-breaking spaces that protobuf varies
// between builds replaced, so that output is the same everywhere.
func plain(err error) string {
	return strings.ReplaceAll(err.Error(), "\u00a0", " ")
}

func (c *checker) manifest(raw *hsschema.Manifest) *Manifest {
	m := &Manifest{Version: raw.GetVersion()}
	if m.Version == 0 {
		c.fault(hscode.ManifestVersion, "version", "is 0")
	}
	c.userList(m, raw)
	c.targetList(m, raw)
	c.hostList(m, raw)
	c.serviceList(m, raw)
	return m
}

func (c *checker) userList(m *Manifest, raw *hsschema.Manifest) {
	for i, u := range raw.GetUsers() {
		path := fmt.Sprintf("users[%d].name", i)
		c.name(path, u.GetName())
		if c.users[u.GetName()] {
			c.fault(hscode.ManifestDuplicate, path, "%q stands twice", u.GetName())
		}
		c.users[u.GetName()] = true
		m.Users = append(m.Users, u.GetName())
	}
	slices.Sort(m.Users)
}

func (c *checker) targetList(m *Manifest, raw *hsschema.Manifest) {
	names := map[string]bool{}
	addresses := map[netip.Addr]bool{}
	for i, t := range raw.GetTargets() {
		path := fmt.Sprintf("targets[%d]", i)
		c.name(path+".name", t.GetName())
		c.unique(names, path+".name", t.GetName())
		out := Target{
			Name:        t.GetName(),
			Address:     c.address(path+".address", t.GetAddress()),
			Zone:        t.GetZone(),
			Slots:       c.number(path+".slots", t.GetSlots()),
			Connections: c.number(path+".connections", t.GetConnections()),
			Weight:      t.GetWeight(),
			State:       c.state(path+".state", t.GetState()),
		}
		c.name(path+".zone", t.GetZone())
		if out.Weight > maxNumber {
			c.fault(hscode.ManifestRange, path+".weight", "is %d, want at most %d", out.Weight, maxNumber)
		}
		if out.Weight == 0 {
			out.Weight = uint32(out.Slots)
		}
		c.uniqueAddress(addresses, path+".address", out.Address)
		out.ID = NewTargetID(out.Name, out.Address)
		m.Targets = append(m.Targets, out)
	}
	slices.SortFunc(m.Targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	for i, t := range m.Targets {
		c.targets[t.Name] = i
	}
}

func (c *checker) hostList(m *Manifest, raw *hsschema.Manifest) {
	names := map[string]bool{}
	addresses := map[netip.Addr]bool{}
	for _, t := range m.Targets {
		addresses[t.Address] = true
	}
	for i, h := range raw.GetHosts() {
		path := fmt.Sprintf("hosts[%d]", i)
		c.name(path+".name", h.GetName())
		c.unique(names, path+".name", h.GetName())
		c.name(path+".zone", h.GetZone())
		out := Host{
			Name:    h.GetName(),
			Address: c.address(path+".address", h.GetAddress()),
			Zone:    h.GetZone(),
			State:   c.state(path+".state", h.GetState()),
		}
		c.uniqueAddress(addresses, path+".address", out.Address)
		m.Hosts = append(m.Hosts, out)
	}
	slices.SortFunc(m.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
}

func (c *checker) serviceList(m *Manifest, raw *hsschema.Manifest) {
	type place struct {
		address netip.AddrPort
		proto   hsflow.Proto
	}
	names := map[string]bool{}
	places := map[place]bool{}
	for i, s := range raw.GetServices() {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path+".name", s.GetName())
		c.unique(names, path+".name", s.GetName())
		out := c.service(path, s)
		at := place{out.Address, out.Proto}
		if places[at] {
			c.fault(hscode.ManifestOverlap, path, "%s %s is another service's too", out.Proto, out.Address)
		}
		places[at] = true
		m.Services = append(m.Services, out)
	}
	slices.SortFunc(m.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}

func (c *checker) service(path string, s *hsschema.Service) Service {
	out := Service{Name: s.GetName(), User: s.GetUser(), Idempotent: s.GetIdempotent()}
	if !c.users[s.GetUser()] {
		c.fault(hscode.ManifestReference, path+".user", "%q is not a user", s.GetUser())
	}
	port := s.GetPort()
	if port == 0 || port > maxPort {
		c.fault(hscode.ManifestRange, path+".port", "is %d, want 1 to %d", port, maxPort)
	}
	out.Address = netip.AddrPortFrom(c.address(path+".address", s.GetAddress()), uint16(port))
	proto, ok := hsflow.ParseProto(s.GetProtocol())
	if !ok {
		c.fault(hscode.ManifestWord, path+".protocol", "is %q, want tcp or udp", s.GetProtocol())
	}
	out.Proto = proto
	out.Class = Class(c.word(path+".class", s.GetClass(), classes))
	for j, name := range s.GetTargets() {
		at := fmt.Sprintf("%s.targets[%d]", path, j)
		n, ok := c.targets[name]
		if !ok {
			c.fault(hscode.ManifestReference, at, "%q is not a target", name)
			continue
		}
		if slices.Contains(out.Targets, n) {
			c.fault(hscode.ManifestDuplicate, at, "%q stands twice", name)
			continue
		}
		out.Targets = append(out.Targets, n)
	}
	slices.Sort(out.Targets)
	return out
}

func (c *checker) fault(code hscode.Code, path, format string, args ...any) {
	c.faults = append(c.faults, hscode.New(code, path, format, args...))
}

func (c *checker) name(path, s string) {
	if s == "" {
		c.fault(hscode.ManifestMissing, path, "is empty")
	}
	if len(s) > maxNameLen {
		c.fault(hscode.ManifestRange, path, "has %d bytes, want at most %d", len(s), maxNameLen)
	}
}

func (c *checker) unique(seen map[string]bool, path, s string) {
	if s != "" && seen[s] {
		c.fault(hscode.ManifestDuplicate, path, "%q stands twice", s)
	}
	seen[s] = true
}

func (c *checker) uniqueAddress(seen map[netip.Addr]bool, path string, a netip.Addr) {
	if a.IsValid() && seen[a] {
		c.fault(hscode.ManifestDuplicate, path, "%s stands twice", a)
	}
	seen[a] = true
}

func (c *checker) address(path, s string) netip.Addr {
	if s == "" {
		c.fault(hscode.ManifestMissing, path, "is empty")
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(s)
	if err != nil || a.Zone() != "" || a.Is4In6() || a.IsMulticast() || a.IsUnspecified() {
		c.fault(hscode.ManifestAddress, path, "%q is not a unicast IP address", s)
		return netip.Addr{}
	}
	return a
}

func (c *checker) number(path string, n uint32) int {
	if n == 0 || n > maxNumber {
		c.fault(hscode.ManifestRange, path, "is %d, want 1 to %d", n, maxNumber)
	}
	return int(n)
}

func (c *checker) state(path, s string) State {
	return State(c.word(path, s, states))
}

func (c *checker) word(path, s string, words []string) int {
	n := slices.Index(words, s)
	if n < 0 {
		c.fault(hscode.ManifestWord, path, "is %q, want %s", s, strings.Join(words, ", "))
		return 0
	}
	return n
}
