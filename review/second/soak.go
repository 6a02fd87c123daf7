//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = soakCase }

type soak struct {
	sc *scenario
	*fleet
	r       *rand.Rand
	mu      sync.Mutex
	targets map[*process]*target
	version int
	routeA  routeSpec
	service string
	drainAt map[*target]time.Time
	evac    map[string]time.Time
	// lastUnplanned is when the last unplanned impairment ended.
	lastUnplanned time.Time
	busy          map[*process]bool
	breaks        int
	next          int
	hitsMu        sync.Mutex
	hits          map[flowID][]hit
	spans         map[flowID]openSpan
}

type hit struct {
	at     time.Time
	own    bool
	target string
}

// checkMisdelivery looks for 2 s in which three packets of an open flow reached other targets and
// none its own.
func (s *soak) checkMisdelivery(opened map[flowID]openSpan) {
	s.hitsMu.Lock()
	defer s.hitsMu.Unlock()
	for id, hits := range s.hits {
		span, known := opened[id]
		if !known {
			continue
		}
		last := span.from
		count := 0
		first := time.Time{}
		for _, h := range hits {
			if h.at.Before(span.from) || h.at.After(span.to) {
				continue
			}
			if h.own {
				last, count, first = h.at, 0, time.Time{}
				continue
			}
			if first.IsZero() {
				first = h.at
			}
			count++
			if count >= 3 && h.at.Sub(last) >= 0 && span.to.Sub(first) >= 2*time.Second {
				next := span.to
				for _, g := range hits {
					if g.own && g.at.After(first) {
						next = g.at
						break
					}
				}
				if next.Sub(first) >= 2*time.Second {
					s.broken("FLOW(b) %s of %s: %d packets reach others from %.3f, its own next at %.3f", id, span.target, count, first.Sub(s.record.start).Seconds(), next.Sub(s.record.start).Seconds())
					break
				}
			}
		}
	}
}

type openSpan struct {
	from, to time.Time
	target   string
}

func (s *soak) broken(format string, args ...any) {
	s.mu.Lock()
	s.breaks++
	s.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	s.record.log("BREAK", "%s", text)
	fmt.Println("BREAK", text)
}

func (s *soak) startTarget(p *process, id string, cold bool) {
	t := s.newTarget(p, id)
	if cold {
		t.cold = 2 * time.Second
	}
	svc := p.service
	t.onOpen = func(f *targetFlow) {
		go func() {
			s.mu.Lock()
			at, drains := s.drainAt[t]
			ev, evs := s.evac[p.zone]
			s.mu.Unlock()
			if drains && time.Since(at) > 3*time.Second {
				go s.broken("DRAIN %s opens at %s %s after drain", f.id, t.id, time.Since(at))
			}
			if evs && time.Since(ev) > 5*time.Second {
				go s.broken("EVAC %s opens at %s", f.id, t.id)
			}
			_ = svc
		}()
	}
	t.onPacket = func(id flowID, own bool) {
		s.hitsMu.Lock()
		defer s.hitsMu.Unlock()
		s.hits[id] = append(s.hits[id], hit{time.Now(), own, t.id})
	}
	if err := t.start(); err != nil {
		s.record.log("soak", "start target: %v", err)
		return
	}
	s.mu.Lock()
	s.targets[p] = t
	s.mu.Unlock()
}

func (s *soak) restart(p *process, sig syscall.Signal) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	s.record.log(p.name, "gets %v", sig)
	_ = cmd.Process.Signal(sig)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		p.kill()
	}
	time.Sleep(restartDelay)
	_ = p.start()
}

