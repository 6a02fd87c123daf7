package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/daemon/metrics"
)

// Guards against lost ends of links and lost sockets while the control goroutine is behind:
// an event waits for a full queue, any other function is dropped.
func TestEventsWaitWhileTheControlQueueIsFull(t *testing.T) {
	n := &Node{counters: metrics.New(), inputs: make(chan func(time.Time) []control.Output, 1)}
	nothing := func(time.Time) []control.Output { return nil }
	n.Enqueue(nothing)
	n.Enqueue(nothing)
	require.Len(t, n.inputs, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	queued := make(chan struct{})
	go func() {
		n.enqueueEvent(ctx, nothing)
		close(queued)
	}()
	select {
	case <-queued:
		require.Fail(t, "the event must wait")
	case <-time.After(20 * time.Millisecond):
	}
	<-n.inputs
	<-queued
	require.Len(t, n.inputs, 1)
	cancel()
	n.enqueueEvent(ctx, nothing)
}

// Guards against goroutines that still run when a daemon that cannot start has ended.
func TestServeWaitsForGoroutinesWhenTheStartFails(t *testing.T) {
	failure := errors.New("no socket")
	var ended atomic.Bool
	err := Serve(context.Background(), func(ctx context.Context, group *errgroup.Group) error {
		group.Go(func() error {
			<-ctx.Done()
			time.Sleep(10 * time.Millisecond)
			ended.Store(true)
			return nil
		})
		return failure
	}, func(context.Context) {})
	require.ErrorIs(t, err, failure)
	require.True(t, ended.Load())
}
