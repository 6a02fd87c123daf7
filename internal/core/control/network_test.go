package control

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// network connects each controller to every other one. Tests decide which messages are
// delivered, in which order, and which are lost.
type network struct {
	controllers []*Controller
	// queue holds the messages that were sent and not delivered yet.
	queue []delivery
}

// delivery is a message on its way, with the index of the controller that receives it and
// the ID of the link there.
type delivery struct {
	to      int
	link    LinkID
	message *Message
}

// newNetwork returns a network of agents n0, n1 and so on, with a link from each to every
// other one.
func newNetwork(size int) *network {
	n := &network{}
	for i := range size {
		config := Config{Self: fleet.InstanceIDOf(fmt.Sprintf("n%d", i)), Incarnation: 1, Role: fleet.RoleAgent, DataCentre: "north"}
		n.controllers = append(n.controllers, New(epoch, config, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	for i := range size {
		for j := range size {
			if i != j {
				n.enqueueSends(i, n.controllers[i].HandleLinkUp(epoch, LinkID(j+1), true))
			}
		}
	}
	return n
}

// enqueueSends queues the messages among a controller's outputs. In each controller, the link
// with ID j+1 leads to controller j.
func (n *network) enqueueSends(from int, outputs []Output) {
	for _, output := range outputs {
		if send, ok := output.(Send); ok {
			n.queue = append(n.queue, delivery{to: int(send.Link) - 1, link: LinkID(from + 1), message: send.Message})
		}
	}
}

// deliver delivers message i of the queue.
func (n *network) deliver(i int, now time.Time) {
	d := n.queue[i]
	n.queue = append(n.queue[:i], n.queue[i+1:]...)
	n.enqueueSends(d.to, n.controllers[d.to].HandleMessage(now, d.link, d.message))
}

// converge runs several rounds of summaries, so that processes fetch what they have missed, and
// returns the time after them.
func (n *network) converge(now time.Time) time.Time {
	for range 5 {
		now = now.Add(summaryInterval)
		for i, c := range n.controllers {
			n.enqueueSends(i, c.Tick(now))
		}
		for len(n.queue) > 0 {
			n.deliver(0, now)
		}
	}
	return now
}

// backendsDocument returns a document with as many backend servers as the number of its revision.
// Those of other eras, and of even and odd numbers, have different names, so that a change
// between them replaces all entries.
func backendsDocument(revision fleet.Revision) *fleet.BackendsDocument {
	d := &fleet.BackendsDocument{Revision: revision}
	for i := range revision.Number {
		d.Backends = append(d.Backends, fleet.Backend{Name: fmt.Sprintf("b%d-%d-%d", i, revision.Number%2, revision.Era), DataCentre: "north"})
	}
	return d
}

// applyTargets applies documents that list agents b0, b1 and so on as targets of one service.
func applyTargets(c *Controller, now time.Time, targets int) {
	applyTargetsAt(c, now, fleet.Revision{Number: 1}, targets)
}

// applyTargetsAt applies documents of a revision, like applyTargets, and returns the outputs.
func applyTargetsAt(c *Controller, now time.Time, revision fleet.Revision, targets int) []Output {
	backends, instances := &fleet.BackendsDocument{Revision: revision}, &fleet.InstancesDocument{Revision: revision}
	for i := range targets {
		name := fmt.Sprintf("b%d", i)
		backends.Backends = append(backends.Backends, fleet.Backend{Name: name, DataCentre: "north"})
		instances.Instances = append(instances.Instances, fleet.Instance{
			Name: name, Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
		})
	}
	services := &fleet.ServicesDocument{Revision: revision, Services: []fleet.Service{{
		Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}},
	}}}
	return c.ApplyDocuments(now, backends, instances, services)
}
