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
	room := newWaitingOpenings(1, 2)
	room.openings[0].objectiveAt = settledAt.Add(200 * time.Millisecond)
	_, a := newReservation(t)
	room.openings[0].service, room.openings[1].service = orders, orders
	a.waiting = *room
	a.updateLateness(settledAt)
	require.Equal(t, 0, a.waiting.next())
	a.updateLateness(settledAt.Add(201 * time.Millisecond))
	require.Equal(t, 1, a.waiting.next())
	require.Equal(t, 0, a.waiting.last())
}
