package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// setBackendStarts says when the backend servers have started.
func (r *testCluster) setBackendStarts(t require.TestingT, at time.Time) {
	_, backends, _ := r.state.Documents()
	next := &fleet.BackendsDocument{Revision: backends.Revision + 1}
	for _, backend := range backends.Backends {
		backend.StartedAt = at
		next.Backends = append(next.Backends, backend)
	}
	_, err := r.state.Apply(epoch, next)
	require.NoError(t, err)
	r.applyView()
}

// startAgents starts the time of all agents.
func (r *testCluster) startAgents(at time.Time) {
	for _, a := range r.agents {
		a.Start(at)
	}
}

// referredPacket returns a packet that no registrar knows the owner of.
func referredPacket(port uint16) *ReceivedPacket {
	packet := receivedPacket(port, flow.Established, 77)
	packet.Referred = true
	return packet
}

// Everything has restarted, and the packets of many flows come that nobody owns.
func TestFlowsThatNobodyOwnsAreResetAfterOneRound(t *testing.T) {
	const targets, flows = 40, 200
	r := newTestCluster(t, targets)
	r.startAgents(epoch)
	r.setBackendStarts(t, epoch.Add(time.Second))
	a := r.agents[r.ids()[0]]
	for port := range uint16(flows) {
		require.IsType(t, &Hold{}, a.Receive(settledAt, referredPacket(1024+port)))
	}
	due, pending := a.NextLookupTime(settledAt)
	require.True(t, pending)
	questions := a.OwnershipQueries(due)
	require.Len(t, questions, (targets-1)*((flows+maxQueryFlows-1)/maxQueryFlows), "one for each agent and group of flows")
	var resolutions []LookupResult
	for _, question := range questions {
		testimony := r.agents[question.Target.ID()].AnswerOwnershipQuery(due, question.Round, question.Flows)
		require.True(t, testimony.KnowsAllFlows)
		resolutions = append(resolutions, a.HandleOwnershipReply(due, question.Target.ID(), testimony)...)
	}
	require.Len(t, resolutions, flows)
	for _, resolution := range resolutions {
		packet := receivedPacket(resolution.Flow.Caller().Port(), flow.Established, 1)
		packet.LookedUp, packet.Visited = true, resolution.DeniedBy
		require.Equal(t, &Reset{Reason: ResetUnowned}, a.ResumeAfterLookup(settledAt, packet))
	}
	_, pending = a.NextLookupTime(settledAt)
	require.False(t, pending)
}

func TestAgentKnowsAllFlowsOfAServerThatStartedWithIt(t *testing.T) {
	for _, test := range []struct {
		name    string
		started time.Duration
		knows   bool
	}{
		{"long before the agent", -time.Minute, false},
		{"a little before the agent", -startTolerance / 2, true},
		{"after the agent", time.Second, true},
		{"in the future, since the clock has stepped", time.Hour, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestCluster(t, 1)
			a := r.agents[r.ids()[0]]
			r.startAgents(settledAt)
			require.False(t, a.knowsAllFlows(settledAt), "the list does not tell")
			r.setBackendStarts(t, settledAt.Add(test.started))
			require.Equal(t, test.knows, a.knowsAllFlows(settledAt.Add(2*time.Second)))
		})
	}
}

// An agent does not answer a question. The flow is found by visiting.
func TestLateAnswersEndInAVisit(t *testing.T) {
	r := newTestCluster(t, 3)
	r.startAgents(epoch)
	r.setBackendStarts(t, epoch.Add(time.Second))
	ids := r.ids()
	owner := r.open(t, ids[0], 4000)
	asker := r.agents[agentOtherThan(ids, owner)]
	packet := referredPacket(4000)
	require.IsType(t, &Hold{}, asker.Receive(settledAt, packet))
	due, _ := asker.NextLookupTime(settledAt)
	for _, question := range asker.OwnershipQueries(due) {
		if question.Target.ID() != owner {
			testimony := r.agents[question.Target.ID()].AnswerOwnershipQuery(due, question.Round, question.Flows)
			require.Empty(t, asker.HandleOwnershipReply(due, question.Target.ID(), testimony))
		}
	}
	require.Empty(t, asker.ExpireLookups(due.Add(lookupTimeout-time.Millisecond)))
	resolutions := asker.ExpireLookups(due.Add(lookupTimeout))
	require.Len(t, resolutions, 1)
	require.Nil(t, resolutions[0].Owner)
	require.Len(t, resolutions[0].DeniedBy, 1)
	packet.LookedUp, packet.Visited = true, resolutions[0].DeniedBy
	require.Equal(t, owner, asker.ResumeAfterLookup(settledAt, packet).(*Forward).Target.ID())
}

// Copies of an opening packet wait at two servers, and a packet confirms neither.
func TestTwoHalfOpenFlowsEndTheSearch(t *testing.T) {
	r := newTestCluster(t, 3)
	r.startAgents(epoch)
	r.setBackendStarts(t, epoch.Add(time.Second))
	for _, id := range r.ids()[:2] {
		packet := receivedPacket(4000, flow.Opening, 0)
		packet.Placed = true
		_, action := r.routePacket(t, id, packet)
		require.IsType(t, &Deliver{}, action)
	}
	for _, id := range r.ids() {
		_, action := r.routePacket(t, id, receivedPacket(4000, flow.Established, 9999))
		require.Equal(t, &Reset{Reason: ResetUnowned}, action)
	}
}

func TestLookupsAreBounded(t *testing.T) {
	r := newTestCluster(t, 2)
	r.startAgents(epoch)
	r.setBackendStarts(t, epoch.Add(time.Second))
	a := r.agents[r.ids()[0]]
	for port := range uint16(maxLookups) {
		require.IsType(t, &Hold{}, a.Receive(settledAt, referredPacket(1024+port)))
	}
	require.IsType(t, &Forward{}, a.Receive(settledAt, referredPacket(1023)), "it is visited instead")
}
