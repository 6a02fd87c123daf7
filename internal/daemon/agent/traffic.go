package agent

import (
	"encoding/binary"
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/daemon/exchange"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/wire/datagram"
	"github.com/radishmast/radishmast/internal/wire/ipv4"
)

// traffic carries out decisions about the packets of one goroutine.
type traffic struct {
	agent   *Agent
	sender  *node.Sender
	arrival core.Arrival
	out     datagram.Header
	visited []uint64
}

func newTraffic(a *Agent) (*traffic, error) {
	sender, err := a.node.NewSender()
	if err != nil {
		return nil, err
	}
	return &traffic{agent: a, sender: sender}, nil
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
		t.agent.counters.Add("drop_unexpected_kind", 1)
	}
}

func (t *traffic) handleLoad(header *datagram.Header, body []byte) {
	report, err := exchange.ReadReport(body)
	if err != nil {
		t.agent.counters.Add("drop_undecodable", 1)
		return
	}
	t.agent.mu.Lock()
	defer t.agent.mu.Unlock()
	sibling := fleet.InstanceID(header.From)
	for _, ticket := range t.agent.core.Heard(clock.Now(), sibling, report) {
		t.agent.gate.tell(ticket, core.Surrendered{To: sibling})
	}
}

func (t *traffic) handleRegistration(header *datagram.Header, body []byte) {
	flows, err := exchange.ReadRegistration(body)
	if err != nil {
		t.agent.counters.Add("drop_undecodable", 1)
		return
	}
	t.agent.mu.Lock()
	defer t.agent.mu.Unlock()
	t.agent.core.Registered(clock.Now(), fleet.InstanceID(header.From), flows)
}

func (t *traffic) handlePacket(header *datagram.Header, body []byte) {
	now := clock.Now()
	if !t.agent.node.IsValid(now) {
		t.agent.counters.Add("drop_view_expired", 1)
		return
	}
	packet, err := ipv4.Format{}.Parse(body)
	if err != nil {
		t.agent.counters.Add("drop_malformed", 1)
		return
	}
	exchange.ReadArrival(&t.arrival, header, packet)
	t.decide(now, header)
}

func (t *traffic) decide(now time.Time, header *datagram.Header) {
	t.agent.mu.Lock()
	action := t.agent.core.Receive(now, &t.arrival)
	switch a := action.(type) {
	case *core.Deliver:
		hint, opens := a.Hint, a.Opens
		t.agent.mu.Unlock()
		if opens {
			t.agent.clear(t.arrival.Packet.Flow())
		}
		t.agent.stack.Inject(t.arrival.Packet.Bytes())
		if hint {
			t.sendHint(header)
		}
	case *core.PassOn:
		passOn := *a
		t.agent.mu.Unlock()
		t.passOn(header, &passOn)
	case *core.Reset:
		reason := a.Reason
		t.agent.mu.Unlock()
		t.agent.reset(t.arrival.Packet, reason)
	case *core.Drop:
		reason := a.Reason
		t.agent.mu.Unlock()
		t.agent.counters.Add(string(reason), 1)
	}
}

func (t *traffic) passOn(in *datagram.Header, action *core.PassOn) {
	t.out = exchange.PassOnHeader(t.agent.node, in, action, t.visited)
	t.visited = t.out.Visited
	t.agent.counters.Add("packets_passed_on", 1)
	if action.Reason != "" {
		t.agent.counters.Add(string(action.Reason), 1)
	}
	t.sender.Queue(&t.out, t.arrival.Packet.Bytes(), action.Target.Data())
}

// sendHint tells the balancer that first received the packet who owns the flow.
func (t *traffic) sendHint(in *datagram.Header) {
	origin := t.agent.node.Load().Node(fleet.InstanceID(in.Origin))
	if origin == nil {
		return
	}
	var body [8]byte
	binary.BigEndian.PutUint64(body[:], t.arrival.Packet.Flow().Hash())
	t.out = t.agent.node.Header(datagram.Hint, origin.ID(), 0)
	t.sender.Queue(&t.out, body[:], origin.Data())
	t.agent.counters.Add("hints_sent", 1)
}

func (t *traffic) flush() { t.sender.Flush() }

// reset answers the caller with a reset.
func (a *Agent) reset(packet flow.Packet, reason core.Reason) {
	a.counters.Add(string(reason), 1)
	if answer := (ipv4.Format{}).Reset(packet); answer != nil {
		a.egress.Send(answer)
	}
}

// noteAnswers tells the core about the handshakes that the stack answers.
func (a *Agent) noteAnswers(packets [][]byte) {
	for _, packet := range packets {
		answer, opens := ipv4.Format{}.ParseAnswer(packet)
		if !opens {
			continue
		}
		a.mu.Lock()
		a.core.Answered(answer.Flow, answer.Token)
		a.mu.Unlock()
	}
}
