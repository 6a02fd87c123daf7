package operator

import (
	"fmt"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Limits of the log lines about decisions.
const (
	// linesPerSecond is the sustained rate of log lines.
	linesPerSecond = 200
	// burstLines is the largest number of lines that may be logged at once.
	burstLines = 400
)

// Counter counts events by name.
type Counter interface {
	Add(name string, delta int)
}

// Decision is a decision of a process about a flow, with the state it is based on.
type Decision struct {
	// Event is the kind of decision, such as "forward" or "reset". It is the log message and
	// the suffix of a counter.
	Event string
	Flow  flow.ID
	// Sequence is the sequence number of the packet that the decision is about. For an
	// opening packet it distinguishes successive flows with the same ports.
	Sequence uint32
	// Peer is the name of the instance that the packet is sent to, or empty.
	Peer string
	// Reason is the reason for the decision, or empty.
	Reason string
	// Cause is the error that led to the decision, or nil.
	Cause error
	// Copies is the number of copies of an opening packet that were sent before it, in
	// formats that count them. It is 0 for other packets.
	Copies uint32
	// Visited is the number of agents that the packet has visited.
	Visited int
	// SlotsTaken is the number of slots taken and Waiting that of the opening packets that wait,
	// for a packet that waits. They are 0 for other packets.
	SlotsTaken, Waiting int
	// Revision is the highest revision in the view that the decision is based on, and Age the
	// time since that view was last compared with the platform.
	Revision fleet.Revision
	Age      time.Duration
}

// Decisions logs decisions about flows, one line each. Lines that exceed linesPerSecond and
// burstLines are dropped and counted. It is safe for concurrent use.
type Decisions struct {
	logger  log.Interface
	limiter *rate.Limiter
	counter Counter
}

// NewDecisions returns a Decisions that logs to logger.
func NewDecisions(logger log.Interface, counter Counter) *Decisions {
	return &Decisions{logger: logger, limiter: rate.NewLimiter(linesPerSecond, burstLines), counter: counter}
}

// Record counts a decision and, within the rate limit, logs it.
func (d *Decisions) Record(decision Decision) {
	d.counter.Add("decisions_"+decision.Event, 1)
	if !d.limiter.Allow() {
		d.counter.Add("log_lines_dropped", 1)
		return
	}
	fields := log.Fields{
		"flow":     FlowName(decision.Flow),
		"seq":      decision.Sequence,
		"revision": decision.Revision.String(),
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
	if decision.Waiting > 0 {
		fields["slots"], fields["waiting"] = decision.SlotsTaken, decision.Waiting
	}
	d.logger.WithFields(fields).Info(decision.Event)
}

// FlowName returns the name of a flow in logs: the caller's endpoint, ">" and the service's
// endpoint.
func FlowName(id flow.ID) string {
	return fmt.Sprintf("%s>%s", id.Caller(), id.ServiceEndpoint())
}
