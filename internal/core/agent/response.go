package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/backend"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// When a backend server counts as unresponsive. Guards against a server that has crashed
// or hangs while the agent beside it lives. The timeouts suit callers that send copies of
// their opening packets after 200 and 600 ms.
const (
	// responseTimeout is how long a server may take to answer an opening packet.
	responseTimeout = backend.ResponseTimeout
	// trialInterval is the time between two trials: opening packets that are delivered to
	// a server although it gets no other new flows, to find out whether it is back.
	trialInterval = 250 * time.Millisecond
	// trialPatience is how long an unresponsive server may get no trial, as peers send it no new
	// flows, until its agent asks them for some.
	trialPatience = 500 * time.Millisecond
)

// responseMonitor tracks whether the backend server answers.
type responseMonitor struct {
	// lastResponseAt is when the server last sent or bounced a packet.
	lastResponseAt time.Time
	// unresponsiveSince is when the first opening packet was delivered that got no answer,
	// or zero while the server answers.
	unresponsiveSince time.Time
	silence           backend.Silence
	nextTrialAt       time.Time
	// bouncedOpenings counts the opening packets that the server has bounced since it last
	// accepted one.
	bouncedOpenings int
	// pendingOpenings holds the delivered opening packets that are younger than
	// responseTimeout or that RetryOverdue has not checked since, oldest first. Some may
	// be answered already.
	pendingOpenings []pendingOpening
}

// pendingOpening is an opening packet that was delivered to the backend server.
type pendingOpening struct {
	id          flow.ID
	attempt     Attempt
	deliveredAt time.Time
}

// recordOpening records that an opening packet was delivered.
func (m *responseMonitor) recordOpening(now time.Time, id flow.ID, attempt Attempt) {
	m.pendingOpenings = append(m.pendingOpenings, pendingOpening{id, attempt, now})
	m.silence.Record(now)
}

// recordDelivery records that a packet of an open flow was delivered. A server answers one that
// carries payload.
func (m *responseMonitor) recordDelivery(now time.Time, packet flow.Packet) {
	if packet.PayloadSize() > 0 {
		m.silence.Record(now)
	}
}

// recordResponse records that the backend server has sent or bounced a packet.
func (m *responseMonitor) recordResponse(now time.Time) {
	m.lastResponseAt = now
	m.unresponsiveSince = time.Time{}
	m.silence = backend.Silence{}
}

// isUnresponsive reports whether the backend server has left an opening packet unanswered
// for responseTimeout and has sent nothing since.
func (m *responseMonitor) isUnresponsive() bool { return !m.unresponsiveSince.IsZero() }

// isPastResetTimeout reports whether the backend server is unresponsive and has been silent for
// backend.ResetTimeout. A reset then lets callers repeat their requests on other servers. Otherwise their
// packets are delivered, which shows whether the server is back.
func (m *responseMonitor) isPastResetTimeout(now time.Time) bool {
	return m.isUnresponsive() && m.silence.IsPastResetTimeout(now)
}

// recordServerStart records that the backend server has started again. What an earlier start has
// left unanswered does not count against this one.
func (m *responseMonitor) recordServerStart() {
	m.unresponsiveSince = time.Time{}
	m.silence = backend.Silence{}
}

// isTrialMissing reports whether the backend server is unresponsive and has got no trial for
// trialPatience since one was due. Only a packet of the server ends its being unresponsive, and if
// it has no other flows, only a new flow makes it send one.
func (m *responseMonitor) isTrialMissing(now time.Time) bool {
	return m.isUnresponsive() && !now.Before(latest(m.unresponsiveSince, m.nextTrialAt).Add(trialPatience))
}

// isTrialDue reports whether a trial may be delivered now.
func (m *responseMonitor) isTrialDue(now time.Time) bool { return !now.Before(m.nextTrialAt) }

// recordTrial records that a trial was allowed. The next one is due after trialInterval.
func (m *responseMonitor) recordTrial(now time.Time) { m.nextTrialAt = now.Add(trialInterval) }

// maxBouncedOpenings is the number of opening packets in a row that an unlisted server may
// bounce before it is presumed removed. A listed server may bounce more: it may be full for
// a moment.
const maxBouncedOpenings = 2

// IsTrialOnly reports whether the backend server gets no new flows except trials: it is
// unresponsive, it is ejected because it fails requests, or it is presumed removed.
func (a *Agent) IsTrialOnly() bool {
	return a.responses.isUnresponsive() || a.isPresumedRemoved() || a.outliers.ejected
}

