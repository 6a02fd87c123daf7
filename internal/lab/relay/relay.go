// Package relay relays the traffic between processes and injects faults. It drops,
// delays and duplicates datagrams, blocks a link in one direction, and discards all
// traffic of open connections while new ones work.
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

// Fault is applied to the traffic in one direction of a link. The zero value passes
// everything unchanged.
type Fault struct {
	// Drop and Duplicate are probabilities from 0 to 1, for datagrams only.
	Drop      float64
	Duplicate float64
	// Delay holds back each datagram and each piece read from a stream. The second
	// copy of a duplicated datagram is sent at once.
	Delay time.Duration
	// Block drops datagrams and holds back the bytes of streams. Neither side sees
	// an error.
	Block bool
}

// link is one direction between two instances, by their IP addresses.
type link struct{ from, to netip.Addr }

// Relay relays traffic between instances. Other instances reach each instance through
// an address of the relay.
type Relay struct {
	mu           sync.Mutex
	random       *rand.Rand
	linkFaults   map[link]Fault
	defaultFault Fault
	paths        map[path]*net.UDPConn
	blackholed   map[path]bool
	streams      map[*stream]bool
	closers      []io.Closer
}

// path carries the datagrams from one sender's socket to an instance, and the replies
// back.
type path struct {
	source netip.AddrPort
	target netip.AddrPort
}

// New returns a relay without faults. The seed makes the choice of dropped and
// duplicated datagrams repeatable.
func New(seed uint64) *Relay {
	return &Relay{
		random:     rand.New(rand.NewPCG(seed, 2)),
		linkFaults: make(map[link]Fault),
		paths:      make(map[path]*net.UDPConn),
		blackholed: make(map[path]bool),
		streams:    make(map[*stream]bool),
	}
}

// SetFault replaces the fault of traffic from one instance to another.
func (r *Relay) SetFault(from, to netip.Addr, fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkFaults[link{from, to}] = fault
}

// SetDefaultFault replaces the fault of every link for which SetFault has set none.
func (r *Relay) SetDefaultFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultFault = fault
}

// ClearFaults removes the faults that SetFault has set; the default fault stays.
func (r *Relay) ClearFaults() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.linkFaults)
}

// BlackholeOpen discards, from now on, all traffic of the datagram paths and streams
// that are open between two instances, in both directions. Neither instance is notified, and
// paths and streams opened later work, as when a middlebox loses its state.
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

// isBetween reports whether from and to are the instances a and b, in either order.
func isBetween(from, to, a, b netip.Addr) bool {
	return (from == a && to == b) || (from == b && to == a)
}

// faultOf returns the fault of the direction between two instances. The caller holds
// the mutex.
func (r *Relay) faultOf(from, to netip.Addr) Fault {
	if fault, set := r.linkFaults[link{from, to}]; set {
		return fault
	}
	return r.defaultFault
}

// RelayDatagrams relays datagrams that arrive at listen to the instance at target, and
// its replies back to the senders.
func (r *Relay) RelayDatagrams(listen, target netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return fmt.Errorf("start relay to %s: %w", target, err)
	}
	if err := conn.SetReadBuffer(socketBufferBytes); err != nil {
		return fmt.Errorf("start relay to %s: %w", target, err)
	}
	r.closers = append(r.closers, conn)
	go r.receive(conn, target)
	return nil
}

// receive relays datagrams to the target until conn is closed. It drops a datagram for
// which it can't open a socket.
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

// pathSocket returns the relay's socket for a path, to which the target replies. It
// opens the socket at the path's first datagram.
func (r *Relay) pathSocket(conn *net.UDPConn, p path) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out := r.paths[p]; out != nil {
		return out, nil
	}
	out, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(p.target))
	if err != nil {
		return nil, fmt.Errorf("open datagram path to %s: %w", p.target, err)
	}
	r.paths[p] = out
	r.closers = append(r.closers, out)
	go r.relayReplies(conn, out, p)
	return out, nil
}

// relayReplies relays the target's replies to the source of the path until the path's
// socket is closed.
func (r *Relay) relayReplies(conn, out *net.UDPConn, p path) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, err := out.Read(buffer)
		if err != nil {
			// A datagram refused by a closed port shows up as a read error; the path
			// goes on until its socket is closed.
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

// sendWithFault draws the faults of a datagram from its direction and passes it to
// send accordingly: not at all, late or twice.
func (r *Relay) sendWithFault(p path, from, to netip.Addr, data []byte, send func([]byte)) {
	r.mu.Lock()
	fault := r.faultOf(from, to)
	dropped := fault.Block || r.blackholed[p] || r.random.Float64() < fault.Drop
	duplicated := r.random.Float64() < fault.Duplicate
	r.mu.Unlock()
	if dropped {
		return
	}
	if fault.Delay > 0 {
		delayed := append([]byte(nil), data...)
		time.AfterFunc(fault.Delay, func() { send(delayed) })
	} else {
		send(data)
	}
	if duplicated {
		send(data)
	}
}

// Close closes all listeners, paths and streams.
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

// RelayStreams relays TCP connections that arrive at listen to the instance at target.
func (r *Relay) RelayStreams(listen, target netip.AddrPort) error {
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp4", listen.String())
	if err != nil {
		return fmt.Errorf("start relay to %s: %w", target, err)
	}
	r.closers = append(r.closers, listener)
	go r.accept(listener, target)
	return nil
}
