package agent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

const (
	returnSlots = 7
	// returnServiceTime is the mean service time. Single ones vary by half of it.
	returnServiceTime = 40 * time.Millisecond
	returnObjective   = 200 * time.Millisecond
	returnTimeout     = 2 * time.Second
	// returnStep is the resolution of the simulated time.
	returnStep = time.Millisecond
	// returnQueue is the number of requests that the server queues. It rejects others.
	returnQueue = 28
)

// returningCaller is a caller with one request, which opens a flow, copies its opening packet
// and opens another flow at once after a reset, up to two times.
type returningCaller struct {
	startedAt, openedAt time.Time
	port                uint16
	copies              uint32
	tries               int
	answeredAt          time.Time
	ended               bool
}

// returnScenario replays the return of everything: callers whose requests are late already
// and fresh ones meet one agent with one server.
type returnScenario struct {
	t       *testing.T
	agent   *Agent
	now     time.Time
	port    uint16
	callers map[uint16]*returningCaller
	late    []*returningCaller
	fresh   []*returningCaller
	// queue holds the ports of the flows whose requests are at the server, in order, and
	// doneAt when each of the first returnSlots is answered.
	queue  []uint16
	doneAt map[uint16]time.Time
	// rejected is the number of requests that did not fit the server's queue.
	rejected int
	random   *rand.Rand
}

// setObjective publishes returnObjective and a timeout of the service orders.
func (c *testCluster) setObjective(t require.TestingT, timeout time.Duration) {
	services, _, _ := c.state.Documents()
	next := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 2}, Services: slices.Clone(services.Services)}
	next.Services[0].LatencyObjective, next.Services[0].Timeout = returnObjective, timeout
	_, err := c.state.Apply(epoch, next)
	require.NoError(t, err)
	c.applyView()
}

func newReturnScenario(t *testing.T) *returnScenario {
	c := newTestCluster(t, 1)
	c.setObjective(t, returnTimeout)
	a := c.agents[c.ids()[0]]
	a.config.Placement, a.config.MaxFlows = HandOverWhenFull{}, 10000
	a.load.SetSlots(returnSlots)
	return &returnScenario{t: t, agent: a, now: settledAt, port: 1024, callers: make(map[uint16]*returningCaller), doneAt: make(map[uint16]time.Time), random: rand.New(rand.NewPCG(1, 2))}
}

// arrive adds a caller.
func (s *returnScenario) arrive(list *[]*returningCaller) {
	caller := &returningCaller{startedAt: s.now}
	*list = append(*list, caller)
	s.open(caller)
}

// open lets a caller open a flow.
func (s *returnScenario) open(caller *returningCaller) {
	s.port++
	caller.port, caller.openedAt, caller.copies = s.port, s.now, 0
	caller.tries++
	s.callers[s.port] = caller
	s.sendOpening(caller)
}

// sendOpening sends an opening packet of the caller, which counts the copies sent before.
func (s *returnScenario) sendOpening(caller *returningCaller) {
	packet := receivedPacket(caller.port, flow.Opening, caller.copies)
	bytes := []byte{byte(caller.port >> 8), byte(caller.port)}
	packet.Packet = flow.NewPacket(packet.Packet.Flow(), flow.Opening, packet.Packet.Sequence(), caller.copies, bytes)
	s.execute(caller, s.agent.Receive(s.now, packet))
}

// execute carries out an action for a caller's opening packet. The caller of an accepted flow
// sends its request at once.
func (s *returnScenario) execute(caller *returningCaller, action Action) {
	switch action.(type) {
	case *Deliver:
		s.agent.HandleBackendPacket(s.now, flow.Reply{Flow: flowOf(caller.port), HandshakeToken: 1, IsHandshakeReply: true})
		request := receivedPacket(caller.port, flow.Established, 1)
		request.Packet = request.Packet.WithPayloadSize(100)
		s.agent.Receive(s.now, request)
		if len(s.queue) >= returnSlots+returnQueue {
			s.reject(caller)
			return
		}
		s.queue = append(s.queue, caller.port)
	case *Reset:
		delete(s.callers, caller.port)
		caller.ended = caller.tries > 2
		if !caller.ended {
			s.open(caller)
		}
	}
}

// reject answers a request that does not fit the server's queue with an error.
func (s *returnScenario) reject(caller *returningCaller) {
	s.rejected++
	caller.ended = true
	delete(s.callers, caller.port)
	s.agent.HandleBackendPacket(s.now, flow.Reply{Flow: flowOf(caller.port), PayloadSize: 10})
	s.agent.HandleBackendPacket(s.now, flow.Reply{Flow: flowOf(caller.port), IsFinal: true})
}

// run plays the scenario until an instant. Fresh callers arrive at a fixed rate.
func (s *returnScenario) run(until time.Time, freshPerSecond int) {
	nextFresh := s.now
	for ; s.now.Before(until); s.now = s.now.Add(returnStep) {
		if freshPerSecond > 0 && !s.now.Before(nextFresh) {
			nextFresh = nextFresh.Add(time.Second / time.Duration(freshPerSecond))
			s.arrive(&s.fresh)
		}
		s.serve()
		s.sendCopies()
		released := s.agent.ReleaseWaiting(s.now)
		for i := range released {
			packet := flowOfOpening(s.t, &released[i])
			if caller := s.callers[packet]; caller != nil {
				s.execute(caller, released[i].Action)
			}
		}
	}
}

