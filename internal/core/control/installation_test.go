package control_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/core/fleet"
	link "github.com/radishmast/radishmast/internal/link/control"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	// latency is the time a message takes between two processes.
	latency = time.Millisecond
	// readLatency is the time a read of the platform takes.
	readLatency = 20 * time.Millisecond
	// maxLinks is the number of links that a process has at most.
	maxLinks = 64
	// agentsPerBalancer is the number of agents for each balancer of an installation.
	agentsPerBalancer = 3
	seedCount         = 3
)

// installation is a simulated fleet of control cores.
type installation struct {
	now       time.Time
	processes []*process
	endpoints map[netip.AddrPort]*process
	events    eventQueue
	order     int
	documents []fleet.Document
	// serves tells whether the platform answers a process.
	serves func(i int) bool
}

// process is one simulated process.
type process struct {
	controller *control.Controller
	index      int
	ends       map[control.LinkID]end
	nextLink   control.LinkID
	isReading  bool
	routesFrom time.Time
	// sent are the encoded bytes of messages sent on links, and digests the messages that
	// compare tables.
	sent, digests int
	refused       int
	mostLinks     int
}

// end is the far end of a link.
type end struct {
	process *process
	link    control.LinkID
}

// event is something that happens at an instant.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// newInstallation returns an installation whose processes all start now, and whose platform
// lists them and has answered none yet.
func newInstallation(size int, serves func(i int) bool) *installation {
	in := &installation{now: start, endpoints: make(map[netip.AddrPort]*process), serves: serves}
	seeds := make([]netip.AddrPort, seedCount)
	for i := range seeds {
		seeds[i] = endpointOf(i * (agentsPerBalancer + 1))
	}
	for i := range size {
		config := control.Config{
			Self: fleet.InstanceIDOf(nameOf(i)), Incarnation: 1, Role: roleOf(i), DataCentre: "north",
			Control: endpointOf(i), Seeds: seeds,
		}
		if config.Role == fleet.RoleAgent {
			config.Announcement = &fleet.Announcement{
				Name: nameOf(i), DataCentre: "north", Data: endpointOf(i).String(), Control: endpointOf(i).String(),
				Labels: map[string]string{"app": "orders"},
			}
		}
		p := &process{
			controller: control.New(start, config, rand.New(rand.NewPCG(7, uint64(i)))),
			index:      i,
			ends:       make(map[control.LinkID]end),
		}
		in.processes = append(in.processes, p)
		in.endpoints[endpointOf(i)] = p
		in.after(time.Duration(i)*control.TickInterval/time.Duration(size), func() { in.tick(p) })
	}
	in.list(1, size)
	return in
}

func nameOf(i int) string { return fmt.Sprintf("instance-%d", i) }

func roleOf(i int) fleet.Role {
	if i%(agentsPerBalancer+1) == 0 {
		return fleet.RoleBalancer
	}
	return fleet.RoleAgent
}

func endpointOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i%250 + 1)}), 7001)
}

// list publishes documents that name the agents among the first processes. The platform
// lists no balancers.
func (in *installation) list(revision uint64, size int) {
	backends, instances := &fleet.BackendsDocument{Revision: revision}, &fleet.InstancesDocument{Revision: revision, Leased: true}
	for i := range size {
		if roleOf(i) != fleet.RoleAgent {
			continue
		}
		instances.Instances = append(instances.Instances, fleet.Instance{
			Name: nameOf(i), Role: fleet.RoleAgent, DataCentre: "north", Data: endpointOf(i).String(), Control: endpointOf(i).String(), State: fleet.StateLive,
		})
		backends.Backends = append(backends.Backends, fleet.Backend{Name: nameOf(i), DataCentre: "north", Labels: map[string]string{"app": "orders"}})
	}
	services := &fleet.ServicesDocument{Revision: revision, Services: []fleet.Service{{
		Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp",
		Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {"app": {"orders"}}},
	}}}
	in.documents = []fleet.Document{services, backends, instances}
}

func (in *installation) after(delay time.Duration, run func()) {
	in.order++
	heap.Push(&in.events, event{at: in.now.Add(delay), order: in.order, run: run})
}

// run lets time pass.
func (in *installation) run(duration time.Duration) {
	until := in.now.Add(duration)
	for len(in.events) > 0 && !in.events[0].at.After(until) {
		next := heap.Pop(&in.events).(event)
		in.now = next.at
		next.run()
	}
	in.now = until
}

func (in *installation) tick(p *process) {
	in.carryOut(p, p.controller.Tick(in.now))
	if !p.isReading && p.controller.ShouldReadPlatform(in.now) {
		p.isReading = true
		in.after(readLatency, func() { in.answerRead(p) })
	}
	in.after(control.TickInterval, func() { in.tick(p) })
}

func (in *installation) answerRead(p *process) {
	p.isReading = false
	if !in.serves(p.index) {
		return
	}
	for _, document := range in.documents {
		in.carryOut(p, p.controller.ApplyDocument(in.now, document))
	}
}

func (in *installation) carryOut(p *process, outputs []control.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case control.Send:
			in.send(p, o)
		case control.OpenLink:
			in.after(latency, func() { in.connect(p, in.endpoints[o.Control]) })
		case control.CloseLink:
			in.disconnect(p, o.Link)
		case control.Probe:
			in.after(2*latency, func() {
				in.carryOut(p, p.controller.HandleProbeReply(in.now, o.Node.ID(), 1, fleet.DefaultWeight))
			})
		case control.PublishView:
			if p.routesFrom.IsZero() && o.View.CanRoute() {
				p.routesFrom = in.now
			}
		}
	}
}

