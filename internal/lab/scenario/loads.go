package scenario

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/cluster"
	"github.com/radishmast/radishmast/internal/lab/workload"
)

// loadScenarios are the scenarios of load and fairness. Their rates follow from the
// capacity of the order service's backend servers.
func loadScenarios() []Scenario {
	return []Scenario{
		{Name: "balance", Help: "70% load over backend servers of speeds 1 to 4", configure: atLoad(0.7), execute: balance},
		{Name: "members", Help: "overload, with one member at ten times the flows of the others", configure: atLoad(1.2), execute: members},
		{Name: "cold", Help: "all backend servers start cold and fall over under full load", configure: configureCold, execute: coldStart},
		{Name: "overload", Help: "1.5 times the capacity for a while, then 50%", configure: atLoad(1.5), execute: overload},
		{Name: "return", Help: "a data centre is taken out and comes back at 60% load", configure: atLoad(0.6), execute: returnUnderLoad},
		{Name: "keys", Help: "datagrams are authenticated; forged ones are dropped", configure: configureKeys, execute: forgeDatagrams},
	}
}

const (
	loadServiceTime = 50 * time.Millisecond
	loadFeeds       = 20
)

// atLoad sets the request rate to a share of the capacity.
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

// settleAndMeasure lets weights settle and starts the measurement anew.
func (r *run) settleAndMeasure(members map[netip.Addr]float64, rate float64) {
	r.sleepHold()
	r.beginMeasurement(members, rate)
}

func balance(r *run) error {
	r.settleAndMeasure(workload.EqualMembers(memberCount), r.options.Rate)
	r.sleepHold()
	r.sleepHold()
	return nil
}

// members measures whether a member with many flows lengthens others' waits.
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
		wait := r.requests.MeanLatency(workload.Member(i))
		r.result.setDetail(fmt.Sprintf("meanWait%d", i), milliseconds(wait))
		if lowest == 0 || wait < lowest {
			lowest = wait
		}
		highest = max(highest, wait)
	}
	r.result.setDetail("meanWaitGreedy", milliseconds(r.requests.MeanLatency(greedy)))
	r.result.setDetail("spreadOfOthers", float64(highest)/float64(max(lowest, 1)))
	return nil
}

// warmUpRequests is the number of answers after which a cold server is warm.
const warmUpRequests = 40

func configureCold(spec *cluster.Spec, options *Options) {
	atLoad(0.6)(spec, options)
	options.Feeds = 1
	for i := range spec.Backends {
		spec.Backends[i].WarmUpRequests = warmUpRequests
	}
}

// coldStart runs from cold, then restarts every backend server at once.
func coldStart(r *run) error {
	r.sleepHold()
	fallen := r.crashes()
	r.result.setDetail("fallsAtStart", float64(fallen))
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
	r.result.setDetail("fallsAfterRestart", float64(r.crashes()-fallen))
	return nil
}

func (r *run) crashes() int {
	total := 0
	for _, name := range r.orderServers() {
		total += r.cluster.Crashes(name)
	}
	return total
}

// overload measures goodput at 1.5 times the capacity and the wait afterwards.
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
	r.result.setDetail("busyShare", (r.busyTime()-busyBefore).Seconds()/seconds/float64(r.slots()))
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

func (r *run) busyTime() time.Duration {
	var sum time.Duration
	for _, name := range r.orderServers() {
		sum += r.cluster.BusyTime(name)
	}
	return sum
}

func (r *run) slots() int {
	sum := 0
	for _, name := range r.orderServers() {
		sum += r.cluster.SlotsOf(name)
	}
	return sum
}

// returnUnderLoad takes a data centre out and brings it back under load.
func returnUnderLoad(r *run) error {
	r.settleAndMeasure(workload.EqualMembers(memberCount), r.options.Rate)
	const out = "south"
	if err := r.cluster.SetSelector(orders, out, nil); err != nil {
		return err
	}
	const cutTime = 3 * time.Second
	time.Sleep(cutTime)
	r.beginMeasurement(workload.EqualMembers(memberCount), r.options.Rate)
	r.sleepHold()
	if err := r.cluster.SetSelector(orders, out, fleet.Selector{"app": {orders}}); err != nil {
		return err
	}
	r.sleepHold()
	outcome := r.requests.Outcome()
	r.result.setDetail("successShare", float64(outcome.Answered)/float64(max(outcome.Answered+outcome.Refused+outcome.Lost, 1)))
	return nil
}

const labKey = "a key that only the lab uses"

func configureKeys(spec *cluster.Spec, _ *Options) { spec.Keys = []string{labKey} }

// forgeDatagrams sends datagrams without the fleet's key to an agent.
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
