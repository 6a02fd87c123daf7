// Package agent runs an agent that terminates flows: its user-space network stack
// completes the handshakes of callers and copies the bytes of each flow to and from a
// connection of its own to the backend server.
package agent

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
	"github.com/radishmast/radishmast/internal/link/backend"
	"github.com/radishmast/radishmast/internal/link/caller"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/fabric"
	"github.com/radishmast/radishmast/internal/link/operator"
)

const (
	// handOversPerFlow is the number of hand-overs that the core may remember for each
	// flow that it may own.
	handOversPerFlow = 2
	sweepInterval    = time.Second
	reportInterval   = 500 * time.Millisecond
	// minDrainTime is how long a draining agent runs at least, even if it owns no flow.
	minDrainTime      = 2 * time.Second
	drainPollInterval = 100 * time.Millisecond
	// maxDrainTime is how long a draining agent waits at most for its flows to end.
	maxDrainTime = 24 * time.Hour
)

// Agent is a running agent that terminates the flows of its backend server.
type Agent struct {
	settings *settings.Agent
	node     *node.Node
	counters *metrics.Counters
	logger   log.Interface
	stack    *caller.Stack
	dialer   *backend.Dialer
	egress   *fabric.Egress

	// mu guards core, load, slotQueue and splices, which the packet, flow and timer
	// goroutines share.
	mu        sync.Mutex
	core      *core.Agent
	load      *core.Load
	slotQueue *slotQueue
	// loadChanged wakes the reporter when a slot is released or a request starts to wait.
	loadChanged chan struct{}
	splices     map[flow.ID]*splice
	decisions   *operator.Decisions
	heldPackets *exchange.HeldPackets
	// restarts is nil if the settings name no health endpoint.
	restarts *restartWatcher
}

// Run serves flows until ctx is done. It then drains: it takes no new flows and returns
// when the last flow has ended, after maxDrainTime at the latest.
func Run(ctx context.Context, s *settings.Agent, logger log.Interface) error {
	var a *Agent
	err := node.Serve(ctx, func(ctx context.Context, group *errgroup.Group) error {
		var err error
		if a, err = newAgent(ctx, s, logger); err == nil {
			err = a.start(ctx, group)
		}
		if err != nil {
			return fmt.Errorf("start agent %s: %w", s.Name, err)
		}
		a.logger.WithField("data", s.Data).WithField("backend", s.Backend).Info("started")
		return nil
	}, func(ctx context.Context) { a.drain(ctx) })
	logger.WithField("instance", s.Name).Info("stopped")
	return err
}

// newAgent returns an agent with open sockets that runs nothing yet.
func newAgent(ctx context.Context, s *settings.Agent, logger log.Interface) (*Agent, error) {
	counters := metrics.New()
	n, err := node.New(ctx, &s.Common, fleet.RoleAgent, node.DocumentOptions(), counters, logger)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: settings.Endpoint(s.Data).Addr().AsSlice()})
	if err != nil {
		return nil, fmt.Errorf("open egress socket: %w", err)
	}
	load := core.NewLoad(clock.Now(), s.Slots)
	a := &Agent{
		settings:    s,
		node:        n,
		counters:    counters,
		logger:      logger.WithField("instance", s.Name),
		dialer:      backend.NewDialer(settings.Endpoint(s.Backend)),
		egress:      fabric.NewEgress(socket, settings.Endpoint(s.Egress), counters),
		load:        load,
		loadChanged: make(chan struct{}, 1),
		splices:     make(map[flow.ID]*splice),
		decisions:   operator.NewDecisions(logger, counters),
		heldPackets: exchange.NewHeldPackets(),
	}
	a.core = core.New(core.Config{
		Self:         n.ID(),
		DataCentre:   s.DataCentre,
		MaxFlows:     s.Connections,
		MaxHandOvers: s.Connections * handOversPerFlow,
		Placement:    placement(s.Placement),
		Observer:     exchange.NewObserver(counters),
	}, n.View(), load, rand.New(rand.NewPCG(uint64(n.ID()), n.Incarnation())))
	a.slotQueue = newSlotQueue(a.core.Admission())
	if s.Health != "" {
		a.restarts = &restartWatcher{
			dialer: a.dialer, health: backend.NewHealth(s.Health), onRestart: a.handleBackendRestart, counters: counters, logger: a.logger,
		}
	}
	a.stack, err = caller.New(a)
	if err != nil {
		return nil, err
	}
	n.OnPublish(a.applyView)
	n.OnExplain(exchange.NewPlacementExplainer(&a.mu, a.core))
	counters.Gauge("flows_owned", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.core.FlowsOwned())
	})
	return a, nil
}

// placement returns the placement rule for a name. The settings have checked that the name is
// valid.
func placement(name string) core.Placement {
	switch name {
	case "uniform":
		return core.UniformHash{}
	case "hash":
		return core.HashOnly{}
	case "choices":
		return core.TwoChoices{}
	}
	return core.HandOverWhenFull{}
}

