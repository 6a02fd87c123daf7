package agent

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Reasons of decisions that no counter counts. They occur in an Explanation only.
const (
	// AcceptPrimary means that the placement policy leaves the flow at its primary.
	AcceptPrimary Reason = "accept_primary"
	// AcceptFreeSlot means that the backend server has a free slot.
	AcceptFreeSlot Reason = "accept_free_slot"
	// AcceptNoOther means that no slot is free here or at any server with a valid load report.
	AcceptNoOther Reason = "accept_no_other"
	// AcceptInTime is AcceptNoOther where an answer is expected within the objective.
	AcceptInTime Reason = "accept_in_time"
	// AcceptLessBusy means that the second candidate is at least as busy as this server.
	AcceptLessBusy Reason = "accept_less_busy"
	// AcceptShortestDelay means that LeastWork expects no server that was drawn to answer sooner, by
	// enough to hand the flow over.
	AcceptShortestDelay Reason = "accept_shortest_delay"
	// AcceptKnown means that the flow is open here, so that this is a copy of its opening packet.
	AcceptKnown Reason = "accept_known"

	// WaitSlot means that the flow is accepted and waits at its own agent for a free slot.
	WaitSlot Reason = "wait_slot"
)

// What excludes a candidate by its load report, beside a fleet.Exclusion and the reasons why
// this agent itself must not accept a flow.
const (
	ExcludedNoReport  Reason = "no_report"
	ExcludedOldReport Reason = "old_report"
	ExcludedFull      Reason = "full"
	// ExcludedEjected means that the backend server gets trials only because of its failure rate.
	ExcludedEjected Reason = "ejected"
)

// Outcome is what becomes of an opening packet.
type Outcome string

// Outcomes of a decision.
const (
	OutcomeAccept   Outcome = "accept"
	OutcomeHandOver Outcome = "hand_over"
	OutcomeWait     Outcome = "wait"
	OutcomeRefuse   Outcome = "refuse"
	OutcomeDrop     Outcome = "drop"
)

// ExplainedDecision is a decision about an opening packet.
type ExplainedDecision struct {
	Outcome Outcome
	// Target is the agent that the flow is handed over to. It is nil for other outcomes.
	Target *fleet.Target
	Reason Reason
	// Probability is 1 unless the decision is drawn at random.
	Probability float64
}

// Candidate is a backend server that a new flow may be placed at.
type Candidate struct {
	ID         fleet.InstanceID
	Name       string
	DataCentre string
	IsSelf     bool
	// Report is the load of the server: the present one of the agent's own server, else the
	// latest report adjusted for the hand-overs since. It is valid if HasReport is true.
	Report    Report
	HasReport bool
	// ReportAge is the age of the load report, or zero for the agent's own server.
	ReportAge time.Duration
	// ExpectedDelay is how long a request is expected to take, with the time that it queues, or
	// zero if the service time is unknown. LeastWork compares servers by it.
	ExpectedDelay time.Duration
	// RemainingWork is the work that a new request has to wait for at the server, in slot-time.
	// That of another server is the average of its load report and what is left of the work
	// handed over to it since. It is known if HasWork is true.
	RemainingWork time.Duration
	HasWork       bool
	// Excluded is why the server is no choice, or empty if it is one. LeastWork may choose a full
	// server near. A server that is full or without a load report gets a flow all the same if
	// this agent must not accept it and there is no other choice.
	Excluded Reason
}

// Explanation is where an opening packet would be placed now, and why.
type Explanation struct {
	// Decisions holds the decision or, if it is drawn at random, all that may be drawn.
	Decisions []ExplainedDecision
	// Candidates holds the agent's own server, then the others in the order of preference:
	// the flow's placement candidates first, those near before all others.
	Candidates []Candidate
}

// Query specifies an opening packet whose placement is explained.
type Query struct {
	Service fleet.ServiceID
	Caller  netip.AddrPort
	// Size is the payload size of the packet. The present placement policies ignore it.
	Size int
}

// ExplainPlacement decides where an opening packet would be placed if a balancer of the
// agent's data centre sent it here now, as its caller's first copy. It changes nothing. It
// reports false if the service is unknown.
func (a *Agent) ExplainPlacement(now time.Time, query Query) (Explanation, bool) {
	service := a.view.Service(query.Service)
	if service == nil {
		return Explanation{}, false
	}
	received := a.receivedFor(service, query)
	return Explanation{
		Decisions:  a.explainDecision(now, service, received, a.decideOpening(now, service, received)),
		Candidates: a.describeCandidates(now, service, received),
	}, true
}

