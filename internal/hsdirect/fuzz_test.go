package hsdirect

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsschema"
)

// FuzzReceive checks that no message of a peer, however malformed, stops the
// control task or the data task: the message is decoded, handled by a core that
// knows a peer, and what it reports is applied to the core of the data task.
func FuzzReceive(f *testing.F) {
	for _, hb := range []*hsschema.Heartbeat{
		{Kind: hsschema.Heartbeat_KIND_PING, Boot: 1, Seq: 2, Zone: "a", Rumors: []*hsschema.Rumor{{Host: "10.0.0.9", Boot: 1, State: hsschema.Rumor_STATE_ALIVE}, {Host: "not an address", State: hsschema.Rumor_STATE_DEAD}}},
		{Kind: hsschema.Heartbeat_KIND_ACK, Seq: 1, About: "10.0.0.9"},
		{Kind: hsschema.Heartbeat_KIND_PROBE, About: "10.0.0.2", Leaving: true},
		{Kind: hsschema.Heartbeat_KIND_LOADS, Zone: "a", Loads: []*hsschema.Load{{Target: 1, Flows: 1 << 31, Idle: 1 << 31}}, Ejected: []uint64{1, 1 << 63}},
		{Kind: hsschema.Heartbeat_KIND_UPDATE, Version: 9, Root: "x", Update: &hsschema.Update{Since: 1, Revision: 3, Events: []*hsschema.Event{{Revision: 2}, {Change: &hsschema.Event_Target{Target: &hsschema.Backend{Address: "?"}}}}}},
		{Kind: hsschema.Heartbeat_KIND_UPDATE, Update: &hsschema.Update{Revision: 1 << 63, Events: []*hsschema.Event{{Change: &hsschema.Event_Configuration{}}, {Change: &hsschema.Event_Gone{Gone: 1}}}}},
	} {
		data, err := proto.Marshal(hb)
		assert.NilError(f, err)
		f.Add(data)
	}
	from := netip.MustParseAddr("10.0.0.2")
	f.Fuzz(func(_ *testing.T, data []byte) {
		hb := &hsschema.Heartbeat{}
		if proto.Unmarshal(data, hb) != nil {
			return
		}
		hb.From = from.String()
		core := NewCore(CoreConfig{Self: netip.MustParseAddr("10.0.0.1"), Zone: "a", Boot: 1, Seeds: []netip.Addr{from}})
		core.Start(epoch)
		flows := hscookie.New(hscookie.Config{Placement: hsplace.Config{Zone: "a"}, MaxFlows: 10, StartTime: epoch})
		now := epoch
		for range 3 {
			for _, out := range []Output{core.Receive(now, hb, from), core.Tick(now), core.ReportLoads(now, &LocalReport{})} {
				if out.Configuration != nil {
					flows.SetConfiguration(now, out.Configuration)
				}
				if out.TargetsChanged {
					flows.SetTargets(now, out.Targets)
				}
				if out.Report != nil {
					flows.ApplyReport(now, out.Report.Host, out.Report.Loads)
					flows.ApplyEjections(now, out.Report.Ejected, out.Report.EjectionDuration)
				}
			}
			flows.Tick(now)
			now = now.Add(time.Second)
		}
	})
}
