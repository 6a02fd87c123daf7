package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// newProbedFleet returns the controller of the agent orders-0, in a fleet with a number of
// servers of each of two services.
func newProbedFleet(servers int) *Controller {
	self := fleet.InstanceIDOf("orders-0")
	c := New(epoch, Config{Self: self, Incarnation: 1, Role: fleet.RoleAgent, DataCentre: "north"}, rand.New(rand.NewPCG(1, 1)))
	services, backends, instances := &fleet.ServicesDocument{}, &fleet.BackendsDocument{}, &fleet.InstancesDocument{}
	services.Number, backends.Number, instances.Number = 1, 1, 1
	for i, name := range []string{"orders", "patterns"} {
		services.Services = append(services.Services, fleet.Service{
			Name: name, Address: fmt.Sprintf("10.9.0.%d:80", i+1), Protocol: "tcp",
			Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {"app": {name}}},
		})
		for j := range servers {
			server := fmt.Sprintf("%s-%d", name, j)
			backends.Backends = append(backends.Backends, fleet.Backend{Name: server, DataCentre: "north", Labels: map[string]string{"app": name}})
			instances.Instances = append(instances.Instances, fleet.Instance{
				Name: server, Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
			})
		}
	}
	for _, document := range []fleet.Document{backends, instances, services} {
		c.ApplyDocuments(epoch, document)
	}
	return c
}

// probed returns the peers that a controller probes within a second.
func probed(c *Controller, from time.Time) map[fleet.InstanceID]bool {
	peers := make(map[fleet.InstanceID]bool)
	for now := from; now.Before(from.Add(time.Second)); now = now.Add(TickInterval) {
		for _, output := range c.Tick(now) {
			if probe, ok := output.(Probe); ok {
				peers[probe.Node.ID()] = true
				c.HandleProbeReply(now, probe.Node.ID(), 1, fleet.DefaultWeight)
			}
		}
	}
	return peers
}

// A newcomer searches the agents of other services, too, so it must know which of them are
// unreachable, in a fleet of any size.
func TestNewcomersProbeAllAgentsThatTheySearch(t *testing.T) {
	other := fleet.InstanceIDOf("patterns-0")
	c := newProbedFleet(2)
	require.Len(t, probed(c, epoch), 3)

	later := epoch.Add(time.Hour)
	c.scheduleRoutingChange(later)
	c.Tick(later)
	peers := probed(c, later)
	require.Len(t, peers, 1, "an agent that is no newcomer probes its siblings")
	require.NotContains(t, peers, other)

	for _, servers := range []int{68, 256} {
		large := newProbedFleet(servers)
		peers := make(map[fleet.InstanceID]bool)
		for second := range 20 {
			maps.Copy(peers, probed(large, epoch.Add(time.Duration(second)*time.Second)))
		}
		require.Len(t, peers, 2*servers-1)
	}
}

// A cut silences many peers at once. Those that traffic goes to must be found unreachable within
// half a second of it, whatever the number of peers, and the cut must not read as the failure of
// others.
func TestCutIsNoticedOnPathsWithTrafficWithinHalfASecond(t *testing.T) {
	const (
		noticeTime = 500 * time.Millisecond
		// copyInterval is the time after which a caller's second opening packet shows that
		// the first one was not answered.
		copyInterval = 200 * time.Millisecond
	)
	for _, servers := range []int{7, 68, 256} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			c := newProbedFleet(servers)
			probed(c, epoch)
			cutAt := epoch.Add(time.Second)
			cut := make(map[fleet.InstanceID]bool)
			for i := 1; i <= min(servers-1, 30); i++ {
				cut[fleet.InstanceIDOf(fmt.Sprintf("orders-%d", i))] = true
			}
			noticed := make(map[fleet.InstanceID]time.Time)
			for now := cutAt; now.Before(cutAt.Add(time.Second)); now = now.Add(TickInterval) {
				outputs := c.Tick(now)
				if now.Equal(cutAt.Add(copyInterval)) {
					for id := range cut {
						outputs = append(outputs, c.ProbePeer(now, id)...)
					}
				}
				for _, output := range outputs {
					if probe, ok := output.(Probe); ok && !cut[probe.Node.ID()] {
						c.HandleProbeReply(now, probe.Node.ID(), 1, fleet.DefaultWeight)
					}
				}
				for id := range c.prober.states {
					if _, known := noticed[id]; c.state.Peers().IsUnreachable(id) && !known {
						noticed[id] = now
					}
				}
			}
			require.Len(t, noticed, len(cut))
			for id, at := range noticed {
				require.True(t, cut[id])
				require.LessOrEqual(t, at.Sub(cutAt.Add(copyInterval)), noticeTime)
			}
		})
	}
}

