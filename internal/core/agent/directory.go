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
	// renewInterval is the time after which an owner registers a flow again.
	renewInterval = 60 * time.Second
	// maxRegisteredPerFlow is the number of registrations that an agent stores for other
	// agents, for each flow that it may own itself.
	maxRegisteredPerFlow = 4
	// maxRegistrationFlows is the maximum number of flows in one Registration.
	maxRegistrationFlows = 128
)

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
		a.directory.Put(now, hash, owner)
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
	a.directory.Sweep(now)
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
	owner, known := a.directory.Owner(now, received.Packet.Flow().Hash())
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
		if !a.forwardHistory.IsRetransmissionTo(now, received.Packet, target.ID()) {
			a.forwardHistory.Record(now, received.Packet, target.ID(), a.config.MaxFlows)
			return target
		}
	}
	return nil
}
