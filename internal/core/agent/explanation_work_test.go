package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/work"
)

// workScenarios are states of an agent that places flows by expected work.
var workScenarios = map[string]explainScenario{
	"work, all equal": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) { placeByWorkAt(a); c.reportTimes(a, 20, 20, 20) },
		want:    []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptShortestDelay}},
	},
	"work, one is faster": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) { placeByWorkAt(a); c.reportTimes(a, 20, 12, 20) },
		want:    []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverWork}, {Outcome: OutcomeAccept, Reason: AcceptShortestDelay}},
	},
	"work, service times unknown": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			a.config.Placement = LeastWork{}
			c.setObjective(t, 0)
			c.reportTimes(a, 1)
			unknown := idleReport()
			unknown.Services, unknown.ServiceTime = nil, 0
			a.HandleReport(settledAt, c.ids()[2], unknown)
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverWork}, {Outcome: OutcomeAccept, Reason: AcceptShortestDelay}},
	},
	"work, some reports expired": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			placeByWorkAt(a)
			c.reportTimes(a, 12, 20, 20)
			expireReport(a, c.ids()[2])
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverWork}, {Outcome: OutcomeAccept, Reason: AcceptShortestDelay}},
	},
	"work, no valid report": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			placeByWorkAt(a)
			takeSlots(a)
			c.reportTimes(a, 12, 12, 12)
			for _, id := range c.ids()[1:] {
				expireReport(a, id)
			}
		},
		want: []ExplainedDecision{{Outcome: OutcomeAccept, Reason: AcceptNoOther}},
	},
	"work, draining": {
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			placeByWorkAt(a)
			c.reportTimes(a, 12, 12, 12)
			a.Drain()
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverDraining}},
	},
	"work, full and no server near": {
		newCluster: newNearCluster,
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			placeByWorkAt(a)
			fillByWork(a)
			c.reportTimes(a, 20, 20, 12)
			ejected := idleReport()
			ejected.Ejected = true
			a.HandleReport(settledAt, c.ids()[2], ejected)
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverFull}},
	},
	"work, servers near are slow": {
		newCluster: newNearCluster,
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			placeByWorkAt(a)
			fillByWork(a)
			c.reportTimes(a, 20, 90, 4)
		},
		want: []ExplainedDecision{
			{Outcome: OutcomeHandOver, Reason: HandOverWork}, {Outcome: OutcomeHandOver, Reason: HandOverWork},
			{Outcome: OutcomeAccept, Reason: AcceptNoOther}, {Outcome: OutcomeHandOver, Reason: HandOverFull},
		},
	},
	"work, busier than the mean": {
		newCluster: newNearCluster,
		prepare: func(t *testing.T, c *testCluster, a *Agent) {
			placeByWorkAt(a)
			a.utilisation = 0.95
			c.reportTimes(a, 20, 20, 20)
		},
		want: []ExplainedDecision{{Outcome: OutcomeHandOver, Reason: HandOverEven}, {Outcome: OutcomeAccept, Reason: AcceptFreeSlot}},
	},
}

// placeByWorkAt lets an agent place flows by expected work. Its backend server takes 20 ms for a
// request of orders.
func placeByWorkAt(a *Agent) {
	a.config.Placement = LeastWork{}
	for range minServiceTimeSamples {
		a.estimateOf(settledAt, orders).Record(20 * time.Millisecond)
	}
}

// fillByWork opens as many flows as the backend server has slots.
func fillByWork(a *Agent) {
	for port := range uint16(slots) {
		a.acceptFlow(settledAt, a.view.Service(orders), receivedPacket(9000+port, flow.Opening, 0))
	}
}

// reportTimes delivers to an agent the load reports of idle servers, b1 and the following, that take
// the given numbers of milliseconds for a request.
func (c *testCluster) reportTimes(to *Agent, milliseconds ...uint32) {
	for i, serviceTime := range milliseconds {
		report := idleReport()
		report.Services[0].Time = serviceTime * 1000
		to.HandleReport(settledAt, c.ids()[i+1], report)
	}
}

// expireReport makes the stored load report of a sibling too old.
func expireReport(a *Agent, id fleet.InstanceID) {
	stored := a.reports[id]
	stored.expiresAt = settledAt.Add(-time.Millisecond)
	a.reports[id] = stored
}

