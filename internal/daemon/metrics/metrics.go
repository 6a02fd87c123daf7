// Package metrics publishes metrics through expvar: counters, one for each event and each
// reason for a refusal, drop or retry, as well as gauges and latency histograms.
package metrics

import (
	"expvar"
	"sync"

	"github.com/go-kit/kit/metrics"
	kitexpvar "github.com/go-kit/kit/metrics/expvar"
)

// Counters is a set of named counters, each created and published when it is first used. It
// also publishes gauges and latency histograms. It is safe for concurrent use.
type Counters struct {
	mu       sync.Mutex
	counters map[string]metrics.Counter
}

// New returns an empty set of counters. Within one process, two sets must not use the same
// name: expvar's names are global, and publishing one twice panics.
func New() *Counters {
	return &Counters{counters: make(map[string]metrics.Counter)}
}

// Add adds delta to a counter.
func (c *Counters) Add(name string, delta int) {
	c.counter(name).Add(float64(delta))
}

// counter returns a counter, and creates and publishes it if it does not exist.
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

// Gauge publishes a value under name and calls value each time it is read. It panics if the
// name is already in use.
func (c *Counters) Gauge(name string, value func() any) {
	expvar.Publish(name, expvar.Func(value))
}
