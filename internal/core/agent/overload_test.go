package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// overload is a load of new flows, one request each, on one server.
type overload struct {
	perSecond float64
	work      time.Duration
	queue     int
	objective time.Duration
	// trip is the time from the opening packet to the request.
	trip time.Duration
	// slowStart is how long requests take that begin within startTime of the start, if
	// that is longer.
	slowStart time.Duration
}

// startTime is how long a server is slow after its start.
const startTime = 50 * time.Millisecond

// play offers the load for some seconds and returns how many requests were answered in
// time and how many late.
func (o *overload) play(t *testing.T, controlled bool) (inTime, late int) {
	r := newRig(t, 1)
	id := r.ids()[0]
	services, _, _ := r.state.Documents()
	next := &fleet.ServicesDocument{Revision: 2, Services: services.Services}
	if controlled {
		next.Services[0].Objective = o.objective
	}
	_, err := r.state.Apply(epoch, next)
	require.NoError(t, err)
	r.applyView()
	a := r.agents[id]
	a.config.Placement, a.config.MaxFlows = HandOverWhenFull{}, 10000
	random := rand.New(rand.NewPCG(1, 2))
	var free [slots]time.Time
	type answer struct {
		at, asked time.Time
		port      uint16
	}
	var answers []answer
	port := uint16(1024)
	for now := settled; now.Before(settled.Add(8 * time.Second)); {
		now = now.Add(time.Duration(random.ExpFloat64() / o.perSecond * float64(time.Second)))
		for len(answers) > 0 && !answers[0].at.After(now) {
			done := answers[0]
			answers = answers[1:]
			a.Sent(done.at, flow.Answer{Flow: flowOf(done.port), Payload: 100})
			a.Sent(done.at, flow.Answer{Flow: flowOf(done.port), Ends: true})
			if done.at.Sub(done.asked) <= o.objective {
				inTime++
			} else {
				late++
			}
		}
		port++
		if _, delivered := a.Receive(now, arrival(port, flow.Opening, 0)).(*Deliver); !delivered {
			continue
		}
		a.Sent(now, flow.Answer{Flow: flowOf(port), Token: 1, Opens: true})
		a.Receive(now, arrival(port, flow.Established, 1))
		if len(answers) >= slots+o.queue {
			a.Sent(now, flow.Answer{Flow: flowOf(port), Payload: 10})
			a.Sent(now, flow.Answer{Flow: flowOf(port), Ends: true})
			continue
		}
		slot := 0
		for i := range free {
			if free[i].Before(free[slot]) {
				slot = i
			}
		}
		begin := latest(now.Add(o.trip), free[slot])
		work := o.work
		if begin.Before(settled.Add(startTime)) {
			work = max(work, o.slowStart)
		}
		free[slot] = begin.Add(work)
		answers = append(answers, answer{free[slot], now, port})
	}
	return inTime, late
}

// Servers that come back cold are asked for more than they can do for seconds.
func TestUnderOverloadWhatIsTakenIsInTime(t *testing.T) {
	load := &overload{perSecond: 60, work: 48 * time.Millisecond, queue: 8, objective: 200 * time.Millisecond}
	inTime, late := load.play(t, true)
	inTimeBefore, lateBefore := load.play(t, false)
	require.Greater(t, float64(inTime), 0.9*float64(inTime+late))
	require.Greater(t, inTime, 2*inTimeBefore, "without: %d in time and %d late", inTimeBefore, lateBefore)
	require.Greater(t, inTime+late, (inTimeBefore+lateBefore)*9/10, "nothing is refused that could be served")
}

// The first requests after a restart take three times as long as the others, and all that
// follow queue.
func TestOverloadLeavesNoSlotIdleAfterASlowStart(t *testing.T) {
	load := &overload{perSecond: 160, work: 30 * time.Millisecond, queue: 8, objective: 200 * time.Millisecond, trip: 15 * time.Millisecond, slowStart: 91 * time.Millisecond}
	inTime, late := load.play(t, true)
	served := slots * int(8*time.Second/load.work)
	require.Greater(t, inTime, served*9/10, "%d late", late)
}

// Nothing is known of a server that has just started, and more comes than it can do.
func TestOverloadIsBoundedBeforeTheFirstAnswer(t *testing.T) {
	r := newRig(t, 1)
	a := r.agents[r.ids()[0]]
	a.config.Placement = HandOverWhenFull{}
	services, _, _ := r.state.Documents()
	next := &fleet.ServicesDocument{Revision: 2, Services: services.Services}
	next.Services[0].Objective = 250 * time.Millisecond
	_, err := r.state.Apply(epoch, next)
	require.NoError(t, err)
	r.applyView()
	taken := 0
	for port := range uint16(100) {
		if _, delivered := a.Receive(settled, arrival(1024+port, flow.Opening, 0)).(*Deliver); delivered {
			taken++
		}
	}
	require.LessOrEqual(t, taken, 10)
	require.GreaterOrEqual(t, taken, slots)
}

func TestWithoutOverloadNothingIsRefused(t *testing.T) {
	load := &overload{perSecond: 20, work: 48 * time.Millisecond, queue: 8, objective: 250 * time.Millisecond}
	inTime, late := load.play(t, true)
	inTimeBefore, lateBefore := load.play(t, false)
	require.GreaterOrEqual(t, inTime+late, (inTimeBefore+lateBefore)*98/100)
}

// After a restart of everything the long flows open anew within a second.
func TestWeightBeginsAtTheSpeedOfTheServer(t *testing.T) {
	r := newRig(t, 3)
	ids := r.ids()
	slow := r.agents[ids[0]]
	slow.config.Placement = HandOverWhenFull{}
	require.Equal(t, fleet.DefaultWeight, slow.LearnWeight(settled))
	for range minWorked {
		slow.load.noteWork(60 * time.Millisecond)
	}
	for _, id := range ids[1:] {
		slow.Heard(settled, id, Report{Limit: slots, MaxOpen: 9, Utilisation: 500, Work: 30000})
	}
	slow.utilisation = 0.5
	require.InDelta(t, float64(fleet.DefaultWeight)*40/60, float64(slow.LearnWeight(settled)), 1)
}
