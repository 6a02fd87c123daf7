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
	// queryInterval is how long flows are gathered for one round of queries.
	queryInterval = 5 * time.Millisecond
	// lookupTimeout is how long the answers may take. Who has not answered is visited.
	lookupTimeout = 60 * time.Millisecond
	// maxLookups bounds the flows that are looked up at once.
	maxLookups = 512
	// maxQueryFlows is the number of flows that one query names.
	maxQueryFlows = 64
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

// OwnershipReply is an agent's answer to a query.
type OwnershipReply struct {
	_     struct{} `cbor:",toarray"`
	Round uint32
	// KnowsAllFlows tells that the agent knows all flows of its backend server.
	KnowsAllFlows bool
	// OwnedIndices are the positions in the query of the flows that the agent owns.
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
	service   fleet.ServiceID
	startedAt time.Time
	queried   bool
	awaiting  []fleet.InstanceID
	deniedBy  []fleet.InstanceID
	deadline  time.Time
}

// queryRound is a set of queries that name the same flows.
type queryRound struct {
	flows    []flow.ID
	deadline time.Time
}

// lookups are the searches under way.
type lookups struct {
	flows     map[flow.ID]*lookup
	rounds    map[uint32]queryRound
	lastRound uint32
	// nextRoundAt is the instant from which the next round of queries may be sent.
	nextRoundAt time.Time
	// unqueried is the number of lookups that wait for a round.
	unqueried int
}

func newLookups() lookups {
	return lookups{flows: make(map[flow.ID]*lookup), rounds: make(map[uint32]queryRound)}
}

// knowsAllFlows reports whether no flow can be open at the backend server without this
// process having carried its opening packet.
func (a *Agent) knowsAllFlows(now time.Time) bool {
	if !a.config.Carried || a.allFlowsKnown {
		return true
	}
	backend := a.view.Backend(a.config.Self)
	if backend == nil || backend.StartedAt.IsZero() {
		return false
	}
	early, late := a.startedAt.Add(-startTolerance), now.Add(startTolerance)
	a.allFlowsKnown = backend.StartedAt.After(early) && backend.StartedAt.Before(late)
	return a.allFlowsKnown
}

// holdForLookup holds a packet and has its flow looked up, if others can be asked. It reports
// false if the packet must be passed on by itself.
func (a *Agent) holdForLookup(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) bool {
	id := received.Packet.Flow()
	if received.LookedUp || received.Relayed {
		return false
	}
	if a.lookups.flows[id] != nil {
		return true
	}
	if len(a.lookups.flows) >= maxLookups || len(a.queryTargets(service, received.Visited)) == 0 {
		return false
	}
	a.lookups.flows[id] = &lookup{service: service.ID(), startedAt: now, deadline: now.Add(queryInterval + lookupTimeout)}
	a.lookups.unqueried++
	return true
}

