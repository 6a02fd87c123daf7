package work

import "time"

// hysteresisShare is the share of a request's service time by which another server must be
// faster to be chosen, so that equal servers exchange no requests.
const hysteresisShare = 0.25

// Candidate is a server that may serve a request.
type Candidate struct {
	// Left is the expected remaining work at the server, in slot-time.
	Left time.Duration
	// Slots is the number of requests that the server runs at once.
	Slots float64
	// ServiceTime is the expected service time of the request at the server.
	ServiceTime time.Duration
	// Distance is the one-way delay to the server.
	Distance time.Duration
}

// Delay returns the time in which the request is expected to be answered by the server.
func (c *Candidate) Delay() time.Duration {
	return time.Duration(float64(c.Left)/c.Slots) + c.ServiceTime
}

// Shortest returns the index of the candidate with the shortest expected delay, or -1 if there
// is none.
func Shortest(candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || candidates[i].Delay() < candidates[best].Delay() {
			best = i
		}
	}
	return best
}

// Choose returns the index of the candidate to which a request should be handed over, or -1 if
// it should be served here.
func Choose(here Candidate, others []Candidate) int {
	best := Shortest(others)
	if best < 0 {
		return -1
	}
	margin := others[best].Distance + time.Duration(hysteresisShare*float64(here.ServiceTime))
	if here.Delay()-others[best].Delay() <= margin {
		return -1
	}
	return best
}

// Reported is the remaining work at another server by its latest load report, with the work that
// was handed over to it since.
type Reported struct {
	left  time.Duration
	at    time.Time
	slots float64
	// usual is the work that is left at the server on average.
	usual time.Duration
}

// NewReported returns the work that a load report shows: left at the instant at, and usual on
// average.
func NewReported(at time.Time, left, usual time.Duration, slots float64) Reported {
	return Reported{left: left, at: at, slots: slots, usual: usual}
}

// LeftAt returns the expected remaining work at an instant: the server has worked since, and has
// received new requests. As the report ages, the work approaches the usual one.
func (r *Reported) LeftAt(now time.Time) time.Duration {
	done := time.Duration(r.slots * float64(max(now.Sub(r.at), 0)))
	if r.left > r.usual {
		return max(r.left-done, r.usual)
	}
	return min(r.left+done, r.usual)
}

// Add adds the work of a request that was handed over to the server.
func (r *Reported) Add(now time.Time, serviceTime time.Duration) {
	r.left = r.LeftAt(now) + serviceTime
	r.at = now
}
