package scenario

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/cluster"
)

// changeScenarios returns the scenarios of planned changes.
func changeScenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Help: "nothing changes", execute: steady},
		{Name: "replace", Help: "every balancer is replaced, one after another", execute: replace},
		{Name: "drain", Help: "half of the backend servers drain", execute: drain},
		{Name: "selectors", Help: "selectors switch to other labels in all data centres at once, and back", configure: configureTwoLabelSets, execute: selectors},
		{Name: "outage", Help: "a data centre is taken out and comes back", execute: outage},
	}
}

// steady changes nothing.
func steady(r *run) error {
	r.sleepHold()
	return nil
}

// replace replaces each balancer in turn: it adds a new one, waits until that serves and
// removes the old one.
func replace(r *run) error {
	return forEach(r.balancers(), func(old string) error {
		if _, err := r.cluster.AddBalancer(); err != nil {
			return err
		}
		if err := r.cluster.WaitReady(readyTimeout); err != nil {
			return err
		}
		return r.removeBalancer(old)
	})
}

// removeBalancer withdraws a balancer from the fabric, terminates it and removes it when
// its process has exited.
func (r *run) removeBalancer(name string) error {
	if err := r.cluster.Withdraw(name); err != nil {
		return err
	}
	if err := r.cluster.Terminate(name); err != nil {
		return err
	}
	if err := r.cluster.WaitExited(name, readyTimeout); err != nil {
		return err
	}
	return r.cluster.Remove(name)
}

// drain terminates every second agent. Such an agent keeps running as long as it has
// feeds. drain counts the requests that the leaving backend servers get later than two
// seconds after that.
func drain(r *run) error {
	var leaving []string
	for i, name := range r.orderServers() {
		if i%2 == 0 {
			leaving = append(leaving, name)
		}
	}
	if err := forEach(leaving, r.cluster.Terminate); err != nil {
		return err
	}
	const grace = 2 * time.Second
	time.Sleep(grace)
	before := r.runsAt(leaving)
	r.sleepHold()
	r.result.setDetail("newAtLeaving", float64(r.runsAt(leaving)-before))
	return nil
}

// runsAt returns the number of requests that the named backend servers ran.
func (r *run) runsAt(names []string) int {
	runs := 0
	for _, name := range names {
		runs += r.cluster.RequestLog().RunsAt(name)
	}
	return runs
}

// configureTwoLabelSets gives every second backend server the label set=b and the others
// set=a. The order service selects set=a.
func configureTwoLabelSets(spec *cluster.Spec, _ *Options) {
	for i := range spec.Backends {
		set := "a"
		if i%2 == 1 {
			set = "b"
		}
		spec.Backends[i].Labels = map[string]string{"app": spec.Backends[i].Service, "set": set}
	}
	for i := range spec.Services {
		if spec.Services[i].Name == orders {
			for dataCentre := range spec.Services[i].Selectors {
				spec.Services[i].Selectors[dataCentre] = labelSetSelector("a")
			}
		}
	}
}

// labelSetSelector returns the selector of the order service's backend servers in a label set.
func labelSetSelector(set string) fleet.Selector {
	return fleet.Selector{"app": {orders}, "set": {set}}
}

// selectors makes the order service select the other label set, and then the first
// again.
func selectors(r *run) error {
	for _, set := range []string{"b", "a"} {
		if err := r.cluster.SetSelectors(orders, labelSetSelector(set)); err != nil {
			return err
		}
		r.sleepHold()
	}
	return nil
}

// outage removes a data centre from the order service and adds it again. Feeds at its
// backend servers break; the detail flowsInDataCentre gives the number of flows there
// before. Three seconds after the removal, outage reads how many flows are left and
// begins to count the requests that still arrive.
func outage(r *run) error {
	const removed = "south"
	owned, err := r.flowsOwnedIn(removed)
	if err != nil {
		return err
	}
	r.result.setDetail("flowsInDataCentre", float64(owned))
	if err := r.cluster.SetSelector(orders, removed, nil); err != nil {
		return err
	}
	const grace = 3 * time.Second
	time.Sleep(grace)
	var servers []string
	for _, name := range r.orderServers() {
		if r.cluster.DataCentreOf(name) == removed {
			servers = append(servers, name)
		}
	}
	before := r.runsAt(servers)
	left, err := r.flowsOwnedIn(removed)
	if err != nil {
		return err
	}
	r.result.setDetail("flowsLeftAfter3s", float64(left))
	r.sleepHold()
	r.result.setDetail("requestsAfter3s", float64(r.runsAt(servers)-before))
	if err := r.cluster.SetSelector(orders, removed, fleet.Selector{"app": {orders}}); err != nil {
		return err
	}
	r.sleepHold()
	r.result.setDetail("requestsAfterReturn", float64(r.runsAt(servers)-before))
	return nil
}

// flowsOwnedIn returns the number of flows that the order service's agents in a data
// centre own.
func (r *run) flowsOwnedIn(dataCentre string) (int, error) {
	total := 0
	for _, name := range r.orderServers() {
		if r.cluster.DataCentreOf(name) != dataCentre {
			continue
		}
		owned, err := r.cluster.FlowsOwned(name)
		if err != nil {
			return 0, err
		}
		total += owned
	}
	return total, nil
}
