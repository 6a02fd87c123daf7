package fleet

import (
	"iter"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// pool holds the targets that services with the same selectors share, or those of one
// service with residual owners.
type pool struct {
	// targets holds the selected targets, then the residual ones, each ordered by ID. ids holds
	// their IDs alone and centres the indices of their data centres in dataCentres, which a
	// search or a hash of all targets reads faster.
	targets     []Target
	ids         []InstanceID
	centres     []int
	dataCentres []string
	// selectedCount is the number of selected targets.
	selectedCount int
}

// RoutedService is a service with its targets. The candidates of a flow are the targets
// that may own or get it. The accepting targets with the highest unweighted rendezvous
// hashes, at most MaxPlacementCandidates, are its placement candidates. The primary is
// the placement candidate with the highest weighted score, and decides where a new flow
// goes. Two registrars store which agent owns the flow.
type RoutedService struct {
	*route
	Candidates
}

// ID returns the service's identifier.
func (s *RoutedService) ID() ServiceID { return s.id }

// Name returns the service's published name.
func (s *RoutedService) Name() string { return s.name }

// Address returns the service's address.
func (s *RoutedService) Address() flow.Address { return s.address }

// Targets returns the selected targets, then the residual ones.
func (p *pool) Targets() []Target { return p.targets }

// All yields the selected targets, then the residual ones.
func (p *pool) All() iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for i := range p.targets {
			if !yield(&p.targets[i]) {
				return
			}
		}
	}
}

// Selected yields the selected targets, which may get new flows.
func (p *pool) Selected() iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for i := range p.targets[:p.selectedCount] {
			if !yield(&p.targets[i]) {
				return
			}
		}
	}
}

// Target returns the target of an instance, or nil if there is none.
func (p *pool) Target(id InstanceID) *Target { return p.target(id) }

// target returns the target of an instance, or nil if there is none.
func (p *pool) target(id InstanceID) *Target {
	if i, found := slices.BinarySearch(p.ids[:p.selectedCount], id); found {
		return &p.targets[i]
	}
	if i, found := slices.BinarySearch(p.ids[p.selectedCount:], id); found {
		return &p.targets[p.selectedCount+i]
	}
	return nil
}

// add adds targets, in the order of their IDs.
func (p *pool) add(targets []Target) {
	slices.SortFunc(targets, compareTargets)
	p.targets = append(p.targets, targets...)
	for i := range targets {
		p.ids = append(p.ids, targets[i].id)
		centre := slices.Index(p.dataCentres, targets[i].dataCentre)
		if centre < 0 {
			centre = len(p.dataCentres)
			p.dataCentres = append(p.dataCentres, targets[i].dataCentre)
		}
		p.centres = append(p.centres, centre)
	}
}

// HasSelectorFor reports whether the service has a selector for the data centre.
func (s *RoutedService) HasSelectorFor(dataCentre string) bool { return s.hasSelectorFor(dataCentre) }

// Selects reports whether a backend server with these labels may serve the service in a
// data centre.
func (s *RoutedService) Selects(dataCentre string, labels map[string]string) bool {
	return s.selects(dataCentre, labels)
}

// IsUpload reports whether requests of the service are uploads.
func (s *RoutedService) IsUpload() bool { return s.upload }

// IsIdempotent reports whether callers may repeat any request of the service.
func (s *RoutedService) IsIdempotent() bool { return s.idempotent }

// LatencyObjective returns the time within which callers want answers, or zero if none is
// published.
func (s *RoutedService) LatencyObjective() time.Duration { return s.latencyObjective }

// Timeout returns the time after which callers give up a request, or zero if none is
// published.
func (s *RoutedService) Timeout() time.Duration { return s.timeout }

// Priority returns how urgent the requests of the service are. Zero is the most urgent.
func (s *RoutedService) Priority() int { return s.priority }

// ColdStartRate returns the number of new flows a second that a backend server with some labels can
// take in its cold start, or zero if it is not known.
func (s *RoutedService) ColdStartRate(labels map[string]string) float64 {
	for _, r := range s.coldStartRates {
		if r.Selector.Matches(labels) {
			return r.Rate
		}
	}
	return s.coldStartRate
}

// Node is a peer process: its role, data centre and endpoints.
type Node struct {
	id         InstanceID
	name       string
	role       Role
	dataCentre string
	data       netip.AddrPort
	control    netip.AddrPort
	leaving    bool
}

// ID returns the node's identifier.
func (n *Node) ID() InstanceID { return n.id }

// Name returns the node's published name.
func (n *Node) Name() string { return n.name }

// Role returns the kind of process that the node runs.
func (n *Node) Role() Role { return n.role }

// DataCentre returns the node's data centre.
func (n *Node) DataCentre() string { return n.dataCentre }

// Data returns the node's UDP endpoint.
func (n *Node) Data() netip.AddrPort { return n.data }

// Control returns the node's control endpoint.
func (n *Node) Control() netip.AddrPort { return n.control }

