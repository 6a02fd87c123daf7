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

// A soak run ended an agent whose port was the local port of another connection.
func TestTakenAddressIsTriedAgain(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	lines := memory.New()
	time.AfterFunc(3*retryInterval, func() { _ = taken.Close() })
	listener, err := TCP(context.Background(), taken.Addr().String(), &log.Logger{Handler: lines, Level: log.InfoLevel})
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	require.NotEmpty(t, lines.Entries)
}

func TestTriesEndWithTheProcess(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, taken.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*retryInterval)
	defer cancel()
	_, err = TCP(ctx, taken.Addr().String(), &log.Logger{Handler: memory.New(), Level: log.InfoLevel})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
