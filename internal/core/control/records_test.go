package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Guards against a false suspicion that is never cleared: the suspected process must learn of it, raise the
// sequence of its own record, and gossip the refutation to all processes.
func TestSuspicionIsGossipedAndRefuted(t *testing.T) {
	n := newNetwork(3)
	n.converge(epoch)
	suspect := n.controllers[1].ownRecord
	suspect.Suspected = true
	n.controllers[0].mergeRecord(epoch, suspect)
	record, _ := n.controllers[0].state.Peers().Record(suspect.ID)
	require.True(t, record.Suspected)
	n.converge(epoch.Add(time.Minute))
	for _, c := range n.controllers {
		record, known := c.state.Peers().Record(suspect.ID)
		require.True(t, known)
		require.Equal(t, fleet.PeerAlive, record.State)
		require.False(t, record.Suspected)
		require.Equal(t, suspect.Sequence+1, record.Sequence)
	}
}

// Weights change all the time in a large fleet. Peers receive them in replies to probes. Guards
// against gossip of a weight alone, and against a view that a weight makes unsettled.
func TestWeightChangeKeepsViewSettledAndIsNotGossiped(t *testing.T) {
	c := New(epoch, Config{Self: fleet.InstanceIDOf("e0"), Incarnation: 1, Role: fleet.RoleBalancer}, rand.New(rand.NewPCG(1, 0)))
	applyTargets(c, epoch, 2)
	c.HandleLinkUp(epoch, 1, true)
	id := fleet.InstanceIDOf("b0")
	c.HandleProbeReply(epoch, id, 1, fleet.DefaultWeight)
	now := epoch.Add(time.Second)
	c.Tick(now)
	settled := c.View().SettledAt()
	weight := func() fleet.Weight { return c.View().Service(fleet.ServiceIDOf("orders")).Target(id).Weight() }
	for _, output := range c.HandleProbeReply(now, id, 1, 2*fleet.DefaultWeight) {
		_, isSend := output.(Send)
		require.False(t, isSend, "a change of only the weight was gossiped: %v", output)
	}
	now = now.Add(weightViewDelay + minViewInterval)
	c.Tick(now)
	require.Equal(t, 2*fleet.DefaultWeight, weight())
	require.Equal(t, settled, c.View().SettledAt())
	c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{{ID: id, Incarnation: 1, Sequence: 1, State: fleet.PeerLeaving}}})
	c.Tick(now.Add(minViewInterval))
	require.NotEqual(t, settled, c.View().SettledAt())
	require.Equal(t, 2*fleet.DefaultWeight, weight(), "a record of the same incarnation must keep the weight from the probe reply")
	c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{{ID: id, Incarnation: 2}}})
	c.Tick(now.Add(2 * minViewInterval))
	require.Equal(t, fleet.DefaultWeight, weight(), "a record of a new incarnation must reset the weight")
}

// Guards against gossip of a process's own weight when it changes. The own record still holds
// it, for peers that request the whole table.
func TestOwnWeightIsNotGossiped(t *testing.T) {
	c := New(epoch, Config{Self: fleet.InstanceIDOf("b0"), Incarnation: 1, Role: fleet.RoleAgent}, rand.New(rand.NewPCG(1, 0)))
	c.HandleLinkUp(epoch, 1, true)
	require.Empty(t, c.UpdateOwnRecord(epoch, fleet.PeerAlive, 2*fleet.DefaultWeight, nil))
	record, _ := c.state.Peers().Record(fleet.InstanceIDOf("b0"))
	require.Equal(t, 2*fleet.DefaultWeight, record.Weight, "the own record must hold the weight for peers that request the whole table")
}

// BenchmarkTableDigest measures the cost of one comparison of peer tables, by table size.
func BenchmarkTableDigest(b *testing.B) {
	for _, size := range []int{450, 900, 1800, 3600, 7230} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := New(epoch, Config{Self: 1, Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
			for i := range size {
				c.state.Peers().Merge(epoch, fleet.PeerRecord{ID: fleet.InstanceIDOf(fmt.Sprint(i)), Incarnation: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				c.tableDigest()
			}
		})
	}
}

// Guards against a suspicion that still excludes a peer after the peer has replied to this process:
// the suspected peer must be probed at once, accept no new flows until it replies, and accept them
// afterwards.
func TestPeerSuspectedByOthersIsProbedAtOnce(t *testing.T) {
	n := newNetwork(2)
	n.converge(epoch)
	c, other := n.controllers[0], fleet.InstanceIDOf("b0")
	now := epoch.Add(time.Minute)
	c.ApplyDocuments(now, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{{
		Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}},
	}}})
	backends := &fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}}
	instances := &fleet.InstancesDocument{Revision: fleet.Revision{Number: 3}}
	for _, name := range []string{"n0", "b0"} {
		backends.Backends = append(backends.Backends, fleet.Backend{Name: name, DataCentre: "north"})
		instances.Instances = append(instances.Instances, fleet.Instance{
			Name: name, Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
		})
	}
	c.ApplyDocuments(now, backends)
	c.ApplyDocuments(now, instances)
	c.HandleProbeReply(now, other, 1, 0)
	now = now.Add(time.Second)
	outputs := c.HandleMessage(now, 2, &Message{Records: []fleet.PeerRecord{{ID: other, Incarnation: 1, Suspected: true}}})
	require.True(t, slices.ContainsFunc(outputs, func(output Output) bool {
		probe, isProbe := output.(Probe)
		return isProbe && probe.Node.ID() == other
	}))
	require.False(t, c.View().Service(fleet.ServiceIDOf("orders")).Target(other).IsAccepting())
	c.HandleProbeReply(now.Add(10*time.Millisecond), other, 1, 0)
	c.Tick(now.Add(minViewInterval))
	require.True(t, c.View().Service(fleet.ServiceIDOf("orders")).Target(other).IsAccepting(), "a direct reply must outweigh the suspicion")
}

// The first that a process hears of a peer's next start is that another process suspects it. Guards
// against taking the peer for one that has just started and answers, without asking it.
func TestPeerSuspectedInItsFirstRecordIsProbedAtOnce(t *testing.T) {
	c := newProbedFleet(4)
	c.HandleLinkUp(epoch, 1, true)
	peer := fleet.InstanceIDOf("orders-2")
	c.HandleMessage(epoch, 1, &Message{Records: []fleet.PeerRecord{{ID: peer, Incarnation: 1}}})
	outputs := c.HandleMessage(epoch, 1, &Message{Records: []fleet.PeerRecord{{ID: peer, Incarnation: 2, Suspected: true}}})
	require.True(t, probes(outputs)[peer])
}

// Guards against a process that peers cannot reach because they know a higher incarnation, as
// after a step of the clock between two starts: it must take over the one that it gossips.
func TestIncarnationRisesAboveTheOneThatPeersKnow(t *testing.T) {
	n := newNetwork(2)
	c := n.controllers[0]
	require.EqualValues(t, 1, c.Incarnation())
	message := &Message{Records: []fleet.PeerRecord{{ID: c.config.Self, Incarnation: 7}}}
	c.HandleMessage(epoch, 2, message)
	require.EqualValues(t, 8, c.Incarnation())
	require.Equal(t, c.Incarnation(), c.newSummary(epoch).Summary.Incarnation)
}
