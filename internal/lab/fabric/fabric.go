// Package fabric simulates the network fabric in front of the balancers. It sprays
// callers' packets over the balancers and returns agents' packets to callers. It can
// drop, delay, reorder and duplicate packets; a seed makes its choices repeatable.
package fabric

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxPacketBytes    = 2048
	socketBufferBytes = 8 << 20
)

// Faults are applied to each packet, in both directions.
type Faults struct {
	// Drop, Duplicate and Reorder are probabilities for one packet, from 0 to 1.
	Drop      float64
	Duplicate float64
	Reorder   float64
	// Delay holds back every packet. A reordered one is held back for the delay once
	// more, or for a millisecond if that is longer. The second copy of a duplicated
	// packet is sent at once.
	Delay time.Duration
}

// Fabric transports packets between callers and the load balancer.
type Fabric struct {
	socket  *net.UDPConn
	deliver func(packet []byte)

	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	balancers []*net.UDPAddr
}

// Start opens the fabric on a UDP address. It hands packets for callers to deliver;
// such a packet is valid until deliver returns.
func Start(address netip.AddrPort, seed uint64, deliver func(packet []byte)) (*Fabric, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("start fabric: %w", err)
	}
	if err := socket.SetReadBuffer(socketBufferBytes); err != nil {
		return nil, fmt.Errorf("start fabric: %w", err)
	}
	f := &Fabric{socket: socket, deliver: deliver, random: rand.New(rand.NewPCG(seed, 1))}
	go f.receive()
	return f, nil
}

// Address returns the UDP address to which agents send packets for callers.
func (f *Fabric) Address() string { return f.socket.LocalAddr().String() }

// Close closes the socket. Packets sent later are lost.
func (f *Fabric) Close() { _ = f.socket.Close() }

// SetBalancers replaces the balancers over which the fabric sprays packets. With none,
// it drops callers' packets.
func (f *Fabric) SetBalancers(endpoints []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = nil
	for _, endpoint := range endpoints {
		f.balancers = append(f.balancers, net.UDPAddrFromAddrPort(endpoint))
	}
}

// SetFaults replaces the faults of packets sent from now on.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Send sends a caller's packet to a balancer chosen at random.
func (f *Fabric) Send(packet []byte) {
	f.mu.Lock()
	if len(f.balancers) == 0 {
		f.mu.Unlock()
		return
	}
	to := f.balancers[f.random.IntN(len(f.balancers))]
	f.mu.Unlock()
	f.applyFaults(packet, func(p []byte) {
		// A packet that can't be sent is lost, as in a real fabric.
		_, _ = f.socket.WriteToUDP(p, to)
	})
}

// receive delivers packets for callers until the fabric is closed.
func (f *Fabric) receive() {
	buffer := make([]byte, maxPacketBytes)
	for {
		count, _, err := f.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f.applyFaults(buffer[:count], f.deliver)
	}
}

// applyFaults draws the faults of a packet and passes it to send accordingly: not at
// all, late or twice.
func (f *Fabric) applyFaults(packet []byte, send func([]byte)) {
	f.mu.Lock()
	faults := f.faults
	dropped := f.random.Float64() < faults.Drop
	duplicated := f.random.Float64() < faults.Duplicate
	reordered := f.random.Float64() < faults.Reorder
	f.mu.Unlock()
	if dropped {
		return
	}
	delay := faults.Delay
	if reordered {
		delay += max(faults.Delay, time.Millisecond)
	}
	if delay > 0 {
		delayed := append([]byte(nil), packet...)
		time.AfterFunc(delay, func() { send(delayed) })
	} else {
		send(packet)
	}
	if duplicated {
		send(packet)
	}
}
