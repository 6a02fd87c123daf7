package backend

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// RestartMonitor is an idle TCP connection to a backend server. When it ends, the backend
// server may have restarted.
type RestartMonitor struct {
	conn net.Conn
	raw  syscall.RawConn
}

// OpenRestartMonitor opens an idle connection to the backend server. The attempt fails
// after dialTimeout.
func (d *Dialer) OpenRestartMonitor(ctx context.Context) (*RestartMonitor, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", d.address.String())
	if err != nil {
		return nil, fmt.Errorf("open restart monitor to backend server %s: %w", d.address, err)
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open restart monitor to backend server %s: %w", d.address, err)
	}
	return &RestartMonitor{conn: conn, raw: raw}, nil
}

// Wait blocks until the connection has ended.
func (m *RestartMonitor) Wait() {
	// The backend server sends nothing on an idle connection, so Read returns only when
	// the connection ends.
	_, _ = m.conn.Read(make([]byte, 1))
}

// HasEnded reports whether the connection has ended, without waiting. When a backend server
// restarts, the connection ends before the new process accepts connections. Once a connection
// to the new process is open, HasEnded therefore returns true.
func (m *RestartMonitor) HasEnded() bool {
	ended := true
	err := m.raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = err != unix.EAGAIN && err != unix.EINTR
	})
	return ended || err != nil
}

// Close closes the connection.
func (m *RestartMonitor) Close() {
	// The only error is that the connection has already ended.
	_ = m.conn.Close()
}
