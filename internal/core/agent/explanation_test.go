package agent

import (
	"maps"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

var ordersQuery = Query{Service: orders, Caller: netip.MustParseAddrPort("10.1.0.1:4000"), Size: 900}

// explainScenario is a state of the first agent of a cluster, and where a new flow goes in it.
type explainScenario struct {
	// prepare brings the agent into the state. It must be deterministic.
	prepare func(t *testing.T, c *testCluster, a *Agent)
	// want lists the possible outcomes, with their reasons.
	want []ExplainedDecision
	// newCluster returns the cluster. The default is newTestCluster.
	newCluster func(t require.TestingT, targets int) *testCluster
}

var explainScenarios = merged(policyScenarios, lateScenarios, workScenarios)

// merged returns the scenarios of all sets.
func merged(sets ...map[string]explainScenario) map[string]explainScenario {
	all := make(map[string]explainScenario)
	for _, set := range sets {
		maps.Copy(all, set)
	}
	return all
}

// policyScenarios are states in which the policy decides, or the flow must not be accepted.
var policyScenarios = map[string]explainScenario{
	"free slot": {prepare: func(*testing.T, *testCluster, *Agent) {}, want: []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptFreeSlot}}},
	"primary": {
		prepare: func(_ *testing.T, _ *testCluster, a *Agent) { a.config.Placement = HashOnly{} },
		want:    []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptPrimary}},
	},
	"full, room elsewhere": {
		prepare: func(_ *testing.T, c *testCluster, a *Agent) { takeSlots(a); c.report(a, freeReport) },
		want:    []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverFull}},
	},
	"full, old reports": {
		prepare: func(_ *testing.T, c *testCluster, a *Agent) {
			takeSlots(a)
			c.report(a, freeReport)
			for id, stored := range a.reports {
				stored.expiresAt = settledAt.Add(-time.Millisecond)
				a.reports[id] = stored
			}
		},
		want: []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptNoOther}},
	},
	"busier than the mean": {
		prepare: func(_ *testing.T, c *testCluster, a *Agent) { a.utilisation = 0.9; c.report(a, freeReport) },
		want:    []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverEven}, {Outcome: OutcomeAccept, Reason: AcceptFreeSlot}},
	},
	"second candidate less busy": {
		prepare: func(_ *testing.T, c *testCluster, a *Agent) {
			a.config.Placement = TwoChoices{}
			a.load.start(settledAt)
			c.report(a, freeReport)
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverFull}},
	},
	"late everywhere": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) { fillAll(t, c, a) },
		want:    []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverFull}},
	},
	"late, nobody else accepts": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) { fillAll(t, c, a); silenceOthers(c, a) },
		want:    []ExplainedDecision{{Outcome: OutcomeWait, Reason: WaitFull.Counter()}},
	},
	"a more urgent one waits": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			fillAll(t, c, a)
			silenceOthers(c, a)
			a.waiting.openings = append(a.waiting.openings, waitingOpening{priority: -1, nextCopyAt: settledAt.Add(time.Second), lastStartAt: settledAt.Add(time.Second)})
		},
		want: []ExplainedDecision{{Outcome: OutcomeWait, Reason: WaitUrgent.Counter()}},
	},
	"draining": {
		prepare: func(_ *testing.T, _ *testCluster, a *Agent) { a.Drain() },
		want:    []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverDraining}},
	},
	"draining, nobody else accepts": {
		prepare: func(_ *testing.T, c *testCluster, a *Agent) { a.Drain(); silenceOthers(c, a) },
		want:    []ExplainedDecision{{Outcome: OutcomeRefuse, Reason: RefuseNotAccepting}},
	},
	"trial due": {
		prepare: func(_ *testing.T, _ *testCluster, a *Agent) { a.responses.unresponsiveSince = settledAt },
		want:    []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptFreeSlot}},
	},
	"trial not due": {
		prepare: func(_ *testing.T, _ *testCluster, a *Agent) {
			a.responses.unresponsiveSince = settledAt
			a.responses.recordTrial(settledAt)
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverServerSilent}},
	},
	"cold, token left": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			c.setSlowStart(t, 10, "boot", time.Second)
			a.Start(settledAt.Add(-time.Second))
			a.slowStart.SetRate(settledAt.Add(-time.Second), 10)
		},
		want: []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptFreeSlot}},
	},
	"cold, no token left": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			c.setSlowStart(t, 10, "boot", time.Second)
			a.Start(settledAt)
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverCold}},
	},
	"listed as cold": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			a.Start(settledAt.Add(-time.Minute))
			c.setSlowStart(t, 10, "boot", time.Second)
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverCold}},
	},
	"waits already": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			fillAll(t, c, a)
			silenceOthers(c, a)
			a.Receive(settledAt, a.receivedFor(a.view.Service(orders), ordersQuery))
			a.waiting.openings = append(a.waiting.openings, waitingOpening{priority: 9, nextCopyAt: settledAt.Add(time.Second), lastStartAt: settledAt.Add(time.Second)})
		},
		want: []ExplainedDecision{{Outcome: OutcomeWait, Reason: WaitFull.Counter()}},
	},
	"too many closing flows": {
		prepare: func(_ *testing.T, _ *testCluster, a *Agent) { a.closingCount = maxClosingPerFlow * a.config.MaxFlows },
		want:    []ExplainedDecision{{Outcome: OutcomeDrop, Reason: DropTableFull}},
	},
	"handed over before": {
		prepare: func(_ *testing.T, c *testCluster, a *Agent) {
			takeSlots(a)
			c.report(a, freeReport)
			a.Receive(settledAt, a.receivedFor(a.view.Service(orders), ordersQuery))
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverRemembered}},
	},
	"open": {
		prepare: func(_ *testing.T, _ *testCluster, a *Agent) {
			a.Receive(settledAt, a.receivedFor(a.view.Service(orders), ordersQuery))
		},
		want: []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptKnown}},
	},
}

