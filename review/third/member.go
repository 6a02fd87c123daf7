package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeat-ms of the settings, and lease how long an entry outlives its last
	// write: three liveness intervals.
	heartbeat = 1200 * time.Millisecond
	lease     = 3 * heartbeat
	// registrationRetry is the pause after a write that the store has not taken.
	registrationRetry = 200 * time.Millisecond
	// connectionLimit is connection-limit of the services.
	connectionLimit = 2000
)

// member is a target's machine: the target's current start, its entry in the store, and the agent.
type member struct {
	system       *system
	zone, number byte
	service      string
	slots        int
	work         time.Duration
	coldStart    time.Duration
	agent        *process

	mu sync.Mutex
	// target is the current start, or nil while the target is down.
	target *target
	// coldFrom is when the target last became cold.
	coldFrom time.Time
	starts   int
	// clockAhead is how far the machine's time of day is ahead.
	clockAhead time.Duration
	stopBeats  chan struct{}
}

// address returns the address of the machine.
func (m *member) address() netip.Addr { return m.system.host(m.zone, m.number) }

// id returns the id of the target's entry.
func (m *member) id() string { return fmt.Sprintf("i-%d-%d", m.zone, m.number) }

// startTarget starts the target and its heartbeats.
func (m *member) startTarget() error {
	p := m.system.ports
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	t, err := startTarget(fmt.Sprintf("%s#%d", m.id(), m.starts), m.system.at(m.address(), p.app), m.system.at(m.address(), p.outbound), m.slots, m.work, m.system.record)
	if err != nil {
		return err
	}
	t.setCold(m.coldStart, m.crashTarget)
	m.target, m.coldFrom, m.stopBeats = t, t.startAt, make(chan struct{})
	m.system.record.add("target %s starts", t.name)
	go m.beat(t, m.clockAhead, m.stopBeats)
	return nil
}

// crashTarget ends the target without a word. Its entry ends with its lease.
func (m *member) crashTarget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target == nil {
		return
	}
	close(m.stopBeats)
	m.target.stop()
	m.system.record.add("target %s crashes", m.target.name)
	m.target = nil
}

// coldRemaining returns how much longer the target is cold.
func (m *member) coldRemaining() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coldStart - time.Since(m.coldFrom)
}

// current returns the current start of the target, or nil.
func (m *member) current() *target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target
}

// beat writes the entry of one start of the target until stop is closed, and lets it lapse then unless
// a later start has written it again. A heartbeat that changes nothing but the sequence leaves the entry
// as it is.
func (m *member) beat(t *target, ahead time.Duration, stop chan struct{}) {
	born := t.startAt.Add(ahead).UnixMilli()
	var written entry
	sequence, lapsesAt := 0, time.Now()
	for {
		sequence++
		e := entry{
			Service: m.service, Address: m.system.at(m.address(), m.system.ports.app).String(), Zone: m.system.zones[m.zone], Version: "v1",
			Slots: m.slots, State: "ready", ColdRemaining: max(0, m.coldRemaining().Milliseconds()), Sequence: sequence, Born: born,
		}
		pause := registrationRetry
		if isWritten(e, written) || m.system.store.put("servers/"+m.id(), e) {
			if written.State == "" {
				m.system.record.add("store has the entry of target %s, cold for %d ms more", t.name, e.ColdRemaining)
			}
			written, lapsesAt, pause = e, time.Now().Add(lease), heartbeat
		}
		select {
		case <-stop:
			time.AfterFunc(time.Until(lapsesAt), func() {
				if m.current() == nil {
					m.system.store.remove("servers/" + m.id())
				}
			})
			return
		case <-time.After(pause):
		}
	}
}

// isWritten reports whether the store has an entry but for its sequence.
func isWritten(e, written entry) bool {
	written.Sequence = e.Sequence
	return e == written
}
