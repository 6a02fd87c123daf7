package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/work"
)

// LeastWork hands a carried flow over to the server, of this one and two drawn at random, that
// is expected to answer its request first. Without a valid report of another server, and for
// flows that are not carried, it decides as HandOverWhenFull does.
type LeastWork struct{}

func (LeastWork) isPlacement() {}

const (
	// drawnChoices is the number of other servers that a flow is placed among.
	drawnChoices = 2
	// maxDraws bounds the attempts to draw servers that may get the flow.
	maxDraws = 16
	// nearDelay and farDelay are the one-way delays that are assumed between two agents of one
	// data centre and of different ones.
	nearDelay = time.Millisecond
	farDelay  = 10 * time.Millisecond
)

// choices are the servers drawn for a new flow.
type choices struct {
	targets    [drawnChoices]*fleet.Target
	candidates [drawnChoices]work.Candidate
	count      int
}

// has reports whether a target was drawn already.
func (c *choices) has(target *fleet.Target) bool { return slices.Contains(c.targets[:c.count], target) }

// all returns the candidates drawn.
func (c *choices) all() []work.Candidate { return c.candidates[:c.count] }

// add adds a target.
func (c *choices) add(target *fleet.Target, candidate work.Candidate) {
	c.targets[c.count], c.candidates[c.count] = target, candidate
	c.count++
}

// placesByWork reports whether LeastWork is in force.
func (a *Agent) placesByWork() bool {
	_, configured := a.config.Placement.(LeastWork)
	return configured && a.config.Carried
}

// placeByWork applies LeastWork. Servers in other data centres are considered only while no slot is
// free here, or to even out the utilisation.
func (a *Agent) placeByWork(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if !a.placesByWork() {
		return a.placeWhenFull(now, service, received)
	}
	return drawNear
}

// placeNearByWork decides about a flow among this server and the servers near that were drawn.
func (a *Agent) placeNearByWork(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, near *choices) placementDecision {
	if near.count == 0 {
		return a.placeWhenFull(now, service, received)
	}
	here := a.ownCandidate(now, service)
	if best := work.Choose(here, near.all()); best >= 0 {
		return handOver{near.targets[best], HandOverWork}
	}
	if !a.admission.HasFreeSlot() {
		if a.config.PlacesNear {
			return drawFar
		}
		return a.placeWithinObjective(service, received)
	}
	if a.config.PlacesNear && a.utilisation > nearUtilisation {
		return a.placeEvenly(now, a.candidates(service, received.Origin), received.Packet.Flow(), a.visitedWithSelf(received.Visited))
	}
	return acceptance{AcceptShortestDelay}
}

// placeFarByWork decides about a flow for which no slot is free here, and no server near is
// expected to answer sooner. far holds the servers in other data centres that were drawn.
func (a *Agent) placeFarByWork(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, far *choices) placementDecision {
	if best := work.Choose(a.ownCandidate(now, service), far.all()); best >= 0 {
		return handOver{far.targets[best], HandOverWork}
	}
	return a.placeWithinObjective(service, received)
}

// siblingWithRoom returns the sibling that takes a flow while this server is full: of those drawn
// the one that is expected to answer first, or the least loaded one if none was drawn. It returns
// nil if none is known to have a free slot.
func (a *Agent) siblingWithRoom(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, drawn *choices) *fleet.Target {
	if best := work.Shortest(drawn.all()); best >= 0 {
		return drawn.targets[best]
	}
	visited := a.visitedWithSelf(received.Visited)
	return a.leastLoadedSibling(now, a.candidates(service, received.Origin), received.Packet.Flow(), visited)
}

// acceptsFlows reports whether a sibling accepts new flows by its report.
func acceptsFlows(report Report) bool {
	return !report.Ejected && report.Limit > 0 && report.Owned < report.MaxOwned
}

// isNearChoice reports whether a sibling that accepts flows is in the data centre that a flow
// enters. Where flows do not stay near, all siblings are.
func (a *Agent) isNearChoice(target *fleet.Target, report Report, received *ReceivedPacket) bool {
	isNear := !a.config.PlacesNear || target.DataCentre() == a.entryDataCentre(received.Origin)
	return isNear && acceptsFlows(report)
}

// isNearChoiceWithSlot reports whether a sibling near has a free slot by its report.
func (a *Agent) isNearChoiceWithSlot(target *fleet.Target, report Report, received *ReceivedPacket) bool {
	return report.limitUsage() < 1 && a.isNearChoice(target, report, received)
}

// isFarChoice reports whether a sibling with a free slot by its report is in another data centre
// than the one that a flow enters.
func (a *Agent) isFarChoice(target *fleet.Target, report Report, received *ReceivedPacket) bool {
	return target.DataCentre() != a.entryDataCentre(received.Origin) && acceptsFlows(report) && report.limitUsage() < 1
}

// ownCandidate returns the backend server of this agent as a candidate for a flow.
func (a *Agent) ownCandidate(now time.Time, service *fleet.RoutedService) work.Candidate {
	return work.Candidate{
		Wait:        a.work.backlog.Wait(now),
		ServiceTime: a.expectedMean(now, service.ID()),
	}
}

// siblingCandidate returns the backend server of a sibling as a candidate for a flow.
func (a *Agent) siblingCandidate(now time.Time, service *fleet.RoutedService, target *fleet.Target, stored *siblingReport) work.Candidate {
	distance := nearDelay
	if target.DataCentre() != a.config.DataCentre {
		distance = farDelay
	}
	return work.Candidate{
		Wait:        stored.work.Wait(now),
		ServiceTime: a.serviceTimeAt(now, service.ID(), stored.report),
		Distance:    distance,
	}
}

// drawChoices draws siblings at random among those with a valid report that a flow may be handed
// over to. The number of attempts is bounded, so that the cost does not grow with the fleet.
func (a *Agent) drawChoices(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, d serverDraw, c *choices) {
	for range maxDraws {
		if len(a.work.reporters) == 0 || c.count == drawnChoices {
			return
		}
		index := a.random.IntN(len(a.work.reporters))
		stored := a.reports[a.work.reporters[index]]
		if now.After(stored.expiresAt) {
			a.removeReporter(index)
			continue
		}
		target := service.Target(a.work.reporters[index])
		if target == nil || c.has(target) || !a.mayChoose(target, received) || !a.mayDraw(d, target, stored.report, received) {
			continue
		}
		c.add(target, a.siblingCandidate(now, service, target, &stored))
	}
}

// mayChoose reports whether a flow may be handed over to a target at all.
func (a *Agent) mayChoose(target *fleet.Target, received *ReceivedPacket) bool {
	return target.ID() != a.config.Self && !target.IsResidual() && isEligible(target, received.Visited)
}

// entryDataCentre returns the data centre of the balancer that received a flow's packets, or that
// of this agent if the balancer is not known any more.
func (a *Agent) entryDataCentre(origin fleet.InstanceID) string {
	if balancer := a.view.Node(origin); balancer != nil {
		return balancer.DataCentre()
	}
	return a.config.DataCentre
}
