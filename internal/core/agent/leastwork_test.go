package agent

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// poolSpeeds are the speeds of the servers of a pool, in turn.
var poolSpeeds = []float64{0.6, 1.0, 1.6}

// poolKinds are two kinds of requests that one pool serves.
var poolKinds = []struct {
	name     string
	port     uint16
	min, max time.Duration
}{
	{"reads", 80, 13 * time.Millisecond, 15 * time.Millisecond},
	{"writes", 81, 17 * time.Millisecond, 20 * time.Millisecond},
}

const (
	poolObjective = 200 * time.Millisecond
	// poolDelay is the one-way delay between callers and agents, and between agents.
	poolDelay = time.Millisecond
	// longShare is the share of requests that take longFactor times as long as others.
	longShare, longFactor = 0.03, 7
)

// poolEvent is an event of a poolReplay.
type poolEvent struct {
	at time.Time
	do func()
}

// poolEvents is a heap of events by time.
type poolEvents []poolEvent

func (e poolEvents) Len() int           { return len(e) }
func (e poolEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e poolEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *poolEvents) Push(x any)        { *e = append(*e, x.(poolEvent)) }
func (e *poolEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// poolRequest is a request of a caller.
type poolRequest struct {
	id        flow.ID
	kind      int
	startedAt time.Time
	size      float64
}

// poolServer is a backend server that runs requests in the order of their arrival.
type poolServer struct {
	speed  float64
	freeAt [slots]time.Time
	taken  int
}

// poolReplay replays arrivals of two kinds of requests at the agents of one pool.
type poolReplay struct {
	*testCluster
	now       time.Time
	events    poolEvents
	servers   map[fleet.InstanceID]*poolServer
	random    *rand.Rand
	requests  map[flow.ID]*poolRequest
	latencies []time.Duration
	arrived   int
	handovers map[Reason]int
	// losesReport reports whether a load report is lost.
	losesReport    func() bool
	reportInterval time.Duration
}

// newPoolReplay returns a pool of servers whose agents place flows by a policy.
func newPoolReplay(t require.TestingT, servers int, policy Placement) *poolReplay {
	r := &poolReplay{
		testCluster: newTestCluster(t, servers), now: settledAt, servers: make(map[fleet.InstanceID]*poolServer),
		random: rand.New(rand.NewPCG(1, 2)), requests: make(map[flow.ID]*poolRequest), handovers: make(map[Reason]int),
		losesReport: func() bool { return false }, reportInterval: 500 * time.Millisecond,
	}
	services := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 2}}
	for _, kind := range poolKinds {
		services.Services = append(services.Services, fleet.Service{
			Name: kind.name, Address: fmt.Sprintf("10.9.0.1:%d", kind.port), Protocol: "tcp", LatencyObjective: poolObjective,
			Timeout: 10 * poolObjective, Selectors: map[string]fleet.Selector{"north": {"app": {"orders"}}},
		})
	}
	_, err := r.state.Apply(epoch, services)
	require.NoError(t, err)
	r.applyView()
	for i, id := range r.ids() {
		a := r.agents[id]
		a.config.Placement, a.config.MaxFlows, a.config.MaxHandOvers = policy, 10000, 100000
		r.servers[id] = &poolServer{speed: poolSpeeds[i%len(poolSpeeds)]}
		r.after(time.Duration(r.random.Float64()*500)*time.Millisecond, func() { r.report(id) })
		r.after(50*time.Millisecond, func() { r.maintain(id) })
	}
	return r
}

// after schedules an event.
func (r *poolReplay) after(delay time.Duration, do func()) {
	heap.Push(&r.events, poolEvent{r.now.Add(delay), do})
}

