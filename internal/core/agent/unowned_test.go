package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// The tests here bring about searches that find no owner although an agent owns the flow, because
// an agent was left out, was not back yet or could not know. None may end in a reset.

// requireNoReset routes a packet and requires that its caller gets no reset.
func (c *testCluster) requireNoReset(t require.TestingT, at fleet.InstanceID, packet *ReceivedPacket) Action {
	_, action := c.routePacket(t, at, packet)
	require.NotEqual(t, &Reset{Reason: ResetUnowned}, action)
	require.NotEqual(t, &Reset{Reason: ResetOwnerLost}, action)
	return action
}

// Two agents restart at the same moment beside a moved route. The agent that knows the former
// selectors relays a packet through the newcomer that is back first, while the owner is still away.
// Guards against a reset by the newcomer, which knows no former selectors and searches nobody else.
func TestRelayedPacketOfAMovedRouteIsNotResetByANewcomer(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := newSharedCluster(t)
		c.setIdempotent(t, idempotent)
		owner := c.openAtArchive(t, 4000)
		services, _, _ := c.state.Documents()
		c.selectApps(t, c.state, services.Number+1, "orders")
		c.applyViewAt(settledAt)
		newcomer, veteran := c.ids()[1], c.ids()[0]
		fresh := c.stateWithoutHistory(t)
		fresh.Peers().Merge(settledAt, fleet.PeerRecord{ID: owner, Incarnation: 1, State: fleet.PeerLeaving})
		fresh.Peers().SetReachable(settledAt, owner, false)
		c.restart(newcomer)
		c.agents[newcomer].ApplyView(fresh.View(settledAt))
		c.agents[newcomer].Start(settledAt.Add(-15 * time.Millisecond))

		packet := receivedPacket(4000, flow.Established, 77)
		packet.Relayed, packet.LookedUp, packet.FromAgent = true, true, true
		packet.Visited = []fleet.InstanceID{veteran, c.ids()[3]}
		require.Equal(t, &Drop{Reason: DropCandidateUnreachable}, c.requireNoReset(t, newcomer, packet))
	}
}

// All of a service's agents but one are lost for good, and the flow is open at a former server.
// Guards against a newcomer that takes the owner for lost before it has asked the others.
func TestNewcomerAsksAllAgentsBeforeItTakesAnOwnerForLost(t *testing.T) {
	c := newSharedCluster(t)
	c.setIdempotent(t, true)
	owner := c.openAtArchive(t, 4000)
	services, _, _ := c.state.Documents()
	c.selectApps(t, c.state, services.Number+1, "orders")
	c.applyViewAt(settledAt)
	newcomer, lost := c.ids()[0], c.ids()[1]
	fresh := c.stateWithoutHistory(t)
	fresh.Peers().SetReachable(settledAt, lost, false)
	for _, id := range []fleet.InstanceID{newcomer, owner} {
		c.restart(id)
		c.agents[id].ApplyView(fresh.View(settledAt))
		c.agents[id].Start(settledAt.Add(-time.Second))
	}
	c.requireFound(t, newcomer, receivedPacket(4000, flow.Established, 77), owner)
}

// An agent restarts, and a late copy of the opening packet is handed over although the server holds
// the flow. Guards against counting the agent that follows its hand-over as one that has denied the
// flow: it has not asked its server.
func TestAgentThatFollowsAHandOverHasDeniedNothing(t *testing.T) {
	c := newTestCluster(t, 2)
	owner := c.open(t, c.ids()[0], 4000)
	other := agentOtherThan(c.ids(), owner)
	c.restart(owner)
	c.agents[owner].recordHandOver(settledAt, orders, flowOf(4000), other)
	for _, at := range c.ids() {
		c.requireFound(t, at, receivedPacket(4000, flow.Established, 77), owner)
	}
}

// An agent restarts, and a late copy of the opening packet is on its way to the server, which holds
// the flow. Guards against a denial before the server has answered.
func TestAgentDeniesNoFlowWhoseOpeningPacketIsUnanswered(t *testing.T) {
	c := newTestCluster(t, 2)
	owner := c.open(t, c.ids()[0], 4000)
	other := agentOtherThan(c.ids(), owner)
	c.restart(owner)
	a := c.agents[owner]
	opening := receivedPacket(4000, flow.Opening, 0)
	opening.Placed = true
	require.IsType(t, &Deliver{}, a.Receive(settledAt, opening))
	polled := receivedPacket(4000, flow.Established, 77)
	polled.Polled, polled.FromAgent, polled.Sender = true, true, other
	require.IsType(t, &Drop{}, a.Receive(settledAt, polled))
	packet := referredPacket(4000)
	require.IsType(t, &Hold{}, a.Receive(settledAt, packet))
	require.IsType(t, &Hold{}, runLookup(t, c.agents, owner, packet))
	_, action := c.runPoll(t, owner, packet)
	require.Equal(t, &Drop{Reason: DropSearchIncomplete}, action)
}

// An agent denies a flow in a lookup and restarts before the search ends. Guards against a proof
// from what a process said that is gone.
func TestDenialByAnEarlierProcessProvesNothing(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		c := newTestCluster(t, 2)
		c.startAgents(epoch)
		c.setBackendStarts(t, epoch.Add(time.Second))
		ids := c.ids()
		c.state.Peers().Merge(epoch, fleet.PeerRecord{ID: ids[1], Incarnation: 1})
		c.applyView()
		a := c.agents[ids[0]]
		packet := referredPacket(4000)
		require.IsType(t, &Hold{}, a.Receive(settledAt, packet))
		due, _ := a.NextLookupTime(settledAt)
		queries := a.OwnershipQueries(due)
		require.Len(t, queries, 1)
		reply := c.agents[ids[1]].AnswerOwnershipQuery(due, queries[0].Round, queries[0].Flows)
		results := a.HandleOwnershipReply(due, queries[0].Target.Process(), reply)
		require.Len(t, results, 1)
		if restarted {
			c.state.Peers().Merge(settledAt, fleet.PeerRecord{ID: ids[1], Incarnation: 2})
			a.ApplyView(c.state.View(settledAt))
		}
		recordResult(packet, results[0])
		want := Action(&Reset{Reason: ResetUnowned})
		if restarted {
			want = &Drop{Reason: DropSearchIncomplete}
		}
		require.Equal(t, want, a.ResumeAfterLookup(settledAt, packet))
	}
}

// The server of the only other agent does not respond, so that the agent can say nothing about a
// flow. Guards against a packet that is sent there again and again instead of a reset for its caller.
func TestFlowThatOnlyASilentServerMayHoldIsResetOnlyIfRepeatable(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := newTestCluster(t, 2)
		c.setIdempotent(t, idempotent)
		c.applyView()
		ids := c.ids()
		a := c.agents[ids[0]]
		packet := receivedPacket(4000, flow.Established, 77)
		require.IsType(t, &Hold{}, c.lookUp(t, ids[0], packet))
		a.Polls(settledAt)
		results := a.HandleSilenceReport(settledAt, fleet.Process{ID: ids[1]}, flowOf(4000))
		require.Len(t, results, 1)
		recordResult(packet, results[0])
		want := Action(&Drop{Reason: DropCandidateUnreachable})
		if idempotent {
			want = &Reset{Reason: ResetOwnerLost}
		}
		require.Equal(t, want, a.ResumeAfterLookup(settledAt, packet))
	}
}
