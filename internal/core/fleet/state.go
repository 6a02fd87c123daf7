package fleet

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

// settleTime is how long a change of the view may take to reach every process.
const settleTime = 3 * time.Second

// State holds the documents and the peer table of one process. It is not safe for
// concurrent use: one goroutine owns it and publishes views.
type State struct {
	services  ServicesDocument
	backends  BackendsDocument
	instances InstancesDocument
	// routes, listedBackends and listedNodes are computed from the documents. Views share
	// them.
	routes         *routeTable
	listedBackends map[InstanceID]*Backend
	listedNodes    map[InstanceID]*Node
	peers          *Peers
	// departed holds the agents that are not listed but may own flows.
	departed map[InstanceID]departedAgent
	// former holds the selectors that services had before, newest first.
	former map[ServiceID][]formerSelectors
	// formerDigest is the digest of former, and forgetFormerAfter when the next of them are
	// forgotten, or zero if there are none.
	formerDigest      uint64
	forgetFormerAfter time.Time
	// historySince is from when on this process, or one that it learned from, has seen all
	// changes of selectors.
	historySince time.Time
	// restored holds what was known before the platform was last restored from a copy.
	restored beforeRestore
}

// NewState returns a state without documents.
func NewState() *State {
	return &State{
		routes:         newRouteTable(&ServicesDocument{}, nil),
		listedBackends: make(map[InstanceID]*Backend),
		listedNodes:    make(map[InstanceID]*Node),
		peers:          NewPeers(),
		departed:       make(map[InstanceID]departedAgent),
		former:         make(map[ServiceID][]formerSelectors),
	}
}

// Peers returns the peer table.
func (s *State) Peers() *Peers { return s.peers }

// Revisions returns the revisions of the documents in force.
func (s *State) Revisions() Revisions {
	return Revisions{
		Services:  s.services.Revision,
		Backends:  s.backends.Revision,
		Instances: s.instances.Revision,
	}
}

// Document is one of *ServicesDocument, *BackendsDocument and *InstancesDocument.
type Document interface {
	Validate() error
	// IsNewerThan reports whether the revision of the document is higher than another one.
	IsNewerThan(other Revision) bool
	isDocument()
}

func (*ServicesDocument) isDocument()  {}
func (*BackendsDocument) isDocument()  {}
func (*InstancesDocument) isDocument() {}

// Apply puts a document in force if its revision is newer, and reports whether it did. An
// invalid document is rejected as a whole with an error.
func (s *State) Apply(now time.Time, document Document) (bool, error) {
	if !s.IsNewer(document) {
		return false, nil
	}
	if err := document.Validate(); err != nil {
		return false, fmt.Errorf("apply document: %w", err)
	}
	switch d := document.(type) {
	case *ServicesDocument:
		s.recordRestore(now, s.services.Revision, d.Revision)
		s.recordFormerSelectors(now, d)
		s.services = *d
		s.routes = newRouteTable(d, s.former)
	case *BackendsDocument:
		s.recordRestore(now, s.backends.Revision, d.Revision)
		named := make(map[InstanceID]bool, len(d.Backends))
		for i := range d.Backends {
			named[InstanceIDOf(d.Backends[i].Name)] = true
		}
		s.recordDepartures(now, func(id InstanceID) bool { return named[id] })
		s.backends = *d
		s.listedBackends = make(map[InstanceID]*Backend, len(d.Backends))
		for i := range s.backends.Backends {
			s.listedBackends[InstanceIDOf(d.Backends[i].Name)] = &s.backends.Backends[i]
		}
	case *InstancesDocument:
		s.recordRestore(now, s.instances.Revision, d.Revision)
		s.applyInstances(now, d)
	}
	return true, nil
}