// receivedFor returns the opening packet of a query, as if a balancer had sent it here.
func (a *Agent) receivedFor(service *fleet.RoutedService, query Query) *ReceivedPacket {
	id := flow.NewID(service.Address(), query.Caller)
	return &ReceivedPacket{
		Packet:   flow.NewPacket(id, flow.Opening, 0, 0, nil).WithPayloadSize(query.Size),
		Service:  service.ID(),
		Revision: a.view.Revisions().Highest(),
	}
}

// decideOpening decides about an opening packet as Receive does, and changes nothing.
func (a *Agent) decideOpening(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if !a.config.Carried && !service.HasSelectorFor(a.config.DataCentre) && !a.isInGracePeriod(now, received.Packet.Flow()) {
		if next := a.targetElsewhere(service, received); next != nil {
			return handOver{next, DropDataCentreOut}
		}
		return discard{DropDataCentreOut}
	}
	if entry := a.flows[received.Packet.Flow()]; entry != nil {
		return a.decideKnown(now, service, entry, received)
	}
	return a.place(now, service, received)
}

// decideKnown decides about an opening packet whose flow has an entry in the flow table. A
// closing flow is replaced by a new one. Any other is treated as the flow that the packet
// opens.
func (a *Agent) decideKnown(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) placementDecision {
	switch entry.state {
	case stateHandedOver:
		if target := handOverTarget(service, entry, received); target != nil {
			return handOver{target, HandOverRemembered}
		}
		return a.place(now, service, received)
	case stateClosing:
		return a.place(now, service, received)
	case statePending:
		if !a.config.Carried {
			return discard{DropOpeningPending}
		}
	}
	return acceptance{AcceptKnown}
}

// explainDecision returns what may follow from a decision. Decisions with the same outcome are one.
func (a *Agent) explainDecision(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, decision placementDecision) []ExplainedDecision {
	var explained []ExplainedDecision
	for _, possible := range a.possibleDecisions(now, service, received, decision) {
		outcome := a.explainOutcome(now, service, received, possible.decision)
		outcome.Probability = possible.probability
		explained = addExplained(explained, outcome)
	}
	if len(explained) == 1 {
		explained[0].Probability = 1 // The sum of fractions may differ from 1 a little.
	}
	return explained
}

// addExplained adds a decision, which may be listed already.
func addExplained(explained []ExplainedDecision, decision ExplainedDecision) []ExplainedDecision {
	for i := range explained {
		e := &explained[i]
		if e.Outcome == decision.Outcome && e.Target == decision.Target && e.Reason == decision.Reason {
			e.Probability += decision.Probability
			return explained
		}
	}
	return append(explained, decision)
}

// explainOutcome returns the outcome of a decision that is not a draw.
func (a *Agent) explainOutcome(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, decision placementDecision) ExplainedDecision {
	if accepted, isAccepted := decision.(acceptance); isAccepted && accepted.reason == AcceptKnown {
		return ExplainedDecision{Outcome: OutcomeAccept, Reason: AcceptKnown, Probability: 1}
	}
	switch v := a.settle(now, service, received, decision).(type) {
	case handOver:
		return ExplainedDecision{Outcome: OutcomeHandOver, Target: v.target, Reason: v.reason, Probability: 1}
	case refusal:
		return ExplainedDecision{Outcome: OutcomeRefuse, Reason: v.reason, Probability: 1}
	case discard:
		return ExplainedDecision{Outcome: OutcomeDrop, Reason: v.reason, Probability: 1}
	case postponement:
		if a.wouldBeEvicted(now, service, received) {
			return ExplainedDecision{Outcome: OutcomeRefuse, Reason: RefuseWait, Probability: 1}
		}
		return ExplainedDecision{Outcome: OutcomeWait, Reason: v.reason.Counter(), Probability: 1}
	case acceptance:
		if !a.config.Carried && a.admission.NewFlowsNeedSlots() && !a.admission.HasFreeSlot() {
			return ExplainedDecision{Outcome: OutcomeWait, Reason: WaitSlot, Probability: 1}
		}
		return ExplainedDecision{Outcome: OutcomeAccept, Reason: v.reason, Probability: 1}
	}
	return ExplainedDecision{}
}

