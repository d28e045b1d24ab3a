package hsowner

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

const tableFlows = 500_000

var (
	start   = time.Unix(1_000_000, 0)
	service = netip.MustParseAddrPort("198.51.100.1:443")
	zones   = []string{"a", "b", "c"}
	// peer is an entry host that is listed but not alive.
	peer   = netip.MustParseAddr("127.0.0.200")
	fabric = netip.MustParseAddr("127.0.9.9")
)

// newCore returns the core of the first of n entry hosts, with 15 targets.
// Hosts and targets are spread over three zones.
func newCore(t testing.TB, n int) *Core {
	t.Helper()
	m := &hsmanifest.Manifest{Version: 1}
	status := map[string]hsrank.MemberStatus{}
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		m.Hosts = append(m.Hosts, hsmanifest.Host{Name: name, Zone: zones[i%len(zones)], Address: netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)})})
		status[name] = hsrank.MemberStatus{Alive: true}
	}
	m.Hosts = append(m.Hosts, hsmanifest.Host{Name: "z", Zone: "a", Address: peer})
	s := hsmanifest.Service{Name: "s", Address: service, Proto: hsflow.TCP}
	for i := range 15 {
		addr := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
		name := fmt.Sprintf("t%02d", i)
		m.Targets = append(m.Targets, hsmanifest.Target{
			ID: hsmanifest.NewTargetID(name, addr), Name: name, Address: addr, Zone: zones[i%len(zones)],
			Slots: 3, MaxConnections: 1 << 20, Weight: 3,
		})
		s.Targets = append(s.Targets, i)
	}
	m.Services = []hsmanifest.Service{s}
	v := hsrank.NewView(hsrank.Config{
		Manifest: m, History: hsmanifest.History{}.Extend(m), Self: "h0", Members: status,
	})
	return New(Config{MaxFlows: 1 << 21, IdleTimeout: time.Hour, Epoch: start, View: v})
}

func caller(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4000)
}

func segment(i int, f hspacket.Flags) *hspacket.Packet {
	return &hspacket.Packet{
		Proto: hsflow.TCP, Src: caller(i), Dst: service, Inner: make([]byte, 60),
		Seg: hspacket.Segment{Flags: f, Seq: 1, Ack: 1},
	}
}

func step(c *Core, now time.Time, p *hspacket.Packet, from netip.Addr) []Output {
	return c.Step(now, &Input{Kind: InPacket, Packet: p, From: from}, nil)
}

// handshake completes the TCP handshake of flow i and returns the address of
// the target.
func handshake(c *Core, i int) netip.Addr {
	out := step(c, start, segment(i, hspacket.SYN), fabric)
	target := out[0].Addr
	reply := &hspacket.Packet{
		Proto: hsflow.TCP, Src: service, Dst: caller(i), Inner: make([]byte, 60),
		Seg: hspacket.Segment{Flags: hspacket.SYN | hspacket.ACK, Seq: 0, Ack: 2},
	}
	step(c, start, reply, target)
	step(c, start, segment(i, hspacket.ACK), fabric)
	return target
}

// TestFlowStaysWithTarget checks that all packets of a flow reach the target
// that received its SYN, and that a full table refuses a SYN without delivering
// it.
func TestFlowStaysWithTarget(t *testing.T) {
	c := newCore(t, 1)
	for i := range 500 {
		target := handshake(c, i)
		out := step(c, start, segment(i, hspacket.ACK|hspacket.PSH), fabric)
		assert.Equal(t, len(out), 1)
		assert.Equal(t, out[0].Kind, ToTarget)
		assert.Equal(t, out[0].Addr, target)
	}
	c.cfg.MaxFlows = 500
	out := step(c, start, segment(500, hspacket.SYN), fabric)
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Kind, ToCaller)
}

// TestForeignReply checks that a target cannot send replies from the address of
// a service that it does not serve.
func TestForeignReply(t *testing.T) {
	c := newCore(t, 1)
	target := handshake(c, 1)
	p := &hspacket.Packet{
		Proto: hsflow.TCP, Src: netip.MustParseAddrPort("198.51.100.9:443"), Dst: caller(1), Inner: make([]byte, 60),
		Seg: hspacket.Segment{Flags: hspacket.ACK, Seq: 1, Ack: 2},
	}
	assert.Equal(t, len(step(c, start, p, target)), 0)
}

// TestRemoteTrialIsNotTracked checks that a flow which another host tries on a
// target owned by this core's host is not taken to be held by that target: a
// caller's packet that arrives from the fabric starts a recovery.
func TestRemoteTrialIsNotTracked(t *testing.T) {
	c := newCore(t, 2)
	for i := range 100 {
		key := hsflow.NewKey(hsflow.TCP, caller(i), service)
		first := c.view.FirstChoice(c.view.Service(key.ServiceKey()), key.Hash())
		if c.view.Targets[first].Owner != c.self() {
			continue
		}
		trial := segment(i, hspacket.ACK|hspacket.PSH)
		trial.Steering = hspacket.Steering{Kind: hspacket.KindTrial, Hops: 1, Target: uint64(c.view.Targets[first].ID)}
		out := step(c, start, trial, c.view.Hosts[1].Address)
		assert.Equal(t, out[0].Kind, ToTarget)
		for _, o := range step(c, start, segment(i, hspacket.ACK|hspacket.PSH), fabric) {
			assert.Equal(t, o.Kind, ControlToHost, "flow %d", i)
		}
		f := c.flows.Get(&key, key.Hash())
		assert.Equal(t, f.phase, phaseQuerying)
	}
}

