package control

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Parameters of probing. The number of regular probes that a process sends per second is
// limited independently of the size of the fleet: in a larger fleet each process probes a peer
// less often, but more processes probe it.
const (
	// probesPerTick is the maximum number of regular probes per tick. Half of them go to
	// peers in the data centre of the process while any of these is due, since most packets
	// go there. Urgent probes and those sent by probeAtOnce are not counted.
	probesPerTick = 2
	// urgentPerTick is the maximum number of urgent probes per tick. It is higher, since a cut
	// silences many peers at once and they return at once.
	urgentPerTick = 32
	// probeInterval is the minimum time between two regular probes of a peer. After a miss
	// the peer is due at once, until it has maxMisses misses.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is the time after which a probe without a reply is missed.
	probeTimeout = 100 * time.Millisecond
	// recordTimeout is how long after it was first listed a peer may have no record, since it
	// may start later than this process. After that it is overdue, and is probed outside its
	// turn until it answers or is unreachable.
	recordTimeout = time.Second
	// overduePerTick is the maximum number of probes of overdue peers per tick.
	overduePerTick = 16
	// maxMisses is the number of consecutive unanswered probes after which a peer counts as
	// unreachable.
	maxMisses = 3
	// minSuspicionInterval is the minimum time between two suspicions of a peer that this
	// process gossips, and from the refutation of any suspicion to the next one.
	minSuspicionInterval = 5 * time.Second
)

// probeState is the result of this process's probes of one peer.
type probeState struct {
	// knownSince is when this process began to probe the peer.
	knownSince time.Time
	// dueAt is the time from which the next probe may be sent.
	dueAt time.Time
	// timeoutAt is the time after which a probe without a reply is missed. It is valid if
	// awaitsReply.
	timeoutAt   time.Time
	awaitsReply bool
	// misses counts consecutive missed probes.
	misses int
	// urgent reports whether the next probe is sent outside the turn of the peer, and overdue
	// whether it is because the peer should have a record by now.
	urgent, overdue bool
	// hasStarted reports whether the peer has had a record since this process probes it.
	hasStarted bool
	// nextSuspicionAt is the time from which this process may gossip a suspicion again.
	nextSuspicionAt time.Time
}

// isDue reports whether the next probe may be sent now.
func (s *probeState) isDue(now time.Time) bool {
	return !s.awaitsReply && !now.Before(s.dueAt)
}

// isFailing reports whether the peer has missed probes, but not as many as make it unreachable.
func (s *probeState) isFailing() bool { return s.misses > 0 && s.misses < maxMisses }

// recordSent records that a probe is sent now.
func (s *probeState) recordSent(now time.Time) {
	s.awaitsReply = true
	s.timeoutAt = now.Add(probeTimeout)
	s.dueAt = now.Add(probeInterval)
}

// prober schedules the probes of a tick: at most urgentPerTick urgent ones and overduePerTick of
// overdue peers, and at most probesPerTick of all peers, near and far ones each in round-robin order.
type prober struct {
	states    map[fleet.InstanceID]*probeState
	near, far probeRound
	// nextUrgentAt is when the probes of a data centre may be made urgent again.
	nextUrgentAt map[string]time.Time
}

// probeRound is a round-robin order of peers.
type probeRound struct {
	peers []fleet.InstanceID
	// nextIndex, modulo the number of peers, is the position of the next one in turn.
	nextIndex int
}

// newProber returns a prober without peers. Its rounds begin at a position that differs between
// processes, so that those that start together do not probe the same peer at the same time.
func newProber(firstIndex int) *prober {
	return &prober{
		states:       make(map[fleet.InstanceID]*probeState),
		near:         probeRound{nextIndex: firstIndex},
		far:          probeRound{nextIndex: firstIndex},
		nextUrgentAt: make(map[string]time.Time),
	}
}

// maxFirstIndex limits the random position at which the rounds of probes begin.
const maxFirstIndex = 1 << 20

// setPeers replaces the peers to probe, those near and those far. Peers that remain keep their
// probe state.
func (p *prober) setPeers(now time.Time, near, far []fleet.InstanceID) {
	states := make(map[fleet.InstanceID]*probeState, len(near)+len(far))
	for _, peers := range [][]fleet.InstanceID{near, far} {
		for _, id := range peers {
			if known := p.states[id]; known != nil {
				states[id] = known
			} else {
				states[id] = &probeState{knownSince: now}
			}
		}
	}
	p.states, p.near.peers, p.far.peers = states, near, far
}

// recordRefutation records that a peer has refuted a suspicion. It lives, so that its silence towards
// this process shows a broken path: for minSuspicionInterval this process does not suspect it again.
func (p *prober) recordRefutation(now time.Time, id fleet.InstanceID) {
	if state := p.states[id]; state != nil {
		state.nextSuspicionAt = now.Add(minSuspicionInterval)
	}
}

// forgetPending drops the probes that await a reply, and all counts of missed probes. It is
// called after a pause of this process.
func (p *prober) forgetPending() {
	for _, state := range p.states {
		state.awaitsReply = false
		state.misses = 0
	}
}

// extendTimeouts restarts the timeouts of all probes that await a reply. It is called after a
// late tick, when this process may have been too slow to read the replies.
func (p *prober) extendTimeouts(now time.Time) {
	for _, state := range p.states {
		if state.awaitsReply {
			state.timeoutAt = now.Add(probeTimeout)
		}
	}
}

// startDueProbes returns the peers to probe now, and records a probe as sent to each.
func (p *prober) startDueProbes(now time.Time) []fleet.InstanceID {
	urgent := p.startAll(now, urgentPerTick, func(state *probeState) bool { return state.urgent })
	overdue := p.startAll(now, overduePerTick, func(state *probeState) bool { return state.overdue })
	near := p.startRound(now, &p.near, probesPerTick/2)
	far := p.startRound(now, &p.far, probesPerTick-len(near))
	rest := p.startRound(now, &p.near, probesPerTick-len(near)-len(far))
	return slices.Concat(urgent, overdue, near, far, rest)
}

// startAll returns the peers that are wanted and whose probe is due, at most limit, and records a
// probe as sent to each.
func (p *prober) startAll(now time.Time, limit int, isWanted func(*probeState) bool) []fleet.InstanceID {
	var due []fleet.InstanceID
	for id, state := range p.states {
		if len(due) == limit {
			break
		}
		if isWanted(state) && state.isDue(now) {
			state.recordSent(now)
			due = append(due, id)
		}
	}
	return due
}

// startRound returns the next peers in turn whose probe is due, at most limit, and records a
// probe as sent to each.
func (p *prober) startRound(now time.Time, round *probeRound, limit int) []fleet.InstanceID {
	var due []fleet.InstanceID
	for range round.peers {
		if len(due) == limit {
			break
		}
		id := round.peers[round.nextIndex%len(round.peers)]
		round.nextIndex++
		if state := p.states[id]; state.isDue(now) {
			state.recordSent(now)
			due = append(due, id)
		}
	}
	return due
}
