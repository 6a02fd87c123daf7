// Package backend connects an agent to its backend server, and detects restarts of the
// backend server.
package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/wire/chunk"
)

// dialTimeout bounds the time of one connection attempt.
const dialTimeout = 2 * time.Second

// Dialer connects to one backend server.
type Dialer struct {
	address netip.AddrPort
}

// NewDialer returns a dialer for the backend server at address.
func NewDialer(address netip.AddrPort) *Dialer {
	return &Dialer{address: address}
}

// Dial opens a connection for one flow: TCP, or a connected UDP socket for flow.UDP. The
// attempt fails after dialTimeout.
func (d *Dialer) Dial(ctx context.Context, protocol flow.Protocol) (*Conn, error) {
	network := "tcp4"
	if protocol == flow.UDP {
		network = "udp4"
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, d.address.String())
	if err != nil {
		return nil, fmt.Errorf("connect to backend server %s: %w", d.address, err)
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("get socket of connection to backend server %s: %w", d.address, err), conn.Close())
	}
	return &Conn{conn: conn, raw: raw, datagrams: protocol == flow.UDP}, nil
}

// Conn is a connection to a backend server for one flow. One goroutine may read while
// another writes.
type Conn struct {
	conn      net.Conn
	raw       syscall.RawConn
	datagrams bool
}

// Next waits for bytes from the backend server and returns them in a chunk, which the
// user returns to the pool with Put. While Next waits it holds no chunk. It returns io.EOF
// when the backend server has closed its side of a TCP connection.
func (c *Conn) Next() (*chunk.Chunk, error) {
	var data *chunk.Chunk
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		data, readErr = c.read(int(fd))
		return readErr != unix.EAGAIN
	})
	if err := errors.Join(err, readErr); err != nil {
		return nil, fmt.Errorf("read from backend server: %w", err)
	}
	if len(data.Bytes()) == 0 && !c.datagrams {
		data.Put()
		return nil, io.EOF
	}
	return data, nil
}

// read reads once into a chunk without waiting. It returns unix.EAGAIN if there are no bytes.
func (c *Conn) read(fd int) (*chunk.Chunk, error) {
	data := chunk.Get()
	for {
		count, err := unix.Read(fd, data.Space())
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			data.Put()
			return nil, err
		}
		data.SetLength(count)
		return data, nil
	}
}

// Write sends data to the backend server and returns the number of bytes written.
func (c *Conn) Write(data []byte) (int, error) {
	count, err := c.conn.Write(data)
	if err != nil {
		return count, fmt.Errorf("write to backend server: %w", err)
	}
	return count, nil
}

// CloseWrite closes the sending side of a TCP connection. It does nothing for UDP.
func (c *Conn) CloseWrite() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		// The only error is that the connection has already ended.
		_ = tcp.CloseWrite()
	}
}

// Close closes the connection.
func (c *Conn) Close() {
	// The only error is that the connection has already ended.
	_ = c.conn.Close()
}

// Abort closes the connection, for TCP with a reset, so that the backend server cancels the
// requests in progress on it.
func (c *Conn) Abort() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
