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

// overloadScenario is a load of new flows, one request each, on one server that queues
// requests.
type overloadScenario struct {
	// perSecond is the mean number of new flows a second. They arrive at random.
	perSecond   float64
	serviceTime time.Duration
	slots       int
	queueLimit  int
	objective   time.Duration
	// networkDelay is the time from the opening packet to the request at the server.
	networkDelay time.Duration
	// startServiceTime is the service time of requests that begin within startPeriod of the
	// start, if it is longer than serviceTime.
	startServiceTime time.Duration
}

// startPeriod is how long a server is slow after its start.
const startPeriod = 50 * time.Millisecond

// loadDuration is how long new flows arrive.
const loadDuration = 8 * time.Second

// capacity returns the number of requests that the server can answer in loadDuration.
func (o *overloadScenario) capacity() int { return o.slots * int(loadDuration/o.serviceTime) }

// flowEvent is the arrival of a request or an answer, at an instant, on a flow that was
// opened at another.
type flowEvent struct {
	at, opened time.Time
	port       uint16
}

// overloadRun is the state of a simulated scenario.
type overloadRun struct {
	*overloadScenario
	agent *Agent
	// freeAt holds when each slot of the server becomes free.
	freeAt []time.Time
	// requests and answers hold those that are still to come, in order of time.
	requests, answers            []flowEvent
	answeredInTime, answeredLate int
}

// simulate plays the scenario and returns how many requests were answered within the
// objective and how many later. If controlled, the service states its objective, so that
// the agent refuses flows that it expects to be late.
func (o *overloadScenario) simulate(t *testing.T, controlled bool) (inTime, late int) {
	cluster := newTestCluster(t, 1)
	services, _, _ := cluster.state.Documents()
	next := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 2}, Services: services.Services}
	if controlled {
		next.Services[0].LatencyObjective = o.objective
	}
	_, err := cluster.state.Apply(epoch, next)
	require.NoError(t, err)
	cluster.applyView()
	a := cluster.agents[cluster.ids()[0]]
	a.config.Placement, a.config.MaxFlows = HandOverWhenFull{}, 10000
	a.load.SetSlots(o.slots)
	run := &overloadRun{overloadScenario: o, agent: a, freeAt: make([]time.Time, o.slots)}
	random := rand.New(rand.NewPCG(1, 2))
	port := uint16(1024)
	for now := settledAt; now.Before(settledAt.Add(loadDuration)); {
		now = now.Add(time.Duration(random.ExpFloat64() / o.perSecond * float64(time.Second)))
		run.advance(now)
		port++
		if _, delivered := a.Receive(now, receivedPacket(port, flow.Opening, 0)).(*Deliver); delivered {
			a.HandleBackendPacket(now, flow.Reply{Flow: flowOf(port), HandshakeToken: 1, IsHandshakeReply: true})
			run.requests = append(run.requests, flowEvent{now.Add(o.networkDelay), now, port})
		}
	}
	return run.answeredInTime, run.answeredLate
}

// advance plays the requests and answers up to an instant, in order of time. At the same
// instant, answers come before requests.
func (r *overloadRun) advance(now time.Time) {
	for {
		switch {
		case len(r.answers) > 0 && !r.answers[0].at.After(now) && (len(r.requests) == 0 || !r.requests[0].at.Before(r.answers[0].at)):
			r.answer(r.answers[0])
			r.answers = r.answers[1:]
		case len(r.requests) > 0 && !r.requests[0].at.After(now):
			r.request(r.requests[0])
			r.requests = r.requests[1:]
		default:
			return
		}
	}
}

// request delivers a request to the server, which queues it, or rejects it with a short
// answer if its queue is full.
func (r *overloadRun) request(e flowEvent) {
	packet := receivedPacket(e.port, flow.Established, 1)
	packet.Packet = packet.Packet.WithPayloadSize(200)
	r.agent.Receive(e.at, packet)
	if len(r.answers) >= r.slots+r.queueLimit {
		r.agent.HandleBackendPacket(e.at, flow.Reply{Flow: flowOf(e.port), PayloadSize: 10})
		r.agent.HandleBackendPacket(e.at, flow.Reply{Flow: flowOf(e.port), IsFinal: true})
		return
	}
	slot := 0
	for i := range r.freeAt {
		if r.freeAt[i].Before(r.freeAt[slot]) {
			slot = i
		}
	}
	begunAt := latest(e.at, r.freeAt[slot])
	serviceTime := r.serviceTime
	if begunAt.Before(settledAt.Add(startPeriod)) {
		serviceTime = max(serviceTime, r.startServiceTime)
	}
	r.freeAt[slot] = begunAt.Add(serviceTime)
	r.answers = append(r.answers, flowEvent{r.freeAt[slot], e.opened, e.port})
	slices.SortStableFunc(r.answers, func(a, b flowEvent) int { return a.at.Compare(b.at) })
}

// answer delivers an answer to the agent and counts it as in time or late.
func (r *overloadRun) answer(e flowEvent) {
	r.agent.HandleBackendPacket(e.at, flow.Reply{Flow: flowOf(e.port), PayloadSize: 100})
	r.agent.HandleBackendPacket(e.at, flow.Reply{Flow: flowOf(e.port), IsFinal: true})
	if e.at.Sub(e.opened) <= r.objective {
		r.answeredInTime++
	} else {
		r.answeredLate++
	}
}

