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

// carry decides about a packet of a flow that the backend server ends itself. A
// packet of a flow that the agent does not know is offered to the backend server,
// which returns what it does not hold: see Bounced.
func (a *Agent) carry(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) Action {
	known := a.flows[arrival.Packet.Flow()]
	if arrival.Relayed && slices.Contains(arrival.Visited, a.config.Self) {
		return a.search(now, service, arrival)
	}
	if arrival.Packet.Kind() == flow.Opening {
		return a.carryOpening(now, service, known, arrival)
	}
	if known == nil {
		return a.carryUnknown(now, service, arrival)
	}
	opened := false
	switch known.state {
	case stateHanded:
		return a.carryHanded(now, service, known, arrival)
	case statePending:
		return a.search(now, service, arrival)
	case stateHalfOpen:
		if arrival.Packet.AcknowledgedToken() != known.token {
			return a.search(now, service, arrival)
		}
		known.state = stateOpen
		known.openingPacket, known.visited = nil, nil
		known.registration.dueAt = now.Add(registerAfter)
		opened = true
	}
	if a.responses.isPastResetTimeout(now) && service.IsIdempotent() && arrival.Packet.Kind() == flow.Established {
		a.reset.Reason = ResetServerSilent
		return &a.reset
	}
	known.registration.noteSearched(arrival.Visited)
	known.expires = now.Add(carriedLifetime)
	if arrival.Packet.PayloadSize() > 0 && known.state == stateOpen {
		a.noteRequest(now, known)
	}
	a.delivered(arrival)
	a.deliver.SendHint = a.deliver.SendHint || opened
	return &a.deliver
}

// carryUnknown decides about a packet of a flow that this agent does not know.
func (a *Agent) carryUnknown(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) Action {
	if action, found := a.refer(now, service, arrival); found {
		return action
	}
	if a.knowsAllFlows(now) {
		return a.search(now, service, arrival)
	}
	return a.offered()
}

// searchBeyond decides about a packet when only candidates are left that this agent
// cannot reach. An agent in a third data centre may have a path to them. If it has
// none either, the caller is told, so that it can repeat its request elsewhere; a
// request that must not be repeated may have run, and its answer may still come.
func (a *Agent) searchBeyond(service *fleet.RoutedService, arrival *ReceivedPacket, walk fleet.SearchStep) Action {
	if !a.config.Carried {
		return a.dropped(DropCandidateUnreachable)
	}
	if relay := service.RelayTarget(arrival.Packet.Flow().Hash(), a.config.DataCentre, walk.SkippedDataCentre); relay != nil && !arrival.Relayed {
		action := a.passedOn(relay, "")
		action.Relayed = true
		return action
	}
	if walk.SkippedLeaving || !service.IsIdempotent() {
		return a.dropped(DropCandidateUnreachable)
	}
	a.reset.Reason = ResetOwnerLost
	return &a.reset
}

// offered delivers a packet without knowing that the flow is here.
func (a *Agent) offered() Action {
	a.deliver = Deliver{}
	return &a.deliver
}

// carryHanded follows a hand-over. If its receiver cannot be asked, the backend
// server beside this agent may still hold the flow from before a restart.
func (a *Agent) carryHanded(now time.Time, service *fleet.RoutedService, known *flowEntry, arrival *ReceivedPacket) Action {
	target := service.Target(known.owner)
	if target == nil || !target.IsReachable() || slices.Contains(arrival.Visited, known.owner) {
		return a.offered()
	}
	known.expires = now.Add(handedLifetime)
	return a.passedOn(target, HandOverRemembered)
}

