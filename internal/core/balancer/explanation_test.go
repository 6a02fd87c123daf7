package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Guards against an explanation that names another agent than the one that gets the packet, and
// one that changes the hint of the caller's open flow, whose packets would then miss its owner.
func TestExplanationNamesTheTargetAndKeepsTheHint(t *testing.T) {
	view := newState(t, 9).View(epoch)
	b := New(Config{HasCopyCounts: true}, NewHints(16))
	id := packet(address, flow.Opening, 0).Flow()
	owner := fleet.InstanceIDOf("b7")
	b.RecordOwner(id.Hash(), owner)
	require.True(t, b.hints.Advance(id.Hash(), 100))
	explanation, known := b.Explain(view, fleet.ServiceIDOf("orders"), id.Caller())
	require.True(t, known)
	require.Len(t, explanation.Candidates, 9)
	require.True(t, explanation.Candidates[fleet.MaxPlacementCandidates-1].IsPlacementCandidate)
	require.False(t, explanation.Candidates[fleet.MaxPlacementCandidates].IsPlacementCandidate)
	hint, _ := b.hints.Get(id.Hash())
	require.Equal(t, owner, hint)
	require.False(t, b.hints.Advance(id.Hash(), 100), "the latest sequence number is kept")
	require.Equal(t, explanation.Decision.Target.ID(), b.Route(view, packet(address, flow.Opening, 0)).Target.ID())
	_, known = b.Explain(view, fleet.ServiceIDOf("reports"), id.Caller())
	require.False(t, known)
}

// Guards against an explanation that names a target although none accepts new flows.
func TestExplanationWithoutTargetIsTheDrop(t *testing.T) {
	state := newState(t, 1)
	state.Peers().Merge(epoch, fleet.PeerRecord{ID: fleet.InstanceIDOf("b0"), Incarnation: 1, State: fleet.PeerServerUnresponsive})
	b := New(Config{SendsResets: true}, NewHints(16))
	explanation, known := b.Explain(state.View(epoch), fleet.ServiceIDOf("orders"), packet(address, flow.Opening, 0).Flow().Caller())
	require.True(t, known)
	require.Equal(t, DropNoTarget, explanation.Decision.Drop)
	require.True(t, explanation.Decision.NeedsReset)
	require.Len(t, explanation.Candidates, 1)
}
