package agent

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

const (
	// burstStep is the resolution of the simulated time.
	burstStep = time.Millisecond
	// coldFactor is how much longer a server takes for coldDuration after its start.
	coldFactor   = 1.6
	coldDuration = 2 * time.Second
)

// kindOfRequest is a service of which all requests are alike.
type kindOfRequest struct {
	priority                        int
	objective, timeout, serviceTime time.Duration
}

func (k kindOfRequest) published(number int) fleet.Service {
	return fleet.Service{
		Name: fmt.Sprintf("kind%d", number), Address: kindAddress(number).String(), Protocol: "tcp",
		Selectors: map[string]fleet.Selector{"north": {"app": {"orders"}}},
		Priority:  k.priority, LatencyObjective: k.objective, Timeout: k.timeout,
	}
}

func kindAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), uint16(1000+number))
}

// burstCaller has one request. It sends copies of its opening packet until it gives up.
type burstCaller struct {
	kind                             int
	id                               flow.ID
	startedAt, nextCopyAt, timeoutAt time.Time
	// isLate reports whether the caller arrived with a late copy.
	isLate                bool
	copies                uint32
	answeredAt, doneAt    time.Time
	isAccepted, isRefused bool
}

// burstServer is an agent with its server, which queues requests in order.
type burstServer struct {
	agent *Agent
	speed float64
	queue []*burstCaller
}

// burst replays a load of new flows on some servers that have just started.
type burst struct {
	t       *testing.T
	kinds   []kindOfRequest
	order   []fleet.InstanceID
	servers map[fleet.InstanceID]*burstServer
	now     time.Time
	callers map[flow.ID]*burstCaller
	// all holds all callers, those that were answered included.
	all    []*burstCaller
	random *rand.Rand
}

func newBurst(t *testing.T, speeds []float64, kinds ...kindOfRequest) *burst {
	c := newTestCluster(t, len(speeds))
	services, _, _ := c.state.Documents()
	next := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 2}, Services: slices.Clone(services.Services)}
	for i, kind := range kinds {
		next.Services = append(next.Services, kind.published(i))
	}
	_, err := c.state.Apply(epoch, next)
	require.NoError(t, err)
	c.applyView()
	b := &burst{
		t: t, kinds: kinds, order: c.ids(), servers: make(map[fleet.InstanceID]*burstServer), now: settledAt,
		callers: make(map[flow.ID]*burstCaller), random: rand.New(rand.NewPCG(1, 2)),
	}
	for i, id := range b.order {
		a := c.agents[id]
		a.config.Placement, a.config.MaxFlows, a.config.MaxHandOvers = HandOverWhenFull{}, 10000, 10000
		b.servers[id] = &burstServer{agent: a, speed: speeds[i]}
	}
	return b
}

// arrive adds a caller of a kind that has sent a number of copies before.
func (b *burst) arrive(kind int, copies uint32) *burstCaller {
	caller := &burstCaller{kind: kind, isLate: copies > 0, copies: copies, nextCopyAt: b.now.Add(copyIntervals[min(int(copies), len(copyIntervals)-1)])}
	caller.id = b.flowOf(kind, len(b.all)+1)
	caller.startedAt = b.now
	for _, interval := range copyIntervals[:copies] {
		caller.startedAt = caller.startedAt.Add(-interval)
	}
	caller.timeoutAt = caller.startedAt.Add(b.kinds[kind].timeout)
	b.callers[caller.id] = caller
	b.all = append(b.all, caller)
	b.sendOpening(caller)
	return caller
}

// flowOf returns the flow of a caller's port to the service of a kind.
func (b *burst) flowOf(kind, port int) flow.ID {
	return flow.NewID(flow.NewAddress(flow.TCP, kindAddress(kind)), netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(port)))
}

// opening returns the next opening packet of a caller. It holds the caller's port.
func (b *burst) opening(caller *burstCaller) *ReceivedPacket {
	port := caller.id.Caller().Port()
	packet := flow.NewPacket(caller.id, flow.Opening, 7, caller.copies, []byte{byte(port >> 8), byte(port)})
	service := fleet.ServiceIDOf(b.kinds[caller.kind].published(caller.kind).Name)
	return &ReceivedPacket{Packet: packet, Service: service, Revision: fleet.Revision{Number: 2}}
}

