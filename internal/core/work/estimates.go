package work

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

const (
	// minSamples is the number of samples from which a distribution is used instead of the
	// assumed service time.
	minSamples = 10
	// maxServices is the number of services that Estimates holds.
	maxServices = 64
)

// Estimate is what a server's agent expects of the service times of one service.
type Estimate struct {
	distribution *Distribution
	// assumed is the service time that is assumed while there are too few samples.
	assumed time.Duration
	// lastUse orders the estimates by their last use.
	lastUse uint64
}

// Record adds the service time of an answered request.
func (e *Estimate) Record(sample time.Duration) { e.distribution.Record(sample) }

// IsLearned reports whether there are enough samples to do without an assumed service time.
func (e *Estimate) IsLearned() bool { return e.distribution.Count() >= minSamples }

// Assume sets the service time that is assumed while there are too few samples.
func (e *Estimate) Assume(serviceTime time.Duration) { e.assumed = serviceTime }

// Mean returns the expected service time of a request.
func (e *Estimate) Mean() time.Duration {
	if e.IsLearned() {
		return e.distribution.Mean()
	}
	return e.assumed
}

// Rest returns the expected remaining service time of a request that has run for elapsed.
func (e *Estimate) Rest(elapsed time.Duration) time.Duration {
	if e.IsLearned() {
		return e.distribution.Rest(elapsed)
	}
	return max(e.assumed-elapsed, elapsed)
}

// Quantile returns the service time that a share q of the requests does not exceed.
func (e *Estimate) Quantile(q float64) time.Duration {
	if e.IsLearned() {
		return e.distribution.Quantile(q)
	}
	return e.assumed
}

// Estimates holds the estimates of the services of one server, at most maxServices. Beyond
// these, the estimate that was used least recently is evicted.
type Estimates struct {
	byService map[fleet.ServiceID]*Estimate
	uses      uint64
}

// NewEstimates returns an empty set of estimates.
func NewEstimates() *Estimates {
	return &Estimates{byService: make(map[fleet.ServiceID]*Estimate)}
}

// Get returns the estimate of a service, or nil if there is none. It counts as a use.
func (e *Estimates) Get(service fleet.ServiceID) *Estimate {
	estimate := e.byService[service]
	if estimate != nil {
		e.uses++
		estimate.lastUse = e.uses
	}
	return estimate
}

// Peek returns the estimate of a service, or nil if there is none. It does not count as a use.
func (e *Estimates) Peek(service fleet.ServiceID) *Estimate { return e.byService[service] }

// Add adds an estimate without samples for a service that has none, and returns it.
func (e *Estimates) Add(service fleet.ServiceID, assumed time.Duration) *Estimate {
	if len(e.byService) >= maxServices {
		e.evict()
	}
	e.uses++
	estimate := &Estimate{distribution: NewDistribution(), assumed: assumed, lastUse: e.uses}
	e.byService[service] = estimate
	return estimate
}

// evict removes the estimate that was used least recently.
func (e *Estimates) evict() {
	var oldest fleet.ServiceID
	var last *Estimate
	for service, estimate := range e.byService {
		if last == nil || estimate.lastUse < last.lastUse {
			oldest, last = service, estimate
		}
	}
	delete(e.byService, oldest)
}

// EachUnlearned calls visit for each estimate that has too few samples.
func (e *Estimates) EachUnlearned(visit func(fleet.ServiceID, *Estimate)) {
	for service, estimate := range e.byService {
		if !estimate.IsLearned() {
			visit(service, estimate)
		}
	}
}