// flowOfOpening returns the caller's port of a released opening packet, whose bytes hold it.
func flowOfOpening(t *testing.T, resolution *Resolution) uint16 {
	require.Len(t, resolution.Opening, 2)
	return uint16(resolution.Opening[0])<<8 | uint16(resolution.Opening[1])
}

// serve answers the requests whose time has come and starts others.
func (s *returnScenario) serve() {
	for i := 0; i < min(len(s.queue), returnSlots); {
		port := s.queue[i]
		if s.doneAt[port].IsZero() {
			share := 0.5 + s.random.Float64()
			s.doneAt[port] = s.now.Add(time.Duration(share * float64(returnServiceTime)))
		}
		if s.now.Before(s.doneAt[port]) {
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		s.agent.HandleBackendPacket(s.now, flow.Reply{Flow: flowOf(port), PayloadSize: 100})
		s.agent.HandleBackendPacket(s.now, flow.Reply{Flow: flowOf(port), IsFinal: true})
		s.callers[port].answeredAt = s.now
		delete(s.callers, port)
	}
}

// sendCopies sends the copies of opening packets that are due.
func (s *returnScenario) sendCopies() {
	for _, caller := range append(slices.Clone(s.late), s.fresh...) {
		if caller.ended || s.callers[caller.port] != caller || slices.Contains(s.queue, caller.port) {
			continue
		}
		due := caller.openedAt
		for _, interval := range copyIntervals[:caller.copies+1] {
			due = due.Add(interval)
		}
		if s.now.Before(due) {
			continue
		}
		if int(caller.copies) == len(copyIntervals)-1 {
			caller.ended = true
			continue
		}
		caller.copies++
		s.sendOpening(caller)
	}
}

// countAnswered returns how many callers were answered within a time.
func countAnswered(callers []*returningCaller, within time.Duration) int {
	count := 0
	for _, caller := range callers {
		if !caller.answeredAt.IsZero() && caller.answeredAt.Sub(caller.startedAt) <= within {
			count++
		}
	}
	return count
}

// Replays the return of everything: 120 callers that have waited for a second come at once,
// half a second's worth of the server, together with the usual load. The new requests must be
// answered in time and the late ones as soon as slots are left over.
func TestLateCallersWaitBehindNewOnes(t *testing.T) {
	s := newReturnScenario(t)
	for range 120 {
		s.arrive(&s.late)
	}
	s.run(settledAt.Add(3*time.Second), 80)
	s.run(settledAt.Add(5*time.Second), 0)
	require.GreaterOrEqual(t, countAnswered(s.fresh, returnObjective), len(s.fresh)*95/100)
	require.GreaterOrEqual(t, countAnswered(s.late, returnTimeout), len(s.late)*95/100)
	require.Empty(t, s.agent.waiting.openings)
	require.Zero(t, s.rejected)
}

// Replays twice the load that the server can serve, for seconds: what it serves must be in
// time, its slots must be busy, and callers that cannot be served must not wait for seconds.
func TestLastingOverloadIsRefusedWithoutIdleSlots(t *testing.T) {
	s := newReturnScenario(t)
	const seconds, perSecond = 5, 350
	s.run(settledAt.Add(seconds*time.Second), perSecond)
	capacity := seconds * returnSlots * int(time.Second/returnServiceTime)
	require.GreaterOrEqual(t, countAnswered(s.fresh, returnObjective), capacity*85/100)
	require.LessOrEqual(t, s.rejected, len(s.fresh)/50)
	require.LessOrEqual(t, len(s.agent.waiting.openings), returnSlots*int(maxUsefulWait/returnServiceTime)*5/4, "about as many as the server takes in maxUsefulWait")
	s.run(s.now.Add(openingTimeout), 0)
	require.Empty(t, s.agent.waiting.openings, "overload must not outlive its cause")
	require.False(t, s.agent.load.isFull())
}

// newWaitingOpenings returns a room with an opening packet of each priority, oldest first.
func newWaitingOpenings(priorities ...int) *openingQueue {
	queue := &openingQueue{}
	for i, priority := range priorities {
		queue.add(waitingOpening{flow: flowOf(uint16(i)), priority: priority}, maxWaiting)
	}
	return queue
}

func TestMostUrgentThenNewestOpeningGoesFirst(t *testing.T) {
	queue := newWaitingOpenings(2, 1, 2, 1, 3)
	var order []uint16
	for range 5 {
		opening := queue.take(queue.next())
		order = append(order, opening.flow.Caller().Port())
	}
	require.Equal(t, []uint16{3, 1, 2, 0, 4}, order)
	require.Equal(t, -1, queue.next())
}

func TestFullOpeningQueueEvictsTheOldestOfTheLeastUrgent(t *testing.T) {
	queue := newWaitingOpenings(2, 1, 2)
	queue.add(waitingOpening{flow: flowOf(9), priority: 1}, 3)
	require.Len(t, queue.evicted, 1)
	require.Equal(t, flowOf(0), queue.evicted[0].flow)
	require.True(t, queue.hasMoreUrgent(2))
	require.False(t, queue.hasMoreUrgent(1))
}

// Guards against a caller whose opening packets wait at two agents at once, and against one
// that waits longer than it would wait for an answer.
func TestOpeningWaitsUntilTheNextCopyOrTheTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		timeout time.Duration
		copies  uint32
		until   time.Duration
		reset   bool
	}{
		"first packet":     {timeout: returnTimeout, until: 190 * time.Millisecond},
		"first copy":       {timeout: returnTimeout, copies: 1, until: 390 * time.Millisecond},
		"last copy":        {timeout: returnTimeout, copies: 2, until: 790 * time.Millisecond, reset: true},
		"short timeout":    {timeout: 500 * time.Millisecond, copies: 1, until: 250 * time.Millisecond, reset: true},
		"no timeout known": {copies: 1, until: 390 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newReturnScenario(t)
			services, _, _ := s.agent.view.Documents()
			services.Services[0].Timeout = test.timeout
			state := fleet.NewState()
			_, backends, instances := s.agent.view.Documents()
			for _, document := range []fleet.Document{services, backends, instances} {
				_, err := state.Apply(epoch, document)
				require.NoError(t, err)
			}
			s.agent.ApplyView(state.View(epoch))
			for range 100 {
				s.arrive(&s.late)
			}
			s.agent.waiting = openingQueue{}
			require.IsType(t, &Wait{}, s.agent.Receive(s.now, receivedPacket(500, flow.Opening, test.copies)))
			require.Empty(t, s.agent.ReleaseWaiting(s.now.Add(test.until-time.Millisecond)))
			released := s.agent.ReleaseWaiting(s.now.Add(test.until))
			require.Empty(t, s.agent.waiting.openings)
			if !test.reset {
				require.Empty(t, released)
				return
			}
			require.Len(t, released, 1)
			require.Equal(t, &Reset{Reason: RefuseWait}, released[0].Action)
		})
	}
}

