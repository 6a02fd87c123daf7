//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// startFleet starts a front in each zone and targets of a service, perZone in each.
func startFleet(f *fleet, service string, perZone int) error {
	for _, zone := range zones {
		if err := f.addFront(zone); err != nil {
			return err
		}
	}
	for range perZone {
		for _, zone := range zones {
			if _, err := f.addSide(zone, service, 0, 0); err != nil {
				return err
			}
		}
	}
	return f.awaitReady()
}

// traffic opens flows of one request each, at a rate in each zone, until stop is closed.
func traffic(f *fleet, to route, perSecond float64, stop chan struct{}) (*sync.WaitGroup, *counts, error) {
	var all sync.WaitGroup
	result := new(counts)
	for _, zone := range zones {
		c, err := f.startClient(zone)
		if err != nil {
			return nil, nil, err
		}
		all.Add(1)
		go func() {
			defer all.Done()
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			var flows sync.WaitGroup
			for n := 0; ; n++ {
				select {
				case <-stop:
					flows.Wait()
					return
				case <-ticker.C:
				}
				flows.Add(1)
				go func() {
					defer flows.Done()
					result.add(oneRequest(c, to, fmt.Sprintf("%s-%d", zone, n)))
				}()
			}
		}()
	}
	return &all, result, nil
}

// counts counts what became of requests.
type counts struct{ served, refused, lost atomic.Int64 }

func (c *counts) add(opened bool, err error) {
	switch {
	case err == nil:
		c.served.Add(1)
	case !opened:
		c.refused.Add(1)
	default:
		c.lost.Add(1)
	}
}

func (c *counts) String() string {
	return fmt.Sprintf("%d served, %d not accepted, %d accepted and never answered", c.served.Load(), c.refused.Load(), c.lost.Load())
}

// oneRequest sends one request on a flow of its own. It reports whether the flow was opened.
func oneRequest(c *client, to route, text string) (bool, error) {
	flow, err := c.open(to.endpoint())
	if err != nil {
		return false, err
	}
	_, err = flow.request(text, 1500*time.Millisecond)
	flow.close()
	return true, err
}

