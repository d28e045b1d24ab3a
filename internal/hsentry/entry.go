// Package hsentry implements the program hsentry, which runs an entry host.
// Each task owns its sockets and state; tasks communicate by messages:
//
//	data reader     reads batches of packets from the data socket
//	switch          runs the decision core (hsowner.Core) and writes to the data
//	                socket
//	control reader  reads and verifies heartbeats
//	control         runs the control core (hscontrol.Core): membership, the
//	                current manifest and views
//	platform        reads the manifest while this host is a reader of its zone
//	client          calls peers to fetch manifests and hand over flows
//	server          answers the calls of peers
//	admin           serves status, counters and readiness
//
// The switch task never blocks on another task.
//
// A few hosts of each zone, its readers, read the manifest from the platform;
// the other hosts fetch it from their peers. The owner of a target is the host
// that handles all packets of the target's flows.
package hsentry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsowner"
	"heatherstack.org/heatherstack/internal/hsplatform"
	"heatherstack.org/heatherstack/internal/hssettings"
	"heatherstack.org/heatherstack/internal/hssocket"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// Config holds the settings and dependencies of an entry host.
	Config struct {
		Settings hssettings.Settings
		// Boot number; must increase with each start of the host.
		Boot   uint64
		Logger *log.Logger
		// If nil, the manifest is read over HTTP from Settings.Platform.
		Platform hsplatform.Platform
	}

	// EntryHost is one entry host.
	EntryHost struct {
		cfg     Config
		sockets sockets
		// Messages to the tasks.
		toSwitch  chan switchMessage
		toControl chan controlMessage
		toClient  chan callMessage
		// Tells the platform task whether this host is a reader of its zone. Holds
		// one value.
		toPlatform chan bool
		// Closed by Kill.
		killed   chan struct{}
		killOnce sync.Once
		// Closed by the control task when a planned stop is over.
		stopped chan struct{}
	}

	sockets struct {
		data    *net.UDPConn
		control *net.UDPConn
		peer    net.Listener
		// Nil if Settings.Admin is not set.
		admin net.Listener
		// Empty batches for the data reader task to fill, and batches that it has
		// filled.
		free chan *hssocket.Batch
		full chan *hssocket.Batch
	}
)

const (
	switchQueueLen    = 1024
	controlQueueLen   = 1024
	clientQueueLen    = 4096
	socketBufferBytes = 4 << 20
)

// New creates an entry host and opens its sockets. Errors carry a result code.
func New(cfg Config) (*EntryHost, error) {
	e := &EntryHost{
		cfg:        cfg,
		toSwitch:   make(chan switchMessage, switchQueueLen),
		toControl:  make(chan controlMessage, controlQueueLen),
		toClient:   make(chan callMessage, clientQueueLen),
		toPlatform: make(chan bool, 1),
		killed:     make(chan struct{}),
		stopped:    make(chan struct{}),
	}
	if cfg.Platform == nil {
		e.cfg.Platform = hsplatform.NewClient(cfg.Settings.Platform)
	}
	if err := e.openSockets(); err != nil {
		e.sockets.close()
		return nil, errors.Trace(err)
	}
	return e, nil
}

// Run serves until ctx ends, then performs a planned stop and returns. It stops
// without a planned stop if Kill is called or a task fails.
func (e *EntryHost) Run(ctx context.Context) error {
	return hstask.Run(ctx, e.awaitStop, e.sockets.close,
		e.runDataReader, e.runSwitch, e.runControlReader, e.runControl, e.runPlatform, e.runClient, e.runServer, e.runAdmin)
}

// Kill stops the host immediately, as a crash would.
func (e *EntryHost) Kill() {
	e.killOnce.Do(func() { close(e.killed) })
}

// awaitStop returns when the tasks have to stop: after Kill, after a task has
// failed (which ends taskCtx), or at the end of the planned stop that starts
// when ctx ends.
func (e *EntryHost) awaitStop(ctx, taskCtx context.Context) {
	select {
	case <-ctx.Done():
		e.plannedStop(taskCtx)
	case <-e.killed:
	case <-taskCtx.Done():
	}
}

func (e *EntryHost) plannedStop(taskCtx context.Context) {
	e.log(log.InfoLevel, hscode.OK).Msg("planned stop begins")
	limit := time.NewTimer(e.cfg.Settings.StopTimeout)
	defer limit.Stop()
	select {
	case e.toControl <- controlMessage{kind: leaveMessage}:
	case <-taskCtx.Done():
		return
	}
	select {
	case <-e.stopped:
		e.log(log.InfoLevel, hscode.OK).Msg("planned stop ends: host is idle")
	case <-limit.C:
		e.log(log.WarnLevel, hscode.OK).Msg("planned stop ends: drain time limit reached")
	case <-e.killed:
	case <-taskCtx.Done():
	}
}

func (e *EntryHost) openSockets() error {
	s := e.cfg.Settings
	e.sockets.free = make(chan *hssocket.Batch, hssocket.BatchCount)
	e.sockets.full = make(chan *hssocket.Batch, hssocket.BatchCount)
	for range hssocket.BatchCount {
		e.sockets.free <- hssocket.NewBatch()
	}
	var err error
	if e.sockets.data, err = listenUDP(netip.AddrPortFrom(s.Address, s.DataPort)); err != nil {
		return errors.Trace(err)
	}
	if e.sockets.control, err = listenUDP(netip.AddrPortFrom(s.Address, s.ControlPort)); err != nil {
		return errors.Trace(err)
	}
	if e.sockets.peer, err = hstask.ListenTCP(netip.AddrPortFrom(s.Address, s.PeerPort)); err != nil {
		return errors.Trace(err)
	}
	if s.AdminAddr.IsValid() {
		if e.sockets.admin, err = hstask.ListenTCP(s.AdminAddr); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func listenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := hstask.ListenUDP(a)
	if err != nil {
		return nil, errors.Trace(err)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

func (s *sockets) close() {
	if s.data != nil {
		_ = s.data.Close()
	}
	if s.control != nil {
		_ = s.control.Close()
	}
	if s.peer != nil {
		_ = s.peer.Close()
	}
	if s.admin != nil {
		_ = s.admin.Close()
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

// coreConfig returns the configuration of the decision core without a view.
func (e *EntryHost) coreConfig(now time.Time) hsowner.Config {
	return hsowner.Config{
		BootNumber:  uint32(e.cfg.Boot),
		MaxFlows:    e.cfg.Settings.MaxFlows,
		IdleTimeout: e.cfg.Settings.IdleTimeout,
		Epoch:       now,
	}
}
