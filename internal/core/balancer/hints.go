package balancer

import (
	"sync/atomic"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Hints is a bounded, lock-free table of flows that are owned by an instance
// other than their home. An entry may be lost at any time: it is only a short
// cut. All goroutines of a balancer share one table.
type Hints struct {
	slots []hint
}

// hint stores the owner and the flow hash XORed with it, so that a reader
// recognises an entry torn by two writers.
type hint struct {
	mixed atomic.Uint64
	owner atomic.Uint64
}

// NewHints returns a table with a fixed number of entries, 16 bytes each.
func NewHints(entries int) *Hints {
	return &Hints{slots: make([]hint, entries)}
}

// Put remembers the owner of a flow, replacing another flow's entry if needed.
func (h *Hints) Put(hash uint64, owner fleet.InstanceID) {
	slot := h.slot(hash)
	slot.owner.Store(uint64(owner))
	slot.mixed.Store(hash ^ uint64(owner))
}

// Get returns the remembered owner of a flow.
func (h *Hints) Get(hash uint64) (fleet.InstanceID, bool) {
	slot := h.slot(hash)
	owner := slot.owner.Load()
	if owner == 0 || slot.mixed.Load() != hash^owner {
		return 0, false
	}
	return fleet.InstanceID(owner), true
}

func (h *Hints) slot(hash uint64) *hint {
	return &h.slots[hash%uint64(len(h.slots))]
}
