package agent

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
)

var (
	epoch     = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	settledAt = epoch.Add(time.Minute)
	address   = flow.NewAddress(flow.TCP, netip.MustParseAddrPort("10.9.0.1:80"))
	orders    = fleet.ServiceIDOf("orders")
)

const slots = 2

// newState returns the state of a fleet with the given number of backend servers b0, b1, ...
// in one data centre. All of them serve the TCP service orders and the UDP service lookup.
func newState(t require.TestingT, targets int) *fleet.State {
	state := fleet.NewState()
	services := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{
		{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{"north": {"app": {"orders"}}}},
		{Name: "lookup", Address: "10.9.0.1:53", Protocol: "udp", Selectors: map[string]fleet.Selector{"north": {}}},
	}}
	backends := &fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}}
	instances := &fleet.InstancesDocument{Revision: fleet.Revision{Number: 1}, Leased: true}
	for i := range targets {
		name := fmt.Sprintf("b%d", i)
		backends.Backends = append(backends.Backends, fleet.Backend{Name: name, DataCentre: "north", Labels: map[string]string{"app": "orders"}})
		instances.Instances = append(instances.Instances, fleet.Instance{
			Name: name, Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
		})
	}
	for _, document := range []fleet.Document{services, backends, instances} {
		_, err := state.Apply(epoch, document)
		require.NoError(t, err)
	}
	return state
}

// requestPacket returns the packet of a request on the flow that tests open at port 4000.
func requestPacket() *ReceivedPacket {
	packet := receivedPacket(4000, flow.Established, 77)
	packet.Packet = packet.Packet.WithPayloadSize(300)
	return packet
}

// newAgents returns an agent for each of the given number of backend servers, and their view.
func newAgents(t require.TestingT, targets int, placement Placement) (map[fleet.InstanceID]*Agent, *fleet.View) {
	view := newState(t, targets).View(epoch)
	all := make(map[fleet.InstanceID]*Agent)
	for i := range targets {
		id := fleet.InstanceIDOf(fmt.Sprintf("b%d", i))
		config := Config{Self: id, DataCentre: "north", MaxFlows: 100, MaxHandOvers: 100, Placement: placement}
		all[id] = New(config, view, NewLoad(epoch, slots), rand.New(rand.NewPCG(1, uint64(i))))
	}
	return all, view
}

// flowOf returns the flow of a caller's port to orders.
func flowOf(port uint16) flow.ID {
	return flow.NewID(address, netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), port))
}

// receivedPacket returns a packet of the flow of a caller's port, as received from a balancer.
func receivedPacket(port uint16, kind flow.Kind, acknowledgedToken uint32) *ReceivedPacket {
	return &ReceivedPacket{Packet: flow.NewPacket(flowOf(port), kind, 7, acknowledgedToken, []byte("packet")), Service: orders, Revision: fleet.Revision{Number: 1}}
}

// routePacket forwards a packet from agent to agent until one delivers, resets or drops it. It
// returns that agent and its action.
func routePacket(t require.TestingT, all map[fleet.InstanceID]*Agent, start fleet.InstanceID, packet *ReceivedPacket) (fleet.InstanceID, Action) {
	at := start
	for range 2 * len(all) {
		action := all[at].Receive(settledAt, packet)
		if _, held := action.(*Hold); held {
			action = runLookup(t, all, at, packet)
		}
		forward, ok := action.(*Forward)
		if !ok {
			return at, action
		}
		packet.Visited = all[at].visitedWithSelf(packet.Visited)
		packet.Placed, packet.Searched = forward.Placed, forward.Searched
		packet.Evidence = ownership.Evidence{}
		at = forward.Target.ID()
	}
	require.Fail(t, "packet was neither delivered, reset nor dropped")
	return 0, nil
}

