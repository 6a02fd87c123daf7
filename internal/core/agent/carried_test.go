package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// fakeBackend is a backend fakeBackend that ends flows itself and returns what it does not
// hold.
type fakeBackend struct {
	token   uint32
	refuses bool
	half    map[flow.ID]bool
	open    map[flow.ID]bool
}

// testCluster is a set of carrying agents with their backend servers.
type testCluster struct {
	state        *fleet.State
	agents       map[fleet.InstanceID]*Agent
	fakeBackends map[fleet.InstanceID]*fakeBackend
	// forwardCount counts how often packets were passed from one agent to another.
	forwardCount int
}

var ordersLabels = map[string]string{"app": "orders"}

func newTestCluster(t require.TestingT, targets int) *testCluster {
	r := &testCluster{
		state:        newState(t, targets),
		agents:       make(map[fleet.InstanceID]*Agent),
		fakeBackends: make(map[fleet.InstanceID]*fakeBackend),
	}
	for i := range targets {
		id := fleet.InstanceIDOf(fmt.Sprintf("b%d", i))
		r.fakeBackends[id] = &fakeBackend{token: uint32(1000 * (i + 1)), half: make(map[flow.ID]bool), open: make(map[flow.ID]bool)}
		r.restart(id)
	}
	return r
}

// restart replaces an agent by one that knows nothing. Its server lives on.
func (r *testCluster) restart(id fleet.InstanceID) {
	config := Config{Self: id, DataCentre: "north", MaxFlows: 100, MaxHandOvers: 100, Placement: HashOnly{}, Carried: true, Labels: ordersLabels}
	a := New(config, r.state.View(epoch), NewWarmLoad(epoch, slots), rand.New(rand.NewPCG(1, uint64(id))))
	a.RecordViewConfirmed(settledAt)
	r.agents[id] = a
}

func (r *testCluster) applyView() { r.applyViewAt(epoch) }

func (r *testCluster) applyViewAt(now time.Time) {
	for _, a := range r.agents {
		a.ApplyView(r.state.View(now))
	}
}

// deliverToBackend offers a packet to a backend server and reports whether it takes it.
func (r *testCluster) deliverToBackend(id fleet.InstanceID, packet flow.Packet) bool {
	s := r.fakeBackends[id]
	switch {
	case packet.Kind() == flow.Opening && s.refuses:
		return false
	case packet.Kind() == flow.Opening:
		s.half[packet.Flow()] = true
		r.agents[id].HandleBackendPacket(settledAt, flow.Reply{Flow: packet.Flow(), HandshakeToken: s.token, IsHandshakeReply: true})
		return true
	case s.half[packet.Flow()] && packet.AcknowledgedToken() == s.token:
		s.open[packet.Flow()] = true
	}
	return s.open[packet.Flow()]
}

// routePacket follows a packet until a backend server takes it or an agent ends it.
func (r *testCluster) routePacket(t require.TestingT, at fleet.InstanceID, packet *ReceivedPacket) (fleet.InstanceID, Action) {
	action := r.agents[at].Receive(settledAt, packet)
	for range 4 * len(r.agents) {
		switch a := action.(type) {
		case *Deliver:
			if r.deliverToBackend(at, packet.Packet) {
				return at, action
			}
			action = r.agents[at].HandleBouncedPacket(settledAt, packet)
		case *Forward:
			if !a.Referred {
				packet.Visited = r.agents[at].visitedWithSelf(packet.Visited)
			}
			packet.Referred = packet.Referred || a.Referred
			packet.FromAgent = true
			r.forwardCount++
			packet.Placed, packet.Relayed = a.Placed, packet.Relayed || a.Relayed
			at = a.Target.ID()
			action = r.agents[at].Receive(settledAt, packet)
		case *Hold:
			action = runLookup(t, r.agents, at, packet)
		default:
			return at, action
		}
	}
	require.Fail(t, "the packet never arrives")
	return 0, nil
}

// open opens a flow at an agent and returns its owner.
func (r *testCluster) open(t require.TestingT, at fleet.InstanceID, port uint16) fleet.InstanceID {
	owner, action := r.routePacket(t, at, receivedPacket(port, flow.Opening, 0))
	require.IsType(t, &Deliver{}, action)
	found, action := r.routePacket(t, at, receivedPacket(port, flow.Established, r.fakeBackends[owner].token))
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, owner, found)
	return owner
}

