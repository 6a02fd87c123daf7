package fleet

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// mixHash returns the unweighted rendezvous hash of a target for a flow. Its values are
// uniformly distributed over pairs of flows and targets. hashMembership also uses it to
// combine IDs into one hash.
func mixHash(hash uint64, id InstanceID) uint64 {
	h := hash ^ uint64(id)*0x9E3779B97F4A7C15
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

// score returns the weighted rendezvous score of a target for a flow. best chooses the
// target with the highest score.
func score(hash uint64, target *Target) float64 {
	uniform := (float64(mixHash(hash, target.id)>>11) + 0.5) / (1 << 53)
	return -float64(target.weight) / math.Log(uniform)
}

// MaxPlacementCandidates is the number of candidates that a new flow is placed among, as
// long as one of them has free capacity. The search for the owner of the flow visits them
// first. Their set depends on neither weights nor load, so the search usually finds the
// owner among them even if these have changed since.
const MaxPlacementCandidates = 6

// ranking holds the eligible targets that come first for a flow, in descending order of
// their unweighted rendezvous hashes. Changes of weights therefore do not affect it.
type ranking struct {
	targets [MaxPlacementCandidates]*Target
	hashes  [MaxPlacementCandidates]uint64
	count   int
}

// accepts reports whether a target with a hash would have a place in the ranking.
func (r *ranking) accepts(hash uint64) bool {
	return r.count < MaxPlacementCandidates || hash > r.hashes[MaxPlacementCandidates-1]
}

// insert puts a target in its place by its hash and drops what exceeds
// MaxPlacementCandidates.
func (r *ranking) insert(target *Target, hash uint64) {
	position := r.count
	for position > 0 && r.hashes[position-1] < hash {
		position--
	}
	if position == MaxPlacementCandidates {
		return
	}
	r.count = min(r.count+1, MaxPlacementCandidates)
	copy(r.targets[position+1:r.count], r.targets[position:])
	copy(r.hashes[position+1:r.count], r.hashes[position:])
	r.targets[position], r.hashes[position] = target, hash
}

// Candidates are the targets of a service in the order in which they are considered for a
// flow. Targets in the data centre near come before all others, in each of the choices below,
// so that a flow stays in the data centre that its packets enter while a target there is
// eligible.
type Candidates struct {
	*pool
	// near is empty if no data centre comes first.
	near string
}

// Near returns the candidates of the flows whose packets enter the system in a data centre.
// All processes that handle a flow must use the same one. With an empty name no data centre
// comes first.
func (c Candidates) Near(dataCentre string) Candidates {
	return Candidates{c.pool, dataCentre}
}

// rank returns the ranking of the selected targets that are eligible for a flow: of those near,
// or of all if none of these is eligible.
func (c Candidates) rank(hash uint64, eligible func(*Target) bool) ranking {
	var near, others ranking
	nearCentre := slices.Index(c.dataCentres, c.near)
	for i, id := range c.ids[:c.selectedCount] {
		ranked := &others
		if c.centres[i] == nearCentre {
			ranked = &near
		} else if near.count > 0 {
			continue
		}
		targetHash := mixHash(hash, id)
		if ranked.accepts(targetHash) && eligible(&c.targets[i]) {
			ranked.insert(&c.targets[i], targetHash)
		}
	}
	if near.count > 0 {
		return near
	}
	return others
}

// SelectedNear yields the selected targets in the data centre that comes first.
func (c Candidates) SelectedNear() iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for target := range c.Selected() {
			if target.dataCentre == c.near && !yield(target) {
				return
			}
		}
	}
}

// PlacementCandidates returns the accepting targets that a new flow is placed among, at
// most MaxPlacementCandidates, in descending order of their unweighted rendezvous hashes.
func (c Candidates) PlacementCandidates(hash uint64) []*Target {
	ranked := c.rank(hash, (*Target).IsAccepting)
	return slices.Clone(ranked.targets[:ranked.count])
}

// Primary returns the target that decides where a new flow goes: the one with the highest
// score among the placement candidates of the flow. If suspicions leave no target
// accepting, they are ignored, so that one process with a broken network path cannot
// leave a service without targets. Primary returns nil if no target is accepting even
// then.
func (c Candidates) Primary(hash uint64) *Target {
	if primary := c.best(hash, (*Target).IsAccepting); primary != nil {
		return primary
	}
	return c.best(hash, func(target *Target) bool { return target.accepting })
}

// FirstReachable returns the reachable target that is searched first for the owner of an
// established flow: selected targets before residual ones, and unsuspected selected
// targets before suspected ones. It returns nil if none is reachable.
func (c Candidates) FirstReachable(hash uint64) *Target {
	if first := c.bestPreferringUnsuspected(hash, (*Target).IsReachable); first != nil {
		return first
	}
	for i := c.selectedCount; i < len(c.targets); i++ {
		if c.targets[i].reachable {
			return &c.targets[i]
		}
	}
	return nil
}

// NextAccepting returns the first accepting candidate of a new flow that is not in
// visited, or nil if there is none.
func (c Candidates) NextAccepting(hash uint64, visited []InstanceID) *Target {
	return c.best(hash, func(target *Target) bool {
		return target.IsAccepting() && !slices.Contains(visited, target.id)
	})
}

// RelayTarget returns a reachable target outside two data centres, or nil if there is
// none. Where this process, in the data centre here, cannot reach an agent in the data
// centre there, the relay target may have a network path to it.
func (c Candidates) RelayTarget(hash uint64, here, there string) *Target {
	return c.best(hash, func(target *Target) bool {
		return target.reachable && target.dataCentre != here && target.dataCentre != there
	})
}

