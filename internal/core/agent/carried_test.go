package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
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
			action = c.agents[at].HandleBouncedPacket(settledAt, packet)
		case *Forward:
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

// runPoll polls other agents with a held packet. It returns the agent whose backend server accepts
// the packet and its action or, if all deny the flow, the agent at and the action that follows.
func (c *testCluster) runPoll(t require.TestingT, at fleet.InstanceID, packet *ReceivedPacket) (fleet.InstanceID, Action) {
	a := c.agents[at]
	for {
		polls := a.Polls(settledAt)
		require.Len(t, polls, 1)
		var results []LookupResult
		for _, target := range polls[0].Targets {
			c.forwardCount++
			polled := *packet
			polled.Polled, polled.FromAgent, polled.Visited = true, true, []fleet.InstanceID{at}
			action := c.agents[target.ID()].Receive(settledAt, &polled)
			if _, delivered := action.(*Deliver); delivered {
				if c.deliverToBackend(target.ID(), packet.Packet) {
					delete(a.polls, packet.Packet.Flow())
					return target.ID(), action
				}
				action = c.agents[target.ID()].HandleBouncedPacket(settledAt, &polled)
			}
			require.IsType(t, &Deny{}, action)
			results = append(results, a.HandleDenial(settledAt, target.ID(), packet.Packet.Flow())...)
		}
		if len(results) > 0 {
			packet.LookedUp = true
			packet.Visited = append(packet.Visited, results[0].DeniedBy...)
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

// Agents that restart lose their flow tables. Packets must still reach the backend server that
// holds the flow, from any agent.
func TestCarriedFlowIsFoundFromAnyAgentAfterRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t, rapid.IntRange(1, 8).Draw(t, "agents"))
		ids := c.ids()
		owner := c.open(t, rapid.SampledFrom(ids).Draw(t, "entry"), 4000)
		for _, id := range ids {
			if rapid.Bool().Draw(t, "restart") {
				c.restart(id)
			}
		}
		for _, id := range ids {
			found, action := c.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
			require.IsType(t, &Deliver{}, action)
			require.Equal(t, owner, found)
		}
	})
}

// Copies of an opening packet reach two backend servers, and both answer. The caller's
// confirmation must reach the server whose handshake it acknowledges.
func TestConfirmationDecidesBetweenTwoServersWithTheSameOpening(t *testing.T) {
	c := newTestCluster(t, 2)
	ids := c.ids()
	for _, id := range ids {
		packet := receivedPacket(4000, flow.Opening, 0)
		packet.Placed = true
		_, action := c.routePacket(t, id, packet)
		require.IsType(t, &Deliver{}, action)
	}
	owner, action := c.routePacket(t, ids[0], receivedPacket(4000, flow.Established, c.backends[ids[1]].token))
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, ids[1], owner)
}

// A backend server that accepts no new flows bounces opening packets. The caller may be refused
// only after all servers have done so.
func TestBouncedOpeningIsRetriedUntilAllServersRefuse(t *testing.T) {
	c := newTestCluster(t, 3)
	ids := c.ids()
	c.backends[ids[0]].refuses, c.backends[ids[1]].refuses = true, true
	owner, action := c.routePacket(t, ids[0], receivedPacket(4000, flow.Opening, 0))
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, ids[2], owner)
	c.backends[ids[2]].refuses = true
	_, action = c.routePacket(t, ids[0], receivedPacket(4001, flow.Opening, 0))
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, action)
}

// Guards against resets by an agent that has not been able to compare its view with the
// platform recently: the view may lack the owner of the flow.
func TestCarriedFlowIsResetOnlyWithARecentView(t *testing.T) {
	c := newTestCluster(t, 2)
	_, action := c.routePacket(t, c.ids()[0], receivedPacket(4000, flow.Established, 1))
	require.Equal(t, &Reset{Reason: ResetUnowned}, action)
	for _, a := range c.agents {
		a.RecordViewConfirmed(settledAt.Add(-maxViewAgeForReset - time.Millisecond))
	}
	_, action = c.routePacket(t, c.ids()[0], receivedPacket(4000, flow.Established, 1))
	require.Equal(t, &Drop{Reason: DropViewUnsettled}, action)
}

