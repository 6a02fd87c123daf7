//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["lost"] = lostCase
	cases["denied"] = deniedCase
	cases["shadow"] = shadowCase
}

// bed is a small deployment that is ready for traffic.
type bed struct {
	*fleet
	route routeSpec
	// feed is a second route to the same service, for long flows of requests that may be repeated.
	feed    routeSpec
	targets []*target
	client  *client
}

// newBed starts three zones with a front, an agent and a target each.
func (s *scenario) newBed(kind string) (*bed, error) {
	zones := []string{"north", "south", "west"}
	f, err := newFleet(s.dir, s.record, zones...)
	if err != nil {
		return nil, err
	}
	b := &bed{fleet: f, route: routeSpec{host: "198.18.0.1", port: 443, service: "orders", kind: kind, timeout: 600, objective: 120, priority: 1}}
	b.feed = routeSpec{host: "198.18.0.2", port: 443, service: "orders", kind: "safe", timeout: 500, objective: 100, priority: 2}
	f.publish(1, 20, b.route, b.feed)
	for i, zone := range zones {
		f.addFront(zone)
		p := f.addAgent(zone, "orders")
		t := f.newTarget(p, fmt.Sprintf("i-%d", i))
		t.hidesBorn = s.hidesBorn
		b.targets = append(b.targets, t)
		if err := t.start(); err != nil {
			return b, err
		}
	}
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return b, err
		}
	}
	if !f.waitReady(10 * time.Second) {
		return b, errNotReady
	}
	time.Sleep(4 * time.Second)
	b.client, err = f.newClient(0)
	return b, err
}

func (b *bed) end() {
	if b == nil {
		return
	}
	for _, t := range b.targets {
		t.crash()
	}
	b.close()
}

// openFlow is an open flow with the target that holds it.
type openFlow struct {
	*clientFlow
	target *target
}

// open opens a flow, sends a request on it and returns it with its target.
func (b *bed) open(text string) (*openFlow, error) {
	f, result := b.client.dial(b.route.endpoint())
	if f == nil {
		return nil, fmt.Errorf("open: %s", result)
	}
	answer, result := f.request(text, 2*time.Second)
	if result != resultOK {
		return nil, fmt.Errorf("first request: %s", result)
	}
	for _, t := range b.targets {
		if t.holdsOpen(f.id) {
			b.record.log("client", "%s is open at %s, which answered %q", f.id, t.id, answer)
			return &openFlow{f, t}, nil
		}
	}
	return nil, fmt.Errorf("no target holds %s", f.id)
}

// check sends a further request on the flows and reports whether one of them was reset although
// its target held it and had sent no reset.
func (b *bed) check(flows []*openFlow) (verdict, error) {
	worst := held
	for i, f := range flows {
		wasOpen := f.target.holdsOpen(f.id)
		answer, result := f.request(fmt.Sprintf("later request %d", i), 2500*time.Millisecond)
		stillOpen := f.target.holdsOpen(f.id)
		b.record.log("client", "%s at %s: %s %q; the target holds the flow before: %t, after: %t", f.id, f.target.id, result, answer, wasOpen, stillOpen)
		if result == resultReset && f.resetBy == "" && wasOpen && stillOpen {
			worst = broken
		}
	}
	return worst, nil
}

// lostCase: an opening packet is lost on its way to a target, in a quiet hour.
func lostCase(s *scenario) (verdict, error) {
	b, err := s.newBed("safe")
	defer b.end()
	if err != nil {
		return couldNot, err
	}
	var flows []*openFlow
	held := map[*target]bool{}
	for i := 0; i < 40 && len(held) < 3; i++ {
		f, err := b.open(fmt.Sprintf("first %d", i))
		if err != nil {
			return couldNot, err
		}
		if held[f.target] {
			f.close()
			continue
		}
		held[f.target] = true
		flows = append(flows, f)
	}
	if s.trouble {
		t := flows[0].target
		t.mu.Lock()
		t.loseOpenings = 1
		t.mu.Unlock()
		for i := 0; i < 40; i++ {
			s.attempt(b.client, b.route, fmt.Sprintf("short %d", i))
			t.mu.Lock()
			lost := t.loseOpenings == 0
			t.mu.Unlock()
			if lost {
				break
			}
		}
	}
	time.Sleep(6 * time.Second)
	return b.check(flows)
}

