package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	// settleTime is how long the system runs before the flows are opened.
	settleTime = 62 * time.Second
	// flowsPerZone is the number of flows that clients of each zone keep open.
	flowsPerZone = 12
	// requestPause is the pause between two requests of a flow.
	requestPause = 100 * time.Millisecond
	// steadyTime is how long the flows are used before the change, and watchTime how long after it.
	steadyTime = 6 * time.Second
	watchTime  = 4 * time.Second
)

// runOddEntry moves a route to another service while entries of another writer name the machines of the
// route's old targets, and uses the flows that are open there.
func runOddEntry(s *system, trouble bool) (bool, error) {
	const oldService, newService = "campaign-desk", "report-hub"
	for zone := range s.zones {
		s.seeds = append(s.seeds, s.at(s.host(byte(zone), 1), s.ports.control).String())
	}
	s.store.put("op/config", newDesiredState(s, oldService, 0))
	if trouble {
		putOddEntries(s)
	}
	members, fronts, err := startTwoServices(s, oldService, newService)
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	end := time.Now().Add(steadyTime + watchTime)
	var all sync.WaitGroup
	var mu sync.Mutex
	resets := 0
	for zone, front := range fronts {
		clients, err := startClient(s.at(s.host(byte(zone), 100), s.ports.datagram), func(uint16) netip.AddrPort { return front }, s.record)
		if err != nil {
			return false, err
		}
		for n := range flowsPerZone {
			all.Go(func() {
				if useFlow(s, clients, members, fmt.Sprintf("zone-%d-flow-%d", zone, n), end) {
					mu.Lock()
					resets++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(steadyTime)
	moved := newDesiredState(s, newService, 0)
	moved.Version += 4
	s.store.put("op/config", moved)
	s.record.note("the operator moves the route from %s to %s", oldService, newService)
	all.Wait()
	s.record.note("%d of %d open flows got a reset that their target did not send", resets, len(fronts)*flowsPerZone)
	return resets > 0, nil
}

// putOddEntries writes entries of another writer, with a service that no desired state names, at the
// addresses of the machines in all zones.
func putOddEntries(s *system) {
	for zone, name := range s.zones {
		address := s.at(s.host(byte(zone), 10), s.ports.app).String()
		s.store.put(fmt.Sprintf("servers/other-%d", zone), entry{
			Service: "node-exporter", Address: address, Zone: name, Version: "v1", Slots: 1, State: "ready", Sequence: 1, Born: time.Now().UnixMilli(),
		})
		s.record.note("trouble: another writer's entry names %s, with a service that no desired state names", address)
	}
}

// startTwoServices starts a front, a target of the old service and one of the new service in each zone.
func startTwoServices(s *system, oldService, newService string) ([]*member, []netip.AddrPort, error) {
	var members []*member
	var fronts []netip.AddrPort
	var processes []*process
	for zone := range s.zones {
		front, err := s.startFront(byte(zone), 1)
		if err != nil {
			return nil, nil, err
		}
		processes = append(processes, front)
		fronts = append(fronts, s.at(front.address, s.ports.datagram))
		for number, service := range map[byte]string{10: oldService, 20: newService} {
			m := &member{system: s, zone: byte(zone), number: number, service: service, slots: 5, work: 5 * time.Millisecond}
			if err := m.startTarget(); err != nil {
				return nil, nil, err
			}
			if m.agent, err = s.startAgent(m.zone, m.number, service); err != nil {
				return nil, nil, err
			}
			processes = append(processes, m.agent)
			members = append(members, m)
		}
	}
	for _, p := range processes {
		if !p.awaitReady(10 * time.Second) {
			return nil, nil, fmt.Errorf("%s at %s is not ready", p.role, p.address)
		}
	}
	return members, fronts, nil
}

// useFlow opens a flow and sends requests on it until end. It reports whether the system reset the flow
// while a target held it.
func useFlow(s *system, c *client, members []*member, name string, end time.Time) bool {
	f, err := c.open(s.at(s.host(210, 1), servicePort))
	if err != nil {
		s.record.add("client: %s never opened: %v", name, err)
		return false
	}
	for n := 0; time.Now().Before(end); n++ {
		text := fmt.Sprintf("%s-request-%d", name, n)
		s.record.add("client sends %s", text)
		answered, err := f.request(text)
		s.record.add("client gets %q, error %v", answered, err)
		if f.wasReset() {
			return isHeld(s, members, f)
		}
		time.Sleep(requestPause)
	}
	f.close()
	return false
}

// isHeld reports whether a target holds a flow, and records which.
func isHeld(s *system, members []*member, f *clientFlow) bool {
	for _, m := range members {
		if t := m.current(); t != nil && t.holds(f.id) {
			s.record.add("target %s holds the flow %s that was reset", t.name, f.id.client)
			return true
		}
	}
	return false
}
