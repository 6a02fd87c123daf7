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

// A read fails while the kernel is out of buffer space. The loop must log it and go on
// reading until its context is done.
func TestReadLoopContinuesAfterFailedRead(t *testing.T) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	logged := memory.New()
	n := &Node{counters: metrics.New(), logger: &log.Logger{Handler: logged, Level: log.InfoLevel}}
	reads := 0
	require.NoError(t, n.RunReadLoop(ctx, socket, func() error {
		reads++
		if reads == 3 {
			cancel()
		}
		return errors.New("no buffer space available")
	}))
	require.Equal(t, 3, reads)
	require.Len(t, logged.Entries, 2)
}
