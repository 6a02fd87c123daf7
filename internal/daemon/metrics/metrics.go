// Package metrics publishes metrics through expvar: counters, one for each event and each
// reason for a refusal, drop or retry, as well as gauges and latency histograms.
package metrics

import (
	"expvar"
	"net/http"
	"slices"
	"sync"

	"github.com/go-kit/kit/metrics"
	kitexpvar "github.com/go-kit/kit/metrics/expvar"
)

// Counters is a set of named counters, each created and published when it is first used. It
// also publishes gauges and latency histograms. It is safe for concurrent use.
type Counters struct {
	mu       sync.Mutex
	counters map[string]metrics.Counter
	gauges   []gauge
}

// gauge is a published value and the function that reads it.
type gauge struct {
	published metrics.Gauge
	value     func() float64
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

// Gauge publishes a value under name, which Handler reads by calling value. It panics if the name
// is already in use.
func (c *Counters) Gauge(name string, value func() float64) {
	published := kitexpvar.NewGauge(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gauges = append(c.gauges, gauge{published, value})
}

// Handler returns a handler that serves all metrics. It reads the gauges before expvar visits its
// variables: meanwhile expvar publishes no others, so that a gauge which waits there for a mutex
// would never get it from a goroutine that counts an event for the first time.
func (c *Counters) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.readGauges()
		expvar.Handler().ServeHTTP(w, r)
	})
}

// readGauges updates the published values of the gauges. It holds no lock while it reads them.
func (c *Counters) readGauges() {
	c.mu.Lock()
	gauges := slices.Clone(c.gauges)
	c.mu.Unlock()
	for _, g := range gauges {
		g.published.Set(g.value())
	}
}
