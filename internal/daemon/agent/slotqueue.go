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

// expiryInterval is how often waits are checked for their end.
const expiryInterval = 50 * time.Millisecond

// slotQueue lets requests through to the backend server in the order that the core's
// admission decides. Its methods are called with the agent's mutex held.
type slotQueue struct {
	admission *core.Admission
	waiters   map[core.Ticket]chan core.WaitOutcome
	// withDeadline are the requests that hold a slot.
	withDeadline map[*request]bool
}

func newSlotQueue(admission *core.Admission) *slotQueue {
	return &slotQueue{admission: admission, waiters: make(map[core.Ticket]chan core.WaitOutcome), withDeadline: make(map[*request]bool)}
}

func (g *slotQueue) requestsWithDeadline() []*request {
	return slices.Collect(maps.Keys(g.withDeadline))
}

// notifyAdmitted tells the requests that have been admitted.
func (g *slotQueue) notifyAdmitted(now time.Time) {
	for _, ticket := range g.admission.AdmitQueued(now) {
		g.notify(ticket, core.Admitted{HasSlot: true})
	}
	for _, ticket := range g.admission.ReleaseNewFlows() {
		g.notify(ticket, core.Admitted{})
	}
}

// notifyExpired tells the requests whose wait has run out.
func (g *slotQueue) notifyExpired(now time.Time) {
	for _, ticket := range g.admission.RemoveExpired(now) {
		g.notify(ticket, core.Expired{})
	}
}

func (g *slotQueue) notify(ticket core.Ticket, o core.WaitOutcome) {
	g.waiters[ticket] <- o
	delete(g.waiters, ticket)
}

// admit waits for a slot for a request of a member.
func (a *Agent) admit(member netip.Addr, patience core.WaitPolicy) core.WaitOutcome {
	a.mu.Lock()
	if patience != core.UnlimitedWait && !a.slotQueue.admission.NewFlowsNeedSlots() {
		a.mu.Unlock()
		return core.Admitted{}
	}
	ticket, admitted := a.slotQueue.admission.AdmitOrQueue(clock.Now(), member, patience)
	if admitted {
		a.mu.Unlock()
		return core.Admitted{HasSlot: true}
	}
	if ticket == 0 {
		a.mu.Unlock()
		return core.Expired{}
	}
	answer := make(chan core.WaitOutcome, 1)
	a.slotQueue.waiters[ticket] = answer
	a.mu.Unlock()
	a.counters.Add("requests_waited", 1)
	a.signalLoadChange()
	return <-answer
}

// signalLoadChange wakes the reporter.
func (a *Agent) signalLoadChange() {
	select {
	case a.loadChanged <- struct{}{}:
	default:
	}
}

// requestState is what a flow has at the backend server.
type requestState uint8

const (
	// requestIdle means that no request is under way.
	requestIdle requestState = iota
	// requestReserved means that a slot is held for the first request of a flow.
	requestReserved
	// requestExpected means that a flow is new and holds no slot.
	requestExpected
	// requestRunning means that the backend server owes an answer.
	requestRunning
	// requestStreaming means that the flow has held a slot for so long without an
	// answer that it does not count as a request any more.
	requestStreaming
)

// firstRequestTimeout is how long a slot is held for the first request of a new flow.
const firstRequestTimeout = 100 * time.Millisecond

// request is the state of one flow's request.
type request struct {
	agent  *Agent
	member netip.Addr

	mu        sync.Mutex
	state     requestState
	startedAt time.Time
	deadline time.Time
}

// recordAdmission records that the flow was admitted, with a slot for its first request or
// without.
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

// handleCallerData waits for a slot when the caller sends after the last answer.
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

func (r *request) recordImmediateRequest(prompt bool) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	delete(r.agent.slotQueue.withDeadline, r)
	r.agent.slotQueue.admission.RecordImmediateRequest(prompt)
}

func (r *request) markRunning(now time.Time) {
	r.state = requestRunning
	r.startedAt = now
	r.agent.mu.Lock()
	r.agent.slotQueue.withDeadline[r] = true
	r.deadline = r.agent.load.SlotDeadline(now)
	r.agent.mu.Unlock()
}

// isUnanswered reports whether the backend server owes an answer.
func (r *request) isUnanswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == requestRunning
}

// recordAnswer releases the slot at the first byte of an answer.
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

// end releases the slot of a flow that has end.
func (r *request) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(requestIdle)
}

// expire releases the slot of a flow that has held it for too long.
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

// release gives the slot back, if one is held.
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