// The address of a backend server is reused for a server of another service while senders
// still have the old documents. The agent must go by its own labels and hand the new flow
// over.
func TestOwnLabelsTakePrecedenceOverTheView(t *testing.T) {
	c := newTestCluster(t, 2)
	ids := c.ids()
	c.agents[ids[0]].SetLabels(map[string]string{"app": "patterns"})
	packet := receivedPacket(4000, flow.Opening, 0)
	packet.Placed, packet.Revision = true, fleet.Revision{Number: 9}
	owner, action := c.routePacket(t, ids[0], packet)
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, ids[1], owner)
}

// A backend server is leaving or no longer listed. New flows must go elsewhere while open ones
// stay.
func TestLeavingOrRemovedServerKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	for name, document := range map[string]fleet.Document{
		"leaving": &fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}, Instances: []fleet.Instance{
			{Name: "b0", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLeaving},
			{Name: "b1", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive},
		}},
		"removed": &fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}, Instances: []fleet.Instance{
			{Name: "b1", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 2)
			ids := c.ids()
			packet := receivedPacket(4000, flow.Opening, 0)
			packet.Placed = true
			first, action := c.routePacket(t, ids[0], packet)
			require.IsType(t, &Deliver{}, action)
			require.Equal(t, ids[0], first)
			c.routePacket(t, ids[0], receivedPacket(4000, flow.Established, c.backends[ids[0]].token))
			_, err := c.state.Apply(epoch, document)
			require.NoError(t, err)
			c.applyViewAt(epoch.Add(fleet.LapseGrace))
			again := receivedPacket(4001, flow.Opening, 0)
			again.Placed = true
			owner, _ := c.routePacket(t, ids[0], again)
			require.Equal(t, ids[1], owner, "a new flow must go to the other agent")
			found, action := c.routePacket(t, ids[1], receivedPacket(4000, flow.Established, 77))
			require.IsType(t, &Deliver{}, action)
			require.Equal(t, ids[0], found, "an open flow must stay with its owner")
		})
	}
}

// A data centre that is draining must refuse new flows and keep delivering packets of open ones.
func TestDrainingDataCentreKeepsItsFlows(t *testing.T) {
	c := newTestCluster(t, 1)
	id := c.ids()[0]
	c.open(t, id, 4000)
	services, _, _ := c.state.Documents()
	_, err := c.state.Apply(epoch, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 2}, Services: services.Services, Draining: []string{"north"}})
	require.NoError(t, err)
	c.applyView()
	_, action := c.routePacket(t, id, receivedPacket(4001, flow.Opening, 0))
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, action)
	_, action = c.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
	require.IsType(t, &Deliver{}, action)
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

// The owner of a flow cannot be reached. A reset makes the caller repeat its request, which is
// allowed only if requests are idempotent and the owner is not expected back soon.
func TestFlowOfAnUnreachableOwnerIsResetOnlyIfRepeatable(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		state      fleet.PeerState
		want       Action
	}{
		{"requests are idempotent", true, fleet.PeerAlive, &Reset{Reason: ResetOwnerLost}},
		{"requests are not idempotent", false, fleet.PeerAlive, &Drop{Reason: DropCandidateUnreachable}},
		{"owner is leaving and may be back soon", true, fleet.PeerLeaving, &Drop{Reason: DropCandidateUnreachable}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCluster(t, 3)
			ids := c.ids()
			c.setIdempotent(t, test.idempotent)
			c.state.Peers().SetReachable(epoch, ids[2], false)
			c.state.Peers().Merge(epoch, fleet.PeerRecord{ID: ids[2], Incarnation: 1, State: test.state})
			c.applyView()
			_, action := c.routePacket(t, ids[0], receivedPacket(4000, flow.Established, 1))
			require.Equal(t, test.want, action)
		})
	}
}

