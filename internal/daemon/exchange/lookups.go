package exchange

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/operator"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// maxHeldPerFlow is the maximum number of packets of one flow that wait for its lookup.
const maxHeldPerFlow = 8

// heldPacket is a copy of a packet that waits for the lookup of its flow's owner.
type heldPacket struct {
	// header is the header of the datagram that carried the packet.
	header datagram.Header
	// body is the packet.
	body []byte
	// polled reports whether copies of the packet have been sent to the agents polled last.
	polled bool
	// evidence is what this process has learned about the owner of the flow so far.
	evidence ownership.Evidence
}

// HeldPackets holds packets while the owners of their flows are looked up, those that arrive
// before the first view, and those that wait for a newer one. The dispatchers of an agent share
// one.
type HeldPackets struct {
	// byFlow and early are guarded by Config.Mutex.
	byFlow map[flow.ID][]heldPacket
	early  *flow.EarlyPackets[heldPacket]
	// awaiting holds the packets that wait for a newer view. It is guarded like byFlow.
	awaiting []awaitingPacket
	// wake notifies RunLookups that a packet has been added. It holds at most one
	// notification.
	wake chan struct{}
}

// NewHeldPackets returns an empty HeldPackets.
func NewHeldPackets() *HeldPackets {
	return &HeldPackets{
		byFlow: make(map[flow.ID][]heldPacket),
		early:  flow.NewEarlyPackets[heldPacket](),
		wake:   make(chan struct{}, 1),
	}
}

// copyPacket returns a copy of a packet and its header, with the evidence about the owner of its
// flow.
func copyPacket(header *datagram.Header, body []byte, evidence ownership.Evidence) heldPacket {
	held := heldPacket{header: *header, body: bytes.Clone(body), evidence: evidence}
	held.header.Visited = append([]uint64(nil), header.Visited...)
	return held
}

// notify wakes RunLookups.
func (h *HeldPackets) notify() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// add stores a copy of a packet and wakes RunLookups. It reports false, and stores nothing,
// if maxHeldPerFlow packets of the flow already wait. It is called with Config.Mutex held.
func (h *HeldPackets) add(header *datagram.Header, packet flow.Packet, evidence ownership.Evidence) bool {
	waiting := h.byFlow[packet.Flow()]
	if len(waiting) >= maxHeldPerFlow {
		return false
	}
	h.byFlow[packet.Flow()] = append(waiting, copyPacket(header, packet.Bytes(), evidence))
	h.notify()
	return true
}

// ownershipQuery is the body of a datagram that queries which of some flows an agent owns.
type ownershipQuery struct {
	_ struct{} `cbor:",toarray"`
	// Round identifies the lookup round of the sender that the query is part of. The
	// reply repeats it.
	Round uint32
	// Flows holds the IDs of the flows, concatenated.
	Flows []byte
}

// viewPollInterval is the time between two checks for the first view while packets wait for
// it.
const viewPollInterval = 5 * time.Millisecond

// releaseHeld processes the packets that wait for the first view or for a newer one and need
// not wait any more. It reports whether others still wait.
func (d *Dispatcher) releaseHeld() bool {
	earlyWait := d.releaseEarly()
	return d.releaseAwaiting() || earlyWait
}

// holdEarly holds a packet that arrived before the first view, or drops and counts it if the
// view has expired since.
func (d *Dispatcher) holdEarly(now time.Time, header *datagram.Header, body []byte) {
	packet, err := d.Format.Parse(body)
	if err != nil {
		d.Counters.Add("drop_malformed", 1)
		return
	}
	d.Mutex.Lock()
	held := d.HeldPackets.early.Add(now, packet, func() heldPacket { return copyPacket(header, body, ownership.Evidence{}) })
	d.Mutex.Unlock()
	if !held {
		d.Counters.Add("drop_view_expired", 1)
		return
	}
	d.HeldPackets.notify()
}

