package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Lifetimes of carried flows.
const (
	carriedLifetime = 60 * time.Second
	endedLifetime   = 5 * time.Second
	// answerTimeout bounds how long a request without an reply counts as running.
	answerTimeout = 5 * time.Second
)

// receiveCarried decides about a packet of a flow that the backend server ends itself. A
// packet of a flow that the agent does not know is offered to the backend server,
// which returns what it does not hold: see Bounced.
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
		return a.search(now, service, received)
	case stateHalfOpen:
		if received.Packet.AcknowledgedToken() != entry.token {
			return a.search(now, service, received)
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
		a.recordRequest(now, entry)
	}
	a.deliverPacket(received)
	a.deliver.SendHint = a.deliver.SendHint || opened
	return &a.deliver
}

// receiveCarriedUnknown decides about a packet of a flow that this agent does not know.
func (a *Agent) receiveCarriedUnknown(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if action, found := a.referToOwner(now, service, received); found {
		return action
	}
	if a.knowsAllFlows(now) {
		return a.search(now, service, received)
	}
	return a.deliverSpeculatively()
}

// handleUnreachableCandidates decides about a packet when only candidates are left that this agent
// cannot reach. An agent in a third data centre may have a path to them. If it has
// none either, the caller is told, so that it can repeat its request elsewhere; a
// request that must not be repeated may have run, and its reply may still come.
func (a *Agent) handleUnreachableCandidates(service *fleet.RoutedService, received *ReceivedPacket, step fleet.SearchStep) Action {
	if !a.config.Carried {
		return a.dropPacket(DropCandidateUnreachable)
	}
	if relay := service.RelayTarget(received.Packet.Flow().Hash(), a.config.DataCentre, step.SkippedDataCentre); relay != nil && !received.Relayed {
		action := a.forwardTo(relay, "")
		action.Relayed = true
		return action
	}
	if step.SkippedLeaving || !service.IsIdempotent() {
		return a.dropPacket(DropCandidateUnreachable)
	}
	a.reset.Reason = ResetOwnerLost
	return &a.reset
}

// deliverSpeculatively delivers a packet without knowing that the flow is here.
func (a *Agent) deliverSpeculatively() Action {
	a.deliver = Deliver{}
	return &a.deliver
}

// receiveCarriedHandedOver follows a hand-over. If its receiver cannot be asked, the backend
// server beside this agent may still hold the flow from before a restart.
func (a *Agent) receiveCarriedHandedOver(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	target := service.Target(entry.owner)
	if target == nil || !target.IsReachable() || slices.Contains(received.Visited, entry.owner) {
		return a.deliverSpeculatively()
	}
	entry.expires = now.Add(handOverLifetime)
	return a.forwardTo(target, HandOverRemembered)
}

func (a *Agent) receiveCarriedOpening(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	switch {
	case entry == nil:
		return a.receiveOpening(now, service, received)
	case entry.state == stateHandedOver:
		return a.receiveHandedOver(now, service, entry, received)
	case entry.sequence == received.Packet.Sequence():
		return a.deliverPacket(received)
	}
	a.forget(now, received.Packet.Flow(), entry)
	return a.receiveOpening(now, service, received)
}

