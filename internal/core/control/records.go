package control

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// mergeRecord applies a peer record. If the record changes the table and is replicated, it is
// queued for gossip. A record of this process itself is passed to refute instead.
//
// A record that changes where packets may go is urgent, except for the first record of a
// process, which waits for the next tick.
func (c *Controller) mergeRecord(now time.Time, record fleet.PeerRecord) {
	if record.ID == c.config.Self {
		c.refute(now, record)
		return
	}
	old, _ := c.state.Peers().Record(record.ID)
	if !c.state.Peers().Merge(now, record) {
		return
	}
	if c.isReplicated(record) {
		c.pendingRecords[record.ID] = record
	}
	if c.state.RecordAnnouncement(now, record, c.canBeLapsed(now)) {
		c.scheduleRoutingChange(now)
	}
	c.followPeer(now, old, record)
	if changesRouting(old, record) {
		c.hasUrgentRecord = c.hasUrgentRecord || old.Incarnation != 0
		c.scheduleRoutingChange(now)
	} else {
		c.scheduleView(now.Add(weightViewDelay))
	}
}

// followPeer reports that a peer leaves, and adapts its probes if its record shows a start, a suspicion
// or the end of one.
func (c *Controller) followPeer(now time.Time, old, record fleet.PeerRecord) {
	if record.State == fleet.PeerLeaving && old.State != fleet.PeerLeaving {
		c.emit(ReportEvent{Event: EventPeerLeaving, Peer: c.nodeName(record.ID)})
	}
	switch {
	case record.State == fleet.PeerAlive && !record.Suspected && record.Incarnation > old.Incarnation:
		c.restartProbes(now, record.ID)
	case record.Suspected && !old.Suspected:
		c.probeAtOnce(now, record.ID)
	case old.Suspected && record.Incarnation == old.Incarnation:
		c.prober.recordRefutation(now, record.ID)
	}
}

// changesRouting reports whether two records of a process differ in a field that decides where
// packets may go, and not only in how much traffic the target gets.
func changesRouting(old, record fleet.PeerRecord) bool {
	return old.Incarnation != record.Incarnation || old.State != record.State || old.Suspected != record.Suspected ||
		!slices.Equal(old.Residual, record.Residual)
}

// refute handles a record that others hold of this process. If that record has a higher
// incarnation, or else the same incarnation, no lower sequence and another state or a
// suspicion, refute raises the incarnation or sequence of the own record above it and gossips
// the own record. It ignores all other records.
func (c *Controller) refute(now time.Time, record fleet.PeerRecord) {
	if record.Incarnation > c.ownRecord.Incarnation {
		c.ownRecord.Incarnation = record.Incarnation + 1
		c.ownRecord.Sequence = 0
	} else if record.Incarnation < c.ownRecord.Incarnation || record.Sequence < c.ownRecord.Sequence || record.State == c.ownRecord.State && !record.Suspected {
		return
	}
	c.ownRecord.Sequence = max(c.ownRecord.Sequence, record.Sequence) + 1
	c.emit(ReportEvent{Event: EventSuspicionRefuted})
	c.gossipOwnRecord(now)
}

// gossipOwnRecord puts this process's own record into the table and queues it for gossip.
func (c *Controller) gossipOwnRecord(now time.Time) {
	old, _ := c.state.Peers().Record(c.ownRecord.ID)
	c.state.Peers().Merge(now, c.ownRecord)
	ownRecord := c.ownRecord
	if old.Incarnation == ownRecord.Incarnation {
		// Peers keep the announcement from the first record of each incarnation.
		ownRecord.Announcement = nil
	}
	c.pendingRecords[c.ownRecord.ID] = ownRecord
	if changesRouting(old, c.ownRecord) {
		c.scheduleRoutingChange(now)
	} else {
		c.scheduleView(now.Add(weightViewDelay))
	}
}

