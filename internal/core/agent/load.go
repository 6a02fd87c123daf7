package agent

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	coldLimit = 1.0
	// slowFactor times the usual latency marks an answer as late.
	slowFactor = 4.0
	// latencyFloor is the shortest time in which an answer counts as late.
	latencyFloor = 50 * time.Millisecond
	// limitDecrease is applied to the limit after a late answer.
	limitDecrease = 0.7
	// latencyGain is the weight of a new sample in the latency average.
	latencyGain = 0.1

	// initialGrowth is the part of a slot that an answer in time adds to the
	// limit. It is halved when the backend server falls while it warms up, down
	// to minGrowth.
	initialGrowth = 1.0 / 24
	minGrowth     = 1.0 / 192

	// minPatience and patienceFactor, which applies to the usual latency, bound
	// how long an unanswered request holds its slot.
	minPatience    = 5 * time.Second
	patienceFactor = 10

	// utilisationPeriod is the time constant of the utilisation average.
	utilisationPeriod = 8 * time.Second
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
	// work is the average time to answer a request, without the time that it queues, in
	// nanoseconds.
	work float64
	// worked is the number of requests that the average rests on.
	worked int
	// working is the number of requests that the backend server has and has not answered.
	// Of a flow that opens, the request is still to come.
	working int
	// busySince is since when it has had a request for each slot, or zero.
	busySince time.Time
	// workedAt is when it answered last.
	workedAt time.Time

	// busy is the time integral of the used share of slots since sampledAt.
	busy        time.Duration
	changedAt   time.Time
	sampledAt   time.Time
	utilisation float64
}

// NewLoad returns the load of a cold backend server with a number of slots.
func NewLoad(now time.Time, slots int) *Load {
	return &Load{slots: float64(slots), limit: coldLimit, growth: initialGrowth, changedAt: now, sampledAt: now}
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

// usage is the share of the limit in use.
func (l *Load) usage() float64 { return float64(l.running) / l.limit }

// start counts a request that the backend server is given.
func (l *Load) start(now time.Time) {
	l.integrate(now)
	l.running++
}

// cancel takes back a request that is not waited for any more.
func (l *Load) cancel(now time.Time) {
	l.integrate(now)
	l.running = max(l.running-1, 0)
}

// finish counts an answer and adjusts the limit: additive increase for one that
// came in time, multiplicative decrease for a late one.
func (l *Load) finish(now time.Time, latency time.Duration) {
	l.cancel(now)
	late := l.latency > 0 && latency > latencyFloor && float64(latency) > slowFactor*l.latency
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
	return now.Add(max(minPatience, time.Duration(patienceFactor*l.latency)))
}

// recordServiceTime counts the time to answer a request that did not queue.
func (l *Load) recordServiceTime(latency time.Duration) {
	if l.work == 0 {
		l.work = float64(latency)
	}
	l.worked++
	gain := max(latencyGain, 1/float64(l.worked))
	l.work += gain * (float64(latency) - l.work)
}

// isSaturated reports whether the backend server has a request for each slot.
func (l *Load) isSaturated() bool { return float64(l.working) >= l.slots }

// beginService counts a request that the backend server has got.
func (l *Load) beginService(now time.Time) {
	l.working++
	if l.busySince.IsZero() && l.isSaturated() {
		l.busySince = now
	}
}

// endService counts a request that the backend server has answered, or that has gone otherwise.
// While it has a request for each slot, one takes as long as the time between two answers
// for each slot. Under overload no request is without a queue, and what was learned of the
// first ones would stay.
func (l *Load) endService(now time.Time, answered bool) {
	if answered {
		if !l.busySince.IsZero() && !l.workedAt.Before(l.busySince) {
			l.recordServiceTime(time.Duration(l.slots * float64(now.Sub(l.workedAt))))
		}
		l.workedAt = now
	}
	l.working = max(l.working-1, 0)
	if !l.isSaturated() {
		l.busySince = time.Time{}
	}
}

// minWorked is the number of requests after which their average counts.
const minWorked = 10

// knownWork returns how long a request takes that does not queue, or zero if that is
// not known yet.
func (l *Load) knownWork() time.Duration {
	if l.worked < minWorked {
		return 0
	}
	return time.Duration(l.work)
}

// isFull reports whether all slots are taken, so that one more request would wait.
func (l *Load) isFull() bool { return float64(l.running) >= l.slots }

// expected returns how long one more request would take. usual is how long one is taken
// to need that does not queue, as long as none has been answered.
func (l *Load) expected(usual time.Duration) time.Duration {
	work := l.work
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

func (l *Load) integrate(now time.Time) {
	share := min(float64(l.running), l.slots) / l.slots
	l.busy += time.Duration(share * float64(now.Sub(l.changedAt)))
	l.changedAt = now
}

// Utilisation returns the average share of slots in use.
func (l *Load) Utilisation(now time.Time) float64 {
	l.integrate(now)
	elapsed := now.Sub(l.sampledAt)
	if elapsed <= 0 {
		return l.utilisation
	}
	sample := float64(l.busy) / float64(elapsed)
	keep := math.Exp(-float64(elapsed) / float64(utilisationPeriod))
	l.utilisation = keep*l.utilisation + (1-keep)*sample
	l.busy, l.sampledAt = 0, now
	return l.utilisation
}
