package control

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// network connects each controller to every other one. Tests decide which messages are
// delivered, in which order, and which are lost.
type network struct {
	controllers []*Controller
	// queue holds the messages that were sent and not delivered yet.
	queue []delivery
}

// delivery is a message on its way, with the index of the controller that receives it and
// the ID of the link there.
type delivery struct {
	to      int
	link    LinkID
	message *Message
}

// newNetwork returns a network of agents n0, n1 and so on, with a link from each to every
// other one.
func newNetwork(size int) *network {
	n := &network{}
	for i := range size {
		config := Config{Self: fleet.InstanceIDOf(fmt.Sprintf("n%d", i)), Incarnation: 1, Role: fleet.RoleAgent, DataCentre: "north"}
		n.controllers = append(n.controllers, New(epoch, config, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	for i := range size {
		for j := range size {
			if i != j {
				n.enqueueSends(i, n.controllers[i].HandleLinkUp(epoch, LinkID(j+1), true))
			}
		}
	}
	return n
}

// enqueueSends queues the messages among a controller's outputs. In each controller, the link
// with ID j+1 leads to controller j.
func (n *network) enqueueSends(from int, outputs []Output) {
	for _, output := range outputs {
		if send, ok := output.(Send); ok {
			n.queue = append(n.queue, delivery{to: int(send.Link) - 1, link: LinkID(from + 1), message: send.Message})
		}
	}
}

// deliver delivers message i of the queue.
func (n *network) deliver(i int, now time.Time) {
	d := n.queue[i]
	n.queue = append(n.queue[:i], n.queue[i+1:]...)
	n.enqueueSends(d.to, n.controllers[d.to].HandleMessage(now, d.link, d.message))
}

// backendsDocument returns a document with as many backend servers as the number of its revision.
// Those of other eras, and of even and odd numbers, have different names, so that a change
// between them replaces all entries.
func backendsDocument(revision fleet.Revision) *fleet.BackendsDocument {
	d := &fleet.BackendsDocument{Revision: revision}
	for i := range revision.Number {
		d.Backends = append(d.Backends, fleet.Backend{Name: fmt.Sprintf("b%d-%d-%d", i, revision.Number%2, revision.Era), DataCentre: "north"})
	}
	return d
}

// Guards against documents that are lost or replaced by older ones when links lose and reorder
// messages, also when the platform is restored from copies meanwhile: revisions never decrease,
// and once summaries have been exchanged, all processes hold the newest document.
func TestChangesReachEveryProcessAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(2, 5).Draw(t, "processes"))
		now := epoch
		var highest fleet.Revision
		seen := make([]fleet.Revision, len(n.controllers))
		for range 60 {
			now = now.Add(TickInterval)
			at := rapid.IntRange(0, len(n.controllers)-1).Draw(t, "process")
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step == 0:
				revision := fleet.Revision{Era: rapid.Uint64Range(0, 2).Draw(t, "era"), Number: rapid.Uint64Range(1, 8).Draw(t, "number")}
				if revision.IsNewerThan(highest) {
					highest = revision
				}
				n.enqueueSends(at, n.controllers[at].ApplyDocuments(now, backendsDocument(revision)))
			case step == 1 && len(n.queue) > 0:
				lost := rapid.IntRange(0, len(n.queue)-1).Draw(t, "lost")
				n.queue = append(n.queue[:lost], n.queue[lost+1:]...)
			case len(n.queue) > 0:
				n.deliver(rapid.IntRange(0, len(n.queue)-1).Draw(t, "delivered"), now)
			}
			for i, c := range n.controllers {
				revision := c.state.Revisions().Backends
				require.False(t, seen[i].IsNewerThan(revision), "a process went back to an older revision")
				seen[i] = revision
			}
		}
		n.converge(now)
		for _, c := range n.controllers {
			require.Equal(t, highest, c.state.Revisions().Backends)
			_, backends, _ := c.state.Documents()
			require.ElementsMatch(t, backendsDocument(highest).Backends, backends.Backends)
		}
	})
}

