package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// ownerLists holds, for the view in force, the agents that may own flows of each service that
// was searched. A list is the same for all packets, of which thousands may arrive at once.
type ownerLists struct {
	// includeOthers reports whether the lists include agents that are no targets.
	includeOthers bool
	byService     map[fleet.ServiceID][]*fleet.Target
}

// newOwnerLists returns lists of no service yet.
func newOwnerLists(includeOthers bool) ownerLists {
	return ownerLists{includeOthers: includeOthers, byService: make(map[fleet.ServiceID][]*fleet.Target)}
}

// queryTargets returns the agents that may own a flow, have not been visited and are likely to
// reply: those that are reachable and not suspected.
func (a *Agent) queryTargets(now time.Time, service *fleet.RoutedService, visited []fleet.InstanceID) []*fleet.Target {
	var targets []*fleet.Target
	for _, target := range a.possibleOwners(now, service) {
		if target.ID() == a.config.Self || !target.IsReachable() || target.IsSuspected() || slices.Contains(visited, target.ID()) {
			continue
		}
		targets = append(targets, target)
	}
	return targets
}

// possibleOwners returns the agents that may own flows of a service: its targets and, if this
// agent is a newcomer, all other agents unless there are too many.
func (a *Agent) possibleOwners(now time.Time, service *fleet.RoutedService) []*fleet.Target {
	searchesAll := a.config.Carried && fleet.IsNewcomer(a.startedAt, now)
	if a.owners.includeOthers != searchesAll {
		a.owners = newOwnerLists(searchesAll)
	}
	owners, known := a.owners.byService[service.ID()]
	if !known {
		owners = a.listOwners(service, searchesAll)
		a.owners.byService[service.ID()] = owners
	}
	return owners
}

// listOwners returns the targets of a service and, if searchesAll, all other agents unless there
// are too many.
func (a *Agent) listOwners(service *fleet.RoutedService, searchesAll bool) []*fleet.Target {
	owners := slices.Collect(service.All())
	if !searchesAll {
		return owners
	}
	listed := make(map[fleet.InstanceID]bool, len(owners))
	for _, target := range owners {
		listed[target.ID()] = true
	}
	for _, other := range a.view.OneServicePerPool() {
		for target := range other.All() {
			if !listed[target.ID()] {
				listed[target.ID()] = true
				owners = append(owners, target)
			}
		}
	}
	if len(owners) > fleet.MaxNewcomerSearch {
		return owners[:len(service.Targets())]
	}
	return owners
}

// nextOutsider returns the next agent to visit that is not a target of the service, or nil if
// there is none, the packet was relayed, or this agent is no newcomer. It leaves out agents that
// are suspected: a packet sent there is most likely lost, and few of them own a flow of the service.
func (a *Agent) nextOutsider(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) *fleet.Target {
	if received.Relayed {
		return nil
	}
	visited := a.visitedWithSelf(received.Visited)
	for _, target := range a.possibleOwners(now, service)[len(service.Targets()):] {
		if target.IsReachable() && !target.IsSuspected() && !slices.Contains(visited, target.ID()) {
			return target
		}
	}
	return nil
}

// ownerTarget returns the target of an agent that owns a flow of a service, or nil if it is
// not in view any more.
func (a *Agent) ownerTarget(now time.Time, service *fleet.RoutedService, id fleet.InstanceID) *fleet.Target {
	owners := a.possibleOwners(now, service)
	index := slices.IndexFunc(owners, func(target *fleet.Target) bool { return target.ID() == id })
	if index < 0 {
		return nil
	}
	return owners[index]
}
