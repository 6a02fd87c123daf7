package caller

import (
	"bytes"
	"fmt"
	"io"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/waiter"

	"github.com/radishmast/radishmast/internal/wire/chunk"
)

// Conn is a connection to a caller for one flow. One goroutine may read while another
// writes.
type Conn struct {
	endpoint tcpip.Endpoint
	queue    *waiter.Queue
	// readable and writable receive a value after an event of readEvents or writeEvents.
	readable chan struct{}
	writable chan struct{}
}

// readEvents and writeEvents are the endpoint events after which a read or a write is tried
// again.
const (
	readEvents  = waiter.ReadableEvents | waiter.EventHUp | waiter.EventErr
	writeEvents = waiter.WritableEvents | waiter.EventHUp | waiter.EventErr
)

func newConn(endpoint tcpip.Endpoint, queue *waiter.Queue) *Conn {
	readEntry, readable := waiter.NewChannelEntry(readEvents)
	writeEntry, writable := waiter.NewChannelEntry(writeEvents)
	queue.EventRegister(&readEntry)
	queue.EventRegister(&writeEntry)
	return &Conn{endpoint: endpoint, queue: queue, readable: readable, writable: writable}
}

// Next waits for bytes from the caller and returns them in a chunk, which the user returns
// to the pool with Put. While Next waits it holds no chunk. It returns io.EOF when the caller
// has closed its side of the flow.
func (c *Conn) Next() (*chunk.Chunk, error) {
	for {
		if c.endpoint.Readiness(readEvents) != 0 {
			data, err := c.read()
			if data != nil || err != nil {
				return data, err
			}
		}
		<-c.readable
	}
}

// read reads once into a chunk without waiting. It returns a nil chunk and a nil error if
// there are no bytes.
func (c *Conn) read() (*chunk.Chunk, error) {
	data := chunk.Get()
	writer := tcpip.SliceWriter(data.Space())
	result, err := c.endpoint.Read(&writer, tcpip.ReadOptions{})
	if err == nil {
		data.SetLength(result.Count)
		c.endpoint.ModerateRecvBuf(result.Count)
		return data, nil
	}
	data.Put()
	switch err.(type) {
	case *tcpip.ErrWouldBlock:
		return nil, nil
	case *tcpip.ErrClosedForReceive:
		return nil, io.EOF
	}
	return nil, fmt.Errorf("read from caller: %s", err)
}

// Write sends data to the caller and returns the number of bytes written. It waits while the
// send buffer is full.
func (c *Conn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		reader := bytes.NewReader(data[written:])
		count, err := c.endpoint.Write(reader, tcpip.WriteOptions{})
		written += int(count)
		switch err.(type) {
		case nil:
		case *tcpip.ErrWouldBlock:
			<-c.writable
		default:
			return written, fmt.Errorf("write to caller: %s", err)
		}
	}
	return written, nil
}

// CloseWrite closes the sending side of the flow.
func (c *Conn) CloseWrite() {
	// The only error is that the flow has already ended.
	_ = c.endpoint.Shutdown(tcpip.ShutdownWrite)
}

// Close closes the flow after the bytes already written have been sent.
func (c *Conn) Close() { c.endpoint.Close() }

// Abort closes the flow immediately with a reset.
func (c *Conn) Abort() { c.endpoint.Abort() }
