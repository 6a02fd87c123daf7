package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against urgent requests that are late behind a burst of a kind that may take longer.
func TestBurstOfALessUrgentKindDoesNotDelayTheUrgentOne(t *testing.T) {
	bulk := kindOfRequest{priority: 2, objective: 800 * time.Millisecond, timeout: 3 * time.Second, serviceTime: 15 * time.Millisecond}
	b := newBurst(t, []float64{1}, burstRead, bulk)
	b.run(settledAt.Add(time.Second), 2.4*b.capacity(), func(number int) {
		kind := 1
		if number%6 == 0 {
			kind = 0
		}
		b.arrive(kind, 0)
	})
	b.run(settledAt.Add(2*time.Second), 0, nil)
	inTime, all := b.count(0, false, burstRead.objective)
	t.Logf("%d of %d in time", inTime, all)
	require.GreaterOrEqual(t, inTime, all*95/100)
}

// Guards against one of two services of the same priority on a server that gets nothing while
// both ask for more than the server can do.
func TestServicesOfEqualPriorityShareAServer(t *testing.T) {
	slow := burstRead
	slow.objective, slow.timeout = 400*time.Millisecond, 4*time.Second
	b := newBurst(t, []float64{1}, burstRead, slow)
	b.run(settledAt.Add(time.Second), 2*b.capacity(), func(number int) { b.arrive(number%2, 0) })
	b.run(settledAt.Add(2*time.Second), 0, nil)
	for kind, k := range b.kinds {
		inTime, all := b.count(kind, false, k.objective)
		t.Logf("kind %d: %d of %d in time", kind, inTime, all)
		require.GreaterOrEqual(t, inTime, all/2)
	}
}
