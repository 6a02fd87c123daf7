package agent

import "github.com/radishmast/radishmast/internal/core/fleet"

// Action is what to do with a packet: one of *Deliver, *PassOn, *Hold, *Reset, *Drop.
type Action interface{ isAction() }

// Deliver hands the packet to the agent's own stack.
type Deliver struct {
	// SendHint reports whether the balancer should be told who owns the flow.
	SendHint bool
	// Opens reports whether the packet opens a new flow. What the stack keeps of
	// an earlier flow with the same addresses and ports must go first.
	Opens bool
}

// Forward sends the packet to another agent.
type Forward struct {
	Target *fleet.Target
	// Placed tells the receiver that it was chosen for a new flow.
	Placed bool
	// Searched tells the receiver that no candidate owns the flow.
	Searched bool
	// Relayed tells the receiver that this agent could not reach the candidates that
	// are left.
	Relayed bool
	// Referred tells the receiver that it is the registered owner. This agent has not
	// asked its own backend server, so that it does not count as visited.
	Referred bool
	// Reason is the counter for the hand-over, empty for an ordinary search.
	Reason Reason
}

// Reset answers the caller with a reset.
type Reset struct {
	Reason Reason
}

// Drop discards the packet.
type Drop struct {
	Reason Reason
}

func (*Deliver) isAction() {}
func (*Forward) isAction() {}
func (*Reset) isAction()   {}
func (*Drop) isAction()    {}

// Reason names a counter for a refusal, a drop or a retry.
type Reason string

// Reasons.
const (
	DropUnknownService       Reason = "drop_unknown_service"
	DropDataCentreOut        Reason = "drop_data_centre_out"
	DropCandidateUnreachable Reason = "drop_candidate_unreachable"
	DropViewUnsettled        Reason = "drop_view_unsettled"
	DropViewStale            Reason = "drop_view_stale"
	DropClosingUnowned       Reason = "drop_closing_unowned"
	DropOpeningPending       Reason = "drop_opening_pending"
	DropTableFull            Reason = "drop_table_full"
	DropNoTarget             Reason = "drop_no_target"

	ResetUnowned         Reason = "reset_unowned"
	ResetOwnerLost       Reason = "reset_owner_lost"
	ResetServerSilent    Reason = "reset_server_silent"
	RetryServerSilent    Reason = "retry_server_silent"
	HandOverServerSilent Reason = "handover_server_silent"

	RefuseNotAccepting Reason = "refuse_not_accepting"
	RefuseConnections  Reason = "refuse_connections"
	RefuseWait         Reason = "refuse_wait"
	RefuseDial         Reason = "refuse_dial"
	RefuseCold         Reason = "refuse_cold"
	RefuseRetryBudget  Reason = "refuse_retry_budget"

	RetryDial            Reason = "retry_dial"
	RetryWait            Reason = "retry_wait"
	HandOverFull         Reason = "handover_full"
	HandOverEven         Reason = "handover_even"
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
