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
	hangs
)

// healthyServiceTime is how long a request takes at a healthy server.
const healthyServiceTime = 30 * time.Millisecond

// testService is a set of agents, each beside a server that fails a share of its requests.
type testService struct {
	*testCluster
	now  time.Time
	port uint16
}

func newTestService(t *testing.T, servers int) *testService {
	s := &testService{testCluster: newTestCluster(t, servers), now: settledAt, port: 1024}
	for _, a := range s.agents {
		for range minServiceTimeSamples {
			a.load.recordServiceTime(healthyServiceTime)
		}
	}
	s.exchangeReports()
	return s
}

// exchangeReports carries the load reports of all agents.
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

// sendRequest sends one sendRequest to a server.
func (s *testService) sendRequest(id fleet.InstanceID, o requestEnd) {
	s.port++
	a := s.agents[id]
	packet := receivedPacket(s.port, flow.Opening, 0)
	packet.Placed = true
	if _, delivered := a.Receive(s.now, packet).(*Deliver); !delivered {
		return
	}
	a.HandleBackendPacket(s.now, flow.Reply{Flow: flowOf(s.port), HandshakeToken: 1, IsHandshakeReply: true})
	ask := receivedPacket(s.port, flow.Established, 1)
	ask.Packet = ask.Packet.WithPayloadSize(100)
	a.Receive(s.now, ask)
	switch o {
	case answers:
		a.HandleBackendPacket(s.now.Add(healthyServiceTime), flow.Reply{Flow: flowOf(s.port), PayloadSize: 500})
	case answersAtOnce:
		a.HandleBackendPacket(s.now.Add(time.Millisecond), flow.Reply{Flow: flowOf(s.port), PayloadSize: 90})
	case resets:
		a.HandleBackendPacket(s.now.Add(time.Millisecond), flow.Reply{Flow: flowOf(s.port), IsFinal: true, IsReset: true})
	}
	a.HandleBackendPacket(s.now.Add(healthyServiceTime), flow.Reply{Flow: flowOf(s.port), IsFinal: true})
}

// sendRequests sends requests to all servers for a while. Those named fail two in five.
func (s *testService) sendRequests(failing map[fleet.InstanceID]bool, o requestEnd, duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		for _, id := range s.ids() {
			ends := answers
			if failing[id] && s.port%5 < 2 {
				ends = o
			}
			s.sendRequest(id, ends)
			s.agents[id].SweepCarried(s.now)
		}
		s.exchangeReports()
	}
}

func TestServerThatFailsSomeRequestsIsEjected(t *testing.T) {
	for name, o := range map[string]requestEnd{"answers at once": answersAtOnce, "resets": resets} {
		t.Run(name, func(t *testing.T) {
			s := newTestService(t, 7)
			failing := map[fleet.InstanceID]bool{s.ids()[2]: true}
			s.sendRequests(failing, o, 3*time.Second)
			for _, id := range s.ids() {
				require.Equal(t, failing[id], s.agents[id].IsEjected())
			}
			s.sendRequests(nil, o, 30*time.Second)
			require.False(t, s.agents[s.ids()[2]].IsEjected(), "it has healed")
		})
	}
}

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
		ask := receivedPacket(s.port, flow.Established, 1)
		ask.Packet = ask.Packet.WithPayloadSize(100)
		a.Receive(s.now, ask)
	}
	s.now = s.now.Add(minHangTimeout + time.Millisecond)
	a.SweepCarried(s.now)
	s.exchangeReports()
	require.True(t, a.IsEjected())
	judged := a.outliers.outcomes
	a.SweepCarried(s.now.Add(time.Second))
	require.Equal(t, judged, a.outliers.outcomes, "a request counts once")
}

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

func TestEjectedShareOfAServiceIsBounded(t *testing.T) {
	s := newTestService(t, 9)
	failing := make(map[fleet.InstanceID]bool)
	for _, id := range s.ids()[:4] {
		failing[id] = true
	}
	s.sendRequests(failing, resets, 5*time.Second)
	aside := 0
	for _, id := range s.ids() {
		if s.agents[id].IsEjected() {
			require.True(t, failing[id])
			aside++
		}
	}
	require.Equal(t, 9/maxEjectedDivisor, aside)
}