// converge runs several rounds of summaries, so that processes fetch what they have missed, and
// returns the time after them.
func (n *network) converge(now time.Time) time.Time {
	for range 5 {
		now = now.Add(summaryInterval)
		for i, c := range n.controllers {
			n.enqueueSends(i, c.Tick(now))
		}
		for len(n.queue) > 0 {
			n.deliver(0, now)
		}
	}
	return now
}

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

// Guards against routing by a view that became outdated while the process was paused: the view is
// unconfirmed until a peer sends a summary.
func TestPausedProcessIsUnconfirmedUntilPeerSummary(t *testing.T) {
	n := newNetwork(2)
	n.enqueueSends(0, n.controllers[0].ApplyDocuments(epoch, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}}))
	n.enqueueSends(0, n.controllers[0].ApplyDocuments(epoch, agentInstances(2, 1)))
	n.converge(epoch)
	now := epoch.Add(time.Hour)
	outputs := n.controllers[0].Tick(now)
	require.Contains(t, outputs, ReportEvent{Event: EventResumed})
	require.False(t, n.controllers[0].IsConfirmed(now))
	n.enqueueSends(1, n.controllers[1].Tick(now))
	for len(n.queue) > 0 {
		n.deliver(0, now)
	}
	require.True(t, n.controllers[0].IsConfirmed(now))
}

// applyTargets applies documents that list agents b0, b1 and so on as targets of one service.
func applyTargets(c *Controller, now time.Time, targets int) {
	applyTargetsAt(c, now, fleet.Revision{Number: 1}, targets)
}

// applyTargetsAt applies documents of a revision, like applyTargets, and returns the outputs.
func applyTargetsAt(c *Controller, now time.Time, revision fleet.Revision, targets int) []Output {
	backends, instances := &fleet.BackendsDocument{Revision: revision}, &fleet.InstancesDocument{Revision: revision}
	for i := range targets {
		name := fmt.Sprintf("b%d", i)
		backends.Backends = append(backends.Backends, fleet.Backend{Name: name, DataCentre: "north"})
		instances.Instances = append(instances.Instances, fleet.Instance{
			Name: name, Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
		})
	}
	services := &fleet.ServicesDocument{Revision: revision, Services: []fleet.Service{{
		Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}},
	}}}
	return c.ApplyDocuments(now, backends, instances, services)
}

