package exchange

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
)

// One malformed message must take no process down: whatever another agent sends is rejected or
// handled.
func FuzzBodiesOfAgents(f *testing.F) {
	for _, body := range []any{core.Report{Limit: 2, Running: 5, Services: []core.ServiceReport{{Service: 1, Time: 2}}}, []uint64{1, 2}, core.OwnershipReply{Round: 1, OwnedIndices: []uint16{9}}} {
		data, err := cbor.Marshal(body)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		config := core.Config{Self: 1, DataCentre: "north", MaxFlows: 10, MaxHandOvers: 10, Placement: core.HandOverWhenFull{}, Carried: true}
		a := core.New(config, fleet.NewState().View(now), core.NewWarmLoad(now, 2), rand.New(rand.NewPCG(1, 2)))
		if report, err := decodeReport(body); err == nil {
			a.HandleReport(now, 2, report)
			a.Report(now)
			a.OfferRecipient(now)
		}
		if flows, err := decodeRegistration(body); err == nil {
			a.StoreRegistrations(now, 2, flows)
		}
		var reply core.OwnershipReply
		if err := cbor.Unmarshal(body, &reply); err == nil {
			a.HandleOwnershipReply(now, fleet.Process{ID: 2}, reply)
		}
	})
}
