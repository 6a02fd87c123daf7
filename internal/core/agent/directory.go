package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Where an open flow is. The load pattern it answers: entry instances or a whole data
// centre fail, and the packets of all their flows come through others that have no hints.
// Each agent registers its flows with two others, which anybody finds by the flow alone.
// A registration is a short cut, as a hint is: a search goes on where it was wrong.
const (
	// registrationDelay is how long a flow is open before it is registered. Most flows of a
	// single request have ended by then.
	registrationDelay = 250 * time.Millisecond
	// registrationLifetime is how long a registration counts.
	registrationLifetime = 90 * time.Second
	// renewInterval is the time between two registrations of a flow.
	renewInterval = 60 * time.Second
	// maxRegisteredPerFlow bounds the registrations that an agent holds for others, for each
	// flow that it may own itself.
	maxRegisteredPerFlow = 4
	// maxRegistrationFlows is the number of flows that one message registers.
	maxRegistrationFlows = 128
)

// registeredOwner says who owns a flow.
type registeredOwner struct {
	owner   fleet.InstanceID
	expires time.Time
}

// directory holds the registrations of other agents' flows.
type directory struct {
	flows map[uint64]registeredOwner
	limit int
}

func newDirectory(limit int) directory {
	return directory{flows: make(map[uint64]registeredOwner), limit: limit}
}

func (d *directory) put(now time.Time, hash uint64, owner fleet.InstanceID) {
	if _, known := d.flows[hash]; !known && len(d.flows) >= d.limit {
		return
	}
	d.flows[hash] = registeredOwner{owner: owner, expires: now.Add(registrationLifetime)}
}

func (d *directory) owner(now time.Time, hash uint64) (fleet.InstanceID, bool) {
	found, known := d.flows[hash]
	return found.owner, known && now.Before(found.expires)
}

func (d *directory) sweep(now time.Time) {
	for hash, entry := range d.flows {
		if !now.Before(entry.expires) {
			delete(d.flows, hash)
		}
	}
}

// Registration tells an agent of flows that this agent owns.
type Registration struct {
	To    *fleet.Target
	Flows []uint64
}

// StoreRegistrations stores that another agent owns flows, named by their hashes.
func (a *Agent) StoreRegistrations(now time.Time, owner fleet.InstanceID, flows []uint64) {
	for _, hash := range flows {
		a.directory.put(now, hash, owner)
	}
}

// registrar is an agent that was told of a flow. One that has restarted knows nothing.
type registrar struct {
	id          fleet.InstanceID
	incarnation uint64
}

// registrationState is what an owner has told others of a flow.
type registrationState struct {
	registrars [fleet.RegistrarCount]registrar
	// dueAt is when the flow is to be registered next.
	dueAt time.Time
	// membershipHash is that of the view by which the registrars were chosen.
	membershipHash uint64
}

func (r *registrationState) isDue(now time.Time, membershipHash uint64) bool {
	return !now.Before(r.dueAt) || r.membershipHash != 0 && r.membershipHash != membershipHash
}

// Registrations returns what other agents are to be told of the open flows: of new ones,
// of those whose registrars have changed, and now and then of all.
func (a *Agent) Registrations(now time.Time) []Registration {
	a.directory.sweep(now)
	batch := make(map[fleet.InstanceID]*Registration)
	for id, entry := range a.flows {
		if entry.state != stateOpen || entry.serverEnded || !entry.registration.isDue(now, a.membershipHash) {
			continue
		}
		if service := a.view.Service(entry.service); service != nil {
			a.addRegistrations(now, service, id.Hash(), &entry.registration, batch)
		}
	}
	var registrations []Registration
	for _, registration := range batch {
		for part := range slices.Chunk(registration.Flows, maxRegistrationFlows) {
			registrations = append(registrations, Registration{To: registration.To, Flows: part})
		}
	}
	return registrations
}

func (a *Agent) addRegistrations(now time.Time, service *fleet.RoutedService, hash uint64, registration *registrationState, batch map[fleet.InstanceID]*Registration) {
	renew := !now.Before(registration.dueAt)
	for i, target := range service.Registrars(hash) {
		if target == nil || target.ID() == a.config.Self {
			continue
		}
		next := registrar{target.ID(), target.Incarnation()}
		if !renew && slices.Contains(registration.registrars[:], next) {
			continue
		}
		registration.registrars[i] = next
		if batch[next.id] == nil {
			batch[next.id] = &Registration{To: target}
		}
		batch[next.id].Flows = append(batch[next.id].Flows, hash)
	}
	registration.membershipHash = a.membershipHash
	if renew {
		registration.dueAt = now.Add(renewInterval)
	}
}

