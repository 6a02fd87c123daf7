package node

import (
	"context"
	"errors"
	"expvar"
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
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
)

// Start runs the control goroutine, the control endpoint and the platform
// readers in a group until ctx is done.
func (n *Node) Start(ctx context.Context, group *errgroup.Group) error {
	listener, err := listen.TCP(ctx, n.controlEndpoint.String(), n.logger)
	if err != nil {
		return fmt.Errorf("listen for control links on %s: %w", n.controlEndpoint, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(link.Path, n.acceptLink)
	mux.Handle(MetricsPath, expvar.Handler())
	mux.Handle("/status", operator.NewHandler(n.Status))
	mux.Handle(operator.DocumentsPattern, operator.NewDocumentsHandler(n.Load))
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

func shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("shut down control endpoint: %w", err), server.Close())
	}
	return nil
}

func (n *Node) closeLinksAndSocket() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.Close()
	}
	// The socket has no use after the last traffic goroutine.
	_ = n.socket.Close()
}

// Status reports what the node has in force, for the operators' client.
func (n *Node) Status() operator.Status {
	view := n.Load()
	status := operator.Status{
		Name:        n.name,
		Role:        string(n.role),
		DataCentre:  n.dataCentre,
		Incarnation: n.incarnation,
		Revisions:   view.Revisions(),
		Valid:       n.IsValid(clock.Now()),
		Nodes:       len(view.Nodes()),
	}
	for service := range view.Services() {
		status.Services = append(status.Services, operator.DescribeService(service))
	}
	return status.Sorted()
}
