package hsdirect

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
)

type (
	// fakeStore publishes one state that never changes. It refuses calls to List
	// until available is closed.
	fakeStore struct {
		state     hsfeed.Update
		available chan struct{}
	}

	// jsonCodec writes packets as JSON.
	jsonCodec struct{}

	// delivered is a packet as a target receives it.
	delivered struct {
		Target hsfeed.TargetID
		Cookie hscookie.Cookie
		Data   json.RawMessage
	}
)

// testTimeout is far longer than any wait in these tests on a busy machine.
const testTimeout = 30 * time.Second

// List implements Store.
func (s *fakeStore) List(ctx context.Context) (hsfeed.Update, error) {
	select {
	case <-s.available:
		return s.state, nil
	case <-ctx.Done():
		return hsfeed.Update{}, hscode.New(hscode.PlatformRead, "test", "%v", ctx.Err())
	default:
		return hsfeed.Update{}, hscode.New(hscode.PlatformStatus, "test", "refused")
	}
}

// Watch implements Store.
func (s *fakeStore) Watch(ctx context.Context, after hsfeed.Position, _ time.Duration) (hsfeed.Update, error) {
	<-ctx.Done()
	return hsfeed.Update{Era: after.Era, Since: after.Revision, Revision: after.Revision}, nil
}

// Decode implements Codec.
func (jsonCodec) Decode(data []byte, p *hscookie.Packet) hscode.Code {
	if json.Unmarshal(data, p) != nil {
		return hscode.PacketShort
	}
	return hscode.OK
}

// AppendForTarget implements Codec.
func (jsonCodec) AppendForTarget(dst, data []byte, id hsfeed.TargetID, c hscookie.Cookie) []byte {
	out, _ := json.Marshal(delivered{Target: id, Cookie: c, Data: data})
	return append(dst, out...)
}

// AppendReset implements Codec.
func (jsonCodec) AppendReset(dst []byte, _ *hscookie.Packet) []byte { return append(dst, "reset"...) }

// CallerAddr implements Codec.
func (jsonCodec) CallerAddr(p *hscookie.Packet) netip.AddrPort { return p.From }

// listen opens a UDP socket on loopback.
func listen(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn, netip.MustParseAddrPort(conn.LocalAddr().String())
}

// freePort returns a loopback address whose TCP port was free just now.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func receivePacket(t *testing.T, conn *net.UDPConn) []byte {
	t.Helper()
	buf := make([]byte, 2048)
	n, err := conn.Read(buf)
	assert.NilError(t, err)
	return buf[:n]
}

func get(t *testing.T, at netip.AddrPort, path string) (int, string) {
	t.Helper()
	res, err := http.Get("http://" + at.String() + path)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(body)
}

// awaitStatus waits until the readiness check answers with the given status.
func awaitStatus(t *testing.T, at netip.AddrPort, want int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _ := get(t, at, "/ready"); status == want {
			return
		}
	}
	t.Fatalf("readiness check did not answer %d within the time limit", want)
}

