package fleet

import "slices"

// server is a backend server together with the node of its agent.
type server struct {
	backend *Backend
	node    *Node
}

// label is a label with its value.
type label struct{ key, value string }

// serverIndex finds the backend servers of a data centre by label.
type serverIndex struct {
	servers []server
	byLabel map[label][]server
}

// add adds a backend server under each of its labels.
func (x *serverIndex) add(candidate server) {
	x.servers = append(x.servers, candidate)
	for key, value := range candidate.backend.Labels {
		x.byLabel[label{key, value}] = append(x.byLabel[label{key, value}], candidate)
	}
}

// matching returns the backend servers that satisfy a selector. It examines only those
// that satisfy the most selective key.
func (x *serverIndex) matching(selector Selector) []server {
	if x == nil {
		return nil
	}
	candidates := x.servers
	for key, allowed := range selector {
		if narrowed := x.withLabel(key, allowed); len(narrowed) < len(candidates) {
			candidates = narrowed
		}
	}
	var matching []server
	for _, candidate := range candidates {
		if selector.Matches(candidate.backend.Labels) {
			matching = append(matching, candidate)
		}
	}
	return matching
}

// withLabel returns the backend servers that have a label with one of the allowed values.
func (x *serverIndex) withLabel(key string, allowed []string) []server {
	if len(allowed) == 1 {
		return x.byLabel[label{key, allowed[0]}]
	}
	var servers []server
	for _, value := range slices.Compact(slices.Sorted(slices.Values(allowed))) {
		servers = append(servers, x.byLabel[label{key, value}]...)
	}
	return servers
}

// indexServers indexes by data centre the backend servers whose agents are in nodes.
func indexServers(nodes map[InstanceID]*Node, backends map[InstanceID]*Backend) map[string]*serverIndex {
	servers := make(map[string]*serverIndex)
	for id, backend := range backends {
		node := nodes[id]
		if node == nil || node.role != RoleAgent {
			continue
		}
		index := servers[backend.DataCentre]
		if index == nil {
			index = &serverIndex{byLabel: make(map[label][]server)}
			servers[backend.DataCentre] = index
		}
		index.add(server{backend, node})
	}
	return servers
}
