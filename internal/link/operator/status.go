// Package operator provides what operators see of a daemon: its status and documents over
// HTTP and JSON, and its log lines.
package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Status is the current state of a daemon. Valid reports whether its view is valid, and Nodes
// is the number of instances in the view.
type Status struct {
	Name        string          `json:"name"`
	Role        string          `json:"role"`
	DataCentre  string          `json:"dataCentre"`
	Incarnation uint64          `json:"incarnation"`
	Revisions   fleet.Revisions `json:"revisions"`
	Valid       bool            `json:"valid"`
	Nodes       int             `json:"nodes"`
	Services    []Service       `json:"services"`
}

// Service is a service with the targets that a daemon routes it to.
type Service struct {
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
}

// Target is a backend server of a service, with its state in the daemon's view.
type Target struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Weight     uint16 `json:"weight"`
	Accepting  bool   `json:"accepting"`
	Reachable  bool   `json:"reachable"`
	Residual   bool   `json:"residual"`
}

// DescribeService returns a routed service with its targets in order of name.
func DescribeService(service *fleet.RoutedService) Service {
	described := Service{Name: service.Name(), Targets: []Target{}}
	for i := range service.Targets() {
		target := &service.Targets()[i]
		described.Targets = append(described.Targets, Target{
			Name:       target.Name(),
			DataCentre: target.DataCentre(),
			Weight:     uint16(target.Weight()),
			Accepting:  target.IsAccepting(),
			Reachable:  target.IsReachable(),
			Residual:   target.IsResidual(),
		})
	}
	slices.SortFunc(described.Targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	return described
}

// Sorted returns the status with its services in order of name. It sorts the slice of the
// receiver in place.
func (s Status) Sorted() Status {
	slices.SortFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// NewStatusHandler returns a handler that calls status for each request and serves the result
// as JSON.
func NewStatusHandler(status func() Status) http.Handler {
	var statusEndpoint endpoint.Endpoint = func(context.Context, any) (any, error) { return status(), nil }
	return kithttp.NewServer(statusEndpoint, kithttp.NopRequestDecoder, kithttp.EncodeJSONResponse)
}
