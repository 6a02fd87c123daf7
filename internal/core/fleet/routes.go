package fleet

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// route is what the services document says of a service. Views share it.
type route struct {
	id      ServiceID
	name    string
	address flow.Address
	// poolIndex is the number of the poolIndex of targets, the same for services with the same
	// selectors.
	poolIndex int
	// selectors holds a selector for each data centre that is in the service.
	selectors        map[string]Selector
	coldStartRate    float64
	idempotent       bool
	latencyObjective time.Duration
}

// selector returns the selector for a data centre: its own, or the one for any.
func (r *route) selector(dataCentre string) (Selector, bool) {
	return selectorFor(r.selectors, dataCentre)
}

// hasSelectorFor reports whether the data centre has a selector for the service.
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

// routeTable holds the routes of one services document. An operator may publish thousands,
// most of them for the same servers, so that it is computed once for all views.
type routeTable struct {
	routes    []route
	byAddress map[flow.Address]int
	byID      map[ServiceID]int
	// firstRoutes holds the firstRoutes route of each pool.
	firstRoutes []int
}

func newRouteTable(document *ServicesDocument) *routeTable {
	table := &routeTable{
		routes:    make([]route, len(document.Services)),
		byAddress: make(map[flow.Address]int, len(document.Services)),
		byID:      make(map[ServiceID]int, len(document.Services)),
	}
	pools := make(map[string]int)
	for i := range document.Services {
		service := &document.Services[i]
		address, _ := service.parseAddress()
		key := selectorsKey(service.Selectors)
		pool, known := pools[key]
		if !known {
			pool = len(table.firstRoutes)
			pools[key] = pool
			table.firstRoutes = append(table.firstRoutes, i)
		}
		table.routes[i] = route{
			id:               ServiceIDOf(service.Name),
			name:             service.Name,
			address:          address,
			poolIndex:        pool,
			selectors:        service.Selectors,
			coldStartRate:    service.ColdStartRate,
			idempotent:       service.Idempotent,
			latencyObjective: service.LatencyObjective,
		}
		table.byAddress[address] = i
		table.byID[table.routes[i].id] = i
	}
	return table
}