// A balancer has read the platform before the backend servers registered, and a peer sends it the
// documents that list them. Guards against a view between two of these documents, which lists the
// agents without their backend servers and stays in force for minViewInterval: the balancer would
// refuse every flow meanwhile.
func TestDocumentsOfOneRevisionTakeEffectTogether(t *testing.T) {
	n := newNetwork(2)
	n.queue = nil
	informed, behind := n.controllers[0], n.controllers[1]
	applyTargets(behind, epoch, 0)
	require.True(t, behind.View().CanRoute())
	now := epoch.Add(time.Second)
	n.enqueueSends(0, applyTargetsAt(informed, now, fleet.Revision{Number: 2}, 3))
	for len(n.queue) > 0 {
		n.deliver(0, now)
	}
	require.Equal(t, fleet.Revision{Number: 2}, behind.View().Revisions().Highest())
	require.Len(t, behind.View().Service(fleet.ServiceIDOf("orders")).Targets(), 3)
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

// Guards against two probes to a peer at a time, and against a peer that is not probed again
// after a miss.
func TestPeerIsProbedAfterEachMissOneProbeAtATime(t *testing.T) {
	p := newProber(0)
	id := fleet.InstanceIDOf("b0")
	p.setPeers(epoch, []fleet.InstanceID{id}, nil)
	now := epoch
	for range maxMisses {
		require.Equal(t, []fleet.InstanceID{id}, p.startDueProbes(now))
		require.Empty(t, p.startDueProbes(now), "a second probe is due while the first awaits a reply")
		now = now.Add(probeTimeout + time.Millisecond)
		p.states[id].awaitsReply = false
		p.states[id].misses++
		p.states[id].dueAt = now
	}
	p.states[id].dueAt = now.Add(probeInterval)
	require.Empty(t, p.startDueProbes(now), "an unreachable peer is probed at the regular interval only")
	require.Equal(t, []fleet.InstanceID{id}, p.startDueProbes(now.Add(probeInterval)))
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

// A process that restarts while the platform rejects it learns from its seeds, and is often a seed
// itself. Guards against dialling its own endpoint, and against seeds that are never dialled.
func TestSeedsAreDialledInTurnWithoutOwnEndpoint(t *testing.T) {
	own, first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.3:1")
	for seed := range uint64(20) {
		config := Config{Self: 1, Control: own, Role: fleet.RoleBalancer, Seeds: []netip.AddrPort{first, own, second}}
		c := New(epoch, config, rand.New(rand.NewPCG(seed, 0)))
		var dialled []netip.AddrPort
		for now := epoch; len(dialled) < 2 && now.Before(epoch.Add(5*time.Second)); now = now.Add(TickInterval) {
			for _, output := range c.Tick(now) {
				if open, isOpen := output.(OpenLink); isOpen {
					dialled = append(dialled, open.Control)
				}
			}
		}
		require.ElementsMatch(t, []netip.AddrPort{first, second}, dialled)
	}
}

// After a start of the whole fleet, the first record of each peer arrives in a message of its own.
// Guards against a view for each of them, and against a first view that is delayed.
func TestBurstOfFirstRecordsPublishesAtMostTwoViews(t *testing.T) {
	c := New(epoch, Config{Self: fleet.InstanceIDOf("n0"), Incarnation: 1, Role: fleet.RoleBalancer}, rand.New(rand.NewPCG(1, 0)))
	applyTargets(c, epoch, 40)
	require.True(t, c.View().CanRoute(), "the first view that can route must be published at once")
	c.HandleLinkUp(epoch, 1, false)
	views := 0
	count := func(outputs []Output) {
		for _, output := range outputs {
			if _, isView := output.(PublishView); isView {
				views++
			}
		}
	}
	now := epoch
	for i := range 40 {
		now = now.Add(time.Millisecond)
		record := fleet.PeerRecord{ID: fleet.InstanceIDOf(fmt.Sprintf("b%d", i)), Incarnation: 1}
		count(c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{record}}))
	}
	count(c.Tick(epoch.Add(2 * minViewInterval)))
	require.LessOrEqual(t, views, 2)
	require.NotZero(t, c.View().Service(fleet.ServiceIDOf("orders")).Target(fleet.InstanceIDOf("b39")).Incarnation())
}

