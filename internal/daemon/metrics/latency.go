package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest time that a histogram tells apart.
	maxLatency = time.Minute
	// significantFigures is the number of significant decimal significantFigures of a histogram.
	significantFigures = 2
)

// LatencyHistogram is a histogram of times. It is safe for concurrent use.
type LatencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencyHistogram publishes a histogram under a name, in microseconds.
func (c *Counters) NewLatencyHistogram(name string) *LatencyHistogram {
	l := &LatencyHistogram{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)}
	expvar.Publish(name, expvar.Func(l.summary))
	return l
}

// Observe counts a time. One beyond the range counts as the longest.
func (l *LatencyHistogram) Observe(latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatency.Microseconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the histogram's range.
	_ = l.histogram.RecordValue(micros)
}

func (l *LatencyHistogram) summary() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P90   int64 `json:"p90"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	}{
		l.histogram.TotalCount(),
		l.histogram.ValueAtQuantile(50), l.histogram.ValueAtQuantile(90), l.histogram.ValueAtQuantile(99),
		l.histogram.Max(),
	}
}
