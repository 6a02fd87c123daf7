package flow

import "time"

// EarlyPackets holds the packets that reach a process before it has its first view. Answers
// this pattern: all processes restart at once under full load. Callers send a packet again
// only after ever longer pauses, so a packet that is dropped before the view arrives costs its
// caller up to the next pause, and several callers their last try.
//
// Packets that are read after a pause of the process are not early: their callers have sent
// them again long ago. EarlyPackets is not safe for concurrent use.
type EarlyPackets[T any] struct {
	packets []earlyPacket[T]
	// known holds the packets in packets, to leave out retransmissions.
	known map[earlyKey]bool
	// ended is set once Release was called.
	ended bool
}

// earlyPacket is a held packet with its envelope.
type earlyPacket[T any] struct {
	packet     T
	forgetAt   time.Time
	identifier earlyKey
}

// earlyKey identifies a packet and its retransmissions.
type earlyKey struct {
	flow     ID
	kind     Kind
	sequence uint32
}

const (
	// earlyLifetime is how long a packet is held. A caller gives up an opening packet after
	// about this time.
	earlyLifetime = 1400 * time.Millisecond
	// maxEarlyPackets is the number of packets that are held.
	maxEarlyPackets = 4096
)

// NewEarlyPackets returns an EarlyPackets without packets.
func NewEarlyPackets[T any]() *EarlyPackets[T] {
	return &EarlyPackets[T]{known: make(map[earlyKey]bool)}
}

// Add holds a packet, which hold copies with what belongs to it. It reports false, and holds
// nothing, if Release was called before, if the packet is a retransmission of a held one, or
// if too many are held.
func (e *EarlyPackets[T]) Add(now time.Time, packet Packet, hold func() T) bool {
	identifier := earlyKey{packet.Flow(), packet.Kind(), packet.Sequence()}
	if e.ended || e.known[identifier] || len(e.packets) >= maxEarlyPackets {
		return false
	}
	e.known[identifier] = true
	e.packets = append(e.packets, earlyPacket[T]{hold(), now.Add(earlyLifetime), identifier})
	return true
}

// IsEmpty reports whether no packet is held.
func (e *EarlyPackets[T]) IsEmpty() bool { return len(e.packets) == 0 }

// Sweep drops the packets that have been held for too long and returns their number. A later
// retransmission is held again.
func (e *EarlyPackets[T]) Sweep(now time.Time) int {
	expired := 0
	for expired < len(e.packets) && !now.Before(e.packets[expired].forgetAt) {
		delete(e.known, e.packets[expired].identifier)
		expired++
	}
	e.packets = e.packets[expired:]
	return expired
}

// Release returns the held packets in the order in which they came. No packet is held after
// that. It must be called as soon as there is a view, also if no packet is held.
func (e *EarlyPackets[T]) Release(now time.Time) []T {
	if e.ended {
		return nil
	}
	e.Sweep(now)
	released := make([]T, 0, len(e.packets))
	for _, held := range e.packets {
		released = append(released, held.packet)
	}
	e.packets, e.known, e.ended = nil, nil, true
	return released
}
