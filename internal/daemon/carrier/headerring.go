package carrier

import (
	"slices"

	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// headerRingSize is the number of packets that may be with the backend server at
// once. What it returns later is lost, and sent again by the caller.
const headerRingSize = 4096

// headerRing remembers how packets came that the backend server may return.
type headerRing struct {
	next    uint32
	entries [headerRingSize]headerEntry
}

type headerEntry struct {
	tag    uint32
	header datagram.Header
}

func newHeaderRing() *headerRing { return &headerRing{next: 1} }

// add remembers a header and returns its tag, which is never zero.
func (o *headerRing) add(header *datagram.Header) uint32 {
	tag := o.next
	o.next = max(o.next+1, 1)
	entry := &o.entries[tag%headerRingSize]
	visited := append(entry.header.Visited[:0], header.Visited...)
	entry.tag, entry.header = tag, *header
	entry.header.Visited = visited
	return tag
}

// get returns the header with a tag. The caller gets a copy of its own.
func (o *headerRing) get(tag uint32) (datagram.Header, bool) {
	entry := &o.entries[tag%headerRingSize]
	if tag == 0 || entry.tag != tag {
		return datagram.Header{}, false
	}
	header := entry.header
	header.Visited = slices.Clone(header.Visited)
	return header, true
}
