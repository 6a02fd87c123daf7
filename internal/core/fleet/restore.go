package fleet

import (
	"maps"
	"slices"
	"time"
)

// restoreGrace is how long after a restore of the platform servers and operators may take to
// write again what it has lost.
const restoreGrace = LapseGrace

// beforeRestore holds what the documents said before the platform was restored from a copy. For
// restoreGrace, the process prefers it to entries that the restore has set back: a server that
// was leaving is shown as live, or a data centre as not draining, until it is written again.
type beforeRestore struct {
	// until is the end of the grace period. It is zero if there was no restore.
	until time.Time
	// leaving are the agents that were leaving or had left.
	leaving map[InstanceID]bool
	// backends are the listed backend servers.
	backends map[InstanceID]*Backend
	// draining are the data centres that got no new flows.
	draining []string
}

// recordRestore remembers the documents in force if the revision of the next one shows that the
// platform has been restored since the current one.
func (s *State) recordRestore(now time.Time, current, next Revision) {
	if current.IsMissing() || next.Era <= current.Era {
		return
	}
	if !s.isRestoring(now) {
		s.restored = beforeRestore{leaving: s.leavingAgents(now), backends: s.listedBackends, draining: s.services.Draining}
	}
	s.restored.until = now.Add(restoreGrace)
}

// leavingAgents returns the agents that are leaving or have left. New ones, which the platform
// does not list yet, are not among them.
func (s *State) leavingAgents(now time.Time) map[InstanceID]bool {
	leaving := make(map[InstanceID]bool)
	for id, node := range s.nodes(now) {
		if node.leaving && !s.departed[id].isNew {
			leaving[id] = true
		}
	}
	return leaving
}

// isRestoring reports whether the platform was restored less than restoreGrace ago.
func (s *State) isRestoring(now time.Time) bool { return now.Before(s.restored.until) }

// isDraining reports whether a data centre gets no new flows.
func (s *State) isDraining(now time.Time, dataCentre string) bool {
	if slices.Contains(s.services.Draining, dataCentre) {
		return true
	}
	return s.isRestoring(now) && slices.Contains(s.restored.draining, dataCentre)
}

// withLeavingBeforeRestore returns nodes with those marked as leaving that were leaving before
// the platform was restored.
func (s *State) withLeavingBeforeRestore(now time.Time, nodes map[InstanceID]*Node) map[InstanceID]*Node {
	if !s.isRestoring(now) || len(s.restored.leaving) == 0 {
		return nodes
	}
	marked := maps.Clone(nodes)
	for id := range s.restored.leaving {
		if node := nodes[id]; node != nil && !node.leaving {
			leaving := *node
			leaving.leaving = true
			marked[id] = &leaving
		}
	}
	return marked
}

// withBackendsBeforeRestore returns backend servers without the earlier starts of servers whose
// later start was known before the platform was restored.
func (s *State) withBackendsBeforeRestore(now time.Time, backends map[InstanceID]*Backend) map[InstanceID]*Backend {
	if !s.isRestoring(now) {
		return backends
	}
	latest := maps.Clone(backends)
	for id, known := range s.restored.backends {
		if listed := backends[id]; listed != nil && listed.StartedAt.Before(known.StartedAt) {
			latest[id] = known
		}
	}
	return latest
}
