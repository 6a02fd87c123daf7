package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Agents that restart lose their flow tables. Packets must still reach the backend server that
// holds the flow, from any agent.
func TestCarriedFlowIsFoundFromAnyAgentAfterRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t, rapid.IntRange(1, 8).Draw(t, "agents"))
		ids := c.ids()
		owner := c.open(t, rapid.SampledFrom(ids).Draw(t, "entry"), 4000)
		for _, id := range ids {
			if rapid.Bool().Draw(t, "restart") {
				c.restart(id)
			}
		}
		for _, id := range ids {
			c.requireFound(t, id, receivedPacket(4000, flow.Established, 77), owner)
		}
	})
}

// Copies of an opening packet reach two backend servers, and both answer. The caller's
// confirmation must reach the server whose handshake it acknowledges.
func TestConfirmationDecidesBetweenTwoServersWithTheSameOpening(t *testing.T) {
	c := newTestCluster(t, 2)
	ids := c.ids()
	for _, id := range ids {
		packet := receivedPacket(4000, flow.Opening, 0)
		packet.Placed = true
		_, action := c.routePacket(t, id, packet)
		require.IsType(t, &Deliver{}, action)
	}
	owner, action := c.routePacket(t, ids[0], receivedPacket(4000, flow.Established, c.backends[ids[1]].token))
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, ids[1], owner)
}

// A backend server that accepts no new flows bounces opening packets. The caller may be refused
// only after all servers have done so.
func TestBouncedOpeningIsRetriedUntilAllServersRefuse(t *testing.T) {
	c := newTestCluster(t, 3)
	ids := c.ids()
	c.backends[ids[0]].refuses, c.backends[ids[1]].refuses = true, true
	owner, action := c.routePacket(t, ids[0], receivedPacket(4000, flow.Opening, 0))
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, ids[2], owner)
	c.backends[ids[2]].refuses = true
	_, action = c.routePacket(t, ids[0], receivedPacket(4001, flow.Opening, 0))
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, action)
}

// Guards against resets by an agent that has not been able to compare its view with the
// platform recently: the view may lack the owner of the flow.
func TestCarriedFlowIsResetOnlyWithARecentView(t *testing.T) {
	c := newTestCluster(t, 2)
	_, action := c.routePacket(t, c.ids()[0], receivedPacket(4000, flow.Established, 1))
	require.Equal(t, &Reset{Reason: ResetUnowned}, action)
	for _, a := range c.agents {
		a.RecordViewConfirmed(settledAt.Add(-maxViewAgeForReset - time.Millisecond))
	}
	_, action = c.routePacket(t, c.ids()[0], receivedPacket(4000, flow.Established, 1))
	require.Equal(t, &Drop{Reason: DropViewUnsettled}, action)
}

// The address of a backend server is reused for a server of another service while senders
// still have the old documents. The agent must go by its own labels and hand the new flow
// over.
func TestOwnLabelsTakePrecedenceOverTheView(t *testing.T) {
	c := newTestCluster(t, 2)
	ids := c.ids()
	c.agents[ids[0]].SetLabels(map[string]string{"app": "patterns"})
	packet := receivedPacket(4000, flow.Opening, 0)
	packet.Placed, packet.Revision = true, fleet.Revision{Number: 9}
	owner, action := c.routePacket(t, ids[0], packet)
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, ids[1], owner)
}

// A backend server is leaving or no longer listed. New flows must go elsewhere while open ones
// stay.
func TestLeavingOrRemovedServerKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	for name, document := range map[string]fleet.Document{
		"leaving": &fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}, Instances: []fleet.Instance{
			{Name: "b0", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLeaving},
			{Name: "b1", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive},
		}},
		"removed": &fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}, Instances: []fleet.Instance{
			{Name: "b1", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 2)
			ids := c.ids()
			packet := receivedPacket(4000, flow.Opening, 0)
			packet.Placed = true
			first, action := c.routePacket(t, ids[0], packet)
			require.IsType(t, &Deliver{}, action)
			require.Equal(t, ids[0], first)
			c.routePacket(t, ids[0], receivedPacket(4000, flow.Established, c.backends[ids[0]].token))
			_, err := c.state.Apply(epoch, document)
			require.NoError(t, err)
			c.applyViewAt(epoch.Add(fleet.LapseGrace))
			again := receivedPacket(4001, flow.Opening, 0)
			again.Placed = true
			owner, _ := c.routePacket(t, ids[0], again)
			require.Equal(t, ids[1], owner, "a new flow must go to the other agent")
			c.requireFound(t, ids[1], receivedPacket(4000, flow.Established, 77), ids[0])
		})
	}
}

