package agent

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	coldLimit = 1.0
	// lateFactor times the usual latency marks an answer as late.
	lateFactor = 4.0
	// minLateLatency is the shortest time in which an answer counts as late.
	minLateLatency = 50 * time.Millisecond
	// limitDecrease is applied to the limit after a late answer.
	limitDecrease = 0.7
	// latencyGain is the weight of a new sample in the latency average.
	latencyGain = 0.1

	// initialGrowth is the part of a slot that an answer in time adds to the
	// limit. It is halved when the backend server falls while it warms up, down
	// to minGrowth.
	initialGrowth = 1.0 / 24
	minGrowth     = 1.0 / 192

	// minSlotHold and patienceFactor, which applies to the usual latency, bound
	// how long an unanswered request holds its slot.
	minSlotHold    = 5 * time.Second
	slotHoldFactor = 10

	// utilisationTimeConstant is the time constant of the utilisation average.
	utilisationTimeConstant = 8 * time.Second
)

// Load tracks the requests a backend server is running and the number it can
// bear. The limit starts at one, since a backend server is cold until it has
// answered, and grows with each answer that comes in time.
type Load struct {
	slots   float64
	limit   float64
	growth  float64
	running int
	// latency is the average time to answer, in nanoseconds.
	latency float64
	// serviceTime is the average time to answer a request, without the time that it queues, in
	// nanoseconds.
	serviceTime float64
	// serviceTimeSamples is the number of requests that the average rests on.
	serviceTimeSamples int
	// inService is the number of requests that the backend server has and has not answered.
	// Of a flow that opens, the request is still to come.
	inService int
	// saturatedSince is since when it has had a request for each slot, or zero.
	saturatedSince time.Time
	// lastAnswerAt is when it answered last.
	lastAnswerAt time.Time

	// busyTime is the time integral of the used share of slots since sampledAt.
	busyTime        time.Duration
	integratedAt   time.Time
	sampledAt   time.Time
	utilisation float64
}

// NewLoad returns the load of a cold backend server with a number of slots.
func NewLoad(now time.Time, slots int) *Load {
	return &Load{slots: float64(slots), limit: coldLimit, growth: initialGrowth, integratedAt: now, sampledAt: now}
}

// NewWarmLoad returns the load of a backend server that queues requests itself and
// whose cold start others tell of.
func NewWarmLoad(now time.Time, slots int) *Load {
	load := NewLoad(now, slots)
	load.limit = load.slots
	return load
}

// SetSlots sets the number of slots of a warm backend server.
func (l *Load) SetSlots(slots int) {
	l.slots = float64(slots)
	l.limit = l.slots
}

// HasFreeSlot reports whether one more request fits the limit.
func (l *Load) HasFreeSlot() bool { return float64(l.running)+1 <= l.limit }

// IsCold reports whether the limit has not reached the number of slots.
func (l *Load) IsCold() bool { return l.limit < l.slots }

// Running returns the number of requests awaiting an answer.
func (l *Load) Running() int { return l.running }

// Limit returns the number of requests the backend server can bear.
func (l *Load) Limit() int { return int(l.limit) }

// limitUsage is the share of the limit in use.
func (l *Load) limitUsage() float64 { return float64(l.running) / l.limit }

// start counts a request that the backend server is given.
func (l *Load) start(now time.Time) {
	l.integrateBusyTime(now)
	l.running++
}

// cancel takes back a request that is not waited for any more.
func (l *Load) cancel(now time.Time) {
	l.integrateBusyTime(now)
	l.running = max(l.running-1, 0)
}

// finish counts an answer and adjusts the limit: additive increase for one that
// came in time, multiplicative decrease for a late one.
func (l *Load) finish(now time.Time, latency time.Duration) {
	l.cancel(now)
	late := l.latency > 0 && latency > minLateLatency && float64(latency) > lateFactor*l.latency
	if l.latency == 0 {
		l.latency = float64(latency)
	}
	l.latency += latencyGain * (float64(latency) - l.latency)
	if late && l.IsCold() {
		l.limit = max(coldLimit, l.limit*limitDecrease)
		return
	}
	l.limit = min(l.slots, l.limit+l.growth)
}

