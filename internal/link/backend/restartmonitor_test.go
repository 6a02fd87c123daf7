package backend

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// listener is a backend server that accepts connections and sends nothing.
type listener struct {
	net.Listener
	accepted chan net.Conn
}

func listen(t *testing.T, address string) *listener {
	l, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	server := &listener{l, make(chan net.Conn, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				close(server.accepted)
				return
			}
			server.accepted <- conn
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return server
}

// Guards against an undetected restart: a flow that was admitted before the restart connects
// immediately after it, before a goroutine blocked in Wait has been scheduled. HasEnded must
// report the restart by then.
func TestHasEndedReportsRestartOnceReconnected(t *testing.T) {
	ctx := context.Background()
	for range 200 {
		server := listen(t, "127.0.0.1:0")
		dialer := NewDialer(server.Addr().(*net.TCPAddr).AddrPort())
		monitor, err := dialer.OpenRestartMonitor(ctx)
		require.NoError(t, err)
		accepted := <-server.accepted
		require.False(t, monitor.HasEnded())
		require.NoError(t, server.Close())
		require.NoError(t, accepted.Close())
		listen(t, server.Addr().String())
		conn, err := dialer.Dial(ctx, flow.TCP)
		require.NoError(t, err)
		require.True(t, monitor.HasEnded())
		monitor.Wait()
		conn.Close()
		monitor.Close()
		require.True(t, monitor.HasEnded())
	}
}
