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
)

// exchangeRegistrations carries the registrations that are due to the agents they are for.
func (r *testCluster) exchangeRegistrations(now time.Time) int {
	sent := 0
	for id, a := range r.agents {
		for _, registration := range a.Registrations(now) {
			r.agents[registration.To.ID()].StoreRegistrations(now, id, registration.Flows)
			sent += len(registration.Flows)
		}
	}
	return sent
}

// afterRegistration is when flows that were opened at the settled instant have been registered.
var afterRegistration = settledAt.Add(registrationDelay)

// The flows of entry instances that have failed come through others, to any agent.
func TestRegisteredFlowIsFoundInTwoSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestCluster(t, rapid.IntRange(2, 40).Draw(t, "agents"))
		ids := r.ids()
		owner := r.open(t, rapid.SampledFrom(ids).Draw(t, "entry"), 4000)
		r.exchangeRegistrations(afterRegistration)
		r.forwardCount = 0
		found, action := r.routePacket(t, rapid.SampledFrom(ids).Draw(t, "other entry"), receivedPacket(4000, flow.Established, 77))
		require.IsType(t, &Deliver{}, action)
		require.Equal(t, owner, found)
		require.LessOrEqual(t, r.forwardCount, 2, "one step to a registrar, one to the owner")
	})
}

func TestFlowIsRegisteredAgainWhenItsRegistrarsHaveRestarted(t *testing.T) {
	r := newTestCluster(t, 12)
	ids := r.ids()
	owner := r.open(t, ids[0], 4000)
	require.Positive(t, r.exchangeRegistrations(afterRegistration))
	require.Zero(t, r.exchangeRegistrations(afterRegistration.Add(time.Second)), "it is registered once")
	for _, id := range ids {
		if id != owner {
			r.restart(id)
		}
	}
	found, _ := r.routePacket(t, agentOtherThan(ids, owner), receivedPacket(4000, flow.Established, 77))
	require.Equal(t, owner, found)
	require.Positive(t, r.exchangeRegistrations(afterRegistration.Add(2*time.Second)))
	r.forwardCount = 0
	r.routePacket(t, agentOtherThan(ids, owner), receivedPacket(4000, flow.Established, 78))
	require.LessOrEqual(t, r.forwardCount, 2)
}

// A registrar fails, and the flow gets another one before it is looked for.
func TestFlowIsRegisteredElsewhereWhenARegistrarFails(t *testing.T) {
	r := newTestCluster(t, 12)
	owner := r.open(t, r.ids()[0], 4000)
	r.exchangeRegistrations(afterRegistration)
	registrars := r.agents[owner].view.Service(fleet.ServiceIDOf("orders")).Registrars(flowOf(4000).Hash())
	for _, gone := range registrars {
		if gone.ID() != owner {
			r.state.Peers().SetReachable(epoch, gone.ID(), false)
		}
	}
	r.applyView()
	require.Positive(t, r.exchangeRegistrations(afterRegistration.Add(time.Second)))
	r.forwardCount = 0
	found, _ := r.routePacket(t, agentOtherThan(r.ids(), owner, registrars[0].ID(), registrars[1].ID()), receivedPacket(4000, flow.Established, 77))
	require.Equal(t, owner, found)
	require.LessOrEqual(t, r.forwardCount, 2)
}

func TestWrongRegistrationOnlyCostsAStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestCluster(t, rapid.IntRange(2, 8).Draw(t, "agents"))
		ids := r.ids()
		owner := r.open(t, rapid.SampledFrom(ids).Draw(t, "entry"), 4000)
		r.restart(owner)
		for _, id := range ids {
			named := rapid.SampledFrom(ids).Draw(t, "named")
			r.agents[id].StoreRegistrations(settledAt, named, []uint64{flowOf(4000).Hash()})
		}
		found, action := r.routePacket(t, rapid.SampledFrom(ids).Draw(t, "other entry"), receivedPacket(4000, flow.Established, 77))
		require.IsType(t, &Deliver{}, action)
		require.Equal(t, owner, found)
	})
}

func TestRegistrationsAreBounded(t *testing.T) {
	r := newTestCluster(t, 2)
	a := r.agents[r.ids()[0]]
	for hash := range uint64(10 * maxRegisteredPerFlow * a.config.MaxFlows) {
		a.StoreRegistrations(settledAt, r.ids()[1], []uint64{hash})
	}
	require.Len(t, a.directory.flows, maxRegisteredPerFlow*a.config.MaxFlows)
	a.Registrations(settledAt.Add(registrationLifetime))
	require.Empty(t, a.directory.flows)
}

// An agent has gone dark and nobody has noticed: the retransmission takes another way.
func TestRetransmissionIsSearchedForByAnotherWay(t *testing.T) {
	r := newTestCluster(t, 6)
	a := r.agents[r.ids()[0]]
	search := func(now time.Time, sequence uint32) fleet.InstanceID {
		packet := receivedPacket(4000, flow.Established, 77)
		packet.Packet = flow.NewPacket(packet.Packet.Flow(), flow.Established, sequence, 77, packet.Packet.Bytes())
		packet.LookedUp = true
		a.Receive(now, packet)
		return a.HandleBouncedPacket(now, packet).(*Forward).Target.ID()
	}
	first := search(settledAt, 1)
	require.Equal(t, first, search(settledAt.Add(time.Millisecond), 2), "another packet of the flow goes the same way")
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

// All processes restart: registrations, hints and learned weights are gone, and the flows
// were placed by weights and load.
func TestFlowPlacedByWeightAndLoadIsFoundAmongItsChoices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestCluster(t, 40)
		ids := r.ids()
		for _, id := range ids {
			weight := rapid.Uint16Range(uint16(fleet.DefaultWeight/2), uint16(2*fleet.DefaultWeight)).Draw(t, "weight")
			r.state.Peers().Merge(epoch, fleet.PeerRecord{ID: id, Incarnation: 1, Weight: fleet.Weight(weight)})
		}
		r.applyView()
		service := r.agents[ids[0]].view.Service(fleet.ServiceIDOf("orders"))
		primary := r.agents[service.Primary(flowOf(4000).Hash()).ID()]
		primary.config.Placement = HandOverWhenFull{}
		for range slots {
			primary.load.start(settledAt)
		}
		choices := slices.DeleteFunc(service.PlacementCandidates(flowOf(4000).Hash()), func(target *fleet.Target) bool { return target.ID() == primary.config.Self })
		idle := choices[rapid.IntRange(0, len(choices)-1).Draw(t, "idle")].ID()
		for _, id := range ids {
			running := rapid.Uint32Range(0, slots).Draw(t, "running")
			if id == idle {
				running = 0
			}
			primary.HandleReport(settledAt, id, Report{Limit: slots, MaxOwned: 9, Running: running})
		}
		owner := r.open(t, primary.config.Self, 4000)
		for _, id := range ids {
			r.state.Peers().Merge(epoch, fleet.PeerRecord{ID: id, Incarnation: 2})
			r.restart(id)
		}
		r.applyView()
		r.forwardCount = 0
		packet := receivedPacket(4000, flow.Established, 77)
		packet.LookedUp = true
		found, action := r.routePacket(t, service.Registrars(flowOf(4000).Hash())[0].ID(), packet)
		require.IsType(t, &Deliver{}, action)
		require.Equal(t, owner, found)
		require.LessOrEqual(t, r.forwardCount, fleet.MaxPlacementCandidates)
	})
}
