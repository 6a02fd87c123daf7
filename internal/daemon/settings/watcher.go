package settings

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
)

// pollInterval is the period at which the settings file is read. The file may change
// without a signal.
const pollInterval = 500 * time.Millisecond

// Watcher watches a settings file and applies its changes. S is the type of the settings.
type Watcher[S any] struct {
	path   string
	parse  func([]byte) (S, error)
	logger log.Interface
	// lastRead is the contents of the file when it was last read, valid or not.
	lastRead []byte
}

// NewWatcher returns a watcher of the file at path. data is the contents of the file that are
// applied already; parse decodes and checks new ones.
func NewWatcher[S any](path string, data []byte, parse func([]byte) (S, error), logger log.Interface) *Watcher[S] {
	return &Watcher[S]{path: path, parse: parse, logger: logger, lastRead: data}
}

// ErrNeedsRestart reports that a daemon cannot apply changed settings while it runs.
var ErrNeedsRestart = errors.New("changed settings take effect at the next start")

// ApplyAtRestart is passed to Watcher.Run by daemons that cannot apply changed settings while they
// run.
func ApplyAtRestart[S any](S) error { return ErrNeedsRestart }

// Run calls apply with changed settings until ctx is done. It reads the file every
// pollInterval, and at once on SIGHUP. If the file cannot be read or is not valid, or if apply
// fails, it logs the error and the earlier settings stay in force.
func (w *Watcher[S]) Run(ctx context.Context, apply func(S) error) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			w.logger.WithField("path", w.path).Info("received SIGHUP; reading the settings file")
		case <-ticker.C:
		}
		w.reload(apply)
	}
}

// reload reads the file and applies its contents if they have changed and are valid.
func (w *Watcher[S]) reload(apply func(S) error) {
	data, err := os.ReadFile(w.path)
	if err != nil {
		w.logger.WithError(fmt.Errorf("read settings: %w", err)).Warn("settings kept")
		return
	}
	if bytes.Equal(data, w.lastRead) {
		return
	}
	w.lastRead = data
	changed, err := w.parse(data)
	if err == nil {
		err = apply(changed)
	}
	if err != nil {
		w.logger.WithError(err).WithField("path", w.path).Warn("settings kept")
		return
	}
	w.logger.WithField("path", w.path).Info("settings reloaded")
}
