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
	// healthInterval is the period at which the health endpoint is read.
	healthInterval = 500 * time.Millisecond
	// monitorReopenInterval is the pause before a restart monitor is opened again.
	monitorReopenInterval = 50 * time.Millisecond
)

// restartWatcher detects that the backend server has restarted, and is therefore cold. It
// reads the health endpoint every healthInterval, and at once when a restart monitor has
// ended. It guards against overload when all backend servers restart under load, each with
// flows that were admitted while it was warm.
type restartWatcher struct {
	dialer *backend.Dialer
	health *backend.Health
	// onRestart is called for each restart, in the goroutine that detects it.
	onRestart func()
	counters  *metrics.Counters
	logger    log.Interface

	// restartCount is the number of restarts detected so far.
	restartCount atomic.Uint64

	// healthReads shares one read of the health endpoint among the flows that need it after
	// a restart monitor has ended.
	healthReads singleflight.Group

	mu sync.Mutex
	// monitor is a connection to the backend server that carries nothing, or nil. Its end
	// shows that the backend server may have restarted.
	monitor *backend.RestartMonitor
	// hadMonitor reports whether a restart monitor has been open.
	hadMonitor bool
}

// watch keeps a restart monitor open and reads the health endpoint until ctx is done.
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

// countRestarts returns the number of restarts detected so far. If no restart monitor is
// open, it reads the health endpoint first, to include a restart that has ended the monitor.
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

// hasMonitor reports whether a restart monitor is open. It closes one that has ended.
func (w *restartWatcher) hasMonitor() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.monitor != nil && w.monitor.HasEnded() {
		w.closeMonitor()
	}
	return w.monitor != nil
}

// hasHadMonitor reports whether a restart monitor has been open.
func (w *restartWatcher) hasHadMonitor() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hadMonitor
}

// readHealth reads the health endpoint and records a restart if the start time has changed.
// noMonitor reports that no restart monitor is open. If one was open before, a read that fails
// then counts as a restart too, since the connection to the backend server has ended. Otherwise
// a failed read is only counted and logged: a server that was never reached has not restarted.
func (w *restartWatcher) readHealth(ctx context.Context, noMonitor bool) {
	changed, err := w.health.HasRestarted(ctx)
	if err != nil && ctx.Err() == nil {
		w.counters.Add("health_unreadable", 1)
		w.logger.WithError(err).Debug("backend server")
	}
	if changed || noMonitor && err != nil && w.hasHadMonitor() {
		w.restartCount.Add(1)
		w.onRestart()
	}
}

// keepMonitor keeps a restart monitor open until ctx is done. Each time it ends, it checks
// for a restart and opens a new one after monitorReopenInterval.
func (w *restartWatcher) keepMonitor(ctx context.Context) {
	for ctx.Err() == nil {
		if monitor, err := w.dialer.OpenRestartMonitor(ctx); err == nil {
			w.replaceMonitor(monitor)
			release := context.AfterFunc(ctx, monitor.Close)
			monitor.Wait()
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

// replaceMonitor closes the open restart monitor, if any, and stores a new one.
func (w *restartWatcher) replaceMonitor(monitor *backend.RestartMonitor) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closeMonitor()
	w.monitor, w.hadMonitor = monitor, true
}

// closeMonitor closes the restart monitor, if one is open. It is called with the mutex held.
func (w *restartWatcher) closeMonitor() {
	if w.monitor != nil {
		w.monitor.Close()
		w.monitor = nil
	}
}
