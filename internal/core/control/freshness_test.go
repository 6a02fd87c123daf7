package control

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// agentInstances returns a document that lists agents n0, n1 and so on, distributed evenly over
// data centres dc0, dc1 and so on.
func agentInstances(agents, dataCentres int) *fleet.InstancesDocument {
	d := &fleet.InstancesDocument{Revision: fleet.Revision{Number: 1}}
	for i := range agents {
		d.Instances = append(d.Instances, fleet.Instance{
			Name: fmt.Sprintf("n%d", i), Role: fleet.RoleAgent, DataCentre: fmt.Sprintf("dc%d", i%dataCentres),
			Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
		})
	}
	return d
}

// countReaders returns the number of controllers that would read the platform now.
func countReaders(n *network, now time.Time) int {
	count := 0
	for _, c := range n.controllers {
		if c.ShouldReadPlatform(now) {
			count++
		}
	}
	return count
}

// deliverAll delivers all messages in order, including those sent in response.
func (n *network) deliverAll(now time.Time) {
	for len(n.queue) > 0 {
		n.deliver(0, now)
	}
}

// Guards against a load on the platform that grows with the fleet. While readers keep the view
// fresh, only they read; once it is stale, the other processes begin in order of rank.
func TestOnlyReadersReadWhileViewIsFresh(t *testing.T) {
	n := newNetwork(9)
	now := epoch.Add(maxFirstReadDelay)
	require.Equal(t, 9, countReaders(n, now), "without documents every process must read")
	n.enqueueSends(0, n.controllers[0].ApplyDocuments(now, agentInstances(9, 3)))
	n.deliverAll(now)
	require.Equal(t, readerCount, countReaders(n, now))
	for range 20 {
		now = now.Add(time.Second)
		for i, c := range n.controllers {
			if c.viewFreshness.readRank < readerCount {
				n.enqueueSends(i, c.Confirm(now))
			}
		}
		n.deliverAll(now)
		require.Equal(t, readerCount, countReaders(n, now.Add(time.Second)))
	}
	oldest := now.Add(staleAfter + time.Millisecond)
	require.Equal(t, readerCount+1, countReaders(n, oldest), "once the view is stale, only the next process in rank must join the readers")
	require.Equal(t, 9, countReaders(n, oldest.Add(9*delayPerRank)), "after the maximum delay every process must read")
}

// Guards against readers that all fail with one data centre.
func TestReadersAreInDifferentDataCentres(t *testing.T) {
	n := newNetwork(9)
	n.enqueueSends(0, n.controllers[0].ApplyDocuments(epoch, agentInstances(9, 3)))
	n.deliverAll(epoch)
	readerDataCentres := make(map[int]bool)
	for i, c := range n.controllers {
		if c.viewFreshness.readRank < readerCount {
			readerDataCentres[i%3] = true
		}
	}
	require.Len(t, readerDataCentres, readerCount)
}

// Guards against processes that treat their view as stale, and read the platform, although a peer
// has just confirmed the same view.
func TestViewAgeIsGossiped(t *testing.T) {
	n := newNetwork(3)
	n.enqueueSends(0, n.controllers[0].ApplyDocuments(epoch, agentInstances(3, 1)))
	n.deliverAll(epoch)
	now := epoch.Add(time.Second)
	n.enqueueSends(0, n.controllers[0].Confirm(now))
	n.deliverAll(now.Add(10 * time.Millisecond))
	for _, c := range n.controllers {
		age, known := c.ViewAge(now.Add(20 * time.Millisecond))
		require.True(t, known)
		require.LessOrEqual(t, age, 20*time.Millisecond)
	}
}

// Guards against sending a change of hundreds of entries on every link: each process would receive
// it as many times as it has links. It must request such a change, and from one peer only.
func TestLargeChangeIsSentOncePerProcess(t *testing.T) {
	n := newNetwork(6)
	large := &fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}}
	for i := range 400 {
		large.Backends = append(large.Backends, fleet.Backend{Name: fmt.Sprintf("b%d", i), DataCentre: "north"})
	}
	n.queue = nil
	n.enqueueSends(0, n.controllers[0].ApplyDocuments(epoch, large))
	sent := 0
	for len(n.queue) > 0 {
		if n.queue[0].message.Changes != nil {
			sent++
		}
		n.deliver(0, epoch)
	}
	for _, c := range n.controllers {
		require.Equal(t, fleet.Revision{Number: 1}, c.state.Revisions().Backends)
	}
	require.LessOrEqual(t, sent, len(n.controllers)-1)
}

