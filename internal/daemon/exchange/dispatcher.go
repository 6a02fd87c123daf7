package exchange

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/daemon/metrics"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/operator"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// Delivery connects a Dispatcher to the agent's backend server and callers. Each kind of
// agent has its own implementation.
type Delivery interface {
	// AssignTag returns the tag that the dispatcher passes to Deliver with a packet. An
	// agent whose backend server can bounce packets stores the header under the tag; other
	// agents return zero. It is called with Config.Mutex held.
	AssignTag(header *datagram.Header) uint32
	// Deliver sends a packet to the backend server, or to the agent's own network stack
	// if that terminates the flows. opens reports whether the packet opens a new flow.
	Deliver(packet flow.Packet, tag uint32, opens bool)
	// Reset replies to the caller's packet with a reset.
	Reset(packet flow.Packet)
	// Flush sends all queued packets and datagrams.
	Flush()
	// HandleLoadReport processes a sibling's load report. It is called with Config.Mutex
	// held.
	HandleLoadReport(now time.Time, sibling fleet.InstanceID, report core.Report)
}

// Config holds the dependencies of a Dispatcher. All fields are required.
type Config struct {
	Node *node.Node
	// Format parses callers' packets.
	Format   flow.Format
	Delivery Delivery
	// Mutex guards Core and HeldPackets. The dispatchers of an agent share all three.
	Mutex *sync.Mutex
	Core  *core.Agent
	// HeldPackets holds packets until the owners of their flows have been looked up.
	HeldPackets *HeldPackets
	Counters    *metrics.Counters
	// Decisions logs decisions about packets.
	Decisions *operator.Decisions
	Logger    log.Interface
}

// Dispatcher passes packets and datagrams to an agent's core and executes the core's
// decisions. It is not safe for concurrent use: each goroutine has its own.
type Dispatcher struct {
	Config
	sender *node.Sender
	// received is the packet that is being processed. It, outHeader and visitedBuffer
	// are reused, so that processing a packet allocates no memory for them.
	received core.ReceivedPacket
	// outHeader is the header of the datagram that is being sent.
	outHeader datagram.Header
	// visitedBuffer is the memory of outHeader.Visited.
	visitedBuffer []uint64
}

// NewDispatcher returns a dispatcher. It fails if the node's datagram keys cannot be set
// up.
func NewDispatcher(config Config) (*Dispatcher, error) {
	sender, err := config.Node.NewSender()
	if err != nil {
		return nil, err
	}
	return &Dispatcher{Config: config, sender: sender}, nil
}

// Handle processes one datagram from a balancer or another agent. A datagram of a kind
// that agents do not receive is dropped and counted.
func (d *Dispatcher) Handle(header *datagram.Header, body []byte) {
	switch header.Kind {
	case datagram.Packet:
		d.handlePacket(header, body)
	case datagram.LoadReport:
		d.handleLoadReport(header, body)
	case datagram.Registration:
		d.handleRegistration(header, body)
	case datagram.OwnershipQuery:
		d.handleOwnershipQuery(header, body)
	case datagram.OwnershipReply:
		d.handleOwnershipReply(header, body)
	case datagram.OwnershipDenial:
		d.handlePollAnswer(header, body, d.Core.HandleDenial)
	case datagram.OwnershipClaim:
		d.handlePollAnswer(header, body, d.Core.HandleClaim)
	case datagram.ServerSilence:
		d.handlePollAnswer(header, body, d.Core.HandleSilenceReport)
	default:
		d.Counters.Add("drop_unexpected_kind", 1)
	}
}

// Flush sends the datagrams queued for other processes.
func (d *Dispatcher) Flush() { d.sender.Flush() }

// SendReport sends a load report to siblings, together with all queued datagrams.
func (d *Dispatcher) SendReport(report core.Report, siblings []*fleet.Target) {
	SendReport(d.Node, d.sender, d.Logger, report, siblings)
}

// sendControl encodes body as CBOR and queues it as a control datagram. A body that cannot
// be encoded is dropped, counted and logged.
func (d *Dispatcher) sendControl(header *datagram.Header, body any, to netip.AddrPort) {
	data, err := cbor.Marshal(body)
	if err != nil {
		d.Counters.Add("drop_send_failed", 1)
		d.Logger.WithError(fmt.Errorf("encode datagram for %s: %w", to, err)).Error("cannot encode datagram; dropping it")
		return
	}
	d.sender.QueueControl(header, data, to)
}

