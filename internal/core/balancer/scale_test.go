package balancer

import (
	"fmt"
	"testing"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// BenchmarkRoute measures the decision about a packet by the number of a service's targets, for a
// packet with a hint, which most packets have, and for an opening packet.
func BenchmarkRoute(b *testing.B) {
	config := Config{HasCopyCounts: true, PrefersRegistrars: true, DataCentre: "north"}
	for _, kind := range []struct {
		name string
		kind flow.Kind
	}{{"hint", flow.Established}, {"opening", flow.Opening}} {
		for _, targets := range []int{8, 32, 128, 512} {
			b.Run(fmt.Sprintf("%s/%d", kind.name, targets), func(b *testing.B) {
				view := newState(b, targets).View(epoch)
				balancer := New(config, NewHints(1<<16))
				received := packet(address, kind.kind, 0)
				balancer.RecordOwner(received.Flow().Hash(), view.ServiceByAddress(address).Primary(received.Flow().Hash()).ID())
				b.ReportAllocs()
				for b.Loop() {
					balancer.Route(view, received)
				}
			})
		}
	}
}
