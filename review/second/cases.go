//go:build review2

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

var errNotReady = errors.New("the processes did not become ready")

// retries is how often a client tries a request again whose flow never opened.
const retries = 2

func init() { cases["recover"] = recoverCase }

// Times of the case recover. The site's final faults keep the power off for up to 1.4 s, and machines
// start within 0.3 s of each other.
const (
	powerOff    = 1400 * time.Millisecond
	targetsLate = 300 * time.Millisecond
	// recovery is the bound recovery-s of the site.
	recovery = 12 * time.Second
	judged   = 6 * time.Second
)

// recoverCase: all machines lose power right after a desired state was confirmed, and come back.
// The targets accept flows a moment after the agents beside them run again.
func recoverCase(s *scenario) (verdict, error) {
	b, err := s.newBed("unsafe")
	defer b.end()
	if err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	var users sync.WaitGroup
	for u := range 12 {
		users.Go(func() { s.longUser(b.client, b.feed, u, stop) })
	}
	defer users.Wait()
	defer close(stop)
	before := s.offer(b.client, b.route, 20, 4*time.Second)
	if s.trouble {
		b.publish(2, 20, b.route, b.feed)
		for _, p := range b.processes() {
			p.kill()
		}
		for _, t := range b.targets {
			t.crash()
		}
		s.record.log("case", "all machines are without power")
		var during sync.WaitGroup
		during.Go(func() { s.offer(b.client, b.route, 20, powerOff+targetsLate+time.Second) })
		time.Sleep(powerOff)
		for _, p := range b.processes() {
			if err := p.start(); err != nil {
				return couldNot, err
			}
		}
		time.Sleep(targetsLate)
		for i, p := range b.agents {
			b.targets[i] = b.newTarget(p, fmt.Sprintf("i-%d-again", i))
			b.targets[i].cold = 2 * time.Second
			if err := b.targets[i].start(); err != nil {
				return couldNot, err
			}
		}
		s.record.log("case", "all machines and targets are back")
		during.Wait()
	}
	s.offer(b.client, b.route, 20, recovery)
	after := s.offer(b.client, b.route, 20, judged)
	s.record.log("case", "served %.2f of the requests before, %.2f of those sent later than %s after the machines were back", before, after, recovery)
	fmt.Printf("served %.2f before, %.2f after\n", before, after)
	switch {
	case before < 0.25:
		return couldNot, nil
	case after < 0.25:
		return broken, nil
	}
	return held, nil
}

// longUser keeps a flow for several requests, with pauses, until stop is closed.
func (s *scenario) longUser(c *client, route routeSpec, user int, stop chan struct{}) {
	for n := 0; ; {
		f, result := c.dial(route.endpoint())
		for f != nil && result != resultReset && result != resultSilent {
			n++
			_, result = f.request(fmt.Sprintf("feed %d-%d", user, n), time.Duration(route.timeout)*time.Millisecond)
			s.record.log("client", "feed %d-%d on %s: %s", user, n, f.id, result)
			select {
			case <-stop:
				f.close()
				return
			case <-time.After(time.Duration(rand.IntN(1000)) * time.Millisecond):
			}
		}
		if f != nil {
			f.forget()
		} else {
			s.record.log("client", "feed %d: %s", user, result)
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// offer sends requests at a rate, each on a flow of its own, and returns the share that was served.
func (s *scenario) offer(c *client, route routeSpec, perSecond int, d time.Duration) float64 {
	var mu sync.Mutex
	results := map[string]int{}
	var all sync.WaitGroup
	count := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		count++
		text := fmt.Sprintf("request %d", time.Now().UnixNano())
		all.Go(func() {
			result := s.attempt(c, route, text)
			mu.Lock()
			results[result]++
			mu.Unlock()
		})
	}
	all.Wait()
	s.record.log("case", "of %d requests: %v", count, results)
	return float64(results[resultOK]) / float64(count)
}

// attempt sends one request on a flow of its own.
func (s *scenario) attempt(c *client, route routeSpec, text string) string {
	f, result := c.dial(route.endpoint())
	for tries := 0; f == nil && tries < retries; tries++ {
		s.record.log("client", "%q: %s; tries again", text, result)
		time.Sleep(50 * time.Millisecond)
		f, result = c.dial(route.endpoint())
	}
	if f == nil {
		s.record.log("client", "%q: %s", text, result)
		return result
	}
	answer, result := f.request(text, time.Duration(route.timeout)*time.Millisecond)
	s.record.log("client", "%q on %s: %s %s", text, f.id, result, answer)
	if result == resultOK {
		f.close()
	}
	return result
}
