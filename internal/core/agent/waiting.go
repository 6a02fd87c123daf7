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
