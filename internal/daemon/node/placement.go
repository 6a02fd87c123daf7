package node

import (
	"errors"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// Explainer explains where an opening packet of a service would be placed now. It reports false
// if it does not know the service.
type Explainer func(now time.Time, service fleet.ServiceID, query operator.PlacementQuery) (operator.Placement, bool)

// errConnectionless is the error for a service whose flows have no opening packets.
var errConnectionless = errors.New("the protocol of the service has no opening packets; radishmast explain --platform shows the candidates of its flows")

// explainPlacement answers a request of the operators' client. The error is an
// operator.NotReadyError, operator.UnknownServiceError or operator.QueryError.
func (n *Node) explainPlacement(query operator.PlacementQuery) (operator.Placement, error) {
	now := clock.Now()
	if !n.mayPlace(now) {
		return operator.Placement{}, operator.NotReadyError{Process: n.name}
	}
	id := fleet.ServiceIDOf(query.Service)
	service := n.View().Service(id)
	if service == nil {
		return operator.Placement{}, n.unknownService(query.Service)
	}
	if flow.NewID(service.Address(), query.Caller).Protocol() == flow.UDP {
		return operator.Placement{}, operator.QueryError{Err: errConnectionless}
	}
	placement, known := n.explain(now, id, query)
	if !known {
		return operator.Placement{}, n.unknownService(query.Service)
	}
	placement.Process, placement.Role, placement.DataCentre = n.name, string(n.role), n.dataCentre
	placement.Service, placement.Caller, placement.Size = query.Service, query.Caller.String(), query.Size
	return placement, nil
}

// unknownService returns the error for the name of a service that is not in the view.
func (n *Node) unknownService(name string) operator.UnknownServiceError {
	var known []string
	for service := range n.View().Services() {
		known = append(known, service.Name())
	}
	slices.Sort(known)
	return operator.UnknownServiceError{Name: name, Known: known}
}
