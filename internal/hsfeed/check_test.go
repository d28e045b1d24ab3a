package hsfeed

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherstack.org/heatherstack/internal/hsschema"
)

// overWire returns an update as a peer receives it.
func overWire(t assert.TestingT, u *Update) Update {
	data, err := proto.Marshal(ToProto(u))
	assert.NilError(t, err)
	m := &hsschema.Update{}
	assert.NilError(t, proto.Unmarshal(data, m))
	out, errs := FromProto(m)
	assert.Equal(t, len(errs), 0, "%v", errs)
	return out
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
