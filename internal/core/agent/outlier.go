package agent

import (
	"slices"
	"time"
)

// Whether the backend server fails what it takes. The load pattern it answers: some of the
// servers of a service fail a part of their requests, or all, while their health endpoints
// say that all is well; those that fail at once look idle and draw even more flows. Only
// what answers show counts, and only against the siblings: a service may be such that many
// answers are short.
const (
	// failureRateGain is the weight of one request in the average.
	failureRateGain = 1.0 / 16
	// minOutcomes is the number of requests after which the average counts.
	minOutcomes = 12
	// ejectExcess is the share of failed requests beyond the siblings' from which the
	// server gets no new flows, and healthyExcess the one under which it gets them again.
	ejectExcess = 0.25
	readmitExcess = 0.1
	// minServiceTimeShare is the part of the siblings' work that a request takes at least. A shorter
	// one has most likely been turned down.
	minServiceTimeShare = 0.2
	// minHangTimeout is how long a request may take, and hungFactor how many times the siblings'
	// work, before it counts as failed.
	minHangTimeout  = time.Second
	hangFactor = 10
	// minSiblingReports is the number of siblings whose reports are needed for a comparison.
	minSiblingReports = 2
	// maxEjectedDivisor is the part of a service's servers that may be without new flows at once for
	// failing, as a divisor.
	maxEjectedDivisor = 3
)

// outlierDetector follows how many of the backend server's requests fail.
type outlierDetector struct {
	failureRate float64
	outcomes  int
	// ejected tells that the server gets no new flows for failing.
	ejected bool
}

func (j *outlierDetector) record(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	j.outcomes++
	j.failureRate += failureRateGain * (sample - j.failureRate)
}

// recordOutcome judges a request that was answered after a time, or ended without an answer.
func (a *Agent) recordOutcome(now time.Time, took time.Duration, answered bool) {
	work, known := a.siblingServiceTime(now)
	a.outliers.record(!answered || known && took < time.Duration(minServiceTimeShare*float64(work)))
}

// isHung reports whether a request without an answer counts as failed.
func (a *Agent) isHung(now time.Time, known *flowEntry) bool {
	if known.requestDeliveredAt.IsZero() || known.countedFailed {
		return false
	}
	work, _ := a.siblingServiceTime(now)
	return now.Sub(known.requestDeliveredAt) > max(minHangTimeout, hangFactor*work)
}

// siblingServiceTime returns how long a request usually takes at the siblings.
func (a *Agent) siblingServiceTime(now time.Time) (time.Duration, bool) {
	var works []uint32
	for _, sibling := range a.Siblings() {
		if report, found := a.latestReport(now, sibling.ID()); found && report.ServiceTime > 0 {
			works = append(works, report.ServiceTime)
		}
	}
	if len(works) < minSiblingReports {
		return 0, false
	}
	return time.Duration(median(works)) * time.Microsecond, true
}

func median[T uint16 | uint32](values []T) T {
	slices.Sort(values)
	return values[len(values)/2]
}

// updateEjection decides whether the backend server gets new flows, by how many of its
// requests fail against its siblings'.
func (a *Agent) updateEjection(now time.Time) {
	var failing []uint16
	asides := 0
	for _, sibling := range a.Siblings() {
		report, found := a.latestReport(now, sibling.ID())
		if !found {
			continue
		}
		failing = append(failing, report.FailureRate)
		if report.Ejected {
			asides++
		}
	}
	if len(failing) < minSiblingReports || a.outliers.outcomes < minOutcomes {
		return
	}
	excess := a.outliers.failureRate - float64(median(failing))/perMille
	switch {
	case a.outliers.ejected:
		a.outliers.ejected = excess > readmitExcess
	case excess > ejectExcess:
		a.outliers.ejected = (asides+1)*maxEjectedDivisor <= len(a.Siblings())+1
	}
}

// IsEjected reports whether the backend server gets no new flows for failing what it takes.
func (a *Agent) IsEjected() bool { return a.outliers.ejected }