// handleLoadReport passes a sibling's load report to Delivery. A report that cannot be decoded
// is dropped and counted.
func (d *Dispatcher) handleLoadReport(header *datagram.Header, body []byte) {
	report, err := decodeReport(body)
	if err != nil {
		d.Counters.Add("drop_undecodable", 1)
		return
	}
	d.Mutex.Lock()
	defer d.Mutex.Unlock()
	d.Delivery.HandleLoadReport(clock.Now(), fleet.InstanceID(header.From), report)
}

// handleRegistration stores which flows another agent owns. A registration that cannot be
// decoded is dropped and counted.
func (d *Dispatcher) handleRegistration(header *datagram.Header, body []byte) {
	flows, err := decodeRegistration(body)
	if err != nil {
		d.Counters.Add("drop_undecodable", 1)
		return
	}
	d.Mutex.Lock()
	defer d.Mutex.Unlock()
	d.Core.StoreRegistrations(clock.Now(), fleet.InstanceID(header.From), flows)
}

// handlePacket processes a caller's packet. Before the first view the packet is held; it is
// dropped and counted if the view has expired.
func (d *Dispatcher) handlePacket(header *datagram.Header, body []byte) {
	now := clock.Now()
	if !d.Node.IsValid(now) {
		d.holdEarly(now, header, body)
		return
	}
	d.Dispatch(now, header, body, d.Core.Receive)
}

// Dispatch parses a packet, calls decide with Mutex held, and executes the action that it
// returns. decide gets the action from the core, for example by Receive. The action is copied
// before the mutex is released, because the core reuses its actions. A malformed packet is
// dropped and counted.
func (d *Dispatcher) Dispatch(now time.Time, header *datagram.Header, body []byte, decide func(time.Time, *core.ReceivedPacket) core.Action) {
	packet, err := d.Format.Parse(body)
	if err != nil {
		d.Counters.Add("drop_malformed", 1)
		return
	}
	fillReceivedPacket(&d.received, header, packet)
	d.Mutex.Lock()
	if d.HeldPackets.early.IsEmpty() {
		d.HeldPackets.early.Release(now)
	}
	d.Core.RecordViewConfirmed(d.Node.ConfirmedAt())
	switch action := decide(now, &d.received).(type) {
	case *core.Deliver:
		deliverAction := *action
		tag := d.Delivery.AssignTag(header)
		d.Mutex.Unlock()
		d.executeDeliver(header, packet, tag, &deliverAction)
	case *core.Forward:
		forwardAction := *action
		d.Mutex.Unlock()
		d.forward(header, &forwardAction)
	case *core.Hold:
		held := d.HeldPackets.add(header, packet, d.received.Evidence)
		d.Mutex.Unlock()
		if !held {
			d.Counters.Add("drop_lookup_full", 1)
		}
	case *core.AwaitView:
		held := d.HeldPackets.awaitRevision(now, header, packet, d.received.Evidence, action.Revision)
		d.Mutex.Unlock()
		if !held {
			d.dropStale(1)
		}
	case *core.Deny:
		d.Mutex.Unlock()
		d.answerPoll(datagram.OwnershipDenial, d.received.Sender, packet.Flow())
	case *core.ReportSilence:
		d.Mutex.Unlock()
		d.answerPoll(datagram.ServerSilence, d.received.Sender, packet.Flow())
	case *core.Wait:
		d.Mutex.Unlock()
		d.recordWait(action)
	case *core.Reset:
		reason := action.Reason
		d.Mutex.Unlock()
		d.reset(reason)
	case *core.Drop:
		reason := action.Reason
		d.Mutex.Unlock()
		d.recordDecision("drop", "", reason)
		d.Counters.Add(string(reason), 1)
	}
}

// executeDeliver delivers the current packet and sends the hint and the claim that the core wants.
func (d *Dispatcher) executeDeliver(header *datagram.Header, packet flow.Packet, tag uint32, action *core.Deliver) {
	d.deliver(packet, tag, action.Opens)
	if action.SendHint {
		d.sendHint(header)
	}
	if action.Claims {
		d.answerPoll(datagram.OwnershipClaim, d.received.Sender, packet.Flow())
	}
}

// deliver delivers the current packet. Of all packets it logs only the opening ones.
func (d *Dispatcher) deliver(packet flow.Packet, tag uint32, opens bool) {
	if packet.Kind() == flow.Opening {
		d.recordDecision("deliver", "", "")
	}
	d.Delivery.Deliver(packet, tag, opens)
}

