//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
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
	if os.Getenv("DUMP") != "" {
		defer b.dumpMetrics()
	}
	worst := held
	for i, f := range flows {
		wasOpen := f.target.holdsOpen(f.id)
		answer, result := f.request(fmt.Sprintf("later request %d", i), 2500*time.Millisecond)
		stillOpen := f.target.holdsOpen(f.id)
		b.record.log("client", "%s at %s: %s %q; the target holds the flow before: %t, after: %t", f.id, f.target.id, result, answer, wasOpen, stillOpen)
		fmt.Println(f.id, f.target.id, result, wasOpen, stillOpen)
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

// deniedCase: a target and its agent are added, and the agent is killed once in its first second.
func deniedCase(s *scenario) (verdict, error) {
	b, err := s.newBed("unsafe")
	defer b.end()
	if err != nil {
		return couldNot, err
	}
	p := b.addAgent("north", "orders")
	if err := p.start(); err != nil {
		return couldNot, err
	}
	time.Sleep(time.Duration(envInt("LAG", 150)) * time.Millisecond)
	t := b.newTarget(p, "i-new")
	b.targets = append(b.targets, t)
	startedAt := time.Now()
	if err := t.start(); err != nil {
		return couldNot, err
	}
	var flows []*openFlow
	for time.Since(startedAt) < 400*time.Millisecond {
		f, err := b.open("first")
		if err != nil {
			return couldNot, err
		}
		if f.target == t {
			flows = append(flows, f)
		} else {
			f.close()
		}
	}
	// The clients' last acknowledgements arrive.
	time.Sleep(50 * time.Millisecond)
	if s.trouble {
		p.kill()
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			return couldNot, err
		}
	}
	fmt.Println(len(flows), "flows at the new target")
	time.Sleep(7 * time.Second)
	return b.check(flows)
}

// shadowCase: another writer writes an entry with a service that is named nowhere.
func shadowCase(s *scenario) (verdict, error) {
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
			"service": "monitoring", "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": 1, "state": "ready",
			"cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	worst := held
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && worst == held; time.Sleep(50 * time.Millisecond) {
		if worst, err = b.check(flows); err != nil {
			return couldNot, err
		}
	}
	return worst, nil
}

// dumpMetrics prints the counters of all processes.
func (b *bed) dumpMetrics() {
	for _, p := range b.processes() {
		r, err := http.Get(fmt.Sprintf("http://%s:%d/debug/vars", p.ip, b.ports.ready))
		if err != nil {
			continue
		}
		var values map[string]any
		_ = json.NewDecoder(r.Body).Decode(&values)
		_ = r.Body.Close()
		delete(values, "memstats")
		delete(values, "cmdline")
		line, _ := json.Marshal(values)
		fmt.Println(p.name, string(line))
	}
}
