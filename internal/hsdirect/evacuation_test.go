package hsdirect

import (
	"encoding/json"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

// evacuate writes a request for an evacuation to the store of a cluster, or
// removes it.
func (c *cluster) evacuate(zone string, ended bool) {
	r := c.store.Revision() + 1
	c.store.Apply(c.now, &hsfeed.Update{Era: 1, Since: r - 1, Revision: r, Events: []hsfeed.Event{{
		Revision: r, Evacuation: &hsfeed.Evacuation{Zone: zone, Ended: ended},
	}}})
}

func (c *cluster) assertEvacuated(want ...string) {
	c.t.Helper()
	for _, h := range c.hosts {
		assert.DeepEqual(c.t, zoneNames(h.core.State().Evacuations()), append([]string{}, want...))
	}
}

// TestEvacuationReachesAll guards against hosts that miss a request, or its end, because they have just started, were cut off, or hear of it from peers only.
func TestEvacuationReachesAll(t *testing.T) {
	c := newCluster(t, "a", "a", "b", "b", "c", "c")
	c.advanceWithLoads(3 * time.Second)
	cut := c.hosts[1]
	c.messageLost = func(from, to netip.Addr) bool { return from == cut.addr || to == cut.addr }
	cut.storeUp = false
	c.evacuate("a", false)
	c.evacuate("x", false)
	c.advanceWithLoads(evacuationTime)
	assert.Equal(t, len(cut.core.State().Evacuations()), 0)

	c.messageLost = func(netip.Addr, netip.Addr) bool { return false }
	started := c.hosts[4]
	for _, h := range c.hosts {
		h.storeUp = false
	}
	c.start(started)
	c.advanceWithLoads(evacuationTime)
	c.assertEvacuated("a", "x")

	for _, h := range c.hosts {
		h.storeUp = h.zone == "b"
	}
	c.evacuate("a", true)
	c.advanceWithLoads(evacuationTime)
	c.assertEvacuated("x")
}

// TestEvacuationLines guards against an evacuation that starts, ends or outlives a restore of the store without a line in the log, and against a wrong status page.
func TestEvacuationLines(t *testing.T) {
	var lines strings.Builder
	e := &EntryHost{
		cfg:    Config{Settings: Settings{Name: "h1", Zone: "a"}, Boot: 7, Logger: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}},
		toData: make(chan dataMessage, 10), toReader: make(chan readerMessage, 1),
	}
	e.sockets.data, _ = listen(t)
	core := NewCore(CoreConfig{Self: netip.MustParseAddr("10.0.0.1"), Zone: "a", Boot: 7})
	c := &controller{e: e, core: core, counts: map[hscode.Code]uint64{}}
	evacuation := func(revision uint64, zone string, ended bool) hsfeed.Event {
		return hsfeed.Event{Revision: revision, Evacuation: &hsfeed.Evacuation{Zone: zone, Ended: ended}}
	}
	steps := []struct {
		update    hsfeed.Update
		evacuated []string
		want      []string
	}{
		{hsfeed.Update{Era: 1, Revision: 5, Events: []hsfeed.Event{{Revision: 2, Configuration: &hsfeed.Configuration{Version: 4}}}}, nil, nil},
		{
			hsfeed.Update{Era: 1, Since: 5, Revision: 7, Events: []hsfeed.Event{evacuation(6, "a", false), evacuation(7, "b", false)}},
			[]string{"a", "b"},
			[]string{`"zone":"a","requested":6,"era":1,"revision":7,"message":"zone evacuation started"`, `"zone":"b"`},
		},
		{
			hsfeed.Update{Era: 1, Since: 7, Revision: 8, Events: []hsfeed.Event{evacuation(8, "a", true)}},
			[]string{"b"},
			[]string{`"zone":"a"`, `"message":"zone evacuation ended"`},
		},
		{
			hsfeed.Update{Era: 2, Revision: 5},
			[]string{"b"},
			[]string{`"level":"warn"`, `"code":6006`, `"zone":"b"`, "the store lacks the evacuation of a zone"},
		},
		{hsfeed.Update{Era: 2, Since: 5, Revision: 6, Events: []hsfeed.Event{{Revision: 6, Removed: 9}}}, []string{"b"}, nil},
	}
	for i, step := range steps {
		lines.Reset()
		c.handleMessage(t.Context(), time.Now(), &controlMessage{update: &step.update})
		for _, want := range step.want {
			assert.Assert(t, strings.Contains(lines.String(), want), "step %d: no %s in\n%s", i, want, lines.String())
		}
		assert.Equal(t, len(step.want) > 0, strings.Contains(lines.String(), "evacuation"), "step %d\n%s", i, lines.String())
	}
	var sent [][]string
	for len(e.toData) > 0 {
		if m := <-e.toData; m.evacuatedSet {
			sent = append(sent, m.evacuated)
		}
	}
	assert.DeepEqual(t, sent, [][]string{{"a", "b"}, {"b"}})

	st := c.status(time.Now())
	assert.Equal(t, st.EvacuationCount, uint64(2))
	st.Evacuations[0].Since = epoch
	page, err := json.Marshal(e.newStatus([]hscookie.ZoneLoad{{Zone: "a", Targets: 1, Flows: 3, Requests: 2}, {Zone: "c", Targets: 2}}, &st))
	assert.NilError(t, err)
	assert.Equal(t, string(page), `{"host":"h1","zone":"a","boot":7,"era":2,"revision":6,"version":4,"zones":[`+
		`{"zone":"a","targets":1,"flows":3,"requests":2},`+
		`{"zone":"b","targets":0,"flows":0,"requests":0,"evacuation":{"since":"1970-01-12T13:46:40Z","requested":7,"era":1}},`+
		`{"zone":"c","targets":2,"flows":0,"requests":0}]}`)
}

