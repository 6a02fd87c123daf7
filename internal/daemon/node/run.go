package node

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Serve runs a daemon: what start puts into the group goes on until ctx is done and leave
// has returned. The context that start and leave get ends after that.
func Serve(ctx context.Context, start func(ctx context.Context, group *errgroup.Group) error, leave func(ctx context.Context)) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	if err := start(serving, group); err != nil {
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
