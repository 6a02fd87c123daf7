package operator

import (
	"fmt"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// Limits of the lines about single flows.
const (
	// linesPerSecond is the rate at which decisions are logged in the long run.
	linesPerSecond = 200
	// burstLines is how many lines may come at once.
	burstLines = 400
)

// Counter counts events by name.
type Counter interface {
	Add(name string, delta int)
}

// Decision is what a process has decided about a flow, and what it knew then.
type Decision struct {
	// Event names the kind of decision, such as "open" or "reset".
	Event string
	Flow  flow.ID
	// Sequence is that of the packet the decision is about. For an opening packet it
	// tells apart flows that used the same ports one after the other.
	Sequence uint32
	// Peer is who gets the packet, if anybody does.
	Peer   string
	Reason string
	// Cause is the error behind the decision, or nil.
	Cause error
	// Copies is how many copies of an opening packet came before.
	Copies uint32
	// Visited is how many agents had the packet before.
	Visited int
	// Revision and Age are those of the picture that the decision rests on.
	Revision uint64
	Age      time.Duration
}

// Decisions logs decisions about flows, one line each. Lines beyond a rate are
// dropped and counted.
type Decisions struct {
	logger  log.Interface
	limiter *rate.Limiter
	counter Counter
}

// NewDecisions returns a log of decisions.
func NewDecisions(logger log.Interface, counter Counter) *Decisions {
	return &Decisions{logger: logger, limiter: rate.NewLimiter(linesPerSecond, burstLines), counter: counter}
}

// Record logs a decision.
func (d *Decisions) Record(decision Decision) {
	d.counter.Add("decisions_"+decision.Event, 1)
	if !d.limiter.Allow() {
		d.counter.Add("log_lines_dropped", 1)
		return
	}
	fields := log.Fields{
		"flow":     FlowName(decision.Flow),
		"seq":      decision.Sequence,
		"revision": decision.Revision,
		"age":      decision.Age.Round(time.Millisecond),
	}
	if decision.Peer != "" {
		fields["to"] = decision.Peer
	}
	if decision.Reason != "" {
		fields["reason"] = decision.Reason
	}
	if decision.Cause != nil {
		fields["error"] = decision.Cause
	}
	if decision.Copies > 0 {
		fields["copies"] = decision.Copies
	}
	if decision.Visited > 0 {
		fields["visited"] = decision.Visited
	}
	d.logger.WithFields(fields).Info(decision.Event)
}

// FlowName returns the name of a flow in logs: the caller's endpoint and the
// service's.
func FlowName(id flow.ID) string {
	return fmt.Sprintf("%s>%s", id.Caller(), id.ServiceEndpoint())
}
