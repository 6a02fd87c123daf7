package metrics

import (
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A gauge locks the state that it reads, and the owner of that state counts events under the same
// mutex. Guards against a process that stops for good because its metrics are read while it counts
// an event for the first time.
func TestMetricsAreReadWhileAnEventIsCountedForTheFirstTime(t *testing.T) {
	const timeout = 5 * time.Second
	var state sync.Mutex
	c := New()
	reading, ended := make(chan struct{}), make(chan struct{})
	c.Gauge("test_gauge", func() float64 {
		close(reading)
		state.Lock()
		defer state.Unlock()
		return 7
	})
	state.Lock()
	response := httptest.NewRecorder()
	go func() {
		defer close(ended)
		c.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/debug/vars", nil))
	}()
	<-reading
	counted := make(chan struct{})
	go func() {
		c.Add("test_first_event", 1)
		close(counted)
		state.Unlock()
	}()
	for _, done := range []chan struct{}{counted, ended} {
		select {
		case <-done:
		case <-time.After(timeout):
			require.Fail(t, "the reader of the metrics and the counting goroutine wait for each other")
		}
	}
	require.Contains(t, response.Body.String(), `"test_gauge": 7`)
	require.Contains(t, response.Body.String(), `"test_first_event": 1`)
}
