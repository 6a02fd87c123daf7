package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// RecordHandshakeReply records that the stack has answered the handshake of a flow. token
// is the value that the caller must confirm.
func (a *Agent) RecordHandshakeReply(id flow.ID, token uint32) {
	entry := a.flows[id]
	if entry == nil || (entry.state != statePending && entry.state != stateHalfOpen) {
		return
	}
	entry.state = stateHalfOpen
	entry.token = token
}

// PendingFlow is a flow that is waiting to be opened.
type PendingFlow struct {
	Attempt Attempt
	// WaitPolicy is how the flow may wait for a slot.
	WaitPolicy WaitPolicy
}

// PendingFlow returns a flow that is waiting to be opened. It reports false if the
// flow is not.
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

// ownedEntry returns the entry of a flow that the agent ownedEntry by a certain attempt.
func (a *Agent) ownedEntry(id flow.ID, attempt Attempt) *flowEntry {
	entry := a.flows[id]
	if entry == nil || entry.state == stateHandedOver || entry.attempt != attempt {
		return nil
	}
	return entry
}

// MarkOpen records that a flow is established. It reports false if the agent no
// longer owns the flow.
func (a *Agent) MarkOpen(id flow.ID, attempt Attempt) bool {
	entry := a.ownedEntry(id, attempt)
	if entry == nil {
		return false
	}
	entry.state = stateOpen
	entry.openingPacket, entry.visited = nil, nil
	return true
}

// MarkClosing records that both directions of a flow have ended. Late packets are
// still delivered until Closed.
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

// MarkClosed forgets a flow that the agent owned.
func (a *Agent) MarkClosed(id flow.ID, attempt Attempt) {
	if entry := a.ownedEntry(id, attempt); entry != nil {
		a.remove(id, entry)
	}
}

// Retry is the outcome of a flow that could not be opened here: one of
// *PassOn and *Reset, with the opening packet.
type Retry struct {
	Action  Action
	Service fleet.ServiceID
	Opening []byte
	Visited []fleet.InstanceID
}

// HandleFailedOpening decides what becomes of a flow whose backend server refused the
// connection or whose wait ran out. Nothing was delivered, so another agent may
// try; if none has room the refusal is final.
func (a *Agent) HandleFailedOpening(now time.Time, id flow.ID, attempt Attempt, retryReason, refuseReason Reason) Retry {
	entry := a.ownedEntry(id, attempt)
	if entry == nil || entry.state != statePending {
		return Retry{Action: &Drop{Reason: DropOpeningPending}}
	}
	a.remove(id, entry)
	retry := Retry{Service: entry.service, Opening: entry.openingPacket, Visited: a.visitedWithSelf(entry.visited)}
	service := a.view.Service(entry.service)
	if service == nil {
		retry.Action = &Reset{Reason: refuseReason}
		return retry
	}
	sibling := a.leastLoadedSibling(now, service, id, retry.Visited)
	switch {
	case sibling == nil:
		retry.Action = &Reset{Reason: refuseReason}
	case !a.budget.tryWithdraw():
		retry.Action = &Reset{Reason: RefuseRetryBudget}
	default:
		a.reassign(now, id, &retry, sibling, retryReason)
	}
	return retry
}

// reassign hands a flow on. A retransmission of its opening packet must follow to
// the same agent.
func (a *Agent) reassign(now time.Time, id flow.ID, retry *Retry, sibling *fleet.Target, reason Reason) {
	a.recordHandOver(now, retry.Service, id, sibling.ID())
	retry.Action = &Forward{Target: sibling, Placed: true, Reason: reason}
}

// HandOverPending hands a waiting flow to the sibling that has offered room. It costs
// no retry: the sibling has a slot free.
func (a *Agent) HandOverPending(now time.Time, id flow.ID, attempt Attempt, to fleet.InstanceID) Retry {
	entry := a.ownedEntry(id, attempt)
	if entry == nil || entry.state != statePending {
		return Retry{Action: &Drop{Reason: DropOpeningPending}}
	}
	var target *fleet.Target
	if service := a.view.Service(entry.service); service != nil {
		target = service.Target(to)
	}
	if target == nil || !target.IsAccepting() {
		return a.HandleFailedOpening(now, id, attempt, RetryWait, RefuseWait)
	}
	a.remove(id, entry)
	retry := Retry{Service: entry.service, Opening: entry.openingPacket, Visited: a.visitedWithSelf(entry.visited)}
	a.reassign(now, id, &retry, target, HandOverOffered)
	return retry
}

// ApplyView puts a new view in force and returns the flows that must be reset
// because their service is gone or their data centre is out.
func (a *Agent) ApplyView(view *fleet.View) []OwnedFlow {
	a.view, a.siblings = view, siblingsIn(view, a.config.Self)
	a.membershipHash = view.MembershipHash()
	if backend := view.Backend(a.config.Self); backend != nil {
		a.slowStart.updateListing(backend)
	}
	var toReset []OwnedFlow
	for id, entry := range a.flows {
		if entry.state == stateHandedOver || a.mayServe(entry.service, id) {
			continue
		}
		toReset = append(toReset, OwnedFlow{id, entry.attempt})
	}
	return toReset
}

// SetGraceUntil lets a flow whose data centre is out go on until an instant, since an answer is
// owed on it.
func (a *Agent) SetGraceUntil(owned OwnedFlow, until time.Time) {
	if entry := a.ownedEntry(owned.Flow, owned.Attempt); entry != nil {
		entry.graceUntil = until
	}
}

func (a *Agent) isInGracePeriod(now time.Time, id flow.ID) bool {
	entry := a.flows[id]
	return entry != nil && now.Before(entry.graceUntil)
}

// OwnedFlow names a flow that the agent owns.
type OwnedFlow struct {
	Flow    flow.ID
	Attempt Attempt
}

func (a *Agent) mayServe(id fleet.ServiceID, flowID flow.ID) bool {
	service := a.view.Service(id)
	return service != nil && service.Address() == flowID.Service() && service.HasSelectorFor(a.config.DataCentre)
}

// Drain stops the agent from taking new flows.
func (a *Agent) Drain() { a.draining = true }

// IsDraining reports whether the agent takes no new flows.
func (a *Agent) IsDraining() bool { return a.draining }

// FlowsOwned returns the number of flows the agent owns.
func (a *Agent) FlowsOwned() int { return a.ownedCount }

// IsIdle reports whether no flow is left, not even one that has ended but may
// still have bytes to send.
func (a *Agent) IsIdle() bool { return a.ownedCount == 0 && a.closingCount == 0 }

// ResidualServices returns the services that do not select this backend server
// any more but whose flows it still owns.
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

func (a *Agent) isSelected(id fleet.ServiceID) bool {
	service := a.view.Service(id)
	if service == nil {
		return false
	}
	target := service.Target(a.config.Self)
	return target != nil && !target.IsResidual()
}

// Sweep forgets hand-overs that have expired and returns the half-open flows
// that have.
func (a *Agent) Sweep(now time.Time) []OwnedFlow {
	a.forwardHistory.sweep(now)
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