// An agent that announced its departure was removed from the documents a while ago. When a data
// centre is cut off later, the removed agent must not count as one that may be back soon, or
// the callers of the flows there get no reset.
func TestRemovedAgentDoesNotPreventResets(t *testing.T) {
	c := newTestCluster(t, 3)
	ids := c.ids()
	c.setIdempotent(t, true)
	c.state.Peers().Merge(epoch, fleet.PeerRecord{
		ID: ids[2], Incarnation: 1, State: fleet.PeerLeaving, Residual: []fleet.ServiceID{fleet.ServiceIDOf("orders")},
	})
	_, backends, instances := c.state.Documents()
	for _, document := range []fleet.Document{
		&fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}, Instances: instances.Instances[:2]},
		&fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}, Backends: backends.Backends[:2]},
	} {
		_, err := c.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	c.state.Peers().SetReachable(epoch, ids[2], false)
	c.state.Peers().SetReachable(epoch, ids[1], false)
	c.applyViewAt(epoch.Add(fleet.LapseGrace))
	_, action := c.routePacket(t, ids[0], receivedPacket(4000, flow.Established, 1))
	require.Equal(t, &Reset{Reason: ResetOwnerLost}, action)
}

// Guards against a wrong number of running requests, which the agent infers from the packets
// that it carries.
func TestRunningRequestsAreCountedFromCarriedPackets(t *testing.T) {
	c := newTestCluster(t, 1)
	id := c.ids()[0]
	a := c.agents[id]
	c.open(t, id, 4000)
	require.Equal(t, 1, a.load.Running(), "a new flow must count as a running request")
	request := receivedPacket(4000, flow.Established, 77)
	request.Packet = request.Packet.WithPayloadSize(300)
	c.routePacket(t, id, request)
	require.Equal(t, 1, a.load.Running())
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), PayloadSize: 1000})
	require.Zero(t, a.load.Running())
	c.routePacket(t, id, request)
	require.Equal(t, 1, a.load.Running(), "the next request on the same flow must be counted")
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), IsFinal: true})
	require.Zero(t, a.load.Running())
}

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

// A bounced packet of an open flow shows that the backend server has restarted, even if the
// backends document does not report the restart yet.
func TestServerThatLostItsFlowsIsAssumedCold(t *testing.T) {
	c := newTestCluster(t, 1)
	id := c.ids()[0]
	c.agents[id].Start(settledAt.Add(-time.Hour))
	c.setSlowStart(t, 10, "boot 1", 0)
	c.open(t, id, 4000)
	require.True(t, c.agents[id].slowStart.allow(settledAt, 10))
	c.backends[id].open = make(map[flow.ID]bool)
	c.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
	require.True(t, c.agents[id].slowStart.isCold(settledAt))
}

// An agent that has just started assumes that its backend server is cold. A packet of an older
// flow shows that the server is not.
func TestServerThatKeptItsFlowsIsNotAssumedCold(t *testing.T) {
	c := newTestCluster(t, 1)
	id := c.ids()[0]
	c.open(t, id, 4000)
	c.restart(id)
	c.agents[id].Start(settledAt)
	require.True(t, c.agents[id].slowStart.isCold(settledAt))
	c.agents[id].HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), PayloadSize: 100})
	require.False(t, c.agents[id].slowStart.isCold(settledAt))
}