// fillAll publishes an objective that no server can meet, since all slots are taken.
func fillAll(t *testing.T, c *testCluster, a *Agent) {
	c.setObjective(t, time.Second)
	for range 8 * slots {
		a.load.start(settledAt)
	}
	c.report(a, fullIn("north"))
}

// silenceOthers makes all other backend servers accept no new flows.
func silenceOthers(c *testCluster, a *Agent) {
	for id := range c.agents {
		if id != a.config.Self {
			c.state.Peers().Merge(epoch, fleet.PeerRecord{ID: id, Incarnation: 1, State: fleet.PeerServerUnresponsive})
		}
	}
	c.applyView()
}

// build returns the first agent of a new cluster, in the state of the scenario.
func (s *explainScenario) build(t *testing.T) *Agent {
	newCluster := newTestCluster
	if s.newCluster != nil {
		newCluster = s.newCluster
	}
	c := newCluster(t, 4)
	a := c.agents[c.ids()[0]]
	a.config.Placement = HandOverWhenFull{}
	s.prepare(t, c, a)
	return a
}

// outcomeOf returns the outcome of an action for an opening packet.
func outcomeOf(t *testing.T, action Action) ExplainedDecision {
	switch v := action.(type) {
	case *Deliver:
		return ExplainedDecision{Outcome: OutcomeAccept}
	case *Forward:
		return ExplainedDecision{Outcome: OutcomeHandOver, Target: v.Target, Reason: v.Reason}
	case *Wait:
		return ExplainedDecision{Outcome: OutcomeWait, Reason: v.Reason.Counter()}
	case *Reset:
		return ExplainedDecision{Outcome: OutcomeRefuse, Reason: v.Reason}
	case *Drop:
		return ExplainedDecision{Outcome: OutcomeDrop, Reason: v.Reason}
	}
	require.Failf(t, "unexpected action", "%T", action)
	return ExplainedDecision{}
}

// Guards against an explanation that differs from what the agent does with the packet, and one
// that changes what happens to later packets: by a counted hand-over, a token or a trial taken, a
// random number drawn, or an entry added. An agent that has explained must equal one that has not.
func TestExplanationIsTrueAndChangesNothing(t *testing.T) {
	for name, scenario := range explainScenarios {
		t.Run(name, func(t *testing.T) {
			explained, twin := scenario.build(t), scenario.build(t)
			// Views are immutable, but hold pointers to services that they build on demand.
			twin.view = explained.view
			require.True(t, reflect.DeepEqual(twin, explained), "the scenario is not deterministic")
			var explanation Explanation
			for range 20 {
				var known bool
				explanation, known = explained.ExplainPlacement(settledAt, ordersQuery)
				require.True(t, known)
			}
			require.True(t, reflect.DeepEqual(twin, explained), "the explanation has changed the agent")
			requireDecisions(t, scenario.want, explanation.Decisions)
			action := outcomeOf(t, twin.Receive(settledAt, twin.receivedFor(twin.view.Service(orders), ordersQuery)))
			matches := false
			for _, decision := range explanation.Decisions {
				isReasonKnown := action.Outcome != OutcomeAccept
				matches = matches || decision.Outcome == action.Outcome && decision.Target == action.Target && (!isReasonKnown || decision.Reason == action.Reason)
			}
			require.True(t, matches, "explained %v, done %v", explanation.Decisions, action)
		})
	}
}