// wouldBeEvicted reports whether an opening packet that begins to wait is refused at once,
// because too many wait that go before it.
func (a *Agent) wouldBeEvicted(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) bool {
	queue := openingQueue{openings: slices.Clone(a.waiting.openings)}
	queue.forget(received.Packet.Flow())
	a.reassessAll(now, queue.openings)
	queue.add(a.newWaitingOpening(now, service, received), a.waitingLimit(service))
	return slices.ContainsFunc(queue.evicted, func(w waitingOpening) bool { return w.flow == received.Packet.Flow() })
}

// describeCandidates describes the agent's own server and the targets of a service.
func (a *Agent) describeCandidates(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) []Candidate {
	described := []Candidate{a.describeSelf(now, service, received)}
	candidates := a.candidates(service, received.Origin)
	hash := received.Packet.Flow().Hash()
	seen := map[fleet.InstanceID]bool{a.config.Self: true}
	for _, targets := range [][]*fleet.Target{
		candidates.PlacementCandidates(hash), slices.Collect(candidates.SelectedNear()),
		candidates.Near("").PlacementCandidates(hash), slices.Collect(candidates.All()),
	} {
		for _, target := range targets {
			if !seen[target.ID()] {
				seen[target.ID()] = true
				described = append(described, a.describeTarget(now, service, received, target))
			}
		}
	}
	return described
}

// describeSelf describes the agent's own server.
func (a *Agent) describeSelf(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Candidate {
	candidate := Candidate{
		ID: a.config.Self, DataCentre: a.config.DataCentre, IsSelf: true,
		Report: a.CurrentReport(), HasReport: true,
		ExpectedDelay: a.load.expectedResponseTime(assumedServiceTime(service)),
		Excluded:      a.ineligibleReason(now, service, received),
	}
	if node := a.view.Node(a.config.Self); node != nil {
		candidate.Name = node.Name()
	}
	if a.config.Carried {
		candidate.RemainingWork, candidate.HasWork = time.Duration(float64(a.work.backlog.Wait(now))*a.load.slots), true
	}
	if a.placesByWork() {
		own := a.ownCandidate(now, service)
		candidate.ExpectedDelay = own.Delay()
	}
	if candidate.Excluded == "" && !a.placesByWork() && !a.admission.HasFreeSlot() {
		candidate.Excluded = ExcludedFull
	}
	return candidate
}

// describeTarget describes another server by its latest load report, even if that is too old.
func (a *Agent) describeTarget(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, target *fleet.Target) Candidate {
	candidate := Candidate{ID: target.ID(), Name: target.Name(), DataCentre: target.DataCentre()}
	// Without a report, an entry only counts hand-overs and never expires.
	if stored, known := a.reports[target.ID()]; known && !stored.expiresAt.IsZero() {
		candidate.HasReport = true
		candidate.Report = stored.report
		candidate.ReportAge = reportLifetime - stored.expiresAt.Sub(now)
		candidate.ExpectedDelay = stored.report.expectedResponseTime()
		if a.config.Carried {
			candidate.RemainingWork, candidate.HasWork = stored.work.Left(now), true
		}
		if a.placesByWork() {
			sibling := a.siblingCandidate(now, service, target, &stored)
			candidate.ExpectedDelay = sibling.Delay()
		}
	}
	candidate.Excluded = a.exclusion(now, received, target, candidate.HasReport)
	return candidate
}

// exclusion returns why eachWithCapacity passes a target over or, if flows are placed by work, why
// no draw returns it. It returns an empty reason if the target is a choice.
func (a *Agent) exclusion(now time.Time, received *ReceivedPacket, target *fleet.Target, hasReport bool) Reason {
	if exclusion := target.Exclusion(); exclusion != fleet.ExcludedNot {
		return Reason(exclusion)
	}
	report, isValid := a.latestReport(now, target.ID())
	switch {
	case !hasReport:
		return ExcludedNoReport
	case !isValid:
		return ExcludedOldReport
	case a.placesByWork() && report.Ejected:
		return ExcludedEjected
	case a.placesByWork() && a.mayDraw(drawNear, target, report, received):
		return ""
	case report.limitUsage() >= 1:
		return ExcludedFull
	}
	return ""
}

// expectedResponseTime returns how long one more request would take at the sender, with the
// time that it queues, or zero if the service time is unknown.
func (r Report) expectedResponseTime() time.Duration {
	serviceTime := time.Duration(r.ServiceTime) * time.Microsecond
	if r.Running < r.Limit || r.Limit == 0 {
		return serviceTime
	}
	return time.Duration(math.Round(float64(serviceTime) * float64(r.Running+1) / float64(r.Limit)))
}
