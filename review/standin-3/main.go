// Package main plays a case of the review: hosts of the project as processes of
// their own, beside stand-ins for the store, servers, clients and routers.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
	"heatherstack.org/heatherstack/platform"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case.
type scenario struct {
	// Parts of the terms, as in the settings of a deployment.
	contracts []string
	// Time bounds of the configuration and of a server that drains.
	bound time.Duration
	// Time for which a server works on a request, and pause of a client between two
	// requests of a flow.
	work  time.Duration
	pause time.Duration
	// Requests of a flow; 1 for a flow each.
	requests int
	// What happens, with and without the disruption, and how long it takes.
	play func(ctx context.Context, w *world, trouble bool)
	// Checks a flow that a server has accepted; may be nil.
	judgeOpened func(w *world, s *server, f *serverFlow)
}

const (
	// calmTime is the time in which all hosts come to be in touch.
	calmTime = contactTime + time.Second
	deadline = 5 * time.Second
	// longFlow is a number of requests that no flow reaches.
	longFlow = 1000
	// firstVersion is the version of the first configuration, changeInterval the time
	// between two changes of it, and changeCount their number.
	firstVersion   = 7
	changeInterval = 8 * time.Second
	changeCount    = 6
	// Entries of another program: the largest size that the store takes, the time
	// between two of them, and the number of their keys.
	largeSize     = 1 << 20
	largeInterval = 100 * time.Millisecond
	largeCount    = 100
	// downTime is the time for which all processes are down after the final fault, and
	// recoveryTime the time within which requests have to be served again.
	downTime     = 1200 * time.Millisecond
	recoveryTime = 12 * time.Second
	monitorPort  = 9100
	// lateMargin is added to a bound before it counts as exceeded.
	lateMargin = 500 * time.Millisecond
)

var (
	plainContracts  = []string{"base", "drain", "config", "cost", "recover", "flows", "platform"}
	healthContracts = []string{"base", "drain", "config", "cost", "recover", "health", "flows", "platform"}
)

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "", "program of a host")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	logs := flag.String("logs", "", "folder that keeps the hosts' logs")
	flag.Parse()
	sc := scenarios()[*name]
	if sc == nil || *binary == "" {
		fmt.Fprintln(os.Stderr, "unknown case, or no program")
		os.Exit(exitNotRun)
	}
	os.Exit(run(sc, *binary, *record, *logs, *trouble))
}

func run(sc *scenario, binary, record, logs string, trouble bool) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder := logs
	if folder == "" {
		if folder, err = os.MkdirTemp("", "case"); err != nil {
			rec.problem("%v", err)
			return rec.finish()
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	if binary, err = filepath.Abs(binary); err != nil {
		rec.problem("%v", err)
		return rec.finish()
	}
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	w := &world{sc: sc, rec: rec, g: g, store: platform.NewFakeStore(), subnet: byte(firstSubnet + os.Getpid()%subnetCount), owners: map[netip.AddrPort]*server{}}
	if err := w.start(ctx, binary, folder); err != nil {
		rec.problem("%v", err)
	} else {
		w.play(ctx, trouble)
	}
	cancel()
	w.stop()
	if err := g.Wait(); err != nil {
		rec.problem("%v", err)
	}
	return rec.finish()
}

// play lets the clients work during the case.
func (w *world) play(ctx context.Context, trouble bool) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var clients errgroup.Group
	for _, c := range w.clients {
		for range w.sc.flows() {
			clients.Go(func() error {
				c.work(ctx)
				return nil
			})
		}
	}
	hstask.Sleep(ctx, calmTime)
	w.judging.Store(true)
	w.sc.play(ctx, w, trouble)
	stop()
	// The clients return no errors.
	_ = clients.Wait()
}

// flows returns the number of flows that a client has at a time.
func (sc *scenario) flows() int {
	if sc.requests == 1 {
		return 1
	}
	return 3
}

// work opens one flow after the other and sends requests on them.
func (c *client) work(ctx context.Context) {
	// Clients do not begin at the same time.
	hstask.Sleep(ctx, rand.N(c.w.sc.pause))
	for ctx.Err() == nil {
		count := c.w.tally.Load()
		if count != nil {
			count.sent.Add(1)
		}
		f := c.newFlow(deskRoute)
		if !f.open(ctx) {
			hstask.Sleep(ctx, 200*time.Millisecond)
			continue
		}
		n := 0
		for n < c.w.sc.requests && f.request(ctx, deadline) {
			if n == 0 && count != nil {
				count.served.Add(1)
			}
			if n++; n < c.w.sc.requests && !f.rest(ctx, c.w.sc.pause) {
				break
			}
		}
		f.close()
		hstask.Sleep(ctx, c.w.sc.pause)
	}
}

