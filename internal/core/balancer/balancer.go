// Package balancer is the decision core of an entry instance: it chooses the
// agent that a caller's packet goes to. It keeps no state that a flow depends on.
package balancer

import (
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// DropReason is the reason for which a packet is not forwarded.
type DropReason string

// Reasons for dropping a packet.
const (
	DropNone           DropReason = ""
	DropUnknownService DropReason = "unknown_service"
	DropNoTarget       DropReason = "no_target"
	DropUnreachable    DropReason = "unreachable"
)

// Decision says where a packet goes.
type Decision struct {
	// Service is the service the packet is for, nil if it is unknown.
	Service *fleet.RoutedService
	// Target receives the packet unless Drop is set.
	Target *fleet.Target
	// Drop is the reason for dropping the packet, or DropNone.
	Drop DropReason
	// NeedsReset tells the caller that the flow is not served.
	NeedsReset bool
	// Suspect is the target that has not answered an earlier copy of the packet, or
	// nil.
	Suspect *fleet.Target
}

// Config holds the constants of one balancer.
type Config struct {
	// HasCopyCounts tells that opening packets count their copies, so that each copy
	// can go to a target of its own.
	HasCopyCounts bool
	// PrefersRegistrars tells that the packets of a flow come to one balancer as long as it
	// stays. A flow without a hint then comes from another one, and has been registered.
	PrefersRegistrars bool
	// SendsResets tells callers at once what cannot be served.
	SendsResets bool
}

// Balancer chooses targets. It is safe for concurrent use.
type Balancer struct {
	config Config
	hints  *Hints
}

// New returns a balancer that uses a table of hints.
func New(config Config, hints *Hints) *Balancer {
	return &Balancer{config: config, hints: hints}
}

// Route chooses the target for a caller's packet.
func (b *Balancer) Route(view *fleet.View, packet flow.Packet) Decision {
	service := view.ServiceByAddress(packet.Flow().Service())
	if service == nil {
		return Decision{Drop: DropUnknownService, NeedsReset: b.config.SendsResets && packet.Kind() == flow.Opening}
	}
	hash := packet.Flow().Hash()
	if packet.Kind() == flow.Opening {
		return b.routeOpening(service, packet, hash)
	}
	hint, _ := b.hints.Get(hash)
	if owner := service.Target(hint); owner != nil && owner.IsReachable() {
		return Decision{Service: service, Target: owner}
	}
	return b.routeWithoutHint(service, hash)
}

// routeOpening sends an opening packet to the primary and a copy of it elsewhere, since the
// target before has not answered in time.
func (b *Balancer) routeOpening(service *fleet.RoutedService, packet flow.Packet, hash uint64) Decision {
	b.hints.Delete(hash)
	decision := Decision{Service: service, Target: service.Primary(hash)}
	if decision.Target == nil {
		decision.Drop = DropNoTarget
		decision.NeedsReset = b.config.SendsResets
		return decision
	}
	if !b.config.HasCopyCounts {
		return decision
	}
	if copies := packet.AcknowledgedToken(); copies > 0 {
		decision.Suspect = service.NthAccepting(hash, copies-1)
		decision.Target = service.NthAccepting(hash, copies)
	}
	// The target knows where the flow has gone until its owner sends a hint.
	b.hints.Put(hash, decision.Target.ID())
	return decision
}

// routeWithoutHint sends a packet to the first candidate that answers, which passes on
// what it does not own.
func (b *Balancer) routeWithoutHint(service *fleet.RoutedService, hash uint64) Decision {
	decision := Decision{Service: service, Target: b.ownerSearchStart(service, hash)}
	switch {
	case decision.Target != nil:
	case len(service.Targets()) == 0:
		decision.Drop = DropNoTarget
	default:
		decision.Drop = DropUnreachable
	}
	return decision
}

// ownerSearchStart returns the target to ask for the owner of a flow.
func (b *Balancer) ownerSearchStart(service *fleet.RoutedService, hash uint64) *fleet.Target {
	if b.config.PrefersRegistrars {
		if registrar := service.Registrars(hash)[0]; registrar != nil {
			return registrar
		}
	}
	return service.FirstReachable(hash)
}

// RecordOwner remembers the owner of a flow, as told by the owner.
func (b *Balancer) RecordOwner(hash uint64, owner fleet.InstanceID) {
	b.hints.Put(hash, owner)
}
