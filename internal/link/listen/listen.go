// Package listen opens sockets of the process's own addresses. An address that is taken
// for the moment, such as by a connection of an earlier process, ends no process: it is
// tried again.
package listen

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
)

// retryInterval is the time between two tries.
const retryInterval = 100 * time.Millisecond

// TCP listens on an address. It tries until it succeeds or ctx is done.
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

// Retry opens a socket. It tries until it succeeds or ctx is done.
func Retry[T any](ctx context.Context, logger log.Interface, open func() (T, error)) (T, error) {
	return backoff.Retry(ctx, open,
		backoff.WithBackOff(backoff.NewConstantBackOff(retryInterval)),
		backoff.WithMaxElapsedTime(0),
		backoff.WithNotify(func(err error, _ time.Duration) { logger.WithError(err).Warn("socket") }),
	)
}
