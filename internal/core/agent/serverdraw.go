package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// serverDraw is the decision of LeastWork that servers are drawn at random, and that the flow is
// placed by the expected delay at them. It names those that may be drawn.
type serverDraw uint8

const (
	// drawNear draws from the servers in the data centre that the flow enters.
	drawNear serverDraw = iota + 1
	// drawNearWithSlot draws from those of them that have a free slot.
	drawNearWithSlot
	// drawFar draws from the servers with a free slot in other data centres.
	drawFar
)

func (serverDraw) isPlacementDecision() {}

// mayDraw reports whether a draw may return a sibling, by its report.
func (a *Agent) mayDraw(d serverDraw, target *fleet.Target, report Report, received *ReceivedPacket) bool {
	switch d {
	case drawNear:
		return a.isNearChoice(target, report, received)
	case drawNearWithSlot:
		return a.isNearChoiceWithSlot(target, report, received)
	case drawFar:
		return a.isFarChoice(target, report, received)
	}
	return false
}

// decideDrawn decides about a flow by the servers that were drawn, of which only the one with the
// shortest expected delay matters. The decision may be another draw. It changes nothing.
func (a *Agent) decideDrawn(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, d serverDraw, drawn *choices) placementDecision {
	switch d {
	case drawNear:
		return a.placeNearByWork(now, service, received, drawn)
	case drawFar:
		return a.placeFarByWork(now, service, received, drawn)
	}
	return a.placeElsewhereWhenFull(now, service, received, drawn)
}
