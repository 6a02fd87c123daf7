package fleet

import (
	"slices"
	"time"
)

// poolBuilder computes the targets of a view, once for all services with the same
// selectors: an operator may publish hundreds of services for the same servers.
type poolBuilder struct {
	state    *State
	now      time.Time
	servers  map[string]*serverIndex
	departed []server
	pools    map[string]*pool
}

// pool returns the targets of a service with selectors that a key stands for.
func (b *poolBuilder) pool(routed *RoutedService, key string, residual []*Node) *pool {
	if len(residual) > 0 {
		return b.build(routed, residual)
	}
	shared := b.pools[key]
	if shared == nil {
		shared = b.build(routed, nil)
		b.pools[key] = shared
	}
	return shared
}

func (b *poolBuilder) build(routed *RoutedService, owners []*Node) *pool {
	built := new(pool)
	for dataCentre, servers := range b.servers {
		selector, present := routed.selector(dataCentre)
		if !present {
			continue
		}
		for _, candidate := range servers.matching(selector) {
			built.targets = append(built.targets, b.state.target(candidate.node, b.now))
		}
	}
	slices.SortFunc(built.targets, compareTargets)
	built.selected = len(built.targets)
	for _, gone := range b.departed {
		if routed.Selects(gone.backend.DataCentre, gone.backend.Labels) {
			owners = append(owners[:len(owners):len(owners)], gone.node)
		}
	}
	built.targets = append(built.targets, b.residualTargets(routed, built, owners)...)
	return built
}

func (b *poolBuilder) residualTargets(routed *RoutedService, built *pool, owners []*Node) []Target {
	var targets []Target
	for _, node := range owners {
		if built.target(node.id) != nil || !routed.IsPresent(node.dataCentre) {
			continue
		}
		target := b.state.target(node, b.now)
		target.residual = true
		target.accepting = false
		targets = append(targets, target)
	}
	slices.SortFunc(targets, compareTargets)
	return targets
}
