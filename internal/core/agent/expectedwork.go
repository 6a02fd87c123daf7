package agent

import (
	"math"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/work"
)

// expectedWork is what the agent expects of the requests of carried flows at its backend server:
// their service times, and the work that is left there.
type expectedWork struct {
	estimates *work.Estimates
	backlog   *work.Backlog
	// wait is the time that new requests wait for a slot.
	wait work.Average
	// reporters lists the siblings with a valid report, and some whose report has just expired.
	reporters []fleet.InstanceID
}

func newExpectedWork(slots int) expectedWork {
	return expectedWork{estimates: work.NewEstimates(), backlog: work.NewBacklog(slots)}
}

// requestID returns the identifier of the current request of a flow.
func requestID(entry *flowEntry) work.RequestID { return work.RequestID(entry.attempt) }

// estimateOf returns the estimate of the service times of a service, and adds one if there is
// none. It counts as a use.
func (a *Agent) estimateOf(now time.Time, service fleet.ServiceID) *work.Estimate {
	if estimate := a.work.estimates.Get(service); estimate != nil {
		return estimate
	}
	return a.work.estimates.Add(service, a.unlearnedServiceTime(now, service))
}

// expectedMean returns the expected service time of the requests of a service. Unlike
// estimateOf it changes nothing: it adds no estimate and does not count as a use.
func (a *Agent) expectedMean(now time.Time, service fleet.ServiceID) time.Duration {
	if estimate := a.work.estimates.Peek(service); estimate != nil {
		return estimate.Mean()
	}
	return a.unlearnedServiceTime(now, service)
}

// unlearnedServiceTime returns the service time to assume while the backend server has answered
// too few requests of a service: that of the siblings or, if it is not known either, a share of
// the latency objective.
func (a *Agent) unlearnedServiceTime(now time.Time, id fleet.ServiceID) time.Duration {
	if usual, known := a.siblingServiceTime(now, id); known {
		return usual
	}
	if service := a.view.Service(id); service != nil {
		return assumedServiceTime(service)
	}
	return 0
}

// updateUnlearned updates the service times that are assumed of services with too few samples.
func (a *Agent) updateUnlearned(now time.Time) {
	a.work.estimates.EachUnlearned(func(id fleet.ServiceID, estimate *work.Estimate) {
		estimate.Assume(a.unlearnedServiceTime(now, id))
	})
}

// forgetServiceTimes discards the service times learned: the backend server may run another
// version now.
func (a *Agent) forgetServiceTimes() { a.work.estimates = work.NewEstimates() }

// expectRequest adds the work of a request of which bytes are still to come.
func (a *Agent) expectRequest(now time.Time, entry *flowEntry) {
	share := 1.0
	if entry.isTransferring() {
		share = a.load.transferShare()
	}
	a.work.backlog.Expect(requestID(entry), a.estimateOf(now, entry.service), share)
}

// receiveRequest records that the backend server has received the current request of a flow.
func (a *Agent) receiveRequest(now time.Time, entry *flowEntry) {
	a.work.backlog.SetSlots(now, int(a.load.slots))
	estimate := a.estimateOf(now, entry.service)
	entry.expectedServiceTime = estimate.Mean()
	a.work.backlog.Receive(now, requestID(entry), estimate)
}

// endRequest removes the work of a request whose service time is not recorded, as of one
// without an answer.
func (a *Agent) endRequest(now time.Time, entry *flowEntry) {
	a.work.backlog.End(now, requestID(entry))
}

// learnServiceTime removes the work of an answered request and records its service time. That of
// a request that was queued counts from when it got a slot. One that was answered in the queue
// was rejected by the backend server and is no sample.
func (a *Agent) learnServiceTime(now time.Time, entry *flowEntry) {
	startedAt, started := a.work.backlog.End(now, requestID(entry))
	if !entry.queued {
		startedAt = entry.requestDeliveredAt
	}
	if !started || !now.After(startedAt) {
		return
	}
	actual := now.Sub(startedAt)
	a.config.Observer.ObserveServiceTime(entry.expectedServiceTime, actual)
	a.estimateOf(now, entry.service).Record(actual)
}

// WorkLeft returns the expected remaining work of the requests of carried flows at the backend
// server, in slot-time.
func (a *Agent) WorkLeft(now time.Time) time.Duration { return a.work.backlog.Left(now) }

// sampleWait adds the time that a new request would wait for a slot now to its average.
func (a *Agent) sampleWait(now time.Time) { a.work.wait.Add(now, a.work.backlog.Wait(now)) }

// reportedWork returns the work that a new request waits for on average, in microseconds of
// slot-time, as in a Report.
func (a *Agent) reportedWork() uint32 {
	left := time.Duration(float64(a.work.wait.Value()) * a.load.slots)
	return uint32(min(left.Microseconds(), math.MaxUint32))
}

// addReporter lists a sibling whose report is stored, if placement draws from the list.
func (a *Agent) addReporter(id fleet.InstanceID) {
	if !a.placesByWork() {
		return
	}
	if stored := a.reports[id]; !stored.isListed {
		stored.isListed = true
		a.reports[id] = stored
		a.work.reporters = append(a.work.reporters, id)
	}
}

// removeReporter removes a sibling from the list, the last one of which takes its place.
func (a *Agent) removeReporter(index int) {
	reporters := a.work.reporters
	stored := a.reports[reporters[index]]
	stored.isListed = false
	a.reports[reporters[index]] = stored
	reporters[index] = reporters[len(reporters)-1]
	a.work.reporters = reporters[:len(reporters)-1]
}

// sweepReporters removes the siblings whose report is not valid any more.
func (a *Agent) sweepReporters(now time.Time) {
	for i := len(a.work.reporters) - 1; i >= 0; i-- {
		if now.After(a.reports[a.work.reporters[i]].expiresAt) {
			a.removeReporter(i)
		}
	}
}

// countWorkHandedOver adds the work of a flow that is handed over to the work of its target.
func (a *Agent) countWorkHandedOver(now time.Time, service fleet.ServiceID, target fleet.InstanceID) {
	stored, known := a.reports[target]
	if !a.config.Carried || !known {
		return
	}
	stored.work.Add(now, a.serviceTimeAt(now, service, stored.report))
	a.reports[target] = stored
}

// serviceTimeAt returns the mean service time of the requests of a service at a sibling, by its
// report, or the one expected here if the sibling does not know it yet.
func (a *Agent) serviceTimeAt(now time.Time, service fleet.ServiceID, report Report) time.Duration {
	for i := range report.Services {
		if report.Services[i].Service == service && report.Services[i].Time > 0 {
			return time.Duration(report.Services[i].Time) * time.Microsecond
		}
	}
	if report.ServiceTime > 0 {
		return time.Duration(report.ServiceTime) * time.Microsecond
	}
	return a.expectedMean(now, service)
}
