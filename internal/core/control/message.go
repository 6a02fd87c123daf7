package control

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Message is what processes exchange on a control link. Exactly one part is set.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Summary *Summary
	Digests *Digests
	Records []fleet.PeerRecord
	Change  *Change
}

// Summary is the heartbeat of a link: what the sender has in force.
type Summary struct {
	_           struct{} `cbor:",toarray"`
	ID          fleet.InstanceID
	Incarnation uint64
	Revisions   fleet.Revisions
	// ViewAge is how long ago the sender's picture was compared with the platform, or
	// negative if it never was.
	ViewAge time.Duration
	// WantsDocuments asks the receiver for the documents in which the sender is behind.
	WantsDocuments bool
	// TableDigest is the digest of the sender's peer table.
	TableDigest uint64
}

// digestBucketCount is the number of parts the peer table is compared in.
const digestBucketCount = 64

// Digests holds a digest for each part of the sender's peer table.
type Digests struct {
	_       struct{} `cbor:",toarray"`
	Buckets []uint64
	// WantsReply asks the receiver for its own digests.
	WantsReply bool
}

// Change brings one document from a revision to another. A change from revision
// zero holds the whole document.
type Change struct {
	_        struct{} `cbor:",toarray"`
	From     uint64
	To       uint64
	Services *Delta[fleet.Service]
	// Draining lists the draining data centres, whole, beside Services.
	Draining  []string
	Backends  *Delta[fleet.Backend]
	Instances *Delta[fleet.Instance]
	// Leased stands beside Instances.
	Leased bool
}

// Delta lists the entries of a document that were added or changed, and the
// names of those that were removed.
type Delta[T any] struct {
	_       struct{} `cbor:",toarray"`
	Upserts []T
	Removed []string
}
