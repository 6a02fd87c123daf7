package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// forwardHistoryLifetime is how long a forwarded packet is remembered.
const forwardHistoryLifetime = 2 * time.Second

// forwardHistory records one recently forwarded packet of each flow, so that its
// retransmission is forwarded to another agent. That the caller retransmits shows that the
// first choice led nowhere, perhaps to an agent whose failure has not been detected yet.
type forwardHistory map[flow.ID]forwardedPacket

// isRetransmissionTo reports whether a packet is the retransmission of one that was forwarded
// to the agent next.
func (h forwardHistory) isRetransmissionTo(now time.Time, packet flow.Packet, next fleet.InstanceID) bool {
	last, known := h[packet.Flow()]
	age := now.Sub(last.at)
	return known && last.next == next && last.sequence == packet.Sequence() && age >= minRetransmissionInterval && age < forwardHistoryLifetime
}

// record records that a packet was forwarded to next. A recent record of another packet of
// the flow is kept, and beyond limit no flow is added.
func (h forwardHistory) record(now time.Time, packet flow.Packet, next fleet.InstanceID, limit int) {
	last, known := h[packet.Flow()]
	if known && last.sequence != packet.Sequence() && now.Sub(last.at) < forwardHistoryLifetime || !known && len(h) >= limit {
		return
	}
	h[packet.Flow()] = forwardedPacket{sequence: packet.Sequence(), next: next, at: now}
}

// sweep removes records that are older than forwardHistoryLifetime.
func (h forwardHistory) sweep(now time.Time) {
	for id, last := range h {
		if now.Sub(last.at) >= forwardHistoryLifetime {
			delete(h, id)
		}
	}
}
