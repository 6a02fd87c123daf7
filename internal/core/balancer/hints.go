package balancer

import (
	"sync/atomic"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Hints is a bounded, lock-free table of where flows are, as far as that is known.
// An entry may be lost at any time: it is only a short cut. All goroutines of a
// balancer share one table.
type Hints struct {
	slots []slot
}

// slot stores the owner and the flow hash XORed with it, so that a reader
// recognises an entry torn by two writers.
type slot struct {
	mixed atomic.Uint64
	owner atomic.Uint64
}

// Hint says where a flow is.
type Hint struct {
	Owner fleet.InstanceID
	// Told reports whether the owner itself has said so. Otherwise its opening packet
	// was sent there.
	Told bool
}

// tentative is mixed into entries that the owner has not told of.
const tentative = 0x5bd1e9955bd1e995

// NewHints returns a table with a fixed number of entries, 16 bytes each.
func NewHints(entries int) *Hints {
	return &Hints{slots: make([]slot, entries)}
}

// Put remembers where a flow is, replacing another flow's entry if needed.
func (h *Hints) Put(hash uint64, hint Hint) {
	mixed := hash ^ uint64(hint.Owner)
	if !hint.Told {
		mixed ^= tentative
	}
	s := h.slot(hash)
	s.owner.Store(uint64(hint.Owner))
	s.mixed.Store(mixed)
}

// Forget drops the entry of a flow, if there is one.
func (h *Hints) Forget(hash uint64) {
	if _, known := h.Get(hash); known {
		h.slot(hash).owner.Store(0)
	}
}

// Get returns what is known of a flow.
func (h *Hints) Get(hash uint64) (Hint, bool) {
	s := h.slot(hash)
	owner := s.owner.Load()
	if owner == 0 {
		return Hint{}, false
	}
	switch s.mixed.Load() {
	case hash ^ owner:
		return Hint{Owner: fleet.InstanceID(owner), Told: true}, true
	case hash ^ owner ^ tentative:
		return Hint{Owner: fleet.InstanceID(owner)}, true
	}
	return Hint{}, false
}

func (h *Hints) slot(hash uint64) *slot {
	return &h.slots[hash%uint64(len(h.slots))]
}
