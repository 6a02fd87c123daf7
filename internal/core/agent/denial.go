package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// A packet is delivered speculatively to a server that may not hold its flow. Most servers bounce
// it, but one that has just started or has ended the flow may answer with a reset. The caller must
// not get that reset, since its flow may be open at another server. Instead it counts as a denial.

const (
	// denialLifetime is how long a flow that the backend server has reset is not delivered to it
	// again. It covers the caller's first retransmissions.
	denialLifetime = 2 * time.Second
	// maxDenials is the maximum number of such flows. More are delivered and reset once more.
	maxDenials = 512
)

// Denial is a denial of a flow to the agent that polled for its owner.
type Denial struct {
	Poller fleet.InstanceID
	Flow   flow.ID
}

// denials holds the flows that the backend server has denied by a reset.
type denials struct {
	// until is when the denials of the flows end.
	until map[flow.ID]time.Time
	// unsent holds the denials that polling agents have not been sent.
	unsent []Denial
}

// newDenials returns denials of no flow.
func newDenials() denials { return denials{until: make(map[flow.ID]time.Time)} }

// has reports whether the backend server has denied a flow.
func (d *denials) has(now time.Time, id flow.ID) bool { return now.Before(d.until[id]) }

// sweep removes the denials that have ended.
func (d *denials) sweep(now time.Time) {
	for id, until := range d.until {
		if !now.Before(until) {
			delete(d.until, id)
		}
	}
}

// mayHold reports whether the backend server holds the flow of an entry, or has yet to accept or
// refuse it. A half-open flow may have been confirmed to another server.
func mayHold(entry *flowEntry) bool {
	return entry != nil && entry.state != stateHandedOver && entry.state != stateHalfOpen
}

// recordDenial records that the backend server has reset a flow that it is not known to hold. An
// agent that polls for the flow's owner is due a denial.
func (a *Agent) recordDenial(now time.Time, id flow.ID) {
	if len(a.denials.until) < maxDenials {
		a.denials.until[id] = now.Add(denialLifetime)
	}
	if pending, polled := a.pendingClaims[id]; polled {
		a.denials.unsent = append(a.denials.unsent, Denial{pending.poller, id})
		delete(a.pendingClaims, id)
	}
	if entry := a.flows[id]; entry != nil && entry.state == stateHalfOpen {
		a.forget(now, id, entry)
	}
}

// Denials returns the denials to send now to agents that poll for the owners of flows.
func (a *Agent) Denials() []Denial {
	unsent := a.denials.unsent
	a.denials.unsent = nil
	return unsent
}
