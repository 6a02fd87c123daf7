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
	// warmupBurst is how many new flows may come at once.
	warmupBurst = 4
	// startDoubt is how long an agent that has just started takes its server for cold,
	// since both may have started together and the list may still name the earlier
	// start.
	startDoubt = 3 * time.Second
)

// slowStart meters the new flows of a backend server while it is cold.
type slowStart struct {
	limiter *rate.Limiter
	until   time.Time
	boot    string
	// doubted tells that the server is taken for cold without being listed so.
	doubted bool
	// listed is how long the list says that the cold start lasts, until it is turned
	// into a deadline.
	listed time.Duration
}

func newSlowStart(now time.Time) slowStart {
	limiter := rate.NewLimiter(0, warmupBurst)
	// An earlier process may have just used its burst.
	limiter.AllowN(now, warmupBurst)
	return slowStart{limiter: limiter, until: now.Add(startDoubt), doubted: true}
}

// updateListing takes over what the updateListing says of the backend server.
func (w *slowStart) updateListing(backend *fleet.Backend) {
	w.listed = max(w.listed, backend.ColdStartRemaining)
	if w.boot != "" && w.boot != backend.BootID {
		w.doubted = false
		w.until = time.Time{}
	}
	w.boot = backend.BootID
}

// assumeCold takes the backend server for cold, since it has lost its flows.
func (w *slowStart) assumeCold(now time.Time) {
	if !w.isCold(now) {
		w.until = now.Add(startDoubt)
		w.doubted = true
	}
}

// clearAssumption ends a doubt: the backend server holds flows from before.
func (w *slowStart) clearAssumption() {
	if w.doubted {
		w.until, w.doubted = time.Time{}, false
	}
}

func (w *slowStart) isCold(now time.Time) bool {
	if w.listed > 0 {
		w.until = now.Add(w.listed)
		w.listed, w.doubted = 0, false
	}
	return now.Before(w.until)
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
