package ownership

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// forwardHistoryLifetime is how long a forwarded packet is remembered.
const forwardHistoryLifetime = 2 * time.Second

// ForwardHistory records one recently forwarded packet of each flow, so that its
// retransmission is forwarded to another agent. That the caller retransmits shows that the
// first choice led nowhere, perhaps to an agent whose failure has not been detected yet.
type ForwardHistory map[flow.ID]forwardedPacket

// IsRetransmissionTo reports whether a packet is the retransmission of one that was forwarded
// to the agent next.
func (h ForwardHistory) IsRetransmissionTo(now time.Time, packet flow.Packet, next fleet.InstanceID) bool {
	last, known := h[packet.Flow()]
	age := now.Sub(last.at)
	return known && last.next == next && last.sequence == packet.Sequence() && age >= minRetransmissionInterval && age < forwardHistoryLifetime
}

// Record records that a packet was forwarded to next. A recent record of another packet of
// the flow is kept, and beyond limit no flow is added.
func (h ForwardHistory) Record(now time.Time, packet flow.Packet, next fleet.InstanceID, limit int) {
	last, known := h[packet.Flow()]
	if known && last.sequence != packet.Sequence() && now.Sub(last.at) < forwardHistoryLifetime || !known && len(h) >= limit {
		return
	}
	h[packet.Flow()] = forwardedPacket{sequence: packet.Sequence(), next: next, at: now}
}

// Sweep removes records that are older than forwardHistoryLifetime.
func (h ForwardHistory) Sweep(now time.Time) {
	for id, last := range h {
		if now.Sub(last.at) >= forwardHistoryLifetime {
			delete(h, id)
		}
	}
}

// minRetransmissionInterval is the minimum time after which a packet with the same sequence
// number counts as a retransmission.
const minRetransmissionInterval = 100 * time.Millisecond

// forwardedPacket records where a packet was forwarded to in the search for its flow's
// owner.
type forwardedPacket struct {
	sequence uint32
	next     fleet.InstanceID
	at       time.Time
}
