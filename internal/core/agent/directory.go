package agent

import (
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Each agent registers its open flows with two registrars, agents that every process can
// compute from the flow alone. This guards against the failure of balancers or of a
// whole data centre, when the packets of all their flows arrive through other balancers
// that have no hints. Like a hint, a registration may be wrong: the search for the
// owner then goes on.
const (
	// registrationDelay is the time between the opening of a flow and its registration. Most
	// flows of a single request have ended by then and are never registered.
	registrationDelay = 250 * time.Millisecond
	// registrationLifetime is how long a registrar keeps a registration. It is longer than
	// renewInterval, so that renewals keep it alive.
	registrationLifetime = 90 * time.Second
	// renewInterval is the time after which an owner registers a flow again.
	renewInterval = 60 * time.Second
	// maxRegisteredPerFlow is the number of registrations that an agent stores for other
	// agents, for each flow that it may own itself.
	maxRegisteredPerFlow = 4
	// maxRegistrationFlows is the maximum number of flows in one Registration.
	maxRegistrationFlows = 128
)

// registeredOwner is the agent that has registered a flow as its own.
type registeredOwner struct {
	owner fleet.InstanceID
	// expires is when the registration ends unless it is renewed.
	expires time.Time
}

// directory holds the registrations that other agents have sent.
type directory struct {
	// flows maps the hash of a flow to its owner.
	flows map[uint64]registeredOwner
	// limit is the maximum number of registrations. Beyond it new flows are ignored.
	limit int
}

// newDirectory returns an empty directory for at most limit registrations.
func newDirectory(limit int) directory {
	return directory{flows: make(map[uint64]registeredOwner), limit: limit}
}

// put stores or renews the registration of a flow. A new one is ignored if the directory is
// full.
func (d *directory) put(now time.Time, hash uint64, owner fleet.InstanceID) {
	if _, known := d.flows[hash]; !known && len(d.flows) >= d.limit {
		return
	}
	d.flows[hash] = registeredOwner{owner: owner, expires: now.Add(registrationLifetime)}
}

// owner returns the registered owner of a flow. It reports false if there is none or the
// registration has expired.
func (d *directory) owner(now time.Time, hash uint64) (fleet.InstanceID, bool) {
	found, known := d.flows[hash]
	return found.owner, known && now.Before(found.expires)
}

// sweep removes expired registrations.
func (d *directory) sweep(now time.Time) {
	for hash, entry := range d.flows {
		if !now.Before(entry.expires) {
			delete(d.flows, hash)
		}
	}
}

// Registration is a message that registers flows of this agent with a registrar.
type Registration struct {
	// Target is the registrar that the message is sent to.
	Target *fleet.Target
	// Flows holds the hashes of the flows.
	Flows []uint64
}

// StoreRegistrations stores that another agent owns flows, which are given by their hashes.
func (a *Agent) StoreRegistrations(now time.Time, owner fleet.InstanceID, flows []uint64) {
	for _, hash := range flows {
		a.directory.put(now, hash, owner)
	}
}

// registrationState is what the owner of a flow knows about its registrations. In the zero
// value the flow is due for registration.
type registrationState struct {
	// registrars are processes, since an agent loses all registrations when it restarts.
	registrars [fleet.RegistrarCount]fleet.Process
	// dueAt is when the flow must next be registered with all its registrars.
	dueAt time.Time
	// membershipHash is Agent.membershipHash as of the choice of the registrars, or zero if
	// none were chosen.
	membershipHash uint64
}

// isDue reports whether a flow must be registered, because its registration must be renewed
// or the agents in view have changed, and with them perhaps the registrars.
func (r *registrationState) isDue(now time.Time, membershipHash uint64) bool {
	return !now.Before(r.dueAt) || r.membershipHash != 0 && r.membershipHash != membershipHash
}

// Registrations returns the registrations to send now, for the open flows that are due: new
// ones, those whose registrars may have changed, and those to renew. It also removes expired
// registrations of other agents.
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
			registrations = append(registrations, Registration{Target: registration.Target, Flows: part})
		}
	}
	return registrations
}

// addRegistrations adds a flow to the batch of each of its registrars except this agent. If
// the flow need not be renewed, registrars that hold it already are skipped.
func (a *Agent) addRegistrations(now time.Time, service *fleet.RoutedService, hash uint64, registration *registrationState, batch map[fleet.InstanceID]*Registration) {
	renew := !now.Before(registration.dueAt)
	for i, target := range service.Registrars(hash) {
		if target == nil || target.ID() == a.config.Self {
			continue
		}
		next := target.Process()
		if !renew && slices.Contains(registration.registrars[:], next) {
			continue
		}
		registration.registrars[i] = next
		if batch[next.ID] == nil {
			batch[next.ID] = &Registration{Target: target}
		}
		batch[next.ID].Flows = append(batch[next.ID].Flows, hash)
	}
	registration.membershipHash = a.membershipHash
	if renew {
		registration.dueAt = now.Add(renewInterval)
	}
}

// renewIfMissed makes a flow due for registration if a packet of it visited one of its
// registrars, since that registrar should have known the owner.
func (r *registrationState) renewIfMissed(visited []fleet.InstanceID) {
	for _, registrar := range r.registrars {
		if registrar.ID != 0 && slices.Contains(visited, registrar.ID) {
			r.dueAt = time.Time{}
		}
	}
}

// referToOwner forwards a packet of a flow that this agent does not know to the registered
// owner, at most once per packet. It reports false if there is no registered owner that is
// reachable and has not been visited.
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

// nextRegistrar returns the registrar to forward a packet to in the search for the owner of
// its flow. It tries the registrars in order and skips one only if the packet is a
// retransmission of one that was forwarded there. It returns nil if the packet was already
// relayed, looked up or referred, or as soon as it meets a registrar that is missing, is
// this agent or has been visited.
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

// minRetransmissionInterval is the minimum time after which a packet with the same sequence
// number counts as a retransmission.
const minRetransmissionInterval = 100 * time.Millisecond

// forwardedPacket records where a packet was forwarded to in the search for its flow's
// owner.
type forwardedPacket struct {
	sequence uint32
	next     fleet.InstanceID
	at       time.Time
}
