package work

import (
	"slices"
	"time"
)

// RequestID identifies a request in a Backlog.
type RequestID uint64

// Backlog holds the requests at one server, or on their way to it, that are not answered. The
// server is taken to serve requests in the order of their arrival.
type Backlog struct {
	// slots is the number of requests that the server runs at once.
	slots int
	// inTransit holds the expected work of the requests of which bytes are still to come, and
	// transitWork its sum.
	inTransit   map[RequestID]time.Duration
	transitWork time.Duration
	// received holds the requests that the server has received, in order. The first ones, one
	// for each slot, run.
	received []receivedRequest
}

// receivedRequest is a request that the server has received.
type receivedRequest struct {
	id       RequestID
	estimate *Estimate
	// startedAt is when the request got a slot, or zero if it is queued.
	startedAt time.Time
}

// NewBacklog returns the empty backlog of a server.
func NewBacklog(slots int) *Backlog {
	return &Backlog{slots: slots, inTransit: make(map[RequestID]time.Duration)}
}

// SetSlots sets the number of requests that the server runs at once.
func (b *Backlog) SetSlots(now time.Time, slots int) {
	b.slots = slots
	b.startQueued(now)
}

// Expect adds a request of which bytes are still to come. share is the share of its work that
// counts until then.
func (b *Backlog) Expect(id RequestID, estimate *Estimate, share float64) {
	b.removeTransit(id)
	expected := time.Duration(share * float64(estimate.Mean()))
	b.inTransit[id] = expected
	b.transitWork += expected
}

// Receive records that the server has received all bytes of a request.
func (b *Backlog) Receive(now time.Time, id RequestID, estimate *Estimate) {
	b.removeTransit(id)
	b.received = append(b.received, receivedRequest{id: id, estimate: estimate})
	b.startQueued(now)
}

// End removes a request. It returns when the request got a slot, and reports false if it got
// none or is not known.
func (b *Backlog) End(now time.Time, id RequestID) (startedAt time.Time, started bool) {
	b.removeTransit(id)
	index := slices.IndexFunc(b.received, func(r receivedRequest) bool { return r.id == id })
	if index < 0 {
		return time.Time{}, false
	}
	startedAt = b.received[index].startedAt
	b.received = slices.Delete(b.received, index, index+1)
	b.startQueued(now)
	return startedAt, !startedAt.IsZero()
}

// removeTransit removes a request from those in transit.
func (b *Backlog) removeTransit(id RequestID) {
	b.transitWork -= b.inTransit[id]
	delete(b.inTransit, id)
}

// startQueued gives the free slots to the requests that were received first.
func (b *Backlog) startQueued(now time.Time) {
	for i := range b.received[:min(b.slots, len(b.received))] {
		if b.received[i].startedAt.IsZero() {
			b.received[i].startedAt = now
		}
	}
}

// Left returns the expected remaining work, in slot-time.
func (b *Backlog) Left(now time.Time) time.Duration {
	left := b.transitWork
	for i := range b.received {
		r := &b.received[i]
		if r.startedAt.IsZero() {
			left += r.estimate.Mean()
		} else {
			left += r.estimate.Rest(now.Sub(r.startedAt))
		}
	}
	return left
}
