// Package fabric exchanges packets with the fabric, the network between callers and the
// system. Each IP packet is the whole payload of one UDP datagram (GUE variant 1, direct IP
// encapsulation).
package fabric

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
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

// SuspectFunc is called with the ID of an agent that has not answered a packet in
// time.
type SuspectFunc func(id fleet.InstanceID)

// ViewSource provides the current routing view and reports whether it is still valid.
type ViewSource interface {
	// View returns the current view.
	View() *fleet.View
	// IsValid reports whether the view is recent enough at now to forward packets.
	IsValid(now time.Time) bool
	// Age returns the time since the view was last compared with the platform.
	Age(now time.Time) time.Duration
}

// Forwarder forwards packets from the fabric to agents. It is not safe for concurrent use;
// each traffic goroutine has its own.
type Forwarder struct {
	core      *balancer.Balancer
	format    flow.Format
	views     ViewSource
	onSuspect SuspectFunc
	decisions *operator.Decisions
	// callerWriter sends resets to callers from the fabric socket.
	callerWriter *peer.Writer
	codec        *datagram.Codec
	fabricSocket *net.UDPConn
	fabricReader *peer.Reader
	// early holds copies of the packets that arrive before the first view.
	early *flow.EarlyPackets[[]byte]
	// hasReadDeadline reports whether a read deadline is set on fabricSocket.
	hasReadDeadline bool
	agentWriter     *peer.Writer
	counter         Counter
	// fabricPort is the port of the fabric socket.
	fabricPort uint16
	// header is the header that is encoded for each target.
	header datagram.Header

	// prefixes caches the encoded headers for prefixView.
	prefixes   map[prefixKey]datagram.Prefix
	prefixView *fleet.View
}

// Identity identifies the forwarder's instance as the sender of datagrams.
type Identity struct {
	ID          fleet.InstanceID
	Incarnation uint64
	// Data is the endpoint at which the instance receives datagrams, such as hints.
	Data netip.AddrPort
}

// Config holds the parameters and dependencies of a Forwarder. Decisions is optional. Without
// Identity.Data the balancer receives no hints.
type Config struct {
	Identity  Identity
	Core      *balancer.Balancer
	Format    flow.Format
	Views     ViewSource
	OnSuspect SuspectFunc
	// Decisions logs decisions about flows. With nil, none are logged.
	Decisions *operator.Decisions
	Codec     *datagram.Codec
	// FabricSocket is the socket that receives packets from the fabric.
	FabricSocket *net.UDPConn
	// Writer sends datagrams to agents.
	Writer  *peer.Writer
	Counter Counter
}

