package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// A lookup finds the owner of a flow for which there is neither a hint nor a registration.
// The agent holds the packet and queries all candidates in one round, for many flows
// together. Afterwards the packet only has to visit, one after the other, the agents that
// may not know all flows of their backend server. This limits the cost of two bursts of
// packets. After a restart of all processes and backend servers, the packets of thousands of
// flows that no agent owns any more arrive at once. After a failure of balancers, the packets
// of flows that are too young to be registered arrive through other balancers.
const (
	// queryInterval is the minimum time between two rounds of queries, in which the flows for
	// the next round are collected.
	queryInterval = 5 * time.Millisecond
	// lookupTimeout is how long the agent waits for replies. The packet then visits the
	// agents that have not replied.
	lookupTimeout = 60 * time.Millisecond
	// maxLookups is the maximum number of flows that are looked up at the same time.
	maxLookups = 512
	// maxQueryFlows is the maximum number of flows in one query.
	maxQueryFlows = 64
	// unawarePeriod is how long an agent is not queried after it replied that it does not know
	// all flows of its backend server: it is polled, which costs no more if it has learned since.
	unawarePeriod = 10 * time.Second
)

// Hold is the action that keeps a packet until the lookup of its flow ends.
type Hold struct{}

func (*Hold) isAction() {}

// OwnershipQuery is a message that queries which of the given flows an agent owns.
type OwnershipQuery struct {
	// Target is the agent that is queried.
	Target *fleet.Target
	// Round identifies the query round. The reply carries the same number.
	Round uint32
	Flows []flow.ID
}

// OwnershipReply is the reply to an OwnershipQuery.
type OwnershipReply struct {
	_ struct{} `cbor:",toarray"`
	// Round is the round of the query.
	Round uint32
	// KnowsAllFlows reports whether the agent knows all flows of its backend server, so
	// that it certainly does not own the flows that are not in OwnedIndices.
	KnowsAllFlows bool
	// OwnedIndices holds the indices in OwnershipQuery.Flows of the flows that the agent
	// owns.
	OwnedIndices []uint16
}

// LookupResult is the result of the lookup or the poll of one flow.
type LookupResult struct {
	Flow flow.ID
	// Owner is the agent that replied that it owns the flow, or nil if none did.
	Owner *fleet.Target
	// DeniedBy lists the processes that replied that they know all flows of their backend
	// server and do not own this one, or whose server has bounced its packet.
	DeniedBy []fleet.Process
	// SilentServers lists the agents that replied that their backend server does not respond.
	SilentServers []fleet.InstanceID
	// Claimed reports whether the owner was found by a poll, so that it has got the packets that
	// were sent with it.
	Claimed bool
	// GivenUp reports whether a poll ended without an answer of some agents.
	GivenUp bool
	// Silent lists the agents that gave no reply in time. They must be probed.
	Silent []fleet.InstanceID
}

// lookup is the lookup of the owner of one flow.
type lookup struct {
	service   fleet.ServiceID
	startedAt time.Time
	// queried reports whether the flow was included in a round of queries.
	queried bool
	// awaiting lists the agents that were queried and have not replied.
	awaiting []fleet.InstanceID
	deniedBy []fleet.Process
	// deadline is when the lookup ends without further replies.
	deadline time.Time
}

// queryRound is a set of queries for the same flows to different agents.
type queryRound struct {
	flows    []flow.ID
	deadline time.Time
}

// lookups holds the lookups in progress.
type lookups struct {
	flows map[flow.ID]*lookup
	// rounds holds the query rounds whose deadline has not passed, by round number.
	rounds    map[uint32]queryRound
	lastRound uint32
	// nextRoundAt is the earliest time of the next round of queries.
	nextRoundAt time.Time
	// unaware holds until when agents are not queried, since they replied that they do not know
	// all flows of their backend server.
	unaware map[fleet.InstanceID]time.Time
	// unqueried is the number of lookups that wait for their round of queries.
	unqueried int
}

// newLookups returns lookups without any in progress.
func newLookups() lookups {
	return lookups{flows: make(map[flow.ID]*lookup), rounds: make(map[uint32]queryRound), unaware: make(map[fleet.InstanceID]time.Time)}
}

// holdForLookup starts the lookup of a packet's flow, unless one is in progress, and reports
// whether the packet is held for it. It reports false if the packet must be forwarded
// instead: it was looked up already, maxLookups is reached, or there is no agent to
// query.
func (a *Agent) holdForLookup(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) bool {
	id := received.Packet.Flow()
	if received.LookedUp {
		return false
	}
	if a.lookups.flows[id] != nil {
		return true
	}
	if len(a.lookups.flows) >= maxLookups || !a.hasQueryTarget(now, service, a.evidence(received)) {
		return false
	}
	a.lookups.flows[id] = &lookup{service: service.ID(), startedAt: now, deadline: now.Add(queryInterval + lookupTimeout)}
	a.lookups.unqueried++
	return true
}