// report sends the load report of an agent, and its weight, now and after each reportInterval.
func (r *poolReplay) report(id fleet.InstanceID) {
	a := r.agents[id]
	a.SweepCarried(r.now)
	report := a.Report(r.now)
	weight := a.OwnState(r.now).Weight
	r.state.Peers().Merge(r.now, fleet.PeerRecord{ID: id, Incarnation: 1, Sequence: uint64(r.now.UnixMilli()), Weight: weight})
	for _, target := range a.ReportRecipients() {
		if !r.losesReport() {
			r.agents[target.ID()].HandleReport(r.now, id, report)
		}
	}
	r.after(r.reportInterval, func() { r.report(id) })
}

// maintain does an agent's periodic work, now and every 50 ms.
func (r *poolReplay) maintain(id fleet.InstanceID) {
	r.agents[id].RetryOverdue(r.now)
	r.release(id)
	r.after(50*time.Millisecond, func() { r.maintain(id) })
}

// release carries out what becomes of the waiting opening packets of an agent.
func (r *poolReplay) release(id fleet.InstanceID) {
	for _, released := range r.agents[id].ReleaseWaiting(r.now) {
		request := r.requestOf(released.Opening)
		r.execute(id, request, r.opening(request), released.Action)
	}
}

// requestOf returns the request of an opening packet, whose bytes are its flow.
func (r *poolReplay) requestOf(bytes []byte) *poolRequest { return r.requests[flow.ID(bytes)] }

// opening returns the opening packet of a request.
func (r *poolReplay) opening(request *poolRequest) *ReceivedPacket {
	packet := flow.NewPacket(request.id, flow.Opening, 7, 0, request.id[:])
	return &ReceivedPacket{Packet: packet, Service: fleet.ServiceIDOf(poolKinds[request.kind].name), Revision: fleet.Revision{Number: 2}}
}

// arrive lets a caller send a request of a kind.
func (r *poolReplay) arrive(kind int) {
	r.arrived++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(r.arrived >> 16), byte(r.arrived >> 8)}), 1024+uint16(r.arrived%256))
	address := flow.NewAddress(flow.TCP, netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), poolKinds[kind].port))
	bounds := poolKinds[kind]
	request := &poolRequest{id: flow.NewID(address, caller), kind: kind, startedAt: r.now}
	request.size = float64(bounds.min) + r.random.Float64()*float64(bounds.max-bounds.min)
	if r.random.Float64() < longShare {
		request.size *= longFactor
	}
	r.requests[request.id] = request
	packet := r.opening(request)
	primary := r.agents[r.ids()[0]].view.Service(packet.Service).Primary(request.id.Hash())
	r.after(poolDelay, func() { r.receive(primary.ID(), request, packet) })
}

// receive delivers an opening packet to an agent.
func (r *poolReplay) receive(id fleet.InstanceID, request *poolRequest, packet *ReceivedPacket) {
	r.execute(id, request, packet, r.agents[id].Receive(r.now, packet))
}

// execute carries out an action of an agent for an opening packet.
func (r *poolReplay) execute(id fleet.InstanceID, request *poolRequest, packet *ReceivedPacket, action Action) {
	switch v := action.(type) {
	case *Deliver:
		r.agents[id].HandleBackendPacket(r.now, flow.Reply{Flow: request.id, HandshakeToken: 1, IsHandshakeReply: true})
		r.after(2*poolDelay, func() { r.serve(id, request) })
	case *Forward:
		r.handovers[v.Reason]++
		packet.Visited, packet.Placed, packet.FromAgent = r.agents[id].visitedWithSelf(packet.Visited), v.Placed, true
		r.after(poolDelay, func() { r.receive(v.Target.ID(), request, packet) })
	}
}

// serve delivers a request to the server of an agent, and its answer when it is ready.
func (r *poolReplay) serve(id fleet.InstanceID, request *poolRequest) {
	packet := r.opening(request)
	packet.Packet = flow.NewPacket(request.id, flow.Established, 8, 1, nil).WithPayloadSize(100)
	r.agents[id].Receive(r.now, packet)
	server := r.servers[id]
	slot := 0
	if server.freeAt[1].Before(server.freeAt[0]) {
		slot = 1
	}
	startsAt := latest(r.now, server.freeAt[slot])
	server.freeAt[slot] = startsAt.Add(time.Duration(request.size / server.speed))
	server.taken++
	r.after(server.freeAt[slot].Sub(r.now), func() { r.answer(id, request) })
}