// A backend server stops answering. New flows must be retried on another agent, and only trials
// go to the server until it answers again.
func TestUnansweredOpeningIsRetriedOnAnotherAgent(t *testing.T) {
	c := newTestCluster(t, 2)
	ids := c.ids()
	a := c.agents[ids[0]]
	packet := receivedPacket(4000, flow.Opening, 0)
	packet.Placed = true
	require.IsType(t, &Deliver{}, a.Receive(settledAt, packet))
	require.Empty(t, a.RetryOverdue(settledAt.Add(responseTimeout-time.Millisecond)))
	late := settledAt.Add(responseTimeout)
	retries := a.RetryOverdue(late)
	require.Len(t, retries, 1)
	require.Equal(t, ids[1], retries[0].Action.(*Forward).Target.ID())
	require.Equal(t, []byte("packet"), retries[0].Opening)
	require.True(t, a.IsTrialOnly())
	require.IsType(t, &Deliver{}, a.Receive(late, receivedPacket(4001, flow.Opening, 0)), "one opening packet must be delivered as a trial")
	require.IsType(t, &Forward{}, a.Receive(late, receivedPacket(4002, flow.Opening, 0)))
	a.HandleBackendPacket(late, flow.Reply{Flow: flowOf(4001), HandshakeToken: 9, IsHandshakeReply: true})
	require.False(t, a.IsTrialOnly())
	require.IsType(t, &Deliver{}, a.Receive(late, receivedPacket(4003, flow.Opening, 0)))
}

// A backend server does not answer beyond the reset timeout. Callers may be made to repeat their
// requests elsewhere only if requests are idempotent.
func TestFlowsOfAnUnresponsiveServerAreResetOnlyIfIdempotent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := newTestCluster(t, 2)
		c.setIdempotent(t, idempotent)
		c.applyView()
		id := c.open(t, c.ids()[0], 4000)
		a := c.agents[id]
		packet := receivedPacket(4001, flow.Opening, 0)
		packet.Placed = true
		delivered := settledAt.Add(time.Millisecond)
		a.Receive(delivered, packet)
		a.RetryOverdue(delivered.Add(responseTimeout))
		require.IsType(t, &Deliver{}, a.Receive(delivered.Add(responseTimeout), receivedPacket(4000, flow.Established, 77)))
		action := a.Receive(delivered.Add(resetTimeout), receivedPacket(4000, flow.Established, 77))
		if idempotent {
			require.Equal(t, &Reset{Reason: ResetServerSilent}, action)
		} else {
			require.IsType(t, &Deliver{}, action)
		}
	}
}

// A backend server answers no opening packet. Guards against retries that multiply the load.
func TestRetriesOfUnansweredOpeningsAreLimitedToAShareOfFlows(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.agents[c.ids()[0]]
	retried := 0
	now := settledAt
	for port := range uint16(90) {
		packet := receivedPacket(5000+port, flow.Opening, 0)
		packet.Placed = true
		a.Receive(now, packet)
		a.responses.recordResponse(now)
		now = now.Add(responseTimeout)
		retried += len(a.RetryOverdue(now))
	}
	require.LessOrEqual(t, retried, 90*depositPerFlow/retryCost+initialBalance/retryCost+1)
}

// All entries lapse while the store is unavailable, though the backend servers still run. They
// must get new flows until the grace period ends, which may be extended.
func TestServersWithLapsedEntriesServeDuringTheGracePeriod(t *testing.T) {
	c := newTestCluster(t, 2)
	ids := c.ids()
	for _, document := range []fleet.Document{&fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}}, &fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}}} {
		_, err := c.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	c.applyViewAt(epoch.Add(fleet.LapseGrace - time.Millisecond))
	c.open(t, ids[0], 4000)
	c.state.ExtendLapseGrace(epoch, epoch.Add(time.Minute))
	c.applyViewAt(epoch.Add(time.Minute - time.Millisecond))
	c.open(t, ids[0], 4001)
	c.applyViewAt(epoch.Add(time.Minute))
	packet := receivedPacket(4002, flow.Opening, 0)
	packet.Placed = true
	_, action := c.routePacket(t, ids[0], packet)
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, action)
}

// The cost of a load report must not grow with the number of siblings, but every sibling must
// receive a report in time.
func TestNumberOfReportRecipientsIsBounded(t *testing.T) {
	c := newTestCluster(t, 60)
	a := c.agents[c.ids()[0]]
	recipients := make(map[fleet.InstanceID]bool)
	for range 40 {
		chosen := a.ReportRecipients()
		require.Len(t, chosen, reportFanout)
		for _, target := range chosen {
			recipients[target.ID()] = true
		}
	}
	require.Len(t, recipients, 59, "all siblings must receive a report eventually")
}

