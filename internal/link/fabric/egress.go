package fabric

import (
	"net"
	"net/netip"
	"sync"

	"github.com/radishmast/radishmast/internal/link/peer"
)

// Egress sends an agent's packets to callers through the fabric. It is safe for concurrent
// use.
type Egress struct {
	mu             sync.Mutex
	writer         *peer.Writer
	fabricEndpoint netip.AddrPort
	counter        Counter
}

// NewEgress returns an Egress that sends from conn to the fabric's endpoint.
func NewEgress(conn *net.UDPConn, to netip.AddrPort, counter Counter) *Egress {
	return &Egress{writer: peer.NewWriter(conn, peer.NewPaths()), fabricEndpoint: to, counter: counter}
}

// Send sends packets in batches. Packets that cannot be sent are lost. The counter
// drop_send_failed is incremented once for each batch with a failure, however many packets of
// it were lost.
func (e *Egress) Send(packets ...[]byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, packet := range packets {
		buffer, err := e.writer.Next()
		if err != nil {
			e.counter.Add("drop_send_failed", 1)
			continue
		}
		buffer.Write(packet)
		e.writer.Queue(e.fabricEndpoint)
	}
	if err := e.writer.Flush(); err != nil {
		e.counter.Add("drop_send_failed", 1)
	}
}
