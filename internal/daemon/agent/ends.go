package agent

import (
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// Reasons for which the agent ends a flow that it owns. They are names of counters and
// appear in the log.
const (
	refuseHandshakeTimeout core.Reason = "refuse_handshake_timeout"
	resetDataCentreOut     core.Reason = "reset_data_centre_out"
	resetBackendBroke      core.Reason = "reset_backend_broke"
	cancelCallerGone       core.Reason = "cancel_caller_gone"
)

// applyView replaces the routing view and resets the flows whose service is gone or whose
// data centre is out.
func (a *Agent) applyView(view *fleet.View) {
	a.mu.Lock()
	toReset := a.core.ApplyView(view)
	a.mu.Unlock()
	for _, owned := range toReset {
		a.resetFlowWithGrace(owned)
	}
}

// arrivalGrace is how long after a data centre was taken out its flows take requests that their
// callers have sent before they could know of it.
const arrivalGrace = 500 * time.Millisecond

// resetFlowWithGrace resets a flow whose data centre was taken out or whose service is gone: after
// fleet.AnswerGrace if the backend server has not answered its request by the end of arrivalGrace,
// else then.
func (a *Agent) resetFlowWithGrace(owned core.OwnedFlow) {
	a.mu.Lock()
	a.core.SetGraceUntil(owned, clock.Now().Add(fleet.AnswerGrace))
	a.mu.Unlock()
	time.AfterFunc(arrivalGrace, func() {
		if a.isUnanswered(owned) {
			time.AfterFunc(fleet.AnswerGrace-arrivalGrace, func() { a.endGrace(owned) })
			return
		}
		a.endGrace(owned)
	})
}

// endGrace resets a flow at the end of its grace period, unless its data centre is back.
func (a *Agent) endGrace(owned core.OwnedFlow) {
	a.mu.Lock()
	mustEnd := a.core.MustEnd(owned)
	a.mu.Unlock()
	if mustEnd {
		a.resetFlow(owned, resetDataCentreOut)
	}
}

// isUnanswered reports whether a flow has a request that the backend server has not answered.
func (a *Agent) isUnanswered(owned core.OwnedFlow) bool {
	a.mu.Lock()
	s := a.splices[owned.Flow]
	a.mu.Unlock()
	return s != nil && s.attempt == owned.Attempt && s.request.isUnanswered()
}

// resetFlow removes a flow and resets its connections. A flow that is still opening is not
// in splices yet: its opening fails later, because the core no longer owns it.
func (a *Agent) resetFlow(owned core.OwnedFlow, reason core.Reason) {
	a.recordEnd(owned.Flow, reason, nil)
	a.mu.Lock()
	a.core.MarkClosed(owned.Flow, owned.Attempt)
	s := a.splices[owned.Flow]
	if s != nil && s.attempt == owned.Attempt {
		delete(a.splices, owned.Flow)
	} else {
		s = nil
	}
	a.mu.Unlock()
	if s != nil {
		s.abort()
	}
}

// recordEnd logs and counts a flow that ends before both sides have finished sending.
// cause is the error behind it, or nil.
func (a *Agent) recordEnd(id flow.ID, reason core.Reason, cause error) {
	a.counters.Add(string(reason), 1)
	a.decisions.Record(operator.Decision{
		Event:    "end",
		Flow:     id,
		Reason:   string(reason),
		Cause:    cause,
		Revision: a.node.Revisions().Highest(),
		Age:      a.node.Age(clock.Now()),
	})
}

// abortEarlierFlow resets an earlier flow with the same addresses and ports, so that the
// stack keeps no state of it when the new flow opens.
func (a *Agent) abortEarlierFlow(id flow.ID) {
	a.mu.Lock()
	s := a.splices[id]
	delete(a.splices, id)
	a.mu.Unlock()
	if s != nil {
		s.abort()
	}
}
