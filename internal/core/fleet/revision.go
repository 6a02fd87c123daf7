package fleet

import (
	"cmp"
	"fmt"
	"strconv"
)

// Revision is the position of a document in the order of all its versions. Of two documents of
// a kind, the one with the higher revision replaces the other. The zero Revision is that of a
// missing document.
type Revision struct {
	_ struct{} `cbor:",toarray"`
	// Version is the number that the operators gave the document, or zero if they give none.
	// It decides first, as it stays valid when the platform is restored from a copy.
	Version uint64 `json:"version,omitempty"`
	// Era counts how often the platform was restored from a copy. Each restore loses the
	// last changes, and the platform gives their numbers to other changes.
	Era uint64 `json:"era,omitempty"`
	// Number grows with each change on the platform within an era.
	Number uint64 `json:"revision"`
}

// Compare returns a negative number if r is lower than the other revision, zero if both are
// equal, and a positive number if r is higher.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Version, other.Version), cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// IsNewerThan reports whether r is higher than another revision.
func (r Revision) IsNewerThan(other Revision) bool { return r.Compare(other) > 0 }

// IsMissing reports whether r is the revision of a missing document.
func (r Revision) IsMissing() bool { return r == Revision{} }

// String returns the number, after the era and a slash if the platform was ever restored. It
// leaves out the version.
func (r Revision) String() string {
	if r.Era == 0 {
		return strconv.FormatUint(r.Number, 10)
	}
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}

// numberBits is the number of low bits of a packed revision that hold the number. The era is in
// the bits above.
const numberBits = 48

// Pack returns the era and the number in one integer, in the same order as the revisions of a
// version.
func (r Revision) Pack() uint64 { return r.Era<<numberBits | r.Number }

// UnpackRevision reverses Revision.Pack. The result has no version.
func UnpackRevision(packed uint64) Revision {
	return Revision{Era: packed >> numberBits, Number: packed & (1<<numberBits - 1)}
}

// Revisions holds the revision of each document.
type Revisions struct {
	_         struct{} `cbor:",toarray"`
	Services  Revision `json:"services"`
	Backends  Revision `json:"backends"`
	Instances Revision `json:"instances"`
}

// AreComplete reports whether there is a document of each kind.
func (r Revisions) AreComplete() bool {
	return !r.Services.IsMissing() && !r.Backends.IsMissing() && !r.Instances.IsMissing()
}

// AreBehind reports whether any document of another process is newer.
func (r Revisions) AreBehind(other Revisions) bool {
	return other.Services.IsNewerThan(r.Services) || other.Backends.IsNewerThan(r.Backends) || other.Instances.IsNewerThan(r.Instances)
}

// Highest returns the highest revision of any document, without a version: the last change on
// the platform that any of them contains.
func (r Revisions) Highest() Revision {
	highest := Revision{}
	for _, revision := range [...]Revision{r.Services, r.Backends, r.Instances} {
		revision.Version = 0
		if revision.IsNewerThan(highest) {
			highest = revision
		}
	}
	return highest
}
