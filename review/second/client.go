//go:build review2

package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Results of an attempt.
const (
	resultOK      = "served"
	resultRefused = "refused before the flow opened"
	resultNoOpen  = "no handshake"
	resultReset   = "reset on an open flow"
	resultSilent  = "no answer"
)

// client is a stand-in for a client behind the platform's routers.
type client struct {
	record *record
	addr   netip.Addr
	conn   *net.UDPConn
	route  func(flow flowID) (netip.AddrPort, bool)
	// delay is the one-way delay between clients and the system.
	delay time.Duration

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow
}

// clientFlow is a flow of a client.
type clientFlow struct {
	client *client
	id     flowID
	in     chan *packet
	seq    uint32
	ack    uint32
	// resetBy is "target" if the flow's target has reset it.
	resetBy string
}

func newClient(address netip.AddrPort, r *record, route func(flowID) (netip.AddrPort, bool), delay time.Duration) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{record: r, addr: address.Addr(), conn: conn, route: route, delay: delay, port: uint16(20000 + rand.IntN(20000)), flows: make(map[uint16]*clientFlow)}
	go c.receiveAll()
	return c, nil
}

func (c *client) receiveAll() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := decode(buffer[:n])
		if !valid {
			c.record.log("client", "gets bytes that are no packet")
			continue
		}
		deliver := func() {
			c.mu.Lock()
			f := c.flows[p.dst.Port()]
			c.mu.Unlock()
			if f == nil || p.src != f.id.service {
				return
			}
			select {
			case f.in <- p:
			default:
			}
		}
		if c.delay > 0 {
			time.AfterFunc(c.delay, deliver)
			continue
		}
		deliver()
	}
}

// send sends a packet through the routers.
func (f *clientFlow) send(seq, ack uint32, flags uint8, data []byte) {
	p := packet{src: f.id.client, dst: f.id.service, seq: seq, ack: ack, flags: flags, data: data}
	raw := p.encode()
	write := func() {
		if front, known := f.client.route(f.id); known {
			_, _ = f.client.conn.WriteToUDPAddrPort(raw, front)
		}
	}
	if f.client.delay > 0 {
		time.AfterFunc(f.client.delay, write)
		return
	}
	write()
}

// isOwnReset reports whether a packet is a reset of the system's own.
func isOwnReset(p *packet) bool { return p.flags&flagReset != 0 && p.sum == 0 }

// dial opens a flow: an opening packet and copies after 200 and 600 ms. It gives up after 1.4 s.
func (c *client) dial(service netip.AddrPort) (*clientFlow, string) {
	c.mu.Lock()
	c.port++
	f := &clientFlow{client: c, id: flowID{netip.AddrPortFrom(c.addr, c.port), service}, in: make(chan *packet, 64), seq: rand.Uint32()}
	c.flows[c.port] = f
	c.mu.Unlock()
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(f.seq, uint32(copies), flagOpen, nil)
		timeout := time.After(wait)
	waiting:
		for {
			select {
			case p := <-f.in:
				switch {
				case p.flags&flagReset != 0:
					f.forget()
					return nil, resultRefused
				case p.sum == p.expectedSum() && p.flags&(flagOpen|flagAck) == flagOpen|flagAck:
					f.ack = p.seq + 1
					f.seq++
					f.send(f.seq, f.ack, flagAck, nil)
					return f, ""
				}
			case <-timeout:
				break waiting
			}
		}
	}
	f.forget()
	return nil, resultNoOpen
}

// request sends a request on an open flow, retransmits it after 200 ms and then at doubled
// intervals, and returns the answer and the result.
func (f *clientFlow) request(text string, budget time.Duration) (string, string) {
	deadline := time.After(budget)
	interval := firstRetransmit
	seq := f.seq
	for {
		f.send(seq, f.ack, flagAck, []byte(text))
		timeout := time.After(interval)
	waiting:
		for {
			select {
			case p := <-f.in:
				switch {
				case isOwnReset(p):
					f.client.record.log("client", "gets a reset of the system's own on the open flow %s: seq %d, its last ack %d", f.id, p.seq, f.ack)
					f.forget()
					return "", resultReset
				case p.sum != p.expectedSum():
					f.client.record.log("client", "gets a packet on %s that its sender did not write", f.id)
				case p.flags&flagReset != 0:
					f.resetBy = "target"
					f.forget()
					return "", resultReset
				case p.flags&flagOpen != 0:
					// An opening that another target accepted, or a copy of the handshake.
				case len(p.data) > 0 && p.seq == f.ack:
					f.ack += uint32(len(p.data))
					f.seq = seq + uint32(len(text))
					f.send(f.seq, f.ack, flagAck, nil)
					return string(p.data), resultOK
				case len(p.data) > 0:
					f.send(f.seq, f.ack, flagAck, nil)
				}
			case <-timeout:
				break waiting
			case <-deadline:
				return "", resultSilent
			}
		}
		interval = min(2*interval, maxRetransmit)
	}
}

// close ends a flow with a FIN.
func (f *clientFlow) close() {
	f.send(f.seq, f.ack, flagAck|flagFinal, nil)
	f.forget()
}

func (f *clientFlow) forget() {
	f.client.mu.Lock()
	delete(f.client.flows, f.id.client.Port())
	f.client.mu.Unlock()
}
