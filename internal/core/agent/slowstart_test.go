package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// setSlowStart publishes the cold start rate of the services, in new flows per second, and the
// boot ID and the remaining cold start time of all backend servers.
func (c *testCluster) setSlowStart(t require.TestingT, rate float64, boot string, coldStartRemaining time.Duration) {
	services, backends, _ := c.state.Documents()
	changed := &fleet.ServicesDocument{Revision: fleet.Revision{Number: services.Number + 1}}
	for _, service := range services.Services {
		service.ColdStartRate = rate
		changed.Services = append(changed.Services, service)
	}
	listed := &fleet.BackendsDocument{Revision: fleet.Revision{Number: backends.Number + 1}}
	for _, backend := range backends.Backends {
		backend.BootID, backend.ColdStartRemaining = boot, coldStartRemaining
		listed.Backends = append(listed.Backends, backend)
	}
	for _, document := range []fleet.Document{changed, listed} {
		_, err := c.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	c.applyView()
}

// countAccepted offers new flows to an agent at a constant rate and returns how many of them it
// delivers.
func (c *testCluster) countAccepted(at fleet.InstanceID, begin time.Time, duration time.Duration, perSecond int, port uint16) int {
	accepted := 0
	step := time.Second / time.Duration(perSecond)
	for now := begin; now.Before(begin.Add(duration)); now = now.Add(step) {
		port++
		packet := receivedPacket(port, flow.Opening, 0)
		packet.Placed = true
		if _, delivered := c.agents[at].Receive(now, packet).(*Deliver); delivered {
			accepted++
		}
	}
	return accepted
}

// Guards against overload of a backend server in slow start by new flows: one that is listed as
// cold, and one that must be assumed cold because its agent has just started.
func TestNewFlowsOfAColdServerAreRateLimited(t *testing.T) {
	const coldStartRate, tolerance, slack = 10, 1.5, 5
	tests := map[string]func(a *Agent){
		"listed as cold":       func(*Agent) {},
		"agent just restarted": func(a *Agent) { a.Start(settledAt) },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 1)
			id := c.ids()[0]
			c.agents[id].config.MaxFlows = 1000
			coldStartRemaining := 2 * time.Second
			if name != "listed as cold" {
				coldStartRemaining = 0
			}
			c.agents[id].Start(settledAt.Add(-time.Hour))
			c.setSlowStart(t, coldStartRate, "boot 1", coldStartRemaining)
			prepare(c.agents[id])
			accepted := c.countAccepted(id, settledAt, time.Second, 200, 5000)
			require.LessOrEqual(t, float64(accepted), coldStartRate*tolerance+slack)
			require.Positive(t, accepted)
			accepted = c.countAccepted(id, settledAt.Add(4*time.Second), time.Second, 200, 9000)
			require.Equal(t, 200, accepted, "new flows must not be limited after slow start")
		})
	}
}

// A service selects servers of two kinds, of which one bears less in its cold start. Guards against a
// cold server that gets the rate of the other kind, and falls over.
func TestColdServerGetsTheRateOfItsOwnKind(t *testing.T) {
	const ordersRate, archiveRate, tolerance, slack = 60, 6, 1.5, 5
	rates := []fleet.ColdStartRate{
		{Selector: fleet.Selector{"app": {"orders"}}, Rate: ordersRate},
		{Selector: fleet.Selector{"app": {"archive"}}, Rate: archiveRate},
	}
	c := newSharedCluster(t)
	services, _, _ := c.state.Documents()
	changed := &fleet.ServicesDocument{Revision: fleet.Revision{Number: services.Number + 1}, Services: append([]fleet.Service(nil), services.Services...)}
	changed.Services[0].ColdStartRates = rates
	_, err := c.state.Apply(epoch, changed)
	require.NoError(t, err)
	c.applyView()
	for id, rate := range map[fleet.InstanceID]float64{c.ids()[0]: ordersRate, c.ids()[2]: archiveRate} {
		c.agents[id].config.MaxFlows = 1000
		c.agents[id].Start(settledAt)
		accepted := float64(c.countAccepted(id, settledAt, time.Second, 200, 5000))
		require.LessOrEqual(t, accepted, rate*tolerance+slack)
		require.GreaterOrEqual(t, accepted, rate-1)
	}
}

// A bounced packet of an open flow shows that the backend server has restarted, even if the
// backends document does not report the restart yet.
func TestServerThatLostItsFlowsIsAssumedCold(t *testing.T) {
	c := newTestCluster(t, 1)
	id := c.ids()[0]
	c.agents[id].Start(settledAt.Add(-time.Hour))
	c.setSlowStart(t, 10, "boot 1", 0)
	c.open(t, id, 4000)
	require.True(t, c.agents[id].slowStart.Allows(settledAt, 10))
	c.backends[id].open = make(map[flow.ID]bool)
	c.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
	require.True(t, c.agents[id].slowStart.IsCold(settledAt))
}

// An agent that has just started assumes that its backend server is cold. A packet of an older
// flow shows that the server is not.
func TestServerThatKeptItsFlowsIsNotAssumedCold(t *testing.T) {
	c := newTestCluster(t, 1)
	id := c.ids()[0]
	c.open(t, id, 4000)
	c.restart(id)
	c.agents[id].Start(settledAt)
	require.True(t, c.agents[id].slowStart.IsCold(settledAt))
	c.agents[id].HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), PayloadSize: 100})
	require.False(t, c.agents[id].slowStart.IsCold(settledAt))
}

// Guards against the cold start of an earlier server that limits the new flows of its successor.
func TestColdStartOfAnEarlierBootEndsWithIt(t *testing.T) {
	c := newTestCluster(t, 1)
	a := c.agents[c.ids()[0]]
	c.setSlowStart(t, 1, "first", 10*time.Second)
	c.setSlowStart(t, 1, "second", 0)
	require.False(t, a.slowStart.IsCold(settledAt))
}