// answer delivers the answer to a request.
func (r *poolReplay) answer(id fleet.InstanceID, request *poolRequest) {
	a := r.agents[id]
	a.HandleBackendPacket(r.now, flow.Reply{Flow: request.id, PayloadSize: 100})
	a.HandleBackendPacket(r.now, flow.Reply{Flow: request.id, IsFinal: true})
	r.latencies = append(r.latencies, r.now.Add(poolDelay).Sub(request.startedAt))
	r.release(id)
}

// run replays arrivals at a rate that may change, by kind, for a time.
func (r *poolReplay) run(duration time.Duration, perSecond func(kind int, elapsed time.Duration) float64) {
	start, end := r.now, r.now.Add(duration)
	for kind := range poolKinds {
		var next func()
		next = func() {
			r.arrive(kind)
			r.after(time.Duration(r.random.ExpFloat64()/perSecond(kind, r.now.Sub(start))*float64(time.Second)), next)
		}
		r.after(0, next)
	}
	views := r.now
	for r.now.Before(end) {
		event := heap.Pop(&r.events).(poolEvent)
		r.now = event.at
		if r.now.Sub(views) >= time.Second {
			views = r.now
			r.applyViewAt(epoch)
		}
		event.do()
	}
}

// poolResult is how the requests of a replay were answered.
type poolResult struct {
	mean, p99 time.Duration
	inTime    float64
}

// result returns how the requests were answered. Requests of the last objective do not count.
func (r *poolReplay) result() poolResult {
	slices.Sort(r.latencies)
	var sum time.Duration
	inTime := 0
	for _, latency := range r.latencies {
		sum += latency
		if latency <= poolObjective {
			inTime++
		}
	}
	count := len(r.latencies)
	return poolResult{sum / time.Duration(count), r.latencies[count*99/100], float64(inTime) / float64(r.arrived)}
}

// variedDemand returns a demand of both kinds together that varies by 55 % with a period of 12 s,
// with a burst of 2.4 times the writes in each fourth second.
func variedDemand(perSecond float64) func(int, time.Duration) float64 {
	return func(kind int, elapsed time.Duration) float64 {
		rate := perSecond / 2 * (1 + 0.55*math.Sin(2*math.Pi*elapsed.Seconds()/12))
		if kind == 1 && int(elapsed.Seconds())%4 == 3 {
			rate *= 2.4
		}
		return rate
	}
}

// Replays the arrivals of two kinds of requests on one pool of servers of different speeds, of which
// 3 in 100 take seven times as long. Guards against requests that are queued behind long ones, or at
// slow servers, while others would answer them sooner.
func TestLeastWorkAnswersSoonerThanTheOtherPolicies(t *testing.T) {
	for _, servers := range []int{45, 30, 24} {
		results := make(map[Placement]poolResult)
		for _, policy := range []Placement{HandOverWhenFull{}, TwoChoices{}, LeastWork{}} {
			r := newPoolReplay(t, servers, policy)
			r.run(12*time.Second, variedDemand(1500))
			results[policy] = r.result()
			t.Logf("%d servers, %T: %+v, hand-overs %v of %d", servers, policy, r.result(), r.handovers, r.arrived)
		}
		for _, policy := range []Placement{HandOverWhenFull{}, TwoChoices{}} {
			require.Less(t, results[LeastWork{}].mean, results[policy].mean, "%d servers, %T", servers, policy)
			require.Less(t, results[LeastWork{}].p99, results[policy].p99, "%d servers, %T", servers, policy)
			require.Greater(t, results[LeastWork{}].inTime, results[policy].inTime, "%d servers, %T", servers, policy)
		}
	}
}

// steadyDemand returns a demand of both kinds together that does not change.
func steadyDemand(perSecond float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return perSecond / 2 }
}

