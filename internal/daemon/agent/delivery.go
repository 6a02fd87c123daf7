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

// delivery injects packets into the agent's own network stack. It implements
// exchange.Delivery.
type delivery struct {
	agent      *Agent
	dispatcher *exchange.Dispatcher
}

// newDispatcher returns a dispatcher for one goroutine, with a delivery of its own.
func (a *Agent) newDispatcher() (*exchange.Dispatcher, error) {
	d := &delivery{agent: a}
	var err error
	d.dispatcher, err = exchange.NewDispatcher(exchange.Config{
		Node: a.node, Format: ipv4.Format{}, Delivery: d, Mutex: &a.mu, Core: a.core, HeldPackets: a.heldPackets,
		Counters: a.counters, Decisions: a.decisions, Logger: a.logger,
	})
	return d.dispatcher, err
}

// Flush sends the queued packets for other processes. Packets for the stack are not queued.
func (d *delivery) Flush() { d.dispatcher.Flush() }

// AssignTag returns zero: the stack bounces no packets, so none needs a tag.
func (*delivery) AssignTag(*datagram.Header) uint32 { return 0 }

// Deliver injects a packet into the stack. A packet that opens a flow first resets an earlier
// flow with the same addresses and ports.
func (d *delivery) Deliver(packet flow.Packet, _ uint32, opens bool) {
	if opens {
		d.agent.abortEarlierFlow(packet.Flow())
	}
	d.agent.stack.Inject(packet.Bytes())
}

// Reset sends a reset to the caller of a packet, if the packet can be answered by one.
func (d *delivery) Reset(packet flow.Packet) {
	if reset := (ipv4.Format{}).Reset(packet); reset != nil {
		d.agent.egress.Send(reset)
	}
}

// HandleLoadReport records a sibling's load report, and hands over to the sibling as many
// waiting requests as it has capacity for. It is called with the agent's mutex held.
func (d *delivery) HandleLoadReport(now time.Time, sibling fleet.InstanceID, report core.Report) {
	for _, ticket := range d.agent.core.HandleReport(now, sibling, report) {
		d.agent.slotQueue.notify(ticket, core.HandedOver{To: sibling})
	}
}

// recordHandshakeReplies records in the core the tokens of the handshake replies among the
// stack's packets. The core uses a token to recognise the packet by which the caller confirms
// the handshake.
func (a *Agent) recordHandshakeReplies(packets [][]byte) {
	for _, packet := range packets {
		reply, opens := ipv4.Format{}.ParseReply(packet)
		if !opens {
			continue
		}
		a.mu.Lock()
		a.core.RecordHandshakeReply(reply.Flow, reply.HandshakeToken)
		a.mu.Unlock()
	}
}
