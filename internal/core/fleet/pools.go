package fleet

import (
	"slices"
	"time"
)

// poolBuilder computes the pools of targets of a view.
type poolBuilder struct {
	state *State
	now   time.Time
	// servers holds the backend servers that can be selected, by data centre.
	servers map[string]*serverIndex
	// departed holds the agents that are no longer listed and past their grace period,
	// but still answer and may own flows.
	departed []server
}

// build returns the pool of a route. Its residual targets are those of owners, of the
// servers that the route selected before, and of the departed agents that are not selected.
func (b *poolBuilder) build(routed *route, owners []*Node) *pool {
	built := new(pool)
	var selected []Target
	for dataCentre, servers := range b.servers {
		selector, present := routed.selector(dataCentre)
		if !present {
			continue
		}
		for _, candidate := range servers.matching(selector) {
			selected = append(selected, b.state.newTarget(candidate.node, b.now))
		}
	}
	built.add(selected)
	built.selectedCount = len(selected)
	owners = slices.Concat(owners, b.formerlySelected(routed))
	for _, agent := range b.departed {
		if routed.hasSelected(agent.backend.DataCentre, agent.backend.Labels) {
			owners = append(owners, agent.node)
		}
	}
	built.add(b.residualTargets(routed, built, owners))
	return built
}

// mayOwnFlows reports whether servers in a data centre may own flows of a service.
func (b *poolBuilder) mayOwnFlows(routed *route, dataCentre string) bool {
	return routed.hasSelectorFor(dataCentre) || slices.ContainsFunc(routed.former, func(f formerSelectors) bool {
		return f.isRemoved(b.now, dataCentre)
	})
}

// residualTargets returns a target for each owner that is not selected and whose data
// centre is in the service, or was until a moment ago, ordered by ID. An owner may be named more
// than once.
func (b *poolBuilder) residualTargets(routed *route, built *pool, owners []*Node) []Target {
	var targets []Target
	for _, node := range owners {
		if built.target(node.id) != nil || !b.mayOwnFlows(routed, node.dataCentre) {
			continue
		}
		target := b.state.newTarget(node, b.now)
		target.residual = true
		target.accepting = false
		targets = append(targets, target)
	}
	slices.SortFunc(targets, compareTargets)
	return slices.CompactFunc(targets, func(a, b Target) bool { return a.id == b.id })
}
