package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// The loads replayed here come from callers of two data centres at once, whose packets enter at
// the balancers there: calm, with a data centre whose servers are all taken, and with servers
// that are busy for long.

var northBalancer = fleet.InstanceIDOf("balancer-north")

// newNearCluster returns a cluster of agents that place flows near, b0 and so on. Those with an
// even number are in the data centre north, the others in south.
func newNearCluster(t require.TestingT, targets int) *testCluster {
	c := newTestCluster(t, targets)
	services, backends, instances := c.state.Documents()
	nextServices := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 2}, Services: append([]fleet.Service(nil), services.Services...)}
	nextServices.Services[0].Selectors = map[string]fleet.Selector{fleet.AnyDataCentre: {"app": {"orders"}}}
	nextBackends := &fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}, Backends: append([]fleet.Backend(nil), backends.Backends...)}
	nextInstances := &fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}, Instances: append([]fleet.Instance(nil), instances.Instances...)}
	for i := 1; i < targets; i += 2 {
		nextBackends.Backends[i].DataCentre = "south"
		nextInstances.Instances[i].DataCentre = "south"
	}
	nextInstances.Instances = append(nextInstances.Instances, fleet.Instance{
		Name: "balancer-north", Role: fleet.RoleBalancer, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
	})
	for _, document := range []fleet.Document{nextServices, nextBackends, nextInstances} {
		_, err := c.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	for i, id := range c.ids() {
		a := c.agents[id]
		a.config.Placement, a.config.PlacesNear = HandOverWhenFull{}, true
		if i%2 == 1 {
			a.config.DataCentre = "south"
		}
	}
	c.applyView()
	return c
}

// report delivers to an agent the load reports of all other agents, by the number of their
// requests.
func (c *testCluster) report(to *Agent, running func(dataCentre string) Report) {
	for target := range to.view.Targets() {
		if target.ID() != to.config.Self {
			to.HandleReport(settledAt, target.ID(), running(target.DataCentre()))
		}
	}
}

// takeSlots takes all slots of an agent's backend server.
func takeSlots(a *Agent) {
	for range slots {
		a.load.start(settledAt)
	}
}

// openingFrom returns the opening packet of a flow that a balancer received.
func openingFrom(origin fleet.InstanceID, port uint16) *ReceivedPacket {
	packet := receivedPacket(port, flow.Opening, 0)
	packet.Origin = origin
	packet.Revision = fleet.Revision{Number: 2}
	return packet
}

func freeReport(string) Report { return Report{Limit: slots, MaxOwned: 100} }

// fullIn returns reports in which the servers of a data centre have no free slot.
func fullIn(dataCentre string) func(string) Report {
	return func(at string) Report {
		if at == dataCentre {
			return Report{Running: slots, Limit: slots, MaxOwned: 100}
		}
		return freeReport(at)
	}
}

// A flow that meets a full server goes to another one in the data centre that it enters, and
// leaves it only when no server there is known to have room: waiting would cost its caller more
// than the way.
func TestFlowsLeaveTheirDataCentreOnlyWhenItIsFull(t *testing.T) {
	for name, test := range map[string]struct {
		reports func(string) Report
		want    string
	}{
		"room near":    {freeReport, "north"},
		"room far":     {fullIn("north"), "south"},
		"full far":     {fullIn("south"), "north"},
		"16 of each":   {freeReport, "north"},
		"unequal load": {func(at string) Report { return Report{Running: uint32(len(at) % 2), Limit: slots, MaxOwned: 100} }, "north"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newNearCluster(t, 32)
			a := c.agents[c.ids()[0]]
			takeSlots(a)
			for port := range uint16(20) {
				c.report(a, test.reports)
				forward, ok := a.Receive(settledAt, openingFrom(northBalancer, 4000+port)).(*Forward)
				require.True(t, ok)
				require.Equal(t, test.want, forward.Target.DataCentre())
			}
		})
	}
}

