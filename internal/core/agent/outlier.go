package agent

import (
	"slices"
	"time"
)

// Parameters of outlier ejection: a backend server that fails more of its requests than its
// siblings gets no new flows except trials. Guards against servers of a service that fail
// some or all of their requests while their health endpoints report success; those that
// fail at once look idle and attract even more flows. Only the outcomes of requests count,
// and only in comparison with the siblings; health endpoints are ignored. A fast answer
// counts as failed only if the siblings take longer, since in some services many requests
// are answered fast.
const (
	// failureRateGain is the weight of one request in the average failure rate.
	failureRateGain = 1.0 / 16
	// minOutcomes is the number of requests from which the failure rate counts.
	minOutcomes = 12
	// ejectExcess is the excess of the failure rate over the siblings' median above which
	// the server is ejected, and readmitExcess the one down to which it must fall to be
	// readmitted. Both are shares of requests.
	ejectExcess   = 0.25
	readmitExcess = 0.1
	// minServiceTimeShare is the share of the siblings' service time that an answer must
	// take. A faster one counts as failed: the server has most likely rejected the request.
	minServiceTimeShare = 0.2
	// minHangTimeout is the shortest time after which a request without an answer counts
	// as failed, and hangFactor the multiple of the siblings' service time after which it
	// does so if that is longer.
	minHangTimeout = time.Second
	hangFactor     = 10
	// minSiblingReports is the number of siblings whose reports are needed for a comparison.
	minSiblingReports = 2
	// maxEjectedDivisor bounds ejection: a server is ejected only if, with it, at most one
	// in maxEjectedDivisor of the server and its siblings is ejected by the latest
	// reports.
	maxEjectedDivisor = 3
)

// outlierDetector tracks how many of the backend server's requests fail.
type outlierDetector struct {
	// failureRate is the moving average of the share of requests that failed.
	failureRate float64
	// outcomes is the number of requests recorded.
	outcomes int
	// ejected reports that the server gets no new flows except trials because of its
	// failure rate.
	ejected bool
}

// record adds the outcome of a request to the failure rate.
func (d *outlierDetector) record(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	d.outcomes++
	d.failureRate += failureRateGain * (sample - d.failureRate)
}

// recordOutcome records whether a request failed. If answered, latency is the time
// to the answer; otherwise the request was reset or has hung, and latency is not used.
func (a *Agent) recordOutcome(now time.Time, latency time.Duration, answered bool) {
	usual, known := a.siblingServiceTime(now)
	a.outliers.record(!answered || known && latency < time.Duration(minServiceTimeShare*float64(usual)))
}

// isHung reports whether a request has gone without an answer for so long that it counts as
// failed. It reports false if the request was counted already.
func (a *Agent) isHung(now time.Time, entry *flowEntry) bool {
	if entry.requestDeliveredAt.IsZero() || entry.countedFailed {
		return false
	}
	usual, _ := a.siblingServiceTime(now)
	return now.Sub(entry.requestDeliveredAt) > max(minHangTimeout, hangFactor*usual)
}

// siblingServiceTime returns the median of the service times that the siblings report. It
// reports false if fewer than minSiblingReports siblings report one.
func (a *Agent) siblingServiceTime(now time.Time) (time.Duration, bool) {
	var serviceTimes []uint32
	for _, sibling := range a.Siblings() {
		if report, found := a.latestReport(now, sibling.ID()); found && report.ServiceTime > 0 {
			serviceTimes = append(serviceTimes, report.ServiceTime)
		}
	}
	if len(serviceTimes) < minSiblingReports {
		return 0, false
	}
	return time.Duration(median(serviceTimes)) * time.Microsecond, true
}

// median returns the upper median of values, which must not be empty. It sorts values.
func median[T uint16 | uint32](values []T) T {
	slices.Sort(values)
	return values[len(values)/2]
}

// updateEjection ejects or readmits the backend server by how far its failure rate exceeds
// the median of its siblings'. It changes nothing while too few requests or reports are
// known.
func (a *Agent) updateEjection(now time.Time) {
	var failureRates []uint16
	ejectedSiblings := 0
	for _, sibling := range a.Siblings() {
		report, found := a.latestReport(now, sibling.ID())
		if !found {
			continue
		}
		failureRates = append(failureRates, report.FailureRate)
		if report.Ejected {
			ejectedSiblings++
		}
	}
	if len(failureRates) < minSiblingReports || a.outliers.outcomes < minOutcomes {
		return
	}
	excess := a.outliers.failureRate - float64(median(failureRates))/perMille
	switch {
	case a.outliers.ejected:
		a.outliers.ejected = excess > readmitExcess
	case excess > ejectExcess:
		a.outliers.ejected = (ejectedSiblings+1)*maxEjectedDivisor <= len(a.Siblings())+1
	}
}

// IsEjected reports whether the backend server gets no new flows except trials because it
// fails more of its requests than its siblings.
func (a *Agent) IsEjected() bool { return a.outliers.ejected }