// TestEntry runs an entry host on loopback sockets. It checks that the host is
// not ready before it can place flows, that it forwards an opening packet and a
// later packet of the flow to one target, that it resets a flow without a
// route, that it serves metrics, and that it keeps forwarding during its
// planned stop, in which it is not ready, and then exits.
func TestEntry(t *testing.T) {
	targetConn, targetAddr := listen(t)
	callerConn, callerAddr := listen(t)
	at := netip.MustParseAddrPort("198.18.0.1:443")
	store := &fakeStore{available: make(chan struct{}), state: hsfeed.Update{Revision: 5, Events: []hsfeed.Event{
		{Revision: 3, Configuration: &hsfeed.Configuration{Version: 1, Routes: []hsfeed.Route{{
			Address: at, Shares: []hsfeed.Share{{Service: "desk", Weight: 1}}, Timeout: time.Second, LatencyObjective: time.Second,
		}}}},
		{Revision: 5, Target: &hsfeed.Target{ID: 7, Service: "desk", Address: targetAddr, Zone: "a", Slots: 3}},
	}}}
	ready := freePort(t)
	var logs logWriter
	logs.lines = make(chan string, 1000)
	e, err := New(Config{
		Settings: Settings{
			Name: "h1", Zone: "a", DataAddr: freePort(t), ReadyAddr: ready, PeerPort: freePort(t).Port(),
			StopTimeout: testTimeout, MaxFlowLifetime: time.Minute,
		},
		Store: store, Codec: jsonCodec{}, ReadyPath: "/ready", Boot: 1,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: &logs}},
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return e.Run(ctx) })
	status, _ := get(t, ready, "/ready")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	for end := time.Now().Add(testTimeout); e.storeFailures.Load() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no call to the store failed within the time limit")
	}
	close(store.available)
	awaitStatus(t, ready, http.StatusOK)

	send := func(p hscookie.Packet) {
		data, err := json.Marshal(p)
		assert.NilError(t, err)
		_, err = callerConn.WriteToUDPAddrPort(data, e.cfg.Settings.DataAddr)
		assert.NilError(t, err)
	}
	send(hscookie.Packet{From: callerAddr, To: at, Flags: hscookie.FlagOpen})
	var first, second delivered
	assert.NilError(t, json.Unmarshal(receivePacket(t, targetConn), &first))
	assert.Equal(t, first.Target, hsfeed.TargetID(7))
	send(hscookie.Packet{From: callerAddr, To: at, Flags: hscookie.FlagAck, Cookie: first.Cookie})
	assert.NilError(t, json.Unmarshal(receivePacket(t, targetConn), &second))
	assert.Equal(t, second.Cookie, first.Cookie)
	send(hscookie.Packet{From: callerAddr, To: netip.MustParseAddrPort("198.18.0.9:1"), Flags: hscookie.FlagOpen})
	assert.Equal(t, string(receivePacket(t, callerConn)), "reset")

	_, page := get(t, ready, metricsPath)
	for _, want := range []string{"heatherstack_flow_placed 1\n", "heatherstack_packet_forwarded 2\n", "heatherstack_code_4001 1\n", "heatherstack_state_revision 5\n"} {
		assert.Assert(t, strings.Contains(page, want), "%q is missing in the metrics:\n%s", want, page)
	}
	checkMetricsPage(t, page)
	stop()
	awaitStatus(t, ready, http.StatusServiceUnavailable)
	send(hscookie.Packet{From: callerAddr, To: at, Flags: hscookie.FlagAck, Cookie: first.Cookie})
	receivePacket(t, targetConn)
	assert.NilError(t, g.Wait())
	close(logs.lines)
	var messages []string
	for line := range logs.lines {
		var l struct{ Message string }
		assert.NilError(t, json.Unmarshal([]byte(line), &l))
		messages = append(messages, l.Message)
	}
	for _, want := range []string{"cannot read the store", "configuration applied", "target list applied", "ready", "flow decision", "planned stop begins", "planned stop ends"} {
		assert.Assert(t, slices.Contains(messages, want), "no log line %q in %v", want, messages)
	}
}

// TestStopUnderLoad checks that a host which stops while new flows keep arriving
// forwards each opening packet that reaches it, and answers none with a reset.
func TestStopUnderLoad(t *testing.T) {
	targetConn, targetAddr := listen(t)
	callerConn, _ := listen(t)
	at := netip.MustParseAddrPort("198.18.0.1:443")
	store := &fakeStore{available: make(chan struct{}), state: hsfeed.Update{Revision: 5, Events: []hsfeed.Event{
		{Revision: 3, Configuration: &hsfeed.Configuration{Version: 1, Routes: []hsfeed.Route{{
			Address: at, Shares: []hsfeed.Share{{Service: "desk", Weight: 1}}, Timeout: time.Second, LatencyObjective: time.Second,
		}}}},
		{Revision: 5, Target: &hsfeed.Target{ID: 7, Service: "desk", Address: targetAddr, Zone: "a", Slots: 3}},
	}}}
	close(store.available)
	ready := freePort(t)
	e, err := New(Config{
		Settings: Settings{
			Name: "h1", Zone: "a", DataAddr: freePort(t), ReadyAddr: ready, PeerPort: freePort(t).Port(),
			StopTimeout: testTimeout, MaxFlowLifetime: time.Minute,
		},
		Store: store, Codec: jsonCodec{}, ReadyPath: "/ready", Boot: 1, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return e.Run(ctx) })
	awaitStatus(t, ready, http.StatusOK)
	stop()
	awaitStatus(t, ready, http.StatusServiceUnavailable)
	for port := range uint16(20) {
		data, err := json.Marshal(hscookie.Packet{From: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1000+port), To: at, Flags: hscookie.FlagOpen})
		assert.NilError(t, err)
		_, err = callerConn.WriteToUDPAddrPort(data, e.cfg.Settings.DataAddr)
		assert.NilError(t, err)
	}
	for range 20 {
		var d delivered
		assert.NilError(t, json.Unmarshal(receivePacket(t, targetConn), &d))
		assert.Equal(t, d.Target, hsfeed.TargetID(7))
	}
	assert.NilError(t, g.Wait())
	assert.Equal(t, e.leaving.Load(), true)
}