// SearchOrder returns the eligible targets in the order in which they are searched for the owner
// of a flow: unsuspected before suspected ones, selected before residual ones, near before other
// ones, and among these by their unweighted rendezvous hashes.
func (c Candidates) SearchOrder(hash uint64, eligible func(*Target) bool) []InstanceID {
	var targets []*Target
	for target := range c.All() {
		if eligible(target) {
			targets = append(targets, target)
		}
	}
	slices.SortFunc(targets, func(a, b *Target) int {
		return cmp.Or(
			compareBool(a.suspected, b.suspected),
			compareBool(a.residual, b.residual),
			compareBool(a.dataCentre != c.near, b.dataCentre != c.near),
			cmp.Compare(mixHash(hash, b.id), mixHash(hash, a.id)),
		)
	})
	ids := make([]InstanceID, len(targets))
	for i, target := range targets {
		ids[i] = target.id
	}
	return ids
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// bestPreferringUnsuspected returns the best eligible target that is not suspected, or
// the best eligible one if all are.
func (c Candidates) bestPreferringUnsuspected(hash uint64, eligible func(*Target) bool) *Target {
	best := c.best(hash, func(target *Target) bool { return !target.suspected && eligible(target) })
	if best != nil {
		return best
	}
	return c.best(hash, eligible)
}

// best returns the target with the highest score among the first eligible targets of a
// flow, or nil if none is eligible. The ranking decides which targets come first.
func (c Candidates) best(hash uint64, eligible func(*Target) bool) *Target {
	var best *Target
	highest := math.Inf(-1)
	ranked := c.rank(hash, eligible)
	for _, target := range ranked.targets[:ranked.count] {
		if candidateScore := score(hash, target); candidateScore > highest {
			best, highest = target, candidateScore
		}
	}
	return best
}

// RegistrarCount is the number of agents that the owner of a flow registers the flow
// with.
const RegistrarCount = 2

// Registrars returns the agents that the owner of a flow registers the flow with: the
// first two selected targets by unweighted rendezvous hash that are reachable,
// unsuspected and not leaving, in two data centres if there are two. Changes of weights
// do not affect the choice. Entries without an agent are nil.
func (c Candidates) Registrars(hash uint64) [RegistrarCount]*Target {
	var chosen [RegistrarCount]*Target
	chosen[0] = c.chooseRegistrar(hash, func(*Target) bool { return true })
	if chosen[0] == nil {
		return chosen
	}
	chosen[1] = c.chooseRegistrar(hash, func(target *Target) bool { return target.dataCentre != chosen[0].dataCentre })
	if chosen[1] == nil {
		chosen[1] = c.chooseRegistrar(hash, func(target *Target) bool { return target.id != chosen[0].id })
	}
	return chosen
}

// chooseRegistrar returns the first eligible target that can be a registrar, or nil.
func (c Candidates) chooseRegistrar(hash uint64, eligible func(*Target) bool) *Target {
	var best *Target
	var highest uint64
	for i := range c.targets[:c.selectedCount] {
		target := &c.targets[i]
		if !target.reachable || target.suspected || target.leaving || !eligible(target) {
			continue
		}
		if candidateHash := mixHash(hash, target.id); best == nil || candidateHash > highest {
			best, highest = target, candidateHash
		}
	}
	return best
}

// NthAccepting returns the target for an opening packet with a number of earlier copies:
// the primary for the first packet, the next accepting candidate for the first copy, and
// so on. Later copies go to any data centre, since two targets near have not answered. If
// there are too few accepting candidates it returns the primary, which is nil if there is
// none. More than maxCopyTargets copies count as maxCopyTargets.
func (c Candidates) NthAccepting(hash uint64, copies uint32) *Target {
	var visited [maxCopyTargets]InstanceID
	primary := c.Primary(hash)
	target := primary
	for n := range min(copies, maxCopyTargets) {
		if target == nil {
			return primary
		}
		visited[n] = target.id
		if n > 0 {
			c = c.Near("")
		}
		target = c.NextAccepting(hash, visited[:n+1])
	}
	if target == nil {
		return primary
	}
	return target
}

// maxCopyTargets is the number of copies of an opening packet, beside the first packet,
// that each go to a different target.
const maxCopyTargets = 4

// SearchStep is the next step of the search for the owner of a flow.
type SearchStep struct {
	// Next is the next candidate to visit, or nil if none is left.
	Next *Target
	// Skipped reports whether a candidate was skipped because this process cannot reach
	// it.
	Skipped bool
}

// NextCandidate returns the best reachable candidate that is not in visited: unsuspected
// selected targets first, then suspected ones, then residual owners. Of the remaining
// selected targets in a group, the one with the highest score among the first
// MaxPlacementCandidates by unweighted hash comes next.
func (c Candidates) NextCandidate(hash uint64, visited []InstanceID) SearchStep {
	var step SearchStep
	unvisited := func(target *Target) bool {
		if slices.Contains(visited, target.id) {
			return false
		}
		if !target.reachable {
			step.Skipped = true
			return false
		}
		return true
	}
	step.Next = c.bestPreferringUnsuspected(hash, unvisited)
	if step.Next != nil {
		return step
	}
	for i := c.selectedCount; i < len(c.targets); i++ {
		if unvisited(&c.targets[i]) {
			step.Next = &c.targets[i]
			return step
		}
	}
	return step
}
