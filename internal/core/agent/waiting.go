package agent

import (
	"math"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Opening packets of carried flows wait at the agent while no backend server can serve them
// in time. When all processes return at once, several times as many requests arrive for a
// second as the servers can take, most of them late already. A caller that is refused tries
// again at once and meets the same full servers; and if the servers queued all requests, the
// new ones would be late too. So opening packets that can still be answered within the
// objective go first, among these the most urgent, and among equals the newest.
//
// No opening packet waits here longer than until its caller sends the next copy, which goes
// to another agent. The caller gets a reset when the wait after the last copy ends, or as soon
// as the answer would come after the timeout, unless it may have sent the next copy by then.
const (
	// copyMargin is how long before the next copy is sent the wait for it ends, at least.
	copyMargin = 10 * time.Millisecond
	// maxUsefulWait is the time in which waiting flows should get a slot. Flows beyond
	// those that the backend server can take in it are refused at once.
	maxUsefulWait = time.Second
	// maxWaiting is the maximum number of opening packets that wait.
	maxWaiting = 1024
)

// copyIntervals are the times after which a caller sends the next copy of its opening packet,
// by the number of copies sent before. After the last one it gives up.
var copyIntervals = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// openingTimeout is the time after which a caller gives up an opening: the sum of
// copyIntervals.
const openingTimeout = 1400 * time.Millisecond

// WaitReason is why an opening packet waits.
type WaitReason string

// Counter returns the name of the counter of opening packets that wait for this reason.
func (r WaitReason) Counter() Reason { return "wait_" + Reason(r) }

const (
	// WaitLate means that the opening packet is late and the free slots are reserved for others.
	WaitLate WaitReason = "late"
	// WaitFull means that the backend server has no room.
	WaitFull WaitReason = "full"
	// WaitUrgent means that a more urgent opening packet waits.
	WaitUrgent WaitReason = "urgent"
)

// Wait is the action for an opening packet that waits in the agent. ReleaseWaiting returns
// what becomes of it.
type Wait struct {
	Reason WaitReason
	// SlotsTaken is the number of slots taken, and Waiting that of the opening packets that wait,
	// this one included.
	SlotsTaken, Waiting int
}

func (*Wait) isAction() {}

// postponement means that the flow waits until the backend server or a sibling has room.
type postponement struct{ reason WaitReason }

func (postponement) isPlacementDecision() {}

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

// maxFullVisits is the number of agents without room that an opening packet visits before it
// waits at the next one. Their load reports may be old, and one of them may have room.
const maxFullVisits = 2

// postpone decides about a new flow for which there is no room here and no known room
// elsewhere: it is handed over to the next candidate, or waits if it has visited enough.
func (a *Agent) postpone(service *fleet.RoutedService, received *ReceivedPacket, reason WaitReason) placementDecision {
	if len(received.Visited) < maxFullVisits {
		visited := a.visitedWithSelf(received.Visited)
		if next := a.candidates(service, received.Origin).NextAccepting(received.Packet.Flow().Hash(), visited); next != nil {
			return handOver{next, HandOverFull}
		}
	}
	return postponement{reason}
}

// waitForRoom makes an opening packet wait.
func (a *Agent) waitForRoom(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, reason WaitReason) Action {
	opening := a.newWaitingOpening(now, service, received)
	opening.packet, opening.visited = received.Packet.Clone(), slices.Clone(received.Visited)
	a.reassessAll(now, a.waiting.openings)
	a.waiting.add(opening, a.waitingLimit(service))
	return &Wait{Reason: reason, SlotsTaken: int(math.Round(a.load.occupied())), Waiting: a.waiting.Len()}
}

// newWaitingOpening returns an opening packet that begins to wait now. It refers to the memory of
// the packet received.
func (a *Agent) newWaitingOpening(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) waitingOpening {
	packet := received.Packet
	copies := min(int(packet.AcknowledgedToken()), len(copyIntervals)-1)
	opening := waitingOpening{
		flow:        packet.Flow(),
		service:     service.ID(),
		priority:    service.Priority(),
		packet:      packet,
		visited:     received.Visited,
		origin:      received.Origin,
		placed:      received.Placed,
		waited:      received.Waited,
		objectiveAt: objectiveDeadline(now, service, packet),
		timeoutAt:   timeoutDeadline(now, service, packet),
		nextCopyAt:  now.Add(copyIntervals[copies] - copyMargin),
		isLastCopy:  isLastCopy(packet),
	}
	a.reassess(now, service, &opening)
	return opening
}

// isLastCopy reports whether a caller sends no more copies after this opening packet.
func isLastCopy(opening flow.Packet) bool {
	return int(opening.AcknowledgedToken()) >= len(copyIntervals)-1
}

// timeSinceFirstCopy returns how long ago, at least, the caller sent the first copy of an
// opening packet.
func timeSinceFirstCopy(opening flow.Packet) time.Duration {
	var elapsed time.Duration
	for _, interval := range copyIntervals[:min(int(opening.AcknowledgedToken()), len(copyIntervals))] {
		elapsed += interval
	}
	return elapsed
}

// timeoutDeadline returns the end of the timeout of an opening packet that arrives now. Without
// a published timeout it is when the caller gives up the opening.
func timeoutDeadline(now time.Time, service *fleet.RoutedService, opening flow.Packet) time.Time {
	timeout := service.Timeout()
	if timeout == 0 {
		timeout = openingTimeout
	}
	return now.Add(timeout - timeSinceFirstCopy(opening))
}

// lastUsefulStart returns when the backend server must have started to serve a flow at the
// latest, so that the answer comes before the timeout of the service. A caller that gives up the
// opening only needs its handshake before.
func (a *Agent) lastUsefulStart(service *fleet.RoutedService, timeoutAt time.Time) time.Time {
	if service.Timeout() == 0 {
		return timeoutAt
	}
	return timeoutAt.Add(-a.expectedServiceTime(service))
}

// reassess decides again whether a waiting opening packet can still be answered within its
// objective, and until when it can be answered at all.
func (a *Agent) reassess(now time.Time, service *fleet.RoutedService, opening *waitingOpening) {
	opening.isLate = a.isLate(now, service, opening.objectiveAt)
	opening.lastStartAt = a.lastUsefulStart(service, opening.timeoutAt)
}

// reassessAll reassesses opening packets.
func (a *Agent) reassessAll(now time.Time, openings []waitingOpening) {
	for i := range openings {
		if service := a.view.Service(openings[i].service); service != nil {
			a.reassess(now, service, &openings[i])
		}
	}
}

// waitingLimit returns the number of opening packets that the backend server can take within
// maxUsefulWait.
func (a *Agent) waitingLimit(service *fleet.RoutedService) int {
	serviceTime := a.expectedServiceTime(service)
	return min(int(a.load.slots*float64(maxUsefulWait)/float64(serviceTime)), maxWaiting)
}

// ReleaseWaiting returns what becomes of opening packets whose wait is over: those for which
// there is room are delivered here or forwarded to a sibling, the others are refused. It must
// be called after answers of the backend server, after load reports and now and then.
func (a *Agent) ReleaseWaiting(now time.Time) []Resolution {
	var released []Resolution
	a.reassessAll(now, a.waiting.openings)
	for _, opening := range a.waiting.takeRefused(now) {
		released = append(released, opening.resolve(&Reset{Reason: RefuseWait}))
	}
	for a.waiting.Len() > 0 {
		index := a.waiting.next()
		opening := &a.waiting.openings[index]
		if !a.hasRoomFor(now, opening) {
			if !opening.isLate {
				a.recordShortage(now)
			}
			break
		}
		released = append(released, a.release(now, a.waiting.take(index)))
	}
	return a.releaseToOffers(now, released)
}

// releaseToOffers hands opening packets over to the siblings that have reported a free slot, at
// most one for each, and adds them to released. The opening packet that goes next may have
// visited such a sibling already, while others have not.
func (a *Agent) releaseToOffers(now time.Time, released []Resolution) []Resolution {
	for _, sibling := range a.waiting.offers {
		for a.hasCapacity(now, sibling) {
			index := a.waiting.nextOf(func(w *waitingOpening) bool { return a.offerTarget(w, sibling) != nil })
			if index < 0 {
				break
			}
			opening := a.waiting.take(index)
			released = append(released, a.releaseAs(now, opening, handOver{a.offerTarget(&opening, sibling), HandOverFull}))
		}
	}
	a.waiting.offers = a.waiting.offers[:0]
	return released
}

// hasCapacity reports whether a sibling has a free slot by its latest report.
func (a *Agent) hasCapacity(now time.Time, sibling fleet.InstanceID) bool {
	report, known := a.latestReport(now, sibling)
	return known && report.limitUsage() < 1
}

// offerTarget returns the sibling as the target of a waiting opening packet, or nil if the packet
// must not be handed over to it.
func (a *Agent) offerTarget(opening *waitingOpening, sibling fleet.InstanceID) *fleet.Target {
	service := a.view.Service(opening.service)
	if service == nil {
		return nil
	}
	target := service.Target(sibling)
	if target == nil || !isEligible(target, opening.visited) {
		return nil
	}
	return target
}

// hasRoomFor reports whether a waiting opening packet need not wait any more: the backend
// server or a sibling has a free slot, or this agent accepts no flows. A new flow may queue at
// the server for a short time, see placeWithinObjective; one that has waited may not, since
// otherwise the queue would never become short while flows wait.
func (a *Agent) hasRoomFor(now time.Time, opening *waitingOpening) bool {
	service := a.view.Service(opening.service)
	switch {
	case service == nil || a.draining:
		return true
	case opening.isLate && !a.admitsLate(now):
		return false
	case !a.load.isFull():
		return true
	}
	candidates := a.candidates(service, opening.origin)
	return a.leastLoadedSibling(now, candidates, opening.flow, a.visitedWithSelf(opening.visited)) != nil
}

// release decides what becomes of an opening packet that need not wait any more.
func (a *Agent) release(now time.Time, opening waitingOpening) Resolution {
	service := a.view.Service(opening.service)
	if service == nil {
		return opening.resolve(&Reset{Reason: RefuseNotAccepting})
	}
	return a.releaseAs(now, opening, a.placeReleased(now, service, opening.received()))
}

// releaseAs applies the placement decision about an opening packet that has waited.
func (a *Agent) releaseAs(now time.Time, opening waitingOpening, decision placementDecision) Resolution {
	a.recordPlacement(now, opening.isLate, decision)
	service := a.view.Service(opening.service)
	action := copyAction(a.applyPlacement(now, service, opening.received(), decision))
	if forward, forwarded := action.(*Forward); forwarded {
		forward.Waited = true
	}
	return opening.resolve(action)
}

// placeReleased decides who serves a flow that need not wait any more: a sibling with a free
// slot if there is none here.
func (a *Agent) placeReleased(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if a.load.isFull() {
		var drawn choices
		if a.placesByWork() {
			a.drawChoices(now, service, received, drawNearWithSlot, &drawn)
		}
		if sibling := a.siblingWithRoom(now, service, received, &drawn); sibling != nil {
			return handOver{sibling, HandOverFull}
		}
	}
	return a.placeOpening(now, service, received)
}

// resolve returns what to do with the opening packet.
func (w *waitingOpening) resolve(action Action) Resolution {
	return Resolution{Action: action, Service: w.service, Opening: w.packet.Bytes(), Visited: w.visited}
}

// copyAction returns a copy of an action, which stays as it is when the agent decides again.
func copyAction(action Action) Action {
	switch v := action.(type) {
	case *Deliver:
		return new(*v)
	case *Forward:
		return new(*v)
	case *Reset:
		return new(*v)
	case *Drop:
		return new(*v)
	}
	return action
}
