// Package carrier runs an agent beside a backend server that terminates the flows
// itself: the agent forwards packets between callers and the backend server without
// changing what they carry, and decides which of them to deliver.
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
	// handOversPerFlow is the number of hand-overs that the core may remember for each
	// flow that it may own.
	handOversPerFlow = 2
	// initialSlots is the number of slots assumed until a routing view lists the slots of
	// the backend server.
	initialSlots   = 2
	sweepInterval  = 500 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// overdueCheckInterval is the period at which the agent looks for opening packets that
	// the backend server has not answered in time.
	overdueCheckInterval = 50 * time.Millisecond
	// leavingDuration is how long a leaving agent still forwards packets, so that flows of
	// a single request can end.
	leavingDuration = 3 * time.Second
)

// Format reads the packets of callers and backend servers.
type Format interface {
	flow.Format
	// SetTag stores a tag in a packet. If the backend server does not take the packet, it
	// bounces it: it sends the packet back with the tag unchanged.
	SetTag(data []byte, tag uint32)
	// ParseBounced reads the tag of a packet that the backend server has bounced, and
	// restores the caller's packet in data. It reports false for any other packet.
	ParseBounced(data []byte) (tag uint32, bounced bool)
}

// Options holds what depends on the platform that the agent runs on.
type Options struct {
	// Node holds the options of the node. Run sets its AnnouncedLabels to the labels in the
	// settings.
	Node node.Options
	// Format parses the packets of the platform and stores tags in them.
	Format Format
	// PlacesNear reports whether new flows stay in the data centre whose balancers receive
	// their packets while a backend server there has room.
	PlacesNear bool
	// MaxPayload is the largest payload of a caller's packet, in bytes.
	MaxPayload int
}

// Carrier is a running agent that forwards carried flows.
type Carrier struct {
	settings *settings.Carrier
	node     *node.Node
	counters *metrics.Counters
	logger   log.Interface
	format   Format
	// outbound is the socket to which the backend server sends its packets.
	outbound *net.UDPConn

	// mu guards core, load and deliveredHeaders, which the packet and timer goroutines share.
	mu   sync.Mutex
	core *core.Agent
	load *core.Load
	// deliveredHeaders holds the headers of the packets delivered last, for those that the
	// backend server bounces.
	deliveredHeaders *headerRing
	// wasTrialOnly is the value of core.IsTrialOnly that was logged last. While it is true, the
	// backend server gets no new flows except trials, since it is unresponsive, ejected or gone.
	// publishedState is the state that was published last. Only the goroutine that runs
	// maintain uses them.
	wasTrialOnly   bool
	publishedState fleet.PeerState
	decisions      *operator.Decisions
	heldPackets    *exchange.HeldPackets
}

// Run serves flows until ctx is done, then leaves: it takes no new flows and returns after
// leavingDuration. Meanwhile it applies changed labels that watcher reads from the settings
// file.
func Run(ctx context.Context, s *settings.Carrier, watcher *settings.Watcher[*settings.Carrier], options Options, logger log.Interface) error {
	var c *Carrier
	err := node.Serve(ctx, func(ctx context.Context, group *errgroup.Group) error {
		var err error
		if c, err = newCarrier(ctx, s, options, logger); err == nil {
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

// newCarrier returns an agent with open sockets that runs nothing yet.
func newCarrier(ctx context.Context, s *settings.Carrier, options Options, logger log.Interface) (*Carrier, error) {
	counters := metrics.New()
	options.Node.AnnouncedLabels = s.Labels
	n, err := node.New(ctx, &s.Common, fleet.RoleAgent, options.Node, counters, logger)
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
		settings:         s,
		node:             n,
		counters:         counters,
		logger:           logger.WithField("instance", s.Name),
		format:           options.Format,
		outbound:         outbound,
		load:             load,
		deliveredHeaders: newHeaderRing(),
		decisions:        operator.NewDecisions(logger, counters),
		heldPackets:      exchange.NewHeldPackets(),
	}
	c.core = core.New(core.Config{
		Self:         n.ID(),
		DataCentre:   s.DataCentre,
		MaxFlows:     s.Connections,
		MaxHandOvers: s.Connections * handOversPerFlow,
		Placement:    placement(s.Placement),
		Carried:      true,
		PlacesNear:   options.PlacesNear,
		MaxPayload:   options.MaxPayload,
		Observer:     exchange.NewObserver(counters),
		Labels:       s.Labels,
	}, n.View(), load, rand.New(rand.NewPCG(uint64(n.ID()), n.Incarnation())))
	c.core.Start(clock.ProcessStart())
	counters.Gauge("work_left_us", c.workLeft)
	counters.Gauge("knows_all_flows", c.knowsAllFlows)
	n.OnPublish(c.applyView)
	n.OnExplain(exchange.NewPlacementExplainer(&c.mu, c.core))
	counters.Gauge("waiting", func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(c.core.Waiting())
	})
	return c, nil
}

// placement returns the policy of a placement setting, which must have been checked.
func placement(name string) core.Placement {
	if name == settings.PlacementWork {
		return core.LeastWork{}
	}
	return core.HandOverWhenFull{}
}

// start starts the goroutines of the agent in group. They end when ctx is done.
func (c *Carrier) start(ctx context.Context, group *errgroup.Group) error {
	if err := c.node.Start(ctx, group); err != nil {
		return err
	}
	if err := c.node.ServeReady(ctx, group, c.settings.Ready); err != nil {
		return err
	}
	receiver, err := c.node.NewReceiver()
	if err != nil {
		return err
	}
	inboundHandler, err := newPacketHandler(c)
	if err != nil {
		return err
	}
	backendHandler, err := newPacketHandler(c)
	if err != nil {
		return err
	}
	lookupHandler, err := newPacketHandler(c)
	if err != nil {
		return err
	}
	group.Go(func() error {
		lookupHandler.RunLookups(ctx)
		return nil
	})
	group.Go(func() error {
		return c.node.RunReadLoop(ctx, c.node.Socket(), func() error {
			defer inboundHandler.finishInbound()
			return receiver.ReceiveBatch(inboundHandler.Handle)
		})
	})
	reader := peer.NewReader(c.outbound)
	group.Go(func() error {
		return c.node.RunReadLoop(ctx, c.outbound, func() error {
			defer backendHandler.Flush()
			return backendHandler.receiveFromBackend(reader)
		})
	})
	group.Go(func() error { return c.maintain(ctx) })
	return nil
}

// maintain runs the periodic work until ctx is done: it sweeps the flow table, registers
// flows, publishes the agent's state, sends load reports and retries overdue flows.
func (c *Carrier) maintain(ctx context.Context) error {
	sender, err := c.node.NewSender()
	if err != nil {
		return err
	}
	handler, err := newPacketHandler(c)
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
			c.retryOverdue(clock.Now(), handler)
		}
	}
}

