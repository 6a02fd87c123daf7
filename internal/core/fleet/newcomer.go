package fleet

import (
	"maps"
	"slices"
	"time"
)

// A process that has just started does not know which backend servers a service selected before a
// change of its selectors. Answers this pattern: an operator moves a service to other backend
// servers, and later processes restart while long flows are still open at the former servers.
// A process takes the former selectors over from its peers. If all processes have restarted, no
// peer knows them; for as long as the former selectors count, each process then searches all
// agents for the owner of a flow, and probes them.

// maxHistorySkew is how much further back than its own a peer's history must reach before a
// process takes it over. Processes that start together differ by less and know the same.
const maxHistorySkew = time.Second

// SelectorHistory is what a process knows of former selectors, as sent to its peers.
type SelectorHistory struct {
	_ struct{} `cbor:",toarray"`
	// Services is the revision of the services document that the history leads to.
	Services Revision
	// Span is how long the sender, or a process that it learned from, has seen all changes.
	Span   time.Duration
	Former []FormerSelectors
}

// FormerSelectors are selectors that services had before a change.
type FormerSelectors struct {
	_         struct{} `cbor:",toarray"`
	Services  []ServiceID
	Selectors map[string]Selector
	// Remaining is how much longer they count.
	Remaining time.Duration
}

// StartHistory records when this process started, which has seen no change of selectors before.
func (s *State) StartHistory(now time.Time) { s.historySince = now }

// HistorySpan returns how far back this process knows the changes of selectors.
func (s *State) HistorySpan(now time.Time) time.Duration { return now.Sub(s.historySince) }

// ExtendsHistory reports whether a process that knows the changes of selectors for a span back can
// tell more to another one, whose span is shorter and does not cover all former selectors.
func ExtendsHistory(span, other time.Duration) bool {
	return lacksHistory(other) && span > other+maxHistorySkew
}

// lacksHistory reports whether a process that knows the changes of selectors for a span back may
// not know the former selectors of all services.
func lacksHistory(span time.Duration) bool { return span < formerLifetime }

// agents returns a target for each agent among the nodes, ordered by ID: those that services select
// and those that none selects any more, since either may own flows. It leaves out departed agents
// that do not answer.
func (s *State) agents(now time.Time, nodes map[InstanceID]*Node) []Target {
	var agents []Target
	for id, node := range nodes {
		if node.role != RoleAgent || s.isDepartedAndUnreachable(id) {
			continue
		}
		target := s.newTarget(node, now)
		target.residual, target.accepting = true, false
		agents = append(agents, target)
	}
	slices.SortFunc(agents, compareTargets)
	return agents
}

// History returns the former selectors that this process knows.
func (s *State) History(now time.Time) *SelectorHistory {
	history := &SelectorHistory{Services: s.services.Revision, Span: s.HistorySpan(now)}
	type change struct {
		selectors   string
		forgetAfter time.Time
	}
	entries := make(map[change]int)
	for id, remembered := range s.former {
		for _, f := range remembered {
			key := change{selectorsKey(f.selectors), f.forgetAfter}
			entry, known := entries[key]
			if !known {
				entry = len(history.Former)
				entries[key] = entry
				history.Former = append(history.Former, FormerSelectors{Selectors: f.selectors, Remaining: f.forgetAfter.Sub(now)})
			}
			history.Former[entry].Services = append(history.Former[entry].Services, id)
		}
	}
	return history
}

// MergeHistory takes over the former selectors that a peer knows, and how far back it knows them if
// that extends the history of this process. It reports whether there was anything to learn. There
// is nothing if the peer had another services document: a change between the two may be known to
// neither process.
func (s *State) MergeHistory(now time.Time, history *SelectorHistory) bool {
	if history.Services != s.services.Revision {
		return false
	}
	learned := s.learnFormerSelectors(now, history.Former)
	if learned {
		s.routes = newRouteTable(&s.services, s.former)
	}
	if !ExtendsHistory(history.Span, s.HistorySpan(now)) {
		return learned
	}
	s.historySince = now.Add(-history.Span)
	return true
}

// learnFormerSelectors adds the former selectors of a peer that this process does not know, and
// reports whether there were any. It leaves out those that are forgotten in a moment, which this
// process may just have forgotten.
func (s *State) learnFormerSelectors(now time.Time, learned []FormerSelectors) bool {
	former := maps.Clone(s.former)
	isChanged := false
	for _, f := range learned {
		if f.Remaining < maxHistorySkew {
			continue
		}
		key := selectorsKey(f.Selectors)
		for _, id := range f.Services {
			known := slices.ContainsFunc(former[id], func(own formerSelectors) bool { return selectorsKey(own.selectors) == key })
			if !known {
				isChanged = true
				former[id] = append(slices.Clone(former[id]), formerSelectors{selectors: f.Selectors, forgetAfter: now.Add(f.Remaining)})
			}
		}
	}
	if isChanged {
		s.setFormer(former)
	}
	return isChanged
}

// LacksHistory reports whether this process may not know the former selectors of all services.
func (v *View) LacksHistory(now time.Time) bool { return lacksHistory(now.Sub(v.historySince)) }
