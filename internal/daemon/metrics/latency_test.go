package metrics

import (
	"encoding/json"
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLatenciesArePublishedInMicroseconds(t *testing.T) {
	latency := New().NewLatencyHistogram("test_latency")
	for i := range 100 {
		latency.Observe(time.Duration(i+1) * time.Millisecond)
	}
	latency.Observe(time.Hour)
	var published struct{ Count, P50, P90, Max int64 }
	require.NoError(t, json.Unmarshal([]byte(expvar.Get("test_latency").String()), &published))
	require.EqualValues(t, 101, published.Count)
	require.InEpsilon(t, 51_000, published.P50, 0.02)
	require.InEpsilon(t, 91_000, published.P90, 0.02)
	require.InEpsilon(t, maxLatency.Microseconds(), published.Max, 0.02)
}
