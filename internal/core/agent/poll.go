package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// An agent of carried flows that has restarted can neither claim nor deny a flow: only its backend
// server can, by answering the flow's packet or by bouncing it. Answers this pattern: everything
// loses power, the platform is slow to say when the servers started again, some machines stay away,
// and the packets of thousands of flows that no server holds any more arrive at once in a fleet of
// hundreds of agents. Going from agent to agent, each packet would take a step for every agent
// until its caller gets a reset, would carry the list of those that it has visited, and would be
// lost at the first one that is gone. Instead, the agent that no registrar helps polls many agents
// at once: it sends each a copy of the flow's packets, and each answers.
const (
	// firstPolled is the number of agents that are polled first: the owner is most likely
	// among the placement candidates of the flow.
	firstPolled = fleet.MaxPlacementCandidates
	// maxPolled is the number of agents that are polled at once after that.
	maxPolled = 64
	// pollInterval is how long the agent waits for answers before it polls again.
	pollInterval = 40 * time.Millisecond
	// maxPollSends is how often an agent is polled before the next ones are, too. A copy of
	// the packet or its answer may be lost.
	maxPollSends = 2
	// pollPatience is how long agents that give no answer are polled after all others have
	// denied the flow. By then probes show whether they are reachable.
	pollPatience = 500 * time.Millisecond
	// maxPolls is the maximum number of flows that are polled for at the same time.
	maxPolls = 512
	// claimDelay is how long the backend server may take to bounce a packet. If it has not, but
	// has sent something else since, it holds the flow.
	claimDelay = 25 * time.Millisecond
	// claimLifetime is how long the agent waits for such a sign of a server that is silent.
	claimLifetime = time.Second
)

// Deny is the action for a packet that came by a poll and whose flow this agent does not own. The
// sender must be told.
type Deny struct{}

func (*Deny) isAction() {}

// ReportSilence is the action for a packet that came by a poll if the backend server of this agent
// does not respond, so that it can neither deny nor claim the flow. The sender must be told.
type ReportSilence struct{}

func (*ReportSilence) isAction() {}

// Poll names the agents to which the held packets of a flow must be sent now.
type Poll struct {
	Flow    flow.ID
	Targets []*fleet.Target
}

// pollState is the state of the poll for one flow.
type pollState struct {
	service fleet.ServiceID
	// remaining lists the agents that have not been polled, in order.
	remaining []fleet.InstanceID
	// awaiting lists those that were polled last and have given no answer, silent those that
	// were polled before.
	awaiting, silent []fleet.InstanceID
	// deniedBy lists the processes that have denied the flow, and silentServers the agents whose
	// backend servers do not respond.
	deniedBy      []fleet.Process
	silentServers []fleet.InstanceID
	// sends is how often those in awaiting have been polled.
	sends int
	// dueAt is when agents are polled next.
	dueAt time.Time
	// giveUpAt is when the poll ends. It is set once only silent agents are left.
	giveUpAt time.Time
}

// advance takes the next agents to poll. Those polled before that have given no answer become
// silent.
func (p *pollState) advance(now time.Time) {
	p.silent = append(p.silent, p.awaiting...)
	count := maxPolled
	if len(p.deniedBy)+len(p.silent)+len(p.silentServers) == 0 {
		count = firstPolled
	}
	count = min(count, len(p.remaining))
	p.awaiting, p.remaining = slices.Clone(p.remaining[:count]), p.remaining[count:]
	p.sends, p.dueAt = 0, now
	if count == 0 {
		p.giveUpAt = now.Add(pollPatience)
	}
}

// forget removes an agent from those that have given no answer, and reports whether it was one.
func (p *pollState) forget(id fleet.InstanceID) bool {
	before := len(p.awaiting) + len(p.silent)
	isID := func(other fleet.InstanceID) bool { return other == id }
	p.awaiting, p.silent = slices.DeleteFunc(p.awaiting, isID), slices.DeleteFunc(p.silent, isID)
	return len(p.awaiting)+len(p.silent) < before
}

