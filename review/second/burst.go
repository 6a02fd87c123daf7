//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["burst"] = burstCase }

func envInt(name string, fallback int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return fallback
}

func burstCase(s *scenario) (verdict, error) {
	zones := []string{"north", "south", "west"}
	f, err := newFleet(s.dir, s.record, zones...)
	if err != nil {
		return couldNot, err
	}
	defer f.close()
	route := routeSpec{host: "198.18.0.1", port: 443, service: "orders", kind: "unsafe", timeout: envInt("TIMEOUT", 2000), objective: envInt("OBJ", 200), priority: 1}
	f.publish(1, 20, route)
	var targets []*target
	for i := range envInt("N", 6) {
		if i < 3 {
			f.addFront(zones[i%3])
		}
		p := f.addAgent(zones[i%3], "orders")
		t := f.newTarget(p, fmt.Sprintf("i-%d", i))
		t.work = time.Duration(envInt("WORK", 40)) * time.Millisecond
		t.isn = func() uint32 { return 1000 + rand.Uint32N(60_000) }
		targets = append(targets, t)
		if err := t.start(); err != nil {
			return couldNot, err
		}
		defer t.crash()
	}
	for _, p := range append(append([]*process{}, f.fronts...), f.agents...) {
		if err := p.start(); err != nil {
			return couldNot, err
		}
	}
	if !f.waitReady(10 * time.Second) {
		return couldNot, errNotReady
	}
	time.Sleep(4 * time.Second)
	s.idle = time.Duration(envInt("IDLE", 0)) * time.Millisecond
	c, err := f.newClient(time.Duration(envInt("DELAY", 3)) * time.Millisecond)
	if err != nil {
		return couldNot, err
	}
	rate := envInt("RATE", 240)
	share := s.offer(c, route, rate, 4*time.Second)
	if s.trouble {
		share2 := s.offer(c, route, rate*183/100, time.Duration(envInt("BURST", 3500))*time.Millisecond)
		fmt.Println("burst served", share2)
		var wg sync.WaitGroup
		wg.Wait()
	}
	s.offer(c, route, rate, 2*time.Second)
	fmt.Println("late opens", s.lateOpens.Load(), "served", share, "open resets", s.openResets.Load())
	if s.openResets.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
