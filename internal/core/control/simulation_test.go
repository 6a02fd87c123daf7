package control_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/core/fleet"
	link "github.com/radishmast/radishmast/internal/link/control"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	// latency is the delay of a message between two processes.
	latency = time.Millisecond
	// readLatency is the duration of a read of the platform.
	readLatency = 20 * time.Millisecond
	// readBackoff is the pause of a process after a failed read.
	readBackoff = 250 * time.Millisecond
	// maxLinks is the number of links from which a process rejects incoming links.
	maxLinks = 64
	// agentsPerBalancer is the number of agents for each balancer.
	agentsPerBalancer = 3
	seedCount         = 3
	// dataCentreCount is the number of data centres that the processes are in, by turns.
	dataCentreCount = 5
)

// simulation runs the controllers of a whole fleet, their links and the platform in simulated
// time.
type simulation struct {
	now       time.Time
	processes []*process
	endpoints map[netip.AddrPort]*process
	events    eventQueue
	// sequence is the sequence number of the event scheduled last.
	sequence int
	// documents are those that the platform currently publishes.
	documents []fleet.Document
	// platformServes reports whether the platform answers reads of process i.
	platformServes func(i int) bool
	// reads counts the reads of the platform, and refutations the suspicions that their
	// targets have refuted.
	reads, refutations int
	// isCut reports whether two processes cannot reach each other. It is nil if all can.
	isCut func(a, b *process) bool
}

// process is one simulated process.
type process struct {
	controller *control.Controller
	index      int
	linkEnds   map[control.LinkID]linkEnd
	nextLink   control.LinkID
	isReading  bool
	// reads counts the reads of the platform since the process started, and incarnation how
	// often it was restarted.
	reads       int
	incarnation uint64
	// routesSince is the time at which the process first published a view that can route. It
	// is zero before.
	routesSince time.Time
	// sentBytes is the encoded size of all messages sent on links, crossedBytes that of those
	// to other data centres, and digestMessages the number of those that hold digests of the
	// peer table.
	sentBytes, crossedBytes, digestMessages int
	// servicesRevision is the revision of the services document in the view.
	servicesRevision uint64
	// refusedLinks counts the incoming links rejected because of maxLinks, and peakLinks is the largest
	// number of links at a time.
	refusedLinks int
	peakLinks    int
}

// linkEnd is the far end of a link: the process there and the link's ID there.
type linkEnd struct {
	process *process
	link    control.LinkID
}

// event is a function to run at a time. Events of the same time run in order of sequence.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// newSimulation returns a simulation in which all processes start at once. The platform lists
// the agents among them and has not answered a read yet.
func newSimulation(size int, platformServes func(i int) bool) *simulation {
	s := &simulation{now: start, endpoints: make(map[netip.AddrPort]*process), platformServes: platformServes}
	for i := range size {
		p := &process{controller: newController(i, 1, start), index: i, linkEnds: make(map[control.LinkID]linkEnd)}
		s.processes = append(s.processes, p)
		s.endpoints[endpointOf(i)] = p
		s.schedule(time.Duration(i)*control.TickInterval/time.Duration(size), func() { s.tick(p) })
	}
	s.publishAgents(1, size)
	return s
}

// newController returns the controller of an incarnation of process i that starts now.
func newController(i int, incarnation uint64, now time.Time) *control.Controller {
	config := control.Config{
		Self: fleet.InstanceIDOf(nameOf(i)), Incarnation: incarnation, Role: roleOf(i), DataCentre: dataCentreOf(i),
		Control: endpointOf(i),
	}
	for seed := range seedCount {
		config.Seeds = append(config.Seeds, endpointOf(seed*(agentsPerBalancer+1)))
	}
	if config.Role == fleet.RoleAgent {
		config.Announcement = &fleet.Announcement{
			Name: nameOf(i), DataCentre: dataCentreOf(i), Data: endpointOf(i).String(), Control: endpointOf(i).String(),
			Labels: map[string]string{"app": "orders"},
		}
	}
	return control.New(now, config, rand.New(rand.NewPCG(incarnation+6, uint64(i))))
}

// restart ends a process and starts its next incarnation, which ticks at once, as in a daemon.
func (s *simulation) restart(p *process) {
	for id := range maps.Clone(p.linkEnds) {
		s.disconnect(p, id)
	}
	p.incarnation++
	p.controller = newController(p.index, p.incarnation+1, s.now)
	p.routesSince, p.reads = time.Time{}, 0
	s.perform(p, p.controller.Tick(s.now))
}

