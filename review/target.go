//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which a target writes its entry.
	heartbeat = 1200 * time.Millisecond
	// maxConnections is the number of flows that a target holds.
	maxConnections = 2000
)

// ends are the two ends of a flow.
type ends struct{ client, route netip.AddrPort }

// targetFlow is a flow at a target.
type targetFlow struct {
	seq  uint32
	open bool
	// answers are the answers by the sequence number of their requests; nil while the request
	// runs.
	answers map[uint32]*packet
}

// target is a stand-in for a target. It answers each request with its name and the request.
type target struct {
	name, service, zone string
	fleet               *fleet
	conn                *net.UDPConn
	outbound            netip.AddrPort
	work                time.Duration
	slots               chan struct{}

	mu       sync.Mutex
	flows    map[ends]*targetFlow
	state    string
	born     time.Time
	sequence int
	stopped  bool
	// coldUntil is the end of the cold start, and coldPerSecond what the target bears in it.
	coldUntil     time.Time
	coldPerSecond float64
	// taken are the arrivals of opening packets of new flows that were taken while cold.
	taken []time.Time
}

// startTarget starts a target at the machine with an IP address and writes its entry. It is cold for a
// while if cold is set, and then bears coldPerSecond new flows a second.
func (f *fleet) startTarget(ip, zone, service string, cold time.Duration, coldPerSecond float64) (*target, error) {
	address := netip.MustParseAddr(ip)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, f.port.app)))
	if err != nil {
		return nil, err
	}
	t := &target{
		name: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, fleet: f, conn: conn,
		outbound: netip.AddrPortFrom(address, f.port.outbound), work: 15 * time.Millisecond, slots: make(chan struct{}, 8),
		flows: make(map[ends]*targetFlow), state: "ready", born: time.Now(), coldPerSecond: coldPerSecond,
	}
	if cold > 0 {
		t.coldUntil = t.born.Add(cold)
	}
	t.writeEntry()
	go t.beat()
	go t.run()
	f.record("target %s of %s starts at %s in %s, cold for %v", t.name, service, ip, zone, cold)
	return t, nil
}

// writeEntry writes the target's entry to the store.
func (t *target) writeEntry() {
	t.mu.Lock()
	t.sequence++
	entry := map[string]any{
		"service": t.service, "address": t.conn.LocalAddr().String(), "zone": t.zone, "version": "v1", "slots": cap(t.slots),
		"state": t.state, "cold-remaining-ms": max(0, time.Until(t.coldUntil).Milliseconds()), "sequence": t.sequence, "born": t.born.UnixMilli(),
	}
	stopped := t.stopped
	t.mu.Unlock()
	if !stopped {
		t.fleet.store.put("servers/"+t.name, entry)
	}
}

// stop ends a target without notice. Its entry lapses after three heartbeats.
func (t *target) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	_ = t.conn.Close()
	time.AfterFunc(3*heartbeat, func() { t.fleet.store.remove("servers/" + t.name) })
}

func (t *target) beat() {
	for {
		time.Sleep(heartbeat)
		t.mu.Lock()
		stopped := t.stopped
		t.mu.Unlock()
		if stopped {
			return
		}
		t.writeEntry()
	}
}

func (t *target) run() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, valid := decode(buffer[:n]); valid {
			t.receive(p, append([]byte(nil), buffer[:n]...))
		}
	}
}

func (t *target) receive(p *packet, raw []byte) {
	if !p.isWhole() {
		t.fleet.violation("UNASKED: target %s gets a packet that its sender did not write so", t.name)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	id := ends{p.src, p.dst}
	flow := t.flows[id]
	switch {
	case p.flags&(flagOpen|flagAck) == flagOpen:
		if flow == nil {
			if len(t.flows) >= maxConnections {
				t.bounce(raw)
				return
			}
			flow = &targetFlow{seq: rand.Uint32(), answers: make(map[uint32]*packet)}
			t.flows[id] = flow
			t.takeOpening(p)
		}
		t.send(&packet{src: p.dst, dst: p.src, seq: flow.seq, ack: p.seq + 1, flags: flagOpen | flagAck})
	case flow == nil, !flow.open && p.ack != flow.seq+1:
		t.bounce(raw)
	case p.flags&flagReset != 0:
		delete(t.flows, id)
	default:
		if !flow.open {
			flow.open = true
			t.fleet.flowOpened(id, t)
		}
		t.serve(id, flow, p)
	}
}

// takeOpening counts a new flow, and makes the target fall over if it gets more in its cold start
// than it bears: it then loses its flows.
func (t *target) takeOpening(p *packet) {
	now := time.Now()
	t.fleet.openingTaken(ends{p.src, p.dst}, t, now)
	if !now.Before(t.coldUntil) || t.coldPerSecond == 0 {
		return
	}
	t.taken = append(t.taken, now)
	for now.Sub(t.taken[0]) >= time.Second {
		t.taken = t.taken[1:]
	}
	if float64(len(t.taken)) > t.coldPerSecond*coldOverage+coldSlack {
		t.fleet.violation("FAILBACK: cold target %s takes %d flows in one second, bears %.0f", t.name, len(t.taken), t.coldPerSecond)
		t.taken = nil
		t.flows = make(map[ends]*targetFlow)
	}
}

func (t *target) serve(id ends, flow *targetFlow, p *packet) {
	if p.flags&flagFinal != 0 {
		delete(t.flows, id)
		t.send(&packet{src: p.dst, dst: p.src, seq: flow.seq + 1, ack: p.seq + 1, flags: flagFinal | flagAck})
		return
	}
	if len(p.data) == 0 {
		return
	}
	answer, known := flow.answers[p.seq]
	switch {
	case answer != nil:
		t.send(answer)
	case !known:
		flow.answers[p.seq] = nil
		go t.runRequest(id, flow, p)
	}
}

// runRequest runs one request and sends its answer.
func (t *target) runRequest(id ends, flow *targetFlow, p *packet) {
	t.slots <- struct{}{}
	time.Sleep(t.work)
	<-t.slots
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flows[id] != flow {
		return
	}
	t.fleet.requestRan(string(p.data), t)
	answer := &packet{src: p.dst, dst: p.src, seq: flow.seq + 1, ack: p.seq + 1, flags: flagAck, data: []byte(t.name + " " + string(p.data))}
	flow.answers[p.seq] = answer
	t.send(answer)
}

func (t *target) bounce(raw []byte) {
	raw[24] |= flagBounced
	clear(raw[25:30])
	_, _ = t.conn.WriteToUDPAddrPort(raw, t.outbound)
}

func (t *target) send(p *packet) {
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), t.outbound)
}