// isOver reports whether all agents have answered.
func (p *pollState) isOver() bool { return len(p.remaining)+len(p.awaiting)+len(p.silent) == 0 }

// poll decides about a packet whose owner no registrar knows: it is held while the agents that may
// own the flow are polled. poll returns nil if there are none, or if maxPolls is reached.
func (a *Agent) poll(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if !a.config.Carried {
		return nil
	}
	id := received.Packet.Flow()
	if a.polls[id] != nil {
		return &a.hold
	}
	if len(a.polls) >= maxPolls {
		return nil
	}
	remaining, allowed := a.agentsToPoll(now, service, received)
	switch {
	case !allowed:
		return a.dropPacket(DropSearchLimit)
	case len(remaining) == 0:
		return nil
	}
	state := &pollState{service: service.ID(), remaining: remaining}
	state.advance(now)
	a.polls[id] = state
	return &a.hold
}

// agentsToPoll returns the agents to poll for the owner of a packet's flow, in order: the candidates
// that have given no answer or, if there are none, the agents outside the service that have not.
// It reports false if outsiderRate does not allow the latter.
func (a *Agent) agentsToPoll(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) ([]fleet.InstanceID, bool) {
	agents := a.candidates(service, received.Origin).SearchOrder(received.Packet.Flow().Hash(), func(target *fleet.Target) bool {
		return target.ID() != a.config.Self && target.IsReachable() && !received.Evidence.HasAnswerOf(target.ID())
	})
	if len(agents) > 0 {
		return agents, true
	}
	for target := range a.likelyOutsiders(now, service) {
		if !received.Evidence.HasAnswerOf(target.ID()) {
			agents = append(agents, target.ID())
		}
	}
	return agents, len(agents) == 0 || a.outsiders.AllowN(now, len(agents))
}

// Polls returns the polls that are due, and the agents that have fallen silent, which must be
// probed.
func (a *Agent) Polls(now time.Time) (due []Poll, silent []fleet.InstanceID) {
	for id, state := range a.polls {
		if now.Before(state.dueAt) {
			continue
		}
		if state.sends == maxPollSends {
			silent = append(silent, state.awaiting...)
			state.advance(now)
		}
		targets := a.nextTargets(now, state)
		state.dueAt = now.Add(pollInterval)
		due = append(due, Poll{Flow: id, Targets: targets})
	}
	slices.Sort(silent)
	return due, slices.Compact(silent)
}

// nextTargets returns the targets to poll now: those in awaiting, the next ones if none of these is
// reachable any more, or the silent ones if none remains.
func (a *Agent) nextTargets(now time.Time, state *pollState) []*fleet.Target {
	for state.giveUpAt.IsZero() {
		if targets := a.targetsInView(now, state, state.awaiting); len(targets) > 0 {
			state.sends++
			return targets
		}
		state.advance(now)
	}
	return a.targetsInView(now, state, state.silent)
}

// targetsInView returns the targets of polled agents. It forgets those that are not in view or not
// reachable any more.
func (a *Agent) targetsInView(now time.Time, state *pollState, agents []fleet.InstanceID) []*fleet.Target {
	service := a.view.Service(state.service)
	var targets []*fleet.Target
	for _, id := range slices.Clone(agents) {
		var target *fleet.Target
		if service != nil {
			target = a.ownerTarget(now, service, id)
		}
		if target == nil || !target.IsReachable() {
			state.forget(id)
			continue
		}
		targets = append(targets, target)
	}
	return targets
}

// HandleDenial records that a polled agent does not own a flow. It returns the result if no agent
// is left to poll. Otherwise more polls may be due.
func (a *Agent) HandleDenial(now time.Time, from fleet.Process, id flow.ID) []LookupResult {
	state := a.polls[id]
	if state == nil || !state.forget(from.ID) {
		return nil
	}
	state.deniedBy = append(state.deniedBy, from)
	return a.continuePoll(now, id, state)
}

