package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// requestEnd is how a request ends at the server.
type requestEnd uint8

const (
	answers requestEnd = iota
	answersAtOnce
	resets
)

// healthyServiceTime is how long a request takes at a healthy server.
const healthyServiceTime = 30 * time.Millisecond

// testService is a set of agents, each with a server that may fail some of its requests.
type testService struct {
	*testCluster
	now  time.Time
	port uint16
}

// newTestService returns a service whose servers all have the service time
// healthyServiceTime, with load reports exchanged.
func newTestService(t *testing.T, servers int) *testService {
	s := &testService{testCluster: newTestCluster(t, servers), now: settledAt, port: 1024}
	for _, a := range s.agents {
		for range minServiceTimeSamples {
			a.load.recordServiceTime(healthyServiceTime)
			a.statsOf(orders).recordServiceTime(healthyServiceTime)
		}
	}
	s.exchangeReports()
	return s
}

// exchangeReports sends the load report of each agent to all others.
func (s *testService) exchangeReports() {
	for id, a := range s.agents {
		report := a.Report(s.now)
		for other, sibling := range s.agents {
			if other != id {
				sibling.HandleReport(s.now, id, report)
			}
		}
	}
}

// sendRequest opens a flow at a server and sends one request on it. It does nothing if the
// agent does not deliver the flow.
func (s *testService) sendRequest(id fleet.InstanceID, ending requestEnd) {
	s.port++
	a := s.agents[id]
	packet := receivedPacket(s.port, flow.Opening, 0)
	packet.Placed = true
	if _, delivered := a.Receive(s.now, packet).(*Deliver); !delivered {
		return
	}
	a.HandleBackendPacket(s.now, flow.Reply{Flow: flowOf(s.port), HandshakeToken: 1, IsHandshakeReply: true})
	requestPacket := receivedPacket(s.port, flow.Established, 1)
	requestPacket.Packet = requestPacket.Packet.WithPayloadSize(100)
	a.Receive(s.now, requestPacket)
	switch ending {
	case answers:
		a.HandleBackendPacket(s.now.Add(healthyServiceTime), flow.Reply{Flow: flowOf(s.port), PayloadSize: 500})
	case answersAtOnce:
		a.HandleBackendPacket(s.now.Add(time.Millisecond), flow.Reply{Flow: flowOf(s.port), PayloadSize: 90})
	case resets:
		a.HandleBackendPacket(s.now.Add(time.Millisecond), flow.Reply{Flow: flowOf(s.port), IsFinal: true, IsReset: true})
	}
	a.HandleBackendPacket(s.now.Add(healthyServiceTime), flow.Reply{Flow: flowOf(s.port), IsFinal: true})
}

// sendRequests sends a request to each server and exchanges reports, every 50 ms for a
// duration. On the servers in failing, two requests in five end in failure.
func (s *testService) sendRequests(failing map[fleet.InstanceID]bool, failure requestEnd, duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		for _, id := range s.ids() {
			ending := answers
			if failing[id] && s.port%5 < 2 {
				ending = failure
			}
			s.sendRequest(id, ending)
			s.agents[id].SweepCarried(s.now)
		}
		s.exchangeReports()
	}
}

// Guards against a server that fails two requests in five, by short answers or by resets,
// while its siblings answer all.
func TestServerThatFailsSomeRequestsIsEjected(t *testing.T) {
	for name, failure := range map[string]requestEnd{"answers at once": answersAtOnce, "resets": resets} {
		t.Run(name, func(t *testing.T) {
			s := newTestService(t, 7)
			failing := map[fleet.InstanceID]bool{s.ids()[2]: true}
			s.sendRequests(failing, failure, 3*time.Second)
			for _, id := range s.ids() {
				require.Equal(t, failing[id], s.agents[id].IsEjected())
			}
			s.sendRequests(nil, failure, 30*time.Second)
			require.False(t, s.agents[s.ids()[2]].IsEjected(), "a server that has recovered is readmitted")
		})
	}
}

// Guards against a server that accepts flows and never answers: no answer arrives to be
// counted, so the sweep must count the requests that hang.
func TestServerThatHangsIsEjected(t *testing.T) {
	s := newTestService(t, 4)
	id := s.ids()[0]
	a := s.agents[id]
	for range 2 * minOutcomes {
		s.port++
		packet := receivedPacket(s.port, flow.Opening, 0)
		packet.Placed = true
		a.Receive(s.now, packet)
		a.HandleBackendPacket(s.now, flow.Reply{Flow: flowOf(s.port), HandshakeToken: 1, IsHandshakeReply: true})
		requestPacket := receivedPacket(s.port, flow.Established, 1)
		requestPacket.Packet = requestPacket.Packet.WithPayloadSize(100)
		a.Receive(s.now, requestPacket)
	}
	s.now = s.now.Add(minHangTimeout + time.Millisecond)
	a.SweepCarried(s.now)
	s.exchangeReports()
	require.True(t, a.IsEjected())
	outcomes := a.statsOf(orders).outcomes
	a.SweepCarried(s.now.Add(time.Second))
	require.Equal(t, outcomes, a.statsOf(orders).outcomes, "a request that hangs is recorded once")
}

// Guards against ejection in a service where fast answers are usual: all servers answer two
// in five requests at once, which is no failure of one of them.
func TestServersAreNotEjectedWhenAllFailAlike(t *testing.T) {
	s := newTestService(t, 7)
	all := make(map[fleet.InstanceID]bool)
	for _, id := range s.ids() {
		all[id] = true
	}
	s.sendRequests(all, answersAtOnce, 5*time.Second)
	for _, id := range s.ids() {
		require.False(t, s.agents[id].IsEjected())
	}
}

