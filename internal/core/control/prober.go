package control

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Parameters of probing. The budget is the same at any size of the fleet: more
// peers are probed less often by each process, but by more processes.
const (
	probesPerTick        = 2
	probeInterval        = 250 * time.Millisecond
	probeTimeout         = 100 * time.Millisecond
	maxMisses            = 3
	minSuspicionInterval = 5 * time.Second
)

// probeState is what a process knows of one peer by its own probes.
type probeState struct {
	dueAt           time.Time
	timeoutAt       time.Time
	awaitsReply     bool
	misses          int
	nextSuspicionAt time.Time
}

func (s *probeState) isDue(now time.Time) bool {
	return !s.awaitsReply && !now.Before(s.dueAt)
}

// recordSent records that a probe is sent.
func (s *probeState) recordSent(now time.Time) {
	s.awaitsReply = true
	s.timeoutAt = now.Add(probeTimeout)
	s.dueAt = now.Add(probeInterval)
}

// prober schedules probes round robin within a budget.
type prober struct {
	states    map[fleet.InstanceID]*probeState
	order     []fleet.InstanceID
	nextIndex int
}

func newProber() *prober {
	return &prober{states: make(map[fleet.InstanceID]*probeState)}
}

// setPeers replaces the peers to probe and keeps what is known of those that stay.
func (p *prober) setPeers(peers []fleet.InstanceID) {
	states := make(map[fleet.InstanceID]*probeState, len(peers))
	for _, id := range peers {
		if known := p.states[id]; known != nil {
			states[id] = known
		} else {
			states[id] = new(probeState)
		}
	}
	p.states, p.order = states, peers
}

// forgetPending forgets what is in flight, as after a pause.
func (p *prober) forgetPending() {
	for _, state := range p.states {
		state.awaitsReply = false
		state.misses = 0
	}
}

// extendTimeouts gives peers more time to answer, after a delay of this process's own.
func (p *prober) extendTimeouts(now time.Time) {
	for _, state := range p.states {
		if state.awaitsReply {
			state.timeoutAt = now.Add(probeTimeout)
		}
	}
}

// startDueProbes returns the peers to probe now.
func (p *prober) startDueProbes(now time.Time) []fleet.InstanceID {
	var due []fleet.InstanceID
	for id, state := range p.states {
		if len(due) < probesPerTick && state.misses > 0 && state.misses < maxMisses && state.isDue(now) {
			state.recordSent(now)
			due = append(due, id)
		}
	}
	for range p.order {
		if len(due) >= probesPerTick {
			break
		}
		id := p.order[p.nextIndex%len(p.order)]
		p.nextIndex = (p.nextIndex + 1) % len(p.order)
		if state := p.states[id]; state.isDue(now) {
			state.recordSent(now)
			due = append(due, id)
		}
	}
	return due
}

// peersToProbe returns the peers whose reachability matters to this process:
// targets for a balancer, siblings and balancers of its data centre for an agent.
func (c *Controller) peersToProbe() []fleet.InstanceID {
	isRelevant := make(map[fleet.InstanceID]bool)
	for _, service := range c.view.OneServicePerPool() {
		targets := service.Targets()
		if c.config.Role == fleet.RoleAgent && service.Target(c.config.Self) == nil {
			continue
		}
		for i := range targets {
			isRelevant[targets[i].ID()] = true
		}
	}
	delete(isRelevant, c.config.Self)
	peers := make([]fleet.InstanceID, 0, len(isRelevant))
	for id := range isRelevant {
		peers = append(peers, id)
	}
	return peers
}

func (c *Controller) probeDuePeers(now time.Time) {
	for id, state := range c.prober.states {
		if state.awaitsReply && now.After(state.timeoutAt) {
			state.awaitsReply = false
			state.misses++
			state.dueAt = now
			c.handleMissedProbe(now, id, state)
		}
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

// handleMissedProbe marks a peer unreachable after several misses and shares the suspicion.
func (c *Controller) handleMissedProbe(now time.Time, id fleet.InstanceID, state *probeState) {
	if state.misses < maxMisses {
		return
	}
	state.dueAt = now.Add(probeInterval)
	if c.state.Peers().SetReachable(now, id, false) {
		c.emit(ReportEvent{Event: EventPeerUnreachable, Peer: c.nodeName(id)})
		c.scheduleRoutingChange(now)
	}
	record, known := c.state.Peers().Record(id)
	if !known || record.State == fleet.PeerSuspect || now.Before(state.nextSuspicionAt) {
		return
	}
	state.nextSuspicionAt = now.Add(minSuspicionInterval)
	record.State = fleet.PeerSuspect
	c.emit(ReportEvent{Event: EventPeerSuspected, Peer: c.nodeName(id)})
	c.mergeRecord(now, record)
	c.flushRecords()
}

// SuspectPeer probes a peer at once, since traffic to it goes unanswered.
func (c *Controller) SuspectPeer(now time.Time, id fleet.InstanceID) []Output {
	c.probeAtOnce(now, id)
	return c.takeOutputs()
}

// probeAtOnce probes a peer outside its turn, unless an answer is awaited already.
func (c *Controller) probeAtOnce(now time.Time, id fleet.InstanceID) {
	state, node := c.prober.states[id], c.view.Node(id)
	if state == nil || node == nil || state.awaitsReply || state.misses >= maxMisses {
		return
	}
	state.recordSent(now)
	record, _ := c.state.Peers().Record(id)
	c.emit(Probe{Node: node, Incarnation: record.Incarnation})
}

// HandleProbeReply records that a peer answered a probe, and the weight that it has told, or zero
// if it has none.
func (c *Controller) HandleProbeReply(now time.Time, id fleet.InstanceID, incarnation uint64, weight fleet.Weight) []Output {
	state := c.prober.states[id]
	if state == nil {
		return nil
	}
	state.awaitsReply = false
	state.misses = 0
	if c.state.Peers().SetReachable(now, id, true) {
		c.emit(ReportEvent{Event: EventPeerReachable, Peer: c.nodeName(id)})
		c.scheduleRoutingChange(now)
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
