package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// RecordHandshakeReply records that the agent's own stack has answered the handshake of a
// flow. token is the value that the caller must acknowledge.
func (a *Agent) RecordHandshakeReply(id flow.ID, token uint32) {
	entry := a.flows[id]
	if entry == nil || (entry.state != statePending && entry.state != stateHalfOpen) {
		return
	}
	entry.state = stateHalfOpen
	entry.token = token
}

// PendingFlow describes a flow that is in statePending.
type PendingFlow struct {
	Attempt Attempt
	// WaitPolicy specifies how the flow may wait for a slot.
	WaitPolicy WaitPolicy
}

// PendingFlow returns the description of a pending flow. It reports false if the flow is
// unknown or not pending. A flow that other agents have visited may wait for a bounded time
// but is not handed over from the queue.
func (a *Agent) PendingFlow(id flow.ID) (PendingFlow, bool) {
	entry := a.flows[id]
	if entry == nil || entry.state != statePending {
		return PendingFlow{}, false
	}
	if len(entry.visited) > 0 {
		return PendingFlow{Attempt: entry.attempt, WaitPolicy: BoundedLocalWait}, true
	}
	return PendingFlow{Attempt: entry.attempt, WaitPolicy: BoundedWait}, true
}

// ownedEntry returns the entry of a flow that the agent owns, or nil if it does not own the
// flow or the entry belongs to another attempt.
func (a *Agent) ownedEntry(id flow.ID, attempt Attempt) *flowEntry {
	entry := a.flows[id]
	if entry == nil || entry.state == stateHandedOver || entry.attempt != attempt {
		return nil
	}
	return entry
}

// MarkOpen records that a flow is established. It reports false if the agent no longer owns
// the flow.
func (a *Agent) MarkOpen(id flow.ID, attempt Attempt) bool {
	entry := a.ownedEntry(id, attempt)
	if entry == nil {
		return false
	}
	entry.state = stateOpen
	entry.openingPacket, entry.visited = nil, nil
	return true
}

// MarkClosing records that both directions of a flow have ended. Late packets are still
// delivered until MarkClosed. A flow that the agent does not own is ignored.
func (a *Agent) MarkClosing(id flow.ID, attempt Attempt) {
	entry := a.ownedEntry(id, attempt)
	if entry == nil || entry.state == stateClosing {
		return
	}
	entry.state = stateClosing
	entry.openingPacket, entry.visited = nil, nil
	a.ownedCount--
	a.closingCount++
}

// MarkClosed removes a flow from the flow table. A flow that the agent does not own is
// ignored.
func (a *Agent) MarkClosed(id flow.ID, attempt Attempt) {
	if entry := a.ownedEntry(id, attempt); entry != nil {
		a.remove(id, entry)
	}
}

// Resolution specifies what to do with an opening packet that could not be served at once. Action
// is a *Forward to another agent, a *Reset for the caller, a *Deliver if the packet has waited
// for room, or a *Drop, which needs nothing to be done.
type Resolution struct {
	Action  Action
	Service fleet.ServiceID
	// Opening is the opening packet.
	Opening []byte
	// Visited lists the agents that the packet has visited. This one need not be included.
	Visited []fleet.InstanceID
}

// HandleFailedOpening decides what happens to a pending flow whose backend server refused
// the connection or whose wait for a slot timed out. Nothing was delivered to the server,
// so the flow is retried on a sibling with a free slot, for retryReason. If there is none,
// or the service was removed, the caller gets a reset with refuseReason; if the retry
// budget is spent, one with RefuseRetryBudget.
func (a *Agent) HandleFailedOpening(now time.Time, id flow.ID, attempt Attempt, retryReason, refuseReason Reason) Resolution {
	entry := a.ownedEntry(id, attempt)
	if entry == nil || entry.state != statePending {
		return Resolution{Action: &Drop{Reason: DropOpeningPending}}
	}
	a.remove(id, entry)
	resolution := Resolution{Service: entry.service, Opening: entry.openingPacket, Visited: a.visitedWithSelf(entry.visited)}
	service := a.view.Service(entry.service)
	if service == nil {
		resolution.Action = &Reset{Reason: refuseReason}
		return resolution
	}
	sibling := a.leastLoadedSibling(now, a.candidates(service, 0), id, resolution.Visited)
	switch {
	case sibling == nil:
		resolution.Action = &Reset{Reason: refuseReason}
	case !a.budget.TryWithdraw():
		resolution.Action = &Reset{Reason: RefuseRetryBudget}
	default:
		a.reassign(now, id, &resolution, sibling, retryReason)
	}
	return resolution
}

// reassign hands a flow over to a sibling. The hand-over is recorded because retransmissions
// of the opening packet must go to the same agent. A carried flow is reassigned when its server has
// not answered, or has bounced the packet, so that its caller may send the next copy soon.
func (a *Agent) reassign(now time.Time, id flow.ID, resolution *Resolution, sibling *fleet.Target, reason Reason) {
	a.countHandOver(sibling)
	a.countWorkHandedOver(now, resolution.Service, sibling.ID())
	a.recordHandOver(now, resolution.Service, id, sibling.ID())
	resolution.Action = &Forward{Target: sibling, Placed: true, Waited: a.config.Carried, Reason: reason}
}

