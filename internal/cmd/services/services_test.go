package services

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Guards against a count of zero under the selector for every data centre.
func TestServersOfTheSelectorForAnyDataCentreCountInTheirOwn(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	state := fleet.NewState()
	service := fleet.Service{
		Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp",
		Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}, "south": {}},
	}
	for _, document := range []fleet.Document{
		&fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{service}},
		&fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}, Backends: []fleet.Backend{{Name: "b0", DataCentre: "north"}}},
		&fleet.InstancesDocument{Revision: fleet.Revision{Number: 1}, Instances: []fleet.Instance{
			{Name: "b0", Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive},
		}},
	} {
		_, err := state.Apply(now, document)
		require.NoError(t, err)
	}
	require.Equal(t, map[string]int{"north": 1, "south": 0}, newRow(state.View(now), &service).Selected)
}
