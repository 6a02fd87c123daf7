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
	// answerTimeout bounds how long a request without an answer counts as running.
	answerTimeout = 5 * time.Second
)

// receiveCarried decides about a packet of a flow that the backend server ends itself. A
// packet of a flow that the agent does not know is offered to the backend server,
// which returns what it does not hold: see Bounced.
func (a *Agent) receiveCarried(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) Action {
	known := a.flows[arrival.Packet.Flow()]
	if arrival.Relayed && slices.Contains(arrival.Visited, a.config.Self) {
		return a.search(now, service, arrival)
	}
	if arrival.Packet.Kind() == flow.Opening {
		return a.receiveCarriedOpening(now, service, known, arrival)
	}
	if known == nil {
		return a.receiveCarriedUnknown(now, service, arrival)
	}
	opened := false
	switch known.state {
	case stateHandedOver:
		return a.receiveCarriedHandedOver(now, service, known, arrival)
	case statePending:
		return a.search(now, service, arrival)
	case stateHalfOpen:
		if arrival.Packet.AcknowledgedToken() != known.token {
			return a.search(now, service, arrival)
		}
		known.state = stateOpen
		known.openingPacket, known.visited = nil, nil
		known.registration.dueAt = now.Add(registrationDelay)
		opened = true
	}
	if a.responses.isPastResetTimeout(now) && service.IsIdempotent() && arrival.Packet.Kind() == flow.Established {
		a.reset.Reason = ResetServerSilent
		return &a.reset
	}
	known.registration.renewIfMissed(arrival.Visited)
	known.expires = now.Add(carriedLifetime)
	if arrival.Packet.PayloadSize() > 0 && known.state == stateOpen {
		a.recordRequest(now, known)
	}
	a.deliverPacket(arrival)
	a.deliver.SendHint = a.deliver.SendHint || opened
	return &a.deliver
}

// receiveCarriedUnknown decides about a packet of a flow that this agent does not know.
func (a *Agent) receiveCarriedUnknown(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) Action {
	if action, found := a.referToOwner(now, service, arrival); found {
		return action
	}
	if a.knowsAllFlows(now) {
		return a.search(now, service, arrival)
	}
	return a.deliverSpeculatively()
}

