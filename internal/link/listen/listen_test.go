package listen

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
)

// Guards against an agent that exits at its start because its port is in use as the local port
// of another connection.
func TestTCPRetriesWhileAddressIsInUse(t *testing.T) {
	blocker, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	lines := memory.New()
	time.AfterFunc(3*retryInterval, func() { _ = blocker.Close() })
	listener, err := TCP(context.Background(), blocker.Addr().String(), &log.Logger{Handler: lines, Level: log.InfoLevel})
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	require.NotEmpty(t, lines.Entries)
}

func TestTCPStopsRetryingWhenContextIsDone(t *testing.T) {
	blocker, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, blocker.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*retryInterval)
	defer cancel()
	_, err = TCP(ctx, blocker.Addr().String(), &log.Logger{Handler: memory.New(), Level: log.InfoLevel})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
