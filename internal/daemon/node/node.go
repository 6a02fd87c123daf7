// Package node is the part that balancers and agents share: the control goroutine, the
// control links to peers, the reader of the platform's documents, and the datagram socket,
// which also carries probes.
package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/daemon/metrics"
	"github.com/radishmast/radishmast/internal/daemon/settings"
	"github.com/radishmast/radishmast/internal/link/clock"
	link "github.com/radishmast/radishmast/internal/link/control"
	"github.com/radishmast/radishmast/internal/link/listen"
	"github.com/radishmast/radishmast/internal/link/peer"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// viewValidity is how long the view may be used to route traffic after the control goroutine
// last ran. A process that resumes after a pause finds its view expired.
const viewValidity = time.Second

// connectTimeout bounds the time to connect to the platform or a peer. It is short because
// an endpoint that does not respond may be back a moment later, long before the kernel
// would retransmit.
const connectTimeout = 500 * time.Millisecond

// gcPercent is the garbage collection target of a daemon, in percent of the live heap. It
// is below Go's default of 100, so that garbage is collected earlier: the live heap is
// mostly long-lived state, and documents and views produce bursts of garbage.
const gcPercent = 40

// Node is the part of a daemon that balancers and agents share. Its exported methods
// are safe for concurrent use unless they say otherwise.
type Node struct {
	name string
	id   fleet.InstanceID
	// incarnation is that of the node's own record, which the controller raises if peers
	// know a higher one.
	incarnation           atomic.Uint64
	role                  fleet.Role
	dataCentre            string
	keys                  []datagram.Key
	linkKeys              link.Keys
	dataEndpoint          netip.AddrPort
	controlEndpoint       netip.AddrPort
	socket                *net.UDPConn
	paths                 *peer.Paths
	source                DocumentSource
	acceptsAnyIncarnation bool
	http                  *http.Client
	counters              *metrics.Counters
	logger                log.Interface

	view atomic.Pointer[fleet.View]
	// validUntil is the time until which the view may be used to route traffic, in
	// nanoseconds of Unix time.
	validUntil atomic.Int64
	// confirmedAt is when the view was last compared with the platform, in
	// nanoseconds of Unix time.
	confirmedAt atomic.Int64
	leaving     atomic.Bool
	// weight is the fleet.Weight in replies to probes, or zero for none.
	weight atomic.Uint32
	// isReadDue reports whether this process should read the platform.
	isReadDue atomic.Bool
	// readBecameDue notifies AwaitReadDue that isReadDue has become true.
	readBecameDue chan struct{}
	// inputs is the queue of functions that the control goroutine runs. It executes the
	// outputs that they return.
	inputs chan func(now time.Time) []control.Output
	// controller is used by the control goroutine only, once Run has been called.
	controller *control.Controller
	onPublish  func(*fleet.View)
	explain    Explainer
	sendProbe  func(control.Probe)

	// lastEncoded is the control message that was encoded last, with its encoding.
	lastEncoded struct {
		message *control.Message
		data    []byte
	}

	// mu guards links and nextLink.
	mu       sync.Mutex
	links    map[control.LinkID]*link.Link
	nextLink control.LinkID
}

// Options holds what differs between the platforms that a node can run on.
type Options struct {
	// Source returns the reader of the documents that the platform publishes. transport
	// connects from the instance's own address.
	Source func(common *settings.Common, transport http.RoundTripper, counters *metrics.Counters, logger log.Interface) (DocumentSource, error)
	// AnnouncedLabels holds the labels of the backend server that an agent announces to its
	// peers. It is nil where an agent's entry in the platform's list cannot lapse, so that
	// nothing has to be announced.
	AnnouncedLabels map[string]string
	// AcceptsAnyIncarnation reports whether the node accepts datagrams that are addressed to
	// an earlier incarnation of the instance. Flows outlive a process that only carries
	// their packets.
	AcceptsAnyIncarnation bool
}

// DocumentOptions returns the options for a platform that publishes whole documents.
func DocumentOptions() Options {
	return Options{Source: func(common *settings.Common, transport http.RoundTripper, counters *metrics.Counters, logger log.Interface) (DocumentSource, error) {
		return NewDocumentReader(common.Platform, transport, counters, logger)
	}}
}

