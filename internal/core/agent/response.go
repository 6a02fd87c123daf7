package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// When a backend server counts as silent. The load pattern it answers: a server that
// has crashed or hangs while the agent beside it lives, and callers that send copies
// of their opening packets after 200 and 600 ms.
const (
	// responseTimeout is how long a server may take to answer an opening packet.
	responseTimeout = 100 * time.Millisecond
	// trialInterval is the time between two opening packets that show whether a silent
	// server is back.
	trialInterval = 250 * time.Millisecond
	// resetTimeout is how long a server is silent before the callers of its flows are
	// told.
	resetTimeout = 400 * time.Millisecond
)

// responseMonitor follows whether the backend server answers.
type responseMonitor struct {
	lastResponseAt time.Time
	// unresponsiveSince is when the first opening packet was delivered that got no answer, or zero
	// while the server answers.
	unresponsiveSince   time.Time
	nextTrialAt time.Time
	// bouncedOpenings counts the opening packets that the server has returned since it last took
	// one.
	bouncedOpenings int
	// pendingOpenings holds the flows whose opening packets were delivered, oldest first.
	pendingOpenings []pendingOpening
}

type pendingOpening struct {
	id      flow.ID
	attempt Attempt
	deliveredAt   time.Time
}

// recordOpening records that an opening packet was delivered.
func (s *responseMonitor) recordOpening(now time.Time, id flow.ID, attempt Attempt) {
	s.pendingOpenings = append(s.pendingOpenings, pendingOpening{id, attempt, now})
}

// recordResponse records that the backend server has sent something.
func (s *responseMonitor) recordResponse(now time.Time) {
	s.lastResponseAt = now
	s.unresponsiveSince = time.Time{}
}

func (s *responseMonitor) isUnresponsive() bool { return !s.unresponsiveSince.IsZero() }

// isPastResetTimeout reports whether the backend server has been silent for so long that its
// flows are better repeated elsewhere.
func (s *responseMonitor) isPastResetTimeout(now time.Time) bool {
	return s.isUnresponsive() && now.Sub(s.unresponsiveSince) >= resetTimeout
}

// allowTrial reports whether an opening packet may be delivered to a silent server.
func (s *responseMonitor) allowTrial(now time.Time) bool {
	if now.Before(s.nextTrialAt) {
		return false
	}
	s.nextTrialAt = now.Add(trialInterval)
	return true
}

// maxBouncedOpenings is the number of opening packets that a server which is not listed may return
// before it is taken for one that has left.
const maxBouncedOpenings = 2

// IsTrialOnly reports whether the backend server gets no new flows but trials: it has stopped
// answering, fails what it takes, or takes no flows although only its agent says that it is
// there.
func (a *Agent) IsTrialOnly() bool {
	return a.responses.isUnresponsive() || a.isPresumedRemoved() || a.outliers.ejected
}

// isPresumedRemoved reports whether a backend server that is not listed returns what it is given.
func (a *Agent) isPresumedRemoved() bool {
	return a.responses.bouncedOpenings >= maxBouncedOpenings && !a.view.IsListed(a.config.Self)
}

// RetryOverdue hands on the new flows that the backend server has not answered in time. No
// answer means that nothing was run: a flow opens at the server whose answer the
// caller confirms.
func (a *Agent) RetryOverdue(now time.Time) []Retry {
	var retries []Retry
	for len(a.responses.pendingOpenings) > 0 && now.Sub(a.responses.pendingOpenings[0].deliveredAt) >= responseTimeout {
		first := a.responses.pendingOpenings[0]
		a.responses.pendingOpenings = a.responses.pendingOpenings[1:]
		known := a.ownedEntry(first.id, first.attempt)
		if known == nil || known.state != statePending {
			continue
		}
		if a.responses.lastResponseAt.Before(first.deliveredAt) && !a.responses.isUnresponsive() {
			a.responses.unresponsiveSince = first.deliveredAt
		}
		if retry, found := a.retryElsewhere(now, first.id, known); found {
			retries = append(retries, retry)
		}
	}
	return retries
}

// retryElsewhere moves a new flow to another agent, if there is one and the retry budget
// allows it. The server may still answer: the caller's confirmation decides.
func (a *Agent) retryElsewhere(now time.Time, id flow.ID, known *flowEntry) (Retry, bool) {
	service := a.view.Service(known.service)
	if service == nil {
		return Retry{}, false
	}
	retry := Retry{Service: known.service, Opening: known.openingPacket, Visited: a.visitedWithSelf(known.visited)}
	target := a.alternativeTarget(now, service, id, retry.Visited)
	if target == nil || !a.budget.tryWithdraw() {
		return Retry{}, false
	}
	a.forget(now, id, known)
	a.reassign(now, id, &retry, target, RetryServerSilent)
	return retry, true
}

// alternativeTarget returns the roomiest sibling by the latest reports or else the next
// candidate, or nil.
func (a *Agent) alternativeTarget(now time.Time, service *fleet.RoutedService, id flow.ID, visited []fleet.InstanceID) *fleet.Target {
	if sibling := a.leastLoadedSibling(now, service, id, visited); sibling != nil {
		return sibling
	}
	return service.NextAccepting(id.Hash(), visited)
}
