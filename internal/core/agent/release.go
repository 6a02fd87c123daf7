package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// ReleaseWaiting returns what becomes of opening packets whose wait is over: those for which
// there is room are delivered here or forwarded to a sibling, the others are refused. It must
// be called after answers of the backend server, after load reports and now and then.
func (a *Agent) ReleaseWaiting(now time.Time) []Resolution {
	var released []Resolution
	a.reassessAll(now, a.waiting.openings)
	for _, opening := range a.waiting.takeRefused(now) {
		released = append(released, opening.resolve(&Reset{Reason: RefuseWait}))
	}
	for a.waiting.Len() > 0 {
		index := a.waiting.next()
		opening := &a.waiting.openings[index]
		if !a.hasRoomFor(now, opening) {
			if !opening.isLate {
				a.recordShortage(now)
			}
			break
		}
		released = append(released, a.release(now, a.waiting.take(index)))
	}
	return a.releaseToOffers(now, released)
}

// releaseToOffers hands opening packets over to the siblings that have reported a free slot, at
// most one for each, and adds them to released. The opening packet that goes next may have
// visited such a sibling already, while others have not.
func (a *Agent) releaseToOffers(now time.Time, released []Resolution) []Resolution {
	for _, sibling := range a.waiting.offers {
		for a.hasCapacity(now, sibling) {
			index := a.waiting.nextOf(func(w *waitingOpening) bool { return a.offerTarget(w, sibling) != nil })
			if index < 0 {
				break
			}
			opening := a.waiting.take(index)
			released = append(released, a.releaseAs(now, opening, handOver{a.offerTarget(&opening, sibling), HandOverFull}))
		}
	}
	a.waiting.offers = a.waiting.offers[:0]
	return released
}

// hasCapacity reports whether a sibling has a free slot by its latest report.
func (a *Agent) hasCapacity(now time.Time, sibling fleet.InstanceID) bool {
	report, known := a.latestReport(now, sibling)
	return known && report.limitUsage() < 1
}

// offerTarget returns the sibling as the target of a waiting opening packet, or nil if the packet
// must not be handed over to it.
func (a *Agent) offerTarget(opening *waitingOpening, sibling fleet.InstanceID) *fleet.Target {
	service := a.view.Service(opening.service)
	if service == nil {
		return nil
	}
	target := service.Target(sibling)
	if target == nil || !isEligible(target, opening.visited) {
		return nil
	}
	return target
}

// hasRoomFor reports whether a waiting opening packet need not wait any more: the backend
// server or a sibling has a free slot, or this agent accepts no flows. A new flow may queue at
// the server for a short time, see placeWithinObjective; one that has waited may not, since
// otherwise the queue would never become short while flows wait.
func (a *Agent) hasRoomFor(now time.Time, opening *waitingOpening) bool {
	service := a.view.Service(opening.service)
	switch {
	case service == nil || a.draining:
		return true
	case opening.isLate && !a.admitsLate(now):
		return false
	case !a.load.isFull():
		return true
	}
	candidates := a.candidates(service, opening.origin)
	return a.leastLoadedSibling(now, candidates, opening.flow, a.visitedWithSelf(opening.visited)) != nil
}

// release decides what becomes of an opening packet that need not wait any more.
func (a *Agent) release(now time.Time, opening waitingOpening) Resolution {
	service := a.view.Service(opening.service)
	if service == nil {
		return opening.resolve(&Reset{Reason: RefuseNotAccepting})
	}
	return a.releaseAs(now, opening, a.placeReleased(now, service, opening.received()))
}

// releaseAs applies the placement decision about an opening packet that has waited.
func (a *Agent) releaseAs(now time.Time, opening waitingOpening, decision placementDecision) Resolution {
	a.recordPlacement(now, opening.isLate, decision)
	service := a.view.Service(opening.service)
	action := copyAction(a.applyPlacement(now, service, opening.received(), decision))
	if forward, forwarded := action.(*Forward); forwarded {
		forward.Waited = true
	}
	return opening.resolve(action)
}

// placeReleased decides who serves a flow that need not wait any more: a sibling with a free
// slot if there is none here.
func (a *Agent) placeReleased(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if a.load.isFull() {
		var drawn choices
		if a.placesByWork() {
			a.drawChoices(now, service, received, drawNearWithSlot, &drawn)
		}
		if sibling := a.siblingWithRoom(now, service, received, &drawn); sibling != nil {
			return handOver{sibling, HandOverFull}
		}
	}
	return a.placeOpening(now, service, received)
}

// resolve returns what to do with the opening packet.
func (w *waitingOpening) resolve(action Action) Resolution {
	return Resolution{Action: action, Service: w.service, Opening: w.packet.Bytes(), Visited: w.visited}
}

// copyAction returns a copy of an action, which stays as it is when the agent decides again.
func copyAction(action Action) Action {
	switch v := action.(type) {
	case *Deliver:
		return new(*v)
	case *Forward:
		return new(*v)
	case *Reset:
		return new(*v)
	case *Drop:
		return new(*v)
	}
	return action
}
