package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/backend"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
)

// The load replayed here comes after a loss of power: agents and servers have restarted, the
// platform does not say yet when, and packets of flows that no server holds arrive.

// lookUp runs the lookup of a packet's flow at an agent and returns the action that follows.
func (c *testCluster) lookUp(t require.TestingT, at fleet.InstanceID, packet *ReceivedPacket) Action {
	packet.Referred = true
	c.agents[at].Receive(settledAt, packet)
	require.IsType(t, &Hold{}, c.agents[at].HandleBouncedPacket(settledAt, packet))
	return runLookup(t, c.agents, at, packet)
}

// A dead flow must be reset after few round trips, not after a step for every agent, each with a
// longer list of those visited.
func TestDeadFlowIsResetAfterFewRoundTripsInAFleetOfAnySize(t *testing.T) {
	for agents, roundTrips := range map[int]int{7: 1, 136: 4, 512: 9} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			c := newTestCluster(t, agents)
			at := c.ids()[0]
			a := c.agents[at]
			packet := receivedPacket(4000, flow.Established, 77)
			require.IsType(t, &Hold{}, c.lookUp(t, at, packet))
			var results []LookupResult
			polled := 0
			for range roundTrips {
				require.Empty(t, results)
				polls, _ := a.Polls(settledAt)
				require.Len(t, polls, 1)
				require.LessOrEqual(t, len(polls[0].Targets), maxPolled)
				for _, target := range polls[0].Targets {
					polled++
					results = append(results, a.HandleDenial(settledAt, target.Process(), packet.Packet.Flow())...)
				}
			}
			require.Len(t, results, 1)
			require.Equal(t, agents-1, polled)
			recordResult(packet, results[0])
			require.Equal(t, &Reset{Reason: ResetUnowned}, a.ResumeAfterLookup(settledAt, packet))
		})
	}
}

// pollForDeadFlow has an agent look up a flow that nobody knows, and returns the agent and the
// flow's packet, which is held for a poll.
func (c *testCluster) pollForDeadFlow(t require.TestingT) (*Agent, *ReceivedPacket) {
	packet := receivedPacket(4000, flow.Established, 77)
	require.IsType(t, &Hold{}, c.lookUp(t, c.ids()[0], packet))
	return c.agents[c.ids()[0]], packet
}

// The owner of a living flow is among the first agents polled, and its claim ends the poll before
// all others get copies.
func TestClaimEndsThePoll(t *testing.T) {
	c := newTestCluster(t, 136)
	a, packet := c.pollForDeadFlow(t)
	id := packet.Packet.Flow()
	polls, _ := a.Polls(settledAt)
	targets := polls[0].Targets
	require.Len(t, targets, firstPolled)
	for _, target := range targets[1:] {
		require.Empty(t, a.HandleDenial(settledAt, target.Process(), id))
		require.Empty(t, a.HandleDenial(settledAt, target.Process(), id), "a denial must count once")
	}
	polls, _ = a.Polls(settledAt)
	require.Empty(t, polls, "no other agent is polled while the last one may own the flow")
	results := a.HandleClaim(settledAt, targets[0].Process(), id)
	require.Len(t, results, 1)
	require.True(t, results[0].Claimed)
	require.Equal(t, targets[0].ID(), results[0].Owner.ID())
	require.Empty(t, a.HandleClaim(settledAt, targets[0].Process(), id))
	_, pending := a.NextLookupTime(settledAt)
	require.False(t, pending)
}

