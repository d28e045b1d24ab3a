package hsfeed

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsschema"
)

// overWire returns an update as a peer receives it.
func overWire(t assert.TestingT, u *Update) Update {
	data, err := proto.Marshal(ToProto(u))
	assert.NilError(t, err)
	m := &hsschema.Update{}
	assert.NilError(t, proto.Unmarshal(data, m))
	return FromProto(m)
}

// mostly draws usual values nine times out of ten, so that most objects are valid.
func mostly[T any](usual, odd *rapid.Generator[T]) *rapid.Generator[T] {
	return rapid.Custom(func(t *rapid.T) T {
		if rapid.IntRange(0, 9).Draw(t, "odd") == 0 {
			return odd.Draw(t, "value")
		}
		return usual.Draw(t, "value")
	})
}

// TestCheckedValuesReachPeers guards against a value that this host accepts and
// that peers reject or get as another one, as a capacity of 2^32 once was.
func TestCheckedValuesReachPeers(t *testing.T) {
	names := mostly(rapid.SampledFrom([]string{"desk", "\x00"}), rapid.SampledFrom([]string{"", "\xff", string(make([]byte, MaxNameSize+1))}))
	addresses := mostly(
		rapid.SampledFrom([]netip.AddrPort{routeAddr, netip.MustParseAddrPort("[2001:db8::1]:80"), netip.MustParseAddrPort("[::ffff:10.0.0.1]:80")}),
		rapid.SampledFrom([]netip.AddrPort{{}, netip.MustParseAddrPort("10.0.0.1:0"), netip.MustParseAddrPort("[fe80::1%e]:80")}),
	)
	numbers := mostly(
		rapid.SampledFrom([]int{1, 2, MaxSlots, MaxSlots - 1}),
		rapid.SampledFrom([]int{0, -1, MaxSlots + 1, 1<<31 - 1, 1 << 31, 1<<32 - 1, 1 << 32, 1<<32 + 3, -1 << 32, 1<<63 - 1, -1 << 63}),
	)
	durations := mostly(
		rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Hour, MaxDuration}),
		rapid.SampledFrom([]time.Duration{-time.Millisecond, MaxDuration + time.Millisecond, 1<<63 - 1, -1 << 63}),
	)
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		target := &Target{
			ID: TargetID(rapid.Uint64().Draw(t, "id")), Service: names.Draw(t, "service"), Address: addresses.Draw(t, "address"), Zone: names.Draw(t, "zone"),
			Slots: numbers.Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "draining"), WarmUp: durations.Draw(t, "warm-up"), StartUnixMilli: int64(numbers.Draw(t, "start")),
		}
		cfg := &Configuration{Version: rapid.Uint64().Draw(t, "version"), IdleTimeout: durations.Draw(t, "idle"), Routes: []Route{{
			Address: addresses.Draw(t, "route"), Shares: []Share{{Service: names.Draw(t, "share"), Weight: rapid.Uint32().Draw(t, "weight")}},
			Timeout: durations.Draw(t, "timeout"), LatencyObjective: durations.Draw(t, "objective"), Priority: numbers.Draw(t, "priority"),
		}}, Services: []Service{{
			Name: names.Draw(t, "name"), MaxConnections: numbers.Draw(t, "connections"), WarmUpTime: durations.Draw(t, "service's warm-up"),
			WarmUpRate: RoundRate(rapid.Float64Range(-1, 2*MaxRate).Draw(t, "rate")),
		}}}
		u := Update{Era: 1, Revision: 9}
		if target.Check() == nil {
			u.Events = append(u.Events, Event{Revision: 2, Target: target})
		}
		if cfg.Check() == nil {
			u.Events = append(u.Events, Event{Revision: 3, Configuration: cfg})
		}
		accepted += len(u.Events)
		assert.Assert(t, reflect.DeepEqual(overWire(t, &u), u), "%+v", u)
	})
	assert.Assert(t, accepted > 0, "every value was rejected")
}

