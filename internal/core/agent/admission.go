package agent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// maxWait bounds how long a request waits for a slot.
const maxWait = 800 * time.Millisecond

// WaitPolicy says how long a request may wait.
type WaitPolicy uint8

const (
	// BoundedWait is for a new flow, which can be handed on or refused.
	BoundedWait WaitPolicy = iota
	// BoundedLocalWait is for a new flow that another agent has handed to this one: it
	// is not handed on because a third has room.
	BoundedLocalWait
	// UnlimitedWait is for a request on an established flow, which can be neither.
	UnlimitedWait
)

// maxQueueLength bounds the requests that wait.
const maxQueueLength = 4096

// Ticket identifies a request that waits for a slot.
type Ticket uint64

// queuedRequest is a request in line.
type queuedRequest struct {
	ticket   Ticket
	member   netip.Addr
	policy WaitPolicy
	// deadline is zero for a request that may wait without limit.
	deadline time.Time
}

// WaitOutcome is how a wait for a slot ended: one of Admitted, Expired and
// Surrendered.
type WaitOutcome interface{ isWaitOutcome() }

// Admitted means that the flow may open. HasSlot reports whether it holds a slot
// for its first request.
type Admitted struct{ HasSlot bool }

// Expired means that the wait ran out.
type Expired struct{}

// HandedOver means that a sibling has room for the request.
type HandedOver struct{ To fleet.InstanceID }

func (Admitted) isWaitOutcome()   {}
func (Expired) isWaitOutcome()    {}
func (HandedOver) isWaitOutcome() {}

// Admission hands the slots of a backend server out to members: a free slot goes
// to the waiting member that has the fewest requests running, which is max-min
// fair, and among equals to the one that has waited longest.
type Admission struct {
	load    *Load
	queue   []queuedRequest
	running map[netip.Addr]int
	lastTicket    Ticket
	// immediateShare is the average share of new flows that send a request at once.
	immediateShare float64
}

// NewAdmission returns an admission over a backend server's load.
func NewAdmission(load *Load) *Admission {
	return &Admission{load: load, running: make(map[netip.Addr]int), immediateShare: 1}
}

const (
	// immediateShareGain is the weight of one flow in the average promptness.
	immediateShareGain = 0.2
	// minImmediateShare is the average under which new flows hold no slot.
	minImmediateShare = 0.5
)

// RecordImmediateRequest records whether a new flow sent a request at once.
func (a *Admission) RecordImmediateRequest(prompt bool) {
	sample := 0.0
	if prompt {
		sample = 1
	}
	a.immediateShare += immediateShareGain * (sample - a.immediateShare)
}

// NewFlowsNeedSlots reports whether a new flow needs a slot to open. It does not while
// most new flows stay idle: their requests, if any, wait for slots later.
func (a *Admission) NewFlowsNeedSlots() bool { return a.immediateShare >= minImmediateShare }

// ReleaseNewFlows removes the new flows in line and returns their tickets, if new
// flows need no slot.
func (a *Admission) ReleaseNewFlows() []Ticket {
	if a.NewFlowsNeedSlots() {
		return nil
	}
	var released []Ticket
	a.queue = slices.DeleteFunc(a.queue, func(w queuedRequest) bool {
		if w.policy == UnlimitedWait {
			return false
		}
		released = append(released, w.ticket)
		return true
	})
	return released
}

// QueueLength returns the number of requests in line.
func (a *Admission) QueueLength() int { return len(a.queue) }

// HasFreeSlot reports whether a request would be admitted at once.
func (a *Admission) HasFreeSlot() bool { return len(a.queue) == 0 && a.load.HasFreeSlot() }

// AdmitOrQueue admits a request of a member or puts it in line. It reports false with no
// ticket if the line is full.
func (a *Admission) AdmitOrQueue(now time.Time, member netip.Addr, patience WaitPolicy) (ticket Ticket, admitted bool) {
	if a.HasFreeSlot() {
		a.admit(now, member)
		return 0, true
	}
	if patience != UnlimitedWait && len(a.queue) >= maxQueueLength {
		return 0, false
	}
	a.lastTicket++
	w := queuedRequest{ticket: a.lastTicket, member: member, policy: patience}
	if patience != UnlimitedWait {
		w.deadline = now.Add(maxWait)
	}
	a.queue = append(a.queue, w)
	return a.lastTicket, false
}

func (a *Admission) admit(now time.Time, member netip.Addr) {
	a.running[member]++
	a.load.start(now)
}

// Complete releases a slot after an answer.
func (a *Admission) Complete(now time.Time, member netip.Addr, latency time.Duration) {
	a.removeRunning(member)
	a.load.finish(now, latency)
}

// Cancel releases a slot without an answer.
func (a *Admission) Cancel(now time.Time, member netip.Addr) {
	a.removeRunning(member)
	a.load.cancel(now)
}

func (a *Admission) removeRunning(member netip.Addr) {
	if a.running[member] <= 1 {
		delete(a.running, member)
		return
	}
	a.running[member]--
}

// AdmitQueued admits requests in line while there is room and returns their tickets.
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

func (a *Admission) fairestIndex() int {
	best := 0
	for i := range a.queue {
		if a.running[a.queue[i].member] < a.running[a.queue[best].member] {
			best = i
		}
	}
	return best
}

// HandOver removes up to count requests that have waited longest and returns
// their tickets, so that they can be handed to another agent.
func (a *Admission) HandOver(count int) []Ticket {
	var surrendered []Ticket
	a.queue = slices.DeleteFunc(a.queue, func(w queuedRequest) bool {
		if w.policy != BoundedWait || len(surrendered) >= count {
			return false
		}
		surrendered = append(surrendered, w.ticket)
		return true
	})
	return surrendered
}

// RemoveExpired removes the requests whose wait has run out and returns their tickets.
func (a *Admission) RemoveExpired(now time.Time) []Ticket {
	var expired []Ticket
	a.queue = slices.DeleteFunc(a.queue, func(w queuedRequest) bool {
		if w.deadline.IsZero() || now.Before(w.deadline) {
			return false
		}
		expired = append(expired, w.ticket)
		return true
	})
	return expired
}
