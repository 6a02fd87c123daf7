package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// setBackendStarts publishes when the backend servers started.
func (c *testCluster) setBackendStarts(t require.TestingT, at time.Time) {
	c.changeBackends(t, func(backend *fleet.Backend) { backend.StartedAt = at })
}

// setBoots publishes the boot ID of the backend servers.
func (c *testCluster) setBoots(t require.TestingT, id string) {
	c.changeBackends(t, func(backend *fleet.Backend) { backend.BootID = id })
}

// changeBackends publishes the backend servers with a change, and applies the view.
func (c *testCluster) changeBackends(t require.TestingT, change func(*fleet.Backend)) {
	_, backends, _ := c.state.Documents()
	next := &fleet.BackendsDocument{Revision: fleet.Revision{Number: backends.Number + 1}}
	for _, backend := range backends.Backends {
		change(&backend)
		next.Backends = append(next.Backends, backend)
	}
	_, err := c.state.Apply(epoch, next)
	require.NoError(t, err)
	c.applyView()
}

// startAgents records the start of all agents.
func (c *testCluster) startAgents(at time.Time) {
	for _, a := range c.agents {
		a.Start(at)
	}
}

// referredPacket returns a packet that was referred already, so that it goes to no registrar.
func referredPacket(port uint16) *ReceivedPacket {
	packet := receivedPacket(port, flow.Established, 77)
	packet.Referred = true
	return packet
}

// Everything has restarted, and the packets of many flows that no agent owns arrive at once. One
// query per agent and group of flows must be enough to reset all of them.
func TestUnownedFlowsAreResetAfterOneQueryRound(t *testing.T) {
	const targets, flows = 40, 200
	c := newTestCluster(t, targets)
	c.startAgents(epoch)
	c.setBackendStarts(t, epoch.Add(time.Second))
	a := c.agents[c.ids()[0]]
	for port := range uint16(flows) {
		require.IsType(t, &Hold{}, a.Receive(settledAt, referredPacket(1024+port)))
	}
	due, pending := a.NextLookupTime(settledAt)
	require.True(t, pending)
	queries := a.OwnershipQueries(due)
	require.Len(t, queries, (targets-1)*((flows+maxQueryFlows-1)/maxQueryFlows), "there must be one query for each agent and group of flows")
	var results []LookupResult
	for _, query := range queries {
		reply := c.agents[query.Target.ID()].AnswerOwnershipQuery(due, query.Round, query.Flows)
		require.True(t, reply.KnowsAllFlows)
		results = append(results, a.HandleOwnershipReply(due, query.Target.Process(), reply)...)
	}
	require.Len(t, results, flows)
	for _, result := range results {
		packet := receivedPacket(result.Flow.Caller().Port(), flow.Established, 1)
		packet.Evidence = packet.Evidence.WithOwnDenial()
		recordResult(packet, result)
		require.Equal(t, &Reset{Reason: ResetUnowned}, a.ResumeAfterLookup(settledAt, packet))
	}
	_, pending = a.NextLookupTime(settledAt)
	require.False(t, pending)
}

// An agent may deny that it owns a flow only if it has carried every flow of its backend server
// since the server started.
func TestAgentKnowsAllFlowsOfAServerThatStartedWithIt(t *testing.T) {
	for _, test := range []struct {
		name    string
		started time.Duration
		knows   bool
	}{
		{"long before the agent", -time.Minute, false},
		{"a moment before the agent", -time.Millisecond, false},
		{"with the agent", 0, true},
		{"after the agent", time.Second, true},
		{"in the future, since the clock has stepped", time.Hour, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCluster(t, 1)
			a := c.agents[c.ids()[0]]
			c.startAgents(settledAt)
			require.False(t, a.KnowsAllFlows(settledAt), "an agent cannot know all flows while the view has no start time")
			c.setBackendStarts(t, settledAt.Add(test.started))
			require.Equal(t, test.knows, a.KnowsAllFlows(settledAt.Add(2*time.Second)))
			require.Equal(t, test.knows, a.KnowsAllFlows(settledAt.Add(2*time.Hour)), "a start that was in the future must not count once the clock has passed it")
		})
	}
}

