// Package carrier runs an agent beside a backend server that ends the flows
// itself: the agent carries packets unchanged between callers and the backend
// server, and decides which of them to deliver.
package carrier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/daemon/exchange"
	"github.com/radishmast/radishmast/internal/daemon/metrics"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/daemon/settings"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/listen"
	"github.com/radishmast/radishmast/internal/link/operator"
	"github.com/radishmast/radishmast/internal/link/peer"
)

const (
	// handOversPerFlow is how many hand-overs are remembered for each flow owned.
	handOversPerFlow  = 2
	initialSlots   = 2
	sweepInterval  = 500 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// overdueCheckInterval is how often unanswered opening packets are looked for.
	overdueCheckInterval = 50 * time.Millisecond
	// leavingDuration is how long a leaving agent goes on carrying packets, so that flows
	// of a single request can end.
	leavingDuration = 3 * time.Second
)

// Format reads the packets of callers and backend servers.
type Format interface {
	flow.Format
	// SetTag stores a number in a packet that the backend server returns unchanged if
	// it does not take the packet.
	SetTag(data []byte, tag uint32)
	// ParseBounced reads the tag of a packet that the backend server has returned and
	// restores the packet. It reports false for any other packet.
	ParseBounced(data []byte) (tag uint32, returned bool)
}

// Options are what differs between the installations that an agent can run in.
type Options struct {
	Node   node.Options
	Format Format
}

// Carrier is a running agent.
type Carrier struct {
	settings *settings.Carrier
	node     *node.Node
	counters *metrics.Counters
	logger   log.Interface
	format   Format
	outbound *net.UDPConn

	// mu guards the decision core, which every traffic goroutine asks.
	mu      sync.Mutex
	core    *core.Agent
	load    *core.Load
	deliveredHeaders *headerRing
	// wasTrialOnly is whether peers were told last that the backend server is silent.
	wasTrialOnly bool
	decisions *operator.Decisions
	heldPackets   *exchange.HeldPackets
}

// Run serves until ctx is done, then leaves.
func Run(ctx context.Context, s *settings.Carrier, watcher *settings.Watcher[*settings.Carrier], parts Options, logger log.Interface) error {
	var c *Carrier
	err := node.Serve(ctx, func(ctx context.Context, group *errgroup.Group) error {
		var err error
		if c, err = newCarrier(ctx, s, parts, logger); err == nil {
			err = c.start(ctx, group)
		}
		if err != nil {
			return fmt.Errorf("start agent %s: %w", s.Name, err)
		}
		go watcher.Run(ctx, c.applySettings)
		c.logger.WithField("data", s.Data).WithField("backend", s.Backend).Info("started")
		return nil
	}, func(context.Context) { c.leave() })
	logger.WithField("instance", s.Name).Info("stopped")
	return err
}

func newCarrier(ctx context.Context, s *settings.Carrier, parts Options, logger log.Interface) (*Carrier, error) {
	counters := metrics.New()
	parts.Node.AnnouncedLabels = s.Labels
	n, err := node.New(ctx, &s.Common, fleet.RoleAgent, parts.Node, counters, logger)
	if err != nil {
		return nil, err
	}
	outbound, err := listen.Retry(ctx, logger, func() (*net.UDPConn, error) {
		return peer.Listen(ctx, settings.Endpoint(s.Outbound))
	})
	if err != nil {
		return nil, err
	}
	load := core.NewWarmLoad(clock.Now(), initialSlots)
	c := &Carrier{
		settings:  s,
		node:      n,
		counters:  counters,
		logger:    logger.WithField("instance", s.Name),
		format:    parts.Format,
		outbound:  outbound,
		load:      load,
		deliveredHeaders:   newHeaderRing(),
		decisions: operator.NewDecisions(logger, counters),
		heldPackets:   exchange.NewHeldPackets(),
	}
	c.core = core.New(core.Config{
		Self:         n.ID(),
		DataCentre:   s.DataCentre,
		MaxFlows:     s.Connections,
		MaxHandOvers: s.Connections * handOversPerFlow,
		Placement:    core.HandOverWhenFull{},
		Carried:      true,
		Observer:     exchange.NewObserver(counters),
		Labels:       s.Labels,
	}, n.Load(), load, rand.New(rand.NewPCG(uint64(n.ID()), n.Incarnation())))
	c.core.Start(clock.Now())
	n.OnPublish(c.applyView)
	return c, nil
}