// restoreOwnRecord puts this process's own record back into the table and queues it for gossip
// once the platform lists the process. Earlier instances documents without the process have
// removed the record.
func (c *Controller) restoreOwnRecord(now time.Time) {
	if _, known := c.state.Peers().Record(c.ownRecord.ID); known || !c.state.IsListed(c.ownRecord.ID) {
		return
	}
	c.state.Peers().Merge(now, c.ownRecord)
	c.pendingRecords[c.ownRecord.ID] = c.ownRecord
}

// UpdateOwnRecord sets the state, weight and residual services in this process's own record.
// Peers receive the weight in replies to their probes; state and residual services are gossiped
// at once. A change of only the weight gives no outputs. It sorts residual in place.
func (c *Controller) UpdateOwnRecord(now time.Time, state fleet.PeerState, weight fleet.Weight, residual []fleet.ServiceID) []Output {
	slices.Sort(residual)
	if c.ownRecord.Weight != weight {
		c.ownRecord.Weight = weight
		c.state.Peers().SetOwnWeight(c.ownRecord.ID, weight)
		c.scheduleView(now.Add(weightViewDelay))
	}
	if c.ownRecord.State == state && slices.Equal(c.ownRecord.Residual, residual) {
		return nil
	}
	c.ownRecord.State, c.ownRecord.Residual = state, residual
	c.ownRecord.Sequence++
	c.gossipOwnRecord(now)
	c.flushRecords()
	c.publishIfDue(now)
	return c.takeOutputs()
}

// flushRecords sends the pending records on all links.
func (c *Controller) flushRecords() {
	if len(c.pendingRecords) == 0 {
		return
	}
	records := make([]fleet.PeerRecord, 0, len(c.pendingRecords))
	for _, record := range c.pendingRecords {
		records = append(records, record)
	}
	clear(c.pendingRecords)
	c.hasUrgentRecord = false
	for batch := range slices.Chunk(records, maxRecordsPerMessage) {
		c.broadcast(&Message{Records: batch}, 0)
	}
}

// tableDigest returns the digest of the whole peer table.
func (c *Controller) tableDigest() uint64 {
	var digest uint64
	for _, bucket := range c.bucketDigests() {
		digest ^= bucket
	}
	return digest
}

// isReplicated reports whether all processes should hold a record: the platform lists its
// process, or the process has an announcement and its entry may have lapsed. Other records are
// removed by each new instances document. Without such a document, all records are replicated.
func (c *Controller) isReplicated(record fleet.PeerRecord) bool {
	hasNoInstances := c.state.Revisions().Instances.IsMissing()
	return hasNoInstances || record.Announcement != nil || c.state.IsListed(record.ID)
}

// bucketDigests returns one digest for each bucket of the replicated records.
func (c *Controller) bucketDigests() []uint64 {
	buckets := make([]uint64, digestBucketCount)
	for _, record := range c.state.Peers().All() {
		if !c.isReplicated(record) {
			continue
		}
		buckets[uint64(record.ID)%digestBucketCount] ^= recordDigest(record)
	}
	return buckets
}

// Flags of a record in its digest.
const (
	flagAnnounced byte = 1 << iota
	flagSuspected
)

// recordDigest returns a digest of the fields that are gossiped at once, which are those that
// decide where packets may go. It leaves out the weight, since some weight has always just
// changed in a large fleet and the tables would always differ.
func recordDigest(record fleet.PeerRecord) uint64 {
	encoded := make([]byte, 0, 64)
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(record.ID))
	encoded = binary.LittleEndian.AppendUint64(encoded, record.Incarnation)
	var flags byte
	if record.Announcement != nil {
		flags |= flagAnnounced
	}
	if record.Suspected {
		flags |= flagSuspected
	}
	encoded = append(encoded, byte(record.State), flags)
	for _, service := range record.Residual {
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(service))
	}
	return xxhash.Sum64(encoded)
}
