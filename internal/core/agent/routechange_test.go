package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// archiveLabels are the labels of the backend servers that the service orders selects besides
// its own until the operator changes it.
var archiveLabels = map[string]string{"app": "archive"}

// newSharedCluster returns a cluster whose service orders selects the servers of orders, b0 and
// b1, and those of the archive, b2 and b3.
func newSharedCluster(t require.TestingT) *testCluster { return newSharedClusterOf(t, 4) }

// newSharedClusterOf returns a cluster like newSharedCluster with a number of agents: all but b0
// and b1 are the archive's.
func newSharedClusterOf(t require.TestingT, agents int) *testCluster {
	c := newTestCluster(t, agents)
	_, backends, _ := c.state.Documents()
	next := &fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}, Backends: append([]fleet.Backend(nil), backends.Backends...)}
	for i := range next.Backends[2:] {
		next.Backends[2+i].Labels = archiveLabels
	}
	_, err := c.state.Apply(epoch, next)
	require.NoError(t, err)
	for _, id := range c.ids()[2:] {
		c.agents[id].SetLabels(archiveLabels)
	}
	c.selectApps(t, c.state, 3, "orders", "archive")
	c.applyView()
	return c
}

// selectApps publishes that orders selects the servers of some apps.
func (c *testCluster) selectApps(t require.TestingT, state *fleet.State, revision uint64, apps ...string) {
	services, _, _ := state.Documents()
	next := &fleet.ServicesDocument{Revision: fleet.Revision{Number: revision}, Services: append([]fleet.Service(nil), services.Services...)}
	next.Services[0].Selectors = map[string]fleet.Selector{"north": {"app": apps}}
	_, err := state.Apply(settledAt, next)
	require.NoError(t, err)
}

// openAtArchive opens a flow at one of the archive's servers and returns its owner.
func (c *testCluster) openAtArchive(t require.TestingT, port uint16) fleet.InstanceID {
	owner := c.ids()[2]
	opening := receivedPacket(port, flow.Opening, 0)
	opening.Placed = true
	found, action := c.routePacket(t, owner, opening)
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, owner, found)
	_, action = c.routePacket(t, owner, receivedPacket(port, flow.Established, c.backends[owner].token))
	require.IsType(t, &Deliver{}, action)
	return owner
}

// The operator takes servers out of a service on which long flows are open, in one change or
// in several. Packets of the flows must find their server from every agent, while new flows
// stay away.
func TestFlowsStayWhereTheyAreWhenAServiceChangesItsServers(t *testing.T) {
	for name, changes := range map[string][][]string{
		"once":        {{"orders"}},
		"by turns":    {{"orders"}, {"orders", "archive"}, {"orders"}},
		"in sequence": {{"archive"}, {"other"}, {"orders"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSharedCluster(t)
			owner := c.openAtArchive(t, 4000)
			for i, apps := range changes {
				c.selectApps(t, c.state, uint64(4+i), apps...)
			}
			c.applyViewAt(settledAt)
			for _, id := range c.ids() {
				c.requireFound(t, id, receivedPacket(4000, flow.Established, 77), owner)
				accepted, _ := c.routePacket(t, id, receivedPacket(4001, flow.Opening, 0))
				require.NotContains(t, c.ids()[2:], accepted, "a new flow must not go to a server that is not selected")
			}
		})
	}
}

