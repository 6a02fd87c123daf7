package agent

import (
	"testing"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
)

// deniedBy returns the evidence that agents have denied a flow.
func deniedBy(ids ...fleet.InstanceID) ownership.Evidence {
	var processes []fleet.Process
	for _, id := range ids {
		processes = append(processes, fleet.Process{ID: id})
	}
	return ownership.Evidence{}.With(processes, nil)
}

// BenchmarkNewcomerSearch measures a step of the search for the owner of a flow that no agent
// owns, as it runs for thousands of flows after a loss of power.
func BenchmarkNewcomerSearch(b *testing.B) {
	c := newTestCluster(b, 50)
	ids := c.ids()
	a := c.agents[ids[0]]
	a.Start(settledAt)
	packet := receivedPacket(4000, flow.Established, 77)
	packet.Visited, packet.LookedUp = append([]fleet.InstanceID(nil), ids[1:]...), true
	packet.Evidence = deniedBy(ids...)
	b.ReportAllocs()
	for b.Loop() {
		a.ResumeAfterLookup(settledAt, packet)
	}
}
