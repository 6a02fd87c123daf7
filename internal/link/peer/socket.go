// Package peer sends and receives UDP datagrams in batches, between processes of the system
// and to and from the fabric.
package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/radishmast/radishmast/internal/wire/datagram"
)

const (
	// batchSize is the maximum number of datagrams read or written by one system call.
	batchSize = 64
	// singleBatchSize is the batch size for sockets that receive few datagrams.
	singleBatchSize = 1
	// socketBufferSize is the requested size of a socket's buffer in each direction, in
	// bytes.
	socketBufferSize = 4 << 20
)

// Listen opens a UDP socket with SO_REUSEPORT, so that other sockets of the process may be
// bound to the same address.
func Listen(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: setReusePort}
	conn, err := config.ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	udp := conn.(*net.UDPConn)
	if err := udp.SetReadBuffer(socketBufferSize); err != nil {
		return nil, fmt.Errorf("set read buffer of %s: %w", address, err)
	}
	if err := udp.SetWriteBuffer(socketBufferSize); err != nil {
		return nil, fmt.Errorf("set write buffer of %s: %w", address, err)
	}
	return udp, nil
}

// setReusePort sets SO_REUSEPORT on a socket.
func setReusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, optionErr)
}

// Reader reads datagrams from a socket in batches. It is not safe for concurrent use.
type Reader struct {
	conn     *ipv4.PacketConn
	messages []ipv4.Message
}

// NewReader returns a reader for a socket with much traffic, with buffers for a whole batch.
func NewReader(conn *net.UDPConn) *Reader { return newReader(conn, batchSize) }

// NewSingleReader returns a reader for a socket with little traffic, with a buffer for one
// datagram.
func NewSingleReader(conn *net.UDPConn) *Reader { return newReader(conn, singleBatchSize) }

func newReader(conn *net.UDPConn, batch int) *Reader {
	messages := make([]ipv4.Message, batch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, datagram.MaxSize+1)}
	}
	return &Reader{conn: ipv4.NewPacketConn(conn), messages: messages}
}

// Read waits for datagrams, reads a batch and returns the number of datagrams in it.
func (r *Reader) Read() (int, error) {
	count, err := r.conn.ReadBatch(r.messages, 0)
	if err != nil {
		return 0, fmt.Errorf("read datagrams: %w", err)
	}
	return count, nil
}

// Datagram returns datagram i of the last batch. It is valid until the next Read. A datagram
// larger than datagram.MaxSize is truncated to MaxSize+1 bytes, so that Codec.Decode rejects it
// with ErrSize.
func (r *Reader) Datagram(i int) []byte {
	return r.messages[i].Buffers[0][:r.messages[i].N]
}

// Source returns the endpoint that sent datagram i of the last batch.
func (r *Reader) Source(i int) netip.AddrPort {
	udp, ok := r.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return udp.AddrPort()
}

// Paths holds a separate socket for each peer to which the path from a writer's common socket
// no longer works. Datagrams to all other peers use the common socket. Paths is safe for
// concurrent use, but only one goroutine may call SetSocket.
type Paths struct {
	sockets atomic.Pointer[map[netip.AddrPort]*net.UDPConn]
}

// NewPaths returns a table in which every peer is reached through the common socket.
func NewPaths() *Paths {
	p := new(Paths)
	p.sockets.Store(&map[netip.AddrPort]*net.UDPConn{})
	return p
}

// SetSocket sets the socket for datagrams to a peer and returns the one it replaces, or nil if
// that was the common socket. Only one goroutine may call it.
func (p *Paths) SetSocket(to netip.AddrPort, conn *net.UDPConn) *net.UDPConn {
	updated := maps.Clone(*p.sockets.Load())
	replaced := updated[to]
	updated[to] = conn
	p.sockets.Store(&updated)
	return replaced
}

// socket returns the socket for a peer, or nil for the common socket.
func (p *Paths) socket(to netip.AddrPort) *net.UDPConn {
	sockets := *p.sockets.Load()
	if len(sockets) == 0 {
		return nil
	}
	return sockets[to]
}

// Writer collects datagrams and writes them to a socket in batches. It is not safe for
// concurrent use.
type Writer struct {
	conn      *ipv4.PacketConn
	paths     *Paths
	messages  []ipv4.Message
	buffers   []bytes.Buffer
	queued    int
	addresses map[netip.AddrPort]*net.UDPAddr
}

// NewWriter returns a writer to conn, the common socket, and to the sockets in paths for the
// peers listed there.
func NewWriter(conn *net.UDPConn, paths *Paths) *Writer {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = make([][]byte, 1)
	}
	return &Writer{
		conn:      ipv4.NewPacketConn(conn),
		paths:     paths,
		messages:  messages,
		buffers:   make([]bytes.Buffer, batchSize),
		addresses: make(map[netip.AddrPort]*net.UDPAddr),
	}
}

// Next returns an empty buffer for the next datagram, which Queue then adds to the batch. It
// flushes the batch first if it is full.
func (w *Writer) Next() (*bytes.Buffer, error) {
	if w.queued == batchSize {
		if err := w.Flush(); err != nil {
			return nil, err
		}
	}
	buffer := &w.buffers[w.queued]
	buffer.Reset()
	return buffer, nil
}

// Queue adds the datagram in the buffer last returned by Next to the batch. A datagram to a
// peer with a socket of its own is sent immediately instead.
func (w *Writer) Queue(to netip.AddrPort) {
	if conn := w.paths.socket(to); conn != nil {
		// A datagram that cannot be sent is lost, like one that the network drops.
		_, _ = conn.WriteToUDPAddrPort(w.buffers[w.queued].Bytes(), to)
		return
	}
	w.messages[w.queued].Buffers[0] = w.buffers[w.queued].Bytes()
	w.messages[w.queued].Addr = w.cachedAddress(to)
	w.queued++
}

// maxAddresses is the maximum number of entries in a writer's address cache, which is emptied
// when it is full.
const maxAddresses = 1 << 16

// cachedAddress returns the address as a *net.UDPAddr, which it allocates once per address.
func (w *Writer) cachedAddress(to netip.AddrPort) *net.UDPAddr {
	address := w.addresses[to]
	if address != nil {
		return address
	}
	if len(w.addresses) >= maxAddresses {
		clear(w.addresses)
	}
	address = net.UDPAddrFromAddrPort(to)
	w.addresses[to] = address
	return address
}

// Flush writes the batch. A datagram that cannot be sent is lost, like one that the network
// drops, and the rest of the batch is still written. It returns the last error.
func (w *Writer) Flush() error {
	var lastErr error
	for start := 0; start < w.queued; {
		count, err := w.conn.WriteBatch(w.messages[start:w.queued], 0)
		if err != nil {
			lastErr = fmt.Errorf("write datagram to %s: %w", w.messages[start].Addr, err)
			count = 1
		}
		start += count
	}
	w.queued = 0
	return lastErr
}