// HandleSilenceReport records that the backend server of a polled agent does not respond. It
// returns the same as HandleDenial.
func (a *Agent) HandleSilenceReport(now time.Time, from fleet.Process, id flow.ID) []LookupResult {
	state := a.polls[id]
	if state == nil || !state.forget(from.ID) {
		return nil
	}
	state.silentServers = append(state.silentServers, from.ID)
	return a.continuePoll(now, id, state)
}

// continuePoll takes the next agents to poll once all those polled last have answered. It returns
// the result if none is left.
func (a *Agent) continuePoll(now time.Time, id flow.ID, state *pollState) []LookupResult {
	if len(state.awaiting) == 0 && state.giveUpAt.IsZero() {
		state.advance(now)
	}
	if !state.isOver() {
		return nil
	}
	delete(a.polls, id)
	return []LookupResult{state.result(id)}
}

// result returns the result of a poll in which all agents have answered.
func (p *pollState) result(id flow.ID) LookupResult {
	return LookupResult{Flow: id, DeniedBy: p.deniedBy, SilentServers: p.silentServers}
}

// HandleClaim records that a polled agent owns a flow, and returns the result.
func (a *Agent) HandleClaim(now time.Time, from fleet.Process, id flow.ID) []LookupResult {
	state := a.polls[id]
	if state == nil {
		return nil
	}
	delete(a.polls, id)
	result := LookupResult{Flow: id, Claimed: true}
	if service := a.view.Service(state.service); service != nil {
		result.Owner = a.ownerTarget(now, service, from.ID)
	}
	return []LookupResult{result}
}

// ExpirePolls returns the results of the polls in which all agents have denied the flow or are not
// reachable any more, and of those that are given up because some have given no answer for
// pollPatience: one of them may own the flow, and the caller retransmits.
func (a *Agent) ExpirePolls(now time.Time) []LookupResult {
	var results []LookupResult
	for id, state := range a.polls {
		switch {
		case state.isOver():
			results = append(results, state.result(id))
		case !state.giveUpAt.IsZero() && !now.Before(state.giveUpAt):
			results = append(results, LookupResult{Flow: id, GivenUp: true})
		default:
			continue
		}
		delete(a.polls, id)
	}
	return results
}

// nextPollTime returns when Polls and ExpirePolls must be called next, or zero if there is no poll.
func (a *Agent) nextPollTime() time.Time {
	var due time.Time
	for _, state := range a.polls {
		due = earlierDue(due, state.dueAt)
	}
	return due
}

// Claim is a claim of a flow to the agent that polled for its owner.
type Claim struct {
	Poller fleet.InstanceID
	Flow   flow.ID
}

// pendingClaim is a claim that is due unless the backend server bounces the packet before.
type pendingClaim struct {
	poller      fleet.InstanceID
	deliveredAt time.Time
}

// answerPoll decides about a packet that came by a poll and whose flow the backend server may
// hold. The packet is delivered, and the flow claimed if the server does not bounce it. If the
// callers of a silent server's flows are reset, the sender is told that the server is silent.
func (a *Agent) answerPoll(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if a.responses.isPastResetTimeout(now) && service.IsIdempotent() {
		return &a.silent
	}
	id := received.Packet.Flow()
	if _, pending := a.pendingClaims[id]; !pending && len(a.pendingClaims) < maxPolls {
		a.pendingClaims[id] = pendingClaim{received.Sender, now}
	}
	return a.deliverSpeculatively(now, received)
}

// Claims returns the claims that are due. A server that has sent nothing since the packet was
// delivered may be dead: its agent claims nothing.
func (a *Agent) Claims(now time.Time) []Claim {
	var due []Claim
	for id, pending := range a.pendingClaims {
		age := now.Sub(pending.deliveredAt)
		hasResponded := a.responses.lastResponseAt.After(pending.deliveredAt)
		switch {
		case age >= claimDelay && hasResponded:
			due = append(due, Claim{Poller: pending.poller, Flow: id})
		case age < claimLifetime:
			continue
		}
		delete(a.pendingClaims, id)
	}
	return due
}
