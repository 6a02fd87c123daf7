// Package chunk lends buffers for copying a flow's bytes, so that an idle flow
// holds none.
package chunk

import "sync"

// Size is the size of a chunk in bytes.
const Size = 32 << 10

// Chunk is a borrowed buffer with the bytes read into it.
type Chunk struct {
	buffer [Size]byte
	length int
}

var pool = sync.Pool{New: func() any { return new(Chunk) }}

// Get borrows a chunk.
func Get() *Chunk { return pool.Get().(*Chunk) }

// Put returns a chunk. It must not be used afterwards.
func (c *Chunk) Put() { pool.Put(c) }

// Space returns the whole buffer, to read into.
func (c *Chunk) Space() []byte { return c.buffer[:] }

// SetLength records how many bytes were read.
func (c *Chunk) SetLength(length int) { c.length = length }

// Bytes returns the bytes that were read.
func (c *Chunk) Bytes() []byte { return c.buffer[:c.length] }