// handleUnreachableCandidates decides about a packet when only candidates are left that this agent
// cannot reach. An agent in a third data centre may have a path to them. If it has
// none either, the caller is told, so that it can repeat its request elsewhere; a
// request that must not be repeated may have run, and its answer may still come.
func (a *Agent) handleUnreachableCandidates(service *fleet.RoutedService, arrival *ReceivedPacket, walk fleet.SearchStep) Action {
	if !a.config.Carried {
		return a.dropPacket(DropCandidateUnreachable)
	}
	if relay := service.RelayTarget(arrival.Packet.Flow().Hash(), a.config.DataCentre, walk.SkippedDataCentre); relay != nil && !arrival.Relayed {
		action := a.forwardTo(relay, "")
		action.Relayed = true
		return action
	}
	if walk.SkippedLeaving || !service.IsIdempotent() {
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
func (a *Agent) receiveCarriedHandedOver(now time.Time, service *fleet.RoutedService, known *flowEntry, arrival *ReceivedPacket) Action {
	target := service.Target(known.owner)
	if target == nil || !target.IsReachable() || slices.Contains(arrival.Visited, known.owner) {
		return a.deliverSpeculatively()
	}
	known.expires = now.Add(handOverLifetime)
	return a.forwardTo(target, HandOverRemembered)
}

func (a *Agent) receiveCarriedOpening(now time.Time, service *fleet.RoutedService, known *flowEntry, arrival *ReceivedPacket) Action {
	switch {
	case known == nil:
		return a.receiveOpening(now, service, arrival)
	case known.state == stateHandedOver:
		return a.receiveHandedOver(now, service, known, arrival)
	case known.sequence == arrival.Packet.Sequence():
		return a.deliverPacket(arrival)
	}
	a.forget(now, arrival.Packet.Flow(), known)
	return a.receiveOpening(now, service, arrival)
}

// ineligibleReasonCarried returns why this agent must not deliver an opening packet. What the
// backend server is comes from the agent's own settings, since a list may still
// name the one that had its address before.
func (a *Agent) ineligibleReasonCarried(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) Reason {
	node := a.view.Node(a.config.Self)
	switch {
	case a.draining:
		return HandOverDraining
	case !service.Selects(a.config.DataCentre, a.config.Labels):
		return HandOverOtherService
	case node == nil && arrival.Revision <= a.view.Revisions().Highest():
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
func (a *Agent) placeDuringSlowStart(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) Action {
	if verdict, found := a.placeElsewhere(now, service, arrival, HandOverCold).(handOver); found {
		return a.applyPlacement(now, service, arrival, verdict)
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
func (a *Agent) HandleBouncedPacket(now time.Time, arrival *ReceivedPacket) Action {
	a.responses.recordResponse(now)
	service := a.view.Service(arrival.Service)
	if service == nil {
		return a.dropPacket(DropUnknownService)
	}
	known := a.flows[arrival.Packet.Flow()]
	if arrival.Packet.Kind() != flow.Opening {
		if known != nil && known.state != stateHandedOver {
			if known.state == stateOpen && !known.serverEnded {
				a.slowStart.assumeCold(now)
			}
			a.forget(now, arrival.Packet.Flow(), known)
		}
		return a.search(now, service, arrival)
	}
	if known != nil {
		a.forget(now, arrival.Packet.Flow(), known)
	}
	a.responses.bouncedOpenings++
	return a.applyPlacement(now, service, arrival, a.placeElsewhere(now, service, arrival, RetryBounced))
}

// HandleBackendPacket records a packet that the backend server has sent to a caller.
func (a *Agent) HandleBackendPacket(now time.Time, answer flow.Reply) {
	a.responses.recordResponse(now)
	known := a.flows[answer.Flow]
	if known == nil || known.state == stateHandedOver {
		if !answer.IsHandshakeReply && !answer.IsFinal {
			a.slowStart.clearAssumption()
		}
		known = a.adopt(answer.Flow, known)
	}
	if known == nil {
		return
	}
	known.expires = now.Add(carriedLifetime)
	switch {
	case answer.IsHandshakeReply && (known.state == statePending || known.state == stateHalfOpen):
		if known.state == statePending {
			a.config.Observer.ObserveOpening(now.Sub(known.slotReservedAt))
		}
		known.state = stateHalfOpen
		known.token = answer.HandshakeToken
		a.responses.bouncedOpenings = 0
	case answer.IsFinal:
		if answer.IsReset && !known.requestDeliveredAt.IsZero() && !known.countedFailed {
			a.recordOutcome(now, 0, false)
		}
		a.releaseSlot(now, known)
		known.serverEnded = true
		known.expires = now.Add(endedLifetime)
	case answer.PayloadSize > 0:
		a.completeRequest(now, known)
	}
}

// adopt records a flow that the backend server holds from before this process
// started.
func (a *Agent) adopt(id flow.ID, handed *flowEntry) *flowEntry {
	service := a.view.ServiceByAddress(id.Service())
	if service == nil || a.ownedCount >= a.config.MaxFlows {
		return nil
	}
	if handed != nil {
		a.remove(id, handed)
	}
	a.ownedCount++
	a.lastAttempt++
	known := &flowEntry{attempt: a.lastAttempt, service: service.ID(), state: stateOpen}
	a.flows[id] = known
	return known
}

// reserveSlot counts a request as running on the backend server. A new flow counts
// as one, since most send a request at once.
func (a *Agent) reserveSlot(now time.Time, known *flowEntry) {
	if !a.config.Carried || !known.slotReservedAt.IsZero() {
		return
	}
	known.slotReservedAt = now
	a.load.start(now)
}

// recordRequest records that the bytes of a request are delivered.
func (a *Agent) recordRequest(now time.Time, known *flowEntry) {
	a.reserveSlot(now, known)
	if !known.requestDeliveredAt.IsZero() {
		return
	}
	known.requestDeliveredAt = now
	known.queued = a.load.isSaturated()
	a.load.beginService(now)
}

func (a *Agent) completeRequest(now time.Time, known *flowEntry) {
	if known.slotReservedAt.IsZero() {
		return
	}
	latency := now.Sub(known.slotReservedAt)
	a.config.Observer.ObserveAnswer(latency)
	a.load.finish(now, latency)
	known.slotReservedAt = time.Time{}
	if known.requestDeliveredAt.IsZero() {
		return
	}
	took := now.Sub(known.requestDeliveredAt)
	if !known.queued {
		a.load.recordServiceTime(took)
	}
	if !known.countedFailed {
		a.recordOutcome(now, took, true)
	}
	a.load.endService(now, true)
	known.requestDeliveredAt, known.countedFailed = time.Time{}, false
}

func (a *Agent) releaseSlot(now time.Time, known *flowEntry) {
	if known.slotReservedAt.IsZero() {
		return
	}
	a.load.cancel(now)
	known.slotReservedAt = time.Time{}
	if !known.requestDeliveredAt.IsZero() {
		a.load.endService(now, false)
		known.requestDeliveredAt, known.countedFailed = time.Time{}, false
	}
}

// forget removes a flow and what it holds.
func (a *Agent) forget(now time.Time, id flow.ID, known *flowEntry) {
	a.releaseSlot(now, known)
	a.remove(id, known)
}

// SweepCarried forgets the flows that have ended or fallen silent.
func (a *Agent) SweepCarried(now time.Time) {
	a.forwardHistory.sweep(now)
	for id, known := range a.flows {
		if a.isHung(now, known) {
			known.countedFailed = true
			a.recordOutcome(now, 0, false)
		}
		if !known.slotReservedAt.IsZero() && now.Sub(known.slotReservedAt) > answerTimeout {
			a.releaseSlot(now, known)
		}
		if !known.expires.After(now) {
			a.forget(now, id, known)
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
