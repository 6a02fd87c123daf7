package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
)

// exchangeRegistrations delivers the registrations that are due at all agents, and returns the
// number of flows in them.
func (c *testCluster) exchangeRegistrations(now time.Time) int {
	sent := 0
	for id, a := range c.agents {
		for _, registration := range a.Registrations(now) {
			c.agents[registration.Target.ID()].StoreRegistrations(now, id, registration.Flows)
			sent += len(registration.Flows)
		}
	}
	return sent
}

// afterRegistration is when flows that were opened at settledAt are due for registration.
var afterRegistration = settledAt.Add(registrationDelay)

// Balancers fail, and the packets of their flows arrive at any agent through other balancers
// that have no hints. They must reach the owner with at most two forwards.
func TestRegisteredFlowIsFoundInTwoSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t, rapid.IntRange(2, 40).Draw(t, "agents"))
		ids := c.ids()
		owner := c.open(t, rapid.SampledFrom(ids).Draw(t, "entry"), 4000)
		c.exchangeRegistrations(afterRegistration)
		c.forwardCount = 0
		c.requireFound(t, rapid.SampledFrom(ids).Draw(t, "other entry"), receivedPacket(4000, flow.Established, 77), owner)
		require.LessOrEqual(t, c.forwardCount, 2, "at most one forward to a registrar and one to the owner")
	})
}

// Registrars that restart lose their registrations. A packet that visits one of them must make
// the owner register the flow again.
func TestFlowIsRegisteredAgainWhenItsRegistrarsHaveRestarted(t *testing.T) {
	c := newTestCluster(t, 12)
	ids := c.ids()
	owner := c.open(t, ids[0], 4000)
	require.Positive(t, c.exchangeRegistrations(afterRegistration))
	require.Zero(t, c.exchangeRegistrations(afterRegistration.Add(time.Second)), "a flow must be registered only once before its renewal")
	for _, id := range ids {
		if id != owner {
			c.restart(id)
		}
	}
	found, _ := c.routePacket(t, agentOtherThan(ids, owner), receivedPacket(4000, flow.Established, 77))
	require.Equal(t, owner, found)
	require.Positive(t, c.exchangeRegistrations(afterRegistration.Add(2*time.Second)))
	c.forwardCount = 0
	c.routePacket(t, agentOtherThan(ids, owner), receivedPacket(4000, flow.Established, 78))
	require.LessOrEqual(t, c.forwardCount, 2)
}

// A registrar becomes unreachable. The owner must choose another one before a packet needs it.
func TestFlowIsRegisteredElsewhereWhenARegistrarFails(t *testing.T) {
	c := newTestCluster(t, 12)
	owner := c.open(t, c.ids()[0], 4000)
	c.exchangeRegistrations(afterRegistration)
	registrars := c.agents[owner].view.Service(fleet.ServiceIDOf("orders")).Registrars(flowOf(4000).Hash())
	for _, registrar := range registrars {
		if registrar.ID() != owner {
			c.state.Peers().SetReachable(epoch, registrar.ID(), false)
		}
	}
	c.applyView()
	require.Positive(t, c.exchangeRegistrations(afterRegistration.Add(time.Second)))
	c.forwardCount = 0
	found, _ := c.routePacket(t, agentOtherThan(c.ids(), owner, registrars[0].ID(), registrars[1].ID()), receivedPacket(4000, flow.Established, 77))
	require.Equal(t, owner, found)
	require.LessOrEqual(t, c.forwardCount, 2)
}

// Registrations name agents that do not own the flow. The packet must reach the owner all the
// same.
func TestWrongRegistrationDoesNotHideTheOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t, rapid.IntRange(2, 8).Draw(t, "agents"))
		ids := c.ids()
		owner := c.open(t, rapid.SampledFrom(ids).Draw(t, "entry"), 4000)
		c.restart(owner)
		for _, id := range ids {
			named := rapid.SampledFrom(ids).Draw(t, "named")
			c.agents[id].StoreRegistrations(settledAt, named, []uint64{flowOf(4000).Hash()})
		}
		c.requireFound(t, rapid.SampledFrom(ids).Draw(t, "other entry"), receivedPacket(4000, flow.Established, 77), owner)
	})
}

