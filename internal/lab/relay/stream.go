package relay

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	streamBufferBytes = 32 << 10
	blockPollInterval = 20 * time.Millisecond
	dialTimeout       = 2 * time.Second
)

// stream is a relayed TCP connection: client is the connection that the relay accepted
// from the instance from, server the one that it opened to the instance to.
type stream struct {
	from, to netip.Addr
	client   net.Conn
	server   net.Conn
	// blackholed means that the relay discards all bytes of the stream. It is guarded
	// by the relay's mutex.
	blackholed bool
}

// close closes both connections, which ends the copying in both directions.
func (s *stream) close() {
	_ = s.client.Close()
	_ = s.server.Close()
}

// accept relays the connections of a listener until it is closed.
func (r *Relay) accept(listener net.Listener, target netip.AddrPort) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relayStream(client, target)
	}
}

// relayStream connects an accepted connection to the target and copies both directions
// until one of them ends. If the target can't be reached, it closes the connection.
func (r *Relay) relayStream(client net.Conn, target netip.AddrPort) {
	from := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	server, err := net.DialTimeout("tcp4", target.String(), dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	s := &stream{from: from, to: target.Addr(), client: client, server: server}
	r.mu.Lock()
	r.streams[s] = true
	r.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copyStream(s, s.from, s.to, server, client)
	}()
	r.copyStream(s, s.to, s.from, client, server)
	<-done
	r.mu.Lock()
	delete(r.streams, s)
	r.mu.Unlock()
}

// copyStream copies one direction until either connection ends, then closes both. It
// holds bytes back while the direction is blocked and discards those of a blackholed
// stream.
func (r *Relay) copyStream(s *stream, from, to netip.Addr, dst, src net.Conn) {
	defer s.close()
	buffer := make([]byte, streamBufferBytes)
	for {
		count, err := src.Read(buffer)
		if err != nil {
			return
		}
		for r.isBlocked(s, from, to) {
			time.Sleep(blockPollInterval)
		}
		if r.isBlackholed(s) {
			continue
		}
		r.mu.Lock()
		delay := r.faultOf(from, to).Delay
		r.mu.Unlock()
		time.Sleep(delay)
		if _, err := dst.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// isBlocked reports whether the fault of a direction blocks an open stream.
func (r *Relay) isBlocked(s *stream, from, to netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams[s] && r.faultOf(from, to).Block
}

// isBlackholed reports whether the bytes of a stream are discarded.
func (r *Relay) isBlackholed(s *stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.blackholed
}

// isClosed reports whether an error comes from a socket that this process closed.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
