package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const validAgent = `{"name":"a","dataCentre":"n","data":"127.0.0.1:1","control":"127.0.0.1:2","platform":"http://127.0.0.1:3",` +
	`"egress":"127.0.0.1:4","backend":"127.0.0.1:5","slots":2}`

func TestReadAgentSetsDefaults(t *testing.T) {
	s, err := ReadAgent([]byte(validAgent))
	require.NoError(t, err)
	require.Equal(t, defaultConnections, s.Connections)
	require.Equal(t, "handover", s.Placement)
}

func FuzzReadAgent(f *testing.F) {
	f.Add([]byte(validAgent))
	f.Add([]byte(`{"slots":"two"}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ReadAgent(data)
		if err == nil {
			require.True(t, Endpoint(s.Data).IsValid())
			require.Positive(t, s.Slots)
		}
	})
}
