package scenario

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/cluster"
)

// changes are the planned changes.
func changes() []Scenario {
	return []Scenario{
		{Name: "steady", Help: "nothing changes", act: steady},
		{Name: "replace", Help: "every balancer is replaced, one after another", act: replace},
		{Name: "drain", Help: "half of the backend servers drain", act: drain},
		{Name: "selectors", Help: "selectors are flipped to other labels at one stroke, and back", shape: halfLabelled, act: selectors},
		{Name: "outage", Help: "a data centre is taken out and comes back", act: outage},
	}
}

func steady(r *run) error {
	r.hold()
	return nil
}

// replace adds a balancer and terminates an old one until all are new.
func replace(r *run) error {
	return each(r.balancers(), func(old string) error {
		if _, err := r.cluster.AddBalancer(); err != nil {
			return err
		}
		if err := r.cluster.WaitReady(readyTimeout); err != nil {
			return err
		}
		return r.retire(old)
	})
}

// retire lets a balancer leave and takes it off the list when it has ended.
func (r *run) retire(name string) error {
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
	if err := each(leaving, r.cluster.Terminate); err != nil {
		return err
	}
	const grace = 2 * time.Second
	time.Sleep(grace)
	before := r.runsAt(leaving)
	r.hold()
	r.result.detail("newAtLeaving", float64(r.runsAt(leaving)-before))
	return nil
}

func (r *run) runsAt(names []string) int {
	runs := 0
	for _, name := range names {
		runs += r.cluster.RequestLog().RunsAt(name)
	}
	return runs
}

// halfLabelled gives every second backend server the label set=b, the others
// set=a, and selects set=a.
func halfLabelled(spec *cluster.Spec, _ *Options) {
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
				spec.Services[i].Selectors[dataCentre] = selectSet("a")
			}
		}
	}
}

func selectSet(set string) fleet.Selector {
	return fleet.Selector{"app": {orders}, "set": {set}}
}

// selectors flips the selected set twice.
func selectors(r *run) error {
	for _, set := range []string{"b", "a"} {
		if err := r.cluster.SetSelectors(orders, selectSet(set)); err != nil {
			return err
		}
		r.hold()
	}
	return nil
}

// outage takes a data centre out of the order service and brings it back. Feeds
// at its backend servers end; how many there were is in the details.
func outage(r *run) error {
	const out = "south"
	owned, err := r.ownedIn(out)
	if err != nil {
		return err
	}
	r.result.detail("flowsInDataCentre", float64(owned))
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
	left, err := r.ownedIn(out)
	if err != nil {
		return err
	}
	r.result.detail("flowsLeftAfter3s", float64(left))
	r.hold()
	r.result.detail("requestsAfter3s", float64(r.runsAt(servers)-before))
	if err := r.cluster.SetSelector(orders, out, fleet.Selector{"app": {orders}}); err != nil {
		return err
	}
	r.hold()
	r.result.detail("requestsAfterReturn", float64(r.runsAt(servers)-before))
	return nil
}

// ownedIn counts the flows of the order service's agents in a data centre.
func (r *run) ownedIn(dataCentre string) (int, error) {
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
