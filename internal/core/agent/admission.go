package agent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// maxWait bounds how long a new flow waits for a slot.
const maxWait = 800 * time.Millisecond

// WaitPolicy determines how long a request may wait for a slot, and whether it may be
// handed over to a sibling meanwhile.
type WaitPolicy uint8

const (
	// BoundedWait is for a new flow. It waits up to maxWait, and can be handed over or
	// refused.
	BoundedWait WaitPolicy = iota
	// BoundedLocalWait is for a new flow that another agent has handed over to this one.
	// It waits up to maxWait, but is not handed over to a third agent that offers a free
	// slot.
	BoundedLocalWait
	// UnlimitedWait is for a request on an established flow, which can be neither handed
	// over nor refused.
	UnlimitedWait
)

// maxQueueLength is the queue length at which no more new flows are queued. Requests on
// established flows are queued all the same.
const maxQueueLength = 4096

// Ticket identifies a request that waits for a slot. Tickets start at 1; 0 is none.
type Ticket uint64

// queuedRequest is a request in the queue for slots.
type queuedRequest struct {
	ticket Ticket
	member netip.Addr
	policy WaitPolicy
	// deadline is zero for a request that may wait without limit.
	deadline time.Time
}

// WaitOutcome is how a wait for a slot ended: one of Admitted, Expired and
// HandedOver.
type WaitOutcome interface{ isWaitOutcome() }

// Admitted means that the flow may open. HasSlot reports whether it holds a slot
// for its first request.
type Admitted struct{ HasSlot bool }

// Expired means that the wait exceeded its limit, or that the queue was full.
type Expired struct{}

// HandedOver means that the request goes to a sibling that has a free slot.
type HandedOver struct{ To fleet.InstanceID }

func (Admitted) isWaitOutcome()   {}
func (Expired) isWaitOutcome()    {}
func (HandedOver) isWaitOutcome() {}

// Admission distributes the slots of a backend server among members: a free slot goes
// to the waiting member that has the fewest requests running, which is max-min
// fair, and among equals to the request that has waited longest.
type Admission struct {
	load *Load
	// queue holds the waiting requests, oldest first.
	queue []queuedRequest
	// running is the number of slots that each member holds.
	running    map[netip.Addr]int
	lastTicket Ticket
	// immediateShare is the moving average of the share of new flows that send a request
	// immediately.
	immediateShare float64
}

// NewAdmission returns an admission that takes slots from a backend server's load.
func NewAdmission(load *Load) *Admission {
	return &Admission{load: load, running: make(map[netip.Addr]int), immediateShare: 1}
}

const (
	// immediateShareGain is the weight of one flow in the average of immediateShare.
	immediateShareGain = 0.2
	// minImmediateShare is the average below which new flows open without a slot.
	minImmediateShare = 0.5
)

// RecordImmediateRequest records whether a new flow sent a request immediately after it
// opened.
func (a *Admission) RecordImmediateRequest(immediate bool) {
	sample := 0.0
	if immediate {
		sample = 1
	}
	a.immediateShare += immediateShareGain * (sample - a.immediateShare)
}

// NewFlowsNeedSlots reports whether a new flow needs a slot to open. It does not while
// most new flows stay idle: their requests, if any, wait for slots later.
func (a *Admission) NewFlowsNeedSlots() bool { return a.immediateShare >= minImmediateShare }

// ReleaseNewFlows removes the new flows from the queue and returns their tickets, so that
// they can open without a slot. It returns nil while new flows need slots.
func (a *Admission) ReleaseNewFlows() []Ticket {
	if a.NewFlowsNeedSlots() {
		return nil
	}
	var released []Ticket
	a.queue = slices.DeleteFunc(a.queue, func(r queuedRequest) bool {
		if r.policy == UnlimitedWait {
			return false
		}
		released = append(released, r.ticket)
		return true
	})
	return released
}

// QueueLength returns the number of requests that wait for a slot.
func (a *Admission) QueueLength() int { return len(a.queue) }

// HasFreeSlot reports whether a request would be admitted at once.
func (a *Admission) HasFreeSlot() bool { return len(a.queue) == 0 && a.load.HasFreeSlot() }

// AdmitOrQueue admits a request of a member, or else queues it and returns its ticket. It
// returns ticket 0 and false if a new flow finds the queue full.
func (a *Admission) AdmitOrQueue(now time.Time, member netip.Addr, policy WaitPolicy) (ticket Ticket, admitted bool) {
	if a.HasFreeSlot() {
		a.admit(now, member)
		return 0, true
	}
	if policy != UnlimitedWait && len(a.queue) >= maxQueueLength {
		return 0, false
	}
	a.lastTicket++
	r := queuedRequest{ticket: a.lastTicket, member: member, policy: policy}
	if policy != UnlimitedWait {
		r.deadline = now.Add(maxWait)
	}
	a.queue = append(a.queue, r)
	return a.lastTicket, false
}

func (a *Admission) admit(now time.Time, member netip.Addr) {
	a.running[member]++
	a.load.start(now)
}

// Complete frees the slot of a request that was answered after a latency.
func (a *Admission) Complete(now time.Time, member netip.Addr, latency time.Duration) {
	a.removeRunning(member)
	a.load.finish(now, latency)
}

// Cancel frees the slot of a request that ended without an answer.
func (a *Admission) Cancel(now time.Time, member netip.Addr) {
	a.removeRunning(member)
	a.load.cancel(now)
}

// removeRunning subtracts a slot from those that a member holds.
func (a *Admission) removeRunning(member netip.Addr) {
	if a.running[member] <= 1 {
		delete(a.running, member)
		return
	}
	a.running[member]--
}

// AdmitQueued admits requests from the queue while slots are free and returns their
// tickets.
func (a *Admission) AdmitQueued(now time.Time) []Ticket {
	var admitted []Ticket
	for len(a.queue) > 0 && a.load.HasFreeSlot() {
		i := a.fairestIndex()
		admitted = append(admitted, a.queue[i].ticket)
		a.admit(now, a.queue[i].member)
		a.queue = slices.Delete(a.queue, i, i+1)
	}
	return admitted
}

// fairestIndex returns the position in the queue of the request that gets the next slot.
// The queue must not be empty.
func (a *Admission) fairestIndex() int {
	best := 0
	for i := range a.queue {
		if a.running[a.queue[i].member] < a.running[a.queue[best].member] {
			best = i
		}
	}
	return best
}

// HandOver removes up to count new flows from the queue, those that have waited longest,
// and returns their tickets. The caller hands them over to a sibling. Flows that were
// handed over to this agent stay.
func (a *Admission) HandOver(count int) []Ticket {
	var handedOver []Ticket
	a.queue = slices.DeleteFunc(a.queue, func(r queuedRequest) bool {
		if r.policy != BoundedWait || len(handedOver) >= count {
			return false
		}
		handedOver = append(handedOver, r.ticket)
		return true
	})
	return handedOver
}

// RemoveExpired removes the requests whose wait has exceeded its limit and returns their
// tickets.
func (a *Admission) RemoveExpired(now time.Time) []Ticket {
	var expired []Ticket
	a.queue = slices.DeleteFunc(a.queue, func(r queuedRequest) bool {
		if r.deadline.IsZero() || now.Before(r.deadline) {
			return false
		}
		expired = append(expired, r.ticket)
		return true
	})
	return expired
}
