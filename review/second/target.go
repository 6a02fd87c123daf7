//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// maxRetransmissions is after how many retransmissions a target gives up.
	maxRetransmissions = 8
	firstRetransmit    = 200 * time.Millisecond
	maxRetransmit      = 1600 * time.Millisecond
)

// flowID identifies a flow by its two ends.
type flowID struct{ client, service netip.AddrPort }

func (id flowID) String() string { return fmt.Sprintf("%s>%s", id.client, id.service) }

// targetFlow is a flow at a target.
type targetFlow struct {
	id      flowID
	opening uint32
	own     uint32
	next    uint32
	open    bool
	// clientEnded and ended report whether the client's FIN has come and the target's was sent.
	clientEnded, ended bool
	unacked            *packet
	sends              int
}

// target is a stand-in for a target. It runs requests of one packet each, slots at a time, and
// answers with its id, the request and the time it ran.
type target struct {
	record   *record
	store    *store
	id       string
	service  string
	zone     string
	address  netip.AddrPort
	outbound netip.AddrPort
	slots    int
	queue    int
	work     time.Duration
	cold     time.Duration
	// born is what the entry says of the start, in Unix milliseconds.
	born int64
	// hidesBorn reports whether the entry does not say when the target started.
	hidesBorn bool
	// isn returns the first sequence number of a flow.
	isn func() uint32

	conn *net.UDPConn
	http *http.Server
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	state   string
	started time.Time
	flows   map[flowID]*targetFlow
	ended   map[flowID]uint32
	runs    map[string]int
	running int
	waiting []func()
	closed  bool
	// loseOpenings is how many opening packets are still to be lost before the target reads them.
	loseOpenings int
}

func (t *target) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", t.address.String())
	if err != nil {
		return err
	}
	t.conn, t.stop = conn, make(chan struct{})
	t.flows, t.ended, t.runs = make(map[flowID]*targetFlow), make(map[flowID]uint32), make(map[string]int)
	t.state, t.started = "ready", time.Now()
	if t.born == 0 {
		t.born = time.Now().UnixMilli()
	}
	if t.isn == nil {
		t.isn = rand.Uint32
	}
	t.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", t.id)
		if t.currentState() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	t.record.log(t.id, "starts at %s for %s, born %d", t.address, t.service, t.born)
	go func() { _ = t.http.Serve(listener) }()
	t.wg.Add(2)
	go t.receiveAll()
	go t.beat()
	return nil
}

func (t *target) currentState() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// crash ends the target at once. Its flows are lost and its entry stays until it expires.
func (t *target) crash() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	t.mu.Unlock()
	t.record.log(t.id, "is gone")
	close(t.stop)
	_ = t.conn.Close()
	_ = t.http.Close()
	t.wg.Wait()
	go func(id string, s *store) {
		time.Sleep(3 * heartbeat)
		s.expire("servers/"+id, t)
	}(t.id, t.store)
}