// dataCentreOf returns the data centre of process i, such that each has balancers and agents.
func dataCentreOf(i int) string {
	return fmt.Sprintf("centre-%d", i/(agentsPerBalancer+1)%dataCentreCount)
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

// publishAgents publishes documents that list the agents among the first size processes. Like the
// real platform, it lists no balancers.
func (s *simulation) publishAgents(revision uint64, size int) {
	backends, instances := &fleet.BackendsDocument{Revision: fleet.Revision{Number: revision}}, &fleet.InstancesDocument{Revision: fleet.Revision{Number: revision}, Leased: true}
	for i := range size {
		if roleOf(i) != fleet.RoleAgent {
			continue
		}
		instances.Instances = append(instances.Instances, fleet.Instance{
			Name: nameOf(i), Role: fleet.RoleAgent, DataCentre: dataCentreOf(i), Data: endpointOf(i).String(), Control: endpointOf(i).String(), State: fleet.StateLive,
		})
		backends.Backends = append(backends.Backends, fleet.Backend{Name: nameOf(i), DataCentre: dataCentreOf(i), Labels: map[string]string{"app": "orders"}})
	}
	services := &fleet.ServicesDocument{Revision: fleet.Revision{Number: revision}, Services: []fleet.Service{{
		Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp",
		Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {"app": {"orders"}}},
	}}}
	s.documents = []fleet.Document{services, backends, instances}
}

// schedule runs a function after a delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(delay), sequence: s.sequence, run: run})
}

// run advances the simulated time by duration and runs the events that are due until then.
func (s *simulation) run(duration time.Duration) {
	until := s.now.Add(duration)
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = until
}

// tick ticks a process, starts a read of the platform if it should read, and schedules the next
// tick.
func (s *simulation) tick(p *process) {
	s.perform(p, p.controller.Tick(s.now))
	if !p.isReading && p.controller.ShouldReadPlatform(s.now) {
		p.isReading = true
		s.reads++
		p.reads++
		s.schedule(readLatency, func() { s.completeRead(p) })
	}
	s.schedule(control.TickInterval, func() { s.tick(p) })
}

// completeRead ends a read. The process receives the documents if the platform serves it, and
// pauses before it may read again otherwise.
func (s *simulation) completeRead(p *process) {
	if !s.platformServes(p.index) {
		p.controller.RecordReadFailure(s.now)
		s.schedule(readBackoff, func() { p.isReading = false })
		return
	}
	p.isReading = false
	s.perform(p, p.controller.ApplyDocuments(s.now, s.documents...))
}

// perform carries out the outputs of a process.
func (s *simulation) perform(p *process, outputs []control.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case control.Send:
			s.send(p, o)
		case control.OpenLink:
			s.schedule(latency, func() { s.connect(p, s.endpoints[o.Control]) })
		case control.CloseLink:
			s.disconnect(p, o.Link)
		case control.Probe:
			if s.isCut != nil && s.isCut(p, s.endpoints[o.Node.Control()]) {
				continue
			}
			s.schedule(2*latency, func() {
				s.perform(p, p.controller.HandleProbeReply(s.now, o.Node.ID(), 1, fleet.DefaultWeight))
			})
		case control.ReportEvent:
			if o.Event == control.EventSuspicionRefuted {
				s.refutations++
			}
		case control.PublishView:
			p.servicesRevision = o.View.Revisions().Services.Number
			if p.routesSince.IsZero() && o.View.CanRoute() {
				p.routesSince = s.now
			}
		}
	}
}

func (s *simulation) send(p *process, o control.Send) {
	far, open := p.linkEnds[o.Link]
	if !open {
		return
	}
	encoded, err := link.Encode(o.Message)
	if err != nil {
		panic(err)
	}
	if s.isCut != nil && s.isCut(p, far.process) {
		return
	}
	p.sentBytes += len(encoded)
	if dataCentreOf(p.index) != dataCentreOf(far.process.index) {
		p.crossedBytes += len(encoded)
	}
	if o.Message.Digests != nil {
		p.digestMessages++
	}
	s.schedule(latency, func() {
		s.perform(far.process, far.process.controller.HandleMessage(s.now, far.link, o.Message))
	})
}

// connect links a process to another, which refuses the link if it has maxLinks already.
func (s *simulation) connect(p, to *process) {
	if len(to.linkEnds) >= maxLinks {
		to.refusedLinks++
		p.controller.HandleLinkRefused(s.now)
		return
	}
	p.nextLink++
	to.nextLink++
	mine, theirs := p.nextLink, to.nextLink
	p.linkEnds[mine] = linkEnd{to, theirs}
	to.linkEnds[theirs] = linkEnd{p, mine}
	p.peakLinks = max(p.peakLinks, len(p.linkEnds))
	to.peakLinks = max(to.peakLinks, len(to.linkEnds))
	s.perform(to, to.controller.HandleLinkUp(s.now, theirs, false))
	s.perform(p, p.controller.HandleLinkUp(s.now, mine, true))
}

func (s *simulation) disconnect(p *process, id control.LinkID) {
	far, open := p.linkEnds[id]
	if !open {
		return
	}
	delete(p.linkEnds, id)
	delete(far.process.linkEnds, far.link)
	far.process.controller.HandleLinkDown(far.link)
}

// servesAll is a platformServes function of a platform that answers every process.
func servesAll(int) bool { return true }

// sortedValues returns the given value of each process, in ascending order.
func (s *simulation) sortedValues(valueOf func(*process) int) []int {
	values := make([]int, len(s.processes))
	for i, p := range s.processes {
		values[i] = valueOf(p)
	}
	slices.Sort(values)
	return values
}

func (s *simulation) sum(valueOf func(*process) int) int {
	total := 0
	for _, value := range s.sortedValues(valueOf) {
		total += value
	}
	return total
}