// An agent restarts next to a backend server that was removed. The agent announces the
// server all the same, since it cannot know of the removal. After maxBouncedOpenings
// bounced opening packets the server must get trials only. A listed server that bounces as
// many must not be affected, since it may just be full for a moment.
func TestUnlistedServerThatBouncesOpeningsGetsTrialsOnly(t *testing.T) {
	for _, listed := range []bool{true, false} {
		c := newTestCluster(t, 2)
		id := c.ids()[0]
		if !listed {
			_, backends, instances := c.state.Documents()
			for _, document := range []fleet.Document{
				&fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}, Leased: true, Instances: instances.Instances[1:]},
				&fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}, Backends: backends.Backends[1:]},
			} {
				_, err := c.state.Apply(epoch, document)
				require.NoError(t, err)
			}
			c.applyView()
		}
		c.backends[id].refuses = true
		for port := range uint16(maxBouncedOpenings) {
			require.False(t, c.agents[id].IsTrialOnly())
			packet := receivedPacket(4000+port, flow.Opening, 0)
			packet.Placed = true
			c.routePacket(t, id, packet)
		}
		require.Equal(t, !listed, c.agents[id].IsTrialOnly(), "only an unlisted server may be restricted to trials")
		c.backends[id].refuses = false
		packet := receivedPacket(5000, flow.Opening, 0)
		packet.Placed = true
		owner, _ := c.routePacket(t, id, packet)
		require.Equal(t, id, owner, "one opening packet must be delivered as a trial")
		require.False(t, c.agents[id].IsTrialOnly())
	}
}

// Guards against an agent that has left and gets new flows again when the platform becomes
// unavailable long after.
func TestEndedGracePeriodIsNotRevivedByAnOutage(t *testing.T) {
	c := newTestCluster(t, 2)
	for _, document := range []fleet.Document{&fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}}, &fleet.InstancesDocument{Revision: fleet.Revision{Number: 2}}} {
		_, err := c.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	confirmedAt := epoch.Add(fleet.LapseGrace)
	c.state.ExtendLapseGrace(confirmedAt, epoch.Add(time.Minute))
	_, found := c.state.NextGraceEnd(confirmedAt)
	require.False(t, found)
	c.state.ExtendLapseGrace(confirmedAt.Add(-time.Millisecond), epoch.Add(time.Minute))
	_, found = c.state.NextGraceEnd(confirmedAt)
	require.True(t, found, "an entry that was missing for less than the grace period when the platform became unavailable may have lapsed")
}

// Guards against the cold start of an earlier server that limits the new flows of its successor.
func TestColdStartOfAnEarlierBootEndsWithIt(t *testing.T) {
	c := newTestCluster(t, 1)
	a := c.agents[c.ids()[0]]
	c.setSlowStart(t, 1, "first", 10*time.Second)
	c.setSlowStart(t, 1, "second", 0)
	require.False(t, a.slowStart.isCold(settledAt))
}

// Guards against a sibling that seems busier with each flow that was not handed over to it.
func TestOnlyHandOversThatHappenAreCounted(t *testing.T) {
	c := newTestCluster(t, 2)
	ids := c.ids()
	a := c.agents[ids[0]]
	a.HandleReport(settledAt, ids[1], Report{Limit: slots, MaxOwned: 9})
	service := a.view.Service(orders)
	for range 5 {
		require.NotNil(t, a.leastLoadedSibling(settledAt, service.Candidates, flowOf(4000), ids[:1]))
	}
	report, _ := a.latestReport(settledAt, ids[1])
	require.Zero(t, report.Running)
	a.Drain()
	require.IsType(t, &Forward{}, a.Receive(settledAt, receivedPacket(4000, flow.Opening, 0)))
	report, _ = a.latestReport(settledAt, ids[1])
	require.EqualValues(t, 1, report.Running)
}
