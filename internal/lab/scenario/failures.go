package scenario

import (
	"errors"
	"time"

	"github.com/radishmast/radishmast/internal/lab/relay"
)

// failureScenarios returns the scenarios of the failures that radishmast has to
// withstand, each alone and several at once.
func failureScenarios() []Scenario {
	return []Scenario{
		{Name: "partition", Help: "one data centre is cut off from the others, then healed", execute: partition},
		{Name: "pause", Help: "each balancer is paused for a while, in turn", execute: pauseBalancers},
		{Name: "pause-agent", Help: "one agent is paused for a while", execute: pauseAgent},
		{Name: "stale", Help: "the platform is stale, then down, while processes restart", execute: stale},
		{Name: "silent", Help: "all traffic of open connections between processes is discarded while new ones work", execute: silent},
		{Name: "loss", Help: "every link between processes drops, delays and duplicates", execute: loss},
		{Name: "storm", Help: "replacement, drain, stale platform, partition and pauses at once", execute: storm},
	}
}

// partition cuts one data centre off, then reconnects it.
func partition(r *run) error {
	r.cluster.Partition("west")
	r.sleepHold()
	r.cluster.ClearLinkFaults()
	r.sleepHold()
	return nil
}

// pauseBalancers pauses the balancers one after another.
func pauseBalancers(r *run) error { return forEach(r.balancers(), r.pause) }

// pauseAgent pauses one agent and then gives it time to recover.
func pauseAgent(r *run) error {
	if err := r.pause(r.orderServers()[0]); err != nil {
		return err
	}
	r.sleepHold()
	return nil
}

// pause pauses an instance for Options.Hold.
func (r *run) pause(name string) error {
	if err := r.cluster.Pause(name); err != nil {
		return err
	}
	r.sleepHold()
	return r.cluster.Resume(name)
}

// stale deselects a backend server. It then restarts one balancer while the platform
// returns the documents of before, and another while the platform is down. Both have to
// learn the change from peers.
func stale(r *run) error {
	balancers := r.balancers()
	deselected := r.orderServers()[0]
	if err := r.cluster.SetLabels(map[string]string{"app": "spare"}, deselected); err != nil {
		return err
	}
	if err := r.cluster.WaitReady(readyTimeout); err != nil {
		return err
	}
	r.cluster.Platform().SetFirstRevisions(true)
	if err := r.restart(balancers[0]); err != nil {
		return err
	}
	r.cluster.Platform().SetFirstRevisions(false)
	r.cluster.Platform().SetUnavailable(true)
	defer r.cluster.Platform().SetUnavailable(false)
	if err := r.restart(balancers[1]); err != nil {
		return err
	}
	r.sleepHold()
	return r.cluster.WaitReady(readyTimeout)
}

// restart kills an instance, starts it again at once and waits until it serves.
func (r *run) restart(name string) error {
	if err := r.cluster.Kill(name); err != nil {
		return err
	}
	if err := r.cluster.Launch(name); err != nil {
		return err
	}
	return r.cluster.WaitReady(readyTimeout)
}

// silent discards all traffic of the paths and connections that are open between each
// balancer and each agent.
func silent(r *run) error {
	for _, balancer := range r.balancers() {
		for _, agent := range r.orderServers() {
			r.cluster.BlackholeOpen(balancer, agent)
		}
	}
	r.sleepHold()
	return nil
}

// loss makes every link between processes drop, delay and duplicate.
func loss(r *run) error {
	r.cluster.SetDefaultLinkFault(relay.Fault{Drop: 0.05, Duplicate: 0.05, Delay: 2 * time.Millisecond})
	r.sleepHold()
	r.sleepHold()
	r.cluster.SetDefaultLinkFault(relay.Fault{})
	return nil
}

// storm combines changes and failures over lossy links. Two backend servers drain, a
// data centre is cut off and an agent is paused and resumed; then a balancer is
// replaced, and the platform is stale until the data centre is reconnected.
func storm(r *run) error {
	r.cluster.SetDefaultLinkFault(relay.Fault{Drop: 0.01, Duplicate: 0.01, Delay: time.Millisecond})
	servers := r.orderServers()
	if err := forEach(servers[:2], r.cluster.Terminate); err != nil {
		return err
	}
	r.cluster.Partition("west")
	paused := servers[3]
	if err := r.cluster.Pause(paused); err != nil {
		return err
	}
	r.sleepHold()
	failure := errors.Join(r.cluster.Resume(paused), replaceOne(r))
	r.cluster.Platform().SetStale(true)
	r.sleepHold()
	r.cluster.ClearLinkFaults()
	r.cluster.Platform().SetStale(false)
	r.sleepHold()
	return failure
}

// replaceOne adds a balancer and removes an old one.
func replaceOne(r *run) error {
	old := r.balancers()[0]
	if _, err := r.cluster.AddBalancer(); err != nil {
		return err
	}
	return r.removeBalancer(old)
}
