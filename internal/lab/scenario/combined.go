package scenario

import (
	"errors"
	"time"
)

// combinedScenarios are failures and planned changes at the same time.
func combinedScenarios() []Scenario {
	return []Scenario{
		{Name: "replace-drain", Help: "every balancer is replaced while half of the backend servers drain and the platform is stale", execute: replaceDuringDrain},
		{Name: "outage-partition", Help: "a data centre is taken out and comes back during a partition of another", execute: outageDuringPartition},
		{Name: "pause-flip", Help: "an agent and a balancer are paused around a flip of selectors", configure: configureTwoLabelSets, execute: pauseAroundFlip},
	}
}

// replaceDuringDrain makes the platform stale after each publication, so that
// only the processes that read at once and their peers know of it.
func replaceDuringDrain(r *run) error {
	for i, name := range r.orderServers() {
		if i%2 == 0 {
			if err := r.cluster.Terminate(name); err != nil {
				return err
			}
		}
	}
	return forEach(r.balancers(), func(old string) error {
		if _, err := r.cluster.AddBalancer(); err != nil {
			return err
		}
		if err := r.cluster.WaitReady(readyTimeout); err != nil {
			return err
		}
		r.cluster.Platform().SetFirstRevisions(true)
		time.Sleep(settleTime)
		r.cluster.Platform().SetFirstRevisions(false)
		return r.removeBalancer(old)
	})
}

func outageDuringPartition(r *run) error {
	r.cluster.Partition("west")
	failure := outage(r)
	r.cluster.ClearLinkFaults()
	r.sleepHold()
	return failure
}

// pauseAroundFlip freezes an agent and a balancer before the selectors change and
// thaws them afterwards.
func pauseAroundFlip(r *run) error {
	agent, balancer := r.orderServers()[0], r.balancers()[0]
	if err := errors.Join(r.cluster.Pause(agent), r.cluster.Pause(balancer)); err != nil {
		return err
	}
	failure := r.cluster.SetSelectors(orders, setSelector("b"))
	r.sleepHold()
	if err := errors.Join(failure, r.cluster.Resume(agent), r.cluster.Resume(balancer)); err != nil {
		return err
	}
	r.sleepHold()
	return r.cluster.SetSelectors(orders, setSelector("a"))
}
