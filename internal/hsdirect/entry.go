// Package hsdirect implements the hsdirect program: an entry host for direct
// server return, where targets answer callers directly. Other entry hosts are
// its peers. Each task owns its sockets and state; tasks communicate by
// messages:
//
//	data        reads callers' packets, decides where they go, and forwards them
//	heartbeats  reads heartbeats and passes them to control
//	control     owns membership and the published state
//	reader      lists and watches the store while this host is a reader
//	fetcher     fetches changes from peers
//	servers     answer peers' fetches, readiness checks and metrics requests
//	reload      reads the settings again periodically and on a signal
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
	// Store provides the published state. Errors are *hscode.Error.
	Store interface {
		// List returns the whole state.
		List(ctx context.Context) (hsfeed.Update, error)
		// Watch waits up to the given time for changes after a position. The update
		// is empty if there were none. An error with code PlatformHistory means that
		// the store no longer has these changes, or is in another era.
		Watch(ctx context.Context, after hsfeed.Position, wait time.Duration) (hsfeed.Update, error)
	}

	// Codec decodes and encodes packets in the formats of callers and targets.
	Codec interface {
		// Decode decodes the header of a packet. It returns a code other than OK if
		// data is not a valid packet.
		Decode(data []byte, p *hscookie.Packet) hscode.Code
		// AppendForTarget appends a packet to dst in the format that targets expect,
		// with the cookie set.
		AppendForTarget(dst, data []byte, id hsfeed.TargetID, c hscookie.Cookie) []byte
		// AppendReset appends a packet to dst that resets p's flow.
		AppendReset(dst []byte, p *hscookie.Packet) []byte
		// CallerAddr returns the address to which packets for p's caller are sent.
		CallerAddr(p *hscookie.Packet) netip.AddrPort
	}

	// Config holds the settings and dependencies of an entry host.
	Config struct {
		Settings Settings
		Store    Store
		Codec    Codec
		// URL path of the readiness check.
		ReadyPath string
		// Boot number; increases with each start unless the clock was set back.
		Boot   uint64
		Logger *log.Logger
		// Reads the settings again; nil if they never change.
		ReadSettings func() (Settings, error)
		// Delivers requests to read the settings again; may be nil.
		Reload <-chan os.Signal
	}

	// EntryHost is one entry host.
	EntryHost struct {
		cfg     Config
		sockets sockets
		// Queues of messages to the tasks.
		toData    chan dataMessage
		toControl chan controlMessage
		toReader  chan readerMessage
		toFetcher chan Fetch
		// True once the host can place flows.
		ready atomic.Bool
		// True during a planned stop.
		leaving atomic.Bool
		// Time of the last packet from a caller, in nanoseconds since started.
		lastPacket atomic.Int64
		started    time.Time
		// Calls to the store, and how many of them failed.
		storeCalls    atomic.Uint64
		storeFailures atomic.Uint64
		// Time limit of a planned stop, in nanoseconds.
		stopTimeout atomic.Int64
	}

	// sockets holds a socket each for callers' packets, for heartbeats, for peers'
	// calls, and for readiness checks and metrics requests.
	sockets struct {
		data      *net.UDPConn
		heartbeat *net.UDPConn
		rpc       net.Listener
		ready     net.Listener
	}
)

const (
	// Lengths of the queues between tasks: about a second of messages each, except
	// for fetches, which are rare.
	dataQueueLength    = 256
	controlQueueLength = 1024
	fetchQueueLength   = 16
	// dataBufferSize is the requested size of the data socket's receive buffer in
	// bytes: half a second of packets at ten times the usual rate.
	dataBufferSize = 4 << 20
	// minStopTime is the minimum time for which a stopping host keeps forwarding:
	// the routers detect within two probes that it is not ready.
	minStopTime = 1500 * time.Millisecond
	// quietTimeout is the time without packets after which a stopping host exits.
	quietTimeout     = time.Second
	stopPollInterval = 100 * time.Millisecond
)

