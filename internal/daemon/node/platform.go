package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/link/platform"
)

// Parameters of the platform's read budget, which the whole fleet shares.
const (
	watchWait = 20 * time.Second
	// watchers is the number of processes that wait for changes; the others
	// learn of them from peers.
	watchers = 32
	// pollsPerSecond is the rate at which all other processes together read.
	pollsPerSecond = 50
	minBackoff     = 250 * time.Millisecond
	maxBackoff     = 15 * time.Second
)

// readPlatform keeps one document up to date until ctx is done.
func (n *Node) readPlatform(ctx context.Context, name platform.Name) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBackoff
	delays.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		n.counters.Add("platform_reads", 1)
		wait := n.watchWait()
		document, err := n.platform.Read(ctx, name, n.revision(name), wait)
		switch {
		case err == nil:
			delays.Reset()
			n.inputs <- func(now time.Time) []control.Output { return n.controller.Document(now, document) }
		case errors.Is(err, platform.ErrUnchanged):
			delays.Reset()
			n.inputs <- func(time.Time) []control.Output {
				n.controller.Confirm()
				return nil
			}
		case ctx.Err() == nil:
			n.counters.Add("retry_platform_read", 1)
			n.logger.WithError(err).Warn("platform")
			// Retries of the whole fleet share the budget of the polls.
			sleep(ctx, max(delays.NextBackOff(), n.pollDelay(0)))
			continue
		}
		sleep(ctx, n.pollDelay(wait))
	}
}

// watchWait returns how long a read waits for a change, or zero if this process
// is not one of the watchers.
func (n *Node) watchWait() time.Duration {
	size := len(n.Load().Nodes())
	if size <= watchers || rand.IntN(size) < watchers {
		return watchWait
	}
	return 0
}

// pollDelay spreads the reads of the processes that do not watch.
func (n *Node) pollDelay(wait time.Duration) time.Duration {
	if wait > 0 {
		return time.Duration(rand.Int64N(int64(10 * time.Millisecond)))
	}
	size := len(n.Load().Nodes()) * len(platform.Names())
	mean := time.Duration(size) * time.Second / pollsPerSecond
	return mean/2 + time.Duration(rand.Int64N(int64(mean)+1))
}

func (n *Node) revision(name platform.Name) uint64 {
	revisions := n.Load().Revisions()
	switch name {
	case platform.Services:
		return revisions.Services
	case platform.Backends:
		return revisions.Backends
	}
	return revisions.Instances
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
