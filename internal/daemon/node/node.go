// Package node runs what both daemons share: the control goroutine, control
// links, the platform reader, and the datagram socket for probes.
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

// viewValidity is how long traffic may rely on the view after the control goroutine
// last ran. A process that was paused finds it expired.
const viewValidity = time.Second

// connectTimeout bounds the time to connect to the platform or a peer. What does not answer
// may be back a moment later, long before the kernel would try again.
const connectTimeout = 500 * time.Millisecond

// gcPercent makes a daemon collect garbage early: its memory is mostly state that
// lives long, beside bursts of garbage from documents and views.
const gcPercent = 40

// Node is the shared part of a daemon.
type Node struct {
	name                  string
	id                    fleet.InstanceID
	incarnation           uint64
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

	view       atomic.Pointer[fleet.View]
	validUntil atomic.Int64
	// confirmedAt is when the view was last compared with the platform, in
	// nanoseconds of Unix time.
	confirmedAt atomic.Int64
	leaving     atomic.Bool
	// weight is what peers are told when they probe the node.
	weight     atomic.Uint32
	mustRead   atomic.Bool
	readDue    chan struct{}
	inputs     chan func(now time.Time) []control.Output
	controller *control.Controller
	onPublish  func(*fleet.View)
	sendProbe  func(control.Probe)

	// lastEncoded is the message that was lastEncoded last.
	lastEncoded struct {
		message *control.Message
		data    []byte
	}

	mu       sync.Mutex
	links    map[control.LinkID]*link.Link
	nextLink control.LinkID
}

// Options are what differs between the installations that a node can run in.
type Options struct {
	// Source returns the reader of published documents.
	Source func(common *settings.Common, transport http.RoundTripper, counters *metrics.Counters, logger log.Interface) (DocumentSource, error)
	// AnnouncedLabels are the labels of the backend server that an agent announces to its peers,
	// or nil where the platform's list does not lapse.
	AnnouncedLabels map[string]string
	// AcceptsAnyIncarnation accepts datagrams that were meant for an earlier start of this
	// process. Flows outlive a process that only carries their packets.
	AcceptsAnyIncarnation bool
}

// DocumentOptions returns the parts of an installation whose platform publishes
// whole documents.
func DocumentOptions() Options {
	return Options{Source: func(common *settings.Common, transport http.RoundTripper, counters *metrics.Counters, logger log.Interface) (DocumentSource, error) {
		return NewDocumentReader(common.Platform, transport, counters, logger)
	}}
}

// New returns a node with an open datagram socket.
func New(ctx context.Context, common *settings.Common, role fleet.Role, parts Options, counters *metrics.Counters, logger log.Interface) (*Node, error) {
	debug.SetGCPercent(gcPercent)
	socket, err := listen.Retry(ctx, logger, func() (*net.UDPConn, error) {
		return peer.Listen(ctx, settings.Endpoint(common.Data))
	})
	if err != nil {
		return nil, err
	}
	httpClient := newHTTPClient(settings.Endpoint(common.Control).Addr())
	source, err := parts.Source(common, httpClient.Transport, counters, logger)
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
		incarnation:           uint64(time.Now().UnixNano()),
		role:                  role,
		dataCentre:            common.DataCentre,
		dataEndpoint:          settings.Endpoint(common.Data),
		controlEndpoint:       settings.Endpoint(common.Control),
		socket:                socket,
		paths:                 peer.NewPaths(),
		source:                source,
		acceptsAnyIncarnation: parts.AcceptsAnyIncarnation,
		http:                  httpClient,
		counters:              counters,
		logger:                logger.WithField("instance", common.Name),
		readDue:               make(chan struct{}, 1),
		inputs:                make(chan func(time.Time) []control.Output, 1024),
		links:                 make(map[control.LinkID]*link.Link),
		onPublish:             func(*fleet.View) {},
	}
	n.linkKeys = link.NewKeys(common.Keys)
	for _, secret := range common.Keys {
		n.keys = append(n.keys, datagram.NewKey(secret))
	}
	n.controller = control.New(now, control.Config{
		Self:        n.id,
		Incarnation: n.incarnation,
		Role:        role,
		DataCentre:  n.dataCentre,
		Control:     n.controlEndpoint,

		Announcement: announcement(common, parts.AnnouncedLabels),
		Seeds:        seeds(common.Peers),
	}, rand.New(rand.NewPCG(uint64(n.id), n.incarnation)))
	n.view.Store(n.controller.View())
	prober, err := newProbeSender(ctx, n)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	n.sendProbe = prober.send
	return n, nil
}

