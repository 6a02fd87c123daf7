package agent

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// poolSpeeds are the speeds of the servers of a pool, in turn.
var poolSpeeds = []float64{0.6, 1.0, 1.6}

// poolKind is a kind of requests that a pool serves.
type poolKind struct {
	name     string
	port     uint16
	min, max time.Duration
	// packets is the number of packets of a request.
	packets int
}

// twoKinds are reads and non-idempotent requests, and uploads are what another pool serves.
var (
	twoKinds = []poolKind{
		{"reads", 80, 13 * time.Millisecond, 15 * time.Millisecond, 1},
		{"writes", 81, 17 * time.Millisecond, 20 * time.Millisecond, 1},
	}
	uploads = []poolKind{{"uploads", 82, 4 * time.Millisecond, 4400 * time.Microsecond, 17}}
)

const (
	poolObjective = returnObjective
	// poolDelay is the one-way delay between callers and agents, and between agents.
	poolDelay = time.Millisecond
	// longShare is the share of requests that take longFactor times as long as others.
	longShare, longFactor = 0.03, 7
	// uploadPayload and uploadInterval are the payload of a full packet of an upload and the time
	// that it takes on the link of a caller.
	uploadPayload, uploadInterval = 1200, time.Millisecond
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
	kinds     []poolKind
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
func newPoolReplay(t require.TestingT, kinds []poolKind, servers int, policy Placement) *poolReplay {
	r := &poolReplay{
		testCluster: newTestCluster(t, servers), kinds: kinds, now: settledAt, servers: make(map[fleet.InstanceID]*poolServer),
		random: rand.New(rand.NewPCG(1, 2)), requests: make(map[flow.ID]*poolRequest), handovers: make(map[Reason]int),
		losesReport: func() bool { return false }, reportInterval: 500 * time.Millisecond,
	}
	services := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 2}}
	for _, kind := range kinds {
		services.Services = append(services.Services, fleet.Service{
			Name: kind.name, Address: fmt.Sprintf("10.9.0.1:%d", kind.port), Protocol: "tcp", LatencyObjective: poolObjective,
			Timeout: 10 * poolObjective, Upload: kind.packets > 1, Selectors: map[string]fleet.Selector{"north": {"app": {"orders"}}},
		})
	}
	_, err := r.state.Apply(epoch, services)
	require.NoError(t, err)
	r.applyView()
	for i, id := range r.ids() {
		a := r.agents[id]
		a.config.Placement, a.config.MaxFlows, a.config.MaxHandOvers = policy, 10000, 100000
		a.config.MaxPayload = uploadPayload
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
	return &ReceivedPacket{Packet: packet, Service: fleet.ServiceIDOf(r.kinds[request.kind].name), Revision: fleet.Revision{Number: 2}}
}

// arrive lets a caller send a request of a kind.
func (r *poolReplay) arrive(kind int) {
	r.arrived++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(r.arrived >> 16), byte(r.arrived >> 8)}), 1024+uint16(r.arrived%256))
	address := flow.NewAddress(flow.TCP, netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), r.kinds[kind].port))
	bounds := r.kinds[kind]
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
		r.after(2*poolDelay, func() { r.transfer(id, request, 1) })
	case *Forward:
		r.handovers[v.Reason]++
		packet.Visited, packet.Placed, packet.FromAgent = r.agents[id].visitedWithSelf(packet.Visited), v.Placed, true
		r.after(poolDelay, func() { r.receive(v.Target.ID(), request, packet) })
	}
}

// transfer delivers a packet of a request, and all that follow.
func (r *poolReplay) transfer(id fleet.InstanceID, request *poolRequest, number int) {
	packet, isLast := r.opening(request), number == r.kinds[request.kind].packets
	size := uploadPayload
	if isLast {
		size = 100
	}
	packet.Packet = flow.NewPacket(request.id, flow.Established, uint32(8+number*uploadPayload), 1, nil).WithPayloadSize(size)
	r.agents[id].Receive(r.now, packet)
	if isLast {
		r.serve(id, request)
		return
	}
	r.after(uploadInterval, func() { r.transfer(id, request, number+1) })
}

// serve lets the server of an agent run a request, and delivers its answer when it is ready.
func (r *poolReplay) serve(id fleet.InstanceID, request *poolRequest) {
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
	for kind := range r.kinds {
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

// steadyDemand returns a demand of both kinds together that does not change.
func steadyDemand(perSecond float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return perSecond / 2 }
}
