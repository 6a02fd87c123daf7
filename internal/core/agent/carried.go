package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/backend"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Lifetimes of carried flows.
const (
	// carriedLifetime is how long a flow without packets is kept.
	carriedLifetime = 60 * time.Second
	// endedLifetime is how long a flow is kept after the backend server has ended it.
	endedLifetime = 5 * time.Second
)

// receiveCarried decides about a packet of a carried flow, which the backend server
// terminates itself. The packet that confirms the handshake opens the flow, and makes the
// agent send a hint. An established packet gets a reset if the server has not responded
// beyond the reset timeout and requests of the service are idempotent, so that the caller
// can repeat its request elsewhere.
func (a *Agent) receiveCarried(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	entry := a.flows[received.Packet.Flow()]
	if received.Relayed && slices.Contains(received.Visited, a.config.Self) {
		return a.search(now, service, received)
	}
	if received.Packet.Kind() == flow.Opening {
		return a.receiveCarriedOpening(now, service, entry, received)
	}
	if entry == nil {
		return a.receiveCarriedUnknown(now, service, received)
	}
	opened := false
	switch entry.state {
	case stateHandedOver:
		return a.receiveCarriedHandedOver(now, service, entry, received)
	case statePending:
		return a.receiveCarriedPending(now, service, received)
	case stateHalfOpen:
		if received.Packet.AcknowledgedToken() != entry.token {
			return a.searchDenied(now, service, received)
		}
		entry.state = stateOpen
		entry.openingPacket, entry.visited = nil, nil
		entry.registration.dueAt = now.Add(registrationDelay)
		opened = true
	}
	if a.responses.isPastResetTimeout(now) && service.IsIdempotent() && received.Packet.Kind() == flow.Established {
		a.reset.Reason = ResetServerSilent
		return &a.reset
	}
	entry.registration.renewIfMissed(received.Visited)
	entry.expires = now.Add(carriedLifetime)
	if received.Packet.PayloadSize() > 0 && entry.state == stateOpen {
		a.recordRequest(now, service, entry, received.Packet)
	}
	a.responses.recordDelivery(now, received.Packet)
	a.deliverPacket(received)
	a.deliver.SendHint = a.deliver.SendHint || opened
	return &a.deliver
}

// receiveCarriedUnknown decides about a packet, other than an opening packet, of a flow that
// has no entry. Its caller waits for no opening any more. The packet goes to the registered
// owner if there is one. Otherwise it is delivered, unless this agent knows all flows of its
// backend server: the server bounces a packet of a flow that it does not hold, see
// HandleBouncedPacket.
func (a *Agent) receiveCarriedUnknown(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	a.waiting.forget(received.Packet.Flow())
	if action, found := a.referToOwner(now, service, received); found && !received.Polled {
		return action
	}
	if a.KnowsAllFlows(now) || a.denials.has(now, received.Packet.Flow()) {
		return a.searchDenied(now, service, received)
	}
	if received.Polled {
		return a.answerPoll(now, service, received)
	}
	return a.deliverSpeculatively(now, received)
}

// receiveCarriedPending decides about a packet of a flow whose opening packet the backend server has
// not answered yet. It belongs to a flow with the same addresses and ports that is open elsewhere,
// or here since before this process started.
func (a *Agent) receiveCarriedPending(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if a.KnowsAllFlows(now) {
		return a.searchDenied(now, service, received)
	}
	return a.search(now, service, received)
}

// deliverSpeculatively returns the action that delivers a packet although the backend server
// may not hold its flow. It sends no hint.
func (a *Agent) deliverSpeculatively(now time.Time, received *ReceivedPacket) Action {
	a.responses.recordDelivery(now, received.Packet)
	a.deliver = Deliver{}
	return &a.deliver
}

// receiveCarriedHandedOver decides about a packet of a carried flow that was handed over. The
// packet follows the hand-over. If its receiver cannot be reached or was visited, the packet
// is delivered, since the backend server may hold the flow from before a restart of this
// agent.
func (a *Agent) receiveCarriedHandedOver(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	if received.Polled {
		return a.answerPoll(now, service, received)
	}
	target := handOverTarget(service, entry, received)
	if target == nil {
		return a.deliverSpeculatively(now, received)
	}
	return a.followHandOver(now, entry, target, false)
}