func (r *testCluster) ids() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for i := range len(r.agents) {
		ids = append(ids, fleet.InstanceIDOf(fmt.Sprintf("b%d", i)))
	}
	return ids
}

func TestCarriedFlowIsFoundFromAnyAgentAfterRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestCluster(t, rapid.IntRange(1, 8).Draw(t, "agents"))
		ids := r.ids()
		owner := r.open(t, rapid.SampledFrom(ids).Draw(t, "entry"), 4000)
		for _, id := range ids {
			if rapid.Bool().Draw(t, "restart") {
				r.restart(id)
			}
		}
		for _, id := range ids {
			found, action := r.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
			require.IsType(t, &Deliver{}, action)
			require.Equal(t, owner, found)
		}
	})
}

func TestConfirmationDecidesBetweenTwoServersWithTheSameOpening(t *testing.T) {
	r := newTestCluster(t, 2)
	ids := r.ids()
	for _, id := range ids {
		packet := receivedPacket(4000, flow.Opening, 0)
		packet.Placed = true
		_, action := r.routePacket(t, id, packet)
		require.IsType(t, &Deliver{}, action)
	}
	owner, action := r.routePacket(t, ids[0], receivedPacket(4000, flow.Established, r.fakeBackends[ids[1]].token))
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, ids[1], owner)
}

func TestReturnedOpeningGoesOnUntilAllHaveRefused(t *testing.T) {
	r := newTestCluster(t, 3)
	ids := r.ids()
	r.fakeBackends[ids[0]].refuses, r.fakeBackends[ids[1]].refuses = true, true
	owner, action := r.routePacket(t, ids[0], receivedPacket(4000, flow.Opening, 0))
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, ids[2], owner)
	r.fakeBackends[ids[2]].refuses = true
	_, action = r.routePacket(t, ids[0], receivedPacket(4001, flow.Opening, 0))
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, action)
}

func TestCarriedFlowIsResetOnlyByACurrentPicture(t *testing.T) {
	r := newTestCluster(t, 2)
	_, action := r.routePacket(t, r.ids()[0], receivedPacket(4000, flow.Established, 1))
	require.Equal(t, &Reset{Reason: ResetUnowned}, action)
	for _, a := range r.agents {
		a.RecordViewConfirmed(settledAt.Add(-maxViewAgeForReset - time.Millisecond))
	}
	_, action = r.routePacket(t, r.ids()[0], receivedPacket(4000, flow.Established, 1))
	require.Equal(t, &Drop{Reason: DropViewUnsettled}, action)
}

// An address is used again for another service while senders hold an old list.
func TestOwnLabelsGoBeforeTheList(t *testing.T) {
	r := newTestCluster(t, 2)
	ids := r.ids()
	r.agents[ids[0]].SetLabels(map[string]string{"app": "patterns"})
	packet := receivedPacket(4000, flow.Opening, 0)
	packet.Placed, packet.Revision = true, 9
	owner, action := r.routePacket(t, ids[0], packet)
	require.IsType(t, &Deliver{}, action)
	require.Equal(t, ids[1], owner)
}

func TestNoNewFlowWhereTheListOrTheOperatorSaysSo(t *testing.T) {
	for name, document := range map[string]fleet.Document{
		"leaving": &fleet.InstancesDocument{Revision: 2, Instances: []fleet.Instance{
			{Name: "b0", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLeaving},
			{Name: "b1", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive},
		}},
		"gone": &fleet.InstancesDocument{Revision: 2, Instances: []fleet.Instance{
			{Name: "b1", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestCluster(t, 2)
			ids := r.ids()
			packet := receivedPacket(4000, flow.Opening, 0)
			packet.Placed = true
			held, action := r.routePacket(t, ids[0], packet)
			require.IsType(t, &Deliver{}, action)
			require.Equal(t, ids[0], held)
			r.routePacket(t, ids[0], receivedPacket(4000, flow.Established, r.fakeBackends[ids[0]].token))
			_, err := r.state.Apply(epoch, document)
			require.NoError(t, err)
			r.applyViewAt(epoch.Add(fleet.LapseGrace))
			again := receivedPacket(4001, flow.Opening, 0)
			again.Placed = true
			owner, _ := r.routePacket(t, ids[0], again)
			require.Equal(t, ids[1], owner, "a new flow goes elsewhere")
			found, action := r.routePacket(t, ids[1], receivedPacket(4000, flow.Established, 77))
			require.IsType(t, &Deliver{}, action)
			require.Equal(t, ids[0], found, "an open flow stays")
		})
	}
}

func TestDrainingDataCentreKeepsItsFlows(t *testing.T) {
	r := newTestCluster(t, 1)
	id := r.ids()[0]
	r.open(t, id, 4000)
	services, _, _ := r.state.Documents()
	_, err := r.state.Apply(epoch, &fleet.ServicesDocument{Revision: 2, Services: services.Services, Draining: []string{"north"}})
	require.NoError(t, err)
	r.applyView()
	_, action := r.routePacket(t, id, receivedPacket(4001, flow.Opening, 0))
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, action)
	_, action = r.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
	require.IsType(t, &Deliver{}, action)
}

