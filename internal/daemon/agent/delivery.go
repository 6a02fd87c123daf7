package agent

import (
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/daemon/exchange"
	"github.com/radishmast/radishmast/internal/wire/datagram"
	"github.com/radishmast/radishmast/internal/wire/ipv4"
)

// delivery hands packets to the agent's own stack. It implements exchange.Delivery.
type delivery struct {
	agent      *Agent
	dispatcher *exchange.Dispatcher
}

func (a *Agent) newDispatcher() (*exchange.Dispatcher, error) {
	d := &delivery{agent: a}
	var err error
	d.dispatcher, err = exchange.NewDispatcher(exchange.Config{
		Node: a.node, Format: ipv4.Format{}, Delivery: d, Mutex: &a.mu, Core: a.core, HeldPackets: a.heldPackets,
		Counters: a.counters, Decisions: a.decisions, Logger: a.logger,
	})
	return d.dispatcher, err
}

// Flush sends what was queued. The stack takes packets at once.
func (d *delivery) Flush() { d.dispatcher.Flush() }

// AssignTag returns nothing of use: the stack returns no packets.
func (*delivery) AssignTag(*datagram.Header) uint32 { return 0 }

// Deliver hands a packet to the stack.
func (d *delivery) Deliver(packet flow.Packet, _ uint32, opens bool) {
	if opens {
		d.agent.abortEarlierFlow(packet.Flow())
	}
	d.agent.stack.Inject(packet.Bytes())
}

// Reset answers the caller with a reset.
func (d *delivery) Reset(packet flow.Packet) {
	if answer := (ipv4.Format{}).Reset(packet); answer != nil {
		d.agent.egress.Send(answer)
	}
}

// HandleLoadReport takes a sibling's load report, and hands waiting requests to a sibling with room.
func (d *delivery) HandleLoadReport(now time.Time, sibling fleet.InstanceID, report core.Report) {
	for _, ticket := range d.agent.core.HandleReport(now, sibling, report) {
		d.agent.slotQueue.notify(ticket, core.HandedOver{To: sibling})
	}
}

// recordHandshakeReplies tells the core about the handshakes that the stack answers.
func (a *Agent) recordHandshakeReplies(packets [][]byte) {
	for _, packet := range packets {
		answer, opens := ipv4.Format{}.ParseReply(packet)
		if !opens {
			continue
		}
		a.mu.Lock()
		a.core.RecordHandshakeReply(answer.Flow, answer.HandshakeToken)
		a.mu.Unlock()
	}
}
