package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// Guards against an explanation by a process that places no flows yet or any more, since its view
// is missing or has expired, and against a wrong name of a service that is not corrected.
func TestPlacementIsExplainedOnlyInAValidView(t *testing.T) {
	now := clock.Now()
	state := fleet.NewState()
	n := &Node{name: "braid-1", role: fleet.RoleAgent, dataCentre: "north"}
	n.OnExplain(func(time.Time, fleet.ServiceID, operator.PlacementQuery) (operator.Placement, bool) {
		return operator.Placement{}, true
	})
	n.view.Store(state.View(now))
	query := operator.PlacementQuery{Service: "orders", Caller: netip.MustParseAddrPort("10.1.0.1:4000"), Size: 900}
	n.validUntil.Store(now.Add(time.Hour).UnixNano())
	_, err := n.explainPlacement(query)
	require.Equal(t, operator.NotReadyError{Process: "braid-1"}, err, "the view has no documents")
	for _, document := range []fleet.Document{
		&fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{
			{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp"}, {Name: "lookup", Address: "10.9.0.1:53", Protocol: "udp"},
		}},
		&fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}},
	} {
		_, err := state.Apply(now, document)
		require.NoError(t, err)
	}
	n.view.Store(state.View(now))
	placement, err := n.explainPlacement(query)
	require.NoError(t, err)
	require.Equal(t, operator.Placement{
		Process: "braid-1", Role: "agent", DataCentre: "north", Service: "orders", Caller: "10.1.0.1:4000", Size: 900,
	}, placement)
	n.MarkLeaving()
	_, err = n.explainPlacement(query)
	require.NoError(t, err, "a leaving process still places flows elsewhere")
	query.Service = "reports"
	_, err = n.explainPlacement(query)
	require.Equal(t, operator.UnknownServiceError{Name: "reports", Known: []string{"lookup", "orders"}}, err)
	query.Service = "lookup"
	_, err = n.explainPlacement(query)
	require.ErrorIs(t, err, errConnectionless)
	n.validUntil.Store(now.Add(-time.Second).UnixNano())
	_, err = n.explainPlacement(query)
	require.Equal(t, operator.NotReadyError{Process: "braid-1"}, err, "the view has expired")
}
