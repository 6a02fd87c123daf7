package agent

import (
	"iter"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Placement is the policy by which the primary of a new flow decides who serves
// it: one of UniformHash, HashOnly, HandOverWhenFull, TwoChoices and LeastWork.
type Placement interface{ isPlacement() }

// UniformHash always serves flows at their primary, and all backend servers keep the
// default weight.
type UniformHash struct{}

// HashOnly always serves flows at their primary. As with the policies below, weights follow
// the utilisation of the backend servers.
type HashOnly struct{}

// HandOverWhenFull hands a flow over to a sibling when the primary's backend server has no
// free slot: its limit, which is below the number of slots while it is cold, is reached, or
// requests wait. While a slot is free, it hands over a share of the flows if that backend
// server is busier than the mean.
type HandOverWhenFull struct{}

// TwoChoices hands a flow over to the second candidate if the latest report of that
// candidate shows a smaller share of its limit in use than the primary's.
type TwoChoices struct{}

func (UniformHash) isPlacement()      {}
func (HashOnly) isPlacement()         {}
func (HandOverWhenFull) isPlacement() {}
func (TwoChoices) isPlacement()       {}

// placementDecision is what an agent decides about a new flow: one of acceptance, handOver,
// draw, serverDraw, postponement, refusal and discard. Deciding changes nothing: resolveDraw
// draws, recordPlacement records a shortage, and applyPlacement carries a decision out.
type placementDecision interface{ isPlacementDecision() }

// acceptance means that this agent takes the flow, unless its flow table is full or slow
// start does not allow it. reason is for ExplainPlacement.
type acceptance struct{ reason Reason }

// handOver means that the flow goes to the agent at target, which forwards it again only if
// it must not accept it. reason is the counter to increment.
type handOver struct {
	target *fleet.Target
	reason Reason
}

// draw means that the flow is handed over with a probability of share, and otherwise stays.
type draw struct {
	share     float64
	handOver  handOver
	otherwise acceptance
}

// refusal means that the caller gets a reset. reason is the counter to increment.
type refusal struct{ reason Reason }

// discard means that the opening packet is dropped. reason is the counter to increment.
type discard struct{ reason Reason }

func (acceptance) isPlacementDecision() {}
func (handOver) isPlacementDecision()   {}
func (draw) isPlacementDecision()       {}
func (refusal) isPlacementDecision()    {}
func (discard) isPlacementDecision()    {}

// candidates returns the candidates of a flow whose packets a balancer receives. Where flows stay
// near, the data centre of that balancer comes first, or that of this agent if the balancer is
// not known any more.
func (a *Agent) candidates(service *fleet.RoutedService, origin fleet.InstanceID) fleet.Candidates {
	if !a.config.PlacesNear {
		return service.Candidates
	}
	return service.Near(a.entryDataCentre(origin))
}

// place decides who serves a new flow, and changes nothing. A flow that another agent has
// handed over is not handed over again to balance load.
func (a *Agent) place(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if decision := a.placeByRules(now, service, received); decision != nil {
		return decision
	}
	return a.placeByPolicy(now, service, received)
}

// placeByRules decides about a new flow to which the placement policy does not apply, and returns
// nil about any other.
func (a *Agent) placeByRules(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if reason := a.ineligibleReason(now, service, received); reason != "" {
		decision := a.placeElsewhere(now, service, received, reason)
		if _, refused := decision.(refusal); !refused || reason != HandOverServerSilent || !a.isOnlyEjected() {
			return decision
		}
	}
	if decision := a.placeLate(now, service, received); decision != nil {
		return decision
	}
	if received.Placed {
		return a.placeWithinObjective(service, received)
	}
	return nil
}

// placeByPolicy applies the placement policy.
func (a *Agent) placeByPolicy(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	switch a.config.Placement.(type) {
	case HandOverWhenFull:
		return a.placeWhenFull(now, service, received)
	case TwoChoices:
		return a.placeByReports(now, service, received)
	case LeastWork:
		return a.placeByWork(now, service, received)
	}
	return acceptance{AcceptPrimary}
}

// placeOpening decides who serves a new flow, and draws if the decision is drawn at random. If
// the backend server gets the flow as a trial, it records the trial.
func (a *Agent) placeOpening(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	a.cacheQueueLimit(service)
	decision := a.placeByRules(now, service, received)
	if decision == nil {
		if a.config.Carried {
			a.sampleWait(now)
		}
		decision = a.placeByPolicy(now, service, received)
	}
	if a.config.Carried && a.IsTrialOnly() && a.ineligibleReason(now, service, received) == "" {
		a.responses.recordTrial(now)
	}
	return a.resolveDraw(now, service, received, decision)
}

// ineligibleReason returns why this agent must not accept new flows of the service, or ""
// if it may.
func (a *Agent) ineligibleReason(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Reason {
	if a.config.Carried {
		return a.ineligibleReasonCarried(now, service, received)
	}
	switch {
	case a.draining:
		return HandOverDraining
	case a.ownedCount >= a.config.MaxFlows:
		return HandOverConnections
	case !a.isSelected(service.ID()) && !received.Revision.IsNewerThan(a.view.Revisions().Highest()):
		return HandOverNotSelected
	}
	return ""
}

// placeElsewhere hands the flow over to another target: to the least loaded by the latest
// reports, or else to the next in rendezvous order. Without a target it refuses the flow.
func (a *Agent) placeElsewhere(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, reason Reason) placementDecision {
	visited := a.visitedWithSelf(received.Visited)
	if target := a.alternativeTarget(now, a.candidates(service, received.Origin), received.Packet.Flow(), visited); target != nil {
		return handOver{target, reason}
	}
	if reason == HandOverConnections {
		return refusal{RefuseConnections}
	}
	return refusal{RefuseNotAccepting}
}

// placeWhenFull applies HandOverWhenFull. If no sibling has a free slot either, the flow
// stays here, provided that it can be answered within the service's objective.
func (a *Agent) placeWhenFull(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if a.admission.HasFreeSlot() {
		return a.placeEvenly(now, a.candidates(service, received.Origin), received.Packet.Flow(), a.visitedWithSelf(received.Visited))
	}
	if a.placesByWork() {
		return drawNearWithSlot
	}
	return a.placeElsewhereWhenFull(now, service, received, &choices{})
}

// placeElsewhereWhenFull hands a flow over for which no slot is free here, if a sibling has one.
// drawn holds the servers drawn by LeastWork.
func (a *Agent) placeElsewhereWhenFull(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, drawn *choices) placementDecision {
	sibling := a.siblingWithRoom(now, service, received, drawn)
	if sibling == nil {
		return a.placeWithinObjective(service, received)
	}
	if a.load.IsCold() {
		return handOver{sibling, HandOverCold}
	}
	return handOver{sibling, HandOverFull}
}

// serverObjectiveShare is the share of a service's latency objective that the backend
// server may use. The rest is for the network path.
const serverObjectiveShare = 0.8

// assumedServiceTimeShare is the share of a service's latency objective that a request is
// assumed to take while the service time of the backend server is unknown.
const assumedServiceTimeShare = 0.25

// serverObjective returns the part of a service's latency objective that the backend server
// may use, or zero if no objective is published.
func serverObjective(service *fleet.RoutedService) time.Duration {
	return time.Duration(serverObjectiveShare * float64(service.LatencyObjective()))
}

// assumedServiceTime returns the service time to assume for a service while that of the
// backend server is unknown.
func assumedServiceTime(service *fleet.RoutedService) time.Duration {
	return time.Duration(assumedServiceTimeShare * float64(service.LatencyObjective()))
}

// placeWithinObjective accepts a new flow or postpones it. It postpones a carried flow while the
// backend server is full, if a more urgent flow waits, or if the answer is expected after the
// service's latency objective, counted from the first copy of the opening packet, or beyond
// queueLimit. Behind a long queue at the server all requests would be late, and the server
// answers no more of them than with a short queue.
func (a *Agent) placeWithinObjective(service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	objective := serverObjective(service)
	if objective == 0 || !a.config.Carried || !a.load.isFull() {
		return acceptance{AcceptNoOther}
	}
	remaining := min(objective-timeSinceFirstCopy(received.Packet), a.queueLimit(service))
	switch {
	case a.waiting.hasMoreUrgent(service.Priority()):
		return a.postpone(service, received, WaitUrgent)
	case a.load.expectedResponseTime(assumedServiceTime(service)) > remaining:
		return a.postpone(service, received, WaitFull)
	}
	return acceptance{AcceptInTime}
}

// placeEvenly hands a share of the flows over to the least utilised candidate while this
// backend server is busier than the mean: that of its data centre or, above nearUtilisation,
// that of all.
func (a *Agent) placeEvenly(now time.Time, candidates fleet.Candidates, id flow.ID, visited []fleet.InstanceID) placementDecision {
	peers := a.weightPeers()
	if a.utilisation > nearUtilisation {
		peers, candidates = a.siblings, candidates.Near("")
	}
	share := a.handOverShare(now, peers)
	if share == 0 {
		return acceptance{AcceptFreeSlot}
	}
	sibling := a.leastUtilisedCandidate(now, candidates, id, visited)
	if sibling == nil {
		return acceptance{AcceptFreeSlot}
	}
	return draw{share: share, handOver: handOver{sibling, HandOverEven}, otherwise: acceptance{AcceptFreeSlot}}
}

// placeByReports applies TwoChoices. Without a report of the second candidate it accepts
// the flow.
func (a *Agent) placeByReports(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	step := a.candidates(service, received.Origin).NextCandidate(received.Packet.Flow().Hash(), a.visitedWithSelf(received.Visited))
	if step.Next == nil || !step.Next.IsAccepting() {
		return acceptance{AcceptPrimary}
	}
	report, known := a.latestReport(now, step.Next.ID())
	if !known {
		return acceptance{AcceptPrimary}
	}
	if report.limitUsage() >= a.load.limitUsage() {
		return acceptance{AcceptLessBusy}
	}
	return handOver{step.Next, HandOverFull}
}

// leastLoadedSibling returns the sibling that uses the smallest share of its limit by its
// latest report. It returns nil if no sibling is known to have a free slot. Siblings near
// take precedence over all others and, among both, the placement candidates of the flow.
func (a *Agent) leastLoadedSibling(now time.Time, candidates fleet.Candidates, id flow.ID, visited []fleet.InstanceID) *fleet.Target {
	if best := a.leastLoadedOf(now, slices.Values(candidates.PlacementCandidates(id.Hash())), visited); best != nil {
		return best
	}
	if best := a.leastLoadedOf(now, candidates.SelectedNear(), visited); best != nil {
		return best
	}
	if best := a.leastLoadedOf(now, slices.Values(candidates.Near("").PlacementCandidates(id.Hash())), visited); best != nil {
		return best
	}
	return a.leastLoadedOf(now, candidates.All(), visited)
}

// leastLoadedOf returns the eligible target with a free slot that uses the smallest share
// of its limit, or nil.
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

// isEligible reports whether a new flow may be handed over to a target: it accepts new
// flows, is reachable and not in visited.
func isEligible(target *fleet.Target, visited []fleet.InstanceID) bool {
	return target.IsAccepting() && target.IsReachable() && !slices.Contains(visited, target.ID())
}

// eachWithCapacity calls visit for each eligible target whose latest report shows a free
// slot.
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
