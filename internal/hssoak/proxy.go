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
	// mode is what a proxy does to connections.
	mode uint8

	// proxy passes connections to the store on, or disturbs them.
	proxy struct {
		to netip.AddrPort
		g  *errgroup.Group

		mu    sync.Mutex
		mode  mode
		conns map[net.Conn]bool
		// Time of the last change of mode.
		changed time.Time
	}
)

const (
	pass mode = iota
	// refuse resets connections, open and new ones.
	refuse
	// silence passes nothing on and leaves connections open.
	silence
	// oneWay passes questions on and keeps the answers back.
	oneWay
	// slow passes everything on after slowTime.
	slow
)

const (
	slowTime = 250 * time.Millisecond
	// silentPoll is the time between two looks at whether a silence is over.
	silentPoll = 50 * time.Millisecond
	proxyChunk = 16 << 10
)

var modeNames = [...]string{pass: "pass", refuse: "refuse", silence: "silence", oneWay: "one-way", slow: "slow"}

func newProxy(ctx context.Context, g *errgroup.Group, at, to netip.AddrPort) (*proxy, error) {
	l, err := hstask.ListenTCP(at)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &proxy{to: to, g: g, conns: map[net.Conn]bool{}}
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

func (p *proxy) set(m mode) {
	p.mu.Lock()
	p.mode = m
	p.changed = time.Now()
	p.mu.Unlock()
	if m == refuse {
		p.closeAll()
	}
}

// calm reports whether the store has been reachable for the time after which
// bounds hold.
func (p *proxy) calm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == pass && time.Since(p.changed) >= contactTime
}

func (p *proxy) get() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		// The connection is in trouble on purpose.
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

// serve passes one connection on until one end closes it.
func (p *proxy) serve(ctx context.Context, conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	if p.get() == refuse {
		return nil
	}
	out, err := net.DialTimeout("tcp", p.to.String(), time.Second)
	if err != nil {
		return nil //nolint:nilerr // the store is gone at the end of the run
	}
	defer func() { _ = out.Close() }()
	p.track(conn, true)
	p.track(out, true)
	defer p.track(conn, false)
	defer p.track(out, false)
	var g errgroup.Group
	g.Go(func() error { return p.copy(ctx, out, conn, false) })
	g.Go(func() error { return p.copy(ctx, conn, out, true) })
	// Broken connections are what the proxy is for.
	_ = g.Wait()
	return nil
}

// copy passes one direction on.
func (p *proxy) copy(ctx context.Context, to, from net.Conn, answers bool) error {
	defer func() { _ = to.Close() }()
	buf := make([]byte, proxyChunk)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return err
		}
		for p.holds(answers) && ctx.Err() == nil {
			hstask.Sleep(ctx, silentPoll)
		}
		if p.get() == slow {
			hstask.Sleep(ctx, slowTime)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return err
		}
	}
}

func (p *proxy) holds(answers bool) bool {
	m := p.get()
	return m == silence || (m == oneWay && answers)
}