// releaseEarly processes the packets that arrived before the first view as soon as there is
// one. Until then it drops those that have been held for too long. It reports whether packets
// still wait.
func (d *Dispatcher) releaseEarly() bool {
	now := clock.Now()
	d.Mutex.Lock()
	early := d.HeldPackets.early
	if early.IsEmpty() {
		d.Mutex.Unlock()
		return false
	}
	if !d.Node.IsValid(now) {
		expired := early.Sweep(now)
		d.Mutex.Unlock()
		d.Counters.Add("drop_view_expired", expired)
		return true
	}
	packets := early.Release(now)
	d.Mutex.Unlock()
	for i := range packets {
		d.Dispatch(now, &packets[i].header, packets[i].body, d.Core.Receive)
	}
	d.Delivery.Flush()
	return false
}

// RunLookups processes held packets until ctx is done: it sends ownership queries for their
// flows, ends lookups that time out, and waits for views. One goroutine of an agent runs it.
func (d *Dispatcher) RunLookups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.HeldPackets.wake:
		}
		for d.processHeld(ctx) {
		}
	}
}

// processHeld processes the held packets that need not wait any more, and then waits until
// others may be due. It reports false if none waits or ctx is done.
func (d *Dispatcher) processHeld(ctx context.Context) bool {
	awaitsView := d.releaseHeld()
	now := clock.Now()
	d.Mutex.Lock()
	due, pending := d.Core.NextLookupTime(now)
	d.Mutex.Unlock()
	if awaitsView && (!pending || due.After(now.Add(viewPollInterval))) {
		due = now.Add(viewPollInterval)
	}
	if !pending && !awaitsView || !d.sleep(ctx, due.Sub(now)) {
		return false
	}
	d.runLookupRound(clock.Now())
	return true
}

// runLookupRound sends the queries and polls that are due and ends the lookups and polls that have
// timed out.
func (d *Dispatcher) runLookupRound(now time.Time) {
	d.Mutex.Lock()
	queries := d.Core.OwnershipQueries(now)
	results := append(d.Core.ExpireLookups(now), d.Core.ExpirePolls(now)...)
	d.Mutex.Unlock()
	for i := range queries {
		d.sendOwnershipQuery(&queries[i])
	}
	d.sendPolls(now)
	d.resume(now, results)
	d.Delivery.Flush()
}

// probe probes agents that have not answered.
func (d *Dispatcher) probe(agents []fleet.InstanceID) {
	for _, id := range agents {
		d.Node.ProbeNow(id)
	}
}

// sleep waits for a duration, or until a packet is held: it may be due earlier than the others,
// as when a lookup without an owner is followed by a poll. It reports false as soon as ctx is done.
func (d *Dispatcher) sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-d.HeldPackets.wake:
		return true
	case <-timer.C:
		return true
	}
}

func (d *Dispatcher) sendOwnershipQuery(query *core.OwnershipQuery) {
	flows := make([]byte, 0, len(query.Flows)*len(flow.ID{}))
	for _, id := range query.Flows {
		flows = append(flows, id[:]...)
	}
	header := d.Node.Header(datagram.OwnershipQuery, query.Target.ID(), query.Target.Incarnation())
	header.Reply = datagram.PackEndpoint(d.Node.Data())
	d.sendControl(&header, ownershipQuery{Round: query.Round, Flows: flows}, query.Target.Data())
}

// handleOwnershipQuery replies to a query with the flows that this agent owns. A query that
// cannot be decoded or names no reply endpoint is dropped and counted.
func (d *Dispatcher) handleOwnershipQuery(header *datagram.Header, body []byte) {
	var query ownershipQuery
	to, known := datagram.UnpackEndpoint(header.Reply)
	if err := cbor.Unmarshal(body, &query); err != nil || !known || len(query.Flows)%len(flow.ID{}) != 0 {
		d.Counters.Add("drop_undecodable", 1)
		return
	}
	var flows []flow.ID
	for at := 0; at < len(query.Flows); at += len(flow.ID{}) {
		flows = append(flows, flow.ID(query.Flows[at:]))
	}
	d.Mutex.Lock()
	reply := d.Core.AnswerOwnershipQuery(clock.Now(), query.Round, flows)
	d.Mutex.Unlock()
	replyHeader := d.Node.Header(datagram.OwnershipReply, fleet.InstanceID(header.From), header.FromIncarnation)
	d.sendControl(&replyHeader, reply, to)
}

