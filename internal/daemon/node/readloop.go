package node

import (
	"context"
	"errors"
	"net"
	"time"
)

// readRetryDelay is how long a traffic goroutine waits before it reads again after a failed
// read.
const readRetryDelay = 10 * time.Millisecond

// RunReadLoop calls read, which reads from socket, until ctx is done or the socket is closed.
// It closes the socket when ctx is done. A failed read is counted and logged and does not end
// the loop. The result is always nil.
func (n *Node) RunReadLoop(ctx context.Context, socket *net.UDPConn, read func() error) error {
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	for {
		err := read()
		switch {
		case err == nil:
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		default:
			n.counters.Add("read_failed", 1)
			n.logger.WithError(err).Warn("socket read failed; retrying")
			time.Sleep(readRetryDelay)
		}
	}
}
