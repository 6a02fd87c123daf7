package agent

import "time"

// Parameters of the concurrency limit.
const (
	coldLimit = 1.0
	// slowFactor times the usual latency marks an answer as late.
	slowFactor = 4.0
	// limitDecrease is applied to the limit after a late answer.
	limitDecrease = 0.7
	// latencyGain is the weight of a new sample in the latency average.
	latencyGain = 0.1
	// latencyFloor is the shortest time in which an answer counts as late.
	latencyFloor = 50 * time.Millisecond
)

// Load tracks the requests a backend server is running and the number it can
// bear. The limit starts at one, since a backend server is cold until it has
// answered, and grows with each answer that comes in time.
type Load struct {
	slots   float64
	limit   float64
	running int
	// latency is the average time to answer, in nanoseconds.
	latency float64
}

// NewLoad returns the load of a cold backend server with a number of slots.
func NewLoad(slots int) *Load {
	return &Load{slots: float64(slots), limit: coldLimit}
}

// HasRoom reports whether one more request fits the limit.
func (l *Load) HasRoom() bool { return float64(l.running)+1 <= l.limit }

// IsCold reports whether the limit has not reached the number of slots.
func (l *Load) IsCold() bool { return l.limit < l.slots }

// Running returns the number of requests awaiting an answer.
func (l *Load) Running() int { return l.running }

// Limit returns the number of requests the backend server can bear.
func (l *Load) Limit() int { return int(l.limit) }

func (l *Load) usage() float64 { return float64(l.running) / l.limit }

// Start counts a request that the backend server has begun.
func (l *Load) Start() { l.running++ }

// Cancel takes back a request that will not be answered.
func (l *Load) Cancel() { l.running = max(l.running-1, 0) }

// Finish counts an answer and adjusts the limit: additive increase for one that
// came in time, multiplicative decrease for a late one.
func (l *Load) Finish(latency time.Duration) {
	l.Cancel()
	late := l.latency > 0 && latency > latencyFloor && float64(latency) > slowFactor*l.latency
	if l.latency == 0 {
		l.latency = float64(latency)
	}
	l.latency += latencyGain * (float64(latency) - l.latency)
	if late {
		l.limit = max(coldLimit, l.limit*limitDecrease)
		return
	}
	l.limit = min(l.slots, l.limit+1/l.limit)
}

// Restarted puts the limit back to cold.
func (l *Load) Restarted() {
	l.limit = coldLimit
	l.latency = 0
}