func (c *Carrier) start(ctx context.Context, group *errgroup.Group) error {
	if err := c.node.Start(ctx, group); err != nil {
		return err
	}
	if c.settings.Ready != "" {
		if err := c.node.ServeReady(ctx, group, c.settings.Ready); err != nil {
			return err
		}
	}
	receiver, err := c.node.NewReceiver()
	if err != nil {
		return err
	}
	inward, err := newPacketHandler(c)
	if err != nil {
		return err
	}
	outward, err := newPacketHandler(c)
	if err != nil {
		return err
	}
	asker, err := newPacketHandler(c)
	if err != nil {
		return err
	}
	group.Go(func() error {
		asker.RunLookups(ctx)
		return nil
	})
	group.Go(func() error {
		return c.node.RunReadLoop(ctx, c.node.Socket(), func() error {
			defer inward.Flush()
			return receiver.ReceiveBatch(inward.Handle)
		})
	})
	reader := peer.NewReader(c.outbound)
	group.Go(func() error {
		return c.node.RunReadLoop(ctx, c.outbound, func() error {
			defer outward.Flush()
			return outward.receiveFromBackend(reader)
		})
	})
	group.Go(func() error { return c.maintain(ctx) })
	return nil
}

// maintain sweeps the flow table and reports load until ctx is done.
func (c *Carrier) maintain(ctx context.Context) error {
	sender, err := c.node.NewSender()
	if err != nil {
		return err
	}
	traffic, err := newPacketHandler(c)
	if err != nil {
		return err
	}
	sweep, report, overdue := time.NewTicker(sweepInterval), time.NewTicker(reportInterval), time.NewTicker(overdueCheckInterval)
	defer overdue.Stop()
	defer sweep.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			c.mu.Lock()
			c.core.SweepCarried(clock.Now())
			registrations := c.core.Registrations(clock.Now())
			c.mu.Unlock()
			exchange.SendRegistrations(c.node, sender, c.logger, registrations)
			c.publishOwnState()
		case <-report.C:
			c.sendReport(sender)
		case <-overdue.C:
			c.retryOverdue(clock.Now(), traffic)
		}
	}
}

// retryOverdue hands on what the backend server has not answered in time, and tells
// peers when it falls silent or answers again.
func (c *Carrier) retryOverdue(now time.Time, traffic *packetHandler) {
	c.mu.Lock()
	retries := c.core.RetryOverdue(now)
	silent, failing := c.core.IsTrialOnly(), c.core.IsEjected()
	c.mu.Unlock()
	for i := range retries {
		traffic.Retry(&retries[i])
	}
	traffic.Flush()
	if silent != c.wasTrialOnly {
		c.wasTrialOnly = silent
		c.logger.WithField("silent", silent).WithField("failing", failing).Warn("backend server")
		c.publishOwnState()
	}
}

// sendReport tells the load to siblings.
func (c *Carrier) sendReport(sender *node.Sender) {
	c.mu.Lock()
	report := c.core.Report(clock.Now())
	siblings := c.core.ReportRecipients()
	c.mu.Unlock()
	exchange.SendReport(c.node, sender, c.logger, report, siblings)
}

// publishOwnState tells peers of the agent's state and of the services whose flows it
// keeps although it is not selected for them.
func (c *Carrier) publishOwnState() {
	c.mu.Lock()
	residual := c.core.ResidualServices()
	draining := c.core.IsDraining()
	silent := c.core.IsTrialOnly()
	weight := c.core.UpdateWeight(clock.Now())
	c.mu.Unlock()
	state := fleet.PeerAlive
	switch {
	case draining:
		state = fleet.PeerLeaving
	case silent:
		state = fleet.PeerServerUnresponsive
	}
	c.node.SetOwnState(state, weight, residual)
}

// applyView puts a view in force. Flows that are open stay where they are.
func (c *Carrier) applyView(view *fleet.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.ApplyView(view)
	if backend := view.Backend(c.node.ID()); backend != nil && backend.Slots > 0 {
		c.load.SetSlots(backend.Slots)
	}
}

// applySettings puts changed labels in force. Everything else stays until the next
// start.
func (c *Carrier) applySettings(s *settings.Carrier) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetLabels(s.Labels)
}

// leave takes no new flows and goes on carrying packets for a while.
func (c *Carrier) leave() {
	c.mu.Lock()
	c.core.Drain()
	c.mu.Unlock()
	c.node.MarkLeaving()
	c.publishOwnState()
	c.logger.Info("leaving")
	time.Sleep(leavingDuration)
}
