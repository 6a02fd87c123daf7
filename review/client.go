//go:build review

package main

import (
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer")
)

// router is a stand-in for the platform's routers: it selects a front machine in the zone of a client
// by a hash of the ends of the flow, over those that are in rotation.
type router struct {
	mu     sync.Mutex
	misses map[string]int
}

// probe checks the readiness of the front machines twice a second.
func (r *router) probe(f *fleet) {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for {
		for _, m := range f.fronts() {
			go func() {
				response, err := client.Get("http://" + netip.AddrPortFrom(m.ip, f.port.ready).String() + "/ready")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if ok {
					r.misses[m.name] = 0
				} else {
					r.misses[m.name]++
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// choose returns the front machine for a flow: the one with the highest hash.
func (r *router) choose(f *fleet, zone string, client, route netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best, other netip.Addr
	var bestHash, otherHash uint32
	for _, m := range f.fronts() {
		if r.misses[m.name] >= 2 {
			continue
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(m.name + client.String() + route.String()))
		if m.zone == zone && (!best.IsValid() || h.Sum32() > bestHash) {
			best, bestHash = m.ip, h.Sum32()
		}
		if !other.IsValid() || h.Sum32() > otherHash {
			other, otherHash = m.ip, h.Sum32()
		}
	}
	if !best.IsValid() {
		best = other
	}
	return netip.AddrPortFrom(best, f.port.datagram)
}

// client is a stand-in for a client.
type client struct {
	fleet *fleet
	zone  string
	ip    netip.Addr
	conn  *net.UDPConn
	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan *packet
}

func (f *fleet) startClient(zone string) (*client, error) {
	f.mu.Lock()
	f.clientCount++
	ip := f.ip(3, f.clientCount)
	f.mu.Unlock()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, f.port.datagram)))
	if err != nil {
		return nil, err
	}
	c := &client{fleet: f, zone: zone, ip: ip, conn: conn, port: 1024, flows: make(map[uint16]chan *packet)}
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
		p, valid := decode(buffer[:n])
		if !valid {
			continue
		}
		c.mu.Lock()
		flow := c.flows[p.dst.Port()]
		c.mu.Unlock()
		select {
		case flow <- p:
		default:
		}
	}
}

// clientFlow is a flow of a client.
type clientFlow struct {
	client   *client
	id       ends
	packets  chan *packet
	seq, ack uint32
}

// open opens a flow on a new port.
func (c *client) open(route netip.AddrPort) (*clientFlow, error) {
	c.mu.Lock()
	c.port++
	flow := &clientFlow{client: c, id: ends{netip.AddrPortFrom(c.ip, c.port), route}, packets: make(chan *packet, 64), seq: rand.Uint32()}
	c.flows[c.port] = flow.packets
	c.mu.Unlock()
	c.fleet.recordOpening(flow.id)
	answer, err := flow.exchange([]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}, func(copies int) *packet {
		return &packet{seq: flow.seq, ack: uint32(copies), flags: flagOpen}
	}, func(p *packet) bool { return p.flags&(flagOpen|flagAck) == flagOpen|flagAck })
	if err != nil {
		c.fleet.record("client %v can't open a flow to %v: %v", flow.id.client, route, err)
		flow.forget()
		return nil, err
	}
	flow.ack = answer.seq + 1
	flow.seq++
	flow.send(&packet{seq: flow.seq, ack: flow.ack, flags: flagAck})
	return flow, nil
}

// request sends a request and returns its answer. Missing packets are sent again within the budget.
func (flow *clientFlow) request(text string, budget time.Duration) (string, error) {
	var waits []time.Duration
	wait, total := 200*time.Millisecond, time.Duration(0)
	for total < budget {
		waits = append(waits, min(wait, budget-total))
		total += wait
		wait = min(2*wait, 1600*time.Millisecond)
	}
	seq := flow.seq
	f := flow.client.fleet
	f.record("client %v sends request %s to %v", flow.id.client, text, flow.id.route)
	answer, err := flow.exchange(waits, func(int) *packet {
		return &packet{seq: seq, ack: flow.ack, flags: flagAck, data: []byte(text)}
	}, func(p *packet) bool { return p.ack == seq+1 && len(p.data) > 0 })
	flow.seq = seq + 1
	if err != nil {
		f.record("client %v gets no answer to request %s: %v", flow.id.client, text, err)
		return "", err
	}
	f.record("client %v gets an answer to request %s", flow.id.client, text)
	return string(answer.data), nil
}

// close ends a flow.
func (flow *clientFlow) close() {
	flow.send(&packet{seq: flow.seq, ack: flow.ack, flags: flagFinal | flagAck})
	flow.forget()
}

func (flow *clientFlow) forget() {
	flow.client.mu.Lock()
	delete(flow.client.flows, flow.id.client.Port())
	flow.client.mu.Unlock()
}

func (flow *clientFlow) send(p *packet) {
	p.src, p.dst = flow.id.client, flow.id.route
	f := flow.client.fleet
	_, _ = flow.client.conn.WriteToUDPAddrPort(p.encode(), f.router.choose(f, flow.client.zone, p.src, p.dst))
}

// resetWindow is how far the sequence number of a reset of an open flow may be from the client's last
// acknowledgement.
const resetWindow = 76800

// accepts reports whether a reset is valid.
func (flow *clientFlow) accepts(reset *packet) bool {
	distance := int32(reset.seq - flow.ack)
	return flow.ack == 0 || -resetWindow <= distance && distance <= resetWindow
}

// exchange sends copies of a packet until an answer comes.
func (flow *clientFlow) exchange(waits []time.Duration, build func(copies int) *packet, isAnswer func(*packet) bool) (*packet, error) {
	for copies, wait := range waits {
		flow.send(build(copies))
		timeout := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-flow.packets:
				switch {
				case p.flags&flagReset != 0:
					if !flow.accepts(p) {
						continue
					}
					flow.client.fleet.flowReset(flow)
					return nil, errReset
				case !p.isWhole():
					flow.client.fleet.violation("MIXED: client %v gets a packet that its sender did not write so", flow.id.client)
				case isAnswer(p):
					return p, nil
				}
			case <-timeout:
				waiting = false
			}
		}
	}
	return nil, errTimeout
}
