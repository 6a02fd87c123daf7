package agent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// newOfferCluster returns an agent at which five opening packets wait, and a sibling that is idle.
func newOfferCluster(t *testing.T) (*testCluster, *Agent, *Agent) {
	c := newTestCluster(t, 3)
	c.setObjective(t, returnTimeout)
	for _, a := range c.agents {
		a.config.Placement = HandOverWhenFull{}
	}
	full := c.agents[c.ids()[0]]
	for port := uint16(1024); full.waiting.Len() < 5; port++ {
		packet := receivedPacket(port, flow.Opening, 0)
		packet.Placed, packet.Visited = true, []fleet.InstanceID{1, 2}
		full.Receive(settledAt, packet)
	}
	return c, full, c.agents[c.ids()[1]]
}

// Guards against opening packets that wait at one agent while another has free slots, and against
// an agent that hands more of them over than the other has slots.
func TestIdleAgentTakesOverWaitingOpenings(t *testing.T) {
	c, full, idle := newOfferCluster(t)
	recipients, isOffer := full.UrgentReport(settledAt)
	require.Len(t, recipients, 2)
	require.False(t, isOffer)
	require.False(t, full.ShouldReportWaiting(settledAt.Add(waitingReportInterval-1)))
	report := full.Report(settledAt)
	require.EqualValues(t, full.load.Running()+5, report.Running)

	idle.HandleReport(settledAt, full.config.Self, report)
	recipients, isOffer = idle.UrgentReport(settledAt)
	require.True(t, isOffer)
	require.Len(t, recipients, 1)
	require.Equal(t, full.config.Self, recipients[0].ID())
	require.Nil(t, idle.OfferRecipient(settledAt.Add(offerInterval-1)))

	full.HandleReport(settledAt, idle.config.Self, idle.Report(settledAt))
	released := full.ReleaseWaiting(settledAt)
	require.Len(t, released, slots)
	for _, resolution := range released {
		forward := resolution.Action.(*Forward)
		require.Equal(t, idle.config.Self, forward.Target.ID())
		require.Equal(t, HandOverFull, forward.Reason)
		require.True(t, forward.Placed)
		require.True(t, forward.Waited)
	}
	require.Empty(t, full.ReleaseWaiting(settledAt))
	require.Empty(t, c.agents[c.ids()[2]].waiting.openings)
}

// Guards against an agent that offers its free slots while opening packets wait for them here.
func TestAgentWithWaitingOpeningsOffersNothing(t *testing.T) {
	_, full, idle := newOfferCluster(t)
	idle.HandleReport(settledAt, full.config.Self, full.Report(settledAt))
	idle.waiting.openings = []waitingOpening{{flow: flowOf(1)}}
	require.Nil(t, idle.OfferRecipient(settledAt))
}

// Guards against opening packets that are handed over because of a report that does not hold any
// more, and against offers to a sibling of which nothing is known.
func TestStaleReportsAreIgnored(t *testing.T) {
	_, full, idle := newOfferCluster(t)
	idle.HandleReport(settledAt, full.config.Self, full.Report(settledAt))
	full.HandleReport(settledAt, idle.config.Self, idle.Report(settledAt))
	later := settledAt.Add(reportLifetime + time.Millisecond)
	for i := range full.waiting.openings {
		opening := &full.waiting.openings[i]
		opening.nextCopyAt, opening.timeoutAt = later.Add(time.Second), later.Add(time.Second)
	}
	require.Empty(t, full.ReleaseWaiting(later))
	require.Nil(t, idle.OfferRecipient(later))
	require.Empty(t, idle.waitingSiblings)
}

// Guards against an opening packet that waits for a report that was lost: a slot that becomes
// free here serves it.
func TestLostReportLeavesOpeningsToTheNextFreeSlot(t *testing.T) {
	_, full, _ := newOfferCluster(t)
	require.Empty(t, full.ReleaseWaiting(settledAt))
	for full.load.isFull() {
		full.load.cancel(settledAt)
	}
	released := full.ReleaseWaiting(settledAt)
	require.Len(t, released, 1)
	require.IsType(t, &Deliver{}, released[0].Action)
}

// Guards against opening packets that go in a circle, and against one that cannot go to a sibling
// and keeps the others from going there.
func TestWaitingOpeningDoesNotReturnToAnAgent(t *testing.T) {
	_, full, idle := newOfferCluster(t)
	for i := range full.waiting.openings[1:] {
		opening := &full.waiting.openings[i+1]
		opening.visited = append(slices.Clone(opening.visited), idle.config.Self)
	}
	only := full.waiting.openings[0].flow
	full.HandleReport(settledAt, idle.config.Self, idle.Report(settledAt))
	released := full.ReleaseWaiting(settledAt)
	require.Len(t, released, 1)
	require.NotContains(t, released[0].Visited, idle.config.Self)
	require.Equal(t, idle.config.Self, full.flows[only].owner)
}

// Guards against callers that get no answer because the agent at which they waited has restarted:
// the next copy is served.
func TestCopiesAreServedAfterARestart(t *testing.T) {
	b := newBurst(t, []float64{1}, burstRead)
	server := b.servers[b.order[0]]
	for range 60 {
		b.arrive(0, 0)
	}
	require.NotZero(t, server.agent.waiting.Len())
	lost := server.agent.waiting.Len()
	config := server.agent.config
	server.agent = New(config, server.agent.view, NewWarmLoad(b.now, slots), rand.New(rand.NewPCG(3, 4)))
	b.run(settledAt.Add(3*time.Second), 0, nil)
	served := 0
	for _, caller := range b.all[60-lost:] {
		if !caller.answeredAt.IsZero() {
			served++
		}
	}
	require.Equal(t, lost, served)
}
