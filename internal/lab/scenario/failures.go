package scenario

import (
	"errors"
	"time"

	"github.com/radishmast/radishmast/internal/lab/relay"
)

// failureScenarios are the failureScenarios that the brief names, alone and together.
func failureScenarios() []Scenario {
	return []Scenario{
		{Name: "partition", Help: "one data centre is cut off from the others, then healed", execute: partition},
		{Name: "pause", Help: "each balancer is stopped for a while, in turn", execute: pauseBalancers},
		{Name: "pause-agent", Help: "one agent is stopped for a while", execute: pauseAgent},
		{Name: "stale", Help: "the platform is stale, then down, while processes restart", execute: stale},
		{Name: "silent", Help: "open connections between processes go silent while new ones work", execute: silent},
		{Name: "loss", Help: "every link between processes loses, delays and doubles", execute: loss},
		{Name: "storm", Help: "replacement, drain, stale platform, partition and pauses at once", execute: storm},
	}
}

func partition(r *run) error {
	r.cluster.Partition("west")
	r.sleepHold()
	r.cluster.ClearLinkFaults()
	r.sleepHold()
	return nil
}

func pauseBalancers(r *run) error { return forEach(r.balancers(), r.pause) }

func pauseAgent(r *run) error {
	if err := r.pause(r.orderServers()[0]); err != nil {
		return err
	}
	r.sleepHold()
	return nil
}

// pause freezes an instance for a while.
func (r *run) pause(name string) error {
	if err := r.cluster.Pause(name); err != nil {
		return err
	}
	r.sleepHold()
	return r.cluster.Resume(name)
}

// stale deselects a backend server, then restarts a balancer while the platform
// shows the documents of before and another while it is down. Both have to learn
// the change from peers.
func stale(r *run) error {
	balancers := r.balancers()
	moved := r.orderServers()[0]
	if err := r.cluster.SetLabels(map[string]string{"app": "spare"}, moved); err != nil {
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
	r.cluster.Platform().SetDown(true)
	defer r.cluster.Platform().SetDown(false)
	if err := r.restart(balancers[1]); err != nil {
		return err
	}
	r.sleepHold()
	return r.cluster.WaitReady(readyTimeout)
}

// restart kills an instance and starts it again at once.
func (r *run) restart(name string) error {
	if err := r.cluster.Kill(name); err != nil {
		return err
	}
	if err := r.cluster.Launch(name); err != nil {
		return err
	}
	return r.cluster.WaitReady(readyTimeout)
}

// silent makes the open paths between every balancer and agent go silent.
func silent(r *run) error {
	for _, balancer := range r.balancers() {
		for _, agent := range r.orderServers() {
			r.cluster.BlackholeOpen(balancer, agent)
		}
	}
	r.sleepHold()
	return nil
}

func loss(r *run) error {
	r.cluster.SetDefaultLinkFault(relay.Fault{Drop: 0.05, Duplicate: 0.05, Delay: 2 * time.Millisecond})
	r.sleepHold()
	r.sleepHold()
	r.cluster.SetDefaultLinkFault(relay.Fault{})
	return nil
}

// storm brings everything at once: balancers are replaced and one is frozen
// while backend servers drain, the platform is stale and a data centre is cut off.
func storm(r *run) error {
	r.cluster.SetDefaultLinkFault(relay.Fault{Drop: 0.01, Duplicate: 0.01, Delay: time.Millisecond})
	servers := r.orderServers()
	if err := forEach(servers[:2], r.cluster.Terminate); err != nil {
		return err
	}
	r.cluster.Partition("west")
	frozen := servers[3]
	if err := r.cluster.Pause(frozen); err != nil {
		return err
	}
	r.sleepHold()
	failure := errors.Join(r.cluster.Resume(frozen), replaceOne(r))
	r.cluster.Platform().SetStale(true)
	r.sleepHold()
	r.cluster.ClearLinkFaults()
	r.cluster.Platform().SetStale(false)
	r.sleepHold()
	return failure
}

func replaceOne(r *run) error {
	old := r.balancers()[0]
	if _, err := r.cluster.AddBalancer(); err != nil {
		return err
	}
	return r.removeBalancer(old)
}
