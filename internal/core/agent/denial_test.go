package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// resetByServer is the packet by which a backend server resets a flow that it does not hold.
func resetByServer(port uint16) flow.Reply {
	return flow.Reply{Flow: flowOf(port), IsFinal: true, IsReset: true}
}

// A flow was handed over to a new server milliseconds ago, and its next packet is polled for. Another
// new server gets a copy and resets it. The caller must not get that reset while the flow is open at
// its owner, and the poll must go on.
func TestResetOfAPolledFlowCountsAsADenial(t *testing.T) {
	c := newTestCluster(t, 3)
	ids := c.ids()
	a := c.agents[ids[1]]
	packet := receivedPacket(4000, flow.Established, 77)
	packet.Polled, packet.Sender = true, ids[0]
	require.IsType(t, &Deliver{}, a.Receive(settledAt, packet))
	require.Equal(t, DropResetUnowned, a.HandleBackendPacket(settledAt, resetByServer(4000)))
	require.Equal(t, []Denial{{Poller: ids[0], Flow: flowOf(4000)}}, a.Denials())
	require.Empty(t, a.Denials(), "a denial must be sent once")
	require.Empty(t, a.Claims(settledAt.Add(claimDelay)), "a flow that the server has reset must not be claimed")
	require.IsType(t, &Deny{}, a.Receive(settledAt, packet), "the next copy must not reach the server")
}

// Without a poll the reset ends at the agent, too, and the caller's retransmission finds the owner.
func TestRetransmissionAfterAnUnownedResetIsSearchedFor(t *testing.T) {
	c := newTestCluster(t, 3)
	ids := c.ids()
	owner := c.open(t, ids[0], 4000)
	var other fleet.InstanceID
	for _, id := range ids {
		if id != owner {
			other = id
		}
	}
	a := c.agents[other]
	delete(a.flows, flowOf(4000))
	packet := receivedPacket(4000, flow.Established, c.backends[owner].token)
	require.IsType(t, &Deliver{}, a.Receive(settledAt, packet))
	require.Equal(t, DropResetUnowned, a.HandleBackendPacket(settledAt, resetByServer(4000)))
	c.requireFound(t, other, receivedPacket(4000, flow.Established, c.backends[owner].token), owner)
	a.SweepCarried(settledAt.Add(denialLifetime))
	require.False(t, a.denials.has(settledAt.Add(denialLifetime), flowOf(4000)))
	require.Empty(t, a.denials.until, "denials must not accumulate")
}

// Two servers have answered an opening packet and its copy, and the caller has confirmed the other
// one. When this server gives up its half of the flow, the caller must not notice.
func TestResetOfAFlowConfirmedElsewhereIsNotSentToItsCaller(t *testing.T) {
	c := newTestCluster(t, 2)
	id := c.ids()[0]
	a := c.agents[id]
	opening := receivedPacket(4000, flow.Opening, 0)
	opening.Placed = true
	require.IsType(t, &Deliver{}, a.Receive(settledAt, opening))
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), HandshakeToken: 5, IsHandshakeReply: true})
	require.Equal(t, DropResetUnowned, a.HandleBackendPacket(settledAt.Add(time.Second), resetByServer(4000)))
	require.Zero(t, a.load.Running(), "the flow must not keep its slot")
}

// A reset of a flow that is open at this server, or that it refuses to open, is its own answer.
func TestResetsOfTheOwningServerReachTheCaller(t *testing.T) {
	c := newTestCluster(t, 1)
	id := c.ids()[0]
	c.open(t, id, 4000)
	require.Empty(t, c.agents[id].HandleBackendPacket(settledAt, resetByServer(4000)))
	require.IsType(t, &Deliver{}, c.agents[id].Receive(settledAt, receivedPacket(4001, flow.Opening, 0)))
	require.Empty(t, c.agents[id].HandleBackendPacket(settledAt, resetByServer(4001)))
}
