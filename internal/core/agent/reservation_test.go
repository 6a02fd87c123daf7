package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newReservation returns one server with a request in one of its two slots, and its agent.
func newReservation(t *testing.T) (*burst, *Agent) {
	b := newBurst(t, []float64{1}, burstRead, kindOfRequest{serviceTime: 15 * time.Millisecond})
	b.arrive(0, 0)
	return b, b.servers[b.order[0]].agent
}

// Guards against late opening packets that wait while nobody else needs the free slots.
func TestLateOpeningTakesASlotThatIsLeftOver(t *testing.T) {
	b, _ := newReservation(t)
	require.True(t, b.arrive(0, 1).isAccepted)
}

// Guards against late opening packets that take the free slots for which new flows have waited
// just before.
func TestLateOpeningWaitsForTheEndOfAShortage(t *testing.T) {
	b, a := newReservation(t)
	a.recordShortage(b.now)
	late := b.arrive(0, 1)
	require.False(t, late.isAccepted)
	require.True(t, b.arrive(0, 0).isAccepted, "a new flow takes the free slot")
	b.servers[b.order[0]].queue[1].doneAt = b.now
	b.servers[b.order[0]].queue[0].doneAt = b.now.Add(time.Second)
	for !late.isAccepted {
		b.step()
	}
	require.Equal(t, reservationPeriod, b.now.Sub(settledAt))
}

// Guards against an idle server while late opening packets wait for the end of a shortage.
func TestLateOpeningIsServedByAnIdleServer(t *testing.T) {
	b, a := newReservation(t)
	a.recordShortage(b.now)
	late := b.arrive(0, 1)
	require.False(t, late.isAccepted)
	b.servers[b.order[0]].queue[0].doneAt = b.now
	b.step()
	require.True(t, late.isAccepted)
}

// Guards against copies that wait although their service publishes no objective that they could
// miss.
func TestCopyWithoutAnObjectiveIsNeverLate(t *testing.T) {
	b, a := newReservation(t)
	a.recordShortage(b.now)
	require.True(t, b.arrive(1, 2).isAccepted)
}

// Guards against an order that was decided when the opening packets came: one that has become
// late while it waited must not go before one that can still be in time.
func TestLatenessIsDecidedAgainAtEachRelease(t *testing.T) {
	queue := newWaitingOpenings(1, 2)
	queue.openings[0].objectiveAt = settledAt.Add(200 * time.Millisecond)
	_, a := newReservation(t)
	queue.openings[0].service, queue.openings[1].service = orders, orders
	a.waiting = *queue
	a.reassessAll(settledAt, a.waiting.openings)
	require.Equal(t, 0, a.waiting.next())
	a.reassessAll(settledAt.Add(201*time.Millisecond), a.waiting.openings)
	require.Equal(t, 1, a.waiting.next())
	require.Equal(t, 0, a.waiting.last())
}

// Guards against opening packets that take a slot or wait although their callers give up before
// any answer.
func TestOpeningBeyondItsTimeoutIsRefusedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		timeout time.Duration
		copies  uint32
		refused bool
	}{
		"in time":          {timeout: 800 * time.Millisecond, copies: 2},
		"just too late":    {timeout: 610 * time.Millisecond, copies: 2, refused: true},
		"long too late":    {timeout: 300 * time.Millisecond, copies: 2, refused: true},
		"no timeout known": {copies: 3},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBurst(t, []float64{1}, kindOfRequest{objective: 200 * time.Millisecond, timeout: test.timeout, serviceTime: 15 * time.Millisecond})
			caller := b.arrive(0, test.copies)
			require.Equal(t, test.refused, caller.isRefused)
			require.Equal(t, !test.refused, caller.isAccepted)
		})
	}
}

// Guards against an opening packet that waits on although the server has become so slow that it
// cannot be answered before the timeout any more.
func TestWaitingOpeningIsRefusedOnceTheServerIsTooSlow(t *testing.T) {
	b := newBurst(t, []float64{1}, kindOfRequest{objective: 200 * time.Millisecond, timeout: 400 * time.Millisecond, serviceTime: time.Second})
	a := b.servers[b.order[0]].agent
	b.arrive(0, 0)
	a.recordShortage(b.now)
	waiting := b.arrive(0, 1)
	b.release(b.order[0])
	require.False(t, waiting.isRefused)
	a.load.recordServiceTime(250 * time.Millisecond)
	b.release(b.order[0])
	require.True(t, waiting.isRefused)
}

// Guards against a reset of a flow that another agent may have delivered: after the next copy is
// sent, nobody refuses the copy before.
func TestOpeningIsNotRefusedOnceTheNextCopyIsSent(t *testing.T) {
	b := newBurst(t, []float64{1}, kindOfRequest{objective: 100 * time.Millisecond, timeout: 500 * time.Millisecond, serviceTime: time.Second})
	a := b.servers[b.order[0]].agent
	b.arrive(0, 0)
	waiting := waitingOpening{flow: b.all[0].id, nextCopyAt: b.now.Add(190 * time.Millisecond), lastStartAt: b.now.Add(180 * time.Millisecond)}
	a.waiting.openings, a.waiting.evicted = []waitingOpening{waiting}, []waitingOpening{waiting}
	require.Empty(t, a.ReleaseWaiting(b.now.Add(210*time.Millisecond)))
	require.Empty(t, a.waiting.openings)
	a.waiting.openings = []waitingOpening{waiting}
	require.Len(t, a.ReleaseWaiting(b.now.Add(180*time.Millisecond)), 1)
	waiting.waited = true
	a.waiting.openings = []waitingOpening{waiting}
	require.Empty(t, a.ReleaseWaiting(b.now.Add(180*time.Millisecond)), "it has waited elsewhere before")
	waiting.isLastCopy = true
	a.waiting.openings = []waitingOpening{waiting}
	require.Len(t, a.ReleaseWaiting(b.now.Add(180*time.Millisecond)), 1)
}

// Guards against a `wait` line with a wrong reason.
func TestWaitTellsTheReason(t *testing.T) {
	less := kindOfRequest{priority: 2, objective: 300 * time.Millisecond, timeout: 2 * time.Second, serviceTime: 15 * time.Millisecond}
	b := newBurst(t, []float64{1}, burstRead, less)
	a := b.servers[b.order[0]].agent
	wait := func(kind int, copies uint32) *Wait {
		action := a.Receive(b.now, b.opening(&burstCaller{kind: kind, id: b.flowOf(kind, 9000+len(a.waiting.openings)), copies: copies}))
		require.IsType(t, &Wait{}, action)
		return action.(*Wait)
	}
	b.arrive(0, 0)
	a.recordShortage(b.now)
	require.Equal(t, &Wait{Reason: WaitLate, SlotsTaken: 1, Waiting: 1}, wait(0, 1))
	for a.waiting.Len() < 2 {
		b.arrive(0, 0)
	}
	taken := a.load.Running()
	require.Equal(t, &Wait{Reason: WaitFull, SlotsTaken: taken, Waiting: 3}, wait(0, 0))
	require.Equal(t, &Wait{Reason: WaitUrgent, SlotsTaken: taken, Waiting: 4}, wait(1, 0))
}
