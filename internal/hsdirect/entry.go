// Package hsdirect is the program of an entry host whose targets answer callers
// directly. Its tasks own their sockets and state and talk by messages:
//
//	data     reads callers' packets, owns the steering core, writes packets
//	inbox    reads heartbeats and passes them on
//	control  owns membership and the published state
//	reader   reads and watches the store while control wants it to
//	fetcher  asks other hosts for what changed
//	server   answers such calls, and readiness and metrics
//	reload   reads the settings again when they may have changed
//
// The data task never waits for another task.
package hsdirect

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hshttp"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// Store is what the program needs of the store that publishes the state.
	// Errors are *hscode.Error.
	Store interface {
		// List returns the whole state.
		List(ctx context.Context) (hsfeed.Update, error)
		// Watch waits for up to wait for changes after a revision. The update
		// is empty if there were none. An error with code PlatformHistory
		// means that the changes are not known any more.
		Watch(ctx context.Context, after uint64, wait time.Duration) (hsfeed.Update, error)
	}

	// Codec reads and writes packets as callers and targets send them.
	Codec interface {
		// Decode reads the head of a packet. Codes other than OK mean that it
		// was not a packet.
		Decode(data []byte, p *hscookie.Packet) hscode.Code
		// AppendToTarget appends a packet to dst in the form that a target
		// takes, with the cookie in it.
		AppendToTarget(dst, data []byte, id hsfeed.TargetID, c hscookie.Cookie) []byte
		// AppendReset appends the packet that resets p's flow.
		AppendReset(dst []byte, p *hscookie.Packet) []byte
		// Caller returns where packets for p's caller are sent.
		Caller(p *hscookie.Packet) netip.AddrPort
	}

	// Config holds what an entry host is made of.
	Config struct {
		Settings Settings
		Store    Store
		Codec    Codec
		// Path of the readiness check.
		ReadyPath string
		// Boot number; rises with each start unless the clock was set back.
		Boot   uint64
		Logger *log.Logger
		// Reads the settings anew; nil if they never change.
		Read func() (Settings, error)
		// Receives when the settings are to be read anew; may be nil.
		Reload <-chan os.Signal
	}

	// Entry is one entry host.
	Entry struct {
		cfg     Config
		sockets sockets
		// Messages to the tasks.
		toData    chan dataMessage
		toControl chan controlMessage
		toReader  chan readerMessage
		toFetcher chan Fetch
		// True while the host can place flows and no planned stop is under way.
		ready   atomic.Bool
		leaving atomic.Bool
		// Time of the last caller's packet, in nanoseconds since started.
		traffic atomic.Int64
		started time.Time
		// Calls of the store, and those that failed.
		calls    atomic.Uint64
		failures atomic.Uint64
		// Time limit of a planned stop, in nanoseconds.
		stopLimit atomic.Int64
	}

	sockets struct {
		data  *net.UDPConn
		peer  *net.UDPConn
		calls net.Listener
		ready net.Listener
	}
)

const (
	// Lengths of the queues between tasks: about a second of messages each, but
	// for fetches, of which few are made.
	dataQueue    = 256
	controlQueue = 1024
	fetchQueue   = 16
	// dataBuffer is the size asked for the buffers of the data socket: the
	// packets of half a second at ten times the usual rate.
	dataBuffer = 4 << 20
	// stopLeast is the time for which a stopping host forwards at least: the
	// routers notice within two probes that it is not ready.
	stopLeast = 1500 * time.Millisecond
	// quietAfter is the time without packets after which a stopping host ends.
	quietAfter = time.Second
	stopPoll   = 100 * time.Millisecond
)

// New opens the sockets of an entry host. Errors carry a result code.
func New(cfg Config) (*Entry, error) {
	cfg.Settings = cfg.Settings.filled()
	e := &Entry{
		cfg:       cfg,
		toData:    make(chan dataMessage, dataQueue),
		toControl: make(chan controlMessage, controlQueue),
		toReader:  make(chan readerMessage, 1),
		toFetcher: make(chan Fetch, fetchQueue),
		started:   time.Now(),
	}
	e.stopLimit.Store(int64(cfg.Settings.Stop))
	if err := e.open(); err != nil {
		e.sockets.close()
		return nil, errors.Trace(err)
	}
	return e, nil
}

// Run serves until ctx ends, which starts a planned stop, and returns when it
// is over.
func (e *Entry) Run(ctx context.Context) error {
	return hstask.Run(ctx, e.awaitStop, e.sockets.close,
		e.runData, e.runInbox, e.runControl, e.runReader, e.runFetcher, e.runCalls, e.runReady, e.runReload)
}

// awaitStop returns when the planned stop is over, or a task failed.
func (e *Entry) awaitStop(ctx, hard context.Context) {
	select {
	case <-ctx.Done():
		e.plannedStop(hard)
	case <-hard.Done():
	}
}

// plannedStop turns readiness off and goes on forwarding until the routers send
// nothing more.
func (e *Entry) plannedStop(ctx context.Context) {
	e.log(log.InfoLevel, hscode.OK).Msg("planned stop begins")
	e.leaving.Store(true)
	select {
	case e.toControl <- controlMessage{leave: true}:
	case <-ctx.Done():
		return
	}
	begin := time.Now()
	for ctx.Err() == nil {
		hstask.Sleep(ctx, stopPoll)
		age := time.Since(begin)
		quiet := time.Since(e.started) - time.Duration(e.traffic.Load())
		if age >= time.Duration(e.stopLimit.Load()) || (age >= stopLeast && quiet >= quietAfter) {
			e.log(log.InfoLevel, hscode.OK).Dur("took", age).Dur("quiet", quiet).Msg("planned stop ends")
			return
		}
	}
}

func (e *Entry) open() error {
	s := &e.cfg.Settings
	var err error
	if e.sockets.data, err = hstask.ListenUDP(s.Data); err != nil {
		return errors.Trace(err)
	}
	if err := e.sockets.data.SetReadBuffer(dataBuffer); err != nil {
		e.log(log.WarnLevel, hscode.ProcessSocket).Err(err).Msg("receive buffer keeps its default size")
	}
	peer := netip.AddrPortFrom(s.Data.Addr(), s.Peer)
	if e.sockets.peer, err = hstask.ListenUDP(peer); err != nil {
		return errors.Trace(err)
	}
	if e.sockets.calls, err = hstask.ListenTCP(peer); err != nil {
		return errors.Trace(err)
	}
	e.sockets.ready, err = hstask.ListenTCP(s.Ready)
	return errors.Trace(err)
}

// close closes the sockets. What goes wrong is of no use to anyone, as the
// process ends.
func (s *sockets) close() {
	if s.data != nil {
		_ = s.data.Close()
	}
	if s.peer != nil {
		_ = s.peer.Close()
	}
	if s.calls != nil {
		_ = s.calls.Close()
	}
	if s.ready != nil {
		_ = s.ready.Close()
	}
}

func (e *Entry) runReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.cfg.ReadyPath, e.serveReady)
	mux.HandleFunc("GET "+metricsPath, e.serveMetrics)
	return hshttp.Serve(ctx, e.sockets.ready, mux)
}

// serveReady answers 200 if the routers may send packets here.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready.Load() || e.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// log starts a log line with the host's name and a result code.
func (e *Entry) log(level log.Level, code hscode.Code) *log.Entry {
	return e.cfg.Logger.WithLevel(level).
		Str("host", e.cfg.Settings.Name).
		Uint64("boot", e.cfg.Boot).
		Uint16("code", uint16(code))
}
