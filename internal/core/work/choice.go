package work

import "time"

// hysteresisShare is the share of a request's service time by which another server must be
// faster to be chosen, so that equal servers exchange no requests.
const hysteresisShare = 0.25

// Candidate is a server that may serve a request.
type Candidate struct {
	// Wait is the time that the request is expected to wait for a slot at the server.
	Wait time.Duration
	// ServiceTime is the expected service time of the request at the server.
	ServiceTime time.Duration
	// Distance is the one-way delay to the server.
	Distance time.Duration
}

// Delay returns the time in which the server is expected to answer the request.
func (c *Candidate) Delay() time.Duration { return c.Wait + c.ServiceTime }

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

// Reported is the work that a new request must wait for at another server: the average work by
// the server's latest load report, and the work that was handed over to it since.
type Reported struct {
	// left is the work at the instant at. It falls to the average as the server proceeds.
	left, average time.Duration
	at            time.Time
	slots         float64
}

// NewReported returns the work of a server with a number of slots whose load report shows an
// average.
func NewReported(at time.Time, average time.Duration, slots float64) Reported {
	return Reported{left: average, average: average, at: at, slots: slots}
}

// Left returns the work at an instant.
func (r *Reported) Left(now time.Time) time.Duration {
	done := time.Duration(r.slots * float64(max(now.Sub(r.at), 0)))
	return max(r.left-done, r.average)
}

// Wait returns the time that a new request is expected to wait for a slot.
func (r *Reported) Wait(now time.Time) time.Duration {
	return time.Duration(float64(r.Left(now)) / max(r.slots, 1))
}

// Add adds the work of a request that was handed over to the server.
func (r *Reported) Add(now time.Time, serviceTime time.Duration) {
	r.left = r.Left(now) + serviceTime
	r.at = now
}
