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
	// recordPatience is how long after it was first listed a peer may have no record, since it
	// may start later than this process. After that it is overdue, and is probed outside its
	// turn until it answers or is unreachable.
	recordPatience = time.Second
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
	// nextHurryAt is when the probes of a data centre may be made urgent again.
	nextHurryAt map[string]time.Time
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
		states:      make(map[fleet.InstanceID]*probeState),
		near:        probeRound{nextIndex: firstIndex},
		far:         probeRound{nextIndex: firstIndex},
		nextHurryAt: make(map[string]time.Time),
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

// peersToProbe returns the peers whose reachability matters to this process, near and far: all
// targets for a balancer, the siblings for an agent, and all targets for an agent that may not
// know the former selectors of all services and so searches all agents for the owners of flows.
func (c *Controller) peersToProbe(now time.Time) (near, far []fleet.InstanceID) {
	targets := c.view.Targets()
	if c.config.Role == fleet.RoleAgent && !c.view.LacksHistory(now) {
		targets = c.view.Siblings(c.config.Self)
	}
	for target := range targets {
		switch {
		case target.ID() == c.config.Self:
		case target.DataCentre() == c.config.DataCentre:
			near = append(near, target.ID())
		default:
			far = append(far, target.ID())
		}
	}
	return near, far
}

// probeDuePeers handles the probes that have timed out and sends those that are due. After two
// consecutive misses the next probe is sent from a new socket, and from then on every third one,
// since the path of the usual socket may have failed.
func (c *Controller) probeDuePeers(now time.Time) {
	for id, state := range c.prober.states {
		if state.awaitsReply && now.After(state.timeoutAt) {
			c.recordMiss(now, id, state)
		}
		state.overdue = c.isOverdue(now, id, state)
	}
	for _, id := range c.prober.startDueProbes(now) {
		node := c.view.Node(id)
		if node == nil {
			continue
		}
		record, _ := c.state.Peers().Record(id)
		onNewSocket := c.prober.states[id].misses%maxMisses == maxMisses-1
		c.emit(Probe{Node: node, Incarnation: record.Incarnation, OnNewSocket: onNewSocket})
	}
}

// recordMiss records that a peer has missed a probe. The next probes are urgent until the peer is
// unreachable if packets go to the peer, or if it has a record: one without has not started yet, as
// far as this process knows, and is probed in its turn for recordPatience.
func (c *Controller) recordMiss(now time.Time, id fleet.InstanceID, state *probeState) {
	state.awaitsReply = false
	state.misses++
	state.dueAt = now
	state.urgent = state.isFailing() && (state.urgent || c.hasStarted(id, state))
	if state.misses >= maxMisses {
		c.recordUnreachable(now, id, state)
	}
}

// isOverdue reports whether a peer that is not unreachable should have a record by now.
func (c *Controller) isOverdue(now time.Time, id fleet.InstanceID, state *probeState) bool {
	if state.misses >= maxMisses || now.Before(state.knownSince.Add(recordPatience)) {
		return false
	}
	return !c.hasStarted(id, state)
}

// hasStarted reports whether a peer has or has had a record.
func (c *Controller) hasStarted(id fleet.InstanceID, state *probeState) bool {
	if !state.hasStarted {
		_, state.hasStarted = c.state.Peers().Record(id)
	}
	return state.hasStarted
}

// recordUnreachable marks a peer as unreachable. It then gossips a suspicion of the peer, unless
// the peer has no record or is suspected already, or this process gossiped a suspicion of it less
// than minSuspicionInterval ago.
func (c *Controller) recordUnreachable(now time.Time, id fleet.InstanceID, state *probeState) {
	state.dueAt = now.Add(probeInterval)
	if c.state.Peers().SetReachable(now, id, false) {
		c.emit(ReportEvent{Event: EventPeerUnreachable, Peer: c.nodeName(id)})
		c.scheduleRoutingChange(now)
	}
	record, known := c.state.Peers().Record(id)
	if !known || record.Suspected || now.Before(state.nextSuspicionAt) {
		return
	}
	state.nextSuspicionAt = now.Add(minSuspicionInterval)
	record.Suspected = true
	c.emit(ReportEvent{Event: EventPeerSuspected, Peer: c.nodeName(id)})
	c.mergeRecord(now, record)
	c.flushRecords()
}

// ProbePeer probes a peer at once. The caller calls it when traffic to the peer goes
// unanswered. It has no effect while a probe awaits a reply, or if the peer has maxMisses misses.
func (c *Controller) ProbePeer(now time.Time, id fleet.InstanceID) []Output {
	c.probeAtOnce(now, id)
	return c.takeOutputs()
}

// probeAtOnce probes a peer outside its turn, unless a probe already awaits a reply or the peer
// has reached maxMisses.
func (c *Controller) probeAtOnce(now time.Time, id fleet.InstanceID) {
	state, node := c.prober.states[id], c.view.Node(id)
	if state == nil || node == nil || state.misses >= maxMisses {
		return
	}
	state.urgent = true
	if state.awaitsReply {
		return
	}
	state.recordSent(now)
	record, _ := c.state.Peers().Record(id)
	c.emit(Probe{Node: node, Incarnation: record.Incarnation})
}

// restartProbes forgets the probes that an earlier start of a peer has missed, and takes the peer for
// reachable. If there were any, it probes the new start at once.
func (c *Controller) restartProbes(now time.Time, id fleet.InstanceID) {
	c.state.Peers().AssumeReachable(id)
	state := c.prober.states[id]
	if state == nil || state.misses == 0 && !state.awaitsReply {
		return
	}
	state.awaitsReply, state.misses = false, 0
	c.probeAtOnce(now, id)
}

// hurryReturn makes the next probes of all unreachable peers in a data centre urgent, since one of
// them replies again: what has cut them off may be over for all of them. It does so once in a
// probeInterval, whatever the number of peers that reply.
func (c *Controller) hurryReturn(now time.Time, dataCentre string) {
	if now.Before(c.prober.nextHurryAt[dataCentre]) {
		return
	}
	c.prober.nextHurryAt[dataCentre] = now.Add(probeInterval)
	for id, state := range c.prober.states {
		node := c.view.Node(id)
		if state.misses >= maxMisses && node != nil && node.DataCentre() == dataCentre {
			state.awaitsReply, state.urgent, state.dueAt = false, true, now
		}
	}
}

// HandleProbeReply records a peer's reply to a probe, with the incarnation and the weight that
// it contains. A zero weight means that the peer reports none.
func (c *Controller) HandleProbeReply(now time.Time, id fleet.InstanceID, incarnation uint64, weight fleet.Weight) []Output {
	state := c.prober.states[id]
	if state == nil {
		return nil
	}
	state.awaitsReply, state.urgent = false, false
	state.misses = 0
	wasUnreachable := c.state.Peers().IsUnreachable(id)
	if c.state.Peers().SetReachable(now, id, true) {
		c.emit(ReportEvent{Event: EventPeerReachable, Peer: c.nodeName(id)})
		c.scheduleRoutingChange(now)
	}
	if node := c.view.Node(id); wasUnreachable && node != nil {
		c.hurryReturn(now, node.DataCentre())
	}
	if record, _ := c.state.Peers().Record(id); incarnation > record.Incarnation {
		c.mergeRecord(now, fleet.PeerRecord{ID: id, Incarnation: incarnation})
	}
	if c.state.Peers().RecordWeight(id, weight) {
		c.scheduleView(now.Add(weightViewDelay))
	}
	c.publishIfDue(now)
	return c.takeOutputs()
}