func (a *Agent) carryOpening(now time.Time, service *fleet.RoutedService, known *flowEntry, arrival *ReceivedPacket) Action {
	switch {
	case known == nil:
		return a.receiveOpening(now, service, arrival)
	case known.state == stateHanded:
		return a.receiveHanded(now, service, known, arrival)
	case known.sequence == arrival.Packet.Sequence():
		return a.delivered(arrival)
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

// placeCold finds another server for a new flow that a server in cold start cannot
// bear, or refuses it.
func (a *Agent) placeCold(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) Action {
	if verdict, found := a.placeElsewhere(now, service, arrival, HandOverCold).(handOver); found {
		return a.settle(now, service, arrival, verdict)
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
		return a.dropped(DropUnknownService)
	}
	known := a.flows[arrival.Packet.Flow()]
	if arrival.Packet.Kind() != flow.Opening {
		if known != nil && known.state != stateHanded {
			if known.state == stateOpen && !known.ended {
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
	return a.settle(now, service, arrival, a.placeElsewhere(now, service, arrival, RetryBounced))
}

// HandleBackendPacket records a packet that the backend server has sent to a caller.
func (a *Agent) HandleBackendPacket(now time.Time, answer flow.Reply) {
	a.responses.recordResponse(now)
	known := a.flows[answer.Flow]
	if known == nil || known.state == stateHanded {
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
			a.config.Observer.ObserveOpening(now.Sub(known.askedAt))
		}
		known.state = stateHalfOpen
		known.token = answer.HandshakeToken
		a.responses.bouncedOpenings = 0
	case answer.IsFinal:
		if answer.IsReset && !known.requestDeliveredAt.IsZero() && !known.countedFailed {
			a.recordOutcome(now, 0, false)
		}
		a.releaseSlot(now, known)
		known.ended = true
		known.expires = now.Add(endedLifetime)
	case answer.PayloadSize > 0:
		a.answered(now, known)
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
	a.attempts++
	known := &flowEntry{attempt: a.attempts, service: service.ID(), state: stateOpen}
	a.flows[id] = known
	return known
}

// reserveSlot counts a request as running on the backend server. A new flow counts
// as one, since most send a request at once.
func (a *Agent) reserveSlot(now time.Time, known *flowEntry) {
	if !a.config.Carried || !known.askedAt.IsZero() {
		return
	}
	known.askedAt = now
	a.load.start(now)
}

// noteRequest records that the bytes of a request are delivered.
func (a *Agent) noteRequest(now time.Time, known *flowEntry) {
	a.reserveSlot(now, known)
	if !known.requestDeliveredAt.IsZero() {
		return
	}
	known.requestDeliveredAt = now
	known.queued = a.load.isSaturated()
	a.load.beginService(now)
}

func (a *Agent) answered(now time.Time, known *flowEntry) {
	if known.askedAt.IsZero() {
		return
	}
	latency := now.Sub(known.askedAt)
	a.config.Observer.ObserveAnswer(latency)
	a.load.finish(now, latency)
	known.askedAt = time.Time{}
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
	if known.askedAt.IsZero() {
		return
	}
	a.load.cancel(now)
	known.askedAt = time.Time{}
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
	a.trail.sweep(now)
	for id, known := range a.flows {
		if a.isHung(now, known) {
			known.countedFailed = true
			a.recordOutcome(now, 0, false)
		}
		if !known.askedAt.IsZero() && now.Sub(known.askedAt) > answerTimeout {
			a.releaseSlot(now, known)
		}
		if !known.expires.After(now) {
			a.forget(now, id, known)
		}
	}
}

// maxResetAge is how old the picture may be when a search that found no owner ends in
// a reset.
const maxResetAge = 2500 * time.Millisecond

// isConclusive reports whether a search of all candidates proves that nobody owns a
// flow. Where flows are carried, agents that are no longer listed are candidates too
// and each backend server speaks for itself, so that a current picture is enough.
func (a *Agent) isConclusive(now time.Time) bool {
	if a.config.Carried {
		return now.Sub(a.confirmedAt) <= maxResetAge
	}
	return !now.Before(a.view.SettledAt())
}

// RecordViewConfirmed records when the view was last compared with the platform.
func (a *Agent) RecordViewConfirmed(at time.Time) { a.confirmedAt = at }

// SetLabels replaces the labels of the agent's own backend server.
func (a *Agent) SetLabels(labels map[string]string) { a.config.Labels = labels }
