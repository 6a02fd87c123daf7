package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Replays the arrivals of two kinds of requests on one pool of servers of different speeds, of which
// 3 in 100 take seven times as long. Guards against requests that are queued behind long ones, or at
// slow servers, while others would answer them sooner.
func TestLeastWorkAnswersSoonerThanTheOtherPolicies(t *testing.T) {
	for _, servers := range []int{45, 30, 24} {
		results := make(map[Placement]poolResult)
		for _, policy := range []Placement{HandOverWhenFull{}, TwoChoices{}, LeastWork{}} {
			r := newPoolReplay(t, twoKinds, servers, policy)
			r.run(12*time.Second, variedDemand(1500))
			results[policy] = r.result()
			t.Logf("%d servers, %T: %+v, hand-overs %v of %d", servers, policy, r.result(), r.handovers, r.arrived)
		}
		for _, policy := range []Placement{HandOverWhenFull{}, TwoChoices{}} {
			require.Less(t, results[LeastWork{}].mean, results[policy].mean, "%d servers, %T", servers, policy)
			require.Less(t, results[LeastWork{}].p99, results[policy].p99, "%d servers, %T", servers, policy)
			require.Greater(t, results[LeastWork{}].inTime, results[policy].inTime, "%d servers, %T", servers, policy)
		}
	}
}

// Replays uploads at servers that are nearly idle: transfers that last for longer than the work must
// neither be refused nor make servers look busy.
func TestUploadsArePlacedByTheirWork(t *testing.T) {
	results := make(map[Placement]poolResult)
	for _, policy := range []Placement{HandOverWhenFull{}, TwoChoices{}, LeastWork{}} {
		r := newPoolReplay(t, uploads, 13, policy)
		r.run(12*time.Second, steadyDemand(2*99))
		results[policy] = r.result()
		t.Logf("%T: %+v, hand-overs %v of %d", policy, results[policy], r.handovers, r.arrived)
	}
	require.Greater(t, results[LeastWork{}].inTime, 0.995)
	require.LessOrEqual(t, results[LeastWork{}].mean, results[HandOverWhenFull{}].mean)
}

// Guards against herding: 64 agents whose load reports are up to 1 s old must not all choose the
// servers that were idle then.
func TestOldReportsDoNotAttractAHerd(t *testing.T) {
	const servers, perSecond = 64, 2400
	r := newPoolReplay(t, twoKinds, servers, LeastWork{})
	r.reportInterval = time.Second
	for _, server := range r.servers {
		server.speed = 1
	}
	most := 0
	var count func()
	count = func() {
		for _, server := range r.servers {
			most = max(most, server.taken)
			server.taken = 0
		}
		r.after(time.Second, count)
	}
	r.after(time.Second, count)
	r.run(8*time.Second, steadyDemand(perSecond))
	require.Positive(t, r.handovers[HandOverWork])
	require.LessOrEqual(t, most, 2*perSecond/servers)
}

// Guards against decisions that depend on each report: one in three is lost here.
func TestLostReportsDoNotDelayAnswers(t *testing.T) {
	results := make(map[bool]poolResult)
	for _, loses := range []bool{false, true} {
		r := newPoolReplay(t, twoKinds, 30, LeastWork{})
		r.losesReport = func() bool { return loses && r.random.IntN(3) == 0 }
		r.run(6*time.Second, steadyDemand(1200))
		results[loses] = r.result()
	}
	require.Less(t, results[true].p99, results[false].p99*5/4)
	require.Greater(t, results[true].inTime, results[false].inTime-0.01)
}

// Guards against requests that are queued at a server which turns slow: its own agent must notice by
// the requests that run longer than usual, before its weight does.
func TestServerThatTurnsSlowGetsFewerFlows(t *testing.T) {
	results := make(map[Placement]poolResult)
	for _, policy := range []Placement{HandOverWhenFull{}, LeastWork{}} {
		r := newPoolReplay(t, twoKinds, 9, policy)
		r.after(3*time.Second, func() { r.servers[r.ids()[1]].speed /= 5 })
		r.run(6*time.Second, steadyDemand(300))
		results[policy] = r.result()
		t.Logf("%T: %+v", policy, results[policy])
	}
	require.Less(t, results[LeastWork{}].p99, results[HandOverWhenFull{}].p99)
	require.Greater(t, results[LeastWork{}].inTime, results[HandOverWhenFull{}].inTime)
}