// A data centre that is draining must refuse new flows and keep delivering packets of open ones.
func TestDrainingDataCentreKeepsItsFlows(t *testing.T) {
	c := newTestCluster(t, 1)
	id := c.ids()[0]
	c.open(t, id, 4000)
	services, _, _ := c.state.Documents()
	_, err := c.state.Apply(epoch, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 2}, Services: services.Services, Draining: []string{"north"}})
	require.NoError(t, err)
	c.applyView()
	_, action := c.routePacket(t, id, receivedPacket(4001, flow.Opening, 0))
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, action)
	_, action = c.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
	require.IsType(t, &Deliver{}, action)
}

// The owner of a flow cannot be reached. A reset makes the caller repeat its request, which is
// allowed only if requests are idempotent and the owner is not expected back soon.
func TestFlowOfAnUnreachableOwnerIsResetOnlyIfRepeatable(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		state      fleet.PeerState
		suspected  bool
		restarts   uint64
		want       Action
	}{
		{"requests are idempotent", true, fleet.PeerAlive, false, 0, &Reset{Reason: ResetOwnerLost}},
		{"requests are not idempotent", false, fleet.PeerAlive, false, 0, &Drop{Reason: DropCandidateUnreachable}},
		{"owner is leaving and may be back soon", true, fleet.PeerLeaving, false, 0, &Drop{Reason: DropCandidateUnreachable}},
		{"owner is leaving and others have noticed its silence", true, fleet.PeerLeaving, true, 0, &Drop{Reason: DropCandidateUnreachable}},
		{"owner has just started again and does not answer yet", true, fleet.PeerAlive, false, 1, &Drop{Reason: DropCandidateUnreachable}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCluster(t, 3)
			ids := c.ids()
			c.setIdempotent(t, test.idempotent)
			c.state.Peers().SetReachable(epoch, ids[2], false)
			for start := range test.restarts + 1 {
				c.state.Peers().Merge(epoch, fleet.PeerRecord{ID: ids[2], Incarnation: 1 + start, State: test.state, Suspected: test.suspected})
			}
			c.applyView()
			_, action := c.routePacket(t, ids[0], receivedPacket(4000, flow.Established, 1))
			require.Equal(t, test.want, action)
		})
	}
}

// An agent that announced its departure was removed from the documents a while ago. When a data
// centre is cut off later, the removed agent must not count as one that may be back soon, or
// the callers of the flows there get no reset.
func TestRemovedAgentDoesNotPreventResets(t *testing.T) {
	c := newTestCluster(t, 3)
	ids := c.ids()
	c.setIdempotent(t, true)
	c.state.Peers().Merge(epoch, fleet.PeerRecord{
		ID: ids[2], Incarnation: 1, State: fleet.PeerLeaving, Residual: []fleet.ServiceID{fleet.ServiceIDOf("orders")},
	})
	_, backends, instances := c.state.Documents()
	for _, document := range []fleet.Document{
		&fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}, Instances: instances.Instances[:2]},
		&fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}, Backends: backends.Backends[:2]},
	} {
		_, err := c.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	c.state.Peers().SetReachable(epoch, ids[2], false)
	c.state.Peers().SetReachable(epoch, ids[1], false)
	c.applyViewAt(epoch.Add(fleet.LapseGrace))
	_, action := c.routePacket(t, ids[0], receivedPacket(4000, flow.Established, 1))
	require.Equal(t, &Reset{Reason: ResetOwnerLost}, action)
}

