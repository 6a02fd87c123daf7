package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Processes restart in a running fleet, as when balancers are replaced in turn. Guards against reads
// of the platform by each of them, which a listing in pages multiplies by the size of the fleet, and
// against newcomers that wait for more than the answers of the first peer.
func TestNewcomersTakeTheDocumentsFromPeers(t *testing.T) {
	const servesWithin = 150 * time.Millisecond
	for _, size := range []int{14, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(size, servesAll)
			s.run(3 * time.Second)
			newcomers := []*process{s.processes[5], s.processes[size/2+1], s.processes[size-2]}
			for _, p := range newcomers {
				s.restart(p)
			}
			s.run(servesWithin)
			for _, p := range newcomers {
				require.False(t, p.routesSince.IsZero(), "process %d", p.index)
				require.True(t, p.controller.IsConfirmed(s.now), "process %d", p.index)
			}
			s.run(time.Second)
			for _, p := range newcomers {
				require.Zero(t, p.reads, "process %d", p.index)
			}
		})
	}
}

// Agents restart in turn: one is away, and the next is already back. Guards against a newcomer that
// takes the one that is away for lost, as it finds it unreachable after half a second: in a fleet of any
// size it must have learned by then that the agent has announced its departure.
func TestRestartedAgentKnowsWhoIsAwayInAFleetOfAnySize(t *testing.T) {
	const knowsWithin = 450 * time.Millisecond
	for _, size := range []int{14, 200, 730} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(size, servesAll)
			s.run(3 * time.Second)
			away, next := s.processes[size/2+2], s.processes[5]
			s.perform(away, away.controller.UpdateOwnRecord(s.now, fleet.PeerLeaving, fleet.DefaultWeight, nil))
			s.run(500 * time.Millisecond)
			s.isCut = func(a, b *process) bool { return a == away || b == away }
			s.restart(next)
			s.run(knowsWithin)
			for _, record := range next.controller.Records() {
				if record.ID == fleet.InstanceIDOf(nameOf(away.index)) {
					require.Equal(t, fleet.PeerLeaving, record.State)
					return
				}
			}
			require.Fail(t, "the newcomer has no record of the agent")
		})
	}
}

// A process may read a document of instances that does not list it yet, or never does. Guards
// against tables that never converge: once listed, the first process must put its record back into
// its own table, and the record of the second must be in no table.
func TestTablesConvergeAfterLateListing(t *testing.T) {
	const size = 24
	s := newSimulation(size, servesAll)
	s.publishAgents(1, size/2)
	s.run(2 * time.Second)
	s.publishAgents(2, size)
	s.run(20 * time.Second)
	before := s.sum(func(p *process) int { return p.digestMessages })
	s.run(10 * time.Second)
	require.Equal(t, before, s.sum(func(p *process) int { return p.digestMessages }), "processes still compare buckets of their tables although nothing changes")
}

// After a start of the whole fleet, the platform may serve only some machines. Guards against
// processes that cannot route for long: the others must receive the documents from the served ones,
// although all of them dial the same seeds first.
func TestFleetCanRouteWhenPlatformServesFewProcesses(t *testing.T) {
	const within = 500 * time.Millisecond
	s := newSimulation(300, func(i int) bool { return i%20 == 7 })
	s.run(within)
	late := s.sum(func(p *process) int {
		if p.routesSince.IsZero() {
			return 1
		}
		return 0
	})
	require.Zero(t, late, "processes that cannot route %s after the start", within)
}

// Guards against control traffic and delays that grow with the fleet: at hundreds of processes a
// change must be in force everywhere in time, control must stay within its bytes at rest, and most
// of what a change costs must stay inside the data centres.
func TestChangesSpreadInTimeAndMostlyInsideDataCentres(t *testing.T) {
	const (
		inForceWithin = 4 * time.Second
		// restBytes is the limit of the bytes that a process sends on links, in bytes a second.
		restBytes = 9000
		// crossShare is the largest share of bytes that may cross between data centres. With
		// links to random peers it would be four fifths.
		crossShare = 0.5
		restPeriod = time.Second
	)
	for size, changes := range map[int]int{200: 3, 730: 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(size, servesAll)
			s.run(4 * time.Second)
			sent, crossed := func(p *process) int { return p.sentBytes }, func(p *process) int { return p.crossedBytes }
			sentBefore, crossedBefore := s.sum(sent), s.sum(crossed)
			s.run(restPeriod)
			require.LessOrEqual(t, (s.sum(sent)-sentBefore)/int(restPeriod.Seconds())/size, restBytes, "bytes a second at rest")
			for change := range changes {
				revision := uint64(2 + change)
				s.publishAgents(revision, size)
				s.run(inForceWithin)
				for _, p := range s.processes {
					require.Equal(t, revision, p.servicesRevision, "process %d", p.index)
				}
			}
			share := float64(s.sum(crossed)-crossedBefore) / float64(s.sum(sent)-sentBefore)
			require.LessOrEqual(t, share, crossShare)
		})
	}
}