// New creates an entry host and opens its sockets. Errors carry a result code.
func New(cfg Config) (*EntryHost, error) {
	cfg.Settings = cfg.Settings.withDefaults()
	e := &EntryHost{
		cfg:       cfg,
		toData:    make(chan dataMessage, dataQueueLength),
		toControl: make(chan controlMessage, controlQueueLength),
		toReader:  make(chan readerMessage, 1),
		toFetcher: make(chan Fetch, fetchQueueLength),
		started:   time.Now(),
	}
	e.stopTimeout.Store(int64(cfg.Settings.StopTimeout))
	if err := e.openSockets(); err != nil {
		e.sockets.close()
		return nil, errors.Trace(err)
	}
	return e, nil
}

// Run serves until ctx ends, then carries out the planned stop and returns.
func (e *EntryHost) Run(ctx context.Context) error {
	return hstask.Run(ctx, e.awaitStop, e.sockets.close,
		e.runData, e.runHeartbeats, e.runControl, e.runReader, e.runFetcher, e.runPeerServer, e.runReadyServer, e.runReload)
}

// awaitStop returns when the planned stop has ended or a task has failed.
func (e *EntryHost) awaitStop(ctx, tasks context.Context) {
	select {
	case <-ctx.Done():
		e.plannedStop(tasks)
	case <-tasks.Done():
	}
}

// plannedStop makes the readiness check fail and keeps forwarding until the
// routers send no more packets or the time limit has passed.
func (e *EntryHost) plannedStop(ctx context.Context) {
	e.log(log.InfoLevel, hscode.OK).Msg("planned stop begins")
	e.leaving.Store(true)
	select {
	case e.toControl <- controlMessage{leave: true}:
	case <-ctx.Done():
		return
	}
	begin := time.Now()
	for ctx.Err() == nil {
		hstask.Sleep(ctx, stopPollInterval)
		age := time.Since(begin)
		quiet := time.Since(e.started) - time.Duration(e.lastPacket.Load())
		if age >= time.Duration(e.stopTimeout.Load()) || (age >= minStopTime && quiet >= quietTimeout) {
			e.log(log.InfoLevel, hscode.OK).Dur("took", age).Dur("quiet", quiet).Msg("planned stop ends")
			return
		}
	}
}

func (e *EntryHost) openSockets() error {
	s := &e.cfg.Settings
	var err error
	if e.sockets.data, err = hstask.ListenUDP(s.DataAddr); err != nil {
		return errors.Trace(err)
	}
	if err := e.sockets.data.SetReadBuffer(dataBufferSize); err != nil {
		e.log(log.WarnLevel, hscode.ProcessSocket).Err(err).Msg("cannot set the size of the receive buffer; using the default")
	}
	peer := netip.AddrPortFrom(s.DataAddr.Addr(), s.PeerPort)
	if e.sockets.heartbeat, err = hstask.ListenUDP(peer); err != nil {
		return errors.Trace(err)
	}
	if e.sockets.rpc, err = hstask.ListenTCP(peer); err != nil {
		return errors.Trace(err)
	}
	e.sockets.ready, err = hstask.ListenTCP(s.ReadyAddr)
	return errors.Trace(err)
}

// close closes the sockets. It ignores errors, since the process is about to
// exit.
func (s *sockets) close() {
	if s.data != nil {
		_ = s.data.Close()
	}
	if s.heartbeat != nil {
		_ = s.heartbeat.Close()
	}
	if s.rpc != nil {
		_ = s.rpc.Close()
	}
	if s.ready != nil {
		_ = s.ready.Close()
	}
}

func (e *EntryHost) runReadyServer(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.cfg.ReadyPath, e.serveReady)
	mux.HandleFunc("GET "+metricsPath, e.serveMetrics)
	mux.HandleFunc("GET "+statusPath, e.serveStatus)
	return hshttp.Serve(ctx, e.sockets.ready, mux)
}

// serveReady answers 200 if the routers may send packets to this host, else
// 503.
func (e *EntryHost) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready.Load() || e.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// log starts a log line with the host's name, its boot number and a result
// code.
func (e *EntryHost) log(level log.Level, code hscode.Code) *log.Entry {
	return e.cfg.Logger.WithLevel(level).
		Str("host", e.cfg.Settings.Name).
		Uint64("boot", e.cfg.Boot).
		Uint16("code", uint16(code))
}