// Guards against a wrong number of running requests, which the agent infers from the packets
// that it carries.
func TestRunningRequestsAreCountedFromCarriedPackets(t *testing.T) {
	c := newTestCluster(t, 1)
	id := c.ids()[0]
	a := c.agents[id]
	c.open(t, id, 4000)
	require.Equal(t, 1, a.load.Running(), "a new flow must count as a running request")
	request := requestPacket()
	c.routePacket(t, id, request)
	require.Equal(t, 1, a.load.Running())
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), PayloadSize: 1000})
	require.Zero(t, a.load.Running())
	c.routePacket(t, id, request)
	require.Equal(t, 1, a.load.Running(), "the next request on the same flow must be counted")
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), IsFinal: true})
	require.Zero(t, a.load.Running())
}

// All entries lapse while the store is unavailable, though the backend servers still run. They
// must get new flows until the grace period ends, which may be extended.
func TestServersWithLapsedEntriesServeDuringTheGracePeriod(t *testing.T) {
	c := newTestCluster(t, 2)
	ids := c.ids()
	for _, document := range []fleet.Document{&fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}}, &fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}}} {
		_, err := c.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	c.applyViewAt(epoch.Add(fleet.LapseGrace - time.Millisecond))
	c.open(t, ids[0], 4000)
	c.state.ExtendLapseGrace(epoch, epoch.Add(time.Minute))
	c.applyViewAt(epoch.Add(time.Minute - time.Millisecond))
	c.open(t, ids[0], 4001)
	c.applyViewAt(epoch.Add(time.Minute))
	packet := receivedPacket(4002, flow.Opening, 0)
	packet.Placed = true
	_, action := c.routePacket(t, ids[0], packet)
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, action)
}

// The cost of a load report must not grow with the number of siblings, but every sibling must
// receive a report in time.
func TestNumberOfReportRecipientsIsBounded(t *testing.T) {
	c := newTestCluster(t, 60)
	a := c.agents[c.ids()[0]]
	recipients := make(map[fleet.InstanceID]bool)
	for range 40 {
		chosen := a.ReportRecipients()
		require.Len(t, chosen, reportFanout)
		for _, target := range chosen {
			recipients[target.ID()] = true
		}
	}
	require.Len(t, recipients, 59, "all siblings must receive a report eventually")
}

// Guards against an agent that has left and gets new flows again when the platform becomes
// unavailable long after.
func TestEndedGracePeriodIsNotRevivedByAnOutage(t *testing.T) {
	c := newTestCluster(t, 2)
	for _, document := range []fleet.Document{&fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}}, &fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}}} {
		_, err := c.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	confirmedAt := epoch.Add(fleet.LapseGrace)
	c.state.ExtendLapseGrace(confirmedAt, epoch.Add(time.Minute))
	_, found := c.state.NextGraceEnd(confirmedAt)
	require.False(t, found)
	c.state.ExtendLapseGrace(confirmedAt.Add(-time.Millisecond), epoch.Add(time.Minute))
	_, found = c.state.NextGraceEnd(confirmedAt)
	require.True(t, found, "an entry that was missing for less than the grace period when the platform became unavailable may have lapsed")
}

// Guards against a sibling that seems busier with each flow that was not handed over to it.
func TestOnlyHandOversThatHappenAreCounted(t *testing.T) {
	c := newTestCluster(t, 2)
	ids := c.ids()
	a := c.agents[ids[0]]
	a.HandleReport(settledAt, ids[1], Report{Limit: slots, MaxOwned: 9})
	service := a.view.Service(orders)
	for range 5 {
		require.NotNil(t, a.leastLoadedSibling(settledAt, service.Candidates, flowOf(4000), ids[:1]))
	}
	report, _ := a.latestReport(settledAt, ids[1])
	require.Zero(t, report.Running)
	a.Drain()
	require.IsType(t, &Forward{}, a.Receive(settledAt, receivedPacket(4000, flow.Opening, 0)))
	report, _ = a.latestReport(settledAt, ids[1])
	require.EqualValues(t, 1, report.Running)
}