// Guards against explained probabilities that differ from how often the agent draws: with equal
// delays, with siblings that are listed but must not be drawn, and where a draw follows another.
func TestExplainedProbabilitiesAreThoseOfTheDraws(t *testing.T) {
	for name, prepare := range map[string]func(c *testCluster, a *Agent){
		"different delays": func(c *testCluster, a *Agent) { c.reportTimes(a, 6, 12, 8, 12, 20, 12, 30) },
		"one of many may be drawn": func(c *testCluster, a *Agent) {
			for i, id := range c.ids()[1:] {
				report := idleReport()
				report.Services[0].Time, report.Ejected = 4000, i > 0
				a.HandleReport(settledAt, id, report)
			}
		},
		"a server near or far": func(c *testCluster, a *Agent) {
			a.config.PlacesNear = true
			fillByWork(a)
			c.reportTimes(a, 4, 20, 6, 90, 4, 90, 12)
		},
		"full servers near": func(c *testCluster, a *Agent) {
			fillByWork(a)
			for i, id := range c.ids()[1:] {
				report := idleReport()
				report.Services[0].Time, report.Work, report.Running = uint32(4000+2000*i), uint32(9000*i), slots
				a.HandleReport(settledAt, id, report)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newNearCluster(t, 8)
			a := c.agents[c.ids()[0]]
			a.config.PlacesNear = false
			placeByWorkAt(a)
			prepare(c, a)
			service := a.view.Service(orders)
			received := a.receivedFor(service, ordersQuery)
			const draws = 20000
			drawn := make(map[placementDecision]float64)
			for range draws {
				drawn[a.placeOpening(settledAt, service, received)] += 1.0 / draws
			}
			explained := make(map[placementDecision]float64)
			sum := 0.0
			for _, possible := range a.possibleDecisions(settledAt, service, received, a.place(settledAt, service, received)) {
				explained[possible.decision] = possible.probability
				sum += possible.probability
			}
			require.InDelta(t, 1, sum, 1e-9)
			require.Greater(t, len(explained), 1)
			for decision, share := range drawn {
				require.InDelta(t, explained[decision], share, 0.015, "%v", decision)
			}
			for decision, probability := range explained {
				require.InDelta(t, drawn[decision], probability, 0.015, "%v", decision)
			}
		})
	}
}

// Guards against a candidate whose remaining work or delay is not that by which servers are
// compared, and against one that seems excluded because it is full although it may be drawn.
func TestExplanationShowsTheWorkThatIsCompared(t *testing.T) {
	c := newTestCluster(t, 5)
	ids := c.ids()
	a := c.agents[ids[0]]
	placeByWorkAt(a)
	fillByWork(a)
	report := idleReport()
	report.Running, report.Work = slots, 40000
	at := settledAt.Add(-10 * time.Millisecond)
	a.HandleReport(at, ids[1], report)
	a.HandleReport(at, ids[2], report)
	a.countWorkHandedOver(at, orders, ids[2])
	ejected := idleReport()
	ejected.Ejected = true
	a.HandleReport(at, ids[3], ejected)
	explanation, _ := a.ExplainPlacement(settledAt, ordersQuery)
	byID := make(map[fleet.InstanceID]Candidate)
	for _, candidate := range explanation.Candidates {
		byID[candidate.ID] = candidate
	}
	require.Equal(t, a.work.backlog.Wait(settledAt)*slots, byID[ids[0]].RemainingWork)
	require.Equal(t, 40*time.Millisecond, byID[ids[1]].RemainingWork, "the usual work does not fall")
	require.Equal(t, 60*time.Millisecond-slots*10*time.Millisecond, byID[ids[2]].RemainingWork, "work handed over is done with time")
	require.Equal(t, 40*time.Millisecond/slots+20*time.Millisecond, byID[ids[1]].ExpectedDelay)
	require.False(t, byID[ids[4]].HasWork)
	for i, want := range []Reason{"", "", "", ExcludedEjected, ExcludedNoReport} {
		require.Equal(t, want, byID[ids[i]].Excluded, "b%d", i)
	}
	own := work.Candidate{Wait: byID[ids[0]].RemainingWork / slots, ServiceTime: 20 * time.Millisecond}
	require.Equal(t, own.Delay(), byID[ids[0]].ExpectedDelay)
}
