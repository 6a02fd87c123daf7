package work

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

const ms = time.Millisecond

// record adds samples to an estimate or a distribution.
func record(to interface{ Record(time.Duration) }, sample time.Duration, count int) {
	for range count {
		to.Record(sample)
	}
}

// Guards against an expected rest that falls with the time that a request has run: one that runs for
// 50 ms, where 97 in 100 take 14 ms and the others 98 ms, is a long one.
func TestRestOfALongRunningRequestExceedsThatOfANewOne(t *testing.T) {
	d := NewDistribution()
	record(d, 14*ms, 97)
	record(d, 98*ms, 3)
	require.InDelta(t, float64(48*ms), float64(d.Rest(50*ms)), float64(ms))
	require.Greater(t, d.Rest(50*ms), d.Rest(0))
	require.Less(t, d.Rest(7*ms), d.Rest(0))
	require.Equal(t, 300*ms, d.Rest(300*ms), "longer than all samples")
}

// Guards against rests that disagree with the samples, whatever these are.
func TestRestIsTheMeanOfTheSamplesThatExceedElapsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.IntRange(1, 5000), 1, generationSamples).Draw(t, "milliseconds")
		elapsed := rapid.IntRange(1, 6000).Draw(t, "elapsed")
		d := NewDistribution()
		sum, count := 0, 0
		for _, sample := range samples {
			d.Record(time.Duration(sample) * ms)
			if sample > elapsed+elapsed/50 {
				sum += sample - elapsed
				count++
			} else if sample > elapsed-elapsed/50 {
				t.Skip("samples within the precision of the histogram")
			}
		}
		if count == 0 {
			return
		}
		want := float64(sum) / float64(count) * float64(ms)
		require.InDelta(t, want, float64(d.Rest(time.Duration(elapsed)*ms)), 0.01*(want+float64(elapsed)*float64(ms))+float64(ms))
	})
}

// Guards against a server that turns slow and is expected to be fast for long.
func TestDistributionFollowsAServerThatTurnsSlow(t *testing.T) {
	d := NewDistribution()
	record(d, 14*ms, 10*generationSamples)
	record(d, 56*ms, 2*generationSamples)
	require.Equal(t, 56*ms, d.Mean())
	require.InDelta(t, float64(56*ms), float64(d.Quantile(0.01)), float64(ms))
	require.LessOrEqual(t, d.Count(), 2*generationSamples)
}

func TestQuantilesCoverBothGenerations(t *testing.T) {
	d := NewDistribution()
	record(d, 10*ms, generationSamples)
	record(d, 20*ms, generationSamples/3)
	require.InDelta(t, float64(10*ms), float64(d.Quantile(0.7)), 0.01*float64(10*ms))
	require.InDelta(t, float64(20*ms), float64(d.Quantile(0.8)), 0.01*float64(20*ms))
}

// Guards against samples beyond the range of the histogram that are lost.
func TestSamplesOutOfRangeCountAsTheBound(t *testing.T) {
	d := NewDistribution()
	d.Record(-ms)
	d.Record(time.Hour)
	require.Equal(t, 2, d.Count())
	require.Equal(t, (minServiceTime+maxServiceTime)/2, d.Mean())
}

// Guards against decisions by the first answers of a cold server.
func TestFewSamplesDoNotReplaceTheAssumedServiceTime(t *testing.T) {
	e := NewEstimates().Add(1, 40*ms)
	record(e, 5*ms, minSamples-1)
	require.Equal(t, 40*ms, e.Mean())
	require.Equal(t, 30*ms, e.Rest(10*ms))
	require.Equal(t, 90*ms, e.Rest(90*ms), "a request that has run for longer than assumed is a long one")
	e.Assume(30 * ms)
	require.Equal(t, 30*ms, e.Mean())
	record(e, 5*ms, 1)
	require.Equal(t, 5*ms, e.Mean())
}

// Guards against memory that grows with the number of services.
func TestLeastRecentlyUsedServiceIsEvicted(t *testing.T) {
	e := NewEstimates()
	for id := range fleet.ServiceID(maxServices) {
		e.Add(id, ms)
	}
	require.NotNil(t, e.Get(0))
	e.Add(maxServices, ms)
	require.Len(t, e.byService, maxServices)
	require.NotNil(t, e.Get(0))
	require.Nil(t, e.Get(1))
	require.NotNil(t, e.Get(maxServices))
}
