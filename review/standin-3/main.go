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
		f := c.newFlow(deskRoute)
		if !f.open(ctx) {
			hstask.Sleep(ctx, 200*time.Millisecond)
			continue
		}
		n := 0
		for n < c.w.sc.requests && f.request(ctx, deadline) {
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
	return map[string]*scenario{"route": routeScenario(), "flow": flowScenario(), "drain": drainScenario()}
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