// retryOverdue retries the new flows that the backend server has not answered in time on
// other agents, as far as there is one and the retry budget allows it. It publishes the
// agent's state when that changes, as when the backend server starts or stops being limited to
// trials.
func (c *Carrier) retryOverdue(now time.Time, handler *packetHandler) {
	c.mu.Lock()
	retries := c.core.RetryOverdue(now)
	trialOnly, ejected, state := c.core.IsTrialOnly(), c.core.IsEjected(), c.core.PeerState(now)
	c.mu.Unlock()
	for i := range retries {
		handler.Resolve(&retries[i])
	}
	handler.releaseWaiting(now)
	handler.sendUrgentReport(now)
	handler.Flush()
	if trialOnly != c.wasTrialOnly {
		c.wasTrialOnly = trialOnly
		c.logger.WithField("silent", trialOnly).WithField("failing", ejected).Warn("backend server")
	}
	if state != c.publishedState {
		c.publishedState = state
		c.publishOwnState()
	}
}

// sendReport sends the periodic load report to its recipients: all siblings, or a random
// choice of them.
func (c *Carrier) sendReport(sender *node.Sender) {
	c.mu.Lock()
	report := c.core.Report(clock.Now())
	siblings := c.core.ReportRecipients()
	c.mu.Unlock()
	exchange.SendReport(c.node, sender, c.logger, report, siblings)
}

// publishOwnState publishes the agent's state to its peers.
func (c *Carrier) publishOwnState() {
	c.mu.Lock()
	own := c.core.OwnState(clock.Now())
	c.mu.Unlock()
	c.node.SetOwnState(own.State, own.Weight, own.Residual)
}

// applyView replaces the routing view and sets the number of slots that the view lists for
// this backend server. Open flows are kept, even those that the view does not allow any more.
func (c *Carrier) applyView(view *fleet.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.ApplyView(view)
	if backend := view.Backend(c.node.ID()); backend != nil && backend.Slots > 0 {
		c.load.SetSlots(backend.Slots)
	}
}

// applySettings applies changed labels. Changes of other settings take effect at the next
// start.
func (c *Carrier) applySettings(s *settings.Carrier) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetLabels(s.Labels)
	return nil
}

// workLeft returns the expected remaining work at the backend server in microseconds of slot-time.
func (c *Carrier) workLeft() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.core.WorkLeft(clock.Now()).Microseconds())
}

// knowsAllFlows returns 1 if the core knows every flow of the backend server, and 0 if an earlier
// process may have opened flows there.
func (c *Carrier) knowsAllFlows() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core.KnowsAllFlows(clock.Now()) {
		return 1
	}
	return 0
}

// leave stops taking new flows, fails the readiness check and publishes that the agent is
// leaving. It returns after leavingDuration, in which packets are still forwarded.
func (c *Carrier) leave() {
	c.mu.Lock()
	c.core.Drain()
	c.mu.Unlock()
	c.node.MarkLeaving()
	c.publishOwnState()
	c.logger.Info("leaving")
	time.Sleep(leavingDuration)
}
