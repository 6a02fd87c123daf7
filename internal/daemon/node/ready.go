package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/listen"
)

const (
	// ReadyPath is the path of the readiness endpoint.
	ReadyPath = "/ready"
	// MetricsPath is the path of the metrics on the control and readiness endpoints.
	MetricsPath = "/debug/vars"
)

// MarkLeaving makes the readiness endpoint report that the node is not ready, so that the
// fabric sends it no more packets.
func (n *Node) MarkLeaving() { n.leaving.Store(true) }

// IsReady reports whether the node has a valid view with services and backend servers, and is
// not leaving.
func (n *Node) IsReady(now time.Time) bool {
	return !n.leaving.Load() && n.mayPlace(now)
}

// mayPlace reports whether the node has a valid view with services and backend servers, so that
// it places new flows here or elsewhere.
func (n *Node) mayPlace(now time.Time) bool {
	return n.IsValid(now) && !n.Revisions().Services.IsMissing() && !n.Revisions().Backends.IsMissing()
}

// ServeReady serves the readiness endpoint, to which the fabric sends its readiness probes,
// and the metrics. The server runs in group until ctx is done. ServeReady retries
// listening until it succeeds or ctx is done, and fails in the latter case. With an empty
// endpoint, as in settings that name none, it serves nothing.
func (n *Node) ServeReady(ctx context.Context, group *errgroup.Group, endpoint string) error {
	if endpoint == "" {
		return nil
	}
	listener, err := listen.TCP(ctx, endpoint, n.logger)
	if err != nil {
		return fmt.Errorf("listen for readiness probes on %s: %w", endpoint, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.IsReady(clock.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle(MetricsPath, n.counters.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve readiness endpoint %s: %w", endpoint, err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return shutDown(server)
	})
	return nil
}
