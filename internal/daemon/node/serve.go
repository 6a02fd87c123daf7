package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/radishmast/radishmast/internal/link/clock"
	link "github.com/radishmast/radishmast/internal/link/control"
	"github.com/radishmast/radishmast/internal/link/listen"
	"github.com/radishmast/radishmast/internal/link/operator"
)

const (
	// headerTimeout bounds the time to read the header of an HTTP request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the graceful shutdown of an HTTP server.
	shutdownTimeout = time.Second
)

// Start starts the control goroutine, the control endpoint and the reader of published
// documents in group. They run until ctx is done. Start retries listening on the control
// endpoint until it succeeds or ctx is done, and fails in the latter case.
func (n *Node) Start(ctx context.Context, group *errgroup.Group) error {
	listener, err := listen.TCP(ctx, n.controlEndpoint.String(), n.logger)
	if err != nil {
		return fmt.Errorf("listen for control links on %s: %w", n.controlEndpoint, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(link.Path, n.acceptLink)
	mux.Handle(MetricsPath, n.counters.Handler())
	mux.Handle("/status", operator.NewStatusHandler(n.Status))
	mux.Handle(operator.PlacementPattern, operator.NewPlacementHandler(n.explainPlacement))
	mux.Handle(operator.DocumentsPattern, operator.NewDocumentsHandler(n.View))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	group.Go(func() error { return n.Run(ctx) })
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve control endpoint %s: %w", n.controlEndpoint, err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		n.closeLinksAndSocket()
		return shutDown(server)
	})
	group.Go(func() error {
		n.source.Run(ctx, n)
		return nil
	})
	return nil
}

// shutDown shuts an HTTP server down. Requests that have not ended within shutdownTimeout are
// aborted.
func shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("shut down HTTP server: %w", err), server.Close())
	}
	return nil
}

// closeLinksAndSocket closes all control links and the datagram socket.
func (n *Node) closeLinksAndSocket() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.Close()
	}
	// The error is ignored, because nothing uses the socket once the traffic goroutines
	// have ended.
	_ = n.socket.Close()
}

// Status returns the node's current state for the operators' client.
func (n *Node) Status() operator.Status {
	view := n.View()
	status := operator.Status{
		Name:        n.name,
		Role:        string(n.role),
		DataCentre:  n.dataCentre,
		Incarnation: n.Incarnation(),
		Revisions:   view.Revisions(),
		Valid:       n.IsValid(clock.Now()),
		Nodes:       len(view.Nodes()),
	}
	for service := range view.Services() {
		status.Services = append(status.Services, operator.DescribeService(service))
	}
	return status.Sorted()
}
