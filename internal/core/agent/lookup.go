package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// How the owner of a flow is found that neither a hint nor a registration names. The load
// pattern it answers: everything restarts, and the packets of thousands of flows that
// nobody owns any more arrive at once; or entry instances fail, and the packets of young
// flows come through others. The packet is held while all candidates are asked in one
// round for many flows together. Only agents that may not know all flows of their backend
// server are then visited with the packet, one after the other.
const (
	// questionInterval is how long flows are gathered for one round of questions.
	questionInterval = 5 * time.Millisecond
	// lookupTimeout is how long the answers may take. Who has not answered is visited.
	lookupTimeout = 60 * time.Millisecond
	// maxLookups bounds the flows that are looked up at once.
	maxLookups = 512
	// maxQuestion is the number of flows that one question names.
	maxQuestion = 64
	// startTolerance is how much earlier than the agent its backend server may have
	// started for the agent to know all its flows. No earlier process of the agent can
	// have ended and been replaced in that time.
	startTolerance = 300 * time.Millisecond
)

// Hold keeps a packet until its flow has been looked up.
type Hold struct{}

func (*Hold) isAction() {}

// OwnershipQuery asks an agent which of some flows it owns.
type OwnershipQuery struct {
	Target *fleet.Target
	Round  uint32
	Flows  []flow.ID
}

// OwnershipReply is an agent's answer to a question.
type OwnershipReply struct {
	_     struct{} `cbor:",toarray"`
	Round uint32
	// KnowsAllFlows tells that the agent knows all flows of its backend server.
	KnowsAllFlows bool
	// OwnedIndices are the positions in the question of the flows that the agent owns.
	OwnedIndices []uint16
}

// LookupResult is the end of a lookup.
type LookupResult struct {
	Flow flow.ID
	// Owner is the agent that owns the flow, or nil if none has said so.
	Owner *fleet.Target
	// DeniedBy are the agents that are known not to own the flow.
	DeniedBy []fleet.InstanceID
}

// lookup is the search for the owner of one flow.
type lookup struct {
	service  fleet.ServiceID
	begun    time.Time
	asked    bool
	waiting  []fleet.InstanceID
	denied   []fleet.InstanceID
	deadline time.Time
}

// round is a set of questions that name the same flows.
type round struct {
	flows    []flow.ID
	deadline time.Time
}

// lookups are the searches under way.
type lookups struct {
	flows  map[flow.ID]*lookup
	rounds map[uint32]round
	number uint32
	// roundAt is the instant from which the next round of questions may be sent.
	roundAt time.Time
	// unasked is the number of lookups that wait for a round.
	unasked int
}

func newLookups() lookups {
	return lookups{flows: make(map[flow.ID]*lookup), rounds: make(map[uint32]round)}
}

// knowsAllFlows reports whether no flow can be open at the backend server without this
// process having carried its opening packet.
func (a *Agent) knowsAllFlows(now time.Time) bool {
	if !a.config.Carried || a.complete {
		return true
	}
	backend := a.view.Backend(a.config.Self)
	if backend == nil || backend.StartedAt.IsZero() {
		return false
	}
	early, late := a.startedAt.Add(-startTolerance), now.Add(startTolerance)
	a.complete = backend.StartedAt.After(early) && backend.StartedAt.Before(late)
	return a.complete
}

// lookUp holds a packet and has its flow looked up, if others can be asked. It reports
// false if the packet must be passed on by itself.
func (a *Agent) lookUp(now time.Time, service *fleet.RoutedService, arrival *ReceivedPacket) bool {
	id := arrival.Packet.Flow()
	if arrival.LookedUp || arrival.Relayed {
		return false
	}
	if a.lookups.flows[id] != nil {
		return true
	}
	if len(a.lookups.flows) >= maxLookups || len(a.questionable(service, arrival.Visited)) == 0 {
		return false
	}
	a.lookups.flows[id] = &lookup{service: service.ID(), begun: now, deadline: now.Add(questionInterval + lookupTimeout)}
	a.lookups.unasked++
	return true
}

// questionable returns the agents that may own a flow, have not been visited and are likely
// to answer.
func (a *Agent) questionable(service *fleet.RoutedService, visited []fleet.InstanceID) []*fleet.Target {
	var targets []*fleet.Target
	for i := range service.Targets() {
		target := &service.Targets()[i]
		if target.ID() == a.config.Self || !target.IsReachable() || target.IsSuspected() || slices.Contains(visited, target.ID()) {
			continue
		}
		targets = append(targets, target)
	}
	return targets
}