// A machine stays away after the loss of power, and no process suspects it yet. The poll must go on
// without it, and the flow must be denied only once the machine's agent counts as unreachable.
func TestSilentAgentDelaysThePollUntilItIsUnreachable(t *testing.T) {
	for _, unreachable := range []bool{true, false} {
		t.Run(fmt.Sprint(unreachable), func(t *testing.T) {
			c := newTestCluster(t, 20)
			c.setIdempotent(t, true)
			a, packet := c.pollForDeadFlow(t)
			id := packet.Packet.Flow()
			first, _ := a.Polls(settledAt)
			silent := first[0].Targets[0].ID()
			polled := map[fleet.InstanceID]bool{}
			var toProbe []fleet.InstanceID
			now := settledAt
			for ; now.Before(settledAt.Add(3 * pollInterval)); now = now.Add(pollInterval / 4) {
				for _, state := range a.polls {
					for _, agent := range slices.Clone(state.awaiting) {
						polled[agent] = true
						if agent != silent {
							require.Empty(t, a.HandleDenial(now, fleet.Process{ID: agent}, id))
						}
					}
				}
				_, fallenSilent := a.Polls(now)
				toProbe = append(toProbe, fallenSilent...)
			}
			require.Len(t, polled, 19)
			require.Empty(t, a.ExpirePolls(now))
			require.Equal(t, []fleet.InstanceID{silent}, toProbe)
			if !unreachable {
				now = now.Add(pollPatience)
				results := a.ExpirePolls(now)
				require.Equal(t, []LookupResult{{Flow: id, GivenUp: true}}, results)
				return
			}
			c.state.Peers().SetReachable(now, silent, false)
			c.applyViewAt(now)
			a.Polls(now.Add(pollInterval))
			results := a.ExpirePolls(now.Add(pollInterval))
			require.Len(t, results, 1)
			require.Len(t, results[0].DeniedBy, 18)
			recordResult(packet, results[0])
			require.Equal(t, &Reset{Reason: ResetOwnerLost}, a.ResumeAfterLookup(settledAt, packet))
		})
	}
}

// All agents that would be polled first go silent together, as in a cut. The poll must go on with the
// others instead of waiting for ever.
func TestPollGoesOnWhenThoseToBePolledBecomeUnreachable(t *testing.T) {
	c := newTestCluster(t, 20)
	a, packet := c.pollForDeadFlow(t)
	for _, state := range a.polls {
		for _, id := range state.awaiting {
			c.state.Peers().SetReachable(settledAt, id, false)
		}
	}
	c.applyViewAt(settledAt)
	var results []LookupResult
	for range 2 {
		polls, _ := a.Polls(settledAt)
		require.Len(t, polls, 1)
		for _, target := range polls[0].Targets {
			results = append(results, a.HandleDenial(settledAt, target.Process(), packet.Packet.Flow())...)
		}
	}
	require.Len(t, results, 1)
	require.Len(t, results[0].DeniedBy, 19-firstPolled)
}

// A service is removed while its flows are polled for. Guards against polls that never end.
func TestPollEndsWhenItsServiceIsRemoved(t *testing.T) {
	c := newTestCluster(t, 20)
	a, _ := c.pollForDeadFlow(t)
	services, _, _ := c.state.Documents()
	_, err := c.state.Apply(settledAt, &fleet.ServicesDocument{Revision: fleet.Revision{Number: services.Number + 1}})
	require.NoError(t, err)
	c.applyViewAt(settledAt)
	a.Polls(settledAt)
	require.Len(t, a.ExpirePolls(settledAt), 1)
	require.Empty(t, a.polls)
}

