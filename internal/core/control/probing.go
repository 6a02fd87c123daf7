package control

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// peersToProbe returns the peers whose reachability matters to this process, near and far: all
// targets for a balancer, the siblings for an agent, and all agents for an agent that may not
// know the former selectors of all services and so searches all of them for the owners of flows.
func (c *Controller) peersToProbe(now time.Time) (near, far []fleet.InstanceID) {
	targets := c.view.Targets()
	switch {
	case c.config.Role != fleet.RoleAgent:
	case c.view.LacksHistory(now):
		targets = c.view.Agents()
	default:
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
// far as this process knows, and is probed in its turn for recordTimeout.
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
	if state.misses >= maxMisses || now.Before(state.knownSince.Add(recordTimeout)) {
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

// makeProbesUrgent makes the next probes of all unreachable peers in a data centre urgent, since one of
// them replies again: what has cut them off may be over for all of them. It does so once in a
// probeInterval, whatever the number of peers that reply.
func (c *Controller) makeProbesUrgent(now time.Time, dataCentre string) {
	if now.Before(c.prober.nextUrgentAt[dataCentre]) {
		return
	}
	c.prober.nextUrgentAt[dataCentre] = now.Add(probeInterval)
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
		c.makeProbesUrgent(now, node.DataCentre())
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
