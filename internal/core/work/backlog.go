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
	// inTransit holds the requests of which bytes are still to come. transitWork and
	// transitSlots are the sums of their expected work and of their shares.
	inTransit    map[RequestID]transitRequest
	transitWork  time.Duration
	transitSlots float64
	// received holds the requests that the server has received, in order. The first ones, one
	// for each slot, run.
	received []receivedRequest
}

// transitRequest is a request of which bytes are still to come.
type transitRequest struct {
	// work is the part of the expected work that counts, which is a share of it.
	work  time.Duration
	share float64
}

// receivedRequest is a request that the server has received.
type receivedRequest struct {
	id       RequestID
	estimate *Estimate
	// startedAt is when the request got a slot, or zero if it is queued.
	startedAt time.Time
}

// NewBacklog returns the empty backlog of a server with a number of slots, at least one.
func NewBacklog(slots int) *Backlog {
	return &Backlog{slots: max(slots, 1), inTransit: make(map[RequestID]transitRequest)}
}

// SetSlots sets the number of requests that the server runs at once, at least one.
func (b *Backlog) SetSlots(now time.Time, slots int) {
	b.slots = max(slots, 1)
	b.startQueued(now)
}

// Expect adds a request of which bytes are still to come. share is the share of its work that
// counts until then.
func (b *Backlog) Expect(id RequestID, estimate *Estimate, share float64) {
	b.removeTransit(id)
	expected := transitRequest{work: time.Duration(share * float64(estimate.Mean())), share: share}
	b.inTransit[id] = expected
	b.transitWork += expected.work
	b.transitSlots += expected.share
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
	expected := b.inTransit[id]
	delete(b.inTransit, id)
	b.transitWork -= expected.work
	b.transitSlots -= expected.share
	if len(b.inTransit) == 0 {
		b.transitSlots = 0 // Sums of fractions do not return to zero exactly.
	}
}

// startQueued gives the free slots to the requests that were received first.
func (b *Backlog) startQueued(now time.Time) {
	for i := range b.received[:min(b.slots, len(b.received))] {
		if b.received[i].startedAt.IsZero() {
			b.received[i].startedAt = now
		}
	}
}

// stackSlots is the number of slots up to which Wait allocates no memory.
const stackSlots = 32

// Wait returns how long a request that arrives now is expected to wait for a slot. It is zero while
// a slot is free, whatever the requests that run still need. Requests in transit go first.
func (b *Backlog) Wait(now time.Time) time.Duration {
	if float64(len(b.received))+b.transitSlots < float64(b.slots) {
		return 0
	}
	var buffer [stackSlots]time.Duration
	freeIn := buffer[:0]
	for i := range b.received {
		if r := &b.received[i]; !r.startedAt.IsZero() {
			freeIn = append(freeIn, r.estimate.Rest(now.Sub(r.startedAt)))
		}
	}
	for len(freeIn) < b.slots {
		freeIn = append(freeIn, 0)
	}
	for i := range b.received {
		if r := &b.received[i]; r.startedAt.IsZero() {
			occupyNext(freeIn, r.estimate.Mean())
		}
	}
	for range b.inTransit {
		occupyNext(freeIn, b.transitWork/time.Duration(len(b.inTransit)))
	}
	return slices.Min(freeIn)
}

// occupyNext lets a request occupy the slot that is free first.
func occupyNext(freeIn []time.Duration, serviceTime time.Duration) {
	next := 0
	for i := range freeIn {
		if freeIn[i] < freeIn[next] {
			next = i
		}
	}
	freeIn[next] += serviceTime
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
