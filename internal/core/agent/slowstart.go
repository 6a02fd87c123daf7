package agent

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// How many new flows a backend server in cold start gets. The load pattern it
// answers: servers that come back together, each met by the flows of all entry
// instances and by what its siblings hand over. Only the agent beside a server sees
// all of them.
const (
	// slowStartBurst is how many new flows may come at once.
	slowStartBurst = 4
	// assumedColdPeriod is how long an agent that has just started takes its server for cold,
	// since both may have started together and the list may still name the earlier
	// start.
	assumedColdPeriod = 3 * time.Second
)

// slowStart meters the new flows of a backend server while it is cold.
type slowStart struct {
	limiter *rate.Limiter
	coldUntil   time.Time
	bootID    string
	// assumed tells that the server is taken for cold without being listed so.
	assumed bool
	// listedRemaining is how long the list says that the cold start lasts, until it is turned
	// into a deadline.
	listedRemaining time.Duration
}

func newSlowStart(now time.Time) slowStart {
	limiter := rate.NewLimiter(0, slowStartBurst)
	// An earlier process may have just used its burst.
	limiter.AllowN(now, slowStartBurst)
	return slowStart{limiter: limiter, coldUntil: now.Add(assumedColdPeriod), assumed: true}
}

// updateListing takes over what the updateListing says of the backend server.
func (w *slowStart) updateListing(backend *fleet.Backend) {
	w.listedRemaining = max(w.listedRemaining, backend.ColdStartRemaining)
	if w.bootID != "" && w.bootID != backend.BootID {
		w.assumed = false
		w.coldUntil = time.Time{}
	}
	w.bootID = backend.BootID
}

// assumeCold takes the backend server for cold, since it has lost its flows.
func (w *slowStart) assumeCold(now time.Time) {
	if !w.isCold(now) {
		w.coldUntil = now.Add(assumedColdPeriod)
		w.assumed = true
	}
}

// clearAssumption ends a doubt: the backend server holds flows from before.
func (w *slowStart) clearAssumption() {
	if w.assumed {
		w.coldUntil, w.assumed = time.Time{}, false
	}
}

func (w *slowStart) isCold(now time.Time) bool {
	if w.listedRemaining > 0 {
		w.coldUntil = now.Add(w.listedRemaining)
		w.listedRemaining, w.assumed = 0, false
	}
	return now.Before(w.coldUntil)
}

// allow reports whether one more new flow may be delivered. perSecond is how many a
// second the server bears in cold start, or zero if that is not known.
func (w *slowStart) allow(now time.Time, perSecond float64) bool {
	if perSecond == 0 || !w.isCold(now) {
		return true
	}
	if w.limiter.Limit() != rate.Limit(perSecond) {
		w.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	return w.limiter.AllowN(now, 1)
}
