package carrier

import (
	"slices"

	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// offeredSize is the number of packets that may be with the backend server at
// once. What it returns later is lost, and sent again by the caller.
const offeredSize = 4096

// offered remembers how packets came that the backend server may return.
type offered struct {
	next    uint32
	entries [offeredSize]offer
}

type offer struct {
	tag    uint32
	header datagram.Header
}

func newOffered() *offered { return &offered{next: 1} }

// put remembers a header and returns its tag, which is never zero.
func (o *offered) put(header *datagram.Header) uint32 {
	tag := o.next
	o.next = max(o.next+1, 1)
	entry := &o.entries[tag%offeredSize]
	visited := append(entry.header.Visited[:0], header.Visited...)
	entry.tag, entry.header = tag, *header
	entry.header.Visited = visited
	return tag
}

// take returns the header with a tag. The caller gets a copy of its own.
func (o *offered) take(tag uint32) (datagram.Header, bool) {
	entry := &o.entries[tag%offeredSize]
	if tag == 0 || entry.tag != tag {
		return datagram.Header{}, false
	}
	header := entry.header
	header.Visited = slices.Clone(header.Visited)
	return header, true
}
