// Package balancer runs a balancer, the process that receives callers' packets from the
// fabric and forwards each to an agent.
package balancer

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	core "github.com/radishmast/radishmast/internal/core/balancer"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/daemon/metrics"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/daemon/settings"
	"github.com/radishmast/radishmast/internal/link/fabric"
	"github.com/radishmast/radishmast/internal/link/listen"
	"github.com/radishmast/radishmast/internal/link/operator"
	"github.com/radishmast/radishmast/internal/link/peer"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// shutdownDelay is how long a leaving balancer keeps forwarding packets before it stops, so
// that the fabric and its peers learn of it first.
const shutdownDelay = 4 * time.Second

// hintBytes is the size of a hint's body in bytes. The body is the 64-bit hash of the flow.
const hintBytes = 8

// Options holds what differs between the platforms that a balancer can run on.
type Options struct {
	Node node.Options
	// Format parses callers' packets.
	Format flow.Format
	Core   core.Config
}

// Run runs a balancer until ctx is done. It then keeps forwarding for shutdownDelay, so that
// packets in transit are not lost.
func Run(ctx context.Context, s *settings.Balancer, options Options, logger log.Interface) error {
	counters := metrics.New()
	var n *node.Node
	err := node.Serve(ctx, func(ctx context.Context, group *errgroup.Group) error {
		var err error
		if n, err = node.New(ctx, &s.Common, fleet.RoleBalancer, options.Node, counters, logger); err == nil {
			err = start(ctx, group, s, options, n, counters, logger)
		}
		if err != nil {
			return fmt.Errorf("start balancer %s: %w", s.Name, err)
		}
		logger.WithField("instance", s.Name).WithField("data", s.Data).WithField("fabric", s.Fabric).Info("started")
		return nil
	}, func(context.Context) { leave(n) })
	logger.WithField("instance", s.Name).Info("stopped")
	return err
}

// leave notifies the fabric, by the readiness endpoint, and the peers that the balancer is
// leaving, and waits for shutdownDelay.
func leave(n *node.Node) {
	n.MarkLeaving()
	n.SetOwnState(fleet.PeerLeaving, 0, nil)
	time.Sleep(shutdownDelay)
}

// start starts the node, as many forwarders as the settings name, each with a socket of its own
// for packets from the fabric, the receiver of datagrams, and the readiness endpoint. It adds
// their goroutines to group.
func start(ctx context.Context, group *errgroup.Group, s *settings.Balancer, options Options, n *node.Node, counters *metrics.Counters, logger log.Interface) error {
	balancer := core.New(options.Core, core.NewHints(s.Hints))
	n.OnExplain(newExplainer(balancer, n.View))
	if err := n.Start(ctx, group); err != nil {
		return err
	}
	decisions := operator.NewDecisions(logger, counters)
	for range s.Readers {
		in, err := listen.Retry(ctx, logger, func() (*net.UDPConn, error) {
			return peer.Listen(ctx, settings.Endpoint(s.Fabric))
		})
		if err != nil {
			return err
		}
		codec, err := n.NewCodec()
		if err != nil {
			return err
		}
		forwarder := fabric.NewForwarder(fabric.Config{
			Identity:     fabric.Identity{ID: n.ID(), Incarnation: n.Incarnation(), Data: n.Data()},
			Core:         balancer,
			Format:       options.Format,
			Views:        n,
			OnSuspect:    n.ProbeNow,
			Decisions:    decisions,
			Codec:        codec,
			FabricSocket: in,
			Writer:       n.NewWriter(),
			Counter:      counters,
		})
		group.Go(func() error { return n.RunReadLoop(ctx, in, forwarder.ForwardBatch) })
	}
	receiver, err := n.NewReceiver()
	if err != nil {
		return err
	}
	group.Go(func() error {
		return n.RunReadLoop(ctx, n.Socket(), func() error {
			return receiver.ReceiveBatch(func(header *datagram.Header, body []byte) {
				recordHint(balancer, header, body)
			})
		})
	})
	return n.ServeReady(ctx, group, s.Ready)
}

// recordHint records the owner of a flow that an agent has sent as a hint. It ignores all other
// datagrams.
func recordHint(balancer *core.Balancer, header *datagram.Header, body []byte) {
	if header.Kind == datagram.Hint && len(body) == hintBytes {
		balancer.RecordOwner(binary.BigEndian.Uint64(body), fleet.InstanceID(header.From))
	}
}
