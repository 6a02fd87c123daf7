package agent

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	// coldLimit is the limit of a cold backend server, in requests.
	coldLimit = 1.0
	// lateFactor is the multiple of the average latency above which an answer is late.
	lateFactor = 4.0
	// minLateLatency is the latency up to which no answer is late.
	minLateLatency = 50 * time.Millisecond
	// limitDecrease is the factor applied to the limit after a late answer.
	limitDecrease = 0.7
	// latencyGain is the weight of a new sample in the averages of latency and service
	// time.
	latencyGain = 0.1

	// initialGrowth is the part of a slot that an answer in time adds to the limit. It is
	// halved, down to minGrowth, each time the backend server fails before the limit
	// has reached the number of slots.
	initialGrowth = 1.0 / 24
	minGrowth     = 1.0 / 192

	// minSlotHold is the shortest time for which an unanswered request holds its slot, and
	// slotHoldFactor the multiple of the average latency for which it does so if that is
	// longer.
	minSlotHold    = 5 * time.Second
	slotHoldFactor = 10

	// utilisationTimeConstant is the time constant of the utilisation's moving average.
	utilisationTimeConstant = 8 * time.Second
)

// Load tracks the requests in progress at a backend server and limits their number. The
// limit starts at one, since a backend server is cold until it has answered, and grows
// with each answer that comes in time, up to the number of slots.
type Load struct {
	// slots is the number of requests that the warm backend server runs at once.
	slots float64
	limit float64
	// growth is the part of a slot that an answer in time adds to the limit.
	growth float64
	// running is the number of slots taken: by requests in progress, and by new flows whose
	// first request is still to come.
	running int
	// transfers is the number of upload requests of which bytes are still to come.
	transfers int
	// transferTime is the average time that the transfer of an upload request takes, in
	// nanoseconds, or zero if that is not known yet.
	transferTime float64
	// latency is the average time to answer, in nanoseconds, or zero if there was no answer
	// since the limit was last reset.
	latency float64
	// serviceTime is the average time to answer a request, without the time that it queues,
	// in nanoseconds, or zero if that is not known yet.
	serviceTime float64
	// serviceTimeSamples is the number of samples recorded in serviceTime.
	serviceTimeSamples int
	// inService is the number of requests that the backend server has received and not
	// answered. Unlike running, it does not count a new flow whose first request is still
	// to come.
	inService int
	// saturatedSince is when the backend server began to have a request for each slot, or
	// zero while it does not.
	saturatedSince time.Time
	lastAnswerAt   time.Time

	// busyTime is the integral of the used share of slots over time, from sampledAt to
	// integratedAt.
	busyTime     time.Duration
	integratedAt time.Time
	sampledAt    time.Time
	utilisation  float64
}

// NewLoad returns the load of a cold backend server with a number of slots.
func NewLoad(now time.Time, slots int) *Load {
	return &Load{slots: float64(slots), limit: coldLimit, growth: initialGrowth, integratedAt: now, sampledAt: now}
}

// NewWarmLoad returns the load of a backend server that queues requests itself. Its limit
// is the number of slots from the start: the list of backend servers names its cold start,
// and slowStart limits its new flows meanwhile.
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
func (l *Load) HasFreeSlot() bool { return l.occupied()+1 <= l.limit }

// IsCold reports whether the limit has not reached the number of slots.
func (l *Load) IsCold() bool { return l.limit < l.slots }

// Running returns the number of slots taken, by requests in progress and by new flows
// whose first request is still to come.
func (l *Load) Running() int { return l.running }

// Limit returns the number of requests that the backend server can run at once, rounded
// down.
func (l *Load) Limit() int { return int(l.limit) }

// limitUsage returns the share of the limit in use. It exceeds 1 if more requests are
// running than the limit allows.
func (l *Load) limitUsage() float64 { return l.occupied() / l.limit }

// occupied returns the number of slots taken, with the shares that transfers take.
func (l *Load) occupied() float64 { return float64(l.running) + float64(l.transfers)*l.transferShare() }

// transferShare returns the share of a slot that one transfer takes: the share of a request's
// time at the backend server in which the server works on it, and at least one in
// maxTransfersPerSlot.
func (l *Load) transferShare() float64 {
	const least = 1.0 / maxTransfersPerSlot
	if l.transferTime == 0 || l.serviceTime == 0 {
		return least
	}
	return max(least, l.serviceTime/(l.serviceTime+l.transferTime))
}

