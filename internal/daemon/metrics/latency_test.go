package metrics

import (
	"encoding/json"
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a summary in another unit, and against dropping latencies above maxLatency.
func TestLatenciesArePublishedInMicroseconds(t *testing.T) {
	histogram := New().NewLatencyHistogram("test_latency")
	for i := range 100 {
		histogram.Observe(time.Duration(i+1) * time.Millisecond)
	}
	histogram.Observe(time.Hour)
	var published struct{ Count, P50, P90, Max int64 }
	require.NoError(t, json.Unmarshal([]byte(expvar.Get("test_latency").String()), &published))
	require.EqualValues(t, 101, published.Count)
	require.InEpsilon(t, 51_000, published.P50, 0.02)
	require.InEpsilon(t, 91_000, published.P90, 0.02)
	require.InEpsilon(t, maxLatency.Microseconds(), published.Max, 0.02)
}