// New returns a node with an open datagram socket. It retries opening the socket until it
// succeeds or ctx is done. It fails if ctx is done, or if the document source or the datagram
// keys cannot be set up. It also sets the garbage collection target of the process to
// gcPercent.
func New(ctx context.Context, common *settings.Common, role fleet.Role, options Options, counters *metrics.Counters, logger log.Interface) (*Node, error) {
	debug.SetGCPercent(gcPercent)
	socket, err := listen.Retry(ctx, logger, func() (*net.UDPConn, error) {
		return peer.Listen(ctx, settings.Endpoint(common.Data))
	})
	if err != nil {
		return nil, err
	}
	httpClient := newHTTPClient(settings.Endpoint(common.Control).Addr())
	source, err := options.Source(common, httpClient.Transport, counters, logger)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	logger.WithField("instance", common.Name).WithField("data_centre", common.DataCentre).
		WithField("data_centres", strings.Join(common.DataCentres, ",")).
		WithField("peers", strings.Join(common.Peers, ",")).Info("starting")
	now := clock.Now()
	n := &Node{
		name:                  common.Name,
		id:                    fleet.InstanceIDOf(common.Name),
		role:                  role,
		dataCentre:            common.DataCentre,
		dataEndpoint:          settings.Endpoint(common.Data),
		controlEndpoint:       settings.Endpoint(common.Control),
		socket:                socket,
		paths:                 peer.NewPaths(),
		source:                source,
		acceptsAnyIncarnation: options.AcceptsAnyIncarnation,
		http:                  httpClient,
		counters:              counters,
		logger:                logger.WithField("instance", common.Name),
		readBecameDue:         make(chan struct{}, 1),
		inputs:                make(chan func(time.Time) []control.Output, 1024),
		links:                 make(map[control.LinkID]*link.Link),
		onPublish:             func(*fleet.View) {},
	}
	n.incarnation.Store(uint64(time.Now().UnixNano()))
	n.linkKeys = link.NewKeys(common.Keys)
	for _, secret := range common.Keys {
		n.keys = append(n.keys, datagram.NewKey(secret))
	}
	n.controller = control.New(now, control.Config{
		Self:        n.id,
		Incarnation: n.Incarnation(),
		Role:        role,
		DataCentre:  n.dataCentre,
		Control:     n.controlEndpoint,

		Announcement: announcement(common, options.AnnouncedLabels),
		Seeds:        seeds(common.Peers),
	}, rand.New(rand.NewPCG(uint64(n.id), n.Incarnation())))
	n.view.Store(n.controller.View())
	prober, err := newProbeSender(ctx, n)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	n.sendProbe = prober.send
	return n, nil
}

// announcement returns the announcement of an agent's backend server, or nil if labels is
// nil.
func announcement(common *settings.Common, labels map[string]string) *fleet.Announcement {
	if labels == nil {
		return nil
	}
	return &fleet.Announcement{
		Name: common.Name, DataCentre: common.DataCentre, Data: common.Data, Control: common.Control, Labels: labels,
	}
}

// newHTTPClient returns an HTTP client that connects from address.
func newHTTPClient(address netip.Addr) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: address.AsSlice()}, Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}

// seeds returns the control endpoints of the peers named in the settings.
func seeds(peers []string) []netip.AddrPort {
	endpoints := make([]netip.AddrPort, 0, len(peers))
	for _, p := range peers {
		endpoints = append(endpoints, settings.Endpoint(p))
	}
	return endpoints
}

// ID returns the instance's identifier.
func (n *Node) ID() fleet.InstanceID { return n.id }

// Incarnation returns the number of this start of the instance, which is higher than that of
// any earlier start.
func (n *Node) Incarnation() uint64 { return n.incarnation.Load() }

// Socket returns the datagram socket for traffic with other processes.
func (n *Node) Socket() *net.UDPConn { return n.socket }

// Data returns the address and port of the datagram socket.
func (n *Node) Data() netip.AddrPort { return n.dataEndpoint }

// NewWriter returns a writer of datagrams to other processes. The writer is not safe for
// concurrent use.
func (n *Node) NewWriter() *peer.Writer { return peer.NewWriter(n.socket, n.paths) }

// View returns the current view, which is never nil.
func (n *Node) View() *fleet.View { return n.view.Load() }

// IsValid reports whether the view may be used to route traffic: the control goroutine has
// run within viewValidity and has found the view confirmed.
func (n *Node) IsValid(now time.Time) bool {
	return now.UnixNano() < n.validUntil.Load()
}

// Age returns how long ago the view was last compared with the platform. It is several
// decades if that has not happened yet.
func (n *Node) Age(now time.Time) time.Duration { return now.Sub(n.ConfirmedAt()) }

