// Package peer carries datagrams between the processes of the system over UDP,
// in batches.
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
	// batchSize is the number of datagrams read or written by one system call.
	batchSize = 64
	// singleBatchSize is for sockets that see few datagrams.
	singleBatchSize = 1
	// socketBufferSize is the size asked for in each direction, in bytes.
	socketBufferSize = 4 << 20
)

// Listen opens a UDP socket that may share its address with other sockets of
// the process.
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

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failure)
}

// Reader reads datagrams in batches.
type Reader struct {
	conn     *ipv4.PacketConn
	messages []ipv4.Message
}

// NewReader returns a reader of a socket that sees much traffic.
func NewReader(conn *net.UDPConn) *Reader { return newReader(conn, batchSize) }

// NewSingleReader returns a reader of a socket that sees few datagrams.
func NewSingleReader(conn *net.UDPConn) *Reader { return newReader(conn, singleBatchSize) }

func newReader(conn *net.UDPConn, batch int) *Reader {
	messages := make([]ipv4.Message, batch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, datagram.MaxSize+1)}
	}
	return &Reader{conn: ipv4.NewPacketConn(conn), messages: messages}
}

// Read waits for datagrams and returns how many there are.
func (r *Reader) Read() (int, error) {
	count, err := r.conn.ReadBatch(r.messages, 0)
	if err != nil {
		return 0, fmt.Errorf("read datagrams: %w", err)
	}
	return count, nil
}

// Datagram returns a datagram of the last batch. It is valid until the next Read.
func (r *Reader) Datagram(i int) []byte {
	return r.messages[i].Buffers[0][:r.messages[i].N]
}

// Source returns where a datagram of the last batch came from.
func (r *Reader) Source(i int) netip.AddrPort {
	udp, ok := r.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return udp.AddrPort()
}

// Paths holds the peers that are reached through another socket than the common
// one, because the common one's path to them has gone silent. It is safe for
// concurrent use.
type Paths struct {
	sockets atomic.Pointer[map[netip.AddrPort]*net.UDPConn]
}

// NewPaths returns a table without exceptions.
func NewPaths() *Paths {
	p := new(Paths)
	p.sockets.Store(&map[netip.AddrPort]*net.UDPConn{})
	return p
}

// SetSocket sends what goes to a peer through a socket from now on and returns the
// socket it replaces, or nil if that was the common one. Only one goroutine may
// call it.
func (p *Paths) SetSocket(to netip.AddrPort, conn *net.UDPConn) *net.UDPConn {
	changed := maps.Clone(*p.sockets.Load())
	replaced := changed[to]
	changed[to] = conn
	p.sockets.Store(&changed)
	return replaced
}

// socket returns the socket for a peer, or nil for the common one.
func (p *Paths) socket(to netip.AddrPort) *net.UDPConn {
	exceptions := *p.sockets.Load()
	if len(exceptions) == 0 {
		return nil
	}
	return exceptions[to]
}

// Writer collects datagrams and writes them in batches. It is not safe for
// concurrent use.
type Writer struct {
	conn      *ipv4.PacketConn
	paths     *Paths
	messages  []ipv4.Message
	buffers   []bytes.Buffer
	queued    int
	addresses map[netip.AddrPort]*net.UDPAddr
}

// NewWriter returns a writer to a socket and, for some peers, to the sockets of
// their paths.
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

// Next returns an empty buffer for the next datagram, flushing first if all are
// taken. Queue sends its contents.
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

// Queue adds the buffer last returned by Next to the batch. What goes through a
// socket of its own is sent at once.
func (w *Writer) Queue(to netip.AddrPort) {
	if conn := w.paths.socket(to); conn != nil {
		// A datagram that cannot be sent is lost, as on any other path.
		_, _ = conn.WriteToUDPAddrPort(w.buffers[w.queued].Bytes(), to)
		return
	}
	w.messages[w.queued].Buffers[0] = w.buffers[w.queued].Bytes()
	w.messages[w.queued].Addr = w.cachedAddress(to)
	w.queued++
}

// maxAddresses bounds the address cache.
const maxAddresses = 1 << 16

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

// Flush writes the batch. A datagram that cannot be sent is lost, as on any
// other part of the path, and the rest is still written.
func (w *Writer) Flush() error {
	var failure error
	for start := 0; start < w.queued; {
		count, err := w.conn.WriteBatch(w.messages[start:w.queued], 0)
		if err != nil {
			failure = fmt.Errorf("write datagram to %s: %w", w.messages[start].Addr, err)
			count = 1
		}
		start += count
	}
	w.queued = 0
	return failure
}