func (in *installation) send(p *process, o control.Send) {
	far, open := p.ends[o.Link]
	if !open {
		return
	}
	encoded, err := link.Encode(o.Message)
	if err != nil {
		panic(err)
	}
	p.sent += len(encoded)
	if o.Message.Digests != nil {
		p.digests++
	}
	in.after(latency, func() {
		in.carryOut(far.process, far.process.controller.HandleMessage(in.now, far.link, o.Message))
	})
}

func (in *installation) connect(p, to *process) {
	if len(to.ends) >= maxLinks {
		to.refused++
		return
	}
	p.nextLink++
	to.nextLink++
	mine, theirs := p.nextLink, to.nextLink
	p.ends[mine] = end{to, theirs}
	to.ends[theirs] = end{p, mine}
	p.mostLinks = max(p.mostLinks, len(p.ends))
	to.mostLinks = max(to.mostLinks, len(to.ends))
	in.carryOut(to, to.controller.HandleLinkUp(in.now, theirs, false))
	in.carryOut(p, p.controller.HandleLinkUp(in.now, mine, true))
}

func (in *installation) disconnect(p *process, id control.LinkID) {
	far, open := p.ends[id]
	if !open {
		return
	}
	delete(p.ends, id)
	delete(far.process.ends, far.link)
	far.process.controller.HandleLinkDown(far.link)
}

func anyone(int) bool { return true }

// values returns a sorted value for each process.
func (in *installation) values(of func(*process) int) []int {
	values := make([]int, len(in.processes))
	for i, p := range in.processes {
		values[i] = of(p)
	}
	slices.Sort(values)
	return values
}

func (in *installation) sum(of func(*process) int) int {
	total := 0
	for _, value := range in.values(of) {
		total += value
	}
	return total
}

// A process may read a list that does not name it yet, or never does. The first must be in
// its own table again once it is listed, and the second in nobody's, or their tables would
// differ from all others for good.
func TestTablesAgreeAfterProcessesWereListedLate(t *testing.T) {
	const size = 24
	in := newInstallation(size, anyone)
	in.list(1, size/2)
	in.run(2 * time.Second)
	in.list(2, size)
	in.run(20 * time.Second)
	before := in.sum(func(p *process) int { return p.digests })
	in.run(10 * time.Second)
	require.Equal(t, before, in.sum(func(p *process) int { return p.digests }), "tables are compared by parts though nothing changes")
}

// The platform may serve only some machines after a start of everything. The others learn
// from those, though all of them dial the same seeds first.
func TestWholeFleetLearnsFromTheFewThatThePlatformServes(t *testing.T) {
	const within = 500 * time.Millisecond
	in := newInstallation(300, func(i int) bool { return i%20 == 7 })
	in.run(within)
	late := in.sum(func(p *process) int {
		if p.routesFrom.IsZero() {
			return 1
		}
		return 0
	})
	require.Zero(t, late, "processes that cannot route %s after the start", within)
}

// BenchmarkColdStart is the time until the last of a fleet can route after all have started
// at once, and what the control links carry then and at rest.
func BenchmarkColdStart(b *testing.B) {
	platforms := []struct {
		name   string
		serves func(i int) bool
	}{
		{"platform-serves-all", anyone},
		{"platform-serves-one-in-twenty", func(i int) bool { return i%20 == 7 }},
	}
	for _, platform := range platforms {
		for _, size := range []int{100, 300, 730} {
			b.Run(fmt.Sprintf("%s/%d", platform.name, size), func(b *testing.B) {
				for b.Loop() {
					reportColdStart(b, newInstallation(size, platform.serves))
				}
			})
		}
	}
}

func reportColdStart(b *testing.B, in *installation) {
	sent := func(p *process) int { return p.sent }
	in.run(5 * time.Second)
	routes := in.values(func(p *process) int { return int(p.routesFrom.Sub(start).Milliseconds()) })
	if routes[0] < 0 {
		b.Fatal("not all processes can route")
	}
	first := in.values(sent)
	b.ReportMetric(float64(routes[len(routes)/2]), "ms-to-route-middle")
	b.ReportMetric(float64(routes[len(routes)-1]), "ms-to-route-last")
	b.ReportMetric(float64(first[len(first)/2])/1e3, "kB-middle")
	b.ReportMetric(float64(first[len(first)-1])/1e3, "kB-busiest")
	b.ReportMetric(float64(in.sum(func(p *process) int { return p.refused })), "links-refused")
	links := in.values(func(p *process) int { return p.mostLinks })
	b.ReportMetric(float64(links[len(links)-1]), "links-most")
	in.run(20 * time.Second)
	settled := make(map[int]int)
	for i, p := range in.processes {
		settled[i] = p.sent
	}
	in.run(10 * time.Second)
	rest := in.values(func(p *process) int { return p.sent - settled[p.index] })
	b.ReportMetric(float64(rest[len(rest)/2])/1e4, "kB/s-middle")
	b.ReportMetric(float64(rest[len(rest)-1])/1e4, "kB/s-busiest")
}