// announcement returns what an agent says of its backend server, or nil.
func announcement(common *settings.Common, labels map[string]string) *fleet.Announcement {
	if labels == nil {
		return nil
	}
	return &fleet.Announcement{
		Name: common.Name, DataCentre: common.DataCentre, Data: common.Data, Control: common.Control, Labels: labels,
	}
}

// newHTTPClient returns a client that connects from the instance's own address.
func newHTTPClient(address netip.Addr) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: address.AsSlice()}, Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}

func seeds(peers []string) []netip.AddrPort {
	endpoints := make([]netip.AddrPort, 0, len(peers))
	for _, p := range peers {
		endpoints = append(endpoints, settings.Endpoint(p))
	}
	return endpoints
}

// ID returns the instance's identifier.
func (n *Node) ID() fleet.InstanceID { return n.id }

// Incarnation returns a number that is higher for each start of the instance.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Socket returns the datagram socket shared with other processes.
func (n *Node) Socket() *net.UDPConn { return n.socket }

// Data returns the endpoint of the datagram socket.
func (n *Node) Data() netip.AddrPort { return n.dataEndpoint }

// NewWriter returns a writer of datagrams to other processes.
func (n *Node) NewWriter() *peer.Writer { return peer.NewWriter(n.socket, n.paths) }

// Load returns the view in force.
func (n *Node) Load() *fleet.View { return n.view.Load() }

// IsValid reports whether traffic may rely on the view.
func (n *Node) IsValid(now time.Time) bool {
	return now.UnixNano() < n.validUntil.Load()
}

// Age returns how long ago the view was compared with the platform.
func (n *Node) Age(now time.Time) time.Duration { return now.Sub(n.ConfirmedAt()) }

// ConfirmedAt returns when the view was last compared with the platform.
func (n *Node) ConfirmedAt() time.Time { return time.Unix(0, n.confirmedAt.Load()) }

// NewCodec returns a datagram codec with the fleet's keys.
func (n *Node) NewCodec() (*datagram.Codec, error) {
	codec, err := datagram.NewCodec(n.keys...)
	if err != nil {
		return nil, fmt.Errorf("set up datagrams: %w", err)
	}
	return codec, nil
}

// OnPublish sets the function that is called with each new view.
func (n *Node) OnPublish(publish func(*fleet.View)) { n.onPublish = publish }

// Enqueue runs a function on the control goroutine. It is lost if the node is busy
// beyond its queue.
func (n *Node) Enqueue(input func(now time.Time) []control.Output) {
	select {
	case n.inputs <- input:
	default:
		n.counters.Add("drop_control_input", 1)
	}
}

// SetOwnState sets what the node says of itself to its peers.
func (n *Node) SetOwnState(state fleet.PeerState, weight fleet.Weight, residual []fleet.ServiceID) {
	n.weight.Store(uint32(weight))
	n.Enqueue(func(now time.Time) []control.Output {
		return n.controller.UpdateOwnRecord(now, state, weight, residual)
	})
}

// Run owns the control state until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	firstRead := time.NewTimer(n.controller.FirstReadDelay(clock.Now()))
	defer firstRead.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case input := <-n.inputs:
			now := clock.Now()
			n.execute(ctx, input(now))
			n.extendValidity(now)
		case <-firstRead.C:
			n.updateReadDue(clock.Now())
		case <-ticker.C:
			now := clock.Now()
			n.execute(ctx, n.controller.Tick(now))
			n.extendValidity(now)
			n.updateReadDue(now)
		}
	}
}

func (n *Node) extendValidity(now time.Time) {
	if n.controller.IsConfirmed(now) {
		n.validUntil.Store(now.Add(viewValidity).UnixNano())
	}
	if age, known := n.controller.ViewAge(now); known {
		n.confirmedAt.Store(now.Add(-age).UnixNano())
	}
}

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

func (n *Node) recordEvent(r control.ReportEvent) {
	n.counters.Add(string(r.Event), 1)
	entry := n.logger.WithField("event", string(r.Event))
	if r.Peer != "" {
		entry = entry.WithField("peer", r.Peer)
	}
	if r.Document != "" {
		entry = entry.WithFields(log.Fields{"document": r.Document, "revision": r.Revision, "upserts": r.Upserts, "removed": r.Removed})
	}
	if r.Err != nil {
		entry = entry.WithError(r.Err)
	}
	entry.Info("control")
}
