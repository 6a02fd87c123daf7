package agent

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/link/clock"
)

// expiryInterval is the period at which waits for slots and request deadlines are checked.
const expiryInterval = 50 * time.Millisecond

// slotQueue holds the channels on which goroutines wait for a slot of the backend server, and
// wakes the goroutines in the order in which the core's admission admits their requests. Its
// methods are called with the agent's mutex held.
type slotQueue struct {
	admission *core.Admission
	// waiters holds the channel on which each waiting request receives its outcome.
	waiters map[core.Ticket]chan core.WaitOutcome
	// withDeadline holds the requests whose deadline is checked: those that hold a slot, and
	// the expected first requests of new flows.
	withDeadline map[*request]bool
}

func newSlotQueue(admission *core.Admission) *slotQueue {
	return &slotQueue{admission: admission, waiters: make(map[core.Ticket]chan core.WaitOutcome), withDeadline: make(map[*request]bool)}
}

// requestsWithDeadline returns a copy of withDeadline, which can be used without the mutex.
func (q *slotQueue) requestsWithDeadline() []*request {
	return slices.Collect(maps.Keys(q.withDeadline))
}

// notifyAdmitted wakes the requests that can be admitted now, and the new flows that need
// no slot any more.
func (q *slotQueue) notifyAdmitted(now time.Time) {
	for _, ticket := range q.admission.AdmitQueued(now) {
		q.notify(ticket, core.Admitted{HasSlot: true})
	}
	for _, ticket := range q.admission.ReleaseNewFlows() {
		q.notify(ticket, core.Admitted{})
	}
}

// notifyExpired wakes the requests whose wait has run out.
func (q *slotQueue) notifyExpired(now time.Time) {
	for _, ticket := range q.admission.RemoveExpired(now) {
		q.notify(ticket, core.Expired{})
	}
}

// notify sends the outcome to the request with a ticket and removes it from the waiters.
func (q *slotQueue) notify(ticket core.Ticket, outcome core.WaitOutcome) {
	q.waiters[ticket] <- outcome
	delete(q.waiters, ticket)
}

// admit waits until a request of a member may go to the backend server and returns the
// outcome. A new flow is admitted without a slot while most new flows send nothing at
// once. A new flow that finds the queue full counts as expired at once.
func (a *Agent) admit(member netip.Addr, waitPolicy core.WaitPolicy) core.WaitOutcome {
	a.mu.Lock()
	if waitPolicy != core.UnlimitedWait && !a.slotQueue.admission.NewFlowsNeedSlots() {
		a.mu.Unlock()
		return core.Admitted{}
	}
	ticket, admitted := a.slotQueue.admission.AdmitOrQueue(clock.Now(), member, waitPolicy)
	if admitted {
		a.mu.Unlock()
		return core.Admitted{HasSlot: true}
	}
	if ticket == 0 {
		a.mu.Unlock()
		return core.Expired{}
	}
	outcome := make(chan core.WaitOutcome, 1)
	a.slotQueue.waiters[ticket] = outcome
	a.mu.Unlock()
	a.counters.Add("requests_waited", 1)
	a.signalLoadChange()
	return <-outcome
}

// signalLoadChange wakes the reporter. It does nothing if a wake-up is already pending.
func (a *Agent) signalLoadChange() {
	select {
	case a.loadChanged <- struct{}{}:
	default:
	}
}

// requestState is the state of a flow's request at the backend server.
type requestState uint8

const (
	// requestIdle means that no request is running and none is expected.
	requestIdle requestState = iota
	// requestReserved means that a slot is held for the first request of a new flow.
	requestReserved
	// requestExpected means that a new flow holds no slot and has sent no request yet.
	requestExpected
	// requestRunning means that the request holds a slot and has no answer yet.
	requestRunning
	// requestStreaming means that the request was not answered by its deadline. It counts
	// as a stream that holds no slot.
	requestStreaming
)

// firstRequestTimeout is how long a slot is held for the first request of a new flow. A
// first request within this time counts as immediate.
const firstRequestTimeout = 100 * time.Millisecond

// request is the state of one flow's current request and of the slot that it holds. Its
// mutex is locked before the agent's.
type request struct {
	agent  *Agent
	member netip.Addr

	mu        sync.Mutex
	state     requestState
	startedAt time.Time
	// deadline is the time after which expire ends the state. It applies to
	// requestReserved, requestExpected and requestRunning.
	deadline time.Time
}

// recordAdmission records that a new flow was admitted. hasSlot reports whether it holds a
// slot for its first request.
func (r *request) recordAdmission(now time.Time, hasSlot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = requestExpected
	if hasSlot {
		r.state = requestReserved
	}
	r.startedAt = now
	r.deadline = now.Add(firstRequestTimeout)
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.agent.slotQueue.withDeadline[r] = true
}

// handleCallerData is called before bytes of the caller go to the backend server. It waits
// for a slot if the bytes start a request and the flow holds no slot.
func (r *request) handleCallerData() {
	r.mu.Lock()
	state := r.state
	if state == requestReserved || state == requestExpected {
		r.recordImmediateRequest(true)
	}
	if state == requestReserved {
		r.markRunning(clock.Now())
	}
	r.mu.Unlock()
	if state != requestIdle && state != requestExpected {
		return
	}
	r.agent.admit(r.member, core.UnlimitedWait)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markRunning(clock.Now())
}

// recordImmediateRequest records whether a new flow sent its first request within
// firstRequestTimeout.
func (r *request) recordImmediateRequest(immediate bool) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	delete(r.agent.slotQueue.withDeadline, r)
	r.agent.slotQueue.admission.RecordImmediateRequest(immediate)
}

// markRunning records that the request starts to use its slot. It is called with the
// request's mutex held.
func (r *request) markRunning(now time.Time) {
	r.state = requestRunning
	r.startedAt = now
	r.agent.mu.Lock()
	r.agent.slotQueue.withDeadline[r] = true
	r.deadline = r.agent.load.SlotDeadline(now)
	r.agent.mu.Unlock()
}

// isUnanswered reports whether a request is running that the backend server has not begun
// to answer.
func (r *request) isUnanswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == requestRunning
}

// recordAnswer records bytes from the backend server. The first bytes of an answer release
// the slot and give the service time.
func (r *request) recordAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == requestRunning {
		now := clock.Now()
		r.agent.mu.Lock()
		delete(r.agent.slotQueue.withDeadline, r)
		r.agent.slotQueue.admission.Complete(now, r.member, now.Sub(r.startedAt))
		r.agent.slotQueue.notifyAdmitted(now)
		r.agent.mu.Unlock()
		r.agent.signalLoadChange()
	}
	if r.state == requestRunning || r.state == requestStreaming {
		r.state = requestIdle
	}
}

// end releases the slot of a flow that has ended.
func (r *request) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(requestIdle)
}

// expire releases the slot of a request that has passed its deadline.
func (r *request) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.deadline) {
		return
	}
	switch r.state {
	case requestReserved, requestExpected:
		r.recordImmediateRequest(false)
		r.release(requestIdle)
	case requestRunning:
		r.release(requestStreaming)
	}
}

// release releases the slot without an answer, if the request holds one, and sets the next
// state. It is called with the request's mutex held.
func (r *request) release(next requestState) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	delete(r.agent.slotQueue.withDeadline, r)
	if r.state == requestReserved || r.state == requestRunning {
		now := clock.Now()
		r.agent.slotQueue.admission.Cancel(now, r.member)
		r.agent.slotQueue.notifyAdmitted(now)
	}
	r.state = next
}
