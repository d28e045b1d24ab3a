// Package hsentry is the program of an entry host. Its tasks own their sockets
// and state and talk by messages:
//
//	reader    reads batches of packets from the data socket
//	switch    owns the decision core and writes to the data socket
//	control   owns membership and the manifest in force, makes views
//	platform  reads the manifest while this host is one of its zone's readers
//	caller    calls other hosts for manifests and handover
//	server    answers such calls
//	admin     serves the status page
//
// The switch task never blocks on another task.
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
	"heatherstack.org/heatherstack/internal/hshome"
	"heatherstack.org/heatherstack/internal/hsplatform"
	"heatherstack.org/heatherstack/internal/hssettings"
	"heatherstack.org/heatherstack/internal/hssocket"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// Config holds what an entry host is made of.
	Config struct {
		Settings hssettings.Settings
		// Boot number; must rise with each start of the host.
		Boot   uint64
		Logger *log.Logger
		// Nil means the HTTP client of Settings.Platform.
		Platform hsplatform.Platform
	}

	// Entry is one entry host.
	Entry struct {
		cfg     Config
		sockets sockets
		// Messages to the tasks.
		toSwitch   chan switchMessage
		toControl  chan controlMessage
		toClient   chan callMessage
		toPlatform chan bool
		killed     chan struct{}
		killOnce   sync.Once
		stopped    chan struct{}
	}

	sockets struct {
		data    *net.UDPConn
		control *net.UDPConn
		peer    net.Listener
		// Nil if there is no admin page.
		admin net.Listener
		// Batches of the data socket that the reader may fill, and that it filled.
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

// New opens the sockets of an entry host. Errors carry a result code.
func New(cfg Config) (*Entry, error) {
	e := &Entry{
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

// Run serves until ctx ends, which starts a planned stop, and returns when it
// is over.
func (e *Entry) Run(ctx context.Context) error {
	return hstask.Run(ctx, e.awaitStop, e.sockets.close,
		e.runReader, e.runSwitch, e.runControlReader, e.runControl, e.runPlatform, e.runClient, e.runServer, e.runAdmin)
}

// Kill ends the host at once, as a crash would.
func (e *Entry) Kill() {
	e.killOnce.Do(func() { close(e.killed) })
}

// awaitStop returns when the host has to go: when its planned stop is over, it
// was killed, or a task failed.
func (e *Entry) awaitStop(ctx, taskCtx context.Context) {
	select {
	case <-ctx.Done():
		e.plannedStop(taskCtx)
	case <-e.killed:
	case <-taskCtx.Done():
	}
}

func (e *Entry) plannedStop(taskCtx context.Context) {
	e.log(log.InfoLevel, hscode.OK).Msg("planned stop begins")
	limit := time.NewTimer(e.cfg.Settings.Drain)
	defer limit.Stop()
	select {
	case e.toControl <- controlMessage{kind: leaveMessage}:
	case <-taskCtx.Done():
		return
	}
	select {
	case <-e.stopped:
		e.log(log.InfoLevel, hscode.OK).Msg("planned stop ends: quiet")
	case <-limit.C:
		e.log(log.WarnLevel, hscode.OK).Msg("planned stop ends: time limit")
	case <-e.killed:
	case <-taskCtx.Done():
	}
}

func (e *Entry) openSockets() error {
	s := e.cfg.Settings
	e.sockets.free = make(chan *hssocket.Batch, hssocket.Batches)
	e.sockets.full = make(chan *hssocket.Batch, hssocket.Batches)
	for range hssocket.Batches {
		e.sockets.free <- hssocket.NewBatch()
	}
	var err error
	if e.sockets.data, err = listenUDP(netip.AddrPortFrom(s.Address, s.Data)); err != nil {
		return errors.Trace(err)
	}
	if e.sockets.control, err = listenUDP(netip.AddrPortFrom(s.Address, s.Control)); err != nil {
		return errors.Trace(err)
	}
	if e.sockets.peer, err = hstask.ListenTCP(netip.AddrPortFrom(s.Address, s.Peer)); err != nil {
		return errors.Trace(err)
	}
	if s.Admin.IsValid() {
		if e.sockets.admin, err = hstask.ListenTCP(s.Admin); err != nil {
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

// log starts a log line with the host's name, boot and a result code.
func (e *Entry) log(level log.Level, code hscode.Code) *log.Entry {
	return e.cfg.Logger.WithLevel(level).
		Str("host", e.cfg.Settings.Name).
		Uint64("boot", e.cfg.Boot).
		Uint16("code", uint16(code))
}

// coreConfig returns the settings of the decision coreConfig.
func (e *Entry) coreConfig(now time.Time) hshome.Config {
	return hshome.Config{
		Boot:     uint32(e.cfg.Boot),
		MaxFlows: e.cfg.Settings.Flows,
		Idle:     e.cfg.Settings.Idle,
		Start:    now,
	}
}
