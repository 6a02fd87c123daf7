// Package ownership states what proves that no agent owns a flow. A reset of an open flow that
// some agent owns breaks the flow, so every reset of a flow without an owner needs this proof.
package ownership

import (
	"maps"
	"slices"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Evidence is what this process has learned about the owner of one flow, from its own backend
// server and from the answers of other agents. What others have learned is not part of it: a
// packet tells where it has been, but not who was able to deny its flow there. The zero value is
// no evidence.
type Evidence struct {
	// ownDenial reports whether this process denies the flow.
	ownDenial bool
	// denials holds the incarnations of the agents that have denied the flow.
	denials map[fleet.InstanceID]uint64
	// silentServers lists the agents whose backend servers do not respond, so that they could
	// neither deny nor claim the flow.
	silentServers []fleet.InstanceID
}

// FromVisits returns the evidence that follows from the agents that a packet has visited, where
// agents terminate flows. An agent that has restarted has ended its flows, so that each visit is a
// denial.
func FromVisits(visited []fleet.InstanceID) Evidence {
	denials := make(map[fleet.InstanceID]uint64, len(visited))
	for _, id := range visited {
		denials[id] = fleet.MaxIncarnation
	}
	return Evidence{denials: denials}
}

// WithOwnDenial returns the evidence with a denial by this process. Its backend server must have
// bounced or reset a packet of the flow, or this process must know all flows of the server.
func (e Evidence) WithOwnDenial() Evidence {
	e.ownDenial = true
	return e
}

// With returns the evidence together with what other agents have answered.
func (e Evidence) With(denials []fleet.Process, silentServers []fleet.InstanceID) Evidence {
	all := make(map[fleet.InstanceID]uint64, len(e.denials)+len(denials))
	maps.Copy(all, e.denials)
	for _, process := range denials {
		all[process.ID] = max(all[process.ID], process.Incarnation)
	}
	e.denials = all
	e.silentServers = slices.Concat(e.silentServers, silentServers)
	return e
}

// HasOwnDenial reports whether this process denies the flow.
func (e Evidence) HasOwnDenial() bool { return e.ownDenial }

// HasAnswerOf reports whether an agent has answered, also if it has restarted since.
func (e Evidence) HasAnswerOf(id fleet.InstanceID) bool {
	_, denied := e.denials[id]
	return denied || e.isSilentServer(id)
}

// isSilentServer reports whether the backend server of an agent does not respond.
func (e Evidence) isSilentServer(id fleet.InstanceID) bool {
	return slices.Contains(e.silentServers, id)
}

// isDeniedBy reports whether an agent has denied the flow and has not restarted since, as far as
// this process knows.
func (e Evidence) isDeniedBy(target *fleet.Target) bool {
	incarnation, denied := e.denials[target.ID()]
	return denied && incarnation >= target.Incarnation()
}

// Verdict is the result of a search for the owner of a flow: one of *Unowned, *OwnerLost and
// *Undecided.
type Verdict interface{ isVerdict() }

// Unowned is the proof that no agent owns a flow: each agent that may own it has denied it. Only
// Findings.Verdict returns one. The list of these agents must be complete as well, which only the
// owner of the view can tell.
type Unowned struct{ _ struct{} }

// OwnerLost means that each agent that may own the flow has denied it, cannot be reached, or has a
// backend server that does not respond.
type OwnerLost struct {
	// MayReturn reports whether one that cannot be reached may be back soon: it is leaving, as it
	// or the platform has announced, or has just started again.
	MayReturn bool
}

// Undecided means that an agent that may own the flow has given no answer although it could.
type Undecided struct{ _ struct{} }

func (*Unowned) isVerdict()   {}
func (*OwnerLost) isVerdict() {}
func (*Undecided) isVerdict() {}

// Findings sums the evidence up over all agents that may own a flow.
type Findings struct {
	// isUnanswered reports whether an agent has given no answer although it can be reached.
	isUnanswered bool
	// hasSilentServer reports whether the backend server of an agent does not respond.
	hasSilentServer bool
	// unreachable is the last of the agents that cannot be reached, or nil if there is none.
	unreachable *fleet.Target
	mayReturn   bool
}

// Examine returns the findings about a flow that the agents in owners, and no others, may own. self
// is the agent of this process.
func Examine(owners []*fleet.Target, self fleet.InstanceID, evidence Evidence) Findings {
	var f Findings
	for _, owner := range owners {
		switch {
		case owner.ID() == self:
			f.isUnanswered = f.isUnanswered || !evidence.ownDenial && !evidence.isDeniedBy(owner)
		case evidence.isDeniedBy(owner):
		case evidence.isSilentServer(owner.ID()):
			f.hasSilentServer = true
		case owner.IsReachable():
			f.isUnanswered = true
		default:
			f.unreachable = owner
			f.mayReturn = f.mayReturn || owner.MayReturn()
		}
	}
	return f
}

// UnreachableDataCentre returns the data centre of an agent that may own the flow and cannot be
// reached by this process. It reports false if there is none.
func (f Findings) UnreachableDataCentre() (string, bool) {
	if f.unreachable == nil {
		return "", false
	}
	return f.unreachable.DataCentre(), true
}

// Verdict returns what the findings prove.
func (f Findings) Verdict() Verdict {
	switch {
	case f.isUnanswered:
		return &Undecided{}
	case f.unreachable != nil || f.hasSilentServer:
		return &OwnerLost{MayReturn: f.mayReturn}
	}
	return &Unowned{}
}
