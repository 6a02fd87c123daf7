package control

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Parameters of probing. The budget is the same at any size of the fleet: more
// peers are probed less often by each process, but by more processes.
const (
	probesPerTick   = 2
	probeInterval   = 250 * time.Millisecond
	probeTimeout    = 100 * time.Millisecond
	maxMisses       = 3
	suspectInterval = 5 * time.Second
)

// probeState is what a process knows of one peer by its own probes.
type probeState struct {
	dueAt     time.Time
	timeoutAt time.Time
	waiting   bool
	misses    int
	suspectAt time.Time
}

func (s *probeState) isDue(now time.Time) bool {
	return !s.waiting && !now.Before(s.dueAt)
}

// begin records that a probe is sent.
func (s *probeState) begin(now time.Time) {
	s.waiting = true
	s.timeoutAt = now.Add(probeTimeout)
	s.dueAt = now.Add(probeInterval)
}

// prober schedules probes round robin within a budget.
type prober struct {
	states map[fleet.InstanceID]*probeState
	order  []fleet.InstanceID
	next   int
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

// restart forgets what is in flight, as after a pause.
func (p *prober) restart() {
	for _, state := range p.states {
		state.waiting = false
		state.misses = 0
	}
}

// postpone gives peers more time to answer, after a delay of this process's own.
func (p *prober) postpone(now time.Time) {
	for _, state := range p.states {
		if state.waiting {
			state.timeoutAt = now.Add(probeTimeout)
		}
	}
}

// due returns the peers to probe now.
func (p *prober) due(now time.Time) []fleet.InstanceID {
	var due []fleet.InstanceID
	for id, state := range p.states {
		if len(due) < probesPerTick && state.misses > 0 && state.misses < maxMisses && state.isDue(now) {
			state.begin(now)
			due = append(due, id)
		}
	}
	for range p.order {
		if len(due) >= probesPerTick {
			break
		}
		id := p.order[p.next%len(p.order)]
		p.next = (p.next + 1) % len(p.order)
		if state := p.states[id]; state.isDue(now) {
			state.begin(now)
			due = append(due, id)
		}
	}
	return due
}

// peersToProbe returns the peers whose reachability matters to this process:
// targets for a balancer, siblings and balancers of its data centre for an agent.
func (c *Controller) peersToProbe() []fleet.InstanceID {
	wanted := make(map[fleet.InstanceID]bool)
	for _, service := range c.view.OneServicePerPool() {
		targets := service.Targets()
		if c.config.Role == fleet.RoleAgent && service.Target(c.config.Self) == nil {
			continue
		}
		for i := range targets {
			wanted[targets[i].ID()] = true
		}
	}
	delete(wanted, c.config.Self)
	peers := make([]fleet.InstanceID, 0, len(wanted))
	for id := range wanted {
		peers = append(peers, id)
	}
	return peers
}

func (c *Controller) probeDuePeers(now time.Time) {
	for id, state := range c.prober.states {
		if state.waiting && now.After(state.timeoutAt) {
			state.waiting = false
			state.misses++
			state.dueAt = now
			c.handleMissedProbe(now, id, state)
		}
	}
	for _, id := range c.prober.due(now) {
		node := c.view.Node(id)
		if node == nil {
			continue
		}
		record, _ := c.state.Peers().Record(id)
		fresh := c.prober.states[id].misses%maxMisses == maxMisses-1
		c.emit(Probe{Node: node, Incarnation: record.Incarnation, OnNewSocket: fresh})
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
	if !known || record.State == fleet.PeerSuspect || now.Before(state.suspectAt) {
		return
	}
	state.suspectAt = now.Add(suspectInterval)
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
	if state == nil || node == nil || state.waiting || state.misses >= maxMisses {
		return
	}
	state.begin(now)
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
	state.waiting = false
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