// setIdempotent says whether requests of the service may be repeated.
func (r *testCluster) setIdempotent(t require.TestingT, idempotent bool) {
	services, _, _ := r.state.Documents()
	next := &fleet.ServicesDocument{Revision: services.Revision + 1}
	for _, service := range services.Services {
		service.Idempotent = idempotent
		next.Services = append(next.Services, service)
	}
	_, err := r.state.Apply(epoch, next)
	require.NoError(t, err)
}

func TestFlowOfAnUnreachableOwner(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		state      fleet.PeerState
		want       Action
	}{
		{"may be repeated", true, fleet.PeerAlive, &Reset{Reason: ResetOwnerLost}},
		{"must not be repeated", false, fleet.PeerAlive, &Drop{Reason: DropCandidateUnreachable}},
		{"back soon", true, fleet.PeerLeaving, &Drop{Reason: DropCandidateUnreachable}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestCluster(t, 3)
			ids := r.ids()
			r.setIdempotent(t, test.idempotent)
			r.state.Peers().SetReachable(epoch, ids[2], false)
			r.state.Peers().Merge(epoch, fleet.PeerRecord{ID: ids[2], Incarnation: 1, State: test.state})
			r.applyView()
			_, action := r.routePacket(t, ids[0], receivedPacket(4000, flow.Established, 1))
			require.Equal(t, test.want, action)
		})
	}
}

// A server was replaced a while ago. Later a data centre is cut off, and the callers of
// its flows must hear of it.
func TestAgentThatHasLeftForGoodBlocksNoReset(t *testing.T) {
	r := newTestCluster(t, 3)
	ids := r.ids()
	r.setIdempotent(t, true)
	r.state.Peers().Merge(epoch, fleet.PeerRecord{
		ID: ids[2], Incarnation: 1, State: fleet.PeerLeaving, Residual: []fleet.ServiceID{fleet.ServiceIDOf("orders")},
	})
	_, backends, instances := r.state.Documents()
	for _, document := range []fleet.Document{
		&fleet.InstancesDocument{Revision: 2, Instances: instances.Instances[:2]},
		&fleet.BackendsDocument{Revision: 2, Backends: backends.Backends[:2]},
	} {
		_, err := r.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	r.state.Peers().SetReachable(epoch, ids[2], false)
	r.state.Peers().SetReachable(epoch, ids[1], false)
	r.applyViewAt(epoch.Add(fleet.LapseGrace))
	_, action := r.routePacket(t, ids[0], receivedPacket(4000, flow.Established, 1))
	require.Equal(t, &Reset{Reason: ResetOwnerLost}, action)
}

func TestRequestsInFlightAreCountedFromWhatIsCarried(t *testing.T) {
	r := newTestCluster(t, 1)
	id := r.ids()[0]
	a := r.agents[id]
	r.open(t, id, 4000)
	require.Equal(t, 1, a.load.Running(), "a new flow is about to ask")
	request := receivedPacket(4000, flow.Established, 77)
	request.Packet = request.Packet.WithPayloadSize(300)
	r.routePacket(t, id, request)
	require.Equal(t, 1, a.load.Running())
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), PayloadSize: 1000})
	require.Zero(t, a.load.Running())
	r.routePacket(t, id, request)
	require.Equal(t, 1, a.load.Running(), "the next request of a long flow")
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), IsFinal: true})
	require.Zero(t, a.load.Running())
}