// newWorkAgent returns an agent that places flows by expected work, with the IDs of its siblings.
// Its backend server takes 20 ms for a request of orders, and has all slots taken if busy.
func newWorkAgent(t require.TestingT, targets int, busy bool) (*Agent, []fleet.InstanceID) {
	c := &testCluster{state: newState(t, targets), agents: make(map[fleet.InstanceID]*Agent)}
	c.setObjective(t, 0)
	c.restart(fleet.InstanceIDOf("b0"))
	a := c.agents[fleet.InstanceIDOf("b0")]
	a.config.Placement, a.config.MaxFlows, a.config.MaxHandOvers = LeastWork{}, 100000, 100
	for range minServiceTimeSamples {
		a.estimateOf(settledAt, orders).Record(20 * time.Millisecond)
	}
	for port := range uint16(slots) {
		if busy {
			a.acceptFlow(settledAt, a.view.Service(orders), receivedPacket(9000+port, flow.Opening, 0))
		}
	}
	var siblings []fleet.InstanceID
	for i := 1; i < targets; i++ {
		siblings = append(siblings, fleet.InstanceIDOf(fmt.Sprintf("b%d", i)))
	}
	return a, siblings
}

// idleReport is the report of an idle server that takes 20 ms for a request.
func idleReport() Report {
	return Report{Limit: slots, MaxOwned: 100000, ServiceTime: 20000, Services: []ServiceReport{{Service: orders, Time: 20000}}}
}

// Guards against flows for servers that must not get any, and against flows that are kept back
// although another server would answer sooner.
func TestFlowGoesOnlyToServersThatMayGetIt(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Report)
		at     time.Time
		busy   bool
		want   bool
	}{
		"idle":                {change: func(*Report) {}, busy: true, want: true},
		"idle as this one":    {change: func(*Report) {}},
		"faster":              {change: func(r *Report) { r.Services[0].Time = 12000 }, want: true},
		"slower":              {change: func(r *Report) { r.Services[0].Time = 60000 }, busy: true},
		"busier":              {change: func(r *Report) { r.Work = 200000 }, busy: true},
		"draining":            {change: func(r *Report) { r.Limit = 0 }, busy: true},
		"ejected":             {change: func(r *Report) { r.Ejected = true }, busy: true},
		"table full":          {change: func(r *Report) { r.Owned = r.MaxOwned }, busy: true},
		"other kind is fast":  {change: func(r *Report) { r.ServiceTime = 1000 }},
		"kind is not known":   {change: func(r *Report) { r.Services, r.ServiceTime = nil, 0 }, busy: true, want: true},
		"unknown, both idle":  {change: func(r *Report) { r.Services, r.ServiceTime = nil, 0 }},
		"report is too old":   {change: func(r *Report) { r.Services[0].Time = 1 }, at: settledAt.Add(-reportLifetime - 1)},
		"report is old":       {change: func(r *Report) { r.Services[0].Time = 1000 }, at: settledAt.Add(-reportLifetime), want: true},
		"busy, but not known": {change: func(r *Report) { r.Services, r.Work = nil, 200000 }, busy: true},
	} {
		t.Run(name, func(t *testing.T) {
			a, siblings := newWorkAgent(t, 3, test.busy)
			report, full := idleReport(), idleReport()
			full.Running, full.Work = 3*slots, 400000
			a.HandleReport(settledAt, siblings[1], full)
			test.change(&report)
			at := settledAt
			if !test.at.IsZero() {
				at = test.at
			}
			a.HandleReport(at, siblings[0], report)
			decision := a.placeOpening(settledAt, a.view.Service(orders), receivedPacket(4000, flow.Opening, 0))
			if test.want {
				require.Equal(t, handOver{a.view.Service(orders).Target(siblings[0]), HandOverWork}, decision)
				return
			}
			require.IsType(t, acceptance{}, decision)
		})
	}
}

