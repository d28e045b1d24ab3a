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
	// parser converts a decoded manifest and collects the errors in it.
	parser struct {
		errs hscode.Errors
		// Names of users.
		users map[string]bool
		// Indices into Manifest.Targets, by name.
		targets map[string]int
	}
)

// MaxSize is the maximum size of a manifest in bytes: the platform stores no
// larger value.
const MaxSize = 1 << 20

const (
	// maxNumericValue is the upper limit of slots, connections and weights.
	maxNumericValue = 1 << 20
	maxPort         = 1<<16 - 1
	// maxNameLen is the maximum length of a name in bytes.
	maxNameLen = 64
)

// Parse parses the JSON text of a manifest and returns all errors in it. The
// result depends on data alone, so that all hosts accept or reject the same
// manifests.
func Parse(data []byte) (*Manifest, hscode.Errors) {
	if len(data) > MaxSize {
		return nil, hscode.Errors{hscode.New(hscode.ManifestSize, "$", "has %d bytes, want at most %d", len(data), MaxSize)}
	}
	raw := &hsschema.Manifest{}
	if err := protojson.Unmarshal(data, raw); err != nil {
		return nil, hscode.Errors{hscode.New(hscode.ManifestSyntax, "$", "%s", errorText(err))}
	}
	p := &parser{users: map[string]bool{}, targets: map[string]int{}}
	m := p.convertManifest(raw)
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	m.JSON = data
	m.Digest = xxhash.Sum64(data)
	return m, nil
}

// errorText returns the text of err with non-breaking spaces replaced by plain
// ones: protobuf uses either, depending on the build, and the text has to be
// the same on all hosts.
func errorText(err error) string {
	return strings.ReplaceAll(err.Error(), "\u00a0", " ")
}

func (p *parser) convertManifest(raw *hsschema.Manifest) *Manifest {
	m := &Manifest{Version: raw.GetVersion()}
	if m.Version == 0 {
		p.addError(hscode.ManifestVersion, "version", "is 0")
	}
	p.convertUsers(m, raw)
	p.convertTargets(m, raw)
	p.convertHosts(m, raw)
	p.convertServices(m, raw)
	return m
}

func (p *parser) convertUsers(m *Manifest, raw *hsschema.Manifest) {
	for i, u := range raw.GetUsers() {
		path := fmt.Sprintf("users[%d].name", i)
		p.checkName(path, u.GetName())
		if p.users[u.GetName()] {
			p.addError(hscode.ManifestDuplicate, path, "duplicate %q", u.GetName())
		}
		p.users[u.GetName()] = true
		m.Users = append(m.Users, u.GetName())
	}
	slices.Sort(m.Users)
}

