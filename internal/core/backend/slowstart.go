package backend

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Limits on the new flows of a backend server in cold start. They guard against overload of
// servers that restart together, where each is sent the flows of all balancers and those
// that its siblings hand over. Only the agent beside a server sees all of its new flows.
const (
	// slowStartBurst is how many new flows may come at once.
	slowStartBurst = 4
	// AssumedColdPeriod is how long an agent that has just started assumes that its server
	// is cold, since both may have started together and the list of backend servers may
	// still name the server's earlier start.
	AssumedColdPeriod = 3 * time.Second
)

// SlowStart limits the rate of new flows to a backend server while it is in cold start, by
// a token bucket.
type SlowStart struct {
	limiter *rate.Limiter
	// coldUntil is when the cold start ends, or zero. IsCold first applies listedRemaining
	// to it.
	coldUntil time.Time
	// bootID identifies the start of the server that the list of backend servers named
	// last. It is empty if none was named yet.
	bootID string
	// assumed reports that the server is assumed to be cold without being listed as cold.
	assumed bool
	// listedRemaining is how much longer the cold start lasts by the list of backend
	// servers. IsCold turns it into a deadline and sets it to zero.
	listedRemaining time.Duration
}

// NewSlowStart returns the slow start of an agent that starts now. Its bucket is empty.
func NewSlowStart(now time.Time) SlowStart {
	limiter := rate.NewLimiter(0, slowStartBurst)
	// An earlier process of this agent may have just used its burst.
	limiter.AllowN(now, slowStartBurst)
	return SlowStart{limiter: limiter, coldUntil: now.Add(AssumedColdPeriod), assumed: true}
}

// UpdateListing records the entry of the backend server in the list. A changed boot ID
// means that the list now names another start of the server. The cold start of the earlier
// one then ends, and IsCold begins the listed one, if the list names any.
func (s *SlowStart) UpdateListing(backend *fleet.Backend) {
	if s.IsOtherStart(backend) {
		s.assumed = false
		s.coldUntil, s.listedRemaining = time.Time{}, 0
	}
	s.listedRemaining = max(s.listedRemaining, backend.ColdStartRemaining)
	s.bootID = backend.BootID
}

// IsOtherStart reports whether the entry of the backend server names another start than the
// entry before.
func (s *SlowStart) IsOtherStart(backend *fleet.Backend) bool {
	return s.bootID != "" && s.bootID != backend.BootID
}

// AssumeCold assumes that the backend server is cold, because it has lost its flows.
func (s *SlowStart) AssumeCold(now time.Time) {
	if !s.IsCold(now) {
		s.coldUntil = now.Add(AssumedColdPeriod)
		s.assumed = true
	}
}

// ClearAssumption ends a cold start that was only assumed, because the backend server still
// holds flows from before.
func (s *SlowStart) ClearAssumption() {
	if s.assumed {
		s.coldUntil, s.assumed = time.Time{}, false
	}
}

// IsCold reports whether the backend server is in cold start, listed or assumed.
func (s *SlowStart) IsCold(now time.Time) bool {
	if s.listedRemaining > 0 {
		s.coldUntil = now.Add(s.listedRemaining)
		s.listedRemaining, s.assumed = 0, false
	}
	return now.Before(s.coldUntil)
}

// Allows reports whether one more new flow may be delivered. perSecond is the rate of new
// flows that the backend server can handle in cold start, or zero if that is not known; then
// every flow is allowed. It changes nothing: the receiver is a copy, on which IsCold may
// begin the listed cold start.
func (s SlowStart) Allows(now time.Time, perSecond float64) bool {
	return perSecond == 0 || !s.IsCold(now) || s.limiter.TokensAt(now) >= 1
}

// SetRate sets the rate at which tokens are added while the backend server is cold. It must be
// called before Take, and for new flows that are not delivered too, since tokens are added
// from the first call on.
func (s *SlowStart) SetRate(now time.Time, perSecond float64) {
	if perSecond != 0 && s.IsCold(now) && s.limiter.Limit() != rate.Limit(perSecond) {
		s.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
}

// Take takes a token for a new flow that is delivered, if the backend server is cold.
func (s *SlowStart) Take(now time.Time, perSecond float64) {
	if perSecond != 0 && s.IsCold(now) {
		s.limiter.AllowN(now, 1)
	}
}
