package scenario

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/cluster"
	"github.com/radishmast/radishmast/internal/lab/workload"
)

// loadScenarios returns the scenarios that measure load and fairness. Most set the
// request rate as a share of the capacity of the order service's backend servers.
func loadScenarios() []Scenario {
	return []Scenario{
		{Name: "balance", Help: "70% load over backend servers of speeds 1 to 4", configure: atLoad(0.7), execute: balance},
		{Name: "members", Help: "overload, with one member at ten times the flows of the others", configure: atLoad(1.2), execute: members},
		{Name: "cold", Help: "all backend servers start cold, and would crash under full load", configure: configureCold, execute: coldStart},
		{Name: "overload", Help: "1.5 times the capacity for a while, then 50%", configure: atLoad(1.5), execute: overload},
		{Name: "return", Help: "a data centre is taken out and comes back at 60% load", configure: atLoad(0.6), execute: returnUnderLoad},
		{Name: "keys", Help: "datagrams are authenticated; forged ones are dropped", configure: configureKeys, execute: forgeDatagrams},
	}
}

const (
	loadServiceTime = 50 * time.Millisecond
	loadFeeds       = 20
)

// atLoad returns a configure function that sets the request rate to a share of the
// order service's capacity; 1 is full load.
func atLoad(share float64) func(*cluster.Spec, *Options) {
	return func(spec *cluster.Spec, options *Options) {
		options.MeanServiceTime = loadServiceTime
		options.Feeds = loadFeeds
		var speed float64
		for _, b := range spec.Backends {
			if b.Service == orders {
				speed += b.Speed * float64(b.Slots)
			}
		}
		options.Rate = share * speed / loadServiceTime.Seconds()
	}
}

// settleAndMeasure gives the balancing weights Options.Hold to settle under the load
// so far, then begins a new measurement.
func (r *run) settleAndMeasure(members map[netip.Addr]float64, rate float64) {
	r.sleepHold()
	r.beginMeasurement(members, rate)
}

// balance measures the load over backend servers of different speeds.
func balance(r *run) error {
	r.settleAndMeasure(workload.EqualMembers(memberCount), r.options.Rate)
	r.sleepHold()
	r.sleepHold()
	return nil
}

// members measures whether a member that sends ten times as many requests as each other
// one increases the latency of the others.
func members(r *run) error {
	shares := workload.EqualMembers(memberCount)
	greedy := workload.Member(1)
	shares[greedy] = 10
	r.settleAndMeasure(shares, r.options.Rate)
	r.sleepHold()
	r.sleepHold()
	r.requests.Stop()
	var lowest, highest time.Duration
	for i := 2; i <= memberCount; i++ {
		latency := r.requests.MeanLatency(workload.Member(i))
		r.result.setDetail(fmt.Sprintf("meanWait%d", i), milliseconds(latency))
		if lowest == 0 || latency < lowest {
			lowest = latency
		}
		highest = max(highest, latency)
	}
	r.result.setDetail("meanWaitGreedy", milliseconds(r.requests.MeanLatency(greedy)))
	r.result.setDetail("spreadOfOthers", float64(highest)/float64(max(lowest, 1)))
	return nil
}

// warmUpRequests is the number of answers after which a cold backend server is warm.
const warmUpRequests = 40

// configureCold sets the request rate to 60% of the capacity, with backend servers that
// crash under load while they are cold.
func configureCold(spec *cluster.Spec, options *Options) {
	atLoad(0.6)(spec, options)
	options.Feeds = 1
	for i := range spec.Backends {
		spec.Backends[i].WarmUpRequests = warmUpRequests
	}
}

// coldStart counts crashes after the start, when all backend servers are cold, and again
// after it has restarted all of them at once.
func coldStart(r *run) error {
	r.sleepHold()
	crashesAtStart := r.crashes()
	r.result.setDetail("fallsAtStart", float64(crashesAtStart))
	for _, name := range r.orderServers() {
		r.cluster.StopBackend(name)
	}
	for _, name := range r.orderServers() {
		if err := r.cluster.RestartBackend(name); err != nil {
			return err
		}
	}
	r.sleepHold()
	r.sleepHold()
	r.result.setDetail("fallsAfterRestart", float64(r.crashes()-crashesAtStart))
	return nil
}

