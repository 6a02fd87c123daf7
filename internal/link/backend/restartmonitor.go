package backend

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// RestartMonitor is a connection to the backend server that carries nothing. Its end shows that
// the backend server may have restarted.
type RestartMonitor struct {
	conn net.Conn
	raw  syscall.RawConn
}

// OpenRestartMonitor connects a canary.
func (d *Dialer) OpenRestartMonitor(ctx context.Context) (*RestartMonitor, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", d.address.String())
	if err != nil {
		return nil, fmt.Errorf("watch backend server %s: %w", d.address, err)
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("watch backend server %s: %w", d.address, err)
	}
	return &RestartMonitor{conn: conn, raw: raw}, nil
}

// Wait returns when the connection has ended.
func (c *RestartMonitor) Wait() {
	// The backend server has nothing to say; any end of the wait is an end of the
	// connection.
	_, _ = c.conn.Read(make([]byte, 1))
}

// HasEnded reports whether the connection has ended, without waiting. A backend server
// that has restarted has ended it before it takes new connections.
func (c *RestartMonitor) HasEnded() bool {
	ended := true
	err := c.raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = err != unix.EAGAIN && err != unix.EINTR
	})
	return ended || err != nil
}

// Close ends the connection.
func (c *RestartMonitor) Close() {
	// An error means that the connection has ended already.
	_ = c.conn.Close()
}