// recordResult records the result of a lookup or poll in a held packet, as the caller of the core
// does.
func recordResult(packet *ReceivedPacket, result LookupResult) {
	packet.LookedUp = true
	packet.Visited = append(packet.Visited, result.Answered()...)
	packet.Evidence = packet.Evidence.With(result.DeniedBy, result.SilentServers)
}

// runLookup exchanges the ownership queries and replies for a held packet, and returns the
// action that follows from the result.
func runLookup(t require.TestingT, all map[fleet.InstanceID]*Agent, at fleet.InstanceID, packet *ReceivedPacket) Action {
	var results []LookupResult
	due, _ := all[at].NextLookupTime(settledAt)
	for _, query := range all[at].OwnershipQueries(due) {
		reply := all[query.Target.ID()].AnswerOwnershipQuery(settledAt, query.Round, query.Flows)
		results = append(results, all[at].HandleOwnershipReply(due, query.Target.Process(), reply)...)
	}
	require.Len(t, results, 1)
	recordResult(packet, results[0])
	if results[0].Owner != nil {
		return all[at].ForwardToOwner(results[0].Owner)
	}
	return all[at].ResumeAfterLookup(settledAt, packet)
}

// Guards against flows that cannot be continued because their packets arrive at an agent that
// does not own them.
func TestPacketsReachTheOwnerFromAnyAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, view := newAgents(t, rapid.IntRange(1, 8).Draw(t, "agents"), HashOnly{})
		port := rapid.Uint16Range(1024, 65535).Draw(t, "port")
		primary := view.Service(orders).Primary(flowOf(port).Hash()).ID()
		owner, action := routePacket(t, all, primary, receivedPacket(port, flow.Opening, 0))
		require.IsType(t, &Deliver{}, action)
		all[owner].RecordHandshakeReply(flowOf(port), 42)
		for id := range all {
			found, action := routePacket(t, all, id, receivedPacket(port, flow.Established, 42))
			require.IsType(t, &Deliver{}, action)
			require.Equal(t, owner, found)
		}
	})
}

// A partition of 30 seconds loses the caller's confirmation of the handshake. The caller
// already regards the flow as open, so the agent must not discard it in that time.
func TestHalfOpenFlowOutlivesAPartition(t *testing.T) {
	all, view := newAgents(t, 2, HashOnly{})
	primary := view.Service(orders).Primary(flowOf(4000).Hash()).ID()
	owner, _ := routePacket(t, all, primary, receivedPacket(4000, flow.Opening, 0))
	all[owner].RecordHandshakeReply(flowOf(4000), 42)
	require.Empty(t, all[owner].Sweep(settledAt.Add(30*time.Second)))
	_, action := routePacket(t, all, primary, receivedPacket(4000, flow.Established, 42))
	require.IsType(t, &Deliver{}, action)
	owner, _ = routePacket(t, all, primary, receivedPacket(4001, flow.Opening, 0))
	all[owner].RecordHandshakeReply(flowOf(4001), 42)
	require.NotEmpty(t, all[owner].Sweep(settledAt.Add(halfOpenTimeout)))
}

// A full primary hands a new flow over. If a retransmission of the opening packet were placed
// again, the flow could be opened at two agents.
func TestRetransmittedOpeningFollowsTheHandOver(t *testing.T) {
	all, view := newAgents(t, 3, HandOverWhenFull{})
	primary := view.Service(orders).Primary(flowOf(4000).Hash()).ID()
	all[primary].Admission().AdmitOrQueue(epoch, netip.Addr{}, BoundedWait)
	for id, a := range all {
		if id != primary {
			all[primary].HandleReport(settledAt, id, a.Report(settledAt))
		}
	}
	first, action := routePacket(t, all, primary, receivedPacket(4000, flow.Opening, 0))
	require.IsType(t, &Deliver{}, action)
	require.NotEqual(t, primary, first)
	again, _ := routePacket(t, all, primary, receivedPacket(4000, flow.Opening, 0))
	require.Equal(t, first, again)
}

