package balancer

import (
	"net/netip"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Explanation is the agent that an opening packet would be forwarded to now, and the others.
type Explanation struct {
	Decision Decision
	// Candidates holds the flow's placement candidates, of which Decision.Target is the one with
	// the highest weighted hash, then all other targets of the service.
	Candidates []Candidate
}

// Candidate is a target that a new flow may be forwarded to.
type Candidate struct {
	Target *fleet.Target
	// IsPlacementCandidate reports whether the target is chosen from: it accepts new flows and
	// is among the first by the flow's hash.
	IsPlacementCandidate bool
}

// Explain decides which agent the first opening packet of a caller would be forwarded to. It
// changes nothing. It reports false if the service is unknown.
func (b *Balancer) Explain(view *fleet.View, id fleet.ServiceID, caller netip.AddrPort) (Explanation, bool) {
	service := view.Service(id)
	if service == nil {
		return Explanation{}, false
	}
	packet := flow.NewPacket(flow.NewID(service.Address(), caller), flow.Opening, 0, 0, nil)
	hash := packet.Flow().Hash()
	explanation := Explanation{Decision: b.decideOpening(service, packet, hash)}
	isPlacementCandidate := make(map[fleet.InstanceID]bool)
	for _, target := range service.Near(b.config.DataCentre).PlacementCandidates(hash) {
		isPlacementCandidate[target.ID()] = true
		explanation.Candidates = append(explanation.Candidates, Candidate{target, true})
	}
	for target := range service.All() {
		if !isPlacementCandidate[target.ID()] {
			explanation.Candidates = append(explanation.Candidates, Candidate{target, false})
		}
	}
	return explanation, true
}