// Resolve executes the core's decision about an opening packet that could not be served at
// once: it forwards the packet to another agent, delivers it or resets the flow. A malformed
// packet is dropped and counted.
func (d *Dispatcher) Resolve(resolution *core.Resolution) {
	if drop, dropped := resolution.Action.(*core.Drop); dropped {
		d.Counters.Add(string(drop.Reason), 1)
		return
	}
	header := openingHeader(resolution)
	packet, err := d.Format.Parse(resolution.Opening)
	if err != nil {
		d.Counters.Add("drop_malformed", 1)
		return
	}
	fillReceivedPacket(&d.received, &header, packet)
	switch action := resolution.Action.(type) {
	case *core.Deliver:
		d.Mutex.Lock()
		tag := d.Delivery.AssignTag(&header)
		d.Mutex.Unlock()
		d.deliver(packet, tag, action.Opens)
	case *core.Forward:
		d.forward(&header, action)
	case *core.Reset:
		d.reset(action.Reason)
	}
}

// forward queues the current packet for the agent that the core has chosen. in is the
// header with which the packet was received.
func (d *Dispatcher) forward(in *datagram.Header, action *core.Forward) {
	d.recordDecision("pass", action.Target.Name(), action.Reason)
	d.outHeader = forwardHeader(d.Node, in, action, d.visitedBuffer)
	d.visitedBuffer = d.outHeader.Visited
	d.Counters.Add("packets_passed_on", 1)
	if action.Reason != "" {
		d.Counters.Add(string(action.Reason), 1)
	}
	d.sender.Queue(&d.outHeader, d.received.Packet.Bytes(), action.Target.Data())
}

// recordWait logs and counts that the current packet waits.
func (d *Dispatcher) recordWait(wait *core.Wait) {
	decision := d.decision("wait", "", core.Reason(wait.Reason))
	decision.SlotsTaken, decision.Waiting = wait.SlotsTaken, wait.Waiting
	d.Decisions.Record(decision)
	d.Counters.Add(string(wait.Reason.Counter()), 1)
}

// reset replies to the current packet with a reset, and logs and counts the reason, a refusal
// also by service.
func (d *Dispatcher) reset(reason core.Reason) {
	d.recordDecision("reset", "", reason)
	d.Counters.Add(string(reason), 1)
	if service := d.Node.View().Service(d.received.Service); service != nil && reason.IsRefusal() {
		d.Counters.Add(string(reason)+"/"+service.Name(), 1)
	}
	d.Delivery.Reset(d.received.Packet)
}

// RecordServerReset logs a reset that the backend server has sent to the caller of a flow, and
// counts it if it is dropped for a reason.
func (d *Dispatcher) RecordServerReset(reply flow.Reply, dropped core.Reason) {
	if dropped != "" {
		d.Counters.Add(string(dropped), 1)
	}
	d.Decisions.Record(operator.Decision{
		Event:    "server_reset",
		Flow:     reply.Flow,
		Reason:   string(dropped),
		Revision: d.Node.Revisions().Highest(),
		Age:      d.Node.Age(clock.Now()),
	})
}

// sendHint notifies the balancer that received the current packet from the fabric that
// this agent owns the flow. in is the header with which the packet was received; if it
// names no reply endpoint, no hint is sent.
func (d *Dispatcher) sendHint(in *datagram.Header) {
	to, known := datagram.UnpackEndpoint(in.Reply)
	if !known {
		return
	}
	var body [8]byte
	binary.BigEndian.PutUint64(body[:], d.received.Packet.Flow().Hash())
	d.outHeader = d.Node.Header(datagram.Hint, fleet.InstanceID(in.Origin), 0)
	d.sender.Queue(&d.outHeader, body[:], to)
	d.Counters.Add("hints_sent", 1)
}

// recordDecision logs a decision about the current packet. peer is the name of the agent
// that the packet is forwarded to, and empty for any other decision.
func (d *Dispatcher) recordDecision(event, peer string, reason core.Reason) {
	d.Decisions.Record(d.decision(event, peer, reason))
}

// decision returns a decision about the current packet, see recordDecision.
func (d *Dispatcher) decision(event, peer string, reason core.Reason) operator.Decision {
	decision := operator.Decision{
		Event:    event,
		Flow:     d.received.Packet.Flow(),
		Sequence: d.received.Packet.Sequence(),
		Peer:     peer,
		Reason:   string(reason),
		Visited:  len(d.received.Visited),
		Revision: d.Node.Revisions().Highest(),
		Age:      d.Node.Age(clock.Now()),
	}
	if d.received.Packet.Kind() == flow.Opening {
		// In formats that count them, an opening packet carries the number of its
		// earlier copies instead of a token.
		decision.Copies = d.received.Packet.AcknowledgedToken()
	}
	return decision
}