// The connection to the backend server fails. The opening packet and its retransmissions must
// all go to the same other agent.
func TestFailedOpeningIsRetriedOnceOnAnotherAgent(t *testing.T) {
	all, view := newAgents(t, 2, HashOnly{})
	primary := view.Service(orders).Primary(flowOf(4000).Hash()).ID()
	routePacket(t, all, primary, receivedPacket(4000, flow.Opening, 0))
	var other fleet.InstanceID
	for id, a := range all {
		if id != primary {
			other = id
			all[primary].HandleReport(settledAt, id, a.Report(settledAt))
		}
	}
	pending, found := all[primary].PendingFlow(flowOf(4000))
	require.True(t, found)
	retry := all[primary].HandleFailedOpening(settledAt, flowOf(4000), pending.Attempt, RetryDial, RefuseDial)
	require.Equal(t, other, retry.Action.(*Forward).Target.ID())
	require.Equal(t, []byte("packet"), retry.Opening)
	at, _ := routePacket(t, all, primary, receivedPacket(4000, flow.Opening, 0))
	require.Equal(t, other, at, "a retransmitted opening packet must follow the recorded hand-over")
	require.Zero(t, all[primary].FlowsOwned())
}

// Copies of an opening packet are answered by two agents. The packet that confirms one
// handshake must reach the agent that sent it.
func TestConfirmationOfAnotherAgentsHandshakeIsForwarded(t *testing.T) {
	all, view := newAgents(t, 2, HashOnly{})
	primary := view.Service(orders).Primary(flowOf(4000).Hash()).ID()
	for id, a := range all {
		packet := receivedPacket(4000, flow.Opening, 0)
		packet.Placed = true
		require.IsType(t, &Deliver{}, a.Receive(settledAt, packet))
		a.RecordHandshakeReply(flowOf(4000), uint32(id))
	}
	for id := range all {
		owner, action := routePacket(t, all, primary, receivedPacket(4000, flow.Established, uint32(id)))
		require.IsType(t, &Deliver{}, action)
		require.Equal(t, id, owner)
		break
	}
}

// Guards against resets of flows whose owner has not been found yet, because the view is
// outdated or unsettled or a candidate is unreachable. A closing packet never gets a reset.
func TestResetOnlyWhenTheSearchIsConclusive(t *testing.T) {
	state := newState(t, 2)
	self, other := fleet.InstanceIDOf("b0"), fleet.InstanceIDOf("b1")
	config := Config{Self: self, DataCentre: "north", MaxFlows: 1, MaxHandOvers: 1, Placement: HashOnly{}}
	a := New(config, state.View(epoch), NewLoad(epoch, slots), nil)
	last := func(kind flow.Kind, number uint64) *ReceivedPacket {
		packet := receivedPacket(4000, kind, 1)
		packet.Visited, packet.Revision = []fleet.InstanceID{other}, fleet.Revision{Number: number}
		return packet
	}
	require.Equal(t, &Reset{Reason: ResetUnowned}, a.Receive(settledAt, last(flow.Established, 1)))
	require.Equal(t, &Drop{Reason: DropClosingUnowned}, a.Receive(settledAt, last(flow.Closing, 1)))
	require.Equal(t, &Drop{Reason: DropViewStale}, a.Receive(settledAt, last(flow.Established, 2)))
	require.Equal(t, &Drop{Reason: DropViewUnsettled}, a.Receive(epoch, last(flow.Established, 1)))
	state.Peers().SetReachable(epoch, other, false)
	a.ApplyView(state.View(epoch))
	require.Equal(t, &Drop{Reason: DropCandidateUnreachable}, a.Receive(settledAt, receivedPacket(4000, flow.Established, 1)))
}

