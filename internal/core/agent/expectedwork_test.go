package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Guards against a server whose times are compared before it has answered enough requests, and
// against the times of an earlier version.
func TestColdOrChangedServerAssumesTheTimesOfItsSiblings(t *testing.T) {
	a, siblings := newWorkAgent(t, 5, false)
	for _, id := range siblings {
		report := idleReport()
		report.Services[0].Time = 12000
		a.HandleReport(settledAt, id, report)
	}
	require.Equal(t, 20*time.Millisecond, a.estimateOf(settledAt, orders).Mean())
	a.SetLabels(map[string]string{"app": "orders"})
	require.Equal(t, 20*time.Millisecond, a.estimateOf(settledAt, orders).Mean(), "the labels are as before")
	a.SetLabels(map[string]string{"app": "orders", "version": "2"})
	require.Equal(t, 12*time.Millisecond, a.estimateOf(settledAt, orders).Mean())
	a.estimateOf(settledAt, orders).Record(time.Second)
	require.Equal(t, 12*time.Millisecond, a.estimateOf(settledAt, orders).Mean())
	later := settledAt.Add(2 * reportLifetime)
	a.updateUnlearned(later)
	require.Equal(t, poolObjective/4, a.estimateOf(later, orders).Mean(), "no sibling reports a time")
}

// Guards against the times of the server that ran before a restart.
func TestRestartedServerIsLearnedAnew(t *testing.T) {
	c := newTestCluster(t, 1)
	c.setObjective(t, 0)
	a := c.agents[c.ids()[0]]
	for number, boot := range []string{"1", "1", "2"} {
		_, backends, _ := c.state.Documents()
		next := &fleet.BackendsDocument{Revision: fleet.Revision{Number: uint64(number) + 5}, Backends: slices.Clone(backends.Backends)}
		next.Backends[0].BootID = boot
		_, err := c.state.Apply(epoch, next)
		require.NoError(t, err)
		c.applyView()
		require.Equal(t, boot == "1" && number == 1, a.estimateOf(settledAt, orders).IsLearned())
		for range minServiceTimeSamples {
			a.estimateOf(settledAt, orders).Record(20 * time.Millisecond)
		}
	}
}

// errorObserver records the errors of expected service times.
type errorObserver struct {
	noopObserver
	errors []time.Duration
}

// ObserveServiceTime implements Observer.
func (o *errorObserver) ObserveServiceTime(expected, actual time.Duration) {
	o.errors = append(o.errors, actual-expected)
}

// Guards against work that stays after its request ended, and against times that include the queue.
func TestWorkFollowsCarriedRequests(t *testing.T) {
	a, _ := newWorkAgent(t, 1, false)
	observer := &errorObserver{}
	a.config.Observer = observer
	send := func(at time.Time, port uint16) {
		a.Receive(at, receivedPacket(port, flow.Opening, 0))
		a.HandleBackendPacket(at, flow.Reply{Flow: flowOf(port), HandshakeToken: 1, IsHandshakeReply: true})
		request := receivedPacket(port, flow.Established, 1)
		request.Packet = request.Packet.WithPayloadSize(100)
		a.Receive(at, request)
	}
	for port := range uint16(slots + 1) {
		send(settledAt, 4000+port)
	}
	require.Equal(t, 60*time.Millisecond, a.WorkLeft(settledAt))
	require.Equal(t, 20*time.Millisecond, a.work.backlog.Wait(settledAt))
	for i, after := range []time.Duration{20, 20, 45} {
		at := settledAt.Add(after * time.Millisecond)
		a.HandleBackendPacket(at, flow.Reply{Flow: flowOf(4000 + uint16(i)), PayloadSize: 100})
	}
	require.Equal(t, []time.Duration{0, 0, 5 * time.Millisecond}, observer.errors, "the queued request has run for 25 ms")
	require.Zero(t, a.WorkLeft(settledAt))
	send(settledAt, 5000)
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(5000), IsFinal: true, IsReset: true})
	a.Receive(settledAt, receivedPacket(5001, flow.Opening, 0))
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(5001), HandshakeToken: 1, IsHandshakeReply: true})
	require.Equal(t, a.estimateOf(settledAt, orders).Mean(), a.WorkLeft(settledAt), "a new flow without a request yet")
	a.RetryOverdue(settledAt.Add(responseTimeout))
	require.Zero(t, a.WorkLeft(settledAt))
}

// Guards against a list of siblings that grows with the fleet: only those with a valid report, and
// with a path, are drawn and kept.
func TestOnlySiblingsWithAValidReportAreKept(t *testing.T) {
	a, siblings := newWorkAgent(t, 60, true)
	for i, id := range siblings {
		a.HandleReport(settledAt.Add(time.Duration(i)*100*time.Millisecond), id, idleReport())
		a.HandleReport(settledAt.Add(time.Duration(i)*100*time.Millisecond), id, idleReport())
	}
	require.Len(t, a.work.reporters, len(siblings))
	now := settledAt.Add(time.Duration(len(siblings)) * 100 * time.Millisecond)
	a.SweepCarried(now)
	require.Len(t, a.work.reporters, int(reportLifetime/(100*time.Millisecond)))
	a.HandleReport(now, siblings[0], idleReport())
	require.Contains(t, a.work.reporters, siblings[0], "a sibling that reports again")
}

// Guards against flows for a sibling that cannot be reached or that leaves, whatever it reported.
func TestUnreachableOrLeavingSiblingIsNotDrawn(t *testing.T) {
	c := newTestCluster(t, 4)
	ids := c.ids()
	a := c.agents[ids[0]]
	a.config.Placement = LeastWork{}
	for _, id := range ids[1:] {
		a.HandleReport(settledAt, id, idleReport())
	}
	c.state.Peers().SetReachable(epoch, ids[1], false)
	c.state.Peers().Merge(epoch, fleet.PeerRecord{ID: ids[2], Incarnation: 1, State: fleet.PeerLeaving})
	c.applyView()
	service := a.view.Service(orders)
	for port := range uint16(20) {
		var drawn choices
		a.drawChoices(settledAt, service, receivedPacket(4000+port, flow.Opening, 0), drawNear, &drawn)
		require.Equal(t, []*fleet.Target{service.Target(ids[3])}, drawn.targets[:drawn.count])
	}
}
