package control

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// receiveSummary sends the documents that the peer requests, the former selectors that it lacks,
// and the peer table if it is a newcomer. It requests documents if the peer has newer ones. Otherwise
// it takes the view of this process as confirmed, and takes over the peer's view age if that is lower
// than the age known here. The peer tables are compared only if both processes have the same instances document, since
// that document decides which records a table keeps.
func (c *Controller) receiveSummary(now time.Time, id LinkID, l *link, summary *Summary) {
	isFirst := l.announced == nil
	l.peer = summary.ID
	l.announced, l.viewConfirmedAt = &summary.Revisions, time.Time{}
	if summary.ViewAge >= 0 {
		l.viewConfirmedAt = now.Add(-summary.ViewAge)
	}
	ownRevisions := c.state.Revisions()
	if summary.WantsDocuments {
		if changes := c.latestChanges.changesSince(c.state, summary.Revisions); len(changes) > 0 {
			c.emit(Send{Link: id, Message: &Message{Changes: changes}})
		}
	}
	if !summary.Revisions.AreComplete() {
		c.hurryFirstRead(now)
	}
	if !c.confirmByPeer(now, id, l) {
		c.requestDocuments(now, id)
	}
	if summary.Revisions.Services == ownRevisions.Services && c.knowsMoreHistory(now, summary) {
		c.emit(Send{Link: id, Message: &Message{History: c.state.History(now)}})
	}
	if isFirst && fleet.ExtendsHistory(c.state.HistorySpan(now), summary.HistorySpan) {
		c.sendRecords(id, func(fleet.PeerRecord) bool { return true })
	}
	if summary.Revisions.Instances == ownRevisions.Instances {
		c.compareTables(id, l, summary.TableDigest)
	}
}

// confirmByPeer takes the view of this process as confirmed, and as compared with the platform
// when that of a peer was. It reports false if the peer has announced newer documents.
func (c *Controller) confirmByPeer(now time.Time, id LinkID, l *link) bool {
	if c.state.Revisions().AreBehind(*l.announced) {
		return false
	}
	c.unconfirmed = false
	if !l.viewConfirmedAt.IsZero() {
		c.recordConfirmation(now, l.viewConfirmedAt, id)
	}
	return true
}

// knowsMoreHistory reports whether this process may know former selectors that the sender of a summary
// does not: it knows them for longer, or both know others.
func (c *Controller) knowsMoreHistory(now time.Time, summary *Summary) bool {
	return fleet.ExtendsHistory(c.state.HistorySpan(now), summary.HistorySpan) || summary.FormerDigest != c.state.FormerDigest(now)
}

// receiveHistory takes over the former selectors that a peer knows.
func (c *Controller) receiveHistory(now time.Time, history *fleet.SelectorHistory) {
	if c.state.MergeHistory(now, history) {
		c.scheduleRoutingChange(now)
	}
}

// compareTables sends the digests of all buckets to a peer whose table digest differed in
// two consecutive summaries. A single difference may come from a record that is still being
// gossiped.
func (c *Controller) compareTables(id LinkID, l *link, digest uint64) {
	if digest == c.tableDigest() {
		l.digestMismatches = 0
		return
	}
	l.digestMismatches++
	if l.digestMismatches < 2 {
		return
	}
	l.digestMismatches = 0
	c.emit(Send{Link: id, Message: &Message{Digests: &Digests{Buckets: c.bucketDigests(), WantsReply: true}}})
}

// receiveDigests sends the records of the buckets whose digests differ from the peer's, and
// the digests of this process if the peer wants them. It ignores a message with another
// number of buckets.
func (c *Controller) receiveDigests(id LinkID, digests *Digests) {
	ownBuckets := c.bucketDigests()
	if len(digests.Buckets) != len(ownBuckets) {
		return
	}
	if digests.WantsReply {
		c.emit(Send{Link: id, Message: &Message{Digests: &Digests{Buckets: ownBuckets}}})
	}
	c.sendRecords(id, func(record fleet.PeerRecord) bool {
		bucket := uint64(record.ID) % digestBucketCount
		return ownBuckets[bucket] != digests.Buckets[bucket]
	})
}

// sendRecords sends the replicated records that are wanted on a link.
func (c *Controller) sendRecords(id LinkID, isWanted func(fleet.PeerRecord) bool) {
	var records []fleet.PeerRecord
	for _, record := range c.state.Peers().All() {
		if c.isReplicated(record) && isWanted(record) {
			records = append(records, record)
		}
	}
	for batch := range slices.Chunk(records, maxRecordsPerMessage) {
		c.emit(Send{Link: id, Message: &Message{Records: batch}})
	}
}

// newSummary returns a message that holds the summary of this process.
func (c *Controller) newSummary(now time.Time) *Message {
	age, known := c.ViewAge(now)
	if !known {
		age = -1
	}
	return &Message{Summary: &Summary{
		ID:           c.config.Self,
		Incarnation:  c.ownRecord.Incarnation,
		Revisions:    c.state.Revisions(),
		ViewAge:      age,
		TableDigest:  c.tableDigest(),
		HistorySpan:  c.state.HistorySpan(now),
		FormerDigest: c.state.FormerDigest(now),
	}}
}
