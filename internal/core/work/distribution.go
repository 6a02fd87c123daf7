// Package work estimates the work of backend servers: how long the requests of a service take,
// how much work is left at a server, and at which server a request is answered first.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package work

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minServiceTime and maxServiceTime are the bounds of the service times recorded.
	minServiceTime = time.Microsecond
	maxServiceTime = time.Minute
	// significantFigures is the precision of recorded service times in decimal digits.
	significantFigures = 2
	// generationSamples is the number of samples that a generation of a Distribution holds.
	generationSamples = 256
)

// Distribution holds the last service times of the requests of one service at one server. It
// consists of two generations, the older of which is cleared when the newer one is full, so that
// the distribution follows changes.
type Distribution struct {
	newer, older generation
}

// generation is a histogram of service times, with their sum.
type generation struct {
	histogram *hdrhistogram.PackedHistogram
	sum       time.Duration
}

// NewDistribution returns a distribution without samples.
func NewDistribution() *Distribution {
	return &Distribution{newer: newGeneration(), older: newGeneration()}
}

func newGeneration() generation {
	return generation{histogram: hdrhistogram.NewPacked(minServiceTime.Microseconds(), maxServiceTime.Microseconds(), significantFigures)}
}

// count returns the number of samples.
func (g *generation) count() int { return int(g.histogram.TotalCount()) }

// clear removes all samples.
func (g *generation) clear() {
	g.histogram.Reset()
	g.sum = 0
}

// tail returns the number of samples above a service time and their sum.
func (g *generation) tail(above time.Duration) (count int64, sum time.Duration) {
	limit := above.Microseconds()
	for value, n := range g.histogram.ForEachBucket {
		if value > limit {
			count += n
			sum += time.Duration(n*value) * time.Microsecond
		}
	}
	return count, sum
}

// Record adds the service time of an answered request. One out of bounds counts as the bound.
func (d *Distribution) Record(sample time.Duration) {
	if d.newer.count() >= generationSamples {
		d.newer, d.older = d.older, d.newer
		d.newer.clear()
	}
	sample = min(max(sample, minServiceTime), maxServiceTime)
	// RecordValue fails only for a value outside the histogram's range.
	_ = d.newer.histogram.RecordValue(sample.Microseconds())
	d.newer.sum += sample
}

// Count returns the number of samples.
func (d *Distribution) Count() int { return d.newer.count() + d.older.count() }

// Mean returns the mean service time, or zero without samples.
func (d *Distribution) Mean() time.Duration {
	return (d.newer.sum + d.older.sum) / time.Duration(max(d.Count(), 1))
}

// Quantile returns the service time that a share q of the samples does not exceed, or zero
// without samples.
func (d *Distribution) Quantile(q float64) time.Duration {
	merged := d.newer.histogram.Clone()
	merged.Merge(d.older.histogram)
	return time.Duration(merged.ValueAtPercentile(q*100)) * time.Microsecond
}

// Rest returns the expected remaining service time of a request that has run for elapsed: the
// mean E[X - elapsed | X > elapsed]. A request that runs longer than all samples is expected
// to need as much time again: the longer it runs, the less the samples say about it.
func (d *Distribution) Rest(elapsed time.Duration) time.Duration {
	if elapsed <= 0 {
		return d.Mean()
	}
	newerCount, newerSum := d.newer.tail(elapsed)
	olderCount, olderSum := d.older.tail(elapsed)
	count := newerCount + olderCount
	if count == 0 {
		return elapsed
	}
	mean := float64(newerSum+olderSum) / float64(count)
	return time.Duration(math.Max(mean-float64(elapsed), 0))
}
