package agent

import "time"

// clockTolerance is how far in the future the start of the backend server may lie when this
// process first learns of it. One further ahead is not trusted, since the clock has stepped.
const clockTolerance = 300 * time.Millisecond

// serverStart is a start of the backend server as the view lists it.
type serverStart struct {
	startedAt time.Time
	// learnedAt is when this process first saw the start in its view.
	learnedAt time.Time
}

// learnServerStart records when the view in force was first seen to list a start of the backend
// server.
func (a *Agent) learnServerStart(now time.Time) {
	backend := a.view.Backend(a.config.Self)
	if backend != nil && !backend.StartedAt.Equal(a.serverStart.startedAt) {
		a.serverStart = serverStart{startedAt: backend.StartedAt, learnedAt: now}
	}
}

// KnowsAllFlows reports whether this process knows every flow that can be open at its
// backend server. For carried flows that holds if the server started after this process, which
// has then carried the opening packet of every flow. If the server started first, even by a
// moment, an earlier process of this agent may have opened flows there. KnowsAllFlows is false
// while the view does not say when the server started, or if that was more than clockTolerance in
// the future when this process learned of it. Once true it stays true, unless the server sends
// packets of a flow that it held before.
func (a *Agent) KnowsAllFlows(now time.Time) bool {
	if !a.config.Carried || a.allFlowsKnown {
		return true
	}
	a.learnServerStart(now)
	start := a.serverStart
	if a.hasAdoptedFlows || start.startedAt.IsZero() {
		return false
	}
	a.allFlowsKnown = !start.startedAt.Before(a.startedAt) && start.startedAt.Before(start.learnedAt.Add(clockTolerance))
	return a.allFlowsKnown
}