// queryTargets returns the agents that may own a flow, have not been visited and are likely
// to answer.
func (a *Agent) queryTargets(service *fleet.RoutedService, visited []fleet.InstanceID) []*fleet.Target {
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

// NextLookupTime returns when the next queries are to be sent or answers count as late.
// It reports false if nothing is looked up.
func (a *Agent) NextLookupTime(now time.Time) (time.Time, bool) {
	if a.lookups.unqueried > 0 {
		return latest(now, a.lookups.nextRoundAt), true
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

// OwnershipQueries returns the next round of queries, one for each agent and group of flows.
func (a *Agent) OwnershipQueries(now time.Time) []OwnershipQuery {
	if a.lookups.unqueried == 0 || now.Before(a.lookups.nextRoundAt) {
		return nil
	}
	a.lookups.nextRoundAt = now.Add(queryInterval)
	a.lookups.unqueried = 0
	byService := make(map[fleet.ServiceID][]flow.ID)
	for id, l := range a.lookups.flows {
		if !l.queried {
			l.queried = true
			l.deadline = now.Add(lookupTimeout)
			byService[l.service] = append(byService[l.service], id)
		}
	}
	var queries []OwnershipQuery
	for id, flows := range byService {
		service := a.view.Service(id)
		if service == nil {
			continue
		}
		for part := range slices.Chunk(flows, maxQueryFlows) {
			queries = append(queries, a.startQueryRound(now, service, part)...)
		}
	}
	return queries
}

func (a *Agent) startQueryRound(now time.Time, service *fleet.RoutedService, flows []flow.ID) []OwnershipQuery {
	a.lookups.lastRound++
	number := a.lookups.lastRound
	a.lookups.rounds[number] = queryRound{flows: flows, deadline: now.Add(lookupTimeout)}
	targets := a.queryTargets(service, nil)
	queries := make([]OwnershipQuery, 0, len(targets))
	for _, target := range targets {
		queries = append(queries, OwnershipQuery{Target: target, Round: number, Flows: flows})
		for _, id := range flows {
			l := a.lookups.flows[id]
			l.awaiting = append(l.awaiting, target.ID())
		}
	}
	return queries
}

// AnswerOwnershipQuery answers another agent's query.
func (a *Agent) AnswerOwnershipQuery(now time.Time, round uint32, flows []flow.ID) OwnershipReply {
	reply := OwnershipReply{Round: round, KnowsAllFlows: a.knowsAllFlows(now)}
	for i, id := range flows {
		entry := a.flows[id]
		if entry == nil || entry.state == stateHandedOver {
			continue
		}
		reply.OwnedIndices = append(reply.OwnedIndices, uint16(i))
		// The registrars did not know it.
		entry.registration.dueAt = time.Time{}
	}
	return reply
}

// HandleOwnershipReply takes an answer to a query and returns the lookups that it ends.
func (a *Agent) HandleOwnershipReply(now time.Time, from fleet.InstanceID, reply OwnershipReply) []LookupResult {
	round, found := a.lookups.rounds[reply.Round]
	if !found {
		return nil
	}
	var results []LookupResult
	for i, id := range round.flows {
		l := a.lookups.flows[id]
		if l == nil {
			continue
		}
		owned := slices.Contains(reply.OwnedIndices, uint16(i))
		if result, ended := a.recordReply(now, id, l, from, owned, reply.KnowsAllFlows); ended {
			results = append(results, result)
		}
	}
	return results
}

// recordReply takes what one agent says of one flow.
func (a *Agent) recordReply(now time.Time, id flow.ID, l *lookup, from fleet.InstanceID, owned, knowsAllFlows bool) (LookupResult, bool) {
	at := slices.Index(l.awaiting, from)
	if at < 0 {
		return LookupResult{}, false
	}
	l.awaiting = slices.Delete(l.awaiting, at, at+1)
	if owned {
		if service := a.view.Service(l.service); service != nil {
			return a.finishLookup(now, id, l, service.Target(from)), true
		}
	}
	if knowsAllFlows {
		l.deniedBy = append(l.deniedBy, from)
	}
	if len(l.awaiting) > 0 {
		return LookupResult{}, false
	}
	return a.finishLookup(now, id, l, nil), true
}

func (a *Agent) finishLookup(now time.Time, id flow.ID, l *lookup, owner *fleet.Target) LookupResult {
	a.config.Observer.ObserveLookup(now.Sub(l.startedAt))
	delete(a.lookups.flows, id)
	return LookupResult{Flow: id, Owner: owner, DeniedBy: l.deniedBy}
}

// ExpireLookups ends the lookups whose answers are late.
func (a *Agent) ExpireLookups(now time.Time) []LookupResult {
	var results []LookupResult
	for id, l := range a.lookups.flows {
		if l.queried && !now.Before(l.deadline) {
			results = append(results, a.finishLookup(now, id, l, nil))
		}
	}
	for number, r := range a.lookups.rounds {
		if !now.Before(r.deadline) {
			delete(a.lookups.rounds, number)
		}
	}
	return results
}

// ResumeAfterLookup decides about a packet whose flow has been looked up in vain. Those that have
// denied it count as visited.
func (a *Agent) ResumeAfterLookup(now time.Time, received *ReceivedPacket) Action {
	service := a.view.Service(received.Service)
	if service == nil {
		return a.dropPacket(DropUnknownService)
	}
	if entry := a.flows[received.Packet.Flow()]; entry != nil && entry.state != stateHandedOver {
		return a.Receive(now, received)
	}
	return a.search(now, service, received)
}

// ForwardToOwner passes a packet to the agent that has said that it owns the flow.
func (a *Agent) ForwardToOwner(owner *fleet.Target) Action {
	return a.forwardTo(owner, ReferAsked)
}
