package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// answerTimeout is how long a request of a carried flow without an answer holds its slot.
const answerTimeout = 5 * time.Second

// reserveSlot counts a request as running on the backend server, unless the flow holds a slot
// already. A new flow takes a slot at once, since most callers send a request at once. An upload
// request takes a share of a slot until all its bytes are delivered.
func (a *Agent) reserveSlot(now time.Time, entry *flowEntry) {
	if !a.config.Carried || !entry.slotReservedAt.IsZero() {
		return
	}
	entry.slotReservedAt = now
	if entry.isTransferring() || a.isUpload(entry) {
		a.beginTransfer(entry)
		a.expectRequest(now, entry)
		return
	}
	a.load.start(now)
	a.expectRequest(now, entry)
}

// recordRequest records that bytes of a request are delivered. Service time counts from the
// first of them or, for an upload request, from the last.
func (a *Agent) recordRequest(now time.Time, service *fleet.RoutedService, entry *flowEntry, packet flow.Packet) {
	if service.IsUpload() || entry.isTransferring() {
		a.recordUpload(now, entry, packet)
		return
	}
	a.reserveSlot(now, entry)
	a.beginService(now, entry)
}

// beginService records that the backend server can begin to work on the current request.
func (a *Agent) beginService(now time.Time, entry *flowEntry) {
	if !entry.requestDeliveredAt.IsZero() {
		return
	}
	entry.requestDeliveredAt = now
	entry.queued = a.load.isSaturated()
	a.load.beginService(now)
	a.receiveRequest(now, entry)
}

// completeRequest records the first bytes of an answer: it releases the flow's slot and
// records the latency, the service time and the outcome of the request.
func (a *Agent) completeRequest(now time.Time, entry *flowEntry) {
	if entry.isTransferring() {
		a.completeUnnoticed(now, entry)
	}
	if entry.slotReservedAt.IsZero() {
		return
	}
	latency := now.Sub(entry.slotReservedAt)
	a.config.Observer.ObserveAnswer(latency)
	a.load.finish(now, latency)
	entry.slotReservedAt = time.Time{}
	if entry.requestDeliveredAt.IsZero() {
		a.endRequest(now, entry)
		return
	}
	a.learnServiceTime(now, entry)
	serviceTime := now.Sub(entry.requestDeliveredAt)
	if !entry.queued {
		a.load.recordServiceTime(serviceTime)
		a.statsOf(entry.service).recordServiceTime(serviceTime)
	}
	if !entry.countedFailed {
		a.recordOutcome(now, entry.service, serviceTime, true)
	}
	a.load.endService(now, true)
	entry.requestDeliveredAt, entry.countedFailed = time.Time{}, false
}

// releaseSlot releases the flow's slot, if it holds one, without an answer.
func (a *Agent) releaseSlot(now time.Time, entry *flowEntry) {
	if entry.slotReservedAt.IsZero() {
		return
	}
	if entry.isTransferring() {
		a.releaseShare(now, entry)
		return
	}
	a.load.cancel(now)
	a.endRequest(now, entry)
	entry.slotReservedAt = time.Time{}
	if !entry.requestDeliveredAt.IsZero() {
		a.load.endService(now, false)
		entry.requestDeliveredAt, entry.countedFailed = time.Time{}, false
	}
}
