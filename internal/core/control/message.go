package control

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Message is one message on a control link. Exactly one of its fields is set.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Summary *Summary
	Digests *Digests
	Records []fleet.PeerRecord
	// Changes lead from one state of the documents to another. They take effect together.
	Changes []Change
	// History is sent to a peer that knows former selectors for a shorter time than the sender, or
	// others.
	History *fleet.SelectorHistory
}

// Summary is the heartbeat of a link. It describes the state of the sender, so that the
// receiver can find out what either of them lacks.
type Summary struct {
	_           struct{} `cbor:",toarray"`
	ID          fleet.InstanceID
	Incarnation uint64
	Revisions   fleet.Revisions
	// ViewAge is the time since the sender's view was compared with the platform. It is
	// negative if that never happened.
	ViewAge time.Duration
	// WantsDocuments reports whether the sender requests the documents that are newer at
	// the receiver.
	WantsDocuments bool
	// TableDigest is the digest of the sender's peer table.
	TableDigest uint64
	// HistorySpan is how far back the sender knows the changes of selectors.
	HistorySpan time.Duration
	// FormerDigest is the digest of the former selectors that the sender knows.
	FormerDigest uint64
}

// digestBucketCount is the number of buckets, each with a digest of its own, into which the
// peer table is divided.
const digestBucketCount = 64

// Digests is an anti-entropy digest of the sender's peer table: one value for each bucket.
type Digests struct {
	_       struct{} `cbor:",toarray"`
	Buckets []uint64
	// WantsReply reports whether the sender requests the receiver's digests.
	WantsReply bool
}

// Change leads from one revision of a document to another. Exactly one of Services, Backends
// and Instances is set. A change from the zero revision holds the whole document.
type Change struct {
	_        struct{} `cbor:",toarray"`
	From     fleet.Revision
	To       fleet.Revision
	Services *Delta[fleet.Service]
	// Draining is the complete list of draining data centres. It belongs to Services.
	Draining  []string
	Backends  *Delta[fleet.Backend]
	Instances *Delta[fleet.Instance]
	// Leased reports whether the entries are leases, which can lapse. It belongs to
	// Instances.
	Leased bool
}

// Delta holds the entries of a document that were added or changed, and the names of those
// that were removed.
type Delta[T any] struct {
	_       struct{} `cbor:",toarray"`
	Upserts []T
	Removed []string
}
