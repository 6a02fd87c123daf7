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

// Delivery carries out what differs between the kinds of agent: what becomes of a packet
// that stays here.
type Delivery interface {
	// AssignTag returns a number for a packet that is to be delivered. It is called with the
	// core's mutex held.
	AssignTag(header *datagram.Header) uint32
	// Deliver hands a packet to the backend server or to the stack that speaks for it.
	// opens tells that the packet opens a new flow.
	Deliver(packet flow.Packet, tag uint32, opens bool)
	// Reset answers the caller with a reset.
	Reset(packet flow.Packet)
	// Flush sends what was queued.
	Flush()
	// HandleLoadReport takes a sibling's load report. It is called with the core's mutex held.
	HandleLoadReport(now time.Time, sibling fleet.InstanceID, report core.Report)
}

// Config is what a dispatcher works with.
type Config struct {
	Node     *node.Node
	Format   flow.Format
	Delivery Delivery
	// Mutex guards Core.
	Mutex *sync.Mutex
	Core  *core.Agent
	// HeldPackets is shared by the dispatchers of an agent.
	HeldPackets *HeldPackets
	Counters    *metrics.Counters
	Decisions   *operator.Decisions
	Logger      log.Interface
}

// Dispatcher asks an agent's core about the packets of one goroutine and carries out its
// decisions. Each goroutine has its own.
type Dispatcher struct {
	Config
	sender        *node.Sender
	arrival       core.ReceivedPacket
	outHeader     datagram.Header
	visitedBuffer []uint64
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(config Config) (*Dispatcher, error) {
	sender, err := config.Node.NewSender()
	if err != nil {
		return nil, err
	}
	return &Dispatcher{Config: config, sender: sender}, nil
}

// Handle processes one datagram from a balancer or another agent.
func (d *Dispatcher) Handle(header *datagram.Header, body []byte) {
	switch header.Kind {
	case datagram.Packet:
		d.handlePacket(header, body)
	case datagram.Load:
		d.handleLoad(header, body)
	case datagram.Register:
		d.handleRegistration(header, body)
	case datagram.Ask:
		d.handleOwnershipQuery(header, body)
	case datagram.Tell:
		d.handleOwnershipReply(header, body)
	default:
		d.Counters.Add("drop_unexpected_kind", 1)
	}
}

// Flush sends what is queued to other processes.
func (d *Dispatcher) Flush() { d.sender.Flush() }

// sendControl queues a datagram with a body that is encoded.
func (d *Dispatcher) sendControl(header *datagram.Header, body any, to netip.AddrPort) {
	data, err := cbor.Marshal(body)
	if err != nil {
		d.Counters.Add("drop_send_failed", 1)
		d.Logger.WithError(fmt.Errorf("encode datagram for %s: %w", to, err)).Error("exchange")
		return
	}
	d.sender.QueueControl(header, data, to)
}

func (d *Dispatcher) handleLoad(header *datagram.Header, body []byte) {
	report, err := decodeReport(body)
	if err != nil {
		d.Counters.Add("drop_undecodable", 1)
		return
	}
	d.Mutex.Lock()
	defer d.Mutex.Unlock()
	d.Delivery.HandleLoadReport(clock.Now(), fleet.InstanceID(header.From), report)
}

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

func (d *Dispatcher) handlePacket(header *datagram.Header, body []byte) {
	now := clock.Now()
	if !d.Node.IsValid(now) {
		d.Counters.Add("drop_view_expired", 1)
		return
	}
	d.Dispatch(now, header, body, d.Core.Receive)
}

// Dispatch asks about a packet, by one of the core's methods, and does what it says. A
// malformed packet is dropped and counted.
func (d *Dispatcher) Dispatch(now time.Time, header *datagram.Header, body []byte, ask func(time.Time, *core.ReceivedPacket) core.Action) {
	packet, err := d.Format.Parse(body)
	if err != nil {
		d.Counters.Add("drop_malformed", 1)
		return
	}
	fillReceivedPacket(&d.arrival, header, packet)
	d.Mutex.Lock()
	d.Core.RecordViewConfirmed(d.Node.ConfirmedAt())
	switch action := ask(now, &d.arrival).(type) {
	case *core.Deliver:
		hint, opens := action.SendHint, action.Opens
		tag := d.Delivery.AssignTag(header)
		d.Mutex.Unlock()
		d.deliver(packet, tag, opens)
		if hint {
			d.sendHint(header)
		}
	case *core.Forward:
		passOn := *action
		d.Mutex.Unlock()
		d.forward(header, &passOn)
	case *core.Hold:
		kept := d.HeldPackets.add(header, packet)
		d.Mutex.Unlock()
		if !kept {
			d.Counters.Add("drop_lookup_full", 1)
		}
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

func (d *Dispatcher) deliver(packet flow.Packet, tag uint32, opens bool) {
	if packet.Kind() == flow.Opening {
		d.recordDecision("deliver", "", "")
	}
	d.Delivery.Deliver(packet, tag, opens)
}

// Retry carries out what becomes of an opening packet that was delivered in vain.
func (d *Dispatcher) Retry(retry *core.Retry) {
	header := retryHeader(retry)
	packet, err := d.Format.Parse(retry.Opening)
	if err != nil {
		d.Counters.Add("drop_malformed", 1)
		return
	}
	fillReceivedPacket(&d.arrival, &header, packet)
	switch action := retry.Action.(type) {
	case *core.Forward:
		d.forward(&header, action)
	case *core.Reset:
		d.reset(action.Reason)
	}
}

func (d *Dispatcher) forward(in *datagram.Header, action *core.Forward) {
	d.recordDecision("pass", action.Target.Name(), action.Reason)
	d.outHeader = forwardHeader(d.Node, in, action, d.visitedBuffer)
	d.visitedBuffer = d.outHeader.Visited
	d.Counters.Add("packets_passed_on", 1)
	if action.Reason != "" {
		d.Counters.Add(string(action.Reason), 1)
	}
	d.sender.Queue(&d.outHeader, d.arrival.Packet.Bytes(), action.Target.Data())
}

func (d *Dispatcher) reset(reason core.Reason) {
	d.recordDecision("reset", "", reason)
	d.Counters.Add(string(reason), 1)
	d.Delivery.Reset(d.arrival.Packet)
}

// sendHint tells the balancer that first received the packet who owns the flow.
func (d *Dispatcher) sendHint(in *datagram.Header) {
	to, known := datagram.UnpackEndpoint(in.Reply)
	if !known {
		return
	}
	var body [8]byte
	binary.BigEndian.PutUint64(body[:], d.arrival.Packet.Flow().Hash())
	d.outHeader = d.Node.Header(datagram.Hint, fleet.InstanceID(in.Origin), 0)
	d.sender.Queue(&d.outHeader, body[:], to)
	d.Counters.Add("hints_sent", 1)
}

// recordDecision logs what was decided about the packet at hand.
func (d *Dispatcher) recordDecision(event, peer string, reason core.Reason) {
	decision := operator.Decision{
		Event:    event,
		Flow:     d.arrival.Packet.Flow(),
		Sequence: d.arrival.Packet.Sequence(),
		Peer:     peer,
		Reason:   string(reason),
		Visited:  len(d.arrival.Visited),
		Revision: d.Node.Revisions().Highest(),
		Age:      d.Node.Age(clock.Now()),
	}
	if d.arrival.Packet.Kind() == flow.Opening {
		decision.Copies = d.arrival.Packet.AcknowledgedToken()
	}
	d.Decisions.Record(decision)
}
