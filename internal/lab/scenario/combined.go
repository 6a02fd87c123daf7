package scenario

import (
	"errors"
	"time"
)

// combinedScenarios returns the scenarios in which failures and planned changes coincide.
func combinedScenarios() []Scenario {
	return []Scenario{
		{Name: "replace-drain", Help: "every balancer is replaced while half of the backend servers drain and the platform is stale", execute: replaceDuringDrain},
		{Name: "outage-partition", Help: "a data centre is taken out and comes back during a partition of another", execute: outageDuringPartition},
		{Name: "pause-flip", Help: "an agent and a balancer are paused while selectors change", configure: configureTwoLabelSets, execute: pauseDuringSelectorChange},
	}
}

// replaceDuringDrain terminates every second agent, then replaces each balancer. When a
// new balancer serves, the platform returns its first documents for a while, so that
// only processes that have read the change already, and their peers, know of it.
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

// outageDuringPartition runs the outage of one data centre while another is cut off.
func outageDuringPartition(r *run) error {
	r.cluster.Partition("west")
	failure := outage(r)
	r.cluster.ClearLinkFaults()
	r.sleepHold()
	return failure
}

// pauseDuringSelectorChange pauses an agent and a balancer before the selectors change
// and resumes them afterwards, so that both resume with outdated selectors.
func pauseDuringSelectorChange(r *run) error {
	agent, balancer := r.orderServers()[0], r.balancers()[0]
	if err := errors.Join(r.cluster.Pause(agent), r.cluster.Pause(balancer)); err != nil {
		return err
	}
	failure := r.cluster.SetSelectors(orders, labelSetSelector("b"))
	r.sleepHold()
	if err := errors.Join(failure, r.cluster.Resume(agent), r.cluster.Resume(balancer)); err != nil {
		return err
	}
	r.sleepHold()
	return r.cluster.SetSelectors(orders, labelSetSelector("a"))
}