// beat writes the entry when the target starts and whenever it changes.
func (t *target) beat() {
	defer t.wg.Done()
	last := ""
	for sequence := 1; ; sequence++ {
		t.mu.Lock()
		remaining := max(t.cold-time.Since(t.started), 0).Milliseconds()
		entry := t.entry(remaining)
		t.mu.Unlock()
		if now := fmt.Sprint(entry); now != last {
			last = now
			entry["sequence"] = sequence
			t.store.putServer(t, entry)
		}
		select {
		case <-t.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (t *target) receiveAll() {
	defer t.wg.Done()
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, valid := decode(buffer[:n]); valid {
			t.receive(p, buffer[:n])
		}
	}
}

func (t *target) receive(p *packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := flowID{p.src, p.dst}
	if p.sum != p.expectedSum() {
		t.record.log(t.id, "gets a packet that its sender did not write: %s flags %d", id, p.flags)
		return
	}
	f := t.flows[id]
	switch {
	case p.flags&flagOpen != 0 && p.flags&flagAck == 0:
		t.receiveOpening(p, raw, id, f)
	case f == nil || (!f.open && p.ack != f.own+1):
		t.receiveUnknown(p, raw, id)
	default:
		t.receiveKnown(p, f)
	}
}

func (t *target) receiveOpening(p *packet, raw []byte, id flowID, f *targetFlow) {
	if t.loseOpenings > 0 {
		t.loseOpenings--
		t.record.log("network", "loses the opening packet %s on its way to %s", id, t.id)
		return
	}
	if f == nil {
		if t.running+len(t.waiting) >= t.slots+t.queue {
			t.bounce(raw)
			return
		}
		f = &targetFlow{id: id, opening: p.seq, own: t.isn(), next: p.seq + 1}
		t.flows[id] = f
	}
	if f.open {
		return
	}
	t.record.log(t.id, "answers opening %s copy %d with seq %d", id, p.ack, f.own)
	t.send(&packet{src: p.dst, dst: p.src, seq: f.own, ack: p.seq + 1, flags: flagOpen | flagAck})
}

// receiveUnknown handles a packet of a flow that the target does not hold.
func (t *target) receiveUnknown(p *packet, raw []byte, id flowID) {
	own, ended := t.ended[id]
	switch {
	case !ended:
		t.bounce(raw)
	case p.flags&flagFinal != 0:
		t.send(&packet{src: p.dst, dst: p.src, seq: own, ack: p.seq + 1, flags: flagAck})
	case len(p.data) > 0:
		t.send(&packet{src: p.dst, dst: p.src, seq: own, ack: p.seq, flags: flagReset})
	}
}

func (t *target) receiveKnown(p *packet, f *targetFlow) {
	if !f.open {
		f.open = true
		f.own++
		t.record.log(t.id, "holds the open flow %s", f.id)
	}
	if p.flags&flagReset != 0 {
		delete(t.flows, f.id)
		return
	}
	if f.unacked != nil && p.ack == f.unacked.seq+uint32(len(f.unacked.data)) {
		f.unacked = nil
	}
	if len(p.data) > 0 {
		if p.seq == f.next {
			f.next += uint32(len(p.data))
			t.runWhenFree(f, string(p.data))
		}
		t.send(&packet{src: p.dst, dst: p.src, seq: f.own, ack: f.next, flags: flagAck})
	}
	if p.flags&flagFinal != 0 && p.seq == f.next {
		f.next++
		f.clientEnded = true
		t.send(&packet{src: p.dst, dst: p.src, seq: f.own, ack: f.next, flags: flagAck | flagFinal})
		t.ended[f.id] = f.own + 1
		delete(t.flows, f.id)
	}
}

// runWhenFree runs a request as soon as a slot is free. The caller holds mu.
func (t *target) runWhenFree(f *targetFlow, request string) {
	run := func() {
		t.running++
		t.runs[request]++
		t.record.log(t.id, "runs %q of %s", request, f.id)
		time.AfterFunc(t.work, func() { t.finish(f, request) })
	}
	if t.running < t.slots {
		run()
		return
	}
	t.waiting = append(t.waiting, run)
}

func (t *target) finish(f *targetFlow, request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		next()
	}
	if t.closed || t.flows[f.id] != f {
		return
	}
	answer := []byte(fmt.Sprintf("%s ran %s", t.id, request))
	f.unacked = &packet{src: f.id.service, dst: f.id.client, seq: f.own, ack: f.next, flags: flagAck, data: answer}
	f.own += uint32(len(answer))
	f.sends = 0
	t.sendUnacked(f, f.unacked, firstRetransmit)
}

// sendUnacked sends a packet with data until it is acknowledged. The caller holds mu.
func (t *target) sendUnacked(f *targetFlow, p *packet, interval time.Duration) {
	if f.unacked != p || t.closed || f.sends > maxRetransmissions || t.flows[f.id] != f {
		return
	}
	f.sends++
	if f.sends > 1 {
		t.record.log(t.id, "retransmits on %s", f.id)
	}
	t.send(p)
	time.AfterFunc(interval, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.sendUnacked(f, p, min(2*interval, maxRetransmit))
	})
}

func (t *target) bounce(raw []byte) {
	raw[24] |= flagBounced
	clear(raw[25:30])
	_, _ = t.conn.WriteToUDPAddrPort(raw, t.outbound)
}

func (t *target) send(p *packet) { _, _ = t.conn.WriteToUDPAddrPort(p.encode(), t.outbound) }

// holdsOpen reports whether the target holds an open flow.
func (t *target) holdsOpen(id flowID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[id]
	return !t.closed && f != nil && f.open
}

// putServer writes the entry of a target.
func (s *store) putServer(t *target, entry map[string]any) { s.put("servers/"+t.id, entry) }

// expire removes the entry of a target that has fallen silent, unless a later start of the target
// has written it.
func (s *store) expire(key string, t *target) {
	s.mu.Lock()
	current := s.items[key]
	s.mu.Unlock()
	if string(current.Value) == "" || !containsBorn(string(current.Value), t.born) {
		return
	}
	s.remove(key)
}

// containsBorn reports whether an entry is that of the start of a target.
func containsBorn(entry string, born int64) bool {
	return strings.Contains(entry, fmt.Sprintf("\"born\":%d", born))
}

// entry returns the entry without its sequence. The caller holds mu.
func (t *target) entry(coldRemaining int64) map[string]any {
	entry := map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": t.slots,
		"state": t.state, "cold-remaining-ms": coldRemaining, "born": t.born,
	}
	if t.hidesBorn {
		delete(entry, "born")
	}
	return entry
}
