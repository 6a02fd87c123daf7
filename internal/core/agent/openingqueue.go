package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// waitingOpening is an opening packet that waits.
type waitingOpening struct {
	flow     flow.ID
	service  fleet.ServiceID
	priority int
	packet   flow.Packet
	visited  []fleet.InstanceID
	origin   fleet.InstanceID
	placed   bool
	// waited reports whether it has waited at another agent before.
	waited bool
	// objectiveAt is the objective deadline, or zero if the service publishes no objective.
	objectiveAt time.Time
	// isLate reports whether the answer is expected after objectiveAt, as of the last call of
	// reassess.
	isLate bool
	// timeoutAt is the end of the timeout, see timeoutDeadline.
	timeoutAt time.Time
	// lastStartAt is when the backend server must have started to serve the flow at the latest,
	// so that the answer comes before timeoutAt, as of the last call of reassess.
	lastStartAt time.Time
	// nextCopyAt is shortly before the caller sends the next copy or, if isLastCopy is set,
	// gives up.
	nextCopyAt time.Time
	isLastCopy bool
}

// isExpired reports whether the wait is over.
func (w *waitingOpening) isExpired(now time.Time) bool {
	return !now.Before(w.nextCopyAt) || !now.Before(w.lastStartAt)
}

// isRefusable reports whether the caller may get a reset. Once it has sent the next copy it may
// not, since another agent may have delivered that. When it sends that copy is not known if the
// opening packet has waited at another agent.
func (w *waitingOpening) isRefusable(now time.Time) bool {
	return w.isLastCopy || !w.waited && now.Before(w.nextCopyAt)
}

// isBefore reports whether the opening packet goes before another, older one.
func (w *waitingOpening) isBefore(older *waitingOpening) bool {
	if w.isLate != older.isLate {
		return older.isLate
	}
	return w.priority <= older.priority
}

// received returns the opening packet as it was received.
func (w *waitingOpening) received() *ReceivedPacket {
	return &ReceivedPacket{Packet: w.packet, Service: w.service, Origin: w.origin, Visited: w.visited, Placed: w.placed, Waited: w.waited}
}

// openingQueue holds the waiting opening packets, oldest first.
type openingQueue struct {
	openings []waitingOpening
	// evicted holds those that must be refused because there is no room for them.
	evicted []waitingOpening
	// reservedUntil is until when late opening packets take no slot unless the backend server
	// is idle.
	reservedUntil time.Time
	// offers holds the siblings that have reported a free slot since the last release.
	offers []fleet.InstanceID
}

// Len returns the number of opening packets that wait.
func (q *openingQueue) Len() int { return len(q.openings) }

// recordOffer records that a sibling has a free slot, if an opening packet waits for one.
func (q *openingQueue) recordOffer(sibling fleet.InstanceID) {
	if q.Len() > 0 && !slices.Contains(q.offers, sibling) {
		q.offers = append(q.offers, sibling)
	}
}

// next returns the index of the opening packet that goes next, or -1 if none waits.
func (q *openingQueue) next() int {
	return q.nextOf(func(*waitingOpening) bool { return true })
}

// nextOf returns the index of the opening packet that goes next of those for which isEligible
// returns true, or -1 if there is none.
func (q *openingQueue) nextOf(isEligible func(*waitingOpening) bool) int {
	best := -1
	for i := range q.openings {
		if isEligible(&q.openings[i]) && (best < 0 || q.openings[i].isBefore(&q.openings[best])) {
			best = i
		}
	}
	return best
}

// last returns the index of the opening packet that would go last. One must wait.
func (q *openingQueue) last() int {
	last := 0
	for i := range q.openings {
		if !q.openings[i].isBefore(&q.openings[last]) {
			last = i
		}
	}
	return last
}

// add adds an opening packet and evicts the one that would go last if there are more than
// limit.
func (q *openingQueue) add(opening waitingOpening, limit int) {
	q.openings = append(q.openings, opening)
	if len(q.openings) > max(limit, 1) {
		q.evicted = append(q.evicted, q.take(q.last()))
	}
}

// take removes an opening packet and returns it.
func (q *openingQueue) take(index int) waitingOpening {
	opening := q.openings[index]
	q.openings = slices.Delete(q.openings, index, index+1)
	return opening
}

// forget removes the opening packets of a flow, also those to be refused.
func (q *openingQueue) forget(id flow.ID) {
	isOfFlow := func(w waitingOpening) bool { return w.flow == id }
	q.openings = slices.DeleteFunc(q.openings, isOfFlow)
	q.evicted = slices.DeleteFunc(q.evicted, isOfFlow)
}

// takeRefused removes the opening packets whose wait is over, and returns them and the evicted
// ones as far as their callers may get a reset.
func (q *openingQueue) takeRefused(now time.Time) []waitingOpening {
	refused := q.evicted
	q.evicted = nil
	q.openings = slices.DeleteFunc(q.openings, func(w waitingOpening) bool {
		if !w.isExpired(now) {
			return false
		}
		refused = append(refused, w)
		return true
	})
	return slices.DeleteFunc(refused, func(w waitingOpening) bool { return !w.isRefusable(now) })
}

// hasMoreUrgent reports whether an opening packet of higher priority waits that can still be
// answered within the objective.
func (q *openingQueue) hasMoreUrgent(priority int) bool {
	return slices.ContainsFunc(q.openings, func(w waitingOpening) bool { return !w.isLate && w.priority < priority })
}
