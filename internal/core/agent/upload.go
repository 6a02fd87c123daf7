package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// Requests of upload services take many packets. Answers this pattern: many callers send for
// several round trips, over thin links, what the backend server then serves in a few
// milliseconds. While a request is being transferred the server does no work for it, so it
// takes only a share of a slot, and the service time counts from its last packet.
const (
	// maxTransfersPerSlot is the number of transfers that take a whole slot together, at most.
	// It bounds the requests that are complete at the same moment, since a server queues only
	// a few requests.
	maxTransfersPerSlot = 4
	// transferIdleTimeout is how long a transfer without new bytes keeps its share of a slot.
	// It is longer than the first retransmission timeout of callers.
	transferIdleTimeout = 500 * time.Millisecond
)

// transfer tracks the bytes of one upload request that were delivered to the backend server.
type transfer struct {
	// startedAt is when the first bytes were delivered, or zero before that.
	startedAt time.Time
	// lastBytesAt is when new bytes were last delivered.
	lastBytesAt time.Time
	// next is the sequence number that follows the bytes delivered without a gap.
	next uint32
	// beyondGap holds the segments delivered that do not follow next, in no order.
	beyondGap []segment
	// end is the sequence number that follows the last byte of the request, if isEndKnown.
	end        uint32
	isEndKnown bool
}

// segment is a range of sequence numbers, of which end is the first one behind it.
type segment struct{ start, end uint32 }

// isBefore reports whether one sequence number comes before another. Sequence numbers wrap
// around.
func isBefore(a, b uint32) bool { return int32(a-b) < 0 }

// add records the payload of a delivered packet. A packet that is not full ends the request.
func (t *transfer) add(now time.Time, packet flow.Packet, maxPayload int) {
	start := packet.Sequence()
	end := start + uint32(packet.PayloadSize())
	if t.startedAt.IsZero() {
		t.startedAt, t.next = now, start
	}
	if !isBefore(t.next, end) || slices.Contains(t.beyondGap, segment{start, end}) {
		return
	}
	t.lastBytesAt = now
	if packet.PayloadSize() < maxPayload {
		t.end, t.isEndKnown = end, true
	}
	t.beyondGap = append(t.beyondGap, segment{start, end})
	t.closeGaps()
}

// closeGaps moves next behind all segments that it has reached.
func (t *transfer) closeGaps() {
	for moved := true; moved; {
		moved = false
		t.beyondGap = slices.DeleteFunc(t.beyondGap, func(s segment) bool {
			if isBefore(t.next, s.start) {
				return false
			}
			if isBefore(t.next, s.end) {
				t.next, moved = s.end, true
			}
			return true
		})
	}
}

// isComplete reports whether all bytes of the request were delivered. It is not noticed for a
// request whose last packet is full.
func (t *transfer) isComplete() bool { return t.isEndKnown && t.next == t.end }

// isIdle reports whether the transfer has had no new bytes for so long that it keeps no share
// of a slot.
func (t *transfer) isIdle(now time.Time) bool {
	return !t.startedAt.IsZero() && now.Sub(t.lastBytesAt) > transferIdleTimeout
}

// recordUpload records that bytes of an upload request are delivered. Once all of them are, the
// request takes a slot.
func (a *Agent) recordUpload(now time.Time, entry *flowEntry, packet flow.Packet) {
	a.reserveSlot(now, entry)
	if !entry.isTransferring() {
		return
	}
	entry.transfer.add(now, packet, a.config.MaxPayload)
	if entry.transfer.isComplete() {
		a.completeTransfer(now, entry)
	}
}

// completeTransfer ends the transfer of a request, which takes a slot from now on.
func (a *Agent) completeTransfer(now time.Time, entry *flowEntry) {
	a.load.recordTransferTime(now.Sub(entry.transfer.startedAt))
	a.load.endTransfer(now)
	entry.transfer = nil
	a.load.start(now)
	entry.slotReservedAt = now
	a.beginService(now, entry)
}

// completeUnnoticed ends the transfer of a request that is answered although its end was not
// noticed: its last packet was full, or the backend server answers before it has all bytes.
func (a *Agent) completeUnnoticed(now time.Time, entry *flowEntry) {
	lastBytesAt := entry.transfer.lastBytesAt
	a.completeTransfer(now, entry)
	entry.requestDeliveredAt = lastBytesAt
}

// abortTransfer ends the transfer of a request that ended, or stopped counting, before all its
// bytes were delivered.
func (a *Agent) abortTransfer(now time.Time, entry *flowEntry) {
	a.load.endTransfer(now)
	a.endRequest(now, entry)
	entry.transfer = nil
	entry.slotReservedAt = time.Time{}
}
