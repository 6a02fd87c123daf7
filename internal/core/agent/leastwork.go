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
	// oneWayDelay is the delay that is assumed between two agents of a data centre.
	oneWayDelay = time.Millisecond
)

// choice is a server drawn for a new flow, with its latest report.
type choice struct {
	target *fleet.Target
	report Report
}

// choices are the servers drawn for a new flow.
type choices struct {
	drawn      [drawnChoices]choice
	candidates [drawnChoices]work.Candidate
	count      int
}

// has reports whether a target was drawn already.
func (c *choices) has(target *fleet.Target) bool {
	return slices.ContainsFunc(c.drawn[:c.count], func(drawn choice) bool { return drawn.target == target })
}

// all returns the candidates drawn.
func (c *choices) all() []work.Candidate { return c.candidates[:c.count] }

// placesByWork reports whether LeastWork is in force.
func (a *Agent) placesByWork() bool {
	_, configured := a.config.Placement.(LeastWork)
	return configured && a.config.Carried
}

// placeByWork applies LeastWork.
func (a *Agent) placeByWork(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if !a.placesByWork() || !a.admission.HasFreeSlot() {
		return a.placeWhenFull(now, service, received)
	}
	var c choices
	a.drawChoices(now, service, received, acceptsFlows, &c)
	if c.count == 0 {
		return a.placeWhenFull(now, service, received)
	}
	if best := work.Choose(a.ownCandidate(now, service), c.all()); best >= 0 {
		return handOver{c.drawn[best].target, HandOverWork}
	}
	if a.config.PlacesNear && a.utilisation > nearUtilisation {
		return a.placeEvenly(now, a.candidates(service, received.Origin), received.Packet.Flow(), a.visitedWithSelf(received.Visited))
	}
	return acceptance{}
}

// shortestDelaySibling returns the sibling that takes a flow while this server is full: of two
// with a free slot the one that is expected to answer first. It returns nil if none was found.
func (a *Agent) shortestDelaySibling(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) *fleet.Target {
	var c choices
	a.drawChoices(now, service, received, hasFreeSlot, &c)
	best := work.Shortest(c.all())
	if best < 0 {
		return nil
	}
	return c.drawn[best].target
}

// siblingWithRoom returns the sibling that takes a flow while this server is full: by LeastWork
// the one that is expected to answer first, else the least loaded one. It returns nil if none is
// known to have a free slot.
func (a *Agent) siblingWithRoom(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) *fleet.Target {
	if a.placesByWork() {
		if sibling := a.shortestDelaySibling(now, service, received); sibling != nil {
			return sibling
		}
	}
	visited := a.visitedWithSelf(received.Visited)
	return a.leastLoadedSibling(now, a.candidates(service, received.Origin), received.Packet.Flow(), visited)
}

// acceptsFlows reports whether a sibling accepts new flows by its report.
func acceptsFlows(report Report) bool {
	return !report.Ejected && report.Limit > 0 && report.Owned < report.MaxOwned
}

// hasFreeSlot reports whether a sibling accepts new flows and has a free slot by its report.
func hasFreeSlot(report Report) bool { return acceptsFlows(report) && report.limitUsage() < 1 }

// ownCandidate returns the backend server of this agent as a candidate for a flow.
func (a *Agent) ownCandidate(now time.Time, service *fleet.RoutedService) work.Candidate {
	return work.Candidate{
		Left:        a.workLeft(now),
		Slots:       a.load.slots,
		ServiceTime: a.estimateOf(now, service.ID()).Mean(),
	}
}

// siblingCandidate returns the backend server of a sibling as a candidate for a flow.
func (a *Agent) siblingCandidate(now time.Time, service *fleet.RoutedService, stored *siblingReport) work.Candidate {
	return work.Candidate{
		Left:        stored.work.LeftAt(now),
		Slots:       float64(stored.report.Limit),
		ServiceTime: a.serviceTimeAt(now, service.ID(), stored.report),
		Distance:    oneWayDelay,
	}
}

// drawChoices draws siblings at random among those with a valid report that may get a flow. The
// number of attempts is bounded, so that its cost does not grow with the fleet.
func (a *Agent) drawChoices(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, accepts func(Report) bool, c *choices) {
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
		if target == nil || c.has(target) || !a.mayChoose(target, received) || !accepts(stored.report) {
			continue
		}
		c.drawn[c.count] = choice{target, stored.report}
		c.candidates[c.count] = a.siblingCandidate(now, service, &stored)
		c.count++
	}
}

// mayChoose reports whether a flow may be handed over to a target by its expected work.
func (a *Agent) mayChoose(target *fleet.Target, received *ReceivedPacket) bool {
	if target.ID() == a.config.Self || target.IsResidual() || !isEligible(target, received.Visited) {
		return false
	}
	return !a.config.PlacesNear || target.DataCentre() == a.entryDataCentre(received.Origin)
}

// entryDataCentre returns the data centre of the balancer that received a flow's packets, or that
// of this agent if the balancer is not known any more.
func (a *Agent) entryDataCentre(origin fleet.InstanceID) string {
	if balancer := a.view.Node(origin); balancer != nil {
		return balancer.DataCentre()
	}
	return a.config.DataCentre
}
