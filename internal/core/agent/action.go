package agent

import (
	"strings"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Action is what the caller of the Agent must do with a packet: one of *Deliver, *Forward,
// *Hold, *AwaitView, *Wait, *Deny, *ReportSilence, *Reset and *Drop.
type Action interface{ isAction() }

// Deliver hands the packet to the backend server or, where flows are not carried, to the
// agent's own stack.
type Deliver struct {
	// SendHint reports whether the balancer must be sent a hint that this agent owns the
	// flow.
	SendHint bool
	// Claims reports whether the sender polled for the owner of the flow and must be told that
	// this agent owns it.
	Claims bool
	// Opens reports whether the packet opens a new flow. The stack must first discard the
	// state of an earlier flow with the same addresses and ports.
	Opens bool
}

// Forward sends the packet to another agent. The receiver gets Placed, Searched, Relayed,
// Referred and Waited in the fields of the same name of its ReceivedPacket.
type Forward struct {
	Target *fleet.Target
	// Placed reports whether the receiver was chosen to serve a new flow.
	Placed bool
	// Searched reports whether no candidate owns the flow.
	Searched bool
	// Relayed reports whether this agent could not reach the remaining candidates.
	Relayed bool
	// Referred reports whether the receiver is the registered owner of the flow. This agent
	// has not offered the packet to its own backend server then, so it must not be added to
	// the visited agents.
	Referred bool
	// Waited reports whether the packet is an opening packet that has waited here.
	Waited bool
	// Reason is the counter of the hand-over or referral. It is empty for an ordinary
	// search step.
	Reason Reason
}

// Reset sends a reset to the caller and counts Reason.
type Reset struct {
	Reason Reason
}

// Drop discards the packet and counts Reason.
type Drop struct {
	Reason Reason
}

// AwaitView keeps the packet until the view has a revision, and then decides again by
// ResumeAfterLookup. If that takes too long, the packet is dropped as DropViewStale.
type AwaitView struct {
	Revision fleet.Revision
}

func (*AwaitView) isAction() {}

func (*Deliver) isAction() {}
func (*Forward) isAction() {}
func (*Reset) isAction()   {}
func (*Drop) isAction()    {}

// Reason is the name of the counter of an action: why a packet was dropped, reset, refused,
// retried, handed over or referred. The names are published as metrics.
type Reason string

// IsRefusal reports whether the caller of a new flow gets a reset before anything was delivered.
func (r Reason) IsRefusal() bool { return strings.HasPrefix(string(r), "refuse_") }

// Reasons, grouped by what happens to the packet or flow.
const (
	DropUnknownService       Reason = "drop_unknown_service"
	DropDataCentreOut        Reason = "drop_data_centre_out"
	DropCandidateUnreachable Reason = "drop_candidate_unreachable"
	DropViewUnsettled        Reason = "drop_view_unsettled"
	// DropSearchLimit means that too many agents outside the service have been searched.
	DropSearchLimit Reason = "drop_search_limit"
	// DropSearchIncomplete means that an agent that may own the flow has given no answer although
	// it can be reached.
	DropSearchIncomplete Reason = "drop_search_incomplete"
	// DropPollUnanswered means that some polled agents, one of which may own the flow, gave no
	// answer.
	DropPollUnanswered Reason = "drop_poll_unanswered"
	// DropResetUnowned means that the backend server has reset a flow that it is not known to
	// hold. The flow may be open at another server.
	DropResetUnowned Reason = "drop_reset_unowned"
	DropViewStale    Reason = "drop_view_stale"
	// DropCopyDue means that an opening packet cannot be served and its caller may have sent the
	// next copy already.
	DropCopyDue        Reason = "drop_copy_due"
	DropClosingUnowned Reason = "drop_closing_unowned"
	DropOpeningPending Reason = "drop_opening_pending"
	DropTableFull      Reason = "drop_table_full"
	DropNoTarget       Reason = "drop_no_target"

	ResetUnowned         Reason = "reset_unowned"
	ResetOwnerLost       Reason = "reset_owner_lost"
	ResetServerSilent    Reason = "reset_server_silent"
	RetryServerSilent    Reason = "retry_server_silent"
	HandOverServerSilent Reason = "handover_server_silent"

	RefuseNotAccepting Reason = "refuse_not_accepting"
	RefuseConnections  Reason = "refuse_connections"
	RefuseWait         Reason = "refuse_wait"
	// RefuseTimeout means that the answer would come after the timeout of the service.
	RefuseTimeout     Reason = "refuse_timeout"
	RefuseDial        Reason = "refuse_dial"
	RefuseCold        Reason = "refuse_cold"
	RefuseRetryBudget Reason = "refuse_retry_budget"

	RetryDial            Reason = "retry_dial"
	RetryWait            Reason = "retry_wait"
	HandOverFull         Reason = "handover_full"
	HandOverEven         Reason = "handover_even"
	HandOverWork         Reason = "handover_work"
	HandOverOffered      Reason = "handover_offered"
	HandOverCold         Reason = "handover_cold"
	HandOverNotSelected  Reason = "handover_not_selected"
	HandOverConnections  Reason = "handover_connections"
	HandOverDraining     Reason = "handover_draining"
	HandOverLeaving      Reason = "handover_leaving"
	HandOverOtherService Reason = "handover_other_service"
	RetryBounced         Reason = "retry_bounced"
	HandOverRemembered   Reason = "handover_remembered"
	ReferRegistered      Reason = "refer_registered"
	ReferAsked           Reason = "refer_asked"
)