// Guards against a directory that grows without limit or keeps expired registrations.
func TestRegistrationsAreBounded(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.agents[c.ids()[0]]
	for hash := range uint64(10 * maxRegisteredPerFlow * a.config.MaxFlows) {
		a.StoreRegistrations(settledAt, c.ids()[1], []uint64{hash})
	}
	require.Equal(t, maxRegisteredPerFlow*a.config.MaxFlows, a.directory.Len())
	a.Registrations(settledAt.Add(ownership.RegistrationLifetime))
	require.Zero(t, a.directory.Len())
}

// A candidate fails and the failure is not detected yet. A retransmission of a packet that goes
// from agent to agent, as one does beyond maxPolls, must be forwarded to another candidate, but
// other packets of the flow must not.
func TestRetransmissionIsForwardedToAnotherCandidate(t *testing.T) {
	c := newTestCluster(t, 6)
	a := c.agents[c.ids()[0]]
	for port := range uint16(maxPolls) {
		a.polls[flowOf(5000+port)] = new(pollState)
	}
	search := func(now time.Time, sequence uint32) fleet.InstanceID {
		packet := receivedPacket(4000, flow.Established, 77)
		packet.Packet = flow.NewPacket(packet.Packet.Flow(), flow.Established, sequence, 77, packet.Packet.Bytes())
		packet.LookedUp = true
		a.Receive(now, packet)
		return a.HandleBouncedPacket(now, packet).(*Forward).Target.ID()
	}
	first := search(settledAt, 1)
	require.Equal(t, first, search(settledAt.Add(time.Millisecond), 2), "another packet of the flow must go to the same candidate")
	second := search(settledAt.Add(200*time.Millisecond), 1)
	require.NotEqual(t, first, second)
	require.Equal(t, first, search(settledAt.Add(time.Minute), 1))
}

// agentOtherThan returns an agent that is none of those given.
func agentOtherThan(ids []fleet.InstanceID, not ...fleet.InstanceID) fleet.InstanceID {
	for _, id := range ids {
		if !slices.Contains(not, id) {
			return id
		}
	}
	panic(fmt.Sprintf("all of %d agents are excluded", len(ids)))
}

// All processes restart, so registrations, hints and learned weights are gone. A flow that was
// placed by weight and load must still be found among its placement candidates, without a
// search through all agents.
func TestFlowPlacedByWeightAndLoadIsFoundAmongItsPlacementCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t, 40)
		ids := c.ids()
		for _, id := range ids {
			weight := rapid.Uint16Range(uint16(fleet.DefaultWeight/2), uint16(2*fleet.DefaultWeight)).Draw(t, "weight")
			c.state.Peers().Merge(epoch, fleet.PeerRecord{ID: id, Incarnation: 1, Weight: fleet.Weight(weight)})
		}
		c.applyView()
		service := c.agents[ids[0]].view.Service(fleet.ServiceIDOf("orders"))
		primary := c.agents[service.Primary(flowOf(4000).Hash()).ID()]
		primary.config.Placement = HandOverWhenFull{}
		for range slots {
			primary.load.start(settledAt)
		}
		candidates := slices.DeleteFunc(service.PlacementCandidates(flowOf(4000).Hash()), func(target *fleet.Target) bool { return target.ID() == primary.config.Self })
		idle := candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "idle")].ID()
		for _, id := range ids {
			running := rapid.Uint32Range(0, slots).Draw(t, "running")
			if id == idle {
				running = 0
			}
			primary.HandleReport(settledAt, id, Report{Limit: slots, MaxOwned: 9, Running: running})
		}
		owner := c.open(t, primary.config.Self, 4000)
		for _, id := range ids {
			c.state.Peers().Merge(epoch, fleet.PeerRecord{ID: id, Incarnation: 2})
			c.restart(id)
		}
		c.applyView()
		c.forwardCount = 0
		packet := receivedPacket(4000, flow.Established, 77)
		packet.LookedUp = true
		found, action := c.routePacket(t, service.Registrars(flowOf(4000).Hash())[0].ID(), packet)
		require.IsType(t, &Deliver{}, action)
		require.Equal(t, owner, found)
		require.LessOrEqual(t, c.forwardCount, fleet.MaxPlacementCandidates)
	})
}