// senderProcess returns the process that sent a datagram.
func senderProcess(header *datagram.Header) fleet.Process {
	return fleet.Process{ID: fleet.InstanceID(header.From), Incarnation: header.FromIncarnation}
}

// handleOwnershipReply processes another agent's reply to an ownership query, and resumes
// the packets of the flows whose lookups it ends. A reply that cannot be decoded is dropped
// and counted.
func (d *Dispatcher) handleOwnershipReply(header *datagram.Header, body []byte) {
	var reply core.OwnershipReply
	if err := cbor.Unmarshal(body, &reply); err != nil {
		d.Counters.Add("drop_undecodable", 1)
		return
	}
	d.Mutex.Lock()
	now := clock.Now()
	results := d.Core.HandleOwnershipReply(now, senderProcess(header), reply)
	d.Mutex.Unlock()
	d.resume(now, results)
}

// packetsToResume returns the held packets of a flow that need something more after its lookup or
// poll: none if the poll was given up, and if the owner was found by a poll those that it has not
// got.
func (d *Dispatcher) packetsToResume(result *core.LookupResult, packets []heldPacket) []heldPacket {
	switch {
	case result.GivenUp:
		d.recordGivenUp(result.Flow, len(packets))
		return nil
	case result.Claimed && result.Owner == nil:
		return nil
	case result.Claimed:
		return slices.DeleteFunc(packets, func(packet heldPacket) bool { return packet.polled })
	}
	return packets
}

// recordGivenUp logs and counts that the held packets of a flow are dropped because a poll was given
// up.
func (d *Dispatcher) recordGivenUp(id flow.ID, packets int) {
	d.Counters.Add(string(core.DropPollUnanswered), packets)
	d.Decisions.Record(operator.Decision{
		Event:    "drop",
		Flow:     id,
		Reason:   string(core.DropPollUnanswered),
		Revision: d.Node.Revisions().Highest(),
		Age:      d.Node.Age(clock.Now()),
	})
}

// resume processes the held packets of flows whose lookups or polls have ended. They are dropped
// and counted if the view has expired meanwhile. Otherwise a packet is forwarded to the flow's
// owner. If none was found, the core decides again, and agents that have answered count as visited.
// Agents that gave no answer are probed at once.
func (d *Dispatcher) resume(now time.Time, results []core.LookupResult) {
	for i := range results {
		result := &results[i]
		d.Mutex.Lock()
		packets := d.HeldPackets.byFlow[result.Flow]
		delete(d.HeldPackets.byFlow, result.Flow)
		d.Mutex.Unlock()
		d.probe(result.Silent)
		packets = d.packetsToResume(result, packets)
		if !d.Node.IsValid(now) {
			d.Counters.Add("drop_view_expired", len(packets))
			continue
		}
		for j := range packets {
			header := &packets[j].header
			header.Flags |= datagram.LookedUp
			for _, id := range result.Answered() {
				header.Visited = append(header.Visited, uint64(id))
			}
			evidence := packets[j].evidence.With(result.DeniedBy, result.SilentServers)
			d.Dispatch(now, header, packets[j].body, func(now time.Time, received *core.ReceivedPacket) core.Action {
				if result.Owner != nil {
					return d.Core.ForwardToOwner(result.Owner)
				}
				received.Evidence = evidence
				return d.Core.ResumeAfterLookup(now, received)
			})
		}
	}
}
