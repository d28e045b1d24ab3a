// Package hstask holds what the tasks of the programs share: waiting, asking one
// another, and opening sockets.
package hstask

import (
	"context"
	"net"
	"net/netip"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
)

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
