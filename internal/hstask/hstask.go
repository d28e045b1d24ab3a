// Package hstask holds what the tasks of the programs share: running until a
// planned stop, waiting, asking one another, and opening sockets.
package hstask

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hscode"
)

// Run runs tasks until ctx ends and stop has returned, or until one of them
// fails. stop gets ctx and the context of the tasks, and returns when the tasks
// have to go; then their context ends, and closeAll is called to wake those that
// wait in sockets.
func Run(
	ctx context.Context, stop func(ctx, tasks context.Context), closeAll func(), tasks ...func(context.Context) error,
) error {
	hard, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, hard := errgroup.WithContext(hard)
	for _, task := range tasks {
		g.Go(func() error { return task(hard) })
	}
	g.Go(func() error {
		defer closeAll()
		defer cancel()
		stop(ctx, hard)
		return nil
	})
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Trace(err)
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Ask sends a question to a task and waits for the answer. It returns false if
// ctx ends before.
func Ask[Q, A any](ctx context.Context, to chan<- Q, question Q, answer <-chan A) (A, bool) {
	var none A
	select {
	case to <- question:
	case <-ctx.Done():
		return none, false
	}
	return Await(ctx, answer)
}

// Await waits for an answer. It returns false if ctx ends before.
func Await[A any](ctx context.Context, answer <-chan A) (A, bool) {
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		var none A
		return none, false
	}
}

// ListenUDP opens a datagram socket. Errors are *hscode.Error.
func ListenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, hscode.New(hscode.ProcessSocket, a.String(), "%v", err)
	}
	return conn, nil
}

// ListenTCP opens a socket for connections. Errors are *hscode.Error.
func ListenTCP(a netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return nil, hscode.New(hscode.ProcessSocket, a.String(), "%v", err)
	}
	return l, nil
}