// Guards against requests that are cut off by a planned stop: what waits at an agent that
// leaves goes to another one.
func TestWaitingOpeningsAreHandedOverWhenTheAgentLeaves(t *testing.T) {
	c := newTestCluster(t, 2)
	c.setObjective(t, 0)
	a := c.agents[c.ids()[0]]
	a.config.Placement = HandOverWhenFull{}
	port := uint16(1024)
	for len(a.waiting.openings) == 0 {
		port++
		packet := receivedPacket(port, flow.Opening, 0)
		packet.Visited = []fleet.InstanceID{1, 2, 3}
		a.Receive(settledAt, packet)
	}
	require.Empty(t, a.ReleaseWaiting(settledAt))
	a.Drain()
	released := a.ReleaseWaiting(settledAt)
	require.Len(t, released, 1)
	require.IsType(t, &Forward{}, released[0].Action)
	require.Equal(t, c.ids()[1], released[0].Action.(*Forward).Target.ID())
}

// Guards against servers that seem full because callers have abandoned flows that they had
// opened at several servers.
func TestAbandonedFlowGivesItsSlotBack(t *testing.T) {
	c := newTestCluster(t, 1)
	a := c.agents[c.ids()[0]]
	c.open(t, c.ids()[0], 4000)
	c.routePacket(t, c.ids()[0], receivedPacket(4001, flow.Opening, 0))
	require.Equal(t, 2, a.load.Running())
	a.RetryOverdue(settledAt.Add(responseTimeout))
	require.Zero(t, a.load.Running())
	request := receivedPacket(4000, flow.Established, 77)
	request.Packet = request.Packet.WithPayloadSize(100)
	a.Receive(settledAt.Add(time.Second), request)
	require.Equal(t, 1, a.load.Running(), "a later request takes a slot again")
}

// Guards against a full server that gets all waiting flows as soon as one sibling has a free slot.
func TestSiblingWithOneFreeSlotGetsOneWaitingOpening(t *testing.T) {
	c := newTestCluster(t, 2)
	c.setObjective(t, 0)
	a, sibling := c.agents[c.ids()[0]], c.ids()[1]
	a.config.Placement = HandOverWhenFull{}
	port := uint16(1024)
	for len(a.waiting.openings) < 5 {
		port++
		packet := receivedPacket(port, flow.Opening, 0)
		packet.Placed, packet.Visited = true, []fleet.InstanceID{1, 2}
		a.Receive(settledAt, packet)
	}
	running := a.load.Running()
	a.HandleReport(settledAt, sibling, Report{Running: slots - 1, Limit: slots, MaxOwned: 9})
	released := a.ReleaseWaiting(settledAt)
	require.Len(t, released, 1)
	require.IsType(t, &Forward{}, released[0].Action)
	require.Equal(t, sibling, released[0].Action.(*Forward).Target.ID())
	require.Len(t, a.waiting.openings, 4)
	require.Equal(t, running, a.load.Running())
}