// otherNames returns an entry with the names of its fields spelled in another way.
func otherNames(value []byte) []byte {
	out := bytes.Clone(value)
	for i := 1; i < len(out); i++ {
		if out[i-1] == '"' && i > 1 && (out[i-2] == '{' || out[i-2] == ',') {
			out[i] = bytes.ToUpper(out[i : i+1])[0]
		}
	}
	return out
}

// unreadable returns an entry with a byte that is no text.
func unreadable(value []byte) []byte {
	return bytes.Replace(value, []byte(`"v1"`), []byte("\"v\xff\""), 1)
}

// nullStart returns an entry with a start time of another type.
func nullStart(value []byte) []byte {
	return regexp.MustCompile(`"born":\d+`).ReplaceAll(value, []byte(`"born":null`))
}

// writeForeign writes an entry of another program.
func (w *world) writeForeign(t *hsfeed.Target, spoil func([]byte) []byte) {
	key, value := platform.Format{}.EncodeEvent(&hsfeed.Event{Target: t})
	spoiled := spoil(value)
	if bytes.Equal(spoiled, value) {
		w.rec.problem("the entry of the other program is valid: %s", value)
		return
	}
	w.store.Put(key, spoiled)
	w.rec.line("foreign", "another program has written %q: %q", key, spoiled)
}

func scenarios() map[string]*scenario {
	return map[string]*scenario{"route": routeScenario(), "flow": flowScenario(), "drain": drainScenario(), "config": configScenario(), "recover": recoverScenario()}
}

// routeScenario has an entry of another program, with other names of the fields, that
// describes a server of one service as one of the other.
func routeScenario() *scenario {
	return &scenario{
		contracts: plainContracts, bound: 3 * time.Second, work: 70 * time.Millisecond, pause: 100 * time.Millisecond, requests: 1,
		play: func(ctx context.Context, w *world, trouble bool) {
			if trouble {
				t := w.servers[len(w.servers)-1].entry
				t.Name = fmt.Sprintf("mon-%x", uint64(t.ID))
				t.Service = desk
				t.StartUnixMilli = time.Now().UnixMilli()
				w.writeForeign(&t, otherNames)
			}
			hstask.Sleep(ctx, 12*time.Second)
		},
	}
}

// flowScenario has flows that stay open, and entries of another program, with a byte
// that cannot be read, that have the addresses of servers.
func flowScenario() *scenario {
	return &scenario{
		contracts: healthContracts, bound: 5 * time.Second, work: 400 * time.Millisecond, pause: 4 * time.Second, requests: longFlow,
		play: func(ctx context.Context, w *world, trouble bool) {
			for n := range w.servers {
				if !trouble {
					break
				}
				t := w.servers[n].entry
				t.ID += 0x1000
				t.Name = fmt.Sprintf("mon-%x", uint64(t.ID))
				t.StartUnixMilli = time.Now().UnixMilli()
				w.writeForeign(&t, unreadable)
			}
			hstask.Sleep(ctx, 15*time.Second)
		},
	}
}

// drainScenario has a server that drains, serves for some time longer and ends, and
// another program that keeps writing the entry that the server had before, with a
// start time of another type.
func drainScenario() *scenario {
	var draining atomic.Pointer[server]
	return &scenario{
		contracts: plainContracts, bound: 3 * time.Second, work: 300 * time.Millisecond, pause: 100 * time.Millisecond, requests: 1,
		play: func(ctx context.Context, w *world, trouble bool) {
			s := w.servers[0]
			before := s.entry
			s.drain()
			draining.Store(s)
			for end := time.Now().Add(w.sc.bound + 7*time.Second); time.Now().Before(end); hstask.Sleep(ctx, time.Second) {
				if trouble {
					w.writeForeign(&before, nullStart)
				}
			}
			s.end()
			hstask.Sleep(ctx, 6*time.Second)
		},
		judgeOpened: func(w *world, s *server, f *serverFlow) {
			if s != draining.Load() {
				return
			}
			if late := time.Since(s.drainAcked); late > w.sc.bound+lateMargin {
				w.rec.violation("DRAIN: flow %s>%s was opened at %s %.1f s after the store had accepted that it drains", f.from, f.to, s.name(), late.Seconds())
			}
		},
	}
}