// Guards against herding: 64 agents whose load reports are up to 1 s old must not all choose the
// servers that were idle then.
func TestOldReportsDoNotAttractAHerd(t *testing.T) {
	const servers, perSecond = 64, 2400
	r := newPoolReplay(t, servers, LeastWork{})
	r.reportInterval = time.Second
	for _, server := range r.servers {
		server.speed = 1
	}
	most := 0
	var count func()
	count = func() {
		for _, server := range r.servers {
			most = max(most, server.taken)
			server.taken = 0
		}
		r.after(time.Second, count)
	}
	r.after(time.Second, count)
	r.run(8*time.Second, steadyDemand(perSecond))
	require.Positive(t, r.handovers[HandOverWork])
	require.LessOrEqual(t, most, 2*perSecond/servers)
}

// Guards against decisions that depend on each report: one in three is lost here.
func TestLostReportsDoNotDelayAnswers(t *testing.T) {
	results := make(map[bool]poolResult)
	for _, loses := range []bool{false, true} {
		r := newPoolReplay(t, 30, LeastWork{})
		r.losesReport = func() bool { return loses && r.random.IntN(3) == 0 }
		r.run(6*time.Second, steadyDemand(1200))
		results[loses] = r.result()
	}
	require.Less(t, results[true].p99, results[false].p99*5/4)
	require.Greater(t, results[true].inTime, results[false].inTime-0.01)
}

// Guards against requests that are queued at a server which turns slow: its own agent must notice by
// the requests that run longer than usual, before its weight does.
func TestServerThatTurnsSlowGetsFewerFlows(t *testing.T) {
	results := make(map[Placement]poolResult)
	for _, policy := range []Placement{HandOverWhenFull{}, LeastWork{}} {
		r := newPoolReplay(t, 9, policy)
		r.after(3*time.Second, func() { r.servers[r.ids()[1]].speed /= 5 })
		r.run(6*time.Second, steadyDemand(300))
		results[policy] = r.result()
		t.Logf("%T: %+v", policy, results[policy])
	}
	require.Less(t, results[LeastWork{}].p99, results[HandOverWhenFull{}].p99)
	require.Greater(t, results[LeastWork{}].inTime, results[HandOverWhenFull{}].inTime)
}

// newWorkAgent returns an agent that places flows by expected work, with the IDs of its siblings.
// Its backend server takes 20 ms for a request of orders, and has all slots taken if busy.
func newWorkAgent(t require.TestingT, targets int, busy bool) (*Agent, []fleet.InstanceID) {
	c := &testCluster{state: newState(t, targets), agents: make(map[fleet.InstanceID]*Agent)}
	c.setObjective(t, poolObjective, 0)
	c.restart(fleet.InstanceIDOf("b0"))
	a := c.agents[fleet.InstanceIDOf("b0")]
	a.config.Placement, a.config.MaxFlows, a.config.MaxHandOvers = LeastWork{}, 100000, 100
	for range minServiceTimeSamples {
		a.estimateOf(settledAt, orders).Record(20 * time.Millisecond)
	}
	for port := range uint16(slots) {
		if busy {
			a.acceptFlow(settledAt, a.view.Service(orders), receivedPacket(9000+port, flow.Opening, 0))
		}
	}
	var siblings []fleet.InstanceID
	for i := 1; i < targets; i++ {
		siblings = append(siblings, fleet.InstanceIDOf(fmt.Sprintf("b%d", i)))
	}
	return a, siblings
}

// idleReport is the report of an idle server that takes 20 ms for a request.
func idleReport() Report {
	return Report{Limit: slots, MaxOwned: 100000, ServiceTime: 20000, Services: []ServiceReport{{Service: orders, Time: 20000}}}
}

