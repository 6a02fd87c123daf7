package fleet

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// route is the routing data of a service in the services document. Views share it.
type route struct {
	id      ServiceID
	name    string
	address flow.Address
	// poolIndex is the index of the service's pool of targets, the same for services with
	// the same selectors, former ones included.
	poolIndex int
	// selectors holds the selector of each data centre that is in the service.
	selectors map[string]Selector
	// former holds the selectors that the service had before, newest first.
	former           []formerSelectors
	coldStartRate    float64
	coldStartRates   []ColdStartRate
	idempotent       bool
	latencyObjective time.Duration
	timeout          time.Duration
	priority         int
	upload           bool
}

// selector returns the selector for a data centre: its own, or else the one for
// AnyDataCentre. It reports false if there is neither.
func (r *route) selector(dataCentre string) (Selector, bool) {
	return selectorFor(r.selectors, dataCentre)
}

// hasSelectorFor reports whether the service has a selector for the data centre.
func (r *route) hasSelectorFor(dataCentre string) bool {
	_, present := r.selector(dataCentre)
	return present
}

// selects reports whether a backend server with these labels may serve the service in a
// data centre.
func (r *route) selects(dataCentre string, labels map[string]string) bool {
	selector, present := r.selector(dataCentre)
	return present && selector.Matches(labels)
}

// hasSelected reports whether a backend server with these labels may serve the service in a
// data centre, now or by the former selectors.
func (r *route) hasSelected(dataCentre string, labels map[string]string) bool {
	if r.selects(dataCentre, labels) {
		return true
	}
	for i := range r.former {
		if selector, present := selectorFor(r.former[i].selectors, dataCentre); present && selector.Matches(labels) {
			return true
		}
	}
	return false
}

// routeTable holds the routes of one services document. Operators may publish thousands
// of services, most of them for the same backend servers, so the table is computed once
// for all views of the document.
type routeTable struct {
	routes    []route
	byAddress map[flow.Address]int
	byID      map[ServiceID]int
	// firstRoutes holds the index of the first route of each pool.
	firstRoutes []int
}

// newRouteTable computes the routes of a valid document. former holds the selectors that
// services had before.
func newRouteTable(document *ServicesDocument, former map[ServiceID][]formerSelectors) *routeTable {
	table := &routeTable{
		routes:    make([]route, len(document.Services)),
		byAddress: make(map[flow.Address]int, len(document.Services)),
		byID:      make(map[ServiceID]int, len(document.Services)),
	}
	pools := make(map[string]int)
	for i := range document.Services {
		service := &document.Services[i]
		address, _ := service.parseAddress()
		id := ServiceIDOf(service.Name)
		key := selectorsKey(service.Selectors)
		for _, f := range former[id] {
			key += "/" + selectorsKey(f.selectors)
		}
		poolIndex, known := pools[key]
		if !known {
			poolIndex = len(table.firstRoutes)
			pools[key] = poolIndex
			table.firstRoutes = append(table.firstRoutes, i)
		}
		table.routes[i] = route{
			id:               id,
			name:             service.Name,
			address:          address,
			poolIndex:        poolIndex,
			selectors:        service.Selectors,
			former:           former[id],
			coldStartRate:    service.ColdStartRate,
			coldStartRates:   service.ColdStartRates,
			idempotent:       service.Idempotent,
			latencyObjective: service.LatencyObjective,
			timeout:          service.Timeout,
			priority:         service.Priority,
			upload:           service.Upload,
		}
		table.byAddress[address] = i
		table.byID[id] = i
	}
	return table
}
