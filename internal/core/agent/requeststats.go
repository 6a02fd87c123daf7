package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// requestStats are the service times and outcomes of the requests of one service at the
// backend server. They are kept for each service, so that servers are compared by requests
// of the same kind: a download that takes 5 ms says nothing about a page that takes 40 ms.
type requestStats struct {
	// serviceTime is the average time to answer a request that does not queue.
	serviceTime time.Duration
	// serviceTimeSamples is the number of samples in serviceTime.
	serviceTimeSamples int
	// failureRate is the moving average of the share of requests that failed.
	failureRate float64
	// outcomes is the number of outcomes in failureRate.
	outcomes int
}

// recordServiceTime adds a sample to the average service time. The first samples weigh
// equally.
func (s *requestStats) recordServiceTime(sample time.Duration) {
	s.serviceTimeSamples++
	gain := max(latencyGain, 1/float64(s.serviceTimeSamples))
	s.serviceTime += time.Duration(gain * float64(sample-s.serviceTime))
}

// recordOutcome adds the outcome of a request to the failure rate.
func (s *requestStats) recordOutcome(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.outcomes++
	s.failureRate += failureRateGain * (sample - s.failureRate)
}

// knownServiceTime returns the average service time, or zero while there are fewer than
// minServiceTimeSamples samples.
func (s *requestStats) knownServiceTime() time.Duration {
	if s.serviceTimeSamples < minServiceTimeSamples {
		return 0
	}
	return s.serviceTime
}

// ServiceReport is the part of a Report about the requests of one service. It is encoded as
// an array like the Report.
type ServiceReport struct {
	_ struct{} `cbor:",toarray"`
	// Service is the service.
	Service fleet.ServiceID
	// Time is the average time to answer a request that does not queue, in microseconds,
	// or zero if it is not known yet.
	Time uint32
	// Failures is the average share of requests that fail, in thousandths.
	Failures uint16
}

// maxServiceReports is the number of services in a Report, those with the most requests.
const maxServiceReports = 8

// statsOf returns the statistics of the requests of a service.
func (a *Agent) statsOf(service fleet.ServiceID) *requestStats {
	stats := a.requestStats[service]
	if stats == nil {
		stats = new(requestStats)
		a.requestStats[service] = stats
	}
	return stats
}

// serviceReports returns the reports about the services with the most requests.
func (a *Agent) serviceReports() []ServiceReport {
	var ids []fleet.ServiceID
	for id, stats := range a.requestStats {
		if stats.outcomes > 0 || stats.serviceTimeSamples > 0 {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y fleet.ServiceID) int {
		return cmp.Or(cmp.Compare(a.requestStats[y].outcomes, a.requestStats[x].outcomes), cmp.Compare(x, y))
	})
	var reports []ServiceReport
	for _, id := range ids[:min(len(ids), maxServiceReports)] {
		stats := a.requestStats[id]
		reports = append(reports, ServiceReport{
			Service:  id,
			Time:     uint32(stats.knownServiceTime().Microseconds()),
			Failures: uint16(stats.failureRate * perMille),
		})
	}
	return reports
}

// siblingReports returns what the siblings report about the requests of a service.
func (a *Agent) siblingReports(now time.Time, service fleet.ServiceID) []ServiceReport {
	var reports []ServiceReport
	for _, sibling := range a.Siblings() {
		report, found := a.latestReport(now, sibling.ID())
		if !found {
			continue
		}
		index := slices.IndexFunc(report.Services, func(r ServiceReport) bool { return r.Service == service })
		if index >= 0 {
			reports = append(reports, report.Services[index])
		}
	}
	return reports
}

// siblingServiceTime returns the median of the service times that the siblings report for
// the requests of a service. It reports false if fewer than minSiblingReports siblings
// report one.
func (a *Agent) siblingServiceTime(now time.Time, service fleet.ServiceID) (time.Duration, bool) {
	var serviceTimes []uint32
	for _, report := range a.siblingReports(now, service) {
		if report.Time > 0 {
			serviceTimes = append(serviceTimes, report.Time)
		}
	}
	if len(serviceTimes) < minSiblingReports {
		return 0, false
	}
	return time.Duration(lowerMedian(serviceTimes)) * time.Microsecond, true
}

// lowerMedian returns the lower median of values, which must not be empty: of two values
// the smaller one. It sorts values.
func lowerMedian[T uint16 | uint32](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
