package node

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Serve runs a daemon. start adds the daemon's goroutines to group. When ctx is done, Serve
// calls leave while these goroutines still run, and when leave has returned it cancels the
// context that start and leave received. If start fails or a goroutine returns an error
// earlier, Serve cancels that context without calling leave. It returns the first error.
func Serve(ctx context.Context, start func(ctx context.Context, group *errgroup.Group) error, leave func(ctx context.Context)) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	if err := start(serving, group); err != nil {
		stop()
		// The goroutines that have started end because of the failure, which is reported.
		_ = group.Wait()
		return err
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			leave(serving)
			stop()
		case <-serving.Done():
		}
		return nil
	})
	return group.Wait()
}