// ineligibleReasonCarried returns why this agent must not deliver an opening packet. What the
// backend server is comes from the agent's own settings, since a list may still
// name the one that had its address before.
func (a *Agent) ineligibleReasonCarried(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Reason {
	node := a.view.Node(a.config.Self)
	switch {
	case a.draining:
		return HandOverDraining
	case !service.Selects(a.config.DataCentre, a.config.Labels):
		return HandOverOtherService
	case node == nil && received.Revision <= a.view.Revisions().Highest():
		return HandOverNotSelected
	case node != nil && !service.Selects(a.config.DataCentre, a.publishedLabels()):
		return HandOverNotSelected
	case node != nil && !a.view.IsAccepting(a.config.Self):
		return HandOverLeaving
	case a.ownedCount >= a.config.MaxFlows:
		return HandOverConnections
	case a.IsTrialOnly() && !a.responses.allowTrial(now):
		return HandOverServerSilent
	}
	return ""
}

func (a *Agent) publishedLabels() map[string]string {
	if backend := a.view.Backend(a.config.Self); backend != nil {
		return backend.Labels
	}
	return nil
}

// placeDuringSlowStart finds another server for a new flow that a server in cold start cannot
// bear, or refuses it.
func (a *Agent) placeDuringSlowStart(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if decision, found := a.placeElsewhere(now, service, received, HandOverCold).(handOver); found {
		return a.applyPlacement(now, service, received, decision)
	}
	a.reset.Reason = RefuseCold
	return &a.reset
}

// Start starts the time of an agent that carries flows.
func (a *Agent) Start(now time.Time) {
	a.slowStart = newSlowStart(now)
	a.startedAt = now
}

// HandleBouncedPacket decides about a packet that the backend server has returned, since it
// does not take the new flow or does not hold the flow.
func (a *Agent) HandleBouncedPacket(now time.Time, received *ReceivedPacket) Action {
	a.responses.recordResponse(now)
	service := a.view.Service(received.Service)
	if service == nil {
		return a.dropPacket(DropUnknownService)
	}
	entry := a.flows[received.Packet.Flow()]
	if received.Packet.Kind() != flow.Opening {
		if entry != nil && entry.state != stateHandedOver {
			if entry.state == stateOpen && !entry.serverEnded {
				a.slowStart.assumeCold(now)
			}
			a.forget(now, received.Packet.Flow(), entry)
		}
		return a.search(now, service, received)
	}
	if entry != nil {
		a.forget(now, received.Packet.Flow(), entry)
	}
	a.responses.bouncedOpenings++
	return a.applyPlacement(now, service, received, a.placeElsewhere(now, service, received, RetryBounced))
}

// HandleBackendPacket records a packet that the backend server has sent to a caller.
func (a *Agent) HandleBackendPacket(now time.Time, reply flow.Reply) {
	a.responses.recordResponse(now)
	entry := a.flows[reply.Flow]
	if entry == nil || entry.state == stateHandedOver {
		if !reply.IsHandshakeReply && !reply.IsFinal {
			a.slowStart.clearAssumption()
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
			a.recordOutcome(now, 0, false)
		}
		a.releaseSlot(now, entry)
		entry.serverEnded = true
		entry.expires = now.Add(endedLifetime)
	case reply.PayloadSize > 0:
		a.completeRequest(now, entry)
	}
}

// adopt records a flow that the backend server holds from before this process
// started.
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

// reserveSlot counts a request as running on the backend server. A new flow counts
// as one, since most send a request at once.
func (a *Agent) reserveSlot(now time.Time, entry *flowEntry) {
	if !a.config.Carried || !entry.slotReservedAt.IsZero() {
		return
	}
	entry.slotReservedAt = now
	a.load.start(now)
}

// recordRequest records that the bytes of a request are delivered.
func (a *Agent) recordRequest(now time.Time, entry *flowEntry) {
	a.reserveSlot(now, entry)
	if !entry.requestDeliveredAt.IsZero() {
		return
	}
	entry.requestDeliveredAt = now
	entry.queued = a.load.isSaturated()
	a.load.beginService(now)
}

func (a *Agent) completeRequest(now time.Time, entry *flowEntry) {
	if entry.slotReservedAt.IsZero() {
		return
	}
	latency := now.Sub(entry.slotReservedAt)
	a.config.Observer.ObserveAnswer(latency)
	a.load.finish(now, latency)
	entry.slotReservedAt = time.Time{}
	if entry.requestDeliveredAt.IsZero() {
		return
	}
	serviceTime := now.Sub(entry.requestDeliveredAt)
	if !entry.queued {
		a.load.recordServiceTime(serviceTime)
	}
	if !entry.countedFailed {
		a.recordOutcome(now, serviceTime, true)
	}
	a.load.endService(now, true)
	entry.requestDeliveredAt, entry.countedFailed = time.Time{}, false
}

func (a *Agent) releaseSlot(now time.Time, entry *flowEntry) {
	if entry.slotReservedAt.IsZero() {
		return
	}
	a.load.cancel(now)
	entry.slotReservedAt = time.Time{}
	if !entry.requestDeliveredAt.IsZero() {
		a.load.endService(now, false)
		entry.requestDeliveredAt, entry.countedFailed = time.Time{}, false
	}
}

// forget removes a flow and what it holds.
func (a *Agent) forget(now time.Time, id flow.ID, entry *flowEntry) {
	a.releaseSlot(now, entry)
	a.remove(id, entry)
}

// SweepCarried forgets the flows that have ended or fallen silent.
func (a *Agent) SweepCarried(now time.Time) {
	a.forwardHistory.sweep(now)
	for id, entry := range a.flows {
		if a.isHung(now, entry) {
			entry.countedFailed = true
			a.recordOutcome(now, 0, false)
		}
		if !entry.slotReservedAt.IsZero() && now.Sub(entry.slotReservedAt) > answerTimeout {
			a.releaseSlot(now, entry)
		}
		if !entry.expires.After(now) {
			a.forget(now, id, entry)
		}
	}
}

// maxViewAgeForReset is how old the picture may be when a search that found no owner ends in
// a reset.
const maxViewAgeForReset = 2500 * time.Millisecond

// isSearchConclusive reports whether a search of all candidates proves that nobody owns a
// flow. Where flows are carried, agents that are no longer listed are candidates too
// and each backend server speaks for itself, so that a current picture is enough.
func (a *Agent) isSearchConclusive(now time.Time) bool {
	if a.config.Carried {
		return now.Sub(a.viewConfirmedAt) <= maxViewAgeForReset
	}
	return !now.Before(a.view.SettledAt())
}

// RecordViewConfirmed records when the view was last compared with the platform.
func (a *Agent) RecordViewConfirmed(at time.Time) { a.viewConfirmedAt = at }

// SetLabels replaces the labels of the agent's own backend server.
func (a *Agent) SetLabels(labels map[string]string) { a.config.Labels = labels }