// A balancer that was short of processor time marked all its peers as unreachable, since it read
// their replies too late. While every tick is late, no peer may become unreachable; once ticks are
// on time, a peer that does not reply must.
func TestLateTicksDoNotMakePeersUnreachable(t *testing.T) {
	c := New(epoch, Config{Self: fleet.InstanceIDOf("n0"), Incarnation: 1, Role: fleet.RoleBalancer, DataCentre: "dc0"}, rand.New(rand.NewPCG(1, 1)))
	c.ApplyDocuments(epoch, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{
		{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}}},
	}})
	c.ApplyDocuments(epoch, &fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}, Backends: []fleet.Backend{{Name: "n1", DataCentre: "dc1"}}})
	c.ApplyDocuments(epoch, agentInstances(2, 2))
	peer := fleet.InstanceIDOf("n1")
	now := epoch
	for range 20 {
		c.Tick(now)
		now = now.Add(4 * TickInterval)
	}
	require.False(t, c.state.Peers().IsUnreachable(peer), "the peer is unreachable although every tick was late")
	for range 20 {
		c.Tick(now)
		now = now.Add(TickInterval)
	}
	require.True(t, c.state.Peers().IsUnreachable(peer))
}

// Guards against a delay before a peer is probed whose flows go unanswered, and against a burst of
// probes when many flows go unanswered: the first report sends a probe at once, and further ones
// send none while its reply is awaited.
func TestUnansweredTrafficSendsOneProbeAtOnce(t *testing.T) {
	c := New(epoch, Config{Self: fleet.InstanceIDOf("n0"), Incarnation: 1, Role: fleet.RoleBalancer, DataCentre: "dc0"}, rand.New(rand.NewPCG(1, 1)))
	c.ApplyDocuments(epoch, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{
		{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}}},
	}})
	c.ApplyDocuments(epoch, &fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}, Backends: []fleet.Backend{{Name: "n1", DataCentre: "dc1"}}})
	c.ApplyDocuments(epoch, agentInstances(2, 2))
	peer := fleet.InstanceIDOf("n1")
	outputs := c.ProbePeer(epoch, peer)
	require.Len(t, outputs, 1)
	require.IsType(t, Probe{}, outputs[0])
	require.Empty(t, c.ProbePeer(epoch, peer), "a second probe was sent while the first awaits a reply")
}

// After a start of the whole fleet, balancers confirmed each other's empty views, and then rejected
// every flow because they did not know its service. Guards against confirming a view without documents of
// services and instances.
func TestEmptyViewIsNeverConfirmed(t *testing.T) {
	n := newNetwork(2)
	now := n.converge(epoch)
	for _, c := range n.controllers {
		require.False(t, c.IsConfirmed(now))
	}
	n.enqueueSends(0, n.controllers[0].ApplyDocuments(now, agentInstances(2, 1)))
	n.deliverAll(now)
	require.False(t, n.controllers[1].IsConfirmed(now), "the view is confirmed without a document of services")
	n.enqueueSends(0, n.controllers[0].ApplyDocuments(now, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}}))
	n.deliverAll(now)
	require.True(t, n.controllers[1].IsConfirmed(now))
}

