package agent

import (
	"testing"
	"time"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// lateScenarios are states in which the order of admission decides about a flow that cannot be
// answered within its objective, or not even before its timeout.
var lateScenarios = map[string]explainScenario{
	"late, slots reserved": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) { makeLate(t, c, a); a.recordShortage(settledAt) },
		want:    []ExplainedDecision{{Outcome: OutcomeWait, Reason: WaitLate.Counter()}},
	},
	"late, slots reserved, others wait": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			makeLate(t, c, a)
			a.recordShortage(settledAt)
			waiting := a.newWaitingOpening(settledAt.Add(-time.Millisecond), a.view.Service(orders), receivedPacket(4001, flow.Opening, 0))
			waiting.isLate = false // As assessed before the server became slow.
			a.waiting.openings = append(a.waiting.openings, waiting)
		},
		want: []ExplainedDecision{{Outcome: OutcomeWait, Reason: WaitLate.Counter()}},
	},
	"late, server idle": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			makeLate(t, c, a)
			a.load.cancel(settledAt)
			a.recordShortage(settledAt)
		},
		want: []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptFreeSlot}},
	},
	"late, reservation over": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			makeLate(t, c, a)
			a.recordShortage(settledAt.Add(-reservationPeriod))
		},
		want: []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptFreeSlot}},
	},
	"in time, slots reserved": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			c.setObjective(t, time.Second)
			a.load.start(settledAt)
			a.recordShortage(settledAt)
		},
		want: []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptFreeSlot}},
	},
	"no answer before the timeout": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			c.setObjective(t, 500*time.Millisecond)
			a.load.recordServiceTime(600 * time.Millisecond)
		},
		want: []ExplainedDecision{{Outcome: OutcomeRefuse, Reason: RefuseTimeout}},
	},
}

// makeLate lets the backend server take longer for a request than the objective, but not than the
// timeout, and take one slot.
func makeLate(t *testing.T, c *testCluster, a *Agent) {
	c.setObjective(t, time.Second)
	a.load.recordServiceTime(300 * time.Millisecond)
	a.load.start(settledAt)
}