// Without any valid report the decision must be that of HandOverWhenFull, also about flows that
// waited.
func TestWithoutReportsFlowsArePlacedAsWhenFull(t *testing.T) {
	for _, busy := range []bool{false, true} {
		for _, expired := range []bool{false, true} {
			a, siblings := newWorkAgent(t, 8, busy)
			if expired {
				for _, id := range siblings {
					a.HandleReport(settledAt.Add(-reportLifetime-1), id, idleReport())
				}
			}
			service, packet := a.view.Service(orders), receivedPacket(4000, flow.Opening, 0)
			byWork, released := a.placeOpening(settledAt, service, packet), a.placeReleased(settledAt, service, packet)
			a.config.Placement = HandOverWhenFull{}
			require.Equal(t, a.placeOpening(settledAt, service, packet), byWork)
			require.Equal(t, a.placeReleased(settledAt, service, packet), released)
		}
	}
}

// An opening packet that has waited goes to the server that is expected to answer first of those with
// a free slot, not to the least loaded one.
func TestReleasedFlowGoesWhereItIsAnsweredFirst(t *testing.T) {
	a, siblings := newWorkAgent(t, 3, true)
	slow, fast := idleReport(), idleReport()
	slow.Services[0].Time, fast.Services[0].Time, fast.Running = 60000, 12000, 1
	a.HandleReport(settledAt, siblings[0], slow)
	a.HandleReport(settledAt, siblings[1], fast)
	decision := a.placeReleased(settledAt, a.view.Service(orders), receivedPacket(4000, flow.Opening, 0))
	require.Equal(t, handOver{a.view.Service(orders).Target(siblings[1]), HandOverFull}, decision)
}

// Guards against a burst of flows for one sibling between two of its reports.
func TestHandOversAreCountedUntilTheNextReport(t *testing.T) {
	a, siblings := newWorkAgent(t, 2, true)
	a.HandleReport(settledAt, siblings[0], idleReport())
	handOvers := 0
	for port := range uint16(6) {
		if _, handed := a.Receive(settledAt, receivedPacket(4000+port, flow.Opening, 0)).(*Forward); handed {
			handOvers++
		}
	}
	require.InDelta(t, (6+slots)/2, handOvers, 1, "each server gets four, with those that this one had")
	a.HandleReport(settledAt, siblings[0], idleReport())
	require.IsType(t, &Forward{}, a.Receive(settledAt, receivedPacket(5000, flow.Opening, 0)))
}

// Guards against flows that leave their data centre while a server there is about as good.
func TestFlowsLeaveTheirDataCentreByWorkOnlyWhenItIsBusy(t *testing.T) {
	for name, test := range map[string]struct {
		nearWork uint32
		busy     bool
		want     string
	}{
		"room near":         {0, true, "north"},
		"room here":         {400000, false, ""},
		"no room near":      {400000, true, "south"},
		"little wait here":  {400000, false, ""},
		"short queues near": {20000, true, "north"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newNearCluster(t, 16)
			a := c.agents[c.ids()[0]]
			a.config.Placement, a.config.MaxFlows = LeastWork{}, 100000
			estimate := a.estimateOf(settledAt, orders)
			for range minServiceTimeSamples {
				estimate.Record(40 * time.Millisecond)
			}
			for port := uint16(0); test.busy && port < slots; port++ {
				a.acceptFlow(settledAt, a.view.Service(orders), openingFrom(northBalancer, 9000+port))
			}
			for port := range uint16(20) {
				c.report(a, func(at string) Report {
					report := idleReport()
					report.Services[0].Time = 40000
					if at == "north" {
						report.Work = test.nearWork
					}
					return report
				})
				decision := a.placeOpening(settledAt, a.view.Service(orders), openingFrom(northBalancer, 4000+port))
				if test.want == "" {
					require.IsType(t, acceptance{}, decision)
					continue
				}
				require.IsType(t, handOver{}, decision)
				require.Equal(t, test.want, decision.(handOver).target.DataCentre())
			}
		})
	}
}

// BenchmarkPlaceByWork measures one decision among servers that all have reported.
func BenchmarkPlaceByWork(b *testing.B) {
	for _, servers := range []int{64, 730, 6500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			a, siblings := newWorkAgent(b, servers, true)
			for _, id := range siblings {
				a.HandleReport(settledAt, id, idleReport())
			}
			service, packet := a.view.Service(orders), receivedPacket(4000, flow.Opening, 0)
			b.ReportAllocs()
			for b.Loop() {
				a.placeOpening(settledAt, service, packet)
			}
		})
	}
}
