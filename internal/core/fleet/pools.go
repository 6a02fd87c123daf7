package fleet

import (
	"slices"
	"time"
)

// poolBuilder computes the targets of a view.
type poolBuilder struct {
	state    *State
	now      time.Time
	servers  map[string]*serverIndex
	departed []server
}

// build computes the targets of a route and others that still own flows of it.
func (b *poolBuilder) build(routed *route, owners []*Node) *pool {
	built := new(pool)
	for dataCentre, servers := range b.servers {
		selector, present := routed.selector(dataCentre)
		if !present {
			continue
		}
		for _, candidate := range servers.matching(selector) {
			built.targets = append(built.targets, b.state.newTarget(candidate.node, b.now))
		}
	}
	slices.SortFunc(built.targets, compareTargets)
	built.selectedCount = len(built.targets)
	for _, gone := range b.departed {
		if routed.selects(gone.backend.DataCentre, gone.backend.Labels) {
			owners = append(owners[:len(owners):len(owners)], gone.node)
		}
	}
	built.targets = append(built.targets, b.residualTargets(routed, built, owners)...)
	return built
}

func (b *poolBuilder) residualTargets(routed *route, built *pool, owners []*Node) []Target {
	var targets []Target
	for _, node := range owners {
		if built.target(node.id) != nil || !routed.hasSelectorFor(node.dataCentre) {
			continue
		}
		target := b.state.newTarget(node, b.now)
		target.residual = true
		target.accepting = false
		targets = append(targets, target)
	}
	slices.SortFunc(targets, compareTargets)
	return targets
}