// configScenario has an operator who replaces a route every few seconds, while another
// program keeps writing large entries that cannot be read, under keys of its own.
func configScenario() *scenario {
	return &scenario{
		contracts: plainContracts, bound: 3 * time.Second, work: 70 * time.Millisecond, pause: 200 * time.Millisecond, requests: 1,
		play: func(ctx context.Context, w *world, trouble bool) {
			ctx, stop := context.WithCancel(ctx)
			var tasks errgroup.Group
			if trouble {
				tasks.Go(func() error {
					w.writeLarge(ctx)
					return nil
				})
			}
			var current atomic.Pointer[change]
			for _, c := range w.clients {
				tasks.Go(func() error {
					c.probe(ctx, &current)
					return nil
				})
			}
			hstask.Sleep(ctx, changeInterval)
			for n := range byte(changeCount) {
				at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, n + 1}), 443)
				version := firstVersion + 3*(uint64(n)+1)
				w.publish(version, at)
				current.Store(&change{version: version, route: at, acked: time.Now()})
				w.rec.line("config", "the store has accepted version %d, which adds route %s", version, at)
				hstask.Sleep(ctx, changeInterval)
			}
			stop()
			// The tasks return no errors.
			_ = tasks.Wait()
		},
	}
}

// change is a configuration that the store has accepted, with the route that it adds.
type change struct {
	version uint64
	route   netip.AddrPort
	acked   time.Time
}

// probe opens flows on the newest route.
func (c *client) probe(ctx context.Context, current *atomic.Pointer[change]) {
	for ; ctx.Err() == nil; hstask.Sleep(ctx, c.w.sc.pause) {
		ch := current.Load()
		if ch == nil {
			continue
		}
		f := c.newFlow(ch.route)
		age := time.Since(ch.acked)
		if f.open(ctx) {
			f.request(ctx, deadline)
			f.close()
		} else if f.refused && age > c.w.sc.bound+lateMargin {
			c.w.rec.violation("CONFIG: %s was refused by %s, %.1f s after the store had accepted version %d with its route", f, f.server, age.Seconds(), ch.version)
		}
	}
}

// writeLarge writes one large entry after the other, in turn under a few keys.
func (w *world) writeLarge(ctx context.Context) {
	value := bytes.Repeat([]byte{0xff}, largeSize)
	for n := 0; ctx.Err() == nil; n++ {
		value[0] = byte(n)
		t := w.servers[0].entry
		t.ID = hsfeed.TargetID(0x2000 + n%largeCount)
		t.Name = fmt.Sprintf("mon-%x", uint64(t.ID))
		key, _ := platform.Format{}.EncodeEvent(&hsfeed.Event{Target: &t})
		w.store.Put(key, bytes.Clone(value))
		if n%50 == 0 {
			w.rec.line("foreign", "another program has written %d entries of %d bytes", n+1, largeSize)
		}
		hstask.Sleep(ctx, largeInterval)
	}
}

// recoverScenario has entries of another program, with other names of the fields, that
// give each server with the port of that program, and a final fault right after a
// configuration was accepted.
func recoverScenario() *scenario {
	return &scenario{
		contracts: plainContracts, bound: 3 * time.Second, work: 70 * time.Millisecond, pause: 100 * time.Millisecond, requests: 1,
		play: func(ctx context.Context, w *world, trouble bool) {
			var before, after tally
			w.tally.Store(&before)
			hstask.Sleep(ctx, 8*time.Second)
			for n := range w.servers {
				if !trouble {
					break
				}
				t := w.servers[n].entry
				t.Name = fmt.Sprintf("mon-%x", uint64(t.ID))
				t.Address = netip.AddrPortFrom(t.Address.Addr(), monitorPort)
				t.StartUnixMilli = time.Now().UnixMilli()
				w.writeForeign(&t, otherNames)
			}
			w.publish(firstVersion + 1)
			w.rec.line("config", "the store has accepted version %d", firstVersion+1)
			w.tally.Store(nil)
			for _, h := range w.hosts {
				h.kill()
			}
			w.rec.line("kill", "all processes are killed")
			hstask.Sleep(ctx, downTime)
			for _, h := range w.hosts {
				if err := h.start(); err != nil {
					w.rec.problem("%v", err)
				}
			}
			w.rec.line("start", "all processes are started")
			hstask.Sleep(ctx, recoveryTime)
			w.tally.Store(&after)
			hstask.Sleep(ctx, 8*time.Second)
			w.rec.line("tally", "served before the final fault: %d of %d; sent later than %s after the machines were back: %d of %d",
				before.served.Load(), before.sent.Load(), recoveryTime, after.served.Load(), after.sent.Load())
			switch {
			case 4*before.served.Load() < before.sent.Load() || after.sent.Load() == 0:
				w.rec.problem("too few requests were sent, or served before the final fault")
			case 4*after.served.Load() < after.sent.Load():
				w.rec.violation("RECOVER: %d of %d requests are served that were sent later than %s after the machines were back; before the final fault, %d of %d",
					after.served.Load(), after.sent.Load(), recoveryTime, before.served.Load(), before.sent.Load())
			}
		},
	}
}
