package backends

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Guards against a list that names no service where one selector holds for every data centre.
func TestSelectorForAnyDataCentreCounts(t *testing.T) {
	documents := &cmdutil.Documents{}
	documents.Services.Services = []fleet.Service{
		{Name: "orders", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}}},
		{Name: "letters", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}, "north": {"app": {"letters"}}}},
	}
	require.Equal(t, []string{"orders"}, newRow(documents, fleet.Backend{Name: "b0", DataCentre: "north"}).Services)
	require.Equal(t, []string{"orders", "letters"}, newRow(documents, fleet.Backend{Name: "b1", DataCentre: "south"}).Services)
}
