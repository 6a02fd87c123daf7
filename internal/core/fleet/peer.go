package fleet

import (
	"math"
	"time"
)

// Weight is the relative speed of a backend server in quantised steps. Zero means that no
// weight is known.
type Weight uint16

// DefaultWeight is the weight of a backend server that has not reported one.
const DefaultWeight Weight = 1000

// PeerState is what a peer says of itself.
type PeerState uint8

const (
	// PeerAlive means that the peer serves as usual.
	PeerAlive PeerState = iota
	// PeerLeaving means that the peer takes no new flows.
	PeerLeaving
	// PeerServerUnresponsive means that the backend server of the peer does not respond.
	PeerServerUnresponsive
)

// Announcement is what an agent publishes about itself and its backend server, for use
// while the platform does not list the agent. Its fields are those of the entries that
// the platform would list.
type Announcement struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	DataCentre string
	Data       string
	Control    string
	Labels     map[string]string
}

// Process is one start of an instance. An instance that restarts is another process.
type Process struct {
	ID          InstanceID
	Incarnation uint64
}

// MaxIncarnation is higher than the incarnation of any process.
const MaxIncarnation uint64 = math.MaxUint64

// PeerRecord is what a process publishes about itself, or a suspicion that another
// process publishes about it. The record with the higher (Incarnation, Sequence) wins. Of
// two records with the same pair a suspicion wins, and only the peer itself can refute
// it, by raising its sequence.
type PeerRecord struct {
	_ struct{} `cbor:",toarray"`
	// ID is the peer that the record is about.
	ID InstanceID
	// Incarnation is a number that grows with each start of the peer.
	Incarnation uint64
	// Sequence is a number that the peer raises when its State or Residual changes, and
	// to refute a suspicion. A change of Weight alone does not raise it. It starts again
	// with each incarnation.
	Sequence uint64
	State    PeerState
	// Suspected reports whether a process has probed the peer for several periods without a
	// reply. A suspicion keeps State: a peer that leaves and then falls silent is still one
	// that has left as planned.
	Suspected bool
	// Weight is the weight of the backend server when the record was sent, or zero if it
	// is not known.
	Weight Weight
	// Residual lists the services that no longer select the peer although it still owns
	// flows of them.
	Residual []ServiceID
	// Announcement is set by an agent whose entry in the platform's list can lapse. The
	// agent normally sends it once for each incarnation.
	Announcement *Announcement
}

// supersedes reports whether r replaces old.
func (r PeerRecord) supersedes(old PeerRecord) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.Suspected && !old.Suspected
}

// Peers is the table of peer records of a process. It is not safe for concurrent use.
type Peers struct {
	records map[InstanceID]PeerRecord
	// weights holds the weights that peers have sent to this process directly. They
	// change too often to be gossiped to the whole fleet.
	weights map[InstanceID]Weight
	// answeredAt holds when each peer last answered this process.
	answeredAt map[InstanceID]time.Time
	// suspectedAt holds when this process last merged a suspicion of each peer.
	suspectedAt map[InstanceID]time.Time
	// unreachable holds the peers that do not answer this process.
	unreachable map[InstanceID]bool
	// restartedAt holds when this process learned of the latest restart of each peer.
	restartedAt map[InstanceID]time.Time
}

// returnGrace is how long a peer that has started again may take until it answers all processes.
const returnGrace = 2 * time.Second

// hasRestarted reports whether the peer has started again less than returnGrace ago.
func (p *Peers) hasRestarted(id InstanceID, now time.Time) bool {
	return now.Before(p.restartedAt[id].Add(returnGrace))
}

// NewPeers returns an empty table.
func NewPeers() *Peers {
	return &Peers{
		records:     make(map[InstanceID]PeerRecord),
		weights:     make(map[InstanceID]Weight),
		answeredAt:  make(map[InstanceID]time.Time),
		suspectedAt: make(map[InstanceID]time.Time),
		unreachable: make(map[InstanceID]bool),
		restartedAt: make(map[InstanceID]time.Time),
	}
}

