package work

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// newLearned returns the estimate of a service whose requests take a time.
func newLearned(serviceTime time.Duration) *Estimate {
	e := NewEstimates().Add(1, serviceTime)
	record(e, serviceTime, minSamples)
	return e
}

// Guards against a wait that counts the requests at a server instead of their work.
func TestWaitIsTheTimeUntilASlotIsFree(t *testing.T) {
	b, short, long := NewBacklog(2), newLearned(14*ms), newLearned(98*ms)
	b.Receive(start, 1, long)
	require.Zero(t, b.Wait(start), "a slot is free")
	b.Receive(start, 2, short)
	require.InDelta(t, float64(4*ms), float64(b.Wait(start.Add(10*ms))), float64(ms))
	b.Receive(start, 3, short)
	require.InDelta(t, float64(18*ms), float64(b.Wait(start.Add(10*ms))), float64(ms), "the queued request takes the first slot")
	require.InDelta(t, float64(88*ms+4*ms+14*ms), float64(b.Left(start.Add(10*ms))), float64(ms))
	b.End(start.Add(14*ms), 2)
	startedAt, started := b.End(start.Add(28*ms), 3)
	require.True(t, started)
	require.Equal(t, start.Add(14*ms), startedAt, "a queued request starts when a slot is free")
}

// Guards against transfers that count like requests at the server.
func TestTransfersCountWithTheirShare(t *testing.T) {
	b, upload := NewBacklog(2), newLearned(4*ms)
	for id := range RequestID(7) {
		b.Expect(id, upload, 0.25)
	}
	require.Equal(t, 7*ms, b.Left(start))
	require.Zero(t, b.Wait(start))
	b.Expect(7, upload, 0.25)
	require.Equal(t, 4*ms, b.Wait(start))
	b.Receive(start, 7, upload)
	require.Equal(t, 11*ms, b.Left(start))
}

// Guards against work that is left over when all requests have ended.
func TestBacklogIsEmptyWhenAllRequestsHaveEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, e := NewBacklog(rapid.IntRange(1, 4).Draw(t, "slots")), newLearned(10*ms)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			id := RequestID(rapid.IntRange(0, 9).Draw(t, "id"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				b.End(start, id)
				b.Expect(id, e, rapid.Float64Range(0.25, 1).Draw(t, "share"))
			case 1:
				b.End(start, id)
				b.Receive(start, id, e)
			default:
				b.End(start, id)
			}
			require.GreaterOrEqual(t, b.Left(start), b.Wait(start))
		}
		for id := range RequestID(10) {
			b.End(start, id)
		}
		require.Zero(t, b.Left(start))
		require.Zero(t, b.Wait(start))
	})
}

// Guards against servers that exchange flows without a gain.
func TestEqualServersExchangeNothing(t *testing.T) {
	here := Candidate{ServiceTime: 20 * ms, Wait: 4 * ms}
	require.Equal(t, -1, Choose(here, []Candidate{{ServiceTime: 20 * ms, Distance: ms}}))
	require.Equal(t, -1, Choose(here, []Candidate{{ServiceTime: 18 * ms, Distance: ms}}), "a gain of the margin")
	require.Equal(t, 1, Choose(here, []Candidate{{ServiceTime: 18 * ms, Distance: ms}, {ServiceTime: 17 * ms, Distance: ms}}))
	require.Equal(t, -1, Choose(here, nil))
}

// Guards against hand-overs that are counted for ever, or that are forgotten at once.
func TestHandOversCountUntilTheServerHasDoneThem(t *testing.T) {
	r := NewReported(start, 8*ms, 2)
	require.Equal(t, 4*ms, r.Wait(start.Add(time.Second)), "the usual work remains")
	r.Add(start, 20*ms)
	r.Add(start, 20*ms)
	require.Equal(t, 24*ms, r.Wait(start))
	require.Equal(t, 14*ms, r.Wait(start.Add(10*ms)))
	require.Equal(t, 4*ms, r.Wait(start.Add(30*ms)))
}

// Guards against an average that a server without new requests keeps from a burst.
func TestAverageFollowsTheWaitOverTime(t *testing.T) {
	var a Average
	for i := range 100 {
		a.Add(start.Add(time.Duration(i)*10*ms), 40*ms)
	}
	require.InDelta(t, float64(40*ms), float64(a.Value()), float64(2*ms))
	a.Add(start.Add(2*time.Second), 0)
	require.Less(t, a.Value(), 2*ms)
}

// newBusyBacklog returns the backlog of a server that runs two requests and queues four, of a
// service whose requests take many different times.
func newBusyBacklog() (*Backlog, *Estimate) {
	b, e := NewBacklog(2), NewEstimates().Add(1, 0)
	for i := range 2 * generationSamples {
		e.Record(13*ms + time.Duration(i)*100*time.Microsecond)
	}
	for id := range RequestID(6) {
		b.Receive(start, id, e)
	}
	return b, e
}

func BenchmarkWait(bench *testing.B) {
	b, _ := newBusyBacklog()
	bench.ReportAllocs()
	for bench.Loop() {
		b.Wait(start.Add(15 * ms))
	}
}

func BenchmarkRecordRequest(bench *testing.B) {
	b, e := newBusyBacklog()
	bench.ReportAllocs()
	id, now := RequestID(6), start
	for bench.Loop() {
		now = now.Add(ms)
		b.Expect(id, e, 1)
		b.Receive(now, id, e)
		startedAt, _ := b.End(now, id-6)
		e.Record(now.Sub(startedAt))
		id++
	}
}

// Guards against garbage for each request.
func TestRecordingAndWaitDoNotAllocate(t *testing.T) {
	b, e := newBusyBacklog()
	id := RequestID(6)
	run := func() {
		b.Expect(id, e, 1)
		b.Receive(start, id, e)
		b.End(start, id-6)
		e.Record(20 * ms)
		b.Wait(start.Add(15 * ms))
		id++
	}
	require.Zero(t, testing.AllocsPerRun(1000, run))
}
