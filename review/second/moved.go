//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { cases["moved"] = movedCase }

const (
	// movedFlows is the number of flows that stay open at the targets of the earlier service.
	movedFlows = 12
	// applied is how long all processes have to put a desired state in force, with room to spare.
	applied = 4 * time.Second
	// calm is how long all processes run before the flows are used again. It is longer than
	// stability-window-ms, so that all machines are in touch.
	calm = 6 * time.Second
)

// movedCase: a desired state moves a route to another service, so that no route names the earlier
// one any more. Then all processes are killed once.
func movedCase(s *scenario) (verdict, error) {
	b, err := s.newBed("unsafe")
	defer b.end()
	if err != nil {
		return couldNot, err
	}
	for _, zone := range b.zones {
		p := b.addAgent(zone, "orders-next")
		t := b.newTarget(p, "i-next-"+zone)
		b.targets = append(b.targets, t)
		if err := t.start(); err != nil {
			return couldNot, err
		}
		if err := p.start(); err != nil {
			return couldNot, err
		}
	}
	if !b.waitReady(10 * time.Second) {
		return couldNot, errNotReady
	}
	time.Sleep(applied)
	var flows []*openFlow
	for i := range movedFlows {
		f, err := b.open(fmt.Sprintf("first %d", i))
		if err != nil {
			return couldNot, err
		}
		flows = append(flows, f)
	}
	moved, feed := b.route, b.feed
	moved.service, feed.service = "orders-next", "orders-next"
	b.publish(2, 20, moved, feed)
	time.Sleep(applied)
	if s.trouble {
		for _, p := range b.processes() {
			p.kill()
		}
		time.Sleep(restartDelay)
		for _, p := range b.processes() {
			if err := p.start(); err != nil {
				return couldNot, err
			}
		}
	}
	time.Sleep(calm)
	return b.check(flows)
}
