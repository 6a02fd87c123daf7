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

// Parameters of the reads from the platform. They bound the load that the whole fleet puts
// on it.
const (
	// watchWait is how long a long poll waits for a change.
	watchWait = 20 * time.Second
	// watcherCount divided by the size of the fleet is the probability that a read is a
	// long poll. Processes that are not in one learn of changes from peers, or at their next
	// read.
	watcherCount = 32
	// fleetPollsPerSecond is the total rate of reads by all processes that are not in a
	// long poll.
	fleetPollsPerSecond = 50
	// minBackoff and maxBackoff bound the delay before a failed read is retried.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 15 * time.Second
)

// DocumentReader reads whole documents from the platform. It polls each document
// separately. It implements DocumentSource.
type DocumentReader struct {
	client   *platform.Client
	counters *metrics.Counters
	logger   log.Interface
}

// NewDocumentReader returns a reader of the platform at a base URL. It fails if the URL
// cannot be parsed.
func NewDocumentReader(base string, transport http.RoundTripper, counters *metrics.Counters, logger log.Interface) (*DocumentReader, error) {
	client, err := platform.New(base, transport)
	if err != nil {
		return nil, err
	}
	return &DocumentReader{client: client, counters: counters, logger: logger}, nil
}

// Run reads all documents repeatedly and passes them to sink until ctx is done.
func (r *DocumentReader) Run(ctx context.Context, sink DocumentSink) {
	var group sync.WaitGroup
	for _, name := range platform.Names() {
		group.Go(func() { r.pollDocument(ctx, sink, name) })
	}
	group.Wait()
}

// pollDocument reads one document repeatedly and passes it to sink until ctx is done. It
// retries a failed read with exponential backoff.
func (r *DocumentReader) pollDocument(ctx context.Context, sink DocumentSink, name platform.Name) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBackoff
	delays.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		r.counters.Add("platform_reads", 1)
		fleetSize := sink.FleetSize()
		wait := chooseWait(fleetSize)
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
			r.logger.WithError(err).Warn("platform read failed; retrying after a delay")
			// The retries of the whole fleet stay within fleetPollsPerSecond.
			sleep(ctx, max(delays.NextBackOff(), pollDelay(fleetSize, 0)))
			continue
		}
		sleep(ctx, pollDelay(fleetSize, wait))
	}
}

// chooseWait returns how long the next read waits for a change, or zero if it is not to be a
// long poll. In a fleet of at most watcherCount processes every read is a long poll; in a
// larger one a read is one with the probability watcherCount/fleetSize.
func chooseWait(fleetSize int) time.Duration {
	if fleetSize <= watcherCount || rand.IntN(fleetSize) < watcherCount {
		return watchWait
	}
	return 0
}

// pollDelay returns the delay before the next read. wait is the wait of the last one. After
// a long poll the delay is less than 10 ms. Otherwise it is random between half and one and a
// half times the mean at which the reads of the whole fleet add up to fleetPollsPerSecond.
func pollDelay(fleetSize int, wait time.Duration) time.Duration {
	if wait > 0 {
		return time.Duration(rand.Int64N(int64(10 * time.Millisecond)))
	}
	mean := time.Duration(fleetSize*len(platform.Names())) * time.Second / fleetPollsPerSecond
	return mean/2 + time.Duration(rand.Int64N(int64(mean)+1))
}

// revision returns the revision of one document.
func revision(revisions fleet.Revisions, name platform.Name) fleet.Revision {
	switch name {
	case platform.Services:
		return revisions.Services
	case platform.Backends:
		return revisions.Backends
	}
	return revisions.Instances
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