// NextLookupTime returns when the next questions are to be sent or answers count as late.
// It reports false if nothing is looked up.
func (a *Agent) NextLookupTime(now time.Time) (time.Time, bool) {
	if a.lookups.unasked > 0 {
		return latest(now, a.lookups.roundAt), true
	}
	var due time.Time
	for _, l := range a.lookups.flows {
		if due.IsZero() || l.deadline.Before(due) {
			due = l.deadline
		}
	}
	return due, !due.IsZero()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// OwnershipQueries returns the next round of questions, one for each agent and group of flows.
func (a *Agent) OwnershipQueries(now time.Time) []OwnershipQuery {
	if a.lookups.unasked == 0 || now.Before(a.lookups.roundAt) {
		return nil
	}
	a.lookups.roundAt = now.Add(questionInterval)
	a.lookups.unasked = 0
	byService := make(map[fleet.ServiceID][]flow.ID)
	for id, l := range a.lookups.flows {
		if !l.asked {
			l.asked = true
			l.deadline = now.Add(lookupTimeout)
			byService[l.service] = append(byService[l.service], id)
		}
	}
	var questions []OwnershipQuery
	for id, flows := range byService {
		service := a.view.Service(id)
		if service == nil {
			continue
		}
		for part := range slices.Chunk(flows, maxQuestion) {
			questions = append(questions, a.ask(now, service, part)...)
		}
	}
	return questions
}

func (a *Agent) ask(now time.Time, service *fleet.RoutedService, flows []flow.ID) []OwnershipQuery {
	a.lookups.number++
	number := a.lookups.number
	a.lookups.rounds[number] = round{flows: flows, deadline: now.Add(lookupTimeout)}
	targets := a.questionable(service, nil)
	questions := make([]OwnershipQuery, 0, len(targets))
	for _, target := range targets {
		questions = append(questions, OwnershipQuery{Target: target, Round: number, Flows: flows})
		for _, id := range flows {
			l := a.lookups.flows[id]
			l.waiting = append(l.waiting, target.ID())
		}
	}
	return questions
}

// AnswerOwnershipQuery answers another agent's question.
func (a *Agent) AnswerOwnershipQuery(now time.Time, number uint32, flows []flow.ID) OwnershipReply {
	testimony := OwnershipReply{Round: number, KnowsAllFlows: a.knowsAllFlows(now)}
	for i, id := range flows {
		known := a.flows[id]
		if known == nil || known.state == stateHanded {
			continue
		}
		testimony.OwnedIndices = append(testimony.OwnedIndices, uint16(i))
		// The registrars did not know it.
		known.registration.dueAt = time.Time{}
	}
	return testimony
}

// HandleOwnershipReply takes an answer to a question and returns the lookups that it ends.
func (a *Agent) HandleOwnershipReply(now time.Time, from fleet.InstanceID, testimony OwnershipReply) []LookupResult {
	asked, known := a.lookups.rounds[testimony.Round]
	if !known {
		return nil
	}
	var resolutions []LookupResult
	for i, id := range asked.flows {
		l := a.lookups.flows[id]
		if l == nil {
			continue
		}
		owned := slices.Contains(testimony.OwnedIndices, uint16(i))
		if resolution, ended := a.hear(now, id, l, from, owned, testimony.KnowsAllFlows); ended {
			resolutions = append(resolutions, resolution)
		}
	}
	return resolutions
}

// hear takes what one agent says of one flow.
func (a *Agent) hear(now time.Time, id flow.ID, l *lookup, from fleet.InstanceID, owned, complete bool) (LookupResult, bool) {
	at := slices.Index(l.waiting, from)
	if at < 0 {
		return LookupResult{}, false
	}
	l.waiting = slices.Delete(l.waiting, at, at+1)
	if owned {
		if service := a.view.Service(l.service); service != nil {
			return a.resolve(now, id, l, service.Target(from)), true
		}
	}
	if complete {
		l.denied = append(l.denied, from)
	}
	if len(l.waiting) > 0 {
		return LookupResult{}, false
	}
	return a.resolve(now, id, l, nil), true
}

func (a *Agent) resolve(now time.Time, id flow.ID, l *lookup, owner *fleet.Target) LookupResult {
	a.config.Observer.ObserveLookup(now.Sub(l.begun))
	delete(a.lookups.flows, id)
	return LookupResult{Flow: id, Owner: owner, DeniedBy: l.denied}
}

// ExpireLookups ends the lookups whose answers are late.
func (a *Agent) ExpireLookups(now time.Time) []LookupResult {
	var resolutions []LookupResult
	for id, l := range a.lookups.flows {
		if l.asked && !now.Before(l.deadline) {
			resolutions = append(resolutions, a.resolve(now, id, l, nil))
		}
	}
	for number, r := range a.lookups.rounds {
		if !now.Before(r.deadline) {
			delete(a.lookups.rounds, number)
		}
	}
	return resolutions
}

// ResumeAfterLookup decides about a packet whose flow has been looked up in vain. Those that have
// denied it count as visited.
func (a *Agent) ResumeAfterLookup(now time.Time, arrival *ReceivedPacket) Action {
	service := a.view.Service(arrival.Service)
	if service == nil {
		return a.dropped(DropUnknownService)
	}
	if known := a.flows[arrival.Packet.Flow()]; known != nil && known.state != stateHanded {
		return a.Receive(now, arrival)
	}
	return a.search(now, service, arrival)
}

// ForwardToOwner passes a packet to the agent that has said that it owns the flow.
func (a *Agent) ForwardToOwner(owner *fleet.Target) Action {
	return a.passedOn(owner, ReferAsked)
}
