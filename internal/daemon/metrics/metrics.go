// Package metrics publishes counters through expvar, one for each event,
// refusal, drop and retry reason.
package metrics

import (
	"expvar"
	"sync"

	"github.com/go-kit/kit/metrics"
	kitexpvar "github.com/go-kit/kit/metrics/expvar"
)

// Counters creates counters on first use. It is safe for concurrent use.
type Counters struct {
	mu       sync.Mutex
	counters map[string]metrics.Counter
}

// New returns an empty set of counters.
func New() *Counters {
	return &Counters{counters: make(map[string]metrics.Counter)}
}

// Add adds to the counter with a name.
func (c *Counters) Add(name string, delta int) {
	c.counter(name).Add(float64(delta))
}

func (c *Counters) counter(name string) metrics.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter, known := c.counters[name]
	if !known {
		counter = kitexpvar.NewCounter(name)
		c.counters[name] = counter
	}
	return counter
}

// Gauge publishes a value that is computed when it is read.
func (c *Counters) Gauge(name string, value func() any) {
	expvar.Publish(name, expvar.Func(value))
}