// The operator moves a service on and on, within the lifetime of a flow, and then the agent that owns
// the flow restarts: its server holds the flow, but no agent's record names it any more. Guards
// against resets of the flow because a service remembers only a few of its former selectors.
func TestFlowsAreFoundHoweverOftenTheirServiceMoves(t *testing.T) {
	for name, appOf := range map[string]func(move int) string{
		"between two places":    func(move int) string { return []string{"orders", "other"}[move%2] },
		"to new places":         func(move int) string { return fmt.Sprint("place-", move) },
		"back to the same ones": func(move int) string { return []string{"orders", "other", "archive"}[move%3] },
	} {
		t.Run(name, func(t *testing.T) {
			const moves = 100
			c := newSharedCluster(t)
			owner := c.openAtArchive(t, 4000)
			for move := range moves {
				c.selectApps(t, c.state, uint64(4+move), appOf(move))
			}
			c.selectApps(t, c.state, 4+moves, "orders")
			c.state.StartHistory(settledAt.Add(-time.Hour))
			fresh := c.stateWithoutHistory(t)
			require.True(t, fresh.MergeHistory(settledAt, c.state.History(settledAt)))
			c.applyViewAt(settledAt)
			c.restart(owner)
			c.agents[owner].ApplyView(fresh.View(settledAt))
			c.agents[owner].Start(settledAt.Add(-time.Second))
			for _, id := range c.ids() {
				c.requireFound(t, id, receivedPacket(4000, flow.Established, 77), owner)
			}
		})
	}
}

// Agents that start after the change have never seen the service's earlier servers. The owner
// may have started too: its server holds the flow, but it does not know that.
func TestAgentsThatStartAfterTheChangeFindTheFlow(t *testing.T) {
	for name, restarted := range map[string]int{"selected agents": 2, "all agents": 4} {
		t.Run(name, func(t *testing.T) {
			c := newSharedCluster(t)
			owner := c.openAtArchive(t, 4000)
			c.selectApps(t, c.state, 4, "orders")
			c.applyViewAt(settledAt)
			c.restartWithoutHistory(t, c.ids()[:restarted])
			for _, id := range c.ids() {
				c.requireFound(t, id, receivedPacket(4000, flow.Established, 77), owner)
			}
		})
	}
}

// A route moves to another service, no other route names its earlier one, and then all agents are
// killed at once. Guards against a search that leaves out the agents of servers that no service
// selects any more, and against newcomers that do not probe them.
func TestFlowsAtServersThatNoServiceSelectsAreFoundAfterAllAgentsRestart(t *testing.T) {
	c := newSharedCluster(t)
	services, _, _ := c.state.Documents()
	_, err := c.state.Apply(settledAt, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 4}, Services: services.Services[:1]})
	require.NoError(t, err)
	c.applyViewAt(settledAt)
	owner := c.openAtArchive(t, 4000)
	c.selectApps(t, c.state, 5, "orders")
	c.applyViewAt(settledAt)
	c.restartWithoutHistory(t, c.ids())
	for _, id := range c.ids() {
		c.requireFound(t, id, receivedPacket(4000, flow.Established, 77), owner)
	}
}

// The same must hold in a fleet of any size: the flow is found or, where the search of all agents
// would cost too much, at least not denied. After a restart of everything hundreds of flows are
// searched at once, and the datagrams that leave the service must stay within their limit.
func TestFlowsAtFormerServersAreNotDeniedInAFleetOfAnySize(t *testing.T) {
	for _, agents := range []int{68, 136, 512} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			c := newSharedClusterOf(t, agents)
			owner := c.openAtArchive(t, 4000)
			c.selectApps(t, c.state, 4, "orders")
			c.applyViewAt(settledAt)
			c.restartWithoutHistory(t, c.ids())
			c.requireFound(t, c.ids()[0], receivedPacket(4000, flow.Established, 77), owner)

			a := c.agents[c.ids()[0]]
			var polled, dropped int
			for port := range uint16(2 * outsiderBurst) {
				packet := receivedPacket(5000+port, flow.Established, 77)
				packet.Visited, packet.LookedUp, packet.Evidence = c.ids()[1:2], true, deniedBy(c.ids()[1])
				switch action := a.ResumeAfterLookup(settledAt, packet).(type) {
				case *Hold:
				case *Forward:
					polled++
				case *Drop:
					require.Equal(t, DropSearchLimit, action.Reason)
					dropped++
				default:
					require.Fail(t, "a flow must not be denied before all agents were searched")
				}
			}
			for _, state := range a.polls {
				polled += len(state.awaiting) + len(state.remaining)
			}
			require.LessOrEqual(t, polled, outsiderBurst)
			require.Positive(t, dropped)
		})
	}
}

