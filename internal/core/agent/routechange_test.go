package agent

import (
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
func newSharedCluster(t require.TestingT) *testCluster {
	c := newTestCluster(t, 4)
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
				found, action := c.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
				require.IsType(t, &Deliver{}, action)
				require.Equal(t, owner, found)
				accepted, _ := c.routePacket(t, id, receivedPacket(4001, flow.Opening, 0))
				require.NotContains(t, c.ids()[2:], accepted, "a new flow must not go to a server that is not selected")
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
				found, action := c.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
				require.IsType(t, &Deliver{}, action)
				require.Equal(t, owner, found)
			}
		})
	}
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

// stateWithoutHistory returns a state that holds only the documents in force.
func (c *testCluster) stateWithoutHistory(t require.TestingT) *fleet.State {
	fresh := fleet.NewState()
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
		packet.Visited, packet.LookedUp = []fleet.InstanceID{ids[1], ids[3]}, true
		return c.agents[ids[0]].ResumeAfterLookup(settledAt, packet)
	}
	forward, ok := receive().(*Forward)
	require.True(t, ok, "a newcomer must search the agents of other services")
	require.Equal(t, ids[2], forward.Target.ID())

	suspecting := c.stateWithoutHistory(t)
	suspecting.Peers().Merge(settledAt, fleet.PeerRecord{ID: ids[2], Incarnation: 9, State: fleet.PeerSuspect})
	c.agents[ids[0]].ApplyView(suspecting.ViewSettledAt(settledAt, settledAt))
	require.Equal(t, &Reset{Reason: ResetUnowned}, receive())
}
