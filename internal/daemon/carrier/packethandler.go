package carrier

import (
	"fmt"
	"net/netip"
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/daemon/exchange"
	"github.com/radishmast/radishmast/internal/daemon/settings"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/peer"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// packetHandler moves the packets of one goroutine between other processes, the backend server
// and callers. It implements exchange.Delivery.
type packetHandler struct {
	*exchange.Dispatcher
	carrier *Carrier
	callerWriter *peer.Writer
	backendWriter *peer.Writer
	backendEndpoint     netip.AddrPort
}

func newPacketHandler(c *Carrier) (*packetHandler, error) {
	t := &packetHandler{
		carrier: c,
		callerWriter: peer.NewWriter(c.node.Socket(), peer.NewPaths()),
		backendWriter: peer.NewWriter(c.outbound, peer.NewPaths()),
		backendEndpoint:     settings.Endpoint(c.settings.Backend),
	}
	var err error
	t.Dispatcher, err = exchange.NewDispatcher(exchange.Config{
		Node: c.node, Format: c.format, Delivery: t, Mutex: &c.mu, Core: c.core, HeldPackets: c.heldPackets,
		Counters: c.counters, Decisions: c.decisions, Logger: c.logger,
	})
	return t, err
}

// AssignTag remembers how a packet came, since the backend server may return it.
func (t *packetHandler) AssignTag(header *datagram.Header) uint32 { return t.carrier.deliveredHeaders.add(header) }

// Deliver sends a packet to the backend server.
func (t *packetHandler) Deliver(packet flow.Packet, tag uint32, _ bool) {
	t.carrier.format.SetTag(packet.Bytes(), tag)
	t.queue(t.backendWriter, packet.Bytes(), t.backendEndpoint)
}

// Reset answers the caller with a reset.
func (t *packetHandler) Reset(packet flow.Packet) {
	if answer := t.carrier.format.Reset(packet); answer != nil {
		t.queue(t.callerWriter, answer, t.callerEndpoint(packet.Flow()))
	}
}

// HandleLoadReport takes a sibling's load report. No requests wait here that could be handed to it.
func (t *packetHandler) HandleLoadReport(now time.Time, sibling fleet.InstanceID, report core.Report) {
	t.carrier.core.HandleReport(now, sibling, report)
}

// queue adds a packet to a batch. One that cannot be sent is lost and counted.
func (t *packetHandler) queue(writer *peer.Writer, packet []byte, to netip.AddrPort) {
	buffer, err := writer.Next()
	if err != nil {
		t.carrier.counters.Add("drop_send_failed", 1)
		return
	}
	buffer.Write(packet)
	writer.Queue(to)
}

// callerEndpoint returns where the fabric takes packets for a caller: at the
// caller's address and the fabric's own port.
func (t *packetHandler) callerEndpoint(id flow.ID) netip.AddrPort {
	return netip.AddrPortFrom(id.Caller().Addr(), t.carrier.node.Data().Port())
}

// receiveFromBackend handles one batch of packets from the backend server.
func (t *packetHandler) receiveFromBackend(reader *peer.Reader) error {
	count, err := reader.Read()
	if err != nil {
		return fmt.Errorf("read from backend server %s: %w", t.backendEndpoint, err)
	}
	now := clock.Now()
	for i := range count {
		if reader.Source(i).Addr() != t.backendEndpoint.Addr() {
			t.carrier.counters.Add("drop_foreign_source", 1)
			continue
		}
		t.handleBackendPacket(now, reader.Datagram(i))
	}
	return nil
}

func (t *packetHandler) handleBackendPacket(now time.Time, data []byte) {
	if tag, returned := t.carrier.format.ParseBounced(data); returned {
		t.handleBouncedPacket(now, tag, data)
		return
	}
	answer, valid := t.carrier.format.ParseReply(data)
	if !valid {
		t.carrier.counters.Add("drop_malformed", 1)
		return
	}
	t.carrier.mu.Lock()
	t.carrier.core.HandleBackendPacket(now, answer)
	t.carrier.mu.Unlock()
	t.queue(t.callerWriter, data, t.callerEndpoint(answer.Flow))
}

func (t *packetHandler) handleBouncedPacket(now time.Time, tag uint32, data []byte) {
	t.carrier.counters.Add("packets_returned", 1)
	t.carrier.mu.Lock()
	header, known := t.carrier.deliveredHeaders.get(tag)
	t.carrier.mu.Unlock()
	if !known {
		t.carrier.counters.Add("drop_returned_late", 1)
		return
	}
	t.Dispatch(now, &header, data, t.carrier.core.HandleBouncedPacket)
}

// Flush sends what was queued.
func (t *packetHandler) Flush() {
	t.Dispatcher.Flush()
	for _, writer := range []*peer.Writer{t.callerWriter, t.backendWriter} {
		if err := writer.Flush(); err != nil {
			t.carrier.counters.Add("drop_send_failed", 1)
		}
	}
}
