package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/daemon/metrics"
	"github.com/radishmast/radishmast/internal/link/platform"
)

// Parameters of the platform's read budget, which the whole fleet shares.
const (
	watchWait = 20 * time.Second
	// watcherCount is the number of processes that wait for changes; the others
	// learn of them from peers.
	watcherCount = 32
	// fleetPollsPerSecond is the rate at which all other processes together read.
	fleetPollsPerSecond = 50
	minBackoff          = 250 * time.Millisecond
	maxBackoff          = 15 * time.Second
)

// DocumentReader reads whole documents from the platform, each by its own waiting
// read. It implements Source.
type DocumentReader struct {
	client   *platform.Client
	counters *metrics.Counters
	logger   log.Interface
}

// NewDocumentReader returns a reader of the platform at a base URL.
func NewDocumentReader(base string, transport http.RoundTripper, counters *metrics.Counters, logger log.Interface) (*DocumentReader, error) {
	client, err := platform.New(base, transport)
	if err != nil {
		return nil, err
	}
	return &DocumentReader{client: client, counters: counters, logger: logger}, nil
}

// Run keeps every document up to date until ctx is done.
func (r *DocumentReader) Run(ctx context.Context, sink DocumentSink) {
	var group sync.WaitGroup
	for _, name := range platform.Names() {
		group.Go(func() { r.pollDocument(ctx, sink, name) })
	}
	group.Wait()
}

// pollDocument keeps one document up to date until ctx is done.
func (r *DocumentReader) pollDocument(ctx context.Context, sink DocumentSink, name platform.Name) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBackoff
	delays.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		r.counters.Add("platform_reads", 1)
		size := sink.FleetSize()
		wait := chooseWait(size)
		document, err := r.client.Read(ctx, name, revision(sink.Revisions(), name), wait)
		switch {
		case err == nil:
			delays.Reset()
			sink.Apply(document)
		case errors.Is(err, platform.ErrUnchanged):
			delays.Reset()
			sink.ConfirmUnchanged()
		case ctx.Err() == nil:
			r.counters.Add("retry_platform_read", 1)
			r.logger.WithError(err).Warn("platform")
			// Retries of the whole fleet share the budget of the polls.
			sleep(ctx, max(delays.NextBackOff(), pollDelay(size, 0)))
			continue
		}
		sleep(ctx, pollDelay(size, wait))
	}
}

// chooseWait returns how long a read waits for a change, or zero if this process
// is not one of the watchers.
func chooseWait(size int) time.Duration {
	if size <= watcherCount || rand.IntN(size) < watcherCount {
		return watchWait
	}
	return 0
}

// pollDelay spreads the reads of the processes that do not watch.
func pollDelay(size int, wait time.Duration) time.Duration {
	if wait > 0 {
		return time.Duration(rand.Int64N(int64(10 * time.Millisecond)))
	}
	mean := time.Duration(size*len(platform.Names())) * time.Second / fleetPollsPerSecond
	return mean/2 + time.Duration(rand.Int64N(int64(mean)+1))
}

func revision(revisions fleet.Revisions, name platform.Name) uint64 {
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