// restartAgents keeps long flows open while each agent is stopped and started again in turn. No flow
// may be reset, since its target serves all the while.
func restartAgents(f *fleet, trouble bool) error {
	feed := route{host: "198.18.0.1", kind: "safe", service: "orders"}
	f.putConfig(1, []route{feed}, map[string]float64{"orders": 0})
	if err := startFleet(f, "orders", 3); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	f.onReset = func(flow *clientFlow, owner *target) {
		f.violation("FLOW: client %v gets a reset of its open flow to %s, which serves and did not send it", flow.id.client, owner.name)
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var sent, answered, reset atomic.Int64
	for _, zone := range zones {
		for range 60 {
			c, err := f.startClient(zone)
			if err != nil {
				return err
			}
			all.Add(1)
			go func() {
				defer all.Done()
				keepFeed(c, feed, stop, &sent, &answered, &reset)
			}()
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		var restarts sync.WaitGroup
		for _, m := range f.sides() {
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				if err := f.restart(m); err != nil {
					f.record("%s does not start: %v", m.name, err)
				}
			}()
			time.Sleep(2 * time.Second)
		}
		restarts.Wait()
	} else {
		time.Sleep(22 * time.Second)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	all.Wait()
	f.record("%d requests on open flows, %d answered, %d ended by a reset", sent.Load(), answered.Load(), reset.Load())
	return nil
}

// keepFeed keeps a flow open with a request every 200 ms, and opens another one if it ends.
func keepFeed(c *client, feed route, stop chan struct{}, sent, answered, reset *atomic.Int64) {
	var flow *clientFlow
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		if flow == nil {
			var err error
			if flow, err = c.open(feed.endpoint()); err != nil {
				flow = nil
				continue
			}
		}
		text := fmt.Sprintf("%v-%d", flow.id.client, n)
		sent.Add(1)
		switch _, err := flow.request(text, 1500*time.Millisecond); err {
		case nil:
			answered.Add(1)
		case errReset:
			reset.Add(1)
			flow = nil
		}
	}
}

// growRoutes lets the desired state grow in steps and then empties a zone. No request may reach a
// target there when the bound has passed.
func growRoutes(f *fleet, trouble bool) error {
	const step, steps, zone = 380, 11, "south"
	orders := route{host: "198.18.0.1", kind: "unsafe", service: "orders"}
	routes := []route{orders}
	cold := map[string]float64{"orders": 0}
	f.putConfig(1, routes, cold)
	if err := startFleet(f, "orders", 2); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	all, result, err := traffic(f, orders, 20, stop)
	if err != nil {
		return err
	}
	for n := range steps {
		if trouble {
			for i := range step {
				host := fmt.Sprintf("198.%d.%d.%d", 20+n, i/250, i%250+1)
				routes = append(routes, route{host: host, kind: "safe", service: "orders"})
			}
		}
		f.putConfig(2+n, routes, cold)
		time.Sleep(2 * time.Second)
	}
	time.Sleep(4 * time.Second)
	var confirmedAt atomic.Pointer[time.Time]
	f.onOpening = func(id ends, t *target, at time.Time) {
		if from := confirmedAt.Load(); from != nil && t.zone == zone && at.After(from.Add(evacuationBound)) {
			f.violation("EVAC: flow %v reaches %s in %s %v after its evacuation was confirmed", id.client, t.name, zone, at.Sub(*from).Round(time.Millisecond))
		}
	}
	at := f.store.put("op/evacuate/"+zone, map[string]any{})
	confirmedAt.Store(&at)
	f.record("the evacuation of %s is confirmed", zone)
	time.Sleep(12 * time.Second)
	confirmedAt.Store(nil)
	f.store.remove("op/evacuate/" + zone)
	f.record("%s is taken back", zone)
	close(stop)
	all.Wait()
	f.record("%s", result)
	return nil
}

// startColdTarget starts a target of the second service of a route during traffic. It must not get
// more new flows a second than it bears in its cold start.
func startColdTarget(f *fleet, trouble bool) error {
	cold := map[string]float64{"orders": 60, "patterns": 6}
	shared := route{host: "198.18.0.1", kind: "unsafe", weighted: []weight{{"orders", 90}, {"patterns", 10}}}
	f.putConfig(1, []route{shared}, cold)
	if err := startFleet(f, "orders", 1); err != nil {
		return err
	}
	if _, err := f.addSide("north", "patterns", 0, 0); err != nil {
		return err
	}
	if !trouble {
		if _, err := f.addSide("north", "patterns", 0, cold["patterns"]); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	all, result, err := traffic(f, shared, 35, stop)
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		if _, err := f.addSide("north", "patterns", 5*time.Second, cold["patterns"]); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	all.Wait()
	f.record("%s", result)
	return nil
}

// loseReaders changes a large desired state in quick succession, lets the machines that read the store
// lose power, and moves a route to another service. No later request may be run by the service before.
func loseReaders(f *fleet, trouble bool) error {
	const count, changes = 3900, 12
	moved := route{host: "198.18.0.1", kind: "unsafe", service: "orders"}
	routes := []route{moved}
	for i := range count {
		routes = append(routes, route{host: fmt.Sprintf("198.20.%d.%d", i/250, i%250+1), kind: "safe", service: "orders"})
	}
	cold := map[string]float64{"orders": 0, "patterns": 0}
	f.putConfig(1, routes, cold)
	if err := startFleet(f, "orders", 2); err != nil {
		return err
	}
	for _, zone := range zones {
		if _, err := f.addSide(zone, "patterns", 0, 0); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	all, result, err := traffic(f, moved, 20, stop)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for n := range changes {
		if trouble {
			f.putConfig(2+n, routes, cold)
		}
		time.Sleep(330 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	readers := f.store.recentReaders(1500 * time.Millisecond)
	f.record("the store was read by %v", readers)
	for _, m := range f.sides() {
		for _, host := range readers {
			if m.ip.String() == host {
				f.losePower(m)
			}
		}
	}
	time.Sleep(300 * time.Millisecond)
	routes[0].service = "patterns"
	at := f.putConfig(30, routes, cold)
	f.onOpening = func(id ends, t *target, now time.Time) {
		if opened := f.openedAt(id); id.route == moved.endpoint() && t.service == "orders" && opened.After(at.Add(applyBound)) {
			f.violation("CONFIG: flow %v, opened %v after its route was moved, is taken by %s of %s", id.client, opened.Sub(at).Round(time.Millisecond), t.name, t.service)
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	all.Wait()
	f.record("%s", result)
	return nil
}

// moveRoute keeps flows in use at the targets of a route's first service, moves the route between two
// other services several times, and then stops and starts the agents beside those targets in turn. No
// flow may be reset, since its target serves all the while.
func moveRoute(f *fleet, trouble bool) error {
	const moves = 6
	commits := route{host: "198.18.0.1", kind: "unsafe", service: "orders"}
	cold := map[string]float64{"orders": 0, "patterns": 0, "archive": 0}
	f.putConfig(1, []route{commits}, cold)
	if err := startFleet(f, "orders", 1); err != nil {
		return err
	}
	for _, service := range []string{"patterns", "archive"} {
		for _, zone := range zones {
			if _, err := f.addSide(zone, service, 0, 0); err != nil {
				return err
			}
		}
	}
	// By then every process knows all changes of the last minute.
	time.Sleep(62 * time.Second)
	f.onReset = func(flow *clientFlow, owner *target) {
		f.violation("FLOW: client %v gets a reset of its open flow to %s, which serves and did not send it", flow.id.client, owner.name)
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var answered, unanswered atomic.Int64
	for n := range 30 {
		c, err := f.startClient(zones[n%len(zones)])
		if err != nil {
			return err
		}
		flow, err := c.open(commits.endpoint())
		if err != nil {
			return err
		}
		all.Add(1)
		go func() {
			defer all.Done()
			useFlow(flow, stop, &answered, &unanswered)
		}()
	}
	f.record("30 flows are open")
	time.Sleep(2 * time.Second)
	for n := range moves {
		if trouble {
			commits.service = []string{"patterns", "archive"}[n%2]
		}
		f.putConfig(2+n, []route{commits}, cold)
		f.record("the route goes to %s", commits.service)
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	for _, m := range f.sides() {
		if m.service == "orders" {
			if err := f.restart(m); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	all.Wait()
	f.record("%d requests on open flows answered, %d ended by a reset", answered.Load(), unanswered.Load())
	return nil
}

// useFlow sends a request on an open flow every 1.5 s until the flow is reset.
func useFlow(flow *clientFlow, stop chan struct{}, answered, unanswered *atomic.Int64) {
	for n := 0; ; n++ {
		text := fmt.Sprintf("%v-%d", flow.id.client, n)
		switch _, err := flow.request(text, 1500*time.Millisecond); err {
		case nil:
			answered.Add(1)
		case errReset:
			unanswered.Add(1)
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