func soakCase(sc *scenario) (verdict, error) {
	zones := []string{"north", "south", "west"}
	f, err := newFleet(sc.dir, sc.record, zones...)
	if err != nil {
		return couldNot, err
	}
	defer f.close()
	seed := uint64(envInt("SEED", 1))
	s := &soak{sc: sc, fleet: f, r: rand.New(rand.NewPCG(seed, 1)), targets: map[*process]*target{}, version: 1, service: "a", drainAt: map[*target]time.Time{}, evac: map[string]time.Time{}, busy: map[*process]bool{}, hits: map[flowID][]hit{}, spans: map[flowID]openSpan{}}
	kinds := []string{"unsafe", "safe"}
	ra := routeSpec{host: "198.18.0.1", port: 443, service: "a", kind: kinds[envInt("KIND", 0)], timeout: 2500, objective: 250, priority: 1}
	rb := routeSpec{host: "198.18.0.2", port: 443, service: "b", kind: "safe", timeout: 2500, objective: 250, priority: 2}
	s.routeA = ra
	f.publish(1, 20, ra, rb)
	for i := range 6 {
		svc := "a"
		if i%2 == 1 {
			svc = "b"
		}
		if i < 3 {
			f.addFront(zones[i])
		}
		p := f.addAgent(zones[i%3], svc)
		s.startTarget(p, fmt.Sprintf("i-%d", i), false)
	}
	for _, p := range append(append([]*process{}, f.fronts...), f.agents...) {
		if err := p.start(); err != nil {
			return couldNot, err
		}
	}
	defer func() {
		for _, t := range s.targets {
			t.crash()
		}
	}()
	if !f.waitReady(10 * time.Second) {
		return couldNot, errNotReady
	}
	time.Sleep(3 * time.Second)
	c, err := f.newClient(0)
	if err != nil {
		return couldNot, err
	}
	mode := envInt("UNPLANNED", 0)
	end := time.Now().Add(time.Duration(envInt("SECONDS", 80)) * time.Second)
	var users sync.WaitGroup
	for u := range envInt("USERS", 24) {
		users.Go(func() { s.user(c, []routeSpec{ra, rb}[u%2], end, seed*1000+uint64(u)) })
	}
	for time.Now().Before(end.Add(-8 * time.Second)) {
		s.event(mode, ra, rb)
		time.Sleep(time.Duration(s.r.IntN(envInt("GAP", 3000))) * time.Millisecond)
	}
	users.Wait()
	s.checkMisdelivery(s.spans)
	fmt.Println("breaks", s.breaks)
	if s.breaks > 0 {
		return broken, nil
	}
	return held, nil
}

// user keeps a flow for several requests with pauses.
func (s *soak) user(c *client, route routeSpec, end time.Time, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	n := 0
	for time.Now().Before(end) {
		f, result := c.dial(route.endpoint())
		if f == nil {
			s.record.log("client", "dial %s: %s", route.host, result)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		opened := time.Now()
		for time.Now().Before(end) && time.Since(opened) < 50*time.Second {
			n++
			holder := s.holder(f.id)
			began := time.Now()
			answer, result := f.request(fmt.Sprintf("u%d-%d", seed, n), 3*time.Second)
			after := s.holder(f.id)
			if holder != nil && after == holder {
				s.hitsMu.Lock()
				span, known := s.spans[f.id]
				if !known {
					span = openSpan{from: began, target: holder.id}
				}
				span.to = time.Now()
				s.spans[f.id] = span
				s.hitsMu.Unlock()
			}
			if result == resultReset && f.resetBy == "" && holder != nil && after == holder {
				s.mu.Lock()
				quiet := time.Since(s.lastUnplanned)
				s.mu.Unlock()
				if quiet > 5*time.Second {
					s.broken("FLOW %s at %s reset, flow age %s, quiet %s", f.id, holder.id, time.Since(opened), quiet)
				} else {
					s.record.log("note", "reset of %s at %s within %s of an unplanned impairment", f.id, holder.id, quiet)
				}
			}
			if result == resultSilent && holder != nil && after == holder {
				s.mu.Lock()
				quiet := time.Since(s.lastUnplanned)
				s.mu.Unlock()
				s.record.log("SILENT", "%s at %s quiet %s began %s ago", f.id, holder.id, quiet, time.Since(began))
				if quiet > 5*time.Second {
					fmt.Println("SILENT", f.id, holder.id, quiet)
				}
			}
			if result != resultOK {
				s.record.log("client", "%s: %s %s", f.id, result, answer)
				f.forget()
				break
			}
			pause := time.Duration(r.IntN(1500)) * time.Millisecond
			if r.IntN(3) == 0 {
				pause = time.Duration(r.IntN(9000)) * time.Millisecond
			}
			if f.watchReset(pause) {
				if h := s.holder(f.id); h != nil {
					s.broken("FLOW idle reset %s at %s", f.id, h.id)
				}
				break
			}
			if r.IntN(8) == 0 {
				f.close()
				break
			}
		}
	}
}

func (s *soak) holder(id flowID) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		if t.holdsOpen(id) {
			return t
		}
	}
	return nil
}

