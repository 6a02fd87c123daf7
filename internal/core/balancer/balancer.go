// Package balancer is the decision core of an entry instance: it chooses the
// agent that a caller's packet goes to. It keeps no state that a flow depends on.
package balancer

import (
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Drop is the reason for which a packet is not forwarded.
type Drop string

// Reasons for dropping a packet.
const (
	DropNone           Drop = ""
	DropUnknownService Drop = "unknown_service"
	DropNoTarget       Drop = "no_target"
	DropUnreachable    Drop = "unreachable"
)

// Decision says where a packet goes.
type Decision struct {
	// Service is the service the packet is for, nil if it is unknown.
	Service *fleet.RoutedService
	// Target receives the packet unless Drop is set.
	Target *fleet.Target
	// Drop is the reason for dropping the packet, or DropNone.
	Drop Drop
}

// Balancer chooses targets. It is safe for concurrent use.
type Balancer struct {
	hints *Hints
}

// New returns a balancer that uses a table of hints.
func New(hints *Hints) *Balancer {
	return &Balancer{hints: hints}
}

// Forward chooses the target for a caller's packet.
func (b *Balancer) Forward(view *fleet.View, packet flow.Packet) Decision {
	service := view.ServiceAt(packet.Flow().Service())
	if service == nil {
		return Decision{Drop: DropUnknownService}
	}
	hash := packet.Flow().Hash()
	if target := b.hinted(service, hash); target != nil && packet.Kind() != flow.Opening {
		return Decision{Service: service, Target: target}
	}
	return b.choose(service, packet.Kind(), hash)
}

// choose sends opening packets to the primary and later packets to the first
// candidate that answers, which passes on what it does not own.
func (b *Balancer) choose(service *fleet.RoutedService, kind flow.Kind, hash uint64) Decision {
	decision := Decision{Service: service}
	if kind == flow.Opening {
		decision.Target = service.Primary(hash)
	} else {
		decision.Target = service.Home(hash)
	}
	switch {
	case decision.Target != nil:
	case len(service.Targets()) == 0 || kind == flow.Opening:
		decision.Drop = DropNoTarget
	default:
		decision.Drop = DropUnreachable
	}
	return decision
}

func (b *Balancer) hinted(service *fleet.RoutedService, hash uint64) *fleet.Target {
	owner, known := b.hints.Get(hash)
	if !known {
		return nil
	}
	target := service.Target(owner)
	if target == nil || !target.IsReachable() {
		return nil
	}
	return target
}

// Learn remembers the owner of a flow, as told by the owner.
func (b *Balancer) Learn(hash uint64, owner fleet.InstanceID) {
	b.hints.Put(hash, owner)
}
