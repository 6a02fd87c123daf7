package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Times of the page on flows.
const (
	firstRetransmission = 200 * time.Millisecond
	longestInterval     = 1600 * time.Millisecond
)

// copyIntervals are the waits after each copy of an opening packet.
var copyIntervals = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// Ends of a client's attempt.
var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("timeout")
)

// client is a stand-in for the clients at one address, and for the routers before the fronts.
type client struct {
	address netip.Addr
	conn    *net.UDPConn
	// front returns the front to which the routers send the packets of a port now.
	front  func(port uint16) netip.AddrPort
	record *record

	mu       sync.Mutex
	lastPort uint16
	flows    map[uint16]*clientFlow
}

// clientFlow is a flow of a client.
type clientFlow struct {
	client   *client
	id       flowID
	received chan packet
	sequence uint32
	token    uint32
	// sentAt is when the first copy of the opening packet was sent.
	sentAt time.Time

	mu sync.Mutex
	// resetAt is when a reset that no target sent arrived on the open flow, or zero.
	resetAt time.Time
	isOpen  bool
}

// startClient starts clients at an address. Their packets enter through the fronts that front returns.
func startClient(address netip.AddrPort, front func(port uint16) netip.AddrPort, r *record) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{address: address.Addr(), conn: conn, front: front, record: r, lastPort: 1024, flows: make(map[uint16]*clientFlow)}
	go c.run()
	return c, nil
}

func (c *client) run() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, isGenuine, isValid := decode(buffer[:n])
		if !isValid {
			continue
		}
		c.mu.Lock()
		flow := c.flows[p.destination.Port()]
		c.mu.Unlock()
		if flow == nil {
			continue
		}
		if !isGenuine && p.flags == flagReset {
			flow.noteReset(p)
		}
		select {
		case flow.received <- p:
		default:
		}
	}
}

// noteReset records a reset of the system's own that reaches an open flow.
func (f *clientFlow) noteReset(p packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isOpen && f.resetAt.IsZero() {
		f.resetAt = time.Now()
		f.client.record.add("client %s gets a reset with seq %d on its open flow", f.id.client, p.sequence)
	}
}

// wasReset reports whether the system reset the open flow.
func (f *clientFlow) wasReset() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.resetAt.IsZero()
}

// open opens a flow to a service.
func (c *client) open(service netip.AddrPort) (*clientFlow, error) {
	c.mu.Lock()
	c.lastPort++
	f := &clientFlow{
		client: c, id: flowID{netip.AddrPortFrom(c.address, c.lastPort), service}, received: make(chan packet, 64),
		sequence: rand.Uint32(), sentAt: time.Now(),
	}
	c.flows[c.lastPort] = f
	c.mu.Unlock()
	for copies, wait := range copyIntervals {
		f.send(packet{sequence: f.sequence, acknowledged: uint32(copies), flags: flagOpen})
		deadline := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				if p.flags&flagReset != 0 {
					return f, errReset
				}
				if p.flags&(flagOpen|flagAck) == flagOpen|flagAck {
					f.confirm(p)
					return f, nil
				}
			case <-deadline:
				waiting = false
			}
		}
	}
	return f, errTimeout
}

// confirm ends the handshake.
func (f *clientFlow) confirm(p packet) {
	f.token = p.sequence + 1
	f.sequence++
	f.mu.Lock()
	f.isOpen = true
	f.mu.Unlock()
	f.send(packet{sequence: f.sequence, acknowledged: f.token, flags: flagAck})
}

// request sends a request on the open flow and returns the answer.
func (f *clientFlow) request(text string) (string, error) {
	deadline := time.After(requestBudget)
	interval := firstRetransmission
	sequence := f.sequence
	f.sequence += uint32(len(text))
	for {
		f.send(packet{sequence: sequence, acknowledged: f.token, flags: flagAck, data: []byte(text)})
		retransmit := time.After(interval)
		interval = min(2*interval, longestInterval)
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				if p.flags&flagReset != 0 {
					return "", errReset
				}
				if len(p.data) > 0 && p.acknowledged == sequence+uint32(len(text)) {
					return string(p.data), nil
				}
			case <-retransmit:
				waiting = false
			case <-deadline:
				return "", errTimeout
			}
		}
	}
}

// close ends the flow.
func (f *clientFlow) close() {
	f.mu.Lock()
	f.isOpen = false
	f.mu.Unlock()
	f.send(packet{sequence: f.sequence, acknowledged: f.token, flags: flagFinal | flagAck})
	f.client.mu.Lock()
	delete(f.client.flows, f.id.client.Port())
	f.client.mu.Unlock()
}

func (f *clientFlow) send(p packet) {
	p.source, p.destination = f.id.client, f.id.service
	_, _ = f.client.conn.WriteToUDPAddrPort(p.encode(), f.client.front(f.id.client.Port()))
}
