package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// search decides about a packet of a flow that this agent does not own. One that came by a poll
// is denied. Otherwise the packet goes to a registrar of the flow, is held while the owner is
// looked up or polled for, or is forwarded to the next candidate, then to the other agents if
// this one may not know the service's former selectors and all candidates could be reached. When
// none is left, a closing packet is dropped. For any other packet, handleUnreachableCandidates
// decides if a candidate could not be reached; otherwise the caller gets a reset if the search
// proves that no agent owns the flow, and the packet is dropped if it does not.
func (a *Agent) search(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if received.Polled {
		return &a.deny
	}
	if registrar := a.nextRegistrar(now, service, received); registrar != nil {
		return a.forwardTo(registrar, "")
	}
	if a.holdForLookup(now, service, received) {
		return &a.hold
	}
	if action := a.poll(now, service, received); action != nil {
		return action
	}
	step := a.nextCandidate(now, service, received)
	if step.Next == nil && !step.Skipped {
		outsider, allowed := a.nextOutsider(now, service, received)
		if !allowed {
			return a.dropPacket(DropSearchLimit)
		}
		step.Next = outsider
	}
	switch {
	case step.Next != nil:
		return a.forwardTo(step.Next, "")
	case received.Packet.Kind() == flow.Closing:
		return a.dropPacket(DropClosingUnowned)
	case step.Skipped:
		return a.handleUnreachableCandidates(service, received, step)
	case received.Revision.IsNewerThan(a.view.Revisions().Highest()):
		return a.awaitRevision(received.Revision)
	case !a.isSearchConclusive(now):
		return a.dropPacket(DropViewUnsettled)
	}
	a.reset.Reason = ResetUnowned
	return &a.reset
}

// awaitRevision decides about a packet whose sender has a newer view, which may name another
// candidate. The view changes many times a second when all servers register anew, after a loss
// of power; a carried packet then waits for it instead of costing its caller a retransmission.
func (a *Agent) awaitRevision(revision fleet.Revision) Action {
	if !a.config.Carried {
		return a.dropPacket(DropViewStale)
	}
	a.awaitView.Revision = revision
	return &a.awaitView
}

// visitedWithSelf returns the visited agents and this one.
func (a *Agent) visitedWithSelf(visited []fleet.InstanceID) []fleet.InstanceID {
	if slices.Contains(visited, a.config.Self) {
		return visited
	}
	return append(visited, a.config.Self)
}

// nextCandidate returns the next step of the search for the owner of a packet's flow. For a
// retransmission it is another candidate than before, if there is one.
func (a *Agent) nextCandidate(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) fleet.SearchStep {
	packet, visited := received.Packet, a.visitedWithSelf(received.Visited)
	candidates := a.candidates(service, received.Origin)
	step := candidates.NextCandidate(packet.Flow().Hash(), visited)
	if step.Next == nil {
		return step
	}
	if a.forwardHistory.isRetransmissionTo(now, packet, step.Next.ID()) {
		other := candidates.NextCandidate(packet.Flow().Hash(), append(slices.Clone(visited), step.Next.ID()))
		if other.Next != nil {
			step = other
		}
	}
	a.forwardHistory.record(now, packet, step.Next.ID(), a.config.MaxFlows)
	return step
}
