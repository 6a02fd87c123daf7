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

// overloadScenario is a load of new flows, one request each, on one server.
type overloadScenario struct {
	perSecond float64
	serviceTime      time.Duration
	slots     int
	queueLimit     int
	objective time.Duration
	// networkDelay is the time from the opening packet to the request.
	networkDelay time.Duration
	// startServiceTime is how long requests take that begin within startTime of the start, if
	// that is longer.
	startServiceTime time.Duration
}

// startPeriod is how long a server is slow after its start.
const startPeriod = 50 * time.Millisecond

// loadDuration is how long a load lasts.
const loadDuration = 8 * time.Second

// capacity is the number of requests that the server can answer in that time.
func (o *overloadScenario) capacity() int { return o.slots * int(loadDuration/o.serviceTime) }

// flowEvent is when something happens to a flow that was opened at an instant.
type flowEvent struct {
	at, opened time.Time
	port       uint16
}

// overloadRun is a load under way.
type overloadRun struct {
	*overloadScenario
	agent *Agent
	// free holds when each slot is free.
	free []time.Time
	// requests and answers are on their way, in order of time.
	requests, answers []flowEvent
	answeredInTime, answeredLate      int
}

// simulate offers the load and returns how many requests were answered in time and how many
// late.
func (o *overloadScenario) simulate(t *testing.T, controlled bool) (inTime, late int) {
	r := newTestCluster(t, 1)
	services, _, _ := r.state.Documents()
	next := &fleet.ServicesDocument{Revision: 2, Services: services.Services}
	if controlled {
		next.Services[0].LatencyObjective = o.objective
	}
	_, err := r.state.Apply(epoch, next)
	require.NoError(t, err)
	r.applyView()
	a := r.agents[r.ids()[0]]
	a.config.Placement, a.config.MaxFlows = HandOverWhenFull{}, 10000
	a.load.SetSlots(o.slots)
	p := &overloadRun{overloadScenario: o, agent: a, free: make([]time.Time, o.slots)}
	random := rand.New(rand.NewPCG(1, 2))
	port := uint16(1024)
	for now := settledAt; now.Before(settledAt.Add(loadDuration)); {
		now = now.Add(time.Duration(random.ExpFloat64() / o.perSecond * float64(time.Second)))
		p.advance(now)
		port++
		if _, delivered := a.Receive(now, receivedPacket(port, flow.Opening, 0)).(*Deliver); delivered {
			a.HandleBackendPacket(now, flow.Reply{Flow: flowOf(port), HandshakeToken: 1, IsHandshakeReply: true})
			p.requests = append(p.requests, flowEvent{now.Add(o.networkDelay), now, port})
		}
	}
	return p.answeredInTime, p.answeredLate
}

// advance lets happen what happens before an instant.
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

// request brings a request to the server, which queues it or sheds it.
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
	for i := range r.free {
		if r.free[i].Before(r.free[slot]) {
			slot = i
		}
	}
	begin := latest(e.at, r.free[slot])
	work := r.serviceTime
	if begin.Before(settledAt.Add(startPeriod)) {
		work = max(work, r.startServiceTime)
	}
	r.free[slot] = begin.Add(work)
	r.answers = append(r.answers, flowEvent{r.free[slot], e.opened, e.port})
	slices.SortStableFunc(r.answers, func(a, b flowEvent) int { return a.at.Compare(b.at) })
}

func (r *overloadRun) answer(e flowEvent) {
	r.agent.HandleBackendPacket(e.at, flow.Reply{Flow: flowOf(e.port), PayloadSize: 100})
	r.agent.HandleBackendPacket(e.at, flow.Reply{Flow: flowOf(e.port), IsFinal: true})
	if e.at.Sub(e.opened) <= r.objective {
		r.answeredInTime++
	} else {
		r.answeredLate++
	}
}

