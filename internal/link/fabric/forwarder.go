// Package fabric speaks to the fabric: a caller's IP packet is the whole payload
// of one UDP datagram (GUE variant 1, direct IP encapsulation).
package fabric

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/balancer"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/operator"
	"github.com/radishmast/radishmast/internal/link/peer"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// Counter counts events by name.
type Counter interface {
	Add(name string, delta int)
}

// SuspectFunc is told of an agent that has not answered an opening packet in time.
type SuspectFunc func(id fleet.InstanceID)

// ViewSource returns the view in force and whether it may be relied on.
type ViewSource interface {
	View() *fleet.View
	IsValid(now time.Time) bool
	// Age returns how long ago the view was compared with the platform.
	Age(now time.Time) time.Duration
}

// Forwarder moves packets from the fabric to agents. Each traffic goroutine has
// its own.
type Forwarder struct {
	core      *balancer.Balancer
	format    flow.Format
	views     ViewSource
	onSuspect SuspectFunc
	decisions *operator.Decisions
	// callerWriter writes to callers.
	callerWriter *peer.Writer
	codec        *datagram.Codec
	fabricReader *peer.Reader
	agentWriter  *peer.Writer
	counter      Counter
	fabricPort   uint16
	header       datagram.Header

	// prefixes holds the encoded headers of prefixView.
	prefixes   map[prefixKey]datagram.Prefix
	prefixView *fleet.View
}

// Identity is the sender that datagrams name.
type Identity struct {
	ID          fleet.InstanceID
	Incarnation uint64
	// Data is where the sender takes datagrams.
	Data netip.AddrPort
}

// Config is what a forwarder works with.
type Config struct {
	Identity  Identity
	Core      *balancer.Balancer
	Format    flow.Format
	Views     ViewSource
	OnSuspect SuspectFunc
	// Decisions logs decisions about flows. It may be nil.
	Decisions *operator.Decisions
	Codec     *datagram.Codec
	// FabricSocket is the socket that the fabric sends to.
	FabricSocket *net.UDPConn
	// Writer writes to agents.
	Writer  *peer.Writer
	Counter Counter
}

// NewForwarder returns a forwarder that reads from a socket of the fabric and
// writes to agents.
func NewForwarder(config Config) *Forwarder {
	return &Forwarder{
		core:         config.Core,
		format:       config.Format,
		views:        config.Views,
		onSuspect:    config.OnSuspect,
		decisions:    config.Decisions,
		callerWriter: peer.NewWriter(config.FabricSocket, peer.NewPaths()),
		codec:        config.Codec,
		fabricReader: peer.NewReader(config.FabricSocket),
		agentWriter:  config.Writer,
		counter:      config.Counter,
		fabricPort:   config.FabricSocket.LocalAddr().(*net.UDPAddr).AddrPort().Port(),

		prefixes: make(map[prefixKey]datagram.Prefix),
		header: datagram.Header{
			Kind:            datagram.Packet,
			From:            uint64(config.Identity.ID),
			FromIncarnation: config.Identity.Incarnation,
			Origin:          uint64(config.Identity.ID),
			Reply:           datagram.PackEndpoint(config.Identity.Data),
		},
	}
}

// ForwardBatch reads one batch and forwards it. It returns an error when the socket is
// closed.
func (f *Forwarder) ForwardBatch() error {
	count, err := f.fabricReader.Read()
	if err != nil {
		return err
	}
	// What was read before or during a pause is dropped: the view may be old.
	if !f.views.IsValid(clock.Now()) {
		f.counter.Add("drop_view_expired", count)
		return nil
	}
	view := f.views.View()
	for i := range count {
		f.forwardPacket(view, f.fabricReader.Datagram(i))
	}
	f.counter.Add("packets_received", count)
	for _, writer := range []*peer.Writer{f.agentWriter, f.callerWriter} {
		if err := writer.Flush(); err != nil {
			f.counter.Add("drop_send_failed", 1)
		}
	}
	return nil
}