// beginTransfer counts an upload request whose bytes are still to come.
func (l *Load) beginTransfer() { l.transfers++ }

// endTransfer counts the end of a transfer, whether all bytes have come or not.
func (l *Load) endTransfer() { l.transfers = max(l.transfers-1, 0) }

// recordTransferTime adds a sample to the average time that a transfer takes.
func (l *Load) recordTransferTime(sample time.Duration) {
	if l.transferTime == 0 {
		l.transferTime = float64(sample)
	}
	l.transferTime += latencyGain * (float64(sample) - l.transferTime)
}

// start takes a slot for a request.
func (l *Load) start(now time.Time) {
	l.integrateBusyTime(now)
	l.running++
}

// cancel frees the slot of a request that ended, or stopped counting, without an answer.
func (l *Load) cancel(now time.Time) {
	l.integrateBusyTime(now)
	l.running = max(l.running-1, 0)
}

// finish frees the slot of an answered request and adjusts the limit: additive increase
// for an answer in time, multiplicative decrease for a late one while the backend server
// is cold.
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

// SlotDeadline returns until when a request that starts now holds its slot without an
// answer. From then on it counts as a stream, which holds none.
func (l *Load) SlotDeadline(now time.Time) time.Time {
	return now.Add(max(minSlotHold, time.Duration(slotHoldFactor*l.latency)))
}

// recordServiceTime adds a sample to the average service time: the latency of a request
// that did not queue, or the estimate that endService makes while the backend server is
// saturated. The first samples weigh equally.
func (l *Load) recordServiceTime(sample time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = float64(sample)
	}
	l.serviceTimeSamples++
	gain := max(latencyGain, 1/float64(l.serviceTimeSamples))
	l.serviceTime += gain * (float64(sample) - l.serviceTime)
}

// isSaturated reports whether the backend server has a request for each slot.
func (l *Load) isSaturated() bool { return float64(l.inService) >= l.slots }

// beginService counts a request that the backend server has received.
func (l *Load) beginService(now time.Time) {
	l.inService++
	if l.saturatedSince.IsZero() && l.isSaturated() {
		l.saturatedSince = now
	}
}

// endService counts the end of a request, which the backend server has answered or not.
//
// While the backend server is saturated, the number of slots times the time between two
// answers is recorded as a service time. Under overload every request queues, so that
// otherwise the average would stay at the service times of the first requests.
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

// minServiceTimeSamples is the number of samples from which the average service time is
// reported to siblings and used for the weight.
const minServiceTimeSamples = 10

// knownServiceTime returns the average time to answer a request that does not queue, or
// zero while there are fewer than minServiceTimeSamples samples.
func (l *Load) knownServiceTime() time.Duration {
	if l.serviceTimeSamples < minServiceTimeSamples {
		return 0
	}
	return time.Duration(l.serviceTime)
}

// isFull reports whether all slots are taken, so that one more request would queue.
func (l *Load) isFull() bool { return l.occupied() >= l.slots }

// serviceTimeOr returns the average service time, or assumed while none has been recorded.
func (l *Load) serviceTimeOr(assumed time.Duration) time.Duration {
	if l.serviceTime == 0 {
		return assumed
	}
	return time.Duration(l.serviceTime)
}

// expectedResponseTime returns how long one more request would take, with the time that it
// queues. assumed is the service time to use while none has been recorded.
func (l *Load) expectedResponseTime(assumed time.Duration) time.Duration {
	serviceTime := l.serviceTimeOr(assumed)
	if !l.isFull() {
		return serviceTime
	}
	return time.Duration(float64(serviceTime) * (l.occupied() + 1) / l.slots)
}

// ResetLimit sets the limit back to that of a cold backend server, which has failed or
// restarted. If it failed while the limit was growing, the limit grows more slowly from
// now on, which gives it more time to warm up.
func (l *Load) ResetLimit() {
	if l.IsCold() && l.limit > coldLimit {
		l.growth = max(minGrowth, l.growth/2)
	}
	l.limit = coldLimit
	l.latency = 0
}

// integrateBusyTime brings busyTime up to date. It must be called before running changes.
func (l *Load) integrateBusyTime(now time.Time) {
	share := min(float64(l.running), l.slots) / l.slots
	l.busyTime += time.Duration(share * float64(now.Sub(l.integratedAt)))
	l.integratedAt = now
}

// Utilisation adds the time since the last call to the moving average of the share of
// slots in use, and returns the average.
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