// HandOverPending hands a waiting flow over to the sibling that has offered a free slot. The
// retry budget is not charged, since the sibling has the slot. If the sibling accepts no new
// flows any more, the flow is handled as one whose wait timed out.
func (a *Agent) HandOverPending(now time.Time, id flow.ID, attempt Attempt, to fleet.InstanceID) Resolution {
	entry := a.ownedEntry(id, attempt)
	if entry == nil || entry.state != statePending {
		return Resolution{Action: &Drop{Reason: DropOpeningPending}}
	}
	var target *fleet.Target
	if service := a.view.Service(entry.service); service != nil {
		target = service.Target(to)
	}
	if target == nil || !target.IsAccepting() {
		return a.HandleFailedOpening(now, id, attempt, RetryWait, RefuseWait)
	}
	a.remove(id, entry)
	resolution := Resolution{Service: entry.service, Opening: entry.openingPacket, Visited: a.visitedWithSelf(entry.visited)}
	a.reassign(now, id, &resolution, target, HandOverOffered)
	return resolution
}

// ApplyView puts a new view in force. It returns the flows that must be reset because their
// service was removed or moved to another address, or their data centre is out, except those that
// have a grace period. The grace period of a flow whose data centre is back ends.
func (a *Agent) ApplyView(view *fleet.View) []OwnedFlow {
	a.view, a.owners = view, newOwnerLists(false)
	clear(a.queueLimits)
	a.setSiblings()
	a.membershipHash = view.MembershipHash()
	if backend := view.Backend(a.config.Self); backend != nil {
		if a.slowStart.IsOtherStart(backend) {
			a.forgetServiceTimes()
			a.responses.recordServerStart()
		}
		a.slowStart.UpdateListing(backend)
	}
	a.removeStaleReports()
	for id := range a.requestStats {
		if view.Service(id) == nil {
			delete(a.requestStats, id)
		}
	}
	var toReset []OwnedFlow
	for id, entry := range a.flows {
		switch {
		case entry.state == stateHandedOver:
		case a.mayServe(entry.service, id):
			entry.graceUntil = time.Time{}
		case entry.graceUntil.IsZero():
			toReset = append(toReset, OwnedFlow{id, entry.attempt})
		}
	}
	return toReset
}

// SetGraceUntil lets a flow whose data centre is out go on until the given instant, so that a
// request in progress on it can still be answered.
func (a *Agent) SetGraceUntil(owned OwnedFlow, until time.Time) {
	if entry := a.ownedEntry(owned.Flow, owned.Attempt); entry != nil {
		entry.graceUntil = until
	}
}

// MustEnd reports whether a flow must be reset at the end of its grace period: its data centre has
// not come back.
func (a *Agent) MustEnd(owned OwnedFlow) bool {
	entry := a.ownedEntry(owned.Flow, owned.Attempt)
	return entry != nil && !entry.graceUntil.IsZero()
}

// isInGracePeriod reports whether a flow may go on although its data centre is out.
func (a *Agent) isInGracePeriod(now time.Time, id flow.ID) bool {
	entry := a.flows[id]
	return entry != nil && now.Before(entry.graceUntil)
}

// OwnedFlow identifies a flow that the agent owns.
type OwnedFlow struct {
	Flow    flow.ID
	Attempt Attempt
}

// mayServe reports whether the service of a flow still exists at the flow's address and has a
// selector for this data centre.
func (a *Agent) mayServe(id fleet.ServiceID, flowID flow.ID) bool {
	service := a.view.Service(id)
	return service != nil && service.Address() == flowID.Service() && service.HasSelectorFor(a.config.DataCentre)
}

// Drain makes the agent hand over or refuse new flows from now on.
func (a *Agent) Drain() { a.draining = true }

// FlowsOwned returns the number of flows that the agent owns, without closing ones.
func (a *Agent) FlowsOwned() int { return a.ownedCount }

// IsIdle reports whether no flow is left, not even a closing one, which may still have bytes
// to send.
func (a *Agent) IsIdle() bool { return a.ownedCount == 0 && a.closingCount == 0 }

// ResidualServices returns the services that no longer select this backend server but whose
// flows it still owns.
func (a *Agent) ResidualServices() []fleet.ServiceID {
	var residual []fleet.ServiceID
	seen := make(map[fleet.ServiceID]bool)
	for _, entry := range a.flows {
		if entry.state == stateHandedOver || seen[entry.service] {
			continue
		}
		seen[entry.service] = true
		if !a.isSelected(entry.service) {
			residual = append(residual, entry.service)
		}
	}
	return residual
}

// OwnState is what the agent publishes about itself in its peer record.
type OwnState struct {
	State  fleet.PeerState
	Weight fleet.Weight
	// Residual holds the services that no longer select the backend server but whose flows the
	// agent still owns.
	Residual []fleet.ServiceID
}

// OwnState updates the weight and returns what the agent publishes about itself now.
func (a *Agent) OwnState(now time.Time) OwnState {
	return OwnState{State: a.PeerState(now), Weight: a.UpdateWeight(now), Residual: a.ResidualServices()}
}

// isSelected reports whether a service selects this backend server in the view in force.
func (a *Agent) isSelected(id fleet.ServiceID) bool {
	service := a.view.Service(id)
	if service == nil {
		return false
	}
	target := service.Target(a.config.Self)
	return target != nil && !target.IsResidual()
}

// Sweep removes expired hand-overs and returns the pending and half-open flows that have
// expired, which the caller must reset. It is for flows that are not carried; SweepCarried
// is for carried ones.
func (a *Agent) Sweep(now time.Time) []OwnedFlow {
	a.forwardHistory.Sweep(now)
	var expired []OwnedFlow
	for id, entry := range a.flows {
		if entry.expires.After(now) {
			continue
		}
		switch entry.state {
		case stateHandedOver:
			a.remove(id, entry)
		case statePending, stateHalfOpen:
			expired = append(expired, OwnedFlow{id, entry.attempt})
		}
	}
	return expired
}