// ConfirmedAt returns when the view was last compared with the platform, or the start of
// Unix time if that has not happened yet.
func (n *Node) ConfirmedAt() time.Time { return time.Unix(0, n.confirmedAt.Load()) }

// NewCodec returns a datagram codec with the fleet's keys. The codec is not safe for
// concurrent use.
func (n *Node) NewCodec() (*datagram.Codec, error) {
	codec, err := datagram.NewCodec(n.keys...)
	if err != nil {
		return nil, fmt.Errorf("set up datagram codec: %w", err)
	}
	return codec, nil
}

// OnPublish sets the function that the control goroutine calls with each new view. It must
// be called before Start.
func (n *Node) OnPublish(publish func(*fleet.View)) { n.onPublish = publish }

// OnExplain sets the function that explains placements. It must be called before Start.
func (n *Node) OnExplain(explain Explainer) { n.explain = explain }

// enqueueEvent queues a function like Enqueue, but waits while the queue is full. It is for
// events whose loss would leave the controller with a wrong picture for good, such as the end
// of a link. It gives up when ctx is done. The control goroutine must not call it.
func (n *Node) enqueueEvent(ctx context.Context, input func(now time.Time) []control.Output) {
	select {
	case n.inputs <- input:
	case <-ctx.Done():
	}
}

// Enqueue queues a function that the control goroutine runs, and whose outputs it executes.
// If the queue is full, the function is dropped and counted.
func (n *Node) Enqueue(input func(now time.Time) []control.Output) {
	select {
	case n.inputs <- input:
	default:
		n.counters.Add("drop_control_input", 1)
	}
}

// SetOwnState sets the state, the weight and the residual services that the node sends to
// its peers. A weight of zero means that it has none; replies to probes then carry no weight.
func (n *Node) SetOwnState(state fleet.PeerState, weight fleet.Weight, residual []fleet.ServiceID) {
	n.weight.Store(uint32(weight))
	n.Enqueue(func(now time.Time) []control.Output {
		return n.controller.UpdateOwnRecord(now, state, weight, residual)
	})
}

// Run is the control goroutine. It runs queued functions and the controller's periodic work
// until ctx is done. Start calls it.
func (n *Node) Run(ctx context.Context) error {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	n.execute(ctx, n.controller.Tick(clock.Now()))
	for {
		select {
		case <-ctx.Done():
			return nil
		case input := <-n.inputs:
			now := clock.Now()
			n.execute(ctx, input(now))
			n.extendValidity(now)
			n.updateReadDue(now)
		case <-ticker.C:
			now := clock.Now()
			n.execute(ctx, n.controller.Tick(now))
			n.extendValidity(now)
			n.updateReadDue(now)
		}
	}
}

// extendValidity extends the validity of the view if the controller reports it as confirmed,
// and updates the time of the last comparison with the platform and the incarnation. Only the
// control goroutine may call it.
func (n *Node) extendValidity(now time.Time) {
	n.incarnation.Store(n.controller.Incarnation())
	if n.controller.IsConfirmed(now) {
		n.validUntil.Store(now.Add(viewValidity).UnixNano())
	}
	if age, known := n.controller.ViewAge(now); known {
		n.confirmedAt.Store(now.Add(-age).UnixNano())
	}
}

// execute executes the outputs of the controller in order. Links are dialled in goroutines
// of their own. Only the control goroutine may call it.
func (n *Node) execute(ctx context.Context, outputs []control.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case control.Send:
			n.send(o)
		case control.OpenLink:
			go n.dialLink(ctx, o.Control)
		case control.CloseLink:
			n.closeLink(o.Link)
		case control.Probe:
			n.sendProbe(o)
		case control.PublishView:
			n.view.Store(o.View)
			n.onPublish(o.View)
		case control.ReportEvent:
			n.recordEvent(o)
		}
	}
}

// recordEvent counts and logs an event of the controller.
func (n *Node) recordEvent(r control.ReportEvent) {
	n.counters.Add(string(r.Event), 1)
	entry := n.logger.WithField("event", string(r.Event))
	if r.Peer != "" {
		entry = entry.WithField("peer", r.Peer)
	}
	if r.Document != "" {
		entry = entry.WithFields(log.Fields{"document": r.Document, "source": r.Source, "revision": r.Revision.String(), "upserts": r.Upserts, "removed": r.Removed})
	}
	if r.Revision.Version != 0 {
		entry = entry.WithField("version", r.Revision.Version)
	}
	if r.Err != nil {
		entry = entry.WithError(r.Err)
	}
	entry.Info("control")
}