// Guards against the ejection of most servers of a service: four of nine fail some requests,
// and three are ejected.
func TestEjectedShareOfAServiceIsBounded(t *testing.T) {
	s := newTestService(t, 9)
	failing := make(map[fleet.InstanceID]bool)
	for _, id := range s.ids()[:4] {
		failing[id] = true
	}
	s.sendRequests(failing, resets, 5*time.Second)
	ejected := 0
	for _, id := range s.ids() {
		if s.agents[id].IsEjected() {
			require.True(t, failing[id])
			ejected++
		}
	}
	require.Equal(t, 9/maxEjectedDivisor, ejected)
}

// newMixedService returns a cluster of six agents whose servers serve pages, of 40 ms, and of
// which the first three also serve downloads, of 5 ms.
func newMixedService(t *testing.T) *testService {
	s := &testService{testCluster: newTestCluster(t, 6), now: settledAt, port: 1024}
	_, backends, _ := s.state.Documents()
	next := &fleet.BackendsDocument{Revision: fleet.Revision{Number: 2}, Backends: append([]fleet.Backend(nil), backends.Backends...)}
	for i := range next.Backends[:3] {
		next.Backends[i].Labels = map[string]string{"app": "archive"}
	}
	services := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 3}, Services: []fleet.Service{
		{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{"north": {"app": {"orders", "archive"}}}},
		{Name: "letters", Address: "10.9.0.2:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{"north": {"app": {"archive"}}}},
	}}
	for _, document := range []fleet.Document{next, services} {
		_, err := s.state.Apply(epoch, document)
		require.NoError(t, err)
	}
	s.applyView()
	return s
}

// record records answered requests of a service at a server: service times and outcomes.
func (s *testService) record(id fleet.InstanceID, service string, count int, serviceTime time.Duration) {
	a := s.agents[id]
	for range count {
		a.statsOf(fleet.ServiceIDOf(service)).recordServiceTime(serviceTime)
		a.recordOutcome(s.now, fleet.ServiceIDOf(service), serviceTime, true)
	}
}

// Guards against healthy servers that are ejected because their fast requests are compared
// with slow ones of another service.
func TestFastRequestsOfAnotherServiceAreNoFailures(t *testing.T) {
	s := newMixedService(t)
	for range 40 {
		for i, id := range s.ids() {
			s.record(id, "orders", 2, 40*time.Millisecond)
			if i < 3 {
				s.record(id, "letters", 5, 5*time.Millisecond)
			}
		}
		s.exchangeReports()
	}
	for _, id := range s.ids() {
		require.False(t, s.agents[id].IsEjected())
	}
}

// Guards against an emptied service: the only servers of letters fail one after the other
// while the servers of orders, with which they share a service, do well.
func TestEjectionLeavesTwoThirdsOfEachService(t *testing.T) {
	s := newMixedService(t)
	letters := fleet.ServiceIDOf("letters")
	for range 3 * minOutcomes {
		for _, id := range s.ids()[:3] {
			a := s.agents[id]
			a.statsOf(letters).recordServiceTime(5 * time.Millisecond)
		}
	}
	s.exchangeReports()
	ejected := func() int {
		count := 0
		for _, id := range s.ids() {
			if s.agents[id].IsEjected() {
				count++
			}
		}
		return count
	}
	for _, id := range s.ids()[:2] {
		for range 3 * minOutcomes {
			s.agents[id].recordOutcome(s.now, letters, 0, false)
		}
		s.exchangeReports()
	}
	require.Equal(t, 1, ejected())
	s.state.Peers().Merge(epoch, fleet.PeerRecord{ID: s.ids()[2], Incarnation: 1, State: fleet.PeerServerUnresponsive})
	s.applyView()
	s.exchangeReports()
	require.Zero(t, ejected(), "an ejected server is readmitted when others are lost")
}

// Guards against a server that stays ejected forever because it gets no requests any more by
// which it could show that it has recovered.
func TestEjectedServerIsReadmittedAfterAWhile(t *testing.T) {
	s := newTestService(t, 7)
	failing := s.ids()[2]
	a := s.agents[failing]
	for _, period := range []time.Duration{firstEjection, 2 * firstEjection, maxEjection, maxEjection} {
		for range 2 * minOutcomes {
			a.recordOutcome(s.now, orders, 0, false)
		}
		s.exchangeReports()
		require.True(t, a.IsEjected())
		s.now = s.now.Add(period - time.Millisecond)
		s.exchangeReports()
		require.True(t, a.IsEjected())
		s.now = s.now.Add(time.Millisecond)
		s.exchangeReports()
		require.False(t, a.IsEjected())
	}
}

// Guards against a failing server that gets new flows while others of its service are replaced:
// four of nine leave, which must neither prevent an ejection nor end one.
func TestLeavingServersDoNotPreventAnEjection(t *testing.T) {
	s := newTestService(t, 9)
	_, _, instances := s.state.Documents()
	next := &fleet.InstancesDocument{Revision: fleet.Revision{Number: instances.Number + 1}, Instances: append([]fleet.Instance(nil), instances.Instances...), Leased: true}
	for i := range next.Instances[5:] {
		next.Instances[5+i].State = fleet.StateLeaving
	}
	_, err := s.state.Apply(epoch, next)
	require.NoError(t, err)
	s.applyView()
	failing := map[fleet.InstanceID]bool{s.ids()[2]: true}
	s.sendRequests(failing, resets, 3*time.Second)
	require.True(t, s.agents[s.ids()[2]].IsEjected())
}
