package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// reservationPeriod is how long after a shortage of room the free slots of the backend server
// are reserved for opening packets that can still be answered within the objective.
const reservationPeriod = 100 * time.Millisecond

// expectedServiceTime returns how long the backend server is expected to work on a request of a
// service.
func (a *Agent) expectedServiceTime(service *fleet.RoutedService) time.Duration {
	return a.load.serviceTimeOr(assumedServiceTime(service))
}

// objectiveDeadline returns the end of the latency objective of an opening packet that arrives
// now, or zero if the service publishes no objective.
func objectiveDeadline(now time.Time, service *fleet.RoutedService, opening flow.Packet) time.Time {
	if service.LatencyObjective() == 0 {
		return time.Time{}
	}
	return now.Add(service.LatencyObjective() - timeSinceFirstCopy(opening))
}

// isLate reports whether a request whose service starts now is expected to be answered after
// its objective deadline, which is zero if there is none.
func (a *Agent) isLate(now time.Time, service *fleet.RoutedService, objectiveAt time.Time) bool {
	return !objectiveAt.IsZero() && now.Add(a.expectedServiceTime(service)).After(objectiveAt)
}

// placeLate decides about a new flow that arrives too late to be placed like others, and
// returns nil about any other. A flow that cannot be answered before the timeout is refused. A
// late flow waits while the free slots are reserved for flows that are not late.
func (a *Agent) placeLate(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) placementDecision {
	if !a.config.Carried {
		return nil
	}
	if service.Timeout() != 0 && !now.Before(a.lastUsefulStart(service, timeoutDeadline(now, service, received.Packet))) {
		return refusal{RefuseTimeout}
	}
	if !a.admitsLate(now) && a.isLate(now, service, objectiveDeadline(now, service, received.Packet)) {
		return postponement{WaitLate}
	}
	return nil
}

// admitsLate reports whether late opening packets may take free slots: the backend server is
// idle, or there was no shortage of room within reservationPeriod.
func (a *Agent) admitsLate(now time.Time) bool {
	return a.load.occupied() == 0 || !now.Before(a.waiting.reservedUntil)
}

// recordShortage records that an opening packet has to wait, or is handed over, because the
// backend server is full.
func (a *Agent) recordShortage(now time.Time) {
	a.waiting.reservedUntil = now.Add(reservationPeriod)
}

// recordPlacement records a shortage if an opening packet that is not late finds the backend
// server full.
func (a *Agent) recordPlacement(now time.Time, isLate bool, decision placementDecision) {
	if isLate {
		return
	}
	switch v := decision.(type) {
	case handOver:
		if v.reason == HandOverFull {
			a.recordShortage(now)
		}
	case postponement:
		a.recordShortage(now)
	}
}
