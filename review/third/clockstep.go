package main

import (
	"fmt"
	"time"
)

const (
	// clockAhead is how far the time of day of the target's machine is ahead when the target starts.
	clockAhead = 2 * time.Second
	// restartAfter is how long after the target's start its agent is killed.
	restartAfter = 1750 * time.Millisecond
	// idleTime is how long the flows are idle after that. It is longer than stability-window-ms and
	// shorter than idle-timeout-ms.
	idleTime = 7 * time.Second
	// openFlows is the number of flows that are open at the target, and maxOpenings how many are
	// opened at most for that.
	openFlows   = 4
	maxOpenings = 40
)

// runClockStep kills an agent whose target started while the machine's time of day was ahead, and uses
// the flows that were opened before.
func runClockStep(s *system, trouble bool) (bool, error) {
	const service = "campaign-desk"
	s.seeds = []string{s.at(s.host(0, 1), s.ports.control).String()}
	s.store.put("op/config", newDesiredState(s, service, 0))
	members, front, err := startDeployment(s, service, coldStart)
	if err != nil {
		return false, err
	}
	clients, err := startClient(s.at(s.host(0, 100), s.ports.datagram), front, s.record)
	if err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	m := members[0]
	m.crashTarget()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		m.clockAhead = clockAhead
		s.record.note("trouble: the time of day of %s jumps ahead by %s", m.address(), clockAhead)
	}
	if err := m.startTarget(); err != nil {
		return false, err
	}
	startedAt := m.current().startAt
	time.Sleep(500 * time.Millisecond)
	flows, err := openAt(clients, s, m)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(startedAt.Add(restartAfter)))
	if trouble {
		s.record.note("trouble: the time of day of %s jumps back", m.address())
	}
	s.record.note("the agent of %s is killed and starts again", m.address())
	m.agent.kill()
	if err := m.agent.run(); err != nil {
		return false, err
	}
	time.Sleep(idleTime)
	return useFlows(s, m, flows), nil
}

// useFlows sends a request on each flow, and reports whether the system reset one that its target holds.
func useFlows(s *system, m *member, flows []*clientFlow) bool {
	resets := 0
	for n, f := range flows {
		isHeld := m.current().holds(f.id)
		text := fmt.Sprintf("later-request-%d", n)
		s.record.add("client sends %s on its open flow %s, which target %s holds: %t", text, f.id.client, m.current().name, isHeld)
		answered, err := f.request(text)
		s.record.add("client gets %q, error %v", answered, err)
		if f.wasReset() && isHeld {
			resets++
		}
	}
	s.record.note("%d of %d open flows got a reset that their target did not send", resets, len(flows))
	return resets > 0
}

// openAt opens flows until enough of them are at a target, and closes the others. Each has one request.
func openAt(c *client, s *system, m *member) ([]*clientFlow, error) {
	var flows []*clientFlow
	for n := 0; n < maxOpenings && len(flows) < openFlows; n++ {
		f, err := c.open(s.at(s.host(210, 1), servicePort))
		if err != nil {
			continue
		}
		text := fmt.Sprintf("first-request-%d", n)
		s.record.add("client sends %s", text)
		answered, err := f.request(text)
		s.record.add("client gets %q, error %v", answered, err)
		if m.current().holds(f.id) {
			flows = append(flows, f)
			continue
		}
		f.close()
	}
	if len(flows) < openFlows {
		return nil, fmt.Errorf("only %d flows opened at the target", len(flows))
	}
	return flows, nil
}
