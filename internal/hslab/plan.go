package hslab

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// ServicePlan describes a service and its callers.
	ServicePlan struct {
		Workload Workload
		User     string
		Class    hsmanifest.Class
		// Name of the pool whose targets serve it.
		Pool string
		// Time that a target works on one request.
		ProcessingTime time.Duration
		// Number of callers at scale 1.
		Callers int
	}

	// PoolPlan describes a pool: a set of identical targets, present in each
	// building.
	PoolPlan struct {
		Name string
		// Number of targets per building.
		TargetsPerBuilding int
		// Requests that a target works on at a time, and connections that it
		// can hold.
		Slots          int
		MaxConnections int
	}

	// Machine is a target or an entry host.
	Machine struct {
		Name    string
		Address netip.Addr
		Zone    string
		// Name of the target's pool; empty for an entry host.
		Pool    string
		Leaving bool
	}

	// Deployment is the declared state of all services, targets and entry
	// hosts, from which manifests are made.
	Deployment struct {
		// Version of the last manifest.
		Version  uint64
		Pools    []PoolPlan
		Services []ServicePlan
		Targets  []Machine
		Hosts    []Machine
	}
)

var zones = []string{"a", "b", "c"}

// DefaultPools returns the pools of the two example users, race and lakeshore.
func DefaultPools() []PoolPlan {
	return []PoolPlan{
		{Name: "desk", TargetsPerBuilding: 15, Slots: 3, MaxConnections: 2000},
		{Name: "certificate", TargetsPerBuilding: 4, Slots: 3, MaxConnections: 2000},
		{Name: "dispatch", TargetsPerBuilding: 15, Slots: 2, MaxConnections: 2000},
		{Name: "catalog", TargetsPerBuilding: 4, Slots: 2, MaxConnections: 2000},
	}
}

// DefaultServices returns the services of the two example users, race and
// lakeshore. They cover both address families and both protocols.
func DefaultServices() []ServicePlan {
	list := []ServicePlan{
		{
			Workload: Workload{Name: "checkin", Proto: hsflow.TCP, ServiceAddr: netip.MustParseAddrPort("198.51.100.1:443"), RequestSize: 200, AnswerSize: 120},
			User:     "race", Class: hsmanifest.Urgent, Pool: "desk", ProcessingTime: 2 * time.Millisecond, Callers: 240,
		},
		{
			Workload: Workload{Name: "lookup", Proto: hsflow.UDP, ServiceAddr: netip.MustParseAddrPort("198.51.100.1:5300"), Idempotent: true, RequestSize: 40, AnswerSize: 400},
			User:     "race", Class: hsmanifest.Normal, Pool: "desk", ProcessingTime: time.Millisecond, Callers: 40,
		},
		{
			Workload: Workload{Name: "download", Proto: hsflow.TCP, ServiceAddr: netip.MustParseAddrPort("[2001:db8:1::1]:443"), Idempotent: true, RequestSize: 100, AnswerSize: 30000, RequestsPerConn: 3},
			User:     "race", Class: hsmanifest.Deferrable, Pool: "certificate", ProcessingTime: 3 * time.Millisecond, Callers: 40,
		},
		{
			Workload: Workload{Name: "ticket", Proto: hsflow.TCP, ServiceAddr: netip.MustParseAddrPort("198.51.100.2:443"), RequestSize: 20000, AnswerSize: 120},
			User:     "lakeshore", Class: hsmanifest.Urgent, Pool: "dispatch", ProcessingTime: 2 * time.Millisecond, Callers: 240,
		},
		{
			Workload: Workload{Name: "status", Proto: hsflow.UDP, ServiceAddr: netip.MustParseAddrPort("[2001:db8:2::1]:5300"), Idempotent: true, RequestSize: 40, AnswerSize: 300},
			User:     "lakeshore", Class: hsmanifest.Normal, Pool: "dispatch", ProcessingTime: time.Millisecond, Callers: 40,
		},
		{
			Workload: Workload{Name: "browse", Proto: hsflow.TCP, ServiceAddr: netip.MustParseAddrPort("[2001:db8:2::2]:443"), Idempotent: true, RequestSize: 100, AnswerSize: 12000, RequestsPerConn: 5},
			User:     "lakeshore", Class: hsmanifest.Deferrable, Pool: "catalog", ProcessingTime: 3 * time.Millisecond, Callers: 40,
		},
	}
	for i := range list {
		list[i].Workload.ServiceNumber = uint32(i + 1)
		list[i].Workload.ThinkTime = 400 * time.Millisecond
	}
	return list
}

