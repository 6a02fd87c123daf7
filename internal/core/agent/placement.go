package agent

import (
	"iter"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Placement is the policy by which the primary of a new flow decides who serves
// it: one of UniformHash, HashOnly, HandOverWhenFull and TwoChoices.
type Placement interface{ isPlacement() }

// UniformHash always serves flows at their primary and learns no weights.
type UniformHash struct{}

// HashOnly always serves flows at their primary.
type HashOnly struct{}

// HandOverWhenFull hands a flow over when the primary's slots are taken.
type HandOverWhenFull struct{}

// TwoChoices compares the primary with the second candidate by reports.
type TwoChoices struct{}

func (UniformHash) isPlacement()      {}
func (HashOnly) isPlacement()         {}
func (HandOverWhenFull) isPlacement() {}
func (TwoChoices) isPlacement()       {}

// placementDecision is one of take, handOver and refuse.
type placementDecision interface{ isPlacementDecision() }

type acceptance struct{}

type handOver struct {
	target *fleet.Target
	reason Reason
}

type refusal struct{ reason Reason }

func (acceptance) isPlacementDecision() {}
func (handOver) isPlacementDecision()   {}
func (refusal) isPlacementDecision()    {}

// place decides who serves a new flow.
func (a *Agent) place(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) placementDecision {
	if reason := a.ineligibleReason(now, service, arrival); reason != "" {
		return a.placeElsewhere(now, service, arrival, reason)
	}
	if arrival.Placed {
		return a.placeWithinObjective(service)
	}
	switch a.config.Placement.(type) {
	case HandOverWhenFull:
		return a.placeWhenFull(now, service, arrival)
	case TwoChoices:
		return a.placeByReports(now, service, arrival)
	}
	return acceptance{}
}

// ineligibleReason returns why this agent must not take new flows of the service.
func (a *Agent) ineligibleReason(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) Reason {
	if a.config.Carried {
		return a.ineligibleReasonCarried(now, service, arrival)
	}
	switch {
	case a.draining:
		return HandOverDraining
	case a.ownedCount >= a.config.MaxFlows:
		return HandOverConnections
	case !a.isSelected(service.ID()) && arrival.Revision <= a.view.Revisions().Highest():
		return HandOverNotSelected
	}
	return ""
}

// placeElsewhere finds another target, first by reports and then by rendezvous
// order. Without one the flow is refused.
func (a *Agent) placeElsewhere(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket, reason Reason) placementDecision {
	visited := a.visitedWithSelf(arrival.Visited)
	if target := a.alternativeTarget(now, service, arrival.Packet.Flow(), visited); target != nil {
		return handOver{target, reason}
	}
	if reason == HandOverConnections {
		return refusal{RefuseConnections}
	}
	return refusal{RefuseNotAccepting}
}

func (a *Agent) placeWhenFull(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) placementDecision {
	visited := a.visitedWithSelf(arrival.Visited)
	if a.admission.HasFreeSlot() {
		return a.placeEvenly(now, service, arrival.Packet.Flow(), visited)
	}
	sibling := a.leastLoadedSibling(now, service, arrival.Packet.Flow(), visited)
	if sibling == nil {
		return a.placeWithinObjective(service)
	}
	if a.load.IsCold() {
		return handOver{sibling, HandOverCold}
	}
	return handOver{sibling, HandOverFull}
}

// serverObjectiveShare is the part of a service's objective that the backend server may use
// up. The rest is for the way.
const serverObjectiveShare = 0.8

// assumedServiceTimeShare is the part of a service's objective that a request is taken to need while
// nothing is known of the backend server.
const assumedServiceTimeShare = 0.25

// placeWithinObjective takes a new flow if its first request can be answered within the service's
// objective, and else refuses it at once. The load pattern it answers: more requests
// than slots for seconds, as when all servers return cold. Whatever the queue lets in
// is served at the same rate, but behind a long queue nothing is in time.
func (a *Agent) placeWithinObjective(service *fleet.RoutedService) placementDecision {
	objective := service.LatencyObjective()
	limit := time.Duration(serverObjectiveShare * float64(objective))
	usual := time.Duration(assumedServiceTimeShare * float64(objective))
	if limit > 0 && a.config.Carried && a.load.isFull() && a.load.expectedResponseTime(usual) > limit {
		return refusal{RefuseWait}
	}
	return acceptance{}
}

// placeEvenly hands a share of flows to the least utilised sibling while this
// backend server is busier than the mean.
func (a *Agent) placeEvenly(now time.Time, service *fleet.RoutedService, id flow.ID, visited []fleet.InstanceID) placementDecision {
	share := a.handOverShare(now)
	if share == 0 || a.random.Float64() >= share {
		return acceptance{}
	}
	sibling := a.leastUtilisedCandidate(now, service, id, visited)
	if sibling == nil {
		return acceptance{}
	}
	a.countHandOver(sibling)
	return handOver{sibling, HandOverEven}
}

func (a *Agent) placeByReports(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) placementDecision {
	walk := service.NextCandidate(arrival.Packet.Flow().Hash(), a.visitedWithSelf(arrival.Visited))
	if walk.Next == nil || !walk.Next.IsAccepting() {
		return acceptance{}
	}
	report, known := a.latestReport(now, walk.Next.ID())
	if !known || report.limitUsage() >= a.load.limitUsage() {
		return acceptance{}
	}
	return handOver{walk.Next, HandOverFull}
}

// leastLoadedSibling returns the sibling with the most room by its latest report, or nil if none
// is known to have any. The flow's choices go before all others.
func (a *Agent) leastLoadedSibling(now time.Time, service *fleet.RoutedService, id flow.ID, visited []fleet.InstanceID) *fleet.Target {
	best := a.leastLoadedOf(now, slices.Values(service.PlacementCandidates(id.Hash())), visited)
	if best == nil {
		best = a.leastLoadedOf(now, service.All(), visited)
	}
	a.countHandOver(best)
	return best
}

func (a *Agent) leastLoadedOf(now time.Time, targets iter.Seq[*fleet.Target], visited []fleet.InstanceID) *fleet.Target {
	var best *fleet.Target
	lowest := 1.0
	a.eachWithCapacity(now, targets, visited, func(target *fleet.Target, report Report) {
		if usage := report.limitUsage(); usage < lowest {
			best, lowest = target, usage
		}
	})
	return best
}

// isEligible reports whether a target that has not been visited may get a new flow.
func isEligible(target *fleet.Target, visited []fleet.InstanceID) bool {
	return target.IsAccepting() && target.IsReachable() && !slices.Contains(visited, target.ID())
}

// eachWithCapacity visits the accepting targets whose latest report shows room.
func (a *Agent) eachWithCapacity(now time.Time, targets iter.Seq[*fleet.Target], visited []fleet.InstanceID, visit func(*fleet.Target, Report)) {
	for target := range targets {
		if !isEligible(target, visited) {
			continue
		}
		if report, known := a.latestReport(now, target.ID()); known && report.limitUsage() < 1 {
			visit(target, report)
		}
	}
}
