package agent

import (
	"iter"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/ownership"
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

// Limits on the datagrams that an agent sends to agents outside a service to search them for
// owners of its flows. They bound the cost of the search in a fleet of any size. What exceeds
// them is not searched, and its flow not denied.
const (
	// outsiderRate is in datagrams per second.
	outsiderRate = 2000
	// outsiderBurst is in datagrams.
	outsiderBurst = 2000
)

// queryTargets returns the agents to query in one round for the owners of a service's flows. The
// agents outside the service are among them if outsiderRate allows it.
func (a *Agent) queryTargets(now time.Time, service *fleet.RoutedService) []*fleet.Target {
	owners := a.possibleOwners(now, service)
	inside := len(service.Targets())
	if outside := len(owners) - inside; outside > 0 && !a.outsiders.AllowN(now, outside) {
		owners = owners[:inside]
	}
	var targets []*fleet.Target
	for _, target := range owners {
		if a.isLikelyToReply(target) && a.isAware(now, target) {
			targets = append(targets, target)
		}
	}
	return targets
}

// isAware reports whether a target may know all flows of its backend server, so that it is worth
// querying.
func (a *Agent) isAware(now time.Time, target *fleet.Target) bool {
	return !now.Before(a.lookups.unaware[target.ID()])
}

// hasQueryTarget reports whether there is an agent to query for the owner of a flow that has
// given no answer yet.
func (a *Agent) hasQueryTarget(now time.Time, service *fleet.RoutedService, evidence ownership.Evidence) bool {
	return slices.ContainsFunc(a.possibleOwners(now, service), func(target *fleet.Target) bool {
		return a.isLikelyToReply(target) && a.isAware(now, target) && !evidence.HasAnswerOf(target.ID())
	})
}

// isLikelyToReply reports whether a target is another agent that is reachable and not suspected.
func (a *Agent) isLikelyToReply(target *fleet.Target) bool {
	return target.ID() != a.config.Self && target.IsReachable() && !target.IsSuspected()
}

// possibleOwners returns the agents that may own flows of a service: its targets and, if this
// agent may not know the service's former selectors, all other agents.
func (a *Agent) possibleOwners(now time.Time, service *fleet.RoutedService) []*fleet.Target {
	searchesAll := a.config.Carried && a.view.LacksHistory(now)
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

// listOwners returns the targets of a service and, if searchesAll, all other agents.
func (a *Agent) listOwners(service *fleet.RoutedService, searchesAll bool) []*fleet.Target {
	owners := slices.Collect(service.All())
	if !searchesAll {
		return owners
	}
	for other := range a.view.Agents() {
		if service.Target(other.ID()) == nil {
			owners = append(owners, other)
		}
	}
	return owners
}

// nextOutsider returns the next agent to visit that is not a target of the service, or nil if
// there is none, the packet was relayed, or this agent knows the former selectors. It leaves out
// agents that are suspected: a packet sent there is most likely lost, and few of them own a flow
// of the service. It reports false if outsiderRate does not allow the visit.
func (a *Agent) nextOutsider(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) (*fleet.Target, bool) {
	if received.Relayed {
		return nil, true
	}
	for target := range a.likelyOutsiders(now, service) {
		if !slices.Contains(received.Visited, target.ID()) {
			return target, a.outsiders.AllowN(now, 1)
		}
	}
	return nil, true
}

// likelyOutsiders yields the possible owners that are not targets of the service and are likely to
// reply.
func (a *Agent) likelyOutsiders(now time.Time, service *fleet.RoutedService) iter.Seq[*fleet.Target] {
	return func(yield func(*fleet.Target) bool) {
		for _, target := range a.possibleOwners(now, service)[len(service.Targets()):] {
			if a.isLikelyToReply(target) && !yield(target) {
				return
			}
		}
	}
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
