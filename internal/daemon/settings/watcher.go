package settings

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
)

// pollInterval is how often the settings file is compared with what is in force. It
// may change without a signal.
const pollInterval = 500 * time.Millisecond

// Watcher reads a settings file and reads it again when it changes.
type Watcher[S any] struct {
	path   string
	parse   func([]byte) (S, error)
	logger log.Interface
	current   []byte
}

// NewWatcher returns a watcher of a file whose contents are in force.
func NewWatcher[S any](path string, data []byte, read func([]byte) (S, error), logger log.Interface) *Watcher[S] {
	return &Watcher[S]{path: path, parse: read, logger: logger, current: data}
}

// Run calls apply with changed settings until ctx is done. It looks at the file at
// intervals and at once after a hangup signal. Settings that are not valid are
// logged and leave the earlier ones in force.
func (w *Watcher[S]) Run(ctx context.Context, apply func(S)) {
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
			w.logger.WithField("path", w.path).Info("hangup signal")
		case <-ticker.C:
		}
		w.reload(apply)
	}
}

func (w *Watcher[S]) reload(apply func(S)) {
	data, err := os.ReadFile(w.path)
	if err != nil {
		w.logger.WithError(fmt.Errorf("read settings: %w", err)).Warn("settings kept")
		return
	}
	if bytes.Equal(data, w.current) {
		return
	}
	w.current = data
	changed, err := w.parse(data)
	if err != nil {
		w.logger.WithError(err).WithField("path", w.path).Warn("settings kept")
		return
	}
	apply(changed)
	w.logger.WithField("path", w.path).Info("settings reloaded")
}