func (p *parser) convertTargets(m *Manifest, raw *hsschema.Manifest) {
	names := map[string]bool{}
	addresses := map[netip.Addr]bool{}
	for i, t := range raw.GetTargets() {
		path := fmt.Sprintf("targets[%d]", i)
		p.checkName(path+".name", t.GetName())
		p.checkUnique(names, path+".name", t.GetName())
		out := Target{
			Name:           t.GetName(),
			Address:        p.parseAddress(path+".address", t.GetAddress()),
			Zone:           t.GetZone(),
			Slots:          p.checkNumber(path+".slots", t.GetSlots()),
			MaxConnections: p.checkNumber(path+".connections", t.GetConnections()),
			Weight:         t.GetWeight(),
			State:          p.parseState(path+".state", t.GetState()),
		}
		p.checkName(path+".zone", t.GetZone())
		if out.Weight > maxNumericValue {
			p.addError(hscode.ManifestRange, path+".weight", "is %d, want at most %d", out.Weight, maxNumericValue)
		}
		if out.Weight == 0 {
			out.Weight = uint32(out.Slots)
		}
		p.checkUniqueAddress(addresses, path+".address", out.Address)
		out.ID = NewTargetID(out.Name, out.Address)
		m.Targets = append(m.Targets, out)
	}
	slices.SortFunc(m.Targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	for i, t := range m.Targets {
		p.targets[t.Name] = i
	}
}

func (p *parser) convertHosts(m *Manifest, raw *hsschema.Manifest) {
	names := map[string]bool{}
	addresses := map[netip.Addr]bool{}
	for _, t := range m.Targets {
		addresses[t.Address] = true
	}
	for i, h := range raw.GetHosts() {
		path := fmt.Sprintf("hosts[%d]", i)
		p.checkName(path+".name", h.GetName())
		p.checkUnique(names, path+".name", h.GetName())
		p.checkName(path+".zone", h.GetZone())
		out := Host{
			Name:    h.GetName(),
			Address: p.parseAddress(path+".address", h.GetAddress()),
			Zone:    h.GetZone(),
			State:   p.parseState(path+".state", h.GetState()),
		}
		p.checkUniqueAddress(addresses, path+".address", out.Address)
		m.Hosts = append(m.Hosts, out)
	}
	slices.SortFunc(m.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
}

func (p *parser) convertServices(m *Manifest, raw *hsschema.Manifest) {
	type endpoint struct {
		address netip.AddrPort
		proto   hsflow.Proto
	}
	names := map[string]bool{}
	endpoints := map[endpoint]bool{}
	for i, s := range raw.GetServices() {
		path := fmt.Sprintf("services[%d]", i)
		p.checkName(path+".name", s.GetName())
		p.checkUnique(names, path+".name", s.GetName())
		out := p.convertService(path, s)
		key := endpoint{out.Address, out.Proto}
		if endpoints[key] {
			p.addError(hscode.ManifestOverlap, path, "%s %s is already used by another service", out.Proto, out.Address)
		}
		endpoints[key] = true
		m.Services = append(m.Services, out)
	}
	slices.SortFunc(m.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}

func (p *parser) convertService(path string, s *hsschema.Service) Service {
	out := Service{Name: s.GetName(), User: s.GetUser(), Idempotent: s.GetIdempotent()}
	if !p.users[s.GetUser()] {
		p.addError(hscode.ManifestReference, path+".user", "%q is not a user", s.GetUser())
	}
	port := s.GetPort()
	if port == 0 || port > maxPort {
		p.addError(hscode.ManifestRange, path+".port", "is %d, want 1 to %d", port, maxPort)
	}
	out.Address = netip.AddrPortFrom(p.parseAddress(path+".address", s.GetAddress()), uint16(port))
	proto, ok := hsflow.ParseProto(s.GetProtocol())
	if !ok {
		p.addError(hscode.ManifestWord, path+".protocol", "is %q, want tcp or udp", s.GetProtocol())
	}
	out.Proto = proto
	out.Class = Class(p.parseEnum(path+".class", s.GetClass(), classNames))
	for j, name := range s.GetTargets() {
		targetPath := fmt.Sprintf("%s.targets[%d]", path, j)
		n, ok := p.targets[name]
		if !ok {
			p.addError(hscode.ManifestReference, targetPath, "%q is not a target", name)
			continue
		}
		if slices.Contains(out.Targets, n) {
			p.addError(hscode.ManifestDuplicate, targetPath, "duplicate %q", name)
			continue
		}
		out.Targets = append(out.Targets, n)
	}
	slices.Sort(out.Targets)
	return out
}

// addError adds an error in the field at path.
func (p *parser) addError(code hscode.Code, path, format string, args ...any) {
	p.errs = append(p.errs, hscode.New(code, path, format, args...))
}

func (p *parser) checkName(path, s string) {
	if s == "" {
		p.addError(hscode.ManifestMissing, path, "is empty")
	}
	if len(s) > maxNameLen {
		p.addError(hscode.ManifestRange, path, "has %d bytes, want at most %d", len(s), maxNameLen)
	}
}

// checkUnique adds an error if s is in seen already, and adds s to seen.
func (p *parser) checkUnique(seen map[string]bool, path, s string) {
	if s != "" && seen[s] {
		p.addError(hscode.ManifestDuplicate, path, "duplicate %q", s)
	}
	seen[s] = true
}

func (p *parser) checkUniqueAddress(seen map[netip.Addr]bool, path string, a netip.Addr) {
	if a.IsValid() && seen[a] {
		p.addError(hscode.ManifestDuplicate, path, "duplicate %s", a)
	}
	seen[a] = true
}

// parseAddress returns the unicast address in s, or adds an error and returns
// the zero Addr.
func (p *parser) parseAddress(path, s string) netip.Addr {
	if s == "" {
		p.addError(hscode.ManifestMissing, path, "is empty")
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(s)
	if err != nil || a.Zone() != "" || a.Is4In6() || a.IsMulticast() || a.IsUnspecified() {
		p.addError(hscode.ManifestAddress, path, "%q is not a unicast IP address", s)
		return netip.Addr{}
	}
	return a
}

func (p *parser) checkNumber(path string, n uint32) int {
	if n == 0 || n > maxNumericValue {
		p.addError(hscode.ManifestRange, path, "is %d, want 1 to %d", n, maxNumericValue)
	}
	return int(n)
}

func (p *parser) parseState(path, s string) State {
	return State(p.parseEnum(path, s, stateNames))
}

// parseEnum returns the index of s in names, or adds an error and returns 0.
func (p *parser) parseEnum(path, s string, names []string) int {
	n := slices.Index(names, s)
	if n < 0 {
		p.addError(hscode.ManifestWord, path, "is %q, want %s", s, strings.Join(names, ", "))
		return 0
	}
	return n
}
