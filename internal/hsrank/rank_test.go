package hsrank

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
)

// testConfig returns a Config with the given numbers of zones, entry hosts,
// targets and services. Hosts and targets are spread evenly over the zones,
// targets evenly over the services.
func testConfig(zones, hosts, targets, services int) Config {
	m := &hsmanifest.Manifest{Version: 1}
	members := map[string]MemberStatus{}
	for i := range hosts {
		name := fmt.Sprintf("h%05d", i)
		m.Hosts = append(m.Hosts, hsmanifest.Host{Name: name, Zone: fmt.Sprintf("z%d", i%zones), Address: addr(10, i)})
		members[name] = MemberStatus{Alive: true}
	}
	for i := range targets {
		name := fmt.Sprintf("t%06d", i)
		m.Targets = append(m.Targets, hsmanifest.Target{
			ID: hsmanifest.NewTargetID(name, addr(11, i)), Name: name, Address: addr(11, i),
			Zone: fmt.Sprintf("z%d", i%zones), Slots: 3, MaxConnections: 2000, Weight: 3,
		})
	}
	for i := range services {
		s := hsmanifest.Service{Name: fmt.Sprintf("s%05d", i), Address: netip.AddrPortFrom(addr(12, i), 443), Proto: hsflow.TCP}
		for t := i; t < targets; t += services {
			s.Targets = append(s.Targets, t)
		}
		m.Services = append(m.Services, s)
	}
	return Config{Manifest: m, History: hsmanifest.History{}.Extend(m), Self: "h00000", Members: members}
}

func addr(first byte, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{first, byte(n >> 16), byte(n >> 8), byte(n)})
}

// TestOwnersEven checks that no host owns more targets than its equal share,
// rounded up, and that every owner is in the zone of its target.
func TestOwnersEven(t *testing.T) {
	for _, hosts := range []int{3, 6, 8, 17} {
		v := NewView(testConfig(3, hosts, 15, 1))
		targetsPerHost := map[int]int{}
		hostsInZone := map[int]int{}
		for i := range v.Targets {
			assert.Equal(t, v.Hosts[v.Targets[i].Owner].Zone, v.Targets[i].Zone)
			targetsPerHost[v.Targets[i].Owner]++
		}
		for i := range v.Hosts {
			hostsInZone[v.Hosts[i].Zone]++
		}
		for host, n := range targetsPerHost {
			share := (5 + hostsInZone[v.Hosts[host].Zone] - 1) / hostsInZone[v.Hosts[host].Zone]
			assert.Check(t, n <= share, "%d hosts: host %d owns %d targets", hosts, host, n)
		}
	}
}

// TestDeadZone checks a zone in which no entry host is alive: hosts of other
// zones become the owners of its targets, new flows are placed in other zones,
// and its targets remain candidates for existing flows.
func TestDeadZone(t *testing.T) {
	cfg := testConfig(3, 6, 15, 1)
	for _, name := range []string{"h00000", "h00003"} {
		cfg.Members[name] = MemberStatus{}
	}
	cfg.Self = "h00001"
	v := NewView(cfg)
	s := &v.Services[0]
	inDeadZone := 0
	for flow := range uint64(2000) {
		hash := mix(flow, 1)
		first := v.FirstChoice(s, hash)
		assert.Assert(t, v.Zones[v.Targets[first].Zone] != "z0")
		assert.Equal(t, first, v.Choices(s, hash, nil)[0])
		for _, c := range v.Candidates(s, hash, nil) {
			assert.Assert(t, v.Hosts[v.Targets[c].Owner].Alive)
			if v.Zones[v.Targets[c].Zone] == "z0" {
				inDeadZone++
			}
		}
	}
	assert.Assert(t, inDeadZone > 0)
}

// TestReplacedOneByOne checks that the target of an existing flow is still a
// candidate after all targets have been replaced one at a time.
func TestReplacedOneByOne(t *testing.T) {
	cfg := testConfig(3, 6, 30, 1)
	setLive := func(from, to int) {
		cfg.Manifest.Version++
		for i := range cfg.Manifest.Targets {
			cfg.Manifest.Targets[i].State = hsmanifest.Leaving
			if i >= from && i < to {
				cfg.Manifest.Targets[i].State = hsmanifest.Live
			}
		}
		cfg.History = cfg.History.Extend(cfg.Manifest)
	}
	cfg.History = hsmanifest.History{}
	setLive(0, 15)
	old := NewView(cfg)
	chosen := map[uint64]int{}
	for flow := range uint64(2000) {
		chosen[flow] = old.FirstChoice(&old.Services[0], mix(flow, 1))
	}
	for i := 1; i <= 15; i++ {
		setLive(i, 15+i)
	}
	v := NewView(cfg)
	missing := 0
	for flow, target := range chosen {
		found := false
		for _, c := range v.Candidates(&v.Services[0], mix(flow, 1), nil) {
			found = found || c == target
		}
		if !found {
			missing++
		}
	}
	t.Logf("for %d of %d flows, the target is not a candidate", missing, len(chosen))
	assert.Check(t, missing == 0, "for %d of %d flows, the target is not a candidate", missing, len(chosen))
}

// BenchmarkNewView measures the time and memory to build a view, as a host does
// on each change, by the numbers of hosts, targets and services.
func BenchmarkNewView(b *testing.B) {
	for _, c := range []struct{ hosts, targets, services int }{
		{6, 38, 6}, {76, 761, 125}, {304, 3043, 500}, {1216, 12174, 2000},
	} {
		b.Run(fmt.Sprintf("hosts=%d/targets=%d", c.hosts, c.targets), func(b *testing.B) {
			cfg := testConfig(1, c.hosts, c.targets, c.services)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			v := NewView(cfg)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				NewView(cfg)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/view")
			runtime.KeepAlive(v)
		})
	}
}