func (f *Forwarder) forwardPacket(view *fleet.View, data []byte) {
	packet, err := f.format.Parse(data)
	if err != nil {
		f.counter.Add(dropCounter(err), 1)
		return
	}
	decision := f.core.Route(view, packet)
	f.recordDecision(view, packet, decision)
	if decision.Suspect != nil {
		f.counter.Add("opening_copies", 1)
		f.onSuspect(decision.Suspect.ID())
	}
	if decision.NeedsReset {
		f.sendReset(packet)
	}
	if decision.Drop != balancer.DropNone {
		f.counter.Add("drop_"+string(decision.Drop), 1)
		return
	}
	if err := f.queuePacket(view, decision, packet.Bytes()); err != nil {
		f.counter.Add("drop_send_failed", 1)
	}
}

// recordDecision logs what was decided about an opening packet, and any reset.
func (f *Forwarder) recordDecision(view *fleet.View, packet flow.Packet, decision balancer.Decision) {
	opens := packet.Kind() == flow.Opening
	if f.decisions == nil || (!opens && !decision.NeedsReset) {
		return
	}
	recorded := operator.Decision{
		Event:    "forward",
		Flow:     packet.Flow(),
		Sequence: packet.Sequence(),
		Reason:   string(decision.Drop),
		Revision: view.Revisions().Highest(),
		Age:      f.views.Age(clock.Now()),
	}
	if opens {
		recorded.Copies = packet.AcknowledgedToken()
	}
	switch {
	case decision.NeedsReset:
		recorded.Event = "reset"
	case decision.Drop != balancer.DropNone:
		recorded.Event = "drop"
	default:
		recorded.Peer = decision.Target.Name()
	}
	f.decisions.Record(recorded)
}

// sendReset tells the caller that its packet is not served. The fabric takes packets for
// callers at their addresses and its own port.
func (f *Forwarder) sendReset(packet flow.Packet) {
	answer := f.format.Reset(packet)
	if answer == nil {
		return
	}
	buffer, err := f.callerWriter.Next()
	if err != nil {
		f.counter.Add("drop_send_failed", 1)
		return
	}
	buffer.Write(answer)
	f.callerWriter.Queue(netip.AddrPortFrom(packet.Flow().Caller().Addr(), f.fabricPort))
	f.counter.Add("resets_sent", 1)
}

func (f *Forwarder) queuePacket(view *fleet.View, decision balancer.Decision, packet []byte) error {
	prefix, err := f.prefix(view, decision)
	if err != nil {
		return err
	}
	buffer, err := f.agentWriter.Next()
	if err != nil {
		return err
	}
	if err := f.codec.AppendPrefixed(buffer, prefix, packet); err != nil {
		return fmt.Errorf("encode packet for %s: %w", decision.Target.Name(), err)
	}
	f.agentWriter.Queue(decision.Target.Data())
	return nil
}

// prefixKey tells apart the headers of a view.
type prefixKey struct {
	service fleet.ServiceID
	target  fleet.InstanceID
}

// prefix returns the encoded header for a target. It is the same for every
// packet as long as the view is in force.
func (f *Forwarder) prefix(view *fleet.View, decision balancer.Decision) (datagram.Prefix, error) {
	if f.prefixView != view {
		clear(f.prefixes)
		f.prefixView = view
	}
	key := prefixKey{decision.Service.ID(), decision.Target.ID()}
	if prefix, known := f.prefixes[key]; known {
		return prefix, nil
	}
	f.header.To = uint64(decision.Target.ID())
	f.header.ToIncarnation = decision.Target.Incarnation()
	f.header.Service = uint64(decision.Service.ID())
	f.header.Revision = view.Revisions().Highest()
	prefix, err := f.codec.NewPrefix(&f.header)
	if err != nil {
		return prefix, fmt.Errorf("encode header for %s: %w", decision.Target.Name(), err)
	}
	f.prefixes[key] = prefix
	return prefix, nil
}

// dropCounter returns the counter of a packet that could not be parsed.
func dropCounter(err error) string {
	var malformed flow.MalformedError
	if errors.As(err, &malformed) {
		return "drop_" + string(malformed)
	}
	return "drop_malformed"
}
