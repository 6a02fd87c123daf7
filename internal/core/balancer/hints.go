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
	hashXorOwner atomic.Uint64
	owner        atomic.Uint64
}

// NewHints returns a table with a fixed number of entries, 16 bytes each.
func NewHints(entries int) *Hints {
	return &Hints{slots: make([]slot, entries)}
}

// Put remembers where a flow is, replacing another flow's entry if needed.
func (h *Hints) Put(hash uint64, owner fleet.InstanceID) {
	s := h.slot(hash)
	s.owner.Store(uint64(owner))
	s.hashXorOwner.Store(hash ^ uint64(owner))
}

// Delete drops the entry of a flow, if there is one.
func (h *Hints) Delete(hash uint64) {
	if _, known := h.Get(hash); known {
		h.slot(hash).owner.Store(0)
	}
}

// Get returns where a flow is, as far as that is known.
func (h *Hints) Get(hash uint64) (fleet.InstanceID, bool) {
	s := h.slot(hash)
	owner := s.owner.Load()
	if owner == 0 || s.hashXorOwner.Load() != hash^owner {
		return 0, false
	}
	return fleet.InstanceID(owner), true
}

func (h *Hints) slot(hash uint64) *slot {
	return &h.slots[hash%uint64(len(h.slots))]
}