// AddTargets adds the targets of all pools in a building, distributed over the
// zones. next returns an unused address.
func (d *Deployment) AddTargets(building string, next func() netip.Addr) {
	for _, p := range d.Pools {
		for i := range p.TargetsPerBuilding {
			d.Targets = append(d.Targets, Machine{
				Name:    fmt.Sprintf("%s-%s-%d", p.Name, building, i+1),
				Address: next(),
				Zone:    zones[i%len(zones)],
				Pool:    p.Name,
			})
		}
	}
}

// AddHosts adds n entry hosts in a building, distributed over the zones. next
// returns an unused address.
func (d *Deployment) AddHosts(building string, n int, next func() netip.Addr) {
	for i := range n {
		d.Hosts = append(d.Hosts, Machine{
			Name:    fmt.Sprintf("entry-%s-%d", building, i+1),
			Address: next(),
			Zone:    zones[i%len(zones)],
		})
	}
}

// Manifest increments Version and returns the manifest of that version as JSON.
func (d *Deployment) Manifest() ([]byte, error) {
	d.Version++
	m := &hsschema.Manifest{Version: d.Version}
	pools := map[string]PoolPlan{}
	for _, p := range d.Pools {
		pools[p.Name] = p
	}
	users := map[string]bool{}
	byPool := map[string][]string{}
	for _, t := range d.Targets {
		p := pools[t.Pool]
		byPool[t.Pool] = append(byPool[t.Pool], t.Name)
		m.Targets = append(m.Targets, &hsschema.Target{
			Name:        t.Name,
			Address:     t.Address.String(),
			Zone:        t.Zone,
			Slots:       uint32(p.Slots),
			Connections: uint32(p.MaxConnections),
			State:       stateName(t.Leaving),
		})
	}
	for _, h := range d.Hosts {
		m.Hosts = append(m.Hosts, &hsschema.Host{Name: h.Name, Address: h.Address.String(), Zone: h.Zone, State: stateName(h.Leaving)})
	}
	for _, s := range d.Services {
		if !users[s.User] {
			users[s.User] = true
			m.Users = append(m.Users, &hsschema.User{Name: s.User})
		}
		m.Services = append(m.Services, &hsschema.Service{
			Name:       s.Workload.Name,
			User:       s.User,
			Address:    s.Workload.ServiceAddr.Addr().String(),
			Port:       uint32(s.Workload.ServiceAddr.Port()),
			Protocol:   s.Workload.Proto.String(),
			Class:      s.Class.String(),
			Idempotent: s.Workload.Idempotent,
			Targets:    byPool[s.Pool],
		})
	}
	return protojson.MarshalOptions{Multiline: true, Indent: "  "}.Marshal(m)
}

// Listeners returns the services that a target of the pool runs.
func (d *Deployment) Listeners(pool string) []Listener {
	var out []Listener
	for _, s := range d.Services {
		if s.Pool == pool {
			out = append(out, Listener{
				ServiceNumber:  s.Workload.ServiceNumber,
				Address:        s.Workload.ServiceAddr,
				Proto:          s.Workload.Proto,
				Idempotent:     s.Workload.Idempotent,
				ProcessingTime: s.ProcessingTime,
			})
		}
	}
	return out
}

// Slots returns the number of slots of each target of the pool.
func (d *Deployment) Slots(pool string) int {
	for _, p := range d.Pools {
		if p.Name == pool {
			return p.Slots
		}
	}
	return 1
}

func stateName(leaving bool) string {
	if leaving {
		return hsmanifest.Leaving.String()
	}
	return hsmanifest.Live.String()
}
