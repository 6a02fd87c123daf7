package carrier

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/daemon/exchange"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/daemon/settings"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/operator"
	"github.com/radishmast/radishmast/internal/link/peer"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// traffic carries out decisions about the packets of one goroutine.
type traffic struct {
	carrier *Carrier
	sender  *node.Sender
	callers *peer.Writer
	backend *peer.Writer
	app     netip.AddrPort
	arrival core.Arrival
	out     datagram.Header
	visited []uint64
}

func newTraffic(c *Carrier) (*traffic, error) {
	sender, err := c.node.NewSender()
	if err != nil {
		return nil, err
	}
	return &traffic{
		carrier: c,
		sender:  sender,
		callers: peer.NewWriter(c.node.Socket(), peer.NewPaths()),
		backend: peer.NewWriter(c.outbound, peer.NewPaths()),
		app:     settings.Endpoint(c.settings.Backend),
	}, nil
}

// handle processes one datagram from a balancer or another agent.
func (t *traffic) handle(header *datagram.Header, body []byte) {
	switch header.Kind {
	case datagram.Packet:
		t.handlePacket(header, body)
	case datagram.Load:
		t.handleLoad(header, body)
	case datagram.Register:
		t.handleRegistration(header, body)
	default:
		t.carrier.counters.Add("drop_unexpected_kind", 1)
	}
}

func (t *traffic) handleLoad(header *datagram.Header, body []byte) {
	report, err := exchange.ReadReport(body)
	if err != nil {
		t.carrier.counters.Add("drop_undecodable", 1)
		return
	}
	t.carrier.mu.Lock()
	defer t.carrier.mu.Unlock()
	t.carrier.core.Heard(clock.Now(), fleet.InstanceID(header.From), report)
}

func (t *traffic) handleRegistration(header *datagram.Header, body []byte) {
	flows, err := exchange.ReadRegistration(body)
	if err != nil {
		t.carrier.counters.Add("drop_undecodable", 1)
		return
	}
	t.carrier.mu.Lock()
	defer t.carrier.mu.Unlock()
	t.carrier.core.Registered(clock.Now(), fleet.InstanceID(header.From), flows)
}

func (t *traffic) handlePacket(header *datagram.Header, body []byte) {
	now := clock.Now()
	if !t.carrier.node.IsValid(now) {
		t.carrier.counters.Add("drop_view_expired", 1)
		return
	}
	if !t.parse(header, body) {
		return
	}
	t.decide(now, header, t.carrier.core.Receive)
}

// parse reads a packet and how it came. It reports false for a malformed one.
func (t *traffic) parse(header *datagram.Header, body []byte) bool {
	packet, err := t.carrier.format.Parse(body)
	if err != nil {
		t.carrier.counters.Add("drop_malformed", 1)
		return false
	}
	exchange.ReadArrival(&t.arrival, header, packet)
	return true
}

func (t *traffic) decide(now time.Time, header *datagram.Header, ask func(time.Time, *core.Arrival) core.Action) {
	t.carrier.mu.Lock()
	t.carrier.core.NoteConfirmed(t.carrier.node.ConfirmedAt())
	action := ask(now, &t.arrival)
	switch a := action.(type) {
	case *core.Deliver:
		hint := a.Hint
		tag := t.carrier.offered.put(header)
		t.carrier.mu.Unlock()
		if t.arrival.Packet.Kind() == flow.Opening {
			t.record("deliver", "", "")
		}
		t.deliver(tag)
		if hint {
			t.sendHint(header)
		}
	case *core.PassOn:
		passOn := *a
		t.carrier.mu.Unlock()
		t.record("pass", passOn.Target.Name(), passOn.Reason)
		t.passOn(header, &passOn)
	case *core.Reset:
		reason := a.Reason
		t.carrier.mu.Unlock()
		t.record("reset", "", reason)
		t.reset(reason)
	case *core.Drop:
		reason := a.Reason
		t.carrier.mu.Unlock()
		t.record("drop", "", reason)
		t.carrier.counters.Add(string(reason), 1)
	}
}

// record logs what was decided about the packet at hand.
func (t *traffic) record(event, peer string, reason core.Reason) {
	decision := operator.Decision{
		Event:    event,
		Flow:     t.arrival.Packet.Flow(),
		Sequence: t.arrival.Packet.Sequence(),
		Peer:     peer,
		Reason:   string(reason),
		Visited:  len(t.arrival.Visited),
		Revision: t.carrier.node.Revisions().Highest(),
		Age:      t.carrier.node.Age(clock.Now()),
	}
	if t.arrival.Packet.Kind() == flow.Opening {
		decision.Copies = t.arrival.Packet.Confirms()
	}
	t.carrier.decisions.Record(decision)
}