// TestCheck guards each rule of what is valid: a valid object has one field changed,
// and the golden file has the errors.
func TestCheck(t *testing.T) {
	var b strings.Builder
	check := func(name string, err error) { fmt.Fprintf(&b, "%s: %v\n", name, err) }
	target := func(change func(*Target)) {
		v := newTarget(1, 3)
		change(v)
		check("target", v.Check())
	}
	target(func(*Target) {})
	target(func(v *Target) { v.Slots = MaxSlots })
	target(func(v *Target) { v.Zone = strings.Repeat("z", MaxNameSize) })
	target(func(v *Target) { v.ID = 0 })
	target(func(v *Target) { v.Slots = 0 })
	target(func(v *Target) { v.Slots = MaxSlots + 1 })
	target(func(v *Target) { v.Service = "" })
	target(func(v *Target) { v.Zone = strings.Repeat("z", MaxNameSize+1) })
	target(func(v *Target) { v.Zone = "\xff" })
	target(func(v *Target) { v.WarmUp = -1 })
	target(func(v *Target) { v.WarmUp = MaxDuration + 1 })
	for _, address := range []string{"10.0.0.1:0", "0.0.0.0:80", "224.0.0.1:80", "[fe80::1%e]:80"} {
		target(func(v *Target) { v.Address = netip.MustParseAddrPort(address) })
	}
	target(func(v *Target) { v.Address = netip.AddrPort{} })

	configuration := func(change func(*Configuration, *Route, *Service)) {
		v := newConfiguration(1, "desk")
		v.Services = []Service{{Name: "desk", HealthPath: "/health", WarmUpRate: MaxRate}}
		change(v, &v.Routes[0], &v.Services[0])
		check("configuration", v.Check())
	}
	configuration(func(*Configuration, *Route, *Service) {})
	configuration(func(v *Configuration, _ *Route, _ *Service) { v.IdleTimeout = -1 })
	configuration(func(_ *Configuration, r *Route, _ *Service) { r.Address = netip.AddrPort{} })
	configuration(func(_ *Configuration, r *Route, _ *Service) { r.Shares = nil })
	configuration(func(_ *Configuration, r *Route, _ *Service) { r.Shares[0].Weight = 0 })
	configuration(func(_ *Configuration, r *Route, _ *Service) { r.Shares[0].Service = "\xff" })
	configuration(func(_ *Configuration, r *Route, _ *Service) { r.Timeout = -1 })
	configuration(func(_ *Configuration, r *Route, _ *Service) { r.LatencyObjective = MaxDuration + 1 })
	configuration(func(_ *Configuration, r *Route, _ *Service) { r.Priority = -1 })
	configuration(func(_ *Configuration, _ *Route, s *Service) { s.Name = "\xff" })
	configuration(func(_ *Configuration, _ *Route, s *Service) { s.HealthPath = "\xff" })
	configuration(func(_ *Configuration, _ *Route, s *Service) { s.MaxConnections = MaxNumber + 1 })
	configuration(func(_ *Configuration, _ *Route, s *Service) { s.WarmUpTime = -1 })
	configuration(func(_ *Configuration, _ *Route, s *Service) { s.WarmUpRate = -1 })
	configuration(func(_ *Configuration, _ *Route, s *Service) { s.WarmUpRate = 2 * MaxRate })
	check("evacuation", (&Evacuation{Zone: "a"}).Check())
	check("evacuation", (&Evacuation{}).Check())
	golden.Assert(t, b.String(), "check.golden")
	for rate, want := range map[float64]float64{-1: 0, 0: 0, 0.0001: 0.001, 0.07: 0.07, 1.0004: 1, 1.0006: 1.001} {
		assert.Equal(t, RoundRate(rate), want)
	}
}

// TestInvalidEventCostsNoOther guards against an invalid event of a peer that
// keeps the other events of its update, and with them all later ones, from being
// applied.
func TestInvalidEventCostsNoOther(t *testing.T) {
	target := func(m *hsschema.Backend) *hsschema.Event {
		return &hsschema.Event{Change: &hsschema.Event_Target{Target: m}}
	}
	configuration := func(r *hsschema.Route) *hsschema.Event {
		return &hsschema.Event{Change: &hsschema.Event_Configuration{Configuration: &hsschema.Configuration{Version: 9, Routes: []*hsschema.Route{r}}}}
	}
	cases := []struct {
		name    string
		invalid *hsschema.Event
		// Number of targets that stay: target 2 is removed if its entry is invalid.
		targets int
		reason  string
	}{
		{"no slots", target(&hsschema.Backend{Id: 2, Service: "desk", Address: "10.0.0.2:80", Zone: "a"}), 2, "slots: 0, want 1 to 1048576"},
		{"address", target(&hsschema.Backend{Id: 2, Service: "desk", Address: "10.0.0.2:65536", Zone: "a", Slots: 1}), 2, "address: invalid"},
		{"no ID", target(&hsschema.Backend{Service: "desk", Address: "10.0.0.2:80", Zone: "a", Slots: 1}), 3, "id: 0"},
		{"no target", target(nil), 3, "id: 0"},
		{"no services", configuration(&hsschema.Route{Address: "198.18.0.1:443"}), 3, "route 198.18.0.1:443: no service"},
		{"no evacuated zone", &hsschema.Event{Change: &hsschema.Event_Evacuation{}}, 3, "zone: 0 bytes, want 1 to 255"},
		{"change of a later release", &hsschema.Event{}, 3, "unknown kind of change"},
	}
	for _, c := range cases {
		for _, since := range []uint64{0, 50} {
			replica := newRestored(t, Event{Revision: 1, Configuration: newConfiguration(1, "desk")}, entry(2, 1, 1, false), entry(3, 2, 1, false))
			before, added := entry(4, 1, 1, false), entry(53, 3, 1, false)
			u := Update{Era: 1, Since: since, Revision: 53, Events: []Event{before, added}}
			if since == 0 {
				u.Events = append(u.Events, entry(3, 2, 1, false))
			}
			m := ToProto(&u)
			c.invalid.Revision = 52
			m.Events = append([]*hsschema.Event{m.GetEvents()[0], c.invalid}, m.GetEvents()[1:]...)
			decoded := FromProto(m)
			assert.Equal(t, len(decoded.Errors), 1, c.name)
			assert.Equal(t, decoded.Errors[0].Detail, c.reason, c.name)
			apply(t, replica, decoded, hscode.OK)
			assert.Equal(t, replica.Position(), Position{Era: 1, Revision: 53})
			assert.Equal(t, len(replica.Targets()), c.targets, "%s since %d", c.name, since)
			assert.Equal(t, replica.Configuration().Version, uint64(1))
		}
	}
}
