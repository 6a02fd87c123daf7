// Package balancer is the decision core of a balancer, an instance that receives the
// packets of callers: it chooses the agent that each packet is forwarded to. It keeps no
// state that a flow depends on.
package balancer

import (
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// DropReason is the reason for dropping a packet, or DropNone.
type DropReason string

// Reasons for dropping a packet.
const (
	// DropNone means that the packet is forwarded.
	DropNone DropReason = ""
	// DropUnknownService means that no published service has the packet's address.
	DropUnknownService DropReason = "unknown_service"
	// DropNoTarget means that no target of the service accepts the new flow, or that the
	// service has no targets at all.
	DropNoTarget DropReason = "no_target"
	// DropUnreachable means that the service has targets, but this process reaches none.
	DropUnreachable DropReason = "unreachable"
)

// Decision is what the balancer does with a packet.
type Decision struct {
	// Service is the service that the packet is addressed to, or nil if it is unknown.
	Service *fleet.RoutedService
	// Target is the agent to forward the packet to. It is valid if Drop is DropNone.
	Target *fleet.Target
	// Drop is the reason for dropping the packet, or DropNone.
	Drop DropReason
	// NeedsReset reports whether to send the caller a reset, because its new flow cannot
	// be served.
	NeedsReset bool
	// Suspect is the target that has not answered the previous copy of an opening packet, or
	// an earlier copy of another packet, or nil. The process then probes it.
	Suspect *fleet.Target
}

// Config holds the settings of a balancer.
type Config struct {
	// HasCopyCounts reports whether an opening packet carries the number of its earlier
	// copies, so that each copy can go to a different target.
	HasCopyCounts bool
	// PrefersRegistrars reports whether a packet of an open flow without a hint goes to a
	// registrar of its flow. It is set where all packets of a flow come to one balancer
	// as long as this balancer runs: if it has no hint, the flow has come from another
	// balancer and has been registered.
	PrefersRegistrars bool
	// DataCentre is the data centre whose targets get new flows while one of them accepts. It
	// is set where the packets of a flow keep entering at balancers of one data centre, and
	// empty elsewhere.
	DataCentre string
	// SendsResets reports whether a caller gets a reset at once if its new flow cannot be
	// served.
	SendsResets bool
}

// Balancer chooses the target of each packet. It is safe for concurrent use.
type Balancer struct {
	config Config
	hints  *Hints
}

// New returns a balancer that looks up and stores the owners of flows in hints.
func New(config Config, hints *Hints) *Balancer {
	return &Balancer{config: config, hints: hints}
}

// Route decides which target a packet of a caller is forwarded to.
func (b *Balancer) Route(view *fleet.View, packet flow.Packet) Decision {
	service := view.ServiceByAddress(packet.Flow().Service())
	if service == nil {
		return Decision{Drop: DropUnknownService, NeedsReset: b.config.SendsResets && packet.Kind() == flow.Opening}
	}
	hash := packet.Flow().Hash()
	if packet.Kind() == flow.Opening {
		return b.routeOpening(service, packet, hash)
	}
	decision := b.routeEstablished(service, hash)
	if packet.PayloadSize() > 0 && !b.hints.Advance(hash, packet.Sequence()) {
		decision.Suspect = decision.Target
	}
	return decision
}

// routeEstablished routes a packet of an open flow to the owner by its hint, or without one to an
// agent that searches for it.
func (b *Balancer) routeEstablished(service *fleet.RoutedService, hash uint64) Decision {
	hint, _ := b.hints.Get(hash)
	if owner := service.Target(hint); owner != nil && owner.IsReachable() {
		return Decision{Service: service, Target: owner}
	}
	return b.routeWithoutHint(service, hash)
}

// routeOpening routes an opening packet to the primary of its flow. With copy counts,
// each further copy goes to the next accepting target, because the target of the copy
// before has not answered in time.
func (b *Balancer) routeOpening(service *fleet.RoutedService, packet flow.Packet, hash uint64) Decision {
	b.hints.Delete(hash)
	decision := b.decideOpening(service, packet, hash)
	if decision.Drop == DropNone && b.config.HasCopyCounts {
		// The target of the opening packet knows the owner of the flow, so it gets the flow's
		// next packets until the owner sends a hint.
		b.hints.Put(hash, decision.Target.ID())
	}
	return decision
}

// decideOpening decides which target an opening packet is forwarded to, and changes nothing.
func (b *Balancer) decideOpening(service *fleet.RoutedService, packet flow.Packet, hash uint64) Decision {
	candidates := service.Near(b.config.DataCentre)
	decision := Decision{Service: service, Target: candidates.Primary(hash)}
	if decision.Target == nil {
		decision.Drop = DropNoTarget
		decision.NeedsReset = b.config.SendsResets
		return decision
	}
	if copies := packet.AcknowledgedToken(); b.config.HasCopyCounts && copies > 0 {
		decision.Suspect = candidates.NthAccepting(hash, copies-1)
		decision.Target = candidates.NthAccepting(hash, copies)
	}
	return decision
}

// routeWithoutHint routes a packet whose flow has no usable hint to a reachable target.
// The agent that receives it forwards it to the owner of the flow if it is not the owner
// itself.
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

// ownerSearchStart returns the agent that starts the search for the owner of a flow: a
// registrar if the balancer prefers registrars, else the first reachable candidate. It
// returns nil if no target is reachable.
func (b *Balancer) ownerSearchStart(service *fleet.RoutedService, hash uint64) *fleet.Target {
	if b.config.PrefersRegistrars {
		if registrar := service.Registrars(hash)[0]; registrar != nil {
			return registrar
		}
	}
	return service.Near(b.config.DataCentre).FirstReachable(hash)
}

// RecordOwner stores the owner of a flow, as reported by the owner in a hint.
func (b *Balancer) RecordOwner(hash uint64, owner fleet.InstanceID) {
	b.hints.Put(hash, owner)
}