// A server starts, takes a flow, and its agent is killed and back within a second of the server's
// start. Guards against a denial of the flow by the agent's new process, which other agents would
// take for a proof that no agent owns it.
func TestAgentRestartedSoonAfterItsServerDeniesNoFlow(t *testing.T) {
	for _, age := range []time.Duration{time.Millisecond, 350 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(age.String(), func(t *testing.T) {
			c := newTestCluster(t, 4)
			c.startAgents(epoch)
			c.setBackendStarts(t, epoch.Add(time.Second))
			owner := c.open(t, c.ids()[0], 4000)
			c.restart(owner)
			c.agents[owner].Start(epoch.Add(time.Second + age))
			for _, id := range c.ids() {
				c.requireFound(t, id, receivedPacket(4000, flow.Established, 77), owner)
			}
		})
	}
}

// Guards against the denial of flows that the server held before the agent started: its first
// packet of such a flow shows that there may be others.
func TestAgentThatAdoptsAFlowDoesNotKnowAllFlows(t *testing.T) {
	c := newTestCluster(t, 1)
	a := c.agents[c.ids()[0]]
	c.startAgents(settledAt)
	c.setBackendStarts(t, settledAt)
	require.True(t, a.KnowsAllFlows(settledAt))
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), PayloadSize: 10})
	require.False(t, a.KnowsAllFlows(settledAt))
}

// An agent does not reply to a query in time. The packet must then visit it, since it may own
// the flow.
func TestPacketVisitsAgentsWhoseRepliesAreLate(t *testing.T) {
	c := newTestCluster(t, 3)
	c.startAgents(epoch)
	c.setBackendStarts(t, epoch.Add(time.Second))
	ids := c.ids()
	owner := c.open(t, ids[0], 4000)
	querier := c.agents[agentOtherThan(ids, owner)]
	packet := referredPacket(4000)
	require.IsType(t, &Hold{}, querier.Receive(settledAt, packet))
	due, _ := querier.NextLookupTime(settledAt)
	for _, query := range querier.OwnershipQueries(due) {
		if query.Target.ID() != owner {
			reply := c.agents[query.Target.ID()].AnswerOwnershipQuery(due, query.Round, query.Flows)
			require.Empty(t, querier.HandleOwnershipReply(due, query.Target.Process(), reply))
		}
	}
	require.Empty(t, querier.ExpireLookups(due.Add(lookupTimeout-time.Millisecond)))
	results := querier.ExpireLookups(due.Add(lookupTimeout))
	require.Len(t, results, 1)
	require.Nil(t, results[0].Owner)
	require.Len(t, results[0].DeniedBy, 1)
	require.Equal(t, []fleet.InstanceID{owner}, results[0].Silent)
	recordResult(packet, results[0])
	require.IsType(t, &Hold{}, querier.ResumeAfterLookup(settledAt, packet))
	polls, _ := querier.Polls(settledAt)
	require.Len(t, polls, 1)
	require.Len(t, polls[0].Targets, 1)
	require.Equal(t, owner, polls[0].Targets[0].ID())
}

// Copies of an opening packet create half-open flows at two backend servers, and a packet
// confirms neither. The search must end in a reset instead of going back and forth between
// the two.
func TestUnconfirmedHalfOpenFlowsDoNotPreventTheReset(t *testing.T) {
	c := newTestCluster(t, 3)
	c.startAgents(epoch)
	c.setBackendStarts(t, epoch.Add(time.Second))
	for _, id := range c.ids()[:2] {
		packet := receivedPacket(4000, flow.Opening, 0)
		packet.Placed = true
		_, action := c.routePacket(t, id, packet)
		require.IsType(t, &Deliver{}, action)
	}
	for _, id := range c.ids() {
		_, action := c.routePacket(t, id, receivedPacket(4000, flow.Established, 9999))
		require.Equal(t, &Reset{Reason: ResetUnowned}, action)
	}
}

// Guards against lookups and polls without limit: beyond the limit of lookups the agents are polled,
// and beyond that of polls packets are forwarded instead of held.
func TestLookupsAreBounded(t *testing.T) {
	c := newTestCluster(t, 2)
	c.startAgents(epoch)
	c.setBackendStarts(t, epoch.Add(time.Second))
	a := c.agents[c.ids()[0]]
	for port := range uint16(maxLookups) {
		require.IsType(t, &Hold{}, a.Receive(settledAt, referredPacket(1024+port)))
	}
	require.Empty(t, a.polls)
	for port := range uint16(maxPolls) {
		require.IsType(t, &Hold{}, a.Receive(settledAt, referredPacket(1024+maxLookups+port)))
	}
	require.Len(t, a.lookups.flows, maxLookups)
	require.Len(t, a.polls, maxPolls)
	require.IsType(t, &Forward{}, a.Receive(settledAt, referredPacket(1023)), "beyond maxPolls the packet must be forwarded")
}
