//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["turn"] = turnCase }

const (
	// turnFlows is the number of flows that clients use while agents restart.
	turnFlows = 1800
	// turnPause is the longest pause between two requests of a flow.
	turnPause = 3000 * time.Millisecond
	// turnBeds is the number of deployments.
	turnBeds = 5
	// turnFor is how long agents are restarted in turn.
	turnFor = 40 * time.Second
	// turnDelay is how long after its end a process that was stopped is started again.
	turnDelay = 600 * time.Millisecond
	// grace is how long a process may take to end after SIGTERM.
	grace = 6 * time.Second
)

// turnCase plays the same in several small deployments beside each other. It is broken if it is in
// one of them.
func turnCase(s *scenario) (verdict, error) {
	var mu sync.Mutex
	worst := held
	var first error
	var all sync.WaitGroup
	for i := range turnBeds {
		dir := filepath.Join(s.dir, strconv.Itoa(i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			return couldNot, err
		}
		all.Go(func() {
			result, err := (&scenario{record: s.record, dir: dir, trouble: s.trouble}).turnBed()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				first = err
			}
			if result == broken {
				worst = broken
			}
		})
	}
	all.Wait()
	if worst == broken {
		first = nil
	}
	return worst, first
}

// turnBed plays one deployment: a desired state moves a route to another service, while a second
// route stays with the earlier one. Then agents are stopped and started in turn, two at a time.
func (s *scenario) turnBed() (verdict, error) {
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
	for _, t := range b.targets {
		t.setWork(2 * time.Millisecond)
	}
	var flows []*openFlow
	var mu sync.Mutex
	var openers sync.WaitGroup
	for i := range 12 {
		openers.Go(func() {
			for n := range turnFlows / 12 {
				if f, err := b.open(fmt.Sprintf("first %d-%d", i, n)); err == nil {
					mu.Lock()
					flows = append(flows, f)
					mu.Unlock()
				}
			}
		})
	}
	openers.Wait()
	moved := b.route
	moved.service = "orders-next"
	b.publish(2, 20, moved, b.feed)
	time.Sleep(applied)
	stop := make(chan struct{})
	var users sync.WaitGroup
	resets := 0
	for i, f := range flows {
		users.Go(func() {
			if b.useUntil(f, i, stop) {
				mu.Lock()
				defer mu.Unlock()
				resets++
			}
		})
	}
	if s.trouble {
		b.turn(time.Now().Add(turnFor))
	} else {
		time.Sleep(turnFor)
	}
	close(stop)
	users.Wait()
	s.record.log("case", "%d of %d flows were reset", resets, len(flows))
	fmt.Printf("%d of %d flows were reset\n", resets, len(flows))
	if resets > 0 {
		return broken, nil
	}
	return held, nil
}

// useUntil sends requests on a flow, with pauses, until stop is closed. It reports whether the
// system resets the flow while its target holds it.
func (b *bed) useUntil(f *openFlow, user int, stop chan struct{}) bool {
	for n := 0; ; n++ {
		wasOpen := f.target.holdsOpen(f.id)
		_, result := f.request(fmt.Sprintf("request %d of %d", n, user), 2500*time.Millisecond)
		if result != resultOK {
			stillOpen := f.target.holdsOpen(f.id)
			b.record.log("client", "request %d on %s at %s: %s; the target holds the flow before: %t, after: %t", n, f.id, f.target.id, result, wasOpen, stillOpen)
			return result == resultReset && f.resetBy == "" && wasOpen && stillOpen
		}
		select {
		case <-stop:
			return false
		case <-time.After(time.Duration(rand.Int64N(int64(turnPause)))):
		}
	}
}

// restart stops the process as the platform does, and starts it again.
func (p *process) restart() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	p.fleet.record.log(p.name, "gets SIGTERM")
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		p.fleet.record.log(p.name, "has ended")
	case <-time.After(grace):
		p.kill()
	}
	time.Sleep(turnDelay)
	if err := p.start(); err != nil {
		p.fleet.record.log(p.name, "does not start: %v", err)
	}
}

// setWork sets how long the target works on a request.
func (t *target) setWork(work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = work
}

// turn stops and starts the agents in turn, two at a time, until end: one beside a target of the
// earlier service and one beside a target of the other. The next two follow when these are back.
func (b *bed) turn(end time.Time) {
	for next := 0; time.Now().Before(end); next++ {
		i := next % len(b.zones)
		var pair sync.WaitGroup
		pair.Go(b.agents[i].restart)
		pair.Go(b.agents[len(b.zones)+i].restart)
		pair.Wait()
	}
}
