package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// receiveOpening decides which agent serves a new flow, and records the decision for
// retransmissions of the opening packet.
func (a *Agent) receiveOpening(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	decision := a.placeOpening(now, service, received)
	a.recordPlacement(now, a.isLate(now, service, objectiveDeadline(now, service, received.Packet)), decision)
	return a.applyPlacement(now, service, received, decision)
}

// applyPlacement turns a placement decision about an opening packet, which must not be a draw,
// into an action.
func (a *Agent) applyPlacement(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, decision placementDecision) Action {
	if _, accepted := decision.(acceptance); accepted && a.config.Carried {
		a.slowStart.SetRate(now, service.ColdStartRate(a.config.Labels))
	}
	switch v := a.settle(now, service, received, decision).(type) {
	case handOver:
		a.countHandOver(v.target)
		a.countWorkHandedOver(now, service.ID(), v.target.ID())
		a.recordHandOver(now, service.ID(), received.Packet.Flow(), v.target.ID())
		action := a.forwardTo(v.target, v.reason)
		action.Placed = true
		return action
	case postponement:
		return a.waitForRoom(now, service, received, v.reason)
	case refusal:
		a.reset.Reason = v.reason
		return &a.reset
	case discard:
		return a.dropPacket(v.reason)
	}
	return a.acceptFlow(now, service, received)
}

// resolveDraw returns the decision that is drawn at random if a decision is a draw or a
// serverDraw, and any other decision as it is.
func (a *Agent) resolveDraw(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, decision placementDecision) placementDecision {
	switch v := decision.(type) {
	case draw:
		if a.random.Float64() < v.share {
			return v.handOver
		}
		return v.otherwise
	case serverDraw:
		var drawn choices
		a.drawChoices(now, service, received, v, &drawn)
		if v == drawNear && drawn.count > 0 {
			// Counts the comparison with this server as a use of the estimate, so that it is kept.
			a.estimateOf(now, service.ID())
		}
		return a.resolveDraw(now, service, received, a.decideDrawn(now, service, received, v, &drawn))
	}
	return decision
}

// settle returns the final decision about a new flow, and changes nothing. An opening packet whose
// caller may have sent the next copy since is dropped instead of refused: another agent may have
// opened the flow for that copy, and a reset would end it.
func (a *Agent) settle(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, decision placementDecision) placementDecision {
	settled := a.settleLimits(now, service, received, decision)
	if _, refused := settled.(refusal); refused && received.Waited && !isLastCopy(received.Packet) {
		return discard{DropCopyDue}
	}
	return settled
}

// settleLimits returns the decision where the placement policy accepts or postpones a new flow. The
// opening packet is dropped if the flow table is full. A flow that exceeds the slow start rate is
// handed over or refused, and one whose wait would be over at once is refused.
func (a *Agent) settleLimits(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, decision placementDecision) placementDecision {
	switch decision.(type) {
	case acceptance:
		if a.ownedCount >= a.config.MaxFlows || a.closingCount >= maxClosingPerFlow*a.config.MaxFlows {
			return discard{DropTableFull}
		}
		if a.config.Carried && !a.slowStart.Allows(now, service.ColdStartRate(a.config.Labels)) {
			return a.placeDuringSlowStart(now, service, received)
		}
	case postponement:
		if opening := a.newWaitingOpening(now, service, received); opening.isExpired(now) {
			return refusal{RefuseWait}
		}
	}
	return decision
}

// acceptFlow adds a new flow to the flow table and delivers its first packet.
func (a *Agent) acceptFlow(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if a.config.Carried {
		a.slowStart.Take(now, service.ColdStartRate(a.config.Labels))
	}
	a.ownedCount++
	a.lastAttempt++
	a.budget.Deposit()
	entry := &flowEntry{
		attempt:            a.lastAttempt,
		service:            service.ID(),
		state:              statePending,
		sequence:           received.Packet.Sequence(),
		nextRequest:        received.Packet.Sequence() + 1,
		expires:            now.Add(a.halfOpenTimeout()),
		openingPacket:      slices.Clone(received.Packet.Bytes()),
		visited:            slices.Clone(received.Visited),
		isNextRequestKnown: true,
	}
	a.flows[received.Packet.Flow()] = entry
	a.reserveSlot(now, entry)
	if a.config.Carried {
		a.responses.recordOpening(now, received.Packet.Flow(), entry.attempt)
	}
	a.deliverPacket(received)
	a.deliver.Opens = true
	return &a.deliver
}

// halfOpenTimeout returns how long a new flow may take to become open.
func (a *Agent) halfOpenTimeout() time.Duration {
	if a.config.Carried {
		return carriedHalfOpenTimeout
	}
	return halfOpenTimeout
}

// recordHandOver records which agent a new flow was handed over to, so that later packets of
// the flow go to the same agent, retransmissions of its opening packet included. Beyond
// Config.MaxHandOvers nothing is recorded.
func (a *Agent) recordHandOver(now time.Time, service fleet.ServiceID, id flow.ID, owner fleet.InstanceID) {
	if a.handOverCount >= a.config.MaxHandOvers {
		return
	}
	a.handOverCount++
	a.flows[id] = &flowEntry{
		service: service,
		state:   stateHandedOver,
		owner:   owner,
		expires: now.Add(handOverLifetime),
	}
}
