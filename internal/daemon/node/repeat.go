package node

import (
	"context"
	"errors"
	"net"
	"time"
)

// readRetryDelay is how long a traffic goroutine waits after a failed read.
const readRetryDelay = 10 * time.Millisecond

// RunReadLoop calls step, which reads from a socket, until ctx is done and the socket closed.
// A read that fails is counted and logged, and ends nothing.
func (n *Node) RunReadLoop(ctx context.Context, socket *net.UDPConn, step func() error) error {
	release := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer release()
	for {
		err := step()
		switch {
		case err == nil:
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		default:
			n.counters.Add("read_failed", 1)
			n.logger.WithError(err).Warn("socket")
			time.Sleep(readRetryDelay)
		}
	}
}