// renewIfMissed has a flow registered again if a search for it has passed an agent that
// should have known its owner.
func (r *registrationState) renewIfMissed(visited []fleet.InstanceID) {
	for _, registrar := range r.registrars {
		if registrar.id != 0 && slices.Contains(visited, registrar.id) {
			r.dueAt = time.Time{}
		}
	}
}

// referToOwner passes a packet of a flow that this agent does not know to the registered owner,
// once for each packet.
func (a *Agent) referToOwner(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) (Action, bool) {
	owner, known := a.directory.owner(now, received.Packet.Flow().Hash())
	if !known || received.Referred || owner == a.config.Self || slices.Contains(received.Visited, owner) {
		return nil, false
	}
	target := service.Target(owner)
	if target == nil || !target.IsReachable() {
		return nil, false
	}
	action := a.forwardTo(target, ReferRegistered)
	action.Referred = true
	return action, true
}

// nextRegistrar returns the agent that should know the owner of a packet's flow, unless it is
// this one or has been asked.
func (a *Agent) nextRegistrar(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) *fleet.Target {
	if received.LookedUp || received.Referred || received.Relayed {
		return nil
	}
	for _, target := range service.Registrars(received.Packet.Flow().Hash()) {
		if target == nil || target.ID() == a.config.Self || slices.Contains(received.Visited, target.ID()) {
			return nil
		}
		if !a.forwardHistory.isRetransmissionTo(now, received.Packet, target.ID()) {
			a.forwardHistory.record(now, received.Packet, target.ID(), a.config.MaxFlows)
			return target
		}
	}
	return nil
}

// forwardHistoryLifetime is how long a step of a search is remembered.
const forwardHistoryLifetime = 2 * time.Second

// minRetransmissionInterval is the least time between a packet and its retransmission.
const minRetransmissionInterval = 100 * time.Millisecond

// forwardedPacket is where a search of a flow went from here.
type forwardedPacket struct {
	sequence uint32
	next     fleet.InstanceID
	at       time.Time
}

// forwardHistory remembers the steps of searches, so that a retransmission takes another way: the
// one before has led nowhere, though nobody may have noticed why yet.
type forwardHistory map[flow.ID]forwardedPacket

// isRetransmissionTo reports whether a packet was passed to a candidate before and is sent again.
func (t forwardHistory) isRetransmissionTo(now time.Time, packet flow.Packet, next fleet.InstanceID) bool {
	last, known := t[packet.Flow()]
	age := now.Sub(last.at)
	return known && last.next == next && last.sequence == packet.Sequence() && age >= minRetransmissionInterval && age < forwardHistoryLifetime
}

func (t forwardHistory) record(now time.Time, packet flow.Packet, next fleet.InstanceID, limit int) {
	last, known := t[packet.Flow()]
	if known && last.sequence != packet.Sequence() && now.Sub(last.at) < forwardHistoryLifetime || !known && len(t) >= limit {
		return
	}
	t[packet.Flow()] = forwardedPacket{sequence: packet.Sequence(), next: next, at: now}
}

func (t forwardHistory) sweep(now time.Time) {
	for id, last := range t {
		if now.Sub(last.at) >= forwardHistoryLifetime {
			delete(t, id)
		}
	}
}

// nextCandidate returns the next candidate of a search. It is another one than for the packet
// of which this one is a retransmission, if there is one.
func (a *Agent) nextCandidate(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) fleet.SearchStep {
	packet, visited := received.Packet, a.visitedWithSelf(received.Visited)
	step := service.NextCandidate(packet.Flow().Hash(), visited)
	if step.Next == nil {
		return step
	}
	if a.forwardHistory.isRetransmissionTo(now, packet, step.Next.ID()) {
		other := service.NextCandidate(packet.Flow().Hash(), append(slices.Clone(visited), step.Next.ID()))
		if other.Next != nil {
			step = other
		}
	}
	a.forwardHistory.record(now, packet, step.Next.ID(), a.config.MaxFlows)
	return step
}