// sendOpening sends an opening packet of the caller to any agent.
func (b *burst) sendOpening(caller *burstCaller) {
	b.receive(b.order[b.random.IntN(len(b.order))], b.opening(caller))
}

// receive passes an opening packet to an agent and carries out its decision.
func (b *burst) receive(at fleet.InstanceID, received *ReceivedPacket) {
	b.execute(at, received, b.servers[at].agent.Receive(b.now, received))
}

// execute carries out a decision about an opening packet. The caller of a delivered one sends
// its request at once.
func (b *burst) execute(at fleet.InstanceID, received *ReceivedPacket, action Action) {
	server, caller := b.servers[at], b.callers[received.Packet.Flow()]
	switch v := action.(type) {
	case *Deliver:
		if caller.isAccepted {
			return
		}
		caller.isAccepted = true
		server.agent.HandleBackendPacket(b.now, flow.Reply{Flow: caller.id, HandshakeToken: 1, IsHandshakeReply: true})
		request := *received
		request.Packet = flow.NewPacket(caller.id, flow.Established, 8, 1, []byte("request")).WithPayloadSize(100)
		server.agent.Receive(b.now, &request)
		server.queue = append(server.queue, caller)
	case *Forward:
		forwarded := *received
		forwarded.Visited = server.agent.visitedWithSelf(slices.Clone(received.Visited))
		forwarded.Placed, forwarded.FromAgent, forwarded.Waited = v.Placed, true, received.Waited || v.Waited
		require.NotContains(b.t, forwarded.Visited, v.Target.ID(), "an opening packet must not come back")
		b.receive(v.Target.ID(), &forwarded)
	case *Reset:
		caller.isRefused = true
	}
}

// step lets the servers work, callers send copies and agents release what waits.
func (b *burst) step() {
	b.now = b.now.Add(burstStep)
	for _, id := range b.order {
		b.serve(b.servers[id])
		b.release(id)
	}
	for _, caller := range b.all {
		if !caller.isAccepted && !caller.isRefused && !b.now.Before(caller.nextCopyAt) && b.now.Before(caller.timeoutAt) && int(caller.copies) < len(copyIntervals)-1 {
			caller.copies++
			caller.nextCopyAt = b.now.Add(copyIntervals[caller.copies])
			b.sendOpening(caller)
		}
	}
}

// release carries out what an agent decides about the opening packets that wait there.
func (b *burst) release(id fleet.InstanceID) {
	for _, r := range b.servers[id].agent.ReleaseWaiting(b.now) {
		port := uint16(r.Opening[0])<<8 | uint16(r.Opening[1])
		caller := b.all[port-1]
		packet := flow.NewPacket(caller.id, flow.Opening, 7, caller.copies, r.Opening)
		b.execute(id, &ReceivedPacket{Packet: packet, Service: r.Service, Revision: fleet.Revision{Number: 2}, Visited: r.Visited}, r.Action)
	}
}

