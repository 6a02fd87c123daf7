package agent

import (
	"testing"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// BenchmarkNewcomerSearch measures a step of the search for the owner of a flow that no agent
// owns, as it runs for thousands of flows after a loss of power.
func BenchmarkNewcomerSearch(b *testing.B) {
	c := newTestCluster(b, 50)
	ids := c.ids()
	a := c.agents[ids[0]]
	a.Start(settledAt)
	packet := receivedPacket(4000, flow.Established, 77)
	packet.Visited, packet.LookedUp = append([]fleet.InstanceID(nil), ids[1:]...), true
	b.ReportAllocs()
	for b.Loop() {
		a.ResumeAfterLookup(settledAt, packet)
	}
}
