package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Figures of the case of a cold target.
const (
	coldStart   = 2 * time.Second
	coldPerS    = 10.0
	coldOverage = 1.5
	coldSlack   = 5.0
	// coldReturnDown is how long the target is down, and outage how long the store is.
	coldReturnDown = 4500 * time.Millisecond
	outageDelay    = time.Second
	outage         = 5 * time.Second
	openingsPerS   = 60
	requestBudget  = 1500 * time.Millisecond
)

// runColdReturn lets a zone's target come back cold while the store is down, and counts what it gets.
func runColdReturn(s *system, trouble bool) (bool, error) {
	const service = "campaign-desk"
	s.seeds = []string{s.at(s.host(0, 1), s.ports.control).String()}
	s.store.put("op/config", newDesiredState(s, service, coldPerS))
	members, front, err := startDeployment(s, service, coldStart)
	if err != nil {
		return false, err
	}
	clients, err := startClient(s.at(s.host(0, 100), s.ports.datagram), front, s.record)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(16 * time.Second)
	var load sync.WaitGroup
	load.Go(func() { sendLoad(clients, s, end) })
	time.Sleep(4 * time.Second)
	s.record.note("the target of %s goes down", s.zones[0])
	members[0].crashTarget()
	time.Sleep(outageDelay)
	if trouble {
		s.record.note("trouble: the store gives no answer")
		s.store.setSilent(true)
		time.AfterFunc(outage, func() {
			s.store.setSilent(false)
			s.record.note("the store answers again")
		})
	}
	time.Sleep(coldReturnDown - outageDelay)
	s.record.note("the target of %s is back, cold", s.zones[0])
	if err := members[0].startTarget(); err != nil {
		return false, err
	}
	returned := members[0].current()
	load.Wait()
	return judgeCold(s.record, returned), nil
}

// judgeCold reports whether a cold target got more in some second than it may.
func judgeCold(r *record, t *target) bool {
	limit := coldPerS*coldOverage + coldSlack
	var arrivals []time.Time
	for _, o := range t.takenOpenings() {
		if age := o.arrivedAt.Sub(t.startAt); age >= 0 && age < coldStart {
			arrivals = append(arrivals, o.arrivedAt)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	most := 0
	for i, first := range arrivals {
		within := 0
		for _, next := range arrivals[i:] {
			if next.Sub(first) < time.Second {
				within++
			}
		}
		most = max(most, within)
	}
	r.note("the cold target %s took %d new flows in its worst second; the rule allows %.0f", t.name, most, limit)
	return float64(most) > limit
}

// sendLoad opens flows at an even rate until end, with one request each.
func sendLoad(c *client, s *system, end time.Time) {
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / openingsPerS)
	defer ticker.Stop()
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		all.Go(func() { sendOne(c, s, fmt.Sprintf("request-%d", n)) })
	}
	all.Wait()
}

// sendOne sends one request on a flow of its own, and records its end.
func sendOne(c *client, s *system, text string) {
	c.record.add("client sends %s", text)
	f, err := c.open(s.at(s.host(210, 1), servicePort))
	if err != nil {
		c.record.add("client: %s never opened: %v", text, err)
		return
	}
	answered, err := f.request(text)
	if err != nil {
		c.record.add("client: %s has no answer: %v", text, err)
	} else {
		c.record.add("client gets %q", answered)
	}
	f.close()
}
