package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// newProbedFleet returns the controller of the agent orders-0, in a fleet with a number of
// servers of each of two services.
func newProbedFleet(servers int) *Controller {
	self := fleet.InstanceIDOf("orders-0")
	c := New(epoch, Config{Self: self, Incarnation: 1, Role: fleet.RoleAgent, DataCentre: "north"}, rand.New(rand.NewPCG(1, 1)))
	services, backends, instances := &fleet.ServicesDocument{}, &fleet.BackendsDocument{}, &fleet.InstancesDocument{}
	services.Number, backends.Number, instances.Number = 1, 1, 1
	for i, name := range []string{"orders", "patterns"} {
		services.Services = append(services.Services, fleet.Service{
			Name: name, Address: fmt.Sprintf("10.9.0.%d:80", i+1), Protocol: "tcp",
			Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {"app": {name}}},
		})
		for j := range servers {
			server := fmt.Sprintf("%s-%d", name, j)
			backends.Backends = append(backends.Backends, fleet.Backend{Name: server, DataCentre: "north", Labels: map[string]string{"app": name}})
			instances.Instances = append(instances.Instances, fleet.Instance{
				Name: server, Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
			})
		}
	}
	for _, document := range []fleet.Document{backends, instances, services} {
		c.ApplyDocument(epoch, document)
	}
	return c
}

// probed returns the peers that a controller probes within a second.
func probed(c *Controller, from time.Time) map[fleet.InstanceID]bool {
	peers := make(map[fleet.InstanceID]bool)
	for now := from; now.Before(from.Add(time.Second)); now = now.Add(TickInterval) {
		for _, output := range c.Tick(now) {
			if probe, ok := output.(Probe); ok {
				peers[probe.Node.ID()] = true
				c.HandleProbeReply(now, probe.Node.ID(), 1, fleet.DefaultWeight)
			}
		}
	}
	return peers
}

// A newcomer searches the agents of other services, too, so it must know which of them are
// unreachable, in a fleet of any size.
func TestNewcomersProbeAllAgentsThatTheySearch(t *testing.T) {
	other := fleet.InstanceIDOf("patterns-0")
	c := newProbedFleet(2)
	require.Len(t, probed(c, epoch), 3)

	later := epoch.Add(time.Hour)
	c.scheduleRoutingChange(later)
	c.Tick(later)
	peers := probed(c, later)
	require.Len(t, peers, 1, "an agent that is no newcomer probes its siblings")
	require.NotContains(t, peers, other)

	for _, servers := range []int{68, 256} {
		large := newProbedFleet(servers)
		peers := make(map[fleet.InstanceID]bool)
		for second := range 20 {
			maps.Copy(peers, probed(large, epoch.Add(time.Duration(second)*time.Second)))
		}
		require.Len(t, peers, 2*servers-1)
	}
}