// Long flows stay where they are placed, so a busy data centre must hand some of its new flows to
// less busy ones before requests queue. A difference between servers that are mostly idle moves
// none.
func TestBusyServersHandNewFlowsToOtherDataCentres(t *testing.T) {
	for _, test := range []struct {
		name        string
		utilisation float64
		want        map[string]bool
	}{
		{"idle", nearUtilisation - 0.1, map[string]bool{"north": true}},
		{"busy", nearUtilisation + 0.3, map[string]bool{"north": true, "south": true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newNearCluster(t, 32)
			a := c.agents[c.ids()[0]]
			reached := make(map[string]bool)
			for port := range uint16(60) {
				c.report(a, func(at string) Report {
					if at == "north" {
						return Report{Limit: slots, MaxOwned: 1000, Utilisation: uint16(test.utilisation * perMille)}
					}
					return Report{Limit: slots, MaxOwned: 1000, Utilisation: 50}
				})
				a.utilisation = test.utilisation + 0.05
				a.config.MaxFlows, a.load.running = 1000, 0
				switch action := a.Receive(settledAt, openingFrom(northBalancer, 4000+port)).(type) {
				case *Forward:
					reached[action.Target.DataCentre()] = true
				case *Deliver:
					reached["north"] = true
				}
			}
			require.Equal(t, test.want, reached)
		})
	}
}

// A weight only shares out the flows of one data centre, so its reference are the servers there.
func TestWeightFollowsTheServersOfTheDataCentre(t *testing.T) {
	c := newNearCluster(t, 8)
	a := c.agents[c.ids()[0]]
	a.utilisation = 0.4
	c.report(a, func(at string) Report {
		utilisation := map[string]uint16{"north": 400, "south": 50}[at]
		return Report{Limit: slots, MaxOwned: 100, Utilisation: utilisation}
	})
	for at := settledAt; at.Before(settledAt.Add(reportLifetime)); at = at.Add(500 * time.Millisecond) {
		require.Equal(t, fleet.DefaultWeight, a.UpdateWeight(at), "servers elsewhere that are less busy must not lower the weight")
	}
}

// Reports go mostly to where flows may be handed over: to siblings of the data centre, and to a
// few others for the moment when it is full.
func TestMostReportsStayInTheDataCentre(t *testing.T) {
	for _, size := range []int{60, 136, 512} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newNearCluster(t, size)
			near, far := make(map[fleet.InstanceID]bool), make(map[fleet.InstanceID]bool)
			a := c.agents[c.ids()[0]]
			for range 4 * size {
				chosen := a.ReportRecipients()
				require.Len(t, chosen, reportFanout)
				count := 0
				for _, target := range chosen {
					if target.DataCentre() == "north" {
						near[target.ID()] = true
						continue
					}
					far[target.ID()] = true
					count++
				}
				require.Equal(t, farReportFanout, count)
			}
			require.Len(t, near, size/2-1)
			require.Len(t, far, size/2)
		})
	}
}

// After a restart of all agents nobody knows the owners. Few of a fleet's servers must be asked
// for a flow that stayed in the data centre that it entered.
func TestFlowPlacedNearIsFoundAmongItsPlacementCandidatesAfterRestarts(t *testing.T) {
	c := newNearCluster(t, 136)
	for port := uint16(4000); port < 4020; port++ {
		service := c.agents[c.ids()[0]].view.Service(orders)
		primary := service.Near("north").Primary(flowOf(port).Hash())
		require.Equal(t, "north", primary.DataCentre())
		owner := c.open(t, primary.ID(), port)
		for _, id := range c.ids() {
			dataCentre := c.agents[id].config.DataCentre
			c.restart(id)
			a := c.agents[id]
			a.config.DataCentre, a.config.PlacesNear = dataCentre, true
		}
		start := service.Registrars(flowOf(port).Hash())[0].ID()
		packet := openingFrom(northBalancer, port)
		packet.Packet = receivedPacket(port, flow.Established, c.backends[owner].token).Packet
		c.forwardCount = 0
		found, action := c.routePacket(t, start, packet)
		require.IsType(t, &Deliver{}, action)
		require.Equal(t, owner, found)
		require.LessOrEqual(t, c.forwardCount, fleet.RegistrarCount+fleet.MaxPlacementCandidates)
	}
}
