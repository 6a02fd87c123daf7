// Package backend connects to the backend server beside an agent.
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

// dialTimeout bounds how long a connection attempt may take.
const dialTimeout = 2 * time.Second

// Dialer connects to one backend server.
type Dialer struct {
	address netip.AddrPort
}

// NewDialer returns a dialer for the backend server at an address.
func NewDialer(address netip.AddrPort) *Dialer {
	return &Dialer{address: address}
}

// Dial opens a connection for a flow of a protocol.
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
		return nil, errors.Join(fmt.Errorf("backend server %s: %w", d.address, err), conn.Close())
	}
	return &Conn{conn: conn, raw: raw, datagrams: protocol == flow.UDP}, nil
}

// Conn is a connection to a backend server.
type Conn struct {
	conn      net.Conn
	raw       syscall.RawConn
	datagrams bool
}

// Next waits for bytes and returns them in a borrowed chunk. No buffer is held
// while it waits. It returns io.EOF when the backend server has finished sending.
func (c *Conn) Next() (*chunk.Chunk, error) {
	var data *chunk.Chunk
	var failure error
	err := c.raw.Read(func(fd uintptr) bool {
		data, failure = c.read(int(fd))
		return failure != unix.EAGAIN
	})
	if err := errors.Join(err, failure); err != nil {
		return nil, fmt.Errorf("read from backend server: %w", err)
	}
	if len(data.Bytes()) == 0 && !c.datagrams {
		data.Put()
		return nil, io.EOF
	}
	return data, nil
}

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

// Write sends bytes to the backend server.
func (c *Conn) Write(data []byte) (int, error) {
	count, err := c.conn.Write(data)
	if err != nil {
		return count, fmt.Errorf("write to backend server: %w", err)
	}
	return count, nil
}

// CloseWrite tells the backend server that no more bytes follow.
func (c *Conn) CloseWrite() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		// An error means that the connection has ended already.
		_ = tcp.CloseWrite()
	}
}

// Close ends the connection.
func (c *Conn) Close() {
	// An error means that the connection has ended already.
	_ = c.conn.Close()
}

// Abort resets the connection, which cancels what the backend server is doing
// for it.
func (c *Conn) Abort() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
