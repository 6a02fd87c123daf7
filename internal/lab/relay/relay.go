// Package relay stands on the links between processes and injects faults: it
// drops, delays and duplicates, blocks a link in one direction, and forgets the
// state of open connections while new ones work.
package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagramBytes  = 8192
	socketBufferBytes = 4 << 20
)

// Fault is what happens to traffic in one direction of a link.
type Fault struct {
	// Drop and Duplicate are probabilities, for datagrams only.
	Drop      float64
	Duplicate float64
	Delay     time.Duration
	// Block lets nothing through and tells nobody.
	Block bool
}

// link is one direction between two instances, by their IP addresses.
type link struct{ from, to netip.Addr }

// Relay relays between instances. Each instance is reached through an address of
// the relay's.
type Relay struct {
	mu      sync.Mutex
	random  *rand.Rand
	linkFaults  map[link]Fault
	defaultFault   Fault
	paths   map[path]*net.UDPConn
	blackholed  map[path]bool
	streams map[*stream]bool
	closers []io.Closer
}

// path is one sender's socket towards an instance.
type path struct {
	source netip.AddrPort
	target netip.AddrPort
}

// New returns a relay without faults.
func New(seed uint64) *Relay {
	return &Relay{
		random:  rand.New(rand.NewPCG(seed, 2)),
		linkFaults:  make(map[link]Fault),
		paths:   make(map[path]*net.UDPConn),
		blackholed:  make(map[path]bool),
		streams: make(map[*stream]bool),
	}
}

// SetFault replaces the fault of traffic from one instance to another.
func (r *Relay) SetFault(from, to netip.Addr, fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkFaults[link{from, to}] = fault
}

// SetDefaultFault replaces the fault of every link that has none of its own.
func (r *Relay) SetDefaultFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultFault = fault
}

// ClearFaults removes all faults of single links.
func (r *Relay) ClearFaults() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.linkFaults)
}

// BlackholeOpen makes everything open between two instances silent for good, in both
// directions. What is opened later works.
func (r *Relay) BlackholeOpen(a, b netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.paths {
		if isBetween(p.source.Addr(), p.target.Addr(), a, b) {
			r.blackholed[p] = true
		}
	}
	for s := range r.streams {
		if isBetween(s.from, s.to, a, b) {
			s.blackholed = true
		}
	}
}

func isBetween(from, to, a, b netip.Addr) bool {
	return (from == a && to == b) || (from == b && to == a)
}

func (r *Relay) faultOf(from, to netip.Addr) Fault {
	if fault, set := r.linkFaults[link{from, to}]; set {
		return fault
	}
	return r.defaultFault
}

// RelayDatagrams relays datagrams that arrive at listen to an instance.
func (r *Relay) RelayDatagrams(listen, target netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return fmt.Errorf("relay to %s: %w", target, err)
	}
	if err := conn.SetReadBuffer(socketBufferBytes); err != nil {
		return fmt.Errorf("relay to %s: %w", target, err)
	}
	r.closers = append(r.closers, conn)
	go r.receive(conn, target)
	return nil
}

func (r *Relay) receive(conn *net.UDPConn, target netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, source, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p := path{netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), target}
		out, err := r.pathSocket(conn, p)
		if err != nil {
			continue
		}
		r.sendWithFault(p, p.source.Addr(), target.Addr(), buffer[:count], func(data []byte) {
			_, _ = out.Write(data)
		})
	}
}

// pathSocket returns the relay's own socket for a path, through which answers return.
func (r *Relay) pathSocket(conn *net.UDPConn, p path) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out := r.paths[p]; out != nil {
		return out, nil
	}
	out, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(p.target))
	if err != nil {
		return nil, fmt.Errorf("open path to %s: %w", p.target, err)
	}
	r.paths[p] = out
	r.closers = append(r.closers, out)
	go r.relayReplies(conn, out, p)
	return out, nil
}

func (r *Relay) relayReplies(conn, out *net.UDPConn, p path) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, err := out.Read(buffer)
		if err != nil {
			// A refused datagram shows up as an error; only closing ends the path.
			if isClosed(err) {
				return
			}
			continue
		}
		r.sendWithFault(p, p.target.Addr(), p.source.Addr(), buffer[:count], func(data []byte) {
			_, _ = conn.WriteToUDPAddrPort(data, p.source)
		})
	}
}

// sendWithFault sends a datagram on after the faults of its direction.
func (r *Relay) sendWithFault(p path, from, to netip.Addr, data []byte, send func([]byte)) {
	r.mu.Lock()
	fault := r.faultOf(from, to)
	blocked := fault.Block || r.blackholed[p] || r.random.Float64() < fault.Drop
	doubled := r.random.Float64() < fault.Duplicate
	r.mu.Unlock()
	if blocked {
		return
	}
	if fault.Delay > 0 {
		held := append([]byte(nil), data...)
		time.AfterFunc(fault.Delay, func() { send(held) })
	} else {
		send(data)
	}
	if doubled {
		send(data)
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, closer := range r.closers {
		_ = closer.Close()
	}
	for s := range r.streams {
		s.close()
	}
}

// RelayStreams relays TCP connections that arrive at listen to an instance.
func (r *Relay) RelayStreams(listen, target netip.AddrPort) error {
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp4", listen.String())
	if err != nil {
		return fmt.Errorf("relay to %s: %w", target, err)
	}
	r.closers = append(r.closers, listener)
	go r.accept(listener, target)
	return nil
}
