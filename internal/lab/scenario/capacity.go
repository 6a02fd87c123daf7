package scenario

import (
	"fmt"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/cluster"
)

// capacityScenarios returns the scenarios that measure resource usage. Runs with
// different sizes show how it grows with the fleet.
func capacityScenarios() []Scenario {
	return []Scenario{
		{Name: "capacity", Help: "control traffic, processor time and memory per process, and the time to apply a change", configure: configureFleet, execute: capacity},
		{Name: "agent", Help: "memory of idle flows and rate of short flows at one agent", configure: configureOneAgent, execute: measureAgent},
	}
}

const (
	defaultProcesses = 30
	// agentsPerBalancer is the ratio at the planned size of 6,500 targets behind 730
	// nodes.
	agentsPerBalancer  = 9
	backendsPerService = 8
	capacityFeeds      = 1
	timedChanges       = 10
)

// configureFleet sets the cluster's size to Options.Processes processes, with services
// of up to eight backend servers.
func configureFleet(spec *cluster.Spec, options *Options) {
	setDefault(&options.Processes, defaultProcesses)
	options.Feeds, options.Rate = capacityFeeds, 1
	// The number of the relay's sockets would grow with the square of the fleet's size.
	spec.Relayed = false
	spec.Balancers = max(1, options.Processes/(agentsPerBalancer+1))
	agents := options.Processes - spec.Balancers
	spec.Backends, spec.Services = nil, nil
	for i := 0; len(spec.Backends) < agents; i++ {
		service := orders
		if i > 0 {
			service = fmt.Sprintf("service-%d", i)
		}
		count := min(backendsPerService, agents-len(spec.Backends))
		spec.Backends = append(spec.Backends, cluster.SampleBackends(service, count, options.Slots)...)
		spec.Services = append(spec.Services, cluster.SampleService(service, i))
	}
}

// capacity measures control traffic, processor time and memory of a fleet in which
// nothing changes, then the time to apply changes.
func capacity(r *run) error {
	r.sleepHold()
	before, err := r.cluster.ProcessUsage()
	if err != nil {
		return err
	}
	bytesBefore, started := r.takeUsage(), time.Now()
	r.sleepHold()
	r.sleepHold()
	after, err := r.cluster.ProcessUsage()
	if err != nil {
		return err
	}
	seconds := time.Since(started).Seconds()
	bytesAfter := r.takeUsage()
	r.result.setDetail("processes", float64(len(after)))
	r.result.setDetail("restBytesPerSecond", meanIncrease(bytesBefore.bytes, bytesAfter.bytes)/seconds)
	r.result.setDetail("restReadsPerSecond", float64(bytesAfter.reads-bytesBefore.reads)/seconds)
	for _, role := range []fleet.Role{fleet.RoleBalancer, fleet.RoleAgent} {
		cpu, memory := meanUsage(before, after, r.cluster.Names(role))
		r.result.setDetail("corePercent_"+string(role), 100*cpu/seconds)
		r.result.setDetail("memoryMB_"+string(role), memory)
	}
	return r.timeChanges()
}

// meanUsage returns the processor time between two readings and the memory at the
// second one, each as the mean over the named processes.
func meanUsage(before, after map[string]cluster.Usage, names []string) (cpuSeconds, memoryMB float64) {
	for _, name := range names {
		cpuSeconds += after[name].CPUSeconds - before[name].CPUSeconds
		memoryMB += after[name].MemoryMB
	}
	count := float64(max(len(names), 1))
	return cpuSeconds / count, memoryMB / count
}

// timeChanges publishes label changes one after another and measures the longest time
// until every process has applied one.
func (r *run) timeChanges() error {
	var worst time.Duration
	servers := r.orderServers()
	for i := range timedChanges {
		labels := map[string]string{"app": orders, "round": fmt.Sprint(i)}
		started := time.Now()
		if err := r.cluster.SetLabels(labels, servers[i%len(servers)]); err != nil {
			return err
		}
		if err := r.cluster.WaitReady(readyTimeout); err != nil {
			return err
		}
		worst = max(worst, time.Since(started))
	}
	r.result.setDetail("worstChangeMilliseconds", milliseconds(worst))
	return nil
}

// configureOneAgent sets the cluster to one balancer and one agent that may own twice as
// many flows as the scenario opens.
func configureOneAgent(spec *cluster.Spec, options *Options) {
	setDefault(&options.Processes, 1000)
	options.Feeds, options.Rate = capacityFeeds, 1
	spec.Balancers = 1
	spec.Backends = cluster.SampleBackends(orders, 1, oneAgentSlots)
	spec.Services = spec.Services[:1]
	spec.Backends[0].Connections = 2 * options.Processes
}

// oneAgentSlots is the number of slots of the only backend server.
const oneAgentSlots = 1000

// measureAgent opens idle flows and reads the agent's memory, then closes them and
// measures the rate of short flows and the processor time for each. In this scenario
// Options.Processes is the number of idle flows.
func measureAgent(r *run) error {
	agent, balancer := r.orderServers()[0], r.balancers()[0]
	r.requests.Stop()
	before, err := r.cluster.ProcessUsage()
	if err != nil {
		return err
	}
	idleFlows, err := r.openIdleFlows(r.options.Processes)
	if err != nil {
		return err
	}
	r.sleepHold()
	after, err := r.cluster.ProcessUsage()
	if err != nil {
		return err
	}
	r.result.setDetail("idleFlows", float64(r.options.Processes))
	r.result.setDetail("memoryMBBefore", before[agent].MemoryMB)
	r.result.setDetail("memoryMBWithIdle", after[agent].MemoryMB)
	for _, conn := range idleFlows {
		_ = conn.Close()
	}
	flows, seconds, err := r.runShortFlows(r.options.Hold)
	if err != nil {
		return err
	}
	end, err := r.cluster.ProcessUsage()
	if err != nil {
		return err
	}
	r.result.setDetail("shortFlowsPerSecond", float64(flows)/seconds)
	r.result.setDetail("agentCoreMicrosecondsPerFlow", 1e6*(end[agent].CPUSeconds-after[agent].CPUSeconds)/float64(flows))
	r.result.setDetail("balancerCoreMicrosecondsPerFlow", 1e6*(end[balancer].CPUSeconds-after[balancer].CPUSeconds)/float64(flows))
	return nil
}
