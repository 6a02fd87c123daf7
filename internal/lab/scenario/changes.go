package scenario

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/cluster"
)

// changeScenarios are the planned changeScenarios.
func changeScenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Help: "nothing changes", execute: steady},
		{Name: "replace", Help: "every balancer is replaced, one after another", execute: replace},
		{Name: "drain", Help: "half of the backend servers drain", execute: drain},
		{Name: "selectors", Help: "selectors are flipped to other labels at one stroke, and back", configure: configureTwoLabelSets, execute: selectors},
		{Name: "outage", Help: "a data centre is taken out and comes back", execute: outage},
	}
}

func steady(r *run) error {
	r.sleepHold()
	return nil
}

// replace adds a balancer and terminates an old one until all are new.
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

// removeBalancer lets a balancer leave and takes it off the list when it has ended.
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

// drain terminates every second agent; its feeds keep it alive. It counts the
// requests that leaving backend servers were given after two seconds.
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

func (r *run) runsAt(names []string) int {
	runs := 0
	for _, name := range names {
		runs += r.cluster.RequestLog().RunsAt(name)
	}
	return runs
}

// configureTwoLabelSets gives every second backend server the label set=b, the others
// set=a, and selects set=a.
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
				spec.Services[i].Selectors[dataCentre] = setSelector("a")
			}
		}
	}
}

func setSelector(set string) fleet.Selector {
	return fleet.Selector{"app": {orders}, "set": {set}}
}

// selectors flips the selected set twice.
func selectors(r *run) error {
	for _, set := range []string{"b", "a"} {
		if err := r.cluster.SetSelectors(orders, setSelector(set)); err != nil {
			return err
		}
		r.sleepHold()
	}
	return nil
}

// outage takes a data centre out of the order service and brings it back. Feeds
// at its backend servers end; how many there were is in the details.
func outage(r *run) error {
	const out = "south"
	owned, err := r.flowsOwnedIn(out)
	if err != nil {
		return err
	}
	r.result.setDetail("flowsInDataCentre", float64(owned))
	if err := r.cluster.SetSelector(orders, out, nil); err != nil {
		return err
	}
	const grace = 3 * time.Second
	time.Sleep(grace)
	var servers []string
	for _, name := range r.orderServers() {
		if r.cluster.DataCentreOf(name) == out {
			servers = append(servers, name)
		}
	}
	before := r.runsAt(servers)
	left, err := r.flowsOwnedIn(out)
	if err != nil {
		return err
	}
	r.result.setDetail("flowsLeftAfter3s", float64(left))
	r.sleepHold()
	r.result.setDetail("requestsAfter3s", float64(r.runsAt(servers)-before))
	if err := r.cluster.SetSelector(orders, out, fleet.Selector{"app": {orders}}); err != nil {
		return err
	}
	r.sleepHold()
	r.result.setDetail("requestsAfterReturn", float64(r.runsAt(servers)-before))
	return nil
}

// flowsOwnedIn counts the flows of the order service's agents in a data centre.
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
