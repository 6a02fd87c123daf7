package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// exchange delivers the messages in outputs of one controller to another over their only link,
// and the replies, until neither sends any more.
func exchange(now time.Time, from, to *Controller, outputs []Output) {
	for _, output := range outputs {
		if send, ok := output.(Send); ok {
			exchange(now, to, from, to.HandleMessage(now, send.Link, send.Message))
		}
	}
}

// selecting returns a services document in which orders selects the servers of some apps.
func selecting(number uint64, apps ...string) *fleet.ServicesDocument {
	document := &fleet.ServicesDocument{Services: []fleet.Service{{
		Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp",
		Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {"app": apps}},
	}}}
	document.Number = number
	return document
}

// A process that joins a running fleet of hundreds of agents must know at once which servers a
// service had before, since it denies flows that none of its candidates owns.
func TestNewcomerReceivesFormerSelectorsOnItsFirstLink(t *testing.T) {
	const link = LinkID(1)
	veteran := newProbedFleet(68)
	joinsAt := epoch.Add(time.Hour)
	veteran.ApplyDocuments(joinsAt.Add(-2*time.Second), selecting(2, "orders", "patterns"))
	veteran.ApplyDocuments(joinsAt.Add(-time.Second), selecting(3, "orders"))
	newcomer := New(joinsAt, Config{Self: fleet.InstanceIDOf("orders-1"), Incarnation: 2, Role: fleet.RoleAgent, DataCentre: "north"}, rand.New(rand.NewPCG(2, 2)))
	former := fleet.InstanceIDOf("patterns-7")

	newcomer.HandleLinkUp(joinsAt, link, true)
	exchange(joinsAt, veteran, newcomer, veteran.HandleLinkUp(joinsAt, link, false))
	require.True(t, newcomer.View().CanRoute())
	require.True(t, newcomer.View().LacksHistory(joinsAt), "the documents alone do not tell former selectors")

	afterDocuments := joinsAt.Add(summaryInterval)
	exchange(afterDocuments, newcomer, veteran, newcomer.Tick(afterDocuments))
	newcomer.Tick(afterDocuments.Add(TickInterval))
	view := newcomer.View()
	require.False(t, view.LacksHistory(afterDocuments))
	target := view.Service(fleet.ServiceIDOf("orders")).Target(former)
	require.NotNil(t, target)
	require.True(t, target.IsResidual())
	require.Len(t, newcomer.prober.near.peers, 67+68, "the former servers of orders are siblings whose reachability matters")
}

// An agent starts while no service selects some servers any more, on which flows may be open. Guards
// against a search that waits for agents whose reachability the newcomer does not know.
func TestNewcomerProbesAgentsThatNoServiceSelects(t *testing.T) {
	const link = LinkID(1)
	veteran := newProbedFleet(3)
	joinsAt := epoch.Add(time.Second)
	veteran.ApplyDocuments(joinsAt, selecting(2, "orders"))
	newcomer := New(joinsAt, Config{Self: fleet.InstanceIDOf("orders-1"), Incarnation: 2, Role: fleet.RoleAgent, DataCentre: "north"}, rand.New(rand.NewPCG(2, 2)))
	newcomer.HandleLinkUp(joinsAt, link, true)
	exchange(joinsAt, veteran, newcomer, veteran.HandleLinkUp(joinsAt, link, false))
	require.True(t, newcomer.View().LacksHistory(joinsAt))
	require.Contains(t, newcomer.prober.near.peers, fleet.InstanceIDOf("patterns-1"))
}

// Versions follow each other quickly, and one process gets two of them as one change. Guards against
// resets of the flows that others have placed by the version that it has not seen, once the agent
// that owns them has restarted.
func TestProcessLearnsFormerSelectorsOfVersionsItHasNotSeen(t *testing.T) {
	const link = LinkID(1)
	other, late := newProbedFleet(4), newProbedFleet(4)
	changedAt := epoch.Add(2 * time.Minute)
	for _, c := range []*Controller{other, late} {
		c.HandleLinkUp(changedAt, link, c == other)
	}
	other.ApplyDocuments(changedAt, selecting(2, "patterns"))
	other.ApplyDocuments(changedAt.Add(100*time.Millisecond), selecting(3, "orders"))
	late.ApplyDocuments(changedAt.Add(100*time.Millisecond), selecting(3, "orders"))
	former := fleet.InstanceIDOf("patterns-2")
	require.Nil(t, late.View().Service(fleet.ServiceIDOf("orders")).Target(former))
	learned := false
	end := changedAt.Add(70 * time.Second)
	for now := changedAt.Add(150 * time.Millisecond); now.Before(end); now = now.Add(TickInterval) {
		exchange(now, other, late, other.Tick(now))
		exchange(now, late, other, late.Tick(now))
		if now.Sub(changedAt) == summaryInterval+250*time.Millisecond {
			target := late.View().Service(fleet.ServiceIDOf("orders")).Target(former)
			require.NotNil(t, target)
			require.True(t, target.IsResidual())
			require.Equal(t, other.state.FormerDigest(now), late.state.FormerDigest(now))
			learned = true
		}
	}
	require.True(t, learned)
	for _, c := range []*Controller{other, late} {
		require.Zero(t, c.state.FormerDigest(end), "what one process forgets must not come back from the other")
	}
}

// A process starts while a peer is away for a planned restart. Guards against resets of the flows at
// that peer's server: the newcomer finds the peer unreachable within half a second, and must know
// by then that the peer has announced its departure.
func TestNewcomerLearnsOnItsFirstLinkWhoLeaves(t *testing.T) {
	const link, earlierLink = LinkID(1), LinkID(2)
	veteran := newProbedFleet(4)
	leaving := fleet.InstanceIDOf("orders-2")
	joinsAt := epoch.Add(time.Minute)
	veteran.HandleLinkUp(joinsAt, earlierLink, false)
	veteran.HandleMessage(joinsAt, earlierLink, &Message{Records: []fleet.PeerRecord{{ID: leaving, Incarnation: 1, Sequence: 1, State: fleet.PeerLeaving}}})
	newcomer := New(joinsAt, Config{Self: fleet.InstanceIDOf("orders-1"), Incarnation: 2, Role: fleet.RoleAgent, DataCentre: "north"}, rand.New(rand.NewPCG(2, 2)))
	greeting := newcomer.HandleLinkUp(joinsAt, link, true)
	exchange(joinsAt, veteran, newcomer, veteran.HandleLinkUp(joinsAt, link, false))
	exchange(joinsAt, newcomer, veteran, greeting)
	for now := joinsAt; now.Before(joinsAt.Add(900 * time.Millisecond)); now = now.Add(TickInterval) {
		exchange(now, newcomer, veteran, newcomer.Tick(now))
	}
	target := newcomer.View().Service(fleet.ServiceIDOf("orders")).Target(leaving)
	require.False(t, target.IsReachable())
	require.True(t, target.MayReturn())
}

// Processes that start together know equally little and must not tell each other so again and
// again.
func TestProcessesThatStartTogetherExchangeNoHistory(t *testing.T) {
	const link = LinkID(1)
	one, other := newProbedFleet(4), newProbedFleet(4)
	other.state.StartHistory(epoch.Add(300 * time.Millisecond))
	one.HandleLinkUp(epoch, link, true)
	for _, output := range one.HandleMessage(epoch, link, other.newSummary(epoch)) {
		if send, ok := output.(Send); ok {
			require.Nil(t, send.Message.History)
		}
	}
}
