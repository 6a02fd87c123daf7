package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// ApplyDocuments applies the documents of one read of the platform that are newer than the current
// ones. The read confirms the view in either case.
func (c *Controller) ApplyDocuments(now time.Time, documents ...fleet.Document) []Output {
	c.applyNewer(now, documents, 0)
	c.recordConfirmation(now, now, 0)
	c.publishIfDue(now)
	return c.takeOutputs()
}

// Confirm records that the platform has reported no change, so that the view is current.
func (c *Controller) Confirm(now time.Time) []Output {
	c.recordConfirmation(now, now, 0)
	return c.takeOutputs()
}

// applyNewer applies the documents that are newer than the current ones, and gossips their changes
// on all links but source, from which they came. A zero source means the platform. All of them
// take effect with the next view, since one document alone may name agents or backend servers of
// which another one tells the rest.
func (c *Controller) applyNewer(now time.Time, documents []fleet.Document, source LinkID) {
	var applied []Change
	for _, document := range documents {
		if change := c.applyIfNewer(now, document, source); change != nil {
			applied = append(applied, *change)
		}
	}
	if len(applied) > 0 {
		c.gossipChanges(now, applied, source)
		c.scheduleRoutingChange(now)
	}
}

// applyIfNewer applies a document if it is newer than the current one, and returns the change. An
// older or invalid document is only reported.
func (c *Controller) applyIfNewer(now time.Time, document fleet.Document, source LinkID) *Change {
	if !c.state.IsNewer(document) {
		c.emit(ReportEvent{Event: EventDocumentOlder})
		return nil
	}
	change := changeBetween(c.state, document)
	if _, err := c.state.Apply(now, document); err != nil {
		c.emit(ReportEvent{Event: EventDocumentRefused, Err: err})
		return nil
	}
	c.emit(change.appliedEvent(c.sourceName(source)))
	c.restoreOwnRecord(now)
	c.latestChanges.recordChange(change)
	return change
}

// sourceName returns the name of the peer from which a document came on a link, its ID if the
// view does not hold it, or "platform" for the zero link.
func (c *Controller) sourceName(source LinkID) string {
	l := c.links[source]
	if l == nil {
		return "platform"
	}
	if name := c.nodeName(l.peer); name != "" {
		return name
	}
	return fmt.Sprintf("%016x", uint64(l.peer))
}

// maxPushedEntries is the largest number of entries of a change that is sent on every link
// without a request. For a larger change peers receive a summary and request the change once:
// most of them would otherwise receive it from several peers.
const maxPushedEntries = 16

// gossipChanges sends the changes, or else a summary with their revisions if one of them is
// large, on all links but source.
func (c *Controller) gossipChanges(now time.Time, changes []Change, source LinkID) {
	isLarge := func(change Change) bool { return change.entryCount() > maxPushedEntries }
	if slices.ContainsFunc(changes, isLarge) {
		c.broadcast(c.newSummary(now), source)
		return
	}
	c.broadcast(&Message{Changes: changes}, source)
}

// documentRequestTimeout is the time within which a peer must send requested documents before
// they are requested from another peer.
const documentRequestTimeout = 250 * time.Millisecond

// requestDocuments requests newer documents from a peer, unless this process still waits for
// documents that it requested from another one.
func (c *Controller) requestDocuments(now time.Time, id LinkID) {
	if now.Before(c.documentRequestDeadline) {
		return
	}
	c.documentRequestDeadline = now.Add(documentRequestTimeout)
	message := c.newSummary(now)
	message.Summary.WantsDocuments = true
	c.emit(Send{Link: id, Message: message})
}

// receiveChanges applies the changes that a peer sent together. They confirm the view if they lead
// to what the peer has announced. If one of them is newer but based on another revision than the
// one in force, it requests the documents from that peer at once.
func (c *Controller) receiveChanges(now time.Time, id LinkID, l *link, changes []Change) {
	var documents []fleet.Document
	var gapFound error
	for i := range changes {
		document, err := changes[i].document(c.state)
		var gap GapError
		switch {
		case err == nil:
			documents = append(documents, document)
		case !errors.As(err, &gap):
			c.emit(ReportEvent{Event: EventDocumentRefused, Err: err})
		case changes[i].To.IsNewerThan(gap.InForce):
			gapFound = err
		}
	}
	c.applyNewer(now, documents, id)
	if l.announced != nil {
		c.confirmByPeer(now, id, l)
	}
	if gapFound != nil {
		c.emit(ReportEvent{Event: EventChangeGap, Err: gapFound})
		c.documentRequestDeadline = time.Time{}
		c.requestDocuments(now, id)
	}
}

// unavailableAfter is the age of the view above which the platform counts as unavailable.
const unavailableAfter = 2 * time.Second

// startGrace is the time after its start in which a process cannot distinguish a new agent
// from one whose entry has lapsed, since it may lack entries that other processes hold.
const startGrace = 3 * time.Second

// canBeLapsed reports whether the entry of an agent that is not listed may have lapsed: this
// process has just started, or the platform is unavailable. At other times an agent that is not
// listed is new.
func (c *Controller) canBeLapsed(now time.Time) bool {
	age, known := c.ViewAge(now)
	return now.Before(c.startedAt.Add(startGrace)) || known && age > unavailableAfter
}

// retainLapsedAgents extends the grace period of agents whose entries have lapsed, in which they
// still accept new flows, for as long as the platform is unavailable. Near the end of a grace
// period it schedules a view for that time, and once no agent is in its grace period any more, a
// routing change.
func (c *Controller) retainLapsedAgents(now time.Time) {
	if age, known := c.ViewAge(now); known && age > unavailableAfter {
		c.state.ExtendLapseGrace(c.viewFreshness.confirmedAt, now.Add(fleet.LapseGrace))
	}
	graceEnd, found := c.state.NextGraceEnd(now)
	if !found && !c.hadGracePeriod {
		return
	}
	c.hadGracePeriod = found
	if !found {
		c.scheduleRoutingChange(now)
		return
	}
	if graceEnd.Sub(now) <= TickInterval {
		c.scheduleView(graceEnd)
	}
}