// NextLookupTime returns when OwnershipQueries, ExpireLookups, Polls or ExpirePolls must be called
// next. It reports false if no lookup and no poll is in progress.
func (a *Agent) NextLookupTime(now time.Time) (time.Time, bool) {
	due := a.nextPollTime()
	if a.lookups.unqueried > 0 {
		return earlierDue(due, latest(now, a.lookups.nextRoundAt)), true
	}
	for _, l := range a.lookups.flows {
		due = earlierDue(due, l.deadline)
	}
	return due, !due.IsZero()
}

// earlierDue returns the earlier of two instants at which something is due. If due is zero, it
// returns next.
func earlierDue(due, next time.Time) time.Time {
	if due.IsZero() || next.Before(due) {
		return next
	}
	return due
}

// latest returns the later of two instants.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// OwnershipQueries returns the queries of the next round: one for each agent and each group of
// up to maxQueryFlows flows of a service. It returns nil if no lookup waits for a round or the
// round is not due.
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

// startQueryRound returns a query about flows of one service for each agent that may own them,
// and records whose replies each lookup awaits.
func (a *Agent) startQueryRound(now time.Time, service *fleet.RoutedService, flows []flow.ID) []OwnershipQuery {
	a.lookups.lastRound++
	number := a.lookups.lastRound
	a.lookups.rounds[number] = queryRound{flows: flows, deadline: now.Add(lookupTimeout)}
	targets := a.queryTargets(now, service)
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

// AnswerOwnershipQuery returns the reply to another agent's query.
func (a *Agent) AnswerOwnershipQuery(now time.Time, round uint32, flows []flow.ID) OwnershipReply {
	reply := OwnershipReply{Round: round, KnowsAllFlows: a.KnowsAllFlows(now)}
	for i, id := range flows {
		entry := a.flows[id]
		if entry == nil || entry.state == stateHandedOver {
			continue
		}
		reply.OwnedIndices = append(reply.OwnedIndices, uint16(i))
		// A query means that the registrars did not know the owner, so register again.
		entry.registration.dueAt = time.Time{}
	}
	return reply
}

// HandleOwnershipReply processes a reply to a query and returns the results of the lookups that
// it ends. A reply to an unknown or expired round is ignored.
func (a *Agent) HandleOwnershipReply(now time.Time, from fleet.Process, reply OwnershipReply) []LookupResult {
	round, found := a.lookups.rounds[reply.Round]
	if !found {
		return nil
	}
	if !reply.KnowsAllFlows {
		a.lookups.unaware[from.ID] = now.Add(unawarePeriod)
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

// recordReply records what one agent replied about one flow. The lookup ends with the first
// agent that owns the flow, or when all agents have replied. recordReply reports false if the
// lookup goes on.
func (a *Agent) recordReply(now time.Time, id flow.ID, l *lookup, from fleet.Process, owned, knowsAllFlows bool) (LookupResult, bool) {
	at := slices.Index(l.awaiting, from.ID)
	if at < 0 {
		return LookupResult{}, false
	}
	l.awaiting = slices.Delete(l.awaiting, at, at+1)
	if owned {
		if service := a.view.Service(l.service); service != nil {
			return a.finishLookup(now, id, l, a.ownerTarget(now, service, from.ID)), true
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

// finishLookup removes a lookup and returns its result. owner is nil if none was found.
func (a *Agent) finishLookup(now time.Time, id flow.ID, l *lookup, owner *fleet.Target) LookupResult {
	a.config.Observer.ObserveLookup(now.Sub(l.startedAt))
	delete(a.lookups.flows, id)
	return LookupResult{Flow: id, Owner: owner, DeniedBy: l.deniedBy}
}

// ExpireLookups ends the lookups whose replies are late, and forgets their query rounds and the
// agents that may be queried again.
func (a *Agent) ExpireLookups(now time.Time) []LookupResult {
	var results []LookupResult
	for id, l := range a.lookups.flows {
		if l.queried && !now.Before(l.deadline) {
			result := a.finishLookup(now, id, l, nil)
			result.Silent = l.awaiting
			results = append(results, result)
		}
	}
	for number, r := range a.lookups.rounds {
		if !now.Before(r.deadline) {
			delete(a.lookups.rounds, number)
		}
	}
	for id, until := range a.lookups.unaware {
		if !now.Before(until) {
			delete(a.lookups.unaware, id)
		}
	}
	return results
}

// Answered returns the agents that need not be visited any more: they have denied the flow, or can
// say nothing about it.
func (r *LookupResult) Answered() []fleet.InstanceID {
	answered := slices.Clone(r.SilentServers)
	for _, process := range r.DeniedBy {
		answered = append(answered, process.ID)
	}
	return answered
}

// ResumeAfterLookup decides about a held packet after a lookup that found no owner. The caller
// has added LookupResult.Answered to the agents that the packet has visited, and the answers to its
// evidence.
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

// ForwardToOwner decides about a held packet after a lookup that found the owner: it forwards
// the packet there.
func (a *Agent) ForwardToOwner(owner *fleet.Target) Action {
	return a.forwardTo(owner, ReferAsked)
}
