// Package listen opens sockets on the process's own addresses and retries when that fails. An
// address may be in use for a short time, for example as the local address of a connection of
// an earlier process. Without the retry the process would exit at its start.
package listen

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
)

// retryInterval is the time between two attempts to open a socket.
const retryInterval = 100 * time.Millisecond

// TCP listens on a TCP address. It retries until it succeeds or ctx is done.
func TCP(ctx context.Context, address string, logger log.Interface) (net.Listener, error) {
	return Retry(ctx, logger, func() (net.Listener, error) {
		config := net.ListenConfig{}
		listener, err := config.Listen(ctx, "tcp4", address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		return listener, nil
	})
}

// Retry calls open until it succeeds or ctx is done, and logs each failure.
func Retry[T any](ctx context.Context, logger log.Interface, open func() (T, error)) (T, error) {
	return backoff.Retry(ctx, open,
		backoff.WithBackOff(backoff.NewConstantBackOff(retryInterval)),
		backoff.WithMaxElapsedTime(0),
		backoff.WithNotify(func(err error, _ time.Duration) { logger.WithError(err).Warn("failed to open socket; retrying") }),
	)
}
