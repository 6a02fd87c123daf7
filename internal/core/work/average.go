package work

import (
	"math"
	"time"
)

// averagingTime is the time constant of an Average. It spans many requests but follows changes
// between two load reports.
const averagingTime = 300 * time.Millisecond

// Average is the moving average of a wait over time.
type Average struct {
	value   float64
	addedAt time.Time
}

// Add adds the wait at an instant, weighted by the time since the previous one.
func (a *Average) Add(now time.Time, wait time.Duration) {
	elapsed := max(now.Sub(a.addedAt), 0)
	keep := math.Exp(-float64(elapsed) / float64(averagingTime))
	a.value = keep*a.value + (1-keep)*float64(wait)
	a.addedAt = now
}

// Value returns the average.
func (a *Average) Value() time.Duration { return time.Duration(a.value) }
