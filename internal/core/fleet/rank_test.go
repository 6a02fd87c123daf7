package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a choice that differs from rendezvous hashing over all eligible targets, near ones
// first: shortcuts in the ranking must not change it, and a target that leaves must move only its own
// flows.
func TestRankingIsThatOfAllEligibleTargetsNearFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "targets")
		built := new(pool)
		var targets []Target
		for i := range count {
			targets = append(targets, Target{
				id:         InstanceIDOf(fmt.Sprintf("b%d", i)),
				dataCentre: rapid.SampledFrom([]string{"north", "south", "west"}).Draw(t, "data centre"),
				accepting:  rapid.Bool().Draw(t, "accepting"),
			})
		}
		built.add(targets)
		built.selectedCount = count
		candidates := Candidates{pool: built}.Near("north")
		hash := rapid.Uint64().Draw(t, "hash")

		var want []InstanceID
		isNear := func(target Target) bool { return target.dataCentre == "north" }
		eligible := slices.DeleteFunc(slices.Clone(targets), func(target Target) bool { return !target.accepting })
		if slices.ContainsFunc(eligible, isNear) {
			eligible = slices.DeleteFunc(eligible, func(target Target) bool { return !isNear(target) })
		}
		slices.SortFunc(eligible, func(a, b Target) int {
			if mixHash(hash, a.id) > mixHash(hash, b.id) {
				return -1
			}
			return 1
		})
		for _, target := range eligible[:min(len(eligible), MaxPlacementCandidates)] {
			want = append(want, target.id)
		}
		var got []InstanceID
		for _, target := range candidates.PlacementCandidates(hash) {
			got = append(got, target.id)
		}
		require.Equal(t, want, got)
		for _, target := range targets {
			require.Equal(t, target.id, built.target(target.id).id)
		}
		require.Nil(t, built.target(InstanceIDOf("absent")))
	})
}
