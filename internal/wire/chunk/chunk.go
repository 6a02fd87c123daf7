// Package chunk provides pooled buffers for copying a flow's bytes. A flow takes a
// buffer only while it has bytes to copy, so that idle flows use no buffer memory.
package chunk

import "sync"

// Size is the capacity of a chunk in bytes.
const Size = 32 << 10

// Chunk is a buffer from the pool and the number of bytes read into it.
type Chunk struct {
	buffer [Size]byte
	length int
}

var pool = sync.Pool{New: func() any { return new(Chunk) }}

// Get takes a chunk from the pool. Its old contents are not cleared. The user returns it
// with Put.
func Get() *Chunk { return pool.Get().(*Chunk) }

// Put returns the chunk to the pool. It must not be used afterwards.
func (c *Chunk) Put() { pool.Put(c) }

// Space returns the whole buffer, to read into.
func (c *Chunk) Space() []byte { return c.buffer[:] }

// SetLength records how many bytes were read into Space.
func (c *Chunk) SetLength(length int) { c.length = length }

// Bytes returns the bytes that were read into the chunk. They are valid until Put.
func (c *Chunk) Bytes() []byte { return c.buffer[:c.length] }