func (t *traffic) deliver(tag uint32) {
	t.carrier.format.Tag(t.arrival.Packet.Bytes(), tag)
	t.queue(t.backend, t.arrival.Packet.Bytes(), t.app)
}

// queue adds a packet to a batch. One that cannot be sent is lost and counted.
func (t *traffic) queue(writer *peer.Writer, packet []byte, to netip.AddrPort) {
	buffer, err := writer.Next()
	if err != nil {
		t.carrier.counters.Add("drop_send_failed", 1)
		return
	}
	buffer.Write(packet)
	writer.Queue(to)
}

func (t *traffic) passOn(in *datagram.Header, action *core.PassOn) {
	t.out = exchange.PassOnHeader(t.carrier.node, in, action, t.visited)
	t.visited = t.out.Visited
	t.carrier.counters.Add("packets_passed_on", 1)
	if action.Reason != "" {
		t.carrier.counters.Add(string(action.Reason), 1)
	}
	t.sender.Queue(&t.out, t.arrival.Packet.Bytes(), action.Target.Data())
}

// retry hands on an opening packet that was delivered in vain.
func (t *traffic) retry(retry *core.Retry) {
	passOn, handed := retry.Action.(*core.PassOn)
	if !handed {
		return
	}
	in := exchange.RetryHeader(retry)
	if t.parse(&in, retry.Opening) {
		t.record("pass", passOn.Target.Name(), passOn.Reason)
		t.passOn(&in, passOn)
	}
}

// sendHint tells the balancer that first received the packet who owns the flow.
func (t *traffic) sendHint(in *datagram.Header) {
	to, known := datagram.UnpackEndpoint(in.Reply)
	if !known {
		return
	}
	var body [8]byte
	binary.BigEndian.PutUint64(body[:], t.arrival.Packet.Flow().Hash())
	t.out = t.carrier.node.Header(datagram.Hint, fleet.InstanceID(in.Origin), 0)
	t.sender.Queue(&t.out, body[:], to)
	t.carrier.counters.Add("hints_sent", 1)
}

// reset answers the caller with a reset.
func (t *traffic) reset(reason core.Reason) {
	t.carrier.counters.Add(string(reason), 1)
	if answer := t.carrier.format.Reset(t.arrival.Packet); answer != nil {
		t.queue(t.callers, answer, t.callerEndpoint(t.arrival.Packet.Flow()))
	}
}

// callerEndpoint returns where the fabric takes packets for a caller: at the
// caller's address and the fabric's own port.
func (t *traffic) callerEndpoint(id flow.ID) netip.AddrPort {
	return netip.AddrPortFrom(id.Caller().Addr(), t.carrier.node.Data().Port())
}

// step handles one batch of packets from the backend server.
func (t *traffic) step(reader *peer.Reader) error {
	count, err := reader.Read()
	if err != nil {
		return fmt.Errorf("read from backend server %s: %w", t.app, err)
	}
	now := clock.Now()
	for i := range count {
		if reader.Source(i).Addr() != t.app.Addr() {
			t.carrier.counters.Add("drop_foreign_source", 1)
			continue
		}
		t.handleOutbound(now, reader.Datagram(i))
	}
	return nil
}

func (t *traffic) handleOutbound(now time.Time, data []byte) {
	if tag, returned := t.carrier.format.Returned(data); returned {
		t.handleReturned(now, tag, data)
		return
	}
	answer, valid := t.carrier.format.ParseAnswer(data)
	if !valid {
		t.carrier.counters.Add("drop_malformed", 1)
		return
	}
	t.carrier.mu.Lock()
	t.carrier.core.Sent(now, answer)
	t.carrier.mu.Unlock()
	t.queue(t.callers, data, t.callerEndpoint(answer.Flow))
}

func (t *traffic) handleReturned(now time.Time, tag uint32, data []byte) {
	t.carrier.counters.Add("packets_returned", 1)
	t.carrier.mu.Lock()
	header, known := t.carrier.offered.take(tag)
	t.carrier.mu.Unlock()
	if !known {
		t.carrier.counters.Add("drop_returned_late", 1)
		return
	}
	if t.parse(&header, data) {
		t.decide(now, &header, t.carrier.core.Bounced)
	}
}

func (t *traffic) flush() {
	t.sender.Flush()
	for _, writer := range []*peer.Writer{t.callers, t.backend} {
		if err := writer.Flush(); err != nil {
			t.carrier.counters.Add("drop_send_failed", 1)
		}
	}
}