// Merge applies a record and reports whether it changed the table. Records that a peer
// sends after the first one of its incarnation usually omit the announcement, so the
// table keeps the announcement for the whole incarnation, and also takes it from a record
// that is otherwise superseded.
func (p *Peers) Merge(now time.Time, record PeerRecord) bool {
	old, known := p.records[record.ID]
	sameIncarnation := known && record.Incarnation == old.Incarnation
	if known && !record.supersedes(old) {
		if !sameIncarnation || old.Announcement != nil || record.Announcement == nil {
			return false
		}
		old.Announcement = record.Announcement
		p.records[record.ID] = old
		return true
	}
	if !sameIncarnation {
		delete(p.weights, record.ID)
	}
	if known && !sameIncarnation {
		p.restartedAt[record.ID] = now
	}
	if sameIncarnation && record.Announcement == nil {
		record.Announcement = old.Announcement
	}
	p.records[record.ID] = record
	if record.Suspected {
		p.suspectedAt[record.ID] = now
	}
	return true
}

// RecordWeight records a weight that a peer has sent to this process directly, unless it
// is zero. It reports whether the peer's weight has changed.
func (p *Peers) RecordWeight(id InstanceID, weight Weight) bool {
	if weight == 0 || p.weight(id) == weight {
		return false
	}
	p.weights[id] = weight
	return true
}

// weight returns the weight that the peer last sent directly, or else the one of its
// record, or else DefaultWeight.
func (p *Peers) weight(id InstanceID) Weight {
	if weight, known := p.weights[id]; known {
		return weight
	}
	if weight := p.records[id].Weight; weight > 0 {
		return weight
	}
	return DefaultWeight
}

// SetOwnWeight sets the weight in this process's own record without raising its sequence,
// so that processes which request the whole table get it.
func (p *Peers) SetOwnWeight(id InstanceID, weight Weight) {
	record := p.records[id]
	record.Weight = weight
	p.records[id] = record
}

// Record returns the record of a peer. It reports false if there is none.
func (p *Peers) Record(id InstanceID) (PeerRecord, bool) {
	record, known := p.records[id]
	return record, known
}

// All returns every record in no particular order.
func (p *Peers) All() []PeerRecord {
	all := make([]PeerRecord, 0, len(p.records))
	for _, record := range p.records {
		all = append(all, record)
	}
	return all
}

// SetReachable records whether the peer answers this process. A direct reply outweighs
// the suspicions of other processes. SetReachable reports whether it changes where
// packets may go.
func (p *Peers) SetReachable(now time.Time, id InstanceID, reachable bool) bool {
	wasSuspected := p.isSuspected(id)
	if reachable {
		p.answeredAt[id] = now
	}
	changed := p.unreachable[id] == reachable
	if reachable {
		delete(p.unreachable, id)
	} else {
		p.unreachable[id] = true
	}
	return changed || wasSuspected != p.isSuspected(id)
}

// AssumeReachable forgets that a peer did not answer this process, since it has started again.
func (p *Peers) AssumeReachable(id InstanceID) { delete(p.unreachable, id) }

// IsUnreachable reports whether the peer does not answer this process.
func (p *Peers) IsUnreachable(id InstanceID) bool { return p.unreachable[id] }

// Retain drops the peers for which keep returns false.
func (p *Peers) Retain(keep func(InstanceID) bool) {
	for id := range p.records {
		if !keep(id) {
			delete(p.records, id)
			delete(p.weights, id)
			delete(p.answeredAt, id)
			delete(p.suspectedAt, id)
			delete(p.unreachable, id)
			delete(p.restartedAt, id)
		}
	}
}

const (
	// directReplyMargin is the maximum age of a direct reply, when a suspicion reaches
	// this process, at which the reply still outweighs the suspicion.
	directReplyMargin = 200 * time.Millisecond
	// directReplyLifetime is how long after a direct reply a suspected peer may still
	// get new flows if all other targets are suspected too.
	directReplyLifetime = 10 * time.Second
)

// isSuspected reports whether other processes suspect the peer and no direct reply
// outweighs the suspicion.
func (p *Peers) isSuspected(id InstanceID) bool {
	return p.records[id].Suspected && p.answeredAt[id].Before(p.suspectedAt[id].Add(-directReplyMargin))
}

// isExcluded reports whether the peer must not get new flows even if all other targets
// are suspected: it does not answer this process, or it is suspected and last answered
// this process more than directReplyLifetime ago.
func (p *Peers) isExcluded(id InstanceID, now time.Time) bool {
	return p.unreachable[id] || p.isSuspected(id) && now.After(p.answeredAt[id].Add(directReplyLifetime))
}