// serve answers the requests whose time has come and starts others. Service times vary by half.
func (b *burst) serve(s *burstServer) {
	for i := 0; i < min(len(s.queue), slots); {
		caller := s.queue[i]
		if caller.doneAt.IsZero() {
			serviceTime := (0.5 + b.random.Float64()) * float64(b.kinds[caller.kind].serviceTime) / s.speed
			if b.now.Before(settledAt.Add(coldDuration)) {
				serviceTime *= coldFactor
			}
			caller.doneAt = b.now.Add(time.Duration(serviceTime))
		}
		if b.now.Before(caller.doneAt) {
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		caller.answeredAt = b.now
		s.agent.HandleBackendPacket(b.now, flow.Reply{Flow: caller.id, PayloadSize: 100})
		s.agent.HandleBackendPacket(b.now, flow.Reply{Flow: caller.id, IsFinal: true})
	}
}

// exchangeReports sends the urgent reports that are due.
func (b *burst) exchangeReports() {
	for _, id := range b.order {
		a := b.servers[id].agent
		recipients, _ := a.UrgentReport(b.now)
		for _, recipient := range recipients {
			b.servers[recipient.ID()].agent.HandleReport(b.now, id, a.Report(b.now))
			b.release(recipient.ID())
		}
	}
}

// run plays a load until an instant: arrive is called perSecond times a second on average, at
// random instants.
func (b *burst) run(until time.Time, perSecond float64, arrive func(number int)) {
	next, number := b.now, 0
	for b.now.Before(until) {
		for ; perSecond > 0 && !next.After(b.now); number++ {
			next = next.Add(time.Duration(b.random.ExpFloat64() / perSecond * float64(time.Second)))
			arrive(number)
		}
		b.step()
		b.exchangeReports()
		if b.now.Sub(settledAt)%(500*time.Millisecond) == 0 {
			b.sendPeriodicReports()
		}
	}
}

func (b *burst) sendPeriodicReports() {
	for _, id := range b.order {
		for _, recipient := range b.servers[id].agent.ReportRecipients() {
			b.servers[recipient.ID()].agent.HandleReport(b.now, id, b.servers[id].agent.Report(b.now))
		}
	}
}

var (
	burstRead  = kindOfRequest{priority: 0, objective: 200 * time.Millisecond, timeout: 2 * time.Second, serviceTime: 14 * time.Millisecond}
	burstWrite = kindOfRequest{priority: 1, objective: 300 * time.Millisecond, timeout: 4 * time.Second, serviceTime: 18 * time.Millisecond}
)

// capacity returns the number of requests that cold servers answer in a second.
func (b *burst) capacity() float64 {
	perSecond := 0.0
	for _, id := range b.order {
		perSecond += slots * b.servers[id].speed / coldFactor / (16 * time.Millisecond).Seconds()
	}
	return perSecond
}

// replayReturn plays the return of everything at some servers: for 0.6 s twice as many callers
// as the servers can take, half of them with late copies, then half of what they can take.
func replayReturn(t *testing.T, speeds ...float64) *burst {
	b := newBurst(t, speeds, burstRead, burstWrite)
	b.run(settledAt.Add(600*time.Millisecond), 2*b.capacity(), func(number int) {
		kind := number / 2 % 2
		b.arrive(kind, uint32(number%2*(kind+1)))
	})
	b.run(settledAt.Add(2*time.Second), b.capacity()/2, func(number int) { b.arrive(number%2, 0) })
	return b
}

// count returns how many of the callers of a kind that arrived in the first 0.6 s, with late
// copies or not, were answered within a time, and how many these are.
func (b *burst) count(kind int, isLate bool, within time.Duration) (answered, all int) {
	for _, caller := range b.all {
		if caller.kind != kind || caller.isLate != isLate || caller.startedAt.After(settledAt.Add(600*time.Millisecond)) {
			continue
		}
		all++
		if !caller.answeredAt.IsZero() && caller.answeredAt.Sub(caller.startedAt) <= within {
			answered++
		}
	}
	return answered, all
}

// Guards against new flows that wait until they are late while late copies take the slots: most
// of all, new flows of the less urgent kind behind late copies of the more urgent one.
func TestReturnIsAnsweredInTimeDespiteLateCopies(t *testing.T) {
	for name, speeds := range map[string][]float64{
		"one server":    {1},
		"three servers": {0.6, 1, 1.6},
		"nine servers":  {0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6},
	} {
		t.Run(name, func(t *testing.T) {
			b := replayReturn(t, speeds...)
			for kind, k := range b.kinds {
				inTime, fresh := b.count(kind, false, k.objective)
				served, late := b.count(kind, true, k.timeout)
				t.Logf("kind %d: %d of %d new flows in time, %d of %d late ones served", kind, inTime, fresh, served, late)
				require.GreaterOrEqual(t, inTime, fresh*90/100, "new flows of kind %d", kind)
			}
		})
	}
}