// All processes start at the same time, some of them later than others by the time of a few
// probes. Guards against taking those that have not started for unreachable: callers' flows would
// all go to the few that started first.
func TestPeersThatHaveNotStartedYetAreNotTakenForUnreachable(t *testing.T) {
	const latestStart = 800 * time.Millisecond
	c := newProbedFleet(20)
	for now := epoch; !now.After(epoch.Add(latestStart)); now = now.Add(TickInterval) {
		c.Tick(now)
	}
	for id := range c.prober.states {
		require.False(t, c.state.Peers().IsUnreachable(id))
	}
}

// makeUnreachable lets a controller's probes of all peers time out.
func makeUnreachable(c *Controller, from time.Time) (after time.Time) {
	now := from
	for ; now.Before(from.Add(time.Minute)); now = now.Add(TickInterval) {
		c.Tick(now)
	}
	return now
}

// A peer that was unreachable starts again and gossips its record. In a large fleet its turn
// among the regular probes comes seconds later. Guards against flows of its server that are reset
// meanwhile, as if nobody could reach them, and against a peer that is taken for reachable though
// it does not answer this process.
func TestUnreachablePeerThatStartsAgainIsReachableAndProbedAtOnce(t *testing.T) {
	c := newProbedFleet(68)
	c.HandleLinkUp(epoch, 1, true)
	now := makeUnreachable(c, epoch)
	c.HandleLinkUp(now, 2, true)
	peer := fleet.InstanceIDOf("orders-7")
	require.True(t, c.state.Peers().IsUnreachable(peer))
	outputs := c.HandleMessage(now, 2, &Message{Records: []fleet.PeerRecord{{ID: peer, Incarnation: 2}}})
	require.True(t, probes(outputs)[peer])
	require.False(t, c.state.Peers().IsUnreachable(peer))
	for end := now.Add(500 * time.Millisecond); !now.After(end); now = now.Add(TickInterval) {
		c.Tick(now)
	}
	require.True(t, c.state.Peers().IsUnreachable(peer))
}

// An agent announces that it leaves, ends, and misses the probes of all peers until its next start.
// Guards against resets of the flows at its server, which serves all the while: a suspicion must not
// end what the agent has announced, at the process that suspects it or at any other.
func TestPeerThatLeavesAndFallsSilentMayBeBackSoon(t *testing.T) {
	suspecting, told := newProbedFleet(2), newProbedFleet(2)
	suspecting.HandleLinkUp(epoch, 1, true)
	told.HandleLinkUp(epoch, 1, true)
	peer := fleet.InstanceIDOf("orders-1")
	leaving := &Message{Records: []fleet.PeerRecord{{ID: peer, Incarnation: 1, Sequence: 1, State: fleet.PeerLeaving}}}
	for _, c := range []*Controller{suspecting, told} {
		c.HandleMessage(epoch, 1, leaving)
	}
	for now := epoch; now.Before(epoch.Add(2 * time.Second)); now = now.Add(TickInterval) {
		outputs := suspecting.Tick(now)
		exchange(now, suspecting, told, outputs)
		told.Tick(now)
	}
	for _, c := range []*Controller{suspecting, told} {
		target := c.View().Service(fleet.ServiceIDOf("orders")).Target(peer)
		require.False(t, target.IsReachable())
		require.True(t, target.MayReturn())
	}
}