func (s *soak) pick(list []*process) *process {
	for range 20 {
		p := list[s.r.IntN(len(list))]
		s.mu.Lock()
		busy := s.busy[p]
		if !busy {
			s.busy[p] = true
		}
		s.mu.Unlock()
		if !busy {
			return p
		}
	}
	return nil
}

func (s *soak) free(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, p)
}

func (s *soak) unplanned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUnplanned = time.Now()
}

func (s *soak) event(mode int, ra, rb routeSpec) {
	k := s.r.IntN(8)
	if envInt("PROFILE", 0) == 1 {
		k = []int{0, 0, 0, 0, 0, 3, 2}[s.r.IntN(7)]
	}
	if mode == 1 && s.r.IntN(2) == 0 {
		k = 100 + s.r.IntN(4)
	}
	switch k {
	case 0, 1:
		if p := s.pick(s.agents); p != nil {
			go func() { defer s.free(p); s.restart(p, syscall.SIGTERM) }()
		}
	case 2:
		if p := s.pick(s.fronts); p != nil {
			go func() { defer s.free(p); s.restart(p, syscall.SIGTERM) }()
		}
	case 3, 4:
		s.version += 1 + s.r.IntN(3)
		a, b := ra, rb
		if s.r.IntN(2) == 0 {
			a.service = "b"
		}
		if s.r.IntN(3) == 0 {
			b.service = "a"
		}
		s.record.log("operator", "routes a->%s b->%s", a.service, b.service)
		s.publish(s.version, 20, a, b)
	case 5:
		zone := s.zones[s.r.IntN(3)]
		s.mu.Lock()
		_, is := s.evac[zone]
		n := len(s.evac)
		s.mu.Unlock()
		if is || n > 0 {
			return
		}
		at := s.store.put("op/evacuate/"+zone, map[string]any{})
		s.mu.Lock()
		s.evac[zone] = at
		s.mu.Unlock()
		go func() {
			time.Sleep(7 * time.Second)
			s.mu.Lock()
			delete(s.evac, zone)
			s.mu.Unlock()
			s.store.remove("op/evacuate/" + zone)
		}()
	case 6:
		// Replaces a target: it drains, leaves and another comes on the machine.
		if p := s.pick(s.agents); p != nil {
			go func() {
				defer s.free(p)
				s.mu.Lock()
				t := s.targets[p]
				s.next++
				id := fmt.Sprintf("%s.%d", t.id, s.next)
				s.mu.Unlock()
				t.mu.Lock()
				t.state = "draining"
				t.mu.Unlock()
				t.announce()
				s.mu.Lock()
				s.drainAt[t] = time.Now()
				s.mu.Unlock()
				time.Sleep(8 * time.Second)
				t.crash()
				s.store.remove("servers/" + t.id)
				s.restart(p, syscall.SIGTERM)
				time.Sleep(2500 * time.Millisecond)
				s.startTarget(p, id, true)
			}()
		}
	case 7:
		if p := s.pick(s.fronts); p != nil {
			s.free(p)
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
		}
	case 100:
		if p := s.pick(s.agents); p != nil {
			s.unplanned()
			go func() { defer s.free(p); s.restart(p, syscall.SIGKILL); s.unplanned() }()
		}
	case 101:
		if p := s.pick(s.fronts); p != nil {
			s.unplanned()
			go func() { defer s.free(p); s.restart(p, syscall.SIGKILL); s.unplanned() }()
		}
	case 102:
		// A target crashes and comes back under its id.
		if p := s.pick(s.agents); p != nil {
			s.unplanned()
			go func() {
				defer s.free(p)
				s.mu.Lock()
				t := s.targets[p]
				s.mu.Unlock()
				t.crash()
				time.Sleep(time.Duration(300+rand.IntN(2000)) * time.Millisecond)
				s.startTarget(p, t.id, true)
				s.unplanned()
			}()
		}
	case 103:
		// A machine loses power.
		if p := s.pick(s.agents); p != nil {
			s.unplanned()
			go func() {
				defer s.free(p)
				s.mu.Lock()
				t := s.targets[p]
				s.mu.Unlock()
				t.crash()
				p.kill()
				time.Sleep(time.Duration(500+rand.IntN(1000)) * time.Millisecond)
				_ = p.start()
				s.startTarget(p, t.id, true)
				s.unplanned()
			}()
		}
	}
}
