package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Opening packets of carried flows wait at the agent while no backend server can serve them
// in time. Answers this pattern: everything returns at once, and for a second several times
// as many requests arrive as the servers can take, most of them late already, before the
// load is as usual again. A caller that is refused tries again at once, so that within
// milliseconds all its tries meet the same full servers; and if the servers queued all
// requests, the new ones would be late too. So the most urgent opening packets go first, and
// among these the newest, which can still be answered in time; the others take the slots
// that are left over.
//
// No opening packet waits here longer than until its caller sends the next copy, which goes
// to another agent and waits there. After the last copy the caller gets a reset.
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

// Wait is the action for an opening packet that waits in the agent. ReleaseWaiting returns
// what becomes of it.
type Wait struct{}

func (*Wait) isAction() {}

// postponement means that the flow waits until the backend server or a sibling has room.
// reason says what it waits for.
type postponement struct{ reason Reason }

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
	// giveUpAt is when the caller sends the next copy or, if isLastCopy is set, gives up.
	giveUpAt   time.Time
	isLastCopy bool
}

// isBefore reports whether the opening packet goes before another, older one.
func (w *waitingOpening) isBefore(older *waitingOpening) bool { return w.priority <= older.priority }

// received returns the opening packet as it was received.
func (w *waitingOpening) received() *ReceivedPacket {
	return &ReceivedPacket{Packet: w.packet, Service: w.service, Origin: w.origin, Visited: w.visited, Placed: w.placed}
}

// waitingRoom holds the waiting opening packets, oldest first.
type waitingRoom struct {
	openings []waitingOpening
	// evicted holds those that must be refused because there is no room for them.
	evicted []waitingOpening
}

// next returns the index of the opening packet that goes next, or -1 if none waits.
func (r *waitingRoom) next() int {
	best := -1
	for i := range r.openings {
		if best < 0 || r.openings[i].isBefore(&r.openings[best]) {
			best = i
		}
	}
	return best
}

// last returns the index of the opening packet that would go last. One must wait.
func (r *waitingRoom) last() int {
	last := 0
	for i := range r.openings {
		if r.openings[i].priority > r.openings[last].priority {
			last = i
		}
	}
	return last
}

// add adds an opening packet and evicts the one that would go last if there are more than
// limit.
func (r *waitingRoom) add(opening waitingOpening, limit int) {
	r.openings = append(r.openings, opening)
	if len(r.openings) > max(limit, 1) {
		r.evicted = append(r.evicted, r.take(r.last()))
	}
}

// take removes an opening packet and returns it.
func (r *waitingRoom) take(index int) waitingOpening {
	opening := r.openings[index]
	r.openings = slices.Delete(r.openings, index, index+1)
	return opening
}

// forget removes the opening packets of a flow.
func (r *waitingRoom) forget(id flow.ID) {
	r.openings = slices.DeleteFunc(r.openings, func(w waitingOpening) bool { return w.flow == id })
}

// takeExpired removes the opening packets whose wait is over and returns those whose caller
// sends no more copies.
func (r *waitingRoom) takeExpired(now time.Time) []waitingOpening {
	var last []waitingOpening
	r.openings = slices.DeleteFunc(r.openings, func(w waitingOpening) bool {
		if now.Before(w.giveUpAt) {
			return false
		}
		if w.isLastCopy {
			last = append(last, w)
		}
		return true
	})
	return last
}

// hasMoreUrgent reports whether an opening packet of higher priority waits.
func (r *waitingRoom) hasMoreUrgent(priority int) bool {
	return slices.ContainsFunc(r.openings, func(w waitingOpening) bool { return w.priority < priority })
}

// maxFullVisits is the number of agents without room that an opening packet visits before it
// waits at the next one. Their load reports may be old, and one of them may have room.
const maxFullVisits = 2

// postpone decides about a new flow for which there is no room here and no known room
// elsewhere: it is handed over to the next candidate, or waits if it has visited enough.
func (a *Agent) postpone(service *fleet.RoutedService, received *ReceivedPacket, reason Reason) placementDecision {
	if len(received.Visited) < maxFullVisits {
		visited := a.visitedWithSelf(received.Visited)
		if next := a.candidates(service, received.Origin).NextAccepting(received.Packet.Flow().Hash(), visited); next != nil {
			return handOver{next, HandOverFull}
		}
	}
	return postponement{reason}
}

