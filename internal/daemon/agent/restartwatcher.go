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
	// monitorReopenInterval is the least time between two canaries.
	monitorReopenInterval = 50 * time.Millisecond
)

// restartWatcher notices that the backend server has restarted, and is cold. It reads the
// health endpoint at intervals, and at once when a canary has ended. The load pattern it
// answers: all backend servers restart under load, each with flows that were admitted
// while it was warm.
type restartWatcher struct {
	dialer    *backend.Dialer
	health    *backend.Health
	onRestart func()
	counters  *metrics.Counters
	logger    log.Interface

	// restartCount counts the restarts.
	restartCount atomic.Uint64

	// healthReads joins the flows that wait for the health endpoint after a canary has ended.
	healthReads singleflight.Group

	mu     sync.Mutex
	monitor *backend.Canary
}

// watch watches until ctx is done.
func (w *restartWatcher) watch(ctx context.Context) {
	go w.keepMonitor(ctx)
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

// countRestarts notices a restart that has ended the canary. It returns the number of restarts.
func (w *restartWatcher) countRestarts(ctx context.Context) uint64 {
	if w.hasMonitor() {
		return w.restartCount.Load()
	}
	_, _, _ = w.healthReads.Do("health", func() (any, error) {
		w.readHealth(ctx, true)
		return nil, nil
	})
	return w.restartCount.Load()
}

// hasMonitor reports whether a canary stands. It drops one that has ended.
func (w *restartWatcher) hasMonitor() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.monitor != nil && w.monitor.HasEnded() {
		w.closeMonitor()
	}
	return w.monitor != nil
}

// readHealth takes the backend server as restarted when its start time has changed. That
// it cannot be read means nothing, unless a connection has just ended.
func (w *restartWatcher) readHealth(ctx context.Context, ended bool) {
	changed, err := w.health.HasRestarted(ctx)
	if err != nil && ctx.Err() == nil {
		w.counters.Add("health_unreadable", 1)
		w.logger.WithError(err).Debug("backend server")
	}
	if changed || ended && err != nil {
		w.restartCount.Add(1)
		w.onRestart()
	}
}

// keepMonitor keeps a canary, and checks when it ends.
func (w *restartWatcher) keepMonitor(ctx context.Context) {
	for ctx.Err() == nil {
		if canary, err := w.dialer.OpenCanary(ctx); err == nil {
			w.replaceMonitor(canary)
			release := context.AfterFunc(ctx, canary.Close)
			canary.Wait()
			release()
			if ctx.Err() == nil {
				w.countRestarts(ctx)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(monitorReopenInterval):
		}
	}
}

func (w *restartWatcher) replaceMonitor(canary *backend.Canary) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closeMonitor()
	w.monitor = canary
}

// closeMonitor is called with the mutex held.
func (w *restartWatcher) closeMonitor() {
	if w.monitor != nil {
		w.monitor.Close()
		w.monitor = nil
	}
}
