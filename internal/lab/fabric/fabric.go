// Package fabric is a stand-in for the fabric in front of the balancers: it
// sprays callers' packets over them and carries answers back, and it can drop,
// delay, reorder and duplicate packets by seed.
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

// Faults are the faults of every packet's way, in each direction.
type Faults struct {
	// Drop, Duplicate and Reorder are probabilities.
	Drop      float64
	Duplicate float64
	Reorder   float64
	// Delay is added to every packet; a reordered one is delayed twice.
	Delay time.Duration
}

// Fabric carries packets between callers and the system.
type Fabric struct {
	socket  *net.UDPConn
	deliver func(packet []byte)

	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	balancers []*net.UDPAddr
}

// Start opens the fabric on an address. Packets from the system to callers go to
// deliver.
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

// Address returns where agents send packets to callers.
func (f *Fabric) Address() string { return f.socket.LocalAddr().String() }

// Close stops the fabric.
func (f *Fabric) Close() { _ = f.socket.Close() }

// SetBalancers replaces the balancers that packets are sprayed over.
func (f *Fabric) SetBalancers(endpoints []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = nil
	for _, endpoint := range endpoints {
		f.balancers = append(f.balancers, net.UDPAddrFromAddrPort(endpoint))
	}
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Send hands a caller's packet to a randomly chosen balancer.
func (f *Fabric) Send(packet []byte) {
	f.mu.Lock()
	if len(f.balancers) == 0 {
		f.mu.Unlock()
		return
	}
	to := f.balancers[f.random.IntN(len(f.balancers))]
	f.mu.Unlock()
	f.applyFaults(packet, func(p []byte) {
		// A packet that cannot be sent is lost, as in any fabric.
		_, _ = f.socket.WriteToUDP(p, to)
	})
}

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

// applyFaults passes a packet on after the faults chosen for it.
func (f *Fabric) applyFaults(packet []byte, pass func([]byte)) {
	f.mu.Lock()
	faults := f.faults
	dropped := f.random.Float64() < faults.Drop
	doubled := f.random.Float64() < faults.Duplicate
	late := f.random.Float64() < faults.Reorder
	f.mu.Unlock()
	if dropped {
		return
	}
	delay := faults.Delay
	if late {
		delay += max(faults.Delay, time.Millisecond)
	}
	if delay > 0 {
		held := append([]byte(nil), packet...)
		time.AfterFunc(delay, func() { pass(held) })
	} else {
		pass(packet)
	}
	if doubled {
		pass(packet)
	}
}
