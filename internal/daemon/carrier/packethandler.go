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

// packetHandler handles packets in one goroutine. It dispatches packets from other processes
// and bounced packets, forwards the backend server's other packets to callers, and sends in
// batches. It implements exchange.Delivery.
type packetHandler struct {
	*exchange.Dispatcher
	carrier *Carrier
	// callerWriter sends packets to callers through the fabric.
	callerWriter  *peer.Writer
	backendWriter *peer.Writer
	// backendEndpoint is where the backend server takes packets.
	backendEndpoint netip.AddrPort
	// hasLoadReport reports whether a load report came since the last releaseWaiting.
	hasLoadReport bool
}

// newPacketHandler returns a handler for one goroutine.
func newPacketHandler(c *Carrier) (*packetHandler, error) {
	h := &packetHandler{
		carrier:         c,
		callerWriter:    peer.NewWriter(c.node.Socket(), peer.NewPaths()),
		backendWriter:   peer.NewWriter(c.outbound, peer.NewPaths()),
		backendEndpoint: settings.Endpoint(c.settings.Backend),
	}
	var err error
	h.Dispatcher, err = exchange.NewDispatcher(exchange.Config{
		Node: c.node, Format: c.format, Delivery: h, Mutex: &c.mu, Core: c.core, HeldPackets: c.heldPackets,
		Counters: c.counters, Decisions: c.decisions, Logger: c.logger,
	})
	return h, err
}

// AssignTag keeps the header of a packet that is to be delivered, in case the backend server
// bounces it, and returns its tag. It is called with the carrier's mutex held.
func (h *packetHandler) AssignTag(header *datagram.Header) uint32 {
	return h.carrier.deliveredHeaders.add(header)
}

// Deliver queues a packet for the backend server, marked with its tag.
func (h *packetHandler) Deliver(packet flow.Packet, tag uint32, _ bool) {
	h.carrier.format.SetTag(packet.Bytes(), tag)
	h.queue(h.backendWriter, packet.Bytes(), h.backendEndpoint)
}

// Reset queues a reset for the caller of a packet, if the packet can be answered by one.
func (h *packetHandler) Reset(packet flow.Packet) {
	if reset := h.carrier.format.Reset(packet); reset != nil {
		h.queue(h.callerWriter, reset, h.callerEndpoint(packet.Flow()))
	}
}

// HandleLoadReport records a sibling's load report. finishInbound hands opening packets over to
// the sibling. It is called with the carrier's mutex held.
func (h *packetHandler) HandleLoadReport(now time.Time, sibling fleet.InstanceID, report core.Report) {
	h.carrier.core.HandleReport(now, sibling, report)
	h.hasLoadReport = true
}

// finishInbound completes a batch of datagrams from other processes: it releases opening packets
// after load reports, sends the urgent load report that is due, and sends the queued packets.
func (h *packetHandler) finishInbound() {
	now := clock.Now()
	if h.hasLoadReport {
		h.releaseWaiting(now)
	}
	h.sendUrgentReport(now)
	h.Flush()
}

// sendUrgentReport sends a load report between two periodic ones if one is due.
func (h *packetHandler) sendUrgentReport(now time.Time) {
	h.carrier.mu.Lock()
	recipients, isOffer := h.carrier.core.UrgentReport(now)
	if len(recipients) == 0 {
		h.carrier.mu.Unlock()
		return
	}
	report := h.carrier.core.CurrentReport()
	h.carrier.mu.Unlock()
	if isOffer {
		h.carrier.counters.Add("offers_sent", 1)
	}
	h.SendReport(report, recipients)
}

// queue adds a packet to a batch. A packet that cannot be added is counted and dropped.
func (h *packetHandler) queue(writer *peer.Writer, packet []byte, to netip.AddrPort) {
	buffer, err := writer.Next()
	if err != nil {
		h.carrier.counters.Add("drop_send_failed", 1)
		return
	}
	buffer.Write(packet)
	writer.Queue(to)
}

// callerEndpoint returns the endpoint to which packets for a caller are sent. The fabric takes
// them at the caller's address and the fabric's own port, which is that of the agent's data
// endpoint.
func (h *packetHandler) callerEndpoint(id flow.ID) netip.AddrPort {
	return netip.AddrPortFrom(id.Caller().Addr(), h.carrier.node.Data().Port())
}

// receiveFromBackend reads and handles one batch of packets from the backend server.
// Packets from any other address are counted and dropped.
func (h *packetHandler) receiveFromBackend(reader *peer.Reader) error {
	count, err := reader.Read()
	if err != nil {
		return fmt.Errorf("read from backend server %s: %w", h.backendEndpoint, err)
	}
	now := clock.Now()
	for i := range count {
		if reader.Source(i).Addr() != h.backendEndpoint.Addr() {
			h.carrier.counters.Add("drop_foreign_source", 1)
			continue
		}
		h.handleBackendPacket(now, reader.Datagram(i))
	}
	h.releaseWaiting(now)
	h.sendUrgentReport(now)
	return nil
}

// releaseWaiting processes the opening packets whose wait for room is over, and claims or denies
// polled flows.
func (h *packetHandler) releaseWaiting(now time.Time) {
	h.hasLoadReport = false
	h.SendPollAnswers(now)
	h.carrier.mu.Lock()
	released := h.carrier.core.ReleaseWaiting(now)
	h.carrier.mu.Unlock()
	for i := range released {
		h.Resolve(&released[i])
	}
}

// handleBackendPacket sends a packet of the backend server to its caller, or dispatches a
// bounced packet anew. A malformed packet is counted and dropped.
func (h *packetHandler) handleBackendPacket(now time.Time, data []byte) {
	if tag, bounced := h.carrier.format.ParseBounced(data); bounced {
		h.handleBouncedPacket(now, tag, data)
		return
	}
	reply, valid := h.carrier.format.ParseReply(data)
	if !valid {
		h.carrier.counters.Add("drop_malformed", 1)
		return
	}
	h.carrier.mu.Lock()
	dropped := h.carrier.core.HandleBackendPacket(now, reply)
	h.carrier.mu.Unlock()
	if reply.IsReset {
		h.RecordServerReset(reply, dropped)
	}
	if dropped != "" {
		return
	}
	h.queue(h.callerWriter, data, h.callerEndpoint(reply.Flow))
}

// handleBouncedPacket dispatches a packet that the backend server has bounced, with the
// header that it arrived with. A packet whose header is not kept any more is counted and
// dropped.
func (h *packetHandler) handleBouncedPacket(now time.Time, tag uint32, data []byte) {
	h.carrier.counters.Add("packets_returned", 1)
	h.carrier.mu.Lock()
	header, known := h.carrier.deliveredHeaders.get(tag)
	h.carrier.mu.Unlock()
	if !known {
		h.carrier.counters.Add("drop_returned_late", 1)
		return
	}
	h.Dispatch(now, &header, data, h.carrier.core.HandleBouncedPacket)
}

// Flush sends the queued packets.
func (h *packetHandler) Flush() {
	h.Dispatcher.Flush()
	for _, writer := range []*peer.Writer{h.callerWriter, h.backendWriter} {
		if err := writer.Flush(); err != nil {
			h.carrier.counters.Add("drop_send_failed", 1)
		}
	}
}
