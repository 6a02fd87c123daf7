package backend

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// listener is a backend server that takes connections and says nothing.
type listener struct {
	net.Listener
	accepted chan net.Conn
}

func listen(t *testing.T, address string) *listener {
	l, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	taken := &listener{l, make(chan net.Conn, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				close(taken.accepted)
				return
			}
			taken.accepted <- conn
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return taken
}

// A flow that was admitted before a restart connects right after it. No goroutine has had
// time to notice the end of the canary.
func TestRestartShowsBeforeTheFirstConnectionAfterIt(t *testing.T) {
	ctx := context.Background()
	for range 200 {
		server := listen(t, "127.0.0.1:0")
		dialer := NewDialer(server.Addr().(*net.TCPAddr).AddrPort())
		canary, err := dialer.OpenRestartMonitor(ctx)
		require.NoError(t, err)
		taken := <-server.accepted
		require.False(t, canary.HasEnded())
		require.NoError(t, server.Close())
		require.NoError(t, taken.Close())
		listen(t, server.Addr().String())
		conn, err := dialer.Dial(ctx, flow.TCP)
		require.NoError(t, err)
		require.True(t, canary.HasEnded())
		canary.Wait()
		conn.Close()
		canary.Close()
		require.True(t, canary.HasEnded())
	}
}
