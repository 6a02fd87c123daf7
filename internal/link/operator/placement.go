package operator

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/balancer"
)

// Placement is where a daemon would place an opening packet now, and why.
type Placement struct {
	Process    string `json:"process"`
	Role       string `json:"role"`
	DataCentre string `json:"dataCentre"`
	Service    string `json:"service"`
	Caller     string `json:"caller"`
	Size       int    `json:"size"`
	// Decisions holds the decision or, if it is drawn at random, all that may be drawn.
	Decisions  []PlacementDecision  `json:"decisions"`
	Candidates []PlacementCandidate `json:"candidates"`
}

// PlacementDecision is what becomes of an opening packet. To is the agent that it goes to if it
// leaves the process.
type PlacementDecision struct {
	Outcome     string  `json:"outcome"`
	To          string  `json:"to,omitempty"`
	Reason      string  `json:"reason"`
	Probability float64 `json:"probability"`
}

// Names in the explanations of balancers, beside those of agents.
const (
	// outcomeForward is the outcome of a packet that is forwarded to an agent.
	outcomeForward = "forward"
	// reasonPrimary is the reason for forwarding a packet to the primary of its flow.
	reasonPrimary = "primary"
	// notAmongFirst excludes targets that are not placement candidates of a flow.
	notAmongFirst = "not_among_first"
)

// PlacementCandidate is a backend server that a new flow may be placed at. What the process does
// not know or use of it is left out.
type PlacementCandidate struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// IsSelf reports whether the server is the one beside the agent that answers.
	IsSelf bool `json:"self"`
	// Weight is the weight by which balancers choose.
	Weight *uint16 `json:"weight,omitempty"`
	// SlotsTaken includes requests that wait for a slot.
	SlotsTaken *uint32 `json:"slotsTaken,omitempty"`
	Slots      *uint32 `json:"slots,omitempty"`
	// Utilisation is the average share of the slots in use, from 0 to 1.
	Utilisation *float64 `json:"utilisation,omitempty"`
	// ExpectedDelayMs is how long a request is expected to take, with the time that it queues.
	ExpectedDelayMs *float64 `json:"expectedDelayMs,omitempty"`
	// RemainingWorkMs is the work that a new request has to wait for, in slot-time.
	RemainingWorkMs *float64 `json:"remainingWorkMs,omitempty"`
	ReportAgeMs     *float64 `json:"reportAgeMs,omitempty"`
	// Excluded is why the server is no choice, or empty if it is one.
	Excluded string `json:"excluded,omitempty"`
}

// DescribeAgentPlacement returns the decisions and candidates of an agent's explanation.
func DescribeAgentPlacement(explanation *agent.Explanation) Placement {
	described := Placement{Candidates: []PlacementCandidate{}}
	for _, decision := range explanation.Decisions {
		entry := PlacementDecision{Outcome: string(decision.Outcome), Reason: string(decision.Reason), Probability: decision.Probability}
		if decision.Target != nil {
			entry.To = decision.Target.Name()
		}
		described.Decisions = append(described.Decisions, entry)
	}
	for i := range explanation.Candidates {
		described.Candidates = append(described.Candidates, describeCandidate(&explanation.Candidates[i]))
	}
	return described
}

// describeCandidate describes one candidate of an agent.
func describeCandidate(candidate *agent.Candidate) PlacementCandidate {
	described := PlacementCandidate{
		Name: candidate.Name, DataCentre: candidate.DataCentre, IsSelf: candidate.IsSelf, Excluded: string(candidate.Excluded),
	}
	if candidate.HasReport {
		described.SlotsTaken, described.Slots = new(candidate.Report.Running), new(candidate.Report.Limit)
		described.Utilisation = new(float64(candidate.Report.Utilisation) / perMille)
	}
	if candidate.HasReport && !candidate.IsSelf {
		described.ReportAgeMs = new(milliseconds(candidate.ReportAge))
	}
	if candidate.HasWork {
		described.RemainingWorkMs = new(milliseconds(candidate.RemainingWork))
	}
	if candidate.ExpectedDelay > 0 {
		described.ExpectedDelayMs = new(milliseconds(candidate.ExpectedDelay))
	}
	return described
}

// perMille is the number that stands for a share of 1 in agent.Report.
const perMille = 1000

// milliseconds returns a duration in milliseconds, rounded to a microsecond.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond).Microseconds()) / 1000
}

// DescribeBalancerPlacement returns the decision and candidates of a balancer's explanation.
func DescribeBalancerPlacement(explanation *balancer.Explanation) Placement {
	described := Placement{
		Decisions:  []PlacementDecision{describeRoute(&explanation.Decision)},
		Candidates: []PlacementCandidate{},
	}
	for _, candidate := range explanation.Candidates {
		target := candidate.Target
		entry := PlacementCandidate{
			Name: target.Name(), DataCentre: target.DataCentre(), Weight: new(uint16(target.Weight())), Excluded: string(target.Exclusion()),
		}
		if entry.Excluded == "" && !candidate.IsPlacementCandidate {
			entry.Excluded = notAmongFirst
		}
		described.Candidates = append(described.Candidates, entry)
	}
	return described
}

// describeRoute describes the decision of a balancer.
func describeRoute(decision *balancer.Decision) PlacementDecision {
	switch {
	case decision.Drop == balancer.DropNone:
		return PlacementDecision{Outcome: outcomeForward, To: decision.Target.Name(), Reason: reasonPrimary, Probability: 1}
	case decision.NeedsReset:
		return PlacementDecision{Outcome: string(agent.OutcomeRefuse), Reason: string(decision.Drop), Probability: 1}
	}
	return PlacementDecision{Outcome: string(agent.OutcomeDrop), Reason: string(decision.Drop), Probability: 1}
}
