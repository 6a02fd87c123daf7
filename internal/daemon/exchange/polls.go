package exchange

import (
	"slices"
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// sendPolls sends the held packets of the flows that are polled for now, and probes the agents that
// have fallen silent.
func (d *Dispatcher) sendPolls(now time.Time) {
	d.Mutex.Lock()
	polls, silent := d.Core.Polls(now)
	packets := make([][]heldPacket, len(polls))
	for i := range polls {
		held := d.HeldPackets.byFlow[polls[i].Flow]
		for j := range held {
			held[j].polled = true
		}
		packets[i] = slices.Clone(held)
	}
	d.Mutex.Unlock()
	d.probe(silent)
	for i := range polls {
		for j := range packets[i] {
			d.sendPoll(&polls[i], &packets[i][j])
		}
	}
}

// sendPoll sends a copy of one held packet to each agent that is polled.
func (d *Dispatcher) sendPoll(poll *core.Poll, packet *heldPacket) {
	for _, target := range poll.Targets {
		d.outHeader = forwardHeader(d.Node, &packet.header, &core.Forward{Target: target}, d.visitedBuffer)
		d.visitedBuffer = append(d.outHeader.Visited[:0], uint64(d.Node.ID()))
		d.outHeader.Visited = d.visitedBuffer
		d.outHeader.Flags |= datagram.Polled
		d.sender.Queue(&d.outHeader, packet.body, target.Data())
	}
	d.Counters.Add("packets_polled", len(poll.Targets))
}

// answerPoll tells an agent that polled for the owner of a flow whether this agent owns it. An
// agent that is not in view is not told.
func (d *Dispatcher) answerPoll(kind datagram.Kind, poller fleet.InstanceID, id flow.ID) {
	node := d.Node.View().Node(poller)
	if node == nil {
		d.Counters.Add("drop_unknown_sender", 1)
		return
	}
	d.outHeader = d.Node.Header(kind, node.ID(), 0)
	d.sender.QueueControl(&d.outHeader, id[:], node.Data())
}

// SendPollAnswers claims the polled flows whose packets the backend server has not bounced, and
// denies those that it has reset.
func (d *Dispatcher) SendPollAnswers(now time.Time) {
	d.Mutex.Lock()
	claims, denials := d.Core.Claims(now), d.Core.Denials()
	d.Mutex.Unlock()
	for _, denial := range denials {
		d.answerPoll(datagram.OwnershipDenial, denial.Poller, denial.Flow)
	}
	for _, claim := range claims {
		d.answerPoll(datagram.OwnershipClaim, claim.Poller, claim.Flow)
	}
}

// handlePollAnswer passes a polled agent's answer about a flow to handle, resumes the flow's
// packets if the poll is over, and sends the polls that are due. An answer that cannot be decoded
// is dropped and counted.
func (d *Dispatcher) handlePollAnswer(header *datagram.Header, body []byte, handle func(time.Time, fleet.Process, flow.ID) []core.LookupResult) {
	var id flow.ID
	if copy(id[:], body) != len(id) || len(body) != len(id) {
		d.Counters.Add("drop_undecodable", 1)
		return
	}
	now := clock.Now()
	d.Mutex.Lock()
	results := handle(now, senderProcess(header), id)
	d.Mutex.Unlock()
	d.resume(now, results)
	d.sendPolls(now)
}