// crashes returns the number of crashes of all backend servers of the order service.
func (r *run) crashes() int {
	total := 0
	for _, name := range r.orderServers() {
		total += r.cluster.Crashes(name)
	}
	return total
}

// overload measures goodput and busy slots at 1.5 times the capacity. It then reduces
// the rate to 50% of the capacity, waits three seconds and counts the requests that
// are refused after that.
func overload(r *run) error {
	r.settleAndMeasure(workload.EqualMembers(memberCount), r.options.Rate)
	r.sleepHold()
	before := r.requests.Outcome()
	busyBefore := r.busyTime()
	started := time.Now()
	r.sleepHold()
	seconds := time.Since(started).Seconds()
	after := r.requests.Outcome()
	r.result.setDetail("goodputPerSecond", float64(after.Answered-before.Answered)/seconds)
	r.result.setDetail("busyShare", (r.busyTime()-busyBefore).Seconds()/seconds/float64(r.slotCount()))
	r.requests.Stop()
	const recovery = 3 * time.Second
	const lightShare = 1.0 / 3
	r.beginMeasurement(workload.EqualMembers(memberCount), r.options.Rate*lightShare)
	time.Sleep(recovery)
	r.beginMeasurement(workload.EqualMembers(memberCount), r.options.Rate*lightShare)
	r.sleepHold()
	r.result.setDetail("refusedAfterRecovery", float64(r.requests.Outcome().Refused))
	return nil
}

// busyTime returns the time for which slots of the order service were in use, summed over
// slots.
func (r *run) busyTime() time.Duration {
	var sum time.Duration
	for _, name := range r.orderServers() {
		sum += r.cluster.BusyTime(name)
	}
	return sum
}

// slotCount returns the number of slots of the order service.
func (r *run) slotCount() int {
	sum := 0
	for _, name := range r.orderServers() {
		sum += r.cluster.SlotsOf(name)
	}
	return sum
}

// returnUnderLoad removes a data centre from the order service and adds it again under
// load. It measures the share of requests that are answered, beginning three seconds
// after the removal.
func returnUnderLoad(r *run) error {
	r.settleAndMeasure(workload.EqualMembers(memberCount), r.options.Rate)
	const removed = "south"
	if err := r.cluster.SetSelector(orders, removed, nil); err != nil {
		return err
	}
	const removalDelay = 3 * time.Second
	time.Sleep(removalDelay)
	r.beginMeasurement(workload.EqualMembers(memberCount), r.options.Rate)
	r.sleepHold()
	if err := r.cluster.SetSelector(orders, removed, fleet.Selector{"app": {orders}}); err != nil {
		return err
	}
	r.sleepHold()
	outcome := r.requests.Outcome()
	r.result.setDetail("successShare", float64(outcome.Answered)/float64(max(outcome.Answered+outcome.Refused+outcome.Lost, 1)))
	return nil
}

// labKey is the fleet's key in the scenario "keys".
const labKey = "a key that only the lab uses"

// configureKeys makes processes authenticate their traffic.
func configureKeys(spec *cluster.Spec, _ *Options) { spec.Keys = []string{labKey} }

// forgeDatagrams sends datagrams with a key other than the fleet's to an agent and reads
// how many the agent dropped.
func forgeDatagrams(r *run) error {
	target := r.orderServers()[0]
	const forged = 100
	if err := r.cluster.SendForged(target, forged); err != nil {
		return err
	}
	r.sleepHold()
	counters, err := r.cluster.Counters(target)
	if err != nil {
		return err
	}
	dropped, _ := counters["drop_authentication"].(float64)
	r.result.setDetail("forged", forged)
	r.result.setDetail("dropped", dropped)
	return nil
}
