// Package hstask holds helpers for the concurrent tasks of a program: running
// them until a planned stop, waiting, sending requests between them over
// channels, and opening sockets.
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

// Run runs tasks until stop returns, and returns when all tasks have returned.
// The result is the error of the first task that failed, or nil if that is
// context.Canceled.
//
// The context of the tasks is not canceled when ctx ends, so that they go on
// running during a planned stop. It is canceled when a task fails. stop gets
// ctx and the context of the tasks. It has to return when the planned stop that
// follows the end of ctx is over, or earlier if the context of the tasks is
// done. Run then cancels the context of the tasks and calls closeAll, which
// closes the sockets on which tasks may be blocked.
func Run(
	ctx context.Context, stop func(ctx, tasksCtx context.Context), closeAll func(), tasks ...func(context.Context) error,
) error {
	tasksCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, tasksCtx := errgroup.WithContext(tasksCtx)
	for _, task := range tasks {
		g.Go(func() error { return task(tasksCtx) })
	}
	g.Go(func() error {
		defer closeAll()
		defer cancel()
		stop(ctx, tasksCtx)
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

// Call sends a request to another task over channel to and waits for the
// response. It returns false if ctx ends first.
func Call[Req, Resp any](ctx context.Context, to chan<- Req, request Req, response <-chan Resp) (Resp, bool) {
	var zero Resp
	select {
	case to <- request:
	case <-ctx.Done():
		return zero, false
	}
	return Await(ctx, response)
}

// Await waits for a response from another task. It returns false if ctx ends
// first.
func Await[Resp any](ctx context.Context, response <-chan Resp) (Resp, bool) {
	select {
	case r := <-response:
		return r, true
	case <-ctx.Done():
		var zero Resp
		return zero, false
	}
}

// ListenUDP opens a UDP socket. Errors are of type *hscode.Error.
func ListenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, hscode.New(hscode.ProcessSocket, a.String(), "%v", err)
	}
	return conn, nil
}

// ListenTCP opens a TCP listener. Errors are of type *hscode.Error.
func ListenTCP(a netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return nil, hscode.New(hscode.ProcessSocket, a.String(), "%v", err)
	}
	return l, nil
}