// Guards against the answer that a packet waits although so many wait before it that it is
// refused at once.
func TestExplanationOfFullOpeningQueueIsRefusal(t *testing.T) {
	scenario := explainScenario{prepare: func(t *testing.T, c *testCluster, a *Agent) {
		fillAll(t, c, a)
		silenceOthers(c, a)
		for range a.waitingLimit(a.view.Service(orders)) {
			a.waiting.openings = append(a.waiting.openings, waitingOpening{priority: -1, nextCopyAt: settledAt.Add(time.Second), lastStartAt: settledAt.Add(time.Second)})
		}
	}}
	a := scenario.build(t)
	explanation, _ := a.ExplainPlacement(settledAt, ordersQuery)
	requireDecisions(t, []ExplainedDecision{{Outcome: OutcomeRefuse, Reason: RefuseWait}}, explanation.Decisions)
	a.Receive(settledAt, a.receivedFor(a.view.Service(orders), ordersQuery))
	require.Equal(t, &Reset{Reason: RefuseWait}, a.ReleaseWaiting(settledAt)[0].Action)
}

// requireDecisions requires the wanted outcomes and reasons, a target for each hand-over, and
// probabilities that add up to 1.
func requireDecisions(t *testing.T, want, decisions []ExplainedDecision) {
	var got []ExplainedDecision
	sum := 0.0
	for _, decision := range decisions {
		sum += decision.Probability
		require.Equal(t, decision.Outcome == OutcomeHandOver, decision.Target != nil)
		got = append(got, ExplainedDecision{Outcome: decision.Outcome, Reason: decision.Reason})
	}
	require.Equal(t, want, got)
	require.InDelta(t, 1, sum, 1e-9)
}

// Guards against a candidate without the reason that excludes it, and one whose load report seems
// younger than it is.
func TestExplanationDescribesCandidates(t *testing.T) {
	c := newTestCluster(t, 7)
	ids := c.ids()
	a := c.agents[ids[0]]
	takeSlots(a)
	at := settledAt.Add(-300 * time.Millisecond)
	a.HandleReport(at, ids[1], Report{Running: 1, Limit: 2, MaxOwned: 9, ServiceTime: 20000})
	a.HandleReport(at, ids[2], Report{Running: 5, Limit: 2, MaxOwned: 9, ServiceTime: 20000})
	a.HandleReport(settledAt.Add(-reportLifetime-time.Second), ids[3], freeReport(""))
	c.state.Peers().Merge(epoch, fleet.PeerRecord{ID: ids[4], Incarnation: 1, State: fleet.PeerServerUnresponsive})
	c.state.Peers().SetReachable(epoch, ids[5], false)
	c.applyView()
	// A counted hand-over leaves an entry without a load report.
	a.countHandOver(a.view.Service(orders).Target(ids[6]))
	explanation, known := a.ExplainPlacement(settledAt, ordersQuery)
	require.True(t, known)
	require.Len(t, explanation.Candidates, len(ids))
	require.True(t, explanation.Candidates[0].IsSelf)
	byID := make(map[fleet.InstanceID]Candidate)
	for _, candidate := range explanation.Candidates {
		byID[candidate.ID] = candidate
	}
	for i, want := range []Reason{ExcludedFull, "", ExcludedFull, ExcludedOldReport, Reason(fleet.ExcludedNotAccepting), Reason(fleet.ExcludedUnreachable), ExcludedNoReport} {
		require.Equal(t, want, byID[ids[i]].Excluded, "b%d", i)
	}
	require.Equal(t, 300*time.Millisecond, byID[ids[1]].ReportAge)
	require.Equal(t, 20*time.Millisecond, byID[ids[1]].ExpectedDelay)
	require.Equal(t, 60*time.Millisecond, byID[ids[2]].ExpectedDelay)
	require.Equal(t, reportLifetime+time.Second, byID[ids[3]].ReportAge)
	require.False(t, byID[ids[6]].HasReport)
	require.Equal(t, uint32(slots), byID[ids[0]].Report.Running)
}

// Guards against an answer about a service that the agent does not know.
func TestUnknownServiceIsNotExplained(t *testing.T) {
	a := newTestCluster(t, 1).agents[fleet.InstanceIDOf("b0")]
	_, known := a.ExplainPlacement(settledAt, Query{Service: 99, Caller: ordersQuery.Caller})
	require.False(t, known)
}

// A flow that an agent accepts may still wait there for a slot. Guards against the answer that it
// is served at once.
func TestExplanationOfTerminatedFlowNamesTheWaitForASlot(t *testing.T) {
	all, _ := newAgents(t, 2, HashOnly{})
	a := all[fleet.InstanceIDOf("b0")]
	takeSlots(a)
	explanation, _ := a.ExplainPlacement(settledAt, ordersQuery)
	requireDecisions(t, []ExplainedDecision{{Outcome: OutcomeWait, Reason: WaitSlot}}, explanation.Decisions)
}
