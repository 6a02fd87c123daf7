package control

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// mergeRecord applies a peer record and spreads it if it was news.
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
	if c.canBeLapsed(now) && c.state.RecordAnnouncement(now, record) {
		c.scheduleRoutingChange(now)
	}
	if record.State == fleet.PeerSuspect && old.State != fleet.PeerSuspect {
		c.probeAtOnce(now, record.ID)
	}
	if changesRouting(old, record) {
		c.hasUrgentRecord = c.hasUrgentRecord || old.Incarnation != 0
		c.scheduleRoutingChange(now)
	} else {
		c.scheduleView(now.Add(weightViewDelay))
	}
}

// changesRouting reports whether the change decides where packets may go, and not
// only how much each target gets.
func changesRouting(old, record fleet.PeerRecord) bool {
	return old.Incarnation != record.Incarnation || old.State != record.State || !slices.Equal(old.Residual, record.Residual)
}

// refute raises the own sequence above a record that others hold of this process.
func (c *Controller) refute(now time.Time, record fleet.PeerRecord) {
	if record.Incarnation > c.ownRecord.Incarnation {
		c.ownRecord.Incarnation = record.Incarnation + 1
		c.ownRecord.Sequence = 0
	} else if record.Incarnation < c.ownRecord.Incarnation || record.Sequence < c.ownRecord.Sequence || record.State == c.ownRecord.State {
		return
	}
	c.ownRecord.Sequence = max(c.ownRecord.Sequence, record.Sequence) + 1
	c.emit(ReportEvent{Event: EventSuspicionRefuted})
	c.gossipOwnRecord(now)
}

func (c *Controller) gossipOwnRecord(now time.Time) {
	old, _ := c.state.Peers().Record(c.ownRecord.ID)
	c.state.Peers().Merge(now, c.ownRecord)
	ownRecord := c.ownRecord
	if old.Incarnation == ownRecord.Incarnation {
		// Peers keep the announcement from the first record.
		ownRecord.Announcement = nil
	}
	c.pendingRecords[c.ownRecord.ID] = ownRecord
	if changesRouting(old, c.ownRecord) {
		c.scheduleRoutingChange(now)
	} else {
		c.scheduleView(now.Add(weightViewDelay))
	}
}

// restoreOwnRecord puts the own record back into the table, and tells it again, once the process
// is listed: the table forgets processes that are not.
func (c *Controller) restoreOwnRecord(now time.Time) {
	if _, known := c.state.Peers().Record(c.ownRecord.ID); known || !c.state.IsListed(c.ownRecord.ID) {
		return
	}
	c.state.Peers().Merge(now, c.ownRecord)
	c.pendingRecords[c.ownRecord.ID] = c.ownRecord
}

// UpdateOwnRecord sets what this process says of itself. Peers are told its weight when they
// probe it, and the rest at once.
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

// flushRecords sends the records that changed since the last flush.
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

func (c *Controller) tableDigest() uint64 {
	var digest uint64
	for _, bucket := range c.bucketDigests() {
		digest ^= bucket
	}
	return digest
}

// isReplicated reports whether all processes should hold a record: the platform lists its
// process, or may have lost the entry of it. Others are forgotten with each document.
func (c *Controller) isReplicated(record fleet.PeerRecord) bool {
	hasNoInstances := c.state.Revisions().Instances == 0
	return hasNoInstances || record.Announcement != nil || c.state.IsListed(record.ID)
}

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

// recordDigest covers what is spread, which is what decides where packets may go.
func recordDigest(record fleet.PeerRecord) uint64 {
	encoded := make([]byte, 0, 64)
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(record.ID))
	encoded = binary.LittleEndian.AppendUint64(encoded, record.Incarnation)
	encoded = append(encoded, byte(record.State))
	if record.Announcement != nil {
		encoded = append(encoded, 1)
	}
	for _, service := range record.Residual {
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(service))
	}
	return xxhash.Sum64(encoded)
}
