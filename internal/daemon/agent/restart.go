package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"github.com/radishmast/radishmast/internal/daemon/metrics"
	"github.com/radishmast/radishmast/internal/link/backend"
)

const (
	healthInterval = 500 * time.Millisecond
	// canaryInterval is the least time between two canaries.
	canaryInterval = 50 * time.Millisecond
)

// restartWatch notices that the backend server has restarted, and is cold. It reads the
// health endpoint at intervals, and at once when a canary has ended. The load pattern it
// answers: all backend servers restart under load, each with flows that were admitted
// while it was warm.
type restartWatch struct {
	dialer    *backend.Dialer
	health    *backend.Health
	restarted func()
	counters  *metrics.Counters
	logger    log.Interface

	// generation counts the restarts.
	generation atomic.Uint64

	// reads joins the flows that wait for the health endpoint after a canary has ended.
	reads singleflight.Group

	mu     sync.Mutex
	canary *backend.Canary
}

// run watches until ctx is done.
func (w *restartWatch) run(ctx context.Context) {
	go w.watchCanaries(ctx)
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.readHealth(ctx, false)
		}
	}
}

// check notices a restart that has ended the canary. It returns the number of restarts.
func (w *restartWatch) check(ctx context.Context) uint64 {
	if w.hasCanary() {
		return w.generation.Load()
	}
	_, _, _ = w.reads.Do("health", func() (any, error) {
		w.readHealth(ctx, true)
		return nil, nil
	})
	return w.generation.Load()
}

// hasCanary reports whether a canary stands. It drops one that has ended.
func (w *restartWatch) hasCanary() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.canary != nil && w.canary.HasEnded() {
		w.dropCanary()
	}
	return w.canary != nil
}

// readHealth takes the backend server as restarted when its start time has changed. That
// it cannot be read means nothing, unless a connection has just ended.
func (w *restartWatch) readHealth(ctx context.Context, ended bool) {
	changed, err := w.health.HasRestarted(ctx)
	if err != nil && ctx.Err() == nil {
		w.counters.Add("health_unreadable", 1)
		w.logger.WithError(err).Debug("backend server")
	}
	if changed || ended && err != nil {
		w.generation.Add(1)
		w.restarted()
	}
}

// watchCanaries keeps a canary, and checks when it ends.
func (w *restartWatch) watchCanaries(ctx context.Context) {
	for ctx.Err() == nil {
		if canary, err := w.dialer.OpenCanary(ctx); err == nil {
			w.useCanary(canary)
			release := context.AfterFunc(ctx, canary.Close)
			canary.Wait()
			release()
			if ctx.Err() == nil {
				w.check(ctx)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(canaryInterval):
		}
	}
}

func (w *restartWatch) useCanary(canary *backend.Canary) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropCanary()
	w.canary = canary
}

// dropCanary is called with the mutex held.
func (w *restartWatch) dropCanary() {
	if w.canary != nil {
		w.canary.Close()
		w.canary = nil
	}
}