// isOnlyEjected reports whether the backend server gets no new flows except trials for no
// other reason than that it fails requests. It then serves a flow that nobody else accepts.
func (a *Agent) isOnlyEjected() bool {
	return a.outliers.ejected && !a.responses.isUnresponsive() && !a.isPresumedRemoved()
}

// PeerState returns what the agent publishes about itself. Peers treat all causes of trials alike:
// they send no new flows here. An agent whose server lacks a trial therefore publishes that it is
// alive. It still hands over all new flows but the trial.
func (a *Agent) PeerState(now time.Time) fleet.PeerState {
	switch {
	case a.draining:
		return fleet.PeerLeaving
	case !a.config.Carried || !a.IsTrialOnly():
		return fleet.PeerAlive
	case a.responses.isTrialMissing(now) && !a.outliers.ejected && !a.isPresumedRemoved():
		return fleet.PeerAlive
	}
	return fleet.PeerServerUnresponsive
}

// isPresumedRemoved reports whether the backend server is presumed removed: it is not
// listed, so that only its agent reports that it exists, and it has bounced
// maxBouncedOpenings opening packets in a row.
func (a *Agent) isPresumedRemoved() bool {
	return a.responses.bouncedOpenings >= maxBouncedOpenings && !a.view.IsListed(a.config.Self)
}

// releaseUnusedSlot releases the slot that a new flow has taken with its opening packet if no
// request has followed within responseTimeout. Guards against slots that seem taken for
// seconds by flows that their callers have abandoned, as when copies of an opening packet
// reach several servers at once. A later request takes a slot again.
func (a *Agent) releaseUnusedSlot(now time.Time, entry *flowEntry) {
	if entry.isTransferring() && !entry.transfer.startedAt.IsZero() {
		return
	}
	if entry.requestDeliveredAt.IsZero() {
		a.releaseSlot(now, entry)
	}
}

// RetryOverdue reassigns the new flows that the backend server has not answered within
// responseTimeout to other agents, if there is one and the retry budget allows it, and
// returns the retries. Nothing has run on these flows: a flow opens at the server whose
// answer the caller confirms.
func (a *Agent) RetryOverdue(now time.Time) []Resolution {
	var retries []Resolution
	for len(a.responses.pendingOpenings) > 0 && now.Sub(a.responses.pendingOpenings[0].deliveredAt) >= responseTimeout {
		first := a.responses.pendingOpenings[0]
		a.responses.pendingOpenings = a.responses.pendingOpenings[1:]
		entry := a.ownedEntry(first.id, first.attempt)
		if entry == nil {
			continue
		}
		if entry.state != statePending {
			a.releaseUnusedSlot(now, entry)
			continue
		}
		if a.responses.lastResponseAt.Before(first.deliveredAt) && !a.responses.isUnresponsive() {
			a.responses.unresponsiveSince = first.deliveredAt
		}
		if retry, found := a.retryElsewhere(now, first.id, entry); found {
			retries = append(retries, retry)
		}
	}
	return retries
}

// retryElsewhere reassigns a new flow to another agent. It reports false if there is none
// or the retry budget is exhausted; the flow then stays here. The backend server may still
// answer: the flow opens at the server whose answer the caller confirms.
func (a *Agent) retryElsewhere(now time.Time, id flow.ID, entry *flowEntry) (Resolution, bool) {
	service := a.view.Service(entry.service)
	if service == nil {
		return Resolution{}, false
	}
	resolution := Resolution{Service: entry.service, Opening: entry.openingPacket, Visited: a.visitedWithSelf(entry.visited)}
	target := a.alternativeTarget(now, a.candidates(service, 0), id, resolution.Visited)
	if target == nil || !a.budget.TryWithdraw() {
		return Resolution{}, false
	}
	a.forget(now, id, entry)
	a.reassign(now, id, &resolution, target, RetryServerSilent)
	return resolution, true
}

// alternativeTarget returns the least loaded sibling by the latest reports, or else the next
// accepting candidate of the flow. It returns nil if there is neither.
func (a *Agent) alternativeTarget(now time.Time, candidates fleet.Candidates, id flow.ID, visited []fleet.InstanceID) *fleet.Target {
	if sibling := a.leastLoadedSibling(now, candidates, id, visited); sibling != nil {
		return sibling
	}
	return candidates.NextAccepting(id.Hash(), visited)
}