// After a start of the whole fleet, all processes have dialled the same three seeds. Guards against
// links beyond the limit that stay open, and against closing them before the peers have received
// the documents.
func TestSurplusAcceptedLinksAreClosed(t *testing.T) {
	c := New(epoch, Config{Self: 1, Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	for i := range 100 {
		c.HandleLinkUp(epoch, LinkID(i+1), i < wantedDialledLinks)
	}
	known := epoch.Add(2 * learningTime)
	c.Tick(known)
	require.Equal(t, 100, c.LinkCount(), "a link was closed before this process had documents to send")
	applyTargets(c, known, 1)
	c.Tick(known.Add(learningTime - time.Millisecond))
	require.Equal(t, 100, c.LinkCount(), "a link was closed within the learning time")
	now := known.Add(learningTime + time.Millisecond)
	for id := range c.links {
		c.HandleMessage(now, id, c.newSummary(now))
	}
	c.Tick(now)
	require.Equal(t, maxAcceptedLinks+wantedDialledLinks, c.LinkCount())
}

// In a large fleet some weight has always just changed. Tables that differed only in weights were
// compared record by record on every link. Guards against weights in the digest, and against a
// digest that misses a change of state.
func TestTablesDifferingOnlyInWeightsHaveEqualDigests(t *testing.T) {
	n := newNetwork(2)
	now := n.converge(epoch)
	other := n.controllers[1].ownRecord
	other.Weight, other.Sequence = 3*fleet.DefaultWeight, other.Sequence+1
	n.controllers[0].state.Peers().Merge(epoch, other)
	require.Equal(t, n.controllers[0].tableDigest(), n.controllers[1].tableDigest())
	other.State, other.Sequence = fleet.PeerLeaving, other.Sequence+1
	n.controllers[0].state.Peers().Merge(epoch, other)
	require.NotEqual(t, n.controllers[0].tableDigest(), n.controllers[1].tableDigest())
	n.converge(now)
	require.Equal(t, n.controllers[0].tableDigest(), n.controllers[1].tableDigest())
}

// A process that is cut off from all others, but not from the platform, must read for itself as soon as
// its view is stale, whatever its rank in a large fleet: changes must be in force there in time, too.
func TestProcessWithoutLinksReadsAsSoonAsItsViewIsStale(t *testing.T) {
	c := New(epoch, Config{Self: fleet.InstanceIDOf("balancer"), Incarnation: 1, Role: fleet.RoleBalancer, DataCentre: "dc0"}, rand.New(rand.NewPCG(1, 1)))
	c.ApplyDocuments(epoch, agentInstances(6500, 5))
	stale := epoch.Add(staleAfter + time.Millisecond)
	c.HandleLinkUp(epoch, 1, true)
	require.False(t, c.ShouldReadPlatform(stale), "peers of lower rank read first")
	c.HandleLinkDown(1)
	require.True(t, c.ShouldReadPlatform(stale))
	c.RecordReadFailure(stale)
	require.False(t, c.ShouldReadPlatform(stale))
	require.True(t, c.ShouldReadPlatform(stale.Add(minRetryDelay)), "no peer can tell it of a change meanwhile")
}

// Everything returns after a loss of power, the processes that the others dial first among the last.
// Guards against a first read that is put off until a peer answers that has not started either.
func TestFirstReadIsMadeAtOnceIfNoPeerCanHelp(t *testing.T) {
	seeds := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.2:1")}
	incomplete := &Message{Summary: &Summary{ID: 2, Incarnation: 1, ViewAge: -1}}
	for _, test := range []struct {
		name   string
		happen func(c *Controller, now time.Time)
		isDue  bool
	}{
		{"nothing has happened yet", func(*Controller, time.Time) {}, false},
		{"the peer cannot be dialled", func(c *Controller, now time.Time) { c.HandleDialFailed(now) }, true},
		{"the peer has too many links", func(c *Controller, now time.Time) { c.HandleLinkRefused(now) }, true},
		{"the peer has no documents", func(c *Controller, now time.Time) {
			c.HandleLinkUp(now, 1, true)
			c.HandleMessage(now, 1, incomplete)
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(epoch, Config{Self: 1, Role: fleet.RoleAgent, Seeds: seeds}, rand.New(rand.NewPCG(1, 1)))
			now := epoch.Add(maxFirstReadDelay)
			test.happen(c, now)
			require.Equal(t, test.isDue, c.ShouldReadPlatform(now))
			require.True(t, c.ShouldReadPlatform(epoch.Add(peerPatience+maxFirstReadDelay)))
		})
	}
}