const (
	// agentLead is how much earlier than its target an agent starts. All machines' processes start
	// within 0.3 s of each other.
	agentLead = 150 * time.Millisecond
	// openFor is how long after its start flows are opened at the new target.
	openFor = 300 * time.Millisecond
	// openers is the number of users that open flows one after the other.
	openers = 4
	// lastAcknowledgements is the time for packets on their way before the agent is killed.
	lastAcknowledgements = 50 * time.Millisecond
	// idle is how long the flows are not used. It is longer than stability-window-ms and shorter
	// than idle-timeout-ms.
	idle = 7 * time.Second
)

// deniedCase: a machine with an agent and a target is added, and the agent is killed once in the
// first second of the target.
func deniedCase(s *scenario) (verdict, error) {
	b, err := s.newBed("unsafe")
	defer b.end()
	if err != nil {
		return couldNot, err
	}
	p := b.addAgent("north", "orders")
	// The target starts at the beginning of a second of its clock.
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(2*time.Second - agentLead)))
	if err := p.start(); err != nil {
		return couldNot, err
	}
	time.Sleep(agentLead)
	t := b.newTarget(p, "i-new")
	b.targets = append(b.targets, t)
	startedAt := time.Now()
	if err := t.start(); err != nil {
		return couldNot, err
	}
	var mu sync.Mutex
	var flows []*openFlow
	var users sync.WaitGroup
	for range openers {
		users.Go(func() {
			for time.Since(startedAt) < openFor {
				f, err := b.open("first")
				switch {
				case err != nil:
				case f.target == t:
					mu.Lock()
					flows = append(flows, f)
					mu.Unlock()
				default:
					f.close()
				}
			}
		})
	}
	users.Wait()
	time.Sleep(lastAcknowledgements)
	if s.trouble {
		p.kill()
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			return couldNot, err
		}
	}
	s.record.log("case", "%d flows are open at the new target", len(flows))
	if len(flows) == 0 {
		return couldNot, nil
	}
	time.Sleep(idle)
	return b.check(flows)
}

const (
	// shadowUse is how long the flows are used after the entry was written, and shadowPause the
	// pause between two requests of a flow.
	shadowUse   = 3 * time.Second
	shadowPause = 50 * time.Millisecond
)

// shadowCase: another writer writes an entry with a service that is named nowhere. It stands for
// another program on the machine of a target.
func shadowCase(s *scenario) (verdict, error) {
	// The entries of the site's wire examples do not say when a target started.
	s.hidesBorn = true
	b, err := s.newBed("unsafe")
	defer b.end()
	if err != nil {
		return couldNot, err
	}
	var flows []*openFlow
	for i := range 12 {
		f, err := b.open(fmt.Sprintf("first %d", i))
		if err != nil {
			return couldNot, err
		}
		flows = append(flows, f)
	}
	if s.trouble {
		t := b.targets[0]
		b.store.put("servers/monitor-1", map[string]any{
			"service": "monitoring", "address": fmt.Sprintf("%s:9100", t.address.Addr()), "zone": t.zone, "version": "v1", "slots": 1,
			"state": "ready", "cold-remaining-ms": 0, "sequence": 1,
		})
	}
	worst := held
	for end := time.Now().Add(shadowUse); time.Now().Before(end) && worst == held; time.Sleep(shadowPause) {
		if worst, err = b.check(flows); err != nil {
			return couldNot, err
		}
	}
	if s.trouble {
		b.countNewFlows()
	}
	return worst, nil
}

// countNewFlows records where new flows go.
func (b *bed) countNewFlows() {
	counts := map[string]int{}
	for i := range 30 {
		if f, err := b.open(fmt.Sprintf("new %d", i)); err == nil {
			counts[f.target.id]++
			f.close()
		}
	}
	b.record.log("case", "new flows by target: %v", counts)
}