// NewForwarder returns a forwarder.
func NewForwarder(config Config) *Forwarder {
	return &Forwarder{
		core:         config.Core,
		format:       config.Format,
		views:        config.Views,
		onSuspect:    config.OnSuspect,
		decisions:    config.Decisions,
		callerWriter: peer.NewWriter(config.FabricSocket, peer.NewPaths()),
		codec:        config.Codec,
		fabricSocket: config.FabricSocket,
		fabricReader: peer.NewReader(config.FabricSocket),
		early:        flow.NewEarlyPackets[[]byte](),
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

// ForwardBatch waits for a batch of packets from the fabric and forwards them. It returns an
// error if the batch cannot be read, such as when the socket is closed. Packets that arrive
// before the first view are forwarded with it. Packets that cannot be forwarded are dropped
// and counted.
func (f *Forwarder) ForwardBatch() error {
	count, err := f.readBatch()
	if err != nil {
		return err
	}
	// The view may have expired, for example while the process was paused. Packets that
	// were read before or during such a pause are dropped as well, so the check follows
	// the read.
	now := clock.Now()
	if !f.views.IsValid(now) {
		f.holdBatch(now, count)
		return nil
	}
	view := f.views.View()
	for _, data := range f.early.Release(now) {
		f.forwardPacket(view, data)
	}
	for i := range count {
		f.forwardPacket(view, f.fabricReader.Datagram(i))
	}
	f.counter.Add("packets_received", count)
	f.flush()
	return nil
}

// viewPollInterval is the time between two checks for the first view while packets wait for
// it.
const viewPollInterval = 5 * time.Millisecond

// readBatch waits for a batch of packets and returns their number. While packets wait for the
// first view, it returns zero after viewPollInterval.
func (f *Forwarder) readBatch() (int, error) {
	if err := f.setReadDeadline(); err != nil {
		return 0, fmt.Errorf("set read deadline of the fabric socket: %w", err)
	}
	count, err := f.fabricReader.Read()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, nil
	}
	return count, err
}

// setReadDeadline sets a deadline of viewPollInterval while packets wait for the first view,
// and removes it afterwards.
func (f *Forwarder) setReadDeadline() error {
	switch {
	case !f.early.IsEmpty():
		f.hasReadDeadline = true
		return f.fabricSocket.SetReadDeadline(time.Now().Add(viewPollInterval))
	case f.hasReadDeadline:
		f.hasReadDeadline = false
		return f.fabricSocket.SetReadDeadline(time.Time{})
	}
	return nil
}

// holdBatch holds the packets of a batch that arrived before the first view. It drops and
// counts the others, and those that have been held for too long.
func (f *Forwarder) holdBatch(now time.Time, count int) {
	dropped := f.early.Sweep(now)
	for i := range count {
		data := f.fabricReader.Datagram(i)
		packet, err := f.format.Parse(data)
		if err != nil || !f.early.Add(now, packet, func() []byte { return bytes.Clone(data) }) {
			dropped++
		}
	}
	f.counter.Add("drop_view_expired", dropped)
}

// flush sends the queued datagrams.
func (f *Forwarder) flush() {
	for _, writer := range []*peer.Writer{f.agentWriter, f.callerWriter} {
		if err := writer.Flush(); err != nil {
			f.counter.Add("drop_send_failed", 1)
		}
	}
}

// forwardPacket queues a packet for an agent, or drops and counts it. Depending on the
// decision of the core, it also queues a reset to the caller, or calls onSuspect for an agent
// that has not answered.
func (f *Forwarder) forwardPacket(view *fleet.View, data []byte) {
	packet, err := f.format.Parse(data)
	if err != nil {
		f.counter.Add(dropCounter(err), 1)
		return
	}
	decision := f.core.Route(view, packet)
	f.recordDecision(view, packet, decision)
	if decision.Suspect != nil {
		f.counter.Add(copyCounter(packet), 1)
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

// copyCounter returns the name of the counter of a packet that its caller has sent before.
func copyCounter(packet flow.Packet) string {
	if packet.Kind() == flow.Opening {
		return "opening_copies"
	}
	return "retransmissions"
}

// recordDecision logs the decision about an opening packet, and the decision to send a reset
// whatever the packet.
func (f *Forwarder) recordDecision(view *fleet.View, packet flow.Packet, decision balancer.Decision) {
	isOpening := packet.Kind() == flow.Opening
	if f.decisions == nil || (!isOpening && !decision.NeedsReset) {
		return
	}
	entry := operator.Decision{
		Event:    "forward",
		Flow:     packet.Flow(),
		Sequence: packet.Sequence(),
		Reason:   string(decision.Drop),
		Revision: view.Revisions().Highest(),
		Age:      f.views.Age(clock.Now()),
	}
	if isOpening {
		entry.Copies = packet.AcknowledgedToken()
	}
	switch {
	case decision.NeedsReset:
		entry.Event = "reset"
	case decision.Drop != balancer.DropNone:
		entry.Event = "drop"
	default:
		entry.Peer = decision.Target.Name()
	}
	f.decisions.Record(entry)
}

// sendReset queues a reset that answers the packet, if its protocol has one. The fabric
// receives packets to a caller at the caller's IP address and the port of the fabric socket.
func (f *Forwarder) sendReset(packet flow.Packet) {
	resetPacket := f.format.Reset(packet)
	if resetPacket == nil {
		return
	}
	buffer, err := f.callerWriter.Next()
	if err != nil {
		f.counter.Add("drop_send_failed", 1)
		return
	}
	buffer.Write(resetPacket)
	f.callerWriter.Queue(netip.AddrPortFrom(packet.Flow().Caller().Addr(), f.fabricPort))
	f.counter.Add("resets_sent", 1)
}

// queuePacket queues a datagram with the packet for the target of the decision.
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

// prefixKey identifies an encoded header within one view.
type prefixKey struct {
	service fleet.ServiceID
	target  fleet.InstanceID
}

// prefix returns the encoded header for the service and the target of a decision. It caches
// the header, which is the same for every packet until the view changes.
func (f *Forwarder) prefix(view *fleet.View, decision balancer.Decision) (datagram.Prefix, error) {
	if f.prefixView != view {
		clear(f.prefixes)
		f.prefixView = view
	}
	key := prefixKey{decision.Service.ID(), decision.Target.ID()}
	if prefix, cached := f.prefixes[key]; cached {
		return prefix, nil
	}
	f.header.To = uint64(decision.Target.ID())
	f.header.ToIncarnation = decision.Target.Incarnation()
	f.header.Service = uint64(decision.Service.ID())
	f.header.Revision = view.Revisions().Highest().Pack()
	prefix, err := f.codec.NewPrefix(&f.header)
	if err != nil {
		return prefix, fmt.Errorf("encode header for %s: %w", decision.Target.Name(), err)
	}
	f.prefixes[key] = prefix
	return prefix, nil
}

// dropCounter returns the name of the counter for a packet that could not be parsed.
func dropCounter(err error) string {
	var malformed flow.MalformedError
	if errors.As(err, &malformed) {
		return "drop_" + string(malformed)
	}
	return "drop_malformed"
}