// TestUnknownSender checks that packets with a steering option are dropped
// unless a listed entry host sent them.
func TestUnknownSender(t *testing.T) {
	c := newCore(t, 2)
	p := segment(1, hspacket.SYN)
	p.Steering = hspacket.Steering{Kind: hspacket.KindForwardRanked, Target: uint64(c.view.Targets[0].ID)}
	assert.Equal(t, len(step(c, start, p, fabric)), 0)
}

// TestPausedPlacesNothing checks that a paused core delivers packets of
// existing flows but places no new flows until it is resumed.
func TestPausedPlacesNothing(t *testing.T) {
	c := newCore(t, 1)
	target := handshake(c, 1)
	c.Step(start, &Input{Kind: InPause}, nil)
	assert.Equal(t, len(step(c, start, segment(2, hspacket.SYN), fabric)), 0)
	assert.Equal(t, step(c, start, segment(1, hspacket.ACK|hspacket.PSH), fabric)[0].Addr, target)
	c.Step(start, &Input{Kind: InResume}, nil)
	assert.Equal(t, len(step(c, start, segment(2, hspacket.SYN), fabric)), 1)
}

// TestBalance checks that the most loaded target has at most 1.10 times the
// mean number of flows at 100 flows per target, and 1.02 times at 2000.
func TestBalance(t *testing.T) {
	for _, c := range []struct {
		flows int
		bound float64
	}{{1500, 1.10}, {30_000, 1.02}} {
		core := newCore(t, 1)
		for i := range c.flows {
			handshake(core, i)
		}
		largest := 0
		for _, l := range core.Loads(nil) {
			largest = max(largest, l.Flows)
		}
		ratio := float64(largest) * 15 / float64(c.flows)
		assert.Check(t, ratio <= c.bound, "%d flows: largest count is %.3f times the mean", c.flows, ratio)
	}
}

// TestFlowMemory checks that the table needs at most 128 bytes per flow.
func TestFlowMemory(t *testing.T) {
	const n = 500_000
	c := newCore(t, 1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range n {
		k := hsflow.NewKey(hsflow.TCP, caller(i), service)
		f := c.flows.GetOrCreate(&k, k.Hash())
		*f = newFlow(0, hsflow.TCP)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := float64(after.HeapAlloc-before.HeapAlloc) / n
	t.Logf("%.1f bytes per flow", bytes)
	assert.Check(t, bytes <= 128, "%.1f bytes per flow", bytes)
	runtime.KeepAlive(c)
}

// BenchmarkOwner measures the decision of an owner about packets that another
// host forwarded to it.
func BenchmarkOwner(b *testing.B) {
	c := newFullCore(b)
	cases := tableCases()
	for i := range cases {
		key := hsflow.NewKey(hsflow.TCP, cases[i].src, service)
		f := c.flows.Get(&key, key.Hash())
		cases[i].steering = hspacket.Steering{Kind: hspacket.KindForwardRanked, Hops: 1, Target: uint64(c.targets[f.target].id)}
	}
	benchSteps(b, c, cases, peer)
}

// BenchmarkLocal measures the decision of a host that is both ingress and
// owner.
func BenchmarkLocal(b *testing.B) {
	benchSteps(b, newFullCore(b), tableCases(), fabric)
}

// BenchmarkIngress measures the decision of an ingress that forwards packets to
// another host.
func BenchmarkIngress(b *testing.B) {
	c := newCore(b, 6)
	cases := make([]benchCase, 0, benchCases)
	for i := 0; len(cases) < cap(cases); i++ {
		key := hsflow.NewKey(hsflow.TCP, caller(i), service)
		if t := c.view.FirstChoice(c.view.Service(key.ServiceKey()), key.Hash()); c.view.Targets[t].Owner != 0 {
			cases = append(cases, benchCase{src: caller(i)})
		}
	}
	benchSteps(b, c, cases, fabric)
}

// benchCase holds the fields in which the packets of a benchmark differ.
type benchCase struct {
	src      netip.AddrPort
	steering hspacket.Steering
}

const benchCases = 4096

// newFullCore returns a core with tableFlows flows in its table, as the only
// live host.
func newFullCore(b *testing.B) *Core {
	b.Helper()
	c := newCore(b, 1)
	for i := range tableFlows {
		handshake(c, i)
	}
	return c
}

// tableCases returns packets of flows spread evenly over the table.
func tableCases() []benchCase {
	cases := make([]benchCase, benchCases)
	for i := range cases {
		cases[i].src = caller(i * (tableFlows / benchCases))
	}
	return cases
}

// benchSteps measures Step over the packets of cases in turn. As in the switch
// task of hsentry, all packets share one struct, while their flows are spread
// over the table.
func benchSteps(b *testing.B, c *Core, cases []benchCase, from netip.Addr) {
	b.Helper()
	p := segment(0, hspacket.ACK|hspacket.PSH)
	in := Input{Kind: InPacket, From: from, Packet: p}
	var out []Output
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		p.Src = cases[n%len(cases)].src
		p.Steering = cases[n%len(cases)].steering
		out = c.Step(start, &in, out[:0])
		n++
	}
}
