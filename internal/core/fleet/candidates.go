package fleet

import (
	"math"
	"slices"
)

// mixHash returns a number that is evenly distributed over flows and targets.
func mixHash(hash uint64, id InstanceID) uint64 {
	h := hash ^ uint64(id)*0x9E3779B97F4A7C15
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

// score is the weighted rendezvous score of a target for a flow hash.
func score(hash uint64, target *Target) float64 {
	uniform := (float64(mixHash(hash, target.id)>>11) + 0.5) / (1 << 53)
	return -float64(target.weight) / math.Log(uniform)
}

// MaxPlacementCandidates is the number of candidates that a flow is placed on, as long as one of them has
// room. A search asks them first, however weights and load have changed since.
const MaxPlacementCandidates = 6

// ranking holds the eligible targets that come first for a flow, in an order that weights
// do not move.
type ranking struct {
	targets [MaxPlacementCandidates]*Target
	hashes  [MaxPlacementCandidates]uint64
	count   int
}

func (r *ranking) insert(target *Target, value uint64) {
	at := r.count
	for at > 0 && r.hashes[at-1] < value {
		at--
	}
	if at == MaxPlacementCandidates {
		return
	}
	r.count = min(r.count+1, MaxPlacementCandidates)
	copy(r.targets[at+1:r.count], r.targets[at:])
	copy(r.hashes[at+1:r.count], r.hashes[at:])
	r.targets[at], r.hashes[at] = target, value
}

func (s *RoutedService) rank(hash uint64, eligible func(*Target) bool) ranking {
	var ranked ranking
	for i := range s.targets[:s.selectedCount] {
		if target := &s.targets[i]; eligible(target) {
			ranked.insert(target, mixHash(hash, target.id))
		}
	}
	return ranked
}

// PlacementCandidates returns the accepting targets on which a flow is placed.
func (s *RoutedService) PlacementCandidates(hash uint64) []*Target {
	ranked := s.rank(hash, (*Target).IsAccepting)
	return slices.Clone(ranked.targets[:ranked.count])
}

// Primary returns the target that decides about a new flow: the first accepting
// candidate by weight. Where others suspect all of them, suspicion does not count, so that one
// process with a broken path cannot empty a service. Primary returns nil if no target is
// accepting.
func (s *RoutedService) Primary(hash uint64) *Target {
	if primary := s.best(hash, (*Target).IsAccepting); primary != nil {
		return primary
	}
	return s.best(hash, func(target *Target) bool { return target.accepting })
}

// FirstReachable returns the first reachable candidate of an established flow, selected
// targets before residual ones. It returns nil if none is reachable.
func (s *RoutedService) FirstReachable(hash uint64) *Target {
	if home := s.bestPreferringUnsuspected(hash, (*Target).IsReachable); home != nil {
		return home
	}
	for i := s.selectedCount; i < len(s.targets); i++ {
		if s.targets[i].reachable {
			return &s.targets[i]
		}
	}
	return nil
}

// NextAccepting returns the first candidate of a new flow that is reachable and not
// in visited, or nil.
func (s *RoutedService) NextAccepting(hash uint64, visited []InstanceID) *Target {
	return s.best(hash, func(target *Target) bool {
		return target.IsAccepting() && !slices.Contains(visited, target.id)
	})
}

// RelayTarget returns a reachable target outside two data centres, or nil. It may have a
// path where this process has none.
func (s *RoutedService) RelayTarget(hash uint64, here, there string) *Target {
	return s.best(hash, func(target *Target) bool {
		return target.reachable && target.dataCentre != here && target.dataCentre != there
	})
}

// bestPreferringUnsuspected returns the first eligible target that nobody suspects, or else the
// first eligible one.
func (s *RoutedService) bestPreferringUnsuspected(hash uint64, eligible func(*Target) bool) *Target {
	best := s.best(hash, func(target *Target) bool { return !target.suspected && eligible(target) })
	if best != nil {
		return best
	}
	return s.best(hash, eligible)
}

// best returns the first by weight of the eligible targets that come first for a flow.
func (s *RoutedService) best(hash uint64, eligible func(*Target) bool) *Target {
	var best *Target
	highest := math.Inf(-1)
	ranked := s.rank(hash, eligible)
	for _, target := range ranked.targets[:ranked.count] {
		if value := score(hash, target); value > highest {
			best, highest = target, value
		}
	}
	return best
}

// RegistrarCount is the number of agents that a flow is registered with.
const RegistrarCount = 2

// Registrars returns the agents that are told who owns a flow: the first two that answer
// and stay, of two data centres if there are two. Weights do not move them. Entries
// without an agent are nil.
func (s *RoutedService) Registrars(hash uint64) [RegistrarCount]*Target {
	var chosen [RegistrarCount]*Target
	chosen[0] = s.chooseRegistrar(hash, func(*Target) bool { return true })
	if chosen[0] == nil {
		return chosen
	}
	chosen[1] = s.chooseRegistrar(hash, func(target *Target) bool { return target.dataCentre != chosen[0].dataCentre })
	if chosen[1] == nil {
		chosen[1] = s.chooseRegistrar(hash, func(target *Target) bool { return target.id != chosen[0].id })
	}
	return chosen
}

func (s *RoutedService) chooseRegistrar(hash uint64, eligible func(*Target) bool) *Target {
	var best *Target
	var highest uint64
	for i := range s.targets[:s.selectedCount] {
		target := &s.targets[i]
		if !target.reachable || target.suspected || target.leaving || !eligible(target) {
			continue
		}
		if value := mixHash(hash, target.id); best == nil || value > highest {
			best, highest = target, value
		}
	}
	return best
}

// NthAccepting returns the target that a copy of an opening packet goes to: the first
// accepting candidate, the second for the first copy, and so on. It returns nil if
// no target is accepting.
func (s *RoutedService) NthAccepting(hash uint64, copies uint32) *Target {
	var visited [maxCopyTargets]InstanceID
	primary := s.Primary(hash)
	target := primary
	for n := range min(copies, maxCopyTargets) {
		if target == nil {
			return primary
		}
		visited[n] = target.id
		target = s.NextAccepting(hash, visited[:n+1])
	}
	if target == nil {
		return primary
	}
	return target
}

// maxCopyTargets is how many copies of an opening packet go to targets of their own.
const maxCopyTargets = 4

// SearchStep is the next step of the search for the owner of a flow.
type SearchStep struct {
	// Next is the next candidate to ask, or nil if none is left.
	Next *Target
	// Skipped reports whether a candidate was passed over because it does not
	// answer. The search is then not conclusive.
	Skipped bool
	// SkippedLeaving reports whether a candidate that was passed over has announced that it
	// leaves.
	SkippedLeaving bool
	// SkippedDataCentre is the data centre of a candidate that was passed over.
	SkippedDataCentre string
}

// NextCandidate returns the first reachable candidate that is not in visited: selected
// targets in rendezvous order, those that are suspected last, then residual owners.
func (s *RoutedService) NextCandidate(hash uint64, visited []InstanceID) SearchStep {
	var walk SearchStep
	unvisited := func(target *Target) bool {
		if slices.Contains(visited, target.id) {
			return false
		}
		if !target.reachable {
			walk.Skipped = true
			walk.SkippedLeaving = walk.SkippedLeaving || target.leaving
			walk.SkippedDataCentre = target.dataCentre
			return false
		}
		return true
	}
	walk.Next = s.bestPreferringUnsuspected(hash, unvisited)
	if walk.Next != nil {
		return walk
	}
	for i := s.selectedCount; i < len(s.targets); i++ {
		if unvisited(&s.targets[i]) {
			walk.Next = &s.targets[i]
			return walk
		}
	}
	return walk
}