// A backend server that is no longer selected keeps its flows as residual ones. If the service
// is removed from the data centre, its flows must be reset and their packets dropped.
func TestDeselectedServerKeepsFlowsAndRemovedDataCentreLosesThem(t *testing.T) {
	state := newState(t, 1)
	self := fleet.InstanceIDOf("b0")
	config := Config{Self: self, DataCentre: "north", MaxFlows: 9, MaxHandOvers: 1, Placement: HashOnly{}}
	a := New(config, state.View(epoch), NewLoad(epoch, slots), nil)
	require.IsType(t, &Deliver{}, a.Receive(settledAt, receivedPacket(4000, flow.Opening, 0)))
	apply := func(document fleet.Document) []OwnedFlow {
		_, err := state.Apply(epoch, document)
		require.NoError(t, err)
		return a.ApplyView(state.View(epoch))
	}
	toReset := apply(&fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}, Backends: []fleet.Backend{{Name: "b0", DataCentre: "north"}}})
	require.Empty(t, toReset, "a deselected backend server must keep its flows")
	require.Equal(t, []fleet.ServiceID{orders}, a.ResidualServices())
	newer := receivedPacket(4001, flow.Opening, 0)
	newer.Revision = fleet.Revision{Number: 2}
	require.Equal(t, &Reset{Reason: RefuseNotAccepting}, a.Receive(settledAt, newer))
	toReset = apply(&fleet.ServicesDocument{Revision: fleet.Revision{Number: 3}, Services: []fleet.Service{{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp"}}})
	require.Len(t, toReset, 1, "flows of a data centre that is out must be reset")
	require.Equal(t, &Drop{Reason: DropDataCentreOut}, a.Receive(settledAt, receivedPacket(4000, flow.Established, 1)))
	foreign := receivedPacket(4000, flow.Opening, 0)
	foreign.Service = fleet.ServiceIDOf("other")
	require.Equal(t, &Drop{Reason: DropUnknownService}, a.Receive(settledAt, foreign))
}

// An agent that owns MaxFlows flows and has no sibling must refuse a new flow because of its
// number of connections.
func TestFullAgentRefusesNewFlowWithoutSiblings(t *testing.T) {
	all, _ := newAgents(t, 1, HashOnly{})
	a := all[fleet.InstanceIDOf("b0")]
	for port := range uint16(a.config.MaxFlows) {
		require.IsType(t, &Deliver{}, a.Receive(settledAt, receivedPacket(1024+port, flow.Opening, 0)))
	}
	require.Equal(t, &Reset{Reason: RefuseConnections}, a.Receive(settledAt, receivedPacket(60000, flow.Opening, 0)))
}

// A UDP flow has no handshake that resolves conflicts. Wherever its packets arrive, only the
// primary may open it, and only once.
func TestUDPFlowOpensAtThePrimaryAfterASearch(t *testing.T) {
	all, view := newAgents(t, 4, HashOnly{})
	lookup := fleet.ServiceIDOf("lookup")
	id := flow.NewID(flow.NewAddress(flow.UDP, netip.MustParseAddrPort("10.9.0.1:53")), netip.MustParseAddrPort("10.1.0.1:4000"))
	packet := func() *ReceivedPacket {
		return &ReceivedPacket{Packet: flow.NewPacket(id, flow.Connectionless, 0, 0, nil), Service: lookup, Revision: fleet.Revision{Number: 1}}
	}
	primary := view.Service(lookup).Primary(id.Hash()).ID()
	for start := range all {
		owner, action := routePacket(t, all, start, packet())
		require.IsType(t, &Deliver{}, action)
		require.Equal(t, primary, owner)
	}
	require.Equal(t, 1, all[primary].FlowsOwned())
}

// One member queues more requests than there are slots. A free slot must go to the member with
// fewer running requests, although its request came later.
func TestFreeSlotsGoToTheMemberWithFewestRequests(t *testing.T) {
	load := NewLoad(epoch, slots)
	load.limit = slots
	admission := NewAdmission(load)
	greedy, modest := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")
	for range slots {
		_, admitted := admission.AdmitOrQueue(epoch, greedy, BoundedWait)
		require.True(t, admitted)
	}
	for range 5 {
		admission.AdmitOrQueue(epoch, greedy, BoundedWait)
	}
	ticket, admitted := admission.AdmitOrQueue(epoch, modest, BoundedWait)
	require.False(t, admitted)
	admission.Complete(epoch, greedy, time.Millisecond)
	require.Equal(t, []Ticket{ticket}, admission.AdmitQueued(epoch))
	require.Len(t, admission.RemoveExpired(epoch.Add(maxWait)), 5)
}

// A cold backend server gets one request at a time; the limit must grow only with its answers
// and start again after a restart.
func TestConcurrencyLimitGrowsWithAnswersAndIsResetOnRestart(t *testing.T) {
	load := NewLoad(epoch, slots)
	require.Equal(t, 1, load.Limit())
	answers := 0
	for load.IsCold() {
		load.start(epoch)
		load.finish(epoch, time.Millisecond)
		answers++
	}
	require.InDelta(t, (slots-1)/initialGrowth, answers, 1)
	load.ResetLimit()
	require.Equal(t, 1, load.Limit())
}

// Operators take a data centre out while a request is in progress. The flow may go on until the
// grace period ends; new flows are dropped.
func TestFlowInGracePeriodOutlivesItsDataCentre(t *testing.T) {
	state := newState(t, 1)
	config := Config{Self: fleet.InstanceIDOf("b0"), DataCentre: "north", MaxFlows: 9, MaxHandOvers: 1, Placement: HashOnly{}}
	a := New(config, state.View(epoch), NewLoad(epoch, slots), nil)
	a.Receive(settledAt, receivedPacket(4000, flow.Opening, 0))
	a.RecordHandshakeReply(flowOf(4000), 1)
	_, err := state.Apply(epoch, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 3}, Services: []fleet.Service{{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp"}}})
	require.NoError(t, err)
	toReset := a.ApplyView(state.View(epoch))
	require.Len(t, toReset, 1)
	a.SetGraceUntil(toReset[0], settledAt.Add(time.Second))
	require.IsType(t, &Deliver{}, a.Receive(settledAt, receivedPacket(4000, flow.Established, 1)))
	require.Equal(t, &Drop{Reason: DropDataCentreOut}, a.Receive(settledAt, receivedPacket(4001, flow.Opening, 0)))
	require.Equal(t, &Drop{Reason: DropDataCentreOut}, a.Receive(settledAt.Add(time.Second), receivedPacket(4000, flow.Established, 1)))
}

// Views follow each other several times a second. Guards against a grace period that each of them
// begins anew, and against the end of flows whose data centre is back.
func TestFlowsOfARemovedDataCentreAreReportedOnceAndKeptIfItReturns(t *testing.T) {
	state := newState(t, 1)
	config := Config{Self: fleet.InstanceIDOf("b0"), DataCentre: "north", MaxFlows: 9, MaxHandOvers: 1, Placement: HashOnly{}}
	a := New(config, state.View(epoch), NewLoad(epoch, slots), nil)
	a.Receive(settledAt, receivedPacket(4000, flow.Opening, 0))
	services, _, _ := state.Documents()
	selecting := services.Services
	publish := func(number uint64, services []fleet.Service) []OwnedFlow {
		_, err := state.Apply(epoch, &fleet.ServicesDocument{Revision: fleet.Revision{Number: number}, Services: services})
		require.NoError(t, err)
		return a.ApplyView(state.View(epoch))
	}
	out := publish(8, []fleet.Service{{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp"}})
	require.Len(t, out, 1)
	a.SetGraceUntil(out[0], settledAt.Add(time.Second))
	require.Empty(t, a.ApplyView(state.View(epoch)))
	require.True(t, a.MustEnd(out[0]))
	require.Empty(t, publish(9, selecting))
	require.False(t, a.MustEnd(out[0]))
}
