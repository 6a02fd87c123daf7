package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest latency that a histogram records.
	maxLatency = time.Minute
	// significantFigures is the precision of a histogram in significant decimal digits.
	significantFigures = 2
)

// LatencyHistogram is a histogram of latencies. It is safe for concurrent use.
type LatencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencyHistogram returns a histogram that is published under name, in microseconds. It
// panics if the name is already in use.
func (c *Counters) NewLatencyHistogram(name string) *LatencyHistogram {
	h := &LatencyHistogram{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)}
	expvar.Publish(name, expvar.Func(h.summary))
	return h
}

// Observe records a latency. One below 1 µs or above maxLatency counts as that bound.
func (h *LatencyHistogram) Observe(latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatency.Microseconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for a value outside the histogram's range.
	_ = h.histogram.RecordValue(micros)
}

// summary returns the published value: the number of latencies, three percentiles and the
// maximum, in microseconds.
func (h *LatencyHistogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P90   int64 `json:"p90"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	}{
		h.histogram.TotalCount(),
		h.histogram.ValueAtQuantile(50), h.histogram.ValueAtQuantile(90), h.histogram.ValueAtQuantile(99),
		h.histogram.Max(),
	}
}