// Guards against flows for servers that must not get any, and against flows that are kept back
// although another server would answer sooner.
func TestFlowGoesOnlyToServersThatMayGetIt(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Report)
		at     time.Time
		busy   bool
		want   bool
	}{
		"idle":                {change: func(*Report) {}, busy: true, want: true},
		"idle as this one":    {change: func(*Report) {}},
		"faster":              {change: func(r *Report) { r.Services[0].Time = 12000 }, want: true},
		"slower":              {change: func(r *Report) { r.Services[0].Time = 60000 }, busy: true},
		"busier":              {change: func(r *Report) { r.Work = 200000 }, busy: true},
		"draining":            {change: func(r *Report) { r.Limit = 0 }, busy: true},
		"ejected":             {change: func(r *Report) { r.Ejected = true }, busy: true},
		"table full":          {change: func(r *Report) { r.Owned = r.MaxOwned }, busy: true},
		"other kind is fast":  {change: func(r *Report) { r.ServiceTime = 1000 }},
		"kind is not known":   {change: func(r *Report) { r.Services, r.ServiceTime = nil, 0 }, busy: true, want: true},
		"unknown, both idle":  {change: func(r *Report) { r.Services, r.ServiceTime = nil, 0 }},
		"report is too old":   {change: func(r *Report) { r.Services[0].Time = 1 }, at: settledAt.Add(-reportLifetime - 1)},
		"report is old":       {change: func(r *Report) { r.Services[0].Time = 1000 }, at: settledAt.Add(-reportLifetime), want: true},
		"busy, but not known": {change: func(r *Report) { r.Services, r.Work = nil, 200000 }, busy: true},
	} {
		t.Run(name, func(t *testing.T) {
			a, siblings := newWorkAgent(t, 3, test.busy)
			report, full := idleReport(), idleReport()
			full.Running, full.Work = 3*slots, 400000
			a.HandleReport(settledAt, siblings[1], full)
			test.change(&report)
			at := settledAt
			if !test.at.IsZero() {
				at = test.at
			}
			a.HandleReport(at, siblings[0], report)
			decision := a.place(settledAt, a.view.Service(orders), receivedPacket(4000, flow.Opening, 0))
			if test.want {
				require.Equal(t, handOver{a.view.Service(orders).Target(siblings[0]), HandOverWork}, decision)
				return
			}
			require.IsType(t, acceptance{}, decision)
		})
	}
}

// Without any valid report the decision must be that of HandOverWhenFull, also about flows that
// waited.
func TestWithoutReportsFlowsArePlacedAsWhenFull(t *testing.T) {
	for _, busy := range []bool{false, true} {
		for _, expired := range []bool{false, true} {
			a, siblings := newWorkAgent(t, 8, busy)
			if expired {
				for _, id := range siblings {
					a.HandleReport(settledAt.Add(-reportLifetime-1), id, idleReport())
				}
			}
			service, packet := a.view.Service(orders), receivedPacket(4000, flow.Opening, 0)
			byWork, released := a.place(settledAt, service, packet), a.placeReleased(settledAt, service, packet)
			a.config.Placement = HandOverWhenFull{}
			require.Equal(t, a.place(settledAt, service, packet), byWork)
			require.Equal(t, a.placeReleased(settledAt, service, packet), released)
		}
	}
}

// An opening packet that has waited goes to the server that is expected to answer first of those with
// a free slot, not to the least loaded one.
func TestReleasedFlowGoesWhereItIsAnsweredFirst(t *testing.T) {
	a, siblings := newWorkAgent(t, 3, true)
	slow, fast := idleReport(), idleReport()
	slow.Services[0].Time, fast.Services[0].Time, fast.Running = 60000, 12000, 1
	a.HandleReport(settledAt, siblings[0], slow)
	a.HandleReport(settledAt, siblings[1], fast)
	decision := a.placeReleased(settledAt, a.view.Service(orders), receivedPacket(4000, flow.Opening, 0))
	require.Equal(t, handOver{a.view.Service(orders).Target(siblings[1]), HandOverFull}, decision)
}

