package exchange

import (
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/daemon/metrics"
)

// observer publishes the latencies that an agent's core measures.
type observer struct {
	opening, answer, lookup      *metrics.LatencyHistogram
	serviceTime, predictionError *metrics.LatencyHistogram
}

// NewObserver returns an observer that publishes each latency as a histogram in
// microseconds.
func NewObserver(counters *metrics.Counters) core.Observer {
	return &observer{
		opening:         counters.NewLatencyHistogram("opening_latency_us"),
		answer:          counters.NewLatencyHistogram("answer_latency_us"),
		lookup:          counters.NewLatencyHistogram("lookup_latency_us"),
		serviceTime:     counters.NewLatencyHistogram("predicted_service_us"),
		predictionError: counters.NewLatencyHistogram("prediction_error_us"),
	}
}

// ObserveOpening implements core.Observer.
func (o *observer) ObserveOpening(latency time.Duration) { o.opening.Observe(latency) }

// ObserveAnswer implements core.Observer.
func (o *observer) ObserveAnswer(latency time.Duration) { o.answer.Observe(latency) }

// ObserveLookup implements core.Observer.
func (o *observer) ObserveLookup(latency time.Duration) { o.lookup.Observe(latency) }

// ObserveServiceTime implements core.Observer.
func (o *observer) ObserveServiceTime(expected, actual time.Duration) {
	o.serviceTime.Observe(expected)
	o.predictionError.Observe((expected - actual).Abs())
}