// receiveCarriedOpening decides about an opening packet of a carried flow. entry is nil for
// a flow that is not in the table. A retransmission is delivered again; a different sequence
// number means that the caller has reused its address and port for a new flow.
func (a *Agent) receiveCarriedOpening(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	switch {
	case entry == nil:
		a.waiting.forget(received.Packet.Flow())
		return a.receiveOpening(now, service, received)
	case entry.state == stateHandedOver:
		return a.receiveHandedOver(now, service, entry, received)
	case entry.sequence == received.Packet.Sequence():
		return a.deliverPacket(received)
	}
	a.forget(now, received.Packet.Flow(), entry)
	return a.receiveOpening(now, service, received)
}

// ineligibleReasonCarried returns why this agent must not deliver an opening packet, or an
// empty reason if it may. Whether the service selects the backend server is decided by the
// labels in the agent's own settings first, since a published list may still name the server
// that used its address before.
func (a *Agent) ineligibleReasonCarried(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Reason {
	node := a.view.Node(a.config.Self)
	switch {
	case a.draining:
		return HandOverDraining
	case !service.Selects(a.config.DataCentre, a.config.Labels):
		return HandOverOtherService
	case node == nil && !received.Revision.IsNewerThan(a.view.Revisions().Highest()):
		return HandOverNotSelected
	case node != nil && !service.Selects(a.config.DataCentre, a.publishedLabels()):
		return HandOverNotSelected
	case node != nil && !a.view.IsAccepting(a.config.Self):
		return HandOverLeaving
	case a.ownedCount >= a.config.MaxFlows:
		return HandOverConnections
	case a.IsTrialOnly() && !a.responses.isTrialDue(now):
		return HandOverServerSilent
	}
	return ""
}

// publishedLabels returns the labels of the backend server in the view, or nil if it is not
// listed.
func (a *Agent) publishedLabels() map[string]string {
	if backend := a.view.Backend(a.config.Self); backend != nil {
		return backend.Labels
	}
	return nil
}

// placeDuringSlowStart hands a new flow over that exceeds the slow start rate of the backend
// server, or refuses it if no other agent accepts it.
func (a *Agent) placeDuringSlowStart(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if decision, found := a.placeElsewhere(now, service, received, HandOverCold).(handOver); found {
		return decision
	}
	return refusal{RefuseCold}
}

// Start records when the process of an agent for carried flows started, and assumes that its
// backend server is cold.
func (a *Agent) Start(startedAt time.Time) {
	a.slowStart = backend.NewSlowStart(startedAt)
	a.startedAt = startedAt
}

// HandleBouncedPacket decides about a packet that the backend server has bounced: an
// opening packet that it does not accept, or another packet of a flow that it does not
// hold. If the agent has that flow as open and the server has not ended it, the server has
// lost its flows and is assumed to be cold.
func (a *Agent) HandleBouncedPacket(now time.Time, received *ReceivedPacket) Action {
	a.responses.recordResponse(now)
	delete(a.pendingClaims, received.Packet.Flow())
	service := a.view.Service(received.Service)
	if service == nil {
		return a.dropPacket(DropUnknownService)
	}
	entry := a.flows[received.Packet.Flow()]
	if received.Packet.Kind() != flow.Opening {
		if entry != nil && entry.state != stateHandedOver {
			if entry.state == stateOpen && !entry.serverEnded {
				a.slowStart.AssumeCold(now)
			}
			a.forget(now, received.Packet.Flow(), entry)
		}
		return a.searchDenied(now, service, received)
	}
	if entry != nil {
		a.forget(now, received.Packet.Flow(), entry)
	}
	a.responses.bouncedOpenings++
	return a.applyPlacement(now, service, received, a.placeElsewhere(now, service, received, RetryBounced))
}

// HandleBackendPacket updates the flow table, the load and the outlier detector for a
// packet that the backend server sends to a caller. A packet in the middle of a flow that
// is not in the table, or that was handed over, shows that the server kept flows from
// before this process started and so is not cold. Such a flow is adopted. It returns why the
// packet must not be sent to the caller, or an empty reason.
func (a *Agent) HandleBackendPacket(now time.Time, reply flow.Reply) Reason {
	a.responses.recordResponse(now)
	entry := a.flows[reply.Flow]
	if reply.IsReset && !mayHold(entry) {
		a.recordDenial(now, reply.Flow)
		return DropResetUnowned
	}
	a.updateFlow(now, entry, reply)
	return ""
}

// updateFlow updates the entry of a flow, which is nil if the flow is not in the table, for a
// packet that the backend server sends to its caller.
func (a *Agent) updateFlow(now time.Time, entry *flowEntry, reply flow.Reply) {
	if entry == nil || entry.state == stateHandedOver {
		if !reply.IsHandshakeReply && !reply.IsFinal {
			a.recordEarlierFlow(entry)
		}
		entry = a.adopt(reply.Flow, entry)
	}
	if entry == nil {
		return
	}
	entry.expires = now.Add(carriedLifetime)
	switch {
	case reply.IsHandshakeReply && (entry.state == statePending || entry.state == stateHalfOpen):
		if entry.state == statePending {
			a.config.Observer.ObserveOpening(now.Sub(entry.slotReservedAt))
		}
		entry.state = stateHalfOpen
		entry.token = reply.HandshakeToken
		a.responses.bouncedOpenings = 0
	case reply.IsFinal:
		if reply.IsReset && !entry.requestDeliveredAt.IsZero() && !entry.countedFailed {
			a.recordOutcome(now, entry.service, 0, false)
		}
		a.releaseSlot(now, entry)
		entry.serverEnded = true
		entry.expires = now.Add(endedLifetime)
	case reply.PayloadSize > 0:
		a.completeRequest(now, entry)
	}
}

// recordEarlierFlow records that the backend server kept a flow from before this process
// started. handedOver is the entry of a hand-over of the flow, or nil: two servers may have
// answered its opening packet.
func (a *Agent) recordEarlierFlow(handedOver *flowEntry) {
	a.slowStart.ClearAssumption()
	if handedOver == nil {
		a.hasAdoptedFlows, a.allFlowsKnown = true, false
	}
}

// adopt adds a flow that the backend server has held since before this process started.
// handedOver is the entry of a hand-over that it replaces, or nil. adopt returns nil if the
// service is unknown or the table is full.
func (a *Agent) adopt(id flow.ID, handedOver *flowEntry) *flowEntry {
	service := a.view.ServiceByAddress(id.Service())
	if service == nil || a.ownedCount >= a.config.MaxFlows {
		return nil
	}
	if handedOver != nil {
		a.remove(id, handedOver)
	}
	a.ownedCount++
	a.lastAttempt++
	entry := &flowEntry{attempt: a.lastAttempt, service: service.ID(), state: stateOpen}
	a.flows[id] = entry
	return entry
}

// forget removes a flow from the table and releases its slot.
func (a *Agent) forget(now time.Time, id flow.ID, entry *flowEntry) {
	a.releaseSlot(now, entry)
	a.remove(id, entry)
}

// SweepCarried removes expired entries, hand-overs included. It counts requests whose
// answer is overdue as failed, and releases the slots of those that have had no answer for
// longer than answerTimeout.
func (a *Agent) SweepCarried(now time.Time) {
	a.learnServerStart(now)
	a.forwardHistory.Sweep(now)
	a.denials.sweep(now)
	a.sweepReporters(now)
	for id, entry := range a.flows {
		if a.isHung(now, entry) {
			entry.countedFailed = true
			a.recordOutcome(now, entry.service, 0, false)
		}
		if a.isSlotOverdue(now, entry) {
			a.releaseSlot(now, entry)
		}
		if !entry.expires.After(now) {
			a.forget(now, id, entry)
		}
	}
}

// isSlotOverdue reports whether a flow has held its slot for too long without an answer or, if
// its request is still being transferred, without new bytes.
func (a *Agent) isSlotOverdue(now time.Time, entry *flowEntry) bool {
	switch {
	case entry.slotReservedAt.IsZero():
		return false
	case entry.isTransferring() && !entry.transfer.startedAt.IsZero():
		return entry.transfer.isIdle(now)
	}
	return now.Sub(entry.slotReservedAt) > answerTimeout
}

// maxViewAgeForReset limits resets of carried flows: a search that found no owner ends in a
// reset only if the view was compared with the platform within this time.
const maxViewAgeForReset = 2500 * time.Millisecond

// isViewTrusted reports whether the view can be trusted to name all agents that may own a flow. For
// carried flows a recent view is enough, because agents that are no longer listed are candidates
// too. For other flows the view must be settled.
func (a *Agent) isViewTrusted(now time.Time) bool {
	if a.config.Carried {
		return now.Sub(a.viewConfirmedAt) <= maxViewAgeForReset
	}
	return !now.Before(a.view.SettledAt())
}

// RecordViewConfirmed records when the view was last compared with the platform.
func (a *Agent) RecordViewConfirmed(at time.Time) { a.viewConfirmedAt = at }

// SetLabels replaces Config.Labels. A change may mean another version of the backend server.
func (a *Agent) SetLabels(labels map[string]string) {
	if !maps.Equal(a.config.Labels, labels) {
		a.forgetServiceTimes()
	}
	a.config.Labels = labels
	clear(a.queueLimits)
}