// Servers that come back cold are asked for more than they can do for seconds.
func TestOverloadAcceptsOnlyFlowsAnsweredInTime(t *testing.T) {
	load := &overloadScenario{perSecond: 60, slots: 2, serviceTime: 48 * time.Millisecond, queueLimit: 8, objective: 200 * time.Millisecond}
	inTime, late := load.simulate(t, true)
	inTimeBefore, lateBefore := load.simulate(t, false)
	require.Greater(t, float64(inTime), 0.9*float64(inTime+late))
	require.Greater(t, inTime, 2*inTimeBefore, "without: %d in time and %d late", inTimeBefore, lateBefore)
	require.Greater(t, inTime+late, (inTimeBefore+lateBefore)*9/10, "nothing is refused that could be served")
}

// The first requests after a restart take three times as long as the others, and all that
// follow queue.
func TestOverloadLeavesNoSlotIdleAfterASlowStart(t *testing.T) {
	load := &overloadScenario{perSecond: 160, slots: 2, serviceTime: 30 * time.Millisecond, queueLimit: 8, objective: 200 * time.Millisecond, networkDelay: 15 * time.Millisecond, startServiceTime: 91 * time.Millisecond}
	inTime, late := load.simulate(t, true)
	require.Greater(t, inTime, load.capacity()*9/10, "%d late", late)
}

// The way of a request takes a part of the objective, and some of what is admitted is still
// on it. Less than a request a slot at the server says nothing of its speed.
func TestOverloadLeavesNoSlotIdleWithALongNetworkDelay(t *testing.T) {
	load := &overloadScenario{perSecond: 200, slots: 5, serviceTime: 80 * time.Millisecond, queueLimit: 8, objective: 150 * time.Millisecond, networkDelay: 25 * time.Millisecond}
	inTime, late := load.simulate(t, true)
	require.Greater(t, inTime, load.capacity()*85/100, "%d late", late)
}

// Nothing is known of a server that has just started, and more comes than it can do.
func TestOverloadIsBoundedBeforeTheFirstAnswer(t *testing.T) {
	r := newTestCluster(t, 1)
	a := r.agents[r.ids()[0]]
	a.config.Placement = HandOverWhenFull{}
	services, _, _ := r.state.Documents()
	next := &fleet.ServicesDocument{Revision: 2, Services: services.Services}
	next.Services[0].LatencyObjective = 250 * time.Millisecond
	_, err := r.state.Apply(epoch, next)
	require.NoError(t, err)
	r.applyView()
	taken := 0
	for port := range uint16(100) {
		if _, delivered := a.Receive(settledAt, receivedPacket(1024+port, flow.Opening, 0)).(*Deliver); delivered {
			taken++
		}
	}
	require.LessOrEqual(t, taken, 10)
	require.GreaterOrEqual(t, taken, slots)
}

func TestWithoutOverloadNothingIsRefused(t *testing.T) {
	load := &overloadScenario{perSecond: 20, slots: 2, serviceTime: 48 * time.Millisecond, queueLimit: 8, objective: 250 * time.Millisecond}
	inTime, late := load.simulate(t, true)
	inTimeBefore, lateBefore := load.simulate(t, false)
	require.GreaterOrEqual(t, inTime+late, (inTimeBefore+lateBefore)*98/100)
}

// After a restart of everything the long flows open anew within a second.
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

// A server turns four times slower while all are busy.
func TestWeightFollowsAServerThatTurnsSlow(t *testing.T) {
	r := newTestCluster(t, 3)
	ids := r.ids()
	a := r.agents[ids[0]]
	a.config.Placement = HandOverWhenFull{}
	a.utilisation = 0.5
	learn := func(work time.Duration) fleet.Weight {
		for range 4 * minServiceTimeSamples {
			a.load.recordServiceTime(work)
		}
		for _, id := range ids[1:] {
			a.HandleReport(settledAt, id, Report{Limit: slots, MaxOwned: 9, Utilisation: 500, ServiceTime: 30000})
		}
		return a.UpdateWeight(settledAt)
	}
	even := learn(30 * time.Millisecond)
	require.InDelta(t, float64(fleet.DefaultWeight), float64(even), 10)
	slow := learn(120 * time.Millisecond)
	require.InDelta(t, float64(fleet.DefaultWeight)/2, float64(slow), 30, "the mean of 30, 30 and 120 against 120")
	require.Greater(t, learn(30*time.Millisecond), slow)
}