// An agent that starts while others know the service's former servers takes them over, and then
// neither searches nor probes the rest of the fleet.
func TestNewcomersTakeFormerSelectorsOverFromPeers(t *testing.T) {
	c := newSharedClusterOf(t, 136)
	owner := c.openAtArchive(t, 4001)
	c.selectApps(t, c.state, 4, "orders")
	c.applyViewAt(settledAt)
	c.state.StartHistory(settledAt.Add(-time.Hour))
	fresh := c.stateWithoutHistory(t)
	require.True(t, fresh.View(settledAt).LacksHistory(settledAt))
	require.True(t, fresh.MergeHistory(settledAt, c.state.History(settledAt)))
	view := fresh.View(settledAt)
	require.False(t, view.LacksHistory(settledAt))
	require.NotNil(t, view.Service(orders).Target(owner), "the former server must be a candidate")
	require.True(t, view.Service(orders).Target(owner).IsResidual())
	require.False(t, fresh.MergeHistory(settledAt, c.state.History(settledAt)), "nothing is left to learn")

	other := c.stateWithoutHistory(t)
	c.selectApps(t, other, 5, "archive")
	require.False(t, other.MergeHistory(settledAt, c.state.History(settledAt)), "a change between the two documents may be known to neither")
}

// restartWithoutHistory restarts agents which then know only the documents in force.
func (c *testCluster) restartWithoutHistory(t require.TestingT, ids []fleet.InstanceID) {
	fresh := c.stateWithoutHistory(t)
	for _, id := range ids {
		c.restart(id)
		c.agents[id].ApplyView(fresh.View(settledAt))
		c.agents[id].Start(settledAt.Add(-time.Second))
	}
}

// stateWithoutHistory returns the state of a process that has just started and holds only the
// documents in force.
func (c *testCluster) stateWithoutHistory(t require.TestingT) *fleet.State {
	fresh := fleet.NewState()
	fresh.StartHistory(settledAt.Add(-time.Second))
	services, backends, instances := c.state.Documents()
	for _, document := range []fleet.Document{services, backends, instances} {
		_, err := fresh.Apply(settledAt, document)
		require.NoError(t, err)
	}
	return fresh
}

// After a loss of power a machine stays away with the servers of another service. Its siblings
// suspect it; packets of dead flows must not be lost there, each one until its caller gives up.
func TestNewcomersDoNotSendPacketsToSuspectedAgentsOfOtherServices(t *testing.T) {
	c := newSharedCluster(t)
	c.selectApps(t, c.state, 4, "orders")
	ids := c.ids()
	c.restartWithoutHistory(t, ids[:1])
	receive := func() Action {
		packet := receivedPacket(4000, flow.Established, 77)
		packet.Visited, packet.LookedUp, packet.Evidence = []fleet.InstanceID{ids[1], ids[3]}, true, deniedBy(ids[0], ids[1], ids[3])
		return c.agents[ids[0]].ResumeAfterLookup(settledAt, packet)
	}
	a := c.agents[ids[0]]
	require.IsType(t, &Hold{}, receive(), "a newcomer must search the agents of other services")
	polls, _ := a.Polls(settledAt)
	require.Len(t, polls, 1)
	require.Len(t, polls[0].Targets, 1)
	require.Equal(t, ids[2], polls[0].Targets[0].ID())
	clear(a.polls)

	suspecting := c.stateWithoutHistory(t)
	suspecting.Peers().Merge(settledAt, fleet.PeerRecord{ID: ids[2], Incarnation: 9, Suspected: true})
	a.ApplyView(suspecting.ViewSettledAt(settledAt, settledAt))
	require.Equal(t, &Drop{Reason: DropSearchIncomplete}, receive(), "a suspected agent may own the flow")
}
