package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Parameters of outlier ejection: a backend server that fails more of its requests than its
// siblings gets no new flows except trials. Guards against servers of a service that fail
// some or all of their requests while their health endpoints report success; those that
// fail at once look idle and attract even more flows. Only the outcomes of requests count,
// and only in comparison with the siblings and for requests of the same service; health
// endpoints are ignored. A fast answer counts as failed only if the siblings take longer,
// since in some services many requests are answered fast.
const (
	// failureRateGain is the weight of one request in the average failure rate.
	failureRateGain = 1.0 / 16
	// minOutcomes is the number of requests from which the failure rate counts.
	minOutcomes = 12
	// ejectExcess is the excess of the failure rate over the siblings' median above which
	// the server is ejected, and readmitExcess the one down to which it must fall to be
	// readmitted early. Both are shares of requests.
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
	// in maxEjectedDivisor of the targets of each of its services gets no new flows.
	maxEjectedDivisor = 3
	// firstEjection is how long the first ejection lasts at most. Each further one lasts
	// twice as long, up to maxEjection, unless the server has done well in between. An
	// ejected server gets few requests, so that its failure rate alone may never recover.
	firstEjection = 8 * time.Second
	maxEjection   = 32 * time.Second
	// goodOutcomes is the number of requests without an ejection after which earlier
	// ejections are forgotten.
	goodOutcomes = 200
)

// outlierDetector decides when the backend server is ejected.
type outlierDetector struct {
	// ejected reports that the server gets no new flows except trials because of its
	// failure rate.
	ejected bool
	// readmitAt is when an ejected server is readmitted at the latest.
	readmitAt time.Time
	// nextEjection is how long the next ejection lasts at most, or zero for firstEjection.
	nextEjection time.Duration
	// outcomes is the number of requests since the server was last readmitted.
	outcomes int
}

// recordOutcome records whether a request of a service failed. If answered, latency is the
// time to the answer; otherwise the request was reset or has hung, and latency is not used.
func (a *Agent) recordOutcome(now time.Time, service fleet.ServiceID, latency time.Duration, answered bool) {
	usual, known := a.siblingServiceTime(now, service)
	failed := !answered || known && latency < time.Duration(minServiceTimeShare*float64(usual))
	a.statsOf(service).recordOutcome(failed)
	a.outliers.outcomes++
	if a.outliers.outcomes >= goodOutcomes {
		a.outliers.nextEjection = 0
	}
}

// isHung reports whether a request has gone without an answer for so long that it counts as
// failed. It reports false if the request was counted already.
func (a *Agent) isHung(now time.Time, entry *flowEntry) bool {
	if entry.requestDeliveredAt.IsZero() || entry.countedFailed {
		return false
	}
	usual, _ := a.siblingServiceTime(now, entry.service)
	return now.Sub(entry.requestDeliveredAt) > max(minHangTimeout, hangFactor*usual)
}

// failureExcess returns how far the failure rate of the backend server exceeds the median of
// its siblings', in the service in which it does so most. It reports false while too few
// requests or reports are known.
func (a *Agent) failureExcess(now time.Time) (float64, bool) {
	highest, known := -1.0, false
	for service, stats := range a.requestStats {
		reports := a.siblingReports(now, service)
		if stats.outcomes < minOutcomes || len(reports) < minSiblingReports {
			continue
		}
		var rates []uint16
		for _, report := range reports {
			rates = append(rates, report.Failures)
		}
		known = true
		highest = max(highest, stats.failureRate-float64(lowerMedian(rates))/perMille)
	}
	return highest, known
}

// updateEjection ejects or readmits the backend server by its failure rate. An ejected
// server is readmitted at once if too many others get no new flows either.
func (a *Agent) updateEjection(now time.Time) {
	excess, known := a.failureExcess(now)
	switch {
	case a.outliers.ejected && known && excess <= readmitExcess:
		a.outliers.ejected = false
	case a.outliers.ejected:
		if !now.Before(a.outliers.readmitAt) || !a.canSpareServer(now) {
			a.readmit()
		}
	case known && excess > ejectExcess && a.canSpareServer(now):
		a.eject(now)
	}
}

// eject ejects the backend server.
func (a *Agent) eject(now time.Time) {
	duration := max(a.outliers.nextEjection, firstEjection)
	a.outliers.ejected = true
	a.outliers.readmitAt = now.Add(duration)
	a.outliers.nextEjection = min(2*duration, maxEjection)
}

// readmit ends the ejection of a backend server that has not shown that it has recovered.
// Its outcomes count anew.
func (a *Agent) readmit() {
	a.outliers.ejected = false
	a.outliers.outcomes = 0
	for _, stats := range a.requestStats {
		stats.failureRate, stats.outcomes = 0, 0
	}
}

// canSpareServer reports whether in each service of the backend server enough targets get
// new flows without it. Servers that are silent, suspected or ejected do not get any. Those
// that leave are no targets any more: their number says nothing about the others.
func (a *Agent) canSpareServer(now time.Time) bool {
	for _, service := range a.view.OneServicePerPool() {
		self := service.Target(a.config.Self)
		if self == nil || self.IsResidual() {
			continue
		}
		selected, without := 0, 0
		for target := range service.Selected() {
			if target.ID() != a.config.Self && !a.view.IsAccepting(target.ID()) {
				continue
			}
			selected++
			report, found := a.latestReport(now, target.ID())
			if target.ID() == a.config.Self || !target.IsAccepting() || found && report.Ejected {
				without++
			}
		}
		if without*maxEjectedDivisor > selected {
			return false
		}
	}
	return true
}

// IsEjected reports whether the backend server gets no new flows except trials because it
// fails more of its requests than its siblings.
func (a *Agent) IsEjected() bool { return a.outliers.ejected }
