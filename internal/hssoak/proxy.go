package hssoak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// mode is the way in which a proxy treats connections.
	mode uint8

	// proxy forwards connections to the store, or disturbs them.
	proxy struct {
		store netip.AddrPort
		g     *errgroup.Group

		mu    sync.Mutex
		mode  mode
		conns map[net.Conn]bool
		// Time of the last change of mode.
		changed time.Time
	}
)

const (
	modePass mode = iota
	// modeRefuse closes open and new connections.
	modeRefuse
	// modeUnresponsive forwards nothing and leaves connections open.
	modeUnresponsive
	// modeOneWay forwards requests and withholds the answers.
	modeOneWay
	// modeSlow forwards everything after a delay of slowDelay.
	modeSlow
)

const (
	slowDelay = 250 * time.Millisecond
	// modePollInterval is the interval at which a blocked connection checks
	// whether the mode of its proxy has changed.
	modePollInterval = 50 * time.Millisecond
	proxyBufferSize  = 16 << 10
)

var modeNames = [...]string{modePass: "pass", modeRefuse: "refuse", modeUnresponsive: "silence", modeOneWay: "one-way", modeSlow: "slow"}

func newProxy(ctx context.Context, g *errgroup.Group, addr, store netip.AddrPort) (*proxy, error) {
	l, err := hstask.ListenTCP(addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &proxy{store: store, g: g, conns: map[net.Conn]bool{}}
	g.Go(func() error {
		<-ctx.Done()
		p.closeAll()
		return l.Close()
	})
	g.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed at the end of the run
			}
			g.Go(func() error { return p.serve(ctx, conn) })
		}
	})
	return p, nil
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	p.mode = m
	p.changed = time.Now()
	p.mu.Unlock()
	if m == modeRefuse {
		p.closeAll()
	}
}

// undisturbed reports whether the mode has been modePass for at least
// gracePeriod.
func (p *proxy) undisturbed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == modePass && time.Since(p.changed) >= gracePeriod
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		// Errors do not matter: breaking the connection is the purpose.
		_ = c.Close()
	}
}

func (p *proxy) track(c net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// serve forwards one connection until either side closes it.
func (p *proxy) serve(ctx context.Context, conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	if p.currentMode() == modeRefuse {
		return nil
	}
	out, err := net.DialTimeout("tcp", p.store.String(), time.Second)
	if err != nil {
		return nil //nolint:nilerr // the store stops at the end of the run
	}
	defer func() { _ = out.Close() }()
	p.track(conn, true)
	p.track(out, true)
	defer p.track(conn, false)
	defer p.track(out, false)
	var g errgroup.Group
	g.Go(func() error { return p.copy(ctx, out, conn, false) })
	g.Go(func() error { return p.copy(ctx, conn, out, true) })
	// Errors are expected: breaking connections is the purpose of the proxy.
	_ = g.Wait()
	return nil
}

// copy forwards one direction of a connection; answers is true for the
// direction from the store.
func (p *proxy) copy(ctx context.Context, to, from net.Conn, answers bool) error {
	defer func() { _ = to.Close() }()
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return err
		}
		for p.blocks(answers) && ctx.Err() == nil {
			hstask.Sleep(ctx, modePollInterval)
		}
		if p.currentMode() == modeSlow {
			hstask.Sleep(ctx, slowDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return err
		}
	}
}

// blocks reports whether the mode blocks one direction of the connections.
func (p *proxy) blocks(answers bool) bool {
	m := p.currentMode()
	return m == modeUnresponsive || (m == modeOneWay && answers)
}