// IsNewer reports whether a document has a higher revision than the one in force.
func (s *State) IsNewer(document Document) bool {
	switch d := document.(type) {
	case *ServicesDocument:
		return d.IsNewerThan(s.services.Revision)
	case *BackendsDocument:
		return d.IsNewerThan(s.backends.Revision)
	case *InstancesDocument:
		return d.IsNewerThan(s.instances.Revision)
	}
	return false
}

// IsListed reports whether the instances document in force names an instance.
func (s *State) IsListed(id InstanceID) bool { return s.listedNodes[id] != nil }

// Documents returns the documents in force. The caller must not modify them.
func (s *State) Documents() (*ServicesDocument, *BackendsDocument, *InstancesDocument) {
	return &s.services, &s.backends, &s.instances
}

// applyInstances puts the next instances document in force. It records the agents that
// the document no longer names, and drops the peers that are neither listed nor departed.
func (s *State) applyInstances(now time.Time, next *InstancesDocument) {
	listed := make(map[InstanceID]bool, len(next.Instances))
	for i := range next.Instances {
		listed[InstanceIDOf(next.Instances[i].Name)] = true
	}
	s.recordDepartures(now, func(id InstanceID) bool { return listed[id] })
	for id := range listed {
		delete(s.departed, id)
	}
	s.instances = *next
	s.listedNodes = make(map[InstanceID]*Node, len(next.Instances))
	for i := range next.Instances {
		node := nodeOf(&next.Instances[i])
		s.listedNodes[node.id] = node
	}
	s.peers.Retain(func(id InstanceID) bool {
		_, departed := s.departed[id]
		return listed[id] || departed
	})
}

// View computes the routing view after a change of where packets may go. The view counts
// as settled once settleTime has passed.
func (s *State) View(now time.Time) *View {
	return s.ViewSettledAt(now, now.Add(settleTime))
}

// ViewSettledAt computes the routing view with a given time from which it counts as
// settled. A change of weights alone keeps the time of the view before.
func (s *State) ViewSettledAt(now, settledAt time.Time) *View {
	s.forgetFormerSelectors(now)
	view := &View{
		revisions:   s.Revisions(),
		routes:      s.routes,
		services:    make([]atomic.Pointer[RoutedService], len(s.routes.routes)),
		nodes:       s.nodes(now),
		listedNodes: s.listedNodes,
		backends:    s.backendsWithLapsed(now),
		draining:    make(map[string]bool, len(s.services.Draining)),
		settledAt:   settledAt,

		historySince: s.historySince,
	}
	view.documents.services, view.documents.backends, view.documents.instances = s.services, s.backends, s.instances
	for _, dataCentre := range append(slices.Clone(s.services.Draining), s.restored.draining...) {
		view.draining[dataCentre] = s.isDraining(now, dataCentre)
	}
	s.fillPools(now, view)
	if view.LacksHistory(now) {
		view.agents = s.agents(now, view.nodes)
	}
	view.membershipHash = hashMembership(view.onePerPool)
	return view
}

// fillPools computes the pools of the view: one for all services with the same selectors,
// and a separate one for each service with residual owners.
func (s *State) fillPools(now time.Time, view *View) {
	builder := poolBuilder{state: s, now: now, servers: indexServers(view.nodes, view.backends), departed: s.departedServers(now)}
	for _, index := range s.routes.firstRoutes {
		view.pools = append(view.pools, builder.build(&s.routes.routes[index], nil))
		view.onePerPool = append(view.onePerPool, view.routedService(index))
	}
	view.residualPools = make(map[int]*pool)
	for id, owners := range s.residualOwners(view.nodes) {
		if index, known := s.routes.byID[id]; known {
			view.residualPools[index] = builder.build(&s.routes.routes[index], owners)
			view.services[index].Store(nil)
		}
	}
	for _, index := range slices.Sorted(maps.Keys(view.residualPools)) {
		view.onePerPool = append(view.onePerPool, view.routedService(index))
	}
}