// All processes restart after the platform has lost its leases. The published documents list no
// agent then, and an agent's announcement is the only record of its backend server. Guards against
// refusing flows until the agent is listed again, and against accepting an agent whose entry cannot
// have lapsed, or that others suspect.
func TestAnnouncedAgentAcceptsFlowsUntilListed(t *testing.T) {
	labels := map[string]string{"app": "orders"}
	announcement := &fleet.Announcement{Name: "b0", DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", Labels: labels}
	record := fleet.PeerRecord{ID: fleet.InstanceIDOf("b0"), Incarnation: 1, Announcement: announcement}
	publish := func(c *Controller, now time.Time) {
		c.ApplyDocuments(now, &fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}})
		c.ApplyDocuments(now, &fleet.InstancesDocument{Revision: fleet.Revision{Number: 1}, Leased: true})
		c.ApplyDocuments(now, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{{
			Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: selectorOf(labels)},
		}}})
	}
	accepts := func(c *Controller, now time.Time) bool {
		for at := now; !at.After(now.Add(2 * minViewInterval)); at = at.Add(TickInterval) {
			c.Tick(at)
		}
		target := c.View().Service(fleet.ServiceIDOf("orders")).Target(record.ID)
		return target != nil && target.IsAccepting()
	}
	start := func() *Controller {
		c := New(epoch, Config{Self: fleet.InstanceIDOf("e0"), Incarnation: 1, Role: fleet.RoleBalancer}, rand.New(rand.NewPCG(1, 0)))
		c.HandleLinkUp(epoch, 1, false)
		return c
	}
	t.Run("after a start", func(t *testing.T) {
		c := start()
		c.HandleMessage(epoch, 1, &Message{Records: []fleet.PeerRecord{record}})
		publish(c, epoch.Add(time.Second))
		require.True(t, accepts(c, epoch.Add(time.Second)))
		for at := epoch.Add(time.Second); at.Before(epoch.Add(4 * time.Second)); at = at.Add(500 * time.Millisecond) {
			c.Confirm(at)
			c.Tick(at)
		}
		require.False(t, accepts(c, epoch.Add(4*time.Second)), "the agent accepts flows although its grace period is over")
	})
	t.Run("while the platform is available", func(t *testing.T) {
		c := start()
		publish(c, epoch)
		now := epoch.Add(startGrace)
		c.Confirm(now)
		c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{record}})
		require.False(t, accepts(c, now), "an unlisted agent accepts flows although the platform is available")
	})
	t.Run("while the platform is unavailable", func(t *testing.T) {
		c := start()
		publish(c, epoch)
		now := epoch.Add(time.Minute)
		c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{record}})
		require.True(t, accepts(c, now))
		require.True(t, accepts(c, now.Add(time.Minute)))
	})
	t.Run("suspected by others", func(t *testing.T) {
		c := start()
		publish(c, epoch)
		suspected := record
		suspected.Suspected = true
		c.HandleMessage(epoch, 1, &Message{Records: []fleet.PeerRecord{suspected}})
		require.False(t, accepts(c, epoch))
	})
}

// selectorOf returns a selector that requires exactly the given labels.
func selectorOf(labels map[string]string) fleet.Selector {
	selector := make(fleet.Selector)
	for key, value := range labels {
		selector[key] = []string{value}
	}
	return selector
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

// Guards against resets of flows at a server that is not listed yet: a process that has just started
// takes its agent for one whose entry has lapsed and gives it new flows. Every other process must
// find them there, and give it none before it is listed.
func TestFlowsAtAnnouncedAgentsAreSearchedButNoneIsPlacedThere(t *testing.T) {
	c := New(epoch, Config{Self: fleet.InstanceIDOf("e0"), Incarnation: 1, Role: fleet.RoleBalancer}, rand.New(rand.NewPCG(1, 0)))
	applyTargets(c, epoch, 2)
	now := epoch.Add(time.Hour)
	c.Tick(now)
	c.Confirm(now)
	c.HandleLinkUp(now, 1, true)
	announced := fleet.PeerRecord{ID: fleet.InstanceIDOf("b9"), Incarnation: 1, Announcement: &fleet.Announcement{
		Name: "b9", DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", Labels: map[string]string{"app": "orders"},
	}}
	c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{announced}})
	target := c.View().Service(fleet.ServiceIDOf("orders")).Target(announced.ID)
	require.NotNil(t, target, "a search for the owner of a flow must visit the agent")
	require.False(t, target.IsAccepting())
}

// Guards against logs that cannot tell which process had a configuration in force, since when
// and from whom.
func TestAppliedDocumentsNameSourceAndVersion(t *testing.T) {
	n := newNetwork(2)
	n.converge(epoch)
	services := &fleet.ServicesDocument{Revision: fleet.Revision{Version: 4, Number: 9}}
	n.enqueueSends(0, n.controllers[0].ApplyDocuments(epoch, services))
	var applied []ReportEvent
	for len(n.queue) > 0 {
		d := n.queue[0]
		n.queue = n.queue[1:]
		for _, output := range n.controllers[d.to].HandleMessage(epoch, d.link, d.message) {
			if event, ok := output.(ReportEvent); ok && event.Event == EventDocumentApplied {
				applied = append(applied, event)
			}
		}
	}
	source := fmt.Sprintf("%016x", uint64(fleet.InstanceIDOf("n0")))
	require.Equal(t, []ReportEvent{{Event: EventDocumentApplied, Document: "services", Source: source, Revision: services.Revision}}, applied)
}