// TestNoEvacuation guards against messages to the data task or lines in the log where no zone is evacuated.
func TestNoEvacuation(t *testing.T) {
	e := &EntryHost{cfg: Config{Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}, toData: make(chan dataMessage, 10), toReader: make(chan readerMessage, 1)}
	e.sockets.data, _ = listen(t)
	c := &controller{e: e, core: NewCore(CoreConfig{Self: netip.MustParseAddr("10.0.0.1"), Zone: "a", Boot: 1}), counts: map[hscode.Code]uint64{}}
	for _, u := range []hsfeed.Update{
		{Era: 1, Revision: 5, Events: []hsfeed.Event{{Revision: 2, Configuration: &hsfeed.Configuration{Version: 4}}}},
		{Era: 1, Since: 5, Revision: 6, Events: []hsfeed.Event{{Revision: 6, Evacuation: &hsfeed.Evacuation{Zone: "a", Ended: true}}}},
		{Era: 2, Revision: 5},
	} {
		c.handleMessage(t.Context(), time.Now(), &controlMessage{update: &u})
	}
	for len(e.toData) > 0 {
		m := <-e.toData
		assert.Assert(t, !m.evacuatedSet)
	}
	assert.Equal(t, len(c.counts), 0)
}

// TestEvacuationDeadline guards against a reader that waits longer than an evacuation may take, and against other waits where the deployment gives no deadline.
func TestEvacuationDeadline(t *testing.T) {
	with := func(apply, evacuation time.Duration) Settings {
		return Settings{ApplyDeadline: apply, EvacuationDeadline: evacuation}.withDefaults()
	}
	assert.Equal(t, with(10*time.Second, 5*time.Second).ApplyDeadline, 5*time.Second)
	assert.Equal(t, with(3*time.Second, 5*time.Second).ApplyDeadline, 3*time.Second)
	assert.Equal(t, with(10*time.Second, 0).ApplyDeadline, 10*time.Second)
	assert.Equal(t, with(0, 0).ApplyDeadline, defaultApplyDeadline)
}
