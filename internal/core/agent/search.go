package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
)

// search decides about a packet of a flow that this agent does not own. One that came by a poll
// is denied if this process can deny it. Otherwise the packet goes to a registrar of the flow, is
// held while the owner is looked up or polled for, or is forwarded to the next candidate, then to
// the other agents if this one may not know the service's former selectors and all candidates
// could be reached. When none is left, concludeSearch decides.
func (a *Agent) search(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if received.Polled {
		return a.denyPoll(received)
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
	}
	return a.concludeSearch(now, service, received)
}

// searchDenied searches for the owner of a packet's flow after this process has denied the flow.
func (a *Agent) searchDenied(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	received.Evidence = received.Evidence.WithOwnDenial()
	return a.search(now, service, received)
}

// denyPoll answers a packet that came by a poll and whose flow this agent does not own. It drops the
// packet if this process cannot deny the flow yet: the sender will poll again.
func (a *Agent) denyPoll(received *ReceivedPacket) Action {
	if !received.Evidence.HasOwnDenial() {
		return a.dropPacket(DropOpeningPending)
	}
	return &a.deny
}

// evidence returns what this process has learned about the owner of a packet's flow.
func (a *Agent) evidence(received *ReceivedPacket) ownership.Evidence {
	if a.config.Carried {
		return received.Evidence
	}
	return ownership.FromVisits(a.visitedWithSelf(received.Visited))
}

// concludeSearch decides about a packet whose owner the search has not found. If this agent cannot
// reach some agent that may own the flow, an agent in a third data centre may have a path to it,
// and the packet is relayed through one. Otherwise the caller gets a reset if no agent owns the flow
// for certain, or if the owner is lost and the caller can repeat its request. The packet is dropped
// in any other case: the caller will retransmit it.
func (a *Agent) concludeSearch(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	findings := ownership.Examine(a.possibleOwners(now, service), a.config.Self, a.evidence(received))
	if dataCentre, found := findings.UnreachableDataCentre(); found && a.config.Carried && !received.Relayed {
		if relay := service.RelayTarget(received.Packet.Flow().Hash(), a.config.DataCentre, dataCentre); relay != nil {
			action := a.forwardTo(relay, "")
			action.Relayed = true
			return action
		}
	}
	switch verdict := findings.Verdict().(type) {
	case *ownership.Unowned:
		return a.resetUnowned(now, received, verdict)
	case *ownership.OwnerLost:
		return a.resetLost(service, verdict)
	}
	return a.dropPacket(DropSearchIncomplete)
}

// resetUnowned resets a flow that no agent in the view owns, which the proof shows, if the view can
// be trusted to name all agents that may own it: it is recent, and not older than the sender's.
func (a *Agent) resetUnowned(now time.Time, received *ReceivedPacket, _ *ownership.Unowned) Action {
	switch {
	case received.Revision.IsNewerThan(a.view.Revisions().Highest()):
		return a.awaitRevision(received.Revision)
	case !a.isViewTrusted(now):
		return a.dropPacket(DropViewUnsettled)
	}
	a.reset.Reason = ResetUnowned
	return &a.reset
}

// resetLost resets a flow whose owner is lost if requests of the service are idempotent, so that the
// caller can repeat its request on a new flow. The packet is dropped if requests must not be
// repeated, since the request may have been run and its answer may still come, or if the owner may
// be back soon.
func (a *Agent) resetLost(service *fleet.RoutedService, lost *ownership.OwnerLost) Action {
	if !a.config.Carried || lost.MayReturn || !service.IsIdempotent() {
		return a.dropPacket(DropCandidateUnreachable)
	}
	a.reset.Reason = ResetOwnerLost
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
	if a.forwardHistory.IsRetransmissionTo(now, packet, step.Next.ID()) {
		other := candidates.NextCandidate(packet.Flow().Hash(), append(slices.Clone(visited), step.Next.ID()))
		if other.Next != nil {
			step = other
		}
	}
	a.forwardHistory.Record(now, packet, step.Next.ID(), a.config.MaxFlows)
	return step
}
