package scenario

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/cluster"
	"github.com/radishmast/radishmast/internal/lab/workload"
)

// loads are the scenarios of load and fairness. Their rates follow from the
// capacity of the order service's backend servers.
func loads() []Scenario {
	return []Scenario{
		{Name: "balance", Help: "70% load over backend servers of speeds 1 to 4", shape: atLoad(0.7), act: balance},
		{Name: "members", Help: "overload, with one member at ten times the flows of the others", shape: atLoad(1.2), act: members},
		{Name: "cold", Help: "all backend servers start cold and fall over under full load", shape: cold, act: coldStart},
		{Name: "overload", Help: "1.5 times the capacity for a while, then 50%", shape: atLoad(1.5), act: overload},
		{Name: "return", Help: "a data centre is taken out and comes back at 60% load", shape: atLoad(0.6), act: returnOf},
		{Name: "keys", Help: "datagrams are authenticated; forged ones are dropped", shape: keyed, act: forge},
	}
}

const (
	loadWork  = 50 * time.Millisecond
	loadFeeds = 20
)

// atLoad sets the request rate to a share of the capacity.
func atLoad(share float64) func(*cluster.Spec, *Options) {
	return func(spec *cluster.Spec, options *Options) {
		options.MeanServiceTime = loadWork
		options.Feeds = loadFeeds
		var speed float64
		for _, b := range spec.Backends {
			if b.Service == orders {
				speed += b.Speed * float64(b.Slots)
			}
		}
		options.Rate = share * speed / loadWork.Seconds()
	}
}

// warm lets weights settle and starts the measurement anew.
func (r *run) warm(members map[netip.Addr]float64, rate float64) {
	r.hold()
	r.begin(members, rate)
}

func balance(r *run) error {
	r.warm(workload.EqualMembers(memberCount), r.options.Rate)
	r.hold()
	r.hold()
	return nil
}

// members measures whether a member with many flows lengthens others' waits.
func members(r *run) error {
	shares := workload.EqualMembers(memberCount)
	greedy := workload.Member(1)
	shares[greedy] = 10
	r.warm(shares, r.options.Rate)
	r.hold()
	r.hold()
	r.requests.Stop()
	var lowest, highest time.Duration
	for i := 2; i <= memberCount; i++ {
		wait := r.requests.MeanLatency(workload.Member(i))
		r.result.detail(fmt.Sprintf("meanWait%d", i), milliseconds(wait))
		if lowest == 0 || wait < lowest {
			lowest = wait
		}
		highest = max(highest, wait)
	}
	r.result.detail("meanWaitGreedy", milliseconds(r.requests.MeanLatency(greedy)))
	r.result.detail("spreadOfOthers", float64(highest)/float64(max(lowest, 1)))
	return nil
}

// warmRequests is the number of answers after which a cold server is warm.
const warmRequests = 40

func cold(spec *cluster.Spec, options *Options) {
	atLoad(0.6)(spec, options)
	options.Feeds = 1
	for i := range spec.Backends {
		spec.Backends[i].WarmUpRequests = warmRequests
	}
}

// coldStart runs from cold, then restarts every backend server at once.
func coldStart(r *run) error {
	r.hold()
	fallen := r.falls()
	r.result.detail("fallsAtStart", float64(fallen))
	for _, name := range r.orderServers() {
		r.cluster.StopBackend(name)
	}
	for _, name := range r.orderServers() {
		if err := r.cluster.RestartBackend(name); err != nil {
			return err
		}
	}
	r.hold()
	r.hold()
	r.result.detail("fallsAfterRestart", float64(r.falls()-fallen))
	return nil
}

func (r *run) falls() int {
	total := 0
	for _, name := range r.orderServers() {
		total += r.cluster.Crashes(name)
	}
	return total
}

// overload measures goodput at 1.5 times the capacity and the wait afterwards.
func overload(r *run) error {
	r.warm(workload.EqualMembers(memberCount), r.options.Rate)
	r.hold()
	before := r.requests.Outcome()
	busyBefore := r.busy()
	started := time.Now()
	r.hold()
	seconds := time.Since(started).Seconds()
	after := r.requests.Outcome()
	r.result.detail("goodputPerSecond", float64(after.Answered-before.Answered)/seconds)
	r.result.detail("busyShare", (r.busy()-busyBefore).Seconds()/seconds/float64(r.slots()))
	r.requests.Stop()
	const recovery = 3 * time.Second
	const lightShare = 1.0 / 3
	r.begin(workload.EqualMembers(memberCount), r.options.Rate*lightShare)
	time.Sleep(recovery)
	r.begin(workload.EqualMembers(memberCount), r.options.Rate*lightShare)
	r.hold()
	r.result.detail("refusedAfterRecovery", float64(r.requests.Outcome().Refused))
	return nil
}

func (r *run) busy() time.Duration {
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

// returnOf takes a data centre out and brings it back under load.
func returnOf(r *run) error {
	r.warm(workload.EqualMembers(memberCount), r.options.Rate)
	const out = "south"
	if err := r.cluster.SetSelector(orders, out, nil); err != nil {
		return err
	}
	const cutTime = 3 * time.Second
	time.Sleep(cutTime)
	r.begin(workload.EqualMembers(memberCount), r.options.Rate)
	r.hold()
	if err := r.cluster.SetSelector(orders, out, fleet.Selector{"app": {orders}}); err != nil {
		return err
	}
	r.hold()
	outcome := r.requests.Outcome()
	r.result.detail("successShare", float64(outcome.Answered)/float64(max(outcome.Answered+outcome.Refused+outcome.Lost, 1)))
	return nil
}

const labKey = "a key that only the lab uses"

func keyed(spec *cluster.Spec, _ *Options) { spec.Keys = []string{labKey} }

// forge sends datagrams without the fleet's key to an agent.
func forge(r *run) error {
	target := r.orderServers()[0]
	const forged = 100
	if err := r.cluster.SendForged(target, forged); err != nil {
		return err
	}
	r.hold()
	counters, err := r.cluster.Counters(target)
	if err != nil {
		return err
	}
	dropped, _ := counters["drop_authentication"].(float64)
	r.result.detail("forged", forged)
	r.result.detail("dropped", dropped)
	return nil
}
