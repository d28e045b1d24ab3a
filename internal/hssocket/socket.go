// Package hssocket reads and writes datagrams in batches.
package hssocket

import (
	"context"
	"net"
	"net/netip"

	"github.com/juju/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"

	"heatherstack.org/heatherstack/internal/hspacket"
)

type (
	// Conn reads and writes several datagrams in one system call.
	Conn interface {
		ReadBatch(ms []ipv4.Message, flags int) (int, error)
		WriteBatch(ms []ipv4.Message, flags int) (int, error)
	}

	// Batch is a set of received datagrams. It travels from the reader to the
	// switch and back.
	Batch struct {
		Messages []ipv4.Message
		// Number of messages that were received.
		N int
		// One buffer per message; a datagram starts at Received.
		Buffers [][]byte
	}

	// Sender collects datagrams and writes them in batches.
	Sender struct {
		conn     Conn
		messages []ipv4.Message
		n        int
		// Destinations in the form that the socket takes.
		addrs map[netip.AddrPort]*net.UDPAddr
		// Datagrams that could not be sent.
		Failed uint64
	}
)

const (
	// Batches is the number of batches that a reader and its consumer share.
	Batches = 8

	batchSize = 64
	// Received is the offset of a datagram in its buffer, so that a longer
	// tunnel header fits in front of the inner packet.
	Received   = hspacket.Headroom
	bufferSize = Received + 128 + hspacket.MaxInner
)

// NewConn returns conn for batches.
func NewConn(conn *net.UDPConn) Conn {
	local, _ := netip.ParseAddrPort(conn.LocalAddr().String())
	if local.Addr().Unmap().Is4() {
		return ipv4.NewPacketConn(conn)
	}
	return ipv6.NewPacketConn(conn)
}

// NewBatch returns an empty batch.
func NewBatch() *Batch {
	b := &Batch{Messages: make([]ipv4.Message, batchSize), Buffers: make([][]byte, batchSize)}
	for i := range b.Messages {
		b.Buffers[i] = make([]byte, bufferSize)
		b.Messages[i].Buffers = [][]byte{b.Buffers[i][Received:]}
	}
	return b
}

// Read fills free batches and passes them on until ctx or the socket ends.
func Read(ctx context.Context, conn Conn, free <-chan *Batch, full chan<- *Batch) error {
	for {
		var b *Batch
		select {
		case b = <-free:
		case <-ctx.Done():
			return nil
		}
		n, err := conn.ReadBatch(b.Messages, 0)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			n = 0
		}
		b.N = n
		select {
		case full <- b:
		case <-ctx.Done():
			return nil
		}
	}
}

// NewSender returns a sender that writes to conn.
func NewSender(conn Conn) *Sender {
	s := &Sender{conn: conn, messages: make([]ipv4.Message, batchSize), addrs: map[netip.AddrPort]*net.UDPAddr{}}
	for i := range s.messages {
		s.messages[i].Buffers = make([][]byte, 1)
	}
	return s
}

// Send queues a datagram; its memory must stay as it is until Flush.
func (s *Sender) Send(to netip.AddrPort, data []byte) {
	addr, ok := s.addrs[to]
	if !ok {
		addr = net.UDPAddrFromAddrPort(to)
		s.addrs[to] = addr
	}
	m := &s.messages[s.n]
	m.Buffers[0] = data
	m.Addr = addr
	s.n++
	if s.n == len(s.messages) {
		s.Flush()
	}
}

// Flush writes what is queued. A datagram that the socket refuses is counted
// and skipped; senders above recover from loss.
func (s *Sender) Flush() {
	for done := 0; done < s.n; {
		n, err := s.conn.WriteBatch(s.messages[done:s.n], 0)
		if err != nil {
			s.Failed++
			n = max(n, 0) + 1
		}
		done += n
	}
	s.n = 0
}
