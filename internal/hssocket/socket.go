// Package hssocket reads and writes UDP datagrams in batches, to save system
// calls.
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

	// Batch holds received datagrams. ReadBatches fills it and passes it to the
	// consumer, which returns it for reuse.
	Batch struct {
		Messages []ipv4.Message
		// Number of messages that were received; the others are unused.
		N int
		// One buffer per message. A datagram starts at offset DatagramOffset.
		Buffers [][]byte
	}

	// Sender collects datagrams and writes them in batches.
	Sender struct {
		conn     Conn
		messages []ipv4.Message
		n        int
		// Destination addresses in the type that ipv4.Message requires.
		addrs map[netip.AddrPort]*net.UDPAddr
		// Number of datagrams that could not be sent.
		Failed uint64
	}
)

const (
	// BatchCount is the number of batches that ReadBatches and its consumer
	// share.
	BatchCount = 8

	batchSize = 64
	// DatagramOffset is the offset of a received datagram in its buffer. The
	// space in front leaves room for a longer tunnel header when the inner
	// packet is forwarded.
	DatagramOffset = hspacket.Headroom
	// bufferSize leaves 128 bytes for the tunnel header of a received datagram.
	bufferSize = DatagramOffset + 128 + hspacket.MaxInnerSize
)

// NewConn returns a Conn that reads from and writes to conn.
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
		b.Messages[i].Buffers = [][]byte{b.Buffers[i][DatagramOffset:]}
	}
	return b
}

// ReadBatches takes batches from the channel free, fills them and sends them to
// the channel full, until ctx is cancelled or the socket is closed. After any
// other read error it sends an empty batch.
func ReadBatches(ctx context.Context, conn Conn, free <-chan *Batch, full chan<- *Batch) error {
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

// Send queues a datagram. data must not be modified before Flush. Send flushes
// the queue itself when it is full.
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

// Flush writes the queued datagrams. A datagram that the socket does not accept
// is counted and dropped; the protocols above recover from packet loss.
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