// setSlowStart says what a server bears in cold start, and of one how long it lasts.
func (r *testCluster) setSlowStart(t require.TestingT, rate float64, boot string, warming time.Duration) {
	services, backends, _ := r.state.Documents()
	changed := &fleet.ServicesDocument{Revision: services.Revision + 1}
	for _, service := range services.Services {
		service.ColdStartRate = rate
		changed.Services = append(changed.Services, service)
	}
	listed := &fleet.BackendsDocument{Revision: backends.Revision + 1}
	for _, backend := range backends.Backends {
		backend.BootID, backend.ColdStartRemaining = boot, warming
		listed.Backends = append(listed.Backends, backend)
	}
	for _, document := range []fleet.Document{changed, listed} {
		_, err := r.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	r.applyView()
}

// countAccepted counts the new flows that an agent delivers of an offered load.
func (r *testCluster) countAccepted(at fleet.InstanceID, begin time.Time, duration time.Duration, perSecond int, port uint16) int {
	taken := 0
	step := time.Second / time.Duration(perSecond)
	for now := begin; now.Before(begin.Add(duration)); now = now.Add(step) {
		port++
		packet := receivedPacket(port, flow.Opening, 0)
		packet.Placed = true
		if _, delivered := r.agents[at].Receive(now, packet).(*Deliver); delivered {
			taken++
		}
	}
	return taken
}

func TestServerInColdStartGetsNoMoreThanItBears(t *testing.T) {
	const bears, overage, slack = 10, 1.5, 5
	tests := map[string]func(a *Agent){
		"listed as cold":       func(*Agent) {},
		"agent just restarted": func(a *Agent) { a.Start(settledAt) },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestCluster(t, 1)
			id := r.ids()[0]
			r.agents[id].config.MaxFlows = 1000
			warming := 2 * time.Second
			if name != "listed as cold" {
				warming = 0
			}
			r.agents[id].Start(settledAt.Add(-time.Hour))
			r.setSlowStart(t, bears, "boot 1", warming)
			prepare(r.agents[id])
			taken := r.countAccepted(id, settledAt, time.Second, 200, 5000)
			require.LessOrEqual(t, float64(taken), bears*overage+slack)
			require.Positive(t, taken)
			taken = r.countAccepted(id, settledAt.Add(4*time.Second), time.Second, 200, 9000)
			require.Equal(t, 200, taken, "it is warm")
		})
	}
}

func TestServerThatLostItsFlowsIsTakenForCold(t *testing.T) {
	r := newTestCluster(t, 1)
	id := r.ids()[0]
	r.agents[id].Start(settledAt.Add(-time.Hour))
	r.setSlowStart(t, 10, "boot 1", 0)
	r.open(t, id, 4000)
	require.True(t, r.agents[id].slowStart.allow(settledAt, 10))
	r.fakeBackends[id].open = make(map[flow.ID]bool)
	r.routePacket(t, id, receivedPacket(4000, flow.Established, 77))
	require.True(t, r.agents[id].slowStart.isCold(settledAt))
}

func TestServerThatKeptItsFlowsIsTakenForWarm(t *testing.T) {
	r := newTestCluster(t, 1)
	id := r.ids()[0]
	r.open(t, id, 4000)
	r.restart(id)
	r.agents[id].Start(settledAt)
	require.True(t, r.agents[id].slowStart.isCold(settledAt))
	r.agents[id].HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), PayloadSize: 100})
	require.False(t, r.agents[id].slowStart.isCold(settledAt))
}

func TestOpeningThatAServerDoesNotAnswerIsHandedOn(t *testing.T) {
	r := newTestCluster(t, 2)
	ids := r.ids()
	a := r.agents[ids[0]]
	packet := receivedPacket(4000, flow.Opening, 0)
	packet.Placed = true
	require.IsType(t, &Deliver{}, a.Receive(settledAt, packet))
	require.Empty(t, a.RetryOverdue(settledAt.Add(responseTimeout-time.Millisecond)))
	late := settledAt.Add(responseTimeout)
	retries := a.RetryOverdue(late)
	require.Len(t, retries, 1)
	require.Equal(t, ids[1], retries[0].Action.(*Forward).Target.ID())
	require.Equal(t, []byte("packet"), retries[0].Opening)
	require.True(t, a.IsTrialOnly())
	require.IsType(t, &Deliver{}, a.Receive(late, receivedPacket(4001, flow.Opening, 0)), "a trial")
	require.IsType(t, &Forward{}, a.Receive(late, receivedPacket(4002, flow.Opening, 0)))
	a.HandleBackendPacket(late, flow.Reply{Flow: flowOf(4001), HandshakeToken: 9, IsHandshakeReply: true})
	require.False(t, a.IsTrialOnly())
	require.IsType(t, &Deliver{}, a.Receive(late, receivedPacket(4003, flow.Opening, 0)))
}

