package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// fallsOverAt is how many new flows in a second a cold target survives: twice what the rule allows.
const fallsOverAt = 2 * (coldPerS*coldOverage + coldSlack)

// flowID identifies a flow by the addresses of its ends.
type flowID struct{ client, service netip.AddrPort }

// opening is an opening packet that a target took.
type opening struct {
	id        flowID
	arrivedAt time.Time
}

// targetFlow is a flow at a target.
type targetFlow struct {
	sequence uint32
	isOpen   bool
	answered map[uint32][]byte
	openedAt time.Time
}

// target is a stand-in for an application target: one start of it.
type target struct {
	name     string
	conn     *net.UDPConn
	outbound netip.AddrPort
	work     time.Duration
	startAt  time.Time
	record   *record
	// coldFor is how long the target is cold after its start. A cold target that takes more than
	// fallsOverAt new flows in a second falls over: it loses its flows, and fall is called.
	coldFor time.Duration
	fall    func()

	mu       sync.Mutex
	flows    map[flowID]*targetFlow
	openings []opening
	slots    chan struct{}
	isClosed bool
}

// startTarget starts a target with an empty flow table.
func startTarget(name string, app, outbound netip.AddrPort, slots int, work time.Duration, r *record) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, fmt.Errorf("start target %s: %w", name, err)
	}
	t := &target{
		name: name, conn: conn, outbound: outbound, work: work, startAt: time.Now(), record: r,
		flows: make(map[flowID]*targetFlow), slots: make(chan struct{}, slots),
	}
	go t.run()
	return t, nil
}

// setCold makes the target cold for a time after its start. It calls fall if it falls over.
func (t *target) setCold(coldFor time.Duration, fall func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldFor, t.fall = coldFor, fall
}

// stop ends the target like a crash: it drops its flows and sends nothing more.
func (t *target) stop() {
	t.mu.Lock()
	t.isClosed = true
	t.mu.Unlock()
	_ = t.conn.Close()
}

// isOverloaded reports whether a cold target has taken more in the last second than it survives. The
// caller holds mu.
func (t *target) isOverloaded() bool {
	if time.Since(t.startAt) >= t.coldFor {
		return false
	}
	within := 0
	for _, o := range t.openings {
		if time.Since(o.arrivedAt) < time.Second {
			within++
		}
	}
	return within > fallsOverAt
}

// fallOver ends the target, and records how many requests are lost that it had accepted. The caller
// holds mu.
func (t *target) fallOver() {
	lost := 0
	for _, flow := range t.flows {
		for _, done := range flow.answered {
			if done == nil {
				lost++
			}
		}
	}
	t.isClosed = true
	t.record.note("target %s falls over; %d requests that it had accepted are never answered", t.name, lost)
	go t.fall()
}

func (t *target) run() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:n]...)
		p, isGenuine, isValid := decode(raw)
		if !isValid || !isGenuine {
			t.record.add("target %s got a packet that its sender did not write so", t.name)
			continue
		}
		t.receive(p, raw)
	}
}

// receive handles a packet as the page on packets says.
func (t *target) receive(p packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed {
		return
	}
	id := flowID{p.source, p.destination}
	flow := t.flows[id]
	switch {
	case p.flags&flagOpen != 0:
		if flow == nil {
			flow = &targetFlow{sequence: rand.Uint32(), answered: make(map[uint32][]byte)}
			t.flows[id] = flow
			t.openings = append(t.openings, opening{id, time.Now()})
			if t.isOverloaded() {
				t.fallOver()
				return
			}
		}
		t.send(p, flow.sequence, p.sequence+1, flagOpen|flagAck, nil)
	case flow == nil || !flow.isOpen && p.acknowledged != flow.sequence+1:
		raw[24] |= flagBounced
		clear(raw[25:30])
		_, _ = t.conn.WriteToUDPAddrPort(raw, t.outbound)
	default:
		t.serve(id, flow, p)
	}
}

// serve handles a packet of a flow that this packet or an earlier one has opened. The caller holds
// mu.
func (t *target) serve(id flowID, flow *targetFlow, p packet) {
	if !flow.isOpen {
		flow.isOpen, flow.openedAt = true, time.Now()
		t.record.add("target %s holds the open flow %s", t.name, id.client)
	}
	switch {
	case p.flags&flagReset != 0:
		delete(t.flows, id)
	case p.flags&flagFinal != 0:
		delete(t.flows, id)
		t.send(p, flow.sequence+1, p.sequence+1, flagFinal|flagAck, nil)
	case len(p.data) > 0:
		t.serveRequest(flow, p)
	}
}

// serveRequest runs a request once and answers each copy of it. The caller holds mu.
func (t *target) serveRequest(flow *targetFlow, p packet) {
	if done, known := flow.answered[p.sequence]; known {
		if done == nil {
			t.send(p, flow.sequence+1, p.sequence+uint32(len(p.data)), flagAck, nil)
			return
		}
		t.send(p, flow.sequence+1, p.sequence+uint32(len(p.data)), flagAck, done)
		return
	}
	flow.answered[p.sequence] = nil
	t.record.add("target %s runs %s", t.name, p.data)
	go func() {
		t.slots <- struct{}{}
		time.Sleep(t.work)
		<-t.slots
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.isClosed {
			return
		}
		flow.answered[p.sequence] = append([]byte(t.name+" ran "), p.data...)
		t.send(p, flow.sequence+1, p.sequence+uint32(len(p.data)), flagAck, flow.answered[p.sequence])
	}()
}

func (t *target) send(to packet, sequence, acknowledged uint32, flags byte, data []byte) {
	reply := packet{source: to.destination, destination: to.source, sequence: sequence, acknowledged: acknowledged, flags: flags, data: data}
	_, _ = t.conn.WriteToUDPAddrPort(reply.encode(), t.outbound)
}

// holds reports whether the target holds an open flow.
func (t *target) holds(id flowID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	flow := t.flows[id]
	return !t.isClosed && flow != nil && flow.isOpen
}

// takenOpenings returns the opening packets that the target took.
func (t *target) takenOpenings() []opening {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]opening(nil), t.openings...)
}
