package control

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

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