// View is an immutable routing view of the fleet. Goroutines that handle traffic share
// one view. It counts as settled once every process has had time to apply the change that
// led to it.
type View struct {
	revisions Revisions
	routes    *routeTable
	// pools holds the pool of targets of each poolIndex of the routes.
	pools []*pool
	// residualPools holds a separate pool for each route with residual owners, by index
	// of the route.
	residualPools map[int]*pool
	// services holds the routed services that have been built, by index of the route.
	services []atomic.Pointer[RoutedService]
	// onePerPool holds one service of each pool of targets.
	onePerPool []*RoutedService
	// agents holds all agents, ordered by ID, if this process may not know the former selectors
	// of all services.
	agents []Target
	// nodes holds the listed and the departed nodes.
	nodes map[InstanceID]*Node
	// listedNodes holds the nodes that the platform lists.
	listedNodes map[InstanceID]*Node
	// backends holds the backend servers that are listed or within their grace period.
	backends map[InstanceID]*Backend
	// draining holds the data centres that get no new flows.
	draining  map[string]bool
	settledAt time.Time
	// historySince is State.historySince.
	historySince time.Time
	documents    struct {
		services  ServicesDocument
		backends  BackendsDocument
		instances InstancesDocument
	}

	// membershipHash is the value of MembershipHash.
	membershipHash uint64
}

// Revisions returns the revisions that the view was computed from.
func (v *View) Revisions() Revisions { return v.revisions }

// ServiceByAddress returns the service with an address, or nil if there is none.
func (v *View) ServiceByAddress(address flow.Address) *RoutedService {
	if index, known := v.routes.byAddress[address]; known {
		return v.routedService(index)
	}
	return nil
}

// Service returns the service with an ID, or nil if there is none.
func (v *View) Service(id ServiceID) *RoutedService {
	if index, known := v.routes.byID[id]; known {
		return v.routedService(index)
	}
	return nil
}

// routedService returns the service of the route with an index. Most routes get no
// traffic, so it is built when it is first needed.
func (v *View) routedService(index int) *RoutedService {
	if existing := v.services[index].Load(); existing != nil {
		return existing
	}
	route := &v.routes.routes[index]
	targetPool := v.pools[route.poolIndex]
	if residualPool := v.residualPools[index]; residualPool != nil {
		targetPool = residualPool
	}
	routedService := &RoutedService{route, Candidates{pool: targetPool}}
	v.services[index].Store(routedService)
	return routedService
}

// Documents returns the documents that the view was computed from. The caller must not
// modify them.
func (v *View) Documents() (*ServicesDocument, *BackendsDocument, *InstancesDocument) {
	return &v.documents.services, &v.documents.backends, &v.documents.instances
}

// CanRoute reports whether the view holds a document of each kind.
func (v *View) CanRoute() bool {
	return v.revisions.AreComplete()
}

// Services yields all services.
func (v *View) Services() iter.Seq[*RoutedService] {
	return func(yield func(*RoutedService) bool) {
		for index := range v.routes.routes {
			if !yield(v.routedService(index)) {
				return
			}
		}
	}
}

// Targets yields the targets of all services, each once.
func (v *View) Targets() iter.Seq[*Target] {
	return distinctTargets(v.onePerPool)
}

// Agents yields all agents that may own flows, of whatever service, if the view lacks history. It
// yields none otherwise.
func (v *View) Agents() iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for i := range v.agents {
			if !yield(&v.agents[i]) {
				return
			}
		}
	}
}

// Siblings yields the other targets of the services that an instance is a target of, each once.
func (v *View) Siblings(id InstanceID) iter.Seq[*Target] {
	var shared []*RoutedService
	for _, service := range v.onePerPool {
		if service.Target(id) != nil {
			shared = append(shared, service)
		}
	}
	return func(yield func(*Target) bool) {
		for target := range distinctTargets(shared) {
			if target.id != id && !yield(target) {
				return
			}
		}
	}
}

// distinctTargets yields the targets of some services, each once.
func distinctTargets(services []*RoutedService) iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		seen := make(map[InstanceID]bool)
		for _, service := range services {
			for target := range service.All() {
				if !seen[target.id] && !yield(target) {
					return
				}
				seen[target.id] = true
			}
		}
	}
}

// OneServicePerPool returns one service for each pool of targets. Together these services
// have all targets.
func (v *View) OneServicePerPool() []*RoutedService { return v.onePerPool }

// MembershipHash returns a number that depends on the targets that can be registrars and
// on their incarnations. An agent registers its flows again when it changes. It is never
// zero.
func (v *View) MembershipHash() uint64 { return v.membershipHash }

// Node returns a node of the fleet, or nil if there is none with this ID.
func (v *View) Node(id InstanceID) *Node { return v.nodes[id] }

// IsListed reports whether the platform lists an instance.
func (v *View) IsListed(id InstanceID) bool { return v.listedNodes[id] != nil }

// IsAccepting reports whether an instance may get new flows according to the documents:
// it is listed or within its grace period, is not leaving, and its data centre is not
// draining.
func (v *View) IsAccepting(id InstanceID) bool {
	node := v.nodes[id]
	return node != nil && !node.leaving && !v.draining[node.dataCentre]
}

// Backend returns the backend server of an instance, listed or within its grace period,
// or nil if there is none.
func (v *View) Backend(id InstanceID) *Backend { return v.backends[id] }

// Nodes returns all nodes by ID. The caller must not modify the map.
func (v *View) Nodes() map[InstanceID]*Node { return v.nodes }

// SettledAt returns the time from which the view counts as settled: by then every process
// has had time to apply the change that led to it.
func (v *View) SettledAt() time.Time { return v.settledAt }