// An agent that was polled must answer itself, not pass the packet on.
func TestPolledPacketIsAnsweredNotForwarded(t *testing.T) {
	c := newTestCluster(t, 12)
	ids := c.ids()
	a := c.agents[ids[1]]
	poll := func(port uint16, token uint32) *ReceivedPacket {
		packet := receivedPacket(port, flow.Established, token)
		packet.Polled, packet.FromAgent, packet.Sender, packet.Visited = true, true, ids[0], ids[:1]
		return packet
	}
	packet := poll(4000, 77)
	require.IsType(t, &Deliver{}, a.Receive(settledAt, packet), "only the server knows whether it holds the flow")
	require.Empty(t, a.Claims(settledAt))
	require.IsType(t, &Deny{}, a.HandleBouncedPacket(settledAt, packet))
	require.Empty(t, a.Claims(settledAt.Add(claimDelay)))

	a.StoreRegistrations(settledAt, ids[2], []uint64{packet.Packet.Flow().Hash()})
	require.Equal(t, &Deliver{}, a.Receive(settledAt, packet), "the registered owner is polled as well")
	a.HandleBackendPacket(settledAt.Add(time.Millisecond), flow.Reply{Flow: flowOf(4009), HandshakeToken: 1, IsHandshakeReply: true})
	require.Empty(t, a.Claims(settledAt.Add(claimDelay-1)))
	require.Equal(t, []Claim{{Poller: ids[0], Flow: packet.Packet.Flow()}}, a.Claims(settledAt.Add(claimDelay)), "the server lives and has not bounced the packet")

	opening := receivedPacket(4001, flow.Opening, 0)
	opening.Placed = true
	_, action := c.routePacket(t, ids[1], opening)
	require.IsType(t, &Deliver{}, action)
	require.True(t, a.Receive(settledAt, poll(4001, c.backends[ids[1]].token)).(*Deliver).Claims)

	c.startAgents(epoch)
	c.setBackendStarts(t, epoch)
	require.IsType(t, &Deny{}, a.Receive(settledAt, poll(4002, 77)), "an agent that knows all flows need not ask its server")
}

// A server that has gone silent bounces nothing. Its agent must not claim all flows that are polled
// for, which would keep each of them from being denied.
func TestAgentOfASilentServerClaimsNoFlow(t *testing.T) {
	c := newTestCluster(t, 3)
	c.setIdempotent(t, true)
	c.applyView()
	ids := c.ids()
	a := c.agents[ids[1]]
	packet := receivedPacket(4000, flow.Established, 77)
	packet.Polled, packet.FromAgent, packet.Sender = true, true, ids[0]
	require.IsType(t, &Deliver{}, a.Receive(settledAt, packet))
	for age := time.Duration(0); age <= 2*claimLifetime; age += claimDelay {
		require.Empty(t, a.Claims(settledAt.Add(age)))
	}
	require.Empty(t, a.pendingClaims)

	opening := receivedPacket(4001, flow.Opening, 0)
	opening.Placed = true
	require.IsType(t, &Deliver{}, a.Receive(settledAt, opening))
	a.RetryOverdue(settledAt.Add(responseTimeout))
	packet.Evidence = ownership.Evidence{}
	packet.Packet = packet.Packet.WithPayloadSize(300)
	require.IsType(t, &Deliver{}, a.Receive(settledAt.Add(responseTimeout), packet))
	require.IsType(t, &ReportSilence{}, a.Receive(settledAt.Add(backend.ResetTimeout), packet), "the agent can neither claim nor deny the flow")
}

// Agents that know nothing after a restart must not be queried for each of thousands of flows
// before they are polled.
func TestAgentsThatKnowNothingAreNotQueriedForEachFlow(t *testing.T) {
	c := newTestCluster(t, 136)
	a, _ := c.pollForDeadFlow(t)
	for port := range uint16(100) {
		packet := receivedPacket(5000+port, flow.Established, 77)
		packet.Referred = true
		a.Receive(settledAt, packet)
		require.IsType(t, &Hold{}, a.HandleBouncedPacket(settledAt, packet))
	}
	require.Empty(t, a.OwnershipQueries(settledAt.Add(queryInterval)))
	require.Len(t, a.polls, 101)
	packet := receivedPacket(6000, flow.Established, 77)
	packet.Referred = true
	later := settledAt.Add(unawarePeriod)
	a.RecordViewConfirmed(later)
	require.IsType(t, &Hold{}, a.HandleBouncedPacket(later, packet))
	require.Len(t, a.OwnershipQueries(later), 135, "the platform may have told them since")
}

// Polls are bounded like lookups.
func TestPollsAreBounded(t *testing.T) {
	c := newTestCluster(t, 20)
	a := c.agents[c.ids()[0]]
	for port := range uint16(2 * maxPolls) {
		packet := receivedPacket(1000+port, flow.Established, 77)
		packet.LookedUp = true
		a.ResumeAfterLookup(settledAt, packet)
	}
	require.Len(t, a.polls, maxPolls)
}
