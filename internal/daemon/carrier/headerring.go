package carrier

import (
	"slices"

	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// headerRingSize is the number of delivered packets whose headers are kept. A packet that
// the backend server bounces after that many later ones is dropped; its caller retransmits it.
const headerRingSize = 4096

// headerRing keeps the headers of the packets that were delivered last, by tag. The agent
// needs the header of a packet that the backend server bounces, to forward it. Carrier.mu
// guards the ring.
type headerRing struct {
	// next is the tag of the next packet.
	next    uint32
	entries [headerRingSize]headerEntry
}

// headerEntry is an entry of the ring. It is unused while tag is zero.
type headerEntry struct {
	tag    uint32
	header datagram.Header
}

func newHeaderRing() *headerRing { return &headerRing{next: 1} }

// add stores a copy of a header in place of the oldest one and returns its tag, which is
// never zero. The entry's memory is reused.
func (r *headerRing) add(header *datagram.Header) uint32 {
	tag := r.next
	r.next = max(r.next+1, 1)
	entry := &r.entries[tag%headerRingSize]
	visited := append(entry.header.Visited[:0], header.Visited...)
	entry.tag, entry.header = tag, *header
	entry.header.Visited = visited
	return tag
}

// get returns a copy of the header with a tag. It reports false if the tag is unknown or its
// header has been overwritten.
func (r *headerRing) get(tag uint32) (datagram.Header, bool) {
	entry := &r.entries[tag%headerRingSize]
	if tag == 0 || entry.tag != tag {
		return datagram.Header{}, false
	}
	header := entry.header
	header.Visited = slices.Clone(header.Visited)
	return header, true
}
