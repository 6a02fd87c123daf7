package agent

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
)

// fakeBackend is a backend server that terminates flows itself and bounces packets of flows
// that it does not hold.
type fakeBackend struct {
	token    uint32
	refuses  bool
	halfOpen map[flow.ID]bool
	open     map[flow.ID]bool
}

// testCluster is a set of agents for carried flows with their backend servers.
type testCluster struct {
	state    *fleet.State
	agents   map[fleet.InstanceID]*Agent
	backends map[fleet.InstanceID]*fakeBackend
	// forwardCount is the number of times that a packet was forwarded from one agent to another.
	forwardCount int
}

var ordersLabels = map[string]string{"app": "orders"}

// newTestCluster returns a cluster with the given number of agents.
func newTestCluster(t require.TestingT, targets int) *testCluster {
	c := &testCluster{
		state:    newState(t, targets),
		agents:   make(map[fleet.InstanceID]*Agent),
		backends: make(map[fleet.InstanceID]*fakeBackend),
	}
	for i := range targets {
		id := fleet.InstanceIDOf(fmt.Sprintf("b%d", i))
		c.backends[id] = &fakeBackend{token: uint32(1000 * (i + 1)), halfOpen: make(map[flow.ID]bool), open: make(map[flow.ID]bool)}
		c.restart(id)
	}
	return c
}

// restart replaces an agent by one without any state. Its backend server keeps running.
func (c *testCluster) restart(id fleet.InstanceID) {
	config := Config{Self: id, DataCentre: "north", MaxFlows: 100, MaxHandOvers: 100, Placement: HashOnly{}, Carried: true, Labels: ordersLabels}
	a := New(config, c.state.View(epoch), NewWarmLoad(epoch, slots), rand.New(rand.NewPCG(1, uint64(id))))
	a.RecordViewConfirmed(settledAt)
	c.agents[id] = a
}

// applyView puts a view of the current documents and peers in force at all agents.
func (c *testCluster) applyView() { c.applyViewAt(epoch) }

// applyViewAt is applyView at a given time.
func (c *testCluster) applyViewAt(now time.Time) {
	for _, a := range c.agents {
		a.ApplyView(c.state.View(now))
	}
}

// deliverToBackend delivers a packet to a backend server and reports whether it accepts the
// packet, that is, does not bounce it.
func (c *testCluster) deliverToBackend(id fleet.InstanceID, packet flow.Packet) bool {
	s := c.backends[id]
	switch {
	case packet.Kind() == flow.Opening && s.refuses:
		return false
	case packet.Kind() == flow.Opening:
		s.halfOpen[packet.Flow()] = true
		c.agents[id].HandleBackendPacket(settledAt, flow.Reply{Flow: packet.Flow(), HandshakeToken: s.token, IsHandshakeReply: true})
		return true
	case s.halfOpen[packet.Flow()] && packet.AcknowledgedToken() == s.token:
		s.open[packet.Flow()] = true
	}
	return s.open[packet.Flow()]
}

// routePacket forwards a packet from agent to agent until a backend server accepts it or an
// agent resets or drops it. It returns that agent and its action.
func (c *testCluster) routePacket(t require.TestingT, at fleet.InstanceID, packet *ReceivedPacket) (fleet.InstanceID, Action) {
	action := c.agents[at].Receive(settledAt, packet)
	for range 4 * len(c.agents) {
		switch a := action.(type) {
		case *Deliver:
			if c.deliverToBackend(at, packet.Packet) {
				return at, action
			}
			packet.Evidence = ownership.Evidence{}
			action = c.agents[at].HandleBouncedPacket(settledAt, packet)
		case *Forward:
			packet.Evidence = ownership.Evidence{}
			if !a.Referred {
				packet.Visited = c.agents[at].visitedWithSelf(packet.Visited)
			}
			packet.Referred = packet.Referred || a.Referred
			packet.FromAgent = true
			c.forwardCount++
			packet.Placed, packet.Relayed = a.Placed, packet.Relayed || a.Relayed
			at = a.Target.ID()
			action = c.agents[at].Receive(settledAt, packet)
		case *Hold:
			if c.agents[at].polls[packet.Packet.Flow()] == nil {
				action = runLookup(t, c.agents, at, packet)
				continue
			}
			found, result := c.runPoll(t, at, packet)
			if _, delivered := result.(*Deliver); delivered {
				return found, result
			}
			action = result
		default:
			return at, action
		}
	}
	require.Fail(t, "packet was neither accepted by a backend server, reset nor dropped")
	return 0, nil
}

// requireFound requires that a packet that comes to an agent is accepted by the backend server of its
// owner.
func (c *testCluster) requireFound(t require.TestingT, at fleet.InstanceID, packet *ReceivedPacket, owner fleet.InstanceID) {
	found, action := c.routePacket(t, at, packet)
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, owner, found)
}

// runPoll polls other agents with a held packet. It returns the agent whose backend server accepts
// the packet and its action or, if all deny the flow, the agent at and the action that follows.
func (c *testCluster) runPoll(t require.TestingT, at fleet.InstanceID, packet *ReceivedPacket) (fleet.InstanceID, Action) {
	a := c.agents[at]
	for {
		polls, _ := a.Polls(settledAt)
		require.Len(t, polls, 1)
		var results []LookupResult
		for _, target := range polls[0].Targets {
			c.forwardCount++
			polled := *packet
			polled.Polled, polled.FromAgent, polled.Visited, polled.Evidence = true, true, []fleet.InstanceID{at}, ownership.Evidence{}
			action := c.agents[target.ID()].Receive(settledAt, &polled)
			if _, delivered := action.(*Deliver); delivered {
				if c.deliverToBackend(target.ID(), packet.Packet) {
					delete(a.polls, packet.Packet.Flow())
					return target.ID(), action
				}
				action = c.agents[target.ID()].HandleBouncedPacket(settledAt, &polled)
			}
			require.IsType(t, &Deny{}, action)
			results = append(results, a.HandleDenial(settledAt, target.Process(), packet.Packet.Flow())...)
		}
		if len(results) > 0 {
			recordResult(packet, results[0])
			return at, a.ResumeAfterLookup(settledAt, packet)
		}
	}
}

// open opens a flow through the given agent and returns its owner.
func (c *testCluster) open(t require.TestingT, at fleet.InstanceID, port uint16) fleet.InstanceID {
	owner, action := c.routePacket(t, at, receivedPacket(port, flow.Opening, 0))
	require.IsType(t, &Deliver{}, action)
	found, action := c.routePacket(t, at, receivedPacket(port, flow.Established, c.backends[owner].token))
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, owner, found)
	return owner
}

// ids returns the IDs of all agents, in the order of their names.
func (c *testCluster) ids() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for i := range len(c.agents) {
		ids = append(ids, fleet.InstanceIDOf(fmt.Sprintf("b%d", i)))
	}
	return ids
}

// setIdempotent sets whether requests of the services may be repeated. It takes effect with the
// next applyView.
func (c *testCluster) setIdempotent(t require.TestingT, idempotent bool) {
	services, _, _ := c.state.Documents()
	next := &fleet.ServicesDocument{Revision: fleet.Revision{Number: services.Number + 1}}
	for _, service := range services.Services {
		service.Idempotent = idempotent
		next.Services = append(next.Services, service)
	}
	_, err := c.state.Apply(epoch, next)
	require.NoError(t, err)
}