// endOfWait returns when an opening packet that begins to wait now gives up, and whether its
// caller sends no more copies then.
func (a *Agent) endOfWait(now time.Time, service *fleet.RoutedService, packet flow.Packet) (giveUpAt time.Time, isLastCopy bool) {
	copies := min(int(packet.AcknowledgedToken()), len(copyIntervals)-1)
	giveUpAt = now.Add(copyIntervals[copies] - copyMargin)
	if timeoutAt := a.lastUsefulStart(now, service, packet); timeoutAt.Before(giveUpAt) {
		return timeoutAt, true
	}
	return giveUpAt, copies == len(copyIntervals)-1
}

// waitForRoom makes an opening packet wait.
func (a *Agent) waitForRoom(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	a.waiting.add(a.newWaitingOpening(now, service, received), a.waitingLimit(service))
	return &Wait{}
}

// newWaitingOpening returns an opening packet that begins to wait now.
func (a *Agent) newWaitingOpening(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) waitingOpening {
	packet := received.Packet
	giveUpAt, isLastCopy := a.endOfWait(now, service, packet)
	return waitingOpening{
		flow:       packet.Flow(),
		service:    service.ID(),
		priority:   service.Priority(),
		packet:     packet.Clone(),
		visited:    slices.Clone(received.Visited),
		origin:     received.Origin,
		placed:     received.Placed,
		giveUpAt:   giveUpAt,
		isLastCopy: isLastCopy,
	}
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

// lastUsefulStart returns when the backend server must have started to serve a flow at the
// latest, so that the answer comes before the timeout of the service. Without a timeout it is
// when the caller gives up the opening.
func (a *Agent) lastUsefulStart(now time.Time, service *fleet.RoutedService, opening flow.Packet) time.Time {
	firstCopyAt := now.Add(-timeSinceFirstCopy(opening))
	if service.Timeout() == 0 {
		return firstCopyAt.Add(openingTimeout)
	}
	return firstCopyAt.Add(service.Timeout() - a.load.serviceTimeOr(assumedServiceTime(service)))
}

// waitingLimit returns the number of opening packets that the backend server can take within
// maxUsefulWait.
func (a *Agent) waitingLimit(service *fleet.RoutedService) int {
	serviceTime := a.load.serviceTimeOr(assumedServiceTime(service))
	return min(int(a.load.slots*float64(maxUsefulWait)/float64(serviceTime)), maxWaiting)
}

// ReleaseWaiting returns what becomes of opening packets whose wait is over: those for which
// there is room are delivered here or forwarded to a sibling, the others are refused. It must
// be called after answers of the backend server and now and then.
func (a *Agent) ReleaseWaiting(now time.Time) []Resolution {
	var released []Resolution
	for _, opening := range slices.Concat(a.waiting.evicted, a.waiting.takeExpired(now)) {
		released = append(released, opening.resolve(&Reset{Reason: RefuseWait}))
	}
	a.waiting.evicted = nil
	for {
		index := a.waiting.next()
		if index < 0 || !a.hasRoomFor(now, &a.waiting.openings[index]) {
			return released
		}
		released = append(released, a.release(now, a.waiting.take(index)))
	}
}

// hasRoomFor reports whether a waiting opening packet need not wait any more: the backend
// server or a sibling has a free slot, or this agent accepts no flows. A new flow may queue at
// the server for a short time, see placeWithinObjective; one that has waited may not, since
// otherwise the queue would never become short while flows wait.
func (a *Agent) hasRoomFor(now time.Time, opening *waitingOpening) bool {
	service := a.view.Service(opening.service)
	if service == nil || a.draining || !a.load.isFull() {
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
	received := opening.received()
	decision := a.placeReleased(now, service, received)
	return opening.resolve(copyAction(a.applyPlacement(now, service, received, decision)))
}

// placeReleased decides who serves a flow that need not wait any more: a sibling with a free
// slot if there is none here.
func (a *Agent) placeReleased(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if a.load.isFull() {
		visited := a.visitedWithSelf(received.Visited)
		if sibling := a.leastLoadedSibling(now, a.candidates(service, received.Origin), received.Packet.Flow(), visited); sibling != nil {
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
