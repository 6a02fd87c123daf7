package fleet

import "time"

// Weight is the relative speed of a backend server in quantised steps.
// DefaultWeight stands for a backend server whose speed is not known.
type Weight uint16

// DefaultWeight is the weight of a backend server that has not reported one.
const DefaultWeight Weight = 1000

// PeerState is the liveness of a peer as spread between processes.
type PeerState uint8

const (
	// PeerAlive means that the peer answers probes.
	PeerAlive PeerState = iota
	// PeerSuspect means that a prober has had no answer for several periods.
	PeerSuspect
	// PeerLeaving means that the peer takes no new flows.
	PeerLeaving
	// PeerServerUnresponsive means that the backend server beside the peer does not answer.
	PeerServerUnresponsive
)

// Announcement is what an agent says of the backend server beside it, for the time in which
// the platform does not list it.
type Announcement struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	DataCentre string
	Data       string
	Control    string
	Labels     map[string]string
}

// PeerRecord is what one process says of itself, or others suspect of it. The
// record with the higher (Incarnation, Sequence) wins; at the same pair a
// suspicion wins, and only the peer itself can raise its sequence to refute it.
type PeerRecord struct {
	_           struct{} `cbor:",toarray"`
	ID          InstanceID
	Incarnation uint64
	Sequence    uint64
	State       PeerState
	Weight      Weight
	Residual    []ServiceID
	// Announcement is set by an agent whose entry in the platform's list can lapse. It is
	// sent once for each incarnation.
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
	return r.State == PeerSuspect && old.State != PeerSuspect
}

// Peers is the table of peer records. It is not safe for concurrent use.
type Peers struct {
	records map[InstanceID]PeerRecord
	// weights holds the weights that peers have told this process themselves. They change
	// too often to be spread to the whole fleet.
	weights map[InstanceID]Weight
	// answeredAt holds when a peer last answered this process.
	answeredAt map[InstanceID]time.Time
	// suspectedAt holds when this process learned that a peer is suspected.
	suspectedAt map[InstanceID]time.Time
	// unreachable holds the peers that do not answer this process.
	unreachable map[InstanceID]bool
}

// NewPeers returns an empty table.
func NewPeers() *Peers {
	return &Peers{
		records:     make(map[InstanceID]PeerRecord),
		weights:     make(map[InstanceID]Weight),
		answeredAt:  make(map[InstanceID]time.Time),
		suspectedAt: make(map[InstanceID]time.Time),
		unreachable: make(map[InstanceID]bool),
	}
}

// Merge applies a record and reports whether it changed the table.
func (p *Peers) Merge(now time.Time, record PeerRecord) bool {
	old, known := p.records[record.ID]
	sameStart := known && record.Incarnation == old.Incarnation
	if known && !record.supersedes(old) {
		if !sameStart || old.Announcement != nil || record.Announcement == nil {
			return false
		}
		old.Announcement = record.Announcement
		p.records[record.ID] = old
		return true
	}
	if !sameStart {
		delete(p.weights, record.ID)
	}
	if sameStart && record.Announcement == nil {
		record.Announcement = old.Announcement
	}
	p.records[record.ID] = record
	if record.State == PeerSuspect {
		p.suspectedAt[record.ID] = now
	}
	return true
}

// RecordWeight records the weight that a peer has told this process. It reports whether it
// is another one than before.
func (p *Peers) RecordWeight(id InstanceID, weight Weight) bool {
	if weight == 0 || p.weight(id) == weight {
		return false
	}
	p.weights[id] = weight
	return true
}

// weight returns the weight that a peer has told last, or else the one of its record.
func (p *Peers) weight(id InstanceID) Weight {
	if weight, told := p.weights[id]; told {
		return weight
	}
	if weight := p.records[id].Weight; weight > 0 {
		return weight
	}
	return DefaultWeight
}

// SetOwnWeight puts this process's weight into its record, for processes that will ask for
// the whole table.
func (p *Peers) SetOwnWeight(id InstanceID, weight Weight) {
	record := p.records[id]
	record.Weight = weight
	p.records[id] = record
}

// Record returns what is known of a peer.
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

// SetReachable records whether the peer answers this process. A direct answer
// outweighs the suspicion of others. It reports whether that changes where packets may
// go.
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

// IsUnreachable reports whether the peer does not answer this process.
func (p *Peers) IsUnreachable(id InstanceID) bool { return p.unreachable[id] }

// Retain drops peers that the keep function rejects.
func (p *Peers) Retain(keep func(InstanceID) bool) {
	for id := range p.records {
		if !keep(id) {
			delete(p.records, id)
			delete(p.weights, id)
			delete(p.answeredAt, id)
			delete(p.suspectedAt, id)
			delete(p.unreachable, id)
		}
	}
}

const (
	// directReplyMargin is how long before a suspicion reaches this process an answer of the peer
	// still outweighs it.
	directReplyMargin = 200 * time.Millisecond
	// directReplyLifetime is how long an answer of a peer lets it take new flows where all
	// others are suspected too.
	directReplyLifetime = 10 * time.Second
)

// isSuspected reports whether others suspect the peer and it has not answered this
// process since.
func (p *Peers) isSuspected(id InstanceID) bool {
	return p.records[id].State == PeerSuspect && p.answeredAt[id].Before(p.suspectedAt[id].Add(-directReplyMargin))
}

// isExcluded reports whether the peer must not get new flows: it does not answer this
// process, or others suspect it and it has not answered here for long.
func (p *Peers) isExcluded(id InstanceID, now time.Time) bool {
	return p.unreachable[id] || p.isSuspected(id) && now.After(p.answeredAt[id].Add(directReplyLifetime))
}