// busyStore returns a change on every call of Watch.
type busyStore struct {
	fakeStore
	calls atomic.Uint64
}

// Watch implements Store.
func (s *busyStore) Watch(_ context.Context, after hsfeed.Position, _ time.Duration) (hsfeed.Update, error) {
	s.calls.Add(1)
	next := after.Revision + 1
	return hsfeed.Update{Era: after.Era, Since: after.Revision, Revision: next, Events: []hsfeed.Event{{Revision: next, Removed: 9}}}, nil
}

// TestSeriesOfChanges checks that a store which changes all the time is called
// only a few times per second.
func TestSeriesOfChanges(t *testing.T) {
	store := &busyStore{fakeStore: fakeStore{available: make(chan struct{}), state: hsfeed.Update{Revision: 5}}}
	close(store.available)
	e := &EntryHost{cfg: Config{Store: store}, toControl: make(chan controlMessage, 1000)}
	r := &storeReader{e: e, backoff: minBackoff, storeAvailable: true}
	begin := time.Now()
	for range 5 {
		r.step(t.Context())
	}
	limit := 1 + uint64(time.Since(begin)/minWatchInterval)
	assert.Assert(t, store.calls.Load() <= limit, "%d calls to Watch, expected at most %d", store.calls.Load(), limit)
}

// logWriter collects log lines from several tasks.
type logWriter struct {
	lines chan string
}

// Write implements io.Writer.
func (w *logWriter) Write(p []byte) (int, error) {
	w.lines <- string(p)
	return len(p), nil
}

// checkMetricsPage checks that docs/METRICS.md documents every metric on the
// page.
func checkMetricsPage(t *testing.T, page string) {
	t.Helper()
	doc, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	for _, m := range regexp.MustCompile(`(?m)^heatherstack_([a-z_]+)`).FindAllStringSubmatch(page, -1) {
		name := m[1]
		if name == "code_" {
			name = "code_N"
		}
		assert.Assert(t, strings.Contains(string(doc), fmt.Sprintf("| %s |", name)), "docs/METRICS.md does not document %s", name)
	}
}

// TestReload checks that changed settings are applied and logged once, that
// invalid settings change nothing, and that an error that repeats is logged
// once.
func TestReload(t *testing.T) {
	logs := logWriter{lines: make(chan string, 100)}
	before := Settings{Name: "h1", StopTimeout: time.Second}
	after := Settings{Name: "h1", StopTimeout: 2 * time.Second, Seeds: []netip.Addr{netip.MustParseAddr("10.0.0.9")}}
	reads := []func() (Settings, error){
		func() (Settings, error) { return before, nil },
		func() (Settings, error) { return Settings{}, hscode.New(hscode.SettingFile, "f", "broken") },
		func() (Settings, error) { return Settings{}, hscode.New(hscode.SettingFile, "f", "broken") },
		func() (Settings, error) { return after, nil },
	}
	e := &EntryHost{toControl: make(chan controlMessage, 1)}
	e.cfg = Config{Settings: before, Logger: &log.Logger{Writer: &log.IOWriter{Writer: &logs}}}
	e.stopTimeout.Store(int64(before.StopTimeout))
	r := &reloader{e: e, current: before}
	for _, read := range reads {
		assert.Equal(t, e.stopTimeout.Load(), int64(before.StopTimeout))
		e.cfg.ReadSettings = read
		r.reload(t.Context(), false)
	}
	assert.Equal(t, e.stopTimeout.Load(), int64(after.StopTimeout))
	assert.DeepEqual(t, fmt.Sprint((<-e.toControl).seeds), fmt.Sprint(after.Seeds))
	close(logs.lines)
	n := 0
	for range logs.lines {
		n++
	}
	assert.Equal(t, n, 2, "expected one log line about the error and one about the change")
}
