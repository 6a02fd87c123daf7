package balancer

import (
	"sync/atomic"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Hints is a bounded, lock-free table of hints: the agent that owns a flow, by flow hash.
// Flows that share a slot overwrite each other, so a hint may be lost at any time; an
// agent then searches for the owner. All goroutines of a balancer share one table.
type Hints struct {
	slots []slot
}

// slot is an entry of the table. It stores the owner, zero if the slot is empty, and the
// flow hash XORed with the owner, so that a reader detects an entry whose halves come
// from two concurrent writers.
type slot struct {
	hashXorOwner atomic.Uint64
	owner        atomic.Uint64
	// latest holds the upper half of a flow's hash and, below it, the sequence number of the
	// flow's latest packet with payload.
	latest atomic.Uint64
}

// NewHints returns a table with a fixed number of entries of 24 bytes each.
func NewHints(entries int) *Hints {
	return &Hints{slots: make([]slot, entries)}
}

// Put stores the owner of a flow. It replaces the entry of another flow if that uses the
// same slot.
func (h *Hints) Put(hash uint64, owner fleet.InstanceID) {
	s := h.slot(hash)
	s.owner.Store(uint64(owner))
	s.hashXorOwner.Store(hash ^ uint64(owner))
}

// Delete removes the entry of a flow, if there is one, and its latest sequence number.
func (h *Hints) Delete(hash uint64) {
	s := h.slot(hash)
	if _, known := h.Get(hash); known {
		s.owner.Store(0)
	}
	if s.latest.Load()>>32 == hash>>32 {
		s.latest.Store(0)
	}
}

// Get returns the stored owner of a flow. It reports false if there is none.
func (h *Hints) Get(hash uint64) (fleet.InstanceID, bool) {
	s := h.slot(hash)
	owner := s.owner.Load()
	if owner == 0 || s.hashXorOwner.Load() != hash^owner {
		return 0, false
	}
	return fleet.InstanceID(owner), true
}

// Advance records the sequence number of a packet with payload. It reports false if the flow had
// reached that number before, as the packet is a retransmission then.
func (h *Hints) Advance(hash uint64, sequence uint32) bool {
	s := h.slot(hash)
	latest := s.latest.Load()
	isSameFlow := latest>>32 == hash>>32
	if isSameFlow && int32(sequence-uint32(latest)) <= 0 {
		return false
	}
	s.latest.Store(hash>>32<<32 | uint64(sequence))
	return true
}

// slot returns the slot of a flow hash.
func (h *Hints) slot(hash uint64) *slot {
	return &h.slots[hash%uint64(len(h.slots))]
}
