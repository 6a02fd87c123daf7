package node

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/daemon/metrics"
)

func TestAFailedReadEndsNothing(t *testing.T) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	lines := memory.New()
	n := &Node{counters: metrics.New(), logger: &log.Logger{Handler: lines, Level: log.InfoLevel}}
	steps := 0
	require.NoError(t, n.RunReadLoop(ctx, socket, func() error {
		steps++
		if steps == 3 {
			cancel()
		}
		return errors.New("no buffer space available")
	}))
	require.Equal(t, 3, steps)
	require.Len(t, lines.Entries, 2)
}
