package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// An opening packet has waited at another agent, so that its caller may have sent the next copy, and
// another server may have opened the flow for that. A refusal here must not reset it. After the last
// copy the caller is told.
func TestRefusalDoesNotResetAFlowWhoseNextCopyMayBeOpen(t *testing.T) {
	for copies, expected := range map[uint32]Action{
		0: &Drop{Reason: DropCopyDue},
		1: &Drop{Reason: DropCopyDue},
		2: &Reset{Reason: RefuseNotAccepting},
	} {
		c := newTestCluster(t, 1)
		a := c.agents[c.ids()[0]]
		a.Drain()
		packet := receivedPacket(4000, flow.Opening, copies)
		packet.Placed, packet.Waited = true, true
		require.Equal(t, expected, a.Receive(settledAt, packet))
	}
}

// A server has left an opening packet unanswered for responseTimeout. The agent that gets it next
// does not know when the caller sends the next copy.
func TestRetriedOpeningIsMarkedAsWaited(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.agents[c.ids()[0]]
	packet := receivedPacket(4000, flow.Opening, 0)
	packet.Placed = true
	require.IsType(t, &Deliver{}, a.Receive(settledAt, packet))
	retries := a.RetryOverdue(settledAt.Add(responseTimeout))
	require.Len(t, retries, 1)
	require.True(t, retries[0].Action.(*Forward).Waited)
}

// One service of a priority must not set the limit of another one of that priority, which the agent
// may not even serve.
func TestQueueLimitIsThatOfTheService(t *testing.T) {
	c := newTestCluster(t, 1)
	a := c.agents[c.ids()[0]]
	document := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 3}}
	for _, s := range []fleet.Service{
		{Name: "orders", Address: "10.9.0.1:80", LatencyObjective: 800 * time.Millisecond, Selectors: map[string]fleet.Selector{"north": {"app": {"orders"}}}},
		{Name: "patterns", Address: "10.9.0.2:80", LatencyObjective: 100 * time.Millisecond, Selectors: map[string]fleet.Selector{"north": {"app": {"patterns"}}}},
	} {
		s.Protocol = "tcp"
		document.Services = append(document.Services, s)
	}
	_, err := c.state.Apply(epoch, document)
	require.NoError(t, err)
	c.applyView()
	a.load.running = slots
	patterns, orders := a.view.Service(fleet.ServiceIDOf("patterns")), a.view.Service(fleet.ServiceIDOf("orders"))
	a.cacheQueueLimit(patterns)
	require.Equal(t, serverObjective(orders), a.queueLimit(orders))
}

// A sibling that drains reports no limit. Its running requests do not wait, so that slots must not be
// offered to it instead of to one where requests wait.
func TestDrainingSiblingIsOfferedNoSlots(t *testing.T) {
	c := newTestCluster(t, 3)
	ids := c.ids()
	a := c.agents[ids[0]]
	a.HandleReport(settledAt, ids[1], Report{Running: 9, Limit: 0, MaxOwned: 100})
	a.HandleReport(settledAt, ids[2], Report{Running: 4, Limit: 2, MaxOwned: 100})
	require.Equal(t, ids[2], a.OfferRecipient(settledAt).ID())
}

// Agents come and go for months. The reports of those that are gone must not be kept.
func TestReportsOfAgentsThatAreGoneAreRemoved(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.agents[c.ids()[0]]
	a.HandleReport(settledAt, fleet.InstanceIDOf("gone"), Report{Limit: 2})
	a.HandleReport(settledAt, c.ids()[1], Report{Limit: 2})
	c.applyView()
	require.Len(t, a.reports, 1)
}