func TestFlowsOfASilentServerAreResetOnlyIfTheyMayBeRepeated(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		r := newTestCluster(t, 2)
		r.setIdempotent(t, idempotent)
		r.applyView()
		id := r.open(t, r.ids()[0], 4000)
		a := r.agents[id]
		packet := receivedPacket(4001, flow.Opening, 0)
		packet.Placed = true
		begun := settledAt.Add(time.Millisecond)
		a.Receive(begun, packet)
		a.RetryOverdue(begun.Add(responseTimeout))
		require.IsType(t, &Deliver{}, a.Receive(begun.Add(responseTimeout), receivedPacket(4000, flow.Established, 77)))
		action := a.Receive(begun.Add(resetTimeout), receivedPacket(4000, flow.Established, 77))
		if idempotent {
			require.Equal(t, &Reset{Reason: ResetServerSilent}, action)
		} else {
			require.IsType(t, &Deliver{}, action)
		}
	}
}

func TestHandingOnIsAShareOfFlows(t *testing.T) {
	r := newTestCluster(t, 2)
	a := r.agents[r.ids()[0]]
	handed := 0
	now := settledAt
	for port := range uint16(90) {
		packet := receivedPacket(5000+port, flow.Opening, 0)
		packet.Placed = true
		a.Receive(now, packet)
		a.responses.recordResponse(now)
		now = now.Add(responseTimeout)
		handed += len(a.RetryOverdue(now))
	}
	require.LessOrEqual(t, handed, 90*depositPerFlow/retryCost+initialBalance/retryCost+1)
}

// All entries lapse while the store is away, though the servers live.
func TestServersWhoseEntriesLapseServeOnForAWhile(t *testing.T) {
	r := newTestCluster(t, 2)
	ids := r.ids()
	for _, document := range []fleet.Document{&fleet.BackendsDocument{Revision: 2}, &fleet.InstancesDocument{Revision: 2}} {
		_, err := r.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	r.applyViewAt(epoch.Add(fleet.LapseGrace - time.Millisecond))
	r.open(t, ids[0], 4000)
	r.state.ExtendLapseGrace(epoch.Add(time.Minute))
	r.applyViewAt(epoch.Add(time.Minute - time.Millisecond))
	r.open(t, ids[0], 4001)
	r.applyViewAt(epoch.Add(time.Minute))
	packet := receivedPacket(4002, flow.Opening, 0)
	packet.Placed = true
	_, action := r.routePacket(t, ids[0], packet)
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, action)
}

func TestReportsGoToABoundedAudience(t *testing.T) {
	r := newTestCluster(t, 60)
	a := r.agents[r.ids()[0]]
	heard := make(map[fleet.InstanceID]bool)
	for range 40 {
		audience := a.ReportRecipients()
		require.Len(t, audience, reportFanout)
		for _, target := range audience {
			heard[target.ID()] = true
		}
	}
	require.Len(t, heard, 59, "in time everybody hears")
}

// An agent restarts beside a server that has left. It announces it, as it cannot know.
func TestServerThatIsNotListedAndReturnsFlowsCountsAsGone(t *testing.T) {
	for _, listed := range []bool{true, false} {
		r := newTestCluster(t, 2)
		id := r.ids()[0]
		if !listed {
			_, backends, instances := r.state.Documents()
			for _, document := range []fleet.Document{
				&fleet.InstancesDocument{Revision: 2, Leased: true, Instances: instances.Instances[1:]},
				&fleet.BackendsDocument{Revision: 2, Backends: backends.Backends[1:]},
			} {
				_, err := r.state.Apply(epoch, document)
				require.NoError(t, err)
			}
			r.applyView()
		}
		r.fakeBackends[id].refuses = true
		for port := range uint16(maxBouncedOpenings) {
			require.False(t, r.agents[id].IsTrialOnly())
			packet := receivedPacket(4000+port, flow.Opening, 0)
			packet.Placed = true
			r.routePacket(t, id, packet)
		}
		require.Equal(t, !listed, r.agents[id].IsTrialOnly(), "a server that is listed may be full for a moment")
		r.fakeBackends[id].refuses = false
		packet := receivedPacket(5000, flow.Opening, 0)
		packet.Placed = true
		owner, _ := r.routePacket(t, id, packet)
		require.Equal(t, id, owner, "a trial")
		require.False(t, r.agents[id].IsTrialOnly())
	}
}