// start starts the goroutines of the agent in group. They end when ctx is done.
func (a *Agent) start(ctx context.Context, group *errgroup.Group) error {
	if err := a.node.Start(ctx, group); err != nil {
		return err
	}
	if err := a.node.ServeReady(ctx, group, a.settings.Ready); err != nil {
		return err
	}
	receiver, err := a.node.NewReceiver()
	if err != nil {
		return err
	}
	dispatcher, err := a.newDispatcher()
	if err != nil {
		return err
	}
	group.Go(func() error {
		return a.node.RunReadLoop(ctx, a.node.Socket(), func() error {
			defer dispatcher.Flush()
			return receiver.ReceiveBatch(dispatcher.Handle)
		})
	})
	lookupDispatcher, err := a.newDispatcher()
	if err != nil {
		return err
	}
	group.Go(func() error {
		lookupDispatcher.RunLookups(ctx)
		return nil
	})
	group.Go(func() error { return a.sendStackPackets(ctx) })
	group.Go(func() error { return a.maintain(ctx) })
	if a.settings.Health != "" {
		group.Go(func() error {
			a.restarts.watch(ctx)
			return nil
		})
	}
	return nil
}

// maintain runs the periodic work until ctx is done: it sweeps the flow table, registers
// flows, publishes the agent's state, sends load reports and ends expired waits.
func (a *Agent) maintain(ctx context.Context) error {
	reporter, err := newReporter(a)
	if err != nil {
		return err
	}
	sweep, report, expiry := time.NewTicker(sweepInterval), time.NewTicker(reportInterval), time.NewTicker(expiryInterval)
	defer sweep.Stop()
	defer report.Stop()
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			a.sweep(clock.Now())
			reporter.sendRegistrations()
			a.publishOwnState()
		case <-report.C:
			reporter.sendReports()
		case <-expiry.C:
			a.expireRequests(clock.Now())
			reporter.sendUrgentReports()
		case <-a.loadChanged:
			reporter.sendUrgentReports()
		}
	}
}

// publishOwnState publishes the agent's state to its peers.
func (a *Agent) publishOwnState() {
	a.mu.Lock()
	own := a.core.OwnState(clock.Now())
	a.mu.Unlock()
	a.node.SetOwnState(own.State, own.Weight, own.Residual)
}

// sweep removes ended flows for which the stack holds no state any more, and resets flows
// whose opening has not completed in time.
func (a *Agent) sweep(now time.Time) {
	a.mu.Lock()
	expired := a.core.Sweep(now)
	for id, s := range a.splices {
		if s.hasEnded() && !a.stack.HasEndpoint(id) {
			delete(a.splices, id)
			a.core.MarkClosed(id, s.attempt)
		}
	}
	a.mu.Unlock()
	for _, owned := range expired {
		a.resetFlow(owned, refuseHandshakeTimeout)
	}
}

// expireRequests ends the waits for a slot that have run out, and the requests that have
// passed their deadline, whose slots it releases.
func (a *Agent) expireRequests(now time.Time) {
	a.mu.Lock()
	a.slotQueue.notifyExpired(now)
	requests := a.slotQueue.requestsWithDeadline()
	a.mu.Unlock()
	for _, r := range requests {
		r.expire(now)
	}
}

// drain stops taking new flows and waits until the last one has ended, for at least
// minDrainTime and at most maxDrainTime.
func (a *Agent) drain(ctx context.Context) {
	a.mu.Lock()
	a.core.Drain()
	a.mu.Unlock()
	a.node.MarkLeaving()
	a.publishOwnState()
	a.logger.Info("draining")
	ctx, cancel := context.WithTimeout(ctx, maxDrainTime)
	defer cancel()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	earliestEnd := clock.Now().Add(minDrainTime)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-poll.C:
			a.mu.Lock()
			idle := a.core.IsIdle()
			a.mu.Unlock()
			if idle && clock.Now().After(earliestEnd) {
				return
			}
		}
	}
}

// sendStackPackets sends the stack's packets for callers to the fabric, in batches, until
// ctx is done.
func (a *Agent) sendStackPackets(ctx context.Context) error {
	packets := make([][]byte, 0, egressBatchSize)
	buffers := make([][]byte, egressBatchSize)
	for i := range buffers {
		buffers[i] = make([]byte, 0, caller.MTU)
	}
	for {
		first, err := a.stack.Next(ctx, buffers[0][:0])
		if err != nil {
			return nil
		}
		packets = append(packets[:0], first)
		for len(packets) < egressBatchSize {
			next := a.stack.TryNext(buffers[len(packets)][:0])
			if next == nil {
				break
			}
			packets = append(packets, next)
		}
		a.recordHandshakeReplies(packets)
		a.egress.Send(packets...)
	}
}

// egressBatchSize is the largest number of packets sent to the fabric in one batch.
const egressBatchSize = 64