// SlotDeadline returns the instant from which a request that started now and has
// no answer yet counts as a stream that holds no slot.
func (l *Load) SlotDeadline(now time.Time) time.Time {
	return now.Add(max(minSlotHold, time.Duration(slotHoldFactor*l.latency)))
}

// recordServiceTime counts the time to answer a request that did not queue.
func (l *Load) recordServiceTime(latency time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = float64(latency)
	}
	l.serviceTimeSamples++
	gain := max(latencyGain, 1/float64(l.serviceTimeSamples))
	l.serviceTime += gain * (float64(latency) - l.serviceTime)
}

// isSaturated reports whether the backend server has a request for each slot.
func (l *Load) isSaturated() bool { return float64(l.inService) >= l.slots }

// beginService counts a request that the backend server has got.
func (l *Load) beginService(now time.Time) {
	l.inService++
	if l.saturatedSince.IsZero() && l.isSaturated() {
		l.saturatedSince = now
	}
}

// endService counts a request that the backend server has answered, or that has gone otherwise.
// While it has a request for each slot, one takes as long as the time between two answers
// for each slot. Under overload no request is without a queue, and what was learned of the
// first ones would stay.
func (l *Load) endService(now time.Time, answered bool) {
	if answered {
		if !l.saturatedSince.IsZero() && !l.lastAnswerAt.Before(l.saturatedSince) {
			l.recordServiceTime(time.Duration(l.slots * float64(now.Sub(l.lastAnswerAt))))
		}
		l.lastAnswerAt = now
	}
	l.inService = max(l.inService-1, 0)
	if !l.isSaturated() {
		l.saturatedSince = time.Time{}
	}
}

// minServiceTimeSamples is the number of requests after which their average counts.
const minServiceTimeSamples = 10

// knownServiceTime returns how long a request takes that does not queue, or zero if that is
// not known yet.
func (l *Load) knownServiceTime() time.Duration {
	if l.serviceTimeSamples < minServiceTimeSamples {
		return 0
	}
	return time.Duration(l.serviceTime)
}

// isFull reports whether all slots are taken, so that one more request would wait.
func (l *Load) isFull() bool { return float64(l.running) >= l.slots }

// expectedResponseTime returns how long one more request would take. usual is how long one is taken
// to need that does not queue, as long as none has been answered.
func (l *Load) expectedResponseTime(usual time.Duration) time.Duration {
	work := l.serviceTime
	if work == 0 {
		work = float64(usual)
	}
	if !l.isFull() {
		return time.Duration(work)
	}
	return time.Duration(work * float64(l.running+1) / l.slots)
}

// ResetLimit puts the limit back to cold. A backend server that fell while it
// warmed up gets more time for it.
func (l *Load) ResetLimit() {
	if l.IsCold() && l.limit > coldLimit {
		l.growth = max(minGrowth, l.growth/2)
	}
	l.limit = coldLimit
	l.latency = 0
}

func (l *Load) integrateBusyTime(now time.Time) {
	share := min(float64(l.running), l.slots) / l.slots
	l.busyTime += time.Duration(share * float64(now.Sub(l.integratedAt)))
	l.integratedAt = now
}

// Utilisation returns the average share of slots in use.
func (l *Load) Utilisation(now time.Time) float64 {
	l.integrateBusyTime(now)
	elapsed := now.Sub(l.sampledAt)
	if elapsed <= 0 {
		return l.utilisation
	}
	sample := float64(l.busyTime) / float64(elapsed)
	keep := math.Exp(-float64(elapsed) / float64(utilisationTimeConstant))
	l.utilisation = keep*l.utilisation + (1-keep)*sample
	l.busyTime, l.sampledAt = 0, now
	return l.utilisation
}
