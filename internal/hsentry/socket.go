package hsentry

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
	// batchConn reads and writes several datagrams in one system call.
	batchConn interface {
		ReadBatch(ms []ipv4.Message, flags int) (int, error)
		WriteBatch(ms []ipv4.Message, flags int) (int, error)
	}

	// batch is a set of received datagrams. It travels from the reader to the
	// switch and back.
	batch struct {
		messages []ipv4.Message
		// Number of messages that were received.
		n int
		// One buffer per message; a datagram starts at received.
		buffers [][]byte
	}

	// sender collects datagrams and writes them in batches.
	sender struct {
		conn     batchConn
		messages []ipv4.Message
		n        int
		// Destinations in the form that the socket takes.
		addrs map[netip.AddrPort]*net.UDPAddr
		// Datagrams that could not be sent.
		failed uint64
	}
)

const (
	batchSize = 64
	batches   = 8
	// received is the offset of a datagram in its buffer, so that a longer
	// tunnel header fits in front of the inner packet.
	received   = hspacket.Headroom
	bufferSize = received + 128 + hspacket.MaxInner
)

func newBatchConn(conn *net.UDPConn) batchConn {
	local, _ := netip.ParseAddrPort(conn.LocalAddr().String())
	if local.Addr().Unmap().Is4() {
		return ipv4.NewPacketConn(conn)
	}
	return ipv6.NewPacketConn(conn)
}

func newBatch() *batch {
	b := &batch{messages: make([]ipv4.Message, batchSize), buffers: make([][]byte, batchSize)}
	for i := range b.messages {
		b.buffers[i] = make([]byte, bufferSize)
		b.messages[i].Buffers = [][]byte{b.buffers[i][received:]}
	}
	return b
}

// read fills free batches and passes them on until ctx or the socket ends.
func read(ctx context.Context, conn batchConn, free <-chan *batch, full chan<- *batch) error {
	for {
		var b *batch
		select {
		case b = <-free:
		case <-ctx.Done():
			return nil
		}
		n, err := conn.ReadBatch(b.messages, 0)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			n = 0
		}
		b.n = n
		select {
		case full <- b:
		case <-ctx.Done():
			return nil
		}
	}
}

func newSender(conn batchConn) *sender {
	s := &sender{conn: conn, messages: make([]ipv4.Message, batchSize), addrs: map[netip.AddrPort]*net.UDPAddr{}}
	for i := range s.messages {
		s.messages[i].Buffers = make([][]byte, 1)
	}
	return s
}

// send queues a datagram; its memory must stay as it is until flush.
func (s *sender) send(to netip.AddrPort, data []byte) {
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
		s.flush()
	}
}

// flush writes what is queued. A datagram that the socket refuses is counted
// and skipped; senders above recover from loss.
func (s *sender) flush() {
	for done := 0; done < s.n; {
		n, err := s.conn.WriteBatch(s.messages[done:s.n], 0)
		if err != nil {
			s.failed++
			n = max(n, 0) + 1
		}
		done += n
	}
	s.n = 0
}
