package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRevisionsAreOrderedByVersionThenEraThenNumber(t *testing.T) {
	ascending := []Revision{
		{},
		{Number: 1},
		{Number: 9},
		{Era: 1, Number: 1},
		{Era: 1, Number: 9},
		{Era: 2, Number: 1},
		{Version: 3, Number: 9},
		{Version: 3, Era: 1, Number: 1},
		{Version: 4, Number: 1},
	}
	for i, lower := range ascending {
		for _, higher := range ascending[i+1:] {
			require.True(t, higher.IsNewerThan(lower), "%+v and %+v", higher, lower)
			require.False(t, lower.IsNewerThan(higher), "%+v and %+v", lower, higher)
			if lower.Version == higher.Version {
				require.Less(t, lower.Pack(), higher.Pack())
			}
		}
		require.False(t, lower.IsNewerThan(lower))
		require.Equal(t, Revision{Era: lower.Era, Number: lower.Number}, UnpackRevision(lower.Pack()))
	}
}

func TestHighestRevisionLeavesOutTheVersion(t *testing.T) {
	revisions := Revisions{Services: Revision{Version: 7, Number: 40}, Backends: Revision{Era: 1, Number: 3}, Instances: Revision{Era: 1, Number: 2}}
	require.Equal(t, Revision{Era: 1, Number: 3}, revisions.Highest())
	require.Equal(t, "1/3", revisions.Highest().String())
	require.Equal(t, "40", revisions.Services.String())
}
