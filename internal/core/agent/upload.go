package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// Requests of upload services take many packets, which callers send in several round trips
// over slow links. The backend server does no work for a request until it has all of them, and
// then a few milliseconds. So a request in transfer takes only a share of a slot, and its
// service time counts from its last packet.
const (
	// maxTransfersPerSlot is the number of transfers that take a whole slot together, at most.
	// It bounds the requests that are complete at the same moment, since a server queues only
	// a few requests.
	maxTransfersPerSlot = 4
	// transferIdleTimeout is how long a transfer without new bytes keeps its share of a slot.
	// It is longer than the first retransmission timeout of callers.
	transferIdleTimeout = 500 * time.Millisecond
	// maxSegmentsBeyondGap limits the state of a transfer. Callers have fewer packets in flight. The
	// segment that closes a gap is added beyond the limit.
	maxSegmentsBeyondGap = 64
)

// transfer tracks the bytes of one upload request that were delivered to the backend server.
type transfer struct {
	// startedAt is when the first bytes were delivered, or zero before that.
	startedAt time.Time
	// lastBytesAt is when new bytes were last delivered.
	lastBytesAt time.Time
	// next is the sequence number that follows the bytes delivered without a gap, if
	// isNextKnown.
	next        uint32
	isNextKnown bool
	// beyondGap holds the segments delivered that do not follow next, in no order.
	beyondGap []segment
	// end is the sequence number that follows the last byte of the request, if isEndKnown.
	end        uint32
	isEndKnown bool
}

// segment is the range of sequence numbers from start up to, but not including, end.
type segment struct{ start, end uint32 }

// isBefore reports whether one sequence number comes before another. Sequence numbers wrap
// around.
func isBefore(a, b uint32) bool { return int32(a-b) < 0 }

// segmentOf returns the sequence numbers of a packet's payload.
func segmentOf(packet flow.Packet) segment {
	return segment{packet.Sequence(), packet.Sequence() + uint32(packet.PayloadSize())}
}

// isNew reports whether a segment has bytes that were not delivered before.
func (t *transfer) isNew(s segment) bool {
	return !t.isNextKnown || isBefore(t.next, s.end) && !slices.Contains(t.beyondGap, s)
}

// add records the payload of a delivered packet that has new bytes. A packet that is not full
// ends the request.
func (t *transfer) add(now time.Time, packet flow.Packet, maxPayload int) {
	delivered := segmentOf(packet)
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	if !t.isNextKnown {
		t.next, t.isNextKnown = delivered.start, true
	}
	t.lastBytesAt = now
	if packet.PayloadSize() < maxPayload && !t.isEndKnown {
		t.end, t.isEndKnown = delivered.end, true
	}
	if len(t.beyondGap) < maxSegmentsBeyondGap || !isBefore(t.next, delivered.start) {
		t.beyondGap = append(t.beyondGap, delivered)
	}
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

// isComplete reports whether all bytes of the request are known to be delivered. It stays false
// for a request whose last packet is full, see completeUnnoticed.
func (t *transfer) isComplete() bool { return t.isEndKnown && !isBefore(t.next, t.end) }

// highest returns the sequence number that follows the last byte delivered.
func (t *transfer) highest() uint32 {
	highest := t.next
	for _, s := range t.beyondGap {
		if isBefore(highest, s.end) {
			highest = s.end
		}
	}
	return highest
}

// isIdle reports whether the transfer has had no new bytes for so long that it keeps no share
// of a slot.
func (t *transfer) isIdle(now time.Time) bool {
	return !t.startedAt.IsZero() && now.Sub(t.lastBytesAt) > transferIdleTimeout
}

// isUpload reports whether the requests of a flow are uploads.
func (a *Agent) isUpload(entry *flowEntry) bool {
	service := a.view.Service(entry.service)
	return service != nil && service.IsUpload()
}

// newTransfer returns the transfer of the next request of a flow. Its first byte follows the
// opening packet or the request before. That is not known of an adopted flow, whose first
// delivered packet counts as the start.
func newTransfer(entry *flowEntry) *transfer {
	return &transfer{next: entry.nextRequest, isNextKnown: entry.isNextRequestKnown}
}

// recordUpload records that bytes of an upload request are delivered. Once all of them are, the
// request takes a slot. Bytes delivered before count for nothing, also those of an earlier
// request.
func (a *Agent) recordUpload(now time.Time, entry *flowEntry, packet flow.Packet) {
	current := entry.transfer
	if current == nil {
		current = newTransfer(entry)
	}
	if !current.isNew(segmentOf(packet)) {
		return
	}
	a.reserveSlot(now, entry)
	if !entry.isTransferring() {
		return
	}
	entry.transfer.add(now, packet, a.config.MaxPayload)
	if entry.transfer.isComplete() {
		a.completeTransfer(now, entry)
	}
}

// beginTransfer makes an upload request take a share of a slot: when its flow opens, with its
// first bytes, or with further bytes after the share was released.
func (a *Agent) beginTransfer(entry *flowEntry) {
	if entry.transfer == nil {
		entry.transfer = newTransfer(entry)
	}
	a.load.beginTransfer()
}

// completeTransfer ends the transfer of a request, which takes a slot from now on.
func (a *Agent) completeTransfer(now time.Time, entry *flowEntry) {
	current := entry.transfer
	a.load.recordTransferTime(current.lastBytesAt.Sub(current.startedAt))
	a.load.endTransfer()
	a.load.start(now)
	entry.slotReservedAt = current.lastBytesAt
	entry.forgetTransfer()
	a.beginService(now, entry)
}

// completeUnnoticed ends the transfer of a request that is answered although its end was not
// noticed: its last packet was full, or the backend server answers before it has all bytes. An
// answer to an idle transfer, or before the first byte, says nothing about the service time.
func (a *Agent) completeUnnoticed(now time.Time, entry *flowEntry) {
	lastBytesAt := entry.transfer.lastBytesAt
	if entry.slotReservedAt.IsZero() || lastBytesAt.IsZero() {
		a.releaseShare(now, entry)
		entry.forgetTransfer()
		return
	}
	a.completeTransfer(now, entry)
	entry.requestDeliveredAt = lastBytesAt
}

// releaseShare releases the share of a slot that the transfer of a request takes, if it does.
// The bytes delivered so far stay known.
func (a *Agent) releaseShare(now time.Time, entry *flowEntry) {
	if entry.slotReservedAt.IsZero() {
		return
	}
	a.load.endTransfer()
	a.endRequest(now, entry)
	entry.slotReservedAt = time.Time{}
}

// forgetTransfer ends the transfer of a request and remembers where the next request starts.
func (e *flowEntry) forgetTransfer() {
	if e.transfer.isNextKnown {
		e.nextRequest, e.isNextRequestKnown = e.transfer.highest(), true
	}
	e.transfer = nil
}