// Guards against a burst of flows for one sibling between two of its reports.
func TestHandOversAreCountedUntilTheNextReport(t *testing.T) {
	a, siblings := newWorkAgent(t, 2, true)
	a.HandleReport(settledAt, siblings[0], idleReport())
	handOvers := 0
	for port := range uint16(6) {
		if _, handed := a.Receive(settledAt, receivedPacket(4000+port, flow.Opening, 0)).(*Forward); handed {
			handOvers++
		}
	}
	require.InDelta(t, (6+slots)/2, handOvers, 1, "each server gets four, with those that this one had")
	a.HandleReport(settledAt, siblings[0], idleReport())
	require.IsType(t, &Forward{}, a.Receive(settledAt, receivedPacket(5000, flow.Opening, 0)))
}

// Guards against flows that leave their data centre while a server there is about as good.
func TestFlowsLeaveTheirDataCentreByWorkOnlyWhenItIsBusy(t *testing.T) {
	for name, test := range map[string]struct {
		nearWork uint32
		busy     bool
		want     string
	}{
		"room near":         {0, true, "north"},
		"room here":         {400000, false, ""},
		"no room near":      {400000, true, "south"},
		"little wait here":  {400000, false, ""},
		"short queues near": {20000, true, "north"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newNearCluster(t, 16)
			a := c.agents[c.ids()[0]]
			a.config.Placement, a.config.MaxFlows = LeastWork{}, 100000
			estimate := a.estimateOf(settledAt, orders)
			for range minServiceTimeSamples {
				estimate.Record(40 * time.Millisecond)
			}
			for port := uint16(0); test.busy && port < slots; port++ {
				a.acceptFlow(settledAt, a.view.Service(orders), openingFrom(northBalancer, 9000+port))
			}
			for port := range uint16(20) {
				c.report(a, func(at string) Report {
					report := idleReport()
					report.Services[0].Time = 40000
					if at == "north" {
						report.Work = test.nearWork
					}
					return report
				})
				decision := a.place(settledAt, a.view.Service(orders), openingFrom(northBalancer, 4000+port))
				if test.want == "" {
					require.IsType(t, acceptance{}, decision)
					continue
				}
				require.IsType(t, handOver{}, decision)
				require.Equal(t, test.want, decision.(handOver).target.DataCentre())
			}
		})
	}
}

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
	c.setObjective(t, poolObjective, 0)
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

// Guards against work that stays after its request ended, and against times that include the queue.
func TestWorkFollowsCarriedRequests(t *testing.T) {
	a, _ := newWorkAgent(t, 1, false)
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
	for i, after := range []time.Duration{20, 20, 40} {
		at := settledAt.Add(after * time.Millisecond)
		a.HandleBackendPacket(at, flow.Reply{Flow: flowOf(4000 + uint16(i)), PayloadSize: 100})
	}
	require.Equal(t, 20*time.Millisecond, a.estimateOf(settledAt, orders).Mean(), "of the queued request too")
	require.Zero(t, a.WorkLeft(settledAt))
	send(settledAt, 5000)
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(5000), IsFinal: true, IsReset: true})
	a.Receive(settledAt, receivedPacket(5001, flow.Opening, 0))
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(5001), HandshakeToken: 1, IsHandshakeReply: true})
	require.Equal(t, 20*time.Millisecond, a.WorkLeft(settledAt), "a new flow without a request yet")
	a.RetryOverdue(settledAt.Add(responseTimeout))
	require.Zero(t, a.WorkLeft(settledAt))
}

// BenchmarkPlaceByWork measures one decision among servers that all have reported.
func BenchmarkPlaceByWork(b *testing.B) {
	for _, servers := range []int{64, 730, 6500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			a, siblings := newWorkAgent(b, servers, true)
			for _, id := range siblings {
				a.HandleReport(settledAt, id, idleReport())
			}
			service, packet := a.view.Service(orders), receivedPacket(4000, flow.Opening, 0)
			b.ReportAllocs()
			for b.Loop() {
				a.placeByWork(settledAt, service, packet)
			}
		})
	}
}
