package node

import (
	"fmt"
	"net/netip"

	"github.com/radishmast/radishmast/internal/link/peer"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// Sender encodes datagrams and sends them to other processes in batches. It is not safe for
// concurrent use: each goroutine has its own.
type Sender struct {
	node   *Node
	codec  *datagram.Codec
	writer *peer.Writer
}

// NewSender returns a sender that uses the node's datagram socket.
func (n *Node) NewSender() (*Sender, error) { return n.newSender(n.NewWriter()) }

func (n *Node) newSender(writer *peer.Writer) (*Sender, error) {
	codec, err := n.NewCodec()
	if err != nil {
		return nil, fmt.Errorf("set up datagram sender: %w", err)
	}
	return &Sender{node: n, codec: codec, writer: writer}, nil
}

// Queue encodes a datagram, adds it to the batch, and returns its size in bytes. A datagram
// that cannot be encoded, or for which a full batch could not be sent, is dropped and
// counted, and the size is zero. A datagram to a peer with a separate socket is sent at once;
// if that fails, it is lost and not counted.
func (s *Sender) Queue(header *datagram.Header, body []byte, to netip.AddrPort) int {
	buffer, err := s.writer.Next()
	if err == nil {
		err = s.codec.AppendTo(buffer, header, body)
	}
	if err != nil {
		s.node.counters.Add("drop_send_failed", 1)
		return 0
	}
	size := buffer.Len()
	s.writer.Queue(to)
	return size
}

// QueueControl queues a datagram like Queue and counts it as control traffic, even if Queue
// drops it.
func (s *Sender) QueueControl(header *datagram.Header, body []byte, to netip.AddrPort) {
	size := s.Queue(header, body, to)
	s.node.counters.Add("control_datagrams_sent", 1)
	s.node.counters.Add("control_bytes_sent", size)
}

// Flush sends the batch. If a datagram cannot be sent, the others are still sent, and the
// failure is counted once for the batch.
func (s *Sender) Flush() {
	if err := s.writer.Flush(); err != nil {
		s.node.counters.Add("drop_send_failed", 1)
	}
}
