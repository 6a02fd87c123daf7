package control

import (
	"errors"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// ApplyDocument applies a document read from the platform.
func (c *Controller) ApplyDocument(now time.Time, document fleet.Document) []Output {
	c.applyIfNewer(now, document, 0)
	c.recordConfirmation(now, now, 0)
	c.publishIfDue(now)
	return c.takeOutputs()
}

// Confirm records that the platform answered that nothing has changed.
func (c *Controller) Confirm(now time.Time) []Output {
	c.recordConfirmation(now, now, 0)
	return c.takeOutputs()
}

func (c *Controller) applyIfNewer(now time.Time, document fleet.Document, source LinkID) {
	if !c.state.IsNewer(document) {
		c.emit(ReportEvent{Event: EventDocumentOlder})
		return
	}
	change := changeBetween(c.state, document)
	if _, err := c.state.Apply(now, document); err != nil {
		c.emit(ReportEvent{Event: EventDocumentRefused, Err: err})
		return
	}
	c.emit(change.appliedEvent())
	c.restoreOwnRecord(now)
	c.latestChanges.recordChange(change)
	c.gossipChange(now, change, source)
	c.scheduleRoutingChange(now)
}

// maxPushedEntries is the number of entries up to which a change is sent to every peer
// unasked. Peers learn of a larger one and fetch it once, since most of them hear of
// it from several sides.
const maxPushedEntries = 16

func (c *Controller) gossipChange(now time.Time, change *Change, source LinkID) {
	if change.entryCount() <= maxPushedEntries {
		c.broadcast(&Message{Change: change}, source)
		return
	}
	c.broadcast(c.newSummary(now), source)
}

// documentRequestTimeout is how long a peer may take to send documents before another one is
// asked.
const documentRequestTimeout = 250 * time.Millisecond

// requestDocuments asks a peer for newer documents, unless another one has just been asked.
func (c *Controller) requestDocuments(now time.Time, id LinkID) {
	if now.Before(c.documentRequestDeadline) {
		return
	}
	c.documentRequestDeadline = now.Add(documentRequestTimeout)
	message := c.newSummary(now)
	message.Summary.WantsDocuments = true
	c.emit(Send{Link: id, Message: message})
}

func (c *Controller) receiveChange(now time.Time, id LinkID, change *Change) {
	document, err := change.document(c.state)
	var gap GapError
	if errors.As(err, &gap) {
		if change.To > gap.InForce {
			c.emit(ReportEvent{Event: EventChangeGap, Err: err})
			c.documentRequestDeadline = time.Time{}
			c.requestDocuments(now, id)
		}
		return
	}
	if err != nil {
		c.emit(ReportEvent{Event: EventDocumentRefused, Err: err})
		return
	}
	c.applyIfNewer(now, document, id)
}

// unavailableAfter is the age of the picture from which the platform counts as away.
const unavailableAfter = 2 * time.Second

// startGrace is how long after its start a process may lack entries that others remember.
const startGrace = 3 * time.Second

// canBeLapsed reports whether an agent that is not listed may have been: this process has
// just started, or the platform is away. At other times an agent that is not listed is new.
func (c *Controller) canBeLapsed(now time.Time) bool {
	age, known := c.ViewAge(now)
	return now.Before(c.startedAt.Add(startGrace)) || known && age > unavailableAfter
}

// retainLapsedAgents lets agents whose entries have gone without notice serve on while the
// platform is away, and ends that in time after its return.
func (c *Controller) retainLapsedAgents(now time.Time) {
	if age, known := c.ViewAge(now); known && age > unavailableAfter {
		c.state.ExtendLapseGrace(now.Add(fleet.LapseGrace))
	}
	graceEnd, found := c.state.NextLapseGraceEnd(now)
	if !found && !c.hadLapsedAgents {
		return
	}
	c.hadLapsedAgents = found
	if !found {
		c.scheduleRoutingChange(now)
		return
	}
	if graceEnd.Sub(now) <= TickInterval {
		c.scheduleView(graceEnd)
	}
}
