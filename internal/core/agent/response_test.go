package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/backend"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/retry"
)

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

// All servers of a service miss an opening packet, as after a loss of power from which they return
// later than their agents. Guards against a service that is refused for good because peers send its
// servers no new flows and nothing else makes them send a packet.
func TestServiceIsServedAgainAfterAllItsServersWereUnresponsive(t *testing.T) {
	c := newTestCluster(t, 3)
	publish := func(now time.Time, sequence uint64) *fleet.Target {
		for id, a := range c.agents {
			c.state.Peers().Merge(now, fleet.PeerRecord{ID: id, Incarnation: 1, Sequence: sequence, State: a.OwnState(now).State})
		}
		c.applyViewAt(now)
		return c.state.View(now).Service(orders).Primary(flowOf(5000).Hash())
	}
	receive := func(now time.Time, id fleet.InstanceID, port uint16) Action {
		packet := receivedPacket(port, flow.Opening, 0)
		packet.Placed = true
		return c.agents[id].Receive(now, packet)
	}
	for _, id := range c.ids() {
		require.IsType(t, &Deliver{}, receive(settledAt, id, 4000))
	}
	unanswered := settledAt.Add(responseTimeout)
	for _, a := range c.agents {
		a.RetryOverdue(unanswered)
	}
	require.Nil(t, publish(unanswered, 1), "no server may get new flows while one has just been left unanswered")

	later := settledAt.Add(trialPatience)
	primary := publish(later, 2)
	require.NotNil(t, primary, "a server must get new flows again")
	require.IsType(t, &Deliver{}, receive(later, primary.ID(), 5000), "one opening packet must be delivered as a trial")
	require.Equal(t, fleet.PeerServerUnresponsive, c.agents[primary.ID()].OwnState(later).State, "a second one must wait for the outcome of the trial")
	require.IsType(t, &Forward{}, receive(later, primary.ID(), 5001))
	c.agents[primary.ID()].HandleBackendPacket(later, flow.Reply{Flow: flowOf(5000), HandshakeToken: 9, IsHandshakeReply: true})
	require.Equal(t, fleet.PeerAlive, c.agents[primary.ID()].OwnState(later).State)
}

// A server crashes and the platform lists its next start. Guards against a server that is kept
// without new flows for what its earlier start has left unanswered.
func TestServerThatHasStartedAgainIsNotUnresponsive(t *testing.T) {
	c := newTestCluster(t, 2)
	id := c.ids()[0]
	c.setBoots(t, "first")
	packet := receivedPacket(4000, flow.Opening, 0)
	packet.Placed = true
	c.agents[id].Receive(settledAt, packet)
	late := settledAt.Add(responseTimeout)
	c.agents[id].RetryOverdue(late)
	require.Equal(t, fleet.PeerServerUnresponsive, c.agents[id].OwnState(late).State)
	c.setBoots(t, "second")
	require.Equal(t, fleet.PeerAlive, c.agents[id].OwnState(late).State)
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
		request := requestPacket()
		require.IsType(t, &Deliver{}, a.Receive(delivered.Add(responseTimeout), request))
		action := a.Receive(delivered.Add(backend.ResetTimeout), receivedPacket(4000, flow.Established, 77))
		if idempotent {
			require.Equal(t, &Reset{Reason: ResetServerSilent}, action)
		} else {
			require.IsType(t, &Deliver{}, action)
		}
	}
}

// One opening packet is lost between an agent and its server in a quiet hour, and later an idle flow
// is used again. Guards against a reset of the flow for what was left unanswered long before, and
// against one for a single packet that was lost a moment ago.
func TestIdleFlowIsNotResetForALostOpeningPacket(t *testing.T) {
	for _, idle := range []time.Duration{backend.ResetTimeout, backend.MaxSilenceGap, 6 * time.Second} {
		t.Run(idle.String(), func(t *testing.T) {
			c := newTestCluster(t, 2)
			c.setIdempotent(t, true)
			c.applyView()
			id := c.open(t, c.ids()[0], 4000)
			a := c.agents[id]
			opening := receivedPacket(4001, flow.Opening, 0)
			opening.Placed = true
			lostAt := settledAt.Add(time.Millisecond)
			require.IsType(t, &Deliver{}, a.Receive(lostAt, opening))
			a.RetryOverdue(lostAt.Add(responseTimeout))
			usedAt := lostAt.Add(idle)
			request := requestPacket()
			require.IsType(t, &Deliver{}, a.Receive(usedAt, request))
			a.HandleBackendPacket(usedAt.Add(time.Millisecond), flow.Reply{Flow: flowOf(4000), PayloadSize: 1000})
			require.False(t, a.IsTrialOnly(), "the server has answered")
		})
	}
}

// A server is gone for good. Its callers must get resets while packets are tried on it now and then.
func TestFlowsOfASilentServerAreResetWhilePacketsGoUnanswered(t *testing.T) {
	c := newTestCluster(t, 2)
	c.setIdempotent(t, true)
	c.applyView()
	id := c.open(t, c.ids()[0], 4000)
	a := c.agents[id]
	opening := receivedPacket(4001, flow.Opening, 0)
	opening.Placed = true
	a.Receive(settledAt.Add(time.Millisecond), opening)
	a.RetryOverdue(settledAt.Add(time.Millisecond + responseTimeout))
	resets := 0
	const period = 50 * time.Millisecond
	for now := settledAt.Add(backend.ResetTimeout); now.Before(settledAt.Add(10 * time.Second)); now = now.Add(period) {
		request := requestPacket()
		if _, reset := a.Receive(now, request).(*Reset); reset {
			resets++
		}
	}
	require.Greater(t, resets, int(10*time.Second/period)/2)
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
	require.LessOrEqual(t, retried, 90*retry.DepositPerFlow/retry.Cost+retry.InitialBalance/retry.Cost+1)
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
