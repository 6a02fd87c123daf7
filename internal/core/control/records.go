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
		c.changed[record.ID] = record
	}
	if c.canBeLapsed(now) && c.state.RecordAnnouncement(now, record) {
		c.scheduleRoutingChange(now)
	}
	if record.State == fleet.PeerSuspect && old.State != fleet.PeerSuspect {
		c.probeAtOnce(now, record.ID)
	}
	if changesRouting(old, record) {
		c.urgent = c.urgent || old.Incarnation != 0
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
	if record.Incarnation > c.own.Incarnation {
		c.own.Incarnation = record.Incarnation + 1
		c.own.Sequence = 0
	} else if record.Incarnation < c.own.Incarnation || record.Sequence < c.own.Sequence || record.State == c.own.State {
		return
	}
	c.own.Sequence = max(c.own.Sequence, record.Sequence) + 1
	c.emit(ReportEvent{Event: EventSuspicionRefuted})
	c.gossipOwnRecord(now)
}

func (c *Controller) gossipOwnRecord(now time.Time) {
	old, _ := c.state.Peers().Record(c.own.ID)
	c.state.Peers().Merge(now, c.own)
	own := c.own
	if old.Incarnation == own.Incarnation {
		// Peers keep the announcement from the first record.
		own.Announcement = nil
	}
	c.changed[c.own.ID] = own
	if changesRouting(old, c.own) {
		c.scheduleRoutingChange(now)
	} else {
		c.scheduleView(now.Add(weightViewDelay))
	}
}

// restoreOwnRecord puts the own record back into the table, and tells it again, once the process
// is listed: the table forgets processes that are not.
func (c *Controller) restoreOwnRecord(now time.Time) {
	if _, known := c.state.Peers().Record(c.own.ID); known || !c.state.IsListed(c.own.ID) {
		return
	}
	c.state.Peers().Merge(now, c.own)
	c.changed[c.own.ID] = c.own
}

// UpdateOwnRecord sets what this process says of itself. Peers are told its weight when they
// probe it, and the rest at once.
func (c *Controller) UpdateOwnRecord(now time.Time, state fleet.PeerState, weight fleet.Weight, residual []fleet.ServiceID) []Output {
	slices.Sort(residual)
	if c.own.Weight != weight {
		c.own.Weight = weight
		c.state.Peers().SetOwnWeight(c.own.ID, weight)
		c.scheduleView(now.Add(weightViewDelay))
	}
	if c.own.State == state && slices.Equal(c.own.Residual, residual) {
		return nil
	}
	c.own.State, c.own.Residual = state, residual
	c.own.Sequence++
	c.gossipOwnRecord(now)
	c.flushRecords()
	c.publishIfDue(now)
	return c.takeOutputs()
}

// flushRecords sends the records that changed since the last flush.
func (c *Controller) flushRecords() {
	if len(c.changed) == 0 {
		return
	}
	records := make([]fleet.PeerRecord, 0, len(c.changed))
	for _, record := range c.changed {
		records = append(records, record)
	}
	clear(c.changed)
	c.urgent = false
	for part := range slices.Chunk(records, maxRecordsInSend) {
		c.broadcast(&Message{Records: part}, 0)
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
	isBlank := c.state.Revisions().Instances == 0
	return isBlank || record.Announcement != nil || c.state.IsListed(record.ID)
}

func (c *Controller) bucketDigests() []uint64 {
	buckets := make([]uint64, digestBuckets)
	for _, record := range c.state.Peers().All() {
		if !c.isReplicated(record) {
			continue
		}
		buckets[uint64(record.ID)%digestBuckets] ^= recordDigest(record)
	}
	return buckets
}

// recordDigest covers what is spread, which is what decides where packets may go.
func recordDigest(record fleet.PeerRecord) uint64 {
	fixed := make([]byte, 0, 64)
	fixed = binary.LittleEndian.AppendUint64(fixed, uint64(record.ID))
	fixed = binary.LittleEndian.AppendUint64(fixed, record.Incarnation)
	fixed = append(fixed, byte(record.State))
	if record.Announcement != nil {
		fixed = append(fixed, 1)
	}
	for _, service := range record.Residual {
		fixed = binary.LittleEndian.AppendUint64(fixed, uint64(service))
	}
	return xxhash.Sum64(fixed)
}