// Guards against answers that are all late because of a long queue. It builds up when more
// requests than the slots can serve arrive for seconds, as at servers that come back cold.
func TestOverloadAcceptsOnlyFlowsAnsweredInTime(t *testing.T) {
	load := &overloadScenario{perSecond: 60, slots: 2, serviceTime: 48 * time.Millisecond, queueLimit: 8, objective: 200 * time.Millisecond}
	inTime, late := load.simulate(t, true)
	inTimeUncontrolled, lateUncontrolled := load.simulate(t, false)
	require.Greater(t, float64(inTime), 0.9*float64(inTime+late))
	require.Greater(t, inTime, 2*inTimeUncontrolled, "without an objective: %d in time and %d late", inTimeUncontrolled, lateUncontrolled)
	require.Greater(t, inTime+late, (inTimeUncontrolled+lateUncontrolled)*9/10, "flows that could be served are not refused")
}

// Guards against idle slots because the service time stays at that of the first requests: after
// a restart they take three times as long as the others, and all requests that follow queue.
func TestOverloadLeavesNoSlotIdleAfterSlowFirstRequests(t *testing.T) {
	load := &overloadScenario{perSecond: 160, slots: 2, serviceTime: 30 * time.Millisecond, queueLimit: 8, objective: 200 * time.Millisecond, networkDelay: 15 * time.Millisecond, startServiceTime: 91 * time.Millisecond}
	inTime, late := load.simulate(t, true)
	require.Greater(t, inTime, load.capacity()*9/10, "%d late", late)
}

// Guards against idle slots because of a service time that is recorded while the server is
// not saturated. The network delay takes a part of the objective, and some of the flows
// accepted still wait for their request: while fewer requests than slots are at the server,
// the time between its answers says nothing about its speed.
func TestOverloadLeavesNoSlotIdleWithALongNetworkDelay(t *testing.T) {
	load := &overloadScenario{perSecond: 200, slots: 5, serviceTime: 80 * time.Millisecond, queueLimit: 8, objective: 150 * time.Millisecond, networkDelay: 25 * time.Millisecond}
	inTime, late := load.simulate(t, true)
	require.Greater(t, inTime, load.capacity()*85/100, "%d late", late)
}

// Guards against unlimited flows to a server that has just started: no service time is known
// yet, and more flows arrive than it can serve.
func TestOverloadIsBoundedBeforeTheFirstAnswer(t *testing.T) {
	r := newTestCluster(t, 1)
	a := r.agents[r.ids()[0]]
	a.config.Placement = HandOverWhenFull{}
	services, _, _ := r.state.Documents()
	next := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 2}, Services: services.Services}
	next.Services[0].LatencyObjective = 250 * time.Millisecond
	_, err := r.state.Apply(epoch, next)
	require.NoError(t, err)
	r.applyView()
	accepted := 0
	for port := range uint16(100) {
		if _, delivered := a.Receive(settledAt, receivedPacket(1024+port, flow.Opening, 0)).(*Deliver); delivered {
			accepted++
		}
	}
	require.LessOrEqual(t, accepted, 10)
	require.GreaterOrEqual(t, accepted, slots)
}

// Guards against refusals of flows that the server can serve in time.
func TestWithoutOverloadNothingIsRefused(t *testing.T) {
	load := &overloadScenario{perSecond: 20, slots: 2, serviceTime: 48 * time.Millisecond, queueLimit: 8, objective: 250 * time.Millisecond}
	inTime, late := load.simulate(t, true)
	inTimeUncontrolled, lateUncontrolled := load.simulate(t, false)
	require.GreaterOrEqual(t, inTime+late, (inTimeUncontrolled+lateUncontrolled)*98/100)
}

// Guards against long flows on slow servers: after a restart of everything they open anew
// within a second, before utilisation shows the speed of the servers, and stay where they are.
func TestWeightStartsAtTheRelativeSpeedOfTheServer(t *testing.T) {
	r := newTestCluster(t, 3)
	ids := r.ids()
	slow := r.agents[ids[0]]
	slow.config.Placement = HandOverWhenFull{}
	require.Equal(t, fleet.DefaultWeight, slow.UpdateWeight(settledAt))
	for range minServiceTimeSamples {
		slow.load.recordServiceTime(60 * time.Millisecond)
	}
	for _, id := range ids[1:] {
		slow.HandleReport(settledAt, id, Report{Limit: slots, MaxOwned: 9, Utilisation: 500, ServiceTime: 30000})
	}
	slow.utilisation = 0.5
	require.InDelta(t, float64(fleet.DefaultWeight)*40/60, float64(slow.UpdateWeight(settledAt)), 1)
}

// Guards against a weight that stays unchanged when a server becomes slow: here its service
// time grows to four times, while all servers are busy.
func TestWeightFollowsAServerThatBecomesSlow(t *testing.T) {
	r := newTestCluster(t, 3)
	ids := r.ids()
	a := r.agents[ids[0]]
	a.config.Placement = HandOverWhenFull{}
	a.utilisation = 0.5
	update := func(serviceTime time.Duration) fleet.Weight {
		for range 4 * minServiceTimeSamples {
			a.load.recordServiceTime(serviceTime)
		}
		for _, id := range ids[1:] {
			a.HandleReport(settledAt, id, Report{Limit: slots, MaxOwned: 9, Utilisation: 500, ServiceTime: 30000})
		}
		return a.UpdateWeight(settledAt)
	}
	even := update(30 * time.Millisecond)
	require.InDelta(t, float64(fleet.DefaultWeight), float64(even), 10)
	slow := update(120 * time.Millisecond)
	require.InDelta(t, float64(fleet.DefaultWeight)/2, float64(slow), 30, "the mean of 30, 30 and 120 ms divided by 120 ms")
	require.Greater(t, update(30*time.Millisecond), slow)
}
