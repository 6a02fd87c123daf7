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

// gate lets requests through to the backend server in the order that the core's
// admission decides. Its methods are called with the agent's mutex held.
type gate struct {
	admission *core.Admission
	tickets   map[core.Ticket]chan core.WaitOutcome
	// holders are the requests that hold a slot.
	holders map[*request]bool
}

func newGate(admission *core.Admission) *gate {
	return &gate{admission: admission, tickets: make(map[core.Ticket]chan core.WaitOutcome), holders: make(map[*request]bool)}
}

func (g *gate) slotHolders() []*request {
	return slices.Collect(maps.Keys(g.holders))
}

// wake tells the requests that have been admitted.
func (g *gate) wake(now time.Time) {
	for _, ticket := range g.admission.AdmitQueued(now) {
		g.tell(ticket, core.Admitted{HasSlot: true})
	}
	for _, ticket := range g.admission.ReleaseNewFlows() {
		g.tell(ticket, core.Admitted{})
	}
}

// expire tells the requests whose wait has run out.
func (g *gate) expire(now time.Time) {
	for _, ticket := range g.admission.RemoveExpired(now) {
		g.tell(ticket, core.Expired{})
	}
}

func (g *gate) tell(ticket core.Ticket, o core.WaitOutcome) {
	g.tickets[ticket] <- o
	delete(g.tickets, ticket)
}

// admit waits for a slot for a request of a member.
func (a *Agent) admit(member netip.Addr, patience core.WaitPolicy) core.WaitOutcome {
	a.mu.Lock()
	if patience != core.UnlimitedWait && !a.gate.admission.NewFlowsNeedSlots() {
		a.mu.Unlock()
		return core.Admitted{}
	}
	ticket, admitted := a.gate.admission.AdmitOrQueue(clock.Now(), member, patience)
	if admitted {
		a.mu.Unlock()
		return core.Admitted{HasSlot: true}
	}
	if ticket == 0 {
		a.mu.Unlock()
		return core.Expired{}
	}
	answer := make(chan core.WaitOutcome, 1)
	a.gate.tickets[ticket] = answer
	a.mu.Unlock()
	a.counters.Add("requests_waited", 1)
	a.noteLoadChange()
	return <-answer
}

// noteLoadChange wakes the reporter.
func (a *Agent) noteLoadChange() {
	select {
	case a.loadChanged <- struct{}{}:
	default:
	}
}

// requestState is what a flow has at the backend server.
type requestState uint8

const (
	// requestNone means that no request is under way.
	requestNone requestState = iota
	// requestReserved means that a slot is held for the first request of a flow.
	requestReserved
	// requestExpected means that a flow is new and holds no slot.
	requestExpected
	// requestRunning means that the backend server owes an answer.
	requestRunning
	// requestStream means that the flow has held a slot for so long without an
	// answer that it does not count as a request any more.
	requestStream
)

// reservation is how long a slot is held for the first request of a new flow.
const reservation = 100 * time.Millisecond

// request is the state of one flow's request.
type request struct {
	agent  *Agent
	member netip.Addr

	mu        sync.Mutex
	state     requestState
	startedAt time.Time
	releaseAt time.Time
}

// open records that the flow was admitted, with a slot for its first request or
// without.
func (r *request) open(now time.Time, hasSlot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = requestExpected
	if hasSlot {
		r.state = requestReserved
	}
	r.startedAt = now
	r.releaseAt = now.Add(reservation)
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.agent.gate.holders[r] = true
}

// start waits for a slot when the caller sends after the last answer.
func (r *request) start() {
	r.mu.Lock()
	state := r.state
	if state == requestReserved || state == requestExpected {
		r.notePromptness(true)
	}
	if state == requestReserved {
		r.run(clock.Now())
	}
	r.mu.Unlock()
	if state != requestNone && state != requestExpected {
		return
	}
	r.agent.admit(r.member, core.UnlimitedWait)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run(clock.Now())
}

func (r *request) notePromptness(prompt bool) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	delete(r.agent.gate.holders, r)
	r.agent.gate.admission.RecordImmediateRequest(prompt)
}

func (r *request) run(now time.Time) {
	r.state = requestRunning
	r.startedAt = now
	r.agent.mu.Lock()
	r.agent.gate.holders[r] = true
	r.releaseAt = r.agent.load.SlotDeadline(now)
	r.agent.mu.Unlock()
}

// isUnanswered reports whether the backend server owes an answer.
func (r *request) isUnanswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == requestRunning
}

// answered releases the slot at the first byte of an answer.
func (r *request) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == requestRunning {
		now := clock.Now()
		r.agent.mu.Lock()
		delete(r.agent.gate.holders, r)
		r.agent.gate.admission.Complete(now, r.member, now.Sub(r.startedAt))
		r.agent.gate.wake(now)
		r.agent.mu.Unlock()
		r.agent.noteLoadChange()
	}
	if r.state == requestRunning || r.state == requestStream {
		r.state = requestNone
	}
}

// ended releases the slot of a flow that has ended.
func (r *request) ended() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(requestNone)
}

// overdue releases the slot of a flow that has held it for too long.
func (r *request) overdue(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.releaseAt) {
		return
	}
	switch r.state {
	case requestReserved, requestExpected:
		r.notePromptness(false)
		r.release(requestNone)
	case requestRunning:
		r.release(requestStream)
	}
}

// release gives the slot back, if one is held.
func (r *request) release(next requestState) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	delete(r.agent.gate.holders, r)
	if r.state == requestReserved || r.state == requestRunning {
		now := clock.Now()
		r.agent.gate.admission.Cancel(now, r.member)
		r.agent.gate.wake(now)
	}
	r.state = next
}
