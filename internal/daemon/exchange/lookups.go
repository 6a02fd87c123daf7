package exchange

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// maxHeldPerFlow bounds the packets of one flow that wait for its lookup.
const maxHeldPerFlow = 8

// heldPacket is a packet that waits for the lookup of its flow.
type heldPacket struct {
	header datagram.Header
	body   []byte
}

// HeldPackets holds the packets whose flows are looked up, for all dispatchers of an agent.
type HeldPackets struct {
	// byFlow is guarded by the core's mutex.
	byFlow map[flow.ID][]heldPacket
	wake   chan struct{}
}

// NewHeldPackets returns an empty store.
func NewHeldPackets() *HeldPackets {
	return &HeldPackets{byFlow: make(map[flow.ID][]heldPacket), wake: make(chan struct{}, 1)}
}

// add keeps a copy of a packet. It reports false if too many wait. It is called with the
// core's mutex held.
func (l *HeldPackets) add(header *datagram.Header, packet flow.Packet) bool {
	waiting := l.byFlow[packet.Flow()]
	if len(waiting) >= maxHeldPerFlow {
		return false
	}
	kept := heldPacket{header: *header, body: bytes.Clone(packet.Bytes())}
	kept.header.Visited = append([]uint64(nil), header.Visited...)
	l.byFlow[packet.Flow()] = append(waiting, kept)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// ownershipQuery is the body of a datagram that asks who owns flows.
type ownershipQuery struct {
	_     struct{} `cbor:",toarray"`
	Round uint32
	// Flows holds the IDs one after the other.
	Flows []byte
}

// RunLookups sends questions about flows and ends lookups that take too long, until ctx is
// done.
func (d *Dispatcher) RunLookups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.HeldPackets.wake:
		}
		for d.runLookupRound(ctx) {
		}
	}
}

// runLookupRound waits until something is due and does it. It reports false if nothing is.
func (d *Dispatcher) runLookupRound(ctx context.Context) bool {
	d.Mutex.Lock()
	due, pending := d.Core.NextLookupTime(clock.Now())
	d.Mutex.Unlock()
	if !pending {
		return false
	}
	timer := time.NewTimer(due.Sub(clock.Now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	now := clock.Now()
	d.Mutex.Lock()
	questions := d.Core.OwnershipQueries(now)
	resolutions := d.Core.ExpireLookups(now)
	d.Mutex.Unlock()
	for i := range questions {
		d.sendOwnershipQuery(&questions[i])
	}
	d.resume(now, resolutions)
	d.Delivery.Flush()
	return true
}

func (d *Dispatcher) sendOwnershipQuery(q *core.OwnershipQuery) {
	flows := make([]byte, 0, len(q.Flows)*len(flow.ID{}))
	for _, id := range q.Flows {
		flows = append(flows, id[:]...)
	}
	header := d.Node.Header(datagram.Ask, q.Target.ID(), q.Target.Incarnation())
	header.Reply = datagram.PackEndpoint(d.Node.Data())
	d.sendControl(&header, ownershipQuery{Round: q.Round, Flows: flows}, q.Target.Data())
}

// handleOwnershipQuery answers which of some flows this agent owns.
func (d *Dispatcher) handleOwnershipQuery(header *datagram.Header, body []byte) {
	var q ownershipQuery
	to, known := datagram.UnpackEndpoint(header.Reply)
	if err := cbor.Unmarshal(body, &q); err != nil || !known || len(q.Flows)%len(flow.ID{}) != 0 {
		d.Counters.Add("drop_undecodable", 1)
		return
	}
	var flows []flow.ID
	for at := 0; at < len(q.Flows); at += len(flow.ID{}) {
		flows = append(flows, flow.ID(q.Flows[at:]))
	}
	d.Mutex.Lock()
	testimony := d.Core.AnswerOwnershipQuery(clock.Now(), q.Round, flows)
	d.Mutex.Unlock()
	answer := d.Node.Header(datagram.Tell, fleet.InstanceID(header.From), header.FromIncarnation)
	d.sendControl(&answer, testimony, to)
}

// handleOwnershipReply takes the answer to a question.
func (d *Dispatcher) handleOwnershipReply(header *datagram.Header, body []byte) {
	var testimony core.OwnershipReply
	if err := cbor.Unmarshal(body, &testimony); err != nil {
		d.Counters.Add("drop_undecodable", 1)
		return
	}
	d.Mutex.Lock()
	now := clock.Now()
	resolutions := d.Core.HandleOwnershipReply(now, fleet.InstanceID(header.From), testimony)
	d.Mutex.Unlock()
	d.resume(now, resolutions)
}

// resume goes on with the packets whose lookups have ended.
func (d *Dispatcher) resume(now time.Time, resolutions []core.LookupResult) {
	for i := range resolutions {
		resolution := &resolutions[i]
		d.Mutex.Lock()
		packets := d.HeldPackets.byFlow[resolution.Flow]
		delete(d.HeldPackets.byFlow, resolution.Flow)
		d.Mutex.Unlock()
		for j := range packets {
			header := &packets[j].header
			header.Flags |= datagram.Asked
			for _, id := range resolution.DeniedBy {
				header.Visited = append(header.Visited, uint64(id))
			}
			d.Dispatch(now, header, packets[j].body, func(now time.Time, arrival *core.ReceivedPacket) core.Action {
				if resolution.Owner != nil {
					return d.Core.ForwardToOwner(resolution.Owner)
				}
				return d.Core.ResumeAfterLookup(now, arrival)
			})
		}
	}
}
