package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Receive decides what to do with a packet from a balancer or another agent. The returned
// Action is reused: it is valid until the next call.
func (a *Agent) Receive(now time.Time, received *ReceivedPacket) Action {
	service := a.view.Service(received.Service)
	if service == nil || service.Address() != received.Packet.Flow().Service() {
		return a.dropPacket(DropUnknownService)
	}
	if a.config.Carried {
		return a.receiveCarried(now, service, received)
	}
	if !service.HasSelectorFor(a.config.DataCentre) && !a.isInGracePeriod(now, received.Packet.Flow()) {
		return a.receiveDataCentreOut(service, received)
	}
	if entry := a.flows[received.Packet.Flow()]; entry != nil {
		return a.receiveKnown(now, service, entry, received)
	}
	switch received.Packet.Kind() {
	case flow.Opening:
		return a.receiveOpening(now, service, received)
	case flow.Connectionless:
		return a.receiveConnectionless(now, service, received)
	}
	if action, found := a.referToOwner(now, service, received); found {
		return action
	}
	return a.search(now, service, received)
}

// receiveDataCentreOut decides about a packet whose service has no selector for this data
// centre any more. The packet is not delivered. It is forwarded to the next candidate,
// since its sender may not have received the new services document yet. It is dropped if no
// candidate is left or the packet was already searched for.
func (a *Agent) receiveDataCentreOut(service *fleet.RoutedService, received *ReceivedPacket) Action {
	next := a.targetElsewhere(service, received)
	if next == nil {
		return a.dropPacket(DropDataCentreOut)
	}
	return a.forwardTo(next, "")
}

// targetElsewhere returns the next candidate for a packet whose service has no selector for
// this data centre, or nil if none is left or the packet was already searched for.
func (a *Agent) targetElsewhere(service *fleet.RoutedService, received *ReceivedPacket) *fleet.Target {
	if received.Searched {
		return nil
	}
	return service.NextCandidate(received.Packet.Flow().Hash(), a.visitedWithSelf(received.Visited)).Next
}

// receiveKnown decides about a packet whose flow has an entry in the flow table. An opening
// packet with a new sequence number replaces a closing flow.
func (a *Agent) receiveKnown(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	entry.registration.renewIfMissed(received.Visited)
	switch entry.state {
	case stateHandedOver:
		return a.receiveHandedOver(now, service, entry, received)
	case statePending:
		return a.receivePending(now, service, received)
	case stateHalfOpen:
		return a.receiveHalfOpen(now, service, entry, received)
	case stateClosing:
		if received.Packet.Kind() == flow.Opening && received.Packet.Sequence() != entry.sequence {
			a.remove(received.Packet.Flow(), entry)
			return a.receiveOpening(now, service, received)
		}
	}
	return a.deliverPacket(received)
}

// receiveHandedOver decides about a packet of a flow that this agent handed over. The packet
// follows the hand-over while its receiver is reachable, has not been visited and, for an
// opening packet, accepts new flows. Otherwise an opening packet is placed again and any
// other packet is searched for.
func (a *Agent) receiveHandedOver(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	opening := received.Packet.Kind() == flow.Opening
	target := handOverTarget(service, entry, received)
	switch {
	case target != nil:
		return a.followHandOver(now, entry, target, opening)
	case !opening:
		return a.search(now, service, received)
	}
	a.remove(received.Packet.Flow(), entry)
	return a.receiveOpening(now, service, received)
}

// handOverTarget returns the agent that a flow was handed over to. It returns nil if that agent
// cannot be reached or has been visited or, for an opening packet, accepts no new flows.
func handOverTarget(service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) *fleet.Target {
	target := service.Target(entry.owner)
	if target == nil || !target.IsReachable() || slices.Contains(received.Visited, entry.owner) {
		return nil
	}
	if received.Packet.Kind() == flow.Opening && !target.IsAccepting() {
		return nil
	}
	return target
}

// followHandOver forwards a packet to the agent that its flow was handed over to.
func (a *Agent) followHandOver(now time.Time, entry *flowEntry, target *fleet.Target, opening bool) Action {
	entry.expires = now.Add(handOverLifetime)
	action := a.forwardTo(target, HandOverRemembered)
	action.Placed = opening
	return action
}

// receivePending decides about a packet of a flow that is not open yet. A retransmitted
// opening packet is dropped, because the first one is still being handled, and a
// connectionless packet is delivered. Any other packet belongs to a flow with the same
// addresses and ports that another agent opened, so the search for its owner goes on.
func (a *Agent) receivePending(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	switch received.Packet.Kind() {
	case flow.Opening:
		return a.dropPacket(DropOpeningPending)
	case flow.Connectionless:
		return a.deliverPacket(received)
	}
	return a.search(now, service, received)
}

// receiveHalfOpen decides about a packet of a flow whose handshake was answered. A
// retransmitted opening packet is delivered again. Any other packet that does not acknowledge
// this agent's handshake token belongs to a flow that another agent opened, so the search for
// its owner goes on.
func (a *Agent) receiveHalfOpen(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	packet := received.Packet
	if packet.Kind() == flow.Opening {
		return a.deliverPacket(received)
	}
	if packet.AcknowledgedToken() != entry.token {
		return a.search(now, service, received)
	}
	if packet.Kind() == flow.Established {
		entry.state = stateOpen
	}
	return a.deliverPacket(received)
}

// receiveConnectionless decides about a connectionless packet of an unknown flow. The packet
// visits every candidate before the primary opens the flow: there is no handshake that could
// resolve the conflict afterwards if two agents had opened it.
func (a *Agent) receiveConnectionless(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if received.Searched {
		return a.applyPlacement(now, service, received, acceptance{AcceptPrimary})
	}
	step := service.NextCandidate(received.Packet.Flow().Hash(), a.visitedWithSelf(received.Visited))
	if step.Next != nil {
		return a.forwardTo(step.Next, "")
	}
	primary := service.Primary(received.Packet.Flow().Hash())
	if primary == nil {
		return a.dropPacket(DropNoTarget)
	}
	if primary.ID() == a.config.Self {
		return a.applyPlacement(now, service, received, acceptance{AcceptPrimary})
	}
	action := a.forwardTo(primary, "")
	action.Searched = true
	return action
}