// hashMembership returns a hash of what decides which agents each flow is registered
// with: the targets that can be registrars, and their incarnations. It is never zero.
func hashMembership(services []*RoutedService) uint64 {
	hash := uint64(1)
	for _, service := range services {
		for i := range service.targets[:service.selectedCount] {
			target := &service.targets[i]
			if target.reachable && !target.suspected && !target.leaving {
				hash = mixHash(hash^target.incarnation, target.id)
			}
		}
	}
	return max(hash, 1)
}

// nodes returns the listed and the departed nodes. Departed nodes past their grace period
// count as leaving.
func (s *State) nodes(now time.Time) map[InstanceID]*Node {
	return s.withLeavingBeforeRestore(now, s.listedAndDepartedNodes(now))
}

// listedAndDepartedNodes returns the nodes as the documents in force state them.
func (s *State) listedAndDepartedNodes(now time.Time) map[InstanceID]*Node {
	if len(s.departed) == 0 {
		return s.listedNodes
	}
	nodes := maps.Clone(s.listedNodes)
	for id, d := range s.departed {
		if s.listedNodes[id] != nil {
			continue
		}
		node := nodeOf(&d.instance)
		node.leaving = !d.isWithinLapseGrace(now)
		nodes[id] = node
	}
	return nodes
}

// backendsWithLapsed returns the listed backend servers and those whose agents are within
// their grace period.
func (s *State) backendsWithLapsed(now time.Time) map[InstanceID]*Backend {
	backends := s.listedBackends
	for id, d := range s.departed {
		if !d.isWithinLapseGrace(now) || s.listedBackends[id] != nil {
			continue
		}
		if len(backends) == len(s.listedBackends) {
			backends = maps.Clone(s.listedBackends)
		}
		backends[id] = &d.backend
	}
	return s.withBackendsBeforeRestore(now, backends)
}

// nodeOf returns the node of a valid entry of the instances document.
func nodeOf(instance *Instance) *Node {
	data, _ := netip.ParseAddrPort(instance.Data)
	control, _ := netip.ParseAddrPort(instance.Control)
	return &Node{
		id:         InstanceIDOf(instance.Name),
		name:       instance.Name,
		role:       instance.Role,
		dataCentre: instance.DataCentre,
		data:       data,
		control:    control,
		leaving:    instance.State == StateLeaving,
	}
}

// residualOwners returns by service the nodes that still own flows of it, as their peer
// records report, other than departed nodes that do not answer.
func (s *State) residualOwners(nodes map[InstanceID]*Node) map[ServiceID][]*Node {
	owners := make(map[ServiceID][]*Node)
	for id, record := range s.peers.records {
		node := nodes[id]
		if node == nil || s.isDepartedAndUnreachable(id) {
			continue
		}
		for _, service := range record.Residual {
			owners[service] = append(owners[service], node)
		}
	}
	return owners
}

// newTarget returns the target of a node's backend server, accepting new flows if the
// documents and the peer table allow it.
func (s *State) newTarget(node *Node, now time.Time) Target {
	record, _ := s.peers.Record(node.id)
	acceptingByDocuments := !node.leaving && !s.isDraining(now, node.dataCentre)
	return Target{
		id:          node.id,
		name:        node.name,
		dataCentre:  node.dataCentre,
		data:        node.data,
		incarnation: record.Incarnation,
		weight:      s.peers.weight(node.id),
		accepting:   acceptingByDocuments && !s.peers.isExcluded(node.id, now) && record.State != PeerLeaving && record.State != PeerServerUnresponsive,
		reachable:   !s.peers.unreachable[node.id],
		suspected:   s.peers.isSuspected(node.id),
		leaving:     node.leaving || record.State == PeerLeaving,
		restarted:   s.peers.hasRestarted(node.id, now),
	}
}

// compareTargets orders targets by ID.
func compareTargets(a, b Target) int {
	switch {
	case a.id < b.id:
		return -1
	case a.id > b.id:
		return 1
	}
	return 0
}
