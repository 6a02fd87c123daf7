package relay

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	streamBufferBytes = 32 << 10
	blockPollInterval    = 20 * time.Millisecond
	dialTimeout  = 2 * time.Second
)

// stream is a relayed TCP connection.
type stream struct {
	from, to netip.Addr
	client   net.Conn
	server   net.Conn
	// blackholed is guarded by the relay's mutex.
	blackholed bool
}

func (s *stream) close() {
	_ = s.client.Close()
	_ = s.server.Close()
}

func (r *Relay) accept(listener net.Listener, target netip.AddrPort) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relayStream(client, target)
	}
}

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

// copyStream copies one direction. A blocked direction holds the bytes back; a
// forgotten stream loses them.
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

func (r *Relay) isBlocked(s *stream, from, to netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams[s] && r.faultOf(from, to).Block
}

func (r *Relay) isBlackholed(s *stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.blackholed
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