// A process restarts within the time of three probes, as in a rolling update. Those that were sent to
// its earlier start get no answer. Guards against counting them against the new start, which would
// be taken for unreachable although it answers.
func TestProbesOfAnEarlierStartDoNotCountAgainstTheNextOne(t *testing.T) {
	c := newProbedFleet(20)
	c.HandleLinkUp(epoch, 1, true)
	peer := fleet.InstanceIDOf("orders-7")
	c.HandleMessage(epoch, 1, &Message{Records: []fleet.PeerRecord{{ID: peer, Incarnation: 1}}})
	c.ProbePeer(epoch, peer)
	restartsAt := epoch.Add(300 * time.Millisecond)
	for now := epoch; now.Before(epoch.Add(time.Second)); now = now.Add(TickInterval) {
		if now.Equal(restartsAt) {
			require.NotZero(t, c.prober.states[peer].misses)
			c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{{ID: peer, Incarnation: 2}}})
		}
		for id := range probes(c.Tick(now)) {
			if id != peer || now.After(restartsAt) {
				c.HandleProbeReply(now, id, 2, fleet.DefaultWeight)
			}
		}
		require.False(t, c.state.Peers().IsUnreachable(peer))
	}
}

// probes returns the peers that are probed by outputs.
func probes(outputs []Output) map[fleet.InstanceID]bool {
	peers := make(map[fleet.InstanceID]bool)
	for _, output := range outputs {
		if probe, ok := output.(Probe); ok {
			peers[probe.Node.ID()] = true
		}
	}
	return peers
}

// A cut ends, for as many peers at once as it had silenced. The first of a data centre that
// replies again shows it: in a fleet of any size the others must be reachable soon after, not only
// when their turn among the regular probes comes.
func TestEndOfCutIsNoticedWithinASecondInAFleetOfAnySize(t *testing.T) {
	const noticeTime = time.Second
	for _, servers := range []int{7, 68, 256} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			c := newProbedFleet(servers)
			now := makeUnreachable(c, epoch)
			for end := now.Add(noticeTime); now.Before(end); now = now.Add(TickInterval) {
				for id := range probes(c.Tick(now)) {
					c.HandleProbeReply(now, id, 1, fleet.DefaultWeight)
				}
			}
			for id := range c.prober.states {
				require.False(t, c.state.Peers().IsUnreachable(id))
			}
		})
	}
}

// Everything returns after a loss of power, but for some machines that the platform still lists.
// Guards against taking many rounds of regular probes to find out, while packets wait for them.
func TestListedPeersThatStayAwayAreUnreachableWithinTwoSeconds(t *testing.T) {
	const noticeTime = 2 * time.Second
	for _, servers := range []int{7, 68, 256} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			c := newProbedFleet(servers)
			c.HandleLinkUp(epoch, 1, true)
			away := make(map[fleet.InstanceID]bool)
			for i := 1; i <= min(servers-1, 60); i++ {
				away[fleet.InstanceIDOf(fmt.Sprintf("orders-%d", i))] = true
			}
			for id := range c.prober.states {
				if !away[id] {
					c.HandleMessage(epoch, 1, &Message{Records: []fleet.PeerRecord{{ID: id, Incarnation: 1}}})
				}
			}
			for now := epoch; !now.After(epoch.Add(noticeTime)); now = now.Add(TickInterval) {
				for id := range probes(c.Tick(now)) {
					if !away[id] {
						c.HandleProbeReply(now, id, 1, fleet.DefaultWeight)
					}
				}
			}
			for id := range c.prober.states {
				require.Equal(t, away[id], c.state.Peers().IsUnreachable(id))
			}
		})
	}
}