// Two data centres cannot reach each other while the others reach both. Guards against suspicions of
// living agents that each process of the other side gossips, and each agent refutes, again and again:
// they would cost bytes that grow with the square of the fleet, and keep agents from getting flows.
func TestSuspicionsDuringACutDoNotGrowWithTheProcessesThatAreCutOff(t *testing.T) {
	t.Parallel()
	const (
		size = 200
		// period is shorter than the interval at which one process may repeat a suspicion.
		period = 4 * time.Second
	)
	s := newSimulation(size, servesAll)
	s.run(3 * time.Second)
	isIn := func(p *process, dataCentre string) bool { return dataCentreOf(p.index) == dataCentre }
	s.isCut = func(a, b *process) bool {
		return isIn(a, "centre-0") && isIn(b, "centre-1") || isIn(a, "centre-1") && isIn(b, "centre-0")
	}
	s.run(period)
	cutAgents := 0
	for _, p := range s.processes {
		if roleOf(p.index) == fleet.RoleAgent && (isIn(p, "centre-0") || isIn(p, "centre-1")) {
			cutAgents++
		}
	}
	require.Positive(t, s.refutations)
	require.LessOrEqual(t, s.refutations, cutAgents, "an agent must not be suspected again soon after it has refuted a suspicion")
}

// Guards against a stampede on the platform while it is down, after a start of the whole fleet and
// in operation, and against a slow return: beyond the first read of each process, which lets it serve
// soonest, the calls must not grow with the fleet, and the first process to reach the platform again
// must spare the others theirs.
func TestCallsToAPlatformThatIsDownDoNotGrowWithTheFleet(t *testing.T) {
	const (
		outage   = 3 * time.Second
		maxCalls = 300
		// returnsWithin is the time after the platform's return in which all views are
		// confirmed.
		returnsWithin = time.Second
	)
	for _, isStart := range []bool{true, false} {
		for _, size := range []int{14, 200, 730} {
			t.Run(fmt.Sprintf("start=%t/%d", isStart, size), func(t *testing.T) {
				t.Parallel()
				isUp := !isStart
				s := newSimulation(size, func(int) bool { return isUp })
				if !isStart {
					s.run(3 * time.Second)
					isUp = false
				}
				before, allowed := s.reads, maxCalls
				if isStart {
					allowed += size
				}
				s.run(outage)
				require.LessOrEqual(t, s.reads-before, allowed)
				isUp = true
				s.run(returnsWithin)
				for _, p := range s.processes {
					age, known := p.controller.ViewAge(s.now)
					require.True(t, known, "process %d", p.index)
					require.LessOrEqual(t, age, returnsWithin, "process %d", p.index)
				}
				require.LessOrEqual(t, s.reads-before, allowed+60)
			})
		}
	}
}

// BenchmarkColdStart measures the time until processes can route after the whole fleet has started
// at once, and the traffic on control links during the start and at rest.
func BenchmarkColdStart(b *testing.B) {
	platforms := []struct {
		name   string
		serves func(i int) bool
	}{
		{"platform-serves-all", servesAll},
		{"platform-serves-one-in-twenty", func(i int) bool { return i%20 == 7 }},
	}
	for _, platform := range platforms {
		for _, size := range []int{100, 300, 730} {
			b.Run(fmt.Sprintf("%s/%d", platform.name, size), func(b *testing.B) {
				for b.Loop() {
					reportColdStart(b, newSimulation(size, platform.serves))
				}
			})
		}
	}
}

// reportColdStart runs a simulation. It reports the median and the maximum over all processes of
// the time to route and of the bytes sent, the total number of refused links, and the largest
// number of links of a process.
func reportColdStart(b *testing.B, s *simulation) {
	sentBytes := func(p *process) int { return p.sentBytes }
	s.run(5 * time.Second)
	routes := s.sortedValues(func(p *process) int { return int(p.routesSince.Sub(start).Milliseconds()) })
	if routes[0] < 0 {
		b.Fatal("not all processes can route")
	}
	first := s.sortedValues(sentBytes)
	b.ReportMetric(float64(routes[len(routes)/2]), "ms-to-route-middle")
	b.ReportMetric(float64(routes[len(routes)-1]), "ms-to-route-last")
	b.ReportMetric(float64(first[len(first)/2])/1e3, "kB-middle")
	b.ReportMetric(float64(first[len(first)-1])/1e3, "kB-busiest")
	b.ReportMetric(float64(s.sum(func(p *process) int { return p.refusedLinks })), "links-refused")
	links := s.sortedValues(func(p *process) int { return p.peakLinks })
	b.ReportMetric(float64(links[len(links)-1]), "links-most")
	s.run(20 * time.Second)
	settled := make(map[int]int)
	for i, p := range s.processes {
		settled[i] = p.sentBytes
	}
	s.run(10 * time.Second)
	rest := s.sortedValues(func(p *process) int { return p.sentBytes - settled[p.index] })
	b.ReportMetric(float64(rest[len(rest)/2])/1e4, "kB/s-middle")
	b.ReportMetric(float64(rest[len(rest)-1])/1e4, "kB/s-busiest")
}
